"""What routing remembers of an instance and of a service's instances.

An instance's load and its share of failures fade with age, so that an old report or a past failure
weighs less and less; its latency is kept for each service apart.  A pool holds, for each zone, the
set of those instances that can take a request; drawing from it, adding and removing take constant
time, whatever the number of instances.

Invariants:

- A record changes only through the router and the ejections, which keep the pools' sets and sums
  in step with it.
- A sample above the latency estimate weighs more than one below it: an instance that turned slow
  loses its traffic sooner than it wins it back.
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
"""Attempts from which on the share of failures follows the newest ones alone."""
DEFAULT_LATENCY_S: Final = 0.01


class DrawSet:
    """A set of ids from which a random one is drawn in constant time."""

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
        """Remove ``item`` if it is there; the last one takes its place."""
        index = self._index.pop(item, None)
        if index is None:
            return
        last = self.items.pop()
        if last != item:
            self.items[index] = last
            self._index[last] = index


@dataclass(slots=True)
class LatencyEstimate:
    """Exponentially weighted latency in seconds."""

    value_s: float
    at: float

    def add(self, sample_s: float, at: float) -> None:
        """Move the estimate towards a sample."""
        weight = SLOWER_WEIGHT if sample_s > self.value_s else FASTER_WEIGHT
        self.value_s += weight * (sample_s - self.value_s)
        self.at = at


@dataclass(slots=True)
class RoutedInstance:
    """What one instance can take, by estimate, and how its attempts ended.

    :ivar own_in_flight: attempts that this entry has in flight there.
    :ivar others_in_flight: slots that others_in_flight used when it last reported, before fading.
    :ivar counted_used: used slots that the sums of its pools hold for it.
    :ivar counted_slots: slots that the sums of its pools hold for it.
    :ivar attempts: attempts that have ended well or badly.
    :ivar probes_left: successes still missing before a returned instance is trusted again.
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
        """Return the slots in use, by estimate."""
        age = max(0.0, at - self.reported_at)
        return float(self.own_in_flight + self.others_in_flight * 0.5 ** (age / LOAD_HALF_LIFE_S))

    def room(self, at: float) -> bool:
        """Return whether it can take another attempt."""
        if not self.live or self.ejected:
            return False
        if self.probes_left:
            return self.own_in_flight == 0
        return self.own_in_flight < self.connections and self.used(at) + 0.5 < self.slots

    def recent_failures(self, at: float) -> float:
        """Return the share of failed attempts, 0 to 1, faded with age."""
        age = max(0.0, at - self.failure_at)
        return float(self.failure_share * 0.5 ** (age / FAILURE_HALF_LIFE_S))

    def succeeded(self, at: float) -> None:
        """Note a success; the last probe of a returned instance ends its record of failures."""
        self.failures_in_row = 0
        self.failure_share = self.recent_failures(at) * (1.0 - self._next_weight())
        self.failure_at = at
        if self.probes_left:
            self.probes_left -= 1
            if not self.probes_left:
                self.ejections = 0
                self.failure_share = 0.0

    def failed(self, at: float) -> None:
        """Note a failure."""
        self.failures_in_row += 1
        share = self.recent_failures(at)
        self.failure_share = share + self._next_weight() * (1.0 - share)
        self.failure_at = at

    def _next_weight(self) -> float:
        """Count an attempt and return what it weighs.

        The first attempts are averaged plainly.  An instance whose only attempt failed would else
        count as one that fails one in ten, and win against any other that is slow for a moment.
        """
        self.attempts += 1
        return max(FAILURE_WEIGHT, 1.0 / self.attempts)


@dataclass(slots=True)
class ServicePool:
    """The instances of one service."""

    zones: dict[str, DrawSet] = field(default_factory=dict)
    known: set[str] = field(default_factory=set)
    live: set[str] = field(default_factory=set)
    ejected: set[str] = field(default_factory=set)
    latency_s: float = DEFAULT_LATENCY_S
    samples: int = 0
    slots: int = 0
    used: float = 0.0

    def add_latency(self, sample_s: float) -> None:
        """Average the first samples plainly, so that the default is forgotten at once."""
        self.samples += 1
        weight = max(POOL_LATENCY_WEIGHT, 1.0 / self.samples)
        self.latency_s += weight * (sample_s - self.latency_s)
