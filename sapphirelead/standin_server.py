"""What the stand-ins of the platform share: an HTTP server, its faults and its history.

A stand-in runs inside ``sapphirelead dev`` or as a process of its own in tests.  Faults are set
over HTTP while it runs, so that a test can break the platform and mend it again.
"""

import asyncio
from typing import Any, Final

import msgspec
from aiohttp import web

from sapphirelead.standin_history import History

SHUTDOWN_TIMEOUT_S: Final = 0.2


class Faults(msgspec.Struct):
    """How the stand-in misbehaves.

    :ivar down: answer 503 to everything.
    :ivar hang: while down, hold requests instead and drop them once it ends.
    :ivar late_apply: let requests that were held take effect once the fault ends.
    :ivar delay_ms: added to every request.
    :ivar lose_answers: so many further changes take effect without an answer.
    :ivar drop_before: so many further changes are dropped before they take effect.
    :ivar only: prefix of the paths that misbehave; all others work.
    :ivar match: the two counts are for changes whose body contains this text only.
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
    """An HTTP server with faults; subclasses add routes in :meth:`routes`."""

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
        """Return the routes of this stand-in."""
        raise NotImplementedError

    async def start(self, host: str, port: int) -> int:
        """Listen, and return the port (chosen by the system where ``port`` is 0)."""
        app = web.Application(client_max_size=64 * 1024 * 1024, middlewares=[self._inject_faults])
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

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        answer: web.StreamResponse
        if request.path in ("/faults", "/stats") or not request.path.startswith(self.faults.only):
            answer = await handler(request)
            return answer
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down and not self.faults.hang:
            return web.json_response({"error": "down"}, status=503)
        if self.faults.down:
            return await self._hold_request(request, handler)
        if not await self._matches_fault(request):
            answer = await handler(request)
        elif self.faults.drop_before:
            self.faults.drop_before -= 1
            answer = _abort_connection(request)
        elif self.faults.lose_answers:
            self.faults.lose_answers -= 1
            await handler(request)
            answer = _abort_connection(request)
        else:
            answer = await handler(request)
        return answer

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
        """Misbehave as told from now on; requests held by an earlier fault are let go."""
        self.faults = faults
        held, self._fault_cleared = self._fault_cleared, asyncio.Event()
        held.set()
        self.history.record("faults", **msgspec.to_builtins(faults))

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.set_faults(msgspec.json.decode(await request.read(), type=Faults))
        return web.json_response({})


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
