"""Table of the tasks on an agent's instance.  Does no I/O.

Invariants: there is at most one task per key, with the highest epoch that this agent accepted for
the key.  A claim is started only if its epoch is higher than any known for its key.  Reporting a
claim as never started records its epoch, so that a delayed start is refused.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from sapphirelead.model_job import Kind
from sapphirelead.model_resources import Resources

MAX_CLAIM_RECORDS: Final = 20_000


class Phase(StrEnum):
    """Lifecycle phase of a task on this instance."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class ClaimOutcome(StrEnum):
    """Outcome of a claim, as reported to the entries."""

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    NEVER_STARTED = "never_started"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """Outcome of an ended task.

    :ivar claim_outcome: ``COMPLETED``, ``FAILED`` or ``STOPPED``.
    :ivar checkpoint: object key of the checkpoint, or an empty string.
    """

    claim_outcome: ClaimOutcome
    result: Any = None
    reason: str = ""
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Request to stop a task.

    :ivar cancel: whether the task is stopped without a checkpoint.
    """

    cancel: bool
    reason: str


@dataclass(slots=True)
class Task:
    """One task.

    :ivar confirmed: whether the committed claim names this incarnation; the lease of an unconfirmed
        task is not renewed.
    :ivar since: loop time at which the task was accepted, started or adopted.
    :ivar order: the pending stop order; one received while the task starts is executed afterwards.
    :ivar reported_at: loop time of the last report of the outcome.
    :ivar events_sent: number of the last watch event that was forwarded.
    """

    key: str
    epoch: int
    kind: Kind
    job_class: str
    resources: Resources
    phase: Phase
    confirmed: bool
    since: float
    order: StopOrder | None = None
    outcome: TaskOutcome | None = None
    reported_at: float = float("-inf")
    events_sent: int = 0
    throttle: float = 1.0
    offer_id: str = ""
    input: Any = None
    checkpoint: str = ""
    rule: str = ""

    @property
    def claim_outcome(self) -> ClaimOutcome:
        """The outcome of this task, ``RUNNING`` if it has none yet."""
        return self.outcome.claim_outcome if self.outcome else ClaimOutcome.RUNNING


@dataclass(frozen=True, slots=True)
class _ClaimRecord:
    epoch: int
    started: bool


class TaskTable:
    """Tasks by key, and the highest epoch of each claim that must not be started again."""

    tasks: dict[str, Task]
    _claims: OrderedDict[str, _ClaimRecord]

    def __init__(self) -> None:
        self.tasks = {}
        self._claims = OrderedDict()

    def get(self, key: str, epoch: int) -> Task | None:
        """Return the task of ``key`` if its epoch is ``epoch``."""
        task = self.tasks.get(key)
        return task if task and task.epoch == epoch else None

    def in_phase(self, *phases: Phase) -> list[Task]:
        """Return the tasks that are in one of ``phases``."""
        return [task for task in self.tasks.values() if task.phase in phases]

    def may_start(self, key: str, epoch: int) -> bool:
        """Return whether ``epoch`` is higher than any known epoch of ``key``."""
        claim = self._claims.get(key)
        return claim is None or epoch > claim.epoch

    def add(self, task: Task) -> None:
        """Add a task; its epoch must be higher than any known epoch of its key."""
        assert self.may_start(task.key, task.epoch), f"stale epoch {task.epoch} of {task.key!r}"
        assert task.key not in self.tasks, f"task {task.key!r} is recorded already"
        self.tasks[task.key] = task
        self._record_claim(task.key, _ClaimRecord(task.epoch, True))

    def drop_unstarted(self, task: Task) -> None:
        """Remove a task that has certainly not started; its epoch stays recorded."""
        self.tasks.pop(task.key, None)
        self._record_claim(task.key, _ClaimRecord(task.epoch, False))

    def forget(self, task: Task) -> None:
        """Remove a task whose outcome is committed; its epoch stays recorded."""
        self.tasks.pop(task.key, None)

    def refuse(self, key: str, epoch: int) -> None:
        """Record the epoch of an unknown claim so that it is never started."""
        if self.may_start(key, epoch):
            self._record_claim(key, _ClaimRecord(epoch, False))

    def clear(self) -> list[Task]:
        """Remove and return all tasks; recorded epochs are kept."""
        tasks = list(self.tasks.values())
        self.tasks.clear()
        return tasks

    def claim_outcome(self, key: str, epoch: int, claimed_here: bool) -> ClaimOutcome:
        """Return the outcome of a claim; a claim reported as never started is refused from then on.

        :param claimed_here: whether the claim names the current incarnation.
        """
        task = self.get(key, epoch)
        if task:
            return task.claim_outcome
        claim = self._claims.get(key)
        known_started = claim is not None and claim.epoch == epoch and claim.started
        later = claim is not None and claim.epoch > epoch
        if known_started or later or not claimed_here:
            return ClaimOutcome.LOST
        self.refuse(key, epoch)
        return ClaimOutcome.NEVER_STARTED

    def _record_claim(self, key: str, claim: _ClaimRecord) -> None:
        self._claims[key] = claim
        self._claims.move_to_end(key)
        while len(self._claims) > MAX_CLAIM_RECORDS:
            self._claims.popitem(last=False)
