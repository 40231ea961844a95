"""What the product asks of the platform: one ``Protocol`` for each outside edge.

Another binding of the platform is one new module that provides these.  Adapters translate their
transport's errors into the values below and never raise for them.
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

    :ivar version: grows with every write of any row and is never used twice; 0 stands for absent.
    """

    key: str
    version: int
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Condition:
    """The row must still be at ``version`` (0: absent) for the transaction to take effect."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Set the row to ``value``, or delete it where that is ``None``."""

    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Txn:
    """Writes that take effect together, and only if every condition holds."""

    op_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class CommitStatus(StrEnum):
    """How a transaction ended."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    AMBIGUOUS = "ambiguous"


@dataclass(frozen=True, slots=True)
class Commit:
    """The end of a transaction.

    :ivar status: ``REJECTED`` means proven not applied (refused, or over the rate); ``AMBIGUOUS``
        means that the answer was lost and the transaction may yet take effect.
    :ivar version: version of every written row when committed.
    :ivar conflicts: keys whose condition did not hold.
    """

    status: CommitStatus
    version: int = 0
    conflicts: tuple[str, ...] = ()
    detail: str = ""


class Table(Protocol):
    """The platform's transactional table."""

    async def commit(self, txn: Txn) -> Commit:
        """Apply ``txn``."""

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        """Read rows; an absent one comes back with version 0."""

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        """Read up to ``limit`` rows by key order, after ``after`` and with ``prefix``."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, data: bytes) -> Result[None, Failure]:
        """Store ``data`` whole."""

    async def get(self, key: str) -> Result[bytes | None, Failure]:
        """Read an object, or ``None`` where there is none."""


class TaskState(StrEnum):
    """What the worker says of a task."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """What the worker is to run.

    :ivar task_id: the job's key.
    :ivar epoch: epoch of the claim.
    :ivar lease_until: worker-clock second after which the worker stops the task itself.  Absolute,
        so that a start or renewal that was delayed past the lease has no effect.
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
    """One task as the worker reports it.

    :ivar usage: measured use, as of ``usage_age_s`` seconds ago.
    :ivar checkpoint: object key of the checkpoint at which it was stopped, or empty.
    :ivar events: events of a watch so far, newest last (the worker keeps a bounded tail).
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
    """All tasks of a worker, its clock, and the session that may change them."""

    session: int
    clock: float
    tasks: tuple[TaskInfo, ...]


class Worker(Protocol):
    """The platform's worker beside one instance.

    ``open_session`` makes every earlier session invalid: calls under an older one fail.  This is
    what keeps a paused agent, once a newer one runs beside the same worker, from acting.
    """

    async def open_session(self, incarnation: str) -> Result[WorkerView, Failure]:
        """Take the worker over."""

    async def view(self) -> Result[WorkerView, Failure]:
        """List tasks (running and ended, until removed) with usage."""

    async def start(self, session: int, spec: TaskSpec) -> Result[None, Failure]:
        """Start a task; the same task at the same epoch twice starts it once."""

    async def renew(self, session: int, leases: dict[str, float]) -> Result[None, Failure]:
        """Move ``lease_until`` of the tasks named."""

    async def throttle(self, session: int, task_id: str, share: float) -> Result[None, Failure]:
        """Limit the task to ``share`` (0 to 1) of its processors."""

    async def checkpoint_stop(self, session: int, task_id: str) -> Result[str, Failure]:
        """Stop the task at an exact checkpoint and return its object key; idempotent."""

    async def stop(self, session: int, task_id: str) -> Result[None, Failure]:
        """Stop the task where it is; idempotent."""

    async def remove(self, session: int, task_id: str) -> Result[None, Failure]:
        """Forget an ended task; idempotent."""


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class Target(Protocol):
    """The latency-critical back end beside an agent."""

    async def call(
        self, service: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> Result[TargetAnswer, Failure]:
        """Send one request and read the whole answer.

        An ``Err`` with :data:`~sapphirelead.errors.Code.TARGET_FAILED` may have had effects; one
        with :data:`~sapphirelead.errors.Code.NO_INSTANCE` was refused before it was sent.
        """
