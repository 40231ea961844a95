"""How long a leader waits for the store before it refuses what it has not sent.

The pattern that this answers: a store that is slow for seconds but answers each transaction, next
to one that is away.  A submission that waits for the second is held for nothing; refused by the
first, it is sent to and fro by its caller although the next transaction would have taken it.
Transactions of 0.39 s had every second submission refused for five seconds, under a patience of
0.3 s, while jobs have seconds to spare.  So what the newest transaction took sets the patience.
"""

from typing import Final

MIN_STORE_TIMEOUT_S: Final = 0.3
"""Patience with a store of which nothing slow is known: a transaction takes about 10 ms."""

MAX_STORE_TIMEOUT_S: Final = 1.0
"""Longest patience; callers wait for 3 s in all, and a leader looks for another after 1 s."""

TIMEOUT_COMMITS: Final = 2.5
"""Transactions that a submission waits for: the one on its way, its own, and half for the noise."""


class StoreTimeout:
    """Patience with the store, by the time of its newest transaction."""

    _took_s: float

    def __init__(self) -> None:
        self._took_s = 0.0

    def record_commit(self, took_s: float) -> None:
        """Take note of a transaction that was stored."""
        self._took_s = took_s

    @property
    def timeout_s(self) -> float:
        """How long to wait.

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
        return min(max(MIN_STORE_TIMEOUT_S, TIMEOUT_COMMITS * self._took_s), MAX_STORE_TIMEOUT_S)
