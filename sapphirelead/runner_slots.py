"""Limits concurrent calls and admits waiting calls with the fewest tries first."""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count


class Slots:
    """Slots for concurrent calls.

    Ordering by tries keeps retries of unanswered calls from delaying first tries of other calls.
    """

    _free: int
    _waiting: list[tuple[int, int, "asyncio.Future[None]"]]
    _sequence: "count[int]"

    def __init__(self, max_concurrent: int) -> None:
        """Create the slots.

        :param max_concurrent: number of slots.
        """
        self._free = max_concurrent
        self._waiting = []
        self._sequence = count()

    @asynccontextmanager
    async def slot(self, tries: int) -> AsyncIterator[None]:
        """Wait for a slot and hold it.

        :param tries: earlier tries of the call; calls with equal tries are admitted in FIFO order.
        """
        await self._enter(tries)
        try:
            yield
        finally:
            self._leave()

    async def _enter(self, tries: int) -> None:
        if self._free:
            self._free -= 1
            return
        fut = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (tries, next(self._sequence), fut))
        try:
            await fut
        except asyncio.CancelledError:
            if not fut.cancelled():
                # The slot had already been assigned to this call.
                self._leave()
            raise

    def _leave(self) -> None:
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(None)
                return
        self._free += 1
