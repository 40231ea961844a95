"""The loop's clock.

Every duration in the product is measured on the running event loop's monotonic clock, which tests
pause and advance.  Wall-clock time is never compared between processes.
"""

import asyncio


def now() -> float:
    """Return the running loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()
