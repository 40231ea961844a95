"""Workers whose serving loads swing, beside filling work; the product's decisions, no I/O.

The load that this stands for, as logged rows of played days showed it: eleven workers of 32 cores
all serve; each serving job's load swings between 0.24 and 0.72 within 20 s, with a phase of its
own, and that of a single task jumps by a tenth from one half second to the next; a tail is that of
a queue and goes half of its way to a new value in 0.4 s; four of ten pairs of images press hard;
filling jobs of two steps ask for about as many processors as the others leave.

The real scheduler, planner, review of slow runs and pace control decide.  :class:`TrueModel` knows
the true weights and the loads of the time to come instead of learnt ones: what lies between the
two is what better learning could win.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.model_resources import Resources
from sapphirelead.node_messages import (
    AgentReport,
    Orders,
    RunEnded,
    RunPhase,
    RunStatus,
    WorkerInfo,
)
from sapphirelead.policy_pressure import CPU_USED_SHARE, tail_at_load
from sapphirelead.runner_pace import PaceControl, TailLatency
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_interference import InterferenceModel
from sapphirelead.sched_job import TaskRef
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_timing import Bounds

TICK_S: Final = 0.05
LIST_S: Final = 0.45
REPORT_S: Final = 0.9
PLAN_S: Final = 0.1
STOP_S: Final = 0.2
IDLE_MS: Final = 25.0
TARGET_MS: Final = 150
MEAN_LOAD: Final = 0.48
SWING: Final = 0.5
PERIOD_S: Final = 20.0
JUMP: Final = 0.1
HALF_WAY_S: Final = 0.4
HEAVY_SHARE: Final = 0.4
RESOURCES: Final = 4
"""Kinds of shared resources that images may press on or suffer from."""
POLICY: Final = QueuePolicy("svc", priority=2, stretch=2.0, slack_ms=1000)
SERVING: Final = QueuePolicy("svc")


@dataclass(frozen=True, slots=True)
class Size:
    """How large a world is.

    :ivar cpu: processors of each worker, in thousandths.
    :ivar tasks: tasks of each serving job.
    :ivar widest: tasks of the widest filling step.
    :ivar shared: pairs of images press on each other by the resources that they share; else each
        pair is drawn by itself.
    """

    workers: int = 11
    cpu: int = 32_000
    serving_jobs: int = 8
    serving_images: int = 4
    filling_images: int = 9
    tasks: int = 5
    widest: int = 12
    shared: bool = False


SMALL: Final = Size()
LARGE: Final = Size(
    workers=70,
    serving_jobs=24,
    serving_images=9,
    filling_images=24,
    tasks=14,
    widest=30,
    shared=True,
)


@dataclass(slots=True)
class Truth:
    """What the deciders have to find out.

    :ivar weights: by serving and filling image.
    :ivar phases: by serving job.
    """

    weights: dict[tuple[str, str], float]
    phases: dict[str, float]

    @classmethod
    def from_seed(cls, rng: random.Random, size: Size) -> "Truth":
        """Draw one."""
        suffers = [rng.sample(range(RESOURCES), rng.choice((1, 1, 2))) for _ in range(RESOURCES)]
        suffers = [rng.choice(suffers) for _ in range(size.serving_images)]
        contended = [rng.randrange(-2, RESOURCES) for _ in range(size.filling_images)]
        weights = {}
        for serving in range(size.serving_images):
            for filling in range(size.filling_images):
                heavy = rng.random() < HEAVY_SHARE
                if size.shared:
                    heavy = contended[filling] in suffers[serving]
                weight = rng.uniform(0.8, 3.0) if heavy else rng.uniform(0.0, 0.4)
                weights[f"s{serving}", f"f{filling}"] = weight
        jobs = range(size.serving_jobs)
        phases = {f"serve{number}": rng.uniform(0, 2 * math.pi) for number in jobs}
        return cls(weights, phases)

    def load(self, job: str, at: float) -> float:
        """Return the load that the users of a serving job bring."""
        angle = 2 * math.pi * at / PERIOD_S + self.phases[job]
        return MEAN_LOAD * (1 + SWING * math.sin(angle))


class TrueModel(InterferenceModel):
    """Knows all weights, and each load until two seconds from now."""

    def __init__(self, truth: Truth, clock: Callable[[], float]) -> None:
        super().__init__()
        self._truth = truth
        self._clock = clock

    def weight(self, serving: str, filling: str) -> float:
        """Return the true weight."""
        return self._truth.weights.get((serving, filling), 0.0)

    def _user_load(self, key: tuple[str, int, int], image: str, instance: Instance) -> float:
        return max(self._truth.load(key[0], self._clock() + ahead) for ahead in (0.0, 1.0, 2.0))


@dataclass(slots=True)
class _Working:
    """A task on a worker."""

    ref: TaskRef
    attempt: int
    step: StepSpec
    percent: float = 0.0
    pace: int = 100
    tail_ms: float = IDLE_MS
    stops_at: float = math.inf


@dataclass(slots=True)
class _Worker:
    name: str
    next_list: float
    pace: PaceControl = field(default_factory=PaceControl)
    runs: dict[tuple[str, int], _Working] = field(default_factory=dict)
    ends: list[RunEnded] = field(default_factory=list)
    report_number: int = 0
    next_report: float = 0.0


@dataclass(frozen=True, slots=True)
class Played:
    """What a play of the world gave.

    :ivar in_time: share of the filling jobs that ended within their objective.
    :ivar used_cores: mean processors that filling work used.
    :ivar over_target: mean number of serving tasks over their target.
    """

    in_time: float
    used_cores: float
    over_target: float


class World:
    """The workers, and the product's decisions for them.

    :ivar round_s: time between two rounds of the leader.
    """

    round_s: float

    def __init__(
        self, seed: int, knows_all: bool = False, rate: float = 0.6, size: Size = SMALL
    ) -> None:
        self.round_s = PLAN_S
        self._rng = random.Random(seed)
        self._size = size
        self._truth = Truth.from_seed(self._rng, size)
        self._at = 0.0
        self._rate = rate
        self._sched = Scheduler(Bounds(), 0.0)
        if knows_all:
            self._sched.interference.model = TrueModel(self._truth, lambda: self._at)
        self._workers = [
            _Worker(f"g{n}", self._rng.uniform(0, LIST_S)) for n in range(size.workers)
        ]
        self._due: dict[str, float] = {}
        self._used = 0.0
        self._over = 0.0

    def play(self, seconds: float = 60.0) -> Played:
        """Let the time pass."""
        for worker in self._workers:
            self._report(worker)
        for number in range(self._size.serving_jobs):
            step = StepSpec(
                tasks=self._size.tasks,
                cpu_millicores=6000,
                lasting=True,
                image=f"s{number % self._size.serving_images}",
                target_ms=TARGET_MS,
                estimate_ms=400,
            )
            self._submit(JobSpec(f"serve{number}", "q", "", (step,), SERVING))
        return self.go_on(seconds)

    def go_on(self, seconds: float) -> Played:
        """Let more time pass."""
        next_plan = 0.0
        for _ in range(round(seconds / TICK_S)):
            self._at += TICK_S
            if self._rng.random() < self._rate * TICK_S:
                self._submit_filling(len(self._due))
            for worker in self._workers:
                self._work(worker)
                if self._at >= worker.next_list:
                    self._list(worker)
            if self._at >= next_plan:
                next_plan = self._at + self.round_s
                self._decide()
        return self._result()

    def _decide(self) -> None:
        """Do a round of the leader."""
        review(self._sched, self._at)
        plan(self._sched, self._at, self._wall_ms)
        self._store()

    @property
    def _wall_ms(self) -> int:
        return int(self._at * 1000)

    def _result(self) -> Played:
        seconds = self._at
        owed = [job for job, due in self._due.items() if due < seconds]
        done = [
            job_id
            for job_id in owed
            if (ended := self._sched.jobs[job_id].ended_ms) and ended / 1000 <= self._due[job_id]
        ]
        share = len(done) / max(1, len(owed))
        return Played(share, self._used / seconds, self._over / seconds)

    def _submit_filling(self, number: int) -> None:
        steps = []
        for step in range(2):
            estimate_ms = round(self._rng.lognormvariate(math.log(2800), 0.4))
            steps.append(
                StepSpec(
                    tasks=self._rng.randint(3, self._size.widest),
                    cpu_millicores=self._rng.randint(2000, 5000),
                    estimate_ms=estimate_ms,
                    saves=self._rng.random() < 0.85,
                    fills=True,
                    image=f"f{number % self._size.filling_images}",
                    after=(0,) if step else (),
                )
            )
        spec = JobSpec(f"fill{number}", "q", "", tuple(steps), POLICY, accepted_ms=self._wall_ms)
        chain_s = sum(step.estimate_ms for step in steps) / 1000
        self._due[spec.job_id] = self._at + POLICY.stretch * chain_s + POLICY.slack_ms / 1000
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
        starts, stops, stored = self._sched.orders_for(worker.name, self._at)
        interference = self._sched.interference.pair_weights_on(
            self._sched.fleet.instance(worker.name)
        )
        orders = Orders(1, "e1", "b", 0, 0, "w", starts, stops, stored, interference=interference)
        self._obey(worker, orders)

    def _obey(self, worker: _Worker, orders: Orders) -> None:
        """Let an agent carry its orders out."""
        worker.pace.learn(orders.interference)
        for start in orders.starts:
            ref = TaskRef.parse(start.task)
            assert ref is not None
            step = self._sched.jobs[ref.job_id].spec.steps[ref.step]
            run = _Working(ref, start.attempt, step, float(start.saved or 0))
            worker.runs[start.task, start.attempt] = run
            if step.fills:
                worker.pace.begin(step.image, self._wanted(worker))
                run.pace = worker.pace.percent(step.image)
        for stop in orders.stops:
            stopped = worker.runs.get((stop.task, stop.attempt))
            if stopped is not None:
                stopped.stops_at = min(stopped.stops_at, self._at + STOP_S)

    def _wanted(self, worker: _Worker) -> dict[str, float]:
        wanted: dict[str, float] = {}
        for run in worker.runs.values():
            if run.step.fills:
                share = CPU_USED_SHARE * run.step.cpu_millicores / self._size.cpu
                wanted[run.step.image] = wanted.get(run.step.image, 0.0) + share
        return wanted

    def _using(self, worker: _Worker) -> dict[str, float]:
        using: dict[str, float] = {}
        for run in worker.runs.values():
            if run.step.fills:
                share = CPU_USED_SHARE * run.step.cpu_millicores * run.pace / 100 / self._size.cpu
                using[run.step.image] = using.get(run.step.image, 0.0) + share
        return using

    def _work(self, worker: _Worker) -> None:
        using = self._using(worker)
        self._used += sum(using.values()) * self._size.cpu / 1000 * TICK_S
        for key, run in list(worker.runs.items()):
            if run.step.fills:
                run.percent += 100 * TICK_S * run.pace / 100 / (run.step.estimate_ms / 1000)
                if run.percent >= 100 or self._at >= run.stops_at:
                    self._end(worker, key, run)
                continue
            added = sum(
                self._truth.weights[run.step.image, image] * share for image, share in using.items()
            )
            jump = math.exp(self._rng.gauss(0, JUMP))
            load = (self._truth.load(run.ref.job_id, self._at) + added) * jump
            settles = tail_at_load(load, IDLE_MS)
            run.tail_ms += (settles - run.tail_ms) * (1 - 0.5 ** (TICK_S / HALF_WAY_S))
            self._over += TICK_S * (run.tail_ms > TARGET_MS)

    def _end(self, worker: _Worker, key: tuple[str, int], run: _Working) -> None:
        del worker.runs[key]
        how = "done" if run.percent >= 100 else "stopped"
        saved = str(int(run.percent)) if run.step.saves else ""
        worker.ends.append(RunEnded(0, *key, how, saved))
        worker.next_list = self._at

    def _list(self, worker: _Worker) -> None:
        worker.next_list = self._at + LIST_S
        tails = [
            TailLatency(run.ref.text(), run.step.image, round(run.tail_ms), TARGET_MS)
            for run in worker.runs.values()
            if run.step.lasting
        ]
        worker.pace.update(tails, self._using(worker), self._at, self._wanted(worker))
        for run in worker.runs.values():
            if run.step.fills:
                run.pace = worker.pace.percent(run.step.image)
        self._report(worker)

    def _report(self, worker: _Worker) -> None:
        full = self._at >= worker.next_report
        if full:
            worker.next_report = self._at + REPORT_S
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
        worker.report_number += 1
        info = WorkerInfo(
            f"w-{worker.name}", "svc", "z", Resources(self._size.cpu, 128_000, 0), ("a", "r1")
        )
        ends, worker.ends = worker.ends, []
        self._deliver(
            AgentReport(
                worker.name,
                "b",
                worker.report_number,
                1,
                1,
                info,
                full,
                statuses if full else [],
                ends,
            )
        )

    def _deliver(self, report: AgentReport) -> None:
        """Let the leader take a report."""
        apply_report(self._sched, report, 1, self._at)
        self._sched.fleet.instance(report.agent).renewed_at = self._at


def play(
    seed: int,
    knows_all: bool = False,
    seconds: float = 60.0,
    rate: float = 0.6,
    size: Size = SMALL,
) -> Played:
    """Play one world."""
    return World(seed, knows_all, rate, size).play(seconds)
