"""Cache of tasks that fit on no worker, so that only changed workers are tried again.

Invariant: if :meth:`InfeasibleCache.places` omits a worker for a task, then that task or a smaller
one of its kind did not fit there, and the worker has not changed since except by tasks placed on
it.  A larger best-effort task that would fit although a smaller one does not is tried only after
the worker's next report.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import takewhile
from typing import Final, NamedTuple

from msgspec.structs import replace

from sapphirelead.sched_eligibility import (
    PlacementRequest,
    Urgency,
    accepts_work,
    has_room,
    is_eligible,
)
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_interference_guard import GuardedInterferenceModel
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef

MAX_KINDS: Final = 512
"""Kinds of tasks in the cache; the least recently recorded one is evicted."""

MAX_SIZES_PER_KIND: Final = 16
"""Sizes in the cache per kind, none of which contains another; the oldest one is evicted."""

UNPLACED_TASK: Final = TaskRef("", 0, 0, 0)
"""Placeholder for a task that is not placed yet."""


class Kind(NamedTuple):
    """Tasks that differ only in size.

    :ivar image: image of best-effort tasks; empty for others, whose placement ignores it.
    :ivar urgency: how long the tasks have waited, which decides on the preferences that yield.
    """

    service: str
    label: str
    accelerators: int
    fills: bool
    image: str
    urgency: Urgency

    @classmethod
    def of(cls, step: StepSpec, service: str, urgency: Urgency = Urgency.NONE) -> "Kind":
        """Return the kind of a step's tasks."""
        image = step.image if step.fills else ""
        return cls(service, step.label, step.accelerators, step.fills, image, urgency)


class _State(NamedTuple):
    """State of a worker whose change may mean new room.

    :ivar takes: whether it accepts work, by urgency.
    """

    changes: int
    takes: tuple[bool, ...]


@dataclass(frozen=True, slots=True)
class _WorkerVersion:
    """A worker with the pass in which it last changed.

    :ivar number: position in the order of the fleet.
    :ivar version: number of the pass that detected the change.
    """

    instance: Instance
    number: int
    state: _State
    version: int


class InfeasibleCache:
    """Cache of task sizes that fit on no worker, with the changes of workers since."""

    _version: int
    _seen: dict[str, _WorkerVersion]
    _by_version: list[_WorkerVersion]
    _failed: dict[Kind, dict[tuple[int, int], int]]

    def __init__(self) -> None:
        self._version = 0
        self._seen = {}
        self._by_version = []
        self._failed = {}

    def begin(self, instances: Iterable[Instance], at: float) -> None:
        """Begin a pass: detect the workers that have changed since the previous one."""
        self._version += 1
        before, self._seen = self._seen, {}
        for number, instance in enumerate(instances):
            state = _State(
                instance.changes,
                tuple(accepts_work(instance, urgency, at) for urgency in Urgency),
            )
            seen = before.get(instance.agent)
            same = seen is not None and seen.state == state
            version = seen.version if seen is not None and same else self._version
            self._seen[instance.agent] = _WorkerVersion(instance, number, state, version)
        self._by_version = sorted(self._seen.values(), key=lambda seen: -seen.version)

    def places(self, kind: Kind, step: StepSpec) -> list[Instance]:
        """Return the workers that may have room for a task of the step, in the fleet's order."""
        since = self._infeasible_version(kind, step)
        changed = list(takewhile(lambda seen: seen.version > since, self._by_version))
        return [seen.instance for seen in sorted(changed, key=lambda seen: seen.number)]

    def record_infeasible(self, kind: Kind, step: StepSpec) -> None:
        """Record that a task of the step fits on no worker."""
        if step.per_worker:
            # The per-worker limit may have excluded workers with room.
            return
        sizes = self._failed.pop(kind, {})
        for cpu, memory in list(sizes):
            if cpu >= step.cpu_millicores and memory >= step.memory_mb:
                del sizes[cpu, memory]
        sizes[step.cpu_millicores, step.memory_mb] = self._version
        self._failed[kind] = sizes
        # Dicts keep insertion order, so the first key is the oldest.
        if len(sizes) > MAX_SIZES_PER_KIND:
            del sizes[next(iter(sizes))]
        if len(self._failed) > MAX_KINDS:
            del self._failed[next(iter(self._failed))]

    def _infeasible_version(self, kind: Kind, step: StepSpec) -> int:
        """Return the newest pass in which no task of this size fitted; 0 if there is none."""
        versions = (
            version
            for (cpu, memory), version in self._failed.get(kind, {}).items()
            if step.cpu_millicores >= cpu and step.memory_mb >= memory
        )
        return max(versions, default=0)


class FeasibleWorkers:
    """Workers with room for the smallest waiting task of each kind, in one pass.

    If several steps of a kind wait, each changed worker is tested once for the smallest of their
    tasks and skipped for all of them if that does not fit.
    """

    _infeasible_cache: InfeasibleCache
    _smallest: dict[Kind, StepSpec]
    _interference: GuardedInterferenceModel
    _at: float
    _feasible_agents: dict[Kind, set[str]]

    def __init__(
        self,
        infeasible_cache: InfeasibleCache,
        waiting: Iterable[tuple[Kind, StepSpec]],
        interference: GuardedInterferenceModel,
        at: float,
    ) -> None:
        """Find the smallest task of each kind for which several steps wait.

        :param at: time of the pass that ``infeasible_cache`` has begun.
        """
        self._infeasible_cache = infeasible_cache
        self._smallest = {}
        self._interference = interference
        self._at = at
        self._feasible_agents = {}
        first: dict[Kind, StepSpec] = {}
        for kind, step in waiting:
            known = self._smallest.get(kind) or first.get(kind)
            if known is None:
                first[kind] = step
            else:
                self._smallest[kind] = _smaller(known, step)

    def places(self, kind: Kind, step: StepSpec) -> list[Instance]:
        """Return the workers that may have room for a task of the step, in the fleet's order."""
        places = self._infeasible_cache.places(kind, step)
        if not places or kind not in self._smallest:
            return places
        found = self._feasible_agents.get(kind)
        if found is None:
            found = self._feasible_agents[kind] = self._find_feasible(kind)
        return [place for place in places if place.agent in found]

    def _find_feasible(self, kind: Kind) -> set[str]:
        smallest = self._smallest[kind]
        request = PlacementRequest(
            smallest,
            kind.service,
            interference=self._interference,
            urgency=kind.urgency,
        )
        found = {
            place.agent
            for place in self._infeasible_cache.places(kind, smallest)
            if is_eligible(place, request, self._at) and has_room(place, request, UNPLACED_TASK)
        }
        if not found:
            self._infeasible_cache.record_infeasible(kind, smallest)
        return found


def _smaller(one: StepSpec, other: StepSpec) -> StepSpec:
    """Return a step whose tasks fit wherever those of either step fit."""
    return replace(
        one,
        cpu_millicores=min(one.cpu_millicores, other.cpu_millicores),
        memory_mb=min(one.memory_mb, other.memory_mb),
        per_worker=0,
    )
