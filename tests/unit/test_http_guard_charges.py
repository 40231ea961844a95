"""Tests what connections of an HTTP server are charged for, and when a refusal is final."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from bench.procs import free_port
from sapphirelead.http_guard import HttpGuard
from sapphirelead.http_limits import HttpLimits
from sapphirelead.metrics import Metrics
from sapphirelead.platform.http_server import HttpServer
from sapphirelead.platform.node_file import Address
from tests.unit.test_http_guard import HOST, Client, post, serving

LIMITS = HttpLimits(memory_bytes=6_000_000, connections=40, probe_connections=4)
SETTLE_S = 0.2


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def test_uploads_that_break_off_are_charged_no_longer() -> None:
    """Guards against a budget that fills up with the charges of closed connections."""
    async with serving(LIMITS) as served:
        for _ in range(5):
            client = await served.connect()
            await client.send(post("/a", 1_000) + b"x" * 10)
            await _until(lambda: served.guard.budget.held > 0)
            await asyncio.sleep(SETTLE_S)
            client.writer.close()
            await _until(lambda: not served.guard.open)
        await asyncio.sleep(SETTLE_S)
        assert served.guard.budget.held == 0


async def test_a_refused_upload_is_charged_no_longer() -> None:
    """Guards against a charge that the end of a handler renews after the refusal."""
    async with serving(HttpLimits(200_000, 40, 4)) as served:
        client = await served.connect()
        await client.send(post("/a", 500_000) + b"x" * 300_000)
        assert (await client.response())[0] == 503
        await _until(lambda: not served.guard.open)
        await asyncio.sleep(SETTLE_S)
        assert served.guard.budget.held == 0


async def test_requests_sent_ahead_of_a_closed_connection_are_charged_no_longer() -> None:
    """Guards against a charge for requests sent ahead that outlives their connection."""
    async with serving(LIMITS) as served:
        client = await served.connect()
        await client.send(post("/wait", 3) + b"abc")
        await _until(lambda: len(served.bodies) == 1)
        await client.send(post("/a", 3) + b"abc")
        await asyncio.sleep(SETTLE_S)
        client.writer.transport.abort()
        await _until(lambda: not served.guard.open)
        served.release.set()
        await asyncio.sleep(SETTLE_S)
        assert served.guard.budget.held == 0


async def test_a_request_that_is_refused_as_its_handler_begins_is_not_handled() -> None:
    """Guards against a job that runs although its submission was answered with 503."""
    async with serving(HttpLimits(100_000, 40, 4)) as served:
        client = await served.connect()
        await client.send(post("/a", 36_000) + b"x" * 36_000)
        status = (await client.response())[0]
        await asyncio.sleep(SETTLE_S)
        assert (status, served.bodies) in [(200, [36_000]), (503, [])]


async def test_a_connection_with_all_requests_answered_is_charged_no_longer() -> None:
    """Guards against clients that once sent a request ahead and use up the budget while idle."""
    async with serving(LIMITS) as served:
        client = await served.connect()
        await client.send(post("/wait", 3) + b"abc")
        await _until(lambda: len(served.bodies) == 1)
        await client.send(post("/a", 3) + b"abc")
        await asyncio.sleep(SETTLE_S)
        served.release.set()
        assert [(await client.response())[0] for _ in range(2)] == [200, 200]
        await client.send(post("/a", 3) + b"abc")
        assert (await client.response())[0] == 200
        await asyncio.sleep(SETTLE_S)
        assert served.guard.budget.held == 0


async def test_an_upload_is_not_refused_because_of_others_that_broke_off() -> None:
    """Guards against a 503 for a legal request while no other connection is open."""
    async with serving(HttpLimits(400_000, 40, 4)) as served:
        slow = await served.connect()
        await slow.send(post("/a", 10) + b"x")
        for _ in range(6):
            client = await served.connect()
            await client.send(post("/a", 1_000) + b"x" * 10)
            await asyncio.sleep(SETTLE_S)
            client.writer.close()
            await _until(lambda: len(served.guard.open) <= 1)
        await slow.send(b"x" * 9)
        assert (await slow.response())[0] == 200


async def test_a_refused_request_whose_body_nobody_reads_is_not_handled() -> None:
    """Guards against a call that takes effect although it was answered with 503."""
    handled: list[str] = []

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        handled.append(request.method)
        return web.Response()

    server = HttpServer.for_clients(handle, HttpGuard(HttpLimits(60_000, 4, 4), Metrics()), 0.1)
    port = free_port()
    await server.start(Address(HOST, port))
    try:
        client = Client(*await asyncio.open_connection(HOST, port))
        await client.send(b"DELETE /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
        status = (await client.response())[0]
        await asyncio.sleep(SETTLE_S)
        assert (status, handled) in [(200, ["DELETE"]), (503, [])]
    finally:
        await server.stop()
