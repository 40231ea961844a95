"""Client of the platform's transactional table over HTTP and JSON.

A commit was not applied if no connection could be made or the status is 4xx or 503; a 409 lists the
rows in conflict.  Any other failure and any invalid response body are ambiguous: the transaction
may still take effect.
"""

from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import CallError, HttpCaller, Loss, Reply, encode_segment
from sapphirelead.ports import Commit, CommitStatus, Row, Txn
from sapphirelead.settings import PlatformSettings

NOT_APPLIED_STATUSES: Final = frozenset({429, 503})


class _RowBody(msgspec.Struct):
    key: str
    version: int
    value: dict[str, Any] | None = None


class _RowsBody(msgspec.Struct):
    rows: list[_RowBody]


class _CommitBody(msgspec.Struct):
    version: int


class _ConflictBody(msgspec.Struct):
    conflicts: list[str]


class HttpTable:
    """Implements :class:`~sapphirelead.ports.Table`."""

    _http: HttpCaller

    def __init__(self, http: HttpCaller) -> None:
        self._http = http

    @classmethod
    def from_settings(cls, cfg: PlatformSettings) -> "HttpTable":
        """Return a client for the configured URL."""
        return cls(HttpCaller.connect(cfg.table_url, cfg.timeout_seconds))

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def commit(self, txn: Txn) -> Commit:
        """Apply ``txn`` and classify its outcome."""
        match await self._http.call("POST", "/table/txn", msgspec.json.encode(txn)):
            case Ok(reply):
                return _commit_from_reply(reply)
            case Err(error):
                return _commit_from_error(error)

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        """Read rows; an absent row is returned with version 0."""
        if not keys:
            return Ok([])
        wanted = ",".join(encode_segment(key) for key in keys)
        return await self._read(f"/table/rows?keys={encode_segment(wanted)}")

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        """Read up to ``limit`` rows in key order, after ``after`` and with ``prefix``."""
        query = f"prefix={encode_segment(prefix)}&after={encode_segment(after)}&limit={limit}"
        return await self._read(f"/table/scan?{query}")

    async def _read(self, path: str) -> Result[list[Row], Failure]:
        match await self._http.call("GET", path):
            case Err(error):
                return _unavailable(error.detail)
            case Ok(reply):
                return _rows_from_reply(reply)


def _commit_from_reply(reply: Reply) -> Commit:
    detail = f"status {reply.status}"
    try:
        if reply.status == 200:
            version = msgspec.json.decode(reply.body, type=_CommitBody).version
            return Commit(CommitStatus.COMMITTED, version)
        if reply.status == 409:
            conflicts = msgspec.json.decode(reply.body, type=_ConflictBody).conflicts
            return Commit(CommitStatus.CONFLICT, 0, tuple(conflicts))
    except msgspec.DecodeError as exc:
        return Commit(CommitStatus.AMBIGUOUS, detail=f"{detail}, invalid response: {exc}")
    rejected = reply.status in NOT_APPLIED_STATUSES or 400 <= reply.status < 500
    status = CommitStatus.REJECTED if rejected else CommitStatus.AMBIGUOUS
    return Commit(status, detail=detail)


def _commit_from_error(error: CallError) -> Commit:
    not_sent = error.loss is Loss.NOT_SENT
    status = CommitStatus.REJECTED if not_sent else CommitStatus.AMBIGUOUS
    return Commit(status, detail=error.detail)


def _rows_from_reply(reply: Reply) -> Result[list[Row], Failure]:
    if reply.status != 200:
        return _unavailable(f"status {reply.status}")
    try:
        body = msgspec.json.decode(reply.body, type=_RowsBody)
    except msgspec.DecodeError as exc:
        return _unavailable(f"invalid response: {exc}")
    return Ok([Row(row.key, row.version, row.value) for row in body.rows])


def _unavailable(detail: str) -> Err[Failure]:
    return Err(Failure(Code.STORE_UNAVAILABLE, f"the table did not answer: {detail}"))
