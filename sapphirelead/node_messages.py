"""Messages between the processes of a fleet: entries, of which one leads, and agents.

A lost message is made good by a later one: an agent's reports carry every end until it is stored
and, once a second, all that its worker runs, and the leader repeats orders until a full report
shows that they arrived.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple

import msgspec

from sapphirelead.model_resources import Resources


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of all messages; the class name is the tag on the wire."""


class EntryAddress(msgspec.Struct, array_like=True, frozen=True):
    """Where an entry listens for other processes, and how much it can carry.

    :ivar cores: processors that its process may use; 0 where that is not known.
    """

    name: str
    host: str
    port: int
    cores: float = 0.0


class WorkerInfo(msgspec.Struct, array_like=True, frozen=True):
    """A worker as its agent knows it.

    :ivar worker: the worker's id, new after each crash.
    :ivar draining: it is about to leave and takes no new work.
    :ivar remaining_ms: least time that is left to a draining worker.
    :ivar labels: kind of the worker and its rack.
    """

    worker: str
    service: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool = False
    remaining_ms: int = 0


class RunPhase(IntEnum):
    """How far an agent has got with a run; a number, because each report carries many."""

    STARTING = 0
    RUNNING = 1
    STOPPING = 2


class RunStatus(msgspec.Struct, array_like=True, frozen=True):
    """A run that is not over.

    :ivar percent: progress; 100 for a lasting task that is at work.
    :ivar figure: rough figure of the last half second: tail latency in milliseconds of a task that
        serves, processors in use (thousandths) of others; -1 where none is known yet.
    :ivar paced: share at which the agent lets it work, 0 to 100; -1 where that is not known.
    :ivar saved: newest saved progress.
    :ivar order_known: ``False`` for a run that an earlier process of the agent has started, until
        the leader has sent its order again.
    """

    task: str
    attempt: int
    phase: RunPhase
    percent: int = 0
    figure: int = -1
    paced: int = 100
    saved: str = ""
    order_known: bool = True


class RunEnded(msgspec.Struct, array_like=True, frozen=True):
    """A run that is over; repeated until the leader has stored it.

    :ivar number: the worker's number of the end; 0 where the agent found out by itself.
    """

    number: int
    task: str
    attempt: int
    kind: str
    saved: str
    reason: str = ""


class AgentReport(Message, frozen=True):
    """Everything an agent knows; also its heartbeat.

    :ivar boot: random id of this run of the agent's process.
    :ivar beat: number of the report, growing.
    :ivar epoch: epoch of the leader that it follows.
    :ivar entries_version: version of the list of entries that it has.
    :ivar worker: ``None`` while no worker is known to live.
    :ivar full: ``runs`` lists every run; else only those whose phase has changed.
    :ivar gone: workers beside this agent that are known to have ended, with all they ran.
    :ivar orders: number of the newest orders that this process of the agent has got from the leader
        of ``epoch``; 0 for none.
    """

    agent: str
    boot: str
    beat: int
    epoch: int
    entries_version: int
    worker: WorkerInfo | None
    full: bool
    runs: list[RunStatus]
    ends: list[RunEnded]
    gone: tuple[str, ...] = ()
    orders: int = 0


class WhoLeads(Message, frozen=True):
    """An agent or entry asks any entry who leads."""

    sender: str


class Leads(Message, frozen=True):
    """Who leads, as far as the sender knows; ``leader`` is empty where it does not."""

    epoch: int
    leader: str


class StartOrder(msgspec.Struct, array_like=True, frozen=True):
    """Start a run.

    :ivar ticket: permission of the advice service, where the queue needs one.
    :ivar cpu_millicores: processors that it asks for; a filling task takes no room for them.
    """

    task: str
    attempt: int
    payload: str
    saved: str
    ticket: str
    room: Resources
    image: str
    target_ms: int
    fills: bool
    cpu_millicores: int = 0


class ServingPress(NamedTuple):
    """How filling images press on a serving one; see :mod:`sapphirelead.policy_pressure`.

    :ivar idle_ms: its tail without any load.
    :ivar weights: by filling image, the load that is added if it takes the whole worker.
    """

    image: str
    idle_ms: float
    weights: dict[str, float]


class StopOrder(msgspec.Struct, array_like=True, frozen=True):
    """Stop a run; one that has not started must never start."""

    task: str
    attempt: int


class Orders(Message, frozen=True):
    """The leader's answer to a report, and its orders.

    :ivar beat: newest report seen; it extends the agent's lease.  0 extends nothing.
    :ivar after_beat: newest report known when the orders were given.  An agent refuses starts that
        are based on a report from too long ago.
    :ivar worker: worker that the orders and ``stored`` speak of.
    :ivar stored: ends that are stored; the agent may let the worker forget them.
    :ivar entries: set where the agent's list of entries is not the newest.
    :ivar press: what the fleet has learnt of the pairs of images on the worker.
    :ivar number: grows with each message of this leader to the agent; the agent's reports say which
        it has got.
    """

    epoch: int
    leader: str
    boot: str
    beat: int
    after_beat: int
    worker: str
    starts: list[StartOrder]
    stops: list[StopOrder]
    stored: list[tuple[str, int]]
    entries_version: int = 0
    entries: list[EntryAddress] | None = None
    press: list[ServingPress] = []
    number: int = 0


class EntryBeat(Message, frozen=True):
    """A follower's heartbeat to the leader.

    :ivar store_ok: whether its last calls to the store were answered.
    :ivar leaving: it is about to end and never takes the lead.
    :ivar entries_version: version of the list of entries that it has from the leader of ``epoch``;
        0 for none.
    """

    address: EntryAddress
    epoch: int
    store_ok: bool
    config_version: int
    leaving: bool = False
    entries_version: int = 0


class LeaderBeat(Message, frozen=True):
    """The leader's answer to a follower's heartbeat.

    :ivar serving: it has read the stored state and takes calls.
    :ivar store_ok: whether its last calls to the store were answered.
    :ivar entries: set where the follower's list of entries is not the newest.
    :ivar strongest: processors of the strongest follower that could take the lead.
    """

    epoch: int
    leader: str
    serving: bool
    store_ok: bool
    config_version: int
    entries_version: int
    entries: list[EntryAddress] | None = None
    strongest: float = 0.0


class Handover(Message, frozen=True):
    """The leader asks a follower to lead from now on."""

    epoch: int
    leader: str


class CallKind(StrEnum):
    """What a caller asks of the leader."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    WAITING = "waiting"


class Call(Message, frozen=True):
    """A caller's request, passed on to the leader.

    :ivar number: chosen by the sender, for the answer; the same in each try, and no other process
        uses it.
    :ivar job: the job in its stored form, for a submission.
    :ivar epoch: leadership that is asked; no other one may carry the call out.
    """

    number: int
    kind: CallKind
    queue: str
    job_id: str
    config_version: int
    job: bytes = b""
    epoch: int = 0


class ReplyKind(StrEnum):
    """How a call ended.

    ``NOT_RUN`` is said only of what has not been done and never will be; ``UNKNOWN`` where the
    outcome is not known.  Three kinds pass between entries only: ``NOT_LEADER`` says that the entry
    asked does not lead and has done nothing with the call, ``LEAD_LOST`` that it led when it took
    the call and lost the lead before the outcome was known: the call may have been stored, and
    ``TAKEN`` that it has read the call, whose outcome follows.
    """

    OK = "ok"
    ABSENT = "absent"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    NOT_LEADER = "not_leader"
    LEAD_LOST = "lead_lost"
    TAKEN = "taken"
    INVALID = "invalid"


class Reply(Message, frozen=True):
    """The answer to a call.

    :ivar state: the job's state, where one was asked for.
    :ivar waiting: number of waiting jobs, where it was asked for.
    :ivar retry_after_s: when the caller may come back.
    :ivar other: the job known by the id of a submission asks for something else.
    :ivar epoch: leadership that was asked, as in the call.
    """

    number: int
    kind: ReplyKind
    state: str = ""
    waiting: int = 0
    retry_after_s: float = 0.0
    detail: str = ""
    config_version: int = 0
    other: bool = False
    epoch: int = 0


AnyNodeMessage = (
    AgentReport | WhoLeads | Leads | Orders | EntryBeat | LeaderBeat | Handover | Call | Reply
)
