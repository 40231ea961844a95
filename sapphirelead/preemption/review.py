"""Makes room for urgent tasks after a planning pass that found none.  No I/O.

Answers a fleet full of long low-priority tasks: a task that is due within seconds would wait for
one of them to end.  A review looks at a sample of the workers with runs that may be stopped, since
among many workers the best of a few is nearly as good as the best of all, and a review must not
take longer than a planning pass.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.preemption.history import StopHistory
from sapphirelead.preemption.holds import Hold, RoomHolds
from sapphirelead.preemption.loss_budget import LossBudget
from sapphirelead.preemption.protection import loses_all
from sapphirelead.preemption.rights import Pending, PreemptionRight, PriorityRight, queues_below
from sapphirelead.preemption.run_index import RunIndex
from sapphirelead.preemption.survey import RoomSurvey, SeenEnds
from sapphirelead.preemption.victims import Choice
from sapphirelead.preemption.waiting import WaitingStep, is_waiting, waiting_steps
from sapphirelead.preemption.worker_room import WorkerRoom
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import PlacementRequest, has_room, is_eligible
from sapphirelead.sched_fleet import Instance, Run, RunKey
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_parts import PreemptionConfig
from sapphirelead.sched_run_ends import PREEMPTED
from sapphirelead.sched_task import StepKey, TaskRef

REVIEW_INTERVAL_S: Final = 0.05
"""Minimum time between two reviews; small against the second within which urgent work starts."""

MIN_WORKERS: Final = 16
"""Workers that are compared for one task, if that many have runs that may be stopped."""

MAX_JUDGED: Final = 64
"""Number of times that a worker is judged in one review; the next one continues."""

MAX_DECISIONS: Final = 32
"""Tasks for which one review makes room, if they are in no gang; one takes up to 0.3 ms."""

MAX_SCANNED: Final = 256
"""Workers that are considered for one task, also those that do not take it; the next review begins
behind them."""

STOP_MARGIN_S: Final = 1.0
"""Time beyond the kill grace period after which a stop counts as failed; covers an order that is
lost and sent again after 0.6 s."""

DENIED_LOG_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Decision:
    """Room that is made on a worker for one task."""

    ref: TaskRef
    instance: Instance
    choice: Choice


class Preemption:
    """Preemption in one term of leadership; an observer of runs.

    :ivar history: stops of each task, which a successor starts from.
    """

    history: StopHistory
    _sched: Scheduler
    _metrics: Metrics
    _right: PreemptionRight
    _budget: LossBudget
    _holds: RoomHolds
    _index: RunIndex
    _seen: SeenEnds
    _stopping: set[RunKey]
    _pending: Pending | None
    _reviewed_at: float
    _first_worker: int
    _reach: int
    _decisions: int
    _denied_at: float

    def __init__(
        self,
        sched: Scheduler,
        metrics: Metrics,
        config: PreemptionConfig,
        right: PreemptionRight | None = None,
    ) -> None:
        """Create it for a scheduler that may have runs already.

        :param right: by default, priority alone decides.
        """
        self.history = StopHistory(config)
        self._sched = sched
        self._metrics = metrics
        self._right = right or PriorityRight(lambda: sched.policies)
        self._budget = LossBudget()
        self._holds = RoomHolds()
        self._index = RunIndex()
        self._seen = SeenEnds()
        self._stopping = set()
        self._pending = None
        self._reviewed_at = 0.0
        self._first_worker = 0
        self._reach = 0
        self._decisions = 0
        self._denied_at = -DENIED_LOG_INTERVAL_S
        for run in sched.fleet.runs.values():
            job = sched.jobs.get(run.ref.job_id)
            self._index.add(run, job.spec.queue if job is not None else "")

    def set_right(self, right: PreemptionRight) -> None:
        """Let another order decide from the next review on."""
        self._right = right

    # Observer of runs

    def claimed(self, run: Run, queue: str, at: float) -> None:
        """Record a claim, also one of an earlier leader."""
        self._index.add(run, queue)

    def ended(self, run: Run, queue: str, kind: EndKind, at: float) -> None:
        """Record the end of a run, and hold its room for the task that it was stopped for."""
        self._index.drop(run)
        self._seen.forget(run)
        self._stopping.discard(run.key)
        if kind is EndKind.DONE:
            self.history.forget(run.ref)
        # Ends that say nothing about their worker come without a time.
        self._holds.run_ended(run, max(at, self._reviewed_at))

    # Review

    def review(self, at: float, wall_ms: int, was_scanned: Callable[[StepKey], bool]) -> None:
        """Claim held room that is free by now, and stop runs for the tasks that found no room.

        :param was_scanned: whether the last planning pass has tried to place a step.
        """
        self._holds.remove_outdated(partial(is_waiting, self._sched), self._max_stop_s, at)
        self._claim_held(at)
        if at - self._reviewed_at < REVIEW_INTERVAL_S or not self._index.queues:
            return
        self._reviewed_at = at
        self._budget.refill(self._index.millicores / 1000, at)
        if not self.history.has_capacity(1, at) and not self._may_log_denied(at):
            return
        self._reach = self._decisions = 0
        self._pending = None
        survey = self._survey(at)
        below = queues_below(self._right, self._index.queues)
        for waiting in waiting_steps(self._sched, was_scanned, below, wall_ms):
            if not self.history.has_capacity(1, at):
                self._log_denied(waiting, "rate", at)
                break
            if self._is_long(survey):
                break
            self._make_room(waiting, survey, at)
        self._first_worker += self._reach

    def close(self) -> None:
        """Give back all held room."""
        for hold in self._holds:
            self._holds.remove(hold)

    @property
    def _max_stop_s(self) -> float:
        return self._sched.bounds.kill_grace_s + STOP_MARGIN_S

    def _survey(self, at: float) -> RoomSurvey:
        return RoomSurvey(
            self._sched,
            self.history,
            self._budget,
            self._holds,
            self._index,
            self._seen,
            self._max_stop_s,
            at,
        )

    def _is_long(self, survey: RoomSurvey) -> bool:
        """Whether the review has done as much as it may."""
        return survey.judged >= MAX_JUDGED or self._decisions >= MAX_DECISIONS

    # Choice

    def _make_room(self, waiting: WaitingStep, survey: RoomSurvey, at: float) -> None:
        tasks = [ref for ref in waiting.tasks if ref not in self._holds]
        if not tasks:
            return
        if not waiting.can_be_in_time:
            self._log_denied(waiting, "late", at)
            return
        if waiting.step.gang:
            self._make_room_for_gang(waiting, tasks, survey, at)
            return
        for ref in tasks:
            if self._is_long(survey):
                return
            decision = self._decide(waiting, ref, survey, at)
            if decision is None or not self._carry_out(waiting, [decision], survey, at):
                return

    def _make_room_for_gang(
        self, waiting: WaitingStep, tasks: list[TaskRef], survey: RoomSurvey, at: float
    ) -> None:
        """Make room for all members or none."""
        decisions = []
        for ref in tasks:
            decision = self._decide(waiting, ref, survey, at, alone=False)
            if decision is None:
                survey.forget()
                return
            survey.room(decision.instance).take(waiting.step.room, decision.choice)
            decisions.append(decision)
        survey.forget()
        if not self._allows(waiting, [decision.choice for decision in decisions]):
            self._log_denied(waiting, "share", at)
            return
        if self._carry_out(waiting, decisions, survey, at):
            survey.forget()

    def _decide(
        self, waiting: WaitingStep, ref: TaskRef, survey: RoomSurvey, at: float, alone: bool = True
    ) -> Decision | None:
        """Return where room is made at the least loss; ``None`` if it is not made.

        :param alone: whether room that is free already means that the task will be placed there.
        """
        self._decisions += 1
        tiers = self._tiers(waiting)
        if not tiers:
            self._log_denied(waiting, "share", at)
            return None
        best: Decision | None = None
        best_rank: tuple[bool, tuple[float, int, int]] | None = None
        avoided = self._sched.avoided(ref)
        looked_at = 0
        for instance in self._places(waiting, ref, survey.agents(waiting.queues), at):
            if best is not None and (looked_at >= MIN_WORKERS or not best.choice.loss_core_s):
                break
            looked_at += 1
            room = survey.room(instance)
            if alone and room.has_room(waiting.step.room):
                # The next pass places it; this one has run out of time.
                return None
            choice = self._choose(waiting, room, tiers)
            if choice is None:
                continue
            rank = instance.agent in avoided, choice.rank
            if best_rank is None or rank < best_rank:
                best, best_rank = Decision(ref, instance, choice), rank
        if best is None:
            spared = ",".join(sorted(survey.protected)) or "no_worker"
            self._log_denied(waiting, spared, at)
        return best

    def _tiers(self, waiting: WaitingStep) -> Sequence[frozenset[str]]:
        """Return whose runs may be stopped for the next task of a step, or for a whole gang."""
        steps = [waiting.step] * (waiting.step.tasks if waiting.step.gang else 1)
        queue = waiting.job.spec.queue
        return self._right.tiers(waiting.queues, queue, steps, self._pending_now)

    def _choose(
        self, waiting: WaitingStep, room: WorkerRoom, tiers: Sequence[frozenset[str]]
    ) -> Choice | None:
        """Return what to stop on a worker for one task, within the bounds of the right."""
        for queues in tiers:
            choice = room.choose(waiting.step.room, queues)
            if choice is not None and self._allows(waiting, [choice]):
                return choice
        return None

    def _allows(self, waiting: WaitingStep, choices: list[Choice]) -> bool:
        runs = {
            run.key: (self._index.queue_of(run), run)
            for choice in choices
            for victim in choice.victims
            for run in victim.runs
        }
        queue = waiting.job.spec.queue
        return self._right.allows(queue, list(runs.values()), self._pending_now)

    def _pending_now(self) -> Pending:
        """Return what the decisions so far will change, computed once between two of them."""
        if self._pending is None:
            jobs, known = self._sched.jobs, self._sched.fleet.runs
            starting = []
            awaited = set(self._stopping)
            for hold in self._holds:
                spec = jobs[hold.ref.job_id].spec
                starting.append((spec.queue, spec.steps[hold.ref.step]))
                awaited |= hold.stopping
            runs = [known[key] for key in awaited if key in known]
            self._pending = Pending(starting, [(self._index.queue_of(run), run) for run in runs])
        return self._pending

    def _places(
        self, waiting: WaitingStep, ref: TaskRef, agents: list[str], at: float
    ) -> Iterator[Instance]:
        """Yield the workers that may run the task, those not reached by the last review first."""
        request = self._request(waiting, at)
        for offset in range(min(MAX_SCANNED, len(agents))):
            agent = agents[(self._first_worker + offset) % len(agents)]
            self._reach = max(self._reach, offset + 1)
            instance = self._sched.fleet.instance(agent)
            if instance.reserved_by_run or not is_eligible(instance, request, at):
                continue
            if not self._sched.reservations.unreserved([instance]):
                continue
            most = waiting.step.per_worker
            held = self._holds.count_of_step(agent, waiting.key)
            if most and instance.count_of_step(ref) + held >= most:
                continue
            yield instance

    def _request(self, waiting: WaitingStep, at: float) -> PlacementRequest:
        advised = waiting.policy.advice is not None
        tickets = self._sched.advice.valid(waiting.key, at) if advised else None
        return PlacementRequest(waiting.step, waiting.policy.service, tickets)

    # Effects

    def _carry_out(
        self, waiting: WaitingStep, decisions: list[Decision], survey: RoomSurvey, at: float
    ) -> bool:
        """Stop the chosen runs and hold their room; ``False`` if too many were stopped lately."""
        runs = {
            run.key: (run, decision)
            for decision in decisions
            for victim in decision.choice.victims
            for run in victim.runs
        }
        if runs and not self.history.has_capacity(len(runs), at):
            self._log_denied(waiting, "rate", at)
            return False
        self._pending = None
        for run, decision in runs.values():
            self._stop(run, decision, waiting, at)
        stopped = [run for run, _ in runs.values()]
        if self._budget.spent:
            survey.forget()
        for decision in decisions:
            survey.forget_stopped(stopped, decision.instance)
            awaited = self._stop_again(survey.awaited(decision.instance))
            self._holds.make(decision.ref, decision.instance, waiting.step.room, awaited, at)
        return True

    def _stop_again(self, awaited: list[Run]) -> set[RunKey]:
        """Request the stops that an earlier leader has requested; return all that are awaited."""
        for run in awaited:
            if run.reported_stopping:
                self._sched.stop(run, PREEMPTED)
        return {run.key for run in awaited}

    def _stop(self, run: Run, decision: Decision, waiting: WaitingStep, at: float) -> None:
        queue = self._index.queue_of(run)
        expected_s = self._sched.lengths.expected_ms(queue, run.step) / 1000
        lost = sum(
            victim.loss_core_s / len(victim.runs)
            for victim in decision.choice.victims
            if run in victim.runs
        )
        self._sched.stop(run, PREEMPTED)
        self._stopping.add(run.key)
        self.history.record(run.ref, at)
        if loses_all(run):
            self._budget.spend(lost)
        self._metrics.count("preemptions_total", queue=queue)
        self._metrics.count("preempted_core_seconds_total", lost, queue=queue)
        log_event(
            "INFO",
            "run_preempted",
            task=run.ref.text(),
            attempt=run.attempt,
            agent=run.agent,
            queue=queue,
            for_task=decision.ref.text(),
            for_queue=waiting.job.spec.queue,
            to=decision.instance.agent,
            lost_core_s=lost,
            ran_s=at - run.running_at if run.running_at else 0.0,
            expected_s=expected_s,
            stops=self.history.stops(run.ref),
        )

    def _may_log_denied(self, at: float) -> bool:
        return at - self._denied_at >= DENIED_LOG_INTERVAL_S

    def _log_denied(self, waiting: WaitingStep, reason: str, at: float) -> None:
        """Log why nothing is stopped, at most once in :data:`DENIED_LOG_INTERVAL_S`."""
        if not self._may_log_denied(at):
            return
        self._denied_at = at
        log_event(
            "INFO",
            "preemption_denied",
            step=".".join(map(str, waiting.key)),
            queue=waiting.job.spec.queue,
            reason=reason,
            slack_s=round(waiting.slack_s, 3),
        )

    # Claims of held room

    def _claim_held(self, at: float) -> None:
        gangs: dict[StepKey, list[Hold]] = {}
        for hold in self._holds:
            job = self._sched.jobs[hold.ref.job_id]
            if job.spec.steps[hold.ref.step].gang:
                gangs.setdefault(hold.ref[:3], []).append(hold)
            elif hold.complete:
                self._claim([hold], at)
        for key, holds in gangs.items():
            members = self._sched.jobs[key[0]].spec.steps[key[2]].tasks
            if len(holds) == members and all(hold.complete for hold in holds):
                self._claim(holds, at)

    def _claim(self, holds: list[Hold], at: float) -> None:
        """Claim the workers of all holds, unless one of them does not take the task by now."""
        ref = holds[0].ref
        job = self._sched.jobs[ref.job_id]
        step, policy = job.spec.steps[ref.step], self._sched.policy_of(job)
        tickets = self._sched.advice.valid(ref[:3], at) if policy.advice is not None else None
        request = PlacementRequest(step, policy.service, tickets)
        if not all(is_eligible(hold.instance, request, at) for hold in holds):
            return
        for hold in holds:
            self._holds.remove(hold)
        tasks = job.occurrences[ref.occurrence].tasks[ref.step]
        attempt = 1 + max(task.attempts for task in tasks) if step.gang else 0
        trials = []
        for hold in holds:
            if not has_room(hold.instance, request, hold.ref):
                break
            trials.append(self._sched.add_tentative_run(job, hold.ref, hold.instance, attempt))
        for trial in trials:
            self._sched.fleet.drop(trial)
        if len(trials) == len(holds):
            for hold in holds:
                self._sched.claim(job, hold.ref, hold.instance, at, attempt)
