"""Bounds the work that stops of runs without checkpoints throw away.  No I/O.

Answers urgent tasks that keep coming while the low-priority ones save nothing: each stop costs all
that its run has done, and the work lost grows with every arrival.  Beyond the budget urgent tasks
wait for runs to end by themselves, or have runs with checkpoints stopped.
"""

from typing import Final

MAX_LOST_SHARE: Final = 0.01
"""Share of the work that runs; half of the 2% that may be lost in all, since restoring checkpoints
takes up to 1.1% in the simulated fleet."""

BURST_S: Final = 30.0
"""Time for which an unused budget is kept."""

MIN_BURST_CORE_S: Final = 64.0
"""Least unused budget that is kept, so that a small fleet can make room for a burst as well."""


class LossBudget:
    """A token bucket of core-seconds, full at the beginning of a term."""

    _credit_core_s: float
    _refilled_at: float | None

    def __init__(self) -> None:
        self._credit_core_s = 0.0
        self._refilled_at = None

    def refill(self, cores: float, at: float) -> None:
        """Add what has been earned since the last call.

        :param cores: cores that are occupied by runs.
        """
        most = max(MIN_BURST_CORE_S, MAX_LOST_SHARE * BURST_S * cores)
        earned = (
            most if self._refilled_at is None else MAX_LOST_SHARE * cores * (at - self._refilled_at)
        )
        self._credit_core_s = min(most, self._credit_core_s + earned)
        self._refilled_at = at

    @property
    def spent(self) -> bool:
        """Whether no run without checkpoints may be stopped by now."""
        return self._credit_core_s <= 0

    def spend(self, core_s: float) -> None:
        """Count work that is thrown away; a single stop may overdraw the budget."""
        self._credit_core_s -= core_s
