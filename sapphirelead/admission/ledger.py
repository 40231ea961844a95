"""Keeps account of the work of all services by the scheduler's events.  No I/O.

What the events do not tell (cancelled and failed jobs, changed policies and clocks, workers) is
counted in parts, at intervals that grow with the time that counting takes.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from sapphirelead.admission.demand import BUCKET_S, ServiceDemand, WaitingPlace
from sapphirelead.admission.loads import NOTHING, Amount, load_of, total
from sapphirelead.clock import now
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import Urgency, accepts_work
from sapphirelead.sched_fleet import Instance, Run, RunKey
from sapphirelead.sched_job import EndKind, Job
from sapphirelead.sched_planner import slack_s
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec, chain_ms
from sapphirelead.sched_task import Occurrence

MIN_REVIEW_INTERVAL_S: Final = 0.2
"""Minimum time between two reviews."""

REVIEW_TIME_SHARE: Final = 0.01
"""Share of the leader's time that reviews may take."""

REVIEWED_JOBS: Final = 50
"""Jobs that a review compares; bounds how long it blocks the event loop when many are open."""

FORESEEN_S: Final = 5.0
"""Scheduled occurrences that are due within this time count as waiting."""

SERVICE_KNOWN_S: Final = 1.5
"""Time after which a leader has heard of all workers; spans three intervals of reports."""


@dataclass(frozen=True, slots=True)
class _Running:
    """Where a run is counted; without a bucket if it is long-running."""

    service: str
    bucket: int | None
    load: Amount


@dataclass(slots=True)
class _Counted:
    """Waiting tasks of a step, as they are counted."""

    place: WaitingPlace
    tasks: int


class Ledger:
    """The work of all services; a :class:`~sapphirelead.sched_observers.RunObserver`."""

    services: dict[str, ServiceDemand]
    _sched: Scheduler
    _clock: Callable[[], float]
    _runs: dict[RunKey, _Running]
    _waiting: dict[str, dict[tuple[int, int], _Counted]]
    _turns: list[str]
    _knows_workers: bool
    _review_at: float

    def __init__(self, sched: Scheduler, clock: Callable[[], float] = now) -> None:
        """Begin with the runs that are known.

        :param clock: measures how long counting takes.
        """
        self.services = {}
        self._sched = sched
        self._clock = clock
        self._runs = {}
        self._waiting = {}
        self._turns = []
        self._knows_workers = False
        self._review_at = -math.inf
        for run in sched.fleet.runs.values():
            job = sched.jobs.get(run.ref.job_id)
            self._add_run(run, job.spec.queue if job is not None else "", run.claimed_at)

    def demand(self, service: str) -> ServiceDemand:
        """Return the work of a service."""
        return self.services.setdefault(service, ServiceDemand())

    def knows_workers(self, at: float) -> bool:
        """Whether this leader has heard of all workers; the runs of lost agents have ended."""
        if not self._knows_workers and at - self._sched.began_at >= SERVICE_KNOWN_S:
            instances = self._sched.fleet.instances.values()
            self._knows_workers = all(item.boot or not item.runs for item in instances)
        return self._knows_workers

    # Events

    def accepted(self, spec: JobSpec, policy: QueuePolicy, at: float) -> None:
        """Count a job that has just been accepted."""
        if spec.occurrences:
            return
        remaining_ms = chain_ms(spec.steps)
        objective_ms = policy.stretch * max(remaining_ms) + policy.slack_ms
        steps = self._waiting[spec.job_id] = {}
        for number, step in enumerate(spec.steps):
            if step.lasting:
                continue
            start_at = at + (objective_ms - remaining_ms[number]) / 1000
            place = self._place(spec.queue, policy, step, start_at, not step.after)
            steps[0, number] = _Counted(place, step.tasks)
            self.demand(place.service).count_accepted(place, step.tasks)

    def claimed(self, run: Run, queue: str, at: float) -> None:
        """Count a claim; its task no longer waits."""
        self._add_run(run, queue, at)
        self._change_waiting(run, -1)

    def ended(self, run: Run, queue: str, kind: EndKind, at: float) -> None:
        """Count the end of a run; its task waits again unless it is done."""
        counted = self._runs.pop(run.key, None)
        if counted is not None:
            demand = self.demand(counted.service)
            demand.count_run(counted.bucket, counted.load, -1)
            if kind is EndKind.DONE and run.claimed_at and counted.bucket is not None:
                expected_s = self._length_s(queue, run.step)
                demand.lengths.record(at - run.claimed_at, expected_s)
        if kind is not EndKind.DONE:
            self._change_waiting(run, 1)

    def _change_waiting(self, run: Run, tasks: int) -> None:
        counted = self._waiting.get(run.ref.job_id, {}).get(run.ref[1:3])
        # A copy of a running task changes nothing; a difference is found by the next review.
        if counted is not None and 0 <= counted.tasks + tasks <= run.step.tasks:
            counted.tasks += tasks
            self.demand(counted.place.service).count_waiting(counted.place, tasks)

    def _add_run(self, run: Run, queue: str, at: float) -> None:
        job = self._sched.jobs.get(run.ref.job_id)
        if job is None or run.key in self._runs:
            return
        service = self._sched.policy_of(job).service
        load = load_of(run.step)
        demand = self.demand(service)
        bucket = None
        if not run.step.lasting:
            length_s = self._length_s(queue, run.step)
            # A run of an earlier leader has been running for half of its time on average.
            ends_at = at + (length_s if run.claimed_at else length_s / 2)
            bucket = int(ends_at // BUCKET_S)
        demand.count_run(bucket, load, 1)
        self._runs[run.key] = _Running(service, bucket, load)

    def _length_s(self, queue: str, step: StepSpec) -> float:
        return self._sched.lengths.expected_ms(queue, step) / 1000

    def _place(
        self, queue: str, policy: QueuePolicy, step: StepSpec, latest_start: float, ready: bool
    ) -> WaitingPlace:
        return WaitingPlace(
            ready,
            policy.service,
            queue,
            policy.priority,
            int(latest_start // BUCKET_S),
            load_of(step),
            self._length_s(queue, step),
        )

    # Counting anew

    def refresh(self, at: float, wall_ms: int) -> bool:
        """Review workers and a part of the waiting work; return whether that was due."""
        if at < self._review_at:
            return False
        began = self._clock()
        self._count_workers(at)
        if self.knows_workers(at):
            for demand in self.services.values():
                demand.inherited = NOTHING
        complete = self._review_at == -math.inf
        self._review_jobs(at, wall_ms, len(self._sched.open_jobs) if complete else REVIEWED_JOBS)
        took_s = self._clock() - began
        self._review_at = at + max(MIN_REVIEW_INTERVAL_S, took_s / REVIEW_TIME_SHARE)
        return True

    def _count_workers(self, at: float) -> None:
        for demand in self.services.values():
            demand.capacity = demand.cold = NOTHING
            demand.excluded_standing = demand.excluded_occupied = NOTHING
            demand.excluded = {}
        for instance in self._sched.fleet.instances.values():
            if instance.worker is None or not accepts_work(instance, Urgency.OVERDUE, at):
                self._exclude(instance)
                continue
            demand = self.demand(instance.worker.service)
            offered = instance.worker.capacity
            cpu = offered.cpu_millicores
            if instance.fill_cpu:
                fill = instance.spare_cpu + instance.fill_cpu
            else:
                fill = instance.free_cpu + instance.lasting_cpu
            amount = (cpu, offered.memory_mb, offered.accelerators, fill)
            demand.capacity = total(demand.capacity, amount)
            if instance.cold:
                demand.cold = total(demand.cold, amount)

    def _exclude(self, instance: Instance) -> None:
        """Leave the runs of a worker out whose capacity does not count."""
        for key in instance.runs:
            counted = self._runs.get(key)
            if counted is None:
                continue
            demand = self.demand(counted.service)
            demand.excluded_occupied = total(demand.excluded_occupied, counted.load)
            if counted.bucket is None:
                demand.excluded_standing = total(demand.excluded_standing, counted.load)
            else:
                excluded = demand.excluded.get(counted.bucket, NOTHING)
                demand.excluded[counted.bucket] = total(excluded, counted.load)

    def _review_jobs(self, at: float, wall_ms: int, number: int) -> None:
        """Compare what is counted with the next jobs in turn."""
        if not self._turns:
            self._turns = list({**self._waiting, **self._sched.open_jobs})
        turns, self._turns = self._turns[-number:], self._turns[:-number]
        for job_id in turns:
            self._review_job(job_id, at, wall_ms)

    def _review_job(self, job_id: str, at: float, wall_ms: int) -> None:
        job = self._sched.open_jobs.get(job_id)
        found = self._waiting_of(job, at, wall_ms) if job is not None and job.open else {}
        before = self._waiting.pop(job_id, {})
        if found:
            self._waiting[job_id] = found
        for key in before.keys() | found.keys():
            old, new = before.get(key), found.get(key)
            if old is not None and (
                new is None or (old.place, old.tasks) != (new.place, new.tasks)
            ):
                self.demand(old.place.service).count_waiting(old.place, -old.tasks)
            if new is not None and (
                old is None or (old.place, old.tasks) != (new.place, new.tasks)
            ):
                self.demand(new.place.service).count_waiting(new.place, new.tasks)

    def _waiting_of(self, job: Job, at: float, wall_ms: int) -> dict[tuple[int, int], _Counted]:
        """Return the waiting tasks of a job, by occurrence and step."""
        policy = self._sched.policy_of(job)
        found = {}
        for occurrence in _foreseen(job, wall_ms):
            for number, step in enumerate(job.spec.steps):
                if not occurrence.unfinished[number] or step.lasting:
                    continue
                tasks = sum(not (task.done or task.claims) for task in occurrence.tasks[number])
                start_at = at + slack_s(job, occurrence, number, policy, wall_ms)
                ready = occurrence.step_ready(step)
                place = self._place(job.spec.queue, policy, step, start_at, ready)
                found[occurrence.number, number] = _Counted(place, tasks)
        return found


def _foreseen(job: Job, wall_ms: int) -> Iterable[Occurrence]:
    """Yield the occurrences in progress, and the next one if it is due soon."""
    yield from job.occurrences.values()
    due_ms = job.next_due_ms()
    if due_ms is not None and due_ms - wall_ms <= FORESEEN_S * 1000:
        number = (due_ms - job.spec.first_due_ms) // max(1, job.spec.interval_ms)
        yield Occurrence.fresh(number, job.spec.steps)
