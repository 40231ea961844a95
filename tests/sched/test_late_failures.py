"""Workers whose runs fail only after they have worked for a while; no network."""

import pytest

from sapphirelead.node_messages import AgentReport, RunEnded, RunPhase, RunStatus
from sapphirelead.sched_fleet import Phase, Run, RunKey
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import job, scheduler, store, worker_info
from tests.sched.test_scheduler import ended, submit

TICK_S = 0.1
RUN_S = 4.0
BAD = "g0"


class Site:
    """Four workers of eight tasks; :data:`BAD` fails each run ``fails_after_s`` from its start.

    :ivar failed: number of runs that have failed.
    """

    def __init__(self, fails_after_s: float) -> None:
        self.sched = scheduler()
        self.fails_after_s = fails_after_s
        self.failed = 0
        self._jobs = 0
        self._reports = 0
        self._started_at: dict[RunKey, float] = {}

    def advance(self, until: float, jobs_per_s: float) -> None:
        """Submit jobs, report and plan each tick."""
        for tick in range(round(until / TICK_S)):
            at = 1.0 + tick * TICK_S
            while self._jobs < tick * TICK_S * jobs_per_s:
                self._jobs += 1
                step = StepSpec(cpu_millicores=1000, estimate_ms=int(RUN_S * 1000))
                submit(self.sched, job(f"j{self._jobs}", step))
            for agent in (BAD, "g1", "g2", "g3"):
                self._report(agent, at)
            plan(self.sched, at, 0)
            store(self.sched)

    def _report(self, agent: str, at: float) -> None:
        statuses, ends = [], []
        for run in self.sched.fleet.runs.values():
            if run.agent != agent or run.phase is Phase.CLAIMED:
                continue
            ran_s = at - self._started_at.setdefault(run.key, at)
            end = self._end(run, ran_s)
            if end is not None:
                ends.append(end)
                continue
            percent = int(100 * ran_s / RUN_S)
            name = run.ref.text()
            statuses.append(RunStatus(name, run.attempt, RunPhase.RUNNING, percent))
        self._reports += 1
        info = worker_info(f"w-{agent}")
        report = AgentReport(agent, "b", self._reports, 1, 1, info, True, statuses, ends, ())
        apply_report(self.sched, report, 1, at)
        self.sched.fleet.instance(agent).renewed_at = at

    def _end(self, run: Run, ran_s: float) -> RunEnded | None:
        if run.agent == BAD and ran_s >= self.fails_after_s:
            self.failed += 1
            return ended(run, "failed", 1000 * self._reports + self.failed)
        return ended(run, "done", 1000 * self._reports) if ran_s >= RUN_S else None


@pytest.mark.parametrize("fails_after_s", [0.1, 2.5, 3.5])
def test_a_worker_that_fails_late_does_not_pass_its_trials(fails_after_s: float) -> None:
    """Guards against trials that end before the faults show, which release a worker's whole room.

    The sound workers have room for six jobs a second.
    """
    site = Site(fails_after_s)
    site.advance(60.0, jobs_per_s=5.8)
    assert site.failed <= 20
