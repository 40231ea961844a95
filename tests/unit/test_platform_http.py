"""Tests that failed platform calls are classified by whether they may have had effects."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from result import Ok

from bench.procs import wait_until
from bench.proxy import Proxy
from sapphirelead.errors import Code
from sapphirelead.http_client import HttpCaller
from sapphirelead.platform.local_table import HttpTable
from sapphirelead.platform.local_target import HttpTarget
from sapphirelead.ports import CommitStatus, Condition, Txn, Write
from sapphirelead.settings import PlatformSettings
from sapphirelead.standin_history import History
from sapphirelead.standin_server import Faults
from sapphirelead.standin_table import StandInTable, TableSettings

TXN = Txn("op", (Condition("a", 0),), (Write("a", {"x": 1}),))


@pytest.fixture
async def standin() -> AsyncIterator[StandInTable]:
    table = StandInTable(History.open("table"), TableSettings(writes_per_second=2))
    yield table
    await table.stop()


async def connect_table(standin: StandInTable) -> HttpTable:
    port = await standin.start("127.0.0.1", 0)
    cfg = PlatformSettings(table_url=f"http://127.0.0.1:{port}", timeout_seconds=0.2)
    return HttpTable.from_settings(cfg)


COMMIT_CASES: dict[str, tuple[Faults, CommitStatus, bool]] = {
    "answered": (Faults(), CommitStatus.COMMITTED, True),
    "answer lost after the effect": (Faults(lose_answers=1), CommitStatus.AMBIGUOUS, True),
    "dropped before the effect": (Faults(drop_before=1), CommitStatus.AMBIGUOUS, False),
    "down": (Faults(down=True), CommitStatus.REJECTED, False),
    "hanging": (Faults(down=True, hang=True), CommitStatus.AMBIGUOUS, False),
    "slower than the timeout": (Faults(delay_ms=400), CommitStatus.AMBIGUOUS, False),
}


@pytest.mark.parametrize("name", COMMIT_CASES)
async def test_commit_status_for_each_fault(standin: StandInTable, name: str) -> None:
    faults, status, applied = COMMIT_CASES[name]
    table = await connect_table(standin)
    standin.faults = faults
    commit = await table.commit(TXN)
    assert (commit.status, standin.rows.get("a").version > 0) == (status, applied)
    await table.close()


async def test_timed_out_commit_may_be_applied_later(standin: StandInTable) -> None:
    table = await connect_table(standin)
    standin.faults = Faults(down=True, hang=True, late_apply=True)
    assert (await table.commit(TXN)).status is CommitStatus.AMBIGUOUS
    standin.set_faults(Faults())

    async def applied() -> bool:
        return standin.rows.get("a").version > 0

    await wait_until("the delayed commit is applied", applied)
    await table.close()


async def test_conflict_lists_its_rows_and_write_rate_is_enforced(standin: StandInTable) -> None:
    table = await connect_table(standin)
    assert (await table.commit(TXN)).status is CommitStatus.COMMITTED
    conflict = await table.commit(TXN)
    assert (conflict.status, conflict.conflicts) == (CommitStatus.CONFLICT, ("a",))
    assert (await table.commit(TXN)).status is CommitStatus.REJECTED
    await table.close()


async def test_refused_connection_is_reported_as_not_applied(standin: StandInTable) -> None:
    table = await connect_table(standin)
    await standin.stop()
    assert (await table.commit(TXN)).status is CommitStatus.REJECTED
    assert (await table.rows(["a"])).unwrap_err().code is Code.STORE_UNAVAILABLE
    await table.close()


async def test_unresponsive_connection_pool_costs_one_timeout(standin: StandInTable) -> None:
    """Guards against one timeout per pooled connection when all of them stop responding.

    The first timeout must discard the whole pool.
    """
    port = await standin.start("127.0.0.1", 0)
    proxy = await Proxy.start(port)
    cfg = PlatformSettings(table_url=f"http://127.0.0.1:{proxy.port}", timeout_seconds=0.3)
    table = HttpTable.from_settings(cfg)
    await asyncio.gather(*(table.rows(["a"]) for _ in range(8)))
    proxy.blackhole_existing()
    results = [(await table.rows(["a"])).is_ok() for _ in range(3)]
    assert results == [False, True, True]
    await table.close()
    await proxy.stop()


HEAD = b"HTTP/1.1 200 OK\r\n"
RESPONSE_CASES: dict[str, tuple[bytes, Code | None]] = {
    "whole": (HEAD + b"Content-Length: 2\r\n\r\nok", None),
    "chunked": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", None),
    "cut short": (HEAD + b"Content-Length: 9\r\n\r\nok", Code.TARGET_FAILED),
    "chunks cut short": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        Code.TARGET_FAILED,
    ),
    "length not told": (HEAD + b"Connection: close\r\n\r\nok", Code.TARGET_FAILED),
    "no answer": (b"", Code.TARGET_FAILED),
}


@pytest.mark.parametrize("name", RESPONSE_CASES)
async def test_incomplete_target_response_is_an_error(name: str) -> None:
    raw, failure = RESPONSE_CASES[name]

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"body")
        writer.write(raw)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    target = HttpTarget(HttpCaller.connect(f"http://127.0.0.1:{port}", 1.0))
    end: Any = await target.call("svc", {"Content-Length": "999"}, b"body", 1.0)
    assert end.unwrap_err().code is failure if failure else end.unwrap().body == b"ok"
    server.close()
    await target.close()
    if name == "whole":
        unreachable = HttpTarget(HttpCaller.connect(f"http://127.0.0.1:{port}", 1.0))
        refused = await unreachable.call("svc", {}, b"body", 1.0)
        assert refused.unwrap_err().code is Code.NO_INSTANCE
        assert not isinstance(refused, Ok)
        await unreachable.close()
