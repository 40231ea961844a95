"""The simulated fleet of the waits tests with preemption, timed stops and checkpoints."""

import random
from collections import Counter
from functools import partial
from typing import Any, Final

import pytest
from msgspec.structs import replace

from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_parts import LeaderParts
from sapphirelead.node_leader_rows import StateRow
from sapphirelead.node_messages import RunEnded, RunPhase, RunStatus, StartOrder
from sapphirelead.preemption import review
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_parts import PartsConfig, PreemptionConfig
from sapphirelead.sched_planner import plan
from sapphirelead.sched_run_ends import PREEMPTED
from sapphirelead.sched_scan_order import ScanOrder
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched import waits_world
from tests.sched.waits_world import RunName, Site, WaitsWorld, WorkerRun

PRIORITIES: Final = {f"p{number}": QueuePolicy("svc", priority=number) for number in range(4)}
RESTORE_S: Final = 0.6
ON: Final = PartsConfig(preemption=PreemptionConfig())


def queued(job_id: str, queue: str, step: StepSpec, accepted_s: float = 100.0) -> JobSpec:
    """Return a job of one step in the queue with the priority of its name."""
    policy = PRIORITIES[queue]
    return JobSpec(job_id, queue, "", (step,), policy, accepted_ms=int(accepted_s * 1000))


class PreemptingWorld(WaitsWorld):
    """A fleet whose leaders preempt.

    :ivar stop_takes_s: time from a stop order until the run has ended.
    :ivar lost_stops: number of stop orders that are lost from now on.
    :ivar length_error: standard deviation of the logarithm of real run times over estimates, of
        tasks that are not urgent.
    :ivar lost_core_s: work that was done in vain, or for restoring, because of preemptions.
    :ivar ran_core_s: work that the workers have done, also in vain.
    :ivar started_at: when each task first ran.
    :ivar stops: fields of each line ``run_preempted``.
    :ivar row: stored state of the part.
    """

    def __init__(self, sites: list[Site], config: PartsConfig = ON, seed: int = 0) -> None:
        super().__init__(random.Random(seed), sites)
        self.config = config
        self.stop_takes_s = 0.9
        self.lost_stops = 0
        self.ran_core_s = 0.0
        self.lost_core_s = 0.0
        self.length_error = 0.0
        self._factors: dict[str, float] = {}
        self.started_at: dict[str, float] = {}
        self.stops: list[dict[str, Any]] = []
        self.row: bytes | None = None
        self.stopping: dict[RunName, float] = {}
        self.parts = self._parts(self.leader)

    def _parts(self, sched: Scheduler) -> LeaderParts:
        sched.policies = PRIORITIES
        parts = LeaderParts(sched, Metrics(lambda: self.at))
        parts.set_config(self.config)
        return parts

    def record_stops(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Collect the lines about stops."""

        def log(level: str, event: str, **fields: Any) -> None:
            if event == "run_preempted":
                self.stops.append(fields)

        monkeypatch.setattr(review, "log_event", log)

    def history(self) -> StateRow:
        """Return the present leader's state of the part."""
        assert self.parts.preemption is not None
        return self.parts.preemption.history

    def play(self, seconds: float) -> None:
        """Let the fleet work."""
        until = self.at + seconds
        while self.at < until - 1e-6:
            self.tick()
            self.check()

    def check(self) -> None:
        """Note workers that run too much, and room that counts as used by nobody."""
        for site in self.sites.values():
            used = sum(run.step.cpu_millicores for run in site.runs.values())
            if used > site.cpu:
                self.problems.append(f"{self.at:.2f} {site.name} runs {used} of {site.cpu}")
        if self.sched is not None and self.parts.preemption is not None:
            held = Counter[str]()
            for hold in self.parts.preemption._holds:
                held[hold.instance.agent] += hold.held.cpu_millicores
            for item in self.sched.fleet.instances.values():
                claimed = sum(run.step.room.cpu_millicores for run in item.runs.values())
                if item.used.cpu_millicores != claimed + held[item.agent]:
                    self.problems.append(f"{self.at:.2f} room of {item.agent} is lost")

    def all_done(self) -> bool:
        """Whether every batch job has ended."""
        jobs = self.leader.jobs.values()
        return len(jobs) == len(self.specs) and not any(
            job.open and not job.spec.lasting for job in jobs
        )

    def _lead_again(self) -> None:
        super()._lead_again()
        self.parts = self._parts(self.leader)
        if self.row is not None:
            self.history().restore(self.row, 0.0)

    def _decide(self, sched: Scheduler) -> None:
        scan = ScanOrder()
        with pytest.MonkeyPatch.context() as patched:
            patched.setattr(waits_world, "plan", partial(plan, scan_order=scan))
            super()._decide(sched)
        self.parts.after_plan(self.at, int(self.at * 1000), scan)
        if self.parts.preemption is not None:
            self.row = self.history().encode(self.at)

    def _stop(self, site: Site, name: RunName) -> None:
        if self.lost_stops:
            self.lost_stops -= 1
        elif name in site.runs:
            self.stopping.setdefault(name, self.at + self.stop_takes_s)
        else:
            super()._stop(site, name)

    def _status(self, name: RunName, run: WorkerRun) -> RunStatus:
        status = super()._status(name, run)
        phase = RunPhase.STOPPING if name in self.stopping else RunPhase.RUNNING
        return RunStatus(*name, phase, status.percent, status.measurement)

    def _advance(self, site: Site, name: RunName, run: WorkerRun) -> None:
        self.ran_core_s += run.step.cpu_millicores / 1000 * waits_world.TICK_S
        if self.at >= self.stopping.get(name, self.at + 1):
            ref = TaskRef.parse(name[0])
            known = self.sched.fleet.runs.get((ref, name[1])) if self.sched and ref else None
            if known is not None and known.stop_reason == PREEMPTED:
                lost_s = RESTORE_S if run.step.saves else self.at - run.started_at
                self.lost_core_s += lost_s * run.step.cpu_millicores / 1000
            saved = str(run.percent) if run.step.saves else ""
            super()._end(site, name, "stopped")
            last = site.ended[-1]
            site.ended[-1] = RunEnded(last.number, *name, "stopped", saved)
        elif self.at - run.started_at >= (RESTORE_S if name[1] > 1 and run.step.saves else 0.0):
            super()._advance(site, name, run)

    def _end(self, site: Site, name: RunName, kind: str, reason: str = "") -> None:
        self.stopping.pop(name, None)
        super()._end(site, name, kind, reason)

    def _start(self, site: Site, order: StartOrder) -> None:
        super()._start(site, order)
        self.started_at.setdefault(order.task, self.at)
        run = site.runs[order.task, order.attempt]
        urgent = self.specs[order.task.partition(".")[0]].policy.priority == 0
        factor = self._factors.setdefault(
            order.task, 1.0 if urgent else self.rng.lognormvariate(0.0, self.length_error)
        )
        run.step = replace(run.step, estimate_ms=int(run.step.estimate_ms * factor))
        if order.saved:
            run.percent = float(order.saved)
