"""Which instance a job is offered to.

Among the instances that would hold the job by the entry's estimate, the one with the lowest cost is
taken.  The cost adds, each weighted by what the operators care for:

- the learnt slowdown that the job's class brings to the services on that instance (tail latency);
- how full the instance would be, best fit for small jobs on instances already shared, so that large
  jobs still find room (batch throughput).

Instances where an attempt of the job failed, or that have lately failed what they started, are
left out as long as another one could hold the job once it has room.  An instance that fails
everything is always empty: were it only dearer than the others, it would take each job whenever
they are full, and use up the attempts of all.

The estimate of an instance is its last report less what this entry has offered since, so that a
burst of offers between two beats does not all go to the same place.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.entry_ports import InstanceView
from sapphirelead.model_config import Weights
from sapphirelead.model_job import Job
from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.policy_order import dominant_share

ZONE_COST: Final = 0.5
FAILURES_TO_AVOID: Final = 2
FORGET_FAILURES_S: Final = 60.0

SlowdownOf = Callable[[str, str], float]


@dataclass(slots=True)
class InstanceRecord:
    """What an entry remembers of an instance between reports.

    :ivar offered: amounts offered since its last beat, by offer.
    :ivar failures: attempts of different jobs that failed there in a row.
    """

    offered: dict[str, Resources] = field(default_factory=dict)
    beat: int = 0
    failures: int = 0
    failed_at: float = 0.0

    def room(self, view: InstanceView) -> Resources:
        """Return the estimate of what the instance would still admit."""
        room = view.free
        for amount in self.offered.values():
            room = room - amount
        return room

    def failing(self, at: float) -> bool:
        """Whether the instance fails what it starts."""
        return self.failures >= FAILURES_TO_AVOID and at - self.failed_at < FORGET_FAILURES_S


@dataclass(frozen=True, slots=True)
class Wanted:
    """What placement looks at besides the instances.

    :ivar zones: preferred zones, or empty for none.
    :ivar spill: whether other zones may be used.
    :ivar avoid_services: services beside which the job must not run.
    """

    job: Job
    zones: tuple[str, ...] = ()
    spill: bool = True
    avoid_services: frozenset[str] = frozenset()


def place(
    wanted: Wanted,
    views: list[InstanceView],
    records: Mapping[str, InstanceRecord],
    slowdown: SlowdownOf,
    weights: Weights,
    at: float,
) -> InstanceView | None:
    """Return the instance to offer the job to, or ``None`` where none has room."""
    suspects = _suspects(wanted, views, records, at)
    best: tuple[float, str] | None = None
    found: InstanceView | None = None
    for view in views:
        record = records.get(view.id) or InstanceRecord()
        if view.id in suspects or not _allowed(wanted, view, record):
            continue
        cost = (_cost(wanted, view, record, slowdown, weights), view.id)
        if best is None or cost < best:
            best, found = cost, view
    return found


def place_by_eviction(
    wanted: Wanted, views: list[InstanceView], records: Mapping[str, InstanceRecord], at: float
) -> InstanceView | None:
    """Return the instance whose agent should evict batch for an urgent job that fits nowhere.

    The agent owns the capacity and picks the tasks; the entry only looks for the instance where
    the fewest tasks' worth of processors has to go, by the last report, and that does not fail
    what it starts.
    """
    able = [view for view in views if _room_after_eviction(wanted, view)]
    return min(able, key=lambda view: _eviction_cost(wanted, view, records, at), default=None)


def _room_after_eviction(wanted: Wanted, view: InstanceView) -> bool:
    spec = wanted.job.spec
    running = sum(sample.cpu_millicores for sample in view.classes)
    enough = spec.resources.cpu_millicores <= view.free.cpu_millicores + running
    return enough and spec.resources.fits_in(view.capacity) and not view.draining


def _eviction_cost(
    wanted: Wanted, view: InstanceView, records: Mapping[str, InstanceRecord], at: float
) -> tuple[bool, int, str]:
    record = records.get(view.id) or InstanceRecord()
    missing = wanted.job.spec.resources - record.room(view)
    return (_failing(records, view.id, at), max(missing.cpu_millicores, missing.memory_mb), view.id)


def _suspects(
    wanted: Wanted,
    views: list[InstanceView],
    records: Mapping[str, InstanceRecord],
    at: float,
) -> set[str]:
    """Return instances to wait past; none where every instance that could hold the job is one."""
    suspects = set(wanted.job.tried)
    suspects |= {view.id for view in views if _failing(records, view.id, at)}
    resources = wanted.job.spec.resources
    others = [view for view in views if view.id not in suspects]
    return suspects if could_ever_run(resources, others) else set()


def _failing(records: Mapping[str, InstanceRecord], instance: str, at: float) -> bool:
    record = records.get(instance)
    return record is not None and record.failing(at)


def could_ever_run(resources: Resources, views: list[InstanceView]) -> bool:
    """Return whether any known instance, empty, would hold the job."""
    return any(resources.fits_in(view.capacity) for view in views)


def _allowed(wanted: Wanted, view: InstanceView, record: InstanceRecord) -> bool:
    if not wanted.job.spec.resources.fits_in(record.room(view)):
        return False
    if wanted.zones and not wanted.spill and view.zone not in wanted.zones:
        return False
    return wanted.avoid_services.isdisjoint(view.services)


def _cost(
    wanted: Wanted,
    view: InstanceView,
    record: InstanceRecord,
    slowdown: SlowdownOf,
    weights: Weights,
) -> float:
    spec = wanted.job.spec
    harm = max((slowdown(service, spec.job_class) for service in view.services), default=1.0) - 1.0
    busy = view.slots_used / view.slots if view.slots else 0.0
    left = record.room(view) - spec.resources
    fullness = 1.0 - dominant_share(left, view.capacity)
    cost = weights.tail_latency * (harm * (0.5 + busy) + 0.3 * busy)
    cost += weights.batch_throughput * 0.2 * fullness
    if wanted.zones and view.zone not in wanted.zones:
        cost += ZONE_COST
    return cost


def total_capacity(views: list[InstanceView]) -> Resources:
    """Return the sum of the capacities."""
    total = NO_RESOURCES
    for view in views:
        total = total + view.capacity
    return total
