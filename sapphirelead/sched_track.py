"""Circuit breaker for workers that fail or slow down the tasks they run.

Tracks each worker's consecutive failures and a moving average of its speed relative to the
estimates.  An unsound worker gets no work for a cooldown and then one run at a time, on trial: a
good trial restores it, a bad one doubles the cooldown.

A trial does not depend on the end of a run that may last for hours: it passes once observed for
:data:`TRIAL_S` without a fault (:mod:`sapphirelead.sched_trial`), and after
:data:`TRIAL_TIMEOUT_S` another run may be tried beside one that has shown nothing.  Faults older
than :data:`FAULT_MEMORY_S` do not count when the next one is recorded.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_memory import MAX_ENTRIES, TrackNote, to_ms

FAILURE_THRESHOLD: Final = 2
SLOW_SPEED_THRESHOLD: Final = 0.45
SPEED_SMOOTHING_FACTOR: Final = 0.35
"""Weight of the latest run in the moving average of a worker's speed."""
MIN_COOLDOWN_S: Final = 2.0
MAX_COOLDOWN_S: Final = 12.0

TRIAL_S: Final = 2.0
"""Observed running time without a fault after which a trial counts as good.

Must stay well below the 6 s for which a long-running task may be idle while there is room for it.
"""

TRIAL_TIMEOUT_S: Final = 3.0
"""Time since the claim of a trial run after which it no longer keeps other runs away."""

FAULT_MEMORY_S: Final = 60.0
"""Time without a fault after which earlier faults are forgotten."""


@dataclass(slots=True)
class TrackRecord:
    """Failures and speed of one worker.

    :ivar speed: moving average of the speed relative to the estimates.
    :ivar failures: consecutive failed runs.
    :ivar cooldown_s: length of the latest cooldown, 0 after a run that succeeded.
    :ivar cooldown_until: no new work before this time.
    :ivar on_trial: no run since the latest cooldown began has shown that the worker is sound; the
        next fault starts another one.
    :ivar last_fault_at: time of the last failed or slow run.
    """

    speed: float = 1.0
    failures: int = 0
    cooldown_s: float = 0.0
    cooldown_until: float = 0.0
    on_trial: bool = False
    last_fault_at: float = -1e9

    def record_success(self, speed: float) -> None:
        """Record a run that succeeded at ``speed``."""
        self.failures = 0
        self._update_speed(speed)
        if self.speed >= SLOW_SPEED_THRESHOLD:
            self.on_trial = False
            self.cooldown_s = 0.0

    def record_sound_run(self) -> None:
        """Record a run since the last fault that has been observed without one."""
        self.failures = 0
        self.on_trial = False

    def record_failure(self, at: float) -> None:
        """Record a failed run."""
        self._forget_old_faults(at)
        self.last_fault_at = at
        self.failures += 1
        if self.on_trial or self.failures >= FAILURE_THRESHOLD:
            self._start_cooldown(at)

    def record_slow(self, at: float, speed: float) -> None:
        """Record a run that progresses slowly or not at all."""
        self._forget_old_faults(at)
        self.last_fault_at = at
        self._update_speed(speed)
        if self.on_trial or self.speed < SLOW_SPEED_THRESHOLD:
            self._start_cooldown(at)

    def _forget_old_faults(self, at: float) -> None:
        if at - max(self.last_fault_at, self.cooldown_until) > FAULT_MEMORY_S:
            self.failures = 0
            self.cooldown_s = 0.0
            self.on_trial = False

    def _update_speed(self, speed: float) -> None:
        bounded = min(max(speed, 0.0), 1.5)
        self.speed += SPEED_SMOOTHING_FACTOR * (bounded - self.speed)

    def _start_cooldown(self, at: float) -> None:
        if at < self.cooldown_until:
            return
        self.cooldown_s = min(max(MIN_COOLDOWN_S, self.cooldown_s * 2), MAX_COOLDOWN_S)
        self.cooldown_until = at + self.cooldown_s
        self.on_trial = True
        # Resets the history, so that only the trial counts.
        self.speed = 1.0
        self.failures = 0

    @property
    def has_faults(self) -> bool:
        """Whether it differs from the record of a worker about which nothing is known."""
        return bool(self.failures or self.cooldown_s or self.on_trial or self.speed < 1.0)

    def sound(self, at: float) -> bool:
        """Return whether the worker may get work at time ``at``."""
        return at >= self.cooldown_until

    def note(self, at: float) -> TrackNote:
        """Return what a successor is told."""
        return TrackNote(
            self.failures,
            to_ms(self.cooldown_s),
            to_ms(self.cooldown_until - at),
            self.on_trial,
            max(0, round(self.speed * 100)),
            to_ms(at - self.last_fault_at),
        )

    @classmethod
    def from_note(cls, note: TrackNote, at: float) -> "TrackRecord":
        """Return the record that a predecessor has noted."""
        return cls(
            speed=note.speed_percent / 100,
            failures=note.failures,
            cooldown_s=note.cooldown_ms / 1000,
            cooldown_until=at + note.left_ms / 1000,
            on_trial=note.on_trial,
            last_fault_at=at - note.fault_age_ms / 1000,
        )


def track_notes(tracks: Mapping[WorkerLife, TrackRecord], at: float) -> dict[WorkerLife, TrackNote]:
    """Return the notes of the workers with the latest faults."""
    latest = sorted(tracks.items(), key=lambda item: item[1].last_fault_at, reverse=True)
    return {life: track.note(at) for life, track in latest[:MAX_ENTRIES]}
