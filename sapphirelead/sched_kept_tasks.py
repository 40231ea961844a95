"""Bounds the tasks that a leader keeps in memory, by refusing jobs.

A job may take a share of what is left, so that wide jobs are refused before narrow ones.

Invariant: the count is never below the number of tasks at the last review plus those that the jobs
admitted since have at once.  Later occurrences count from the review after they are due.
"""

import math
from typing import Final

from sapphirelead.sched_job import Job
from sapphirelead.sched_spec import MAX_TASKS, JobSpec

MAX_KEPT_TASKS: Final = 200_000
"""Limit for all jobs together; a task takes some 350 bytes."""

MAX_SHARE: Final = 0.1
"""Largest share of the tasks left that one job may take."""

REVIEW_INTERVAL_S: Final = 5.0


class KeptTasks:
    """Number of tasks in the jobs of one leader."""

    _jobs: dict[str, Job]
    _count: int
    _reviewed_at: float

    def __init__(self, jobs: dict[str, Job]) -> None:
        """Count the tasks of ``jobs``, which change meanwhile."""
        self._jobs = jobs
        self._count = 0
        self._reviewed_at = -math.inf

    def admit(self, spec: JobSpec, at: float) -> bool:
        """Count a new job; return ``False`` if it is to be refused."""
        if at - self._reviewed_at >= REVIEW_INTERVAL_S:
            self._count = sum(map(_kept, self._jobs.values()))
            self._reviewed_at = at
        tasks = sum(step.tasks for step in spec.steps) * _due_at_once(spec)
        tasks = min(tasks, MAX_TASKS)
        if tasks > MAX_SHARE * (MAX_KEPT_TASKS - self._count):
            return False
        self._count += tasks
        return True


def _due_at_once(spec: JobSpec) -> int:
    """Return how many occurrences of a new job may exist at its first review."""
    if spec.occurrences <= 1 or spec.interval_ms <= 0:
        return max(1, spec.occurrences)
    reviewed_ms = spec.accepted_ms + int(REVIEW_INTERVAL_S * 1000)
    due = (reviewed_ms - spec.first_due_ms) // spec.interval_ms + 1
    return min(max(1, due), spec.occurrences)


def _kept(job: Job) -> int:
    return sum(len(tasks) for item in job.occurrences.values() for tasks in item.tasks)
