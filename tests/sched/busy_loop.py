"""A loop on which processor time is simulated, and a transport with many connections."""

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
    """Passes the time to the next timer at once."""

    def __init__(self, loop: "BusyLoop") -> None:
        super().__init__()
        self.loop = loop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "everything waits, and no timer runs"
        self.loop.spend(timeout)
        return super().select(0)


class BusyLoop(asyncio.SelectorEventLoop):
    """A loop whose clock moves by what its timers wait and by what its callbacks spend."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(_TimeSkippingSelector(self))

    def time(self) -> float:
        return self._now

    def spend(self, took_s: float) -> None:
        """Let the callback that runs have taken so much time."""
        self._now += took_s


def run_busy(work: Coroutine[Any, Any, None]) -> None:
    """Run ``work`` on a loop of its own."""
    with asyncio.Runner(loop_factory=BusyLoop) as runner:
        runner.run(work)


def spend(took_s: float) -> None:
    """Let the callback that runs have taken so much time."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, BusyLoop)
    loop.spend(took_s)


@dataclass
class Transport:
    """Takes one message of each connection in turn, as a router does.

    :ivar arrivals: what arrives, by time.
    :ivar read_s: processor time to read and decode a message.
    """

    arrivals: deque[Arrival]
    read_s: float
    queues: dict[bytes, deque[AnyNodeMessage]] = field(default_factory=dict)

    async def receive(self) -> list[bytes]:
        """Return the next message; a message that has arrived is returned without a wait."""
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
        """Put what has arrived by time ``at`` into the queue of its connection."""
        while self.arrivals and self.arrivals[0][0] <= at:
            _, identity, message = self.arrivals.popleft()
            self.queues.setdefault(identity, deque()).append(message)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())
