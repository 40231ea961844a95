"""Finds out whether the tasks of a step fit on the workers now.  No I/O.

Answers a load in which large tasks wait for a whole worker while there is room for small ones.
"""

from typing import Final

from sapphirelead.admission.loads import Amount, load_of
from sapphirelead.sched_eligibility import Urgency, accepts_work
from sapphirelead.sched_fleet import Fleet, Instance
from sapphirelead.sched_spec import StepSpec

FULL_FOR_S: Final = 0.1
"""How long a lack of room is remembered; bounds the cost of refusing a thousand jobs a second."""

MAX_SIZES: Final = 1_000


class RoomFinder:
    """Looks for room on the workers that accept work."""

    _fleet: Fleet
    _full_until: dict[tuple[str, str, Amount, int], float]

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._full_until = {}

    def has_room(self, service: str, step: StepSpec, at: float) -> bool:
        """Whether all tasks of a step fit."""
        size = (service, step.label, load_of(step), step.tasks)
        if at < self._full_until.get(size, 0.0):
            return False
        left = step.tasks
        for instance in self._fleet.instances.values():
            worker = instance.worker
            if worker is None or worker.service != service or not instance.fits(step):
                continue
            if step.label and step.label not in worker.labels:
                continue
            if accepts_work(instance, Urgency.NONE, at):
                left -= _count(instance, step)
            if left <= 0:
                return True
        if len(self._full_until) >= MAX_SIZES:
            self._full_until.clear()
        self._full_until[size] = at + FULL_FOR_S
        return False


def _count(instance: Instance, step: StepSpec) -> int:
    """Return how many tasks of a step fit on a worker."""
    assert instance.worker is not None
    free = instance.worker.capacity - instance.used
    cpu = instance.spare_cpu if step.fills else free.cpu_millicores
    counts = [
        amount // needed
        for amount, needed in (
            (cpu, step.cpu_millicores),
            (free.memory_mb, step.memory_mb),
            (free.accelerators, step.accelerators),
        )
        if needed > 0
    ]
    count = max(0, min(counts, default=step.tasks))
    return min(count, step.per_worker) if step.per_worker else count
