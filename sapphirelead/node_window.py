"""How many calls an entry may have with the leader that it has not read yet.

A congestion window.  What an entry has sent waits in the link and at the leader; while the leader
is behind, an entry sends few calls and holds the others, where one that is given up costs the
leader nothing.

Additive increase, multiplicative decrease: the bound is halved while calls lie unread for too long
and grows by one with each that is read while none has lain unread for half of that time.

A call counts until its own reply, until the leader says that it has read it, or until it counts as
lost.  That a later one has been answered says nothing of it: the leader takes newer questions first
and cancels before all else, so submissions wait there behind what was sent after them.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Final

from sapphirelead.clock import now
from sapphirelead.logs import log_event

MAX_WINDOW: Final = 32
"""Unread calls of an entry with a leader that keeps up."""

MIN_WINDOW: Final = 4
"""Unread calls of an entry with a leader that is behind; they show when it has caught up."""

LATE_AFTER_S: Final = 0.9
"""A call that lies unread for so long is late: a question is not held any longer."""

MAX_GROWTH_DELAY_S: Final = LATE_AFTER_S / 2
"""While a call lies unread for longer, the bound does not grow: a submission would be accepted when
its caller has left."""

LOST_AFTER_S: Final = 3.0
"""A call unread for so long no longer counts: it may have been lost with its connection."""

MAX_HELD_CALLS: Final = 256
"""Calls held at an entry; what is past it could not be sent in its caller's time."""

CHECK_INTERVAL_S: Final = 0.1
"""Time between two looks of a held call at the leadership and at what has been lost."""


class CallWindow:
    """The unread calls of one entry with the leadership that it follows.

    :ivar limit: how many there may be.
    """

    limit: int
    _epoch: int
    _unread: dict[int, float]
    _submissions: "deque[tuple[int, asyncio.Future[None]]]"
    _queries: "deque[tuple[int, asyncio.Future[None]]]"
    _shrunk_at: float
    _congested: bool
    _newest_read_sent_at: float

    def __init__(self) -> None:
        self.limit = MAX_WINDOW
        self._epoch = 0
        self._unread = {}
        self._submissions = deque()
        self._queries = deque()
        self._shrunk_at = 0.0
        self._congested = False
        self._newest_read_sent_at = 0.0

    @property
    def held(self) -> int:
        """Number of calls that wait at this entry."""
        return len(self._submissions) + len(self._queries)

    def overtaken(self, number: int) -> bool:
        """Whether a leader that keeps up has read a call that was sent after this one."""
        sent_at = self._unread.get(number, math.inf)
        return not self._congested and sent_at < self._newest_read_sent_at

    async def acquire(
        self, number: int, epoch: Callable[[], int], until: float, submits: bool
    ) -> bool:
        """Wait until a call may be sent; ``False`` where it is not to be sent at all.

        Questions are refused at once by a full window of the least size: their callers can ask
        again, and what could be sent for them would come too late.

        :param epoch: returns the leadership that is followed.
        :param submits: submissions go before questions.
        """
        self._refresh(epoch())
        if number in self._unread:
            # Tries of a call that wait at the leader are one.
            return True
        if not self.held and len(self._unread) < self.limit:
            self._unread[number] = now()
            return True
        if self.held >= MAX_HELD_CALLS or (self.limit <= MIN_WINDOW and not submits):
            return False
        line = self._submissions if submits else self._queries
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        line.append((number, fut))
        admitted = False
        try:
            while not fut.done() and now() < until:
                await asyncio.wait({fut}, timeout=max(0.001, min(CHECK_INTERVAL_S, until - now())))
                self._refresh(epoch())
            admitted = fut.done()
            return admitted
        finally:
            if not fut.done():
                line.remove((number, fut))
            elif not admitted:
                # The caller left between its admission and its turn.
                self.release(number)

    def release(self, number: int) -> None:
        """Take note that a call was not sent."""
        self._unread.pop(number, None)
        self._admit()

    def read(self, number: int, epoch: int) -> None:
        """Take note that the leadership of ``epoch`` has read a call."""
        if epoch != self._epoch or number not in self._unread:
            return
        sent_at = self._unread.pop(number)
        self._newest_read_sent_at = max(self._newest_read_sent_at, sent_at)
        at = now()
        oldest = min(sent_at, next(iter(self._unread.values()), sent_at))
        if at - sent_at > LATE_AFTER_S:
            self._shrink()
        elif at - oldest <= MAX_GROWTH_DELAY_S and self.limit < MAX_WINDOW:
            self.limit += 1
            self._log_congestion()
        self._admit()

    def _refresh(self, epoch: int) -> None:
        """Follow another leadership, or find what is late or lost under this one."""
        if epoch != self._epoch:
            self._epoch = epoch
            self._unread.clear()
            self._newest_read_sent_at = 0.0
            self.limit = MAX_WINDOW
            self._log_congestion()
        at = now()
        if self._unread and at - next(iter(self._unread.values())) > LATE_AFTER_S:
            self._shrink()
        for number, sent_at in list(self._unread.items()):
            if at - sent_at <= LOST_AFTER_S:
                break
            del self._unread[number]
        self._admit()

    def _shrink(self) -> None:
        """Halve the bound, once for all that is late at a time."""
        if now() - self._shrunk_at >= LATE_AFTER_S:
            self._shrunk_at = now()
            self.limit = max(MIN_WINDOW, self.limit // 2)
            self._log_congestion()

    def _log_congestion(self) -> None:
        """Log it when the leader falls behind, and when it has caught up."""
        if not self._congested and self.limit == MIN_WINDOW:
            self._congested = True
            log_event("WARNING", "calls_unread", unread=len(self._unread), held=self.held)
        elif self._congested and self.limit >= MAX_WINDOW // 2:
            self._congested = False
            log_event("INFO", "calls_read", epoch=self._epoch)

    def _admit(self) -> None:
        while self.held and len(self._unread) < self.limit:
            line = self._submissions or self._queries
            number, fut = line.popleft()
            if not fut.done():
                self._unread[number] = now()
                fut.set_result(None)
