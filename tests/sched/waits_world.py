"""A simulated fleet with random faults, for judging how long tasks wait.

Leaders run the product's scheduler, planner and reviews; agents, workers and the advice service are
simulated tick by tick.
"""

import math
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import (
    AgentReport,
    RunEnded,
    RunPhase,
    RunStatus,
    StartOrder,
    WorkerInfo,
)
from sapphirelead.node_ports import StartAnswer
from sapphirelead.sched_consolidate import Consolidation
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import Job
from sapphirelead.sched_leaving import empty_leaving_workers
from sapphirelead.sched_memory import LeaderMemory
from sapphirelead.sched_planner import AdviceRequest, plan, wanted_cpu
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import JobSpec, StepSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_survey import survey
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import worker_info

TICK_S: Final = 0.1
REPORT_TICKS: Final = 3
REVIEW_TICKS: Final = 3
MEMORY_TICKS: Final = 5
SURVEY_TICKS: Final = 10
MAX_START_S: Final = 0.3
"""Maximum time from an order to the start of its run."""

RunName = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Failing:
    """How a worker fails the runs that it starts.

    :ivar share: share of the runs that fail.
    :ivar min_s: shortest time from the start of a run to its failure.
    """

    share: float
    min_s: float
    max_s: float


@dataclass(slots=True)
class WorkerRun:
    """A run on a worker.

    :ivar fails_at: when it fails, unless it has ended.
    :ivar crashes_at: when it crashes its worker, unless it has ended.
    """

    step: StepSpec
    started_at: float
    fails_at: float = math.inf
    crashes_at: float = math.inf
    percent: float = 0.0


@dataclass(slots=True)
class Site:
    """An agent and its worker.

    :ivar down_until: the worker is down until then; 0 while it is up.
    :ivar draining_until: the worker leaves then; 0 while it is not draining.
    :ivar silent_until: nothing is exchanged with the leader until then.
    :ivar refuses_until: starts are refused for lack of room until then.
    :ivar seen: runs whose start order this life of the worker has received.
    :ivar due: accepted starts, with their time.
    :ivar renewed_at: when its agent's lease was last renewed.
    """

    name: str
    cpu: int
    labels: tuple[str, ...]
    life: int = 0
    number: int = 0
    down_until: float = 0.0
    draining_until: float = 0.0
    silent_until: float = 0.0
    refuses_until: float = 0.0
    slow: bool = False
    failing: Failing | None = None
    renewed_at: float = 0.0
    changed: bool = False
    runs: dict[RunName, WorkerRun] = field(default_factory=dict)
    seen: set[RunName] = field(default_factory=set)
    due: list[tuple[float, StartOrder]] = field(default_factory=list)
    ended: list[RunEnded] = field(default_factory=list)
    gone: list[WorkerLife] = field(default_factory=list)
    left: list[WorkerLife] = field(default_factory=list)

    @property
    def worker(self) -> WorkerLife:
        """Present or last life of the worker."""
        return WorkerLife(f"w-{self.name}/{self.life}")

    @property
    def sound(self) -> bool:
        """Whether the worker takes runs and does not fail them."""
        faulty = self.failing is not None or self.slow
        return not (self.down_until or self.draining_until or faulty)

    def info(self, at: float) -> WorkerInfo | None:
        """Return what the worker reports about itself."""
        if self.down_until:
            return None
        left_ms = int(max(0.0, self.draining_until - at) * 1000)
        return worker_info(
            self.worker,
            self.cpu,
            labels=self.labels,
            draining=bool(self.draining_until),
            remaining_ms=left_ms,
        )


class WaitsWorld:
    """The fleet and its successive leaders.

    :ivar sched: the present leader's scheduler; ``None`` while there is none.
    :ivar disturbed_at: when something was last wrong, other than planned work.
    :ivar poison: jobs whose tasks crash the workers that start them.
    :ivar broken: jobs whose batch tasks always fail.
    :ivar last_ran: when each task last ran.
    :ivar failures: stored failures by task.
    :ivar events: what happened to each task, for traces.
    :ivar problems: broken promises other than waits.
    """

    def __init__(self, rng: random.Random, sites: list[Site]) -> None:
        self.rng = rng
        self.at = 100.0
        self.sites = {site.name: site for site in sites}
        self.sched: Scheduler | None = Scheduler(Bounds(), self.at)
        self.epoch = 1
        self.disturbed_at = self.at
        self.specs: dict[str, JobSpec] = {}
        self.poison: set[str] = set()
        self.broken: set[str] = set()
        self.last_ran: dict[str, float] = {}
        self.failures: Counter[str] = Counter()
        self.events: defaultdict[str, list[str]] = defaultdict(list)
        self.problems: list[str] = []
        self._stored: list[Job] = []
        self._memory = LeaderMemory()
        self._leads_again_at = 0.0
        self._consolidation = Consolidation()
        self._advice: list[tuple[float, AdviceRequest]] = []
        self._advised_at = 0.0
        self._ticks = 0
        self._ends = 0

    @property
    def leader(self) -> Scheduler:
        """The present leader's scheduler."""
        assert self.sched is not None
        return self.sched

    def note(self, task: str, what: str) -> None:
        """Record what happened to a task."""
        self.events[task].append(f"{self.at:.1f} {what}")

    def submit(self, spec: JobSpec) -> None:
        """Hand a job in; without a leader it is handed in to the next one."""
        self.specs[spec.job_id] = spec
        if self.sched is not None:
            self.sched.submit(spec, lambda *_: None)

    def running(self, task: str) -> bool:
        """Whether a task runs by now."""
        return self.last_ran.get(task, -1.0) == self.at

    # Leaders

    def kill_leader(self, pause_s: float) -> None:
        """End the present leader's term; the next one knows only what is stored."""
        if self.sched is not None:
            self._stored = [Job.decode(job.spec, job.encode()) for job in self.sched.jobs.values()]
        self.sched = None
        self._advice = []
        self._leads_again_at = self.at + pause_s

    def _lead_again(self) -> None:
        self.epoch += 1
        self._consolidation = Consolidation()
        sched = self.sched = Scheduler(Bounds(), self.at)
        for job in self._stored:
            sched.load(job)
        sched.inherit(self._memory, self.at)
        for spec in self.specs.values():
            if spec.job_id not in sched.jobs:
                sched.submit(spec, lambda *_: None)

    def tick(self) -> None:
        """Let the fleet and its leader work for one tick."""
        self._ticks += 1
        self.at = round(self.at + TICK_S, 3)
        if self.sched is None and self.at >= self._leads_again_at:
            self._lead_again()
        for site in self.sites.values():
            self._work(site)
        if self.sched is None:
            self.disturbed_at = self.at
            return
        for offset, site in enumerate(self.sites.values()):
            if site.changed or (self._ticks + offset) % REPORT_TICKS == 0:
                self._report(site)
        self._decide(self.sched)
        self._store(self.sched)
        for site in self.sites.values():
            if self.at >= site.silent_until:
                self._send(self.sched, site)

    def _decide(self, sched: Scheduler) -> None:
        sched.end_runs_of_lost_agents(self.at)
        if self._ticks % REVIEW_TICKS == 0:
            review(sched, self.at)
            empty_leaving_workers(sched, self.at)
            self._consolidation.review(sched, wanted_cpu(sched), self.at)
        if self._ticks % SURVEY_TICKS == 0:
            survey(sched, self.at)
        self._answer_advice(sched)
        for request in plan(sched, self.at, int(self.at * 1000)):
            self._ask(request)

    def _store(self, sched: Scheduler) -> None:
        for effect in sched.take_batch(int(self.at * 1000)).effects:
            effect()
        if self._ticks % MEMORY_TICKS == 0:
            self._memory = LeaderMemory.decode(sched.memory(self.at).to_write().value)

    def _ask(self, request: AdviceRequest) -> None:
        policy = request.policy.advice
        assert policy is not None
        took_s = (policy.base_ms + policy.each_ms * len(request.workers)) / 1000
        self._advised_at = max(self._advised_at, self.at) + took_s
        self._advice.append((self._advised_at, request))

    def _answer_advice(self, sched: Scheduler) -> None:
        for due_at, request in list(self._advice):
            if due_at <= self.at and request.policy.advice is not None:
                self._advice.remove((due_at, request))
                good = dict.fromkeys(request.workers, "t")
                valid_s = request.policy.advice.valid_ms / 1000
                sched.advice.add_tickets(request.key, good, due_at + valid_s)

    # Agents

    def _report(self, site: Site) -> None:
        if self.at < site.silent_until:
            return
        site.changed = False
        site.number += 1
        statuses = [
            RunStatus(order.task, order.attempt, RunPhase.STARTING) for _, order in site.due
        ]
        statuses += [self._status(name, run) for name, run in site.runs.items()]
        report = AgentReport(
            site.name,
            "b",
            site.number,
            self.epoch,
            1,
            site.info(self.at),
            True,
            statuses,
            list(site.ended),
            tuple(site.gone),
            left_workers=tuple(site.left),
        )
        apply_report(self.leader, report, self.epoch, self.at)
        self.leader.fleet.instance(site.name).renewed_at = site.renewed_at = self.at

    def _status(self, name: RunName, run: WorkerRun) -> RunStatus:
        percent = 100 if run.step.lasting else int(run.percent)
        measured = 30 if run.step.target_ms else -1
        return RunStatus(*name, RunPhase.RUNNING, percent, measured)

    def _send(self, sched: Scheduler, site: Site) -> None:
        starts, stops, stored = sched.orders_for(site.name, self.at)
        for order in starts:
            self._accept(sched, site, order)
        for stop in stops:
            self._stop(site, (stop.task, stop.attempt))
        for end in list(site.ended):
            if (end.task, end.attempt) in stored:
                site.ended.remove(end)
                self.failures[end.task] += end.kind == "failed"

    def _accept(self, sched: Scheduler, site: Site, order: StartOrder) -> None:
        name = (order.task, order.attempt)
        ref = TaskRef.parse(order.task)
        run = sched.fleet.runs.get((ref, order.attempt)) if ref is not None else None
        if run is None or run.worker != site.worker or site.down_until or name in site.seen:
            return
        site.seen.add(name)
        if site.draining_until:
            self._end(site, name, "not_started", StartAnswer.UNHEALTHY)
        elif self.at < site.refuses_until:
            self._end(site, name, "not_started", StartAnswer.NO_ROOM)
        else:
            site.due.append((self.at + self.rng.uniform(0.0, MAX_START_S), order))

    def _stop(self, site: Site, name: RunName) -> None:
        site.due = [item for item in site.due if (item[1].task, item[1].attempt) != name]
        site.seen.add(name)
        if not any(name == (end.task, end.attempt) for end in site.ended):
            self._end(site, name, "stopped")

    def _end(self, site: Site, name: RunName, kind: str, reason: str = "") -> None:
        site.runs.pop(name, None)
        site.changed = True
        self._ends += 1
        site.ended.append(RunEnded(self._ends, *name, kind, "", reason))
        self.note(name[0], f"{kind} {reason} on {site.name}")

    # Workers

    def _work(self, site: Site) -> None:
        if site.down_until:
            if self.at < site.down_until:
                return
            site.down_until = 0.0
            site.life += 1
            site.changed = True
        if site.draining_until and self.at >= site.draining_until:
            site.left.append(site.worker)
            self.take_down(site, self.rng.uniform(0.5, 3.0))
            return
        for due_at, order in list(site.due):
            if due_at <= self.at:
                site.due.remove((due_at, order))
                self._start(site, order)
        if self.at - site.renewed_at > Bounds().lease_s:
            for name in list(site.runs):
                self._end(site, name, "lapsed")
        for name, run in list(site.runs.items()):
            if self.at >= run.crashes_at:
                self.crash(site, self.rng.uniform(1.0, 3.0))
                return
            self._advance(site, name, run)

    def _advance(self, site: Site, name: RunName, run: WorkerRun) -> None:
        self.last_ran[name[0]] = self.at
        if self.at >= run.fails_at:
            self._end(site, name, "failed")
        elif not run.step.lasting:
            work_ms = run.step.estimate_ms or 800
            run.percent += 100 * TICK_S * 1000 / work_ms * (0.1 if site.slow else 1.0)
            if run.percent >= 100:
                self._end(site, name, "done")

    def _start(self, site: Site, order: StartOrder) -> None:
        name = (order.task, order.attempt)
        ref = TaskRef.parse(order.task)
        assert ref is not None
        spec = self.specs[ref.job_id]
        step = spec.steps[ref.step]
        self.note(order.task, f"starts on {site.name}")
        if not step.lasting and self.failures[order.task] >= spec.policy.max_failures:
            self.problems.append(f"{self.at:.1f} {order.task} starts beyond its failures")
        run = site.runs[name] = WorkerRun(step, self.at)
        site.changed = True
        failing = site.failing
        if ref.job_id in self.broken and not step.lasting:
            run.fails_at = self.at + 0.5
        elif failing is not None and self.rng.random() < failing.share:
            run.fails_at = self.at + self.rng.uniform(failing.min_s, failing.max_s)
        if ref.job_id in self.poison:
            run.crashes_at = self.at + 0.3

    def crash(self, site: Site, restart_s: float) -> None:
        """Crash a worker with its runs; it returns with another life."""
        self.disturbed_at = self.at
        self.take_down(site, restart_s)

    def take_down(self, site: Site, restart_s: float) -> None:
        """End a worker's life."""
        for task, _ in site.runs:
            self.note(task, f"ends with {site.worker}")
        site.gone.append(site.worker)
        site.runs.clear()
        site.seen.clear()
        site.due.clear()
        site.ended.clear()
        site.draining_until = 0.0
        site.down_until = self.at + restart_s
        site.changed = True

    def instance_cpu(self, site: Site) -> Resources:
        """Return what the leader has claimed on a worker."""
        return self.leader.fleet.instance(site.name).used
