"""HTTP server with fault injection and a history, the base of the platform's stand-ins.

A stand-in runs inside ``sapphirelead dev`` or, in tests, as a separate process.  Tests inject and
clear faults over HTTP while it runs.
"""

import asyncio
from typing import Any, Final

import msgspec
from aiohttp import web

from sapphirelead.standin_history import History

SHUTDOWN_TIMEOUT_S: Final = 0.2


class Faults(msgspec.Struct):
    """Faults that the stand-in injects.

    :ivar down: respond with 503 to every request.
    :ivar hang: while down, hold requests instead and abort them when the fault is cleared.
    :ivar late_apply: apply held requests when the fault is cleared.
    :ivar delay_ms: delay of every request, in milliseconds.
    :ivar lose_answers: number of further writes that are applied but not answered.
    :ivar drop_before: number of further writes that are dropped before they are applied.
    :ivar only: prefix of the paths that are affected.
    :ivar match: text that the body of a write contains for the two counts to apply to it.
    """

    down: bool = False
    hang: bool = False
    late_apply: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    drop_before: int = 0
    match: str = ""
    only: str = ""


class StandIn:
    """HTTP server with fault injection; subclasses add routes in :meth:`routes`."""

    history: History
    faults: Faults
    _runner: web.AppRunner | None
    _fault_cleared: asyncio.Event

    def __init__(self, history: History) -> None:
        self.history = history
        self.faults = Faults()
        self._runner = None
        self._fault_cleared = asyncio.Event()

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes of this stand-in."""
        raise NotImplementedError

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port, which the system chooses if ``port`` is 0."""
        middlewares = [_abort_on_reset, self._inject_faults]
        app = web.Application(client_max_size=64 * 1024 * 1024, middlewares=middlewares)
        app.add_routes([web.post("/faults", self._set_faults), *self.routes()])
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        return int(self._runner.addresses[0][1])

    async def stop(self) -> None:
        """Stop listening and drop open requests."""
        self._fault_cleared.set()
        if self._runner is not None:
            await self._runner.cleanup()

    async def abort(self) -> None:
        """Reset all connections and stop listening, as if the process had been killed."""
        server = self._runner.server if self._runner is not None else None
        for handler in server.connections if server is not None else ():
            if handler.transport is not None:
                handler.transport.abort()
        await self.stop()

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        response: web.StreamResponse
        if request.path in ("/faults", "/stats") or not request.path.startswith(self.faults.only):
            response = await handler(request)
            return response
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down and not self.faults.hang:
            return web.json_response({"error": "down"}, status=503)
        if self.faults.down:
            return await self._hold_request(request, handler)
        if not await self._matches_fault(request):
            response = await handler(request)
        elif self.faults.drop_before:
            self.faults.drop_before -= 1
            response = _abort_connection(request)
        elif self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await handler(request)
            response = _abort_connection(request)
        else:
            response = await handler(request)
        return response

    async def _matches_fault(self, request: web.Request) -> bool:
        return request.method != "GET" and self.faults.match.encode() in await request.read()

    async def _hold_request(self, request: web.Request, handler: Any) -> web.StreamResponse:
        late_apply = self.faults.late_apply
        await request.read()
        await self._fault_cleared.wait()
        if late_apply:
            await handler(request)
        return _abort_connection(request)

    def set_faults(self, faults: Faults) -> None:
        """Replace the injected faults and release the requests held by earlier ones."""
        self.faults = faults
        held, self._fault_cleared = self._fault_cleared, asyncio.Event()
        held.set()
        self.history.record("faults", **msgspec.to_builtins(faults))

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.set_faults(msgspec.json.decode(await request.read(), type=Faults))
        return web.json_response({})


@web.middleware
async def _abort_on_reset(request: web.Request, handler: Any) -> web.StreamResponse:
    """Abort the connection, without a response, if the handler raises ``ConnectionResetError``."""
    try:
        response: web.StreamResponse = await handler(request)
    except ConnectionResetError:
        response = _abort_connection(request)
    return response


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
