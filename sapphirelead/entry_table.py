"""An entry's access to the platform's table: group commit, settling and rate limits.

Writers submit *units*: related row changes, each conditioned on the version at which its row was
read, plus guards on rows that are not written.  Units that arrive while a transaction is in flight,
or while the write budget is exhausted, are combined in the next transaction.  After a conflict the
conflicting units are dropped and the others are retried at once.

Invariants:

- Every write is conditioned on the version of the row it replaces.
- A transaction whose response was lost is settled before the next is sent.  Each written row holds
  the ids of its last operations, and reading back shows one of: our id (the transaction was
  applied); unchanged rows (it is submitted again under the same conditions; if the first submission
  is applied meanwhile, the second fails and the next read shows our id); or rows changed by others
  (it can no longer be applied).
- While the table is considered down, units are rejected at once, guaranteed not applied.
"""

import asyncio
import secrets
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from result import Err, Ok, Result

from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.policy_budget import TokenBucket, take
from sapphirelead.ports import (
    Commit,
    CommitStatus,
    Condition,
    Row,
    Table,
    Txn,
    Write,
)
from sapphirelead.settings import PlatformSettings

MAX_BATCH_UNITS: Final = 128
MAX_OP_IDS: Final = 4
SETTLE_RETRY_DELAY_S: Final = 0.2
MAX_SETTLE_RETRY_DELAY_S: Final = 2.0
MAX_READ_BATCH: Final = 100
DOWN_AFTER_FAILURES: Final = 2
TIMEOUT_FACTOR: Final = 2.0
OPS_FIELD: Final = "_ops"


@dataclass(frozen=True, slots=True)
class Change:
    """Replaces ``row`` (as it was read) with ``value``, or deletes it if that is ``None``."""

    row: Row
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Unit:
    """Changes that are applied atomically if every guard holds."""

    changes: tuple[Change, ...]
    guards: tuple[Condition, ...] = ()


@dataclass(slots=True, eq=False)
class _Pending:
    unit: Unit
    fut: "asyncio.Future[Commit]" = field(default_factory=asyncio.Future)


def absent(key: str) -> Row:
    """Return the row of a key that must not exist yet."""
    return Row(key, 0, None)


def stamp_op(change: Change, op_id: str) -> Write:
    """Return the write of ``change``, with ``op_id`` prepended to the row's operation ids."""
    if change.value is None:
        return Write(change.row.key, None)
    prior = (change.row.value or {}).get(OPS_FIELD, [])
    return Write(change.row.key, {**change.value, OPS_FIELD: [op_id, *prior][:MAX_OP_IDS]})


def pick_batch(pending: list[_Pending]) -> tuple[list[_Pending], list[_Pending]]:
    """Split ``pending`` into a batch that writes no row twice, and the rest in order.

    A unit that guards a row is not batched with one that writes it: conditions are checked before
    any write, so the guard would not detect that change.
    """
    batch: list[_Pending] = []
    rest: list[_Pending] = []
    written: set[str] = set()
    guarded: dict[str, int] = {}
    for item in pending:
        writes = {change.row.key for change in item.unit.changes}
        guards = {guard.key: guard.version for guard in item.unit.guards}
        conflict = (
            not writes.isdisjoint(written | guarded.keys())
            or not written.isdisjoint(guards)
            or any(guarded.get(key, version) != version for key, version in guards.items())
        )
        if conflict or len(batch) >= MAX_BATCH_UNITS:
            rest.append(item)
            continue
        batch.append(item)
        written |= writes
        guarded |= guards
    return batch, rest


class EntryTable:
    """Group commit and batched reads under a rate limit.

    :ivar writes: transactions sent.
    :ivar reads: read requests sent.
    """

    writes: int
    reads: int
    _table: Table
    _settings: PlatformSettings
    _pending: list[_Pending]
    _wake: asyncio.Event
    _task: "asyncio.Task[None] | None"
    _write_bucket: TokenBucket
    _read_bucket: TokenBucket
    _failures: int
    _pending_reads: dict[str, "asyncio.Future[Result[Row, Failure]]"]
    _reader: "asyncio.Task[None] | None"

    def __init__(self, table: Table, settings: PlatformSettings) -> None:
        self.writes = 0
        self.reads = 0
        self._table = table
        self._settings = settings
        self._pending = []
        self._wake = asyncio.Event()
        self._task = None
        self._write_bucket = TokenBucket(settings.writes_per_second, now())
        self._read_bucket = TokenBucket(settings.reads_per_second, now())
        self._failures = 0
        self._pending_reads = {}
        self._reader = None

    @classmethod
    def from_settings(cls, settings: PlatformSettings, table: Table) -> "EntryTable":
        """Return the table of one entry; call :meth:`start` inside the running loop."""
        return cls(table, settings)

    @property
    def up(self) -> bool:
        """Whether the table is considered reachable."""
        return self._failures < DOWN_AFTER_FAILURES

    def share_budget(self, live_entries: int) -> None:
        """Set the rate limits to this entry's share of the deployment's budget."""
        parts = max(1, live_entries)
        self._write_bucket.set_rate(self._settings.writes_per_second / parts)
        self._read_bucket.set_rate(self._settings.reads_per_second / parts)

    def start(self) -> None:
        """Start the commit task."""
        self._task = asyncio.create_task(self._run(), name="table-commit")

    async def stop(self) -> None:
        """Stop the commit task and reject pending units."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for item in self._pending:
            _resolve(item, _rejected("stopping"))

    async def commit(self, unit: Unit) -> Commit:
        """Commit ``unit`` in a batch; see :class:`Commit` for the outcomes."""
        if not self.up:
            return _rejected("table is down")
        item = _Pending(unit)
        self._pending.append(item)
        return await self._await_commit(item)

    async def commit_first(self, unit: Unit) -> Commit:
        """Commit ``unit`` ahead of others, and even while the table is considered down.

        Used by lease rounds, whose success marks the table as up again.
        """
        item = _Pending(unit)
        self._pending.insert(0, item)
        return await self._await_commit(item)

    async def _await_commit(self, item: _Pending) -> Commit:
        """Wait for a unit's commit, with a timeout in case the table does not respond.

        On timeout a unit in flight is reported as ambiguous, while settling continues in the
        background; one that was not sent is withdrawn and reported as rejected.
        """
        self._wake.set()
        limit_s = TIMEOUT_FACTOR * self._settings.timeout_seconds
        done, _ = await asyncio.wait({item.fut}, timeout=limit_s)
        if done:
            return item.fut.result()
        if item in self._pending:
            self._pending.remove(item)
            return _rejected("table request timed out before it was sent")
        return Commit(CommitStatus.AMBIGUOUS, detail="table request timed out")

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        """Read rows, subject to the read rate limit."""
        await take(self._read_bucket)
        self.reads += 1
        found = await self._table.rows(keys)
        self._record_reply(found.is_ok())
        return found

    async def row(self, key: str) -> Result[Row, Failure]:
        """Read one row; concurrent reads are batched, and those of one key are merged."""
        fut = self._pending_reads.get(key)
        if fut is None:
            fut = asyncio.get_running_loop().create_future()
            self._pending_reads[key] = fut
            if self._reader is None or self._reader.done():
                self._reader = asyncio.create_task(self._read_pending(), name="table-read")
        return await asyncio.shield(fut)

    async def scan_all(self, prefix: str) -> Result[list[Row], Failure]:
        """Read every row with ``prefix``, page by page."""
        found: list[Row] = []
        after = ""
        while True:
            page = await self.scan(prefix, after, 500)
            if isinstance(page, Err):
                return page
            found.extend(page.ok_value)
            if len(page.ok_value) < 500:
                return Ok(found)
            after = page.ok_value[-1].key

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        """Read one page of rows."""
        await take(self._read_bucket)
        self.reads += 1
        page = await self._table.scan(prefix, after, limit)
        self._record_reply(page.is_ok())
        return page

    async def _read_pending(self) -> None:
        await asyncio.sleep(0)
        while self._pending_reads:
            batch = dict(list(self._pending_reads.items())[:MAX_READ_BATCH])
            # Remove the keys before the call: a later reader must not get a value that was read
            # before its request.
            for key in batch:
                del self._pending_reads[key]
            found = await self.rows(list(batch))
            _resolve_reads(batch, found)

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                await take(self._write_bucket)  # units that arrive meanwhile join the batch
                batch, self._pending = pick_batch(self._pending)
                await self._commit_batch(batch)

    async def _commit_batch(self, batch: list[_Pending]) -> None:
        while batch:
            commit = await self._commit_settled(batch)
            if commit.status is not CommitStatus.CONFLICT:
                _resolve_all(batch, commit)
                return
            conflicting = [item for item in batch if _touches(item.unit, commit.conflicts)]
            if not conflicting:
                _resolve_all(batch, commit)
                return
            _resolve_all(conflicting, commit)
            batch = [item for item in batch if item not in conflicting]

    async def _commit_settled(self, batch: list[_Pending]) -> Commit:
        """Commit one transaction; an ambiguous outcome is resolved by reading back."""
        op_id = secrets.token_hex(8)
        txn = _make_txn(batch, op_id)
        may_be_applied = False
        while True:
            self.writes += 1
            commit = await self._table.commit(txn)
            self._record_reply(commit.status in (CommitStatus.COMMITTED, CommitStatus.CONFLICT))
            may_be_applied = may_be_applied or commit.status is CommitStatus.AMBIGUOUS
            # Once a response was lost, a later conflict or rejection is inconclusive: the first
            # submission may have been applied and caused it.
            if commit.status is CommitStatus.COMMITTED or not may_be_applied:
                return commit
            settled = await self._settle(txn)
            if settled.status is not CommitStatus.AMBIGUOUS:
                log_event("INFO", "commit_settled", op=op_id, status=settled.status)
                return settled

    async def _settle(self, txn: Txn) -> Commit:
        """Read back until the table responds; AMBIGUOUS means to submit again."""
        delay_s = SETTLE_RETRY_DELAY_S
        keys = [condition.key for condition in txn.conditions]
        while True:
            found = await self.rows(keys)
            if isinstance(found, Ok):
                return resolve_read_back(txn, found.ok_value)
            self._reject_pending()
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_SETTLE_RETRY_DELAY_S)

    def _reject_pending(self) -> None:
        """Reject unsent units that wait behind a transaction that cannot be settled yet."""
        waiting, self._pending = self._pending, []
        _resolve_all(waiting, _rejected("table is down"))

    def _record_reply(self, answered: bool) -> None:
        before = self.up
        self._failures = 0 if answered else self._failures + 1
        if before != self.up:
            log_event("WARNING", "table_up" if self.up else "table_down")


def resolve_read_back(txn: Txn, rows: list[Row]) -> Commit:
    """Return the outcome of a transaction whose response was lost, from its current rows.

    A deleted row holds no operation id, so a unit that deletes must also write another row.
    """
    by_key = {row.key: row for row in rows}
    for write in txn.writes:
        row = by_key.get(write.key)
        if row is not None and txn.op_id in (row.value or {}).get(OPS_FIELD, []):
            return Commit(CommitStatus.COMMITTED, row.version)
    stale = [c.key for c in txn.conditions if by_key[c.key].version != c.version]
    if stale:
        return Commit(CommitStatus.CONFLICT, conflicts=tuple(stale))
    return Commit(CommitStatus.AMBIGUOUS)


def _make_txn(batch: list[_Pending], op_id: str) -> Txn:
    conditions: dict[str, int] = {}
    writes: list[Write] = []
    for item in batch:
        for change in item.unit.changes:
            conditions[change.row.key] = change.row.version
            writes.append(stamp_op(change, op_id))
        for guard in item.unit.guards:
            conditions[guard.key] = guard.version
    return Txn(op_id, tuple(Condition(k, v) for k, v in conditions.items()), tuple(writes))


def _touches(unit: Unit, keys: Iterable[str]) -> bool:
    own = {change.row.key for change in unit.changes} | {guard.key for guard in unit.guards}
    return not own.isdisjoint(keys)


def _rejected(detail: str) -> Commit:
    return Commit(CommitStatus.REJECTED, detail=detail)


def _resolve(item: _Pending, commit: Commit) -> None:
    if not item.fut.done():
        item.fut.set_result(commit)


def _resolve_all(batch: list[_Pending], commit: Commit) -> None:
    for item in batch:
        _resolve(item, commit)


def _resolve_reads(
    batch: "dict[str, asyncio.Future[Result[Row, Failure]]]", found: Result[list[Row], Failure]
) -> None:
    if isinstance(found, Err):
        for fut in batch.values():
            fut.set_result(found)
        return
    by_key = {row.key: row for row in found.ok_value}
    for key, fut in batch.items():
        fut.set_result(Ok(by_key.get(key, absent(key))))


def commit_failure(commit: Commit) -> Failure:
    """Return the failure reported to a caller for an unsuccessful commit."""
    if commit.status is CommitStatus.CONFLICT:
        return Failure(
            Code.STORE_CONFLICT, f"rows changed concurrently: {', '.join(commit.conflicts)}"
        )
    if commit.status is CommitStatus.REJECTED:
        return Failure(Code.STORE_UNAVAILABLE, f"not committed: {commit.detail}", "try again later")
    return Failure(Code.STORE_AMBIGUOUS, "commit outcome unknown", "query the job by its key")
