"""Amounts of resources that tasks occupy, and work: amounts multiplied by seconds.  No I/O.

An amount has four components: CPU in millicores, memory in MB, accelerators, and the CPU of
best-effort tasks in millicores, which use capacity that others leave idle.
"""

from dataclasses import dataclass
from typing import Final, NamedTuple

from sapphirelead.sched_spec import StepSpec

Amount = tuple[float, float, float, float]

NOTHING: Final[Amount] = (0.0, 0.0, 0.0, 0.0)

COMPONENTS: Final = range(4)


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
    tasks: int = 0

    def add(self, load: Amount, length_s: float, tasks: int) -> None:
        """Add tasks of one length; a negative number removes them."""
        self.tasks += tasks
        self.rooms = total(self.rooms, scaled(load, tasks))
        self.amount = total(self.amount, scaled(load, tasks * length_s))
        self.squares = total(self.squares, scaled(load, tasks * length_s * length_s))

    def merge(self, other: "Work") -> None:
        """Add other work."""
        self.tasks += other.tasks
        self.rooms = total(self.rooms, other.rooms)
        self.amount = total(self.amount, other.amount)
        self.squares = total(self.squares, other.squares)

    def mean_length_s(self, component: int) -> float:
        """Return the mean length of the tasks, weighted by their work."""
        amount = self.amount[component]
        return self.squares[component] / amount if amount > 0 else 0.0


class PartSupply(NamedTuple):
    """Capacity of a service in one component of an amount.

    :ivar total: of the workers that accept work, without what long-running tasks occupy.
    :ivar free: what is not occupied.
    :ivar cold: the part of it that is on workers that are still slow.
    :ivar ends: expected ends of runs in order: seconds from now, and what becomes free.
    """

    total: float
    free: float
    cold: float
    ends: list[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Supply:
    """Capacity of a service, and when more of it becomes free.

    :ivar capacity: of the workers that accept work.
    """

    capacity: Amount
    parts: tuple[PartSupply, ...]

    @classmethod
    def from_runs(
        cls, capacity: Amount, cold: Amount, standing: Amount, ends: dict[float, Amount]
    ) -> "Supply":
        """Return the supply while runs occupy capacity.

        :param standing: what long-running tasks occupy.
        :param ends: what becomes free, by the seconds until then.
        """
        ordered = sorted(ends.items())
        parts = []
        for part in COMPONENTS:
            freed = [(end_s, amount[part]) for end_s, amount in ordered if amount[part] > 0]
            left = capacity[part] - standing[part]
            free = left - sum(amount for _, amount in freed)
            parts.append(PartSupply(left, free, cold[part], freed))
        return cls(capacity, tuple(parts))
