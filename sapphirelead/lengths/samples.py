"""Decides which runs show how long tasks of their kind take.  No I/O.

Answers a load in which many runs do not: tasks that fail or crash their workers, best-effort tasks
that are throttled beside latency-critical ones, and workers that are cold, slow or out of touch.
"""

import math
from typing import Final

from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_track import SLOW_SPEED_THRESHOLD, TrackRecord

MIN_SEEN_SHARE: Final = 0.5
"""Minimum share of a run that this leader has seen, by the run's progress."""

MIN_UNOBSERVED_S: Final = 1.0
"""Time of a run that may be unobserved in any case: one interval of full reports and its delay."""

MAX_UNOBSERVED_SHARE: Final = 0.25
"""Share of a run's time that may be unobserved; longer gaps leave the end of the run uncertain."""


def is_learnable(run: Run) -> bool:
    """Return whether the end of a run may show how long it takes from start to end.

    A later attempt of a task that saves its progress may resume from a checkpoint.
    """
    step = run.step
    resumes = step.saves and run.attempt > 1
    return step.estimate_ms > 0 and not step.lasting and not resumes


def log_ratio_of(run: Run, instance: Instance, at: float, known: float) -> float | None:
    """Return the logarithm of a run's actual time over its estimate; ``None`` if it is unknown.

    :param run: a run that ended ``done``.
    :param instance: where it ran.
    :param at: when its end was reported.
    :param known: median of the logarithms of the ratios of such runs; 0 if there are none.
    """
    if not is_learnable(run) or not run.running_at or not run.full_pace:
        return None
    if instance.worker is None or instance.worker.worker != run.worker:
        return None
    if instance.began_cold(run) or is_known_slow(instance.track, at, known):
        return None
    seen_share = (100 - run.seen_percent) / 100
    took_s = at - run.running_at
    if seen_share < MIN_SEEN_SHARE or took_s <= 0:
        return None
    unobserved_s = took_s - run.watch.watched_s
    if unobserved_s > max(MIN_UNOBSERVED_S, MAX_UNOBSERVED_SHARE * took_s):
        return None
    return math.log(took_s / min(1.0, seen_share) * 1000 / run.step.estimate_ms)


def is_known_slow(track: TrackRecord, at: float, known: float) -> bool:
    """Return whether a worker is known to be slow for another reason than these tasks.

    Speeds are relative to the declared estimates, so tasks that take much longer than declared make
    every worker look slow.

    :param known: median of the logarithms of these tasks' ratios; 0 if there are none.
    """
    slow = track.on_trial or not track.sound(at) or track.speed < SLOW_SPEED_THRESHOLD
    return slow and known < -math.log(SLOW_SPEED_THRESHOLD)
