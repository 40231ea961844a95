"""What agents said of the claims they run, and the run times learnt from it.

A claim is *confirmed* while a run of an agent has said that it runs the claim's epoch.  From the
first confirmation to the job's end is the job's run time; the class's estimate follows these.
"""

from dataclasses import dataclass
from typing import Final

from sapphirelead.clock import now
from sapphirelead.model_job import Job, JobSpec, JobState

RUN_TIME_WEIGHT: Final = 0.2


@dataclass(slots=True)
class _Confirmation:
    """A run of an agent said that it runs the claim, since ``started_at``."""

    epoch: int
    incarnation: str
    started_at: float
    at: float


class ClaimRuns:
    """Confirmed claims by job key, and run times by job class."""

    _confirmed: dict[str, _Confirmation]
    _run_times: dict[str, float]

    def __init__(self) -> None:
        self._confirmed = {}
        self._run_times = {}

    def confirm(self, key: str, epoch: int, incarnation: str) -> None:
        """Note that a run of an agent says it runs the claim."""
        held = self._confirmed.get(key)
        started_at = held.started_at if held is not None and held.epoch == epoch else now()
        self._confirmed[key] = _Confirmation(epoch, incarnation, started_at, now())

    def confirmed_at(self, key: str, epoch: int, incarnation: str) -> float | None:
        """Return when the run last said that it runs the claim."""
        held = self._confirmed.get(key)
        if held is None or (held.epoch, held.incarnation) != (epoch, incarnation):
            return None
        return held.at

    def moved(self, job: Job) -> None:
        """Forget a claim that ended, and learn from it where the job is done."""
        if job.state is JobState.CLAIMED:
            return
        confirmed = self._confirmed.pop(job.spec.key, None)
        if job.state is not JobState.DONE or confirmed is None:
            return
        took = now() - confirmed.started_at
        before = self._run_times.get(job.spec.job_class, took)
        self._run_times[job.spec.job_class] = before + RUN_TIME_WEIGHT * (took - before)

    def run_time_s(self, spec: JobSpec) -> float:
        """Return the class's learnt run time, or the declared one, which is often far off."""
        return self._run_times.get(spec.job_class, spec.expected_ms / 1000.0)
