"""Preemption in a real leader: its rounds, its row in the store, and a change of leaders."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

import sapphirelead.node_leader as node_leader
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now, wall_ms
from sapphirelead.node_leader import Leader
from sapphirelead.preemption.history import ROW_KEY
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_head import Head, read_head
from sapphirelead.sched_parts import ALL_OFF, PartsConfig
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import Agents, NoAdvice
from tests.sched.preempting import ON, PRIORITIES, queued
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


@asynccontextmanager
async def leading(table: MemoryTable, parts: PartsConfig) -> AsyncIterator[Leader]:
    """Run a leader that knows the configuration and no evacuated zones."""
    head = await Head.take(table, (await read_head(table)).unwrap(), "e1")
    assert head is not None
    leader = Leader(Bounds(), head, table, NoAdvice(), lambda *_: True)
    leader.set_config(QueueConfig.from_routes(1, [], PRIORITIES, parts=parts))
    await leader.load()
    rounds = asyncio.create_task(leader.run())
    try:
        yield leader
    finally:
        rounds.cancel()
        await asyncio.gather(rounds, return_exceptions=True)


async def work(leader: Leader, seconds: float) -> None:
    """Let one agent report the runs that its worker was sent, until the time is up."""
    agents = Agents(leader.sched, leader.head.epoch)
    agents.seqs["g1"] = int(now() * 1000)
    until = now() + seconds
    while now() < until:
        runs = [run for run in leader.sched.fleet.runs.values() if run.phase.value != "claimed"]
        agents.report("g1", runs=[(run.ref.text(), run.attempt) for run in runs], at=now())
        leader.wake()
        await asyncio.sleep(0.1)


async def fill_and_submit(leader: Leader) -> None:
    """Fill the worker with a long task, and submit an urgent one."""
    await work(leader, 0.3)
    step = StepSpec(cpu_millicores=8000, estimate_ms=60_000, saves=True)
    leader.sched.submit(queued("low", "p2", step, wall_ms() / 1000), lambda *_: None)
    await work(leader, 1.0)
    step = StepSpec(cpu_millicores=1000, estimate_ms=1280)
    leader.sched.submit(queued("now", "p0", step, wall_ms() / 1000), lambda *_: None)
    await work(leader, 1.5)


async def test_a_leader_preempts_and_its_successor_knows_of_it() -> None:
    """Guards against a part that no round calls, and against stops that a successor forgets."""
    table = MemoryTable()
    low = TaskRef("low", 0, 0, 0)
    async with leading(table, ON) as leader:
        await fill_and_submit(leader)
        (run,) = leader.sched.fleet.runs_of(low)
        assert (run.stop_wanted, run.stop_reason) == (True, "preempted")
        assert ROW_KEY in table.data
    async with leading(table, ON) as leader:
        assert leader.parts.preemption is not None
        assert leader.parts.preemption.history.stops(low) == 1


async def test_a_leader_without_the_part_stores_and_stops_nothing() -> None:
    """Guards against effects on a deployment that has not enabled the part."""
    table = MemoryTable()
    async with leading(table, ALL_OFF) as leader:
        await fill_and_submit(leader)
        (run,) = leader.sched.fleet.runs.values()
        assert not run.stop_wanted
        assert not leader.parts.keys and ROW_KEY not in table.data
