"""Messages between the system's own processes.

Each message names its sender, the sender's incarnation (one run of that process) and the version
of the operators' configuration that the sender decides by.  A receiver that sees a higher version
than its own fetches it before it decides.

Three lanes carry them, each a connection of its own, so that no large answer delays a beat or a
quick answer: ``control`` (everything but requests and answers), ``data`` (service requests and
answers up to ``BULK_THRESHOLD_BYTES``) and ``bulk`` (larger answers).  An agent connects to every entry in
its settings; an entry connects to its peers' control lane.
"""

from typing import Any, Final

import msgspec

from sapphirelead.model_resources import Resources

BULK_THRESHOLD_BYTES: Final = 64 * 1024


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, kw_only=True):
    """What every message carries."""

    sender: str
    incarnation: str
    config_version: int


class Amount(msgspec.Struct, frozen=True, array_like=True):
    """Wire form of :class:`~sapphirelead.model_resources.Resources`."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def from_resources(cls, resources: Resources) -> "Amount":
        """Return the wire form."""
        return cls(resources.cpu_millicores, resources.memory_mb, resources.accelerators)

    def to_resources(self) -> Resources:
        """Return what the decisions compute with."""
        return Resources(self.cpu_millicores, self.memory_mb, self.accelerators)


# Agent to entry, control lane.


class Announce(Message, frozen=True, kw_only=True):
    """An instance offers itself; sent on connect and until the first acknowledged beat."""

    zone: str
    rack: str
    capacity: Amount
    slots: int
    connections: int
    services: list[str]
    draining: bool = False


class ServiceSample(msgspec.Struct, frozen=True, array_like=True):
    """Latency of one service on one instance over the last report interval."""

    service: str
    count: int
    errors: int
    p50_ms: float
    p99_ms: float


class ClassSample(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one job class on one instance, with what the worker last measured of them."""

    job_class: str
    tasks: int
    cpu_millicores: int
    throttled: int = 0


class Beat(Message, frozen=True, kw_only=True):
    """Heartbeat, lease renewal request and load report in one.

    :ivar counter: grows with every beat of this incarnation; the lease is renewed by committing it.
    :ivar free: capacity that the ledger would still admit for batch and watches.
    """

    counter: int
    zone: str
    draining: bool
    slots_used: int
    slots: int
    connections_used: int
    connections: int
    free: Amount
    tasks: int
    services: list[ServiceSample] = []
    classes: list[ClassSample] = []


class Accepted(Message, frozen=True, kw_only=True):
    """The ledger reserved room for an offer; the reservation lapses if no start follows."""

    offer_id: str


class Refused(Message, frozen=True, kw_only=True):
    """An offer or a start was refused; nothing was started under it."""

    offer_id: str
    key: str
    epoch: int
    reason: str


class Started(Message, frozen=True, kw_only=True):
    """The worker took the task."""

    key: str
    epoch: int


class Completed(Message, frozen=True, kw_only=True):
    """The task ended by itself; repeated until acknowledged."""

    key: str
    epoch: int
    ok: bool
    result: Any = None
    reason: str = ""


class Checkpointed(Message, frozen=True, kw_only=True):
    """The task was stopped; repeated until acknowledged.

    :ivar checkpoint: object key of an exact checkpoint, or empty where there is none.
    """

    key: str
    epoch: int
    checkpoint: str
    reason: str


class WatchEvent(Message, frozen=True, kw_only=True):
    """One event of a running watch, numbered from 1 within its epoch."""

    key: str
    epoch: int
    number: int
    event: Any


class FateAnswer(Message, frozen=True, kw_only=True):
    """What the agent knows of a claim.

    :ivar fate: ``running``, ``completed`` or ``failed`` (a :class:`Completed` follows), ``stopped``
        (a :class:`Checkpointed` follows), ``never_started`` (and a late start will be refused) or
        ``lost``.
    """

    key: str
    epoch: int
    fate: str


# Entry to agent, control lane.


class BeatAck(Message, frozen=True, kw_only=True):
    """The beat was received.

    :ivar committed: highest counter of this incarnation that is committed in the table; only this
        moves the lease.
    :ivar fenced: the incarnation was fenced: stop everything and announce anew.
    """

    counter: int
    committed: int
    fenced: bool = False


class Offer(Message, frozen=True, kw_only=True):
    """Ask for room for a job before its claim is committed."""

    offer_id: str
    key: str
    kind: str
    job_class: str
    team: str
    resources: Amount
    urgent: bool = False


class Start(Message, frozen=True, kw_only=True):
    """Start the task of a committed claim, or confirm a claim that was moved to this incarnation.

    :ivar claimed_by: incarnation that the committed claim names.  A start that was meant for an
        earlier run of the agent is refused: that run may be fenced, and its claim taken over.
    """

    offer_id: str
    key: str
    epoch: int
    kind: str
    job_class: str
    team: str
    resources: Amount
    idempotent: bool
    input: Any = None
    checkpoint: str = ""
    rule: str = ""
    claimed_by: str = ""


class Stop(Message, frozen=True, kw_only=True):
    """Stop a task.

    :ivar cancel: stop without a checkpoint; otherwise checkpoint exactly, then stop.
    """

    key: str
    epoch: int
    cancel: bool
    reason: str


class EndAck(Message, frozen=True, kw_only=True):
    """The end of a task (completed or checkpointed) is committed; the agent may forget it."""

    key: str
    epoch: int


class Fate(Message, frozen=True, kw_only=True):
    """Ask what became of a claim.

    :ivar claimed_by: incarnation that the claim names.  Only that incarnation can know that the
        claim was never started; any other one answers ``lost`` for a task it does not find.
    """

    key: str
    epoch: int
    claimed_by: str = ""


class Drain(Message, frozen=True, kw_only=True):
    """Leave: refuse new work, finish what runs, checkpoint batch, hand watches over."""

    reason: str


class ConfigPush(Message, frozen=True, kw_only=True):
    """A configuration version with its document; entries send it to agents and to peers."""

    version: int
    document: Any


# Entry to entry, control lane.


class Nudge(Message, frozen=True, kw_only=True):
    """A job row of a shard that the receiver schedules was created or changed."""

    shard: int
    key: str


# Data and bulk lanes.


class ServiceRequest(Message, frozen=True, kw_only=True):
    """One attempt of a service request.

    :ivar attempt: number of the attempt within the request, from 1.
    :ivar budget_ms: time left until the caller's deadline when this was sent.
    """

    request_id: str
    attempt: int
    service: str
    budget_ms: int
    headers: dict[str, str]
    body: bytes


class ServiceAnswer(Message, frozen=True, kw_only=True):
    """The end of one attempt.

    :ivar ran: ``done`` (the target answered), ``not_run`` (refused before the target saw it) or
        ``unknown`` (sent to the target, no whole answer came).
    :ivar body_bytes: length of the whole body; a shorter one is never handed on.
    """

    request_id: str
    attempt: int
    ran: str
    status: int
    headers: dict[str, str]
    body: bytes
    body_bytes: int
    reason: str = ""
    slots_used: int = 0
    slots: int = 0


class AttemptFate(Message, frozen=True, kw_only=True):
    """Ask for the end of an attempt whose answer may have been lost with its connection.

    :ivar sent_to: incarnation that the attempt was sent to.  Only that one can know that the
        attempt never arrived; any other one answers ``unknown``.
    """

    request_id: str
    attempt: int
    sent_to: str = ""


class CancelAttempt(Message, frozen=True, kw_only=True):
    """The answer is no longer wanted (another attempt won, or the caller left)."""

    request_id: str
    attempt: int


class LaneHello(Message, frozen=True, kw_only=True):
    """First message and heartbeat of a data or bulk lane; the receiver answers with the same."""

    lane: str


AnyMessage = (
    Announce
    | Beat
    | Accepted
    | Refused
    | Started
    | Completed
    | Checkpointed
    | WatchEvent
    | FateAnswer
    | BeatAck
    | Offer
    | Start
    | Stop
    | EndAck
    | Fate
    | Drain
    | ConfigPush
    | Nudge
    | ServiceRequest
    | ServiceAnswer
    | AttemptFate
    | CancelAttempt
    | LaneHello
)
