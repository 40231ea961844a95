"""What an agent knows of the tasks on its instance.  No I/O.

Invariants:

- One record for each key; its epoch is the highest that this agent ever accepted for that key.
- A claim at an epoch that is not higher than the highest one known is never started.  That holds
  too for a claim of which the agent once said that it was never started: saying so leaves a mark
  here, and a start that arrives late is refused by it.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

from sapphirelead.model_job import Kind
from sapphirelead.model_resources import Resources

MAX_CLAIM_RECORDS: Final = 20_000


class Phase(StrEnum):
    """Where a task is on this instance."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class Fate(StrEnum):
    """Answers to the question what became of a claim."""

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    NEVER_STARTED = "never_started"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """How a task ended.

    :ivar fate: ``COMPLETED``, ``FAILED`` or ``STOPPED``.
    :ivar checkpoint: object key of an exact checkpoint, or empty.
    """

    fate: Fate
    result: Any = None
    reason: str = ""
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Why a task is to stop, and whether its progress is wanted."""

    cancel: bool
    reason: str


@dataclass(slots=True)
class Task:
    """One task.

    :ivar confirmed: whether the committed claim names this incarnation; an adopted task is not
        renewed before that.
    :ivar since: loop time at which the worker was last known to have it, or of adoption.
    :ivar order: a stop that came before the start was over.
    :ivar events_sent: number of the last event that was forwarded.
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
    def fate(self) -> Fate:
        """The answer to a question about this task."""
        return self.outcome.fate if self.outcome else Fate.RUNNING


@dataclass(frozen=True, slots=True)
class _ClaimRecord:
    epoch: int
    started: bool


class TaskTable:
    """Records of tasks, and marks of claims that must not start any more."""

    tasks: dict[str, Task]
    _claims: OrderedDict[str, _ClaimRecord]

    def __init__(self) -> None:
        self.tasks = {}
        self._claims = OrderedDict()

    def get(self, key: str, epoch: int) -> Task | None:
        """Return the record of ``key`` if it is of ``epoch``."""
        task = self.tasks.get(key)
        return task if task and task.epoch == epoch else None

    def in_phase(self, *phases: Phase) -> list[Task]:
        """Return tasks that are in one of ``phases``."""
        return [task for task in self.tasks.values() if task.phase in phases]

    def may_start(self, key: str, epoch: int) -> bool:
        """Return whether ``epoch`` is higher than any known of ``key``."""
        claim = self._claims.get(key)
        return claim is None or epoch > claim.epoch

    def add(self, task: Task) -> None:
        """Record a task; its epoch must be higher than any known of the key."""
        assert self.may_start(task.key, task.epoch), f"stale epoch {task.epoch} of {task.key!r}"
        assert task.key not in self.tasks, f"task {task.key!r} is recorded already"
        self.tasks[task.key] = task
        self._record_claim(task.key, _ClaimRecord(task.epoch, True))

    def drop_unstarted(self, task: Task) -> None:
        """Forget a task that was proven never to have started; its epoch stays marked."""
        self.tasks.pop(task.key, None)
        self._record_claim(task.key, _ClaimRecord(task.epoch, False))

    def forget(self, task: Task) -> None:
        """Forget a task whose end is committed; its epoch stays marked."""
        self.tasks.pop(task.key, None)

    def refuse(self, key: str, epoch: int) -> None:
        """See to it that a claim that is not known here is never started."""
        if self.may_start(key, epoch):
            self._record_claim(key, _ClaimRecord(epoch, False))

    def clear(self) -> list[Task]:
        """Forget all tasks and return them; marks stay."""
        tasks = list(self.tasks.values())
        self.tasks.clear()
        return tasks

    def fate(self, key: str, epoch: int, claimed_here: bool) -> Fate:
        """Say what became of a claim, and see to it that the answer stays true.

        :param claimed_here: whether the claim names the present incarnation.
        """
        task = self.get(key, epoch)
        if task:
            return task.fate
        claim = self._claims.get(key)
        known_started = claim is not None and claim.epoch == epoch and claim.started
        later = claim is not None and claim.epoch > epoch
        if known_started or later or not claimed_here:
            return Fate.LOST
        self.refuse(key, epoch)
        return Fate.NEVER_STARTED

    def _record_claim(self, key: str, claim: _ClaimRecord) -> None:
        self._claims[key] = claim
        self._claims.move_to_end(key)
        while len(self._claims) > MAX_CLAIM_RECORDS:
            self._claims.popitem(last=False)
