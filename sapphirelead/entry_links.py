"""ZeroMQ sockets of an entry: three ROUTERs for agents and one DEALER for each peer entry.

One task reads each router.  The control channel is read in batches with a delay between them, which
bounds the number of wake-ups; sending is not delayed.  Data and bulk are read without delay.

Routes are taken from received messages: an agent identifies each of its connections as
``instance|incarnation|channel|n`` and increments ``n`` when it replaces one.

Invariants:

- A message to an incarnation goes to its connection with the highest ``n``.
- The current incarnation is the one last passed to :meth:`EntryLinks.set_current`, or the first
  one seen.
- Undecodable frames and failing handlers are counted and logged; neither stops the reader.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import zmq
import zmq.asyncio
from result import Err
from zmq.auth.asyncio import AsyncioAuthenticator

from sapphirelead.entry_ports import Channel, Stamp
from sapphirelead.keys import Keys, start_authenticator
from sapphirelead.logs import log_event
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_codec import decode, encode
from sapphirelead.wire_messages import AnyMessage, ChannelHello
from sapphirelead.wire_sockets import bind_router, connect_dealer, make_context, send_frame

POLLIN: Final = int(zmq.POLLIN)
CONTROL_BATCH_DELAY_S: Final = 0.02
MAX_BATCH_MESSAGES: Final = 512
MAX_ROUTED_INCARNATIONS: Final = 3

ChannelListener = Callable[[str, str, Channel], None]


@dataclass(frozen=True, slots=True)
class Identity:
    """The parts of an agent's routing identity.

    >>> Identity.parse(b"i1|a7|data|2")
    Identity(instance='i1', incarnation='a7', channel=<Channel.DATA: 'data'>, number=2)
    >>> Identity.parse(b"anything else") is None
    True
    """

    instance: str
    incarnation: str
    channel: Channel
    number: int

    @classmethod
    def parse(cls, raw: bytes) -> "Identity | None":
        """Parse a routing identity; ``None`` if ``raw`` is not one of an agent."""
        try:
            instance, incarnation, channel, number = raw.decode().split("|")
            return cls(instance, incarnation, Channel(channel), int(number))
        except ValueError:
            return None


@dataclass(slots=True)
class LinkCounters:
    """Counters of the sockets since start."""

    received: dict[str, int] = field(default_factory=dict)
    sent: int = 0
    unsent: int = 0
    undecodable: int = 0
    handler_errors: int = 0
    bytes_received: int = 0
    bytes_sent: int = 0
    control_bytes_received: int = 0
    control_bytes_sent: int = 0


class _Router:
    """One bound ROUTER socket, read in batches when its descriptor becomes readable.

    The descriptor is edge-triggered, and any call on the socket clears the edge.  A send could thus
    hide an arrived message from the reader, so each send checks for input and wakes the reader.
    """

    _sock: zmq.asyncio.Socket
    _raw: zmq.Socket[bytes]
    _readable: asyncio.Event

    def __init__(self, sock: zmq.asyncio.Socket) -> None:
        self._sock = sock
        self._raw = zmq.Socket.shadow(sock.underlying)
        self._readable = asyncio.Event()
        self._readable.set()

    async def receive(self) -> list[list[bytes]]:
        """Wait for input; return 1 to ``MAX_BATCH_MESSAGES`` messages."""
        loop = asyncio.get_running_loop()
        while True:
            if not self._readable.is_set():
                loop.add_reader(self._raw.FD, self._on_readable)
                self._wake_if_readable()
                await self._readable.wait()
            self._readable.clear()
            if frames := self._drain():
                return frames

    def _on_readable(self) -> None:
        """Wake the reader and stop watching the descriptor until the socket is drained.

        The descriptor stays readable until then, and the event loop would spin during the delay
        between two batches.
        """
        asyncio.get_running_loop().remove_reader(self._raw.FD)
        self._readable.set()

    def _wake_if_readable(self) -> None:
        if int(self._raw.getsockopt(zmq.EVENTS)) & POLLIN:
            self._readable.set()

    def _drain(self) -> list[list[bytes]]:
        frames: list[list[bytes]] = []
        try:
            while len(frames) < MAX_BATCH_MESSAGES:
                frames.append(self._raw.recv_multipart(zmq.NOBLOCK))
        except zmq.ZMQError:
            return frames
        self._readable.set()
        return frames

    def send(self, identity: bytes, frame: bytes) -> bool:
        """Send without blocking; ``False`` guarantees that nothing was sent."""
        try:
            self._raw.send_multipart([identity, frame], zmq.NOBLOCK, copy=True)
        except zmq.ZMQError:
            return False
        finally:
            self._wake_if_readable()
        return True

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self._raw.FD)
        self._sock.close()


@dataclass(slots=True)
class _Route:
    number: int
    identity: bytes


class EntryLinks:
    """Implements :class:`~sapphirelead.entry_ports.Links` on ZeroMQ.

    :ivar ports: bound port of each channel, once started.
    """

    ports: dict[Channel, int]
    counters: LinkCounters
    _settings: EntrySettings
    _stamp: Stamp
    _ctx: zmq.asyncio.Context
    _keys: Keys | None
    _authenticator: AsyncioAuthenticator | None
    _handlers: dict[type[AnyMessage], list[Callable[[Any], None]]]
    _channel_listeners: list[ChannelListener]
    _routers: dict[Channel, _Router]
    _routes: dict[str, dict[str, dict[Channel, _Route]]]
    _current: dict[str, str]
    _peers: dict[str, tuple[str, zmq.asyncio.Socket]]
    _peer_number: int
    _tasks: list[asyncio.Task[None]]
    _config_version: Callable[[], int]

    def __init__(
        self, settings: EntrySettings, stamp: Stamp, ctx: zmq.asyncio.Context, keys: Keys | None
    ) -> None:
        self.ports = {}
        self.counters = LinkCounters()
        self._settings = settings
        self._stamp = stamp
        self._ctx = ctx
        self._keys = keys
        self._authenticator = None
        self._handlers = {}
        self._channel_listeners = []
        self._routers = {}
        self._routes = {}
        self._current = {}
        self._peers = {}
        self._peer_number = 0
        self._tasks = []
        self._config_version = lambda: 0

    @classmethod
    def from_settings(
        cls, settings: EntrySettings, stamp: Stamp, keys: Keys | None = None
    ) -> "EntryLinks":
        """Return links that :meth:`start` binds, encrypted if there are keys."""
        return cls(settings, stamp, make_context(), keys)

    def use_config_version(self, version: Callable[[], int]) -> None:
        """Set the source of the configuration version that hello messages carry."""
        self._config_version = version

    async def start(self) -> None:
        """Bind the three routers and start reading them."""
        self._authenticator = start_authenticator(self._ctx, self._keys)
        configured = {
            Channel.CONTROL: self._settings.control_port,
            Channel.DATA: self._settings.data_port,
            Channel.BULK: self._settings.bulk_port,
        }
        for channel, port in configured.items():
            host = self._settings.bind_host
            sock, bound = bind_router(self._ctx, host, port, self._keys)
            self._routers[channel] = _Router(sock)
            self.ports[channel] = bound
            self._tasks.append(asyncio.create_task(self._read(channel), name=f"links-{channel}"))

    async def stop(self) -> None:
        """Close every socket."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for router in self._routers.values():
            router.close()
        self.set_peers({})
        self._routers.clear()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._ctx.destroy(linger=0)

    def on(self, kind: type[AnyMessage], handler: Callable[[Any], None]) -> None:
        """Call ``handler`` with each received message of ``kind``."""
        self._handlers.setdefault(kind, []).append(handler)

    def on_channel_change(self, listener: ChannelListener) -> None:
        """Call ``listener(instance, incarnation, channel)`` when an agent replaces a connection."""
        self._channel_listeners.append(listener)

    def set_current(self, instance: str, incarnation: str) -> None:
        """Set the incarnation that :meth:`send` reaches."""
        self._current[instance] = incarnation

    async def send(self, instance: str, channel: Channel, message: AnyMessage) -> bool:
        """Send to the current incarnation; ``False`` guarantees that nothing was sent."""
        return self.send_now(instance, channel, message)

    def send_now(
        self, instance: str, channel: Channel, message: AnyMessage, incarnation: str = ""
    ) -> bool:
        """Send to ``incarnation`` or the current one; ``False`` guarantees nothing was sent."""
        known = self._routes.get(instance, {})
        channels = known.get(incarnation or self._current.get(instance, ""), {})
        route = channels.get(channel)
        router = self._routers.get(channel)
        frame = encode(message)
        sent = route is not None and router is not None and router.send(route.identity, frame)
        self._count_sent(sent, len(frame), channel)
        return sent

    async def send_peer(self, entry: str, message: AnyMessage) -> bool:
        """Send to a peer's control channel; ``False`` guarantees that nothing was sent."""
        peer = self._peers.get(entry)
        frame = encode(message)
        sent = peer is not None and await send_frame(peer[1], frame)
        self._count_sent(sent, len(frame), Channel.CONTROL)
        return sent

    def set_peers(self, peers: dict[str, str]) -> None:
        """Connect to new peers and changed addresses; close connections to removed peers."""
        for entry, (address, sock) in list(self._peers.items()):
            if peers.get(entry) != address:
                sock.close()
                del self._peers[entry]
        for entry, address in peers.items():
            if entry not in self._peers and entry != self._stamp.sender:
                self._peers[entry] = (address, self._connect_peer(address))

    def _connect_peer(self, address: str) -> zmq.asyncio.Socket:
        host, _, port = address.rpartition(":")
        self._peer_number += 1
        identity = f"{self._stamp.sender}|{self._stamp.incarnation}|peer|{self._peer_number}"
        timeout_s = self._settings.lease.silence_seconds
        return connect_dealer(self._ctx, identity, host, int(port), timeout_s, self._keys)

    def _count_sent(self, sent: bool, size: int, channel: Channel) -> None:
        counters = self.counters
        if not sent:
            counters.unsent += 1
            return
        counters.sent += 1
        counters.bytes_sent += size
        if channel is Channel.CONTROL:
            counters.control_bytes_sent += size

    async def _read(self, channel: Channel) -> None:
        router = self._routers[channel]
        delay_s = CONTROL_BATCH_DELAY_S if channel is Channel.CONTROL else 0.0
        while True:
            for frames in await router.receive():
                self._handle_message(channel, frames)
            await asyncio.sleep(delay_s)

    def _handle_message(self, channel: Channel, frames: list[bytes]) -> None:
        if len(frames) != 2:
            self.counters.undecodable += 1
            return
        self.counters.bytes_received += len(frames[1])
        if channel is Channel.CONTROL:
            self.counters.control_bytes_received += len(frames[1])
        match decode(frames[1]):
            case Err(failure):
                self.counters.undecodable += 1
                log_event("WARNING", "frame_undecodable", lane=channel, reason=failure.message)
            case ok:
                self._update_route(channel, frames[0])
                self._dispatch(channel, frames[0], ok.unwrap())

    def _update_route(self, channel: Channel, raw: bytes) -> None:
        known = self._find_route(channel, raw)
        if known is not None and known.identity == raw:
            return
        parsed = Identity.parse(raw)
        if parsed is None or parsed.channel is not channel:
            return
        incarnations = self._routes.setdefault(parsed.instance, {})
        channels = incarnations.setdefault(parsed.incarnation, {})
        old = channels.get(channel)
        if old is not None and old.number >= parsed.number:
            return
        channels[channel] = _Route(parsed.number, raw)
        self._current.setdefault(parsed.instance, parsed.incarnation)
        self._evict_old_incarnations(parsed.instance)
        if old is not None:
            for listener in self._channel_listeners:
                listener(parsed.instance, parsed.incarnation, channel)

    def _find_route(self, channel: Channel, raw: bytes) -> _Route | None:
        instance, _, rest = raw.partition(b"|")
        incarnation = rest.partition(b"|")[0]
        try:
            return self._routes[instance.decode()][incarnation.decode()].get(channel)
        except (KeyError, UnicodeDecodeError):
            return None

    def _evict_old_incarnations(self, instance: str) -> None:
        incarnations = self._routes[instance]
        for incarnation in list(incarnations):
            if len(incarnations) <= MAX_ROUTED_INCARNATIONS:
                return
            if incarnation != self._current.get(instance):
                del incarnations[incarnation]

    def _dispatch(self, channel: Channel, raw: bytes, message: AnyMessage) -> None:
        name = str(message.__struct_config__.tag)
        self.counters.received[name] = self.counters.received.get(name, 0) + 1
        if isinstance(message, ChannelHello):
            self._reply_hello(channel, raw)
        for handler in self._handlers.get(type(message), ()):
            # A handler that raises on one message must not stop the channel for all instances.
            try:
                handler(message)
            except Exception as exc:
                self.counters.handler_errors += 1
                log_event("ERROR", "handler_failed", message=name, error=repr(exc))

    def _reply_hello(self, channel: Channel, raw: bytes) -> None:
        hello = ChannelHello(
            **self._stamp.head(self._config_version()),
            channel=channel.value,
        )
        with contextlib.suppress(KeyError):
            self._routers[channel].send(raw, encode(hello))
