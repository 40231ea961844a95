"""Protocols of the platform's services: table, object store, worker and target.

Adapters implement these protocols and return transport errors as the values below instead of
raising them.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from result import Result

from sapphirelead.errors import Failure
from sapphirelead.model_resources import Resources


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    :ivar version: increases with every write of any row and is never reused; 0 means absent.
    :ivar read_ms: when it was read, on the store's monotonic clock; 0 if unknown.
    """

    key: str
    version: int
    value: dict[str, Any] | None
    read_ms: int = 0


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires that the row is at ``version`` (0: absent) when the transaction is applied."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets the row to ``value``, or deletes it if that is ``None``."""

    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Txn:
    """Writes that are applied atomically, and only if every condition holds."""

    op_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class CommitStatus(StrEnum):
    """Outcome of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    AMBIGUOUS = "ambiguous"


@dataclass(frozen=True, slots=True)
class Commit:
    """Result of a commit.

    :ivar status: ``REJECTED`` means that the transaction was not applied (refused, or over the rate
        limit); ``AMBIGUOUS`` means that the response was lost and it may still be applied.
    :ivar version: version of all written rows if committed.
    :ivar conflicts: keys whose condition did not hold.
    :ivar store_ms: when it was applied, on the store's monotonic clock; 0 if unknown.
    """

    status: CommitStatus
    version: int = 0
    conflicts: tuple[str, ...] = ()
    detail: str = ""
    store_ms: int = 0


class Table(Protocol):
    """The platform's transactional table."""

    async def commit(self, txn: Txn) -> Commit:
        """Apply ``txn``."""

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        """Read rows; an absent row is returned with version 0."""

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        """Read up to ``limit`` rows in key order, after ``after`` and with ``prefix``."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, data: bytes) -> Result[None, Failure]:
        """Store ``data`` under ``key``."""

    async def get(self, key: str) -> Result[bytes | None, Failure]:
        """Return the object, or ``None`` if it does not exist."""


class TaskState(StrEnum):
    """State of a task as reported by the worker."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task to be started by the worker.

    :ivar task_id: the job's key.
    :ivar epoch: epoch of the claim.
    :ivar lease_until: worker-clock time in seconds at which the worker stops the task itself.  It
        is absolute, so that a start or renewal delayed past the lease has no effect.
    """

    task_id: str
    epoch: int
    kind: str
    job_class: str
    resources: Resources
    input: Any
    checkpoint: str
    lease_until: float


@dataclass(frozen=True, slots=True)
class TaskInfo:
    """A task as reported by the worker.

    :ivar usage: resource usage, measured ``usage_age_s`` seconds ago.
    :ivar checkpoint: object key of the checkpoint at which the task was stopped, or empty.
    :ivar events: most recent events of a watch, newest last; the worker keeps a bounded number.
    """

    task_id: str
    epoch: int
    state: TaskState
    kind: str
    job_class: str
    resources: Resources
    usage: Resources = field(default_factory=Resources)
    usage_age_s: float = 0.0
    throttle: float = 1.0
    checkpoint: str = ""
    result: Any = None
    reason: str = ""
    first_event: int = 1
    events: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerView:
    """All tasks of a worker, its clock, and the current session."""

    session: int
    clock: float
    tasks: tuple[TaskInfo, ...]


class Worker(Protocol):
    """The platform's worker beside one instance.

    ``open_session`` invalidates all earlier sessions, and calls with an older session fail.  This
    fences an agent that resumes after a newer one has taken over its worker.
    """

    async def open_session(self, incarnation: str) -> Result[WorkerView, Failure]:
        """Open a new session, which invalidates all earlier ones."""

    async def view(self) -> Result[WorkerView, Failure]:
        """Return running and ended tasks, until they are removed, with their usage."""

    async def start(self, session: int, spec: TaskSpec) -> Result[None, Failure]:
        """Start a task; idempotent for the same task and epoch."""

    async def renew(self, session: int, leases: dict[str, float]) -> Result[None, Failure]:
        """Set ``lease_until`` of each task in ``leases``."""

    async def throttle(self, session: int, task_id: str, share: float) -> Result[None, Failure]:
        """Limit the task to ``share`` (0 to 1) of its CPU."""

    async def checkpoint_stop(self, session: int, task_id: str) -> Result[str, Failure]:
        """Stop the task at an exact checkpoint and return its object key; idempotent."""

    async def stop(self, session: int, task_id: str) -> Result[None, Failure]:
        """Stop the task without a checkpoint; idempotent."""

    async def remove(self, session: int, task_id: str) -> Result[None, Failure]:
        """Remove an ended task from the worker's list; idempotent."""


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A complete response of a target."""

    status: int
    headers: dict[str, str]
    body: bytes


class Target(Protocol):
    """The latency-critical back end beside an agent."""

    async def call(
        self, service: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> Result[TargetAnswer, Failure]:
        """Send one request and read the complete response.

        An ``Err`` with :data:`~sapphirelead.errors.Code.TARGET_FAILED` may have had effects; one
        with :data:`~sapphirelead.errors.Code.NO_INSTANCE` was not sent.
        """
