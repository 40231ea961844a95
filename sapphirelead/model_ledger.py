"""Admission control and capacity accounting of one instance.

Service requests take a slot and a connection each; batch tasks and watches take processors, memory
and accelerators.  The two are accounted separately, so that tasks do not delay requests.

Invariants:

- Admission never makes the sum of charges and reservations, the slots or the connections exceed the
  capacity of the instance.
- A task is charged the larger of its declared and its measured use, with a margin on measured use
  above the declaration, because measurements lag.
- Only measurements, adoption after a restart and reservations pending eviction can raise the sum
  above the capacity.  No other task is admitted then, and :meth:`Ledger.excess` returns the tasks
  to throttle or evict.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from typing import Final

from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.model_job import Kind
from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.settings import AgentSettings

MEASURED_MARGIN_FACTOR: Final = 1.1
RESERVATION_TTL_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class Charge:
    """The resources charged to one task.

    :ivar order: admission sequence number; newer tasks are evicted first.
    """

    key: str
    kind: Kind
    declared: Resources
    measured: Resources
    urgent: bool
    order: int

    @property
    def used(self) -> Resources:
        """The larger of declared and measured use."""
        return self.declared.elementwise_max(self.measured)

    @property
    def charged(self) -> Resources:
        """The amount that admission control counts, including the margin."""
        return self.declared.elementwise_max(_with_margin(self.measured, self.declared))


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity reserved for an offer until the task starts or the reservation expires."""

    offer_id: str
    key: str
    resources: Resources
    urgent: bool
    expires_at: float


@dataclass(frozen=True, slots=True)
class Excess:
    """Tasks to throttle or evict to bring the instance back within its capacity.

    :ivar throttle: tasks that use more processors than they declared, in eviction order.
    :ivar evict: tasks to checkpoint and stop, because memory and accelerators cannot be throttled.
    """

    throttle: tuple[str, ...] = ()
    evict: tuple[str, ...] = ()


class Ledger:
    """Capacity of one instance and its charges and reservations."""

    _capacity: Resources
    _slots: int
    _connections: int
    _requests: int
    _charges: dict[str, Charge]
    _reservations: dict[str, Reservation]
    _admitted: int

    def __init__(self, capacity: Resources, slots: int, connections: int) -> None:
        self._capacity = capacity
        self._slots = slots
        self._connections = connections
        self._requests = 0
        self._charges = {}
        self._reservations = {}
        self._admitted = 0

    @classmethod
    def from_settings(cls, settings: AgentSettings) -> "Ledger":
        """Return a ledger with the capacity that ``settings`` declare."""
        size = settings.capacity
        capacity = Resources(size.cpu_millicores, size.memory_mb, size.accelerators)
        return cls(capacity, settings.slots, settings.connections)

    @property
    def capacity(self) -> Resources:
        """Capacity for batch tasks and watches."""
        return self._capacity

    @property
    def slots(self) -> int:
        """Maximum number of concurrent service requests."""
        return self._slots

    @property
    def connections(self) -> int:
        """Maximum number of connections to the target."""
        return self._connections

    @property
    def requests(self) -> int:
        """Number of service requests that hold a slot."""
        return self._requests

    @property
    def charged(self) -> Resources:
        """Sum of all charges and reservations."""
        total = NO_RESOURCES
        for charge in self._charges.values():
            total += charge.charged
        for reservation in self._reservations.values():
            total += reservation.resources
        return total

    @property
    def free(self) -> Resources:
        """Unreserved capacity, at least zero in each dimension."""
        return (self._capacity - self.charged).elementwise_max(NO_RESOURCES)

    def admit_request(self) -> bool:
        """Acquire a slot and a connection for a service request, if both are free."""
        if self._requests >= min(self._slots, self._connections):
            return False
        self._requests += 1
        return True

    def release_request(self) -> None:
        """Release the slot and the connection of a service request."""
        assert self._requests > 0, "more requests released than admitted"
        self._requests -= 1

    def reserve(
        self, offer_id: str, key: str, resources: Resources, urgent: bool, now: float
    ) -> Result[Reservation, Failure]:
        """Reserve capacity for an offer; idempotent per ``offer_id``."""
        self.expire_reservations(now)
        existing = self._reservations.get(offer_id)
        if existing:
            return Ok(existing)
        match self._check(resources):
            case Err(failure):
                return Err(failure)
        reservation = Reservation(offer_id, key, resources, urgent, now + RESERVATION_TTL_S)
        self._reservations[offer_id] = reservation
        return Ok(reservation)

    def find_victims(
        self, resources: Resources, stoppable: Collection[str], stopping: Collection[str]
    ) -> tuple[str, ...] | None:
        """Return the tasks to evict so that ``resources`` fit, or ``None`` if that is impossible.

        Only batch tasks that are not urgent are evicted, newest first.  No victim is superfluous.

        :param stoppable: running tasks that may be stopped.
        :param stopping: tasks already being stopped; their charges count as free.
        """
        available = self._capacity - self.charged
        for key in stopping:
            if key in self._charges:
                available += self._charges[key].charged
        if resources.fits_in(available):
            return ()
        victims: list[Charge] = []
        for charge in sorted(self._charges.values(), key=lambda c: -c.order):
            if charge.key in stoppable and charge.kind is Kind.BATCH and not charge.urgent:
                victims.append(charge)
                available += charge.charged
                if resources.fits_in(available):
                    return _minimal_victims(victims, resources, available)
        return None

    def reserve_pending_eviction(
        self, offer_id: str, key: str, resources: Resources, now: float
    ) -> Reservation:
        """Reserve capacity for an urgent offer that waits for evictions.

        Overcommits the instance until the evictions finish.  The caller accepts the offer only when
        :attr:`overcommitted` is false.
        """
        self.expire_reservations(now)
        reservation = Reservation(offer_id, key, resources, True, now + RESERVATION_TTL_S)
        self._reservations[offer_id] = reservation
        return reservation

    @property
    def overcommitted(self) -> bool:
        """Whether charges and reservations together exceed the capacity of the instance."""
        return not self.charged.fits_in(self._capacity)

    def expire_reservations(self, now: float) -> None:
        """Remove expired reservations."""
        for offer_id in [o for o, r in self._reservations.items() if r.expires_at <= now]:
            del self._reservations[offer_id]

    def cancel_reservation(self, offer_id: str) -> None:
        """Release the reservation of an offer that will not start."""
        self._reservations.pop(offer_id, None)

    def charge(
        self, offer_id: str, key: str, kind: Kind, resources: Resources, now: float
    ) -> Result[Charge, Failure]:
        """Replace an offer's reservation, if any, by the charge of its task.

        The task is admitted anew, so a request for more than was reserved can fail.  The
        reservation is released in either case.
        """
        assert key not in self._charges, f"task {key!r} is already charged"
        self.expire_reservations(now)
        reservation = self._reservations.pop(offer_id, None)
        match self._check(resources):
            case Err(failure):
                return Err(failure)
        urgent = reservation.urgent if reservation else False
        return Ok(self._add(key, kind, resources, urgent))

    def adopt(self, key: str, kind: Kind, declared: Resources, measured: Resources) -> None:
        """Charge a task that already runs, even if this exceeds the capacity."""
        charge = self._add(key, kind, declared, False)
        self._charges[key] = replace(charge, measured=measured)

    def record_usage(self, key: str, usage: Resources) -> None:
        """Record the measured resource usage of a task."""
        charge = self._charges.get(key)
        if charge:
            self._charges[key] = replace(charge, measured=usage)

    def charge_of(self, key: str) -> Charge | None:
        """Return the charge of a task, or ``None`` if it has none."""
        return self._charges.get(key)

    def release(self, key: str) -> None:
        """Release the charge of an ended task."""
        self._charges.pop(key, None)

    def excess(self) -> Excess:
        """Return the tasks to throttle or evict because use exceeds the capacity of the instance.

        Processor use can be throttled; memory and accelerators are freed only by eviction.
        """
        throttle = self._tasks_to_throttle()
        evict = self._tasks_to_evict()
        return Excess(tuple(k for k in throttle if k not in evict), evict)

    def _add(self, key: str, kind: Kind, declared: Resources, urgent: bool) -> Charge:
        self._admitted += 1
        charge = Charge(key, kind, declared, NO_RESOURCES, urgent, self._admitted)
        self._charges[key] = charge
        return charge

    def _check(self, resources: Resources) -> Result[None, Failure]:
        if not resources.fits_in(self._capacity):
            return Err(Failure(Code.IMPOSSIBLE, "larger than the instance"))
        if not resources.fits_in(self._capacity - self.charged):
            return Err(Failure(Code.OVERLOADED, "no room"))
        return Ok(None)

    def _tasks_to_throttle(self) -> tuple[str, ...]:
        used = sum(c.used.cpu_millicores for c in self._charges.values())
        if used <= self._capacity.cpu_millicores:
            return ()
        return tuple(
            charge.key
            for charge in _eviction_order(self._charges.values())
            if charge.measured.cpu_millicores > charge.declared.cpu_millicores
        )

    def _tasks_to_evict(self) -> tuple[str, ...]:
        total = NO_RESOURCES
        for charge in self._charges.values():
            total += charge.used
        evict: list[str] = []
        for charge in _eviction_order(self._charges.values()):
            if _without_processors(total).fits_in(_without_processors(self._capacity)):
                break
            total -= charge.used
            evict.append(charge.key)
        return tuple(evict)


def _minimal_victims(
    victims: list[Charge], resources: Resources, available: Resources
) -> tuple[str, ...]:
    """Drop victims, oldest first, without whose eviction ``resources`` still fit."""
    kept = list(victims)
    for charge in reversed(victims):
        if resources.fits_in(available - charge.charged):
            available -= charge.charged
            kept.remove(charge)
    return tuple(charge.key for charge in kept)


def _eviction_order(charges: Iterable[Charge]) -> list[Charge]:
    """Sort tasks for eviction: above declared memory or accelerators, batch, not urgent, newest."""
    return sorted(
        charges,
        key=lambda c: (
            _without_processors(c.measured).fits_in(_without_processors(c.declared)),
            c.kind is Kind.WATCH,
            c.urgent,
            -c.order,
        ),
    )


def _without_processors(resources: Resources) -> Resources:
    return replace(resources, cpu_millicores=0)


def _with_margin(measured: Resources, declared: Resources) -> Resources:
    return Resources(
        _margin(measured.cpu_millicores, declared.cpu_millicores),
        _margin(measured.memory_mb, declared.memory_mb),
        measured.accelerators,
    )


def _margin(measured: int, declared: int) -> int:
    return int(measured * MEASURED_MARGIN_FACTOR) if measured > declared else measured
