"""Runs of a worker's next life at the moments in which its agent knows least about them."""

import asyncio

import pytest
from result import Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife, make_life
from sapphirelead.node_messages import AgentReport, RunPhase, RunStatus
from sapphirelead.node_ports import CallFailure, StartAnswer, StartCall, WorkerView
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import Job
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import CLOCK_DRIFT_SHARE, Bounds
from tests.sched.agent_leader import TASK, reported_worker
from tests.sched.fakes import FakeRun, FakeWorker, job, scheduler, worker_info
from tests.sched.test_next_lives import FIRST_LIFE_AGE_S
from tests.sched.test_runner import order
from tests.sched.test_runs_on_successors import FIRST, NEXT, NOTICED_S, SuccessorSite

pytestmark = pytest.mark.looptime

REF = TaskRef("a", 0, 0, 0)

LONGEST_RUN_S = 14.0
"""Time in which every lease of the next life has expired and its runs have been killed."""

RESTART_S = 9.0
"""Time within which a task whose worker is lost for good must be free to run elsewhere."""


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class CappingWorker(FakeWorker):
    """A worker with a slow clock that shortens leases to the longest that the deployment allows."""

    @property
    def clock_ms(self) -> int:
        return int((now() - self._born_at) * (1 - CLOCK_DRIFT_SHARE) * 1000) + 500_000

    def _cap(self, before_ms: int) -> None:
        longest_ms = self.clock_ms + int(Bounds().lease_max_s * 1000)
        self.lease_ms = max(before_ms, min(self.lease_ms, longest_ms))

    def _accept_start(self, call: StartCall, late: bool = False) -> StartAnswer:
        before_ms = self.lease_ms
        answer = super()._accept_start(call, late)
        self._cap(before_ms)
        return answer

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        longest_ms = self.clock_ms + int(Bounds().lease_max_s * 1000)
        return await super().hold(fencing_token, stored_through, min(lease_ms, longest_ms), wait_ms)


class GapSite(SuccessorSite):
    """An agent whose worker caps leases in list calls too."""

    def __init__(self) -> None:
        super().__init__(can_list=True)
        self.worker = CappingWorker(work_s=60)
        self.worker.begin_life(0, age_s=FIRST_LIFE_AGE_S)

    @classmethod
    def beside(cls, worker: FakeWorker) -> "GapSite":
        """Return an agent that starts beside a worker that runs already."""
        site = cls()
        site.worker = worker
        return site

    async def __aenter__(self) -> "GapSite":
        self.runner.start()
        await self.send_heartbeat(0)
        self.leader.order(0)
        await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.runner.stop()
        await self.worker.close()

    async def assert_no_end_beside_run(self, life: WorkerLife) -> None:
        """Check that no report names ``life`` as ended while the worker runs the task."""
        began = now()
        while now() - began < LONGEST_RUN_S:
            self.worker.advance()
            running = (TASK, 1) in self.worker.runs
            report = self.leader.reports[-1]
            if running:
                assert life not in report.ended_workers, f"after {now() - began:.1f} s"
            await asyncio.sleep(0.05)
        assert self.worker.runs == {}


@pytest.mark.parametrize("silence", ["refuses", "not_responding"])
async def test_a_life_that_falls_silent_keeps_what_its_successor_runs(silence: str) -> None:
    """Guards against a second run when the next life falls silent before any list of it is read.

    The next life's clock starts anew, so that it grants its longest lease for each call.
    """
    async with GapSite() as site:
        await site.begin_run_on_successor()
        setattr(site.worker, silence, True)
        await site.assert_no_end_beside_run(FIRST)


@pytest.mark.parametrize("silence", ["refuses", "not_responding"])
async def test_a_next_life_that_falls_silent_once_met_keeps_the_runs_that_it_was_met_with(
    silence: str,
) -> None:
    """Guards against a second run: its lease was granted for calls of the last life."""
    async with GapSite() as site:
        await site.begin_run_on_successor()
        meeting = asyncio.create_task(site.send_heartbeat(7))
        while reported_worker(site.leader) != NEXT:
            await asyncio.sleep(0.001)
        setattr(site.worker, silence, True)
        await meeting
        await site.assert_no_end_beside_run(NEXT)


@pytest.mark.parametrize("life", ["same", "unmet", "met"])
async def test_a_run_ends_with_the_claim_of_an_agent_that_is_cut_off(life: str) -> None:
    """Guards against a second run beside one that the next life of a cut-off worker has begun.

    The leader ends the claims a fixed time after the last acknowledgement that it has sent.
    """
    async with GapSite() as site:
        if life == "same":
            site.order_start()
            await asyncio.sleep(1.0)
        else:
            await site.begin_run_on_successor()
        assert (TASK, 1) in site.worker.runs
        renewed_at = now()
        site.leader.acknowledges = False
        if life == "met":
            await site.send_heartbeat(7)
        while now() < renewed_at + Bounds().loss_s:
            site.worker.advance()
            await asyncio.sleep(0.05)
        assert (TASK, 1) not in site.worker.runs


async def test_an_acknowledgement_for_the_last_life_discards_no_outcome_of_the_next() -> None:
    """Guards against a second run of a task whose outcome the next life was told to forget."""
    async with GapSite() as site:
        for task in ("x.0.0.0", "y.0.0.0"):
            site.worker.runs[task, 1] = FakeRun(task, 1, 0.0)
        site.worker.advance()
        await asyncio.sleep(1)
        site.leader.order(0, stored=[("x.0.0.0", 1), ("y.0.0.0", 1)])
        await asyncio.sleep(0.5)
        assert site.worker.ended == []
        await site.begin_run_on_successor(work_s=0.02)
        await asyncio.sleep(NOTICED_S)
        await site.send_heartbeat(7)
        await asyncio.sleep(1.0)
        first = site.reports_of_end()[0]
        assert [(end.task, end.kind) for end in first.ends if end.task == TASK] == [(TASK, "done")]


async def test_runs_that_the_next_life_does_not_list_end_although_it_is_never_met() -> None:
    """Guards against tasks that wait for a lease of the next life, which does not run them."""
    async with GapSite() as site:
        site.leader.order(site.leader.reports[-1].report_number, starts=[order("u.0.0.0")])
        await asyncio.sleep(1.0)
        assert ("u.0.0.0", 1) in site.worker.runs
        await site.begin_run_on_successor()
        began = now()
        await asyncio.sleep(NOTICED_S)
        site.worker.begin_life(9)
        site.worker.refuses = True
        while not any(
            FIRST in report.ended_workers or any(end.task == "u.0.0.0" for end in report.ends)
            for report in site.leader.reports
        ):
            assert now() - began < RESTART_S
            await asyncio.sleep(0.05)


async def test_a_life_at_another_address_is_met_although_the_last_one_is_unsettled() -> None:
    """Guards against a worker that stays idle until leases of a process that is gone expire."""
    async with GapSite() as site:
        await site.begin_run_on_successor()
        await asyncio.sleep(NOTICED_S)
        site.worker.begin_life(9)
        for seq in range(1, 5):
            info = worker_info(make_life("w1", 9))
            await site.runner.worker_heartbeat(info, "y", seq)
            await asyncio.sleep(1.0)
        assert reported_worker(site.leader) == "w1/9"


def claiming_leader() -> Scheduler:
    """Return a leader's scheduler with the claim on the first life."""
    sched = scheduler()
    claimed = Job.accept(job("a"))
    claimed.claim(REF, "g1", FIRST)
    sched.load(claimed)
    return sched


def claims(sched: Scheduler, reports: list[AgentReport]) -> list[tuple[int, WorkerLife]]:
    """Apply reports; return the claims of the task."""
    for report in reports:
        apply_report(sched, report, 1, report.report_number / 10)
    return [(claim.attempt, claim.worker) for _, claim in sched.jobs["a"].claims()]


@pytest.mark.parametrize("lost", [0, 1])
async def test_a_claim_moves_although_the_first_report_of_the_next_life_is_lost(lost: int) -> None:
    """Guards against a second run after a report is lost with the connection that carried it."""
    async with GapSite() as site:
        await site.begin_run_on_successor()
        await asyncio.sleep(NOTICED_S)
        count = len(site.leader.reports)
        site.leader.acknowledges = False
        await site.send_heartbeat(7)
        while len(site.leader.reports) < count + 3:
            await asyncio.sleep(0.01)
        assert reported_worker(site.leader) == NEXT
        sched = claiming_leader()
        assert claims(sched, site.leader.reports[:count]) == [(1, FIRST)]
        assert claims(sched, site.leader.reports[count + lost :]) == [(1, NEXT)]


async def test_a_failure_on_the_next_life_is_no_cause_of_the_crash_of_the_last() -> None:
    """Guards against a task that is given up for crashes of workers that never ran it."""
    async with GapSite() as site:
        await site.begin_run_on_successor(work_s=0.6)
        site.worker.runs[TASK, 1].kind = "failed"
        await asyncio.sleep(NOTICED_S)
        await site.send_heartbeat(7)
        await asyncio.sleep(1.0)
        sched = claiming_leader()
        assert claims(sched, site.leader.reports) == []
        assert REF not in sched.quarantine


def test_a_claim_moves_to_the_next_life_although_the_run_is_being_stopped_there() -> None:
    """Guards against a second run, after a change of leader, beside one that takes time to stop."""
    sched = claiming_leader()
    stopping = RunStatus(TASK, 1, RunPhase.STOPPING, 10)
    info = worker_info(NEXT)
    report = AgentReport("g1", "b", 1, 1, 1, info, True, [stopping], [], (FIRST,))
    assert claims(sched, [report]) == [(1, NEXT)]


@pytest.mark.parametrize("born_after_s", [0.01, 0.2, 0.4])
async def test_a_run_of_a_life_that_begins_while_a_list_call_waits_does_not_end_with_the_last(
    born_after_s: float,
) -> None:
    """Guards against a second run where the connection of the waiting call is not reset."""
    async with GapSite() as site:
        holds = site.worker.holds
        while site.worker.holds == holds:
            await asyncio.sleep(0.001)
        await asyncio.sleep(born_after_s)
        site.worker.begin_life(7)
        site.order_start()
        await asyncio.sleep(2.0)
        await site.send_heartbeat(7)
        await asyncio.sleep(1.0)
        assert list(site.worker.runs) == [(TASK, 1)]
        first = site.reports_of_end()[0]
        assert first.worker is not None and first.worker.worker == NEXT
        assert site.running(first) == [(TASK, 1)]


async def test_a_late_start_is_not_carried_out_by_a_third_life() -> None:
    """Guards against a second run where the life that was fenced ends before the late start.

    Each life begins without a fencing token.
    """
    async with GapSite() as site:
        site.worker.faults = ["late"]
        site.worker.late_s = 1.5
        site.order_start()
        await asyncio.sleep(0.2)
        site.worker.begin_life(7)
        while not site.reports_of_end():
            await asyncio.sleep(0.01)
        site.worker.begin_life(9)
        await asyncio.sleep(2.0)
        assert site.worker.runs == {}


async def test_a_claim_moves_although_leader_and_agent_change_while_a_life_is_unsettled() -> None:
    """Guards against a second run after a change of leader, of the agent's process, or of both."""
    async with GapSite() as site:
        await site.begin_run_on_successor()
        await asyncio.sleep(NOTICED_S)
        count = len(site.leader.reports)
        await site.runner.stop()
        async with GapSite.beside(site.worker) as later:
            await later.send_heartbeat(7)
            await asyncio.sleep(1.0)
            for first_read in (0, count - 1, count):
                sched = claiming_leader()
                assert claims(sched, site.leader.reports[first_read:]) == [(1, FIRST)]
                assert claims(sched, later.leader.reports) == [(1, NEXT)]
            assert list(site.worker.runs) == [(TASK, 1)]
