"""Withholds workers until a task of a queue below its share fits there.

Load pattern: a queue with small tasks takes each bit of room as it becomes free, so that a larger
task of another queue never finds enough of it on one worker.  While such a task waits and its
queue holds less than it is entitled to, room that becomes free on one worker is kept for it.

Invariants:

- Only room that a waiting task needs stays unused: a queue withholds at most one worker for each
  waiting task, and none once it holds its share.
- Neither overdue tasks nor those of a higher priority are kept off.
- A worker is withheld only while its queue has steps that fail to find room.
"""

from collections.abc import Callable, Collection, Hashable, Iterable
from dataclasses import dataclass
from heapq import nsmallest
from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_spec import StepSpec

MAX_HOLDS: Final = 16
"""Maximum number of workers withheld for one queue.  Bounds the room that stays unused on small
fleets; a queue that needs more gets them one after another."""

CHOICE_INTERVAL_S: Final = 0.1
"""Minimum time between two choices of workers, each of which looks at all workers."""


REVIEW_INTERVAL_S: Final = 1.0
"""Time after which workers are chosen anew, since one may drain, fall silent or be evacuated."""

RELEASE_DELAY_S: Final = 0.5
"""Time after the last failure to find room after which workers are released.  Longer than the time
between two scans of a step in passes that exceed their time budget."""


@dataclass(slots=True, eq=False)
class _Hold:
    """Workers withheld for one queue.

    :ivar priority: priority of its waiting tasks; lower numbers are not kept off.
    :ivar chosen_at: when the first of the workers was chosen.
    :ivar failed_at: when a step of it last found no room.
    :ivar wanted: number of its tasks that have found no room in this pass.
    """

    instances: list[Instance]
    priority: int
    chosen_at: float
    failed_at: float
    wanted: int = 0


class Holds:
    """Withheld workers, by service and queue."""

    _by_queue: dict[tuple[str, str], _Hold]
    _owners: dict[str, tuple[str, str]]
    _chosen_at: float | None
    _kept_off: dict[tuple[tuple[str, str], Hashable], list[StepSpec]]

    def __init__(self) -> None:
        self._by_queue = {}
        self._owners = {}
        self._chosen_at = None
        self._kept_off = {}

    def begin(self, below: Collection[tuple[str, str]], at: float) -> None:
        """Begin a pass: release the workers that are needed no longer.

        :param below: service and queue of the waiting steps whose queues are below their shares.
        """
        self._kept_off = {}
        for key, hold in list(self._by_queue.items()):
            outdated = at - hold.chosen_at >= REVIEW_INTERVAL_S
            if outdated or key not in below or at - hold.failed_at > RELEASE_DELAY_S:
                self._release(hold.instances)
                del self._by_queue[key]
            elif hold.wanted and hold.wanted < len(hold.instances):
                kept = nsmallest(hold.wanted, hold.instances, key=lambda item: -item.free_cpu)
                self._release([item for item in hold.instances if item not in kept])
                hold.instances = kept
            hold.wanted = 0

    def clear(self) -> None:
        """Release all workers."""
        for hold in self._by_queue.values():
            self._release(hold.instances)
        self._by_queue = {}

    def _release(self, instances: Iterable[Instance]) -> None:
        for instance in instances:
            del self._owners[instance.agent]
            # Lets cached failures to find room be tried again.
            instance.changes += 1

    def want(
        self,
        key: tuple[str, str],
        priority: int,
        step: StepSpec,
        tasks: int,
        eligible: Callable[[], Iterable[Instance]],
        at: float,
    ) -> None:
        """Withhold workers for the tasks of a step that has found no room.

        :param key: service and queue of the step.
        :param tasks: number of its waiting tasks.
        :param eligible: returns the workers on which they may run once there is room.
        """
        hold = self._by_queue.setdefault(key, _Hold([], priority, at, at))
        hold.failed_at = at
        hold.priority = min(hold.priority, priority)
        hold.wanted += tasks
        missing = min(hold.wanted, MAX_HOLDS) - len(hold.instances)
        if missing <= 0 or not self._may_choose(at):
            return
        self._chosen_at = at
        free = (item for item in eligible() if item.agent not in self._owners)
        for instance in nsmallest(missing, free, key=lambda item: shortage(item, step)):
            self._owners[instance.agent] = key
            hold.instances.append(instance)
            log_event(
                "INFO",
                "share_worker_withheld",
                agent=instance.agent,
                service=key[0],
                queue=key[1],
                tasks=tasks,
            )

    def _may_choose(self, at: float) -> bool:
        return self._chosen_at is None or not 0 <= at - self._chosen_at < CHOICE_INTERVAL_S

    def open_to(
        self, places: list[Instance], key: tuple[str, str], priority: int, overdue: bool
    ) -> list[Instance]:
        """Return the workers that are not withheld from a step.

        :param key: service and queue of the step.
        :param overdue: whether a task of it must not wait any longer.
        """
        if not self._owners or overdue:
            return places
        return [place for place in places if not self._keeps_off(place.agent, key, priority)]

    def record_kept_off(self, key: tuple[str, str], kind: Hashable, step: StepSpec) -> None:
        """Record that a task of a step would have found room only on withheld workers.

        :param kind: all that decides where the task fits, except its size.
        """
        self._kept_off.setdefault((key, kind), []).append(step)

    def are_kept_off(self, key: tuple[str, str], kind: Hashable, step: StepSpec) -> bool:
        """Return whether tasks of a step find no room in the rest of the pass."""
        return any(
            step.cpu_millicores >= other.cpu_millicores and step.memory_mb >= other.memory_mb
            for other in self._kept_off.get((key, kind), ())
        )

    def _keeps_off(self, agent: str, key: tuple[str, str], priority: int) -> bool:
        owner = self._owners.get(agent)
        return owner is not None and owner != key and priority >= self._by_queue[owner].priority


def shortage(instance: Instance, step: StepSpec) -> float:
    """Return the part of a worker that must become free before a task of the step fits."""
    if instance.worker is None:
        return 1.0
    capacity, used = instance.worker.capacity, instance.used
    return max(
        _part(step.cpu_millicores, used.cpu_millicores, capacity.cpu_millicores),
        _part(step.memory_mb, used.memory_mb, capacity.memory_mb),
        _part(step.accelerators, used.accelerators, capacity.accelerators),
    )


def _part(wanted: int, used: int, capacity: int) -> float:
    if wanted > capacity:
        return float(wanted)
    return (wanted + used - capacity) / capacity if capacity else 0.0
