"""Best-effort tasks beside latency-critical ones whose tail latency is not known yet."""

import asyncio

import pytest

import sapphirelead.runner_life as runner_life
from sapphirelead.clock import now
from sapphirelead.runner_pace import INITIAL_LEVEL
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_planner import GROUPING_DELAY_S, plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, FakeWorker, job, store
from tests.sched.serving import TARGET_MS, fill, report, serving_fleet
from tests.sched.test_runner import life_of, order

WAITING_FILLS = 40
NEW = "new"


def placed_fills(sched: Scheduler) -> int:
    """Count the best-effort tasks on the new worker."""
    return sum(run.step.fills for run in sched.fleet.instance(NEW).runs.values())


def arrival(image: str, tail: int = 70) -> tuple[Scheduler, Agents]:
    """Return a fleet of busy workers; a new one joins and gets a latency-critical task.

    :param image: image of the latency-critical task; ``serve`` runs on the other workers, too.
    :param tail: tail latency on the other workers in milliseconds.
    """
    sched, agents = serving_fleet(2)
    for at in (0.5, 1.0, 1.5, 2.0):
        for name in ("g0", "g1"):
            report(agents, sched, name, 25 if at < 1 else tail, at)
    serving = StepSpec(cpu_millicores=8000, lasting=True, image=image, target_ms=TARGET_MS)
    sched.submit(job("late", serving), lambda *_: None)
    sched.submit(job("fills", fill("heavy", WAITING_FILLS)), lambda *_: None)
    store(sched)
    report(agents, sched, NEW, 0, 2.0)
    ref = TaskRef("late", 0, 0, 0)
    sched.claim(sched.jobs["late"], ref, sched.fleet.instance(NEW), 2.0)
    return sched, agents


def place(sched: Scheduler, at: float) -> None:
    plan(sched, at, 0)
    plan(sched, at + 1.1 * GROUPING_DELAY_S, 0)
    store(sched)


@pytest.mark.parametrize("image", ["serve", "unknown"])
def test_a_new_worker_gets_no_best_effort_herd_beside_an_unmeasured_tail(image: str) -> None:
    """Guards against a latency-critical task over its target on a worker that has just arrived."""
    sched, agents = arrival(image)
    place(sched, 2.0)
    report(agents, sched, NEW, 0, 2.5)
    place(sched, 2.6)
    at_once = placed_fills(sched)
    for at in (3.0, 4.0, 5.0):
        for name in ("g0", "g1", NEW):
            report(agents, sched, name, 30, at)
    place(sched, 5.0)
    assert (at_once, placed_fills(sched) > 0) == (0, True)


def test_a_worker_that_reports_no_tails_gets_best_effort_work() -> None:
    """Guards against workers that stay without best-effort work because they measure nothing."""
    sched, agents = arrival("unknown")
    place(sched, 2.0)
    for at in (3.0, 4.0, 5.0, 6.0):
        report(agents, sched, NEW, -1, at)
    place(sched, 6.0)
    assert placed_fills(sched) > 0


@pytest.mark.looptime
async def test_best_effort_work_is_slow_until_a_new_tail_is_measured(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a latency-critical task that starts over its target beside full pace."""
    monkeypatch.setattr(runner_life, "awake_now", now)
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order("fill.0.0.0", image="f", best_effort=True, cpu_millicores=4000))
        await asyncio.sleep(2)
        assert worker.paces == []
        life.start(order("serve.0.0.0", image="s", target_ms=TARGET_MS))
        await asyncio.sleep(0.3)
        assert worker.paces == [("fill.0.0.0", round(INITIAL_LEVEL * 100))]
        await asyncio.sleep(5)
        assert worker.paces[-1] == ("fill.0.0.0", 100)
