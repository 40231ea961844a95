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
        cause = requeue_cause(before, after)
        if cause is not None:
            self._metrics.count("jobs_requeued_total", job_class=spec.job_class, cause=cause.value)


def requeue_cause(before: Job, after: Job) -> Requeue | None:
    """Return why a transition queued a claimed job again, ``None`` if it did not."""
    if before.state is not JobState.CLAIMED or after.state is not JobState.QUEUED:
        return None
    if after.attempts > before.attempts:
        return Requeue.ATTEMPT_FAILED
    if after.losses > before.losses:
        return Requeue.HOLDER_LOST
    if after.checkpoint != before.checkpoint:
        return Requeue.CHECKPOINTED
    return Requeue.NOT_STARTED
