"""Logs and metrics of a leader's load and of cancels."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from loguru import logger

from sapphirelead.clock import now
from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_load import (
    LOG_INTERVAL_S,
    MAX_PLANNING_WAIT_S,
    MAX_ROUND_BLOCKING_S,
    LoopLoad,
    Part,
)
from sapphirelead.sched_cancels import CancelLatency
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_planner import plan
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import Agents, job, scheduler, store

pytestmark = pytest.mark.looptime


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Collect the logged lines."""
    found: list[str] = []
    number = logger.add(lambda message: found.append(message.record["message"]), format="")
    yield found
    logger.remove(number)


@pytest.fixture
async def work(monkeypatch: pytest.MonkeyPatch) -> Callable[[float], None]:
    """Return a function that consumes simulated processor time by advancing the clock."""
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


async def test_a_long_round_is_logged_with_its_longest_part(
    lines: list[str], work: Callable[[float], None]
) -> None:
    metrics = Metrics(now)
    load = LoopLoad(metrics, now())
    sched = scheduler()
    for _ in range(3):
        with load.measure(Part.REVIEW):
            work(MAX_ROUND_BLOCKING_S / 4)
        with load.measure(Part.PLAN):
            work(MAX_ROUND_BLOCKING_S)
        with load.measure(Part.REPORTS):
            work(MAX_ROUND_BLOCKING_S)
        load.round_ended(sched)
    behind = _of(lines, "leader_behind")
    assert len(behind) == 1, "one line a second"
    assert "held_s=0.125 over_s=0.025 part=plan part_s=0.1" in behind[0]
    await asyncio.sleep(LOG_INTERVAL_S)
    with load.measure(Part.PLAN):
        work(MAX_ROUND_BLOCKING_S / 2)
    load.round_ended(sched)
    assert len(_of(lines, "leader_behind")) == 1
    (load_line,) = _of(lines, "leader_load")
    assert "rounds=4 reports=3 held_ms=725 round_ms=125" in load_line
    assert "reports_ms=100 " in load_line
    assert "review_ms=25 " in load_line
    assert "plan_ms=100 " in load_line
    assert metrics.percentiles_ms("loop_held_ms", part="plan")[99.0] == pytest.approx(100, rel=0.02)


async def test_a_planner_backlog_is_logged_with_its_longest_wait(
    lines: list[str],
) -> None:
    load = LoopLoad(Metrics(now), now())
    load.round_ended(scheduler(), MAX_PLANNING_WAIT_S)
    assert not _of(lines, "leader_behind")
    load.round_ended(scheduler(), 1.5 * MAX_PLANNING_WAIT_S)
    (behind,) = _of(lines, "leader_behind")
    assert "over_s=0 " in behind
    assert "unplanned_s=1.5 " in behind


async def test_the_latency_of_a_cancel_is_logged_and_measured(
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
