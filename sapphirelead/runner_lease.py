"""How far an agent may extend the lease of what its worker runs.

An agent renews only on the strength of a report that the leader has acknowledged, counted from the
moment at which that report was sent.  The leader counts from the acknowledgement, which is later,
so it never takes a run for over that may still be renewed.
"""

import math
from typing import Final

from sapphirelead.sched_timing import (
    CLOCK_DRIFT_SHARE,
    LEASE_MARGIN_S,
    LOSS_MARGIN_S,
    MAX_ORDER_AGE_S,
)

MUTE_S: Final = 3.0
"""Time without an answer after which a worker is granted no more.  A grant may take effect although
its answer is lost, so its runs would never count as over."""


class RunnerLease:
    """The agent's lease from the leader, and the worker's lease made from it.

    All times are from the clock that also counts while the machine is suspended.

    :ivar until: end of the agent's lease.
    :ivar bound: no run of this life of the worker outlives this, whatever was lost on the way.
    """

    until: float
    bound: float
    _lease_s: float
    _sent: dict[int, float]
    _clock: tuple[int, float] | None
    _unanswered_at: float | None

    def __init__(self, lease_s: float, at: float) -> None:
        self.until = 0.0
        # An earlier process of this agent may have renewed the worker's lease just before.
        self.bound = at + (lease_s + LEASE_MARGIN_S) * (1 + 2 * CLOCK_DRIFT_SHARE)
        self._lease_s = lease_s
        self._sent = {}
        self._clock = None
        self._unanswered_at = None

    def sent(self, beat: int, at: float) -> None:
        """Remember when a report was sent."""
        self._sent[beat] = at
        # The acknowledgement of an older one extends nothing.
        kept_s = max(self._lease_s, MAX_ORDER_AGE_S)
        while at - next(iter(self._sent.values())) > kept_s:
            del self._sent[next(iter(self._sent))]

    @property
    def remembered(self) -> int:
        """Number of reports whose time of sending is known."""
        return len(self._sent)

    def bears_starts(self, beat: int, at: float) -> bool:
        """Return whether starts ordered on the ground of a report may still be carried out.

        Starts that were held up on the way may have been overtaken by a cancellation; the leader
        repeats those that still hold.
        """
        return self.report_age(beat, at) <= MAX_ORDER_AGE_S

    def report_age(self, beat: int, at: float) -> float:
        """Return how long ago a report was sent; infinite where that is no longer known."""
        return at - self._sent.get(beat, -math.inf)

    def left_s(self, at: float) -> float:
        """Return how much of the agent's lease is left."""
        return max(0.0, self.until - at)

    def acknowledged(self, beat: int) -> None:
        """Extend the agent's lease by an acknowledged report."""
        at = self._sent.get(beat)
        if at is not None:
            self.until = max(self.until, at + self._lease_s)

    def for_next_life(self, at: float) -> "RunnerLease":
        """Return the lease for the next life of the worker: the same agent, another clock."""
        lease = RunnerLease(self._lease_s, at)
        lease.until = self.until
        lease._sent = self._sent
        return lease

    def saw_clock(self, clock_ms: int, at: float) -> None:
        """Take the worker's clock from an answer that arrived at ``at``."""
        self._clock = (clock_ms, at)
        self._unanswered_at = None

    def note_unanswered(self, at: float) -> None:
        """Note that a call has got no answer by ``at``."""
        if self._unanswered_at is None:
            self._unanswered_at = at

    def mute(self, at: float) -> bool:
        """Whether the worker has left calls unanswered for so long that it is granted no more."""
        return self._unanswered_at is not None and at - self._unanswered_at > MUTE_S

    def worker_time(self, at: float) -> int:
        """Return the worker's clock at ``at``, never later than it really is by then."""
        if self._clock is None:
            return 0
        clock_ms, seen_at = self._clock
        return clock_ms + int((at - seen_at) * (1 - CLOCK_DRIFT_SHARE) * 1000)

    def worker_lease(self, at: float) -> int:
        """Return the lease to ask for, as a time on the worker's clock; 0 for none.

        The worker's clock may be slow, so the time that is left is shortened by as much: the
        worker ends what lapses no later than this agent's own lease.
        """
        if self._clock is None or self.until <= at:
            return 0
        if self.mute(at):
            return 0
        self.bound = max(self.bound, self.until)
        return self.worker_time(self.until)

    def start_deadline(self, at: float, within_s: float) -> int:
        """Return the worker-clock time until which a start sent at ``at`` may be carried out.

        To be asked only for a worker that is not mute: the bound moves on.
        """
        self.bound = max(self.bound, at + within_s * (1 + 2 * CLOCK_DRIFT_SHARE))
        return self.worker_time(at) + int(within_s * 1000)

    def surely_over(self, at: float) -> bool:
        """Whether everything the worker ran has lapsed by ``at``."""
        return at > self.bound + LOSS_MARGIN_S
