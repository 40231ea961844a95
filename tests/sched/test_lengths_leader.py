"""Learnt run times across leaders that fail, and a store that does."""

import asyncio
import math
from typing import Any

import pytest

import sapphirelead.node_leader as node_leader
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now
from sapphirelead.lengths.part import ENCODE_INTERVAL_S, LengthsPart
from sapphirelead.node_leader import HEAD_RENEW_INTERVAL_S, Leader
from sapphirelead.ports import Row
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_parts import LengthsConfig, PartsConfig
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_timing import Bounds
from tests.sched import successions
from tests.sched.fakes import NoAdvice
from tests.sched.successions import ReportingAgent, Succession, succession

pytestmark = pytest.mark.looptime

STEP = StepSpec(estimate_ms=4000, image="i")
KEY = ("q", "i")
ROW = "fleet/lengths"


def learning_leader(*args: Any) -> Leader:
    """Create a leader with the part switched on."""
    leader = Leader(*args)
    leader.set_config(QueueConfig(parts=PartsConfig(lengths=LengthsConfig())))
    return leader


@pytest.fixture(autouse=True)
def _leaders_learn_on_one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(successions, "Leader", learning_leader)
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


def learn(leader: Leader | None) -> None:
    """Let a pair be in use whose tasks take three times their estimate."""
    assert leader is not None
    (part,) = leader.sched.observers
    assert isinstance(part, LengthsPart)
    for _ in range(40):
        part.lengths.record(KEY, math.log(3), part.lengths.forecast(KEY), 1.0)


def knows(leader: Leader | None) -> bool:
    """Return whether a serving leader expects what was learnt; otherwise the declared length."""
    assert leader is not None and leader.serving
    expected_ms = leader.sched.lengths.expected_ms("q", STEP)
    assert expected_ms == 4000 or expected_ms == pytest.approx(12_000, rel=0.05)
    return expected_ms != 4000


async def stored(leaders: Succession) -> None:
    """Wait until what is known has been stored."""
    await asyncio.sleep(ENCODE_INTERVAL_S + 2 * HEAD_RENEW_INTERVAL_S)


async def test_a_successor_of_a_killed_leader_knows_what_was_stored() -> None:
    """Guards against learning anew after each crash of a leader."""
    async with succession([ReportingAgent("g1")]) as leaders:
        learn(leaders.leader)
        await stored(leaders)
        assert knows(await leaders.replace_leader())


async def test_two_leaders_that_fail_within_a_second_lose_nothing_stored() -> None:
    """Guards against a brief term that replaces the row by an empty one."""
    async with succession([ReportingAgent("g1")]) as leaders:
        learn(leaders.leader)
        await stored(leaders)
        for _ in range(2):
            await leaders.replace_leader()
            await asyncio.sleep(0.3)
        assert knows(await leaders.replace_leader())


async def test_a_leader_killed_before_it_stored_the_row_leaves_the_declared_estimates() -> None:
    """Guards against a successor that needs the row."""
    async with succession([ReportingAgent("g1")]) as leaders:
        learn(leaders.leader)
        assert not knows(await leaders.replace_leader())


@pytest.mark.parametrize("fault", ["lost_after", "lost_before", "rejected"])
async def test_a_commit_that_fails_does_not_lose_the_row(fault: str) -> None:
    """Guards against a row that counts as stored although its transaction failed."""
    async with succession([ReportingAgent("g1")]) as leaders:
        await asyncio.sleep(1.0)
        learn(leaders.leader)
        leaders.table.faults = [fault]
        await stored(leaders)
        assert not leaders.table.faults
        assert knows(await leaders.replace_leader())


async def test_a_leader_that_resigns_in_order_leaves_what_it_knows() -> None:
    """Guards against a handover that loses the row because no other write was due."""
    async with succession([ReportingAgent("g1")]) as leaders:
        learn(leaders.leader)
        assert leaders.leader is not None
        await leaders.leader.finish()
        assert knows(await leaders.replace_leader())


async def test_a_store_that_is_down_while_a_leader_loads_only_delays_it() -> None:
    """Guards against a term that begins without the row because one read of it failed."""
    async with succession([ReportingAgent("g1")]) as leaders:
        learn(leaders.leader)
        await stored(leaders)
        await leaders.kill_leader()
        head = await successions.take_head(leaders.table, "e9")
        leaders.table.down = True
        leader = learning_leader(Bounds(), head, leaders.table, NoAdvice(), leaders._send)
        loading = asyncio.create_task(leader.load())
        await asyncio.sleep(0.5)
        assert not leader.serving
        leaders.table.down = False
        await loading
        assert knows(leader)


@pytest.mark.parametrize(
    "value",
    [
        None,
        {},
        {"data": b"", "led_ms": 1},
        {"data": b"\xc1", "led_ms": 1},
        {"data": b"\x92\x07\x90"},
    ],
    ids=["missing", "empty", "no_data", "damaged", "other_version"],
)
async def test_a_leader_serves_without_a_readable_row(value: dict[str, Any] | None) -> None:
    """Guards against one damaged row that no leader survives."""
    async with succession([ReportingAgent("g1")]) as leaders:
        learn(leaders.leader)
        await stored(leaders)
        await leaders.kill_leader()
        leaders.table.data[ROW] = Row(ROW, 99, value)
        leader = await leaders.elect()
        assert not knows(leader)
        learn(leader)
        await stored(leaders)
        assert knows(await leaders.replace_leader())


async def test_the_row_needs_no_transactions_of_its_own() -> None:
    """Guards against writes that a slow store or link has to carry besides the others."""
    async with succession([ReportingAgent("g1")]) as leaders:
        await stored(leaders)
        before = leaders.table.commits
        await asyncio.sleep(5.0)
        idle = leaders.table.commits - before
        before = leaders.table.commits
        for _ in range(50):
            learn(leaders.leader)
            await asyncio.sleep(0.1)
        assert leaders.table.commits - before <= idle + 1
