"""Which instances are taken out because they fail, and when they return.

Failures in a row, or a high share of failures, eject an instance from all its services for a time
that doubles with each ejection.  On return it gets one request at a time until a few succeeded; a
failure before that ejects it again at once.

Invariants:

- No more than the configured share of a service's live instances is ejected, or one where there
  are only two.  The failure: the service itself is broken for a minute, every instance fails, and
  ejecting them all would turn a bad minute into an outage; the others go on being tried.
- The pools' sets of ejected instances change only here and where an instance is forgotten.
"""

from collections.abc import Mapping
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
    """Ejects instances that fail and says which may return."""

    _policy: EjectionPolicy
    _instances: Mapping[str, RoutedInstance]
    _pools: Mapping[str, ServicePool]
    _returns: list[tuple[float, str]]

    def __init__(
        self,
        policy: EjectionPolicy,
        instances: Mapping[str, RoutedInstance],
        pools: Mapping[str, ServicePool],
    ) -> None:
        self._policy = policy
        self._instances = instances
        self._pools = pools
        self._returns = []

    def configure(self, policy: EjectionPolicy) -> None:
        """Take a changed policy."""
        self._policy = policy

    def eject_if_failing(self, inst: RoutedInstance, at: float) -> None:
        """Eject an instance that has just failed, where its record and the share allow it."""
        consecutive = inst.failures_in_row >= self._policy.consecutive_failures
        # A share of fewer attempts says little: one bad start ejects no new instance.
        enough_attempts = inst.attempts >= MIN_ATTEMPTS_FOR_FAILURE_SHARE
        frequent = enough_attempts and inst.failure_share > FAILURE_SHARE_LIMIT
        if (consecutive or frequent or inst.probes_left) and self._may_eject(inst):
            self._eject(inst, at)

    def reinstate(self, at: float) -> list[RoutedInstance]:
        """Return the instances whose time is over; from now on they are tried one at a time."""
        back: list[RoutedInstance] = []
        while self._returns and self._returns[0][0] <= at:
            _, instance = heappop(self._returns)
            inst = self._instances.get(instance)
            if inst is None or not inst.ejected or inst.ejected_until > at:
                continue
            inst.ejected = False
            inst.probes_left = PROBE_SUCCESSES
            for service in inst.services:
                self._pools[service].ejected.discard(instance)
            back.append(inst)
        return back

    def _may_eject(self, inst: RoutedInstance) -> bool:
        for service in inst.services:
            pool = self._pools[service]
            live = len(pool.live | {inst.id})
            # A share of two instances rounds down to none; then a dead one would go on getting
            # half of the attempts. One may always go while another one stays.
            most = max(1, int(self._policy.max_ejected_share * live)) if live > 1 else 0
            if len(pool.ejected | {inst.id}) > most:
                return False
        return True

    def _eject(self, inst: RoutedInstance, at: float) -> None:
        seconds = self._policy.base_seconds * 2 ** min(inst.ejections, MAX_DOUBLINGS)
        inst.ejections += 1
        inst.ejected = True
        inst.failures_in_row = 0
        inst.probes_left = 0
        inst.ejected_until = at + seconds
        for service in inst.services:
            self._pools[service].ejected.add(inst.id)
        heappush(self._returns, (inst.ejected_until, inst.id))
