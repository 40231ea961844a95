"""Queueing model of a serving (latency-critical) task's tail latency beside best-effort (filling)
work.  No I/O.

The tail latency is ``idle / (1 - load)``: ``idle`` is the tail latency of the image without load,
``load`` the utilisation of the task by its own users and by interference.  Filling work adds load
in proportion to the processors that it uses; the weight of a pair of images is the load that is
added if the filling image uses the whole worker.
"""

import math
from bisect import bisect_right
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

MAX_LOAD: Final = 0.98
"""Upper bound of a load; the tail is then 50 times the idle tail, and a higher load is no worse."""

MIN_LEVEL: Final = 0.04
"""Levels below this are rounded down to 0, which pauses the work but keeps its memory."""

CPU_USED_SHARE: Final = 0.85
"""Share of its requested processors that a filling task uses at full speed."""

LOAD_MARGIN: Final = 0.15
LOAD_MARGIN_SLOPE: Final = 0.075
"""Safety margin below the load at which a tail reaches its target, for a weight of 1, and its
increase with the logarithm of the weight."""

MIN_LOAD_MARGIN: Final = 0.04
MAX_LOAD_MARGIN: Final = 0.4
"""Bounds of the margin; the lower one covers the rounding of reported values."""

MIN_WEIGHT: Final = 0.01
"""Lower bound of a weight, so that its logarithm is finite."""

WeightLookup = Callable[[str, str], float]
"""Returns the weight of a pair, given the serving and the filling image."""


def used_shares(used: Mapping[str, float], capacity: int) -> dict[str, float]:
    """Return the share of a worker's CPU that each filling image uses; together at most 1.

    :param used: CPU in use by image, in millicores; may exceed a capacity that has shrunk.
    :param capacity: CPU capacity in millicores.
    """
    whole = max(capacity, sum(used.values()), 1)
    return {image: amount / whole for image, amount in used.items()}


def load_from_tail(tail_ms: float, idle_ms: float) -> float:
    """Return the load that corresponds to a tail latency.

    >>> round(load_from_tail(100.0, 25.0), 2), load_from_tail(20.0, 25.0)
    (0.75, 0.0)
    """
    if tail_ms <= idle_ms:
        return 0.0
    return min(1 - idle_ms / tail_ms, MAX_LOAD)


def tail_at_load(load: float, idle_ms: float) -> float:
    """Return the tail latency at a load.

    >>> tail_at_load(0.75, 25.0)
    100.0
    """
    return idle_ms / (1 - min(load, MAX_LOAD))


def added_load(serving: str, shares: Mapping[str, float], weight: WeightLookup) -> float:
    """Return the load that filling images add to a serving image.

    :param shares: share of the worker's processors used, by filling image.
    """
    return sum(weight(serving, image) * share for image, share in shares.items())


@dataclass(frozen=True, slots=True)
class LoadBudget:
    """The load that a serving task can tolerate.

    :ivar own_load: load from its own users.
    :ivar max_load: load at which its tail latency reaches the target.
    """

    image: str
    own_load: float
    max_load: float

    def remaining_load(self, weight: float) -> float:
        """Return the load that is left for a filling image of this weight."""
        margin = LOAD_MARGIN + LOAD_MARGIN_SLOPE * math.log(max(weight, MIN_WEIGHT))
        return (
            self.max_load / (1 + min(max(margin, MIN_LOAD_MARGIN), MAX_LOAD_MARGIN)) - self.own_load
        )


@dataclass(frozen=True, slots=True)
class _ImageImpact:
    """Interference of a filling image with the serving tasks.

    :ivar max_weight: the largest weight in ``pairs``.
    :ivar pairs: weight and remaining load for each load budget.
    """

    image: str
    max_weight: float
    pairs: list[tuple[float, float]]

    @classmethod
    def from_budgets(
        cls, image: str, budgets: list[LoadBudget], weight: WeightLookup
    ) -> "_ImageImpact":
        """Return the impact of ``image``, with weights from ``weight``."""
        weights = [weight(budget.image, image) for budget in budgets]
        pairs = [
            (pair_weight, budget.remaining_load(pair_weight))
            for pair_weight, budget in zip(weights, budgets, strict=True)
        ]
        return cls(image, max(weights, default=0.0), pairs)

    def level(self, wanted: float, added: list[float]) -> float:
        """Return the highest level within all load budgets.

        :param added: load that other images add to each budget.
        """
        level = 1.0
        for (weight, remaining_load), so_far in zip(self.pairs, added, strict=True):
            full_load = weight * wanted
            if full_load > 0:
                level = min(level, (remaining_load - so_far) / full_load)
        return level if level >= MIN_LEVEL else 0.0

    def add(self, used: float, added: list[float]) -> list[float]:
        """Return ``added`` plus the load of this image if it uses a share of the worker."""
        return [
            so_far + weight * used for (weight, _), so_far in zip(self.pairs, added, strict=True)
        ]


class LevelAllocation:
    """Levels of the filling images on one worker that keep all tails within their targets.

    Allocates greedily by increasing weight, because light images do the most work for the load that
    they add.  An additional task changes only the levels of its image and of later ones, so
    :meth:`used_with` resumes from there.

    :ivar levels: share of its requested speed that each filling image gets, 0 to 1.
    :ivar used: share of the worker's processors that all filling images use.
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
        """Allocate the levels.

        :param wanted: share of the processors used at full speed, by filling image.
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
        """Return what :attr:`used` would be if ``image`` wanted ``share`` more."""
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
        """Return the index of an image in the order, its impact, and the impacts after it."""
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
    """Return the level of each filling image, 0 to 1, that keeps all tails within their targets.

    :param wanted: share of the processors used at full speed, by filling image.

    >>> weights = {"heavy": 2.0, "light": 0.2}
    >>> budgets, wanted = [LoadBudget("s", 0.4, 0.8)], {"heavy": 0.2, "light": 0.5}
    >>> levels = allocate_levels(budgets, wanted, lambda _, image: weights[image])
    >>> levels
    {'light': 1.0, 'heavy': 0.41}
    """
    return LevelAllocation(budgets, wanted, weight).levels
