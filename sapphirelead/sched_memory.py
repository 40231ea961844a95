"""What a leader has learnt and its successor starts from, stored in one row.

Holds what bounds rest on although no job changes by it: cooldowns of workers that failed, how long
long-running tasks, and steps of a job with nothing running, have waited, what was observed of slow
runs and of suspected tasks, and when long-running tasks were last moved.  What belongs to a task
(failed attempts, workers to avoid, moves, crashes) is stored with the task instead.

The row is written with a transaction that is sent anyway: soon after a cooldown or a move, as
the last act of a leader that resigns in order, and otherwise after an interval that is a fixed
share of the term, :data:`MIN_INTERVAL_S` at most.  So a leader that ends after a fraction of a
second leaves most of what it has learnt.

Times are stored as ages or as remaining times, so no clocks are compared, together with the time
led by all leaders.  A successor adds the time led until the last head row of its predecessor, so
a wait or a cooldown that is stored once is counted on although the row is not written again.  The
time without a leader counts as no wait, because nobody could have ended it.

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
"""Minimum time between two writes of the row in a long term."""

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

    def aged(self, by_ms: int) -> "TrackNote":
        """Return the note at a later time."""
        return msgspec.structs.replace(
            self,
            left_ms=max(0, self.left_ms - by_ms),
            fault_age_ms=min(MAX_MS, self.fault_age_ms + by_ms),
        )


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

    def advanced_to(self, led_s: float) -> "LeaderMemory":
        """Return what it has become by the time led by all leaders.

        Observations of runs stay as they are: nobody knows whether they went on.
        """
        age_ms = to_ms(self.age_s(led_s))
        if not age_ms:
            return self
        return msgspec.structs.replace(
            self,
            tracks={life: note.aged(age_ms) for life, note in self.tracks.items()},
            waits_ms=_aged(self.waits_ms, age_ms),
            moved_ms=_aged(self.moved_ms, age_ms),
            task_waits_ms=_aged(self.task_waits_ms, age_ms),
            led_ms=min(MAX_MS, self.led_ms + age_ms),
        )

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


def _aged(durations_ms: dict[str, int], by_ms: int) -> dict[str, int]:
    return {name: min(MAX_MS, duration_ms + by_ms) for name, duration_ms in durations_ms.items()}


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(LeaderMemory)
