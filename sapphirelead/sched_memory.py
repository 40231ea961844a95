"""What a leader has learnt and its successor starts from, stored in one row.

Holds what bounds rest on although no job changes by it: cooldowns of workers that failed, how long
steps have waited with nothing of their job running, what was observed of slow runs and of suspected
tasks, and when long-running tasks were last moved.  What belongs to a task (failed attempts,
workers to avoid, moves, crashes) is stored with the task instead.

The row is written with a transaction that is sent anyway, at most every :data:`MIN_INTERVAL_S`.
Times are stored as ages or as remaining times, so no clocks are compared.  The time between writing
and reading the row is not known and counts as none: cooldowns last longer, and waits seem shorter.

Invariants:

- Workers are named by life, so nothing is inherited by another life.
- Each part holds at most :data:`MAX_ENTRIES` entries, those that matter most.
- An entry that a leader has not needed yet is passed on.
"""

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Annotated, Any, Final

import msgspec

from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.ports import Write
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_track import TrackRecord

if TYPE_CHECKING:
    from sapphirelead.sched_core import Scheduler

MEMORY_KEY: Final = "fleet/memory"
DATA_FIELD: Final = "data"

MIN_INTERVAL_S: Final = 0.5
"""Minimum time between two writes of the row."""

MAX_ENTRIES: Final = 200

MIN_WAIT_S: Final = 0.3
"""Shorter waits are not stored."""

MIN_WATCH_S: Final = 0.9
"""Runs that were observed for less are not stored."""

SLOW_SHARE: Final = 0.5
"""Share of its expected speed below which a run is stored; above the one at which it is slow."""

MOVE_AGE_S: Final = 60.0
"""Moves that are older are not stored."""

MAX_MS: Final = 2**40

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]
Percent = Annotated[int, msgspec.Meta(ge=0, le=10_000)]

StepKey = tuple[str, int, int]


class TrackNote(msgspec.Struct, array_like=True, frozen=True):
    """A worker's :class:`TrackRecord`.

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
    """

    tracks: dict[WorkerLife, TrackNote] = {}
    waits_ms: dict[str, Milliseconds] = {}
    runs: dict[str, RunNote] = {}
    moved_ms: dict[str, Milliseconds] = {}

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


class Inherited:
    """Entries of the predecessor's row that this leader has not needed yet.

    :ivar moved_at: when long-running tasks were last moved, also by this leader.
    """

    moved_at: dict[TaskRef, float]
    _tracks: dict[WorkerLife, TrackRecord]
    _waits_s: dict[StepKey, float]

    def __init__(self) -> None:
        self.moved_at = {}
        self._tracks = {}
        self._waits_s = {}

    def load(self, memory: LeaderMemory, runs: Iterable[Run], at: float) -> None:
        """Take over a predecessor's row at the beginning of a term."""
        self._tracks = {life: _track(note, at) for life, note in memory.tracks.items()}
        for text, wait_ms in memory.waits_ms.items():
            ref = TaskRef.parse(f"{text}.0")
            if ref is not None:
                self._waits_s[ref[:3]] = wait_ms / 1000
        for text, age_ms in memory.moved_ms.items():
            ref = TaskRef.parse(text)
            if ref is not None:
                self.moved_at[ref] = at - age_ms / 1000
        for run in runs:
            note = memory.runs.get(_run_name(run))
            if note is not None:
                run.watch.watched_s = note.watched_ms / 1000
                run.watch.alive_s = note.alive_ms / 1000
                run.watch.stalled_s = note.stalled_ms / 1000
                run.watch.gained = note.gained
                run.watch.percent = note.percent

    def take_track(self, life: WorkerLife) -> TrackRecord:
        """Return the record of a worker that is reported for the first time."""
        return self._tracks.pop(life, None) or TrackRecord()

    def take_wait_s(self, step: StepKey) -> float:
        """Return how long a step had waited under previous leaders."""
        return self._waits_s.pop(step, 0.0)

    def record_move(self, ref: TaskRef, at: float) -> None:
        """Record that a long-running task is moved, and forget moves of long ago."""
        self.moved_at = {
            known: moved for known, moved in self.moved_at.items() if at - moved < MOVE_AGE_S
        }
        self.moved_at[ref] = at

    def tracks(self) -> Iterator[tuple[WorkerLife, TrackRecord]]:
        """Yield the records of workers that have not been reported yet."""
        yield from self._tracks.items()

    def waits(self) -> Iterator[tuple[StepKey, float]]:
        """Yield the waits of steps that are not known to be ready yet."""
        yield from self._waits_s.items()


def memory_of(sched: "Scheduler", at: float) -> LeaderMemory:
    """Return what a successor should start from."""
    return LeaderMemory(
        _track_notes(sched.fleet.live(), sched.inherited, at),
        _waits(sched, at),
        _run_notes(sched),
        _moves(sched.inherited.moved_at, at),
    )


def _track_notes(
    live: Iterable[Instance], inherited: Inherited, at: float
) -> dict[WorkerLife, TrackNote]:
    tracks = dict(inherited.tracks())
    tracks |= {
        instance.worker.worker: instance.track
        for instance in live
        if instance.worker is not None and instance.track.has_faults
    }
    latest = sorted(tracks.items(), key=lambda item: item[1].last_fault_at, reverse=True)
    return {life: _note(track, at) for life, track in latest[:MAX_ENTRIES]}


def _note(track: TrackRecord, at: float) -> TrackNote:
    return TrackNote(
        track.failures,
        _ms(track.cooldown_s),
        _ms(track.cooldown_until - at),
        track.on_trial,
        max(0, round(track.speed * 100)),
        _ms(at - track.last_fault_at),
    )


def _track(note: TrackNote, at: float) -> TrackRecord:
    return TrackRecord(
        note.speed_percent / 100,
        note.failures,
        note.cooldown_ms / 1000,
        at + note.left_ms / 1000,
        note.on_trial,
        at - note.fault_age_ms / 1000,
    )


def _waits(sched: "Scheduler", at: float) -> dict[str, int]:
    """Return the longest waits of steps of which nothing of the job runs."""
    waits = dict(sched.inherited.waits())
    for key, since in sched.ready_since.items():
        job = sched.jobs.get(key[0])
        occurrence = job.occurrences.get(key[1]) if job is not None else None
        if occurrence is not None and at - since >= MIN_WAIT_S and not occurrence.has_claims:
            waits[key] = at - since
    longest = sorted(waits.items(), key=lambda item: item[1], reverse=True)
    return {".".join(map(str, key)): _ms(wait_s) for key, wait_s in longest[:MAX_ENTRIES]}


def _run_notes(sched: "Scheduler") -> dict[str, RunNote]:
    """Return the longest observations of runs that look slow or whose tasks crashed workers."""
    noted = [
        run
        for run in sched.fleet.runs.values()
        if run.watch.watched_s >= MIN_WATCH_S and (_looks_slow(run) or run.ref in sched.quarantine)
    ]
    noted.sort(key=lambda run: run.watch.watched_s, reverse=True)
    return {
        _run_name(run): RunNote(
            _ms(run.watch.watched_s),
            _ms(run.watch.alive_s),
            _ms(run.watch.stalled_s),
            run.watch.gained,
            max(0, run.watch.percent),
        )
        for run in noted[:MAX_ENTRIES]
    }


def _looks_slow(run: Run) -> bool:
    watch, estimate_ms = run.watch, run.step.estimate_ms
    if run.step.lasting or not estimate_ms:
        return False
    expected = 100 * 1000 * watch.watched_s / estimate_ms
    return watch.stalled or watch.gained < SLOW_SHARE * expected


def _moves(moved_at: dict[TaskRef, float], at: float) -> dict[str, int]:
    recent = [(ref, at - moved) for ref, moved in moved_at.items()]
    recent = [item for item in recent if item[1] < MOVE_AGE_S]
    recent.sort(key=lambda item: item[1])
    return {ref.text(): _ms(age_s) for ref, age_s in recent[:MAX_ENTRIES]}


def _run_name(run: Run) -> str:
    return f"{run.ref.text()}/{run.attempt}"


def _ms(duration_s: float) -> int:
    return min(MAX_MS, max(0, round(duration_s * 1000)))
