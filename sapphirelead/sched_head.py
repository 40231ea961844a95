"""The head row, which names the leader and fences all of its writes.

Every transaction of a leader is conditional on the version of the head row and rewrites it, so

- at most one leader can write: a successor changes the row first, which makes the pending
  transactions of the previous leader fail;
- a leader's transactions take effect in order, even if the store applies one late;
- a lost reply can be resolved, because the row holds the id of the last transaction.
"""

import asyncio
import math
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
from sapphirelead.ports import Commit, CommitStatus, Condition, Row, Table, Txn, Write
from sapphirelead.sched_led_time import LedTime
from sapphirelead.sched_renewals import PriorRenewals, RenewalList, age_ms
from sapphirelead.sched_timing import CLOCK_DRIFT_SHARE

HEAD_KEY: Final = "fleet/head"

MIN_RETRY_DELAY_S: Final = 0.05
MAX_RETRY_DELAY_S: Final = 0.4
"""Backoff between attempts while the store is unavailable."""

MAX_TXN_ROWS: Final = 90
"""Limit for rows besides the head row; the store accepts 100."""

MAX_TXN_BYTES: Final = 600_000
"""Limit before encoding, which adds a third; the store accepts 1 MB."""

MAX_TAKE_DURATION_S: Final = 1.0
"""Time after which a transaction without a reply counts as ambiguous, so the row is not taken."""

NO_LEADER: Final = ""
"""Leader name in a head row that has no leader."""


class _HeadValue(msgspec.Struct):
    """Value of the head row.

    The last four fields are decoded apart, so that their damage does not hide the epoch.

    :ivar renewals: a :class:`RenewalList`.
    :ivar sent_ms: when the row was sent, on the store's clock or later; 0 if unknown.
    :ivar leader_ms: when the row was first sent, on the leader's clock; 0 if unknown.
    :ivar led_ms: time led by all leaders when the row was first sent; 0 if unknown.
    """

    epoch: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
    leader: str
    txn: str
    renewals: Any = None
    sent_ms: Any = 0
    leader_ms: Any = 0
    led_ms: Any = 0


@dataclass(frozen=True, slots=True)
class StoreClock:
    """A reading of the store's monotonic clock.

    :ivar store_ms: the reading; 0 if the store has no clock.
    :ivar asked_at: when the store was asked for it, on a clock that includes suspensions.
    """

    store_ms: int
    asked_at: float

    def latest_ms(self, at: float) -> int:
        """Return the store's time at ``at`` or a later time; 0 if unknown."""
        return self.store_ms + math.ceil((at - self.asked_at) * 1000) if self.store_ms else 0


NO_STORE_CLOCK: Final = StoreClock(0, 0.0)


@dataclass(frozen=True, slots=True)
class HeadRow:
    """The head row as read from the store.

    :ivar version: version of the row; 0 if it does not exist.
    :ivar txn: id of the last transaction.
    :ivar renewals: agents whose leases its leader does not renew; ``None`` if the leader is of a
        version that stores no list, or the row of another writer.
    :ivar age_s: minimum time from sending the row to reading it.
    :ivar clock: the store's clock when the row was read.
    :ivar leader_ms: when the row was first sent, on its leader's clock; 0 if unknown.
    :ivar led_s: time led by all leaders when the row was first sent; 0 if unknown.
    """

    version: int
    epoch: int
    leader: str
    txn: str
    renewals: RenewalList | None = None
    age_s: float = 0.0
    clock: StoreClock = NO_STORE_CLOCK
    leader_ms: int = 0
    led_s: float = 0.0

    @classmethod
    def from_row(cls, row: Row, asked_at: float = 0.0) -> "HeadRow":
        """Decode a row that was requested at ``asked_at``.

        Uses the version as the epoch if the value cannot be decoded.  Versions grow with every
        transaction and each epoch begins with one, so the next epoch is higher than any before it.
        """
        clock = StoreClock(row.read_ms, asked_at)
        if row.version == 0:
            return cls(0, 0, NO_LEADER, "", clock=clock)
        try:
            value = msgspec.convert(row.value, _HeadValue)
        except msgspec.ValidationError as exc:
            log_event("ERROR", "head_row_unreadable", version=row.version, reason=str(exc))
            return cls(row.version, row.version, NO_LEADER, "")
        renewals = None if value.renewals is None else RenewalList.from_value(value.renewals)
        sent_ms = _decode_ms("sent_ms", value.sent_ms)
        leader_ms = _decode_ms("leader_ms", value.leader_ms)
        age_s = max(0, row.read_ms - sent_ms) / 1000 if row.read_ms and sent_ms > 0 else 0.0
        return cls(
            row.version,
            value.epoch,
            value.leader,
            value.txn,
            renewals,
            age_s,
            clock,
            leader_ms,
            max(0, _decode_ms("led_ms", value.led_ms)) / 1000,
        )

    def prior_renewals(
        self, seen_at: float, taken_by: float, leader_clock: "LeaderClock | None" = None
    ) -> PriorRenewals:
        """Return the possible renewals of all leaders up to this row.

        A leader of a version without a list counts as confirmed from its last try of a transaction,
        which may be as late as the replacement of the row.

        :param seen_at: when this was read, on the loop's clock, or later.
        :param taken_by: latest time at which the row is replaced.
        :param leader_clock: a leader's clock, which dates the row if the leader has stored it.
        """
        if self.version == 0:
            return PriorRenewals({}, seen_at)
        if self.renewals is None:
            return PriorRenewals.unknown(taken_by)
        return PriorRenewals.from_list(self.renewals, self.sent_by(seen_at, leader_clock))

    def sent_by(self, seen_at: float, leader_clock: "LeaderClock | None" = None) -> float:
        """Return the latest time at which this was first sent, on the loop's clock.

        The parameters are those of :meth:`prior_renewals`.
        """
        sent_by = seen_at - self.age_s
        if leader_clock is not None:
            sent_by = min(sent_by, leader_clock.latest_sending(self))
        return sent_by


@dataclass(frozen=True, slots=True)
class LeaderClock:
    """A reading of a leader's clock, sent with a heartbeat.

    It dates the leader's rows in a store without a clock.

    :ivar leader_ms: the reading; 0 if the leader has sent none.
    :ivar heard_at: when the heartbeat arrived, on the loop's clock.
    """

    epoch: int
    leader_ms: int
    heard_at: float

    def latest_sending(self, row: HeadRow) -> float:
        """Return the latest time at which ``row`` was first sent, infinity if unknown.

        The heartbeat was on its way for an unknown time, which makes the result later.
        """
        if row.epoch != self.epoch or row.leader_ms <= 0 or self.leader_ms <= 0:
            return math.inf
        after_s = (row.leader_ms - self.leader_ms) / 1000
        return self.heard_at + after_s + abs(after_s) * CLOCK_DRIFT_SHARE


def _decode_ms(field: str, value: Any) -> int:
    """Return a time of the head row, 0 if another writer has damaged it."""
    if isinstance(value, int):
        return value
    log_event("ERROR", "head_time_unreadable", field=field, value=repr(value))
    return 0


class HeadEnd(StrEnum):
    """Outcome of a commit."""

    STORED = "stored"
    DEPOSED = "deposed"


async def read_head(table: Table) -> Result[HeadRow, Failure]:
    """Read the head row."""
    asked_at = awake_now()
    found = await table.rows([HEAD_KEY])
    if isinstance(found, Err):
        return found
    rows = found.ok_value
    return Ok(HeadRow.from_row(rows[0] if rows else Row(HEAD_KEY, 0, None), asked_at))


class Head:
    """A leader's ownership of the head row.

    :ivar stored_at: when the last committed transaction was first sent, on a clock that includes
        the time for which the machine was suspended.
    :ivar waiting_since: when the transaction in flight was first sent; 0 if there is none.
    :ivar prior: renewals of leases by previous leaders.
    :ivar renewals: list of agents in the row that was last sent.
    :ivar replaced_sent_by: latest time at which the replaced row was sent, on the loop's clock.
    :ivar led: time led by all leaders, of which each row tells a successor.
    """

    epoch: int
    leader: str
    stored_at: float
    waiting_since: float
    prior: PriorRenewals
    renewals: RenewalList
    replaced_sent_by: float
    led: LedTime
    _table: Table
    _version: int
    _clock: StoreClock

    def __init__(
        self,
        table: Table,
        epoch: int,
        leader: str,
        commit: Commit,
        at: float,
        prior: PriorRenewals,
        renewals: RenewalList,
        replaced_sent_by: float,
        led: LedTime,
    ) -> None:
        """Own the row.

        :param commit: the transaction that stored it, sent at ``at``.
        """
        self.epoch = epoch
        self.leader = leader
        self.stored_at = at
        self.waiting_since = 0.0
        self.prior = prior
        self.renewals = renewals
        self.replaced_sent_by = replaced_sent_by
        self.led = led
        self._table = table
        self._version = commit.version
        self._clock = StoreClock(commit.store_ms, at)

    @classmethod
    async def take(
        cls,
        table: Table,
        seen: HeadRow,
        leader: str,
        seen_at: float | None = None,
        leader_clock: LeaderClock | None = None,
    ) -> "Head | None":
        """Try once to become the leader, replacing the head row ``seen``.

        Returns ``None`` also if the reply is lost and the write takes effect; callers must read the
        row again before the next attempt.

        :param seen_at: when ``seen`` was read; by default now.
        :param leader_clock: the latest known reading of a leader's clock.
        """
        txn = secrets.token_hex(6)
        at = awake_now()
        epoch = seen.epoch + 1
        taken_by = now() + MAX_TAKE_DURATION_S
        seen_by = now() if seen_at is None else seen_at
        prior = seen.prior_renewals(seen_by, taken_by, leader_clock)
        renewals = prior.to_list(now())
        led = LedTime(seen.led_s)
        write = _head_write(epoch, leader, txn, renewals, at, seen.clock, led.total_s(now()))
        commit = await table.commit(Txn(txn, (Condition(HEAD_KEY, seen.version),), (write,)))
        if commit.status is not CommitStatus.COMMITTED:
            return None
        replaced_sent_by = seen.sent_by(seen_by, leader_clock)
        return cls(table, epoch, leader, commit, at, prior, renewals, replaced_sent_by, led)

    async def release(self) -> None:
        """Try once to clear the leader, so that a successor need not wait for the leader timeout.

        The leader must not renew leases any more.  Safe to fail or to take effect late: the epoch
        stays, and the condition fails once a successor has taken over.
        """
        txn = secrets.token_hex(6)
        at = now()
        others_ms = age_ms(max(at, self.prior.others), at)
        renewals = RenewalList(self.renewals.ages_ms, others_ms, self.renewals.unmet)
        condition = Condition(HEAD_KEY, self._version)
        led_s = self.led.total_s(at)
        write = _head_write(self.epoch, NO_LEADER, txn, renewals, awake_now(), self._clock, led_s)
        commit = await self._table.commit(Txn(txn, (condition,), (write,)))
        log_event("INFO", "lead_released", epoch=self.epoch, stored=commit.status.value)

    async def commit(self, writes: Iterable[Write], renewals: RenewalList | None = None) -> HeadEnd:
        """Store ``writes`` in one or more transactions; retries while the store is unavailable.

        :param renewals: list of agents to store with them; by default the previous one.
        """
        if renewals is not None:
            self.renewals = renewals
        for chunk in _chunks(writes):
            if await self._commit_one(chunk) is HeadEnd.DEPOSED:
                return HeadEnd.DEPOSED
        return HeadEnd.STORED

    async def _commit_one(self, writes: list[Write]) -> HeadEnd:
        txn = secrets.token_hex(6)
        # The successor derives from the row for how long this leader renews leases.
        first_sent_at = awake_now()
        head_write = _head_write(
            self.epoch,
            self.leader,
            txn,
            self.renewals,
            first_sent_at,
            self._clock,
            self.led.total_s(now()),
        )
        transaction = Txn(txn, (Condition(HEAD_KEY, self._version),), (*writes, head_write))
        delay_s = MIN_RETRY_DELAY_S
        self.waiting_since = now()
        tries = 0
        while True:
            sent_at = awake_now()
            tries += 1
            commit = await self._table.commit(transaction)
            if commit.status is CommitStatus.COMMITTED:
                if commit.store_ms:
                    self._clock = StoreClock(commit.store_ms, sent_at)
                return self._record_commit(commit.version, first_sent_at, tries)
            if commit.status is CommitStatus.CONFLICT:
                outcome = await self._resolve_conflict(txn, first_sent_at, tries)
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


def leader_clock_ms() -> int:
    """Return the clock of this process as a leader sends it with a heartbeat, rounded down."""
    return math.floor(awake_now() * 1000)


def _head_write(
    epoch: int,
    leader: str,
    txn: str,
    renewals: RenewalList,
    sent_at: float,
    clock: StoreClock,
    led_s: float,
) -> Write:
    """Return the write of the head row.

    :param sent_at: when it is first sent, on a clock that includes suspensions.
    :param led_s: time led by all leaders.
    """
    value: dict[str, Any] = {
        "epoch": epoch,
        "leader": leader,
        "txn": txn,
        "renewals": renewals.to_value(),
        "leader_ms": math.ceil(sent_at * 1000),
        "led_ms": math.floor(led_s * 1000),
    }
    sent_ms = clock.latest_ms(sent_at)
    if sent_ms:
        value["sent_ms"] = sent_ms
    return Write(HEAD_KEY, value)


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
