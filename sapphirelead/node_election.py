"""Leader election: when an entry follows the leader, reads the head row or tries to take it.

The leader is the entry that last changed the head row in the store by compare-and-swap.  This
module only decides when to try, so a wrong view costs time but never creates a second leader that
can write.  An entry tries when the leader has sent nothing *and* the head row has not changed for
:data:`ELECTION_TIMEOUT_S`, or when the leader offers the leadership.  Only :meth:`Election.take`
does I/O.
"""

import math
from enum import StrEnum
from typing import Final

from sapphirelead.clock import now
from sapphirelead.node_followers import is_much_stronger
from sapphirelead.ports import Table
from sapphirelead.sched_head import NO_LEADER, Head, HeadRow, LeaderClock, read_head
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S, LEADER_TIMEOUT_S

ELECTION_TIMEOUT_S: Final = 0.7
"""Time without a change of the head row after which the leader counts as gone or as cut off from
the store."""

WEAK_ELECTION_TIMEOUT_S: Final = 1.3
"""Election timeout of an entry that knows of a much stronger one, which is to take the row
first."""

MAX_TAKE_ATTEMPTS: Final = 8
"""Attempts of an entry that was offered the leadership; the leader's own writes to the row, which
continue until it is taken, can make an attempt fail."""

HEAD_READ_INTERVAL_S: Final = 0.3
"""Interval between reads of the head row while there is no leader."""

MISSED_HEARTBEAT_S: Final = 0.6
"""Time without a heartbeat after which the head row is read, though not taken yet.

The sooner a successor has seen the last row, the sooner it knows that leases have expired."""


class Move(StrEnum):
    """The next action of an entry."""

    NOTHING = "nothing"
    READ = "read"
    TAKE = "take"


class Election:
    """An entry's view of the leadership.

    :ivar leader: name of the known leader; empty for none.
    :ivar store_ok: whether the last call to the store was answered.
    :ivar cores: processors of this entry; 0 if unknown.
    :ivar strongest: processors of the strongest follower, from the leader's latest heartbeat.
    """

    own: str
    cores: float
    strongest: float
    epoch: int
    leader: str
    store_ok: bool
    seen_version: int
    _leading: bool
    _leader_seen_at: float
    _serving: bool
    _heartbeat_sent_at: float
    _read_at: float
    _seen: HeadRow | None
    _seen_at: float
    _leader_clock: LeaderClock | None
    _offered_epoch: int
    _own_epoch: int
    _leaving: bool

    def __init__(self, own: str, cores: float = 0.0) -> None:
        self.own = own
        self.cores = cores
        self.strongest = 0.0
        self.epoch = 0
        self.leader = ""
        self.store_ok = True
        self.seen_version = 0
        self._leading = False
        self._leader_seen_at = -1e9
        self._serving = False
        self._heartbeat_sent_at = -1e9
        self._read_at = -1e9
        self._seen = None
        self._seen_at = 0.0
        self._leader_clock = None
        self._offered_epoch = 0
        self._own_epoch = 0
        self._leaving = False

    def leave(self) -> None:
        """Never take the leadership again, because this process is shutting down."""
        self._leaving = True
        self._offered_epoch = 0

    def has_live_leader(self, at: float) -> bool:
        """Whether another entry leads, accepts calls and has been heard from recently."""
        if self._leading or not self.leader or not self._serving:
            return False
        return at - self._leader_seen_at < LEADER_TIMEOUT_S

    def next_move(self, at: float) -> Move:
        """Return the action to take at time ``at``."""
        if self._leading:
            return Move.NOTHING
        if self._offered_epoch and not self._leaving:
            return Move.TAKE
        if self.leader and at - self._leader_seen_at < MISSED_HEARTBEAT_S:
            return Move.NOTHING
        if self._may_take(at):
            return Move.TAKE
        if at - self._read_at < HEAD_READ_INTERVAL_S:
            return Move.NOTHING
        self._read_at = at
        return Move.READ

    def heartbeat_due(self, at: float) -> bool:
        """Return whether a heartbeat to the leader is due, and count it as sent.

        Heartbeats also go to a leader that has not responded: a leader sends its own only in
        reply, so a follower whose link was interrupted would otherwise never reconnect.
        """
        if self._leading or not self.leader or at - self._heartbeat_sent_at < HEARTBEAT_INTERVAL_S:
            return False
        self._heartbeat_sent_at = at
        return True

    def _may_take(self, at: float) -> bool:
        if self._leaving or self._seen is None or at - self._read_at > HEAD_READ_INTERVAL_S:
            return False
        if self._seen.leader == NO_LEADER:
            return True
        if self._seen.leader == self.own and self._seen.epoch != self._own_epoch:
            # Left by an earlier process of this entry.  An epoch that this process has resigned
            # belongs to the entry that it was offered to.
            return True
        weak = is_much_stronger(self.strongest, than=self.cores)
        absent_since = self._leader_seen_at + LEADER_TIMEOUT_S if self.leader else -math.inf
        timeout_s = WEAK_ELECTION_TIMEOUT_S if weak else ELECTION_TIMEOUT_S
        return at - max(self._seen_at, absent_since) >= timeout_s

    def on_head_read(self, head: HeadRow, at: float) -> None:
        """Record the head row as read from the store."""
        self.store_ok = True
        if self._seen is None or head.version != self._seen.version:
            self._seen = head
            self._seen_at = at
            self.seen_version = head.version
        changed = head.epoch > self.epoch or (
            head.epoch == self.epoch and head.leader != self.leader
        )
        if changed and head.leader not in (NO_LEADER, self.own):
            self._follow(head.epoch, head.leader, at, serving=False)

    def on_store_failure(self, at: float) -> None:
        """Record that the store did not answer, and discard the row seen before."""
        self.store_ok = False
        self._seen = None
        self._read_at = at

    def on_leader_announced(self, epoch: int, leader: str, at: float) -> bool:
        """Record a leader announced by another process; return whether it is new."""
        if epoch < self.epoch or (epoch == self.epoch and self.leader == leader):
            return False
        self._leading = False
        self._follow(epoch, leader, at, serving=True)
        return True

    def on_heartbeat(
        self,
        epoch: int,
        leader: str,
        serving: bool,
        at: float,
        strongest: float = 0.0,
        leader_ms: int = 0,
    ) -> bool:
        """Record the leader's heartbeat; ``False`` if it is outdated."""
        if epoch < self.epoch or self._leading:
            return False
        self._follow(epoch, leader, at, serving)
        self.strongest = strongest
        self._leader_clock = LeaderClock(epoch, leader_ms, at)
        return True

    def _follow(self, epoch: int, leader: str, at: float, serving: bool) -> None:
        if epoch != self.epoch:
            # The leader that made the offer has been replaced.  Its heartbeats within the same
            # epoch do not withdraw the offer.
            self._offered_epoch = 0
        self.epoch = epoch
        self.leader = leader
        self._leader_seen_at = at
        self._serving = serving

    def on_offer(self, epoch: int) -> None:
        """Record that the leader of ``epoch`` offers the leadership to this entry."""
        if epoch >= self.epoch and not self._leading:
            self._offered_epoch = epoch

    async def take(self, table: Table) -> Head | None:
        """Try to take the leadership; ``None`` if the attempt failed."""
        offer_epoch = self._offered_epoch
        self._offered_epoch = 0
        for _ in range(MAX_TAKE_ATTEMPTS if offer_epoch else 1):
            epoch = self.epoch
            head = await self._take_once(table, offer_epoch)
            if head is not None:
                return head
            if self._leaving or not self.store_ok or self.epoch != epoch:
                break
        return None

    async def _take_once(self, table: Table, offer_epoch: int) -> Head | None:
        """Read the head row and try to take it.

        :param offer_epoch: epoch of the leader that offered the leadership; 0 for none.
        """
        found = await read_head(table)
        if found.is_err():
            self.on_store_failure(now())
            return None
        seen = found.unwrap()
        if offer_epoch and seen.epoch > offer_epoch:
            # Another entry has taken the leadership since the offer.
            self.on_head_read(seen, now())
            return None
        watched = self._seen
        if not offer_epoch and watched is not None and seen.version != watched.version:
            # The row has changed since the last read: the leader is alive, or there is a new one.
            self.on_head_read(seen, now())
            return None
        row, read_at = seen, now()
        if watched is not None and watched.version == seen.version:
            # The earlier read shows that the leader has stored nothing since.
            row, read_at = watched, self._seen_at
        head = await Head.take(table, row, self.own, read_at, self._leader_clock)
        self._seen = None
        if head is None:
            return None
        self._leading = True
        self._own_epoch = head.epoch
        self.epoch = head.epoch
        self.leader = self.own
        self.seen_version = seen.version
        return head

    def on_leadership_lost(self) -> None:
        """Record that this entry no longer leads."""
        if not self._leading:
            # The new leader is already known.
            return
        self._leading = False
        self.leader = ""
        self._seen = None
        self._leader_seen_at = -1e9
