"""Admission control of one term of leadership.

Decides on a submission before it is stored; see :mod:`sapphirelead.admission.decisions`.  The row
``fleet/admission`` holds the key of the tickets, the clock that they are dated by and the capacity
of each service, by which a successor decides before it has heard of all workers.  A leader without
that row refuses nothing until it has.
"""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import msgspec

from sapphirelead.admission.decisions import Assessment, Assessor, JobDemand
from sapphirelead.admission.gates import Gates
from sapphirelead.admission.ledger import Ledger
from sapphirelead.admission.loads import Amount
from sapphirelead.admission.notices import MAX_RETURNING, NOTICE_VALID_S, pack_ids
from sapphirelead.admission.places import GRACE_S, MAX_RETRY_S, Place, Places
from sapphirelead.admission.shares import PriorityOnly, QueueShares
from sapphirelead.admission.tickets import Ticket, new_key, sign, verify
from sapphirelead.clock import now, wall_ms
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_messages import AdmissionNotice, ClosedQueue, RefusedCaller
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_parts import AdmissionConfig
from sapphirelead.sched_spec import JobSpec, QueuePolicy

ROW_KEY: Final = "fleet/admission"
ROW_VERSION: Final = 1

NOTICE_INTERVAL_S: Final = 0.2
"""Minimum time between two notices; shorter than the interval of heartbeats."""

MAX_NOTICED: Final = 50
"""Closed queues that a notice reviews and names, in turn; followers forward the others."""

MAX_SERVICES: Final = 200
"""Services in the row; keeps it below its maximum size."""


class _Row(msgspec.Struct, array_like=True):
    version: int
    key: bytes
    clock_ms: int
    capacity: dict[str, tuple[float, float, float, float]]


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused submission.

    :ivar ticket: holds the caller's place; empty if it has none.
    """

    retry_after_s: float
    detail: str
    ticket: str


class LeaderAdmission:
    """Admits or refuses jobs; a :class:`~sapphirelead.node_leader_rows.StateRow`."""

    key: str = ROW_KEY
    ledger: Ledger
    places: Places
    _sched: Scheduler
    _metrics: Metrics
    _clock: Callable[[], float]
    _wall_ms: Callable[[], int]
    _gates: Gates
    _assessor: Assessor
    _ticket_key: bytes
    _clock_offset_s: float
    _inherited: bool
    _row: tuple[object, bytes]
    _notice: AdmissionNotice | None
    _notice_at: float
    _version: int
    _entries: int

    def __init__(
        self,
        sched: Scheduler,
        metrics: Metrics,
        config: AdmissionConfig,
        shares: QueueShares | None = None,
        clock: Callable[[], float] = now,
        wall: Callable[[], int] = wall_ms,
    ) -> None:
        """Begin without state of a predecessor.

        :param shares: shares of queues; by default only priorities count.
        """
        self._sched = sched
        self._metrics = metrics
        self._clock = clock
        self._wall_ms = wall
        self.ledger = Ledger(sched, clock)
        self.places = Places()
        self._gates = Gates(config)
        self._assessor = Assessor(self.ledger, sched, self.places, shares or PriorityOnly())
        self._ticket_key = new_key()
        self._clock_offset_s = -sched.began_at
        self._inherited = False
        self._row = (None, b"")
        self._notice = None
        self._notice_at = -math.inf
        self._version = 0
        self._entries = 1
        sched.observers.append(self.ledger)

    @property
    def config(self) -> AdmissionConfig:
        """Options in force."""
        return self._gates.config

    @config.setter
    def config(self, config: AdmissionConfig) -> None:
        self._gates.config = config

    def stop(self) -> None:
        """Stop observing, because the part is switched off."""
        self._sched.observers.remove(self.ledger)

    # Submissions

    def decide(self, spec: JobSpec, ticket: str, at: float) -> Refusal | None:
        """Return why a submission is refused, or ``None`` and count it as accepted.

        Only for jobs that are not known and not being stored.
        """
        policy = self._sched.policies.get(spec.queue, spec.policy)
        self._refresh(at)
        if self._gates.closed:
            self.notice(at, self._entries)
        place = self._place(spec, policy, ticket, at)
        found = self._assess(spec, policy, place, at)
        returning = place is not None and place.on_time(at)
        if found is None or self._gates.accepts(spec.queue, found, returning):
            self._accept(spec, policy, place, found, at)
            return None
        return self._refuse(spec, policy, found, at)

    def _refresh(self, at: float) -> None:
        if self.ledger.refresh(at, self._wall_ms()):
            self.places.expire(at)

    def _assess(
        self, spec: JobSpec, policy: QueuePolicy, place: Place | None, at: float
    ) -> Assessment | None:
        if not self._inherited and not self.ledger.knows_workers(at):
            return None
        return self._assessor.assess(spec, policy, place, at)

    def _place(self, spec: JobSpec, policy: QueuePolicy, ticket: str, at: float) -> Place | None:
        """Return the place of a caller, remembered or by its ticket."""
        held = self.places.get(spec.job_id)
        if held is not None or not ticket:
            return held
        signed = verify(self._ticket_key, spec.job_id, spec.queue, ticket)
        if signed is None:
            self._metrics.count("admission_returns_total", outcome="invalid_ticket")
            return None
        due_at = signed.due_ms / 1000 - self._clock_offset_s
        if at > due_at + GRACE_S:
            self._metrics.count("admission_returns_total", outcome="expired_ticket")
            return None
        organisation = self._assessor.shares.organisation_of(spec.queue)
        line = (policy.service, policy.priority)
        place = Place(line, organisation, due_at, signed.cost_ms / 1000)
        self.places.put(spec.job_id, place)
        return place

    def _accept(
        self,
        spec: JobSpec,
        policy: QueuePolicy,
        place: Place | None,
        found: Assessment | None,
        at: float,
    ) -> None:
        if place is not None:
            self._metrics.count("admission_returns_total", outcome="accepted")
        self.places.drop(spec.job_id)
        self.ledger.accepted(spec, policy, at)
        exit_share = self.config.exit_share
        # A returning caller is accepted in its turn, also while others are not.
        if place is None and found is not None and found.acceptable(self.config, exit_share):
            self._open(spec.queue, found)

    def _refuse(self, spec: JobSpec, policy: QueuePolicy, found: Assessment, at: float) -> Refusal:
        if self.places.get(spec.job_id) is not None:
            self._metrics.count("admission_returns_total", outcome="refused")
        line = (policy.service, policy.priority)
        organisation = self._assessor.shares.organisation_of(spec.queue)
        retry_s, has_place = self.places.assign(
            spec.job_id, line, organisation, at, found.excess_s(self.config), found.cost_s
        )
        wait_s = found.expected_s
        if self._gates.close(spec, found):
            self._register_wait(spec.queue)
            log_event(
                "WARNING",
                "admission_closed",
                queue=spec.queue,
                wait_s=wait_s,
                queue_s=found.queue_s,
                bound_s=min(found.bound_s, self.config.max_wait_s),
            )
        self._metrics.count("admission_refusals_total", queue=spec.queue, by="leader")
        log_event(
            "INFO",
            "job_refused",
            job=spec.job_id,
            queue=spec.queue,
            reason="admission",
            wait_s=wait_s,
            wait_high_s=found.wait.high,
            queue_s=found.queue_s,
            bound_s=found.bound_s,
            retry_s=retry_s,
        )
        due_ms = round((at + retry_s + self._clock_offset_s) * 1000)
        ticket = Ticket(due_ms, round(found.cost_s * 1000))
        return Refusal(
            retry_s,
            f"the job would wait {_text(wait_s)}; to be in time it can wait"
            f" {found.bound_s:.1f} s, and its queue may hold work for"
            f" {self.config.max_wait_s:.0f} s",
            sign(self._ticket_key, spec.job_id, spec.queue, ticket) if has_place else "",
        )

    def _register_wait(self, queue: str) -> None:
        def wait_s() -> float:
            refused = self._gates.closed.get(queue)
            return refused.assessment.wait.low if refused is not None else 0.0

        self._metrics.gauge("admission_wait_seconds", wait_s, queue=queue)

    def _open(self, queue: str, found: Assessment | None) -> None:
        if self._gates.open(queue):
            wait_s = found.wait.low if found is not None else 0.0
            log_event(
                "INFO",
                "admission_opened",
                queue=queue,
                wait_s=wait_s,
                bound_s=self.config.max_wait_s,
            )

    # Followers

    def notice(self, at: float, entries: int) -> AdmissionNotice | None:
        """Return what followers refuse on their own; ``None`` if that is nothing.

        :param entries: number of entries, which share the places between them.
        """
        self._entries = entries
        if at - self._notice_at < NOTICE_INTERVAL_S:
            return self._notice
        self._notice_at = at
        self._notice = None
        if self._gates.closed:
            self._refresh(at)
            closed = [
                found
                for queue in list(self._gates.closed)[:MAX_NOTICED]
                if (found := self._review(queue, at, entries)) is not None
            ]
            due = self.places.due(at, at + NOTICE_VALID_S)
            if closed and len(due) <= MAX_RETURNING:
                self._version += 1
                self._notice = AdmissionNotice(self._version, closed, pack_ids(due))
        return self._notice

    def _review(self, queue: str, at: float, entries: int) -> ClosedQueue | None:
        """Open a queue whose latest refused job would be accepted now."""
        spec = self._gates.closed[queue].spec
        policy = self._sched.policies.get(queue, spec.policy)
        found = self._assess(spec, policy, None, at)
        if found is None or self._gates.accepts(queue, found, returning=False):
            self._open(queue, found)
            return None
        self._gates.close(spec, found)
        job = JobDemand.from_spec(spec, policy, self._sched.lengths)
        line = (policy.service, policy.priority)
        retry_s = max(found.excess_s(self.config), self.places.tail(line, at) - at) + found.cost_s
        return ClosedQueue(
            queue,
            policy.priority,
            min(found.expected_s, MAX_RETRY_S),
            job.declared_slack_s,
            job.need,
            retry_s,
            found.cost_s * entries,
        )

    def refused_elsewhere(self, callers: Sequence[RefusedCaller], at: float) -> None:
        """Keep the places of callers that a follower has refused."""
        for caller in callers:
            refused = self._gates.closed.get(caller.queue)
            if refused is None or caller.job_id in self._sched.jobs:
                continue
            policy = self._sched.policies.get(caller.queue, refused.spec.policy)
            line = (policy.service, policy.priority)
            organisation = self._assessor.shares.organisation_of(caller.queue)
            place = Place(line, organisation, at + caller.due_s, refused.assessment.cost_s)
            if self.places.get(caller.job_id) is None:
                self.places.put(caller.job_id, place)
        # The next notice must state how far the places have been assigned.
        self._notice_at = -math.inf

    # State row

    def encode(self, at: float) -> bytes | None:
        """Return the row, which changes only with the key or the capacity."""
        capacity: dict[str, Amount] = {}
        for name, demand in self.ledger.services.items():
            if any(demand.capacity) and len(capacity) < MAX_SERVICES:
                cpu, memory, accelerators, fill = demand.capacity
                capacity[name] = (
                    _rounded(cpu),
                    _rounded(memory),
                    _rounded(accelerators),
                    _rounded(fill),
                )
        state = (self._ticket_key, capacity)
        if self._row[0] != state:
            clock_ms = round((at + self._clock_offset_s) * 1000)
            row = _Row(ROW_VERSION, self._ticket_key, clock_ms, capacity)
            self._row = (state, msgspec.msgpack.encode(row))
        return self._row[1]

    def restore(self, data: bytes, age_s: float) -> None:
        """Take over the predecessor's key, clock and capacities."""
        try:
            row = msgspec.msgpack.decode(data, type=_Row)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            log_event("ERROR", "part_row_unreadable", row=ROW_KEY, reason=str(exc))
            return
        if row.version != ROW_VERSION:
            reason = f"version {row.version}"
            log_event("ERROR", "part_row_unreadable", row=ROW_KEY, reason=reason)
            return
        self._ticket_key = row.key
        self._clock_offset_s = row.clock_ms / 1000 + age_s - self._clock()
        self._inherited = True
        for name, capacity in row.capacity.items():
            self.ledger.demand(name).inherited = capacity


def _rounded(amount: float) -> float:
    """Return an amount with two significant digits, so that small changes are not stored.

    >>> _rounded(352_000.0), _rounded(0.0)
    (350000.0, 0.0)
    """
    return float(f"{amount:.2g}")


def _text(wait_s: float) -> str:
    return f"{wait_s:.1f} s" if wait_s < math.inf else "until capacity is added"
