"""The fleet's rows in the product's table.

The fleet stores bytes and the product's table stores JSON, so that a row's value is packed into one
text.  Versions, conditions and what the end of a commit proves are the table's own.
"""

import asyncio
import base64
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.ports import Commit, CommitStatus, Row, Table, Txn, Write

PACKED: Final = "packed"
UNREADABLE: Final = "unreadable"

READ_TIMEOUT_S: Final = 0.6
"""Longest wait for a read of single rows.  A follower reads the row of the leader between two of
its heartbeats; while one read took the table's own timeout of 2 s it heard nothing of its leader
for longer than 1.2 s, took it for silent, and refused callers whom the leader could have answered.
"""

COMMIT_TIMEOUT_S: Final = 1.0
"""Longest wait for a commit before it goes again under the same condition."""

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(dict[str, Any])


class PackedTable:
    """A table whose values may hold bytes, on one whose values may not."""

    _table: Table

    def __init__(self, table: Table) -> None:
        self._table = table

    async def commit(self, txn: Txn) -> Commit:
        """Apply ``txn``."""
        writes = tuple(Write(write.key, pack(write.value)) for write in txn.writes)
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                return await self._table.commit(Txn(txn.op_id, txn.conditions, writes))
        except TimeoutError:
            return Commit(CommitStatus.AMBIGUOUS, detail=f"no answer within {COMMIT_TIMEOUT_S:g} s")

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        """Read rows; an absent one comes back with version 0."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                found = await self._table.rows(keys)
        except TimeoutError:
            return Err(Failure(Code.STORE_UNAVAILABLE, f"no answer within {READ_TIMEOUT_S:g} s"))
        return _unpack_rows(found)

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        """Read up to ``limit`` rows by key order, after ``after`` and with ``prefix``."""
        return _unpack_rows(await self._table.scan(prefix, after, limit))


def pack(value: dict[str, Any] | None) -> dict[str, Any] | None:
    """Return a value as the table stores it.

    >>> unpack(pack({"data": b"x", "seq": 3}))
    {'data': b'x', 'seq': 3}
    >>> pack(None) is None
    True
    """
    if value is None:
        return None
    return {PACKED: base64.b64encode(_ENCODER.encode(value)).decode()}


def unpack(value: dict[str, Any] | None) -> dict[str, Any] | None:
    """Return what was packed.

    :raises ValueError: where nothing was.
    """
    if value is None:
        return None
    try:
        decoded: dict[str, Any] = _DECODER.decode(base64.b64decode(value[PACKED], validate=True))
        return decoded
    except (KeyError, TypeError) as exc:
        raise ValueError(f"no packed value: {exc!r}") from exc


def _unpack_rows(found: Result[list[Row], Failure]) -> Result[list[Row], Failure]:
    """Return rows with their values unpacked.

    An unreadable row must not hide the others.  It comes back with a value that no reader knows, so
    that each logs it.  As an empty one a snapshot would count as absent, and its job begin anew.
    """
    if isinstance(found, Err):
        return found
    return Ok([Row(row.key, row.version, _unpack_value(row)) for row in found.ok_value])


def _unpack_value(row: Row) -> dict[str, Any] | None:
    try:
        return unpack(row.value)
    except (ValueError, RecursionError) as exc:
        return {UNREADABLE: str(exc)}
