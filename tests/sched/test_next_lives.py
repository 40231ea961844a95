"""Calls of an earlier life of a worker that reach the next one, which has the same id."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import pytest
from result import Err, Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife, make_life
from sapphirelead.node_ports import CallFailure, StartCall, StartResult, WorkerView
from sapphirelead.runner_service import Runner
from sapphirelead.sched_timing import Bounds
from tests.sched.agent_leader import TASK, FakeLeader, reported_worker
from tests.sched.fakes import FakeWorker, worker_info
from tests.sched.test_runner import order
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime

FIRST_LIFE_AGE_S = 100.0
"""Its clock is ahead of the next life's, so its deadlines are far in the next life's future."""


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class Client:
    """A client of one life; its calls reach whatever life the worker has.

    :ivar delay_s: delay of the responses to list calls.
    """

    def __init__(self, worker: FakeWorker, life: WorkerLife, delay_s: float = 0.0) -> None:
        self.worker = worker
        self.life = life
        self.delay_s = delay_s

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        found = await self.worker.hold(fencing_token, stored_through, lease_ms, wait_ms)
        same = make_life("w1", self.worker.born_ms) == self.life
        await asyncio.sleep(self.delay_s)
        return found if found.is_err() or same else Err(CallFailure.OTHER_LIFE)

    async def start(self, call: StartCall) -> Result[StartResult, CallFailure]:
        return await self.worker.start(call)

    async def stop(self, task: str, attempt: int, fencing_token: int) -> Result[int, CallFailure]:
        return await self.worker.stop(task, attempt, fencing_token)

    async def pace(
        self, task: str, attempt: int, percent: int, fencing_token: int
    ) -> Result[int, CallFailure]:
        return await self.worker.pace(task, attempt, percent, fencing_token)

    async def close(self) -> None:
        return None


class Site:
    """An agent beside a worker that may be born again under its id.

    :ivar delays: delay of list responses by birth of the client's life.
    """

    def __init__(self) -> None:
        self.worker = FakeWorker(work_s=60)
        self.worker.begin_life(0, age_s=FIRST_LIFE_AGE_S)
        self.delays: dict[int, float] = {}
        self.runner = Runner("g1", Bounds(), MemoryTable(), self.connect, cast(Any, None))
        self.leader = FakeLeader(self.runner)
        self.runner._links = cast(Any, self.leader)

    def connect(self, life: WorkerLife, address: str) -> Client:
        born = int(life.partition("/")[2])
        return Client(self.worker, life, self.delays.get(born, 0.0))

    async def send_heartbeat(self, born_ms: int, seq: int = 1) -> None:
        info = worker_info(make_life("w1", born_ms))
        await self.runner.worker_heartbeat(info, "x", seq)

    def order_start(self) -> None:
        self.leader.order(self.leader.reports[-1].report_number, starts=[order()])

    async def return_with_late_start(self, late_s: float, down_s: float) -> None:
        """Begin the life born at 7 while a start of the first one is carried out late.

        :param down_s: time for which connections are refused before the next life listens.
        """
        self.worker.faults = ["late"]
        self.worker.late_s = late_s
        self.order_start()
        await asyncio.sleep(0.05)
        self.worker.refuses = down_s > 0
        self.worker.begin_life(7)
        await asyncio.sleep(down_s)
        self.worker.refuses = False


@asynccontextmanager
async def running_site() -> AsyncIterator[Site]:
    """Run an agent that has met the life that was born at 0."""
    site = Site()
    site.runner.start()
    await site.send_heartbeat(0)
    site.leader.order(0)
    await asyncio.sleep(0.1)
    yield site
    await site.runner.stop()
    await site.worker.close()


@pytest.mark.parametrize("down_s", [0.0, 0.15, 1.0])
async def test_a_late_start_of_an_earlier_life_is_refused_by_the_next(down_s: float) -> None:
    """Guards against a task that runs twice: its run has ended for the leader with that life."""
    async with running_site() as site:
        await site.return_with_late_start(3.0, down_s)
        await site.send_heartbeat(7)
        await asyncio.sleep(4.0)
        assert reported_worker(site.leader) == "w1/7"
        assert "w1/0" in site.leader.reports[-1].ended_workers
        assert site.worker.runs == {}


@pytest.mark.parametrize("down_s", [0.0, 0.2])
async def test_a_late_start_is_refused_before_the_heartbeat_of_the_next_life(
    down_s: float,
) -> None:
    """Guards against the same, in the time from a life's start to its first heartbeat."""
    async with running_site() as site:
        await site.return_with_late_start(2.0, down_s)
        await asyncio.sleep(3.0)
        assert site.worker.runs == {}


async def test_a_late_list_call_of_an_earlier_life_forgets_no_end_of_the_next() -> None:
    """Guards against a lost outcome: the earlier life's numbers of stored ends are higher."""
    async with running_site() as site:
        earlier = site.runner._token.value
        site.worker.begin_life(7)
        await site.send_heartbeat(7)
        await asyncio.sleep(0.1)
        site.worker.work_s = 0.1
        site.order_start()
        await asyncio.sleep(0.5)
        assert (await site.worker.hold(earlier, 50, 0, 0)).err() is CallFailure.FENCED
        assert [end.task for end in site.worker.ended] == [TASK]


async def test_a_late_answer_of_an_earlier_life_does_not_replace_the_next() -> None:
    """Guards against a live worker that counts as ended because its predecessor answered late."""
    async with running_site() as site:
        site.delays[7] = 2.0
        site.worker.begin_life(7)
        meeting = asyncio.create_task(site.send_heartbeat(7))
        await asyncio.sleep(0.5)
        site.worker.begin_life(9)
        await site.send_heartbeat(9)
        await asyncio.sleep(0.1)
        site.order_start()
        await meeting
        await asyncio.sleep(1.0)
        assert reported_worker(site.leader) == "w1/9"
        assert list(site.worker.runs) == [(TASK, 1)]


@pytest.mark.parametrize("births", [(5, 9, 7), (9, 5, 7), (5, 4, 3)])
async def test_lives_are_told_apart_in_any_order_of_their_births(births: tuple[int, ...]) -> None:
    """Guards against a life that is taken for an earlier one because the clock was set back."""
    async with running_site() as site:
        for born in births:
            site.worker.begin_life(born)
            await site.send_heartbeat(born)
            await asyncio.sleep(1.0)
            assert reported_worker(site.leader) == f"w1/{born}"
            for earlier in (0, *births[: births.index(born)]):
                await site.send_heartbeat(earlier, seq=99)
                assert reported_worker(site.leader) == f"w1/{born}"


@pytest.mark.parametrize("silent_s", [0.2, 2.0, 15.0])
async def test_a_worker_that_is_reborn_behind_a_cut_is_met(silent_s: float) -> None:
    """Guards against runs that go on in reports, and a worker lost, after a silent crash."""
    async with running_site() as site:
        site.order_start()
        await asyncio.sleep(1.0)
        assert list(site.worker.runs) == [(TASK, 1)]
        site.worker.not_responding = True
        site.worker.begin_life(7)
        await asyncio.sleep(silent_s)
        site.worker.not_responding = False
        await site.send_heartbeat(7)
        await asyncio.sleep(1.0)
        report = site.leader.reports[-1]
        assert reported_worker(site.leader) == "w1/7"
        assert ("w1/0" in report.ended_workers, report.runs) == (True, [])
        site.order_start()
        await asyncio.sleep(0.5)
        assert list(site.worker.runs) == [(TASK, 1)]
