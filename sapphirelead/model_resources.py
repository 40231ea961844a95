"""Amounts of processor, memory and accelerators.

Amounts are integers, so sums are exact and independent of the order of addition.
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

    def fits_in(self, capacity: "Resources") -> bool:
        """Return whether ``capacity`` is at least this amount in every dimension."""
        return (
            self.cpu_millicores <= capacity.cpu_millicores
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def elementwise_max(self, other: "Resources") -> "Resources":
        """Return the larger amount in each dimension."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )


NO_RESOURCES: Final = Resources()
