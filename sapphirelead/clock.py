"""The loop's clock.

Every duration in the product is measured on the running event loop's monotonic clock, which tests
pause and advance.  Time of day serves only for what callers date by it.
"""

import asyncio
import time
from datetime import UTC, datetime


def now() -> float:
    """Return the running loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


def wall_ms() -> int:
    """Return the time of day in milliseconds since 1970, for what callers date by the calendar."""
    return int(datetime.now(UTC).timestamp() * 1000)


def awake_now() -> float:
    """Return a steady time in seconds that also counts while the machine is suspended.

    Leases are measured on it: the loop's clock stands still during a suspension, so that a lease
    which had run out meanwhile would still look valid afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
