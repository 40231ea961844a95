"""Tests group commit and the settling of writes whose response was lost."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from sapphirelead.entry_table import Change, EntryTable, Unit, absent, resolve_read_back
from sapphirelead.ports import CommitStatus, Condition, Row, Txn, Write
from sapphirelead.settings import PlatformSettings
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.asyncio


@asynccontextmanager
async def running(memory: MemoryTable) -> AsyncIterator[EntryTable]:
    made = EntryTable.from_settings(PlatformSettings(table_url="http://127.0.0.1:1"), memory)
    made.start()
    yield made
    await made.stop()


def unit(key: str, version: int = 0) -> Unit:
    return Unit((Change(Row(key, version, None), {"owner": key}),))


@pytest.mark.parametrize(
    ("faults", "expected", "commits"),
    [
        ([], CommitStatus.COMMITTED, 1),
        (["rejected"], CommitStatus.REJECTED, 1),
        (["lost_after"], CommitStatus.COMMITTED, 1),
        (["lost_before"], CommitStatus.COMMITTED, 2),
        (["lost_before", "lost_after"], CommitStatus.COMMITTED, 2),
        (["lost_before", "rejected"], CommitStatus.COMMITTED, 3),
    ],
)
@pytest.mark.looptime
async def test_lost_response_is_settled_by_reading_back(
    faults: list[str], expected: CommitStatus, commits: int
) -> None:
    """Guards against a blind retry that takes its own applied write for a conflict; the entry would
    drop a claim that it holds, and the job would stall."""
    memory = MemoryTable()
    async with running(memory) as table:
        memory.faults = faults
        commit = await table.commit(unit("a"))
        assert commit.status is expected
        assert memory.commits == commits


@pytest.mark.looptime
async def test_conflicting_unit_is_dropped_and_the_rest_committed() -> None:
    memory = MemoryTable()
    async with running(memory) as table:
        memory.data["b"] = Row("b", 7, {})
        memory.version = 7
        outcomes = await asyncio.gather(*(table.commit(unit(key)) for key in "abc"))
        assert [outcome.status.value for outcome in outcomes] == [
            "committed",
            "conflict",
            "committed",
        ]
        assert memory.commits == 2


@pytest.mark.looptime
async def test_two_units_of_one_row_never_share_a_transaction() -> None:
    memory = MemoryTable()
    async with running(memory) as table:
        outcomes = await asyncio.gather(table.commit(unit("a")), table.commit(unit("a")))
        assert [outcome.status.value for outcome in outcomes] == ["committed", "conflict"]


@pytest.mark.looptime
async def test_units_are_rejected_at_once_while_the_table_is_down() -> None:
    """While the table is down, a unit must be rejected at once as not applied, not wait behind a
    write that cannot be settled."""
    memory = MemoryTable()
    async with running(memory) as table:
        memory.down = True
        await table.commit(unit("a"))
        await table.commit(unit("b"))
        assert not table.up
        before = asyncio.get_running_loop().time()
        assert (await table.commit(unit("c"))).status is CommitStatus.REJECTED
        assert asyncio.get_running_loop().time() == before
        memory.down = False
        assert (await table.commit_first(unit("c"))).status is CommitStatus.COMMITTED
        assert table.up


@pytest.mark.looptime
async def test_unresponsive_table_does_not_block_writers() -> None:
    """If the table accepts requests but does not respond, writers must time out: ambiguous for the
    unit sent, rejected for the units queued behind it."""
    memory = MemoryTable()
    memory.hang = asyncio.Event()
    async with running(memory) as table:
        outcomes = await asyncio.gather(table.commit(unit("a")), table.commit(unit("a")))
        assert [outcome.status for outcome in outcomes] == [
            CommitStatus.AMBIGUOUS,
            CommitStatus.REJECTED,
        ]
        memory.hang.set()


TXN = Txn("mine", (Condition("a", 3),), (Write("a", {}),))


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (Row("a", 4, {"_ops": ["mine"]}), CommitStatus.COMMITTED),
        (Row("a", 6, {"_ops": ["other", "mine"]}), CommitStatus.COMMITTED),
        (Row("a", 3, {"_ops": ["other"]}), CommitStatus.AMBIGUOUS),
        (Row("a", 4, {"_ops": ["other"]}), CommitStatus.CONFLICT),
        (absent("a"), CommitStatus.CONFLICT),
    ],
)
async def test_read_back_determines_the_outcome(row: Row, expected: CommitStatus) -> None:
    assert resolve_read_back(TXN, [row]).status is expected
