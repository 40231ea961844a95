"""What a hub takes and how long it is behind: one look a second, a line only while it is behind."""

from collections import Counter
from collections.abc import Mapping
from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.sched_timing import BEAT_S

TELL_S: Final = 1.0
"""Time between two looks."""

BEHIND_S: Final = BEAT_S
"""A follower whose heartbeat waits for longer sends the next one before the first is answered."""


def kinds(counts: Mapping[str, float]) -> str:
    """Return numbers by kind as one value.

    >>> kinds({"report": 12, "cancel": 1})
    'cancel:1,report:12'
    """
    return ",".join(f"{kind}:{counts[kind]:g}" for kind in sorted(counts)) or "-"


class HubMeter:
    """Counts of the second that is under way."""

    _metrics: Metrics
    _began_at: float
    _taken: Counter[str]
    _turn_s: float

    def __init__(self, metrics: Metrics, at: float) -> None:
        self._metrics = metrics
        self._begin(at)

    def _begin(self, at: float) -> None:
        self._began_at = at
        self._taken = Counter()
        self._turn_s = 0.0

    def took(self, kind: str) -> None:
        """Count a message that is worked on."""
        self._taken[kind] += 1

    def turned(self, took_s: float) -> None:
        """Take note of how long the rest of the process had the loop between two turns."""
        self._turn_s = max(self._turn_s, took_s)

    def look(self, at: float) -> None:
        """Export a second that is over, and log it where the hub was behind."""
        if at - self._began_at < TELL_S:
            return
        for kind, count in self._taken.items():
            self._metrics.count("hub_taken_total", count, kind=kind)
        if self._turn_s:
            self._metrics.latency("hub_turn_ms", self._turn_s * 1000)
        if self._turn_s > BEHIND_S:
            self._tell(at)
        self._begin(at)

    def _tell(self, at: float) -> None:
        log_event(
            "WARNING",
            "hub_behind",
            period_s=at - self._began_at,
            taken=kinds(self._taken),
            turn_ms=self._turn_s * 1000,
        )
