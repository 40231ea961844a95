"""Amounts of resources that tasks occupy, and work: amounts multiplied by seconds.  No I/O.

An amount has four components: CPU in millicores, memory in MB, accelerators, and the CPU of
best-effort tasks in millicores, which use capacity that others leave idle.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.sched_spec import StepSpec

Amount = tuple[float, float, float, float]

NOTHING: Final[Amount] = (0.0, 0.0, 0.0, 0.0)


def load_of(step: StepSpec) -> Amount:
    """Return what a task of the step occupies.

    >>> load_of(StepSpec(cpu_millicores=5, memory_mb=7, fills=True))
    (0, 7, 0, 5)
    """
    room = step.room
    fill = step.cpu_millicores if step.fills else 0
    return room.cpu_millicores, room.memory_mb, room.accelerators, fill


def scaled(amount: Amount, factor: float) -> Amount:
    """Return a multiple of an amount."""
    cpu, memory, accelerators, fill = amount
    return cpu * factor, memory * factor, accelerators * factor, fill * factor


def total(one: Amount, other: Amount) -> Amount:
    """Return the sum of two amounts."""
    return one[0] + other[0], one[1] + other[1], one[2] + other[2], one[3] + other[3]


def covers(one: Amount, other: Amount) -> bool:
    """Whether ``one`` is at least ``other`` in every component."""
    return all(mine >= theirs for mine, theirs in zip(one, other, strict=True))


def larger(one: Amount, other: Amount) -> Amount:
    """Return the larger of two amounts in each component."""
    return (
        max(one[0], other[0]),
        max(one[1], other[1]),
        max(one[2], other[2]),
        max(one[3], other[3]),
    )


@dataclass(slots=True)
class Work:
    """Work of several tasks that have not started.

    :ivar amount: resources times seconds.
    :ivar squares: resources times squared seconds, for the mean length of the tasks.
    :ivar rooms: resources that the tasks occupy together.
    """

    amount: Amount = NOTHING
    squares: Amount = NOTHING
    rooms: Amount = NOTHING

    def add(self, load: Amount, length_s: float, tasks: float) -> None:
        """Add tasks of one length; a negative number removes them."""
        self.rooms = total(self.rooms, scaled(load, tasks))
        self.amount = total(self.amount, scaled(load, tasks * length_s))
        self.squares = total(self.squares, scaled(load, tasks * length_s * length_s))

    def merge(self, other: "Work") -> None:
        """Add other work."""
        self.rooms = total(self.rooms, other.rooms)
        self.amount = total(self.amount, other.amount)
        self.squares = total(self.squares, other.squares)

    def mean_length_s(self, component: int) -> float:
        """Return the mean length of the tasks, weighted by their work."""
        amount = self.amount[component]
        return self.squares[component] / amount if amount > 0 else 0.0


@dataclass(slots=True)
class Supply:
    """Capacity of a service.

    :ivar capacity: of the workers that accept work.
    :ivar cold: the part of it that is on workers that are still slow.
    :ivar standing: occupied by long-running tasks.
    :ivar ends: expected ends of the other runs: seconds from now, and what becomes free.
    """

    capacity: Amount = NOTHING
    cold: Amount = NOTHING
    standing: Amount = NOTHING
    ends: Sequence[tuple[float, Amount]] = field(default_factory=list)
