"""Reads messages from a hub's transport and handles them in the order of the inbox.

Reading and handling are separate tasks, so that arrived messages are decoded and prioritized before
many of them are handled.
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
"""Messages handled before yielding to the event loop, which a backlog would block otherwise."""

MAX_READ_BATCH: Final = 100
"""Messages read and decoded before yielding to the event loop."""

MAX_BATCH_S: Final = 0.01
"""Time limit of a batch, which shortens batches on slow processors."""

MESSAGE_PARTS: Final = 2
"""Parts of a received message: the identity of its sender, and its frame."""

HubHandler = Callable[[bytes, AnyNodeMessage], None]

Receive = Callable[[], Awaitable[list[bytes]]]
"""Waits for the next message and returns the identity of its sender, and its frame."""


class LoopYielder:
    """Yields to the event loop after each batch of messages."""

    _max_messages: int
    _max_s: float
    _taken: int
    _began_at: float

    def __init__(self, max_messages: int = MAX_BATCH, max_s: float = math.inf) -> None:
        """Begin the first batch.

        :param max_messages: largest batch, in messages.
        :param max_s: time after the first message of a batch at which the batch ends in any case.
        """
        self._max_messages = max_messages
        self._max_s = max_s
        self._taken = 0
        self._began_at = 0.0

    async def count_message(self) -> float:
        """Count a message; at the end of a batch, yield for one iteration of the event loop.

        :return: duration of that iteration in seconds; 0 if the batch goes on.
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
    """The two tasks of a hub: one reads messages, the other handles them.

    :ivar inbox: messages that have been read and not handled.
    """

    inbox: Inbox
    _receive: Receive
    _handler: HubHandler
    _metrics: Metrics
    _meter: HubMeter
    _arrived: asyncio.Event
    _tasks: list["asyncio.Task[None]"]

    def __init__(
        self, receive: Receive, handler: HubHandler, query_timeout_s: float, metrics: Metrics
    ) -> None:
        """Create an intake; :meth:`start` starts its tasks.

        :param receive: receives a message from the transport.
        :param query_timeout_s: maximum time that the caller of a query waits.
        """
        self._receive = receive
        self._handler = handler
        self._metrics = metrics
        self.inbox = Inbox(query_timeout_s)
        self._meter = HubMeter(metrics, self.inbox, now())
        self._arrived = asyncio.Event()
        self._tasks = []

    def start(self) -> None:
        """Start reading and handling messages."""
        self._tasks = [
            spawn(self._read_messages(), "hub"),
            spawn(self._handle_messages(), "hub-work"),
        ]

    async def stop(self) -> None:
        """Stop both tasks; queued messages are dropped."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _read_messages(self) -> None:
        yielder = LoopYielder(MAX_READ_BATCH, MAX_BATCH_S)
        while True:
            self._put(await self._receive())
            await yielder.count_message()

    def _put(self, parts: list[bytes]) -> None:
        """Queue a message that consists of its sender's identity and a frame; refuse others."""
        if len(parts) != MESSAGE_PARTS:
            self._metrics.count("hub_refused_total", reason="parts")
            return
        identity, frame = parts
        message = decode_node(frame, identity.decode(errors="replace"))
        if message is None:
            self._metrics.count("hub_refused_total", reason="malformed")
            return
        self.inbox.put(identity, message, now())
        self._arrived.set()

    async def _handle_messages(self) -> None:
        yielder = LoopYielder(MAX_BATCH, MAX_BATCH_S)
        while True:
            at = now()
            item = self.inbox.take(at)
            if item is None:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            self._meter.count_message(message_kind(item.message), at - item.arrived_at)
            self._handler(item.identity, item.message)
            yielded_s = await yielder.count_message()
            if yielded_s:
                self._meter.record_turn(yielded_s)
            self._meter.export_if_due(now())
