"""Chooses the instance that a job is offered to.

Among the instances whose estimated headroom fits the job, the one with the lowest cost is chosen.
The cost combines, by the operators' weights, the estimated slowdown of the services on the instance
(tail latency) and how full the instance would be (batch throughput).

Instances that recently failed an attempt of this job, or several attempts in a row, are avoided
while another instance that the rules allow is large enough for the job, even if that one is full
now: a failing instance is always empty and would otherwise attract every job.  A job that has
waited for :data:`MAX_AVOIDANCE_S` may return to an instance that only it has failed on.

A job that has lost several holders in a row may have crashed them.  It is placed away from services
where that is possible at once, whatever the cost.

Headroom is the last report less the offers made since, so that a burst of offers between two
heartbeats is spread over several instances.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.dominant_share import dominant_share
from sapphirelead.entry_ports import InstanceView
from sapphirelead.model_config import Weights
from sapphirelead.model_job import Job
from sapphirelead.model_resources import NO_RESOURCES, Resources

OTHER_ZONE_COST: Final = 0.5
MIN_FAILURES_TO_AVOID: Final = 2
FAILURE_RETENTION_S: Final = 60.0
MAX_AVOIDANCE_S: Final = FAILURE_RETENTION_S
"""Time for which a queued job waits for another instance than those that it has tried."""
MIN_LOSSES_TO_SUSPECT: Final = 2

SlowdownEstimator = Callable[[str, str], float]


@dataclass(slots=True)
class InstanceRecord:
    """An entry's record of an instance between reports.

    :ivar offered: resources offered since the last heartbeat, by offer id.
    :ivar heartbeat: counter of the last heartbeat.
    :ivar failures: consecutive failed attempts of different jobs.
    """

    offered: dict[str, Resources] = field(default_factory=dict)
    heartbeat: int = 0
    failures: int = 0
    failed_at: float = 0.0

    def headroom(self, view: InstanceView) -> Resources:
        """Return the estimated resources that are still free on the instance."""
        headroom = view.free
        for amount in self.offered.values():
            headroom = headroom - amount
        return headroom

    def failing(self, at: float) -> bool:
        """Return whether the instance has recently failed several attempts in a row."""
        return self.failures >= MIN_FAILURES_TO_AVOID and at - self.failed_at < FAILURE_RETENTION_S


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A job to place and its placement constraints.

    :ivar zones: preferred zones; empty for no preference.
    :ivar spill: whether other zones may be used.
    :ivar avoid_services: services that the job must not be colocated with.
    :ivar waited_s: seconds for which the job has been queued.
    """

    job: Job
    zones: tuple[str, ...] = ()
    spill: bool = True
    avoid_services: frozenset[str] = frozenset()
    waited_s: float = 0.0


def place(
    request: PlacementRequest,
    views: list[InstanceView],
    records: Mapping[str, InstanceRecord],
    slowdown: SlowdownEstimator,
    weights: Weights,
    at: float,
) -> InstanceView | None:
    """Return the instance to offer the job to, or ``None`` if it fits on none."""
    allowed = [view for view in views if _follows_rule(request, view)]
    suspicious = _suspicious(request, views, records, at)
    avoided = _instances_to_avoid(request, allowed, records, suspicious, at)
    suspect = request.job.losses >= MIN_LOSSES_TO_SUSPECT
    best: tuple[bool, bool, float, str] | None = None
    found: InstanceView | None = None
    for view in allowed:
        record = records.get(view.id) or InstanceRecord()
        if view.id in avoided or not request.job.spec.resources.fits_in(record.headroom(view)):
            continue
        cost = _cost(request, view, record, slowdown, weights)
        rank = (suspect and bool(view.services), view.id in suspicious, cost, view.id)
        if best is None or rank < best:
            best, found = rank, view
    return found


def place_by_eviction(
    request: PlacementRequest,
    views: list[InstanceView],
    records: Mapping[str, InstanceRecord],
    at: float,
) -> InstanceView | None:
    """Return the instance whose agent should evict batch for an urgent job that fits nowhere.

    Prefers instances that are not failing, then the one that has to free the least CPU or memory.
    The agent selects the tasks to evict.
    """
    candidates = [
        view
        for view in views
        if _follows_rule(request, view) and _fits_after_eviction(request, view)
    ]
    return min(
        candidates, key=lambda view: _eviction_cost(request, view, records, at), default=None
    )


def _fits_after_eviction(request: PlacementRequest, view: InstanceView) -> bool:
    spec = request.job.spec
    running = sum(sample.cpu_millicores for sample in view.classes)
    enough = spec.resources.cpu_millicores <= view.free.cpu_millicores + running
    return enough and spec.resources.fits_in(view.capacity) and not view.draining


def _eviction_cost(
    request: PlacementRequest, view: InstanceView, records: Mapping[str, InstanceRecord], at: float
) -> tuple[bool, int, str]:
    record = records.get(view.id) or InstanceRecord()
    missing = request.job.spec.resources - record.headroom(view)
    return (_failing(records, view.id, at), max(missing.cpu_millicores, missing.memory_mb), view.id)


def _suspicious(
    request: PlacementRequest,
    views: list[InstanceView],
    records: Mapping[str, InstanceRecord],
    at: float,
) -> set[str]:
    """Return the instances that failed the job before, or several attempts in a row."""
    return {*request.job.tried, *(view.id for view in views if _failing(records, view.id, at))}


def _instances_to_avoid(
    request: PlacementRequest,
    allowed: list[InstanceView],
    records: Mapping[str, InstanceRecord],
    suspicious: set[str],
    at: float,
) -> set[str]:
    """Return the instances to avoid; empty if no other instance is large enough for the job.

    :param allowed: the instances that the rules allow.
    """
    others = [view for view in allowed if view.id not in suspicious]
    if not fits_any_instance(request.job.spec.resources, others):
        return set()
    if request.waited_s < MAX_AVOIDANCE_S:
        return suspicious
    return {instance for instance in suspicious if _failing(records, instance, at)}


def _failing(records: Mapping[str, InstanceRecord], instance: str, at: float) -> bool:
    record = records.get(instance)
    return record is not None and record.failing(at)


def fits_any_instance(resources: Resources, views: list[InstanceView]) -> bool:
    """Return whether the job would fit on any of the instances if that were empty."""
    return any(resources.fits_in(view.capacity) for view in views)


def _follows_rule(request: PlacementRequest, view: InstanceView) -> bool:
    if request.zones and not request.spill and view.zone not in request.zones:
        return False
    return request.avoid_services.isdisjoint(view.services)


def _cost(
    request: PlacementRequest,
    view: InstanceView,
    record: InstanceRecord,
    slowdown: SlowdownEstimator,
    weights: Weights,
) -> float:
    spec = request.job.spec
    interference = (
        max((slowdown(service, spec.job_class) for service in view.services), default=1.0) - 1.0
    )
    busy = view.slots_used / view.slots if view.slots else 0.0
    left = record.headroom(view) - spec.resources
    fullness = 1.0 - dominant_share(left, view.capacity)
    cost = weights.tail_latency * (interference * (0.5 + busy) + 0.3 * busy)
    cost += weights.batch_throughput * 0.2 * fullness
    if request.zones and view.zone not in request.zones:
        cost += OTHER_ZONE_COST
    return cost


def total_capacity(views: list[InstanceView]) -> Resources:
    """Return the total capacity of the instances."""
    total = NO_RESOURCES
    for view in views:
        total = total + view.capacity
    return total
