"""Takes messages off a hub's transport and works on them in the order of the inbox.

The two are apart: what has arrived is read and decoded, which is cheap, before more than a few
messages are worked on.  Only then is it known which of them is urgent.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Final

from sapphirelead.background import spawn
from sapphirelead.clock import now
from sapphirelead.metrics import Metrics
from sapphirelead.node_codec import decode_node, message_kind
from sapphirelead.node_hub_meter import HubMeter
from sapphirelead.node_inbox import Inbox
from sapphirelead.node_messages import AnyNodeMessage

MAX_BATCH: Final = 10
"""Messages worked on before the rest of the process gets its turn.  Taking one that has arrived
never waits, so that a backlog would keep the loop."""

MAX_READ_BATCH: Final = 100
"""Messages read and decoded before the rest of the process gets its turn."""

MAX_BATCH_S: Final = 0.01
"""Time after which a turn ends in any case, on a slow processor turns have fewer messages."""

HubHandler = Callable[[bytes, AnyNodeMessage], None]

Receive = Callable[[], Awaitable[list[bytes]]]
"""Waits for the next message: the identity of its sender, and its frame."""


class LoopYielder:
    """Lets a reader of messages give way to the rest of the process."""

    _max_messages: int
    _max_s: float
    _taken: int
    _began_at: float

    def __init__(self, max_messages: int = MAX_BATCH, max_s: float = math.inf) -> None:
        """Begin the first turn.

        :param max_messages: messages of a turn.
        :param max_s: time from the end of the first of them after which the turn ends in any
            case.
        """
        self._max_messages = max_messages
        self._max_s = max_s
        self._taken = 0
        self._began_at = 0.0

    async def took(self) -> float:
        """Count a message; at the end of a turn, wait for one turn of the loop.

        :return: how long that took, in seconds; 0 where the reader may go on.
        """
        at = now()
        if not self._taken:
            self._began_at = at
        self._taken += 1
        if self._taken < self._max_messages and at - self._began_at < self._max_s:
            return 0.0
        self._taken = 0
        await asyncio.sleep(0)
        return now() - at


class Intake:
    """The two tasks of a hub: one reads, the other works.

    :ivar inbox: what has been read and waits.
    """

    inbox: Inbox
    _receive: Receive
    _handler: HubHandler
    _meter: HubMeter
    _arrived: asyncio.Event
    _tasks: list["asyncio.Task[None]"]

    def __init__(
        self, receive: Receive, handler: HubHandler, query_timeout_s: float, metrics: Metrics
    ) -> None:
        """Set the intake up.

        :param receive: takes a message off the transport.
        :param query_timeout_s: how long the caller of a question waits at most.
        """
        self._receive = receive
        self._handler = handler
        self.inbox = Inbox(query_timeout_s)
        self._meter = HubMeter(metrics, self.inbox, now())
        self._arrived = asyncio.Event()
        self._tasks = []

    def start(self) -> None:
        """Start to read and to work."""
        self._tasks = [spawn(self._read(), "hub"), spawn(self._work(), "hub-work")]

    async def stop(self) -> None:
        """Stop; what waits is dropped."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _read(self) -> None:
        turns = LoopYielder(MAX_READ_BATCH, MAX_BATCH_S)
        while True:
            identity, frame = await self._receive()
            message = decode_node(frame, identity.decode(errors="replace"))
            if message is not None:
                self.inbox.put(identity, message, now())
                self._arrived.set()
            await turns.took()

    async def _work(self) -> None:
        turns = LoopYielder(MAX_BATCH, MAX_BATCH_S)
        while True:
            at = now()
            item = self.inbox.take(at)
            if item is None:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            self._meter.took(message_kind(item.message), at - item.arrived_at)
            self._handler(item.identity, item.message)
            turn_s = await turns.took()
            if turn_s:
                self._meter.turned(turn_s)
            self._meter.look(now())
