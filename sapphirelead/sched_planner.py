"""Selects the tasks to start, their order and their workers.

Ready steps are placed by queue priority, then by fair share if that is on
(:mod:`sapphirelead.fairness`), then by the slack to the job's objective.  Each pass tries
every ready step once, so a wide step that does not fit does not block smaller ones.  A pass that
exceeds its time budget continues in later calls (:mod:`sapphirelead.sched_scan_order`).

Best-effort tasks are those of steps with ``fills``, long-running tasks those of steps with
``lasting``.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Final

from sapphirelead.fairness.order import ShareKey
from sapphirelead.fairness.sharing import FairSharing
from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_choice import PlacementHeap
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import PlacementRequest, Urgency, is_eligible
from sapphirelead.sched_feasibility import FeasibleWorkers, Kind
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_job import Job
from sapphirelead.sched_lengths import DeclaredLengths, LengthEstimator, step_lengths_ms
from sapphirelead.sched_place import choose
from sapphirelead.sched_quarantine import PATIENCE_S, choose_apart, is_empty
from sapphirelead.sched_scan_order import Budget, ScanOrder
from sapphirelead.sched_spec import QueuePolicy, StepSpec, chain_ms
from sapphirelead.sched_task import Occurrence, StepKey, TaskRef

GROUPING_DELAY_S: Final = 0.15
"""Delay before new long-running tasks are placed, so that those submitted together are packed by
size.  Counts anew under each leader."""

RETRY_DELAY_S: Final = 0.1
"""Delay before a best-effort step that found no room is tried again."""

DECLARED: Final = DeclaredLengths()


@dataclass(slots=True)
class ReadyStep:
    """A step that may start, with its unclaimed tasks."""

    job: Job
    occurrence: Occurrence
    number: int
    step: StepSpec
    policy: QueuePolicy
    tasks: list[int]
    slack_s: float
    lengths: LengthEstimator = DECLARED

    @property
    def key(self) -> StepKey:
        """Identity of the step."""
        return self.job.spec.job_id, self.occurrence.number, self.number

    @property
    def rank(self) -> tuple[int, bool, bool, float]:
        """Placement order; lower goes first.

        Within a priority, long-running tasks go first, and jobs that can no longer meet their
        objective go last.  Best-effort steps are ordered by remaining work, other steps by slack.
        """
        if self.step.lasting:
            # Largest first, so that small tasks fill the gaps and whole workers stay free.
            return self.policy.priority, False, False, -float(self.step.cpu_millicores)
        if self.step.fills:
            return self.policy.priority, True, self.slack_s < 0, self.remaining_core_s
        return self.policy.priority, True, self.slack_s < 0, self.slack_s

    @property
    def remaining_core_s(self) -> float:
        """Expected remaining work of the occurrence, in core-seconds."""
        spec = self.job.spec
        lengths_ms = step_lengths_ms(self.lengths, spec)
        return sum(
            unfinished * step.cpu_millicores * length_ms / 1e6
            for unfinished, step, length_ms in zip(
                self.occurrence.unfinished, spec.steps, lengths_ms, strict=True
            )
        )

    @property
    def never_claimed(self) -> bool:
        """Whether no task of the step has ever been claimed."""
        tasks = self.occurrence.tasks[self.number]
        return not any(task.attempts for task in tasks)


@dataclass(slots=True)
class Candidate:
    """A step to be placed in the current pass.

    :ivar tickets: tickets by worker, or ``None`` if the queue needs no advice.
    :ivar task_urgencies: urgency of its unclaimed long-running tasks, by number.
    :ivar job_urgency: urgency of its job while nothing of it runs.
    """

    ready: ReadyStep
    tickets: dict[WorkerLife, str] | None
    task_urgencies: dict[int, Urgency]
    job_urgency: Urgency

    @property
    def key(self) -> StepKey:
        """Identity of the step."""
        return self.ready.key

    @property
    def is_done(self) -> bool:
        """Whether all its tasks have been placed."""
        return not self.ready.tasks

    @property
    def urgencies(self) -> list[Urgency]:
        """Urgencies of its tasks, highest first."""
        if self.ready.step.lasting:
            return sorted(set(self.task_urgencies.values()), reverse=True)
        # Another step of the job may have been placed earlier in this pass.
        return [Urgency.NONE if self.ready.occurrence.has_claims else self.job_urgency]

    @property
    def is_overdue(self) -> bool:
        """Whether a long-running task of it must not wait any longer."""
        return Urgency.OVERDUE in self.task_urgencies.values()

    def select(self, tasks: list[int], urgency: Urgency) -> list[int]:
        """Return those of ``tasks`` that have the given urgency.

        One task ends the wait of a job with nothing running; the others wait for regular room.
        """
        if self.ready.step.gang:
            return tasks
        if self.ready.step.lasting:
            return [index for index in tasks if self.task_urgencies.get(index) is urgency]
        return tasks[:1] if urgency else tasks

    def kind(self, urgency: Urgency) -> Kind:
        """Kind of the step's tasks: all that decides where they fit, except their size."""
        return Kind.of(self.ready.step, self.ready.policy.service, urgency)


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to the advice service for tickets of a step."""

    key: StepKey
    workers: list[WorkerLife]
    policy: QueuePolicy


def slack_s(
    job: Job,
    occurrence: Occurrence,
    number: int,
    policy: QueuePolicy,
    wall_ms: int,
    lengths: LengthEstimator = DECLARED,
) -> float:
    """Return how long the step can wait without missing its job's objective, in seconds.

    The objective follows from the same run times as the remaining work.  If it followed from the
    declared ones, a job that declares too little would never seem able to meet it, and go last.
    """
    spec = job.spec
    begin_ms = spec.accepted_ms
    if spec.occurrences:
        begin_ms = spec.first_due_ms + occurrence.number * spec.interval_ms
    remaining_ms = chain_ms(spec.steps, step_lengths_ms(lengths, spec))
    objective_ms = policy.stretch * max(remaining_ms) + policy.slack_ms
    return (begin_ms + objective_ms - wall_ms - remaining_ms[number]) / 1000


def ready_steps(sched: Scheduler, at: float, wall_ms: int) -> list[ReadyStep]:
    """Return the steps that may start and have unclaimed tasks.

    Steps waiting for a retry are skipped but stay registered as ready.  Steps that are no longer
    ready are removed from ``sched.ready_since``.
    """
    found = []
    lengths = sched.lengths
    seen: set[StepKey] = set()
    for job in sched.open_jobs.values():
        if not job.open:
            continue
        policy = sched.policy_of(job)
        for occurrence in job.occurrences.values():
            if occurrence.done:
                continue
            for number, step in enumerate(job.spec.steps):
                if occurrence.unfinished[number] == 0 or not occurrence.step_ready(step):
                    continue
                key = (job.spec.job_id, occurrence.number, number)
                if at < sched.retry_at.get(key, 0.0):
                    seen.add(key)
                    continue
                tasks = _unclaimed(occurrence, number, step)
                if tasks:
                    seen.add(key)
                    slack = slack_s(job, occurrence, number, policy, wall_ms, lengths)
                    found.append(
                        ReadyStep(job, occurrence, number, step, policy, tasks, slack, lengths)
                    )
    for key in [key for key in sched.ready_since if key not in seen]:
        del sched.ready_since[key]
        sched.retry_at.pop(key, None)
    return found


def _unclaimed(occurrence: Occurrence, number: int, step: StepSpec) -> list[int]:
    tasks = occurrence.tasks[number]
    free = [index for index, task in enumerate(tasks) if not task.done and not task.claims]
    if step.gang and len(free) < len(tasks):
        # A gang starts as a whole, after every member of its previous run has ended.
        return []
    return free


def add_due_occurrences(sched: Scheduler, wall_ms: int) -> None:
    """Start the occurrences that are due, never early."""
    for job in sched.open_jobs.values():
        if job.spec.occurrences and job.open:
            job.add_due_occurrences(wall_ms)


def plan(
    sched: Scheduler, at: float, wall_ms: int, scan_order: ScanOrder | None = None
) -> list[AdviceRequest]:
    """Claim workers for the tasks that can start; return requests for the advice service.

    :param scan_order: holds the time budget; without it every step is scanned.
    """
    scan_order = scan_order or ScanOrder()
    add_due_occurrences(sched, wall_ms)
    sched.review_quarantine(at)
    requests: list[AdviceRequest] = []
    candidates = _candidates(sched, at, wall_ms)
    live = list(sched.fleet.live())
    sched.record_services(_open_services(live), at)
    if candidates:
        sched.infeasible_cache.begin(live, at)
    plain = (
        (item.kind(urgency), item.ready.step)
        for item in candidates
        if item.tickets is None
        for urgency in {Urgency.NONE, *item.urgencies}
    )
    feasible = FeasibleWorkers(sched.infeasible_cache, plain, sched.interference, at)
    ranked = _by_share(sched, candidates, live, at)
    has_limits = sched.sharing is not None and sched.sharing.has_limits
    for item in scan_order.order(
        candidates, sched.ready_since, at, partial(_has_new_room, feasible), ranked
    ):
        ready = item.ready
        scan_order.mark_scanned(ready.key, at)
        if has_limits and not _admitted(sched, item, at):
            continue
        if ready.policy.advice is not None:
            requests.extend(_advice_request(sched, ready, at))
        if ready.step.fills and not _may_be_urgent(sched, ready):
            item.job_urgency = Urgency.NONE
        suspects = sched.quarantine.suspects_of(ready.key)
        if suspects and not ready.step.gang:
            _place_suspects(sched, item, suspects, live, at)
        for urgency in item.urgencies:
            if not ready.tasks or (has_limits and not _admitted(sched, item, at)):
                break
            places = live
            if item.tickets is None:
                places = feasible.places(item.kind(urgency), ready.step)
            placed = bool(places) and _place(sched, item, urgency, places, at, scan_order.budget)
            if not placed and ready.step.fills and not _retries_at_once(sched, ready):
                sched.retry_at[ready.key] = at + RETRY_DELAY_S
            if not placed and sched.sharing is not None:
                _hold_workers(sched, item, urgency, live, at)
    if sched.sharing is not None and sched.sharing.report_due(at):
        sched.sharing.report(_waiting_by_queue(sched), at)
    return requests


def _by_share(
    sched: Scheduler, candidates: list[Candidate], live: list[Instance], at: float
) -> Iterator[Candidate] | None:
    """Return the steps in the order of sharing, or ``None`` if sharing is off."""
    if sched.sharing is None:
        return None
    steps: dict[tuple[int, int, str, str], list[Candidate]] = {}
    for item in candidates:
        policy, queue = item.ready.policy, item.ready.job.spec.queue
        # A plain tuple, because this runs for each ready step.
        key = _turn(sched, item), policy.priority, policy.service, queue
        same = steps.get(key)
        if same is None:
            steps[key] = [item]
        else:
            same.append(item)
    shared = {ShareKey(*key): same for key, same in steps.items()}
    return sched.sharing.begin(live, sched.fleet.runs, shared, at)


def _admitted(sched: Scheduler, item: Candidate, at: float) -> bool:
    """Return whether the limits of the step's queue allow another task."""
    ready = item.ready
    return sched.sharing is None or sched.sharing.admits(
        ready.policy.service, ready.job.spec.queue, ready.step, at
    )


def _may_be_urgent(sched: Scheduler, ready: ReadyStep) -> bool:
    """Return whether a best-effort task of a job with nothing running may have urgency."""
    return sched.sharing is None or sched.sharing.may_be_urgent(
        ready.policy.service, ready.job.spec.queue
    )


def _retries_at_once(sched: Scheduler, ready: ReadyStep) -> bool:
    """Return whether a best-effort step that found no room is tried again in the next pass."""
    return sched.sharing is not None and sched.sharing.retries_at_once(
        ready.policy.service, ready.job.spec.queue
    )


def _hold_workers(
    sched: Scheduler, item: Candidate, urgency: Urgency, live: list[Instance], at: float
) -> None:
    """Withhold workers for the tasks of a step that found no room, if its queue is below its share.

    Best-effort tasks need no room on one worker, long-running ones have bounds of their own.
    """
    ready = item.ready
    step, service, queue = ready.step, ready.policy.service, ready.job.spec.queue
    if sched.sharing is None or step.fills or step.lasting or item.tickets is not None:
        return
    if not sched.sharing.is_below(service, queue):
        return
    request = _request(sched, item, urgency)
    sched.sharing.holds.want(
        (service, queue),
        ready.policy.priority,
        step,
        len(ready.tasks),
        lambda: _eligible(sched, live, request, at),
        at,
    )


def _open_services(live: list[Instance]) -> set[str]:
    """Return the services with a worker in a zone that is not evacuated."""
    return {
        item.worker.service for item in live if item.worker is not None and not item.zone_evacuated
    }


def _place(
    sched: Scheduler,
    item: Candidate,
    urgency: Urgency,
    places: list[Instance],
    at: float,
    budget: Budget,
) -> bool:
    """Place the tasks of a step that have the given urgency, and take them off ``item``.

    :returns: ``False`` if a task fits on no worker.
    """
    ready = item.ready
    request = _request(sched, item, urgency)
    if ready.step.gang:
        eligible = _eligible(sched, sched.fleet.live(), request, at)
        _place_gang(sched, ready, _open_to(sched, item, eligible), request, at)
        return True
    if sched.sharing is not None:
        return _place_shared(sched, sched.sharing, item, places, request, at, budget)
    if _place_tasks(sched, item, _eligible(sched, places, request, at), request, at, budget):
        return True
    if item.tickets is None:
        sched.infeasible_cache.record_infeasible(item.kind(urgency), ready.step)
    return False


def _place_shared(
    sched: Scheduler,
    sharing: FairSharing,
    item: Candidate,
    places: list[Instance],
    request: PlacementRequest,
    at: float,
    budget: Budget,
) -> bool:
    """Place tasks of a step within its turn and limits, on workers that are not withheld.

    :returns: ``False`` if a task fits on no worker.
    """
    step, service, queue = item.ready.step, item.ready.policy.service, item.ready.job.spec.queue
    kind = item.kind(request.urgency)
    if sharing.holds.are_kept_off((service, queue), kind, step):
        return False
    budget = sharing.budget(service, queue, step, budget)
    eligible = _eligible(sched, places, request, at)
    open_places = _open_to(sched, item, eligible)
    if _place_tasks(sched, item, open_places, request, at, budget):
        return True
    if len(open_places) < len(eligible):
        # Another queue would take this for a lack of room on the workers withheld for it.
        sharing.holds.record_kept_off((service, queue), kind, step)
    elif item.tickets is None:
        sched.infeasible_cache.record_infeasible(kind, step)
    return False


def _open_to(sched: Scheduler, item: Candidate, places: list[Instance]) -> list[Instance]:
    """Return the workers that are not withheld for queues below their shares."""
    if sched.sharing is None:
        return places
    policy, queue = item.ready.policy, item.ready.job.spec.queue
    key = policy.service, queue
    return sched.sharing.holds.open_to(places, key, policy.priority, item.is_overdue)


def _request(sched: Scheduler, item: Candidate, urgency: Urgency) -> PlacementRequest:
    ready = item.ready
    return PlacementRequest(
        ready.step,
        ready.policy.service,
        item.tickets,
        sched.interference,
        len(ready.tasks),
        urgency,
    )


def _candidate(sched: Scheduler, ready: ReadyStep, at: float) -> Candidate:
    service = ready.policy.service
    tickets = None
    if ready.policy.advice is not None:
        tickets = sched.advice.valid(ready.key, at)
    task_urgencies: dict[int, Urgency] = {}
    job_urgency = Urgency.NONE
    job_runs = ready.occurrence.has_claims
    if ready.step.lasting:
        for index in ready.tasks:
            waited_s = sched.task_waited_s(TaskRef(*ready.key, index), service, at)
            task_urgencies[index] = Urgency.of_wait(waited_s, job_runs)
    elif not job_runs:
        waited_s = sched.waited_s(ready.key, service, at)
        waited_s = min(waited_s, at - ready.occurrence.ran_at)
        job_urgency = Urgency.of_wait(waited_s, job_runs)
    return Candidate(ready, tickets, task_urgencies, job_urgency)


def _candidates(sched: Scheduler, at: float, wall_ms: int) -> list[Candidate]:
    """Return the steps to scan, in placement order: by rank, but overdue tasks first."""
    found = []
    steps = ready_steps(sched, at, wall_ms)
    sched.waits.update(
        (
            TaskRef(*ready.key, index)
            for ready in steps
            if ready.step.lasting
            for index in ready.tasks
        ),
        at,
    )
    for ready in sorted(steps, key=lambda item: item.rank):
        since = sched.ready_since.get(ready.key)
        if since is None:
            since = sched.ready_since[ready.key] = at - sched.inherited.take_wait_s(ready.key)
            _log_ready(ready)
        if ready.step.lasting and ready.never_claimed and at - since < GROUPING_DELAY_S:
            continue
        found.append(_candidate(sched, ready, at))
    return sorted(found, key=lambda item: _turn(sched, item))


def _turn(sched: Scheduler, item: Candidate) -> int:
    """Return the place of a step in the order of scanning; equal ones keep theirs.

    Runs on an unsound worker, and beside a suspect, begin one by one, so tasks of any priority
    could take all turns, and suspects those of overdue tasks without crashes.
    """
    if not item.is_overdue:
        return 2
    return 1 if sched.quarantine.suspects_of(item.key) else 0


def _has_new_room(feasible: FeasibleWorkers, item: Candidate) -> bool:
    """Return whether an untried worker may have room for the step.

    Always ``False`` for steps with tickets, gangs and per-worker limits, whose failures are not
    cached.
    """
    step = item.ready.step
    if item.tickets is not None or step.gang or step.per_worker:
        return False
    return any(feasible.places(item.kind(urgency), step) for urgency in item.urgencies)


def _eligible(
    sched: Scheduler, places: Iterable[Instance], request: PlacementRequest, at: float
) -> list[Instance]:
    """Return the workers on which tasks that are not suspected may run."""
    return sched.reservations.unreserved(
        place for place in places if not place.reserved_by_run and is_eligible(place, request, at)
    )


def _log_ready(ready: ReadyStep) -> None:
    log_event(
        "INFO",
        "step_ready",
        step=".".join(map(str, ready.key)),
        tasks=ready.step.tasks,
        unclaimed=len(ready.tasks),
        fills=ready.step.fills,
        estimate_ms=ready.step.estimate_ms,
        slack_s=round(ready.slack_s, 3),
    )


def waiting_tasks(sched: Scheduler) -> Iterator[tuple[StepSpec, int]]:
    """Return each ready step with the number of its unclaimed tasks."""
    return ((step, tasks) for _, step, tasks in _waiting_steps(sched))


def _waiting_steps(sched: Scheduler) -> Iterator[tuple[Job, StepSpec, int]]:
    for job_id, occurrence_number, number in sched.ready_since:
        job = sched.jobs.get(job_id)
        occurrence = job.occurrences.get(occurrence_number) if job is not None else None
        if job is not None and occurrence is not None:
            step = job.spec.steps[number]
            yield job, step, len(_unclaimed(occurrence, number, step))


def _waiting_by_queue(sched: Scheduler) -> dict[tuple[str, str], int]:
    """Return the number of unclaimed tasks by service and queue."""
    found: dict[tuple[str, str], int] = {}
    for job, _, tasks in _waiting_steps(sched):
        key = sched.policy_of(job).service, job.spec.queue
        found[key] = found.get(key, 0) + tasks
    return found


def wanted_cpu(sched: Scheduler) -> int:
    """Return the CPU that best-effort tasks lack, waiting or throttled, in millicores."""
    waiting = sum(step.cpu_millicores * tasks for step, tasks in waiting_tasks(sched) if step.fills)
    paced = sum(
        run.step.cpu_millicores * (100 - max(0, run.pace_percent)) // 100
        for run in sched.fleet.runs.values()
        if run.step.fills
    )
    return waiting + paced


def _advice_request(sched: Scheduler, ready: ReadyStep, at: float) -> list[AdviceRequest]:
    workers = [
        instance.worker.worker
        for instance in sched.fleet.live()
        if instance.worker is not None
        and instance.worker.service == ready.policy.service
        and not instance.worker.draining
        and not instance.zone_evacuated
    ]
    wanted = sched.advice.start_request(ready.key, workers, at)
    return [AdviceRequest(ready.key, wanted, ready.policy)] if wanted else []


def _place_tasks(
    sched: Scheduler,
    item: Candidate,
    places: list[Instance],
    request: PlacementRequest,
    at: float,
    budget: Budget,
) -> bool:
    """Claim workers for the step's tasks until the budget is spent; tries at least one task.

    :returns: ``False`` if a task fits on no worker.
    """
    ready = item.ready
    tasks = item.select(ready.tasks, request.urgency)
    heap = PlacementHeap(places, request, TaskRef(*ready.key, ready.tasks[0]))
    placed: set[int] = set()
    all_fit = True
    for index in tasks:
        ref = TaskRef(*ready.key, index)
        place = heap.take(sched.avoided(ref))
        if place is None:
            all_fit = False
            break
        sched.claim(ready.job, ref, place, at)
        placed.add(index)
        if budget.spent:
            break
        if is_eligible(place, request, at):
            heap.put_back(place)
    if placed:
        ready.tasks = [index for index in ready.tasks if index not in placed]
    return all_fit


def _place_suspects(
    sched: Scheduler, item: Candidate, suspects: set[int], live: list[Instance], at: float
) -> None:
    """Claim workers for the suspected tasks of a step and take all of them off ``item``."""
    ready = item.ready
    waiting = [index for index in ready.tasks if index in suspects]
    ready.tasks = [index for index in ready.tasks if index not in suspects]
    for urgency in item.urgencies:
        request = _request(sched, item, urgency)
        for index in item.select(waiting, urgency):
            ref = TaskRef(*ready.key, index)
            # Each claim reserves its worker, which is no longer eligible for the next suspect.
            eligible = [spot for spot in live if is_eligible(spot, request, at)]
            places = _places_apart(sched, ready, ref, eligible, at)
            overdue = urgency is Urgency.OVERDUE
            joinable = [spot for spot in places if sched.quarantine.may_join(ref, spot, overdue)]
            place = choose_apart(joinable, request, ref, sched.avoided(ref))
            if place is None and len(joinable) < len(places):
                _reserve(sched, ref, places, request, at)
                # The next suspect may join workers that this one may not.
                continue
            if place is None:
                break
            sched.claim(ready.job, ref, place, at)


def _reserve(
    sched: Scheduler, ref: TaskRef, places: list[Instance], request: PlacementRequest, at: float
) -> None:
    """Reserve the worker on which a task that may join no other can start soonest."""
    if not sched.quarantine.is_near_limit(ref):
        return
    place = choose_apart(places, request, ref, sched.avoided(ref))
    if place is not None:
        sched.reservations.make(ref, place, sum(1 for _ in sched.fleet.live()), at)


def _places_apart(
    sched: Scheduler, ready: ReadyStep, ref: TaskRef, places: list[Instance], at: float
) -> list[Instance]:
    """Return the workers for a suspected task: only empty ones until it has waited for a while."""
    service = ready.policy.service
    if ready.step.lasting:
        waited_s = sched.task_waited_s(ref, service, at)
    else:
        waited_s = sched.waited_s(ready.key, service, at)
    if waited_s >= PATIENCE_S:
        return places
    return [place for place in places if is_empty(place, ref)]


def _place_gang(
    sched: Scheduler, ready: ReadyStep, places: list[Instance], request: PlacementRequest, at: float
) -> None:
    """Place all members or none; with ``same_rack``, tries each single rack first."""
    choose_place = choose
    if sched.quarantine.suspects_of(ready.key):
        choose_place = choose_apart
        places = _places_apart(sched, ready, TaskRef(*ready.key, 0), places, at)
    racks = sorted({place.rack for place in places}) if ready.step.same_rack else []
    groups = [[place for place in places if place.rack == rack] for rack in racks]
    attempt = 1 + max(task.attempts for task in ready.occurrence.tasks[ready.number])
    for group in [*groups, places]:
        runs = []
        for index in ready.tasks:
            ref = TaskRef(*ready.key, index)
            place = choose_place(group, request, ref, sched.avoided(ref))
            if place is None:
                break
            runs.append(sched.add_tentative_run(ready.job, ref, place, attempt))
        for run in runs:
            sched.fleet.drop(run)
        if len(runs) == len(ready.tasks):
            for run in runs:
                instance = sched.fleet.instance(run.agent)
                sched.claim(ready.job, run.ref, instance, at, attempt)
            ready.tasks = []
            return
