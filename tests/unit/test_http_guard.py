"""Tests the limits of HTTP servers through connections."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import pytest
from aiohttp import web
from result import Err

from bench.procs import free_port, wait_until
from sapphirelead.http_guard import HttpGuard
from sapphirelead.http_limits import HttpLimits
from sapphirelead.metrics import Metrics
from sapphirelead.platform.http_server import HttpServer, read_body
from sapphirelead.platform.node_file import Address

HOST = "127.0.0.1"
LIMITS = HttpLimits(memory_bytes=6_000_000, connections=4, probe_connections=4)
BODY_BYTES = 1_048_576
LARGE_BYTES = 32 * BODY_BYTES


class Client:
    """A connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def response(self) -> tuple[int, dict[str, str], bytes]:
        """Return the status, the headers and the body of the next response."""
        async with asyncio.timeout(5):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.splitlines()
            fields = dict(line.split(": ", 1) for line in lines[1:] if line)
            body = await self.reader.readexactly(int(fields.get("Content-Length", "0")))
        return int(lines[0].split()[1]), fields, body

    async def closed(self) -> bool:
        """Whether the server has closed the connection."""
        try:
            async with asyncio.timeout(5):
                await self.reader.read()
        except ConnectionResetError:
            return True
        return self.reader.at_eof()


@dataclass
class Served:
    """A server, and what its handler has seen."""

    port: int
    guard: HttpGuard
    metrics: Metrics
    release: asyncio.Event
    bodies: list[int]

    async def connect(self) -> Client:
        """Return a new connection."""
        return Client(*await asyncio.open_connection(HOST, self.port))

    def refused(self, reason: str) -> float:
        """Return how often a reason was counted."""
        return self.metrics.value("http_refused_total", reason=reason)


@asynccontextmanager
async def serving(limits: HttpLimits = LIMITS) -> AsyncIterator[Served]:
    """Run a server whose handler reads bodies, except at the path ``/ignore``."""
    metrics = Metrics()
    guard = HttpGuard(limits, metrics)
    served = Served(free_port(), guard, metrics, asyncio.Event(), [])

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/ignore":
            return web.Response(status=404)
        found = await read_body(request)
        if isinstance(found, Err):
            return found.err_value
        body = found.ok_value
        served.bodies.append(len(body))
        if request.path == "/wait":
            await served.release.wait()
        if request.path == "/large":
            return web.Response(body=bytes(LARGE_BYTES))
        return web.Response(text=request.path)

    server = HttpServer.for_clients(handle, guard, 0.1)
    await server.start(Address(HOST, served.port))
    try:
        yield served
    finally:
        await server.stop()


def post(path: str, size: int, *fields: str) -> bytes:
    """Return the head of a request with a body."""
    lines = [f"POST {path} HTTP/1.1", "Host: h", f"Content-Length: {size}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def test_requests_are_served_in_turn_on_one_connection() -> None:
    async with serving() as served:
        client = await served.connect()
        for size in (0, 10, 70_000, BODY_BYTES):
            await client.send(post("/a", size) + b"x" * size)
            assert (await client.response())[::2] == (200, b"/a")
        assert served.bodies == [0, 10, 70_000, BODY_BYTES]
        assert served.guard.budget.held == 0


async def test_requests_sent_ahead_are_served_in_order() -> None:
    async with serving() as served:
        client = await served.connect()
        paths = [f"/{number}" for number in range(300)]
        await client.send(b"".join(post(path, 3) + b"abc" for path in paths))
        assert [(await client.response())[2].decode() for _ in paths] == paths


@pytest.mark.parametrize("size", [1, 65_536])
async def test_a_chunked_body_within_the_limits_is_served(size: int) -> None:
    """Guards against limits that reject a legal request on an idle server."""
    async with serving() as served:
        client = await served.connect()
        await client.send(b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
        await client.send(chunk * (BODY_BYTES // size) + b"0\r\n\r\n")
        assert (await client.response())[0] == 200
        assert served.bodies == [BODY_BYTES]
        assert served.guard.budget.held == 0


async def test_a_chunked_body_is_counted_as_it_arrives() -> None:
    """Guards against bodies without a declared length that exceed the limit."""
    async with serving() as served:
        client = await served.connect()
        await client.send(b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        chunk = b"%x\r\n" % BODY_BYTES + b"x" * BODY_BYTES + b"\r\n"
        await client.send(chunk + b"1\r\nx\r\n")
        assert (await client.response())[0] == 413
        assert served.bodies == []


async def test_the_rest_of_a_rejected_body_does_not_end_the_connection() -> None:
    """Guards against counting the rest of a body as the head of the next request."""
    async with serving() as served:
        client = await served.connect()
        await client.send(post("/ignore", 200_000) + b"x" * 1_000)
        assert (await client.response())[0] == 404
        await client.send(b"x" * 199_000 + post("/a", 0))
        assert (await client.response())[0] == 200


async def test_empty_lines_between_requests_are_allowed() -> None:
    async with serving() as served:
        client = await served.connect()
        for _ in range(3):
            await client.send(b"\r\n\r\n" + post("/a", 1) + b"x")
            assert (await client.response())[0] == 200


async def test_requests_sent_ahead_keep_their_empty_lines() -> None:
    """Guards against lines that are lost from a request that was sent ahead in pieces."""
    async with serving() as served:
        client = await served.connect()
        await client.send(post("/wait", 0) + post("/a", 102) + b"x")

        async def begun() -> bool:
            return bool(served.bodies)

        await wait_until("the first request is handled", begun)
        await client.send(b"\r\n" * 50)
        served.release.set()
        assert (await client.response())[0] == 200
        await client.send(b"x")
        assert (await client.response())[0] == 200
        assert served.bodies == [0, 102]


REJECTED = {
    "head": b"GET /a HTTP/1.1\r\nHost: h\r\n" + b"X: 1\r\n" * 10_000,
    "empty_lines": b"\r\n" * 100,
    "head after empty lines": b"\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n" + b"X: 1\r\n" * 10_000,
}


@pytest.mark.parametrize("reason", REJECTED)
async def test_heads_over_the_limits_are_rejected(reason: str) -> None:
    """Guards against heads and empty lines without end."""
    async with serving() as served:
        client = await served.connect()
        await client.send(REJECTED[reason])
        assert await client.closed()
        assert served.refused(reason.partition(" ")[0]) == 1
        assert served.guard.budget.held == 0


async def test_compressed_bodies_are_rejected() -> None:
    """Guards against small bodies that unpack to large ones."""
    async with serving() as served:
        client = await served.connect()
        await client.send(post("/a", 5, "Content-Encoding: gzip") + b"12345")
        status, _, body = await client.response()
        assert (status, "error" in json.loads(body)) == (415, True)
        assert served.bodies == []


async def test_a_stalled_upload_gives_way_with_a_503() -> None:
    """Guards against memory that is held by uploads that never end.

    A stalled upload is answered with 503 and Retry-After, and its handler never sees a body.
    """
    async with serving() as served:
        stalled = [await served.connect() for _ in range(2)]
        for client in stalled:
            await client.send(post("/a", BODY_BYTES) + b"x" * (BODY_BYTES - 1))

        async def held() -> bool:
            return served.guard.budget.held > 2 * BODY_BYTES

        await wait_until("the uploads stall", held)
        others = [await served.connect() for _ in range(2)]
        for client in others:
            await client.send(post("/wait", BODY_BYTES) + b"x" * BODY_BYTES)
        status, fields, _ = await stalled[0].response()
        assert (status, fields["Retry-After"]) == (503, "1")
        served.release.set()
        assert [(await client.response())[0] for client in others] == [200, 200]
        assert served.bodies == [BODY_BYTES] * 2


async def test_a_request_that_does_not_fit_beside_complete_ones_gets_a_503() -> None:
    """Guards against memory beyond the budget while complete requests wait for their responses."""
    async with serving() as served:
        waiting = [await served.connect() for _ in range(3)]
        for number, client in enumerate(waiting):
            await client.send(post("/wait", BODY_BYTES) + b"x" * BODY_BYTES)

            async def read(number: int = number) -> bool:
                return len(served.bodies) > number

            await wait_until("the body is read", read)
        late = await served.connect()
        await late.send(post("/a", BODY_BYTES))
        await late.send(b"x" * (BODY_BYTES - 1))
        assert (await late.response())[0] == 503
        served.release.set()
        assert [(await client.response())[0] for client in waiting] == [200] * 3


async def test_the_oldest_idle_connection_gives_way_to_a_new_one() -> None:
    """Guards against idle connections that use up the descriptors."""
    async with serving() as served:
        idle = [await served.connect() for _ in range(LIMITS.connections)]

        async def connected() -> bool:
            return len(served.guard.open) == len(idle)

        await wait_until("all are connected", connected)
        client = await served.connect()
        await client.send(post("/a", 0))
        assert (await client.response())[0] == 200
        assert await idle[0].closed()
        await idle[1].send(post("/a", 0))
        assert (await idle[1].response())[0] == 200


@pytest.mark.parametrize("sent", [b"GET /a HTT", post("/a", 10) + b"x"])
async def test_an_incomplete_request_ends_after_the_timeout(sent: bytes) -> None:
    """Guards against requests that never become complete; a waiting caller is not affected."""
    async with serving(replace(LIMITS, receive_timeout_s=0.1)) as served:
        waiting, client = await served.connect(), await served.connect()
        await waiting.send(post("/wait", 0))
        await client.send(sent)
        assert (await client.response())[0] == 408
        assert served.refused("timeout") == 1
        served.release.set()
        assert (await waiting.response())[0] == 200


async def test_a_client_that_reads_nothing_is_closed_after_the_timeout() -> None:
    """Guards against responses that wait for ever for a client that does not read."""
    async with serving(replace(LIMITS, receive_timeout_s=0.1)) as served:
        client = await served.connect()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await client.send(post("/large", 0))

        async def refused() -> bool:
            return served.refused("response_unread") == 1

        await wait_until("the connection is closed", refused)
        assert (len(served.guard.open), served.guard.budget.held) == (0, 0)
