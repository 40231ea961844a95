"""Runs that a worker's next life has begun although they were ordered for the last one."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from result import Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife, make_life
from sapphirelead.node_messages import AgentReport, RunPhase
from sapphirelead.node_ports import CallFailure, LifeView, StartAnswer, StartCall
from sapphirelead.runner_lease import RunnerLease
from sapphirelead.sched_timing import CLOCK_DRIFT_SHARE, Bounds
from tests.sched.agent_leader import TASK, reported_worker
from tests.sched.fakes import FakeRun, FakeWorker
from tests.sched.test_next_lives import FIRST_LIFE_AGE_S, Client, Site
from tests.sched.test_runner import life_of, order

pytestmark = pytest.mark.looptime

FIRST = WorkerLife("w1/0")
NEXT = WorkerLife("w1/7")

NOTICED_S = 1.2
"""Time until an agent that pauses between two list calls has learnt that another life answers."""

SETTLED_S = NOTICED_S + 1.04 * Bounds().lease_max_s + Bounds().kill_grace_s + 0.2
"""Time from a start until its lease has expired on the slowest clock and its run is killed."""


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class LeaseCappingWorker(FakeWorker):
    """A worker that grants no longer leases than the deployment allows."""

    def _accept_start(self, call: StartCall, late: bool = False) -> StartAnswer:
        before = self.lease_ms
        answer = super()._accept_start(call, late)
        longest_ms = self.clock_ms + int(Bounds().lease_max_s * 1000)
        self.lease_ms = max(before, min(self.lease_ms, longest_ms))
        return answer


class SlowlyClosingClient(Client):
    """A client whose connections take a while to close."""

    async def close(self) -> None:
        await asyncio.sleep(0.5)


class SuccessorSite(Site):
    """An agent that can list the runs of whichever life its worker has.

    :ivar can_list: whether it can; otherwise it learns only that another life answers.
    """

    def __init__(self, can_list: bool) -> None:
        super().__init__()
        self.worker = LeaseCappingWorker(work_s=60)
        self.worker.begin_life(0, age_s=FIRST_LIFE_AGE_S)
        if can_list:
            self.runner._list_life = self.list_life

    def connect(self, life: WorkerLife, address: str) -> Client:
        return SlowlyClosingClient(self.worker, life)

    async def list_life(
        self, life: WorkerLife, address: str, fencing_token: int
    ) -> Result[LifeView, CallFailure]:
        found = await self.worker.hold(fencing_token, 0, 0, 0)
        return found.map(lambda view: LifeView(make_life("w1", self.worker.born_ms), view))

    async def pause_lists(self) -> None:
        """Let the agent pause between two list calls, because of an outcome that is not stored."""
        self.worker.runs["z.0.0.0", 1] = FakeRun("z.0.0.0", 1, 0.0)
        self.worker.advance()
        await asyncio.sleep(2)
        holds = self.worker.holds
        while self.worker.holds == holds:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)

    async def begin_run_on_successor(self, work_s: float = 60.0) -> None:
        """Replace the worker by its next life, which carries out a start of the last one."""
        await self.pause_lists()
        self.worker.work_s = work_s
        self.worker.begin_life(7)
        self.order_start()
        while self.worker.starts == 0:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)

    def reports_of_end(self) -> list[AgentReport]:
        """Return the reports by which the first life has ended."""
        return [report for report in self.leader.reports if FIRST in report.ended_workers]

    def running(self, report: AgentReport) -> list[tuple[str, int]]:
        """Return the runs that a report lists as running."""
        return [(run.task, run.attempt) for run in report.runs if run.phase is RunPhase.RUNNING]


@asynccontextmanager
async def successor_site(can_list: bool = True) -> AsyncIterator[SuccessorSite]:
    """Run an agent that has met the life that was born at 0."""
    site = SuccessorSite(can_list)
    site.runner.start()
    await site.send_heartbeat(0)
    site.leader.order(0)
    await asyncio.sleep(0.1)
    yield site
    await site.runner.stop()
    await site.worker.close()


@pytest.mark.parametrize("can_list", [True, False])
@pytest.mark.parametrize("heartbeat_s", [0.0, 0.05, 0.4, 1.5])
async def test_a_run_of_the_next_life_never_ends_with_the_last(
    heartbeat_s: float, can_list: bool
) -> None:
    """Guards against a second run beside one that the next life has begun."""
    async with successor_site(can_list) as site:
        await site.begin_run_on_successor()
        await asyncio.sleep(heartbeat_s)
        assert site.reports_of_end() == []
        await site.send_heartbeat(7)
        await asyncio.sleep(1.0)
        assert list(site.worker.runs) == [(TASK, 1)]
        first = site.reports_of_end()[0]
        assert first.worker is not None
        assert (first.worker.worker, first.full) == (NEXT, True)
        assert site.running(first) == [(TASK, 1)]


@pytest.mark.parametrize("can_list", [True, False])
async def test_an_outcome_of_the_next_life_is_reported_with_the_end_of_the_last(
    can_list: bool,
) -> None:
    """Guards against a second run of a task that is done before the next life is met."""
    async with successor_site(can_list) as site:
        await site.begin_run_on_successor(work_s=0.1)
        await asyncio.sleep(NOTICED_S)
        site.worker.advance()
        assert site.reports_of_end() == []
        await site.send_heartbeat(7)
        await asyncio.sleep(1.0)
        first = site.reports_of_end()[0]
        assert [(end.task, end.kind, end.number) for end in first.ends if end.task == TASK] == [
            (TASK, "done", 1)
        ]


async def test_a_life_whose_successor_runs_nothing_ends_without_a_heartbeat() -> None:
    """Guards against tasks that wait for a heartbeat although their runs are known to be lost."""
    async with successor_site() as site:
        await site.pause_lists()
        site.order_start()
        while not site.worker.runs:
            await asyncio.sleep(0.001)
        site.worker.begin_life(7)
        await asyncio.sleep(NOTICED_S)
        assert [life.started for life in site.reports_of_end()[0].ended_lives] == [[(TASK, 1)]]


@pytest.mark.parametrize("can_list", [True, False])
async def test_a_successor_that_is_never_met_keeps_its_runs_until_their_lease_expires(
    can_list: bool,
) -> None:
    """Guards against a claim that ends before the run, and against one that never ends."""
    async with successor_site(can_list) as site:
        await site.begin_run_on_successor()
        began = now()
        while not site.reports_of_end():
            site.worker.advance()
            assert now() - began < SETTLED_S
            if (TASK, 1) in site.worker.runs:
                refused = site.leader.reports[-1]
                assert reported_worker(site.leader) == FIRST
            await asyncio.sleep(0.05)
        assert refused.worker_refuses and not refused.worker_answers
        assert site.worker.runs == {}


async def test_no_start_is_called_for_a_life_that_another_one_has_replaced() -> None:
    """Guards against a start that reaches the next life after that has listed its runs."""
    async with successor_site() as site:
        await site.begin_run_on_successor()
        await asyncio.sleep(NOTICED_S)
        starts = site.worker.starts
        report = site.leader.reports[-1].report_number
        site.leader.order(report, starts=[order("b.0.0.0")])
        await asyncio.sleep(1.0)
        assert site.worker.starts == starts
        await site.send_heartbeat(7)
        await asyncio.sleep(1.0)
        assert site.worker.starts == starts


async def test_no_start_is_called_while_another_life_is_being_met() -> None:
    """Guards against the same, where the life that is being met has answered already."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        with life.starts_paused():
            life.start(order())
            await asyncio.sleep(1.0)
            assert worker.starts == 0
        await asyncio.sleep(0.1)
        assert list(worker.runs) == [(TASK, 1)]


@pytest.mark.parametrize("kill_grace_s", [0.2, 8.0])
async def test_a_successor_keeps_its_runs_for_the_longest_lease_whatever_time_stops_take(
    kill_grace_s: float,
) -> None:
    """Guards against a bound that is derived from the agent's lease, which long stops shorten."""
    bounds = Bounds(kill_grace_s=kill_grace_s)
    lease = RunnerLease(bounds.lease_s, 0.0, bounds.lease_max_s)
    for checked in (lease, lease.for_next_life()):
        checked.inherit_runs(100.0)
        assert not checked.all_expired(100.0 + bounds.lease_max_s / (1 - CLOCK_DRIFT_SHARE))
