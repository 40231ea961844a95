"""Metrics of durable jobs, counted where their rows move.

A move is counted by the entry that committed it, so that the sum over all entries counts each move
once, whichever entry a report reached and however often it was repeated.
"""

from enum import StrEnum

from sapphirelead.metrics import Metrics
from sapphirelead.model_job import Job, JobState


class Requeue(StrEnum):
    """Why a claimed job was queued again."""

    CHECKPOINTED = "checkpointed"
    ATTEMPT_FAILED = "attempt_failed"
    NOT_STARTED = "not_started"


class JobMeter:
    """Counts committed moves of jobs."""

    _metrics: Metrics

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def count_transition(self, before: Job, after: Job) -> None:
        """Count one committed move."""
        spec = after.spec
        if after.epoch > before.epoch:
            self._metrics.count("jobs_claimed_total", kind=spec.kind.value)
        if after.ended and not before.ended:
            state = after.state.value
            self._metrics.count(
                "jobs_ended_total", kind=spec.kind.value, job_class=spec.job_class, state=state
            )
        cause = requeue_cause(before, after)
        if cause is not None:
            self._metrics.count("jobs_requeued_total", job_class=spec.job_class, cause=cause.value)


def requeue_cause(before: Job, after: Job) -> Requeue | None:
    """Return why a move queued a claimed job again, ``None`` where it did not."""
    if before.state is not JobState.CLAIMED or after.state is not JobState.QUEUED:
        return None
    if after.attempts > before.attempts:
        return Requeue.ATTEMPT_FAILED
    if after.checkpoint != before.checkpoint:
        return Requeue.CHECKPOINTED
    return Requeue.NOT_STARTED
