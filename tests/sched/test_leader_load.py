"""What a leader logs and counts of its own load and of cancels, on a paused clock."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from loguru import logger

from sapphirelead.clock import now
from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_load import HELD_S, PERIOD_S, UNPLANNED_S, LoopLoad, Part
from sapphirelead.sched_cancels import CancelLatency
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_planner import plan
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import Agents, job, scheduler, store

pytestmark = pytest.mark.looptime


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Collect the lines logged."""
    found: list[str] = []
    number = logger.add(lambda message: found.append(message.record["message"]), format="")
    yield found
    logger.remove(number)


@pytest.fixture
async def work(monkeypatch: pytest.MonkeyPatch) -> Callable[[float], None]:
    """Return a function that takes processor time: it advances the clock without waiting."""
    loop: Any = asyncio.get_running_loop()
    time = loop.time
    worked_s = 0.0

    def take(seconds: float) -> None:
        nonlocal worked_s
        worked_s += seconds

    monkeypatch.setattr(loop, "time", lambda: time() + worked_s)
    return take


def _of(lines: list[str], event: str) -> list[str]:
    return [line for line in lines if f"event={event} " in line]


async def test_a_round_that_holds_the_loop_too_long_says_in_which_part(
    lines: list[str], work: Callable[[float], None]
) -> None:
    metrics = Metrics(now)
    load = LoopLoad(metrics, now())
    sched = scheduler()
    for _ in range(3):
        with load.held(Part.REVIEW):
            work(HELD_S / 4)
        with load.held(Part.PLAN):
            work(HELD_S)
        with load.held(Part.REPORTS):
            work(HELD_S)
        load.round_ended(sched)
    behind = _of(lines, "leader_behind")
    assert len(behind) == 1, "one line a second"
    assert "held_s=0.125 over_s=0.025 part=plan part_s=0.1" in behind[0]
    await asyncio.sleep(PERIOD_S)
    with load.held(Part.PLAN):
        work(HELD_S / 2)
    load.round_ended(sched)
    assert len(_of(lines, "leader_behind")) == 1
    (told,) = _of(lines, "leader_load")
    assert "rounds=4 reports=3 held_ms=725 round_ms=125" in told
    assert "reports_ms=100 " in told
    assert "review_ms=25 " in told
    assert "plan_ms=100 " in told
    assert metrics.percentiles_ms("loop_held_ms", part="plan")[99.0] == pytest.approx(100, rel=0.02)


async def test_a_planner_that_is_behind_says_for_how_long_steps_wait(
    lines: list[str],
) -> None:
    load = LoopLoad(Metrics(now), now())
    load.round_ended(scheduler(), UNPLANNED_S)
    assert not _of(lines, "leader_behind")
    load.round_ended(scheduler(), 1.5 * UNPLANNED_S)
    (behind,) = _of(lines, "leader_behind")
    assert "over_s=0 " in behind
    assert "unplanned_s=1.5 " in behind


async def test_a_cancel_tells_how_long_it_waited_and_when_its_last_run_ended(
    lines: list[str], work: Callable[[float], None]
) -> None:
    metrics = Metrics(now)
    sched = Scheduler(Bounds(), now(), CancelLatency(metrics, now))
    agents = Agents(sched)
    agents.report("g1", at=now())
    for name in ("a1", "a2"):
        sched.submit(job(name), lambda *_: None)
    plan(sched, now(), 0)
    store(sched)
    agents.report("g1", runs=[("a1.0.0.0", 1), ("a2.0.0.0", 1)], at=now())
    sched.cancel("a1", lambda *_: None)
    work(0.2)
    sched.cancel("a1", lambda *_: None)
    work(0.3)
    store(sched)
    (cancelled,) = _of(lines, "job_cancelled")
    assert "job=a1 waited_s=0.5 runs=1" in cancelled
    work(0.7)
    for run in list(sched.fleet.runs.values()):
        sched.end(run, EndKind.STOPPED, "", "", now())
    (stopped,) = _of(lines, "job_stopped")
    assert "job=a1 took_s=0.7 runs=1" in stopped
    assert metrics.percentiles_ms("cancel_stored_ms")[50.0] == pytest.approx(500, rel=0.02)
    assert metrics.percentiles_ms("cancel_ended_ms")[50.0] == pytest.approx(700, rel=0.02)
