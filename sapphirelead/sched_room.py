"""What has found no room, kept until a worker changes.

Judging each waiting step on each worker in each pass costs more time than a pass has, and most
workers have not changed since the pass before.

Invariant: a task of which :meth:`InfeasibleCache.places` leaves a worker out, or a smaller one of its kind,
has found no room there, and since then nothing has changed there but by a task placed.  Of filling
work a larger task may get a pace that a smaller one does not; it is left out as well until the
worker's next report.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import takewhile
from typing import Final, NamedTuple

from msgspec.structs import replace

from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_interference_guard import GuardedInterferenceModel
from sapphirelead.sched_job import TaskRef
from sapphirelead.sched_place import PlacementRequest, accepts_work, has_room, is_eligible
from sapphirelead.sched_spec import StepSpec

MAX_KINDS: Final = 512
"""Kinds of tasks kept.  The one that was noted longest ago gives way to a new one."""

MAX_SIZES_PER_KIND: Final = 16
"""Sizes kept of a kind, none of which contains another.  The oldest gives way to a new one."""

UNPLACED_TASK: Final = TaskRef("", 0, 0, 0)
"""Stands for a task that is not placed yet."""


class Kind(NamedTuple):
    """Tasks that differ in size only.

    :ivar image: of filling tasks; others of all images find the same room.
    :ivar starving: the agents pace it, so it needs less room.
    """

    service: str
    label: str
    accelerators: int
    fills: bool
    image: str
    starving: bool

    @classmethod
    def of(cls, step: StepSpec, service: str, starving: bool = False) -> "Kind":
        """Return the kind of a step's tasks."""
        image = step.image if step.fills else ""
        return cls(service, step.label, step.accelerators, step.fills, image, starving)


class _State(NamedTuple):
    """What decides whether a worker may have more room than before."""

    changes: int
    takes: bool
    takes_starving: bool


@dataclass(frozen=True, slots=True)
class _WorkerVersion:
    """A worker at its newest change.

    :ivar number: place in the order of the fleet.
    :ivar version: of the pass that noticed the change.
    """

    instance: Instance
    number: int
    state: _State
    version: int


class InfeasibleCache:
    """What has found no room on any worker, and which workers have changed since."""

    _version: int
    _seen: dict[str, _WorkerVersion]
    _newest: list[_WorkerVersion]
    _failed: dict[Kind, dict[tuple[int, int], int]]

    def __init__(self) -> None:
        self._version = 0
        self._seen = {}
        self._newest = []
        self._failed = {}

    def begin(self, instances: Iterable[Instance], at: float) -> None:
        """Begin a pass: notice which workers have changed since the one before."""
        self._version += 1
        before, self._seen = self._seen, {}
        for number, instance in enumerate(instances):
            state = _State(
                instance.changes,
                accepts_work(instance, starving=False, at=at),
                accepts_work(instance, starving=True, at=at),
            )
            seen = before.get(instance.agent)
            same = seen is not None and seen.state == state
            version = seen.version if seen is not None and same else self._version
            self._seen[instance.agent] = _WorkerVersion(instance, number, state, version)
        self._newest = sorted(self._seen.values(), key=lambda seen: -seen.version)

    def places(self, kind: Kind, step: StepSpec) -> list[Instance]:
        """Return the workers that may have room for a task of the step, in the fleet's order."""
        since = self._infeasible_version(kind, step)
        changed = list(takewhile(lambda seen: seen.version > since, self._newest))
        return [seen.instance for seen in sorted(changed, key=lambda seen: seen.number)]

    def record_infeasible(self, kind: Kind, step: StepSpec) -> None:
        """Take note that a task of the step fits nowhere."""
        if step.per_worker:
            # Others of its step may have kept it out.
            return
        sizes = self._failed.pop(kind, {})
        for cpu, memory in list(sizes):
            if cpu >= step.cpu_millicores and memory >= step.memory_mb:
                del sizes[cpu, memory]
        sizes[step.cpu_millicores, step.memory_mb] = self._version
        self._failed[kind] = sizes
        # The order of the keys tells what was noted longest ago.
        if len(sizes) > MAX_SIZES_PER_KIND:
            del sizes[next(iter(sizes))]
        if len(self._failed) > MAX_KINDS:
            del self._failed[next(iter(self._failed))]

    def _infeasible_version(self, kind: Kind, step: StepSpec) -> int:
        """Return the newest pass that found room for no task of this size; 0 where none has."""
        versions = (
            version
            for (cpu, memory), version in self._failed.get(kind, {}).items()
            if step.cpu_millicores >= cpu and step.memory_mb >= memory
        )
        return max(versions, default=0)


class FeasibleWorkers:
    """The workers with room for the smallest waiting task of each kind, in one pass.

    Where several steps of a kind wait, each worker that has changed is judged once for all of them;
    where it has no room for the smallest of their tasks, none of them looks at it.
    """

    _no_room: InfeasibleCache
    _smallest: dict[Kind, StepSpec]
    _press: GuardedInterferenceModel
    _at: float
    _found: dict[Kind, set[str]]

    def __init__(
        self,
        no_room: InfeasibleCache,
        waiting: Iterable[tuple[Kind, StepSpec]],
        press: GuardedInterferenceModel,
        at: float,
    ) -> None:
        """Take note of what waits.

        :param at: time of the pass that ``no_room`` has begun.
        """
        self._no_room = no_room
        self._smallest = {}
        self._press = press
        self._at = at
        self._found = {}
        first: dict[Kind, StepSpec] = {}
        for kind, step in waiting:
            known = self._smallest.get(kind) or first.get(kind)
            if known is None:
                first[kind] = step
            else:
                self._smallest[kind] = _smaller(known, step)

    def places(self, kind: Kind, step: StepSpec) -> list[Instance]:
        """Return the workers that may have room for a task of the step, in the fleet's order."""
        places = self._no_room.places(kind, step)
        if not places or kind not in self._smallest:
            return places
        found = self._found.get(kind)
        if found is None:
            found = self._found[kind] = self._find_feasible(kind)
        return [place for place in places if place.agent in found]

    def _find_feasible(self, kind: Kind) -> set[str]:
        smallest = self._smallest[kind]
        request = PlacementRequest(
            smallest, kind.service, starving=kind.starving, press=self._press
        )
        found = {
            place.agent
            for place in self._no_room.places(kind, smallest)
            if is_eligible(place, request, self._at) and has_room(place, request, UNPLACED_TASK)
        }
        if not found:
            self._no_room.record_infeasible(kind, smallest)
        return found


def _smaller(one: StepSpec, other: StepSpec) -> StepSpec:
    """Return a step whose tasks find room wherever those of either do."""
    return replace(
        one,
        cpu_millicores=min(one.cpu_millicores, other.cpu_millicores),
        memory_mb=min(one.memory_mb, other.memory_mb),
        per_worker=0,
    )
