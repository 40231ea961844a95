"""The tail of a serving task beside filling work, as that of a queue.  No I/O.

A tail is ``idle / (1 - load)``: ``idle`` is the tail of the image without any load, ``load`` the
share of the task's time that is taken, by its own users and by what presses on it.  Filling work
adds to the load in proportion to the processors that it uses; the weight of a pair of images is the
load that is added if the filling image takes the whole worker.

Most pairs hardly press (weights up to 0.4), others hard (0.8 to 3).  A serving job's own load
swings within seconds: at the top hardly anything fits beside it, at the bottom nearly all.
"""

import math
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


def allot(rooms: list[Room], wanted: Mapping[str, float], weight: Weight) -> dict[str, float]:
    """Return the level of each filling image that the tails bear, from 0 to 1.

    The images that press least come first: for the same load they do the most work.

    :param wanted: by filling image, the share of the processors that it would use at full pace.

    >>> presses = {"heavy": 2.0, "light": 0.2}
    >>> levels = allot([Room("s", 0.4, 0.8)], {"heavy": 0.2, "light": 0.5}, lambda _, i: presses[i])
    >>> levels
    {'light': 1.0, 'heavy': 0.41}
    """
    added = [0.0] * len(rooms)
    levels = {}
    press = {
        image: max((weight(room.image, image) for room in rooms), default=0.0) for image in wanted
    }
    for image in sorted(wanted, key=lambda image: press[image]):
        presses = [weight(room.image, image) * wanted[image] for room in rooms]
        level = 1.0
        for room, more, so_far in zip(rooms, presses, added, strict=True):
            if more > 0:
                left = room.left(weight(room.image, image)) - so_far
                level = min(level, left / more)
        level = round(level, 2) if level >= LEAST_LEVEL else 0.0
        levels[image] = level
        added = [so_far + more * level for so_far, more in zip(added, presses, strict=True)]
    return levels
