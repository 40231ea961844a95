"""Leases of an agent and of the runs on its worker.

The agent's lease starts when it sends a report and takes effect when the leader acknowledges that
report.  The leader counts from its acknowledgement, which is later, so it never treats a run as
ended that the agent may still renew.
"""

import math
from typing import Final

from sapphirelead.sched_timing import (
    CLOCK_DRIFT_SHARE,
    LEASE_MARGIN_S,
    LOSS_MARGIN_S,
    MAX_ORDER_AGE_S,
    MAX_WORKER_LEASE_S,
)

UNRESPONSIVE_TIMEOUT_S: Final = 3.0
"""Time without an answer after which a worker gets no renewals or starts.  A call may take effect
although its answer is lost, which would extend ``RunnerLease.expiry_bound`` indefinitely."""


class RunnerLease:
    """The agent's lease from the leader, and the worker's lease derived from it.

    All times are from the clock that also counts while the machine is suspended.

    :ivar until: end of the agent's lease.
    :ivar expiry_bound: time by which all runs of this worker life have ended, even if answers to
        calls were lost.
    """

    until: float
    expiry_bound: float
    _inherited_until: float
    _began_at: float
    _lease_s: float
    _lease_max_s: float
    _sent: dict[int, float]
    _clock: tuple[int, float] | None
    _unanswered_since: float | None

    def __init__(self, lease_s: float, at: float, lease_max_s: float = 0.0) -> None:
        """Begin without a lease.

        :param at: when this process of the agent began.
        :param lease_max_s: longest lease that a worker grants; by default just above the agent's.
        """
        self.until = 0.0
        self._inherited_until = -math.inf
        self._began_at = at
        self._lease_s = lease_s
        self._lease_max_s = lease_max_s or lease_s + LEASE_MARGIN_S
        # An earlier process of this agent may have just renewed the worker's lease.
        self.expiry_bound = self.longest_until(at)
        self._sent = {}
        self._clock = None
        self._unanswered_since = None

    def longest_until(self, at: float) -> float:
        """Return when the longest lease that a worker can grant at ``at`` has expired."""
        return at + self._lease_max_s * (1 + 2 * CLOCK_DRIFT_SHARE)

    def inherit_runs(self, at: float) -> None:
        """Record that the worker may run what it was told before ``at`` as another life.

        Its clock started anew, so that it has granted its longest lease for that.
        """
        self._inherited_until = self.longest_until(at)
        self.expiry_bound = max(self.expiry_bound, self._inherited_until)

    def inherited_runs_outlast(self, at: float) -> bool:
        """Whether inherited runs have a lease beyond the agent's own, if that ends by ``at``."""
        return self.until <= at and self.until < self._inherited_until

    def sent(self, report_seq: int, at: float) -> None:
        """Record when a report was sent."""
        self._sent[report_seq] = at
        # Acknowledgements of older reports do not extend the lease.
        kept_s = max(self._lease_s, MAX_ORDER_AGE_S)
        while at - next(iter(self._sent.values())) > kept_s:
            del self._sent[next(iter(self._sent))]

    @property
    def report_count(self) -> int:
        """Number of reports whose send time is known."""
        return len(self._sent)

    def allows_starts(self, report_seq: int, at: float) -> bool:
        """Return whether start orders based on a report may still be carried out.

        Delayed start orders may have been cancelled since; the leader repeats those still valid.
        """
        return self.report_age_s(report_seq, at) <= MAX_ORDER_AGE_S

    def report_age_s(self, report_seq: int, at: float) -> float:
        """Return the seconds since a report was sent; infinite if its send time is not known."""
        return at - self._sent.get(report_seq, -math.inf)

    def end_after(self, report_seq: int) -> float:
        """Return until when the agent's lease lasts at least once a report has reached the leader.

        Minus infinity if its send time is not known.
        """
        return self._sent.get(report_seq, -math.inf) + self._lease_s

    def remaining_s(self, at: float) -> float:
        """Return the remaining seconds of the agent's lease."""
        return max(0.0, self.until - at)

    def acknowledged(self, report_seq: int) -> None:
        """Extend the agent's lease after the leader acknowledged a report."""
        at = self._sent.get(report_seq)
        if at is not None:
            self.until = max(self.until, at + self._lease_s)

    def for_next_life(self) -> "RunnerLease":
        """Return a lease for the next worker life: same agent lease, new worker clock."""
        lease = RunnerLease(self._lease_s, self._began_at, self._lease_max_s)
        lease.until = self.until
        lease._sent = self._sent
        return lease

    def update_clock(self, clock_ms: int, at: float) -> None:
        """Record the worker's clock from an answer received at ``at``."""
        self._clock = (clock_ms, at)
        self._unanswered_since = None

    def record_unanswered(self, at: float) -> None:
        """Record that a call has got no answer by ``at``."""
        if self._unanswered_since is None:
            self._unanswered_since = at

    def unresponsive(self, at: float) -> bool:
        """Whether the worker has left calls unanswered for :data:`UNRESPONSIVE_TIMEOUT_S`."""
        return (
            self._unanswered_since is not None
            and at - self._unanswered_since > UNRESPONSIVE_TIMEOUT_S
        )

    def worker_time_ms(self, at: float) -> int:
        """Return a lower bound of the worker's clock at ``at``."""
        if self._clock is None:
            return 0
        clock_ms, seen_at = self._clock
        return clock_ms + int((at - seen_at) * (1 - CLOCK_DRIFT_SHARE) * 1000)

    def worker_lease_ms(self, at: float) -> int:
        """Return the lease to request, as a time on the worker's clock; 0 for none.

        Allows for a slow worker clock, so the runs' leases expire no later than the agent's own.
        """
        if self._clock is None or self.until <= at:
            return 0
        if self.unresponsive(at):
            return 0
        until = min(self.until, at + MAX_WORKER_LEASE_S)
        self.expiry_bound = max(self.expiry_bound, until)
        return self.worker_time_ms(until)

    def start_deadline_ms(self, at: float, within_s: float, until: float = math.inf) -> int:
        """Return the deadline on the worker's clock for a start call sent at ``at``.

        The deadline is also the lease of all runs on the worker.  Extends ``expiry_bound``, so
        callers first check that the worker is not ``unresponsive``.

        :param until: time by which the worker's clock has reached the deadline, however slow it is.
        """
        latest = min(at + within_s * (1 + 2 * CLOCK_DRIFT_SHARE), until)
        self.expiry_bound = max(self.expiry_bound, latest)
        deadline_ms = self.worker_time_ms(at) + int(within_s * 1000)
        return deadline_ms if until == math.inf else min(deadline_ms, self.worker_time_ms(until))

    def all_expired(self, at: float) -> bool:
        """Whether the leases of all runs on the worker have expired by ``at``."""
        return at > self.expiry_bound + LOSS_MARGIN_S
