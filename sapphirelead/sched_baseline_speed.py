"""Baseline speeds of steps, measured on other workers than the suspected one.

Distinguishes slow workers from wrong estimates: a worker is slow only if other runs of the step
are faster elsewhere, or if there are none to compare with.
"""

from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run


def baseline_speeds(sched: Scheduler, slow: list[Run], at: float) -> dict[Run, float]:
    """Return for each run the best speed of its step on other sound workers, at most 1.

    It is 1 for steps that run nowhere else.
    """
    steps = {run.ref[:3] for run in slow}
    seen: dict[tuple[str, int, int], dict[str, float]] = {step: {} for step in steps}
    for run in sched.fleet.runs.values():
        speeds = seen.get(run.ref[:3])
        speed = _rough_speed(sched, run) if speeds is not None else None
        if speeds is None or speed is None:
            continue
        track = sched.fleet.instance(run.agent).track
        if track.sound(at) and not track.on_trial:
            speeds[run.agent] = max(speed, speeds.get(run.agent, 0.0))
    return {run: _best_elsewhere(seen[run.ref[:3]], run.agent) for run in slow}


def _rough_speed(sched: Scheduler, run: Run) -> float | None:
    """Return the speed of a run, ``None`` if it is throttled, stalled or without progress."""
    watch = run.watch
    paced = run.step.fills and run.pace_percent < 100
    if paced or run.stop_wanted or not watch.gained or watch.stalled:
        return None
    return watch.gained / 100 * sched.expected_ms(run) / 1000 / watch.watched_s


def _best_elsewhere(speeds: dict[str, float], agent: str) -> float:
    others = [speed for other, speed in speeds.items() if other != agent]
    return min(1.0, max(others, default=1.0))
