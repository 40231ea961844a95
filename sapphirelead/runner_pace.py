"""How fast filling tasks may work beside tasks that serve, decided from the newest tail figures.

The pattern that this answers: a filling task presses on the tail of the serving tasks on the same
worker by an amount that nobody declares and that changes within seconds.  The worker reports a
tail each half second.  One level for all filling tasks of a worker is lowered by factors while a
tail is near its target and given back by steps while all are well below it, so that from full
speed the level is below a tenth after three reports (1.5 s), and back after about five.
"""

from dataclasses import dataclass
from typing import Final

OVER: Final = 1.0
"""Tail as a share of its target at which filling work is cut hard."""
NEAR: Final = 0.85
"""Share at which filling work is slowed; leaves room for one report's growth of the load."""
CALM: Final = 0.65
"""Share under which speed is given back."""
CUT: Final = 0.35
SLOW: Final = 0.75
GIVE_BACK: Final = 0.2
LEAST: Final = 0.05
"""A lower level stops the work altogether; the memory stays allocated."""
STEP_S: Final = 0.4
"""Least time between two changes: an earlier figure does not show the last change yet."""


@dataclass(frozen=True, slots=True)
class Tail:
    """Newest tail of a serving task, with its target, both in milliseconds."""

    figure_ms: int
    target_ms: int


class PaceControl:
    """The common level of the filling tasks on one worker.

    :ivar level: 0 to 1.
    """

    level: float
    _changed_at: float

    def __init__(self) -> None:
        self.level = 1.0
        self._changed_at = -1e9

    def update(self, tails: list[Tail], at: float) -> float:
        """Take the newest tails and return the level to work at."""
        worst = max(
            (tail.figure_ms / tail.target_ms for tail in tails if tail.target_ms), default=0
        )
        if at - self._changed_at < STEP_S:
            return self.level
        before = self.level
        if worst >= OVER:
            self.level *= CUT
        elif worst >= NEAR:
            self.level *= SLOW
        elif worst < CALM:
            self.level = min(1.0, self.level + GIVE_BACK)
        if self.level < LEAST:
            self.level = 0.0
        if self.level != before:
            self._changed_at = at
        return self.level

    @property
    def percent(self) -> int:
        """The level in whole percent."""
        return round(self.level * 100)
