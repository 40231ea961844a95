"""Messages between the processes of a fleet: agents and entries, one of which is the leader.

Lost messages are compensated by later ones: an agent reports each ended run until it is stored and,
once a second, all runs of its worker; the leader repeats orders until a full report shows that they
arrived.
"""

from enum import IntEnum, StrEnum
from typing import Annotated, Final, NamedTuple

import msgspec

from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import NO_LIFE, WorkerLife

Name = Annotated[str, msgspec.Meta(max_length=255)]
"""Name of a process, which receivers remember; the identity of a connection is as long at most."""


class Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """Base of all messages; the tag on the wire is the class name unless ``tag`` is set."""


class EntryAddress(msgspec.Struct, array_like=True, frozen=True):
    """Listening address and processing capacity of an entry.

    :ivar cores: processors available to its process; 0 if unknown.
    """

    name: Name
    host: Name
    port: int
    cores: float = 0.0


class WorkerInfo(msgspec.Struct, array_like=True, frozen=True):
    """A worker as reported by its agent.

    :ivar worker: life of the worker.
    :ivar draining: whether it is shutting down and accepts no new tasks.
    :ivar remaining_ms: minimum remaining time of a draining worker.
    :ivar labels: kind and rack of the worker.
    :ivar cold_ms: how much longer the worker stays slow after its start.
    """

    worker: WorkerLife
    service: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool = False
    remaining_ms: int = 0
    cold_ms: int = 0


def reported_life(worker: WorkerInfo | None) -> WorkerLife:
    """Return the life of a reported worker; :data:`NO_LIFE` if none is reported."""
    return worker.worker if worker is not None else NO_LIFE


class RunPhase(IntEnum):
    """Phase of a run at its agent; an integer to keep reports small."""

    STARTING = 0
    RUNNING = 1
    STOPPING = 2


class RunStatus(msgspec.Struct, array_like=True, frozen=True):
    """Status of a run that has not ended.

    :ivar percent: progress; 100 for a long-running task that is working.
    :ivar measurement: approximate value over the last half second: tail latency in milliseconds of
        a latency-critical task, CPU usage in millicores of others; -1 if unknown.
    :ivar pace_percent: pace set by the agent in percent of full speed, 0 to 100; -1 if unknown.
    :ivar saved: latest saved progress.
    :ivar order_known: ``False`` for a run started by an earlier process of the agent, until the
        leader has sent its order again.
    """

    task: str
    attempt: int
    phase: RunPhase
    percent: int = 0
    measurement: int = -1
    pace_percent: int = 100
    saved: str = ""
    order_known: bool = True


ENDED_ON_NEXT_LIFE: Final = "next_life"
"""Reason of an end on the life after the one for which the run was ordered."""


class RunEnded(msgspec.Struct, array_like=True, frozen=True):
    """An ended run; repeated until the leader has stored it.

    :ivar number: number assigned to the ended run by the worker; 0 if the agent detected the end.
    :ivar reason: why a run was not started, or :data:`ENDED_ON_NEXT_LIFE`.
    """

    number: int
    task: str
    attempt: int
    kind: str
    saved: str
    reason: str = ""


class EndedLife(msgspec.Struct, array_like=True, frozen=True):
    """The runs that an ended life of a worker can have started, and that had not ended.

    Any other run on it was never started: no start call was made, or the worker refused it.

    :ivar started: runs that the worker has listed, or whose start it has confirmed.
    :ivar doubtful: runs whose start calls got no answer.
    """

    worker: WorkerLife
    started: list[tuple[str, int]]
    doubtful: list[tuple[str, int]]


class AgentReport(Message, frozen=True):
    """State report of an agent; also its heartbeat.

    :ivar boot: random id of the agent's process.
    :ivar report_number: sequence number of the report, increasing.
    :ivar epoch: epoch of the followed leader.
    :ivar entries_version: version of the agent's list of entries.
    :ivar worker: ``None`` while no worker is known to be alive.
    :ivar full: whether ``runs`` lists every run, or only those whose phase has changed.
    :ivar ended_workers: ended lives of the worker; all their runs have ended.
    :ivar orders: number of the latest orders that this process of the agent has received from the
        leader of ``epoch``; 0 for none.
    :ivar leaving: whether this process is shutting down; its last report.
    :ivar left_workers: those of ``ended_workers`` that had announced their exit; the others have
        crashed, or are unreachable and their leases have expired.
    :ivar worker_answers: whether the worker has answered the agent's latest list call; otherwise
        ``runs`` repeats what it listed before.
    :ivar ended_lives: the runs of ``ended_workers``, as far as this process knows them.
    :ivar worker_refuses: whether the worker refuses connections; its runs may go on.
    """

    agent: Name
    boot: Name
    report_number: int
    epoch: int
    entries_version: int
    worker: WorkerInfo | None
    full: bool
    runs: list[RunStatus]
    ends: list[RunEnded]
    ended_workers: tuple[WorkerLife, ...] = ()
    orders: int = 0
    leaving: bool = False
    left_workers: tuple[WorkerLife, ...] = ()
    worker_answers: bool = True
    ended_lives: tuple[EndedLife, ...] = ()
    worker_refuses: bool = False


class LeaderQuery(Message, frozen=True, tag="WhoLeads"):
    """Request of an agent or entry to any entry for the current leader."""

    sender: Name


class LeaderAnnouncement(Message, frozen=True, tag="Leads"):
    """The leader as known to the sender; ``leader`` is empty if unknown."""

    epoch: int
    leader: str


class StartOrder(msgspec.Struct, array_like=True, frozen=True):
    """Order to start a run.

    :ivar ticket: permission of the advice service, if the queue requires one.
    :ivar best_effort: whether the task is best-effort (fill).
    :ivar cpu_millicores: requested CPU; best-effort tasks reserve no capacity for it.
    """

    task: str
    attempt: int
    payload: str
    saved: str
    ticket: str
    resources: Resources
    image: str
    target_ms: int
    best_effort: bool
    cpu_millicores: int = 0


class InterferenceEstimate(NamedTuple):
    """Interference of best-effort images with a latency-critical image.

    See :mod:`sapphirelead.policy_pressure`.

    :ivar idle_ms: tail latency of the latency-critical image without load.
    :ivar weights: pair weight by best-effort image: the load that it adds if it takes the whole
        worker.
    """

    image: str
    idle_ms: float
    weights: dict[str, float]


class StopOrder(msgspec.Struct, array_like=True, frozen=True):
    """Order to stop a run; a run that has not started must never start."""

    task: str
    attempt: int


class ZoneNotice(msgspec.Struct, array_like=True, frozen=True):
    """What a leader knows of the evacuation of a worker's zone.

    :ivar evacuated: whether the zone is evacuated, so that nothing more may start there.
    :ivar read_age_s: age of the leader's read of the evacuated zones when it made the orders.
    """

    evacuated: bool
    read_age_s: float


class Orders(Message, frozen=True):
    """The leader's response to a report, with its orders.

    :ivar report_number: latest report received, which extends the agent's lease; 0 does not extend
        it.
    :ivar based_on_report: latest report known when the orders were made.  Agents refuse starts
        based on an outdated report.
    :ivar worker: life of the worker that the orders and ``stored`` refer to.
    :ivar stored: ended runs that are stored; the agent may acknowledge them to the worker.
    :ivar entries: set if the agent's list of entries is outdated.
    :ivar interference: estimates for the pairs of images on the worker.
    :ivar number: sequence number of this leader's messages to the agent, which acknowledges it in
        its reports.
    :ivar zone: ``None`` while the leader has not read the evacuated zones, or has not been told
        the worker's zone.
    """

    epoch: int
    leader: str
    boot: str
    report_number: int
    based_on_report: int
    worker: WorkerLife
    starts: list[StartOrder]
    stops: list[StopOrder]
    stored: list[tuple[str, int]]
    entries_version: int = 0
    entries: list[EntryAddress] | None = None
    interference: list[InterferenceEstimate] = []
    number: int = 0
    zone: ZoneNotice | None = None


class FollowerHeartbeat(Message, frozen=True, tag="EntryBeat"):
    """A follower's heartbeat to the leader.

    :ivar store_ok: whether the store replied to its last calls.
    :ivar leaving: whether it is stopping and must not become the leader.
    :ivar entries_version: version of the list of entries received from the leader of ``epoch``; 0
        for none.
    :ivar newest_config: newest version of the configuration that the sender has heard of.
    """

    address: EntryAddress
    epoch: int
    store_ok: bool
    config_version: int
    leaving: bool = False
    entries_version: int = 0
    newest_config: int = 0


class ClosedQueue(msgspec.Struct, array_like=True, frozen=True):
    """A queue whose jobs the leader refuses because they cannot be served in time.

    :ivar priority: priority of its jobs.
    :ivar wait_s: estimated wait of its latest refused job.
    :ivar slack_s: how long that job could have waited, by its estimates.
    :ivar need: what each of its first tasks occupied, at most; a job of smaller ones may find room.
    :ivar retry_s: time until the next place in the order of refused callers is due.
    :ivar spacing_s: time between the places that one entry assigns.
    """

    queue: str
    priority: int
    wait_s: float
    slack_s: float
    need: tuple[float, float, float, float]
    retry_s: float
    spacing_s: float


class AdmissionNotice(msgspec.Struct, array_like=True, frozen=True):
    """The leader's admission state, by which followers refuse on their own.

    :ivar version: grows with each notice of a leader.
    :ivar returning: hashes of the ids of jobs whose callers were told to return now.
    """

    version: int
    closed: list[ClosedQueue]
    returning: bytes = b""


class LeaderHeartbeat(Message, frozen=True, tag="LeaderBeat"):
    """The leader's response to a follower's heartbeat.

    :ivar serving: whether it has loaded the stored state and accepts calls.
    :ivar store_ok: whether the store replied to its last calls.
    :ivar entries: set if the follower's list of entries is outdated.
    :ivar strongest: largest processor count among the followers that could become the leader.
    :ivar leader_ms: the leader's clock, which also dates its head rows; 0 if unknown.
    :ivar newest_config: newest version of the configuration that the leader has heard of.
    :ivar admission: ``None`` if no queue is closed or admission control is off.
    """

    epoch: int
    leader: str
    serving: bool
    store_ok: bool
    config_version: int
    entries_version: int
    entries: list[EntryAddress] | None = None
    strongest: float = 0.0
    leader_ms: int = 0
    newest_config: int = 0
    admission: AdmissionNotice | None = None


class Handover(Message, frozen=True):
    """Request of the leader to a follower to take over the leadership."""

    epoch: int
    leader: str


class CallKind(StrEnum):
    """Kind of a caller's request."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    WAITING = "waiting"


class Call(Message, frozen=True):
    """A caller's request, forwarded to the leader.

    :ivar number: correlation id, unique across processes and the same for each retry.
    :ivar job: the encoded job of a submission.
    :ivar epoch: epoch of the addressed leader; a leader of another epoch must not carry it out.
    :ivar ticket: ticket of a caller that was refused before; empty for none.
    """

    number: int
    kind: CallKind
    queue: str
    job_id: str
    config_version: int
    job: bytes = b""
    epoch: int = 0
    ticket: str = ""


class ReplyKind(StrEnum):
    """Outcome of a call.

    ``NOT_RUN`` guarantees that the call has not been carried out and never will be; ``UNKNOWN``
    means that the outcome is not known.  Three kinds are sent between entries only: ``NOT_LEADER``
    means that the addressed entry is not the leader and has not processed the call, ``LEAD_LOST``
    that it lost the leadership before the outcome was known, so that the call may have been stored,
    and ``TAKEN`` that it has read the call and the outcome follows.
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
    """The reply to a call.

    :ivar state: state of the job, if requested.
    :ivar waiting: number of waiting jobs, if requested.
    :ivar retry_after_s: delay after which the caller may retry.
    :ivar conflicting: whether the known job with the submitted id has a different specification.
    :ivar epoch: epoch of the addressed leader, as in the call.
    :ivar code: stable code of the reason why the job failed, or why the call was not carried out,
        which ``detail`` gives in words; empty if neither has one of its own.
    :ivar ticket: holds the place of a caller that was refused; empty for none.
    """

    number: int
    kind: ReplyKind
    state: str = ""
    waiting: int = 0
    retry_after_s: float = 0.0
    detail: str = ""
    config_version: int = 0
    conflicting: bool = False
    epoch: int = 0
    code: str = ""
    ticket: str = ""


class RefusedCaller(msgspec.Struct, array_like=True, frozen=True):
    """A caller that a follower has refused.

    :ivar due_s: seconds from now after which it was told to return.
    """

    job_id: str
    queue: str
    due_s: float


class Refusals(Message, frozen=True):
    """The callers that a follower has refused, for whom the leader keeps their places."""

    epoch: int
    callers: list[RefusedCaller]


class ConfigRequest(Message, frozen=True):
    """Request to another entry for a configuration that is newer than ``version``."""

    version: int


class ConfigCopy(Message, frozen=True):
    """A copy of the operators' configuration row, for an entry that cannot read it in time.

    :ivar data: the compressed row.
    :ivar digest: hash of the row.
    """

    version: int
    data: bytes
    digest: bytes


AnyNodeMessage = (
    AgentReport
    | LeaderQuery
    | LeaderAnnouncement
    | Orders
    | FollowerHeartbeat
    | LeaderHeartbeat
    | Handover
    | Call
    | Reply
    | Refusals
    | ConfigRequest
    | ConfigCopy
)
