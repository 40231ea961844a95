"""When an entry follows, asks, or takes the lead: decisions without I/O, but for the taking itself.

The store alone makes a leader: whoever changes the head row under the version it read.  What is
decided here is only when to try, so a wrong belief costs time, never a second leader that can
write.  An entry tries when the leader has been silent *and* the head row has stood still for
:data:`WATCH_S`, or when the leader itself asks it to.
"""

from enum import StrEnum
from typing import Final

from sapphirelead.clock import now
from sapphirelead.node_followers import is_much_stronger
from sapphirelead.ports import Table
from sapphirelead.sched_head import NO_LEADER, Head, HeadRow, read_head
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S, LEADER_TIMEOUT_S

WATCH_S: Final = 0.7
"""A living leader renews the head row twice a second; standing still for this long means that it is
gone or cut off from the store."""

WEAK_WATCH_S: Final = 1.3
"""Watch of an entry that knows of a much stronger one, which reads and takes the row first.  A
leader without the processors to decide in time delays all work for as long as it leads."""

TAKE_TRIES: Final = 8
"""Tries of an entry that was offered the lead.  The leader writes the row on until it is taken, and
each of its writes makes a try fail that had read the row before."""

READ_EVERY_S: Final = 0.3
"""Time between two reads of the head row while there is no leader."""


class Move(StrEnum):
    """What to do now."""

    NOTHING = "nothing"
    READ = "read"
    TAKE = "take"


class Election:
    """An entry's view of who leads.

    :ivar leader: name of the leader as far as known; empty for none.
    :ivar store_ok: whether the last call to the store was answered.
    :ivar cores: processors of this entry.
    :ivar strongest: processors of the strongest follower, by the leader's newest heartbeat.
    """

    own: str
    cores: float
    strongest: float
    epoch: int
    leader: str
    store_ok: bool
    seen_version: int
    _leading: bool
    _heard_at: float
    _serving: bool
    _beat_at: float
    _read_at: float
    _seen: HeadRow | None
    _seen_at: float
    _offered: int
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
        self._heard_at = -1e9
        self._serving = False
        self._beat_at = -1e9
        self._read_at = -1e9
        self._seen = None
        self._seen_at = 0.0
        self._offered = 0
        self._own_epoch = 0
        self._leaving = False

    def leave(self) -> None:
        """Never take the lead again: this process is about to end."""
        self._leaving = True
        self._offered = 0

    def followed(self, at: float) -> bool:
        """Whether a leader that takes calls has been heard of lately."""
        if self._leading or not self.leader or not self._serving:
            return False
        return at - self._heard_at < LEADER_TIMEOUT_S

    def next_move(self, at: float) -> Move:
        """Return what to do at time ``at``."""
        if self._leading:
            return Move.NOTHING
        if self._offered and not self._leaving:
            return Move.TAKE
        if self.leader and at - self._heard_at < LEADER_TIMEOUT_S:
            return Move.NOTHING
        if self._may_take(at):
            return Move.TAKE
        if at - self._read_at < READ_EVERY_S:
            return Move.NOTHING
        self._read_at = at
        return Move.READ

    def beat_due(self, at: float) -> bool:
        """Return whether a heartbeat is to go to the leader now.

        Also to one that has been silent: it answers only to heartbeats.  A follower whose link was
        cut for longer than the silence would otherwise never hear of it again, since the head row
        moves on and nobody else takes the lead, and would refuse its callers for good.
        """
        if self._leading or not self.leader or at - self._beat_at < HEARTBEAT_INTERVAL_S:
            return False
        self._beat_at = at
        return True

    def _may_take(self, at: float) -> bool:
        if self._leaving or self._seen is None or at - self._read_at > READ_EVERY_S:
            return False
        if self._seen.leader == NO_LEADER:
            return True
        if self._seen.leader == self.own and self._seen.epoch != self._own_epoch:
            # From an earlier process of this entry, which is gone.  An epoch that this process
            # itself has given up is left to the entry that it was offered to.
            return True
        weak = is_much_stronger(self.strongest, than=self.cores)
        return at - self._seen_at >= (WEAK_WATCH_S if weak else WATCH_S)

    def saw_head(self, head: HeadRow, at: float) -> None:
        """Take note of the head row as it was read."""
        self.store_ok = True
        if self._seen is None or head.version != self._seen.version:
            self._seen = head
            self._seen_at = at
            self.seen_version = head.version
        news = head.epoch > self.epoch or (head.epoch == self.epoch and head.leader != self.leader)
        if news and head.leader not in (NO_LEADER, self.own):
            self._follow(head.epoch, head.leader, at, serving=False)

    def store_failed(self, at: float) -> None:
        """Take note that the store did not answer; what was seen before no longer counts."""
        self.store_ok = False
        self._seen = None
        self._read_at = at

    def told(self, epoch: int, leader: str, at: float) -> bool:
        """Take another process's word on who leads; return whether it was news."""
        if epoch < self.epoch or (epoch == self.epoch and self.leader == leader):
            return False
        self._leading = False
        self._follow(epoch, leader, at, serving=True)
        return True

    def heard(
        self, epoch: int, leader: str, serving: bool, at: float, strongest: float = 0.0
    ) -> bool:
        """Take note of the leader's heartbeat; ``False`` for an outdated one."""
        if epoch < self.epoch or self._leading:
            return False
        self._follow(epoch, leader, at, serving)
        self.strongest = strongest
        return True

    def _follow(self, epoch: int, leader: str, at: float, serving: bool) -> None:
        if epoch != self.epoch:
            # The leader of the offer has been replaced.  Until then it leads on and sends
            # heartbeats, which take nothing back.
            self._offered = 0
        self.epoch = epoch
        self.leader = leader
        self._heard_at = at
        self._serving = serving

    def offered(self, epoch: int) -> None:
        """The leader of ``epoch`` gives the lead to this entry."""
        if epoch >= self.epoch and not self._leading:
            self._offered = epoch

    async def take(self, table: Table) -> Head | None:
        """Try to take the lead; ``None`` where it did not come to that."""
        offered = self._offered
        self._offered = 0
        for _ in range(TAKE_TRIES if offered else 1):
            epoch = self.epoch
            head = await self._take_once(table, offered)
            if head is not None:
                return head
            if self._leaving or not self.store_ok or self.epoch != epoch:
                break
        return None

    async def _take_once(self, table: Table, offered: int) -> Head | None:
        """Read the row and take it.

        :param offered: epoch of the leader that offered the lead; 0 for none.
        """
        found = await read_head(table)
        if found.is_err():
            self.store_failed(now())
            return None
        seen = found.unwrap()
        if offered and seen.epoch > offered:
            # Another entry has taken what was offered to this one.
            self.saw_head(seen, now())
            return None
        watched = self._seen
        if not offered and watched is not None and seen.version != watched.version:
            # Somebody wrote meanwhile: the leader lives, or there is a new one.
            self.saw_head(seen, now())
            return None
        head = await Head.take(table, seen, self.own)
        self._seen = None
        if head is None:
            return None
        self._leading = True
        self._own_epoch = head.epoch
        self.epoch = head.epoch
        self.leader = self.own
        self.seen_version = seen.version
        return head

    def lost_lead(self) -> None:
        """Take note that this entry no longer leads."""
        if not self._leading:
            # It has already been told who leads now.
            return
        self._leading = False
        self.leader = ""
        self._seen = None
        self._heard_at = -1e9
