"""Measures for how long there have been leaders, from the first one to the present one.

Waits are counted on it: nobody can end a wait while there is no leader.  Each head row states the
total, so that a successor goes on counting without comparing clocks.

Invariant: the time of a term that a successor does not learn of is at most
:data:`STORE_INTERVAL_SHARE` of the time that it does, apart from the time that the store takes.
"""

from typing import Final

STORE_INTERVAL_SHARE: Final = 0.5
"""Time until the next write as a share of the term so far."""

MIN_STORE_INTERVAL_S: Final = 0.05
"""Minimum time between two writes that only state the time led."""


class LedTime:
    """Total time led; a term counts from the moment at which its leader serves."""

    _before_s: float
    _since: float | None

    def __init__(self, before_s: float = 0.0) -> None:
        """Continue after ``before_s`` seconds led by previous leaders."""
        self._before_s = before_s
        self._since = None

    @property
    def before_s(self) -> float:
        """Time led by previous leaders, as far as they have stored it, in seconds."""
        return self._before_s

    def begin(self, at: float) -> None:
        """Begin the present term."""
        self._since = at

    def term_s(self, at: float) -> float:
        """Return the length of the present term, in seconds."""
        return max(0.0, at - self._since) if self._since is not None else 0.0

    def total_s(self, at: float) -> float:
        """Return the total up to ``at``, in seconds.

        >>> led = LedTime(4.0)
        >>> led.total_s(10.0)
        4.0
        >>> led.begin(10.0)
        >>> led.total_s(11.5)
        5.5
        """
        return self._before_s + self.term_s(at)

    def store_interval_s(self, at: float, longest_s: float) -> float:
        """Return the time from a write at ``at`` within which the next one is due, in seconds.

        :param longest_s: interval in a long term.

        >>> led = LedTime()
        >>> led.begin(10.0)
        >>> [led.store_interval_s(at, 0.5) for at in (10.0, 10.5, 20.0)]
        [0.05, 0.25, 0.5]
        """
        interval_s = STORE_INTERVAL_SHARE * self.term_s(at)
        return min(max(interval_s, MIN_STORE_INTERVAL_S), longest_s)
