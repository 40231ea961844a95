"""The row that says who leads, and the leader's one way to write.

Every transaction of a leader is conditioned on the version of the head row and rewrites it.  So

- at most one leader can write: a successor's first act changes the row, and whatever an earlier
  leader still has on its way fails;
- a leader's own transactions take effect in the order in which they were sent: one whose answer
  was lost, and which the store may carry out seconds later, fails once a later one has been
  committed;
- a lost answer can be settled: the row carries the id of the last transaction.
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

RETRY_MIN_S: Final = 0.05
RETRY_MAX_S: Final = 0.4
"""Pauses between tries while the store is away: each call costs, and its return is to be noticed
well within the two seconds in which entries should be back."""

MAX_TXN_ROWS: Final = 90
"""Rows in one transaction; the store takes 100, and the head row is one of them."""

MAX_TXN_BYTES: Final = 600_000
"""Bytes in one transaction before their encoding, which makes a third more of them; the store
takes 1 MB."""

NO_LEADER: Final = ""
"""Named in the head row where nobody leads."""


class _HeadValue(msgspec.Struct):
    """What the head row holds."""

    epoch: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
    leader: str
    txn: str


@dataclass(frozen=True, slots=True)
class HeadRow:
    """The head row as it was read.

    :ivar version: version of the row; 0 where it does not exist.
    """

    version: int
    epoch: int
    leader: str
    txn: str

    @classmethod
    def from_row(cls, row: Row) -> "HeadRow":
        """Decode a row.

        One that cannot be read was written by somebody else.  Its version then stands for its
        epoch: each epoch began with a transaction, and the store counts all transactions in its
        versions, so that the next epoch is higher than any before it.
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
    """How a commit ended."""

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
    """A leader's hold on the head row.

    :ivar stored_at: when the newest committed transaction was sent, on the clock that also counts
        while the machine is suspended: a leader that was suspended has to know how old its
        confirmation is.
    :ivar waiting_since: when the transaction in flight was first sent; 0 while there is none.
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
        """Try once to become the leader after the head row ``seen``.

        Where the answer is lost this returns ``None`` although the write may take effect.  That
        is harmless: the row is read before the next try, by whoever makes it.
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
        """Mark the row as having no leader, in one try, so that the next one takes it at once.

        Where every entry is stopped together nobody can be offered the lead.  The first one that
        was back then watched the row of a leader that had long ended, 1.5 s in which callers were
        refused.  A try that fails or is carried out late changes nothing but that: the row names
        the same epoch, and the condition fails once somebody has taken it.
        """
        txn = secrets.token_hex(6)
        value = {"epoch": self.epoch, "leader": NO_LEADER, "txn": txn}
        condition = Condition(HEAD_KEY, self._version)
        commit = await self._table.commit(Txn(txn, (condition,), (Write(HEAD_KEY, value),)))
        log_event("INFO", "lead_released", epoch=self.epoch, stored=commit.status.value)

    async def commit(self, writes: Iterable[Write]) -> HeadEnd:
        """Store ``writes``, in as many transactions as they need; wait out an absent store."""
        for chunk in _chunks(writes):
            if await self._commit_one(chunk) is HeadEnd.DEPOSED:
                return HeadEnd.DEPOSED
        return HeadEnd.STORED

    async def _commit_one(self, writes: list[Write]) -> HeadEnd:
        txn = secrets.token_hex(6)
        value: dict[str, Any] = {"epoch": self.epoch, "leader": self.leader, "txn": txn}
        transaction = Txn(txn, (Condition(HEAD_KEY, self._version),), (*writes, Write(HEAD_KEY, value)))
        pause = RETRY_MIN_S
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
            # Rejected or without an answer: the same transaction goes again under the same
            # condition, so that at most one of the tries takes effect.
            await asyncio.sleep(pause)
            pause = min(pause * 2, RETRY_MAX_S)

    async def _resolve_conflict(self, txn: str, sent_at: float, tries: int) -> HeadEnd | None:
        """Find out whose change the conflict is; ``None`` where the row cannot be read now."""
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
    """Split writes into transactions of bounded size; an empty list still renews the row."""
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
