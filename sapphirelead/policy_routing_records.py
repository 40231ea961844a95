"""Routing state of instances and of the pools of services.

The load and failure share of an instance decay exponentially with age; latency is kept per service.
A pool holds, per zone, the set of instances with capacity, with constant-time draw, add and remove.

Invariants:

- Records change only through the router and the ejections, which keep the pools' sets and sums
  consistent with them.
- A sample above the latency estimate weighs more than one below it, so that a slow instance loses
  traffic faster than it regains it.
"""

from dataclasses import dataclass, field
from typing import Final

LOAD_HALF_LIFE_S: Final = 2.0
FAILURE_HALF_LIFE_S: Final = 10.0
FASTER_WEIGHT: Final = 0.2
SLOWER_WEIGHT: Final = 0.5
POOL_LATENCY_WEIGHT: Final = 0.05
FAILURE_WEIGHT: Final = 0.1
MIN_ATTEMPTS_FOR_FAILURE_SHARE: Final = round(1 / FAILURE_WEIGHT)
"""Attempts after which ``FAILURE_WEIGHT`` is the weight of a new attempt."""
DEFAULT_LATENCY_S: Final = 0.01


class DrawSet:
    """A set of ids with constant-time add, discard and random access by index."""

    items: list[str]
    _index: dict[str, int]

    def __init__(self) -> None:
        self.items = []
        self._index = {}

    def add(self, item: str) -> None:
        """Add ``item`` if it is absent."""
        if item not in self._index:
            self._index[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: str) -> None:
        """Remove ``item`` if present; the last item takes its index."""
        index = self._index.pop(item, None)
        if index is None:
            return
        last = self.items.pop()
        if last != item:
            self.items[index] = last
            self._index[last] = index


@dataclass(slots=True)
class LatencyEstimate:
    """Exponentially weighted moving average of latency."""

    value_s: float
    at: float

    def add(self, sample_s: float, at: float) -> None:
        """Update the estimate with a sample."""
        weight = SLOWER_WEIGHT if sample_s > self.value_s else FASTER_WEIGHT
        self.value_s += weight * (sample_s - self.value_s)
        self.at = at


@dataclass(slots=True)
class RoutedInstance:
    """Estimated load and record of attempts of one instance.

    :ivar own_in_flight: attempts of this entry in flight.
    :ivar others_in_flight: slots used by others at the last report, before decay.
    :ivar counted_used: used slots included in the sums of its pools.
    :ivar counted_slots: slots included in the sums of its pools.
    :ivar attempts: attempts that succeeded or failed.
    :ivar probes_left: successes that a reinstated instance needs to end its probation.
    """

    id: str
    incarnation: str
    zone: str
    services: frozenset[str] = frozenset()
    slots: int = 0
    connections: int = 0
    live: bool = False
    own_in_flight: int = 0
    others_in_flight: float = 0.0
    reported_at: float = 0.0
    counted_used: float = 0.0
    counted_slots: int = 0
    latency: dict[str, LatencyEstimate] = field(default_factory=dict)
    attempts: int = 0
    failures_in_row: int = 0
    failure_share: float = 0.0
    failure_at: float = 0.0
    ejected_until: float = 0.0
    ejected: bool = False
    ejections: int = 0
    probes_left: int = 0

    def used(self, at: float) -> float:
        """Return the estimated number of slots in use."""
        age = max(0.0, at - self.reported_at)
        return float(self.own_in_flight + self.others_in_flight * 0.5 ** (age / LOAD_HALF_LIFE_S))

    def has_capacity(self, at: float) -> bool:
        """Return whether the instance can take another attempt."""
        if not self.live or self.ejected:
            return False
        if self.probes_left:
            return self.own_in_flight == 0
        return self.own_in_flight < self.connections and self.used(at) + 0.5 < self.slots

    def recent_failures(self, at: float) -> float:
        """Return the share of failed attempts, 0 to 1, decayed with age."""
        age = max(0.0, at - self.failure_at)
        return float(self.failure_share * 0.5 ** (age / FAILURE_HALF_LIFE_S))

    def succeeded(self, at: float) -> None:
        """Record a success; the last successful probe clears the record of failures."""
        self.failures_in_row = 0
        self.failure_share = self.recent_failures(at) * (1.0 - self._next_weight())
        self.failure_at = at
        if self.probes_left:
            self.probes_left -= 1
            if not self.probes_left:
                self.ejections = 0
                self.failure_share = 0.0

    def failed(self, at: float) -> None:
        """Record a failure."""
        self.failures_in_row += 1
        share = self.recent_failures(at)
        self.failure_share = share + self._next_weight() * (1.0 - share)
        self.failure_at = at

    def _next_weight(self) -> float:
        """Count an attempt and return its weight in the failure share.

        The first attempts are averaged with equal weights.
        """
        self.attempts += 1
        return max(FAILURE_WEIGHT, 1.0 / self.attempts)


@dataclass(slots=True)
class ServicePool:
    """The instances of one service, with sums of their slots."""

    zones: dict[str, DrawSet] = field(default_factory=dict)
    known: set[str] = field(default_factory=set)
    live: set[str] = field(default_factory=set)
    ejected: set[str] = field(default_factory=set)
    latency_s: float = DEFAULT_LATENCY_S
    samples: int = 0
    slots: int = 0
    used: float = 0.0

    def add_latency(self, sample_s: float) -> None:
        """Update the average latency; the first samples are averaged with equal weights."""
        self.samples += 1
        weight = max(POOL_LATENCY_WEIGHT, 1.0 / self.samples)
        self.latency_s += weight * (sample_s - self.latency_s)
