"""Stand-in for a latency-critical target colocated with an agent.

Each response echoes the request's marker, so a caller can check that the response is complete and
belongs to its request.  The service time grows with the load of the colocated worker.

A request sets its marker, delay and response size by headers (``X-Standin-Marker``,
``X-Standin-Delay-Ms``, ``X-Standin-Bytes``) or by the fields ``marker``, ``delay_ms`` and ``bytes``
of a JSON body.
"""

import asyncio
import contextlib
from typing import Any, Final

import msgspec
from aiohttp import web
from result import Ok

from sapphirelead.http_client import HttpCaller
from sapphirelead.standin_history import History
from sapphirelead.standin_server import StandIn

POLL_INTERVAL_S: Final = 0.2


class TargetSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Latency and capacity of the target.

    :ivar base_ms: service time of a request on an otherwise idle instance, in milliseconds.
    :ivar interference: relative increase of the service time when the colocated worker is full.
    :ivar slots: maximum number of requests served concurrently; further ones are queued.
    :ivar connections: maximum number of open requests; further ones are refused and recorded.
    :ivar worker_url: colocated worker whose load is polled; empty for none.
    """

    base_ms: float = 2.0
    interference: float = 1.0
    slots: int = 8
    connections: int = 64
    worker_url: str = ""


class _Manner(msgspec.Struct):
    marker: str = ""
    delay_ms: float = -1.0
    bytes: int = 0


class _Control(msgspec.Struct):
    slow: float = 1.0
    fail_all: bool = False
    hang: bool = False
    load: float | None = None


class StandInTarget(StandIn):
    """Target whose latency depends on the load of the colocated worker."""

    _cfg: TargetSettings
    _control: _Control
    _load: float
    _open: int
    _slots: asyncio.Semaphore
    _poller: asyncio.Task[None] | None

    def __init__(self, history: History, cfg: TargetSettings) -> None:
        super().__init__(history)
        self._cfg = cfg
        self._control = _Control()
        self._load = 0.0
        self._open = 0
        self._slots = asyncio.Semaphore(cfg.slots)
        self._poller = None

    @classmethod
    def from_settings(cls, history: History, raw: dict[str, Any]) -> "StandInTarget":
        """Build from validated settings; see :class:`TargetSettings`."""
        return cls(history, msgspec.convert(raw, TargetSettings))

    async def start(self, host: str, port: int) -> int:
        """Start listening and polling the load of the colocated worker."""
        if self._cfg.worker_url:
            self._poller = asyncio.create_task(self._poll_load(self._cfg.worker_url))
        return await super().start(host, port)

    async def stop(self) -> None:
        """Stop polling and listening."""
        if self._poller is not None:
            self._poller.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._poller
        await super().stop()

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes of the target."""
        return [web.post("/control", self._set_control), web.post("/{service}", self._serve)]

    async def _poll_load(self, url: str) -> None:
        http = HttpCaller.connect(url, 1.0)
        try:
            while True:
                match await http.call("GET", "/interference"):
                    case Ok(reply) if reply.status == 200:
                        self._load = float(msgspec.json.decode(reply.body)["load"])
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            await http.close()

    async def _set_control(self, request: web.Request) -> web.Response:
        self._control = msgspec.json.decode(await request.read(), type=_Control)
        return web.json_response({})

    async def _serve(self, request: web.Request) -> web.Response:
        options = _request_options(request, await request.read())
        service = request.match_info["service"]
        if self._open >= self._cfg.connections:
            self.history.record("over_connections", service=service, marker=options.marker)
            return web.json_response({"error": "too many connections"}, status=503)
        self._open += 1
        self.history.record(
            "request_start", service=service, marker=options.marker, open=self._open
        )
        try:
            async with self._slots:
                return await self._answer(service, options)
        finally:
            self._open -= 1

    async def _answer(self, service: str, options: _Manner) -> web.Response:
        if self._control.hang:
            await asyncio.sleep(3600)
        if self._control.fail_all:
            self.history.record("request_end", service=service, marker=options.marker, status=500)
            return web.json_response({"error": "failing"}, status=500)
        await asyncio.sleep(self._service_ms(options) / 1000)
        self.history.record("request_end", service=service, marker=options.marker, status=200)
        body = {"service": service, "marker": options.marker, "fill": "x" * options.bytes}
        return web.json_response(body)

    def _service_ms(self, options: _Manner) -> float:
        base_ms = self._cfg.base_ms if options.delay_ms < 0 else options.delay_ms
        load = self._load if self._control.load is None else self._control.load
        return base_ms * self._control.slow * (1 + load * self._cfg.interference)


def _request_options(request: web.Request, body: bytes) -> _Manner:
    options = _Manner()
    with contextlib.suppress(msgspec.DecodeError, msgspec.ValidationError):
        options = msgspec.json.decode(body, type=_Manner)
    headers = request.headers
    return _Manner(
        marker=headers.get("X-Standin-Marker", options.marker),
        delay_ms=float(headers.get("X-Standin-Delay-Ms", options.delay_ms)),
        bytes=int(headers.get("X-Standin-Bytes", options.bytes)),
    )
