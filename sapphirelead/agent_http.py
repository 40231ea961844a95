"""HTTP server for probes and metrics of an agent or a runner, on the loopback interface.

``/healthz`` returns 200 while the event loop runs.  ``/readyz`` returns 200 while the process
admits work, 503 otherwise.  ``/metrics`` uses the Prometheus text format.  The server is disabled
if ``http_port`` is 0.
"""

from collections.abc import Callable
from typing import Final

from aiohttp import web

from sapphirelead.agent_context import AgentContext
from sapphirelead.agent_task_table import Phase
from sapphirelead.agent_throttle import ThrottleManager
from sapphirelead.clock import now
from sapphirelead.http_guard import GuardedSite, HttpGuard
from sapphirelead.http_limits import (
    DEFAULT_MEMORY_MB,
    RETRY_AFTER_S,
    HttpLimits,
    Reason,
    descriptor_limit,
)
from sapphirelead.metrics import Metrics

HOST: Final = "127.0.0.1"
CONTENT_TYPE: Final = "text/plain"
LINGERING_TIME_S: Final = 0.5


class AgentHttp:
    """Serves probes and metrics of one process.

    :ivar port: bound port, 0 if the server is disabled.
    """

    _ready: Callable[[], bool]
    _metrics: Metrics
    port: int
    _runner: web.AppRunner | None

    def __init__(self, ready: Callable[[], bool], metrics: Metrics) -> None:
        self._ready = ready
        self._metrics = metrics
        self._runner = None
        self.port = 0

    async def start(self, port: int) -> None:
        """Listen on ``port``; do nothing if it is 0."""
        if port == 0:
            return
        app = web.Application()
        app.add_routes(
            [
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
                web.get("/metrics", self._render),
            ]
        )
        limits = HttpLimits.from_machine(DEFAULT_MEMORY_MB, descriptor_limit())
        guard = HttpGuard(limits, self._metrics)
        self._runner = web.AppRunner(
            app, access_log=None, lingering_time=LINGERING_TIME_S, **guard.library_options()
        )
        await self._runner.setup()
        address = (HOST, port)
        site = GuardedSite(
            self._runner, guard, address, limits.probe_connections, _refused, for_probes=True
        )
        await site.start()
        self.port = port

    async def stop(self) -> None:
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _readyz(self, _request: web.Request) -> web.Response:
        ready = self._ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _render(self, _request: web.Request) -> web.Response:
        return web.Response(body=self._metrics.render(), content_type=CONTENT_TYPE)


def _refused(reason: Reason) -> web.Response:
    headers = {"Retry-After": str(RETRY_AFTER_S)} if reason is Reason.MEMORY else {}
    return web.json_response({"error": reason.message}, status=reason.status, headers=headers)


def register_gauges(
    metrics: Metrics, context: AgentContext, throttle_manager: ThrottleManager
) -> None:
    """Register the agent's gauges, which docs/OPERATIONS.md describes."""
    ledger, task_table = context.ledger, context.task_table

    def lease_left_s() -> float:
        return max(0.0, context.lease.deadline - now()) if context.lease.granted() else 0.0

    metrics.gauge("agent_slots_used", lambda: ledger.requests)
    metrics.gauge("agent_slots", lambda: ledger.slots)
    metrics.gauge("agent_free_cpu_millicores", lambda: ledger.free.cpu_millicores)
    metrics.gauge("agent_free_memory_mb", lambda: ledger.free.memory_mb)
    metrics.gauge("agent_free_accelerators", lambda: ledger.free.accelerators)
    metrics.gauge("agent_tasks_running", lambda: len(task_table.in_phase(Phase.RUNNING)))
    metrics.gauge("agent_ends_unacknowledged", lambda: len(task_table.in_phase(Phase.ENDED)))
    metrics.gauge("agent_lease_left_seconds", lease_left_s)
    metrics.gauge("agent_worker_healthy", lambda: float(context.session.healthy))
    metrics.gauge("agent_slowdown", lambda: throttle_manager.slowdown)
    metrics.gauge("agent_classes_throttled", lambda: throttle_manager.throttled_classes)
