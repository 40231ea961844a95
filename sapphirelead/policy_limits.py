"""Admission control of a service: request queue, concurrency limit and Retry-After delay.

Queue: bounded, ordered by priority and then by deadline.  Requests that can no longer meet their
deadline are dropped, so that instances under overload serve only callers that still wait.

Concurrency: an adaptive limit per service and entry.  It grows while latency stays near its floor,
and shrinks in proportion when latency exceeds ``LATENCY_TOLERANCE`` times the floor.

Retry-After: grows with the backlog and the share of refused requests, with random jitter so that
callers refused together do not retry together.

Invariants:

- The queue never holds more than its bound; an arrival at a full queue displaces the entry with the
  lowest priority and the latest deadline.
- A queued entry leaves the queue exactly once: dropped, displaced or withdrawn.
"""

import random
from bisect import bisect_left, insort
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

T = TypeVar("T")

WINDOW_S: Final = 0.5
MIN_WINDOW_SAMPLES: Final = 10
LATENCY_TOLERANCE: Final = 2.0
LIMIT_SMOOTHING: Final = 0.3
LATENCY_FLOOR_DRIFT: Final = 1.01
FLOOR_RISE_SHARE: Final = 0.2
"""Share of the way to the mean latency by which the floor rises in a window at the least limit."""
MIN_LIMIT: Final = 4.0
MAX_LIMIT: Final = 4096.0
INITIAL_LIMIT: Final = 1024.0
REFUSED_SHARE_WEIGHT: Final = 0.02
MAX_RETRY_AFTER_S: Final = 60.0
MIN_RETRY_AFTER_S: Final = 0.5


@dataclass(frozen=True, slots=True, order=True)
class QueuePosition:
    """Position in the queue; the smallest is served first."""

    rank: int
    deadline: float
    sequence: int


class DeadlineQueue(Generic[T]):
    """A bounded queue ordered by priority and deadline.

    :ivar bound: maximum number of entries.
    """

    bound: int
    _positions: list[QueuePosition]
    _items: dict[QueuePosition, T]
    _sequence: int

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self._positions = []
        self._items = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._positions)

    def ahead(self, priority: int, deadline: float) -> int:
        """Return the number of entries that would be served before a new one."""
        return bisect_left(self._positions, QueuePosition(-priority, deadline, self._sequence + 1))

    def put(self, item: T, priority: int, deadline: float) -> tuple[QueuePosition, T | None]:
        """Add an entry; return its position and the displaced entry, if any.

        The displaced entry may be ``item`` itself.
        """
        self._sequence += 1
        position = QueuePosition(-priority, deadline, self._sequence)
        insort(self._positions, position)
        self._items[position] = item
        if len(self._positions) <= self.bound:
            return position, None
        return position, self._items.pop(self._positions.pop())

    def drop_expired(self, at: float) -> list[T]:
        """Remove and return the entries at the front of the queue whose deadline has passed.

        Expired entries of a lower priority are found when they reach the front.
        """
        expired = 0
        while expired < len(self._positions) and self._positions[expired].deadline < at:
            expired += 1
        dropped = [self._items.pop(position) for position in self._positions[:expired]]
        del self._positions[:expired]
        return dropped

    def last(self) -> tuple[QueuePosition, T] | None:
        """Return the entry that would be served last, without removing it."""
        return (self._positions[-1], self._items[self._positions[-1]]) if self._positions else None

    def first(self, count: int) -> list[tuple[QueuePosition, T]]:
        """Return the next ``count`` entries in order, without removing them."""
        return [(position, self._items[position]) for position in self._positions[:count]]

    def withdraw(self, position: QueuePosition) -> bool:
        """Remove an entry; return whether it was still queued."""
        if self._items.pop(position, None) is None:
            return False
        del self._positions[bisect_left(self._positions, position)]
        return True

    def resize(self, bound: int) -> list[T]:
        """Change the bound and return the displaced entries."""
        self.bound = bound
        displaced = self._positions[bound:]
        del self._positions[bound:]
        return [self._items.pop(position) for position in displaced]


class ConcurrencyLimit:
    """Adaptive limit on the attempts of one service in flight from this entry."""

    limit: float
    in_flight: int
    _floor_s: float
    _sum_s: float
    _count: int
    _peak: int
    _window_at: float

    def __init__(self, at: float) -> None:
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self._floor_s = 0.0
        self._open_window(at)

    @property
    def has_capacity(self) -> bool:
        """Whether one more attempt may be sent."""
        return self.in_flight < int(self.limit)

    def begin(self) -> None:
        """Count the start of an attempt."""
        self.in_flight += 1
        self._peak = max(self._peak, self.in_flight)

    def end(self, latency_s: float | None, at: float) -> None:
        """Count the end of an attempt.

        :param latency_s: latency of a successful attempt, else ``None``.
        """
        self.in_flight -= 1
        if latency_s is None:
            return
        self._sum_s += latency_s
        self._count += 1
        if self._count >= MIN_WINDOW_SAMPLES and at - self._window_at >= WINDOW_S:
            self._close_window(at)

    def _open_window(self, at: float) -> None:
        self._sum_s = 0.0
        self._count = 0
        self._peak = self.in_flight
        self._window_at = at

    def _close_window(self, at: float) -> None:
        mean_s = self._sum_s / self._count
        # The floor drifts up slowly, so that a permanently slower service is not held at MIN_LIMIT.
        self._floor_s = (
            min(mean_s, self._floor_s * LATENCY_FLOOR_DRIFT) if self._floor_s else mean_s
        )
        if self.limit < MIN_LIMIT + 1.0:
            # A lower limit would not make the service faster, so the load is not why it is slow.
            self._floor_s += FLOOR_RISE_SHARE * (mean_s - self._floor_s)
        gradient = min(1.0, max(0.5, LATENCY_TOLERANCE * self._floor_s / mean_s))
        if gradient < 1.0:
            # A limit far above the concurrency in use would take many windows to take effect.
            self.limit = min(self.limit, max(MIN_LIMIT, 2.0 * self._peak))
        next_limit = self.limit * gradient + self.limit**0.5
        if gradient == 1.0 and self._peak < self.limit / 2:
            next_limit = self.limit
        smoothed = self.limit + LIMIT_SMOOTHING * (next_limit - self.limit)
        self.limit = min(MAX_LIMIT, max(MIN_LIMIT, smoothed))
        self._open_window(at)


class RetryAfterEstimator:
    """Computes the Retry-After delay of refused requests from the recent share of refusals."""

    _refused_share: float
    _rng: random.Random

    def __init__(self, rng: random.Random) -> None:
        self._refused_share = 0.0
        self._rng = rng

    def served(self) -> None:
        """Count an answered request."""
        self._refused_share -= REFUSED_SHARE_WEIGHT * self._refused_share

    def refused(self) -> None:
        """Count a refused request."""
        self._refused_share += REFUSED_SHARE_WEIGHT * (1.0 - self._refused_share)

    def retry_after_s(self, backlog_s: float, min_delay_s: float = MIN_RETRY_AFTER_S) -> float:
        """Return the seconds after which a refused caller should retry.

        :param backlog_s: time that the queue needs to drain.
        :param min_delay_s: minimum delay without backlog or refusals.
        """
        # If a share r is refused, offered load is 1/(1-r) times the served load; stretching the
        # delay by the same factor keeps the load from retries near capacity.
        offered = 1.0 / max(0.05, 1.0 - self._refused_share)
        base_s = (min_delay_s + backlog_s) * offered
        return min(MAX_RETRY_AFTER_S, base_s * (1.0 + self._rng.random()))


def expected_wait_s(ahead: int, in_flight: int, latency_s: float) -> float:
    """Return the expected queueing time in seconds behind ``ahead`` requests.

    Assumes that one of the ``in_flight`` attempts ends every ``latency_s / in_flight`` seconds.

    >>> expected_wait_s(10, 5, 0.1)
    0.2
    """
    return ahead * latency_s / max(1, in_flight)
