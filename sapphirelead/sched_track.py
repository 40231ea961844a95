"""Track records of workers: which to trust with work, learnt from how runs went.

A worker may be alive and answer well while it fails, stalls or crawls through everything it runs.
Its own word tells nothing, so its runs are counted: failures in a row, and the speed at which tasks
progress against their estimates.  An unsound worker gets no work for a while, then single trials;
one good trial restores it, a bad one doubles the pause.

Grounds for the figures: a sound run fails by its own fault in 2 of 100 cases, so two failures in a
row of a worker without a success in between are its own fault with a likelihood of over 0.99 once
several workers have been seen to do better.  Estimates are off by about 0.2 and tasks uneven by
0.3, so a worker at under 0.45 of the expected speed over three runs is slow, not unlucky.
"""

from dataclasses import dataclass
from typing import Final

MAX_CONSECUTIVE_FAILURES: Final = 2
SLOW_SPEED_THRESHOLD: Final = 0.45
SPEED_SMOOTHING_FACTOR: Final = 0.35
"""Weight of the newest run in a worker's speed; three runs outweigh the past."""
MIN_PAUSE_S: Final = 2.0
MAX_PAUSE_S: Final = 12.0


@dataclass(slots=True)
class TrackRecord:
    """What the runs of one worker have shown.

    :ivar speed: learnt speed against estimates; 1 is as expected.
    :ivar failures: failed runs since the last success.
    :ivar paused_until: no new work before this time.
    :ivar on_trial: a single run decides what becomes of the worker.
    :ivar last_fault_at: time of the newest bad sign.
    """

    speed: float = 1.0
    failures: int = 0
    pause_s: float = 0.0
    paused_until: float = 0.0
    on_trial: bool = False
    last_fault_at: float = -1e9

    def record_success(self, speed: float) -> None:
        """Take note of a run that ended well at ``speed``."""
        self.failures = 0
        self._update_speed(speed)
        if self.speed >= SLOW_SPEED_THRESHOLD:
            self.on_trial = False
            self.pause_s = 0.0

    def record_failure(self, at: float) -> None:
        """Take note of a failed run."""
        self.last_fault_at = at
        self.failures += 1
        if self.on_trial or self.failures >= MAX_CONSECUTIVE_FAILURES:
            self._start_pause(at)

    def record_slow(self, at: float, speed: float) -> None:
        """Take note of a run that was seen to crawl or stand still."""
        self.last_fault_at = at
        self._update_speed(speed)
        if self.on_trial or self.speed < SLOW_SPEED_THRESHOLD:
            self._start_pause(at)

    def _update_speed(self, speed: float) -> None:
        bounded = min(max(speed, 0.0), 1.5)
        self.speed += SPEED_SMOOTHING_FACTOR * (bounded - self.speed)

    def _start_pause(self, at: float) -> None:
        if at < self.paused_until:
            return
        self.pause_s = min(max(MIN_PAUSE_S, self.pause_s * 2), MAX_PAUSE_S)
        self.paused_until = at + self.pause_s
        self.on_trial = True
        # The trial is judged by itself: what went before no longer weighs.
        self.speed = 1.0
        self.failures = 0

    def sound(self, at: float) -> bool:
        """Return whether the worker may get work at time ``at``."""
        return at >= self.paused_until
