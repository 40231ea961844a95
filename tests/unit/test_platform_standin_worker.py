"""The stand-in of the platform's worker follows the contract of that worker."""

from collections.abc import AsyncIterator

import aiohttp
import msgspec
import pytest

from bench.platform_standin_run import Run, Script, WorkerState
from bench.platform_standin_worker import Behaviour, StandInWorker, WorkerSettings
from sapphirelead.node_ports import CallFailure, StartAnswer, StartCall
from sapphirelead.platform.worker import PlatformWorker
from sapphirelead.standin_history import History

WORK = '{"work_ms": 60}'
LONG = '{"work_ms": 60000, "saves": true}'


class WorkerHarness:
    """A stand-in worker and an agent's client for it."""

    async def start(self) -> None:
        settings = WorkerSettings("127.0.0.1", 0, "", "")
        self.standin = StandInWorker(History.open("w"), settings)
        self.port = await self.standin.start("127.0.0.1", 0)
        self.client = PlatformWorker.connect(self.standin.instance_id, f"127.0.0.1:{self.port}")

    def call(
        self, task: str, spec: str = WORK, attempt: int = 1, within_ms: int = 900
    ) -> StartCall:
        deadline_ms = self.standin.clock_ms + within_ms
        return StartCall(task, attempt, spec, "", "", deadline_ms, 5)

    async def start_run(self, call: StartCall) -> StartAnswer:
        return (await self.client.start(call)).unwrap().answer

    async def behave(self, behaviour: Behaviour) -> None:
        url = f"http://127.0.0.1:{self.port}/behave"
        async with aiohttp.ClientSession() as session:
            await session.post(url, data=msgspec.json.encode(behaviour))


@pytest.fixture
async def harness() -> AsyncIterator[WorkerHarness]:
    created = WorkerHarness()
    await created.start()
    yield created
    await created.client.close()
    await created.standin.stop()


async def test_ended_run_is_listed_until_acknowledged(harness: WorkerHarness) -> None:
    assert await harness.start_run(harness.call("a.0.0.0")) is StartAnswer.STARTED
    view = (await harness.client.hold(5, 0, 0, 1_000)).unwrap()
    assert [(end.number, end.task, end.kind) for end in view.ended] == [(1, "a.0.0.0", "done")]
    assert (await harness.client.hold(5, 1, 0, 0)).unwrap().ended == []
    assert await harness.start_run(harness.call("a.0.0.0")) is StartAnswer.OUTDATED
    assert await harness.start_run(harness.call("a.0.0.0", attempt=2)) is StartAnswer.STARTED


async def test_a_lower_token_and_a_late_start_are_refused(harness: WorkerHarness) -> None:
    assert await harness.start_run(harness.call("a.0.0.0")) is StartAnswer.STARTED
    assert (await harness.client.hold(4, 0, 0, 0)).err() is CallFailure.FENCED
    assert await harness.start_run(harness.call("b.0.0.0", within_ms=-1)) is StartAnswer.TOO_LATE


async def test_late_stop_is_carried_out_after_the_caller_timed_out(harness: WorkerHarness) -> None:
    assert (
        await harness.start_run(harness.call("a.0.0.0", LONG, within_ms=9_000))
        is StartAnswer.STARTED
    )
    await harness.behave(Behaviour(late_orders=1, late_s=0.6))
    assert (await harness.client.stop("a.0.0.0", 1, 5)).err() is CallFailure.NO_ANSWER
    view = (await harness.client.hold(5, 0, 0, 1_500)).unwrap()
    assert [(end.kind, end.saved != "") for end in view.ended] == [("stopped", True)]


def test_runs_due_during_a_pause_end_in_order_at_their_due_times() -> None:
    life = WorkerState(stop_s=1.0, lease_until=13.0)
    for task, work_ms in (("a", 5_000), ("b", 1_000), ("c", 2_000)):
        life.start(Run(task, 1, Script(work_ms), 10.0))
    ends = life.advance(100.0)
    assert [(end.task, end.how, end.at) for end in ends] == [
        ("b", "done", 11.0),
        ("c", "done", 12.0),
        ("a", "lapsed", 13.0),
    ]


def test_a_run_resumes_from_its_own_saved_progress_only() -> None:
    life = WorkerState(stop_s=1.0, lease_until=99.0)
    life.start(Run("a", 2, Script(5_000, saves=True), 10.0, saved="3000:a"))
    life.start(Run("b", 2, Script(5_000, saves=True), 10.0, saved="3000:a"))
    assert [(end.task, end.at) for end in life.advance(50.0)] == [("a", 12.0), ("b", 15.0)]
