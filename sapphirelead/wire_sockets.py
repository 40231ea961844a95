"""ZeroMQ sockets: an entry binds a ``ROUTER`` for each channel, an agent connects a ``DEALER``.

- Transport heartbeats (``HEARTBEAT_*``) close unresponsive connections at both ends, and the dealer
  reconnects.  Only the dealer pings; each ping carries the router's timeout (``HEARTBEAT_TTL``).
- A dealer does not queue while disconnected (``IMMEDIATE``), and a router reports an unknown peer
  (``ROUTER_MANDATORY``), so that a failed send proves that the message was not sent.
- A reconnecting peer keeps its identity (``ROUTER_HANDOVER``), so that answers are not routed to
  the old connection.
"""

from typing import Final

import zmq
import zmq.asyncio

from sapphirelead.keys import Keys, secure_client, secure_server
from sapphirelead.wire_codec import encode
from sapphirelead.wire_messages import AnyMessage

HIGH_WATER_MARK: Final = 10_000
PINGS_PER_TIMEOUT: Final = 3
HANDSHAKE_TIMEOUT_MS: Final = 2_000
MIN_RECONNECT_INTERVAL_MS: Final = 100
MAX_RECONNECT_INTERVAL_MS: Final = 1_000
NO_LIMIT: Final = -1


def make_context() -> zmq.asyncio.Context:
    """Return a new context; a process uses one."""
    return zmq.asyncio.Context()


def bind_router(
    ctx: zmq.asyncio.Context,
    host: str,
    port: int,
    keys: Keys | None = None,
    max_message_bytes: int = NO_LIMIT,
) -> tuple[zmq.asyncio.Socket, int]:
    """Bind a router and return it with its port; port 0 selects a free port.

    :param max_message_bytes: a peer that sends a larger frame is disconnected.
    """
    sock = ctx.socket(zmq.ROUTER)
    sock.setsockopt(zmq.MAXMSGSIZE, max_message_bytes)
    sock.setsockopt(zmq.ROUTER_HANDOVER, 1)
    sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
    _set_common(sock)
    secure_server(sock, keys)
    if port:
        sock.bind(f"tcp://{host}:{port}")
        return sock, port
    return sock, sock.bind_to_random_port(f"tcp://{host}")


def connect_dealer(
    ctx: zmq.asyncio.Context,
    identity: str,
    host: str,
    port: int,
    timeout_s: float,
    keys: Keys | None = None,
) -> zmq.asyncio.Socket:
    """Connect a dealer under ``identity``.

    :param timeout_s: time without traffic after which either end closes the connection.
    """
    sock = ctx.socket(zmq.DEALER)
    sock.setsockopt(zmq.IDENTITY, identity.encode())
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_INTERVAL_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
    timeout_ms = int(timeout_s * 1000)
    sock.setsockopt(zmq.HEARTBEAT_IVL, timeout_ms // PINGS_PER_TIMEOUT)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, timeout_ms)
    sock.setsockopt(zmq.HEARTBEAT_TTL, timeout_ms)
    _set_common(sock)
    secure_client(sock, keys)
    sock.connect(f"tcp://{host}:{port}")
    return sock


def _set_common(sock: zmq.asyncio.Socket) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    sock.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)


async def send(sock: zmq.asyncio.Socket, message: AnyMessage) -> bool:
    """Send from a dealer; ``False`` means that the message was not sent."""
    return await send_frame(sock, encode(message))


async def send_frame(sock: zmq.asyncio.Socket, frame: bytes) -> bool:
    """Send an encoded message from a dealer; ``False`` means that it was not sent."""
    try:
        await sock.send(frame, flags=zmq.NOBLOCK)
    except zmq.ZMQError:
        return False
    return True
