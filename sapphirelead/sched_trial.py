"""Decides whether a run shows that a worker that failed before is sound again.

Runs of any kind must be able to show it before they end, since a long-running one may not end for
hours.
"""

from typing import Final

from sapphirelead.sched_fleet import Phase, Run
from sapphirelead.sched_track import SLOW_SPEED_THRESHOLD, TRIAL_S

SHORT_ESTIMATE_S: Final = 10.0
"""A run with a shorter estimate shows by its end that the worker is sound, not before.

Otherwise a worker whose runs fail late would get work for all its room after each trial."""

READY_PERCENT: Final = 100
"""Progress of a long-running task that is ready, which stays there."""


def is_sound_trial(run: Run) -> bool:
    """Return whether a run has been observed for long enough without a fault.

    A run whose progress is expected must also have progressed.
    """
    if run.phase is not Phase.RUNNING or run.stop_wanted or run.watch.alive_s < TRIAL_S:
        return False
    if run.watch.stalled and run.percent < READY_PERCENT:
        return False
    if not run.step.lasting and 0 < run.step.estimate_ms < SHORT_ESTIMATE_S * 1000:
        return False
    if run.step.lasting or not run.step.estimate_ms or run.pace_percent != 100:
        # Its speed says nothing of the worker.
        return True
    expected = 100 * 1000 * run.watch.watched_s / run.step.estimate_ms
    return run.watch.gained >= SLOW_SPEED_THRESHOLD * expected
