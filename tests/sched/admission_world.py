"""Callers, workers and a leader's scheduler with admission control, on simulated time."""

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.admission.leader import LeaderAdmission, Refusal
from sapphirelead.admission.shares import QueueShares
from sapphirelead.metrics import Metrics
from sapphirelead.node_messages import RunEnded
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_parts import AdmissionConfig
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, scheduler, store, worker_info

TICK_S: Final = 0.05
TASK_S: Final = 1.28
STEP: Final = StepSpec(tasks=10, cpu_millicores=1_000, estimate_ms=int(TASK_S * 1000))
POLICY: Final = QueuePolicy("svc")
START_S: Final = 10.0
"""A time at which a leader that began at 0 has heard of all workers."""


@dataclass
class Caller:
    """A caller of one job.

    :ivar accepted_at: when it was accepted; infinite before.
    """

    spec: JobSpec
    began_at: float
    refusals: int = 0
    accepted_at: float = math.inf
    ended_at: float = math.inf
    ticket: str = ""

    @property
    def in_time(self) -> bool:
        """Whether its job met its objective, which counts from the acceptance."""
        objective_s = POLICY.stretch * TASK_S + POLICY.slack_ms / 1000
        return self.ended_at - self.accepted_at <= objective_s + TICK_S


@dataclass
class World:
    """Workers of 32 cores, each with an agent.

    :ivar on: whether admission control is used.
    :ivar length_s: actual length of a job's tasks.
    """

    workers: int = 4
    cpu: int = 32_000
    on: bool = True
    config: AdmissionConfig = field(default_factory=AdmissionConfig)
    length_s: Callable[[JobSpec], float] = lambda spec: spec.steps[0].estimate_ms / 1000
    at: float = START_S
    callers: dict[str, Caller] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.sched: Scheduler = scheduler()
        self.sched.policies = {"q": POLICY, "other": POLICY}
        self.agents = Agents(self.sched)
        self.admission = self.new_admission()
        self.runs: dict[str, dict[tuple[str, int], float]] = {}
        self._ended: dict[str, list[RunEnded]] = {}
        self._due: list[tuple[float, str]] = []
        for number in range(self.workers):
            self.report(f"g{number}")

    def new_admission(self, shares: QueueShares | None = None) -> LeaderAdmission:
        """Return admission control of a new term."""
        metrics = Metrics(lambda: self.at)
        return LeaderAdmission(
            self.sched,
            metrics,
            self.config,
            shares,
            clock=lambda: self.at,
            wall=lambda: int(self.at * 1000),
        )

    def report(self, agent: str) -> None:
        """Let an agent report, with the runs that have ended."""
        runs = self.runs.setdefault(agent, {})
        over = [key for key, ends_at in runs.items() if ends_at <= self.at]
        for key in over:
            del runs[key]
        ends = [RunEnded(0, *key, "done", "") for key in over]
        info = worker_info(f"w-{agent}", cpu=self.cpu)
        self.agents.report(agent, info, list(runs), ends, at=self.at)

    def job(self, job_id: str, queue: str = "q", step: StepSpec = STEP) -> JobSpec:
        """Return a job that is submitted now."""
        return JobSpec(job_id, queue, "", (step,), POLICY, accepted_ms=int(self.at * 1000))

    def submit(self, spec: JobSpec, ticket: str = "") -> Refusal | None:
        """Submit a job once."""
        refusal = self.admission.decide(spec, ticket, self.at) if self.on else None
        if refusal is None:
            self.sched.submit(spec, lambda *_: None)
        return refusal

    def arrive(self, spec: JobSpec) -> None:
        """Let a caller submit a job until it is accepted."""
        self.callers[spec.job_id] = Caller(spec, self.at)
        heapq.heappush(self._due, (self.at, spec.job_id))

    def advance(self, seconds: float, per_s: float = 0.0, queue: str = "q") -> None:
        """Simulate some time, with new callers at an even rate."""
        owed = 0.0
        for _ in range(round(seconds / TICK_S)):
            self.at += TICK_S
            owed += per_s * TICK_S
            while owed >= 1:
                owed -= 1
                self.arrive(self.job(f"{queue}{len(self.callers)}", queue))
            self._call()
            for agent in self.runs:
                self.report(agent)
            plan(self.sched, self.at, int(self.at * 1000))
            self.store()

    def _call(self) -> None:
        while self._due and self._due[0][0] <= self.at:
            caller = self.callers[heapq.heappop(self._due)[1]]
            spec = self.job(caller.spec.job_id, caller.spec.queue, caller.spec.steps[0])
            refusal = self.submit(spec, caller.ticket)
            if refusal is None:
                caller.accepted_at = self.at
                continue
            caller.refusals += 1
            caller.ticket = refusal.ticket
            due_at = self.at + math.ceil(refusal.retry_after_s)
            heapq.heappush(self._due, (due_at, caller.spec.job_id))

    def store(self) -> None:
        """Store what is pending and start what is ordered."""
        store(self.sched)
        for agent, runs in self.runs.items():
            starts, _, _ = self.sched.orders_for(agent, self.at)
            for start in starts:
                ref = TaskRef.parse(start.task)
                assert ref is not None
                length_s = self.length_s(self.sched.jobs[ref.job_id].spec)
                runs[start.task, start.attempt] = self.at + length_s
        for caller in self.callers.values():
            if caller.ended_at == math.inf and self.sched.state(caller.spec.job_id) == "completed":
                caller.ended_at = self.at
