"""Runs that nobody reported for a while, or whose estimate is wrong; no network, no clock."""

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


class Watched:
    """Workers that run the tasks that they were given, one job of one step."""

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
        """Let time pass, then let the agents named report how far their runs are."""
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
        """The worker that runs nothing."""
        return "g2" if self.run.agent == "g1" else "g1"

    def goes_on(self, percents: list[int], paced: int = 100) -> None:
        """Let both agents report in time, the run at each of ``percents``."""
        for percent in percents:
            self.report({self.run.agent: percent, self.other: 0}, paced=paced)


@pytest.mark.parametrize("restarted", [True, False])
def test_time_in_which_no_agent_reports_is_not_held_against_a_run(restarted: bool) -> None:
    """Guards against a run that is stopped as slow because its agent was away, or was cut off."""
    watched = Watched(STEP)
    watched.goes_on([0, 14])
    watched.at += 4.0
    if restarted:
        watched.boots[watched.run.agent] = "b2"
    watched.goes_on([14, 28, 42])
    assert not watched.run.stop_wanted


def test_a_restart_of_the_agent_is_no_sign_that_a_run_stands_still() -> None:
    """Guards against a run that is stopped for the second in which its agent was started again."""
    watched = Watched(STEP)
    watched.goes_on([0, 14])
    watched.boots[watched.run.agent] = "b2"
    watched.report({watched.run.agent: 14, watched.other: 0}, after_s=1.1)
    watched.goes_on([14, 28, 42])
    assert not watched.run.stop_wanted


def test_a_leader_that_takes_its_reports_late_does_not_call_runs_slow() -> None:
    """Guards against a leader that stops sound runs because its own reports waited."""
    watched = Watched(STEP)
    watched.goes_on([0, 14])
    watched.report({watched.run.agent: 15, watched.other: 0}, after_s=2.4)
    watched.goes_on([28, 42])
    assert not watched.run.stop_wanted


def test_a_run_that_stands_still_is_moved_though_its_agent_was_restarted() -> None:
    """Guards against a restart that hides for good that a run stands still."""
    watched = Watched(STEP)
    watched.goes_on([0, 14])
    watched.boots[watched.run.agent] = "b2"
    watched.goes_on([14] * 6)
    assert watched.run.stop_wanted


def test_a_new_leader_does_not_judge_a_run_by_what_it_did_before() -> None:
    """Guards against a run that is first seen at 59 percent and is stopped at the first looks."""
    watched = Watched(STEP)
    watched.goes_on([59, 73, 87, 99])
    assert not watched.run.stop_wanted


def test_a_run_whose_pace_is_unknown_is_not_judged_by_its_pace() -> None:
    """Guards against a filling run that is moved as slow before its agent has found its pace."""
    watched = Watched(StepSpec(cpu_millicores=1000, estimate_ms=4000, fills=True, image="f"))
    watched.goes_on([0, 4, 8, 12], paced=40)
    watched.boots[watched.run.agent] = "b2"
    watched.goes_on([16], paced=-1)
    assert not watched.run.stop_wanted


@pytest.mark.looptime
async def test_a_run_is_not_moved_to_an_agent_that_cannot_be_reached() -> None:
    """Guards against a run that is stopped for a place whose agent is away."""
    async with leading(SlowTable()) as leader:
        watched = Watched(STEP, leader.sched)
        watched.goes_on([0, 1])
        leader._send = lambda agent, _: agent != watched.other
        leader._answer(watched.other, watched.at, 0)
        watched.report({watched.run.agent: 2})
        assert not watched.run.stop_wanted
        watched.goes_on([3])
        assert watched.run.stop_wanted


def test_runs_that_all_outlast_their_estimate_are_not_moved_from_worker_to_worker() -> None:
    """Guards against work thrown away for an estimate that is too low."""
    watched = Watched(StepSpec(tasks=2, cpu_millicores=3000, estimate_ms=200))
    for percent in (0, 22, 44, 66, 88):
        watched.report({"g1": percent, "g2": percent})
    assert {run.agent for run in watched.runs} == {"g1", "g2"}
    assert not any(run.stop_wanted for run in watched.runs)


def test_a_slow_worker_is_found_though_the_estimate_is_too_low() -> None:
    """Guards against a worker that crawls unseen because its step's estimate is wrong."""
    step = StepSpec(tasks=3, cpu_millicores=3000, estimate_ms=400)
    watched = Watched(step, workers=("g1", "g2", "g3"))
    for number in range(5):
        watched.report({"g1": 11 * number, "g2": number, "g3": 11 * number})
    stopped = {run.agent for run in watched.runs if run.stop_wanted}
    assert stopped == {"g2"}
