"""Stand-in of the store on the users' platform, in memory, with its faults.

Usage:
  platform_standin_store --history FILE --settings JSON --port PORT

Options:
  --history FILE   File to append the history to.
  --settings JSON  Settings of the store.
  --port PORT      Port to listen on, at 127.0.0.1 and at the further addresses of the settings.

One counter numbers all transactions.  Rows lie in a part of a table; the changes of the last
seconds can be followed.  Each process reaches the store at an address of its own, so that single
ones can be turned away.  The operator writes its rows at ``/operator``, which no fault concerns.
"""

import asyncio
import signal
import sys
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec
from aiohttp import web
from docopt import docopt

from sapphirelead.clock import now
from sapphirelead.standin_history import History
from sapphirelead.standin_server import StandIn
from sapphirelead.standin_table import RateLimit

OPERATOR_TABLES: Final = frozenset({"op", "servers"})
MAX_TRANSACTION_ROWS: Final = 100
MAX_ROWS: Final = 500
MAX_PARTS: Final = 1_000
FEED_POLL_INTERVAL_S: Final = 0.02


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses, rate limits and times of the store.

    :ivar hosts: additional addresses to listen on, one for each process.
    :ivar history_s: retention period of the change feed.
    """

    hosts: list[str] = []
    writes_per_second: int = 800
    reads_per_second: int = 2_000
    transaction_ms: float = 4.0
    history_s: float = 20.0


class Place(msgspec.Struct, frozen=True):
    """Full key of a row."""

    table: str
    part: str = ""
    key: str = ""


class WireRow(msgspec.Struct):
    """A row on the wire; ``value`` is base64."""

    table: str
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False

    @property
    def place(self) -> Place:
        """Full key of the row."""
        return Place(self.table, self.part, self.key)


class WireTransaction(msgspec.Struct):
    """A transaction on the wire."""

    expected_rev: list[WireRow] = []
    writes: list[WireRow] = []
    remove: list[WireRow] = []
    across: bool = False

    @property
    def parts(self) -> set[str]:
        """Parts that the transaction refers to."""
        return {row.part for row in (*self.expected_rev, *self.writes, *self.remove)}


class Refusal(msgspec.Struct):
    """Rejection of all requests of one process.

    :ivar host: the address at which the process reaches the store.
    :ivar status: HTTP status of each response; 0 for no response.
    """

    host: str
    status: int = 503


@dataclass
class RowTable:
    """The rows of all tables, and the retained changes.

    :ivar changes: time and row of each change, for the feed.
    :ivar trimmed_version: version of the newest change dropped.
    """

    rows: dict[Place, WireRow] = field(default_factory=dict)
    version: int = 0
    changes: deque[tuple[float, WireRow]] = field(default_factory=deque)
    trimmed_version: int = 0

    def conflicts(self, txn: WireTransaction) -> bool:
        """Whether a row's version differs from the one that the transaction expects."""
        return any(self._version_of(row.place) != row.ver for row in txn.expected_rev)

    def current(self, txn: WireTransaction) -> list[WireRow]:
        """Return the existing rows among those that the transaction expects."""
        places = [row.place for row in txn.expected_rev]
        return [self.rows[place] for place in places if place in self.rows]

    def apply(self, txn: WireTransaction) -> None:
        """Apply all writes and removals under one new version."""
        self.version += 1
        for row in txn.writes:
            self._change(WireRow(row.table, row.part, row.key, row.value, self.version))
        for row in txn.remove:
            if row.place in self.rows:
                self._change(WireRow(row.table, row.part, row.key, "", self.version, True))

    def _change(self, row: WireRow) -> None:
        if row.tombstone:
            del self.rows[row.place]
        else:
            self.rows[row.place] = row
        self.changes.append((now(), row))

    def _version_of(self, place: Place) -> int:
        return self.rows[place].ver if place in self.rows else 0

    def trim_changes(self, before: float) -> None:
        """Drop the changes made before a loop time."""
        while self.changes and self.changes[0][0] < before:
            self.trimmed_version = self.changes.popleft()[1].ver

    def select(self, table: str, part: str, start: str, end: str) -> list[WireRow]:
        """Return the rows in a key range, ordered by key; an empty ``end`` is no limit."""
        found = [
            row
            for place, row in self.rows.items()
            if (place.table, place.part) == (table, part)
            and start <= place.key
            and (not end or place.key < end)
        ]
        return sorted(found, key=lambda row: row.key.encode())

    def after(self, table: str, version: int) -> list[WireRow]:
        """Return the changes of a table after a version."""
        return [row for _, row in self.changes if row.table == table and row.ver > version]


class StandInStore(StandIn):
    """HTTP server of the store."""

    rows: RowTable
    _cfg: StoreSettings
    _refusals: dict[str, int]
    _reads: RateLimit
    _writes: RateLimit
    _lock: asyncio.Lock

    def __init__(self, history: History, settings: StoreSettings) -> None:
        super().__init__(history)
        self.rows = RowTable()
        self._cfg = settings
        self._refusals = {}
        self._reads = RateLimit(settings.reads_per_second)
        self._writes = RateLimit(settings.writes_per_second)
        self._lock = asyncio.Lock()

    @classmethod
    def from_settings(cls, history: History, raw: dict[str, Any]) -> "StandInStore":
        """Build from raw settings, which are validated as :class:`StoreSettings`."""
        return cls(history, msgspec.convert(raw, StoreSettings))

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the store, the operator and the fault controls."""
        return [
            web.post("/rows-tx", self._transact),
            web.get("/rows-get", self._get),
            web.get("/rows-parts", self._parts),
            web.get("/rows-feed", self._feed),
            web.post("/operator", self._operator_write),
            web.post("/refuse", self._refuse),
            web.post("/forget", self._forget_changes),
        ]

    async def start(self, host: str, port: int) -> int:
        """Listen on ``host`` and on the additional addresses of the settings."""
        real_port = await super().start(host, port)
        assert self._runner is not None
        for other in self._cfg.hosts:
            await web.TCPSite(self._runner, other, real_port).start()
        return real_port

    async def _refusal_response(self, request: web.Request) -> web.Response | None:
        if request.transport is None:
            # A request that is applied late, after its client has disconnected.
            return None
        status = self._refusals.get(request.transport.get_extra_info("sockname")[0])
        if status is None:
            return None
        if status == 0:
            await asyncio.sleep(3600)
        return web.Response(status=status or 503)

    async def _transact(self, request: web.Request) -> web.Response:
        if refusal := await self._refusal_response(request):
            return refusal
        try:
            txn = msgspec.json.decode(await request.read(), type=WireTransaction)
        except msgspec.DecodeError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        if not self._writes.admit(now()):
            return web.Response(status=429)
        problem = _check(txn)
        if problem:
            return web.Response(status=problem)
        async with self._lock:
            await asyncio.sleep(self._cfg.transaction_ms / 1000 * max(1, len(txn.parts)))
            if self.rows.conflicts(txn):
                return self._rows_response(self.rows.current(txn), status=412)
            self.rows.apply(txn)
        written = [f"{row.table}/{row.key}" for row in txn.writes]
        self.history.record("transaction", version=self.rows.version, writes=written)
        return self._rows_response([])

    async def _operator_write(self, request: web.Request) -> web.Response:
        txn = msgspec.json.decode(await request.read(), type=WireTransaction)
        self.rows.apply(txn)
        return self._rows_response([])

    async def _get(self, request: web.Request) -> web.Response:
        if refusal := await self._refusal_response(request):
            return refusal
        if not self._reads.admit(now()):
            return web.Response(status=429)
        query = request.query
        found = self.rows.select(
            query["table"], query.get("part", ""), query.get("from", ""), query.get("to", "")
        )
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        return self._rows_response(found[:limit], has_more=len(found) > limit)

    async def _parts(self, request: web.Request) -> web.Response:
        if refusal := await self._refusal_response(request):
            return refusal
        table, after = request.query["table"], request.query.get("after")
        parts = sorted({place.part for place in self.rows.rows if place.table == table})
        found = [part for part in parts if after is None or part > after]
        return web.json_response({"parts": found[:MAX_PARTS], "ver": self.rows.version})

    async def _feed(self, request: web.Request) -> web.Response:
        if refusal := await self._refusal_response(request):
            return refusal
        if not self._reads.admit(now()):
            return web.Response(status=429)
        table, after = request.query["table"], int(request.query["after"])
        until = now() + min(int(request.query.get("wait_ms", "0")), 30_000) / 1000
        while True:
            self.rows.trim_changes(now() - self._cfg.history_s)
            if after < self.rows.trimmed_version:
                return web.Response(status=410)
            found = self.rows.after(table, after)
            if found or now() >= until:
                return self._rows_response(found)
            await asyncio.sleep(FEED_POLL_INTERVAL_S)

    async def _refuse(self, request: web.Request) -> web.Response:
        refusals = msgspec.json.decode(await request.read(), type=list[Refusal])
        self._refusals = {refusal.host: refusal.status for refusal in refusals}
        return web.Response()

    async def _forget_changes(self, _request: web.Request) -> web.Response:
        self.rows.trim_changes(now())
        return web.Response()

    def _rows_response(
        self, rows: list[WireRow], has_more: bool = False, status: int = 200
    ) -> web.Response:
        body = {
            "rows": rows,
            "ver": self.rows.version,
            "now_ms": int(now() * 1000),
            "has_more": has_more,
        }
        data = msgspec.json.encode(body)
        return web.Response(body=data, status=status, content_type="application/json")


def _check(txn: WireTransaction) -> int:
    """Return the status with which a transaction is rejected, or 0."""
    if len(txn.expected_rev) + len(txn.writes) + len(txn.remove) > MAX_TRANSACTION_ROWS:
        return 413
    if len(txn.parts) > 1 and not txn.across:
        return 400
    changed = {row.table for row in (*txn.writes, *txn.remove)}
    return 403 if changed & OPERATOR_TABLES else 0


async def run_store(history: History, settings: str, port: int) -> None:
    """Run the store until SIGTERM."""
    store = StandInStore.from_settings(history, msgspec.json.decode(settings))
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await store.start("127.0.0.1", port)
    await stopping.wait()
    await store.stop()


def main() -> int:
    """Run the store with the command line's options."""
    args = docopt(__doc__)
    history = History.open("store", args["--history"])
    asyncio.run(run_store(history, args["--settings"], int(args["--port"])))
    history.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
