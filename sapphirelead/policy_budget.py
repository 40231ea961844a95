"""Token bucket on the loop's clock.

One bucket bounds one kind of call to the platform.  Its rate is the deployment's budget divided by
the number of live entries, so that the sum over all of them stays inside what the platform gives.
"""

import asyncio
from typing import Final

from sapphirelead.clock import now

BURST_SECONDS: Final = 0.5


class TokenBucket:
    """Bounds calls to ``rate`` a second with a burst of half a second's worth (at least one)."""

    rate: float
    _tokens: float
    _refilled_at: float

    def __init__(self, rate: float, at: float) -> None:
        self.rate = rate
        self._tokens = self._burst()
        self._refilled_at = at

    def set_rate(self, rate: float) -> None:
        """Change the rate, in calls a second."""
        self.rate = max(rate, 0.1)

    def wait_s(self, at: float) -> float:
        """Return the seconds until a call may go, or 0 and take a token."""
        self._refill(at)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate

    def _burst(self) -> float:
        return max(1.0, self.rate * BURST_SECONDS)

    def _refill(self, at: float) -> None:
        elapsed = max(0.0, at - self._refilled_at)
        self._tokens = min(self._burst(), self._tokens + elapsed * self.rate)
        self._refilled_at = at


async def take(bucket: TokenBucket) -> None:
    """Wait until ``bucket`` lets a call go."""
    delay = bucket.wait_s(now())
    while delay > 0:
        await asyncio.sleep(delay)
        delay = bucket.wait_s(now())
