"""Keeps workers free of new runs until a suspected task can start there apart from others.

On a busy worker there is always a run that has just begun, so a task that may join none of those
would never start.  A reserved worker gets no tasks that are not suspected; its present runs end, or
are observed for long enough.

Invariants:

- At most a share of the workers, :data:`MAX_RESERVED_SHARE`, is reserved, but always one.
- A reservation ends with the start of its task, once the task no longer waits, or after
  :data:`RESERVATION_TIMEOUT_S`.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_task import TaskRef

MAX_RESERVED_SHARE: Final = 0.25

RESERVATION_TIMEOUT_S: Final = 5.0
"""Time after which another worker is tried, if the present runs there keep the task waiting."""


@dataclass(frozen=True, slots=True)
class _Reservation:
    ref: TaskRef
    instance: Instance
    at: float


class Reservations:
    """Reserved workers, one for each task."""

    _by_agent: dict[str, _Reservation]

    def __init__(self) -> None:
        self._by_agent = {}

    def make(self, ref: TaskRef, instance: Instance, workers: int, at: float) -> None:
        """Reserve a worker for a task, unless it has one or too many are reserved.

        :param workers: number of live workers.
        """
        if len(self._by_agent) >= max(1, int(workers * MAX_RESERVED_SHARE)):
            return
        if instance.agent in self._by_agent or self._has(ref):
            return
        self._by_agent[instance.agent] = _Reservation(ref, instance, at)
        log_event("INFO", "worker_reserved", agent=instance.agent, task=ref.text())

    def _has(self, ref: TaskRef) -> bool:
        return any(item.ref == ref for item in self._by_agent.values())

    def unreserved(self, places: Iterable[Instance]) -> list[Instance]:
        """Return the workers that are not reserved."""
        return [place for place in places if place.agent not in self._by_agent]

    def review(self, waits: Callable[[TaskRef], bool], at: float) -> None:
        """End the reservations of tasks that no longer wait, and those that last too long."""
        for agent, item in list(self._by_agent.items()):
            if at - item.at >= RESERVATION_TIMEOUT_S or not waits(item.ref):
                del self._by_agent[agent]
                # Lets cached failures to find room be tried again.
                item.instance.changes += 1
