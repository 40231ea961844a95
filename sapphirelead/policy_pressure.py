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

MOST_LOAD: Final = 0.98
"""Load at which a tail is 50 times its idle one; more shows no better."""

LEAST_LEVEL: Final = 0.04
"""A lower level stops the work altogether; the memory stays allocated."""

USED_SHARE: Final = 0.85
"""Processors that a filling task uses at full pace, as a share of what it asks for."""

MARGIN: Final = 0.15
MARGIN_SLOPE: Final = 0.075
"""Distance that filling work keeps from the load at which a tail reaches its target, for a weight
of 1 and by the logarithm of the weight.

The load of a single task jumps from one half second to the next, the further the higher it is, and
a second over the target costs a serving task several times what the filling work beside it earns.
The heavier an image, the less it does for the load that it adds, and the more distance it keeps."""

LEAST_MARGIN: Final = 0.04
MOST_MARGIN: Final = 0.4
"""Bounds of that distance; the least covers the figures' rounding."""

LEAST_PRESS: Final = 0.01
"""Least weight assumed, so that its logarithm stays finite."""

Weight = Callable[[str, str], float]
"""Load that a filling image adds to a serving one if it took the whole worker."""


def load_of(tail_ms: float, idle_ms: float) -> float:
    """Return the load that a tail shows.

    >>> round(load_of(100.0, 25.0), 2), load_of(20.0, 25.0)
    (0.75, 0.0)
    """
    if tail_ms <= idle_ms:
        return 0.0
    return min(1 - idle_ms / tail_ms, MOST_LOAD)


def tail_at(load: float, idle_ms: float) -> float:
    """Return the tail at a load.

    >>> tail_at(0.75, 25.0)
    100.0
    """
    return idle_ms / (1 - min(load, MOST_LOAD))


def added_load(serving: str, shares: Mapping[str, float], weight: Weight) -> float:
    """Return the load that filling images add to a serving one.

    :param shares: by filling image, the share of the worker's processors that it uses.
    """
    return sum(weight(serving, image) * share for image, share in shares.items())


@dataclass(frozen=True, slots=True)
class Room:
    """A serving task beside which filling work is to find room.

    :ivar own: load that its own users bring.
    :ivar most: load at which its tail reaches the target.
    """

    image: str
    own: float
    most: float

    def left(self, press: float) -> float:
        """Return the load that is left to an image of this weight."""
        margin = MARGIN + MARGIN_SLOPE * math.log(max(press, LEAST_PRESS))
        return self.most / (1 + min(max(margin, LEAST_MARGIN), MOST_MARGIN)) - self.own


@dataclass(frozen=True, slots=True)
class _Press:
    """What a filling image presses on the rooms.

    :ivar most: the largest of the weights.
    :ivar pairs: for each room the weight, and the load that is left to an image of this weight.
    """

    image: str
    most: float
    pairs: list[tuple[float, float]]

    @classmethod
    def from_rooms(cls, image: str, rooms: list[Room], weight: Weight) -> "_Press":
        """Look the weights up."""
        weights = [weight(room.image, image) for room in rooms]
        pairs = [(one, room.left(one)) for one, room in zip(weights, rooms, strict=True)]
        return cls(image, max(weights, default=0.0), pairs)

    def level(self, wanted: float, added: list[float]) -> float:
        """Return the level that the rooms bear.

        :param added: load that others have added to each room.
        """
        level = 1.0
        for (weight, left), so_far in zip(self.pairs, added, strict=True):
            more = weight * wanted
            if more > 0:
                level = min(level, (left - so_far) / more)
        return level if level >= LEAST_LEVEL else 0.0

    def add(self, used: float, added: list[float]) -> list[float]:
        """Return the load added to each room once the image uses a share of the worker."""
        return [
            so_far + weight * used for (weight, _), so_far in zip(self.pairs, added, strict=True)
        ]


class Allotment:
    """The levels of the filling images on one worker that the tails bear.

    The images that press least come first: for the same load they do the most work.  So one more
    task changes nothing of those before its image, and :meth:`used_with` begins there.

    :ivar levels: by filling image, from 0 to 1.
    :ivar used: share of the worker that all of them use.
    """

    levels: dict[str, float]
    used: float
    _rooms: list[Room]
    _wanted: Mapping[str, float]
    _weight: Weight
    _order: list[_Press]
    _before: list[tuple[list[float], float]]
    _others: dict[str, _Press]

    def __init__(self, rooms: list[Room], wanted: Mapping[str, float], weight: Weight) -> None:
        """Share the rooms out.

        :param wanted: by filling image, the share of the processors that it would use at full pace.
        """
        self._rooms = rooms
        self._wanted = wanted
        self._weight = weight
        presses = [_Press.from_rooms(image, rooms, weight) for image in wanted]
        self._order = sorted(presses, key=lambda press: press.most)
        self._others = {}
        self._before = []
        self.levels = {}
        self.used = 0.0
        added = [0.0] * len(rooms)
        for press in self._order:
            self._before.append((added, self.used))
            share = wanted[press.image]
            level = press.level(share, added)
            self.levels[press.image] = round(level, 2)
            self.used += level * share
            added = press.add(level * share, added)
        self._before.append((added, self.used))

    def used_with(self, image: str, share: float) -> float:
        """Return the share of the worker that all use once ``image`` wants ``share`` more."""
        number, press, behind = self._position(image)
        added, used = self._before[number]
        share += self._wanted.get(image, 0.0)
        for one in (press, *behind):
            wanted = share if one is press else self._wanted[one.image]
            taken = one.level(wanted, added) * wanted
            used += taken
            added = one.add(taken, added)
        return used

    def _position(self, image: str) -> tuple[int, _Press, list[_Press]]:
        """Return the place of an image in the order, the image, and those behind it."""
        if image in self._wanted:
            number = next(n for n, press in enumerate(self._order) if press.image == image)
            return number, self._order[number], self._order[number + 1 :]
        found = self._others.get(image)
        if found is None:
            found = self._others[image] = _Press.from_rooms(image, self._rooms, self._weight)
        number = bisect_right(self._order, found.most, key=lambda press: press.most)
        return number, found, self._order[number:]


def allot(rooms: list[Room], wanted: Mapping[str, float], weight: Weight) -> dict[str, float]:
    """Return the level of each filling image that the tails bear, from 0 to 1.

    :param wanted: by filling image, the share of the processors that it would use at full pace.

    >>> presses = {"heavy": 2.0, "light": 0.2}
    >>> levels = allot([Room("s", 0.4, 0.8)], {"heavy": 0.2, "light": 0.5}, lambda _, i: presses[i])
    >>> levels
    {'light': 1.0, 'heavy': 0.41}
    """
    return Allotment(rooms, wanted, weight).levels
