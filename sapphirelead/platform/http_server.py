"""HTTP server shared by the entry and the agent, and the metrics endpoint."""

import math
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from sapphirelead.http_body import BodyError, receive_body
from sapphirelead.http_guard import GuardedSite, HttpGuard
from sapphirelead.http_limits import RETRY_AFTER_S, Reason
from sapphirelead.metrics import Metrics
from sapphirelead.platform.node_file import Address

METRICS_PORT: Final = 9464
METRICS_PATH: Final = "/metrics"

LINGERING_TIME_S: Final = 0.5
"""Time to keep reading the rest of a rejected request, so that the client receives the response."""

MAX_BODY_BYTES: Final = 1_048_576
"""Maximum size of a body where the configuration sets none."""

SHUTDOWN_TIMEOUT_S: Final = 1.0
"""Default for handlers that do not wait, such as readiness, heartbeats and metrics."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_ENCODER: Final = msgspec.json.Encoder()


class HttpServer:
    """Serves one handler on one address."""

    _runner: web.ServerRunner
    _handler: Handler
    _guard: HttpGuard
    _connections: int
    _for_probes: bool
    _shutdown_timeout_s: float

    def __init__(
        self,
        handler: Handler,
        guard: HttpGuard,
        connections: int,
        shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
        for_probes: bool = False,
    ) -> None:
        """Create a server that is not listening yet.

        :param guard: limits that the servers of the process share.
        :param connections: maximum number of connections.
        :param shutdown_timeout_s: time that :meth:`stop` waits for handlers before it cancels them.
        :param for_probes: whether the requests are charged to the budget for probes.
        """
        self._handler = handler
        self._for_probes = for_probes
        self._guard = guard
        self._connections = connections
        self._shutdown_timeout_s = shutdown_timeout_s

    @classmethod
    def for_clients(
        cls, handler: Handler, guard: HttpGuard, shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S
    ) -> "HttpServer":
        """Return a server for callers or workers."""
        return cls(handler, guard, guard.limits.connections, shutdown_timeout_s)

    @classmethod
    def for_probes(cls, handler: Handler, guard: HttpGuard) -> "HttpServer":
        """Return a server for probes or metrics."""
        return cls(handler, guard, guard.limits.probe_connections, for_probes=True)

    async def start(self, address: Address) -> None:
        """Listen on ``address``."""
        server = web.Server(
            self._handler,
            access_log=None,
            lingering_time=LINGERING_TIME_S,
            **self._guard.library_options(),
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=self._shutdown_timeout_s)
        await self._runner.setup()
        listen = (address.host, address.port)
        site = GuardedSite(
            self._runner, self._guard, listen, self._connections, _refusal, self._for_probes
        )
        await site.start()

    async def stop(self) -> None:
        """Finish the requests in progress, then close the server."""
        await self._runner.cleanup()


async def read_body(
    request: web.BaseRequest, max_bytes: int = MAX_BODY_BYTES
) -> Result[bytes, web.Response]:
    """Read a request's body, or return the response with which the request is rejected."""
    found = await receive_body(request, max_bytes)
    if isinstance(found, Ok):
        return found
    if found.err_value is BodyError.TOO_LARGE:
        return Err(error_response(413, f"the body is larger than {max_bytes} bytes"))
    return Err(error_response(400, "the body is malformed or incomplete"))


def error_response(status: int, reason: str, retry_after_s: float = 0.0) -> web.Response:
    """Return a response whose body gives the reason of an error."""
    headers = {}
    if retry_after_s:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    body = _ENCODER.encode({"error": reason})
    return web.Response(status=status, body=body, content_type="application/json", headers=headers)


def _refusal(reason: Reason) -> web.Response:
    retry_after_s = RETRY_AFTER_S if reason is Reason.MEMORY else 0.0
    return error_response(reason.status, reason.message, retry_after_s)


def metrics_handler(metrics: Metrics) -> Handler:
    """Return a handler that exports ``metrics`` as text."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(body=metrics.render(), content_type="text/plain")

    return handle
