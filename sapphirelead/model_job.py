"""State machine of a durable job, stored as one row of the platform's table.

Each transition returns the next value of the row or a :class:`~sapphirelead.errors.Failure`.  The
caller commits it with a compare-and-set on the row's version.

Invariants:

- ``epoch`` is incremented by each claim and by nothing else.  A task runs only under a committed
  claim, and a completion is accepted only at the epoch of its claim.
- A ``CLAIMED`` job may have been started.  It is queued again only if its holder reports that it
  was never started or stopped at an exact checkpoint, or if it is idempotent.
- A job in a terminal state never changes state again.

Failures of the task and losses of its holder are counted separately.  A failure is the task's own.
A loss proves nothing: the instance may have crashed, been cut off or been restarted around the
task, or the task may have crashed it.  Each count has its own limit, so that neither hides or uses
up the other.
"""

from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any, Final

from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.model_resources import Resources


class Kind(StrEnum):
    """The kind of a job."""

    SERVICE = "service"
    BATCH = "batch"
    WATCH = "watch"


class JobState(StrEnum):
    """State of a job; those in ``TERMINAL_STATES`` are final."""

    QUEUED = "queued"
    CLAIMED = "claimed"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"
    SET_ASIDE = "set_aside"


TERMINAL_STATES: Final = frozenset(
    {
        JobState.DONE,
        JobState.FAILED,
        JobState.UNKNOWN,
        JobState.CANCELLED,
        JobState.SET_ASIDE,
    }
)
# Bounds how many instances one poison task takes down.
MAX_LOSSES: Final = 5


@dataclass(frozen=True, slots=True)
class Holder:
    """The instance that holds a claim, and the incarnation of its agent."""

    instance: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class JobSpec:
    """The caller's request; immutable after the row is created.

    :ivar key: the caller's idempotency key.
    :ivar deadline_ms: deadline, in milliseconds after acceptance; 0 for none.
    :ivar expected_ms: declared run time, used only as a hint; 0 for none.
    """

    key: str
    kind: Kind
    job_class: str
    team: str
    resources: Resources
    input: Any = None
    idempotent: bool = False
    urgent: bool = False
    deadline_ms: int = 0
    expected_ms: int = 0


@dataclass(frozen=True, slots=True)
class Job:
    """One durable job.

    :ivar checkpoint: object key of the last exact checkpoint, or empty.
    :ivar attempts: claims that ended in a failure of the task.
    :ivar losses: holders lost in a row since the last exact checkpoint.
    :ivar tried: instances on which the task failed or that were lost while they held it.
    :ivar submitted_ms: wall-clock time of acceptance, for display and ordering hints only.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    epoch: int = 0
    holder: Holder | None = None
    checkpoint: str = ""
    attempts: int = 0
    losses: int = 0
    tried: tuple[str, ...] = ()
    result: Any = None
    reason: str = ""
    submitted_ms: int = 0
    cancel_requested: bool = False
    rule: str = ""
    labels: dict[str, str] = field(default_factory=dict)

    @property
    def ended(self) -> bool:
        """Whether the job is in a terminal state."""
        return self.state in TERMINAL_STATES

    def claim(self, holder: Holder) -> "Result[Job, Failure]":
        """Assign the job to ``holder`` and increment the epoch."""
        if self.state is not JobState.QUEUED:
            return self._illegal_transition("claim")
        if self.cancel_requested:
            return self._illegal_transition("claim after cancel")
        return Ok(replace(self, state=JobState.CLAIMED, epoch=self.epoch + 1, holder=holder))

    def adopt(self, holder: Holder, epoch: int) -> "Result[Job, Failure]":
        """Move the claim to a new incarnation of the same instance's agent.

        The epoch does not change, because the task is still running and is not started again.
        """
        if not self._is_claimed_at(epoch) or self.holder is None:
            return self._illegal_transition("adopt")
        if self.holder.instance != holder.instance:
            return self._illegal_transition("adopt by another instance")
        return Ok(replace(self, holder=holder))

    def complete(self, epoch: int, result: Any) -> "Result[Job, Failure]":
        """Record the result of the attempt at ``epoch``."""
        if not self._is_claimed_at(epoch):
            return self._illegal_transition(f"complete at epoch {epoch}")
        return Ok(replace(self, state=JobState.DONE, holder=None, result=result))

    def fail(self, epoch: int, reason: str, max_attempts: int) -> "Result[Job, Failure]":
        """Record that the task failed at ``epoch``.

        An idempotent job is queued again until ``max_attempts``, then set aside.  A non-idempotent
        job fails at once, because the task may have had effects.
        """
        if not self._is_claimed_at(epoch) or self.holder is None:
            return self._illegal_transition(f"fail at epoch {epoch}")
        failed = replace(self._released(reason), attempts=self.attempts + 1)
        if not self.spec.idempotent:
            return Ok(replace(failed, state=JobState.FAILED))
        if failed.attempts >= max_attempts:
            return Ok(replace(failed, state=JobState.SET_ASIDE))
        return Ok(replace(failed, state=JobState.QUEUED))

    def release_unstarted(self, epoch: int, reason: str) -> "Result[Job, Failure]":
        """Requeue or cancel a job whose holder reported that it was never started."""
        if not self._is_claimed_at(epoch):
            return self._illegal_transition(f"release at epoch {epoch}")
        if self.cancel_requested:
            return Ok(replace(self, state=JobState.CANCELLED, holder=None, reason="not_run"))
        return Ok(replace(self, state=JobState.QUEUED, holder=None, reason=reason))

    def checkpointed(self, epoch: int, checkpoint: str) -> "Result[Job, Failure]":
        """Requeue or cancel a job that its holder stopped at an exact checkpoint.

        The task has made progress and its holder has survived it, which ends a series of losses.
        """
        if not self._is_claimed_at(epoch):
            return self._illegal_transition(f"checkpoint at epoch {epoch}")
        if self.cancel_requested:
            return Ok(replace(self, state=JobState.CANCELLED, holder=None, reason="stopped"))
        resumable = replace(self, holder=None, checkpoint=checkpoint, losses=0)
        return Ok(replace(resumable, state=JobState.QUEUED))

    def lose_holder(self, epoch: int, reason: str) -> "Result[Job, Failure]":
        """Record that the holder is fenced, no longer knows the task or stopped it unsaved.

        The task may have had effects since its last exact checkpoint.  A non-idempotent job ends as
        ``UNKNOWN``; an idempotent one is queued again, unless it was cancelled or, for jobs other
        than watches, has reached ``MAX_LOSSES``.
        """
        if not self._is_claimed_at(epoch) or self.holder is None:
            return self._illegal_transition(f"lose holder at epoch {epoch}")
        lost = replace(self._released(reason), losses=self.losses + 1)
        if not self.spec.idempotent:
            return Ok(replace(lost, state=JobState.UNKNOWN))
        if self.cancel_requested:
            return Ok(replace(lost, state=JobState.CANCELLED, reason="unknown"))
        if lost.losses >= MAX_LOSSES and self.spec.kind is not Kind.WATCH:
            text = (
                f"{lost.losses} holders were lost in a row without a checkpoint, "
                f"the last on {self.holder.instance}: {reason}"
            )
            failure = Failure(Code.HOLDERS_LOST, text)
            return Ok(replace(lost, state=JobState.SET_ASIDE, reason=str(failure)))
        return Ok(replace(lost, state=JobState.QUEUED))

    def request_cancel(self) -> "Result[Job, Failure]":
        """Cancel a queued job at once; mark a claimed one for its holder to stop."""
        if self.ended:
            return self._illegal_transition("cancel")
        if self.state is JobState.QUEUED:
            reason = "not_run" if self.epoch == 0 else "stopped"
            return Ok(replace(self, state=JobState.CANCELLED, cancel_requested=True, reason=reason))
        return Ok(replace(self, cancel_requested=True))

    def stopped(self, epoch: int) -> "Result[Job, Failure]":
        """Cancel a job whose holder confirmed that the task was stopped."""
        if not self._is_claimed_at(epoch) or not self.cancel_requested:
            return self._illegal_transition(f"stop at epoch {epoch}")
        return Ok(replace(self, state=JobState.CANCELLED, holder=None, reason="stopped"))

    def set_aside(self, reason: str) -> "Result[Job, Failure]":
        """Set aside a queued job that can never run."""
        if self.state is not JobState.QUEUED:
            return self._illegal_transition("set aside")
        return Ok(replace(self, state=JobState.SET_ASIDE, reason=reason))

    def _is_claimed_at(self, epoch: int) -> bool:
        return self.state is JobState.CLAIMED and self.epoch == epoch

    def _released(self, reason: str) -> "Job":
        """Return the job without its holder, whose instance counts as tried."""
        instance = self.holder.instance if self.holder else ""
        tried = self.tried if instance in self.tried else (*self.tried, instance)
        return replace(self, holder=None, tried=tried, reason=reason)

    def _illegal_transition(self, transition: str) -> "Err[Failure]":
        text = f"job {self.spec.key!r} is {self.state} at epoch {self.epoch}: cannot {transition}"
        return Err(Failure(Code.ILLEGAL_MOVE, text))
