"""Straggler detection with gaps in reports or wrong estimates; no network, no clock."""

import pytest

from sapphirelead.runner_service import MAX_REPORT_INTERVAL_S
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_stragglers import review
from tests.sched.fakes import Agents, job, scheduler, store
from tests.sched.test_leader import SlowTable, leading
from tests.sched.test_scheduler import submit

STEP = StepSpec(cpu_millicores=1000, estimate_ms=4000, saves=True)


class ObservedFleet:
    """Workers that run one job of one step, with their reports."""

    def __init__(
        self,
        step: StepSpec,
        sched: Scheduler | None = None,
        workers: tuple[str, ...] = ("g1", "g2"),
    ) -> None:
        self.sched = sched or scheduler()
        self.agents = Agents(self.sched)
        self.at = 1.0
        self.boots: dict[str, str] = {}
        for agent in workers:
            self.agents.report(agent, at=self.at)
        submit(self.sched, job("a1", step))
        plan(self.sched, self.at, 0)
        store(self.sched)
        self.runs: list[Run] = list(self.sched.fleet.runs.values())

    def report(
        self, percents: dict[str, int], after_s: float = MAX_REPORT_INTERVAL_S, paced: int = 100
    ) -> None:
        """Advance the time, report the progress of runs by agent, and review."""
        self.at += after_s
        for agent, percent in percents.items():
            runs = [(run.ref.text(), run.attempt) for run in self.runs if run.agent == agent]
            boot = self.boots.get(agent, "b")
            self.agents.report(
                agent, runs=runs, percent=percent, at=self.at, boot=boot, paced=paced
            )
        review(self.sched, self.at)

    @property
    def run(self) -> Run:
        """The only run."""
        (run,) = self.runs
        return run

    @property
    def other(self) -> str:
        """The idle worker."""
        return "g2" if self.run.agent == "g1" else "g1"

    def report_progress(self, percents: list[int], paced: int = 100) -> None:
        """Report the run at each of ``percents``, in time."""
        for percent in percents:
            self.report({self.run.agent: percent, self.other: 0}, paced=paced)


@pytest.mark.parametrize("restarted", [True, False])
def test_run_is_not_slow_for_time_without_reports(restarted: bool) -> None:
    """Guards against stopping a run as slow because its agent was down or disconnected."""
    observed = ObservedFleet(STEP)
    observed.report_progress([0, 14])
    observed.at += 4.0
    if restarted:
        observed.boots[observed.run.agent] = "b2"
    observed.report_progress([14, 28, 42])
    assert not observed.run.stop_wanted


def test_agent_restart_does_not_mark_a_run_as_stalled() -> None:
    """Guards against stopping a run as stalled while its agent restarts."""
    observed = ObservedFleet(STEP)
    observed.report_progress([0, 14])
    observed.boots[observed.run.agent] = "b2"
    observed.report({observed.run.agent: 14, observed.other: 0}, after_s=1.1)
    observed.report_progress([14, 28, 42])
    assert not observed.run.stop_wanted


def test_late_processing_of_reports_does_not_mark_runs_as_slow() -> None:
    """Guards against stopping sound runs because the leader processed reports late."""
    observed = ObservedFleet(STEP)
    observed.report_progress([0, 14])
    observed.report({observed.run.agent: 15, observed.other: 0}, after_s=2.4)
    observed.report_progress([28, 42])
    assert not observed.run.stop_wanted


def test_stalled_run_is_moved_after_an_agent_restart() -> None:
    """Guards against an agent restart that hides a stalled run."""
    observed = ObservedFleet(STEP)
    observed.report_progress([0, 14])
    observed.boots[observed.run.agent] = "b2"
    observed.report_progress([14] * 6)
    assert observed.run.stop_wanted


def test_new_leader_judges_only_progress_that_it_observed() -> None:
    """Guards against stopping a run because its earlier progress was not observed."""
    observed = ObservedFleet(STEP)
    observed.report_progress([59, 73, 87, 99])
    assert not observed.run.stop_wanted


def test_run_of_unknown_pace_is_not_judged_by_its_speed() -> None:
    """Guards against moving a best-effort run as slow before its pace is known."""
    observed = ObservedFleet(StepSpec(cpu_millicores=1000, estimate_ms=4000, fills=True, image="f"))
    observed.report_progress([0, 4, 8, 12], paced=40)
    observed.boots[observed.run.agent] = "b2"
    observed.report_progress([16], paced=-1)
    assert not observed.run.stop_wanted


@pytest.mark.looptime
async def test_run_is_not_moved_to_an_unreachable_agent() -> None:
    """Guards against stopping a run to move it to an unreachable agent."""
    async with leading(SlowTable()) as leader:
        observed = ObservedFleet(STEP, leader.sched)
        observed.report_progress([0, 1])
        leader._send = lambda agent, _: agent != observed.other
        leader._answer(observed.other, observed.at, 0)
        observed.report({observed.run.agent: 2})
        assert not observed.run.stop_wanted
        observed.report_progress([3])
        assert observed.run.stop_wanted


def test_runs_are_not_moved_if_the_estimate_is_too_low() -> None:
    """Guards against discarding work because the estimate is too low."""
    observed = ObservedFleet(StepSpec(tasks=2, cpu_millicores=3000, estimate_ms=200))
    for percent in (0, 22, 44, 66, 88):
        observed.report({"g1": percent, "g2": percent})
    assert {run.agent for run in observed.runs} == {"g1", "g2"}
    assert not any(run.stop_wanted for run in observed.runs)


def test_slow_worker_is_detected_if_the_estimate_is_too_low() -> None:
    """Guards against missing a slow worker because the estimate is wrong."""
    step = StepSpec(tasks=3, cpu_millicores=3000, estimate_ms=400)
    observed = ObservedFleet(step, workers=("g1", "g2", "g3"))
    for number in range(5):
        observed.report({"g1": 11 * number, "g2": number, "g3": 11 * number})
    stopped = {run.agent for run in observed.runs if run.stop_wanted}
    assert stopped == {"g2"}
