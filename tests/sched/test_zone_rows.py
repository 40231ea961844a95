"""Reads of the operators' evacuation rows, with a store that fails; simulated clock."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import pytest
from result import Err, Ok, Result

import sapphirelead.platform.config as config
from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.platform.config import OperatorWatcher
from sapphirelead.platform.store import FEED_TIMEOUT_S, FeedGapError, ForeignRow
from sapphirelead.platform.zones import evacuation_changes
from sapphirelead.sched_zones import MAX_READ_AGE_SHARE, EvacuatedZones

pytestmark = pytest.mark.looptime

BOUND_S = 5.0
CALL_S = 0.01
PRESENT = ForeignRow(b"{}", True)
UNREADABLE = ForeignRow(None, True)
DELETED = ForeignRow(None, False)

Rows = dict[str, ForeignRow]


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # No suspension is simulated, so the clock that includes suspensions equals the loop's clock.
    monkeypatch.setattr(config, "awake_now", now)


class FakeStore:
    """The operators' table, with faults.

    :ivar silent: calls end without an answer after their timeout.
    :ivar down: calls fail at once.
    :ivar forgets: the next read of changes raises a gap.
    """

    def __init__(self) -> None:
        self.rows: Rows = {}
        self.log: list[tuple[int, str, ForeignRow]] = []
        self.silent = self.down = self.forgets = False

    def write(self, key: str, row: ForeignRow) -> None:
        """Write or delete a row."""
        self.log.append((len(self.log) + 1, key, row))
        self.rows.pop(key, None)
        if row.exists:
            self.rows[key] = row

    async def _answer(self, timeout_s: float) -> Failure | None:
        await asyncio.sleep(timeout_s if self.silent else CALL_S)
        failed = self.silent or self.down
        return Failure(Code.STORE_UNAVAILABLE, "no answer") if failed else None

    async def foreign_rows(
        self, table: str, first: str, end: str
    ) -> Result[tuple[Rows, int], Failure]:
        failure = await self._answer(1.0)
        if failure is not None:
            return Err(failure)
        return Ok(({k: row for k, row in self.rows.items() if first <= k < end}, len(self.log)))

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[tuple[Rows, int], Failure]:
        until, timeout_at = now() + wait_s, now() + FEED_TIMEOUT_S
        while len(self.log) <= after and now() < until and not (self.silent or self.forgets):
            await asyncio.sleep(CALL_S)
        if self.forgets:
            self.forgets = False
            raise FeedGapError
        failure = await self._answer(timeout_at - now())
        if failure is not None:
            return Err(failure)
        return Ok(({key: row for ver, key, row in self.log if ver > after}, len(self.log)))


class Entry:
    """What an entry is told, and for how long a leader could not have planned."""

    def __init__(self) -> None:
        self.zones = EvacuatedZones()
        self.seen: list[frozenset[str]] = []

    def set_zones(self, zones: EvacuatedZones) -> None:
        assert zones.read_at <= now()
        self.zones = zones
        if not self.seen or self.seen[-1] != zones.names:
            self.seen.append(zones.names)

    async def watch_ages(self, seconds: float) -> float:
        """Return the largest age of the zones within the next seconds."""
        until, oldest = now() + seconds, 0.0
        while now() < until:
            oldest = max(oldest, self.zones.age_s(now()))
            await asyncio.sleep(CALL_S)
        return oldest


@asynccontextmanager
async def watching(store: FakeStore, bound_s: float = BOUND_S) -> AsyncIterator[Entry]:
    """Watch ``store`` as an entry does."""
    entry = Entry()
    watcher = OperatorWatcher(
        cast(Any, store), lambda *_: None, entry.set_zones, lambda _: None, bound_s
    )
    task = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.1)
    try:
        yield entry
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_rows_evacuate_and_restore_zones_at_once() -> None:
    store = FakeStore()
    store.write("evacuate/a", PRESENT)
    async with watching(store) as entry:
        assert entry.zones.names == {"a"}
        store.write("evacuate/b", PRESENT)
        await asyncio.sleep(0.1)
        assert entry.zones.names == {"a", "b"}
        store.write("evacuate/a", DELETED)
        await asyncio.sleep(0.1)
        assert entry.zones.names == {"b"}


async def test_a_row_that_appears_and_goes_leaves_its_zone_open() -> None:
    """Guards against changes of one response that are applied in the wrong order."""
    store = FakeStore()
    async with watching(store) as entry:
        store.write("evacuate/a", PRESENT)
        store.write("evacuate/a", DELETED)
        store.write("evacuate/b", DELETED)
        store.write("evacuate/b", PRESENT)
        await asyncio.sleep(0.1)
        assert entry.zones.names == {"b"}
        store.write("evacuate/a", PRESENT)
        await asyncio.sleep(0.05)
        store.write("evacuate/a", DELETED)
        await asyncio.sleep(0.1)
        assert entry.zones.names == {"b"}


@pytest.mark.parametrize("row", [UNREADABLE, ForeignRow(b"\xff", True), ForeignRow(b"", True)])
async def test_a_row_evacuates_its_zone_whatever_its_value(row: ForeignRow) -> None:
    """Guards against an unreadable value that counts as a deleted row."""
    store = FakeStore()
    async with watching(store) as entry:
        store.write("evacuate/a", PRESENT)
        await asyncio.sleep(0.1)
        store.write("evacuate/a", row)
        await asyncio.sleep(0.1)
        assert entry.zones.names == {"a"}


@pytest.mark.parametrize("key", ["evacuate/", "evacuate/a b", "evacuate/a/b", "evacuate/\x00"])
async def test_a_row_without_a_zone_name_hides_no_other(key: str) -> None:
    store = FakeStore()
    async with watching(store) as entry:
        store.write(key, PRESENT)
        store.write("evacuate/a", PRESENT)
        store.write("other", PRESENT)
        await asyncio.sleep(0.1)
        assert entry.zones.names == {"a"}
    assert evacuation_changes({key: PRESENT}) == {}


async def test_a_read_is_always_recent_enough_to_plan_in_calm() -> None:
    """Guards against starts that pause while a read waits for changes."""
    store = FakeStore()
    async with watching(store) as entry:
        assert await entry.watch_ages(20) < MAX_READ_AGE_SHARE * BOUND_S
        for number in range(40):
            store.write("config" if number % 3 else "evacuate/a", PRESENT)
            assert await entry.watch_ages(0.37) < MAX_READ_AGE_SHARE * BOUND_S
        assert await entry.watch_ages(5) < MAX_READ_AGE_SHARE * BOUND_S


@pytest.mark.parametrize("bound_s", [1.0, 3.0, 5.0, 30.0])
async def test_reads_keep_up_with_the_bound_of_the_deployment(bound_s: float) -> None:
    store = FakeStore()
    async with watching(store, bound_s) as entry:
        assert await entry.watch_ages(20) < MAX_READ_AGE_SHARE * bound_s


@pytest.mark.parametrize("fault", ["silent", "down"])
async def test_zones_become_unknown_without_the_store_and_known_again(fault: str) -> None:
    """Guards against a read that counts as recent although the store did not answer."""
    store = FakeStore()
    async with watching(store) as entry:
        setattr(store, fault, True)
        await asyncio.sleep(6)
        assert not entry.zones.is_current(BOUND_S, now())
        store.write("evacuate/a", PRESENT)
        setattr(store, fault, False)
        await asyncio.sleep(2.5)
        assert entry.zones.names == {"a"}
        assert entry.zones.is_current(BOUND_S, now())


async def test_one_lost_answer_hides_an_evacuation_for_less_than_the_bound() -> None:
    store = FakeStore()
    async with watching(store) as entry:
        store.silent = True
        store.write("evacuate/a", PRESENT)
        await asyncio.sleep(1.0)
        store.silent = False
        await asyncio.sleep(MAX_READ_AGE_SHARE * BOUND_S - 1.0)
        assert entry.zones.names == {"a"}


async def test_zones_are_read_again_after_the_store_has_forgotten_its_history() -> None:
    """Guards against a restored zone whose deleted row is not listed any more."""
    store = FakeStore()
    store.write("evacuate/a", PRESENT)
    async with watching(store) as entry:
        assert entry.zones.names == {"a"}
        store.forgets = True
        store.write("evacuate/a", DELETED)
        store.write("evacuate/b", PRESENT)
        await asyncio.sleep(0.2)
        assert entry.zones.names == {"b"}
