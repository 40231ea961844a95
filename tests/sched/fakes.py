"""A fake worker, simulated agents and builders for scheduler tests."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from sapphirelead.clock import now
from sapphirelead.errors import Failure
from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport, RunEnded, RunPhase, RunStatus, WorkerInfo
from sapphirelead.node_ports import (
    AdviceAnswer,
    CallFailure,
    StartAnswer,
    StartCall,
    StartResult,
    WorkerEnd,
    WorkerRun,
    WorkerView,
)
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import AdvicePolicy, JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_timing import Bounds

POLICY = QueuePolicy("svc")


def job(job_id: str = "a1", *steps: StepSpec, policy: QueuePolicy = POLICY) -> JobSpec:
    """Return a job, by default with one step of one task."""
    return JobSpec(job_id, "q", "payload", steps or (StepSpec(cpu_millicores=1000),), policy)


def worker_info(worker: str = "w1", cpu: int = 8000, **changes: object) -> WorkerInfo:
    """Return the information that a worker reports about itself."""
    fields: dict[str, object] = {
        "worker": worker,
        "service": "svc",
        "zone": "z",
        "capacity": Resources(cpu, 64_000, 0),
        "labels": ("a", "r1"),
        **changes,
    }
    return WorkerInfo(**fields)  # type: ignore[arg-type]


class NoAdvice:
    """An advice service that issues no tickets."""

    async def ask(
        self, step: str, workers: list[WorkerLife], policy: AdvicePolicy
    ) -> Result[AdviceAnswer, Failure]:
        return Ok(AdviceAnswer())


class Agents:
    """Simulated agents that report to a scheduler."""

    def __init__(self, sched: Scheduler, epoch: int = 1) -> None:
        self.sched = sched
        self.epoch = epoch
        self.seqs: dict[str, int] = {}

    def report(
        self,
        agent: str = "g1",
        worker: WorkerInfo | None = None,
        runs: list[tuple[str, int]] | None = None,
        ends: list[RunEnded] | None = None,
        at: float = 0.0,
        boot: str = "b",
        gone: tuple[WorkerLife, ...] = (),
        percent: int = 10,
        paced: int = 100,
    ) -> None:
        """Apply a report of ``agent``, by default with a worker ``w-AGENT``."""
        self.seqs[agent] = self.seqs.get(agent, 0) + 1
        statuses = [
            RunStatus(task, attempt, RunPhase.RUNNING, percent, pace_percent=paced)
            for task, attempt in runs or []
        ]
        info = worker or worker_info(f"w-{agent}")
        report = AgentReport(
            agent, boot, self.seqs[agent], self.epoch, 1, info, True, statuses, ends or [], gone
        )
        apply_report(self.sched, report, self.epoch, at)
        self.sched.fleet.instance(agent).renewed_at = at


def store(sched: Scheduler) -> list[str]:
    """Take the pending batch and run its effects; return the ids of its jobs."""
    batch = sched.take_batch(0)
    for effect in batch.effects:
        effect()
    return [delta.job_id for delta in batch.deltas]


def scheduler(bounds: Bounds | None = None) -> Scheduler:
    """Return an empty scheduler."""
    return Scheduler(bounds or Bounds(), 0.0)


@dataclass
class FakeRun:
    """A run on the fake worker."""

    task: str
    attempt: int
    ends_at: float
    kind: str = "done"
    measurement: int = -1


class FakeWorker:
    """A worker process with injected faults.

    :ivar born_ms: birth of its current life; see :meth:`begin_life`.
    :ivar sealed: highest attempt by task that may not be started again.
    :ivar faults: faults of the next start calls: ``lost`` (executed, no reply), ``late`` (executed
        after ``late_s``, no reply) or ``unanswered`` (not executed, no reply).
    :ivar not_responding: calls are neither executed nor answered.
    :ivar refuses: calls fail with a refused connection.
    :ivar stops_unanswered: tasks whose stops are neither executed nor answered.
    :ivar stops_without_effect: number of stops that are confirmed but not executed.
    :ivar grace_s: duration of a stop.
    :ivar max_unanswered_calls: highest number of concurrent calls without a reply.
    """

    def __init__(self, work_s: float = 1.0) -> None:
        self.work_s = work_s
        self.runs: dict[tuple[str, int], FakeRun] = {}
        self.ended: list[WorkerEnd] = []
        self.sealed: dict[str, int] = {}
        self.born_ms = 0
        self.token = 0
        self.lease_ms = 0
        self._born_at = 0.0
        self.not_responding = False
        self.refuses = False
        self.faults: list[str] = []
        self.late_s = 3.0
        self.stops_unanswered: set[str] = set()
        self.stops_without_effect = 0
        self.grace_s = 0.0
        self.stops = 0
        self.max_unanswered_calls = 0
        self._unanswered = 0
        self.starts = 0
        self.holds = 0
        self.paces: list[tuple[str, int]] = []
        self.figures: dict[str, int] = {}
        self._last_number = 0
        self._background: set[asyncio.Task[None]] = set()

    @property
    def clock_ms(self) -> int:
        """The worker's clock in milliseconds; starts anew in each life."""
        return int((now() - self._born_at) * 1000) + 500_000

    def begin_life(self, born_ms: int, age_s: float = 0.0) -> None:
        """Begin another life, which holds nothing of before; late calls of before reach it."""
        self.born_ms = born_ms
        self.runs, self.ended, self.sealed = {}, [], {}
        self.token = self.lease_ms = self._last_number = 0
        self._born_at = now() - age_s

    def end(self, run: FakeRun, kind: str) -> None:
        """End a run."""
        if self.runs.pop((run.task, run.attempt), None) is None:
            return
        self._last_number += 1
        self.sealed[run.task] = max(self.sealed.get(run.task, 0), run.attempt)
        self.ended.append(WorkerEnd(self._last_number, run.task, run.attempt, kind, ""))

    def advance(self) -> None:
        """End the runs that are done or whose lease has expired."""
        for run in list(self.runs.values()):
            if run.ends_at <= now():
                self.end(run, run.kind)
        if self.lease_ms and self.clock_ms > self.lease_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    async def _injected_failure(self) -> CallFailure | None:
        await asyncio.sleep(0.001)
        self.advance()
        if self.refuses:
            return CallFailure.REFUSED
        if self.not_responding:
            await self._no_answer()
            return CallFailure.NO_ANSWER
        return None

    async def _no_answer(self) -> None:
        self._unanswered += 1
        self.max_unanswered_calls = max(self.max_unanswered_calls, self._unanswered)
        try:
            await asyncio.sleep(0.5)
        finally:
            self._unanswered -= 1

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        self.holds += 1
        failure = await self._injected_failure()
        if failure is not None:
            return Err(failure)
        if fencing_token < self.token:
            return Err(CallFailure.FENCED)
        self.token = fencing_token
        self.lease_ms = max(self.lease_ms, lease_ms)
        self.ended = [end for end in self.ended if end.number > stored_through]
        until, born_ms = now() + wait_ms / 1000, self.born_ms
        while not self.ended and now() < until:
            await asyncio.sleep(0.05)
            if self.born_ms != born_ms:
                return Err(CallFailure.NO_ANSWER)
            self.advance()
        running = [
            WorkerRun(run.task, run.attempt, "", 50, self.figures.get(run.task, -1))
            for run in self.runs.values()
        ]
        return Ok(WorkerView(self.clock_ms, running, list(self.ended)))

    async def start(self, call: StartCall) -> Result[StartResult, CallFailure]:
        self.starts += 1
        failure = await self._injected_failure()
        if failure is not None:
            return Err(failure)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "unanswered":
            await asyncio.sleep(0.5)
            return Err(CallFailure.NO_ANSWER)
        if fault == "late":
            task = asyncio.create_task(self._start_late(call))
            self._background.add(task)
            await asyncio.sleep(0.5)
            return Err(CallFailure.NO_ANSWER)
        answer = self._accept_start(call)
        if fault == "lost":
            await asyncio.sleep(0.5)
            return Err(CallFailure.NO_ANSWER)
        return Ok(StartResult(answer, self.clock_ms))

    async def _start_late(self, call: StartCall) -> None:
        await asyncio.sleep(self.late_s)
        self._accept_start(call, late=True)

    def _accept_start(self, call: StartCall, late: bool = False) -> StartAnswer:
        if call.fencing_token < self.token:
            return StartAnswer.FENCED
        self.token = call.fencing_token
        if self.clock_ms > call.deadline_ms:
            return StartAnswer.TOO_LATE
        self.lease_ms = max(self.lease_ms, call.deadline_ms)
        if call.attempt <= self.sealed.get(call.task, 0):
            return StartAnswer.OUTDATED
        name = (call.task, call.attempt)
        if name not in self.runs:
            self.runs[name] = FakeRun(call.task, call.attempt, now() + self.work_s)
        return StartAnswer.STARTED

    async def stop(self, task: str, attempt: int, fencing_token: int) -> Result[int, CallFailure]:
        failure = await self._injected_failure()
        if failure is not None:
            return Err(failure)
        if task in self.stops_unanswered:
            await self._no_answer()
            return Err(CallFailure.NO_ANSWER)
        if fencing_token < self.token:
            return Err(CallFailure.FENCED)
        self.stops += 1
        if self.stops_without_effect:
            self.stops_without_effect -= 1
            return Ok(self.clock_ms)
        self.sealed[task] = max(self.sealed.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run is not None:
            run.kind = "stopped"
            run.ends_at = min(run.ends_at, now() + self.grace_s)
            self.advance()
        return Ok(self.clock_ms)

    async def pace(
        self, task: str, attempt: int, percent: int, fencing_token: int
    ) -> Result[int, CallFailure]:
        failure = await self._injected_failure()
        if failure is not None:
            return Err(failure)
        self.paces.append((task, percent))
        return Ok(self.clock_ms)

    async def close(self) -> None:
        for task in self._background:
            task.cancel()
