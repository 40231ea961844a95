"""Adaptive timeout for submissions that wait for the store.

The timeout follows the duration of the latest commit, within fixed bounds: a store that is slow but
answers does not cause refusals, and one that is unreachable causes them quickly.
"""

from typing import Final

MIN_STORE_TIMEOUT_S: Final = 0.3
"""Timeout while the store is not known to be slow; a transaction takes about 10 ms."""

MAX_STORE_TIMEOUT_S: Final = 1.0
"""Callers wait for 3 s in all, and a leader without its store offers the leadership after 1 s."""

COMMIT_DURATION_FACTOR: Final = 2.5
"""Ratio of the timeout to the duration of the latest commit; covers the commit in flight, the
submission's own commit, and a margin."""


class StoreTimeout:
    """Timeout for submissions, derived from the duration of the latest commit."""

    _took_s: float

    def __init__(self) -> None:
        self._took_s = 0.0

    def record_commit(self, took_s: float) -> None:
        """Record the duration of a completed commit."""
        self._took_s = took_s

    @property
    def timeout_s(self) -> float:
        """Current timeout in seconds.

        >>> store_timeout = StoreTimeout()
        >>> store_timeout.record_commit(0.01)
        >>> store_timeout.timeout_s
        0.3
        >>> store_timeout.record_commit(0.32)
        >>> store_timeout.timeout_s
        0.8
        >>> store_timeout.record_commit(6.0)
        >>> store_timeout.timeout_s
        1.0
        """
        return min(
            max(MIN_STORE_TIMEOUT_S, COMMIT_DURATION_FACTOR * self._took_s), MAX_STORE_TIMEOUT_S
        )
