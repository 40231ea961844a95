"""Capacity of each service, which shares are relative to.

Load pattern: thousands of workers and dozens of passes a second.  Adding up all workers costs more
than all else that sharing adds to a pass, so that each pass adds up a part of them.
"""

from collections.abc import Sequence
from typing import Final

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.sched_fleet import Instance

WORKERS_PER_PASS: Final = 400
"""Workers added up in one pass, so that no pass takes long on a large fleet."""


class ServiceCapacity:
    """Sums of the workers that may get work, as of the last complete sum.

    A sum that covers workers which joined or left meanwhile is off by those until the next.
    """

    _known: dict[str, Resources]
    _sums: dict[str, list[int]]
    _next: int

    def __init__(self) -> None:
        self._known = {}
        self._sums = {}
        self._next = 0

    def of(self, service: str) -> Resources:
        """Return the capacity of a service; none if it is not known."""
        return self._known.get(service, NO_RESOURCES)

    def update(self, live: Sequence[Instance]) -> None:
        """Add up the next workers; all of them if no capacity is known yet."""
        end = self._next + WORKERS_PER_PASS if self._known else len(live)
        for instance in live[self._next : end]:
            self._add(instance)
        self._next = end
        if end >= len(live):
            self._known = {service: Resources(*total) for service, total in self._sums.items()}
            self._sums = {}
            self._next = 0

    def _add(self, instance: Instance) -> None:
        worker = instance.worker
        if worker is None or worker.draining or instance.zone_evacuated:
            return
        if instance.refusing_since:
            return
        total = self._sums.setdefault(worker.service, [0, 0, 0])
        capacity = worker.capacity
        total[0] += capacity.cpu_millicores
        total[1] += capacity.memory_mb
        total[2] += capacity.accelerators
