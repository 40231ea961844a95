"""The lease of an instance, seen from its holder and from its observers.

Algorithm.  Every beat of an agent carries a counter that grows.  An entry commits the counter in
the platform's table and then acknowledges it.  Only that acknowledgement renews the lease, and it
renews it from the moment noted *before* the beat was sent.  An observer takes the instance for lost
after it has itself seen the committed counter unchanged for longer than the lease and a margin.

Why the two never overlap.  Let the holder note time ``t`` and send counter ``c``.  The commit of
``c`` happens after ``t``, so any observer first sees ``c`` after ``t`` and declares the loss after
``t + lease + margin``.  The holder's deadline is ``t + lease``.  Only durations are compared, each
on its owner's own monotonic clock; the margin covers the difference of the clocks' rates.

Invariants:

- The holder's deadline never moves back and never moves without a committed counter.
- An observation that was interrupted (a failed read, a pause of the observer's own loop) starts
  anew; it never counts time during which the observer saw nothing.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from sapphirelead.settings import LeaseSettings

GUARD_SHARE: Final = 0.25
MAX_GAP_INTERVALS: Final = 5.0
MAX_PENDING_HEARTBEATS: Final = 4_096
_NEVER: Final = float("-inf")


@dataclass(frozen=True, slots=True)
class _SentHeartbeat:
    """A beat and the time noted before it was sent."""

    counter: int
    at: float


class LeaseHolder:
    """The agent's side: decides until when the instance may run what it claimed.

    >>> lease = LeaseHolder(lease_s=20.0, guard_s=5.0)
    >>> counter = lease.next_heartbeat(100.0)
    >>> lease.record_ack(counter)
    >>> (lease.deadline, lease.may_act(114.9), lease.may_act(115.0))
    (120.0, True, False)
    """

    _lease_s: float
    _guard_s: float
    _counter: int
    _pending: deque[_SentHeartbeat]
    _deadline: float

    def __init__(self, lease_s: float, guard_s: float) -> None:
        self._lease_s = lease_s
        self._guard_s = guard_s
        self._counter = 0
        self._pending = deque(maxlen=MAX_PENDING_HEARTBEATS)
        self._deadline = _NEVER

    @classmethod
    def from_settings(cls, settings: LeaseSettings) -> "LeaseHolder":
        """Take the lease's length from ``settings``; the guard is a fixed share of it."""
        return cls(settings.lease_seconds, settings.lease_seconds * GUARD_SHARE)

    @property
    def counter(self) -> int:
        """The counter of the last beat."""
        return self._counter

    @property
    def deadline(self) -> float:
        """Loop time at which the lease lapses; minus infinity before the first grant."""
        return self._deadline

    def next_heartbeat(self, now: float) -> int:
        """Note ``now`` and return the counter of the beat that is about to be sent."""
        self._counter += 1
        self._pending.append(_SentHeartbeat(self._counter, now))
        return self._counter

    def record_ack(self, committed: int) -> None:
        """Renew the lease from the time noted for the committed counter.

        While the table is down, entries acknowledge beats with an old counter: nothing moves.
        """
        while self._pending and self._pending[0].counter <= committed:
            noted = self._pending.popleft()
            self._deadline = max(self._deadline, noted.at + self._lease_s)

    def granted(self) -> bool:
        """Return whether the lease was ever granted to this incarnation."""
        return self._deadline != _NEVER

    def may_act(self, now: float) -> bool:
        """Return whether an effect (a start, a renewal) may be made at ``now``.

        Asked before every effect: an agent that was paused past its deadline resumes in the middle
        of its code, and its timers fire only afterwards.
        """
        return now < self._deadline - self._guard_s

    def expiring(self, now: float) -> bool:
        """Return whether a granted lease is so near its end that tasks must be checkpointed."""
        return self.granted() and not self.may_act(now)


@dataclass(frozen=True, slots=True)
class WorkerClock:
    """The worker's clock beside the loop's, from one answer of the worker.

    :ivar clock: the worker's clock, read by it before it answered, in seconds.
    :ivar received_at: loop time at which the answer was received.
    """

    clock: float
    received_at: float

    def convert(self, deadline: float) -> float:
        """Return a worker time that is never later than loop time ``deadline``.

        The worker read its clock before ``received_at``, so by the reception its clock showed
        ``clock`` or more; a late reception only shortens the result.

        >>> WorkerClock(clock=1_000.0, received_at=50.0).convert(60.0)
        1010.0
        """
        return self.clock + (deadline - self.received_at)


@dataclass(frozen=True, slots=True)
class _Observation:
    incarnation: str
    counter: int
    since: float


class LeaseObserver:
    """An entry's side: says which instances have let their lease lapse.

    The observer is told of each round of reads.  A round that failed, or that comes so late that
    the observer's own process must have been paused, starts every observation anew: the counters
    of a zone also stand still when the table or the zone's only entry does, and nobody is to be
    fenced for that.
    """

    _expiry_s: float
    _max_gap_s: float
    _last_read_at: float
    _observations: dict[str, _Observation]

    def __init__(self, expiry_s: float, max_gap_s: float) -> None:
        self._expiry_s = expiry_s
        self._max_gap_s = max_gap_s
        self._last_read_at = _NEVER
        self._observations = {}

    @classmethod
    def from_settings(cls, settings: LeaseSettings) -> "LeaseObserver":
        """Take the lease, its margin and the length of a round from ``settings``."""
        lapse = settings.lease_seconds + settings.margin_seconds
        pause = min(settings.renew_interval_seconds * MAX_GAP_INTERVALS, lapse / 2)
        return cls(lapse, max(pause, settings.renew_interval_seconds * 2))

    def observe(self, now: float, counters: Mapping[str, tuple[str, int]]) -> list[tuple[str, str]]:
        """Take one successful read and return ``(instance, incarnation)`` of each lapsed lease.

        :param now: loop time, in seconds, noted after the read came back.
        :param counters: by instance, its incarnation and its committed counter.
        """
        if now - self._last_read_at > self._max_gap_s:
            self._observations.clear()
        self._last_read_at = now
        self._observations = {
            instance: self._update_observation(now, instance, incarnation, counter)
            for instance, (incarnation, counter) in counters.items()
        }
        return [
            (instance, seen.incarnation)
            for instance, seen in self._observations.items()
            if now - seen.since > self._expiry_s
        ]

    def reset(self, now: float) -> None:
        """Start every observation anew, after a failed read."""
        self._observations.clear()
        self._last_read_at = now

    def _update_observation(self, now: float, instance: str, incarnation: str, counter: int) -> _Observation:
        seen = self._observations.get(instance)
        if seen and seen.incarnation == incarnation and seen.counter == counter:
            return seen
        return _Observation(incarnation, counter, now)
