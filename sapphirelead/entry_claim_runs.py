"""Tracks which claims agents report as running, and estimates run times by job class.

A claim is *confirmed* once an incarnation of an agent reports that it runs the claim's epoch.  A
job's run time is the time from its first confirmation to its end; the estimate for its class is an
exponential moving average of these.
"""

from dataclasses import dataclass
from typing import Final

from sapphirelead.clock import now
from sapphirelead.model_job import Job, JobSpec, JobState

RUN_TIME_WEIGHT: Final = 0.2


@dataclass(slots=True)
class _Confirmation:
    """The latest report of an agent's incarnation that it runs a claim.

    :ivar started_at: when the epoch was first confirmed.
    :ivar at: when it was last confirmed.
    """

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
        """Record that an agent's incarnation reports the claim as running."""
        known = self._confirmed.get(key)
        started_at = known.started_at if known is not None and known.epoch == epoch else now()
        self._confirmed[key] = _Confirmation(epoch, incarnation, started_at, now())

    def confirmed_at(self, key: str, epoch: int, incarnation: str) -> float | None:
        """Return when the incarnation last confirmed the claim, or ``None``."""
        known = self._confirmed.get(key)
        if known is None or (known.epoch, known.incarnation) != (epoch, incarnation):
            return None
        return known.at

    def on_transition(self, job: Job) -> None:
        """Drop the confirmation of a claim that ended; update the estimate if the job is done."""
        if job.state is JobState.CLAIMED:
            return
        confirmed = self._confirmed.pop(job.spec.key, None)
        if job.state is not JobState.DONE or confirmed is None:
            return
        run_time = now() - confirmed.started_at
        estimate = self._run_times.get(job.spec.job_class, run_time)
        self._run_times[job.spec.job_class] = estimate + RUN_TIME_WEIGHT * (run_time - estimate)

    def run_time_s(self, spec: JobSpec) -> float:
        """Return the estimated run time of the job's class, or the declared one."""
        return self._run_times.get(spec.job_class, spec.expected_ms / 1000.0)
