"""Metrics of a hub's message processing, and a warning while the hub has a backlog."""

from collections import Counter
from collections.abc import Mapping
from typing import Final, Protocol

from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S

EXPORT_INTERVAL_S: Final = 1.0
"""Interval between exports."""

BEHIND_THRESHOLD_S: Final = HEARTBEAT_INTERVAL_S
"""The hub counts as overloaded if a message waits, or other tasks occupy the event loop, for longer
than the heartbeat interval."""


def format_counts(counts: Mapping[str, float]) -> str:
    """Return numbers by kind as one string.

    >>> format_counts({"report": 12, "cancel": 1})
    'cancel:1,report:12'
    """
    return ",".join(f"{kind}:{counts[kind]:g}" for kind in sorted(counts)) or "-"


class Backlog(Protocol):
    """The queue that a meter observes."""

    @property
    def merged(self) -> Counter[str]:
        """Messages that were merged into others, by kind."""

    @property
    def dropped(self) -> Counter[str]:
        """Messages that were dropped, by kind."""

    def counts(self) -> Counter[str]:
        """Return the number of queued messages by kind."""


class HubMeter:
    """Counts and maximum waits of the current export interval."""

    _metrics: Metrics
    _backlog: Backlog
    _began_at: float
    _taken: Counter[str]
    _max_waits_s: dict[str, float]
    _turn_s: float
    _merged: Counter[str]
    _dropped: Counter[str]

    def __init__(self, metrics: Metrics, backlog: Backlog, at: float) -> None:
        self._metrics = metrics
        self._backlog = backlog
        metrics.gauge("hub_waiting", lambda: backlog.counts().total())
        self._begin(at)

    def _begin(self, at: float) -> None:
        self._began_at = at
        self._taken = Counter()
        self._max_waits_s = {}
        self._turn_s = 0.0
        self._merged = self._backlog.merged
        self._dropped = self._backlog.dropped

    def count_message(self, kind: str, waited_s: float) -> None:
        """Count a message that was taken from the queue after ``waited_s``."""
        self._taken[kind] += 1
        self._max_waits_s[kind] = max(self._max_waits_s.get(kind, 0.0), waited_s)

    def record_turn(self, took_s: float) -> None:
        """Record how long other tasks occupied the event loop when the hub yielded to it."""
        self._turn_s = max(self._turn_s, took_s)

    def export_if_due(self, at: float) -> None:
        """Export a finished interval, and log a warning if the hub was overloaded."""
        if at - self._began_at < EXPORT_INTERVAL_S:
            return
        merged = self._backlog.merged - self._merged
        dropped = self._backlog.dropped - self._dropped
        for name, counts in (("taken", self._taken), ("merged", merged), ("dropped", dropped)):
            for kind, count in counts.items():
                self._metrics.count(f"hub_{name}_total", count, kind=kind)
        for kind, wait_s in self._max_waits_s.items():
            self._metrics.latency("hub_wait_ms", wait_s * 1000, kind=kind)
        self._metrics.latency("hub_turn_ms", self._turn_s * 1000)
        if dropped or max(self._turn_s, *self._max_waits_s.values(), 0.0) > BEHIND_THRESHOLD_S:
            self._log_behind(at, merged, dropped)
        self._begin(at)

    def _log_behind(self, at: float, merged: Counter[str], dropped: Counter[str]) -> None:
        log_event(
            "WARNING",
            "hub_behind",
            period_s=at - self._began_at,
            taken=format_counts(self._taken),
            waits_ms=format_counts(
                {kind: round(wait_s * 1000) for kind, wait_s in self._max_waits_s.items()}
            ),
            waiting=format_counts(self._backlog.counts()),
            merged=format_counts(merged),
            dropped=format_counts(dropped),
            turn_ms=self._turn_s * 1000,
        )
