"""A bounded number of calls at once, of which those that have been tried least go first."""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count


class Slots:
    """Slots for calls.

    Repeats of calls that get no answer would else keep every slot, and delay the first try of a
    call that would be answered at once.
    """

    _free: int
    _waiting: list[tuple[int, int, "asyncio.Future[None]"]]
    _sequence: "count[int]"

    def __init__(self, max_concurrent: int) -> None:
        """Make all slots free.

        :param max_concurrent: calls at once.
        """
        self._free = max_concurrent
        self._waiting = []
        self._sequence = count()

    @asynccontextmanager
    async def slot(self, tries: int) -> AsyncIterator[None]:
        """Wait for a slot and hold it.

        :param tries: how often the call has been tried; among equals the order is that of waiting.
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
                # The slot was handed over just before.
                self._leave()
            raise

    def _leave(self) -> None:
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(None)
                return
        self._free += 1
