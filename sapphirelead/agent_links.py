"""The agent's connections: three lanes to each entry in its settings.

Each :class:`EntryLink` has one ZeroMQ dealer per lane, with the identity
``instance|incarnation|channel|number``.  The number grows with each connection, so that the
entry can tell the newest one.

The entry acknowledges each heartbeat on the control lane and each hello on
the others; a link that received nothing over one lane for ``silence_seconds`` is reconnected.  This
detects connections that stay open but carry no data.

Invariant: no socket outlives the incarnation in its identity.  Acknowledgements do not name the
agent's incarnation, so a late one must not reach the next incarnation.
"""

import asyncio
from collections import Counter
from typing import Final

import zmq
import zmq.asyncio
from result import Err, Ok

from sapphirelead.agent_ports import Handler, Sender
from sapphirelead.background import Background
from sapphirelead.clock import now
from sapphirelead.entry_ports import Channel
from sapphirelead.keys import Keys
from sapphirelead.logs import log_event
from sapphirelead.settings import AgentSettings, EntryAddress
from sapphirelead.wire_codec import decode
from sapphirelead.wire_messages import AnyMessage, ChannelHello, HeartbeatAck
from sapphirelead.wire_sockets import connect_dealer, send

MAX_BATCH_FRAMES: Final = 256
CONTROL_BATCH_DELAY_S: Final = 0.002
LINGER_MS: Final = 1_000
UNROUTED_HELLOS_PER_TIMEOUT: Final = 30
_NEVER: Final = float("-inf")


class EntryLink:
    """The three lanes to one entry."""

    _ctx: zmq.asyncio.Context
    _keys: Keys | None
    _address: EntryAddress
    _sender: Sender
    _timeout_s: float
    _connection_number: int
    _sockets: dict[Channel, zmq.asyncio.Socket]
    _received_at: dict[Channel, float]
    _active_channels: set[Channel]
    _acked_at: float
    _peer_incarnation: str

    def __init__(
        self,
        ctx: zmq.asyncio.Context,
        address: EntryAddress,
        sender: Sender,
        timeout_s: float,
        keys: Keys | None,
    ) -> None:
        self._ctx = ctx
        self._keys = keys
        self._address = address
        self._sender = sender
        self._timeout_s = timeout_s
        self._connection_number = 0
        self._sockets = {}
        self._received_at = {}
        self._active_channels = set()
        self._acked_at = _NEVER
        self._peer_incarnation = ""

    @property
    def acknowledged(self) -> bool:
        """Whether the current connection carried a heartbeat acknowledgement within the timeout."""
        return now() - self._acked_at <= self._timeout_s

    @property
    def routed(self) -> bool:
        """Whether something was received over every lane of the current connection."""
        return len(self._active_channels) == len(Channel)

    def announce_due(self, ack_timeout_s: float) -> bool:
        """Return whether the entry acknowledged no heartbeat within ``ack_timeout_s``."""
        return now() - self._acked_at > ack_timeout_s

    def record_ack(self, peer_incarnation: str) -> None:
        """Record an acknowledged heartbeat.

        If the entry's incarnation has changed, it was restarted and does not know the agent, so the
        acknowledgement is discarded and the agent announces itself again.

        :param peer_incarnation: the entry's incarnation, named in the acknowledgement.
        """
        known = self._peer_incarnation in ("", peer_incarnation)
        self._peer_incarnation = peer_incarnation
        self._acked_at = now() if known else _NEVER

    def open(self) -> dict[Channel, zmq.asyncio.Socket]:
        """Connect every lane under the next connection number and return the sockets."""
        self._connection_number += 1
        self._acked_at = _NEVER
        self._peer_incarnation = ""
        self._active_channels.clear()
        for channel in Channel:
            self._sockets[channel] = self._connect(channel)
            self._received_at[channel] = now()
        return dict(self._sockets)

    def close(self, linger_ms: int = 0) -> None:
        """Close every lane; queued messages are sent for up to ``linger_ms``."""
        for sock in self._sockets.values():
            sock.close(linger=linger_ms)
        self._sockets.clear()

    def record_received(self, channel: Channel) -> None:
        """Record that something was received over ``channel``."""
        self._received_at[channel] = now()
        self._active_channels.add(channel)

    def timed_out(self) -> bool:
        """Return whether nothing was received over one of the lanes within the timeout."""
        return min(self._received_at.values()) + self._timeout_s < now()

    def reset_timeouts(self) -> None:
        """Restart the timeout of every lane."""
        self._received_at = dict.fromkeys(self._received_at, now())

    async def send(self, channel: Channel, message: AnyMessage) -> bool:
        """Send over ``channel``; ``False`` means that the message was certainly not sent."""
        sock = self._sockets.get(channel)
        return sock is not None and await send(sock, message)

    def _connect(self, channel: Channel) -> zmq.asyncio.Socket:
        sender, address = self._sender, self._address
        identity = f"{sender.instance}|{sender.incarnation}|{channel}|{self._connection_number}"
        port = {
            Channel.CONTROL: address.control_port,
            Channel.DATA: address.data_port,
            Channel.BULK: address.bulk_port,
        }[channel]
        return connect_dealer(self._ctx, identity, address.host, port, self._timeout_s, self._keys)


class AgentLinks:
    """All links of one agent."""

    _ctx: zmq.asyncio.Context
    _sender: Sender
    _background: Background
    _timeout_s: float
    _max_check_gap_s: float
    _links: list[EntryLink]
    _receivers: list[list[asyncio.Task[None]]]
    _handlers: dict[type, Handler]
    _undecodable: Counter[int]
    _checked_at: float

    def __init__(
        self,
        settings: AgentSettings,
        sender: Sender,
        background: Background,
        keys: Keys | None = None,
    ) -> None:
        self._ctx = zmq.asyncio.Context()
        self._sender = sender
        self._background = background
        self._timeout_s = settings.lease.silence_seconds
        self._max_check_gap_s = settings.lease.beat_interval_seconds + self._timeout_s / 2
        self._links = [
            EntryLink(self._ctx, address, sender, self._timeout_s, keys)
            for address in settings.entries
        ]
        self._receivers = [[] for _ in self._links]
        self._handlers = {}
        self._undecodable = Counter()
        self._checked_at = _NEVER

    @property
    def indexes(self) -> range:
        """Indexes of the links, in the order of the settings."""
        return range(len(self._links))

    def on(self, kind: type[AnyMessage], handler: Handler) -> None:
        """Call ``handler`` with the link's index for each message of ``kind``."""
        self._handlers[kind] = handler

    def announce_due(self, index: int, ack_timeout_s: float) -> bool:
        """Return whether the entry acknowledged no heartbeat within ``ack_timeout_s``."""
        return self._links[index].announce_due(ack_timeout_s)

    def live(self) -> list[int]:
        """Return the indexes of links whose entry acknowledged a heartbeat within the timeout."""
        return [index for index in self.indexes if self._links[index].acknowledged]

    def open(self) -> None:
        """Connect to every entry."""
        self._checked_at = now()
        for index in self.indexes:
            self._open(index)
        self._background.spawn(self._send_hellos(), "lane-hello")

    def reopen(self) -> None:
        """Reconnect every link under the sender's new incarnation."""
        for index in self.indexes:
            self._reopen(index)

    async def close(self) -> None:
        """Close all links; queued messages are sent for up to ``LINGER_MS``."""
        for link in self._links:
            link.close(LINGER_MS)
        await asyncio.to_thread(self._ctx.term)

    async def send(self, index: int, channel: Channel, message: AnyMessage) -> bool:
        """Send to one entry; ``False`` means that the message was certainly not sent."""
        return await self._links[index].send(channel, message)

    async def broadcast(self, message: AnyMessage) -> None:
        """Send over the control lane of every live link."""
        for index in self.live():
            await self._links[index].send(Channel.CONTROL, message)

    def reconnect_unresponsive(self) -> None:
        """Reconnect the links that have timed out.

        If this process was paused since the last check, the timeouts are restarted instead: nothing
        was received because nothing was read.
        """
        paused = now() - self._checked_at > self._max_check_gap_s
        self._checked_at = now()
        for index in self.indexes:
            link = self._links[index]
            if paused:
                link.reset_timeouts()
            elif link.timed_out():
                log_event("WARNING", "entry_silent", link=index)
                self._reopen(index)

    def _open(self, index: int) -> None:
        sockets = self._links[index].open()
        self._receivers[index] = [
            self._background.spawn(
                self._receive(index, channel, sock), f"receive-{index}-{channel}"
            )
            for channel, sock in sockets.items()
        ]

    def _reopen(self, index: int) -> None:
        for task in self._receivers[index]:
            task.cancel()
        self._links[index].close()
        self._open(index)

    async def _receive(self, index: int, channel: Channel, sock: zmq.asyncio.Socket) -> None:
        """Receive from one socket until it is closed.

        Control messages are received in batches with a short delay in between, which bounds the
        wake-ups during a burst; messages on other lanes are handled as they arrive.
        """
        while True:
            frames = [await sock.recv()]
            if channel is Channel.CONTROL:
                frames += await _drain(sock)
            self._links[index].record_received(channel)
            for frame in frames:
                self._dispatch(index, frame)
            if channel is Channel.CONTROL:
                await asyncio.sleep(CONTROL_BATCH_DELAY_S)

    def _dispatch(self, index: int, frame: bytes) -> None:
        match decode(frame):
            case Err(failure):
                self._undecodable[index] += 1
                log_event("WARNING", "frame_undecodable", link=index, reason=failure.message)
            case Ok(message):
                if isinstance(message, HeartbeatAck):
                    self._links[index].record_ack(message.incarnation)
                handler = self._handlers.get(type(message))
                if handler:
                    handler(index, message)

    async def _send_hellos(self) -> None:
        while True:
            for index in self.indexes:
                for channel in (Channel.DATA, Channel.BULK):
                    hello = ChannelHello(channel=channel, **self._sender.head())
                    await self._links[index].send(channel, hello)
            await asyncio.sleep(self._hello_interval())

    def _hello_interval(self) -> float:
        # An entry may have no route to this agent over a lane that it has not replied on.
        unrouted = any(not link.routed for link in self._links)
        return self._timeout_s / (UNROUTED_HELLOS_PER_TIMEOUT if unrouted else 2)


async def _drain(sock: zmq.asyncio.Socket) -> list[bytes]:
    frames: list[bytes] = []
    while len(frames) < MAX_BATCH_FRAMES:
        try:
            frames.append(await sock.recv(flags=zmq.NOBLOCK))
        except zmq.Again:
            break
    return frames
