"""How fast filling tasks may work beside tasks that serve, decided from the newest tail figures.

The pattern that this answers: a filling task presses on the tail of the serving tasks on the same
worker by an amount that nobody declares and that changes within seconds.  The worker reports a tail
each half second, and after a change the tail moves to its new value over about a second.  One level
for all filling tasks of a worker follows the worst tail: it is lowered by the square of how far the
tail is above its aim, and given back in proportion to how far it is below.  So a tail at 1.7 times
its target cuts the level to a fifth at once, one just above the aim costs a few percent, and a
calm worker gets its full level back within about three seconds.
"""

from dataclasses import dataclass
from typing import Final

AIM: Final = 0.75
"""Share of its target at which the worst tail is held.  Load swings by half within seconds; a task
over its target costs its users about four times what the filling work beside it gains."""
GIVE_BACK: Final = 0.4
"""Level given back in one step for a tail that is the whole target below its aim."""
DEEPEST_CUT: Final = 0.15
LEAST: Final = 0.04
"""A lower level stops the work altogether; the memory stays allocated."""
FIRST: Final = 0.5
"""Level at which filling work begins beside serving tasks: its effect is not known yet."""
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

    def update(self, tails: list[Tail], fills: bool, at: float) -> float:
        """Take the newest tails and return the level to work at.

        :param fills: whether there is filling work; without any the level goes back to its start.
        """
        if not tails:
            self.level = 1.0
            return self.level
        if not fills:
            self.level = FIRST
            return self.level
        if at - self._changed_at < STEP_S:
            return self.level
        self._changed_at = at
        worst = max(tail.figure_ms / tail.target_ms for tail in tails)
        if worst > AIM:
            self.level *= max(DEEPEST_CUT, (AIM / worst) ** 2)
        else:
            self.level = min(1.0, self.level + GIVE_BACK * (AIM - worst))
        if self.level < LEAST and worst > AIM:
            self.level = 0.0
        return self.level

    @property
    def percent(self) -> int:
        """The level in whole percent."""
        return round(self.level * 100)
