"""Tests probes of a process whose budget is held by requests that wait for their responses."""

import asyncio

from aiohttp import web
from result import Err

from bench.procs import free_port
from sapphirelead.http_guard import HttpGuard
from sapphirelead.http_limits import HttpLimits
from sapphirelead.metrics import Metrics
from sapphirelead.platform.http_server import HttpServer, read_body
from sapphirelead.platform.node_file import Address
from tests.unit.test_http_guard import HOST, Client, post

LIMITS = HttpLimits(memory_bytes=1_000_000, connections=100, probe_connections=4)
BODY = b"x" * 1_000


async def test_readiness_is_answered_while_callers_wait_for_responses() -> None:
    """Guards against a node that leaves the rotation because complete requests wait."""
    guard = HttpGuard(LIMITS, Metrics())
    release = asyncio.Event()

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        body = await read_body(request)
        if isinstance(body, Err):
            return body.err_value
        await release.wait()
        return web.Response()

    async def ready(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response()

    servers = [HttpServer.for_clients(handle, guard, 0.1), HttpServer.for_probes(ready, guard)]
    ports = [free_port() for _ in servers]
    for server, port in zip(servers, ports, strict=True):
        await server.start(Address(HOST, port))
    try:
        callers = []
        for _ in range(LIMITS.connections - 1):
            client = Client(*await asyncio.open_connection(HOST, ports[0]))
            await client.send(post("/a", len(BODY)) + BODY)
            callers.append(client)
        await asyncio.sleep(0.3)
        probe = Client(*await asyncio.open_connection(HOST, ports[1]))
        await probe.send(b"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await probe.response())[0] == 200
    finally:
        release.set()
        for server in servers:
            await server.stop()
