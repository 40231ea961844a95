"""Measures for how long there have been leaders, from the first one to the present one.

Waits are counted on it: nobody can end a wait while there is no leader.  Each head row states the
total, so that a successor goes on counting without comparing clocks.
"""


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
