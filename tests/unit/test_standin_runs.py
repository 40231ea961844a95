"""The stand-in worker keeps the promises that a runner relies on."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from result import Err

from sapphirelead.clock import now
from sapphirelead.http_client import HttpCaller
from sapphirelead.node_ports import CallFailure, StartAnswer, StartCall, WorkerEnd
from sapphirelead.platform.local_advice import HttpAdvice
from sapphirelead.platform.local_runs import HttpRuns, read_life
from sapphirelead.sched_spec import AdvicePolicy
from sapphirelead.standin_advice import AdviceSettings, StandInAdvice
from sapphirelead.standin_history import History
from sapphirelead.standin_task import Progress
from sapphirelead.standin_worker import StandInWorker, WorkerSettings

TOKEN = 100


class Side:
    """A worker and a runner's calls to it."""

    def __init__(self, worker: StandInWorker, url: str) -> None:
        self.worker = worker
        self.url = url
        self.runs = HttpRuns.connect(worker.runs.life, url)

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

    async def ends(self, noted: int = 0, wait_ms: int = 0) -> list[WorkerEnd]:
        return (await self.runs.hold(TOKEN, noted, 0, wait_ms)).unwrap().ended


@asynccontextmanager
async def beside_worker(wants_tickets: bool = False) -> AsyncIterator[Side]:
    worker = StandInWorker(History.open("w"), WorkerSettings(wants_tickets=wants_tickets))
    port = await worker.start("127.0.0.1", 0)
    side = Side(worker, f"http://127.0.0.1:{port}")
    try:
        yield side
    finally:
        await side.runs.close()
        await worker.stop()


async def test_a_run_is_started_once_and_its_end_is_listed_until_noted() -> None:
    async with beside_worker() as side:
        await side.lease()
        answers = [await side.start(payload='{"work_ms":80}') for _ in range(2)]
        assert answers == [StartAnswer.STARTED] * 2
        (end,) = await side.ends(wait_ms=1000)
        assert (end.number, end.task, end.attempt, end.kind) == (1, "a1.0.0.0", 1, "done")
        assert await side.ends() == [end]
        assert await side.ends(noted=1) == []
        assert await side.start(payload='{"work_ms":80}') is StartAnswer.OUTDATED
        assert sum(line["event"] == "effect" for line in side.worker.history.events) == 1


async def test_a_stopped_run_never_starts_and_its_successor_goes_on_where_it_was() -> None:
    async with beside_worker() as side:
        await side.lease()
        (await side.runs.stop("a1.0.0.0", 1, TOKEN)).unwrap()
        assert await side.start(attempt=1) is StartAnswer.OUTDATED
        saved = msgspec.json.encode(Progress(done_ms=900)).decode()
        assert await side.start(attempt=2, saved=saved) is StartAnswer.STARTED
        (await side.runs.stop("a1.0.0.0", 2, TOKEN)).unwrap()
        (end,) = await side.ends()
        assert (end.attempt, end.kind) == (2, "stopped")
        assert msgspec.json.decode(end.saved, type=Progress).done_ms >= 900


async def test_what_runs_ends_with_the_lease() -> None:
    async with beside_worker() as side:
        await side.lease(0.2)
        assert await side.start(deadline_s=0.1) is StartAnswer.STARTED
        (end,) = await side.ends(wait_ms=1000)
        assert end.kind == "lapsed"


@pytest.mark.parametrize(
    ("payload", "deadline_s", "answer"),
    [
        ("{", 1.0, StartAnswer.INVALID),
        ('{"work_ms":"x"}', 1.0, StartAnswer.INVALID),
        ("{}", -0.1, StartAnswer.TOO_LATE),
    ],
)
async def test_a_start_that_cannot_be_carried_out_is_refused(
    payload: str, deadline_s: float, answer: StartAnswer
) -> None:
    async with beside_worker() as side:
        assert await side.start(payload=payload, deadline_s=deadline_s) is answer
        assert (await side.runs.hold(TOKEN, 0, 0, 0)).unwrap().running == []


async def test_an_older_token_and_another_life_are_told() -> None:
    async with beside_worker() as side:
        await side.lease()
        assert await side.start(token=TOKEN - 1) is CallFailure.FENCED
        earlier = HttpRuns.connect("gone", side.url)
        assert (await earlier.hold(TOKEN, 0, 0, 0)).unwrap_err() is CallFailure.OTHER_LIFE
        await earlier.close()
        http = HttpCaller.connect(side.url, 1.0)
        assert await read_life(http) == side.worker.runs.life
        await http.close()


async def test_a_start_wants_the_ticket_that_the_advice_service_gave() -> None:
    advice = StandInAdvice(History.open("a"), AdviceSettings())
    port = await advice.start("127.0.0.1", 0)
    client = HttpAdvice.connect(f"http://127.0.0.1:{port}")
    policy = AdvicePolicy(base_ms=5, each_ms=1, valid_ms=1000)
    async with beside_worker(wants_tickets=True) as side:
        life = side.worker.runs.life
        tickets = (await client.ask("a1.0.0", [life, "other"], policy)).unwrap().tickets
        for wrong in ("", tickets["other"]):
            assert await side.start(ticket=wrong) is StartAnswer.NO_TICKET
        assert await side.start(ticket=tickets[life]) is StartAnswer.STARTED
    await client.close()
    await advice.stop()


@pytest.mark.parametrize(("url", "code"), [("", "SL-202"), ("http://127.0.0.1:9", "SL-301")])
async def test_advice_that_is_not_there_is_a_failure(url: str, code: str) -> None:
    client = HttpAdvice.connect(url)
    found = await client.ask("a1.0.0", ["w"], AdvicePolicy())
    assert found.unwrap_err().code == code
    await client.close()


async def test_a_slower_pace_lengthens_a_run() -> None:
    async with beside_worker() as side:
        await side.lease()
        assert await side.start(payload='{"work_ms":200}') is StartAnswer.STARTED
        began = now()
        (await side.runs.pace("a1.0.0.0", 1, 25, TOKEN)).unwrap()
        await asyncio.sleep(0)
        (end,) = await side.ends(wait_ms=3000)
        assert (end.kind, now() - began > 0.6) == ("done", True)
