"""ZeroMQ links between the processes of a fleet: a router socket per entry, a dealer per peer.

Each entry binds a hub.  Agents and other entries connect to it under their own identity, to which
the hub replies.  Transport heartbeats detect unresponsive connections
(:mod:`sapphirelead.wire_sockets`).  A message that cannot be handed to a live connection is dropped
and reported to the caller; senders repeat every message until it has taken effect.
"""

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import Final, cast

import zmq
import zmq.asyncio

from sapphirelead.background import spawn
from sapphirelead.clock import now
from sapphirelead.keys import Keys
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_codec import decode_node, encode_node
from sapphirelead.node_intake import HubHandler, Intake, LoopYielder
from sapphirelead.node_messages import AnyNodeMessage, EntryAddress
from sapphirelead.wire_sockets import bind_router, connect_dealer

LINK_TIMEOUT_S: Final = 1.5
"""A connection without traffic for longer is closed and reopened."""

MAX_MESSAGE_BYTES: Final = 2 * 1024 * 1024
"""Largest message that a hub accepts, some four times a report of 5,000 runs."""

LinkHandler = Callable[[AnyNodeMessage], None]


def _send_now(sock: zmq.asyncio.Socket, parts: list[bytes]) -> bool:
    """Send without waiting; ``False`` guarantees that the message was not sent.

    Uses the asynchronous send, which wakes up the reader: ZeroMQ signals readable sockets on state
    changes only, and a synchronous send consumes that signal and leaves received messages unread.
    """
    fut = cast("asyncio.Future[None]", sock.send_multipart(parts, flags=zmq.NOBLOCK))
    return fut.done() and fut.exception() is None


class Hub:
    """The listening end of links: a router socket and its intake."""

    _sock: zmq.asyncio.Socket
    _intake: Intake

    def __init__(
        self,
        ctx: zmq.asyncio.Context,
        host: str,
        port: int,
        handler: HubHandler,
        keys: Keys | None = None,
        metrics: Metrics | None = None,
        query_timeout_s: float = math.inf,
    ) -> None:
        """Bind the hub.

        :param query_timeout_s: maximum time that the caller of a query waits.
        """
        self._sock, self.port = bind_router(ctx, host, port, keys, MAX_MESSAGE_BYTES)
        self._intake = Intake(
            self._sock.recv_multipart, handler, query_timeout_s, metrics or Metrics()
        )

    def start(self) -> None:
        """Start receiving."""
        self._intake.start()

    def send(self, identity: bytes, message: AnyNodeMessage) -> bool:
        """Send to a connected peer; ``False`` guarantees that the message was not sent."""
        return _send_now(self._sock, [identity, encode_node(message)])

    def may_arrive(self, job_id: str) -> bool:
        """Whether a submission of the job is queued, or was dropped and may be retried."""
        return self._intake.inbox.may_arrive(job_id, now())

    async def stop(self) -> None:
        """Stop receiving and close the socket."""
        await self._intake.stop()
        self._sock.close(linger=200)


class Link:
    """The connecting end of a link to one entry's hub."""

    address: EntryAddress
    _sock: zmq.asyncio.Socket
    _handler: LinkHandler
    _task: "asyncio.Task[None]"

    def __init__(
        self,
        ctx: zmq.asyncio.Context,
        identity: str,
        address: EntryAddress,
        handler: LinkHandler,
        keys: Keys | None = None,
    ) -> None:
        self.address = address
        self._sock = connect_dealer(ctx, identity, address.host, address.port, LINK_TIMEOUT_S, keys)
        self._handler = handler
        self._task = spawn(self._receive(), f"link-{address.name}")

    def send(self, message: AnyNodeMessage) -> bool:
        """Send to the peer; ``False`` guarantees that the message was not sent."""
        return _send_now(self._sock, [encode_node(message)])

    async def _receive(self) -> None:
        yielder = LoopYielder()
        while True:
            frame = await self._sock.recv()
            message = decode_node(frame, self.address.name)
            if message is not None:
                self._handler(message)
            await yielder.count_message()

    async def stop(self) -> None:
        """Stop receiving and close the socket."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._sock.close(linger=200)


class Links:
    """One link to each entry of a changing list."""

    _ctx: zmq.asyncio.Context
    _identity: str
    _own: str
    _handler: Callable[[str, AnyNodeMessage], None]
    _keys: Keys | None
    _links: dict[str, Link]
    _closing: set["asyncio.Task[None]"]

    def __init__(
        self,
        ctx: zmq.asyncio.Context,
        own: str,
        identity: str,
        handler: Callable[[str, AnyNodeMessage], None],
        keys: Keys | None = None,
    ) -> None:
        self._ctx = ctx
        self._own = own
        self._identity = identity
        self._handler = handler
        self._keys = keys
        self._links = {}
        self._closing = set()

    def set_entries(self, entries: list[EntryAddress]) -> None:
        """Connect to ``entries`` except this process, and disconnect from all others."""
        wanted = {entry.name: entry for entry in entries if entry.name != self._own}
        for name, link in list(self._links.items()):
            if wanted.get(name) != link.address:
                del self._links[name]
                task = asyncio.create_task(link.stop())
                self._closing.add(task)
                task.add_done_callback(self._closing.discard)
        for name, entry in wanted.items():
            if name not in self._links:
                handler = partial(self._handler, name)
                try:
                    self._links[name] = Link(self._ctx, self._identity, entry, handler, self._keys)
                except zmq.ZMQError as exc:
                    # An invalid address in one entry's row must not affect the other links.
                    log_event("ERROR", "entry_address_refused", name=name, reason=str(exc))

    def names(self) -> list[str]:
        """Return the names of the linked entries."""
        return list(self._links)

    def send(self, name: str, message: AnyNodeMessage) -> bool:
        """Send to one entry; ``False`` guarantees that the message was not sent."""
        link = self._links.get(name)
        return link is not None and link.send(message)

    def send_all(self, message: AnyNodeMessage) -> None:
        """Send to every entry."""
        for link in self._links.values():
            link.send(message)

    async def stop(self) -> None:
        """Close all links."""
        await asyncio.gather(*(link.stop() for link in self._links.values()))
        await asyncio.gather(*self._closing, return_exceptions=True)
