"""Empties workers that are about to leave the fleet.

A leaving worker announces the least time that it stays; its remaining runs are lost after that.
Long-running tasks are stopped at once.  Tasks that save progress and will not end in time are
stopped as late as possible.  Other tasks keep running, since the worker may stay longer.
"""

from typing import Final

from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Phase, Run

STOP_MARGIN_S: Final = 1.0
"""Time reserved in addition to the kill grace period, for the order and one report."""


def empty_leaving_workers(sched: Scheduler, at: float) -> None:
    """Stop the runs that cannot stay on leaving workers."""
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
