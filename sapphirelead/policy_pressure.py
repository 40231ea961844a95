"""The tail of a serving task beside filling work, as that of a queue.  No I/O.

A tail is ``idle / (1 - load)``: ``idle`` is the tail of the image without any load, ``load`` the
share of the task's time that is taken, by its own users and by what presses on it.  Filling work
adds to the load in proportion to the processors that it uses; the weight of a pair of images is the
load that is added if the filling image takes the whole worker.

Grounds: on two played days whose rows were logged, three forms were fitted to the tails, with
the load of each job free in every 1.5 s.  Load that adds up left the least unexplained (0.032 to
0.041 of a tail at the median; a tail that grows in proportion 0.035 to 0.043).  Weights of light
pairs stood at 0.0 to 0.4, those of heavy ones at 0.8 to 3.  A serving job's own load swung between
0.25 and 0.72 within 20 s: at the top hardly anything fits beside it, at the bottom nearly all.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

MOST_LOAD: Final = 0.98
"""Load at which a tail is 50 times its idle one; more shows no better."""

LEAST_LEVEL: Final = 0.04
"""A lower level stops the work altogether; the memory stays allocated."""

USED_SHARE: Final = 0.85
"""Processors that a filling task uses at full pace, as a share of what it asks for, as logged."""

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
    """Load that a serving task bears besides that of its own users."""

    image: str
    load: float


def allot(rooms: list[Room], wanted: Mapping[str, float], weight: Weight) -> dict[str, float]:
    """Return the level of each filling image at which every tail has room.

    Where a tail has not, the images that press most on it give way first: for the same load they do
    the least work.

    :param wanted: by filling image, the share of the processors that it would use at full pace.

    >>> presses = {"heavy": 2.0, "light": 0.2}
    >>> allot([Room("s", 0.2)], {"heavy": 0.1, "light": 0.5}, lambda _, image: presses[image])
    {'heavy': 0.5, 'light': 1.0}
    """
    levels = dict.fromkeys(wanted, 1.0)
    for room in rooms:
        added = {image: weight(room.image, image) * share for image, share in wanted.items()}
        excess = sum(added[image] * levels[image] for image in wanted) - max(0.0, room.load)
        for image in sorted(wanted, key=lambda image: -weight(room.image, image)):
            if excess <= 0 or added[image] <= 0:
                break
            cut = min(levels[image], excess / added[image])
            excess -= cut * added[image]
            levels[image] = round(levels[image] - cut, 3)
    return {image: level if level >= LEAST_LEVEL else 0.0 for image, level in levels.items()}


def level_beside(
    rooms: list[Room], wanted: Mapping[str, float], image: str, weight: Weight
) -> float:
    """Return the level that :func:`allot` gives one of the images.

    Only the images that press less than it, or as much, take room from it.

    >>> presses = {"heavy": 2.0, "light": 0.2}
    >>> beside = {"heavy": 0.1, "light": 0.5}
    >>> round(level_beside([Room("s", 0.2)], beside, "heavy", lambda _, one: presses[one]), 2)
    0.5
    """
    level = 1.0
    for room in rooms:
        press = weight(room.image, image)
        added = press * wanted[image]
        if added <= 0:
            continue
        left = room.load
        for other, share in wanted.items():
            if other != image and (lighter := weight(room.image, other)) <= press:
                left -= lighter * share
        level = min(level, left / added)
    return max(level, 0.0)
