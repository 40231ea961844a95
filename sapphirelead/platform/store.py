"""The platform's store as the product's :class:`~sapphirelead.ports.Table`.

A key ``TABLE/REST`` is the row ``REST`` of that table; every row lies in the part with the empty
name, so that any rows can change together.
"""

import base64
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import JSON_HEADERS, HttpCaller, Loss, Reply, encode_segment
from sapphirelead.logs import log_event
from sapphirelead.ports import Commit, CommitStatus, Row, Txn

CALL_TIMEOUT_S: Final = 1.0
"""A transaction takes 4 ms, a slow store sixty times as long; what takes longer has gone silent."""

FEED_WAIT_MS: Final = 1_500
"""How long one call for changes waits.  A connection that has gone silent is noticed after this
and the margin, within the two seconds in which a configuration has to be in force."""

FEED_MARGIN_S: Final = 0.5

_TX_STATUS: Final = {412: CommitStatus.CONFLICT}
_REFUSED: Final = frozenset({400, 403, 404, 413, 429, 503, 507})


class _WireRow(msgspec.Struct):
    """A row on the wire.

    :ivar ver: version of the row.
    :ivar tombstone: the row has been dropped.
    """

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class _WireRows(msgspec.Struct):
    """Rows of an answer; ``ver`` is the newest version of the whole store."""

    rows: list[_WireRow] = []
    ver: int = 0


_DECODER: Final = msgspec.json.Decoder(_WireRows)
_VALUE_ENCODER: Final = msgspec.msgpack.Encoder()
_VALUE_DECODER: Final = msgspec.msgpack.Decoder(dict[str, Any])


class FeedGapError(Exception):
    """The store no longer has the history that was asked for; the rows have to be read anew."""


class PlatformTable:
    """Transactions and reads on the platform's store."""

    _http: HttpCaller

    def __init__(self, http: HttpCaller) -> None:
        self._http = http

    @classmethod
    def connect(cls, address: str) -> "PlatformTable":
        """Return the table at ``address``."""
        return cls(HttpCaller.connect(f"http://{address}", CALL_TIMEOUT_S))

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def commit(self, txn: Txn) -> Commit:
        """Apply ``txn``."""
        body = {
            "expected_rev": [{**_place(item.key), "ver": item.version} for item in txn.conditions],
            "writes": [
                {**_place(item.key), "value": _encode_value(item.value)}
                for item in txn.writes
                if item.value is not None
            ],
            "remove": [_place(item.key) for item in txn.writes if item.value is None],
        }
        found = await self._http.call(
            "POST", "/rows-tx", msgspec.json.encode(body), JSON_HEADERS, CALL_TIMEOUT_S
        )
        if isinstance(found, Err):
            lost = found.err_value.loss is Loss.SENT
            status = CommitStatus.AMBIGUOUS if lost else CommitStatus.REJECTED
            return Commit(status, detail=found.err_value.detail)
        return _commit_of(found.ok_value)

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        """Read rows; an absent one comes back with version 0."""
        rows = []
        for key in keys:
            place = _place(key)
            query = {"from": place["key"], "to": place["key"] + "\0", "limit": "1"}
            found = await self._get(place["table"], query)
            if isinstance(found, Err):
                return found
            wire = found.ok_value.rows
            rows.append(_row(key, wire[0]) if wire else Row(key, 0, None))
        return Ok(rows)

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        """Read up to ``limit`` rows by key order, after ``after`` and with ``prefix``."""
        table, _, rest = prefix.partition("/")
        query = {"limit": str(limit)}
        if rest:
            query["to"] = rest[:-1] + chr(ord(rest[-1]) + 1)
        start = _place(after)["key"] + "\0" if after else rest
        if start:
            query["from"] = start
        found = await self._get(table, query)
        if isinstance(found, Err):
            return found
        return Ok([_row(f"{table}/{row.key}", row) for row in found.ok_value.rows])

    async def _get(self, table: str, query: dict[str, str]) -> Result[_WireRows, Failure]:
        fields = {"table": table, "part": "", **query}
        text = "&".join(f"{name}={encode_segment(value)}" for name, value in fields.items())
        return await self._read(f"/rows-get?{text}", CALL_TIMEOUT_S)

    async def _read(self, path: str, timeout_s: float) -> Result[_WireRows, Failure]:
        found = await self._http.call("GET", path, timeout_s=timeout_s)
        if isinstance(found, Err):
            return Err(Failure(Code.STORE_UNAVAILABLE, f"no answer: {found.err_value.detail}"))
        answer = found.ok_value
        if answer.status == 410:
            raise FeedGapError
        if answer.status != 200:
            return Err(Failure(Code.STORE_UNAVAILABLE, f"status {answer.status}"))
        try:
            return Ok(_DECODER.decode(answer.body))
        except msgspec.DecodeError as exc:
            return Err(Failure(Code.STORE_UNAVAILABLE, f"undecodable answer: {exc}"))

    async def raw_row(self, table: str, key: str) -> Result[tuple[bytes | None, int], Failure]:
        """Read a row that others write, and the store's newest version."""
        found = await self._get(table, {"from": key, "to": key + "\0", "limit": "1"})
        if isinstance(found, Err):
            return found
        rows = found.ok_value.rows
        return Ok((base64.b64decode(rows[0].value) if rows else None, found.ok_value.ver))

    async def changes(
        self, table: str, after: int
    ) -> Result[tuple[dict[str, bytes | None], int], Failure]:
        """Wait for changes of a table after a version; return them and where to go on.

        :raises FeedGapError: where that history is gone.
        """
        path = f"/rows-feed?table={table}&after={after}&wait_ms={FEED_WAIT_MS}"
        found = await self._read(path, FEED_WAIT_MS / 1000 + FEED_MARGIN_S)
        if isinstance(found, Err):
            return found
        changed = {
            row.key: None if row.tombstone else base64.b64decode(row.value)
            for row in found.ok_value.rows
        }
        return Ok((changed, max(after, found.ok_value.ver)))


def _commit_of(answer: Reply) -> Commit:
    if answer.status == 200:
        try:
            return Commit(CommitStatus.COMMITTED, _DECODER.decode(answer.body).ver)
        except msgspec.DecodeError as exc:
            return Commit(CommitStatus.AMBIGUOUS, detail=f"undecodable answer: {exc}")
    if answer.status in _TX_STATUS:
        return Commit(_TX_STATUS[answer.status])
    if answer.status in _REFUSED:
        if answer.status not in (429, 503):
            log_event("ERROR", "transaction_refused", status=answer.status, body=answer.body[:200])
        return Commit(CommitStatus.REJECTED, detail=f"status {answer.status}")
    return Commit(CommitStatus.AMBIGUOUS, detail=f"status {answer.status}")


def _place(key: str) -> dict[str, str]:
    table, _, rest = key.partition("/")
    return {"table": table, "part": "", "key": rest}


def _row(key: str, wire: _WireRow) -> Row:
    return Row(key, wire.ver, _VALUE_DECODER.decode(base64.b64decode(wire.value)))


def _encode_value(value: dict[str, Any]) -> str:
    return base64.b64encode(_VALUE_ENCODER.encode(value)).decode()
