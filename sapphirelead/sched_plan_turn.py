"""Planning under a budget of time: which steps are looked at now, and which in a later call.

The pattern that this answers: more steps wait than the leader can look at between two heartbeats.
Half of a call's budget goes by rank, to steps for which there may be new room, and to others that
have not been looked at for a moment, so that urgent steps do not wait behind a long pass.  The
other half goes to those that have waited longest for a look, so that each step is reached, however
many rank before it.

So new room is offered by rank first, to as many steps as half of the budget lasts for; only what
these leave may go to a step that ranks behind another.
"""

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Final, Protocol, TypeVar

from sapphirelead.sched_advice import StepKey
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S

LOOK_EVERY_S: Final = HEARTBEAT_INTERVAL_S
"""Time between two looks at a step by its rank while not all can be looked at."""


class Ranked(Protocol):
    """A step that may start."""

    @property
    def key(self) -> StepKey:
        """Identity of the step."""


R = TypeVar("R", bound=Ranked)


class Budget:
    """A deadline on a clock, until which work may go on.

    :ivar until: when it is spent.
    """

    until: float
    _clock: Callable[[], float]

    def __init__(self, clock: Callable[[], float], until: float) -> None:
        self.until = until
        self._clock = clock

    @classmethod
    def unlimited(cls) -> "Budget":
        """Make a budget that is never spent."""
        return cls(lambda: 0.0, math.inf)

    @property
    def spent(self) -> bool:
        """Whether there is none left."""
        return self._clock() >= self.until

    def half(self) -> "Budget":
        """Return half of what is left."""
        at = self._clock()
        return Budget(self._clock, at + max(0.0, self.until - at) / 2)


class PlanTurn:
    """The order of looks over several calls of the planner.

    :ivar budget: of the call in progress.
    :ivar waited_s: longest time that a step had waited for a look when the last call was cut; 0
        where it was not.
    """

    budget: Budget
    waited_s: float
    _looked_at: dict[StepKey, float]
    _looked: set[StepKey]

    def __init__(self) -> None:
        self.budget = Budget.unlimited()
        self.waited_s = 0.0
        self._looked_at = {}
        self._looked = set()

    @property
    def behind(self) -> bool:
        """Whether the last call could not look at every step."""
        return bool(self._looked_at)

    def order(
        self,
        steps: Sequence[R],
        since: Mapping[StepKey, float],
        at: float,
        has_new_room: Callable[[R], bool] = lambda _: False,
    ) -> Iterator[R]:
        """Yield the steps to look at until the budget is spent.

        One is yielded at least, and one of each half of the budget where both have any.

        :param steps: by rank.
        :param since: when each of them, and each that may not be looked at now, became ready.
        :param has_new_room: whether there may be room for a step that it has not been tried on.
        """
        self._looked = set()
        urgent = self.budget.half()
        for step in steps:
            if self._looked and urgent.spent:
                break
            looked_at = self._looked_at.get(step.key, -math.inf)
            if at - looked_at >= LOOK_EVERY_S or has_new_room(step):
                yield step
        by_rank = len(self._looked)
        rest = [step for step in steps if step.key not in self._looked]
        rest.sort(key=lambda step: (self._waits_since(step, since), step.key in self._looked_at))
        for step in rest:
            if len(self._looked) > by_rank and self.budget.spent:
                self.waited_s = at - self._waits_since(step, since)
                self._forget_others(since)
                return
            yield step
        self.waited_s = 0.0
        self._looked_at = {}

    def _waits_since(self, step: Ranked, since: Mapping[StepKey, float]) -> float:
        return self._looked_at.get(step.key, since[step.key])

    def _forget_others(self, since: Mapping[StepKey, float]) -> None:
        for key in [key for key in self._looked_at if key not in since]:
            del self._looked_at[key]

    def look(self, key: StepKey, at: float) -> None:
        """Take note of a look at a step; one that is only passed over does not count."""
        self._looked.add(key)
        self._looked_at[key] = at
