"""In-memory stand-in for the platform's table service and object store.

One version counter covers the whole table.  It grows with every transaction, so a row that is
deleted and created again never reuses a version.  Rate limits apply over a sliding window of one
second; a request over the limit gets 429 and has no effect.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from typing import Any, Final
from urllib.parse import unquote

import msgspec
from aiohttp import web

from sapphirelead.clock import now
from sapphirelead.ports import Row, Txn
from sapphirelead.standin_history import History
from sapphirelead.standin_objects import StandInObjects
from sapphirelead.standin_server import StandIn

RATE_WINDOW_S: Final = 1.0


class TableSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Rate limits of the service, in transactions and reads per second."""

    writes_per_second: int = 400
    reads_per_second: int = 2_000


class RateLimit:
    """Sliding-window limit of ``limit`` events per second."""

    total: int
    refused: int
    _limit: int
    _times: deque[float]

    def __init__(self, limit: int) -> None:
        self.total = 0
        self.refused = 0
        self._limit = limit
        self._times = deque()

    def admit(self, at: float) -> bool:
        """Count an event at ``at`` (loop time) and return whether it is within the limit."""
        while self._times and self._times[0] <= at - RATE_WINDOW_S:
            self._times.popleft()
        if len(self._times) >= self._limit:
            self.refused += 1
            return False
        self._times.append(at)
        self.total += 1
        return True


class Rows:
    """Rows ordered by key, with one version counter for all of them."""

    _rows: dict[str, Row]
    _keys: list[str]
    _version: int

    def __init__(self) -> None:
        self._rows = {}
        self._keys = []
        self._version = 0

    def get(self, key: str) -> Row:
        """Return a row; an absent row has version 0."""
        return self._rows.get(key, Row(key, 0, None))

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows with ``prefix``, in key order, after ``after``."""
        first = max(bisect_left(self._keys, prefix), bisect_right(self._keys, after))
        found = []
        for key in self._keys[first : first + limit]:
            if not key.startswith(prefix):
                break
            found.append(self._rows[key])
        return found

    def conflicts(self, txn: Txn) -> list[str]:
        """Return the keys whose condition fails."""
        return [cond.key for cond in txn.conditions if self.get(cond.key).version != cond.version]

    def apply(self, txn: Txn) -> int:
        """Apply all writes under one new version and return it."""
        self._version += 1
        for write in txn.writes:
            self._set(write.key, write.value)
        return self._version

    def _set(self, key: str, value: dict[str, Any] | None) -> None:
        if value is None:
            if self._rows.pop(key, None) is not None:
                del self._keys[bisect_left(self._keys, key)]
            return
        if key not in self._rows:
            insort(self._keys, key)
        self._rows[key] = Row(key, self._version, value)


class StandInTable(StandIn):
    """Table service that also serves the object store."""

    rows: Rows
    objects: StandInObjects
    _reads: RateLimit
    _writes: RateLimit

    def __init__(self, history: History, settings: TableSettings) -> None:
        super().__init__(history)
        self.rows = Rows()
        self.objects = StandInObjects(history)
        self._reads = RateLimit(settings.reads_per_second)
        self._writes = RateLimit(settings.writes_per_second)

    @classmethod
    def from_settings(cls, history: History, raw: dict[str, Any]) -> "StandInTable":
        """Build from validated settings; see :class:`TableSettings`."""
        return cls(history, msgspec.convert(raw, TableSettings))

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes of the table and the object store."""
        return [
            web.post("/table/txn", self._txn),
            web.get("/table/rows", self._get_rows),
            web.get("/table/scan", self._scan),
            web.get("/stats", self._stats),
            *self.objects.routes(),
        ]

    async def _txn(self, request: web.Request) -> web.Response:
        try:
            txn = msgspec.json.decode(await request.read(), type=Txn)
        except msgspec.DecodeError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        if not self._writes.admit(now()):
            return web.json_response({"error": "write rate limit exceeded"}, status=429)
        if conflicts := self.rows.conflicts(txn):
            return web.json_response({"conflicts": conflicts}, status=409)
        version = self.rows.apply(txn)
        writes = [_summary(write.key, write.value) for write in txn.writes]
        self.history.record("txn", op_id=txn.op_id, version=version, writes=writes)
        return web.json_response({"version": version})

    async def _get_rows(self, request: web.Request) -> web.Response:
        keys = [unquote(key) for key in request.query.get("keys", "").split(",") if key]
        if not self._reads.admit(now()):
            return web.json_response({"error": "read rate limit exceeded"}, status=429)
        return _rows_response([self.rows.get(key) for key in keys])

    async def _scan(self, request: web.Request) -> web.Response:
        query = request.query
        if not self._reads.admit(now()):
            return web.json_response({"error": "read rate limit exceeded"}, status=429)
        limit = int(query.get("limit", "100"))
        return _rows_response(
            self.rows.scan(query.get("prefix", ""), query.get("after", ""), limit)
        )

    async def _stats(self, _request: web.Request) -> web.Response:
        stats = {
            "reads": self._reads.total,
            "writes": self._writes.total,
            "reads_refused": self._reads.refused,
            "writes_refused": self._writes.refused,
        }
        return web.json_response(stats)


def _rows_response(rows: list[Row]) -> web.Response:
    body = msgspec.json.encode({"rows": rows})
    return web.Response(body=body, content_type="application/json")


def _summary(key: str, value: dict[str, Any] | None) -> dict[str, Any]:
    # Only the fields that the history checker reads, without the caller's payload.
    fields = ("state", "epoch", "holder", "version", "checkpoint", "fenced", "incarnation")
    return {"key": key, **{name: value[name] for name in fields if value and name in value}}
