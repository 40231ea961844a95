"""HTTP server shared by the entry and the agent, and the metrics endpoint."""

from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from sapphirelead.metrics import Metrics
from sapphirelead.platform.node_file import Address

METRICS_PORT: Final = 9464
METRICS_PATH: Final = "/metrics"

BACKLOG: Final = 512
"""Length of the queue of connections that have not been accepted."""

SHUTDOWN_TIMEOUT_S: Final = 1.0
"""Default for handlers that do not wait, such as readiness, heartbeats and metrics."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpServer:
    """Serves one handler on one address."""

    _runner: web.ServerRunner
    _handler: Handler
    _shutdown_timeout_s: float

    def __init__(self, handler: Handler, shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S) -> None:
        """Create a server that is not listening yet.

        :param shutdown_timeout_s: time that :meth:`stop` waits for handlers before it cancels them.
        """
        self._handler = handler
        self._shutdown_timeout_s = shutdown_timeout_s

    async def start(self, address: Address) -> None:
        """Listen on ``address``."""
        server = web.Server(self._handler, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=self._shutdown_timeout_s)
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.host, address.port, backlog=BACKLOG)
        await site.start()

    async def stop(self) -> None:
        """Finish the requests in progress, then close the server."""
        await self._runner.cleanup()


def metrics_handler(metrics: Metrics) -> Handler:
    """Return a handler that exports ``metrics`` as text."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(body=metrics.render(), content_type="text/plain")

    return handle
