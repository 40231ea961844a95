"""The head row, which names the leader and fences all of its writes.

Every transaction of a leader is conditional on the version of the head row and rewrites it, so

- at most one leader can write: a successor changes the row first, which makes the pending
  transactions of the previous leader fail;
- a leader's transactions take effect in order, even if the store applies one late;
- a lost reply can be resolved, because the row holds the id of the last transaction.
"""

import asyncio
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.clock import awake_now, now
from sapphirelead.errors import Failure
from sapphirelead.logs import log_event
from sapphirelead.ports import CommitStatus, Condition, Row, Table, Txn, Write

HEAD_KEY: Final = "fleet/head"

MIN_RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 0.4
"""Backoff between attempts while the store is unavailable."""

MAX_TXN_ROWS: Final = 90
"""Limit for rows besides the head row; the store accepts 100."""

MAX_TXN_BYTES: Final = 600_000
"""Limit before encoding, which adds a third; the store accepts 1 MB."""

NO_LEADER: Final = ""
"""Leader name in a head row that has no leader."""


class _HeadValue(msgspec.Struct):
    """Value of the head row."""

    epoch: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
    leader: str
    txn: str


@dataclass(frozen=True, slots=True)
class HeadRow:
    """The head row as read from the store.

    :ivar version: version of the row; 0 if it does not exist.
    :ivar txn: id of the last transaction.
    """

    version: int
    epoch: int
    leader: str
    txn: str

    @classmethod
    def from_row(cls, row: Row) -> "HeadRow":
        """Decode a row.

        Uses the version as the epoch if the value cannot be decoded.  Versions grow with every
        transaction and each epoch begins with one, so the next epoch is higher than any before it.
        """
        if row.version == 0:
            return cls(0, 0, NO_LEADER, "")
        try:
            value = msgspec.convert(row.value, _HeadValue)
        except msgspec.ValidationError as exc:
            log_event("ERROR", "head_row_unreadable", version=row.version, reason=str(exc))
            return cls(row.version, row.version, NO_LEADER, "")
        return cls(row.version, value.epoch, value.leader, value.txn)


class HeadEnd(StrEnum):
    """Outcome of a commit."""

    STORED = "stored"
    DEPOSED = "deposed"


async def read_head(table: Table) -> Result[HeadRow, Failure]:
    """Read the head row."""
    found = await table.rows([HEAD_KEY])
    if isinstance(found, Err):
        return found
    rows = found.ok_value
    return Ok(HeadRow.from_row(rows[0] if rows else Row(HEAD_KEY, 0, None)))


class Head:
    """A leader's ownership of the head row.

    :ivar stored_at: when the last committed transaction was sent, on a clock that includes the time
        for which the machine was suspended.
    :ivar waiting_since: when the transaction in flight was first sent; 0 if there is none.
    """

    epoch: int
    leader: str
    stored_at: float
    waiting_since: float
    _table: Table
    _version: int

    def __init__(self, table: Table, epoch: int, leader: str, version: int, at: float) -> None:
        self.epoch = epoch
        self.leader = leader
        self.stored_at = at
        self.waiting_since = 0.0
        self._table = table
        self._version = version

    @classmethod
    async def take(cls, table: Table, seen: HeadRow, leader: str) -> "Head | None":
        """Try once to become the leader, replacing the head row ``seen``.

        Returns ``None`` also if the reply is lost and the write takes effect; callers must read the
        row again before the next attempt.
        """
        txn = secrets.token_hex(6)
        at = awake_now()
        epoch = seen.epoch + 1
        value = {"epoch": epoch, "leader": leader, "txn": txn}
        commit = await table.commit(
            Txn(txn, (Condition(HEAD_KEY, seen.version),), (Write(HEAD_KEY, value),))
        )
        if commit.status is not CommitStatus.COMMITTED:
            return None
        return cls(table, epoch, leader, commit.version, at)

    async def release(self) -> None:
        """Try once to clear the leader, so that a successor need not wait for the leader timeout.

        Safe to fail or to take effect late: the epoch stays, and the condition fails once a
        successor has taken over.
        """
        txn = secrets.token_hex(6)
        value = {"epoch": self.epoch, "leader": NO_LEADER, "txn": txn}
        condition = Condition(HEAD_KEY, self._version)
        commit = await self._table.commit(Txn(txn, (condition,), (Write(HEAD_KEY, value),)))
        log_event("INFO", "lead_released", epoch=self.epoch, stored=commit.status.value)

    async def commit(self, writes: Iterable[Write]) -> HeadEnd:
        """Store ``writes`` in one or more transactions; retries while the store is unavailable."""
        for chunk in _chunks(writes):
            if await self._commit_one(chunk) is HeadEnd.DEPOSED:
                return HeadEnd.DEPOSED
        return HeadEnd.STORED

    async def _commit_one(self, writes: list[Write]) -> HeadEnd:
        txn = secrets.token_hex(6)
        value: dict[str, Any] = {"epoch": self.epoch, "leader": self.leader, "txn": txn}
        transaction = Txn(
            txn, (Condition(HEAD_KEY, self._version),), (*writes, Write(HEAD_KEY, value))
        )
        delay_s = MIN_RETRY_DELAY_S
        self.waiting_since = now()
        tries = 0
        while True:
            sent_at = awake_now()
            tries += 1
            commit = await self._table.commit(transaction)
            if commit.status is CommitStatus.COMMITTED:
                return self._record_commit(commit.version, sent_at, tries)
            if commit.status is CommitStatus.CONFLICT:
                outcome = await self._resolve_conflict(txn, sent_at, tries)
                if outcome is not None:
                    return outcome
            # Retries with the same condition, so that at most one of the attempts takes effect.
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _resolve_conflict(self, txn: str, sent_at: float, tries: int) -> HeadEnd | None:
        """Check who changed the row; return ``None`` if it cannot be read."""
        found = await read_head(self._table)
        if isinstance(found, Err):
            return None
        head = found.ok_value
        if head.txn == txn:
            return self._record_commit(head.version, sent_at, tries)
        log_event(
            "WARNING", "leader_deposed", epoch=self.epoch, by=head.leader, new_epoch=head.epoch
        )
        return HeadEnd.DEPOSED

    def _record_commit(self, version: int, sent_at: float, tries: int) -> HeadEnd:
        if tries > 1:
            log_event("INFO", "commit_settled", tries=tries, waited_s=now() - self.waiting_since)
        self._version = version
        self.stored_at = sent_at
        self.waiting_since = 0.0
        return HeadEnd.STORED


def _chunks(writes: Iterable[Write]) -> list[list[Write]]:
    """Split writes by the limits of a transaction; an empty list gives one empty chunk."""
    chunks: list[list[Write]] = [[]]
    size = 0
    for write in writes:
        length = len((write.value or {}).get("data", b""))
        if len(chunks[-1]) >= MAX_TXN_ROWS or size + length > MAX_TXN_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(write)
        size += length
    return chunks
