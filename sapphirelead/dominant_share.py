"""Dominant share: the measure of usage of both schedulers.

Source: Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource Types",
NSDI 2011.
"""

from typing import Protocol

from sapphirelead.model_resources import Resources


class Amounts(Protocol):
    """An amount of each divisible resource, also an average one."""

    @property
    def cpu_millicores(self) -> float:
        """Processor time, in millicores."""

    @property
    def memory_mb(self) -> float:
        """Memory, in MB."""

    @property
    def accelerators(self) -> float:
        """Number of accelerators."""


def dominant_share(used: Amounts, total: Resources) -> float:
    """Return the largest share of any one resource of ``total`` that ``used`` holds.

    >>> dominant_share(Resources(1000, 100), Resources(4000, 1000))
    0.25
    """
    parts = [
        used.cpu_millicores / total.cpu_millicores if total.cpu_millicores else 0.0,
        used.memory_mb / total.memory_mb if total.memory_mb else 0.0,
        used.accelerators / total.accelerators if total.accelerators else 0.0,
    ]
    return max(parts)
