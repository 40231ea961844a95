"""Keeps account of running and waiting work, so that an estimate need not count it anew.  No I/O.

Answers a load of a thousand submissions and claims in a second: each changes a few numbers.  What
the events do not tell (cancelled and failed jobs, changed policies and clocks, workers) is counted
at intervals that grow with the time that counting takes.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.admission.loads import (
    NOTHING,
    Amount,
    Supply,
    Work,
    covers,
    larger,
    load_of,
    scaled,
    total,
)
from sapphirelead.clock import now
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import Urgency, accepts_work
from sapphirelead.sched_fleet import Instance, Run, RunKey
from sapphirelead.sched_job import EndKind, Job
from sapphirelead.sched_planner import slack_s
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec, chain_ms
from sapphirelead.sched_task import Occurrence, StepKey

BUCKET_S: Final = 0.25
"""Resolution of expected ends and latest starts; small against the shortest objectives (1 s)."""

MIN_COUNT_INTERVAL_S: Final = 0.5
"""Minimum time between two counts; the scheduler notices lost agents no sooner."""

COUNT_TIME_SHARE: Final = 0.01
"""Share of the leader's time that counting may take."""

FORESEEN_S: Final = 5.0
"""Scheduled occurrences that are due within this time count as waiting."""

SERVICE_KNOWN_S: Final = 1.5
"""Time after which a leader has heard of all workers; spans three intervals of reports."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    """Where the tasks of a step are counted while they wait.

    :ivar ready: whether the steps that it depends on are done.
    """

    ready: bool
    service: str
    queue: str
    priority: int
    bucket: int
    load: Amount
    length_s: float


@dataclass(slots=True)
class ServiceDemand:
    """Work of one service.

    :ivar waiting: by priority and latest start, which is the last moment to be in time.
    :ivar queues: waiting work by queue.
    :ivar sizes: number of ready tasks by priority and size.
    :ivar running: what becomes free, by expected end.
    :ivar standing: occupied by long-running tasks.
    :ivar capacity: of the workers that accept work.
    :ivar inherited: capacity that the predecessor knew, until this leader knows its own.
    :ivar cold: the part of it that is on workers that are still slow.
    :ivar excluded: those of ``running`` on workers that accept no work, by expected end.
    """

    waiting: dict[int, dict[int, Work]] = field(default_factory=dict)
    queues: dict[str, Work] = field(default_factory=dict)
    sizes: dict[tuple[int, Amount], int] = field(default_factory=dict)
    running: dict[int, Amount] = field(default_factory=dict)
    standing: Amount = NOTHING
    capacity: Amount = NOTHING
    inherited: Amount = NOTHING
    cold: Amount = NOTHING
    excluded: dict[int, Amount] = field(default_factory=dict)
    excluded_standing: Amount = NOTHING

    def ahead(self, priority: int, at: float, latest_start: float) -> Work:
        """Return the waiting work that is served before a new job.

        That is all of higher priorities, and what can be in time and must start before it.
        """
        found = Work()
        first, last = int(at // BUCKET_S), int(latest_start // BUCKET_S)
        for other, buckets in self.waiting.items():
            if other > priority:
                continue
            for bucket, work in buckets.items():
                if other < priority or first <= bucket <= last:
                    found.merge(work)
        return found

    def all_ahead(self, priority: int) -> Work:
        """Return all waiting work of the same and higher priorities."""
        found = Work()
        for other, buckets in self.waiting.items():
            if other <= priority:
                for work in buckets.values():
                    found.merge(work)
        return found

    def supply(self, at: float) -> Supply:
        """Return the capacity, and when more of it becomes free; overdue runs end at once."""
        ends: dict[float, Amount] = {}
        for buckets, sign in ((self.running, 1), (self.excluded, -1)):
            for bucket, freed in buckets.items():
                end_s = max(0.0, (bucket + 0.5) * BUCKET_S - at)
                ends[end_s] = total(ends.get(end_s, NOTHING), scaled(freed, sign))
        standing = total(self.standing, scaled(self.excluded_standing, -1))
        capacity = larger(self.capacity, self.inherited)
        return Supply(capacity, self.cold, standing, sorted(ends.items()))

    def has_smaller_waiting(self, priority: int, need: Amount) -> bool:
        """Whether a ready task of this or a higher priority would fit wherever ``need`` does."""
        return any(
            tasks > 0 and other <= priority and covers(need, load)
            for (other, load), tasks in self.sizes.items()
        )

    def count_waiting(self, place: _Waiting, tasks: int) -> None:
        """Add waiting tasks; a negative number removes them."""
        by_time = self.waiting.setdefault(place.priority, {})
        for work in (
            by_time.setdefault(place.bucket, Work()),
            self.queues.setdefault(place.queue, Work()),
        ):
            work.add(place.load, place.length_s, tasks)
        if max(by_time[place.bucket].rooms) <= 0:
            del by_time[place.bucket]
        if place.ready:
            size = (place.priority, place.load)
            self.sizes[size] = self.sizes.get(size, 0) + tasks


@dataclass(frozen=True, slots=True)
class _Running:
    """Where a run is counted; without a bucket if it is long-running."""

    service: str
    bucket: int | None
    load: Amount


class Ledger:
    """The work of all services; a :class:`~sapphirelead.sched_observers.RunObserver`."""

    services: dict[str, ServiceDemand]
    _sched: Scheduler
    _clock: Callable[[], float]
    _runs: dict[RunKey, _Running]
    _places: dict[StepKey, _Waiting]
    _count_at: float

    def __init__(self, sched: Scheduler, clock: Callable[[], float] = now) -> None:
        """Begin with the runs that are known.

        :param clock: measures how long counting takes.
        """
        self.services = {}
        self._sched = sched
        self._clock = clock
        self._runs = {}
        self._places = {}
        self._count_at = -math.inf
        for run in sched.fleet.runs.values():
            job = sched.jobs.get(run.ref.job_id)
            self._add_run(run, job.spec.queue if job is not None else "", run.claimed_at)

    def demand(self, service: str) -> ServiceDemand:
        """Return the work of a service."""
        return self.services.setdefault(service, ServiceDemand())

    def knows_workers(self, at: float) -> bool:
        """Whether this leader has heard of all workers; the runs of lost agents have ended."""
        if at - self._sched.began_at < SERVICE_KNOWN_S:
            return False
        return all(item.boot or not item.runs for item in self._sched.fleet.instances.values())

    # Events

    def accepted(self, spec: JobSpec, policy: QueuePolicy, at: float) -> None:
        """Count a job that has just been accepted."""
        if spec.occurrences:
            return
        remaining_ms = chain_ms(spec.steps)
        objective_ms = policy.stretch * max(remaining_ms) + policy.slack_ms
        for number, step in enumerate(spec.steps):
            key = (spec.job_id, 0, number)
            start_at = at + (objective_ms - remaining_ms[number]) / 1000
            self._count_step(key, spec.queue, policy, step, step.tasks, start_at, not step.after)

    def claimed(self, run: Run, queue: str, at: float) -> None:
        """Count a claim; its task no longer waits."""
        self._add_run(run, queue, at)
        place = self._places.get(run.ref[:3])
        if place is not None:
            self.demand(place.service).count_waiting(place, -1)

    def ended(self, run: Run, queue: str, kind: EndKind, at: float) -> None:
        """Count the end of a run; its task waits again unless it is done."""
        counted = self._runs.pop(run.key, None)
        if counted is not None:
            self._free(counted)
        place = self._places.get(run.ref[:3])
        if place is not None and kind is not EndKind.DONE:
            self.demand(place.service).count_waiting(place, 1)

    def _add_run(self, run: Run, queue: str, at: float) -> None:
        job = self._sched.jobs.get(run.ref.job_id)
        if job is None or run.key in self._runs:
            return
        service = self._sched.policy_of(job).service
        load = load_of(run.step)
        demand = self.demand(service)
        if run.step.lasting:
            demand.standing = total(demand.standing, load)
            self._runs[run.key] = _Running(service, None, load)
            return
        length_s = self._length_s(queue, run.step)
        # A run of an earlier leader has been running for half of its time on average.
        ends_at = at + (length_s if run.claimed_at else length_s / 2)
        bucket = int(ends_at // BUCKET_S)
        demand.running[bucket] = total(demand.running.get(bucket, NOTHING), load)
        self._runs[run.key] = _Running(service, bucket, load)

    def _free(self, counted: _Running) -> None:
        demand = self.demand(counted.service)
        if counted.bucket is None:
            demand.standing = total(demand.standing, scaled(counted.load, -1))
            return
        left = total(demand.running.get(counted.bucket, NOTHING), scaled(counted.load, -1))
        if max(left) > 0:
            demand.running[counted.bucket] = left
        else:
            demand.running.pop(counted.bucket, None)

    def _length_s(self, queue: str, step: StepSpec) -> float:
        return self._sched.lengths.expected_ms(queue, step) / 1000

    def _count_step(
        self,
        key: StepKey,
        queue: str,
        policy: QueuePolicy,
        step: StepSpec,
        tasks: int,
        latest_start: float,
        ready: bool,
    ) -> None:
        if step.lasting:
            return
        bucket = int(latest_start // BUCKET_S)
        length_s = self._length_s(queue, step)
        place = _Waiting(
            ready, policy.service, queue, policy.priority, bucket, load_of(step), length_s
        )
        self._places[key] = place
        if tasks:
            self.demand(policy.service).count_waiting(place, tasks)

    # Counting anew

    def refresh(self, at: float, wall_ms: int) -> None:
        """Count the workers and the waiting work anew, if that is due."""
        if at < self._count_at:
            return
        began = self._clock()
        self._count_workers(at)
        self._count_waiting(at, wall_ms)
        if self.knows_workers(at):
            for demand in self.services.values():
                demand.inherited = NOTHING
        took_s = self._clock() - began
        self._count_at = at + max(MIN_COUNT_INTERVAL_S, took_s / COUNT_TIME_SHARE)

    def _count_workers(self, at: float) -> None:
        for demand in self.services.values():
            demand.capacity = demand.cold = demand.excluded_standing = NOTHING
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
            if counted.bucket is None:
                demand.excluded_standing = total(demand.excluded_standing, counted.load)
            else:
                excluded = demand.excluded.get(counted.bucket, NOTHING)
                demand.excluded[counted.bucket] = total(excluded, counted.load)

    def _count_waiting(self, at: float, wall_ms: int) -> None:
        self._places.clear()
        for demand in self.services.values():
            demand.waiting.clear()
            demand.queues.clear()
            demand.sizes.clear()
        for job in self._sched.open_jobs.values():
            if job.open:
                self._count_job(job, at, wall_ms)

    def _count_job(self, job: Job, at: float, wall_ms: int) -> None:
        policy = self._sched.policy_of(job)
        for occurrence in _foreseen(job, wall_ms):
            for number, step in enumerate(job.spec.steps):
                if not occurrence.unfinished[number] or step.lasting:
                    continue
                tasks = sum(not (task.done or task.claims) for task in occurrence.tasks[number])
                start_at = at + slack_s(job, occurrence, number, policy, wall_ms)
                key = (job.spec.job_id, occurrence.number, number)
                ready = occurrence.step_ready(step)
                self._count_step(key, job.spec.queue, policy, step, tasks, start_at, ready)


def _foreseen(job: Job, wall_ms: int) -> Iterable[Occurrence]:
    """Yield the occurrences in progress, and the next one if it is due soon."""
    yield from job.occurrences.values()
    due_ms = job.next_due_ms()
    if due_ms is not None and due_ms - wall_ms <= FORESEEN_S * 1000:
        number = (due_ms - job.spec.first_due_ms) // max(1, job.spec.interval_ms)
        yield Occurrence.fresh(number, job.spec.steps)
