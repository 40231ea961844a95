"""When a service request gets another attempt, and at what cost to everybody else.

A failed attempt may be followed by another only if the request is idempotent or the attempt is
proven not to have run.  Every further attempt, hedges included, is paid from one budget: each
request pays in a configured share of one attempt.

A hedge is a second attempt sent while the first is still open, once it has taken longer than a
measured percentile of the service's latency.

Invariants:

- Over any run of requests, further attempts are at most ``budget_share`` of the requests, plus the
  few that the budget may be ahead at the start.  The failure: instances slow down, every caller's
  request is tried three times, and the threefold load keeps them slow after the cause is gone.
- A non-idempotent attempt that may have run is never followed by another.
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
    """Bounds further attempts to a share of the requests.

    The advance lets the first requests after a start be retried; it is paid back before anything
    is saved, so it does not raise the share.
    """

    share: float
    _tokens: float
    _unpaid_advance: float

    def __init__(self, share: float) -> None:
        self.share = share
        self._tokens = INITIAL_TOKENS if share else 0.0
        self._unpaid_advance = self._tokens

    def request(self) -> None:
        """Pay in for one request."""
        if self._unpaid_advance > 0.0:
            self._unpaid_advance -= self.share
            return
        self._tokens = min(MAX_TOKENS, self._tokens + self.share)

    def take(self) -> bool:
        """Pay for one further attempt, if there is enough."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class AttemptState:
    """What is known when an attempt ended without an answer for the caller.

    :ivar proven_not_run: whether the attempt is proven not to have reached the target.
    """

    idempotent: bool
    proven_not_run: bool
    attempts: int


def may_retry(state: AttemptState, policy: RetryPolicy) -> bool:
    """Return whether another attempt is allowed, before the budget is asked."""
    if state.attempts >= policy.max_attempts:
        return False
    return state.idempotent or state.proven_not_run


class LatencyWindow:
    """Percentiles of recent latency: the last full window and the one being filled."""

    _current: HdrHistogram
    _last: HdrHistogram
    _opened_at: float
    _cached: dict[float, tuple[float, float | None]]

    def __init__(self, at: float) -> None:
        self._current = _histogram()
        self._last = _histogram()
        self._opened_at = at
        self._cached = {}

    def record(self, latency_s: float, at: float) -> None:
        """Add the latency of a successful attempt."""
        if at - self._opened_at > WINDOW_S:
            self._last, self._current = self._current, _histogram()
            self._opened_at = at
        self._current.record_value(min(MAX_LATENCY_US, max(1, int(latency_s * 1e6))))

    def percentile_s(self, percentile: float, at: float) -> float | None:
        """Return a percentile in seconds, or ``None`` while there are too few samples."""
        known = self._cached.get(percentile)
        if known is not None and at - known[0] < REFRESH_S:
            return known[1]
        value = self._measure(percentile)
        self._cached[percentile] = (at, value)
        return value

    def _measure(self, percentile: float) -> float | None:
        counts = (self._current.get_total_count(), self._last.get_total_count())
        source = self._current if counts[0] >= MIN_SAMPLES else self._last
        if max(counts) < MIN_SAMPLES:
            return None
        return float(source.get_value_at_percentile(percentile)) / 1e6


def hedge_after_s(
    window: LatencyWindow, policy: RetryPolicy, wanted: bool, at: float
) -> float | None:
    """Return seconds after which a hedge is due, or ``None`` for no hedge."""
    if not wanted:
        return None
    measured = window.percentile_s(policy.hedge_percentile, at)
    return None if measured is None else max(MIN_HEDGE_S, measured)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
