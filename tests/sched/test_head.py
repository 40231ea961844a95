"""Tests of the head row: fencing of previous leaders, ordered commits and lost replies."""

import asyncio

import pytest

from sapphirelead.node_election import Election, Move
from sapphirelead.ports import Write
from sapphirelead.sched_head import NO_LEADER, Head, HeadEnd, read_head
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime


async def take_leadership(table: MemoryTable, name: str = "e1") -> Head:
    """Become the leader."""
    head = await Head.take(table, (await read_head(table)).unwrap(), name)
    assert head is not None
    return head


@pytest.mark.parametrize("fault", ["lost_after", "lost_before", "rejected"])
async def test_commit_takes_effect_once_despite_store_faults(fault: str) -> None:
    table = MemoryTable()
    head = await take_leadership(table)
    table.faults = [fault]
    assert await head.commit([Write("run/a", {"data": b"1"})]) is HeadEnd.STORED
    assert table.get("run/a").value == {"data": b"1"}
    assert await head.commit([Write("run/a", {"data": b"2"})]) is HeadEnd.STORED
    assert table.get("run/a").value == {"data": b"2"}


async def test_deposed_leader_cannot_write() -> None:
    """Guards against a partitioned leader that overwrites the progress stored by its successor."""
    table = MemoryTable()
    old = await take_leadership(table, "e1")
    new = await take_leadership(table, "e2")
    assert await new.commit([Write("run/a", {"data": b"new"})]) is HeadEnd.STORED
    assert await old.commit([Write("run/a", {"data": b"old"})]) is HeadEnd.DEPOSED
    assert table.get("run/a").value == {"data": b"new"}


async def test_commit_waits_while_store_is_unavailable() -> None:
    table = MemoryTable()
    head = await take_leadership(table)
    table.down = True
    commit = asyncio.create_task(head.commit([Write("run/a", {"data": b"1"})]))
    await asyncio.sleep(5)
    assert not commit.done()
    assert head.waiting_since > 0
    table.down = False
    assert await commit is HeadEnd.STORED
    assert head.waiting_since == 0


async def test_large_commit_is_split_into_transactions() -> None:
    table = MemoryTable()
    head = await take_leadership(table)
    before = table.commits
    writes = [Write(f"run/{number}", {"data": b"x" * 20_000}) for number in range(200)]
    assert await head.commit(writes) is HeadEnd.STORED
    assert table.commits - before >= 200 * 20_000 // 600_000
    assert sum(key.startswith("run/") for key in table.data) == 200


async def test_released_leadership_can_be_taken_immediately() -> None:
    """Guards against waiting for the leader timeout after all entries were stopped together."""
    table = MemoryTable()
    await (await take_leadership(table, "e1")).release()
    row = (await read_head(table)).unwrap()
    assert (row.leader, row.epoch) == (NO_LEADER, 1)
    election = Election("e2")
    assert election.next_move(0.0) is Move.READ
    election.on_head_read(row, 0.0)
    assert election.next_move(0.01) is Move.TAKE
    head = await election.take(table)
    assert head is not None and head.epoch == 2


async def test_deposed_leader_cannot_release_leadership() -> None:
    table = MemoryTable()
    old = await take_leadership(table, "e1")
    await take_leadership(table, "e2")
    await old.release()
    assert (await read_head(table)).unwrap().leader == "e2"
