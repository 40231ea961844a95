"""Changes of jobs that wait to be stored, and what happens once they are."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from sapphirelead.sched_job import Job, JobDelta
from sapphirelead.sched_spec import JobSpec


@dataclass(slots=True)
class Batch:
    """Changes to store, and the effects to run once they are stored.

    :ivar specs: new jobs.
    :ivar removed: ids of jobs to delete.
    """

    specs: list[JobSpec]
    deltas: list[JobDelta]
    removed: list[str]
    effects: list[Callable[[], None]]


class PendingChanges:
    """What the next batch will hold.

    :ivar effects: callbacks to run once the batch is stored.
    """

    effects: list[Callable[[], None]]
    _changed: dict[str, None]
    _unstored: set[str]
    _removed: set[str]

    def __init__(self) -> None:
        self.effects = []
        self._changed = {}
        self._unstored = set()
        self._removed = set()

    def __bool__(self) -> bool:
        """Whether changes or effects are pending."""
        return bool(self._changed or self.effects or self._removed)

    def add(self, job_id: str) -> None:
        """Record a new job."""
        self._unstored.add(job_id)
        self._changed[job_id] = None

    def mark(self, job_id: str) -> None:
        """Record that a job has changed."""
        self._changed[job_id] = None

    def is_new(self, job_id: str) -> bool:
        """Return whether a job is new and not part of a batch yet."""
        return job_id in self._unstored

    def withdraw(self, job_id: str) -> None:
        """Forget a new job."""
        self._unstored.discard(job_id)
        self._changed.pop(job_id, None)

    def remove(self, job_id: str) -> None:
        """Record that a stored job is to be deleted."""
        self._changed.pop(job_id, None)
        self._removed.add(job_id)

    def changed(self, jobs: Mapping[str, Job]) -> Iterator[Job]:
        """Yield the known jobs that have changed."""
        for job_id in self._changed:
            job = jobs.get(job_id)
            if job is not None:
                yield job

    def take(self, jobs: Mapping[str, Job]) -> Batch:
        """Return all pending changes and effects, and reset them."""
        batch = Batch([], [], sorted(self._removed), self.effects)
        for job in self.changed(jobs):
            if self.is_new(job.spec.job_id):
                batch.specs.append(job.spec)
            batch.deltas.append(job.take_delta())
        self._changed = {}
        self._unstored = set()
        self._removed = set()
        self.effects = []
        return batch
