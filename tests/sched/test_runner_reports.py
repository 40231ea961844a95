"""What an agent reports, and what it makes of a leader or a worker that is slow or silent."""

import asyncio
from itertools import pairwise
from typing import Any, cast

import pytest
from result import Err, Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.model_resources import Resources
from sapphirelead.node_leader import ANSWER_S
from sapphirelead.node_messages import (
    Leads,
)
from sapphirelead.ports import Row
from sapphirelead.runner_lease import MUTE_S, RunnerLease
from sapphirelead.runner_service import Runner
from sapphirelead.sched_timing import MAX_ORDER_AGE_S, Bounds
from tests.sched.agent_leader import TASK, FakeLeader, agent_of, reported_worker
from tests.sched.fakes import FakeWorker
from tests.sched.test_runner import kinds, life_of, order
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class SlowTable(MemoryTable):
    """A store that answers no scan for a second."""

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        await asyncio.sleep(1.0)
        return Err(Failure(Code.STORE_UNAVAILABLE, "no answer"))


def test_an_acknowledgement_extends_the_lease_however_many_reports_went_out_since() -> None:
    """Guards against runs that lapse, and starts that are refused, once reports follow quickly."""
    lease = RunnerLease(9.5, 0.0)
    count = int(MAX_ORDER_AGE_S / runner_service.SPACING_S)
    for beat in range(1, count + 1):
        lease.sent(beat, beat * runner_service.SPACING_S)
    at = count * runner_service.SPACING_S
    assert lease.bears_starts(1, at)
    lease.acknowledged(1)
    assert lease.until == pytest.approx(runner_service.SPACING_S + 9.5)


def test_reports_are_remembered_for_the_length_of_a_lease_at_most() -> None:
    """Guards against a memory of reports that grows for as long as the process lives."""
    lease = RunnerLease(9.5, 0.0)
    for beat in range(1, 10_000):
        lease.sent(beat, beat * runner_service.SPACING_S)
    assert lease.remembered <= 9.5 / runner_service.SPACING_S + 2
    lease.acknowledged(1)
    assert lease.until == 0.0


async def test_reports_go_on_while_the_store_does_not_answer() -> None:
    """Guards against runs that lapse because a slow leader and a slow store meet."""
    async with agent_of(FakeWorker(work_s=60), SlowTable()) as leader:
        leader.acknowledges = False
        await asyncio.sleep(2 * runner_service.SILENCE_S)
        await asyncio.sleep(10)
        gaps = [after - before for before, after in pairwise(leader.reported_at)]
        assert max(gaps) <= runner_service.REPORT_S + 2 * runner_service.SPACING_S


async def test_a_worker_that_stays_silent_is_given_up_while_the_leader_is_well() -> None:
    """Guards against runs of a worker that hangs being claimed, and not started anew, for good."""
    worker = FakeWorker(work_s=600)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order()])
        await asyncio.sleep(5)
        worker.silent = True
        await asyncio.sleep(MUTE_S + Bounds().loss_s - 1)
        assert reported_worker(leader) == "w1"
        await asyncio.sleep(3)
        assert reported_worker(leader) == ""
        assert leader.reports[-1].gone == ("w1",)


async def test_a_silent_worker_is_given_up_although_starts_are_ordered() -> None:
    """Guards against runs of a worker that hangs being claimed for good while it is ordered on."""
    worker = FakeWorker(work_s=600)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order()])
        await asyncio.sleep(5)
        worker.silent = True
        silent_at = now()
        number = 0
        while reported_worker(leader) and now() - silent_at < 60:
            number += 1
            small = order(f"b{number}.0.0.0", room=Resources(1, 1))
            leader.order(leader.reports[-1].beat, starts=[small])
            await asyncio.sleep(1)
        assert now() - silent_at < MUTE_S + Bounds().loss_s + 3


async def test_a_start_for_a_mute_worker_is_refused_unsent() -> None:
    """Guards against a run that may begin on a worker whose runs are about to count as over."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        await asyncio.sleep(1)
        worker.silent = True
        await asyncio.sleep(MUTE_S + 1.5)
        life.start(order())
        await asyncio.sleep(0.1)
        assert worker.starts == 0
        assert kinds(life) == {TASK: "not_started"}
        worker.silent = False
        await asyncio.sleep(1.5)
        life.start(order(attempt=2))
        await asyncio.sleep(0.1)
        assert list(worker.runs) == [(TASK, 2)]


async def test_a_worker_that_is_silent_for_seconds_keeps_its_runs() -> None:
    """Guards against work that lapses because its worker left a few calls unanswered."""
    worker = FakeWorker(work_s=600)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order()])
        await asyncio.sleep(5)
        worker.silent = True
        await asyncio.sleep(7)
        worker.silent = False
        await asyncio.sleep(10)
        assert list(worker.runs) == [(TASK, 1)]


async def test_a_report_names_the_newest_orders_of_the_leader_it_goes_to() -> None:
    """Guards against starts taken for lost by a leader that reads an older report late."""
    async with agent_of(FakeWorker(work_s=60)) as leader:
        leader.acknowledges = False
        leader.order(leader.reports[-1].beat)
        await asyncio.sleep(2 * runner_service.REPORT_S)
        assert leader.reports[-1].orders == leader.ordered
        leader.epoch = 2
        leader.runner._on_message("e", Leads(2, "e"))
        await asyncio.sleep(2 * runner_service.SPACING_S)
        assert leader.reports[-1].orders == 0


class BusyLeader(FakeLeader):
    """A leader that takes so many reports a second, each in its turn, and answers as leaders do."""

    def __init__(self, runner: Runner, reports_per_s: float) -> None:
        super().__init__(runner)
        self.acknowledges = False
        self.spacing_s = 1 / reports_per_s
        self.taken_at: list[float] = []
        self.task = asyncio.create_task(self.take())

    async def take(self) -> None:
        """Take reports in their order and acknowledge some of them."""
        answered_at = -1.0
        while True:
            await asyncio.sleep(self.spacing_s)
            if len(self.taken_at) == len(self.reports):
                continue
            beat = self.reports[len(self.taken_at)].beat
            self.taken_at.append(now())
            if now() - answered_at >= ANSWER_S:
                answered_at = now()
                self.order(beat, beat=beat)


@pytest.mark.parametrize("reports_per_s", [2.5, 5, 20])
async def test_an_agent_with_much_news_does_not_outrun_a_busy_leader(reports_per_s: float) -> None:
    """Guards against one busy agent whose reports lie unread until its orders are stale."""
    async with agent_of(FakeWorker(work_s=600)) as patient:
        runner = patient.runner
        leader = BusyLeader(runner, reports_per_s)
        leader.reports.append(patient.reports[-1])
        leader.reported_at.append(now())
        runner._links = cast(Any, leader)
        for _ in range(2000):
            runner._wake.set()
            await asyncio.sleep(0.01)
        waited = [
            taken - sent for sent, taken in zip(leader.reported_at, leader.taken_at, strict=False)
        ]
        leader.task.cancel()
        assert max(waited) <= MAX_ORDER_AGE_S
        assert len(leader.taken_at) >= 20 * min(reports_per_s, 1 / runner_service.REPORT_S) - 2


async def test_news_goes_out_at_once_while_the_leader_keeps_up() -> None:
    """Guards against ends and starts that are reported late for fear of a leader that is well."""
    async with agent_of(FakeWorker(work_s=600)) as leader:
        for _ in range(500):
            leader.runner._wake.set()
            await asyncio.sleep(0.01)
        gaps = [after - before for before, after in pairwise(leader.reported_at[5:])]
        assert max(gaps) <= 2 * runner_service.SPACING_S
