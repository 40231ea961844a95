"""Clocks.

Durations are measured on the running event loop's monotonic clock, which tests can control.
Wall-clock time is used only for timestamps; leases use a clock that includes system suspend.
"""

import asyncio
import time
from datetime import UTC, datetime


def now() -> float:
    """Return the running loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970, for timestamps only."""
    return int(datetime.now(UTC).timestamp() * 1000)


def awake_now() -> float:
    """Return a monotonic time in seconds that includes system suspend.

    Leases are measured on it: the loop's clock stops during a suspend, so a lease that expired
    meanwhile would still look valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
