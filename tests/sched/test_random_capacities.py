"""Random capacities, agent restarts and reports out of date; no network, simulated time."""

import random

import pytest

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.node_messages import AgentReport, StartOrder, WorkerInfo
from sapphirelead.node_ports import WorkerEnd, WorkerRun, WorkerView
from sapphirelead.runner_registry import RunName, RunRegistry
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import JobState
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import job, scheduler, store, worker_info
from tests.sched.test_scheduler import submit

STEP_S = 0.05
SIZES = (NO_RESOURCES, Resources(1, 1), Resources(2000, 200), Resources(4000, 400, 1))
FULL = Resources(8000, 800, 2)
SEEDS = 40


class Worker:
    """A worker that does not guard its capacity, and its agent."""

    def __init__(self, agent: str, rng: random.Random) -> None:
        self.agent = agent
        self.rng = rng
        self.running: dict[RunName, Resources] = {}
        self.ended: list[WorkerEnd] = []
        self.end_count = 0
        self.boots = 0
        self.reports = 0
        self.registry = RunRegistry(self.info(FULL))
        self.starts = 0

    def info(self, capacity: Resources) -> WorkerInfo:
        """Return what the worker reports about itself."""
        return worker_info(f"w-{self.agent}", capacity=capacity)

    def change(self, ends_share: float, changes: bool) -> None:
        """End some runs, and change the capacity or restart the agent at times."""
        for name in list(self.running):
            if self.rng.random() < ends_share:
                self.end(name, "done")
        if changes and self.rng.random() < 0.1:
            self.registry.info = self.info(self.rng.choice((*SIZES, FULL)))
        if changes and self.rng.random() < 0.05:
            self.registry = RunRegistry(self.info(self.rng.choice((*SIZES, FULL))))
            self.boots += 1
            self.reports = 0
        self.list_runs()

    def list_runs(self) -> None:
        """Let the agent list the worker's runs."""
        stored = self.registry.stored_through
        self.ended = [end for end in self.ended if end.number > stored]
        running = [WorkerRun(*name, "", 50, -1) for name in self.running]
        self.registry.apply_view(WorkerView(0, running, list(self.ended)), 0.0)

    def end(self, name: RunName, kind: str) -> None:
        """End a run."""
        del self.running[name]
        self.end_count += 1
        self.ended.append(WorkerEnd(self.end_count, *name, kind, ""))

    def report(self, sched: Scheduler, at: float) -> None:
        """Report to the leader."""
        self.reports += 1
        registry, boot = self.registry, str(self.boots)
        statuses, ends = registry.statuses(True), registry.report_ends(True)
        report = AgentReport(
            self.agent, boot, self.reports, 1, 1, registry.info, True, statuses, ends
        )
        apply_report(sched, report, 1, at)
        sched.fleet.instance(self.agent).renewed_at = at

    def obey(self, sched: Scheduler, at: float) -> None:
        """Carry out the leader's orders."""
        starts, stops, stored = sched.orders_for(self.agent, at)
        for ended in stored:
            self.registry.stored(ended)
        for stop in stops:
            name = (stop.task, stop.attempt)
            if name in self.running:
                self.end(name, "stopped")
            elif name not in self.registry.ends:
                self.registry.refuse(name, "stopped_before_start")
        for start in starts:
            self.start(start)

    def start(self, order: StartOrder) -> None:
        """Start a run if the agent accepts it; it must fit beside all that runs."""
        run = self.registry.accept(order)
        if run is None:
            return
        self.starts += 1
        self.running[run.name] = order.resources
        self.registry.started(run)
        used = sum(self.running.values(), NO_RESOURCES)
        assert used.fits_in(self.registry.info.capacity)


def random_step(rng: random.Random) -> StepSpec:
    """Return a step of any kind that fits on an idle worker."""
    return StepSpec(
        tasks=rng.randrange(1, 5),
        cpu_millicores=rng.randrange(0, 4000),
        memory_mb=rng.randrange(1, 300),
        accelerators=rng.choice((0, 0, 1)),
        estimate_ms=500,
        fills=rng.random() < 0.4,
        gang=rng.random() < 0.1,
        image="f",
    )


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_start_exceeds_the_capacity_and_every_job_completes(seed: int) -> None:
    """Guards against starts over a capacity that changes, and against jobs that wait for good."""
    rng = random.Random(seed)
    sched = scheduler()
    workers = [Worker(f"g{number}", rng) for number in range(4)]
    names = [f"j{number}" for number in range(30)]
    for name in names:
        submit(sched, job(name, random_step(rng)))
    for tick in range(1200):
        at, busy = 1.0 + tick * STEP_S, tick < 400
        for worker in workers:
            if tick == 400:
                worker.registry.info = worker.info(FULL)
            worker.change(0.05 if busy else 0.3, busy)
            if not busy or rng.random() < 0.7:
                worker.report(sched, at)
        plan(sched, at, 0)
        if rng.random() < 0.7:
            store(sched)
        for worker in workers:
            worker.obey(sched, at)
        if all(sched.state(name) is JobState.COMPLETED for name in names):
            break
    assert {sched.state(name) for name in names} == {JobState.COMPLETED}
    assert sum(worker.starts for worker in workers) >= len(names)
