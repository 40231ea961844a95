"""Selects the tasks to start, their order and their workers.

Ready steps are placed by queue priority, then by the slack to the job's objective.  Each pass tries
every ready step once, so a wide step that does not fit does not block smaller ones.  A pass that
exceeds its time budget continues in later calls (:mod:`sapphirelead.sched_scan_order`).

Best-effort tasks are those of steps with ``fills``, long-running tasks those of steps with
``lasting``.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_advice import StepKey
from sapphirelead.sched_choice import PlacementHeap
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import PlacementRequest, is_eligible
from sapphirelead.sched_feasibility import FeasibleWorkers, Kind
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_job import Job
from sapphirelead.sched_place import choose
from sapphirelead.sched_quarantine import PATIENCE_S, choose_apart, is_empty
from sapphirelead.sched_scan_order import Budget, ScanOrder
from sapphirelead.sched_spec import QueuePolicy, StepSpec, chain_ms
from sapphirelead.sched_task import Occurrence, TaskRef

STARVATION_THRESHOLD_S: Final = 1.5
"""Time after which a ready job with nothing running counts as starving.

Must stay below the 3 s for which a job may be idle while there is room for it."""

GROUPING_DELAY_S: Final = 0.15
"""Delay before new long-running tasks are placed, so that those submitted together are packed by
size.  Counts anew under each leader."""

RETRY_DELAY_S: Final = 0.1
"""Delay before a best-effort step that found no room is tried again."""


MAX_LASTING_WAIT_S: Final = 3.5
MAX_STARVING_WAIT_S: Final = 2.5
"""Time after which a long-running task or a job with nothing running may join an isolated run.

Must leave time for the start within 6 s and 3 s."""


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
        """Estimated remaining work of the occurrence, in core-seconds."""
        steps = self.job.spec.steps
        return sum(
            unfinished * step.cpu_millicores * step.estimate_ms / 1e6
            for unfinished, step in zip(self.occurrence.unfinished, steps, strict=True)
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
    :ivar starving: its job has had nothing running for :data:`STARVATION_THRESHOLD_S`.
    """

    ready: ReadyStep
    tickets: dict[WorkerLife, str] | None
    starving: bool

    @property
    def key(self) -> StepKey:
        """Identity of the step."""
        return self.ready.key

    @property
    def kind(self) -> Kind:
        """Kind of the step's tasks: all that decides where they fit, except their size."""
        return Kind.of(self.ready.step, self.ready.policy.service, self.starving)


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to the advice service for tickets of a step."""

    key: StepKey
    workers: list[WorkerLife]
    policy: QueuePolicy


def slack_s(
    job: Job, occurrence: Occurrence, number: int, policy: QueuePolicy, wall_ms: int
) -> float:
    """Return how long the step can wait without missing its job's objective, in seconds."""
    spec = job.spec
    begin_ms = spec.accepted_ms
    if spec.occurrences:
        begin_ms = spec.first_due_ms + occurrence.number * spec.interval_ms
    remaining_ms = chain_ms(spec.steps)
    objective_ms = policy.stretch * max(remaining_ms) + policy.slack_ms
    return (begin_ms + objective_ms - wall_ms - remaining_ms[number]) / 1000


def ready_steps(sched: Scheduler, at: float, wall_ms: int) -> list[ReadyStep]:
    """Return the steps that may start and have unclaimed tasks.

    Steps waiting for a retry are skipped but stay registered as ready.  Steps that are no longer
    ready are removed from ``sched.ready_since``.
    """
    found = []
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
                    slack = slack_s(job, occurrence, number, policy, wall_ms)
                    found.append(ReadyStep(job, occurrence, number, step, policy, tasks, slack))
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
    sched.review_quarantine()
    requests: list[AdviceRequest] = []
    candidates = _candidates(sched, at, wall_ms)
    live = list(sched.fleet.live())
    sched.record_services({item.worker.service for item in live if item.worker is not None}, at)
    if candidates:
        sched.infeasible_cache.begin(live, at)
    plain = ((item.kind, item.ready.step) for item in candidates if item.tickets is None)
    feasible = FeasibleWorkers(sched.infeasible_cache, plain, sched.interference, at)
    for item in scan_order.order(
        candidates, sched.ready_since, at, partial(_has_new_room, feasible)
    ):
        ready = item.ready
        scan_order.mark_scanned(ready.key, at)
        if ready.policy.advice is not None:
            requests.extend(_advice_request(sched, ready, at))
        suspects = sched.quarantine.suspects_of(ready.key)
        if suspects and not ready.step.gang:
            _place_suspects(sched, ready, suspects, live, _request(sched, item, at), at)
            if not ready.tasks:
                continue
        places = _places(sched, item, feasible) if item.tickets is None else live
        if not places:
            if ready.step.fills:
                sched.retry_at[ready.key] = at + RETRY_DELAY_S
            continue
        request = _request(sched, item, at)
        if ready.step.gang:
            _place_gang(sched, ready, _eligible(live, request, at), request, at)
        else:
            eligible = _eligible(places, request, at)
            all_placed = _place_tasks(sched, ready, eligible, request, at, scan_order.budget)
            if not all_placed and item.tickets is None:
                sched.infeasible_cache.record_infeasible(item.kind, ready.step)
    return requests


def _request(sched: Scheduler, item: Candidate, at: float) -> PlacementRequest:
    ready = item.ready
    waited_s = sched.waited_s(ready.key, ready.policy.service, at)
    return PlacementRequest(
        ready.step,
        ready.policy.service,
        item.tickets,
        item.starving,
        sched.interference,
        len(ready.tasks),
        (
            waited_s >= MAX_LASTING_WAIT_S
            if ready.step.lasting
            else item.starving and waited_s >= MAX_STARVING_WAIT_S
        ),
    )


def _candidates(sched: Scheduler, at: float, wall_ms: int) -> list[Candidate]:
    """Return the steps to scan, in placement order."""
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
        tickets = None
        if ready.policy.advice is not None:
            tickets = sched.advice.valid(ready.key, at)
        starving = at - since > STARVATION_THRESHOLD_S and not ready.occurrence.has_claims
        found.append(Candidate(ready, tickets, starving))
    return found


def _has_new_room(feasible: FeasibleWorkers, item: Candidate) -> bool:
    """Return whether an untried worker may have room for the step.

    Always ``False`` for steps with tickets, gangs and per-worker limits, whose failures are not
    cached.
    """
    step = item.ready.step
    if item.tickets is not None or step.gang or step.per_worker:
        return False
    return bool(feasible.places(item.kind, step))


def _places(sched: Scheduler, item: Candidate, feasible: FeasibleWorkers) -> list[Instance]:
    """Return the workers that may have room; updates whether the step is still starving."""
    if item.starving and item.ready.occurrence.has_claims:
        # A step of the same job was placed earlier in this pass, which ended the starvation.
        # ``feasible`` was computed without this step among those of its new kind.
        item.starving = False
        return sched.infeasible_cache.places(item.kind, item.ready.step)
    return feasible.places(item.kind, item.ready.step)


def _eligible(places: list[Instance], request: PlacementRequest, at: float) -> list[Instance]:
    return [place for place in places if is_eligible(place, request, at)]


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
    """Yield each ready step with the number of its unclaimed tasks."""
    for job_id, occurrence_number, number in sched.ready_since:
        job = sched.jobs.get(job_id)
        occurrence = job.occurrences.get(occurrence_number) if job is not None else None
        if job is not None and occurrence is not None:
            step = job.spec.steps[number]
            yield step, len(_unclaimed(occurrence, number, step))


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
    ]
    wanted = sched.advice.start_request(ready.key, workers, at)
    return [AdviceRequest(ready.key, wanted, ready.policy)] if wanted else []


def _place_tasks(
    sched: Scheduler,
    ready: ReadyStep,
    places: list[Instance],
    request: PlacementRequest,
    at: float,
    budget: Budget,
) -> bool:
    """Claim workers for the step's tasks until the budget is spent; tries at least one task.

    :returns: ``False`` if a task fits on no worker.
    """
    heap = PlacementHeap(places, request, TaskRef(*ready.key, ready.tasks[0]))
    for index in ready.tasks:
        ref = TaskRef(*ready.key, index)
        place = heap.take(sched.avoided(ref))
        if place is None:
            if request.step.fills:
                sched.retry_at[ready.key] = at + RETRY_DELAY_S
            return False
        sched.claim(ready.job, ref, place, at)
        if request.starving:
            # One task ends the starvation; the others wait for regular room.
            return True
        if budget.spent:
            return True
        if not place.track.on_trial:
            heap.put_back(place)
    return True


def _place_suspects(
    sched: Scheduler,
    ready: ReadyStep,
    suspects: set[int],
    live: list[Instance],
    request: PlacementRequest,
    at: float,
) -> None:
    """Claim workers for the suspected tasks of a step and take them off ``ready``."""
    for index in [index for index in ready.tasks if index in suspects]:
        ref = TaskRef(*ready.key, index)
        # Each claim reserves its worker, which is no longer eligible for the next suspect.
        places = _places_apart(sched, ready, ref, _eligible(live, request, at), at)
        if sched.quarantine.is_nearly_given_up(ref):
            # Beside another suspect, the next crash could not tell which of them caused it.
            places = [place for place in places if not place.isolated]
        place = choose_apart(places, request, ref, sched.avoided(ref))
        if place is None:
            break
        sched.claim(ready.job, ref, place, at)
    ready.tasks = [index for index in ready.tasks if index not in suspects]


def _places_apart(
    sched: Scheduler, ready: ReadyStep, ref: TaskRef, places: list[Instance], at: float
) -> list[Instance]:
    """Return the workers for a suspected task: only empty ones until it has waited for a while."""
    if sched.waited_s(ready.key, ready.policy.service, at) >= PATIENCE_S:
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
            return
