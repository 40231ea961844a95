"""Stores the fleet's rows, whose values may hold bytes, in the table of JSON values.

Each value is encoded as MessagePack and Base64 in one string field.  Versions, conditions and
commit results are those of the underlying table.
"""

import asyncio
import base64
from dataclasses import replace
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.ports import Commit, CommitStatus, Row, Table, Txn, Write

PACKED: Final = "packed"
UNREADABLE: Final = "unreadable"

READ_TIMEOUT_S: Final = 0.6
"""Timeout of a read of single rows.  A follower reads the leader's row between heartbeats, so the
timeout is shorter than the one after which it considers the leader unresponsive."""

COMMIT_TIMEOUT_S: Final = 1.0
"""Timeout after which a commit is reported as ambiguous, to be retried under its condition."""

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(dict[str, Any])


class PackedTable:
    """Adapter that stores values with bytes in a table of JSON values."""

    _table: Table

    def __init__(self, table: Table) -> None:
        self._table = table

    async def commit(self, txn: Txn) -> Commit:
        """Apply ``txn``; a timeout is reported as ambiguous."""
        writes = tuple(Write(write.key, pack(write.value)) for write in txn.writes)
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                return await self._table.commit(Txn(txn.op_id, txn.conditions, writes))
        except TimeoutError:
            return Commit(
                CommitStatus.AMBIGUOUS,
                detail=f"table did not respond within {COMMIT_TIMEOUT_S:g} s",
            )

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        """Read rows; an absent row has version 0."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                found = await self._table.rows(keys)
        except TimeoutError:
            return Err(
                Failure(
                    Code.STORE_UNAVAILABLE, f"table did not respond within {READ_TIMEOUT_S:g} s"
                )
            )
        return _unpack_rows(found)

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        """Read up to ``limit`` rows with ``prefix``, in key order, after ``after``."""
        return _unpack_rows(await self._table.scan(prefix, after, limit))


def pack(value: dict[str, Any] | None) -> dict[str, Any] | None:
    """Return a value in its stored form.

    >>> unpack(pack({"data": b"x", "seq": 3}))
    {'data': b'x', 'seq': 3}
    >>> pack(None) is None
    True
    """
    if value is None:
        return None
    return {PACKED: base64.b64encode(_ENCODER.encode(value)).decode()}


def unpack(value: dict[str, Any] | None) -> dict[str, Any] | None:
    """Return the value packed by :func:`pack`.

    :raises ValueError: if the value was not packed.
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

    An unreadable row does not fail the read.  Its value becomes a marker that readers log as
    unknown, since an empty value would count as an absent row and restart its job.
    """
    if isinstance(found, Err):
        return found
    return Ok([replace(row, value=_unpack_value(row)) for row in found.ok_value])


def _unpack_value(row: Row) -> dict[str, Any] | None:
    try:
        return unpack(row.value)
    except (ValueError, RecursionError) as exc:
        return {UNREADABLE: str(exc)}
