"""Tests of the measured time until a long-running task runs again."""

import pytest

from sapphirelead.metrics import Metrics
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_planner import plan
from sapphirelead.sched_restarts import RestartLatency
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import Agents, job, store


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.at = 0.0

    def __call__(self) -> float:
        return self.at


def test_time_until_a_long_running_task_runs_again() -> None:
    clock = Clock()
    metrics = Metrics(clock)
    sched = Scheduler(Bounds(), 0.0, restart_latency=RestartLatency(metrics, clock))
    agents = Agents(sched)
    agents.report("g1")
    sched.submit(job("a1", StepSpec(cpu_millicores=1000, lasting=True)), lambda *_: None)
    plan(sched, 0.0, 0)
    plan(sched, 1.0, 0)
    store(sched)
    agents.report("g1", runs=[("a1.0.0.0", 1)], at=1.1)
    clock.at = 12.0
    agents.report("g2", at=12.0)
    sched.end_runs_of_lost_agents(12.0)
    plan(sched, 12.0, 0)
    store(sched)
    clock.at = 12.5
    agents.report("g2", runs=[("a1.0.0.0", 2)], at=12.5)
    agents.report("g2", runs=[("a1.0.0.0", 2)], at=13.0)
    assert metrics.percentiles_ms("task_restart_ms")[50.0] == pytest.approx(500.0, rel=0.02)


def test_tasks_of_ended_jobs_are_forgotten() -> None:
    clock = Clock()
    metrics = Metrics(clock)
    latency = RestartLatency(metrics, clock)
    sched = Scheduler(Bounds(), 0.0, restart_latency=latency)
    agents = Agents(sched)
    agents.report("g1")
    sched.submit(job("a1", StepSpec(cpu_millicores=1000, lasting=True)), lambda *_: None)
    plan(sched, 0.0, 0)
    plan(sched, 1.0, 0)
    store(sched)
    run = next(iter(sched.fleet.runs.values()))
    sched.end_runs_of_lost_agents(12.0)
    latency.forget("a1")
    clock.at = 13.0
    latency.running(run.ref, 2)
    assert metrics.percentiles_ms("task_restart_ms") == {}
