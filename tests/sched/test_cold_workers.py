"""Workers that are slow for a while after they started or were emptied; no network, no clock."""

import pytest

from sapphirelead.node_messages import RunEnded
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_planner import GROUPING_DELAY_S, plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_stragglers import review
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_scheduler import submit

TASK = "a1.0.0.0"
STEP = StepSpec(cpu_millicores=1000, estimate_ms=2000)


def run_on(sched: Scheduler, agents: Agents, cold_ms: int) -> None:
    """Start a task on ``g1``, and let a sound worker without work join."""
    agents.report("g1", worker_info("w-g1", cold_ms=cold_ms))
    submit(sched, job("a1", STEP))
    plan(sched, 0.0, 0)
    store(sched)
    agents.report("g2", worker_info("w-g2"))


def crawl(
    sched: Scheduler,
    agents: Agents,
    until_s: float,
    cold_s: float,
    per_s: int = 8,
    stall: bool = False,
) -> None:
    """Report slow progress every 0.2 s, and review it."""
    percent = 0
    for number in range(1, round(until_s * 5)):
        at = number * 0.2
        percent = 0 if stall else round(per_s * at)
        info = worker_info("w-g1", cold_ms=max(0, round((cold_s - at) * 1000)))
        agents.report("g1", info, [(TASK, 1)], at=at, percent=percent)
        agents.report("g2", worker_info("w-g2"), at=at)
        review(sched, at)


@pytest.mark.parametrize(
    "step",
    [STEP, StepSpec(cpu_millicores=1000, lasting=True, target_ms=100, image="s")],
)
def test_work_prefers_a_warm_worker(step: StepSpec) -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report("g1", worker_info("w-g1", cold_ms=5000))
    agents.report("g2", worker_info("w-g2"))
    submit(sched, job("a1", step))
    plan(sched, 0.0, 0)
    plan(sched, GROUPING_DELAY_S + 0.1, 0)
    assert [run.agent for run in sched.fleet.runs.values()] == ["g2"]


def test_a_slow_run_on_a_cold_worker_is_neither_moved_nor_blamed() -> None:
    """Guards against moves off workers that are about to become fast."""
    sched = scheduler()
    agents = Agents(sched)
    run_on(sched, agents, 6000)
    crawl(sched, agents, 5.0, 6.0)
    assert not any(run.stop_wanted for run in sched.fleet.runs.values())
    assert not sched.fleet.instance("g1").track.has_faults


def test_the_same_run_on_a_warm_worker_is_moved() -> None:
    sched = scheduler()
    agents = Agents(sched)
    run_on(sched, agents, 0)
    crawl(sched, agents, 5.0, 0.0)
    assert [run.stop_wanted for run in sched.fleet.runs.values()] == [True]
    assert sched.fleet.instance("g1").track.has_faults


def test_a_stalled_run_on_a_cold_worker_is_moved() -> None:
    """Guards against tasks that stand still for as long as their worker is cold."""
    sched = scheduler()
    agents = Agents(sched)
    run_on(sched, agents, 20_000)
    crawl(sched, agents, 8.0, 20.0, stall=True)
    assert [run.stop_wanted for run in sched.fleet.runs.values()] == [True]
    assert not sched.fleet.instance("g1").track.has_faults


def test_the_time_on_a_cold_worker_does_not_count_once_it_is_warm() -> None:
    """Guards against a run that looks slow by what was observed while its worker was cold."""
    sched = scheduler()
    agents = Agents(sched)
    run_on(sched, agents, 3000)
    crawl(sched, agents, 3.1, 3.0, per_s=4)
    for number in range(1, 5):
        at = 3.2 + number * 0.2
        agents.report("g1", worker_info("w-g1"), [(TASK, 1)], at=at, percent=12 + number * 10)
        review(sched, at)
    assert not any(run.stop_wanted for run in sched.fleet.runs.values())


@pytest.mark.parametrize(("cold_ms", "learnt"), [(1000, False), (0, True)])
def test_a_run_that_began_cold_teaches_nothing_of_the_speed(cold_ms: int, learnt: bool) -> None:
    sched = scheduler()
    agents = Agents(sched)
    run_on(sched, agents, cold_ms)
    agents.report("g1", worker_info("w-g1", cold_ms=cold_ms), [(TASK, 1)], at=0.1)
    agents.report("g1", worker_info("w-g1"), [(TASK, 1)], at=2.0, percent=50)
    done = RunEnded(1, TASK, 1, EndKind.DONE, "")
    agents.report("g1", worker_info("w-g1"), ends=[done], at=8.0)
    assert (sched.fleet.instance("g1").track.speed < 1.0) is learnt


def test_a_heartbeat_that_is_repeated_does_not_keep_a_worker_cold() -> None:
    """Guards against a worker that stays cold because its agent repeats the same heartbeat."""
    sched = scheduler()
    agents = Agents(sched)
    for number in range(20):
        agents.report("g1", worker_info("w-g1", cold_ms=1000), at=number * 0.1)
    assert not sched.fleet.instance("g1").cold
