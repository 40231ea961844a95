"""Keeps tasks under which workers have crashed apart from others until they prove harmless.

Answers the poison task, or query of death: a task that crashes each worker that starts it, and with
it the runs beside it.  A crash alone does not tell which of the runs caused it.  So a task is
suspected once several workers in a row have crashed under it: it is tried on a worker without other
runs, or else where the least is at stake, and nothing joins it there until the run has been
observed for :data:`PROBATION_S`.  It either crashes that worker, which soon gives it up
(:mod:`sapphirelead.blame`), or ends well.

A crash during a probation is attributed to the suspect alone if the runs beside it have been
observed for as long without a crash.  Other crashes count for every run on the worker.

Invariants:

- No task is placed on a worker while an isolated run is there, except members of the same gang,
  and except tasks that must not wait any longer, one at a time.
- Where the next crash may give a task up, only such tasks join its isolated run, and it joins only
  runs that have been observed for :data:`PROBATION_S`, once overdue for :data:`MIN_JOINED_S`; a
  worker is reserved for it if there is none (:mod:`sapphirelead.sched_reservations`).
- A suspect waits for an empty worker for :data:`PATIENCE_S` at most.
- A run stays isolated only while its task is suspected.
- A task that crashes its workers within :data:`PROBATION_S` is counted each time.
- Only tasks with crashes are visited, so nothing is added to planning while there are none.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final

from sapphirelead.blame.counts import (
    MAX_CRASHES,
    SUSPECT_CRASHES,
    SUSPECT_WINDOW_S,
    CrashEvidence,
    is_near_limit,
)
from sapphirelead.blame.evidence import MIN_JOINED_S, PROBATION_S, is_same_gang
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_eligibility import PlacementRequest, has_room
from sapphirelead.sched_fleet import Fleet, Instance, Run
from sapphirelead.sched_job import EndEffect, Job
from sapphirelead.sched_place import score
from sapphirelead.sched_task import StepKey, TaskRef

PATIENCE_S: Final = 1.0
"""Time for which a suspect waits for an empty worker before it joins other runs."""

MAX_LOGGED_SUSPECTS: Final = 5


class Quarantine:
    """Tasks under which workers have crashed, by the count that is stored with each.

    Each report of an agent asks for the tasks that are blamed for the crash of its worker, so the
    crashed workers of each task are kept at hand.
    """

    _metrics: Metrics
    _crashes: dict[TaskRef, int]
    _workers: dict[TaskRef, frozenset[WorkerLife]]
    _suspects: dict[StepKey, set[int]]
    _acquitted: dict[TaskRef, None]
    _near_limit: set[TaskRef]

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._crashes = {}
        self._workers = {}
        self._suspects = {}
        # No longer suspected since the last review; their runs may still be isolated.
        self._acquitted = {}
        self._near_limit = set()

    def load(self, job: Job) -> None:
        """Add the tasks of a stored job."""
        for ref in job.crashed_tasks():
            self.update(job, ref)

    def update(self, job: Job, ref: TaskRef) -> None:
        """Take over the count of a task and of the members of its gang, after a change."""
        in_progress = job.open and job.task(ref) is not None
        workers = job.crashed_workers(ref) if in_progress else frozenset()
        for member in job.members(ref):
            task = job.task(member)
            crashes = task.crashes if task is not None and in_progress else 0
            excused = task.excused if task is not None else 0
            self._set(member, crashes, workers, is_near_limit(crashes, excused))

    def run_ended(self, job: Job, run: Run, effect: EndEffect) -> None:
        """Take over the count after the end of a run, and log what it means for the task."""
        before = self._crashes.get(run.ref, 0)
        self.update(job, run.ref)
        task = job.task(run.ref)
        crashes = task.crashes if task is not None else 0
        if effect is EndEffect.JOB_FAILED and crashes > before:
            self._metrics.count("tasks_given_up_total")
            event = "task_given_up"
        elif crashes > before and crashes >= SUSPECT_CRASHES:
            event = "task_suspected"
        else:
            self._log_if_cleared(run.ref, before, crashes)
            return
        log_event(
            "WARNING",
            event,
            task=run.ref.text(),
            crashes=crashes,
            excused=task.excused if task is not None else 0,
            isolated=run.isolated,
            observed_s=run.watch.alive_s,
            agent=run.agent,
            worker=run.worker,
        )

    def excuse(self, job: Job, ref: TaskRef, workers: frozenset[WorkerLife]) -> bool:
        """Take back the crashes of ``workers``, which another task has caused.

        :return: whether any of them counted for the task.
        """
        return self._taken_back(job, ref, job.excuse_crashes(ref, workers))

    def disprove(self, job: Job, ref: TaskRef, workers: frozenset[WorkerLife]) -> bool:
        """Take back the crashes of ``workers``, which are alive.

        :return: whether any of them counted for the task.
        """
        return self._taken_back(job, ref, job.take_back_crashes(ref, workers))

    def _taken_back(self, job: Job, ref: TaskRef, crashes: int) -> bool:
        before = self._crashes.get(ref, 0)
        if crashes:
            self.update(job, ref)
            self._log_if_cleared(ref, before, self._crashes.get(ref, 0))
        return crashes > 0

    def clear(self, job: Job, ref: TaskRef) -> None:
        """Reset the count of a task that has run for long."""
        before = self._crashes.get(ref, 0)
        job.clear_crashes(ref)
        self.update(job, ref)
        self._log_if_cleared(ref, before, 0)

    @staticmethod
    def _log_if_cleared(ref: TaskRef, before: int, crashes: int) -> None:
        """Log that a task is no longer suspected, if its count has fallen so far."""
        if before >= SUSPECT_CRASHES > crashes:
            log_event("INFO", "task_cleared", task=ref.text(), crashes=before)

    def worker_crashed(
        self, agent: str, worker: WorkerLife, ended: Sequence[tuple[Run, CrashEvidence]]
    ) -> None:
        """Log and count the crash of a worker with its runs."""
        self._metrics.count("workers_crashed_total")
        counted = [run.ref for run, evidence in ended if evidence.counts]
        # A task that has been given up is no longer kept here.
        counted.sort(key=lambda ref: self._crashes.get(ref, MAX_CRASHES), reverse=True)
        suspects = [ref.text() for ref in counted]
        log_event(
            "WARNING",
            "worker_crashed",
            agent=agent,
            worker=worker,
            runs=len(ended),
            isolated=sum(run.isolated for run, _ in ended),
            counted=len(suspects),
            suspects=",".join(suspects[:MAX_LOGGED_SUSPECTS]) or "-",
        )

    def _set(
        self,
        ref: TaskRef,
        crashes: int,
        workers: frozenset[WorkerLife] = frozenset(),
        near_limit: bool = False,
    ) -> None:
        (self._near_limit.add if near_limit else self._near_limit.discard)(ref)
        if crashes:
            self._crashes[ref] = crashes
            self._workers[ref] = workers
        else:
            self._crashes.pop(ref, None)
            self._workers.pop(ref, None)
        numbers = self._suspects.setdefault(ref[:3], set())
        if crashes >= SUSPECT_CRASHES or near_limit:
            numbers.add(ref.number)
        else:
            if ref.number in numbers:
                self._acquitted[ref] = None
            numbers.discard(ref.number)
            if not numbers:
                del self._suspects[ref[:3]]

    def __contains__(self, ref: TaskRef) -> bool:
        """Return whether a worker has crashed under the task since it was last cleared."""
        return ref in self._crashes

    def is_suspect(self, ref: TaskRef) -> bool:
        """Return whether the task has to run apart from others."""
        return ref.number in self._suspects.get(ref[:3], ())

    def may_join(self, ref: TaskRef, instance: Instance, overdue: bool = False) -> bool:
        """Return whether a suspect may run beside the runs of a worker.

        If the next crash may give it up, it must tell that the suspect has caused it.

        :param overdue: whether the suspect must not wait any longer.
        """
        if instance.isolated and not instance.joinable:
            return False
        if ref not in self._near_limit:
            return True
        min_observed_s = MIN_JOINED_S if overdue else PROBATION_S
        return (overdue or not instance.isolated) and all(
            run.watch.alive_s >= min_observed_s or is_same_gang(run, ref)
            for run in instance.runs.values()
        )

    def mark(self, run: Run) -> None:
        """Note on a run that is not placed yet whether it has to be apart from others."""
        run.isolated = self.is_suspect(run.ref)
        run.near_limit = self.is_near_limit(run.ref)

    def is_near_limit(self, ref: TaskRef) -> bool:
        """Return whether the next crash may give a task up."""
        return ref in self._near_limit

    def suspects_of(self, step: StepKey) -> set[int]:
        """Return the numbers of the step's suspected tasks."""
        return self._suspects.get(step, set())

    def crashed_on(self, workers: frozenset[WorkerLife]) -> list[TaskRef]:
        """Return the tasks under which one of ``workers`` has crashed."""
        return [ref for ref, known in self._workers.items() if not known.isdisjoint(workers)]

    def has_crashed_alone(self, job: Job, ref: TaskRef) -> bool:
        """Return whether a worker has crashed that only this task or its gang can have crashed."""
        members = job.members(ref)
        others = [workers for other, workers in self._workers.items() if other not in members]
        return bool(job.crashed_workers(ref).difference(*others))

    def blame_order(self, found: Iterable[tuple[Run, CrashEvidence]]) -> list[Run]:
        """Return the runs of crashed workers, those most likely to have caused it first."""
        return [
            run
            for run, _ in sorted(
                found,
                key=lambda item: (
                    item[1] is not CrashEvidence.CRASH_ALONE,
                    -self._crashes.get(item[0].ref, 0),
                    item[0].watch.alive_s,
                    -item[0].claimed_at,
                ),
            )
        ]

    @property
    def suspects(self) -> Iterator[TaskRef]:
        """All suspected tasks."""
        return (
            TaskRef(*step, number) for step, numbers in self._suspects.items() for number in numbers
        )

    def review(self, jobs: Mapping[str, Job], fleet: Fleet) -> list[TaskRef]:
        """End the isolation of runs that no longer need it; return the tasks that are cleared.

        A run needs it until its probation is over, unless its task is no longer suspected because
        another one has caused the crashes, or because the workers are alive.
        """
        self._end_isolation_of_acquitted(jobs, fleet)
        cleared = []
        for ref in list(self._crashes):
            job = jobs.get(ref.job_id)
            if job is None or not job.open:
                self._set(ref, 0)
                continue
            runs = fleet.runs_of(ref)
            for run in runs:
                if run.isolated and run.watch.alive_s >= PROBATION_S:
                    fleet.instance(run.agent).end_isolation(run)
            if any(run.watch.alive_s > SUSPECT_WINDOW_S for run in runs):
                cleared.append(ref)
        return cleared

    def _end_isolation_of_acquitted(self, jobs: Mapping[str, Job], fleet: Fleet) -> None:
        acquitted, self._acquitted = self._acquitted, {}
        for ref in acquitted:
            job = jobs.get(ref.job_id)
            if job is None or not job.open or self.is_suspect(ref):
                continue
            for run in fleet.runs_of(ref):
                fleet.instance(run.agent).end_isolation(run)


def choose_apart(
    instances: Iterable[Instance],
    request: PlacementRequest,
    ref: TaskRef,
    avoid: frozenset[str] = frozenset(),
) -> Instance | None:
    """Return the instance for a suspected task: an empty one, or the one with the least at stake.

    :param avoid: agents on which the task has failed or was slow; decides between equal ones.
    """
    return min(
        (instance for instance in instances if has_room(instance, request, ref)),
        key=lambda item: (
            item.isolated,
            _stake(item, ref),
            item.agent in avoid,
            -score(item, request, ref),
        ),
        default=None,
    )


def is_empty(instance: Instance, ref: TaskRef) -> bool:
    """Return whether an instance has no runs but those of the task's gang."""
    return all(is_same_gang(run, ref) for run in instance.runs.values())


def _stake(instance: Instance, ref: TaskRef) -> tuple[bool, int, int]:
    """Return what a crash would cost there, the most important first."""
    others = [run for run in instance.runs.values() if not is_same_gang(run, ref)]
    return bool(others), sum(_is_valuable(run) for run in others), len(others)


def _is_valuable(run: Run) -> bool:
    return run.step.lasting or run.step.target_ms > 0
