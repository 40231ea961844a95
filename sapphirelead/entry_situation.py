"""Provides the inputs of rules other than the request: load, health, slowdown, state of the store.

Sums over instances are cached for a short time, so the cost of a decision does not depend on the
number of instances.

The slowdown of a service on an instance is its reported median latency divided by a baseline, the
lowest median seen there.  The baseline drifts upwards, so it adapts to a service that became
permanently slower.  A service's slowdown is an exponential moving average over reports.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from sapphirelead.clock import now
from sapphirelead.entry_ports import InstanceView
from sapphirelead.model_job import JobSpec
from sapphirelead.policy_rules import Situation
from sapphirelead.wire_messages import ServiceSample

REFRESH_S: Final = 0.25
BASELINE_DRIFT_FACTOR: Final = 1.002
REPORT_WEIGHT: Final = 0.2
MIN_REQUESTS: Final = 5


class SituationMembers(Protocol):
    """The part of membership that the situation uses."""

    def all(self) -> list[InstanceView]:
        """Return every known instance."""

    def live(self) -> list[InstanceView]:
        """Return the instances available for placement."""

    def on_view(self, listener: Callable[[InstanceView, bool], None]) -> None:
        """Call ``listener(view, live)`` on every new view."""


class SlowdownEstimate:
    """Estimated slowdown of each service relative to its baseline latency."""

    _baselines: dict[tuple[str, str], float]
    _slowdowns: dict[str, float]
    _last_heartbeats: dict[str, tuple[str, int]]

    def __init__(self) -> None:
        self._baselines = {}
        self._slowdowns = {}
        self._last_heartbeats = {}

    def observe(self, view: InstanceView) -> None:
        """Apply an instance's report, once for each heartbeat."""
        heartbeat = (view.incarnation, view.counter)
        if self._last_heartbeats.get(view.id) == heartbeat:
            return
        self._last_heartbeats[view.id] = heartbeat
        for sample in view.latency:
            if sample.count >= MIN_REQUESTS and sample.p50_ms > 0:
                self._add(view.id, sample)

    def of(self, service: str) -> float:
        """Return a service's slowdown factor; 1.0 if unknown."""
        return self._slowdowns.get(service, 1.0)

    def _add(self, instance: str, sample: ServiceSample) -> None:
        key = (instance, sample.service)
        baseline = min(
            sample.p50_ms, self._baselines.get(key, sample.p50_ms) * BASELINE_DRIFT_FACTOR
        )
        self._baselines[key] = baseline
        previous = self._slowdowns.get(sample.service, 1.0)
        self._slowdowns[sample.service] = previous + REPORT_WEIGHT * (
            sample.p50_ms / baseline - previous
        )


@dataclass(frozen=True, slots=True)
class BatchState:
    """Aggregate state of the instances for batch.

    :ivar load: used share of the scarcest resource, from 0 to 1.
    :ivar healthy_share: live instances as a share of the known ones.
    """

    load: float
    healthy_share: float


class EntrySituation:
    """Provides the inputs of rules for jobs.

    :ivar slowdown: slowdown estimate by service.
    """

    slowdown: SlowdownEstimate
    _zone: str
    _members: SituationMembers
    _store_up: Callable[[], bool]
    _open_jobs: Callable[[], int]
    _state: BatchState
    _summed_at: float

    def __init__(
        self,
        zone: str,
        members: SituationMembers,
        store_up: Callable[[], bool],
        open_jobs: Callable[[], int],
    ) -> None:
        self.slowdown = SlowdownEstimate()
        self._zone = zone
        self._members = members
        self._store_up = store_up
        self._open_jobs = open_jobs
        self._state = BatchState(0.0, 1.0)
        self._summed_at = float("-inf")
        members.on_view(lambda view, _live: self.slowdown.observe(view))

    def of_job(self, spec: JobSpec) -> Situation:
        """Return the inputs of rules for a job."""
        state = self._batch_state(now())
        return Situation(
            kind=spec.kind.value,
            job_class=spec.job_class,
            team=spec.team,
            zone=self._zone,
            urgent=spec.urgent,
            idempotent=spec.idempotent,
            load=state.load,
            queue_length=self._open_jobs(),
            deadline_ms=spec.deadline_ms,
            store_up=self._store_up(),
            healthy_share=state.healthy_share,
        )

    def _batch_state(self, at: float) -> BatchState:
        if at - self._summed_at >= REFRESH_S:
            self._summed_at = at
            self._state = sum_batch(self._members.live(), len(self._members.all()))
        return self._state


def sum_batch(live: list[InstanceView], known: int) -> BatchState:
    """Aggregate the live instances, out of ``known`` instances."""
    healthy = len(live) / known if known else 0.0
    pairs = [
        (sum(view.free.cpu_millicores for view in live), _sum_cpu(live)),
        (sum(view.free.memory_mb for view in live), _sum_memory(live)),
    ]
    loads = [1.0 - free / capacity for free, capacity in pairs if capacity > 0]
    return BatchState(min(1.0, max(0.0, *loads)) if loads else 1.0, healthy)


def _sum_cpu(views: list[InstanceView]) -> int:
    return sum(view.capacity.cpu_millicores for view in views)


def _sum_memory(views: list[InstanceView]) -> int:
    return sum(view.capacity.memory_mb for view in views)
