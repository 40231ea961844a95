"""What a hub takes and how long it is behind: one look a second, a line only while it is behind."""

from collections import Counter
from collections.abc import Mapping
from typing import Final, Protocol

from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S

TELL_S: Final = 1.0
"""Time between two looks."""

BEHIND_S: Final = HEARTBEAT_INTERVAL_S
"""A follower whose heartbeat waits for longer sends the next one before the first is answered."""


def kinds(counts: Mapping[str, float]) -> str:
    """Return numbers by kind as one value.

    >>> kinds({"report": 12, "cancel": 1})
    'cancel:1,report:12'
    """
    return ",".join(f"{kind}:{counts[kind]:g}" for kind in sorted(counts)) or "-"


class Backlog(Protocol):
    """What a meter looks at once a second."""

    @property
    def merged(self) -> Counter[str]:
        """Messages that were merged into others, by kind."""

    @property
    def dropped(self) -> Counter[str]:
        """Messages that were dropped, by kind."""

    def counts(self) -> Counter[str]:
        """Count what waits by kind."""


class HubMeter:
    """Counts of the second that is under way."""

    _metrics: Metrics
    _backlog: Backlog
    _began_at: float
    _taken: Counter[str]
    _waits: dict[str, float]
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
        self._waits = {}
        self._turn_s = 0.0
        self._merged = self._backlog.merged
        self._dropped = self._backlog.dropped

    def took(self, kind: str, waited_s: float) -> None:
        """Count a message that is worked on."""
        self._taken[kind] += 1
        self._waits[kind] = max(self._waits.get(kind, 0.0), waited_s)

    def turned(self, took_s: float) -> None:
        """Take note of how long the rest of the process had the loop between two turns."""
        self._turn_s = max(self._turn_s, took_s)

    def look(self, at: float) -> None:
        """Export a second that is over, and log it where the hub was behind."""
        if at - self._began_at < TELL_S:
            return
        merged = self._backlog.merged - self._merged
        dropped = self._backlog.dropped - self._dropped
        for name, counts in (("taken", self._taken), ("merged", merged), ("dropped", dropped)):
            for kind, count in counts.items():
                self._metrics.count(f"hub_{name}_total", count, kind=kind)
        for kind, wait_s in self._waits.items():
            self._metrics.latency("hub_wait_ms", wait_s * 1000, kind=kind)
        self._metrics.latency("hub_turn_ms", self._turn_s * 1000)
        if dropped or max(self._turn_s, *self._waits.values(), 0.0) > BEHIND_S:
            self._tell(at, merged, dropped)
        self._begin(at)

    def _tell(self, at: float, merged: Counter[str], dropped: Counter[str]) -> None:
        log_event(
            "WARNING",
            "hub_behind",
            period_s=at - self._began_at,
            taken=kinds(self._taken),
            waits_ms=kinds({kind: round(wait_s * 1000) for kind, wait_s in self._waits.items()}),
            waiting=kinds(self._backlog.counts()),
            merged=kinds(merged),
            dropped=kinds(dropped),
            turn_ms=self._turn_s * 1000,
        )
