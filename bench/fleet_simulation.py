"""Simulates latency-critical and best-effort tasks of a fleet under oscillating load, without I/O.

The real scheduler, planner, straggler review and pace control make the decisions.  The load of each
serving job is a sine wave with a phase of its own and a random jitter for each task; a tail latency
is that of a queue and approaches its steady state exponentially.  Pairs of images interfere by
random weights, which the scheduler has to estimate; :class:`OracleModel` knows them and serves as
the reference for these estimates.  The task of a poison job crashes each worker that starts it.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import (
    AgentReport,
    Orders,
    RunEnded,
    RunPhase,
    RunStatus,
    WorkerInfo,
)
from sapphirelead.policy_pressure import (
    CPU_USED_SHARE,
    LoadBudget,
    load_from_tail,
    tail_at_load,
)
from sapphirelead.runner_pace import PaceControl, TailLatency
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_interference import InterferenceModel
from sapphirelead.sched_job import JobState
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import Bounds
from sapphirelead.sched_zones import EvacuatedZones

TICK_S: Final = 0.05
POLL_INTERVAL_S: Final = 0.45
FULL_REPORT_INTERVAL_S: Final = 0.9
PLAN_INTERVAL_S: Final = 0.1
STOP_DELAY_S: Final = 0.2
IDLE_TAIL_MS: Final = 25.0
TARGET_MS: Final = 150
MEAN_LOAD: Final = 0.48
LOAD_AMPLITUDE: Final = 0.5
LOAD_PERIOD_S: Final = 20.0
LOAD_JITTER: Final = 0.1
TAIL_HALF_LIFE_S: Final = 0.4
STRONG_PAIR_SHARE: Final = 0.4
SHARED_RESOURCES: Final = 4
"""Number of shared resources through which images interfere."""
FILL_POLICY: Final = QueuePolicy("svc", priority=2, stretch=2.0, slack_ms=1000)
SERVING_POLICY: Final = QueuePolicy("svc")
POISON_INTERVAL_S: Final = 5.0
ZONES: Final = 4
RESTART_S: Final = 2.8
"""Time from a crash of a worker until its successor reports."""


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of the simulated fleet.

    :ivar cpu: millicores of each worker.
    :ivar tasks: tasks of each serving job.
    :ivar max_step_tasks: maximum tasks of a fill step.
    :ivar serving_cpu: millicores of each serving task.
    :ivar step_tasks: tasks of each fill step; 0 draws 3 to ``max_step_tasks``.
    :ivar fill_ms: median duration of a fill task.
    :ivar length_error: standard deviation of the logarithm of a step's real duration over its
        estimate.
    :ivar shared_resources: derive the interference of image pairs from shared resources instead of
        drawing each pair independently.
    """

    workers: int = 11
    cpu: int = 32_000
    serving_jobs: int = 8
    serving_images: int = 4
    fill_images: int = 9
    tasks: int = 5
    max_step_tasks: int = 12
    serving_cpu: int = 6_000
    step_tasks: int = 0
    fill_ms: int = 2_800
    length_error: float = 0.0
    shared_resources: bool = False


SMALL: Final = FleetSize()
LARGE: Final = FleetSize(
    workers=70,
    serving_jobs=24,
    serving_images=9,
    fill_images=24,
    tasks=14,
    max_step_tasks=30,
    shared_resources=True,
)


WIDE: Final = FleetSize(
    workers=54,
    serving_jobs=19,
    serving_images=8,
    fill_images=16,
    tasks=14,
    serving_cpu=6_400,
    step_tasks=20,
    fill_ms=5_000,
    length_error=0.5,
    shared_resources=True,
)
"""Small workers that serve everywhere, and wide steps whose estimates are off."""


@dataclass(slots=True)
class GroundTruth:
    """Parameters that the scheduler does not know.

    :ivar weights: interference weight by serving and fill image.
    :ivar phases: phase of the load by serving job, in radians.
    """

    weights: dict[tuple[str, str], float]
    phases: dict[str, float]

    @classmethod
    def from_seed(cls, rng: random.Random, size: FleetSize) -> "GroundTruth":
        """Draw random parameters."""
        sensitive_to = [
            rng.sample(range(SHARED_RESOURCES), rng.choice((1, 1, 2)))
            for _ in range(SHARED_RESOURCES)
        ]
        sensitive_to = [rng.choice(sensitive_to) for _ in range(size.serving_images)]
        stressed = [rng.randrange(-2, SHARED_RESOURCES) for _ in range(size.fill_images)]
        weights = {}
        for serving in range(size.serving_images):
            for fill in range(size.fill_images):
                strong = rng.random() < STRONG_PAIR_SHARE
                if size.shared_resources:
                    strong = stressed[fill] in sensitive_to[serving]
                weight = rng.uniform(0.8, 3.0) if strong else rng.uniform(0.0, 0.4)
                weights[f"s{serving}", f"f{fill}"] = weight
        jobs = range(size.serving_jobs)
        phases = {f"serve{number}": rng.uniform(0, 2 * math.pi) for number in jobs}
        return cls(weights, phases)

    def load(self, job: str, at: float) -> float:
        """Return the load of a serving job, without interference."""
        angle = 2 * math.pi * at / LOAD_PERIOD_S + self.phases[job]
        return MEAN_LOAD * (1 + LOAD_AMPLITUDE * math.sin(angle))


class OracleModel(InterferenceModel):
    """An interference model with the true weights and the loads of the next two seconds."""

    def __init__(self, ground_truth: GroundTruth, clock: Callable[[], float]) -> None:
        super().__init__()
        self._ground_truth = ground_truth
        self._clock = clock

    def weight(self, serving: str, filling: str) -> float:
        """Return the true weight."""
        return self._ground_truth.weights.get((serving, filling), 0.0)

    def _load_budget(self, run: Run, instance: Instance) -> LoadBudget:
        """Return the load that a run tolerates, by the loads to come."""
        job = run.ref.job_id
        load = max(self._ground_truth.load(job, self._clock() + ahead) for ahead in (0.0, 1.0, 2.0))
        return LoadBudget(run.step.image, load, load_from_tail(TARGET_MS, IDLE_TAIL_MS))


@dataclass(slots=True)
class _Run:
    """A run of a task on a worker."""

    ref: TaskRef
    attempt: int
    step: StepSpec
    percent: float = 0.0
    pace: int = 100
    tail_ms: float = IDLE_TAIL_MS
    stops_at: float = math.inf


@dataclass(slots=True)
class _Worker:
    name: str
    next_poll: float
    zone: str = ""
    pace: PaceControl = field(default_factory=PaceControl)
    runs: dict[tuple[str, int], _Run] = field(default_factory=dict)
    ended_runs: list[RunEnded] = field(default_factory=list)
    heartbeat: int = 0
    next_report: float = 0.0
    crashes: int = 0
    down_until: float = 0.0

    @property
    def worker_id(self) -> str:
        """Id of the current worker, new after each crash."""
        return f"w-{self.name}-{self.crashes}" if self.crashes else f"w-{self.name}"


@dataclass(frozen=True, slots=True)
class SimulationResult:
    """Results of a simulation.

    :ivar in_time: share of the due fill jobs that completed by their deadline.
    :ivar used_cores: mean number of cores used by fill tasks.
    :ivar over_target: mean number of serving tasks whose tail latency exceeded their target.
    :ivar serving: mean share of the serving tasks that run.
    :ivar completed: number of fill jobs that have completed.
    :ivar failed: number of fill jobs that were given up.
    :ivar crashes: number of crashes of workers by poison jobs.
    """

    in_time: float
    used_cores: float
    over_target: float
    serving: float
    completed: int
    failed: int
    crashes: int


class FleetSimulation:
    """Simulated workers, controlled by the real scheduler.

    :param poison_jobs: number of jobs, submitted one after the other, whose task crashes workers.
        Unless ``None``, the arrivals of fill jobs do not depend on what runs, so that simulations
        with different numbers have the same fill jobs.
    :ivar round_interval_s: time between two rounds of the leader.
    """

    round_interval_s: float

    def __init__(
        self,
        seed: int,
        oracle: bool = False,
        rate: float = 0.6,
        size: FleetSize = SMALL,
        poison_jobs: int | None = None,
    ) -> None:
        self.round_interval_s = PLAN_INTERVAL_S
        self._rng = random.Random(seed)
        self._size = size
        self._ground_truth = GroundTruth.from_seed(self._rng, size)
        self._now = 0.0
        self._rate = rate
        self._sched = Scheduler(Bounds(), 0.0)
        if oracle:
            self._sched.interference.model = OracleModel(self._ground_truth, lambda: self._now)
        self._workers = [
            _Worker(f"g{n}", self._rng.uniform(0, POLL_INTERVAL_S), f"z{n % ZONES}")
            for n in range(size.workers)
        ]
        self._deadlines_s: dict[str, float] = {}
        self._lengths: dict[tuple[str, int], float] = {}
        self._used_core_s = 0.0
        self._over_target_s = 0.0
        self._serving_s = 0.0
        self._arrivals = self._rng if poison_jobs is None else random.Random(seed)
        self._poison_jobs = poison_jobs or 0
        self._poison_ids: set[str] = set()

    def simulate(self, seconds: float = 60.0) -> SimulationResult:
        """Submit the serving jobs and simulate ``seconds``."""
        for worker in self._workers:
            self._report(worker)
        for number in range(self._size.serving_jobs):
            step = StepSpec(
                tasks=self._size.tasks,
                cpu_millicores=self._size.serving_cpu,
                lasting=True,
                image=f"s{number % self._size.serving_images}",
                target_ms=TARGET_MS,
                estimate_ms=400,
            )
            self._submit(JobSpec(f"serve{number}", "q", "", (step,), SERVING_POLICY))
        return self.advance(seconds)

    def advance(self, seconds: float) -> SimulationResult:
        """Simulate ``seconds`` more; return the results since the start."""
        next_plan = 0.0
        for _ in range(round(seconds / TICK_S)):
            self._now += TICK_S
            if self._arrivals.random() < self._rate * TICK_S:
                self._submit_fill_job(len(self._deadlines_s))
            self._submit_poison_jobs()
            for worker in self._workers:
                self._work(worker)
                if self._now >= worker.next_poll:
                    self._poll_runs(worker)
            if self._now >= next_plan:
                next_plan = self._now + self.round_interval_s
                self._decide()
        return self._result()

    def evacuate(self, *zones: str) -> None:
        """Evacuate exactly these zones."""
        self._sched.set_zones(EvacuatedZones(frozenset(zones), self._now))

    def _decide(self) -> None:
        """Run one round of the leader."""
        review(self._sched, self._now)
        plan(self._sched, self._now, self._wall_ms)
        self._store()

    @property
    def _wall_ms(self) -> int:
        return int(self._now * 1000)

    def _result(self) -> SimulationResult:
        seconds = self._now
        due_jobs = [job for job, deadline_s in self._deadlines_s.items() if deadline_s < seconds]
        done = [
            job_id
            for job_id in due_jobs
            if (ended := self._sched.jobs[job_id].ended_ms)
            and ended / 1000 <= self._deadlines_s[job_id]
        ]
        states = [self._sched.state(job_id) for job_id in self._deadlines_s]
        return SimulationResult(
            in_time=len(done) / max(1, len(due_jobs)),
            used_cores=self._used_core_s / seconds,
            over_target=self._over_target_s / seconds,
            serving=self._serving_s / seconds / (self._size.serving_jobs * self._size.tasks),
            completed=states.count(JobState.COMPLETED),
            failed=states.count(JobState.FAILED),
            crashes=sum(worker.crashes for worker in self._workers),
        )

    def _submit_poison_jobs(self) -> None:
        number = len(self._poison_ids)
        if number < self._poison_jobs and self._now >= (number + 1) * POISON_INTERVAL_S:
            step = StepSpec(cpu_millicores=2000, estimate_ms=2800)
            spec = JobSpec(
                f"poison{number}", "q", "", (step,), SERVING_POLICY, accepted_ms=self._wall_ms
            )
            self._poison_ids.add(spec.job_id)
            self._submit(spec)

    def _submit_fill_job(self, number: int) -> None:
        steps = []
        for step in range(2):
            size = self._size
            estimate_ms = round(self._arrivals.lognormvariate(math.log(size.fill_ms), 0.4))
            if size.length_error:
                error = self._arrivals.gauss(0, size.length_error)
                self._lengths[f"fill{number}", step] = math.exp(error)
            steps.append(
                StepSpec(
                    tasks=size.step_tasks or self._arrivals.randint(3, size.max_step_tasks),
                    cpu_millicores=self._arrivals.randint(2000, 5000),
                    estimate_ms=estimate_ms,
                    saves=self._arrivals.random() < 0.85,
                    fills=True,
                    image=f"f{number % self._size.fill_images}",
                    after=(0,) if step else (),
                )
            )
        spec = JobSpec(
            f"fill{number}", "q", "", tuple(steps), FILL_POLICY, accepted_ms=self._wall_ms
        )
        chain_s = sum(
            step.estimate_ms * self._lengths.get((spec.job_id, number), 1.0)
            for number, step in enumerate(steps)
        )
        chain_s /= 1000
        self._deadlines_s[spec.job_id] = (
            self._now + FILL_POLICY.stretch * chain_s + FILL_POLICY.slack_ms / 1000
        )
        self._submit(spec)

    def _submit(self, spec: JobSpec) -> None:
        self._sched.submit(spec, lambda *_: None)

    def _store(self) -> None:
        while self._sched.has_pending_writes:
            for effect in self._sched.take_batch(self._wall_ms).effects:
                effect()
        for worker in self._workers:
            self._take_orders(worker)

    def _take_orders(self, worker: _Worker) -> None:
        starts, stops, stored = self._sched.orders_for(worker.name, self._now)
        interference = self._sched.interference.pair_weights_on(
            self._sched.fleet.instance(worker.name)
        )
        orders = Orders(
            1, "e1", "b", 0, 0, WorkerLife("w"), starts, stops, stored, interference=interference
        )
        self._apply_orders(worker, orders)

    def _apply_orders(self, worker: _Worker, orders: Orders) -> None:
        """Start and stop runs on a worker as ordered."""
        worker.pace.learn(orders.interference)
        for start in orders.starts:
            ref = TaskRef.parse(start.task)
            assert ref is not None
            step = self._sched.jobs[ref.job_id].spec.steps[ref.step]
            run = _Run(ref, start.attempt, step, float(start.saved or 0))
            worker.runs[start.task, start.attempt] = run
            if step.fills:
                worker.pace.begin(step.image, self._demand(worker))
                run.pace = worker.pace.percent(step.image)
        for stop in orders.stops:
            stopped = worker.runs.get((stop.task, stop.attempt))
            if stopped is not None:
                stopped.stops_at = min(stopped.stops_at, self._now + STOP_DELAY_S)

    def _demand(self, worker: _Worker) -> dict[str, float]:
        demand: dict[str, float] = {}
        for run in worker.runs.values():
            if run.step.fills:
                share = CPU_USED_SHARE * run.step.cpu_millicores / self._size.cpu
                demand[run.step.image] = demand.get(run.step.image, 0.0) + share
        return demand

    def _usage(self, worker: _Worker) -> dict[str, float]:
        usage: dict[str, float] = {}
        for run in worker.runs.values():
            if run.step.fills:
                share = CPU_USED_SHARE * run.step.cpu_millicores * run.pace / 100 / self._size.cpu
                usage[run.step.image] = usage.get(run.step.image, 0.0) + share
        return usage

    def _crash(self, worker: _Worker) -> None:
        ended = WorkerLife(worker.worker_id)
        worker.crashes += 1
        worker.down_until = self._now + RESTART_S
        worker.runs.clear()
        worker.ended_runs.clear()
        worker.pace = PaceControl()
        self._report(worker, ended_workers=(ended,))

    def _work(self, worker: _Worker) -> None:
        if any(run.ref.job_id in self._poison_ids for run in worker.runs.values()):
            self._crash(worker)
            return
        usage = self._usage(worker)
        self._used_core_s += sum(usage.values()) * self._size.cpu / 1000 * TICK_S
        for key, run in list(worker.runs.items()):
            if run.step.fills:
                length = self._lengths.get((run.ref.job_id, run.ref.step), 1.0)
                run.percent += (
                    100 * TICK_S * run.pace / 100 / (run.step.estimate_ms / 1000 * length)
                )
                if run.percent >= 100 or self._now >= run.stops_at:
                    self._end(worker, key, run)
                continue
            interference = sum(
                self._ground_truth.weights[run.step.image, image] * share
                for image, share in usage.items()
            )
            jitter = math.exp(self._rng.gauss(0, LOAD_JITTER))
            load = (self._ground_truth.load(run.ref.job_id, self._now) + interference) * jitter
            steady_ms = tail_at_load(load, IDLE_TAIL_MS)
            run.tail_ms += (steady_ms - run.tail_ms) * (1 - 0.5 ** (TICK_S / TAIL_HALF_LIFE_S))
            self._serving_s += TICK_S
            self._over_target_s += TICK_S * (run.tail_ms > TARGET_MS)

    def _end(self, worker: _Worker, key: tuple[str, int], run: _Run) -> None:
        del worker.runs[key]
        outcome = "done" if run.percent >= 100 else "stopped"
        saved = str(int(run.percent)) if run.step.saves else ""
        worker.ended_runs.append(RunEnded(0, *key, outcome, saved))
        worker.next_poll = self._now

    def _poll_runs(self, worker: _Worker) -> None:
        worker.next_poll = self._now + POLL_INTERVAL_S
        tails = [
            TailLatency(run.ref.text(), run.step.image, round(run.tail_ms), TARGET_MS)
            for run in worker.runs.values()
            if run.step.lasting
        ]
        worker.pace.update(tails, self._usage(worker), self._now, self._demand(worker))
        for run in worker.runs.values():
            if run.step.fills:
                run.pace = worker.pace.percent(run.step.image)
        self._report(worker)

    def _report(self, worker: _Worker, ended_workers: tuple[WorkerLife, ...] = ()) -> None:
        full = self._now >= worker.next_report
        if full:
            worker.next_report = self._now + FULL_REPORT_INTERVAL_S
        statuses = [
            RunStatus(
                run.ref.text(),
                run.attempt,
                RunPhase.RUNNING,
                100 if run.step.lasting else min(99, int(run.percent)),
                (
                    round(run.tail_ms)
                    if run.step.lasting
                    else round(CPU_USED_SHARE * run.step.cpu_millicores * run.pace / 100)
                ),
                run.pace,
                str(int(run.percent)) if run.step.saves else "",
            )
            for run in worker.runs.values()
        ]
        worker.heartbeat += 1
        info = WorkerInfo(
            WorkerLife(worker.worker_id),
            "svc",
            worker.zone,
            Resources(self._size.cpu, 128_000, 0),
            ("a", "r1"),
        )
        ended_runs, worker.ended_runs = worker.ended_runs, []
        self._deliver(
            AgentReport(
                worker.name,
                "b",
                worker.heartbeat,
                1,
                1,
                info if self._now >= worker.down_until else None,
                full,
                statuses if full else [],
                ended_runs,
                ended_workers,
            )
        )

    def _deliver(self, report: AgentReport) -> None:
        """Deliver a report to the leader."""
        apply_report(self._sched, report, 1, self._now)
        self._sched.fleet.instance(report.agent).renewed_at = self._now


def simulate(
    seed: int,
    oracle: bool = False,
    seconds: float = 60.0,
    rate: float = 0.6,
    size: FleetSize = SMALL,
    poison_jobs: int | None = None,
) -> SimulationResult:
    """Run one simulation."""
    return FleetSimulation(seed, oracle, rate, size, poison_jobs).simulate(seconds)
