"""Outlier ejection: removes failing instances from routing for a limited time.

Consecutive failures, or a high share of failures, eject an instance from all its services.  The
ejection time doubles with each ejection.  A reinstated instance gets one probe request at a time
until ``PROBE_SUCCESSES`` have succeeded; a failure before that ejects it again.

Invariants:

- At most the configured share of a service's live instances is ejected (at least one of two or
  more), so that a failure of the service itself does not eject all its instances.  When others
  become unresponsive, those that would be reinstated first are reinstated at once.
- The pools' ``ejected`` sets change only here and where an instance is forgotten.
"""

from collections.abc import Iterable, Mapping
from heapq import heappop, heappush
from typing import Final

from sapphirelead.model_config import EjectionPolicy
from sapphirelead.policy_routing_records import (
    MIN_ATTEMPTS_FOR_FAILURE_SHARE,
    RoutedInstance,
    ServicePool,
)

FAILURE_SHARE_LIMIT: Final = 0.5
PROBE_SUCCESSES: Final = 3
MAX_DOUBLINGS: Final = 5


class Ejections:
    """Ejects failing instances and reinstates them when their ejection time is over."""

    _policy: EjectionPolicy
    _instances: Mapping[str, RoutedInstance]
    _pools: Mapping[str, ServicePool]
    _reinstatements: list[tuple[float, str]]

    def __init__(
        self,
        policy: EjectionPolicy,
        instances: Mapping[str, RoutedInstance],
        pools: Mapping[str, ServicePool],
    ) -> None:
        self._policy = policy
        self._instances = instances
        self._pools = pools
        self._reinstatements = []

    def configure(self, policy: EjectionPolicy) -> None:
        """Replace the policy."""
        self._policy = policy

    def eject_if_failing(self, inst: RoutedInstance, at: float) -> None:
        """Eject an instance that has just failed if it meets the policy's criteria."""
        consecutive = inst.failures_in_row >= self._policy.consecutive_failures
        # Too few attempts give no reliable failure share.
        enough_attempts = inst.attempts >= MIN_ATTEMPTS_FOR_FAILURE_SHARE
        frequent = enough_attempts and inst.failure_share > FAILURE_SHARE_LIMIT
        if (consecutive or frequent or inst.probes_left) and self._may_eject(inst):
            self._eject(inst, at)

    def reinstate(self, at: float) -> list[RoutedInstance]:
        """Reinstate the instances whose ejection time is over, on probation, and return them."""
        reinstated: list[RoutedInstance] = []
        while self._reinstatements and self._reinstatements[0][0] <= at:
            _, instance = heappop(self._reinstatements)
            inst = self._instances.get(instance)
            if inst is None or not inst.ejected or inst.ejected_until > at:
                continue
            self._reinstate(inst)
            reinstated.append(inst)
        return reinstated

    def reinstate_excess(self, services: Iterable[str]) -> list[RoutedInstance]:
        """Reinstate instances until the share holds again, and return them.

        To be called when instances of ``services`` have become live, unresponsive or unknown.
        """
        reinstated: list[RoutedInstance] = []
        for service in services:
            pool = self._pools[service]
            ejected = sorted(
                (self._instances[instance] for instance in pool.ejected & pool.live),
                key=lambda inst: (inst.ejected_until, inst.id),
            )
            excess = max(0, len(ejected) - self._max_ejected(len(pool.live)))
            for inst in ejected[:excess]:
                self._reinstate(inst)
                reinstated.append(inst)
        return reinstated

    def _reinstate(self, inst: RoutedInstance) -> None:
        inst.ejected = False
        inst.probes_left = PROBE_SUCCESSES
        for service in inst.services:
            self._pools[service].ejected.discard(inst.id)

    def _may_eject(self, inst: RoutedInstance) -> bool:
        for service in inst.services:
            pool = self._pools[service]
            live = pool.live | {inst.id}
            if len((pool.ejected & live) | {inst.id}) > self._max_ejected(len(live)):
                return False
        return True

    def _max_ejected(self, live: int) -> int:
        """Return how many of ``live`` instances may be ejected.

        The share of a small pool rounds down to 0: one is allowed while another instance stays.
        """
        return max(1, int(self._policy.max_ejected_share * live)) if live > 1 else 0

    def _eject(self, inst: RoutedInstance, at: float) -> None:
        seconds = self._policy.base_seconds * 2 ** min(inst.ejections, MAX_DOUBLINGS)
        inst.ejections += 1
        inst.ejected = True
        inst.failures_in_row = 0
        inst.probes_left = 0
        inst.ejected_until = at + seconds
        for service in inst.services:
            self._pools[service].ejected.add(inst.id)
        heappush(self._reinstatements, (inst.ejected_until, inst.id))
