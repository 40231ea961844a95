"""Waits of tasks for workers that are skipped because runs have failed there; no network."""

from typing import Any

import pytest

from sapphirelead import sched_wait_log
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_survey import survey
from sapphirelead.sched_wait_log import MAX_LOGGED_STEPS, log_long_waits
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_scheduler import ended, submit

TICK_S = 0.1
READY = 100
"""Progress that a long-running task reports once it is ready, in percent."""


class Site:
    """Workers of one service whose agents report each tick, with one leader.

    :ivar failing: agents whose workers fail each run that they start.
    :ivar failing_since: time from which they fail them.
    :ivar hanging: agents whose workers make no progress with any run.
    """

    def __init__(self, workers: int = 1, cpu: int = 32_000) -> None:
        self.sched = scheduler()
        self.agents = Agents(self.sched)
        self.at = 0.0
        self.infos = {f"g{n}": worker_info(f"w-g{n}", cpu=cpu) for n in range(workers)}
        self.failing: set[str] = set()
        self.failing_since = 0.0
        self.hanging: set[str] = set()
        self._ends = 0
        self.report()

    def runs_on(self, agent: str) -> list[Run]:
        """Return the runs claimed for an agent."""
        return [run for run in self.sched.fleet.runs.values() if run.agent == agent]

    def report(self) -> None:
        """Report every worker; one that is failing ends its newest runs."""
        for agent, info in self.infos.items():
            runs = self.runs_on(agent)
            failed = []
            if agent in self.failing:
                failed = [run for run in runs if run.claimed_at >= self.failing_since]
            listed = [(run.ref.text(), run.attempt) for run in runs if run not in failed]
            ends = []
            for run in failed:
                self._ends += 1
                ends.append(ended(run, "failed", self._ends))
            percent = 0 if agent in self.hanging else READY
            self.agents.report(agent, info, runs=listed, ends=ends, at=self.at, percent=percent)

    def fail(self, *agents: str) -> None:
        """Let workers fail what they start from now on."""
        self.failing = set(agents)
        self.failing_since = self.at

    def advance(self, duration_s: float) -> None:
        """Report and plan each tick."""
        until = self.at + duration_s
        while self.at < until - 1e-9:
            self.at += TICK_S
            self.report()
            plan(self.sched, self.at, 0)
            store(self.sched)

    def end(self, run: Run, kind: str) -> None:
        """Report the end of one run, and all others of its agent as running."""
        self._ends += 1
        others = [item for item in self.runs_on(run.agent) if item is not run]
        listed = [(item.ref.text(), item.attempt) for item in others]
        ends = [ended(run, kind, self._ends)]
        info = self.infos[run.agent]
        self.agents.report(run.agent, info, runs=listed, ends=ends, at=self.at, percent=READY)
        store(self.sched)

    def unsound(self, agent: str, trials: int = 0) -> None:
        """Record failures on a worker until it is in a cooldown, after ``trials`` failed trials."""
        track = self.sched.fleet.instance(agent).track
        at = self.at
        while track.sound(at):
            track.record_failure(at)
        for _ in range(trials):
            track.cooldown_until = at
            track.record_failure(at)


def lasting(tasks: int = 1, cpu: int = 1000, **changes: Any) -> StepSpec:
    """Return a step of long-running tasks."""
    return StepSpec(tasks=tasks, cpu_millicores=cpu, lasting=True, **changes)


def waiting(sched: Scheduler, job_id: str) -> int:
    """Return the number of the job's tasks without a claim."""
    occurrence = sched.jobs[job_id].occurrences[0]
    return sum(not task.claims for tasks in occurrence.tasks for task in tasks if not task.done)


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Collect the lines about tasks that wait."""
    found: list[dict[str, Any]] = []
    monkeypatch.setattr(sched_wait_log, "log_event", lambda _level, _event, **kw: found.append(kw))
    return found


def test_the_log_names_the_reason_why_each_worker_is_skipped(logged: list[dict[str, Any]]) -> None:
    """Guards against tasks that wait beside free capacity with no line that says why."""
    site = Site(workers=3)
    site.infos["g0"] = worker_info("w-g0", cpu=500)
    site.infos["g1"] = worker_info("w-g1", draining=True)
    site.infos["g2"] = worker_info("w-g2", labels=("b", "r2"))
    submit(site.sched, job("a1", lasting(label="a")))
    site.advance(sched_wait_log.MIN_LOGGED_WAIT_S)
    log_long_waits(site.sched, site.at)
    assert not logged
    site.advance(2 * TICK_S)
    log_long_waits(site.sched, site.at)
    (line,) = logged
    assert line["task"] == "a1.0.0.0"
    assert set(line["skipped"].split(",")) == {"capacity:1", "draining:1", "label:1"}


def test_the_log_of_many_waiting_tasks_is_bounded(logged: list[dict[str, Any]]) -> None:
    site = Site()
    for number in range(3 * MAX_LOGGED_STEPS):
        submit(site.sched, job(f"a{number}", lasting(tasks=5, cpu=64_000)))
    site.advance(3.0)
    log_long_waits(site.sched, site.at)
    assert len({line["task"].partition(".")[0] for line in logged}) == len(logged)
    assert len(logged) == MAX_LOGGED_STEPS


def test_the_summary_counts_tasks_that_wait_and_workers_on_trial() -> None:
    site = Site()
    site.unsound("g0")
    site.at = site.sched.fleet.instance("g0").track.cooldown_until
    site.report()
    submit(site.sched, job("a1", lasting(tasks=2)))
    site.advance(1.0)
    seen = survey(site.sched, site.at)
    assert (seen.unsound, seen.on_trial, seen.lasting_waiting) == (0, 1, 1)
    assert 0.5 < seen.lasting_wait_s <= 1.0


LASTING_BOUND_S = 6.0
"""Time without a run after which the platform counts a long-running task as lost."""

START_S = 2.0
"""Part of the bound for noticing the end and for the start."""


@pytest.mark.parametrize("trials", [0, 1, 2, 3])
def test_a_long_running_task_does_not_wait_out_a_cooldown(trials: int) -> None:
    """Guards against a task that waits for a cooldown to pass while others of its job run."""
    site = Site(workers=2, cpu=2000)
    submit(site.sched, job("a1", lasting(tasks=2, cpu=1500)))
    site.advance(5.0)
    first, second = site.runs_on("g0")[0], site.runs_on("g1")[0]
    site.infos["g2"] = worker_info("w-g2", cpu=2000)
    site.report()
    site.unsound("g2", trials)
    site.infos["g1"] = worker_info("w-g1", cpu=2000, draining=True)
    site.end(second, "lapsed")
    ended_at = site.at
    while waiting(site.sched, "a1") and site.at < ended_at + 2 * LASTING_BOUND_S:
        site.advance(TICK_S)
    assert first in site.runs_on("g0")
    assert site.at - ended_at <= LASTING_BOUND_S - START_S


@pytest.mark.parametrize("step", [lasting(tasks=4), StepSpec(tasks=4, cpu_millicores=1000)])
def test_a_long_running_trial_does_not_hold_its_worker(step: StepSpec) -> None:
    """Guards against a trial by a run that neither ends nor fails, which holds its worker."""
    site = Site()
    site.unsound("g0")
    submit(site.sched, job("trial", lasting()))
    site.advance(8.0)
    assert len(site.runs_on("g0")) == 1
    submit(site.sched, job("a1", step))
    site.advance(LASTING_BOUND_S - START_S)
    assert waiting(site.sched, "a1") == 0


@pytest.mark.parametrize(
    ("step", "percents", "sound"),
    [
        (lasting(), (100, 100, 100, 100, 100, 100), True),
        (lasting(), (0, 20, 40, 60, 80, 100), True),
        (lasting(), (0, 0, 0, 0, 0, 0), False),
        (StepSpec(estimate_ms=10_000), (0, 4, 9, 13, 18, 22), True),
        (StepSpec(estimate_ms=10_000), (0, 1, 2, 3, 3, 4), False),
        (StepSpec(), (10, 10, 10, 10, 10, 10), False),
    ],
)
def test_a_run_that_hangs_or_crawls_passes_no_trial(
    step: StepSpec, percents: tuple[int, ...], sound: bool
) -> None:
    """Guards against a worker that hangs all runs and counts as sound, because none has failed."""
    site = Site()
    site.unsound("g0")
    track = site.sched.fleet.instance("g0").track
    site.at = track.cooldown_until
    site.report()
    submit(site.sched, job("trial", step))
    plan(site.sched, site.at, 0)
    site.at += 2 * TICK_S
    plan(site.sched, site.at, 0)
    store(site.sched)
    (run,) = site.runs_on("g0")
    for percent in percents:
        site.at += 0.45
        name = (run.ref.text(), run.attempt)
        site.agents.report("g0", site.infos["g0"], runs=[name], percent=percent, at=site.at)
    assert track.on_trial is not sound
