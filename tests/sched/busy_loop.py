"""An event loop with simulated processor time, and a transport with many connections."""

import asyncio
import selectors
from collections import deque
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sapphirelead.node_messages import AnyNodeMessage

IDLE_S = 3600.0

Arrival = tuple[float, bytes, AnyNodeMessage]


class _TimeSkippingSelector(selectors.SelectSelector):
    """Advances the loop's clock to the next timer instead of waiting."""

    def __init__(self, loop: "BusyLoop") -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "all tasks are waiting and no timer is scheduled"
        self.loop.spend(timeout)
        return super().select(0)


class BusyLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only by timer waits and by time that callbacks spend."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(_TimeSkippingSelector(self))

    def time(self) -> float:
        return self._now

    def spend(self, took_s: float) -> None:
        """Advance the clock by processor time of the current callback."""
        self._now += took_s


def run_busy(work: Coroutine[Any, Any, None]) -> None:
    """Run ``work`` on a new :class:`BusyLoop`."""
    with asyncio.Runner(loop_factory=BusyLoop) as runner:
        runner.run(work)


def spend(took_s: float) -> None:
    """Advance the running loop's clock by processor time of the current callback."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, BusyLoop)
    loop.spend(took_s)


@dataclass
class Transport:
    """Returns one message of each connection in turn, as a ROUTER socket does.

    :ivar arrivals: messages to deliver, ordered by time.
    :ivar read_s: processor time to read and decode a message.
    """

    arrivals: deque[Arrival]
    read_s: float
    queues: dict[bytes, deque[AnyNodeMessage]] = field(default_factory=dict)

    async def receive(self) -> list[bytes]:
        """Return the next message; does not suspend if one has arrived."""
        loop = asyncio.get_running_loop()
        self.enqueue_arrived(loop.time())
        while not self.queues:
            next_at = self.arrivals[0][0] if self.arrivals else loop.time() + IDLE_S
            await asyncio.sleep(max(0.0, next_at - loop.time()))
            self.enqueue_arrived(loop.time())
        identity = next(iter(self.queues))
        queue = self.queues.pop(identity)
        message = queue.popleft()
        if queue:
            self.queues[identity] = queue
        spend(self.read_s)
        return [identity, msgspec.msgpack.encode(message)]

    def enqueue_arrived(self, at: float) -> None:
        """Queue the messages that have arrived by time ``at``, by connection."""
        while self.arrivals and self.arrivals[0][0] <= at:
            _, identity, message = self.arrivals.popleft()
            self.queues.setdefault(identity, deque()).append(message)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())
