"""The tail of a serving task beside filling work, as that of a queue.  No I/O.

A tail is ``idle / (1 - load)``: ``idle`` is the tail of the image without any load, ``load`` the
share of the task's time that is taken, by its own users and by what presses on it.  Filling work
adds to the load in proportion to the processors that it uses; the weight of a pair of images is the
load that is added if the filling image takes the whole worker.

Most pairs hardly press (weights up to 0.4), others hard (0.8 to 3).  A serving job's own load
swings within seconds: at the top hardly anything fits beside it, at the bottom nearly all.
"""

import math
from bisect import bisect_right
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

MAX_LOAD: Final = 0.98
"""Load at which a tail is 50 times its idle one; more shows no better."""

MIN_LEVEL: Final = 0.04
"""A lower level stops the work altogether; the memory stays allocated."""

CPU_USED_SHARE: Final = 0.85
"""Processors that a filling task uses at full pace, as a share of what it asks for."""

LOAD_MARGIN: Final = 0.15
LOAD_MARGIN_SLOPE: Final = 0.075
"""Distance that filling work keeps from the load at which a tail reaches its target, for a weight
of 1 and by the logarithm of the weight.

The load of a single task jumps from one half second to the next, the further the higher it is, and
a second over the target costs a serving task several times what the filling work beside it earns.
The heavier an image, the less it does for the load that it adds, and the more distance it keeps."""

MIN_LOAD_MARGIN: Final = 0.04
MAX_LOAD_MARGIN: Final = 0.4
"""Bounds of that distance; the least covers the figures' rounding."""

MIN_WEIGHT: Final = 0.01
"""Least weight assumed, so that its logarithm stays finite."""

WeightLookup = Callable[[str, str], float]
"""Load that a filling image adds to a serving one if it took the whole worker."""


def load_from_tail(tail_ms: float, idle_ms: float) -> float:
    """Return the load that a tail shows.

    >>> round(load_from_tail(100.0, 25.0), 2), load_from_tail(20.0, 25.0)
    (0.75, 0.0)
    """
    if tail_ms <= idle_ms:
        return 0.0
    return min(1 - idle_ms / tail_ms, MAX_LOAD)


def tail_at_load(load: float, idle_ms: float) -> float:
    """Return the tail at a load.

    >>> tail_at_load(0.75, 25.0)
    100.0
    """
    return idle_ms / (1 - min(load, MAX_LOAD))


def added_load(serving: str, shares: Mapping[str, float], weight: WeightLookup) -> float:
    """Return the load that filling images add to a serving one.

    :param shares: by filling image, the share of the worker's processors that it uses.
    """
    return sum(weight(serving, image) * share for image, share in shares.items())


@dataclass(frozen=True, slots=True)
class LoadBudget:
    """A serving task beside which filling work is to find room.

    :ivar own_load: load that its own_load users bring.
    :ivar max_load: load at which its tail reaches the target.
    """

    image: str
    own_load: float
    max_load: float

    def remaining_load(self, weight: float) -> float:
        """Return the load left for a filling image of this weight."""
        margin = LOAD_MARGIN + LOAD_MARGIN_SLOPE * math.log(max(weight, MIN_WEIGHT))
        return (
            self.max_load / (1 + min(max(margin, MIN_LOAD_MARGIN), MAX_LOAD_MARGIN)) - self.own_load
        )


@dataclass(frozen=True, slots=True)
class _ImageImpact:
    """What a filling image presses on the rooms.

    :ivar max_weight: the largest of the weights.
    :ivar pairs: for each room the weight, and the load that is left to an image of this weight.
    """

    image: str
    max_weight: float
    pairs: list[tuple[float, float]]

    @classmethod
    def from_budgets(
        cls, image: str, budgets: list[LoadBudget], weight: WeightLookup
    ) -> "_ImageImpact":
        """Look the weights up."""
        weights = [weight(budget.image, image) for budget in budgets]
        pairs = [
            (pair_weight, budget.remaining_load(pair_weight))
            for pair_weight, budget in zip(weights, budgets, strict=True)
        ]
        return cls(image, max(weights, default=0.0), pairs)

    def level(self, wanted: float, added: list[float]) -> float:
        """Return the level that the rooms bear.

        :param added: load that others have added to each room.
        """
        level = 1.0
        for (weight, remaining_load), so_far in zip(self.pairs, added, strict=True):
            full_load = weight * wanted
            if full_load > 0:
                level = min(level, (remaining_load - so_far) / full_load)
        return level if level >= MIN_LEVEL else 0.0

    def add(self, used: float, added: list[float]) -> list[float]:
        """Return the load added to each room once the image uses a share of the worker."""
        return [
            so_far + weight * used for (weight, _), so_far in zip(self.pairs, added, strict=True)
        ]


class LevelAllocation:
    """The levels of the filling images on one worker that the tails bear.

    The images that press least come first: for the same load they do the most work.  So one more
    task changes nothing of those before its image, and :meth:`used_with` begins there.

    :ivar levels: by filling image, from 0 to 1.
    :ivar used: share of the worker that all of them use.
    """

    levels: dict[str, float]
    used: float
    _budgets: list[LoadBudget]
    _wanted: Mapping[str, float]
    _weight: WeightLookup
    _order: list[_ImageImpact]
    _state_before: list[tuple[list[float], float]]
    _unplaced: dict[str, _ImageImpact]

    def __init__(
        self, budgets: list[LoadBudget], wanted: Mapping[str, float], weight: WeightLookup
    ) -> None:
        """Share the rooms out.

        :param wanted: by filling image, the share of the processors that it would use at full pace.
        """
        self._budgets = budgets
        self._wanted = wanted
        self._weight = weight
        impacts = [_ImageImpact.from_budgets(image, budgets, weight) for image in wanted]
        self._order = sorted(impacts, key=lambda impact: impact.max_weight)
        self._unplaced = {}
        self._state_before = []
        self.levels = {}
        self.used = 0.0
        added = [0.0] * len(budgets)
        for impact in self._order:
            self._state_before.append((added, self.used))
            share = wanted[impact.image]
            level = impact.level(share, added)
            self.levels[impact.image] = round(level, 2)
            self.used += level * share
            added = impact.add(level * share, added)
        self._state_before.append((added, self.used))

    def used_with(self, image: str, share: float) -> float:
        """Return the share of the worker that all use once ``image`` wants ``share`` full_load."""
        number, impact, later = self._position(image)
        added, used = self._state_before[number]
        share += self._wanted.get(image, 0.0)
        for current in (impact, *later):
            wanted = share if current is impact else self._wanted[current.image]
            taken = current.level(wanted, added) * wanted
            used += taken
            added = current.add(taken, added)
        return used

    def _position(self, image: str) -> tuple[int, _ImageImpact, list[_ImageImpact]]:
        """Return the place of an image in the order, the image, and those behind it."""
        if image in self._wanted:
            number = next(n for n, impact in enumerate(self._order) if impact.image == image)
            return number, self._order[number], self._order[number + 1 :]
        found = self._unplaced.get(image)
        if found is None:
            found = self._unplaced[image] = _ImageImpact.from_budgets(
                image, self._budgets, self._weight
            )
        number = bisect_right(self._order, found.max_weight, key=lambda impact: impact.max_weight)
        return number, found, self._order[number:]


def allocate_levels(
    budgets: list[LoadBudget], wanted: Mapping[str, float], weight: WeightLookup
) -> dict[str, float]:
    """Return the level of each filling image that the tails bear, from 0 to 1.

    :param wanted: by filling image, the share of the processors that it would use at full pace.

    >>> weights = {"heavy": 2.0, "light": 0.2}
    >>> levels = allocate_levels([LoadBudget("s", 0.4, 0.8)], {"heavy": 0.2, "light": 0.5}, lambda _, i: weights[i])
    >>> levels
    {'light': 1.0, 'heavy': 0.41}
    """
    return LevelAllocation(budgets, wanted, weight).levels
