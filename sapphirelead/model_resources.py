"""Amounts of processor, memory and accelerators.

All amounts are integers, so that sums over many tasks are exact and the capacity check never
depends on the order in which tasks were added.
"""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each divisible resource.

    >>> Resources(2000, 512) + Resources(500, 256, 1)
    Resources(cpu_millicores=2500, memory_mb=768, accelerators=1)
    >>> Resources(1000, 100).fits_in(Resources(1000, 99))
    False
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room: "Resources") -> bool:
        """Return whether ``room`` holds this amount in every dimension."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def elementwise_max(self, other: "Resources") -> "Resources":
        """Return the larger amount of each dimension."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )


NO_RESOURCES: Final = Resources()
