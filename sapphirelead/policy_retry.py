"""Retries and hedges of service requests, and the budget that limits them.

A request is retried only if it is idempotent or its last attempt is proven not to have run.  A
hedge is a second attempt, sent if the first is still open after a percentile of the service's
latency.  Both take from one budget, to which each request adds a configured share of an attempt.

Invariants:

- Retries and hedges are at most ``budget_share`` of the requests, plus the initial tokens, so that
  retries cannot keep an overloaded service overloaded.
- A non-idempotent attempt that may have run is never retried.
"""

from dataclasses import dataclass
from typing import Final

from hdrh.histogram import HdrHistogram

from sapphirelead.model_config import RetryPolicy

INITIAL_TOKENS: Final = 3.0
MAX_TOKENS: Final = 50.0
MIN_SAMPLES: Final = 50
REFRESH_S: Final = 0.5
WINDOW_S: Final = 15.0
MAX_LATENCY_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
MIN_HEDGE_S: Final = 0.002


class RetryBudget:
    """Limits retries and hedges to a share of the requests.

    The initial tokens allow retries directly after a start.  They are an advance that is paid back
    before further tokens are added, so they do not raise the share.
    """

    share: float
    _tokens: float
    _unpaid_advance: float

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = INITIAL_TOKENS if share else 0.0
        self._unpaid_advance = self._tokens

    def request(self) -> None:
        """Add the share of one request."""
        if self._unpaid_advance > 0.0:
            self._unpaid_advance -= self.share
            return
        self._tokens = min(MAX_TOKENS, self._tokens + self.share)

    def take(self) -> bool:
        """Take the token for a retry or hedge; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class AttemptState:
    """State of a request after an attempt without an answer for the caller.

    :ivar proven_not_run: whether the attempt is proven not to have reached the target.
    :ivar attempts: attempts sent so far.
    """

    idempotent: bool
    proven_not_run: bool
    attempts: int


def may_retry(state: AttemptState, policy: RetryPolicy) -> bool:
    """Return whether the policy allows another attempt, regardless of the budget."""
    if state.attempts >= policy.max_attempts:
        return False
    return state.idempotent or state.proven_not_run


class RecentLatency:
    """Percentiles of recent latency, from the current and the last window."""

    _current: HdrHistogram
    _previous: HdrHistogram
    _opened_at: float
    _cached: dict[float, tuple[float, float | None]]

    def __init__(self, at: float) -> None:
        self._current = _histogram()
        self._previous = _histogram()
        self._opened_at = at
        self._cached = {}

    def record(self, latency_s: float, at: float) -> None:
        """Record the latency of a successful attempt."""
        if at - self._opened_at > WINDOW_S:
            self._previous, self._current = self._current, _histogram()
            self._opened_at = at
        self._current.record_value(min(MAX_LATENCY_US, max(1, int(latency_s * 1e6))))

    def percentile_s(self, percentile: float, at: float) -> float | None:
        """Return a percentile in seconds, or ``None`` if there are too few samples."""
        known = self._cached.get(percentile)
        if known is not None and at - known[0] < REFRESH_S:
            return known[1]
        value = self._measure(percentile)
        self._cached[percentile] = (at, value)
        return value

    def _measure(self, percentile: float) -> float | None:
        counts = (self._current.get_total_count(), self._previous.get_total_count())
        source = self._current if counts[0] >= MIN_SAMPLES else self._previous
        if max(counts) < MIN_SAMPLES:
            return None
        return float(source.get_value_at_percentile(percentile)) / 1e6


def hedge_after_s(
    window: RecentLatency, policy: RetryPolicy, wanted: bool, at: float
) -> float | None:
    """Return the seconds after which to send a hedge, or ``None`` for no hedge."""
    if not wanted:
        return None
    measured = window.percentile_s(policy.hedge_percentile, at)
    return None if measured is None else max(MIN_HEDGE_S, measured)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
