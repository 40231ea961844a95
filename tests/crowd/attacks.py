"""What hostile clients send, and a crowd of them.

A client sends its pieces until the server closes the connection or accepts nothing more for
:data:`STALL_TIMEOUT_S`, and then keeps the connection open.
"""

import asyncio
import contextlib
import itertools
import socket
import zlib
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import dataclass
from typing import Final

STALL_TIMEOUT_S: Final = 3.0
CROWD_TIMEOUT_S: Final = 45.0
"""Time after which the crowd stops sending."""

PIECE_BYTES: Final = 65_536
BODY_BYTES: Final = 1_048_576
"""Largest body that every server accepts by default."""

ENDLESS_BYTES: Final = 2 * BODY_BYTES
"""Amount after which a client stops sending what has no end."""

SMALL_CHUNKS: Final = 700_000
FIELDS: Final = 500
FIELD_BYTES: Final = 8_000
SMALL_FIELDS: Final = 60_000
UNPACKED_BYTES: Final = 16 * BODY_BYTES
PIPELINED_REQUESTS: Final = 20_000
TRICKLED_BYTES: Final = 40
TRICKLE_INTERVAL_S: Final = 0.05

Pieces = Iterator[bytes]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A listening socket, and an ordinary request to it.

    :ivar method: method of a request with a body that the server reads.
    :ivar path: path of the same request.
    :ivar query: path of a request without a body.
    """

    host: str
    port: int
    method: str
    path: str
    query: str
    host_name: str = "queues.example"

    def head(self, *fields: str, path: str = "") -> bytes:
        """Return the head of a request with a body."""
        lines = [f"{self.method} {path or self.path} HTTP/1.1", f"Host: {self.host_name}", *fields]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def query_head(self) -> bytes:
        """Return a request without a body."""
        return f"GET {self.query} HTTP/1.1\r\nHost: {self.host_name}\r\n\r\n".encode()


@dataclass(frozen=True, slots=True)
class Attack:
    """A kind of hostile client.

    :ivar pieces: what one client sends.
    :ivar clients: size of the crowd.
    :ivar interval_s: pause of a client between two pieces.
    :ivar reads: whether clients read responses.
    :ivar half_close: whether clients shut down their sending side at the end.
    """

    pieces: Callable[[Endpoint], Pieces]
    clients: int
    interval_s: float = 0.0
    reads: bool = False
    half_close: bool = False


def _cut(data: bytes) -> Pieces:
    return (data[at : at + PIECE_BYTES] for at in range(0, len(data), PIECE_BYTES))


def nothing(_: Endpoint) -> Pieces:
    """Send nothing."""
    return iter(())


def many_large_fields(endpoint: Endpoint) -> Pieces:
    """Send a head of many fields, each below the limit of one field."""
    yield endpoint.head()[:-2]
    for number in range(FIELDS):
        yield f"X-{number}: ".encode() + b"a" * FIELD_BYTES + b"\r\n"
    yield b"\r\n"


def many_small_fields(endpoint: Endpoint) -> Pieces:
    """Send a head of very many short fields without its end."""
    yield endpoint.head()[:-2]
    yield from _cut(b"".join(b"A%d: 1\r\n" % number for number in range(SMALL_FIELDS)))


def line_without_end(endpoint: Endpoint) -> Pieces:
    """Send a field whose line does not end."""
    yield endpoint.head()[:-2] + b"X: "
    yield from itertools.repeat(b"a" * PIECE_BYTES, ENDLESS_BYTES // PIECE_BYTES)


def empty_lines(_: Endpoint) -> Pieces:
    """Send empty lines before a request that never comes."""
    yield from itertools.repeat(b"\r\n" * (PIECE_BYTES // 2), ENDLESS_BYTES // PIECE_BYTES)


def half_head(endpoint: Endpoint) -> Pieces:
    """Send a head without its last empty line."""
    yield endpoint.head()[:-2]


def body_short(endpoint: Endpoint) -> Pieces:
    """Send a body of legal size without its last byte."""
    yield endpoint.head(f"Content-Length: {BODY_BYTES}")
    yield from _cut(b" " * (BODY_BYTES - 1))


def body_announced(endpoint: Endpoint) -> Pieces:
    """Announce a body, ask for the permission to send it, and send nothing."""
    yield endpoint.head(f"Content-Length: {BODY_BYTES}", "Expect: 100-continue")


def body_trickled(endpoint: Endpoint) -> Pieces:
    """Send a body one byte at a time."""
    yield endpoint.head(f"Content-Length: {BODY_BYTES}")
    yield from itertools.repeat(b" ", TRICKLED_BYTES)


def large_chunks(endpoint: Endpoint) -> Pieces:
    """Send a chunked body of legal size in large chunks without its end."""
    yield endpoint.head("Transfer-Encoding: chunked")
    chunk = b"%x\r\n" % PIECE_BYTES + b" " * PIECE_BYTES + b"\r\n"
    yield from itertools.repeat(chunk, BODY_BYTES // PIECE_BYTES - 1)
    yield chunk[:-3]


def small_chunks(endpoint: Endpoint) -> Pieces:
    """Send a chunked body of legal size in chunks of one byte without its end."""
    yield endpoint.head("Transfer-Encoding: chunked")
    yield from _cut(b"1\r\n \r\n" * SMALL_CHUNKS)


def compressed(endpoint: Endpoint) -> Pieces:
    """Send a small body that unpacks to a very large one."""
    body = zlib.compress(bytes(UNPACKED_BYTES), 9)
    yield endpoint.head("Content-Encoding: deflate", f"Content-Length: {len(body)}")
    yield body


def pipelined(endpoint: Endpoint) -> Pieces:
    """Send many requests without waiting for their responses."""
    yield from _cut(endpoint.query_head() * PIPELINED_REQUESTS)


ATTACKS: Final = {
    "many_large_fields": Attack(many_large_fields, 80),
    "many_small_fields": Attack(many_small_fields, 80),
    "line_without_end": Attack(line_without_end, 200),
    "body_short": Attack(body_short, 130),
    "body_short_half_closed": Attack(body_short, 130, half_close=True),
    "large_chunks": Attack(large_chunks, 130),
    "small_chunks": Attack(small_chunks, 50),
    "compressed": Attack(compressed, 100),
    "pipelined": Attack(pipelined, 50, reads=True),
    "responses_unread": Attack(pipelined, 50),
}
"""Crowds that need memory."""

HELD_OPEN: Final = {
    "idle": Attack(nothing, 300),
    "empty_lines": Attack(empty_lines, 300),
    "half_head": Attack(half_head, 300),
    "body_announced": Attack(body_announced, 300),
    "body_trickled": Attack(body_trickled, 300, interval_s=TRICKLE_INTERVAL_S),
}
"""Crowds that need descriptors."""


@contextlib.asynccontextmanager
async def crowd(attack: Attack, endpoint: Endpoint) -> AsyncIterator[None]:
    """Connect all clients, let them send, and keep their connections open within the context."""
    with contextlib.ExitStack() as opened:
        socks = [opened.enter_context(socket.socket()) for _ in range(attack.clients)]
        for sock in socks:
            sock.setblocking(False)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CROWD_TIMEOUT_S):
                await asyncio.gather(*(_attack(sock, attack, endpoint) for sock in socks))
        yield


async def _attack(sock: socket.socket, attack: Attack, endpoint: Endpoint) -> None:
    loop = asyncio.get_running_loop()
    reading: asyncio.Task[None] | None = None
    try:
        async with asyncio.timeout(STALL_TIMEOUT_S):
            await loop.sock_connect(sock, (endpoint.host, endpoint.port))
        if attack.reads:
            reading = asyncio.create_task(_discard(sock))
        for piece in attack.pieces(endpoint):
            async with asyncio.timeout(STALL_TIMEOUT_S):
                await loop.sock_sendall(sock, piece)
            await asyncio.sleep(attack.interval_s)
        if attack.half_close:
            sock.shutdown(socket.SHUT_WR)
    except (OSError, TimeoutError):
        # The server has closed the connection or stopped reading.
        return
    finally:
        if reading is not None:
            reading.cancel()


async def _discard(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while await loop.sock_recv(sock, PIECE_BYTES):
            pass
