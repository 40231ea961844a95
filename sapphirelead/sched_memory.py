"""What a leader has learnt and its successor starts from, stored in one row.

Holds what bounds rest on although no job changes by it: cooldowns of workers that failed, how long
long-running tasks, and steps of a job with nothing running, have waited, what was observed of slow
runs and of suspected tasks, and when long-running tasks were last moved.  What belongs to a task
(failed attempts, workers to avoid, moves, crashes) is stored with the task instead.

The row is written with a transaction that is sent anyway, at most every :data:`MIN_INTERVAL_S`.
Times are stored as ages or as remaining times, so no clocks are compared.  They count from the
latest time at which the last head row of the predecessor was sent.  The row is older than that by
one interval at most, which counts as none: cooldowns last longer.  The time without a leader
counts as no wait, because nobody could have ended it.

Invariants:

- Workers are named by life, so nothing is inherited by another life.
- Each part holds at most :data:`MAX_ENTRIES` entries, those that matter most.
- An entry that a leader has not needed yet is passed on.

Each part is written and read by its owner: :mod:`sapphirelead.sched_track`,
:mod:`sapphirelead.sched_step_waits`, :mod:`sapphirelead.sched_task_waits`,
:mod:`sapphirelead.sched_observations` and :mod:`sapphirelead.sched_moves`;
:mod:`sapphirelead.sched_inherited` has what is passed on.
"""

from typing import Annotated, Any, Final

import msgspec

from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.ports import Write

MEMORY_KEY: Final = "fleet/memory"
DATA_FIELD: Final = "data"

MIN_INTERVAL_S: Final = 0.5
"""Minimum time between two writes of the row."""

MAX_ENTRIES: Final = 200

MAX_MS: Final = 2**40

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]
Percent = Annotated[int, msgspec.Meta(ge=0, le=10_000)]


def to_ms(duration_s: float) -> int:
    """Return a duration as it is stored; negative ones count as none."""
    return min(MAX_MS, max(0, round(duration_s * 1000)))


class TrackNote(msgspec.Struct, array_like=True, frozen=True):
    """A worker's :class:`sapphirelead.sched_track.TrackRecord`.

    :ivar cooldown_ms: length of its latest cooldown.
    :ivar left_ms: remaining time of it.
    :ivar fault_age_ms: time since its last failed or slow run.
    """

    failures: Percent
    cooldown_ms: Milliseconds
    left_ms: Milliseconds
    on_trial: bool
    speed_percent: Percent
    fault_age_ms: Milliseconds


class RunNote(msgspec.Struct, array_like=True, frozen=True):
    """What was observed of a run; see :class:`sapphirelead.sched_watch.RunWatch`."""

    watched_ms: Milliseconds
    alive_ms: Milliseconds
    stalled_ms: Milliseconds
    gained: Percent
    percent: Percent


class LeaderMemory(msgspec.Struct, array_like=True, frozen=True):
    """The stored row.

    :ivar tracks: by worker life.
    :ivar waits_ms: by step, as job, occurrence and number joined by dots.
    :ivar runs: by task, and attempt after a slash.
    :ivar moved_ms: time since the last move of long-running tasks, by task.
    :ivar task_waits_ms: wait of long-running tasks, by task; not stored by earlier versions.
    :ivar led_ms: time led by all leaders when this was noted; 0 if unknown.
    """

    tracks: dict[WorkerLife, TrackNote] = {}
    waits_ms: dict[str, Milliseconds] = {}
    runs: dict[str, RunNote] = {}
    moved_ms: dict[str, Milliseconds] = {}
    task_waits_ms: dict[str, Milliseconds] = {}
    led_ms: Milliseconds = 0

    def has_same_entries(self, other: "LeaderMemory") -> bool:
        """Return whether nothing but the time of noting differs."""
        return msgspec.structs.replace(self, led_ms=other.led_ms) == other

    def age_s(self, led_s: float) -> float:
        """Return the time led since this was noted, in seconds; 0 if unknown.

        :param led_s: time led by all leaders.
        """
        return max(0.0, led_s - self.led_ms / 1000) if self.led_ms else 0.0

    @classmethod
    def decode(cls, value: dict[str, Any] | None) -> "LeaderMemory":
        """Decode the value of a row; empty if there is none or another writer has damaged it."""
        if value is None:
            return cls()
        try:
            return _DECODER.decode(value[DATA_FIELD])
        except (msgspec.DecodeError, LookupError, TypeError) as exc:
            log_event("ERROR", "memory_unreadable", reason=str(exc))
            return cls()

    def to_write(self) -> Write:
        """Return the write that stores it."""
        return Write(MEMORY_KEY, {DATA_FIELD: _ENCODER.encode(self)})


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(LeaderMemory)
