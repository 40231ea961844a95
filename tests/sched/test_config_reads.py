"""Reads of the operators' configuration over a slow link, or without answers; simulated clock."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from result import Err, Ok, Result

import sapphirelead.platform.config as config
from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import HttpCaller, Transfer
from sapphirelead.platform.config import OperatorWatcher
from sapphirelead.platform.store import FeedGapError, ForeignRow, PlatformTable
from sapphirelead.sched_config import QueueConfig

Rows = dict[str, ForeignRow]

SILENT_S = 2.0
"""Time after which a read without bytes fails."""


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(config, "awake_now", now)


class LinkedStore:
    """The operators' table behind a link that all reads share.

    :ivar transfer_s: time that one copy of the configuration takes if nothing else is read.
    :ivar silent: no read gets an answer.
    :ivar hung: reads of changes get no answer, as on an unresponsive connection.
    :ivar most: largest number of reads that arrived at the same time.
    """

    def __init__(self, transfer_s: float) -> None:
        self.transfer_s = transfer_s
        self.versions: list[int] = []
        self.silent = self.hung = False
        self.arriving = self.most = self.read_bytes = 0

    @property
    def receiving(self) -> bool:
        return self.arriving > 0

    def write(self, version: int) -> None:
        """Store a version of the configuration."""
        self.versions.append(version)

    async def _transfer(self, copies: int) -> None:
        self.arriving += 1
        self.most = max(self.most, self.arriving)
        try:
            left_s = copies * self.transfer_s
            while left_s > 0:
                await asyncio.sleep(0.05)
                left_s -= 0.05 / self.arriving
        finally:
            self.arriving -= 1

    async def _fail(self) -> Err[Failure]:
        await asyncio.sleep(SILENT_S)
        return Err(Failure(Code.STORE_UNAVAILABLE, "no answer"))

    async def foreign_rows(
        self, table: str, first: str, end: str
    ) -> Result[tuple[Rows, int], Failure]:
        if self.silent:
            return await self._fail()
        version = len(self.versions)
        await self._transfer(1 if version else 0)
        return Ok((self._rows(version), version))

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[tuple[Rows, int], Failure]:
        until = now() + wait_s
        while len(self.versions) <= after and now() < until:
            await asyncio.sleep(0.01)
        if self.silent or self.hung:
            return await self._fail()
        version = len(self.versions)
        # The feed repeats each version since the last read.
        await self._transfer(version - after)
        return Ok((self._rows(version) if version > after else {}, version))

    def _rows(self, version: int) -> Rows:
        if not version:
            return {}
        row = json.dumps({"version": self.versions[version - 1], "routes": []}).encode()
        return {"config": ForeignRow(row, True)}


@asynccontextmanager
async def watching(store: LinkedStore) -> AsyncIterator[tuple[OperatorWatcher, list[int]]]:
    """Watch ``store`` as an entry does; yields the versions as they are applied."""
    applied: list[int] = []

    def apply(found: QueueConfig, _: bytes) -> None:
        if found.version > max(applied, default=0):
            applied.append(found.version)

    watcher = OperatorWatcher(cast(Any, store), apply, lambda _: None, lambda _: None)
    task = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.1)
    try:
        yield watcher, applied
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.looptime
@pytest.mark.parametrize("transfer_s", [0.5, 1.5, 5.0])
async def test_a_row_that_takes_long_arrives_however_often_versions_are_named(
    transfer_s: float,
) -> None:
    """Guards against reads that share a slow link, so that each times out and starts anew."""
    store = LinkedStore(transfer_s)
    store.write(1)
    async with watching(store) as (watcher, applied):
        await asyncio.sleep(transfer_s + 1.6)
        assert applied == [1]
        for number in range(2, 5):
            store.write(number)
            for _ in range(30):
                # Heartbeats of other entries name the version that they have.
                watcher.request_read(number)
                await asyncio.sleep(0.1)
        await asyncio.sleep(3 * transfer_s + 1.6)
        assert applied[-1] == 4
        assert store.most == 1


@pytest.mark.looptime
async def test_an_unresponsive_read_of_changes_does_not_hide_a_known_version() -> None:
    """Guards against a version that waits for the time-out of an unresponsive connection."""
    store = LinkedStore(0.05)
    store.write(1)
    async with watching(store) as (watcher, applied):
        await asyncio.sleep(1.0)
        store.hung = True
        store.write(2)
        watcher.request_read(2)
        await asyncio.sleep(1.0)
        assert applied == [1, 2]


@pytest.mark.looptime
async def test_a_version_that_a_copy_has_brought_is_not_read_on_demand() -> None:
    """Guards against a transfer beside, or after, the copy that has made it needless."""
    store = LinkedStore(0.2)
    store.write(1)
    async with watching(store) as (watcher, applied):
        await asyncio.sleep(1.0)
        store.hung = True
        store.write(2)
        watcher.held = lambda: 2
        watcher.request_read(2)
        await asyncio.sleep(1.0)
        assert (applied, store.arriving) == ([1], 0)


@pytest.mark.looptime
async def test_a_store_that_is_silent_for_one_machine_is_read_once_it_answers() -> None:
    store = LinkedStore(0.2)
    store.write(1)
    async with watching(store) as (watcher, applied):
        await asyncio.sleep(1.0)
        store.silent = True
        for number in range(2, 12):
            store.write(number)
            watcher.request_read(number)
            await asyncio.sleep(3.0)
        store.silent = False
        await asyncio.sleep(SILENT_S + 1.0)
        assert applied == [1, 11]


class TricklingServer:
    """Answers in pieces with pauses.

    :ivar stalls_after: number of pieces after which it falls silent.
    """

    def __init__(self, pieces: int, pause_s: float, stalls_after: int = 10**6) -> None:
        self.pieces, self.pause_s, self.stalls_after = pieces, pause_s, stalls_after

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = json.dumps({"rows": [], "ver": 3}).encode().ljust(self.pieces)
        size = -(-len(body) // self.pieces)
        response = web.StreamResponse(headers={"Content-Length": str(len(body))})
        await response.prepare(request)
        for number in range(0, len(body), size):
            if number // size >= self.stalls_after:
                await asyncio.sleep(5)
            await response.write(body[number : number + size])
            await asyncio.sleep(self.pause_s)
        return response


@asynccontextmanager
async def serving(server: TricklingServer) -> AsyncIterator[HttpCaller]:
    peer = TestServer(web.Application())
    peer.app.router.add_route("*", "/{path:.*}", server.handle)
    await peer.start_server()
    caller = HttpCaller.connect(f"http://{peer.host}:{peer.port}", 1.0)
    try:
        yield caller
    finally:
        await caller.close()
        await peer.close()


async def test_a_transfer_goes_on_for_as_long_as_bytes_arrive() -> None:
    """Guards against a large row that is given up in the middle on a slow link."""
    async with serving(TricklingServer(pieces=10, pause_s=0.15)) as caller:
        transfer = Transfer()
        found = await caller.call("GET", "/x", timeout_s=10, idle_s=0.6, transfer=transfer)
        assert found.unwrap().status == 200
        assert transfer.received == len(found.unwrap().body)


async def test_a_transfer_that_stalls_is_given_up_after_the_idle_time() -> None:
    """Guards against a silent connection that holds a read for the whole transfer time."""
    async with serving(TricklingServer(pieces=10, pause_s=0.01, stalls_after=4)) as caller:
        began = now()
        transfer = Transfer()
        found = await caller.call("GET", "/x", timeout_s=10, idle_s=0.4, transfer=transfer)
        assert found.is_err()
        assert now() - began < 2.0
        assert transfer.received > 0


async def test_changes_that_stall_in_the_middle_are_read_as_rows_instead() -> None:
    """Guards against a feed whose response only grows with each version that it repeats."""
    async with serving(TricklingServer(pieces=10, pause_s=0.01, stalls_after=4)) as caller:
        with pytest.raises(FeedGapError):
            await PlatformTable(caller).changes("op", 3, 0.0)
