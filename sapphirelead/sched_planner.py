"""Which tasks start now, in which order, and on which workers.

The pattern that this answers: a burst of wide jobs next to a steady flow of small ones.  Room is
given by the queue's priority first, then by how little slack a step has left against its job's
objective; a job that has begun goes before one that has not, because half-finished jobs earn
nothing.  Within one pass every ready step is looked at once, so a wide step that does not fit
holds nothing up.  Where a pass takes longer than its budget, it goes on over several calls, and new
room is offered by that order first for half of each (:mod:`sapphirelead.sched_plan_turn`).
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_advice import StepKey
from sapphirelead.sched_choice import Choice
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_job import Job, Occurrence, TaskRef
from sapphirelead.sched_place import Need, can_take_work, choose
from sapphirelead.sched_plan_turn import Budget, PlanTurn
from sapphirelead.sched_room import Kind, Openings
from sapphirelead.sched_spec import QueuePolicy, StepSpec, chain_ms

STARVING_S: Final = 1.5
"""How long a job may wait with nothing running although its turn has come.  Callers are promised
that no job stands still for 3 s while there is room for it."""

GATHER_S: Final = 0.15
"""How long new lasting tasks wait for others.

They often come together and stay for minutes; packed by size they leave whole workers to filling
work."""

LOOK_AGAIN_S: Final = 0.1
"""Pause before filling work that found no room is looked at again; room comes a few times a second,
rounds far more often."""


@dataclass(slots=True)
class Ready:
    """A step that may start, with its tasks that have no claim."""

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
        """Order in which steps are given room.

        Lasting tasks go first in their priority.  A job that can no longer meet its objective
        earns little however soon it ends: it goes behind those that still can.  Filling work shares
        what is left, and often there is less than it asks for; the job with the least left to do
        goes first, since by deadline all would be late together.
        """
        if self.step.lasting:
            # The largest first: small tasks then fill the gaps, and whole workers stay free.
            return self.policy.priority, False, False, -float(self.step.cpu_millicores)
        if self.step.fills:
            return self.policy.priority, True, self.slack_s < 0, self.left_core_s
        return self.policy.priority, True, self.slack_s < 0, self.slack_s

    @property
    def left_core_s(self) -> float:
        """Work left in the occurrence, in core-seconds by its estimates."""
        steps = self.job.spec.steps
        return sum(
            left * step.cpu_millicores * step.estimate_ms / 1e6
            for left, step in zip(self.occurrence.left, steps, strict=True)
        )

    @property
    def new(self) -> bool:
        """Whether none of its tasks has ever been claimed."""
        tasks = self.occurrence.tasks[self.number]
        return not any(task.attempts for task in tasks)


@dataclass(slots=True)
class Candidate:
    """A step that may be given room in a pass.

    :ivar tickets: workers that the advice service allows, or ``None`` where none is needed.
    :ivar starving: its job has had nothing running for a while.
    """

    ready: Ready
    tickets: dict[str, str] | None
    starving: bool

    @property
    def key(self) -> StepKey:
        """Identity of the step."""
        return self.ready.key

    @property
    def kind(self) -> Kind:
        """What decides where its tasks find room, but for their size."""
        return Kind.of(self.ready.step, self.ready.policy.service, self.starving)


@dataclass(frozen=True, slots=True)
class AdviceAsk:
    """A question to the advice service."""

    key: StepKey
    workers: list[str]
    policy: QueuePolicy


def slack_s(job: Job, occurrence: Occurrence, number: int, policy: QueuePolicy, wall: int) -> float:
    """Return how long the step can still wait within its job's objective, in seconds."""
    spec = job.spec
    begin_ms = spec.accepted_ms
    if spec.occurrences:
        begin_ms = spec.first_due_ms + occurrence.number * spec.interval_ms
    rest = chain_ms(spec.steps)
    objective_ms = policy.stretch * max(rest) + policy.slack_ms
    return (begin_ms + objective_ms - wall - rest[number]) / 1000


def ready_steps(sched: Scheduler, at: float, wall_ms: int) -> list[Ready]:
    """Return the steps that may start, have tasks without a claim, and are to be looked at now.

    Those that found no room a moment ago are left out and stay known as ready; steps that are not
    ready any more are forgotten.
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
                if occurrence.left[number] == 0 or not occurrence.step_ready(step):
                    continue
                key = (job.spec.job_id, occurrence.number, number)
                if at < sched.retry_at.get(key, 0.0):
                    seen.add(key)
                    continue
                tasks = _unclaimed(occurrence, number, step)
                if tasks:
                    seen.add(key)
                    slack = slack_s(job, occurrence, number, policy, wall_ms)
                    found.append(Ready(job, occurrence, number, step, policy, tasks, slack))
    for key in [key for key in sched.ready_since if key not in seen]:
        del sched.ready_since[key]
        sched.retry_at.pop(key, None)
    return found


def _anything_runs(occurrence: Occurrence) -> bool:
    return any(task.claims for tasks in occurrence.tasks for task in tasks)


def _unclaimed(occurrence: Occurrence, number: int, step: StepSpec) -> list[int]:
    tasks = occurrence.tasks[number]
    free = [index for index, task in enumerate(tasks) if not task.done and not task.claims]
    if step.gang and len(free) < len(tasks):
        # A gang starts as a whole, once every member of the run before is seen to be over.
        return []
    return free


def add_due_occurrences(sched: Scheduler, wall_ms: int) -> None:
    """Let occurrences begin that are due; never early, whatever the clock's error."""
    for job in sched.open_jobs.values():
        if job.spec.occurrences and job.open:
            job.add_due_occurrences(wall_ms)


def plan(
    sched: Scheduler, at: float, wall_ms: int, turn: PlanTurn | None = None
) -> list[AdviceAsk]:
    """Claim whatever can start now; return the questions that the advice service should get.

    :param turn: limits the time; without it every step is looked at.
    """
    turn = turn or PlanTurn()
    add_due_occurrences(sched, wall_ms)
    asks: list[AdviceAsk] = []
    candidates = _candidates(sched, at, wall_ms)
    live = list(sched.fleet.live())
    if candidates:
        sched.no_room.begin(live, at)
    plain = ((item.kind, item.ready.step) for item in candidates if item.tickets is None)
    openings = Openings(sched.no_room, plain, sched.press, at)
    for item in turn.order(candidates, sched.ready_since, at, partial(_has_new_room, openings)):
        ready = item.ready
        turn.look(ready.key, at)
        if ready.policy.advice is not None:
            asks.extend(_ask(sched, ready, at))
        places = _places(sched, item, openings) if item.tickets is None else live
        if not places:
            if ready.step.fills:
                sched.retry_at[ready.key] = at + LOOK_AGAIN_S
            continue
        need = Need(
            ready.step,
            ready.policy.service,
            item.tickets,
            item.starving,
            sched.press,
            len(ready.tasks),
        )
        if ready.step.gang:
            _place_gang(sched, ready, _able(live, need, at), need, at)
        else:
            able = _able(places, need, at)
            all_placed = _place_tasks(sched, ready, able, need, at, turn.budget)
            if not all_placed and item.tickets is None:
                sched.no_room.note(item.kind, ready.step)
    return asks


def _candidates(sched: Scheduler, at: float, wall_ms: int) -> list[Candidate]:
    """Return the steps to look at, in the order in which they are given room."""
    found = []
    for ready in sorted(ready_steps(sched, at, wall_ms), key=lambda item: item.rank):
        since = sched.ready_since.get(ready.key)
        if since is None:
            since = sched.ready_since[ready.key] = at
            _log_ready(ready)
        if ready.step.lasting and ready.new and at - since < GATHER_S:
            continue
        tickets = None
        if ready.policy.advice is not None:
            tickets = sched.advice.valid(ready.key, at)
        starving = at - since > STARVING_S and not _anything_runs(ready.occurrence)
        found.append(Candidate(ready, tickets, starving))
    return found


def _has_new_room(openings: Openings, item: Candidate) -> bool:
    """Return whether a worker may have room for the step that has not been tried for it yet.

    It is ``False`` for steps with tickets, gangs and limits for each worker, of which that is not
    kept.
    """
    step = item.ready.step
    if item.tickets is not None or step.gang or step.per_worker:
        return False
    return bool(openings.places(item.kind, step))


def _places(sched: Scheduler, item: Candidate, openings: Openings) -> list[Instance]:
    """Return the workers that may have room for a step's tasks, by whether it starves now."""
    if item.starving and _anything_runs(item.ready.occurrence):
        # An earlier step of the same job has been given room in this pass.  The openings of the
        # kind that it has now were judged without it.
        item.starving = False
        return sched.no_room.places(item.kind, item.ready.step)
    return openings.places(item.kind, item.ready.step)


def _able(places: list[Instance], need: Need, at: float) -> list[Instance]:
    return [place for place in places if can_take_work(place, need, at)]


def _log_ready(ready: Ready) -> None:
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
    """Yield each step that could start, with the number of its tasks that have no claim."""
    for job_id, occurrence_number, number in sched.ready_since:
        job = sched.jobs.get(job_id)
        occurrence = job.occurrences.get(occurrence_number) if job is not None else None
        if job is not None and occurrence is not None:
            step = job.spec.steps[number]
            yield step, len(_unclaimed(occurrence, number, step))


def wanted_cpu(sched: Scheduler) -> int:
    """Return the processors that filling work lacks, waiting or paced, in thousandths."""
    waiting = sum(step.cpu_millicores * tasks for step, tasks in waiting_tasks(sched) if step.fills)
    paced = sum(
        run.step.cpu_millicores * (100 - max(0, run.paced)) // 100
        for run in sched.fleet.runs.values()
        if run.step.fills
    )
    return waiting + paced


def _ask(sched: Scheduler, ready: Ready, at: float) -> list[AdviceAsk]:
    workers = [
        instance.worker.worker
        for instance in sched.fleet.live()
        if instance.worker is not None
        and instance.worker.service == ready.policy.service
        and not instance.worker.draining
    ]
    wanted = sched.advice.to_ask(ready.key, workers, at)
    return [AdviceAsk(ready.key, wanted, ready.policy)] if wanted else []


def _place_tasks(
    sched: Scheduler,
    ready: Ready,
    places: list[Instance],
    need: Need,
    at: float,
    budget: Budget,
) -> bool:
    """Claim places for the step's tasks while there is time, for one at least.

    :return: ``False`` where one of them fits nowhere.
    """
    choice = Choice(places, need, TaskRef(*ready.key, ready.tasks[0]))
    for index in ready.tasks:
        ref = TaskRef(*ready.key, index)
        place = choice.take(sched.avoid.get(ref, frozenset()))
        if place is None:
            if need.step.fills:
                sched.retry_at[ready.key] = at + LOOK_AGAIN_S
            return False
        sched.claim(ready.job, ref, place, at)
        if need.starving:
            # One task is enough for the job to go on; the others wait for real room.
            return True
        if budget.spent:
            return True
        if not place.track.on_trial:
            choice.put_back(place)
    return True


def _place_gang(
    sched: Scheduler, ready: Ready, places: list[Instance], need: Need, at: float
) -> None:
    """Place all members or none; on one rack first where they work better together."""
    racks = sorted({place.rack for place in places}) if ready.step.same_rack else []
    groups = [[place for place in places if place.rack == rack] for rack in racks]
    attempt = 1 + max(task.attempts for task in ready.occurrence.tasks[ready.number])
    for group in [*groups, places]:
        runs = []
        for index in ready.tasks:
            ref = TaskRef(*ready.key, index)
            place = choose(group, need, ref, sched.avoid.get(ref, frozenset()))
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
