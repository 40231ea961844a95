"""Token bucket rate limiter on the event loop's clock.

Each bucket limits one kind of call to the platform.  Its rate is the deployment's budget divided by
the number of live entries, so that the total over all entries stays within the platform's limit.
"""

import asyncio
from typing import Final

from sapphirelead.clock import now

BURST_S: Final = 0.5


class TokenBucket:
    """Limits calls to ``rate`` per second, with bursts of ``BURST_S`` (at least one call)."""

    rate: float
    _tokens: float
    _refilled_at: float

    def __init__(self, rate: float, at: float) -> None:
        self.rate = rate
        self._tokens = self._burst()
        self._refilled_at = at

    def set_rate(self, rate: float) -> None:
        """Set the rate in calls per second."""
        self.rate = max(rate, 0.1)

    def take_or_wait_s(self, at: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        self._refill(at)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate

    def _burst(self) -> float:
        return max(1.0, self.rate * BURST_S)

    def _refill(self, at: float) -> None:
        elapsed = max(0.0, at - self._refilled_at)
        self._tokens = min(self._burst(), self._tokens + elapsed * self.rate)
        self._refilled_at = at


async def take(bucket: TokenBucket) -> None:
    """Wait for a token and take it."""
    delay = bucket.take_or_wait_s(now())
    while delay > 0:
        await asyncio.sleep(delay)
        delay = bucket.take_or_wait_s(now())
