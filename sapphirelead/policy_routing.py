"""Load balancing: chooses the instance for the next attempt of a service request.

Uses the power of two choices within the request's zone: of two random instances with capacity, the
one with the lower cost (estimated latency times load times failure penalty) is chosen.  If the zone
is nearly full, an instance of another zone may be chosen.  Load is the entry's own attempts in
flight plus the decayed load of others from the last report.  Draws and updates take constant time:
each service has, per zone, a set of the instances with capacity.

Invariants:

- An instance that is unresponsive, fenced, draining, ejected or estimated to be full is in no set.
- Only successes lower the latency estimate, so that fast failures do not attract traffic.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from sapphirelead.entry_ports import InstanceView
from sapphirelead.model_config import EjectionPolicy
from sapphirelead.policy_ejection import Ejections
from sapphirelead.policy_routing_records import (
    DEFAULT_LATENCY_S,
    DrawSet,
    LatencyEstimate,
    RoutedInstance,
    ServicePool,
)

LATENCY_HALF_LIFE_S: Final = 15.0
FAILURE_COST: Final = 20.0
TIMEOUT_FACTOR: Final = 3.0
SPILL_LOAD: Final = 0.75
SPILL_LATENCY_FACTOR: Final = 2.0
SPILL_FAILURE_SHARE: Final = 0.1
SPILL_COST_RATIO: Final = 0.75
SPILL_ZONES: Final = 2
MAX_DRAWS: Final = 6


class AttemptEnd(StrEnum):
    """Result of an attempt with respect to the instance's health."""

    SUCCESS = "success"
    FAILURE = "failure"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class PoolHealth:
    """Aggregate state of a service's instances.

    :ivar load: estimated share of the live slots in use, 0 to 1.
    :ivar healthy_share: share of known instances that are live and not ejected.
    :ivar live: number of live instances.
    """

    load: float
    healthy_share: float
    live: int


class Router:
    """Chooses instances and maintains the estimates that the choice is based on."""

    _zone: str
    _rng: random.Random
    _instances: dict[str, RoutedInstance]
    _pools: dict[str, ServicePool]
    _ejections: Ejections

    def __init__(self, zone: str, ejection: EjectionPolicy, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._instances = {}
        self._pools = {}
        self._ejections = Ejections(ejection, self._instances, self._pools)

    @classmethod
    def from_config(
        cls, zone: str, ejection: EjectionPolicy, rng: random.Random | None = None
    ) -> "Router":
        """Return a router without instances for an entry in ``zone``."""
        return cls(zone, ejection, rng or random.Random())

    def configure(self, ejection: EjectionPolicy) -> None:
        """Replace the ejection policy."""
        self._ejections.configure(ejection)

    def update(self, view: InstanceView, live: bool, at: float) -> None:
        """Add an instance, or update it from its latest report."""
        inst = self._instances.get(view.id)
        if inst is None or inst.zone != view.zone or inst.services != view.services:
            inst = self._register(view)
        elif inst.incarnation != view.incarnation:
            self._restart(inst, view)
        inst.slots = view.slots
        inst.connections = view.connections
        self._set_live(inst, live)
        self._seed_latency(inst, view, at)
        self._report(inst, view.slots_used, at)

    def report(self, instance: str, slots_used: int, slots: int, at: float) -> None:
        """Update the load of an instance from the load reported with an answer."""
        inst = self._instances.get(instance)
        if inst is not None and slots:
            inst.slots = slots
            self._report(inst, slots_used, at)

    def pick(
        self,
        service: str,
        at: float,
        excluded: Collection[str] = (),
        zones: Collection[str] = (),
        spill: bool = True,
    ) -> str | None:
        """Return the instance for the next attempt, or ``None`` if none has capacity.

        :param excluded: instances that this request has already tried.
        :param zones: zones to prefer over the entry's own, best first.
        :param spill: whether other zones may be used.
        """
        for inst in self._ejections.reinstate(at):
            self._refresh(inst, at)
        pool = self._pools.get(service)
        if pool is None:
            return None
        preferred = tuple(zones) or (self._zone,)
        best = self._draw_first(pool, service, preferred, at, excluded)
        if not spill or (best is not None and not self._should_spill(best, service, at)):
            return best.id if best else None
        other = self._draw_elsewhere(pool, service, preferred, at, excluded)
        if other is None or best is None:
            chosen = best or other
            return chosen.id if chosen else None
        cheaper = self._cost(other, service, at) < SPILL_COST_RATIO * self._cost(best, service, at)
        return other.id if cheaper else best.id

    def begin(self, instance: str, at: float) -> None:
        """Count the start of an attempt."""
        if inst := self._instances.get(instance):
            inst.own_in_flight += 1
            self._refresh(inst, at)

    def end(
        self, instance: str, service: str, end: AttemptEnd, latency_s: float, at: float
    ) -> None:
        """Count the end of an attempt and update the estimates with its result."""
        inst = self._instances.get(instance)
        if inst is None:
            return
        inst.own_in_flight = max(0, inst.own_in_flight - 1)
        if end is AttemptEnd.SUCCESS:
            self._succeeded(inst, service, latency_s, at)
        elif self._counts_as_failure(end, service, latency_s):
            inst.failed(at)
            self._ejections.eject_if_failing(inst, at)
        elif end is AttemptEnd.REFUSED:
            inst.others_in_flight = max(
                inst.others_in_flight, float(inst.slots - inst.own_in_flight)
            )
            inst.reported_at = at
        self._refresh(inst, at)

    def health(self, service: str) -> PoolHealth:
        """Return the aggregate state of a service's instances."""
        pool = self._pools.get(service)
        if pool is None or not pool.known:
            return PoolHealth(0.0, 0.0, 0)
        healthy = len(pool.live - pool.ejected) if pool.ejected else len(pool.live)
        load = min(1.0, pool.used / pool.slots) if pool.slots else 1.0
        return PoolHealth(load, healthy / len(pool.known), len(pool.live))

    def latency_s(self, service: str) -> float:
        """Return the average latency of the service in seconds."""
        pool = self._pools.get(service)
        return pool.latency_s if pool else DEFAULT_LATENCY_S

    def ejected(self) -> list[str]:
        """Return the ejected instances."""
        return [inst.id for inst in self._instances.values() if inst.ejected]

    def forget(self, instance: str) -> None:
        """Remove an instance."""
        inst = self._instances.pop(instance, None)
        if inst is None:
            return
        inst.live = False
        for service in inst.services:
            pool = self._pools[service]
            pool.known.discard(instance)
            pool.ejected.discard(instance)
        self._set_live(inst, False, force=True)

    # Drawing.

    def _draw_first(
        self,
        pool: ServicePool,
        service: str,
        zones: tuple[str, ...],
        at: float,
        excluded: Collection[str],
    ) -> RoutedInstance | None:
        for zone in zones:
            if found := self._draw(pool.zones.get(zone), service, at, excluded):
                return found
        return None

    def _draw_elsewhere(
        self,
        pool: ServicePool,
        service: str,
        preferred: tuple[str, ...],
        at: float,
        excluded: Collection[str],
    ) -> RoutedInstance | None:
        other_zones = [
            zone for zone in pool.zones if zone not in preferred and pool.zones[zone].items
        ]
        drawn = self._rng.sample(other_zones, min(SPILL_ZONES, len(other_zones)))
        found = [self._draw(pool.zones[zone], service, at, excluded) for zone in drawn]
        known = [inst for inst in found if inst is not None]
        return min(known, key=lambda inst: self._cost(inst, service, at), default=None)

    def _draw(
        self, ids: DrawSet | None, service: str, at: float, excluded: Collection[str]
    ) -> RoutedInstance | None:
        if ids is None or not ids.items:
            return None
        drawn: list[RoutedInstance] = []
        for item in self._candidates(ids.items):
            if item in excluded or any(item == other.id for other in drawn):
                continue
            drawn.append(self._instances[item])
            if len(drawn) == 2:
                break
        return min(drawn, key=lambda inst: self._cost(inst, service, at), default=None)

    def _candidates(self, items: list[str]) -> list[str]:
        if len(items) <= MAX_DRAWS:
            return self._rng.sample(items, len(items))
        return [items[int(self._rng.random() * len(items))] for _ in range(MAX_DRAWS)]

    def _cost(self, inst: RoutedInstance, service: str, at: float) -> float:
        load = (inst.used(at) + 1.0) / max(1, inst.slots)
        failures = 1.0 + FAILURE_COST * inst.recent_failures(at)
        return self._latency(inst, service, at) * load * failures

    def _latency(self, inst: RoutedInstance, service: str, at: float) -> float:
        pool_latency_s = self._pools[service].latency_s
        estimate = inst.latency.get(service)
        if estimate is None:
            return pool_latency_s
        age = max(0.0, at - estimate.at)
        return float(
            pool_latency_s
            + (estimate.value_s - pool_latency_s) * 0.5 ** (age / LATENCY_HALF_LIFE_S)
        )

    def _should_spill(self, inst: RoutedInstance, service: str, at: float) -> bool:
        """Return whether to consider other zones: the zone's best is loaded, slow or failing."""
        if inst.used(at) >= SPILL_LOAD * inst.slots:
            return True
        slow = (
            self._latency(inst, service, at) > SPILL_LATENCY_FACTOR * self._pools[service].latency_s
        )
        return slow or inst.recent_failures(at) > SPILL_FAILURE_SHARE

    # Estimates.

    def _report(self, inst: RoutedInstance, slots_used: int, at: float) -> None:
        inst.others_in_flight = max(0.0, float(slots_used - inst.own_in_flight))
        inst.reported_at = at
        self._refresh(inst, at)

    def _seed_latency(self, inst: RoutedInstance, view: InstanceView, at: float) -> None:
        for sample in view.latency:
            if sample.count and sample.service not in inst.latency:
                inst.latency[sample.service] = LatencyEstimate(sample.p50_ms / 1000.0, at)

    def _succeeded(self, inst: RoutedInstance, service: str, latency_s: float, at: float) -> None:
        inst.succeeded(at)
        estimate = inst.latency.setdefault(service, LatencyEstimate(latency_s, at))
        estimate.add(latency_s, at)
        if pool := self._pools.get(service):
            pool.add_latency(latency_s)

    def _counts_as_failure(self, end: AttemptEnd, service: str, latency_s: float) -> bool:
        if end is AttemptEnd.TIMEOUT:
            # A timeout after a very short deadline is no failure of the instance.
            return latency_s > TIMEOUT_FACTOR * self.latency_s(service)
        return end is AttemptEnd.FAILURE

    # Sets.

    def _register(self, view: InstanceView) -> RoutedInstance:
        self.forget(view.id)
        inst = RoutedInstance(view.id, view.incarnation, view.zone, view.services)
        self._instances[view.id] = inst
        for service in view.services:
            self._pools.setdefault(service, ServicePool()).known.add(view.id)
        return inst

    def _restart(self, inst: RoutedInstance, view: InstanceView) -> None:
        """Reset the record for a new incarnation; attempts on the old one still call ``end``."""
        inst.incarnation = view.incarnation
        inst.attempts = 0
        inst.failures_in_row = 0
        inst.failure_share = 0.0
        inst.latency.clear()

    def _set_live(self, inst: RoutedInstance, live: bool, force: bool = False) -> None:
        if inst.live == live and not force:
            return
        inst.live = live
        for service in inst.services:
            pool = self._pools[service]
            (pool.live.add if live else pool.live.discard)(inst.id)
        self._refresh(inst, inst.reported_at)
        for other in self._ejections.reinstate_excess(inst.services):
            self._refresh(other, other.reported_at)

    def _refresh(self, inst: RoutedInstance, at: float) -> None:
        """Update the instance's membership in the sets, and the pools' sums."""
        has_capacity = inst.has_capacity(at)
        slots = inst.slots if inst.live else 0
        used = min(float(slots), inst.used(at))
        for service in inst.services:
            pool = self._pools[service]
            ids = pool.zones.setdefault(inst.zone, DrawSet())
            (ids.add if has_capacity else ids.discard)(inst.id)
            pool.used = max(0.0, pool.used + used - inst.counted_used)
            pool.slots += slots - inst.counted_slots
        inst.counted_used = used
        inst.counted_slots = slots
