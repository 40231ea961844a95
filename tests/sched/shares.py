"""A fleet whose tasks run for set times, around the real scheduler and planner; no network."""

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_parts import LeaderParts
from sapphirelead.node_messages import RunEnded
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Phase
from sapphirelead.sched_job import Job
from sapphirelead.sched_parts import PartsConfig, PreemptionConfig, ShareSpec, SharingConfig
from sapphirelead.sched_planner import plan
from sapphirelead.sched_scan_order import Budget, ScanOrder
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, scheduler, worker_info

TICK_S = 0.02
REPORT_INTERVAL_S = 0.4
WORKER_CPU = 32_000


@dataclass
class Load:
    """Jobs that a queue submits.

    :ivar jobs_per_s: rate of submissions, evenly spaced.
    :ivar until_s: time of the last submission.
    :ivar spread: standard deviation of the logarithm of the run times of its tasks.
    """

    queue: str
    step: StepSpec
    jobs_per_s: float
    until_s: float
    spread: float = 0.0
    from_s: float = 0.0
    priority: int = 0


@dataclass
class Fleet:
    """Workers, callers and the leader.

    :ivar completions: time from acceptance to completion, by queue and job.
    :ivar core_s: core-seconds of claims, by queue.
    :ivar each_tick: called before each pass.
    :ivar preemption: ``None`` while it is off.
    :ivar stop_s: time from a stop order until the run has ended.
    :ivar checks_per_pass: checks of the time budget after which it is spent; 0 for no budget.
    """

    workers: int
    config: SharingConfig | None
    loads: list[Load]
    sched: Scheduler = field(default_factory=scheduler)
    at: float = 0.0
    completions: dict[str, dict[str, float]] = field(default_factory=dict)
    core_s: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    each_tick: Callable[["Fleet"], None] = lambda _: None
    checks_per_pass: int = 0
    preemption: PreemptionConfig | None = None
    stop_s: float = 0.06
    scan_order: ScanOrder = field(default_factory=ScanOrder)

    def __post_init__(self) -> None:
        self.rng = random.Random(1)
        self.submitted: Counter[int] = Counter()
        self.spreads: dict[str, float] = {}
        self.open: dict[str, tuple[str, float]] = {}
        self.running: list[tuple[float, str, str, int]] = []
        self.ends: dict[str, list[RunEnded]] = {}
        self.ended: set[tuple[str, int]] = set()
        self.stopping: set[tuple[str, int]] = set()
        self.started_at: dict[str, float] = {}
        self.lead(self.sched)

    def lead(self, sched: Scheduler) -> None:
        """Let ``sched`` lead from now on."""
        self.sched = sched
        self.agents = Agents(sched)
        if self.preemption is not None:
            sched.policies = {load.queue: QueuePolicy("svc", load.priority) for load in self.loads}
        self.parts = LeaderParts(sched, Metrics(lambda: self.at))
        self.configure(self.config)

    def succeed(self, data: bytes | None, age_s: float) -> None:
        """Let a new leader take over that has read the claims and the row of usage."""
        stored = [Job.decode(job.spec, job.encode()) for job in self.sched.jobs.values()]
        self.lead(Scheduler(self.sched.bounds, self.at))
        for job in stored:
            self.sched.load(job)
        sharing = self.sched.sharing
        if data is not None and sharing is not None:
            sharing.restore(data, age_s)

    def configure(self, config: SharingConfig | None) -> None:
        """Apply a configuration."""
        self.config = config
        self.parts.set_config(PartsConfig(sharing=config, preemption=self.preemption))

    def run(self, seconds: float) -> "Fleet":
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()
        return self

    def tick(self) -> None:
        """Submit what is due, report ends, and plan."""
        self.at += TICK_S
        for load in self.loads:
            self._submit(load)
        while self.running and self.running[0][0] <= self.at:
            _, agent, task, attempt = heapq.heappop(self.running)
            if (task, attempt) in self.ended:
                continue
            kind = "stopped" if (task, attempt) in self.stopping else "done"
            self.ended.add((task, attempt))
            self.ends.setdefault(agent, []).append(RunEnded(0, task, attempt, kind, ""))
        beat = round(self.at / TICK_S) % round(REPORT_INTERVAL_S / TICK_S)
        for number in range(self.workers):
            agent = f"g{number}"
            if beat == 0 or agent in self.ends or agent not in self.agents.seqs:
                self._report(agent)
        self.each_tick(self)
        if self.checks_per_pass:
            checks = count()
            self.scan_order.budget = Budget(lambda: float(next(checks)), self.checks_per_pass)
        plan(self.sched, self.at, int(self.at * 1000), self.scan_order)
        self.parts.after_plan(self.at, int(self.at * 1000), self.scan_order)
        self._store()
        for run in self.sched.fleet.runs.values():
            queue = self.sched.jobs[run.ref.job_id].spec.queue
            self.core_s[queue] += run.step.cpu_millicores / 1000 * TICK_S

    def _report(self, agent: str) -> None:
        runs = self.sched.fleet.instance(agent).runs.values()
        ends = self.ends.pop(agent, [])
        ended = {(end.task, end.attempt) for end in ends}
        present = [
            (run.ref.text(), run.attempt)
            for run in runs
            if run.phase is not Phase.CLAIMED and (run.ref.text(), run.attempt) not in ended
        ]
        self.agents.report(
            agent, worker_info(f"w-{agent}", cpu=WORKER_CPU), present, ends, at=self.at
        )

    def _submit(self, load: Load) -> None:
        number = self.loads.index(load)
        due = int((min(self.at, load.until_s) - load.from_s) * load.jobs_per_s + 1e-6)
        while self.submitted[number] < due:
            self.submitted[number] += 1
            job_id = f"{load.queue}-{number}-{self.submitted[number]}"
            policy = QueuePolicy("svc", priority=load.priority)
            wall_ms = int(self.at * 1000)
            spec = JobSpec(job_id, load.queue, "", (load.step,), policy, accepted_ms=wall_ms)
            self.spreads[job_id] = load.spread
            self.open[job_id] = load.queue, self.at
            self.sched.submit(spec, lambda *_: None)

    def _store(self) -> None:
        while self.sched.has_pending_writes:
            batch = self.sched.take_batch(int(self.at * 1000))
            for effect in batch.effects:
                effect()
            for delta in batch.deltas:
                job = self.sched.jobs.get(delta.job_id)
                if job is not None and not job.open and delta.job_id in self.open:
                    queue, since = self.open.pop(delta.job_id)
                    self.completions.setdefault(queue, {})[delta.job_id] = self.at - since
        for agent in list(self.agents.seqs):
            starts, stops, _ = self.sched.orders_for(agent, self.at)
            for stop in stops:
                self._stop(agent, stop.task, stop.attempt)
            for start in starts:
                self.started_at.setdefault(start.task, self.at)
                ref = TaskRef.parse(start.task)
                assert ref is not None
                run = self.sched.fleet.runs[ref, start.attempt]
                factor = self.rng.lognormvariate(0, self.spreads[ref.job_id])
                ends_at = self.at + run.step.estimate_ms / 1000 * factor
                heapq.heappush(self.running, (ends_at, agent, start.task, start.attempt))

    def _stop(self, agent: str, task: str, attempt: int) -> None:
        if (task, attempt) not in self.stopping | self.ended:
            self.stopping.add((task, attempt))
            heapq.heappush(self.running, (self.at + self.stop_s, agent, task, attempt))


def quiet(
    tasks: int = 10,
    estimate_ms: int = 1280,
    queue: str = "quiet",
    cpu: int = 1000,
    from_s: float = 0.0,
) -> Load:
    """Return a queue that submits one job a second, for a tenth of a small fleet at most."""
    step = StepSpec(tasks=tasks, cpu_millicores=cpu, estimate_ms=estimate_ms)
    return Load(queue, step, 1.0, 10.0, from_s=from_s)


def guaranteed(*queues: str, share: float = 0.3) -> SharingConfig:
    """Return a configuration in which each queue is guaranteed a share."""
    return SharingConfig(organisations={queue: ShareSpec(guaranteed=share) for queue in queues})
