"""Which runs are never stopped for others.  No I/O.

Answers urgent tasks that arrive while the running ones are about to end, have just been stopped, or
belong to steps of which one more absent task would harm callers.
"""

from enum import StrEnum
from typing import Final

from sapphirelead.preemption.history import StopHistory
from sapphirelead.preemption.loss_budget import LossBudget
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Phase, Run
from sapphirelead.sched_stragglers import MIN_OBSERVATION_S
from sapphirelead.sched_task import StepKey, TaskRef
from sapphirelead.sched_trial import READY_PERCENT

REPORT_S: Final = 0.1
"""Time from the end of a run until its room can be claimed: an agent reports ends within 20 ms, and
the leader plans the next time within 50 ms."""

MAX_OVERRUN: Final = 2.0
"""Multiple of its expected run time beyond which a run no longer counts as about to end."""


MIN_GAINED_PERCENT: Final = 5
"""Observed progress from which on a run is judged by its own pace; it is reported in whole percent.
"""


class Protection(StrEnum):
    """Why a run is not stopped for others."""

    STOPPING = "stopping"
    SUSPECT = "suspect"
    """Its task is suspected of crashing workers; it has to be observed."""
    ENDS_SOON = "ends_soon"
    STOPPED_BEFORE = "stopped_before"
    """It has done too little work since it was last preempted."""
    ABSENT = "absent"
    """Too many tasks of its long-running step would be absent."""
    TARGET = "target"
    """Its callers would take other tasks of its latency-critical step beyond their target."""
    LOSS = "loss"
    """It saves nothing, and too much work has been thrown away lately."""


def stop_s(sched: Scheduler) -> float:
    """Return the maximum time from the decision to stop a run until its room can be claimed."""
    return sched.bounds.kill_grace_s + REPORT_S


def protection_of(
    sched: Scheduler,
    history: StopHistory,
    budget: LossBudget,
    run: Run,
    ends_soon: bool,
    at: float,
) -> Protection | None:
    """Return why a run may not be stopped by itself, ``None`` if it may.

    :param ends_soon: whether it is expected to end before a stop would have ended it.
    """
    if run.stop_wanted or run.reported_stopping:
        return Protection.STOPPING
    if run.isolated or run.ref in sched.quarantine:
        return Protection.SUSPECT
    if ends_soon:
        return Protection.ENDS_SOON
    if not history.may_stop(run, at):
        return Protection.STOPPED_BEFORE
    if budget.spent and loses_all(run):
        return Protection.LOSS
    if run.step.lasting and may_be_absent(sched, run.ref[:3]) <= 0:
        return Protection.ABSENT
    if run.step.target_ms and overloads_others(sched, run):
        return Protection.TARGET
    return None


def loses_all(run: Run) -> bool:
    """Return whether a stop throws away all work of a run."""
    return run.running_at > 0 and not run.step.saves and not run.step.lasting


def remaining_s(run: Run, expected_s: float, at: float) -> float:
    """Return when a run is expected to end, in seconds; infinite if that is unknown.

    Judged by its own pace once that has been observed, else by its expected run time.
    """
    if run.phase is not Phase.RUNNING or run.step.lasting:
        return float("inf")
    watch = run.watch
    left_percent = 100 - max(run.percent, 0)
    since_report_s = at - (watch.seen_at or at)
    if watch.watched_s >= MIN_OBSERVATION_S and watch.gained >= MIN_GAINED_PERCENT:
        return left_percent * watch.watched_s / watch.gained - since_report_s
    if expected_s <= 0 or at - run.running_at > MAX_OVERRUN * expected_s:
        return float("inf")
    return left_percent / 100 * expected_s - since_report_s


def may_be_absent(sched: Scheduler, step: StepKey) -> int:
    """Return how many more tasks of a long-running step may be stopped by now."""
    job = sched.jobs.get(step[0])
    occurrence = job.occurrences.get(step[1]) if job is not None else None
    if job is None or occurrence is None or not job.spec.steps[step[2]].absent_max:
        return 0
    tasks = len(occurrence.tasks[step[2]])
    return job.spec.steps[step[2]].absent_max - (tasks - len(_ready_runs(sched, step, tasks)))


def overloads_others(sched: Scheduler, run: Run) -> bool:
    """Return whether a tail latency of its step would exceed the target without a run.

    Assumes that its callers spread over the others, and queues whose latency is inverse to the
    idle share, as :mod:`sapphirelead.policy_pressure` does.  A run without a measured tail latency
    counts as one that would exceed its target.
    """
    tasks = run.step.tasks
    others = [other for other in _ready_runs(sched, run.ref[:3], tasks) if other is not run]
    if not others:
        return False
    return any(_tail_at(other, tasks / len(others)) > run.step.target_ms for other in others)


def _tail_at(run: Run, factor: float) -> float:
    """Return the tail latency of a run at a multiple of its present load, in milliseconds."""
    load = run.load * factor
    if run.measurement < 0 or load >= 1.0:
        return float("inf")
    return run.measurement * (1 - run.load) / (1 - load)


def _ready_runs(sched: Scheduler, step: StepKey, tasks: int) -> list[Run]:
    """Return the runs of a long-running step that serve and go on."""
    refs = (TaskRef(*step, number) for number in range(tasks))
    return [run for ref in refs for run in sched.fleet.runs_of(ref) if _is_ready(run)]


def _is_ready(run: Run) -> bool:
    works = run.phase is Phase.RUNNING and run.percent >= READY_PERCENT
    return works and not run.stop_wanted and not run.reported_stopping
