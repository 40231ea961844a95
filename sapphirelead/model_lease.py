"""Leases of instances: the holder's side and the observer's side.

Each heartbeat carries an increasing counter, which an entry commits to the platform's table and
then acknowledges.  The acknowledgement renews the lease from the time recorded *before* the
heartbeat was sent.  An observer reports a lease as expired once it has seen the committed counter
unchanged for longer than the lease plus a margin.

Safety: for a counter recorded at ``t``, the holder's deadline is ``t + lease``.  Observers see the
counter only after ``t``, so they report expiry after ``t + lease + margin``.  Each side measures
durations on its own monotonic clock; the margin covers clock drift.

Invariants:

- The holder's deadline never decreases, and only a committed counter extends it.
- An interrupted observation (failed read, paused process) starts over, so time without reads does
  not count towards expiry.
- An observation that is handed on counts only the time for which it was made, so the sum is never
  more than the time since the counter was committed.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from sapphirelead.settings import LeaseSettings

GUARD_SHARE: Final = 0.25
MAX_GAP_INTERVALS: Final = 5.0
MAX_PENDING_HEARTBEATS: Final = 4_096
MAX_UNCHANGED: Final = 100
"""Unchanged counters that an observer stores; those observed for longest."""
_NEVER: Final = float("-inf")


@dataclass(frozen=True, slots=True)
class _SentHeartbeat:
    """A heartbeat's counter and the time recorded before it was sent."""

    counter: int
    at: float


class LeaseHolder:
    """The agent's side of a lease: tracks until when the instance may run its claims.

    The guard is the time before the deadline in which no task may be started or renewed any more.

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
        """Return a holder with the lease of ``settings`` and a guard of ``GUARD_SHARE`` of it."""
        return cls(settings.lease_seconds, settings.lease_seconds * GUARD_SHARE)

    @property
    def counter(self) -> int:
        """The counter of the last heartbeat."""
        return self._counter

    @property
    def deadline(self) -> float:
        """Loop time at which the lease expires; minus infinity before the first grant."""
        return self._deadline

    def next_heartbeat(self, now: float) -> int:
        """Record ``now`` and return the counter for the next heartbeat; call before sending it."""
        self._counter += 1
        self._pending.append(_SentHeartbeat(self._counter, now))
        return self._counter

    def record_ack(self, committed: int) -> None:
        """Renew the lease from the send time of the heartbeat with the committed counter.

        An acknowledgement that repeats an earlier counter, as sent while the table is down, renews
        nothing.
        """
        while self._pending and self._pending[0].counter <= committed:
            sent = self._pending.popleft()
            self._deadline = max(self._deadline, sent.at + self._lease_s)

    def granted(self) -> bool:
        """Return whether the lease was ever granted to this incarnation."""
        return self._deadline != _NEVER

    def may_act(self, now: float) -> bool:
        """Return whether a task may be started or renewed at ``now``.

        Call it before each such action: an agent that was paused past its deadline resumes before
        its timers fire.
        """
        return now < self._deadline - self._guard_s

    def expiring(self, now: float) -> bool:
        """Return whether a granted lease is within the guard of its deadline, or past it."""
        return self.granted() and not self.may_act(now)


@dataclass(frozen=True, slots=True)
class WorkerClock:
    """Maps loop time to a worker's clock, from one response of the worker.

    :ivar clock: the worker's clock, in seconds, read before it responded.
    :ivar received_at: loop time at which the response was received.
    """

    clock: float
    received_at: float

    def convert(self, deadline: float) -> float:
        """Return a worker time that is never later than loop time ``deadline``.

        The worker read its clock before ``received_at``, so network delay only makes the result
        earlier.

        >>> WorkerClock(clock=1_000.0, received_at=50.0).convert(60.0)
        1010.0
        """
        return self.clock + (deadline - self.received_at)


@dataclass(frozen=True, slots=True)
class UnchangedCounter:
    """A counter that observers have seen unchanged, as stored for those that follow.

    :ivar age_s: seconds for which it was observed.
    """

    incarnation: str
    counter: int
    age_s: float


@dataclass(frozen=True, slots=True)
class _Observation:
    incarnation: str
    counter: int
    since: float


class LeaseObserver:
    """An entry's side of leases: detects expired leases.

    All observations restart after a failed read, or after a gap between reads long enough that the
    process must have been paused.  Otherwise an outage of the table would fence healthy instances.
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
        """Return an observer with the lease, margin and renewal interval of ``settings``."""
        expiry_s = settings.lease_seconds + settings.margin_seconds
        max_gap_s = min(settings.renew_interval_seconds * MAX_GAP_INTERVALS, expiry_s / 2)
        return cls(expiry_s, max(max_gap_s, settings.renew_interval_seconds * 2))

    def observe(
        self,
        now: float,
        counters: Mapping[str, tuple[str, int]],
        stored: Mapping[str, UnchangedCounter] | None = None,
    ) -> list[tuple[str, str]]:
        """Record a successful read and return ``(instance, incarnation)`` of each expired lease.

        :param now: loop time, in seconds, after the read returned.
        :param counters: incarnation and committed counter of each instance.
        :param stored: what observers have stored with them.
        """
        known = stored or {}
        if now - self._last_read_at > self._max_gap_s:
            self._observations.clear()
        self._last_read_at = now
        self._observations = {
            instance: self._update_observation(
                now, instance, incarnation, counter, known.get(instance)
            )
            for instance, (incarnation, counter) in counters.items()
        }
        return [
            (instance, seen.incarnation)
            for instance, seen in self._observations.items()
            if now - seen.since > self._expiry_s
        ]

    def unchanged(self, min_age_s: float) -> dict[str, UnchangedCounter]:
        """Return the counters seen unchanged for longest, to be stored for other observers.

        Their ages reach up to the last read: the process may have been paused since.

        :param min_age_s: shorter observations are left out.
        """
        found = {
            instance: UnchangedCounter(
                seen.incarnation, seen.counter, self._last_read_at - seen.since
            )
            for instance, seen in self._observations.items()
        }
        longest = sorted(found.items(), key=lambda item: item[1].age_s, reverse=True)
        return {name: item for name, item in longest[:MAX_UNCHANGED] if item.age_s >= min_age_s}

    def reset(self, now: float) -> None:
        """Restart all observations after a failed read."""
        self._observations.clear()
        self._last_read_at = now

    def _update_observation(
        self,
        now: float,
        instance: str,
        incarnation: str,
        counter: int,
        stored: UnchangedCounter | None,
    ) -> _Observation:
        seen = self._observations.get(instance)
        if seen and seen.incarnation == incarnation and seen.counter == counter:
            return seen
        age_s = 0.0
        if stored and (stored.incarnation, stored.counter) == (incarnation, counter):
            age_s = stored.age_s
        return _Observation(incarnation, counter, now - age_s)
