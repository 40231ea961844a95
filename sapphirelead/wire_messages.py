"""Messages between the system's own processes.

Each message names its sender, the sender's incarnation (one run of that process) and the sender's
configuration version.  A receiver with an older version fetches the newer one before it makes
decisions.

Messages use three channels, each on its own connection, so that large answers do not delay
heartbeats or small answers: ``control`` (all but requests and answers), ``data`` (service requests,
and answers up to ``BULK_THRESHOLD_BYTES``) and ``bulk`` (larger answers).  An agent connects to all
entries in its settings; an entry connects to the control channel of its peers.
"""

from typing import Any, Final

import msgspec

from sapphirelead.model_resources import Resources

BULK_THRESHOLD_BYTES: Final = 64 * 1024


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, kw_only=True):
    """Fields of every message; the tag on the wire is the class name unless ``tag`` is set."""

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
        """Return the equivalent :class:`~sapphirelead.model_resources.Resources`."""
        return Resources(self.cpu_millicores, self.memory_mb, self.accelerators)


# Agent to entry, control channel.


class Announce(Message, frozen=True, kw_only=True):
    """Registers an instance; sent on connect and until its first heartbeat is acknowledged."""

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
    """Tasks of one job class on one instance, with the worker's latest measurements."""

    job_class: str
    tasks: int
    cpu_millicores: int
    throttled: int = 0


class Heartbeat(Message, frozen=True, kw_only=True, tag="Beat"):
    """Heartbeat, lease renewal request and load report.

    :ivar counter: increases with every heartbeat of this incarnation; committing it renews the
        lease.
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
    """The ledger reserved capacity for an offer; the reservation expires if no start follows."""

    offer_id: str


class Refused(Message, frozen=True, kw_only=True):
    """An offer or a start was rejected, and nothing was started."""

    offer_id: str
    key: str
    epoch: int
    reason: str


class Started(Message, frozen=True, kw_only=True):
    """The worker accepted the task."""

    key: str
    epoch: int


class Completed(Message, frozen=True, kw_only=True):
    """The task ended without being stopped; repeated until acknowledged."""

    key: str
    epoch: int
    ok: bool
    result: Any = None
    reason: str = ""


class Checkpointed(Message, frozen=True, kw_only=True):
    """The task was stopped; repeated until acknowledged.

    :ivar checkpoint: object key of an exact checkpoint, or empty if there is none.
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


class OutcomeAnswer(Message, frozen=True, kw_only=True, tag="FateAnswer"):
    """Outcome of a claim, as known to the agent.

    :ivar claim_outcome: ``running``, ``completed`` or ``failed`` (a :class:`Completed` follows),
        ``stopped`` (a :class:`Checkpointed` follows), ``never_started`` (a delayed start will be
        rejected) or ``lost``.
    """

    key: str
    epoch: int
    claim_outcome: str


# Entry to agent, control channel.


class HeartbeatAck(Message, frozen=True, kw_only=True, tag="BeatAck"):
    """Acknowledges a heartbeat.

    :ivar committed: highest counter of this incarnation that is committed in the table; only this
        extends the lease.
    :ivar fenced: the incarnation was fenced and must stop all tasks and announce itself again.
    """

    counter: int
    committed: int
    fenced: bool = False


class Offer(Message, frozen=True, kw_only=True):
    """Requests capacity for a job before its claim is committed."""

    offer_id: str
    key: str
    kind: str
    job_class: str
    team: str
    resources: Amount
    urgent: bool = False


class Start(Message, frozen=True, kw_only=True):
    """Starts the task of a committed claim, or confirms a claim that was moved to this incarnation.

    :ivar claimed_by: incarnation in the committed claim.  A start for an earlier incarnation is
        rejected, because that one may be fenced and its claim taken over.
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
    """Stops a task.

    :ivar cancel: stop without a checkpoint; otherwise stop at an exact checkpoint.
    """

    key: str
    epoch: int
    cancel: bool
    reason: str


class EndAck(Message, frozen=True, kw_only=True):
    """The outcome of a task (completed or checkpointed) is committed; the agent may discard it."""

    key: str
    epoch: int


class OutcomeQuery(Message, frozen=True, kw_only=True, tag="Fate"):
    """Requests the outcome of a claim.

    :ivar claimed_by: incarnation in the claim.  Only that incarnation can know that the claim was
        never started; any other one answers ``lost`` for a task that it does not find.
    """

    key: str
    epoch: int
    claimed_by: str = ""


class Drain(Message, frozen=True, kw_only=True):
    """Drains an instance: reject new work, finish requests, checkpoint batch, hand over watches."""

    reason: str


class ConfigPush(Message, frozen=True, kw_only=True):
    """A configuration version and its document; sent by entries to agents and peers."""

    version: int
    document: Any


# Entry to entry, control channel.


class Nudge(Message, frozen=True, kw_only=True):
    """Notifies the scheduler of a shard that a job row was created or changed."""

    shard: int
    key: str


# Data and bulk channels.


class ServiceRequest(Message, frozen=True, kw_only=True):
    """One attempt of a service request.

    :ivar attempt: number of the attempt within the request, from 1.
    :ivar budget_ms: time from sending until the caller's deadline.
    """

    request_id: str
    attempt: int
    service: str
    budget_ms: int
    headers: dict[str, str]
    body: bytes


class ServiceAnswer(Message, frozen=True, kw_only=True):
    """Outcome of one attempt.

    :ivar ran: ``done`` (the target answered), ``not_run`` (rejected before it reached the target)
        or ``unknown`` (sent to the target without a complete answer).
    :ivar body_bytes: length of the complete body; a shorter body is never forwarded.
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


class AttemptOutcomeQuery(Message, frozen=True, kw_only=True, tag="AttemptFate"):
    """Requests the outcome of an attempt whose answer may have been lost with its connection.

    :ivar sent_to: incarnation to which the attempt was sent.  Only that one can know that the
        attempt never arrived; any other one answers ``unknown``.
    """

    request_id: str
    attempt: int
    sent_to: str = ""


class CancelAttempt(Message, frozen=True, kw_only=True):
    """Cancels an attempt (another attempt succeeded, or the caller disconnected)."""

    request_id: str
    attempt: int


class ChannelHello(Message, frozen=True, kw_only=True, tag="LaneHello"):
    """First message and heartbeat of a data or bulk channel; the receiver replies with one."""

    channel: str


AnyMessage = (
    Announce
    | Heartbeat
    | Accepted
    | Refused
    | Started
    | Completed
    | Checkpointed
    | WatchEvent
    | OutcomeAnswer
    | HeartbeatAck
    | Offer
    | Start
    | Stop
    | EndAck
    | OutcomeQuery
    | Drain
    | ConfigPush
    | Nudge
    | ServiceRequest
    | ServiceAnswer
    | AttemptOutcomeQuery
    | CancelAttempt
    | ChannelHello
)
