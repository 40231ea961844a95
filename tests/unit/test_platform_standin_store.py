"""The stand-in of the platform's store follows the contract of that store."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import pytest

from bench.platform_standin_store import Refusal, StandInStore, StoreSettings, WireTransaction
from bench.procs import wait_until
from sapphirelead.platform.store import FeedGapError, ForeignRow, PlatformTable
from sapphirelead.ports import CommitStatus, Condition, Txn, Write
from sapphirelead.standin_history import History
from sapphirelead.standin_server import Faults

OTHER_HOST = "127.0.0.77"
FIRST_TXN = Txn("one", (Condition("t/a", 0),), (Write("t/a", {"x": 1}),))


class Store:
    """A stand-in with two table clients at different addresses."""

    def __init__(self) -> None:
        settings = StoreSettings(hosts=[OTHER_HOST])
        self.standin = StandInStore(History.open("store"), settings)

    async def start(self) -> None:
        self.port = await self.standin.start("127.0.0.1", 0)
        self.table = PlatformTable.connect(f"127.0.0.1:{self.port}")
        self.other = PlatformTable.connect(f"{OTHER_HOST}:{self.port}")

    async def post(self, path: str, body: object) -> None:
        url = f"http://127.0.0.1:{self.port}{path}"
        async with aiohttp.ClientSession() as session:
            await session.post(url, data=msgspec.json.encode(body))


@pytest.fixture
async def store() -> AsyncIterator[Store]:
    created = Store()
    await created.start()
    yield created
    await created.table.close()
    await created.other.close()
    await created.standin.stop()


async def test_a_condition_that_does_not_hold_changes_nothing(store: Store) -> None:
    first = await store.table.commit(FIRST_TXN)
    assert first.status is CommitStatus.COMMITTED
    assert (await store.table.commit(FIRST_TXN)).status is CommitStatus.CONFLICT
    later = Txn("two", (Condition("t/a", first.version),), (Write("t/b", {"y": 2}),))
    assert (await store.other.commit(later)).status is CommitStatus.COMMITTED
    rows = (await store.table.rows(["t/a", "t/b", "t/c"])).unwrap()
    assert [row.value for row in rows] == [{"x": 1}, {"y": 2}, None]
    assert [row.key for row in (await store.table.scan("t/", "t/a", 9)).unwrap()] == ["t/b"]


async def test_the_system_cannot_write_the_operators_rows(store: Store) -> None:
    txn = Txn("x", (), (Write("op/config", {}),))
    assert (await store.table.commit(txn)).status is CommitStatus.REJECTED


async def test_a_held_transaction_is_performed_late_if_its_condition_still_holds(
    store: Store,
) -> None:
    store.standin.set_faults(Faults(down=True, hang=True, late_apply=True, only="/rows"))
    assert (await store.table.commit(FIRST_TXN)).status is CommitStatus.AMBIGUOUS
    store.standin.set_faults(Faults())

    async def performed() -> bool:
        return store.standin.rows.version == 1

    await wait_until("the held transaction is performed", performed, 5)


async def test_one_host_is_refused_while_another_is_served(store: Store) -> None:
    await store.post("/refuse", [Refusal(OTHER_HOST, 429)])
    assert (await store.other.commit(FIRST_TXN)).status is CommitStatus.REJECTED
    assert (await store.table.commit(FIRST_TXN)).status is CommitStatus.COMMITTED
    await store.post("/refuse", [Refusal(OTHER_HOST, 0)])
    assert (await store.other.rows(["t/a"])).is_err()


async def test_change_feed_reports_changes_and_raises_on_a_gap(store: Store) -> None:
    waiting = asyncio.create_task(store.table.changes("op", 0))
    row = {"table": "op", "key": "config", "value": "eA=="}
    await store.post("/operator", msgspec.convert({"writes": [row]}, WireTransaction))
    assert (await waiting).unwrap() == ({"config": ForeignRow(b"x", True)}, 1)
    await store.post("/forget", {})
    with pytest.raises(FeedGapError):
        await store.table.changes("op", 0)
