"""Tasks on workers that are slow, leaving, full or unsound; no network, no clock."""

import math

import pytest

from sapphirelead.runner_service import MAX_REPORT_INTERVAL_S
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_job import JobState
from sapphirelead.sched_leaving import empty_leaving_workers
from sapphirelead.sched_planner import GROUPING_DELAY_S, plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_stragglers import review
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_scheduler import ended, only_run, runs, submit


class TestStragglers:
    """Slow and stalled runs."""

    STEP = StepSpec(cpu_millicores=1000, estimate_ms=4000, saves=True)

    def start_run(self, step: StepSpec) -> tuple[Scheduler, Agents, Run]:
        """Start one run of ``step`` on one of two workers."""
        sched = scheduler()
        agents = Agents(sched)
        for agent in ("g1", "g2"):
            agents.report(agent, at=1.0)
        submit(sched, job("a1", step))
        plan(sched, 1.0, 0)
        store(sched)
        run = only_run(sched)
        agents.report(run.agent, runs=[(run.ref.text(), 1)], percent=0, at=1.1)
        return sched, agents, run

    def report_until(self, agents: Agents, run: Run, percent: int, until: float) -> None:
        """Report the run's progress in time from 1.1 on, up to ``percent`` at ``until``."""
        reports = math.ceil((until - 1.1) / MAX_REPORT_INTERVAL_S)
        for number in range(1, reports + 1):
            share = number / reports
            at = 1.1 + share * (until - 1.1)
            done = int(share * percent)
            agents.report(run.agent, runs=[(run.ref.text(), 1)], percent=done, at=at)

    @pytest.mark.parametrize(("percent", "stopped"), [(3, True), (40, False)])
    def test_slow_run_is_stopped_and_moved(self, percent: int, stopped: bool) -> None:
        sched, agents, run = self.start_run(self.STEP)
        other = "g2" if run.agent == "g1" else "g1"
        agents.report(other, at=3.0)
        self.report_until(agents, run, percent, 3.0)
        review(sched, 3.0)
        assert run.stop_wanted is stopped
        if stopped:
            agents.report(run.agent, ends=[ended(run, "stopped", saved="x")], at=3.2)
            plan(sched, 3.2, 0)
            assert only_run(sched).agent == other

    def test_slow_run_with_copies_is_duplicated_and_the_first_end_counts(self) -> None:
        sched, agents, run = self.start_run(
            StepSpec(cpu_millicores=1000, estimate_ms=4000, copies=True)
        )
        other = "g2" if run.agent == "g1" else "g1"
        agents.report(other, at=3.0)
        self.report_until(agents, run, 2, 3.0)
        review(sched, 3.0)
        store(sched)
        assert runs(sched) == [("a1.0.0.0", 1), ("a1.0.0.0", 2)]
        copy = sched.fleet.runs[(run.ref, 2)]
        agents.report(other, ends=[ended(copy, "done")], at=4.0)
        store(sched)
        assert sched.state("a1") is JobState.COMPLETED
        assert run.stop_wanted

    def test_run_is_not_stopped_without_another_worker(self) -> None:
        sched, agents, run = self.start_run(self.STEP)
        self.report_until(agents, run, 1, 4.0)
        review(sched, 4.0)
        assert not run.stop_wanted


class TestLeavingWorkers:
    """Workers that are about to leave the fleet."""

    def run_on_leaving_worker(self, step: StepSpec, percent: int, remaining_ms: int) -> Run:
        """Return a run on a leaving worker after it was emptied and planned for."""
        sched = scheduler()
        agents = Agents(sched)
        agents.report(at=1.0)
        submit(sched, job("a1", step))
        plan(sched, 1.0, 0)
        plan(sched, 1.1 + GROUPING_DELAY_S, 0)
        store(sched)
        run = only_run(sched)
        info = worker_info("w-g1", draining=True, remaining_ms=remaining_ms)
        agents.report(worker=info, runs=[(run.ref.text(), 1)], percent=percent, at=2.0)
        empty_leaving_workers(sched, 2.0)
        submit(sched, job("b2"))
        plan(sched, 2.0, 0)
        assert len(sched.fleet.runs) == 1
        return run

    @pytest.mark.parametrize(
        ("step", "percent", "remaining_ms", "stopped"),
        [
            (StepSpec(lasting=True), 100, 8000, True),
            (StepSpec(saves=True, estimate_ms=8000), 20, 1500, True),
            (StepSpec(saves=True, estimate_ms=8000), 20, 6000, False),
            (StepSpec(saves=True, estimate_ms=2000), 90, 1500, False),
            (StepSpec(estimate_ms=8000), 20, 1500, False),
        ],
    )
    def test_runs_that_cannot_stay_are_stopped_in_time(
        self, step: StepSpec, percent: int, remaining_ms: int, stopped: bool
    ) -> None:
        assert self.run_on_leaving_worker(step, percent, remaining_ms).stop_wanted is stopped


class TestJobsThatWaitForRoom:
    """Best-effort tasks without spare CPU, and fleets of unsound workers."""

    FILL = StepSpec(tasks=4, cpu_millicores=6000, estimate_ms=5000, image="f", fills=True)

    def test_starving_job_starts_where_its_memory_fits(self) -> None:
        """Guards against a job that starves because earlier jobs use all spare CPU.

        One of its tasks starts after the starvation threshold and shares the CPU.
        """
        sched = scheduler()
        agents = Agents(sched)
        agents.report(at=1.0)
        submit(sched, job("a1", self.FILL))
        plan(sched, 1.0, 0)
        store(sched)
        submit(sched, job("a2", self.FILL))
        agents.report(at=1.1)
        plan(sched, 1.1, 0)
        assert not any(run.ref.job_id == "a2" for run in sched.fleet.runs.values())
        for step in range(1, 30):
            at = 1.1 + step * 0.1
            agents.report(at=at)
            plan(sched, at, 0)
        started = [run for run in sched.fleet.runs.values() if run.ref.job_id == "a2"]
        assert len(started) == 1

    def test_job_runs_even_if_every_worker_is_unsound(self) -> None:
        sched = scheduler()
        agents = Agents(sched)
        agents.report(at=1.0)
        for _ in range(3):
            sched.fleet.instance("g1").track.record_failure(1.0)
        submit(sched, job("a1", StepSpec(cpu_millicores=100)))
        plan(sched, 1.1, 0)
        assert runs(sched) == []
        agents.report(at=2.8)
        plan(sched, 2.8, 0)
        assert len(runs(sched)) == 1
