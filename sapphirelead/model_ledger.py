"""The ledger of one instance's capacity: the only place that admits work to it.

Service requests take a slot and a connection each; batch tasks and watches take processors, memory
and accelerators.  The two are apart, so that a long task never stands in front of a quick request.

Invariants:

- What is admitted never exceeds the size of the instance: the charges of tasks and open
  reservations together fit, and so do slots and connections.
- A task is charged the larger of its declaration and its measured use; a task that was measured
  above its declaration is charged a margin besides, since the measurement lags.
- A charge may rise above the size only through measurement or adoption after a restart.  Then
  nothing is admitted, and :meth:`Ledger.excess` names the tasks to throttle or to evict.
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
    """What one task is charged.

    :ivar order: grows with admission; the newest task is the first to give way.
    """

    key: str
    kind: Kind
    declared: Resources
    measured: Resources
    urgent: bool
    order: int

    @property
    def used(self) -> Resources:
        """The larger of declaration and measurement."""
        return self.declared.elementwise_max(self.measured)

    @property
    def charged(self) -> Resources:
        """What admission counts."""
        return self.declared.elementwise_max(_with_margin(self.measured, self.declared))


@dataclass(frozen=True, slots=True)
class Reservation:
    """Room kept for an offer until its start comes or the reservation lapses."""

    offer_id: str
    key: str
    resources: Resources
    urgent: bool
    expires_at: float


@dataclass(frozen=True, slots=True)
class Excess:
    """Tasks to act on, so that the instance holds no more than its size.

    :ivar throttle: tasks that use more processors than they declared, newest first.
    :ivar evict: tasks to checkpoint and stop, since memory or accelerators cannot be throttled.
    """

    throttle: tuple[str, ...] = ()
    evict: tuple[str, ...] = ()


class Ledger:
    """Capacity of one instance and what holds it."""

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
        """Take the size of the instance from ``settings``."""
        size = settings.capacity
        capacity = Resources(size.cpu_millicores, size.memory_mb, size.accelerators)
        return cls(capacity, settings.slots, settings.connections)

    @property
    def capacity(self) -> Resources:
        """Size of the instance for batch and watches."""
        return self._capacity

    @property
    def slots(self) -> int:
        """Service requests that may run at once."""
        return self._slots

    @property
    def connections(self) -> int:
        """Connections that the target takes."""
        return self._connections

    @property
    def requests(self) -> int:
        """Service requests that hold a slot."""
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
        """What would still be admitted, never below nothing."""
        return (self._capacity - self.charged).elementwise_max(NO_RESOURCES)

    def admit_request(self) -> bool:
        """Take a slot and a connection for a service request, if both are free."""
        if self._requests >= min(self._slots, self._connections):
            return False
        self._requests += 1
        return True

    def release_request(self) -> None:
        """Give back what a service request held."""
        assert self._requests > 0, "more requests released than admitted"
        self._requests -= 1

    def reserve(
        self, offer_id: str, key: str, resources: Resources, urgent: bool, now: float
    ) -> Result[Reservation, Failure]:
        """Keep room for an offer; the same offer twice keeps it once."""
        self.expire_reservations(now)
        known = self._reservations.get(offer_id)
        if known:
            return Ok(known)
        match self._check(resources):
            case Err(failure):
                return Err(failure)
        reservation = Reservation(offer_id, key, resources, urgent, now + RESERVATION_TTL_S)
        self._reservations[offer_id] = reservation
        return Ok(reservation)

    def select_victims(
        self, resources: Resources, stoppable: Collection[str], stopping: Collection[str]
    ) -> tuple[str, ...] | None:
        """Name the fewest tasks to evict so that ``resources`` fit, or ``None`` if none suffice.

        Only batch that is not urgent gives way, newest first; watches and urgent tasks never do.

        :param stoppable: tasks that run and may be stopped.
        :param stopping: tasks that are being stopped already; their room is counted as free.
        """
        room = self._capacity - self.charged
        for key in stopping:
            if key in self._charges:
                room += self._charges[key].charged
        if resources.fits_in(room):
            return ()
        victims: list[Charge] = []
        for charge in sorted(self._charges.values(), key=lambda c: -c.order):
            if charge.key in stoppable and charge.kind is Kind.BATCH and not charge.urgent:
                victims.append(charge)
                room += charge.charged
                if resources.fits_in(room):
                    return _minimal_victims(victims, resources, room)
        return None

    def reserve_pending_eviction(
        self, offer_id: str, key: str, resources: Resources, now: float
    ) -> Reservation:
        """Keep room for an urgent offer that waits for evictions.

        The room counts as taken at once, so that no other offer gets it; the offer may be accepted
        only when :attr:`overcommitted` is false.
        """
        self.expire_reservations(now)
        reservation = Reservation(offer_id, key, resources, True, now + RESERVATION_TTL_S)
        self._reservations[offer_id] = reservation
        return reservation

    @property
    def overcommitted(self) -> bool:
        """Whether charges and reservations together exceed the size of the instance."""
        return not self.charged.fits_in(self._capacity)

    def expire_reservations(self, now: float) -> None:
        """Drop reservations whose start did not come in time."""
        for offer_id in [o for o, r in self._reservations.items() if r.expires_at <= now]:
            del self._reservations[offer_id]

    def cancel_reservation(self, offer_id: str) -> None:
        """Give back the room of an offer that will not start."""
        self._reservations.pop(offer_id, None)

    def charge(
        self, offer_id: str, key: str, kind: Kind, resources: Resources, now: float
    ) -> Result[Charge, Failure]:
        """Turn an offer's reservation into a task's charge, or admit the task anew.

        The room of the reservation is used only where the start asks for no more than was offered.
        """
        assert key not in self._charges, f"task {key!r} is charged already"
        self.expire_reservations(now)
        reservation = self._reservations.pop(offer_id, None)
        match self._check(resources):
            case Err(failure):
                return Err(failure)
        urgent = reservation.urgent if reservation else False
        return Ok(self._add(key, kind, resources, urgent))

    def adopt(self, key: str, kind: Kind, declared: Resources, measured: Resources) -> None:
        """Charge a task that runs already, whether there is room or not."""
        charge = self._add(key, kind, declared, False)
        self._charges[key] = replace(charge, measured=measured)

    def record_usage(self, key: str, usage: Resources) -> None:
        """Take the worker's last measurement of a task."""
        charge = self._charges.get(key)
        if charge:
            self._charges[key] = replace(charge, measured=usage)

    def charge_of(self, key: str) -> Charge | None:
        """Return what a task is charged, or ``None`` where it holds nothing."""
        return self._charges.get(key)

    def release(self, key: str) -> None:
        """Give back what an ended task held."""
        self._charges.pop(key, None)

    def excess(self) -> Excess:
        """Name the tasks to act on because measured use exceeds the size of the instance.

        Processors can be throttled; memory and accelerators can only be given back by eviction.
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
        over = sum(c.used.cpu_millicores for c in self._charges.values())
        if over <= self._capacity.cpu_millicores:
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


def _minimal_victims(victims: list[Charge], resources: Resources, room: Resources) -> tuple[str, ...]:
    """Leave out victims, oldest first, without which ``resources`` still fit."""
    kept = list(victims)
    for charge in reversed(victims):
        if resources.fits_in(room - charge.charged):
            room -= charge.charged
            kept.remove(charge)
    return tuple(charge.key for charge in kept)


def _eviction_order(charges: Iterable[Charge]) -> list[Charge]:
    """Order tasks: those above their declaration, then batch, then not urgent, then newest."""
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
