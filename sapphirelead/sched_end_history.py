"""How recent runs have ended, for the log of runs that are listed after their end.

A run that counted as lost or as not started and is listed as running has outlived its claim, so its
task may run twice.

Invariants:

- No decision depends on the history, so a new leader starts with an empty one.
- It is bounded by count and by age.
"""

from dataclasses import dataclass
from typing import Final

from sapphirelead.metrics import Metrics
from sapphirelead.model_worker_life import WorkerLife, is_other_life
from sapphirelead.sched_fleet import Run, RunKey
from sapphirelead.sched_job import EndKind

MAX_ENDS: Final = 20_000
"""Ends that are kept; the oldest are dropped."""

MAX_END_AGE_S: Final = 30.0
"""Time for which an end is kept; three times the longest lease by default."""

UNSEEN_ENDS: Final = (EndKind.LOST, EndKind.NOT_STARTED)
"""Ends that no worker has listed, and that a list can therefore disprove."""


@dataclass(slots=True)
class EndRecord:
    """How a run ended.

    :ivar at: when the leader recorded it.
    :ivar disproved: the run has been shown to go on, or to have started.
    :ivar outcome_seen: its worker's outcome has been reported since.
    """

    kind: EndKind
    reason: str
    agent: str
    worker: WorkerLife
    at: float
    disproved: bool = False
    outcome_seen: bool = False


class EndHistory:
    """The latest ends that a leader has recorded, the oldest first."""

    _metrics: Metrics
    _ends: dict[RunKey, EndRecord]

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._ends = {}

    @property
    def size(self) -> int:
        """Number of ends that are kept."""
        return len(self._ends)

    def record(self, run: Run, kind: EndKind, reason: str, at: float) -> None:
        """Record the end of a run.

        :param at: current time; 0 for a run that ended before its start was sent, whose end counts
            from its claim.
        """
        at = max(at, run.claimed_at)
        self._ends.pop(run.key, None)
        self._ends[run.key] = EndRecord(kind, reason, run.agent, run.worker, at)
        while len(self._ends) > MAX_ENDS or self._oldest.at < at - MAX_END_AGE_S:
            del self._ends[next(iter(self._ends))]

    @property
    def _oldest(self) -> EndRecord:
        return next(iter(self._ends.values()))

    def find(self, key: RunKey, at: float) -> EndRecord | None:
        """Return how a run has ended, or ``None`` if that was not recorded or is too long ago."""
        found = self._ends.get(key)
        return found if found is not None and at - found.at <= MAX_END_AGE_S else None

    def disprove(self, end: EndRecord, listed_by: WorkerLife) -> None:
        """Count, once, that a run has been listed although it counted as lost or not started.

        :param listed_by: the life that lists it; empty if it is unknown.
        """
        if end.disproved or end.kind not in UNSEEN_ENDS:
            return
        end.disproved = True
        self._metrics.count("disproved_ends_total", reason=end.reason or end.kind)
        if is_other_life(listed_by, end.worker):
            self._metrics.count("runs_listed_by_next_life_total")
