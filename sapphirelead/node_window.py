"""Congestion window for the calls that an entry forwards to the leader.

Bounds the calls that the leader has not read yet, and holds the others at the entry, where calls
whose callers time out cost the leader nothing.  Uses additive increase, multiplicative decrease:
the limit is halved when calls stay unread for too long, and grows by one with each call read while
none has been unread for half of that time.  A call counts until its reply, until the leader
acknowledges that it has read it, or until it is considered lost.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Final

from sapphirelead.clock import now
from sapphirelead.logs import log_event

MAX_WINDOW: Final = 32
"""Largest window, in unread calls."""

MIN_WINDOW: Final = 4
"""Smallest window; these calls show when a congested leader has caught up."""

LATE_AFTER_S: Final = 0.9
"""A call that stays unread for longer halves the window; equals the hold timeout of a query."""

MAX_GROWTH_DELAY_S: Final = LATE_AFTER_S / 2
"""The window does not grow while a call has been unread for longer."""

LOST_AFTER_S: Final = 3.0
"""A call unread for longer is not counted: it may have been lost with its connection."""

MAX_HELD_CALLS: Final = 256
"""Bound on the calls held at an entry; further calls are refused."""

CHECK_INTERVAL_S: Final = 0.1
"""Interval at which a held call checks for another leader and for lost calls."""


class CallWindow:
    """The unread calls of one entry at the leader that it follows.

    :ivar limit: current size of the window, in calls.
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
        """Number of calls held at this entry."""
        return len(self._submissions) + len(self._queries)

    def overtaken(self, number: int) -> bool:
        """Whether the leader has read a call sent after this one and is not congested."""
        sent_at = self._unread.get(number, math.inf)
        return not self._congested and sent_at < self._newest_read_sent_at

    async def acquire(
        self, number: int, epoch: Callable[[], int], until: float, submits: bool
    ) -> bool:
        """Wait until a call may be sent; ``False`` if it must not be sent.

        Calls are refused at once if :data:`MAX_HELD_CALLS` are held; queries also if a window of
        minimum size is full.

        :param epoch: returns the epoch of the followed leader.
        :param until: deadline of the wait.
        :param submits: whether the call is a submission; these precede queries.
        """
        self._refresh(epoch())
        if number in self._unread:
            # The leader merges retries of a queued call.
            return True
        if not self.held and len(self._unread) < self.limit:
            self._unread[number] = now()
            return True
        if self.held >= MAX_HELD_CALLS or (self.limit <= MIN_WINDOW and not submits):
            return False
        queue = self._submissions if submits else self._queries
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append((number, fut))
        admitted = False
        try:
            while not fut.done() and now() < until:
                await asyncio.wait({fut}, timeout=max(0.001, min(CHECK_INTERVAL_S, until - now())))
                self._refresh(epoch())
            admitted = fut.done()
            return admitted
        finally:
            if not fut.done():
                queue.remove((number, fut))
            elif not admitted:
                # The task was cancelled between its admission and its wakeup.
                self.release(number)

    def release(self, number: int) -> None:
        """Release the slot of a call that was not sent."""
        self._unread.pop(number, None)
        self._admit()

    def read(self, number: int, epoch: int) -> None:
        """Record that the leader of ``epoch`` has read a call."""
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
        """Reset the window if the epoch has changed; then handle late and lost calls."""
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
        """Halve the limit, at most once per :data:`LATE_AFTER_S`."""
        if now() - self._shrunk_at >= LATE_AFTER_S:
            self._shrunk_at = now()
            self.limit = max(MIN_WINDOW, self.limit // 2)
            self._log_congestion()

    def _log_congestion(self) -> None:
        """Log the start and the end of congestion."""
        if not self._congested and self.limit == MIN_WINDOW:
            self._congested = True
            log_event("WARNING", "calls_unread", unread=len(self._unread), held=self.held)
        elif self._congested and self.limit >= MAX_WINDOW // 2:
            self._congested = False
            log_event("INFO", "calls_read", epoch=self._epoch)

    def _admit(self) -> None:
        while self.held and len(self._unread) < self.limit:
            queue = self._submissions or self._queries
            number, fut = queue.popleft()
            if not fut.done():
                self._unread[number] = now()
                fut.set_result(None)
