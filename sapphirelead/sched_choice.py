"""Heap of the workers for the tasks of one step, best first.

Handles wide steps on large fleets by scoring each worker once per step, and again only after it has
got a task.

Invariant: returns the worker that :func:`sapphirelead.sched_place.choose` would return, as long as
only the tasks placed here change the workers.
"""

from collections.abc import Iterable
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from sapphirelead.sched_eligibility import PlacementRequest, has_room
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_place import score
from sapphirelead.sched_task import TaskRef


class _Place(NamedTuple):
    """A worker with room; the smallest is the best, ties go to the lower number."""

    cost: float
    number: int
    instance: Instance


class PlacementHeap:
    """Workers with room for one more task of a step, ordered by score."""

    _request: PlacementRequest
    _ref: TaskRef
    _numbers: dict[str, int]
    _heap: list[_Place]

    def __init__(
        self, instances: Iterable[Instance], request: PlacementRequest, ref: TaskRef
    ) -> None:
        """Score ``instances``.

        :param ref: any task of the step.
        """
        listed = list(instances)
        self._request = request
        self._ref = ref
        self._numbers = {instance.agent: number for number, instance in enumerate(listed)}
        self._heap = [self._scored(item) for item in listed if has_room(item, request, ref)]
        heapify(self._heap)

    def take(self, avoid: frozenset[str] = frozenset()) -> Instance | None:
        """Remove and return the best worker; :meth:`put_back` adds it again.

        :param avoid: agents on which the task has failed or was slow; used only as a last resort.
        """
        avoided: list[_Place] = []
        while self._heap and self._heap[0].instance.agent in avoid:
            avoided.append(heappop(self._heap))
        taken = heappop(self._heap) if self._heap else avoided.pop(0) if avoided else None
        for place in avoided:
            heappush(self._heap, place)
        return taken.instance if taken is not None else None

    def put_back(self, instance: Instance) -> None:
        """Add a worker again after it has got a task, if it has room for one more."""
        if has_room(instance, self._request, self._ref):
            heappush(self._heap, self._scored(instance))

    def _scored(self, instance: Instance) -> _Place:
        value = score(instance, self._request, self._ref)
        return _Place(-value, self._numbers[instance.agent], instance)
