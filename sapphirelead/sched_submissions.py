"""Accepts jobs, and answers their callers once they are stored."""

from collections.abc import Callable

from sapphirelead.logs import log_event
from sapphirelead.node_messages import ReplyKind
from sapphirelead.sched_batch import PendingChanges
from sapphirelead.sched_fleet import Fleet
from sapphirelead.sched_job import Job, JobState
from sapphirelead.sched_spec import JobSpec

Answer = Callable[[ReplyKind, str], None]
"""Replies to a call, with the job's state or a reason."""


class Submissions:
    """Accepted jobs that are not stored yet, with those who wait for an answer."""

    _jobs: dict[str, Job]
    _open_jobs: dict[str, Job]
    _visible_states: dict[str, JobState]
    _fleet: Fleet
    _pending: PendingChanges
    _answers: dict[str, list[Answer]]

    def __init__(
        self,
        jobs: dict[str, Job],
        open_jobs: dict[str, Job],
        visible_states: dict[str, JobState],
        fleet: Fleet,
        pending: PendingChanges,
    ) -> None:
        """Add accepted jobs to the scheduler's."""
        self._jobs = jobs
        self._open_jobs = open_jobs
        self._visible_states = visible_states
        self._fleet = fleet
        self._pending = pending
        self._answers = {}

    def submit(self, spec: JobSpec, answer: Answer) -> None:
        """Accept a job; a repeated submission is answered together with the first."""
        known = self._jobs.get(spec.job_id)
        if known is None:
            job = self._jobs[spec.job_id] = self._open_jobs[spec.job_id] = Job.accept(spec)
            self._answers[spec.job_id] = [answer]
            self._pending.add(spec.job_id)
            self._pending.effects.append(lambda: self._acceptance_stored(job))
            return
        if spec.job_id in self._answers:
            self._answers[spec.job_id].append(answer)
            return
        answer(ReplyKind.OK, self._visible_states[spec.job_id])

    def _acceptance_stored(self, job: Job) -> None:
        """Answer the callers of a job that has been stored.

        Ignores the effect of a submission that was withdrawn: a repeat under the same id is not
        stored yet, so acknowledging it could lose the job when the leader changes.
        """
        spec = job.spec
        if self._jobs.get(spec.job_id) is not job:
            return
        self._visible_states[spec.job_id] = JobState.QUEUED
        for answer in self._answers.pop(spec.job_id, []):
            answer(ReplyKind.OK, JobState.QUEUED)
        log_event("INFO", "job_accepted", job=spec.job_id, queue=spec.queue, steps=len(spec.steps))

    def withdraw(self, job_id: str) -> bool:
        """Drop a submission; return ``False`` if its write has already been sent."""
        if not self._pending.is_new(job_id):
            return False
        job = self._jobs.pop(job_id)
        self._open_jobs.pop(job_id, None)
        for ref, claim in job.claims():
            run = self._fleet.runs.get((ref, claim.attempt))
            if run is not None:
                self._fleet.drop(run)
        self._pending.withdraw(job_id)
        self._visible_states.pop(job_id, None)
        for answer in self._answers.pop(job_id, []):
            answer(ReplyKind.NOT_RUN, "the store does not answer")
        return True
