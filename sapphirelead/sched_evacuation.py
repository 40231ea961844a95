"""What becomes of the runs on a worker that says it will leave.

A leaving worker gives the least time that is left; when it is gone, everything that ran there is
lost.  Tasks that last move at once.  A task that ends in time stays.  One that saves its progress
is stopped as late as its stop still fits, so that most of its work is kept; one that saves nothing
and will not end in time is left to its chance, because workers often stay longer than they say.
"""

from typing import Final

from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Phase, Run

STOP_MARGIN_S: Final = 1.0
"""Kept before the worker's end, besides the time of a stop: the order's way and one report."""


def evacuate(sched: Scheduler, at: float) -> None:
    """Stop what cannot stay on leaving workers."""
    for instance in sched.fleet.live():
        worker = instance.worker
        if worker is None or not worker.draining or not instance.runs:
            continue
        left_s = instance.leaves_at - at
        for run in list(instance.runs.values()):
            if not run.stop_wanted and _must_stop(sched, run, left_s, at):
                sched.stop(run, "worker_leaving")


def _must_stop(sched: Scheduler, run: Run, left_s: float, at: float) -> bool:
    if run.step.lasting:
        return True
    if run.phase is not Phase.RUNNING or not run.step.saves:
        return False
    if left_s > sched.bounds.kill_grace_s + STOP_MARGIN_S:
        return False
    estimate_s = run.step.estimate_ms / 1000
    return (100 - max(run.percent, 0)) / 100 * estimate_s > left_s
