"""Client of the platform's store; implements :class:`~sapphirelead.ports.Table`.

A key ``TABLE/REST`` is the row ``REST`` of ``TABLE``.  All rows are stored in the part with the
empty name, so that a transaction can change any of them together.
"""

import base64
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import (
    JSON_HEADERS,
    HttpCaller,
    Loss,
    Reply,
    Transfer,
    encode_segment,
)
from sapphirelead.logs import log_event
from sapphirelead.platform.decoding import Count, decode, decode_base64, decode_map
from sapphirelead.ports import Commit, CommitStatus, Row, Txn

CALL_TIMEOUT_S: Final = 1.0
"""Timeout of a transaction, and of a read until its first byte and between two bytes."""

TRANSFER_TIMEOUT_S: Final = 30.0
"""Maximum duration of a read whose bytes keep arriving."""

FEED_WAIT_S: Final = 1.5
"""Longest wait of the change feed for a change."""

FEED_MARGIN_S: Final = 0.5

FEED_TIMEOUT_S: Final = FEED_WAIT_S + FEED_MARGIN_S
"""Maximum time without bytes of a read of the change feed, however long that waits.  Bounds how
long an unresponsive connection delays a configuration change."""

MAX_PAGE_ROWS: Final = 500

LOGGED_TRANSFER_BYTES: Final = 20_000
"""Size from which a read of external writers' rows is logged; smaller ones take no time even on a
slow link."""

_COMMIT_STATUS: Final = {412: CommitStatus.CONFLICT}
_NOT_APPLIED_STATUSES: Final = frozenset({400, 403, 404, 413, 429, 503, 507})


class _WireRow(msgspec.Struct):
    """A row on the wire.

    :ivar tombstone: the row has been deleted.
    """

    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: Count = 0
    tombstone: bool = False


class _WireRows(msgspec.Struct):
    """Rows of a response; ``ver`` is the newest version of the whole store.

    Each row is decoded separately, so that an invalid row does not hide the others.

    :ivar now_ms: the store's monotonic clock; 0 if the response has none.
    :ivar has_more: whether the range holds further rows.
    """

    rows: list[msgspec.Raw] = []
    has_more: bool = False
    ver: Count = 0
    now_ms: Count = 0

    def readable(self) -> Iterator[_WireRow]:
        """Yield the rows that can be decoded; the others are logged and skipped."""
        for raw in self.rows:
            row = decode(_ROW_DECODER, bytes(raw))
            if isinstance(row, Ok):
                yield row.ok_value
            else:
                log_event("ERROR", "row_unreadable", row=bytes(raw)[:200], reason=row.err_value)


_DECODER: Final = msgspec.json.Decoder(_WireRows)
_ROW_DECODER: Final = msgspec.json.Decoder(_WireRow)
_VALUE_ENCODER: Final = msgspec.msgpack.Encoder()


@dataclass(frozen=True, slots=True)
class ForeignRow:
    """A row of an external writer.

    :ivar value: ``None`` if the row is deleted or its value is unreadable.
    :ivar exists: whether the row has not been deleted.
    """

    value: bytes | None
    exists: bool


class FeedGapError(Exception):
    """The store no longer has the requested history; the rows must be read again."""


class PlatformTable:
    """Transactions, reads and the change feed of the platform's store."""

    _http: HttpCaller
    _foreign: Transfer

    def __init__(self, http: HttpCaller) -> None:
        self._http = http
        self._foreign = Transfer()

    @property
    def receiving(self) -> bool:
        """Whether the read of external writers' rows in flight has begun to arrive."""
        return self._foreign.received > 0

    @classmethod
    def connect(cls, address: str) -> "PlatformTable":
        """Return a client of the store at ``address``."""
        return cls(HttpCaller.connect(f"http://{address}", CALL_TIMEOUT_S))

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def commit(self, txn: Txn) -> Commit:
        """Apply ``txn``."""
        body = {
            "expected_rev": [
                {**_row_address(item.key), "ver": item.version} for item in txn.conditions
            ],
            "writes": [
                {**_row_address(item.key), "value": _encode_value(item.value)}
                for item in txn.writes
                if item.value is not None
            ],
            "remove": [_row_address(item.key) for item in txn.writes if item.value is None],
        }
        found = await self._http.call(
            "POST", "/rows-tx", msgspec.json.encode(body), JSON_HEADERS, CALL_TIMEOUT_S
        )
        if isinstance(found, Err):
            lost = found.err_value.loss is Loss.SENT
            status = CommitStatus.AMBIGUOUS if lost else CommitStatus.REJECTED
            return Commit(status, detail=found.err_value.detail)
        return _commit_from_reply(found.ok_value)

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        """Read rows; an absent row is returned with version 0."""
        rows = []
        for key in keys:
            address = _row_address(key)
            query = {"from": address["key"], "to": address["key"] + "\0", "limit": "1"}
            found = await self._get(address["table"], query)
            if isinstance(found, Err):
                return found
            wire = next(found.ok_value.readable(), None)
            row = _decode_row(key, wire) if wire else Row(key, 0, None)
            rows.append(replace(row, read_ms=found.ok_value.now_ms))
        return Ok(rows)

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        """Read up to ``limit`` rows in key order, after ``after`` and with ``prefix``."""
        table, _, rest = prefix.partition("/")
        query = {"limit": str(limit)}
        if rest:
            query["to"] = rest[:-1] + chr(ord(rest[-1]) + 1)
        start = _row_address(after)["key"] + "\0" if after else rest
        if start:
            query["from"] = start
        found = await self._get(table, query)
        if isinstance(found, Err):
            return found
        return Ok([_decode_row(f"{table}/{row.key}", row) for row in found.ok_value.readable()])

    async def _get(
        self, table: str, query: dict[str, str], transfer: Transfer | None = None
    ) -> Result[_WireRows, Failure]:
        fields = {"table": table, "part": "", **query}
        text = "&".join(f"{name}={encode_segment(value)}" for name, value in fields.items())
        return await self._read(f"/rows-get?{text}", CALL_TIMEOUT_S, transfer)

    async def _read(
        self, path: str, idle_s: float, transfer: Transfer | None = None
    ) -> Result[_WireRows, Failure]:
        began = now()
        found = await self._http.call(
            "GET", path, timeout_s=TRANSFER_TIMEOUT_S, idle_s=idle_s, transfer=transfer
        )
        if transfer is not None and transfer.received >= LOGGED_TRANSFER_BYTES:
            log_event(
                "INFO",
                "config_transfer",
                source="store",
                bytes=transfer.received,
                complete=isinstance(found, Ok),
                took_s=now() - began,
            )
        if isinstance(found, Err):
            return Err(
                Failure(
                    Code.STORE_UNAVAILABLE, f"the store did not answer: {found.err_value.detail}"
                )
            )
        answer = found.ok_value
        if answer.status == 410:
            raise FeedGapError
        if answer.status != 200:
            return Err(Failure(Code.STORE_UNAVAILABLE, f"status {answer.status}"))
        decoded = decode(_DECODER, answer.body)
        return decoded.map_err(
            lambda problem: Failure(Code.STORE_UNAVAILABLE, f"invalid response: {problem}")
        )

    async def foreign_rows(
        self, table: str, first: str, end: str
    ) -> Result[tuple[dict[str, ForeignRow], int], Failure]:
        """Read the rows of external writers with keys from ``first`` up to before ``end``.

        :returns: the rows by key, and a version after which the change feed continues them.
        """
        rows: dict[str, ForeignRow] = {}
        version = -1
        while True:
            query = {"from": first, "to": end, "limit": str(MAX_PAGE_ROWS)}
            self._foreign = Transfer()
            found = await self._get(table, query, self._foreign)
            if isinstance(found, Err):
                return found
            page = found.ok_value
            # Changes between two pages are repeated by the feed.
            version = page.ver if version < 0 else version
            read = {row.key: _foreign_row(row) for row in page.readable()}
            rows |= read
            if not page.has_more or not read:
                return Ok((rows, version))
            first = max(read) + "\0"

    async def changes(
        self, table: str, after: int, wait_s: float = FEED_WAIT_S
    ) -> Result[tuple[dict[str, ForeignRow], int], Failure]:
        """Wait for changes of ``table`` after version ``after``.

        :param wait_s: how long to wait for a change.
        :returns: the changed rows by key, and the version from which to continue.
        :raises FeedGapError: if the store no longer has the history after ``after``, or the changes
            are too many for the link: the feed repeats each earlier version of a row, so that the
            next response would be larger still.
        """
        path = f"/rows-feed?table={table}&after={after}&wait_ms={round(wait_s * 1000)}"
        self._foreign = transfer = Transfer()
        found = await self._read(path, FEED_TIMEOUT_S, transfer)
        if isinstance(found, Err):
            if transfer.received:
                raise FeedGapError
            return found
        changed = {row.key: _foreign_row(row) for row in found.ok_value.readable()}
        return Ok((changed, max(after, found.ok_value.ver)))


def _commit_from_reply(answer: Reply) -> Commit:
    if answer.status == 200:
        decoded = decode(_DECODER, answer.body)
        if isinstance(decoded, Err):
            detail = f"invalid response: {decoded.err_value}"
            return Commit(CommitStatus.AMBIGUOUS, detail=detail)
        return Commit(
            CommitStatus.COMMITTED, decoded.ok_value.ver, store_ms=decoded.ok_value.now_ms
        )
    if answer.status in _COMMIT_STATUS:
        return Commit(_COMMIT_STATUS[answer.status])
    if answer.status in _NOT_APPLIED_STATUSES:
        if answer.status not in (429, 503):
            log_event("ERROR", "transaction_refused", status=answer.status, body=answer.body[:200])
        return Commit(CommitStatus.REJECTED, detail=f"status {answer.status}")
    return Commit(CommitStatus.AMBIGUOUS, detail=f"status {answer.status}")


def _row_address(key: str) -> dict[str, str]:
    table, _, rest = key.partition("/")
    return {"table": table, "part": "", "key": rest}


def _decode_row(key: str, wire: _WireRow) -> Row:
    """Decode a row; a row with an invalid value keeps its version and has no value."""
    value = decode_map(wire.value)
    if isinstance(value, Err):
        log_event("ERROR", "row_unreadable", row=key, reason=value.err_value)
    return Row(key, wire.ver, value.ok())


def _raw_value(wire: _WireRow) -> bytes | None:
    """Return the value of a row of an external writer; ``None`` if it is deleted or invalid."""
    if wire.tombstone:
        return None
    value = decode_base64(wire.value)
    if isinstance(value, Err):
        log_event("ERROR", "row_unreadable", row=wire.key, reason=value.err_value)
    return value.ok()


def _foreign_row(wire: _WireRow) -> ForeignRow:
    return ForeignRow(_raw_value(wire), not wire.tombstone)


def _encode_value(value: dict[str, Any]) -> str:
    return base64.b64encode(_VALUE_ENCODER.encode(value)).decode()
