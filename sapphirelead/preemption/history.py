"""Bounds on the stops of one task and of all tasks, across leaders.  No I/O.

Answers a steady stream of urgent tasks, which would stop the same task again and again before it
has done any work.  After each stop a task must do twice as much work as after the one before until
it may be stopped again, so that a task of any length ends after few of them.

Invariant: a task that a previous leader may have stopped without storing it counts as stopped once.
"""

from collections import deque
from typing import Final

import msgspec

from sapphirelead.logs import log_event
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_parts import PreemptionConfig
from sapphirelead.sched_task import TaskRef

ROW_KEY: Final = "fleet/preemption"
FORMAT_VERSION: Final = 1

MAX_DOUBLINGS: Final = 6
"""Doublings of the work that a task must do; 64 times the first amount at most."""

MAX_TASKS: Final = 10_000
"""Tasks whose stops are remembered; those stopped longest ago are forgotten."""

MAX_ROW_BYTES: Final = 30_000
"""Bound on the names in the row, below the limit of 40 KB with counts and framing."""

COUNT_BYTES: Final = 8
"""Upper bound of the framing and the count of one entry."""


class _Stored(msgspec.Struct, array_like=True, frozen=True):
    form: int
    stops: dict[str, int]


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(_Stored)


class StopHistory:
    """How often each unfinished task has been preempted, and how many were in the last second."""

    key: str = ROW_KEY
    _config: PreemptionConfig
    _stops: dict[TaskRef, int]
    _recent: deque[float]
    _encoded: bytes | None

    def __init__(self, config: PreemptionConfig) -> None:
        self._config = config
        self._stops = {}
        self._recent = deque()
        self._encoded = None

    def set_config(self, config: PreemptionConfig) -> None:
        """Apply other bounds to further stops."""
        self._config = config

    def stops(self, ref: TaskRef) -> int:
        """Return how often a task is known to have been preempted."""
        return self._stops.get(ref, 0)

    def may_stop(self, run: Run, at: float) -> bool:
        """Return whether the task has done enough work since it was last preempted."""
        stops = self._stops.get(run.ref, 0)
        if not stops and run.attempt > 1 and not run.claimed_at:
            # A claim of an earlier leader, which may have stopped the task just before.
            stops = 1
        if not stops:
            return True
        if not run.running_at:
            return False
        doublings = min(stops - 1, MAX_DOUBLINGS)
        return bool(at - run.running_at >= self._config.min_run_s * 2**doublings)

    def has_capacity(self, runs: int, at: float) -> bool:
        """Return whether so many more runs may be stopped in this second; always one at least."""
        while self._recent and at - self._recent[0] >= 1.0:
            self._recent.popleft()
        return not self._recent or len(self._recent) + runs <= self._config.max_stops_per_s

    def record(self, ref: TaskRef, at: float) -> None:
        """Count that a task is preempted."""
        self._stops[ref] = self._stops.pop(ref, 0) + 1
        if len(self._stops) > MAX_TASKS:
            del self._stops[next(iter(self._stops))]
        self._recent.append(at)
        self._encoded = None

    def forget(self, ref: TaskRef) -> None:
        """Forget a task that is done."""
        if self._stops.pop(ref, None) is not None:
            self._encoded = None

    def encode(self, at: float) -> bytes | None:
        """Return the latest stops as stored; ``None`` before the first."""
        if self._encoded is None and self._stops:
            self._encoded = _ENCODER.encode(_Stored(FORMAT_VERSION, self._latest()))
        return self._encoded

    def _latest(self) -> dict[str, int]:
        found: dict[str, int] = {}
        size = 0
        for ref in reversed(self._stops):
            name = ref.text()
            size += len(name.encode()) + COUNT_BYTES
            if size > MAX_ROW_BYTES:
                break
            found[name] = self._stops[ref]
        return found

    def restore(self, data: bytes, age_s: float) -> None:
        """Take over a predecessor's stops; an unreadable row counts as empty."""
        try:
            stored = _DECODER.decode(data)
        except msgspec.DecodeError as exc:
            log_event("ERROR", "part_row_unreadable", row=ROW_KEY, reason=str(exc))
            return
        if stored.form != FORMAT_VERSION:
            log_event("ERROR", "part_row_unreadable", row=ROW_KEY, reason=f"form {stored.form}")
            return
        for name, count in reversed(stored.stops.items()):
            ref = TaskRef.parse(name)
            if ref is not None and count > 0:
                self._stops[ref] = self._stops.get(ref, 0) + count
