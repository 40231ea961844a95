"""The stand-in worker follows the run contract that a runner depends on."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from result import Err

from sapphirelead.clock import now
from sapphirelead.http_client import HttpCaller
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_ports import CallFailure, StartAnswer, StartCall, WorkerEnd
from sapphirelead.platform.local_advice import HttpAdvice
from sapphirelead.platform.local_runs import HttpRuns, read_life
from sapphirelead.sched_spec import AdvicePolicy
from sapphirelead.standin_advice import AdviceSettings, StandInAdvice
from sapphirelead.standin_history import History
from sapphirelead.standin_task import Progress
from sapphirelead.standin_worker import StandInWorker, WorkerSettings

TOKEN = 100


class WorkerHarness:
    """A stand-in worker and a runner's client for it."""

    def __init__(self, worker: StandInWorker, url: str) -> None:
        self.worker = worker
        self.url = url
        self.runs = HttpRuns.connect(WorkerLife(worker.runs.life), url)

    async def start(
        self,
        attempt: int = 1,
        payload: str = '{"lasts":true}',
        saved: str = "",
        token: int = TOKEN,
        deadline_s: float = 1.0,
        ticket: str = "",
    ) -> StartAnswer | CallFailure:
        deadline_ms = int((now() + deadline_s) * 1000)
        call = StartCall("a1.0.0.0", attempt, payload, saved, ticket, deadline_ms, token)
        found = await self.runs.start(call)
        return found.err_value if isinstance(found, Err) else found.ok_value.answer

    async def lease(self, seconds: float = 10.0) -> None:
        (await self.runs.hold(TOKEN, 0, int((now() + seconds) * 1000), 0)).unwrap()

    async def ended_runs(self, acknowledged: int = 0, wait_ms: int = 0) -> list[WorkerEnd]:
        return (await self.runs.hold(TOKEN, acknowledged, 0, wait_ms)).unwrap().ended


@asynccontextmanager
async def running_worker(wants_tickets: bool = False) -> AsyncIterator[WorkerHarness]:
    worker = StandInWorker(History.open("w"), WorkerSettings(wants_tickets=wants_tickets))
    port = await worker.start("127.0.0.1", 0)
    harness = WorkerHarness(worker, f"http://127.0.0.1:{port}")
    try:
        yield harness
    finally:
        await harness.runs.close()
        await worker.stop()


async def test_run_starts_once_and_its_end_is_listed_until_acknowledged() -> None:
    async with running_worker() as harness:
        await harness.lease()
        answers = [await harness.start(payload='{"work_ms":80}') for _ in range(2)]
        assert answers == [StartAnswer.STARTED] * 2
        (end,) = await harness.ended_runs(wait_ms=1000)
        assert (end.number, end.task, end.attempt, end.kind) == (1, "a1.0.0.0", 1, "done")
        assert await harness.ended_runs() == [end]
        assert await harness.ended_runs(acknowledged=1) == []
        assert await harness.start(payload='{"work_ms":80}') is StartAnswer.OUTDATED
        assert sum(line["event"] == "effect" for line in harness.worker.history.events) == 1


async def test_stopped_attempt_never_starts_and_next_attempt_resumes_its_progress() -> None:
    async with running_worker() as harness:
        await harness.lease()
        (await harness.runs.stop("a1.0.0.0", 1, TOKEN)).unwrap()
        assert await harness.start(attempt=1) is StartAnswer.OUTDATED
        saved = msgspec.json.encode(Progress(done_ms=900)).decode()
        assert await harness.start(attempt=2, saved=saved) is StartAnswer.STARTED
        (await harness.runs.stop("a1.0.0.0", 2, TOKEN)).unwrap()
        (end,) = await harness.ended_runs()
        assert (end.attempt, end.kind) == (2, "stopped")
        assert msgspec.json.decode(end.saved, type=Progress).done_ms >= 900


async def test_running_task_ends_when_the_lease_expires() -> None:
    async with running_worker() as harness:
        await harness.lease(0.2)
        assert await harness.start(deadline_s=0.1) is StartAnswer.STARTED
        (end,) = await harness.ended_runs(wait_ms=1000)
        assert end.kind == "lapsed"


@pytest.mark.parametrize(
    ("payload", "deadline_s", "answer"),
    [
        ("{", 1.0, StartAnswer.INVALID),
        ('{"work_ms":"x"}', 1.0, StartAnswer.INVALID),
        ("{}", -0.1, StartAnswer.TOO_LATE),
    ],
)
async def test_invalid_or_late_start_is_rejected(
    payload: str, deadline_s: float, answer: StartAnswer
) -> None:
    async with running_worker() as harness:
        assert await harness.start(payload=payload, deadline_s=deadline_s) is answer
        assert (await harness.runs.hold(TOKEN, 0, 0, 0)).unwrap().running == []


async def test_stale_token_and_wrong_life_are_rejected() -> None:
    async with running_worker() as harness:
        await harness.lease()
        assert await harness.start(token=TOKEN - 1) is CallFailure.FENCED
        earlier = HttpRuns.connect(WorkerLife("gone"), harness.url)
        assert (await earlier.hold(TOKEN, 0, 0, 0)).unwrap_err() is CallFailure.OTHER_LIFE
        await earlier.close()
        http = HttpCaller.connect(harness.url, 1.0)
        assert await read_life(http) == harness.worker.runs.life
        await http.close()


async def test_start_requires_the_ticket_from_the_advice_service() -> None:
    advice = StandInAdvice(History.open("a"), AdviceSettings())
    port = await advice.start("127.0.0.1", 0)
    client = HttpAdvice.connect(f"http://127.0.0.1:{port}")
    policy = AdvicePolicy(base_ms=5, each_ms=1, valid_ms=1000)
    async with running_worker(wants_tickets=True) as harness:
        life, other = WorkerLife(harness.worker.runs.life), WorkerLife("other")
        tickets = (await client.ask("a1.0.0", [life, other], policy)).unwrap().tickets
        for wrong in ("", tickets[other]):
            assert await harness.start(ticket=wrong) is StartAnswer.NO_TICKET
        assert await harness.start(ticket=tickets[life]) is StartAnswer.STARTED
    await client.close()
    await advice.stop()


@pytest.mark.parametrize(("url", "code"), [("", "SL-202"), ("http://127.0.0.1:9", "SL-301")])
async def test_unavailable_advice_service_returns_a_failure(url: str, code: str) -> None:
    client = HttpAdvice.connect(url)
    found = await client.ask("a1.0.0", [WorkerLife("w")], AdvicePolicy())
    assert found.unwrap_err().code == code
    await client.close()


async def test_a_slower_pace_lengthens_a_run() -> None:
    async with running_worker() as harness:
        await harness.lease()
        assert await harness.start(payload='{"work_ms":200}') is StartAnswer.STARTED
        began = now()
        (await harness.runs.pace("a1.0.0.0", 1, 25, TOKEN)).unwrap()
        await asyncio.sleep(0)
        (end,) = await harness.ended_runs(wait_ms=3000)
        assert (end.kind, now() - began > 0.6) == ("done", True)
