"""Metrics of state transitions of durable jobs.

A transition is counted only by the entry that commits it, so the sum over all entries counts each
one once, even if reports are repeated or reach several entries.
"""

from enum import StrEnum

from sapphirelead.metrics import Metrics
from sapphirelead.model_job import Job, JobState


class Requeue(StrEnum):
    """Reason why a claimed job was queued again."""

    CHECKPOINTED = "checkpointed"
    ATTEMPT_FAILED = "attempt_failed"
    HOLDER_LOST = "holder_lost"
    NOT_STARTED = "not_started"


class AttemptFailure(StrEnum):
    """How an attempt ended without a result and without a checkpoint."""

    TASK_FAILED = "task_failed"
    HOLDER_LOST = "holder_lost"


class JobMeter:
    """Counts committed state transitions of jobs."""

    _metrics: Metrics

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def count_transition(self, before: Job, after: Job) -> None:
        """Count one committed transition."""
        spec = after.spec
        if after.epoch > before.epoch:
            self._metrics.count("jobs_claimed_total", kind=spec.kind.value)
        if after.ended and not before.ended:
            state = after.state.value
            self._metrics.count(
                "jobs_ended_total", kind=spec.kind.value, job_class=spec.job_class, state=state
            )
        failure = attempt_failure(before, after)
        if failure is not None:
            self._metrics.count(
                "job_attempts_failed_total", job_class=spec.job_class, cause=failure.value
            )
        cause = requeue_cause(before, after)
        if cause is not None:
            self._metrics.count("jobs_requeued_total", job_class=spec.job_class, cause=cause.value)


def attempt_failure(before: Job, after: Job) -> AttemptFailure | None:
    """Return how a transition failed an attempt, ``None`` if it did not."""
    if after.attempts > before.attempts:
        return AttemptFailure.TASK_FAILED
    return AttemptFailure.HOLDER_LOST if after.losses > before.losses else None


def requeue_cause(before: Job, after: Job) -> Requeue | None:
    """Return why a transition queued a claimed job again, ``None`` if it did not."""
    if before.state is not JobState.CLAIMED or after.state is not JobState.QUEUED:
        return None
    match attempt_failure(before, after):
        case AttemptFailure.TASK_FAILED:
            return Requeue.ATTEMPT_FAILED
        case AttemptFailure.HOLDER_LOST:
            return Requeue.HOLDER_LOST
    if after.checkpoint != before.checkpoint:
        return Requeue.CHECKPOINTED
    return Requeue.NOT_STARTED
