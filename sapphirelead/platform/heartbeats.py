"""Handles the heartbeats and leave notifications of the worker beside an agent.

A heartbeat that cannot be decoded, or that names an unknown state or another service, is rejected
and logged, and the agent's view of its worker does not change.
"""

import re
from typing import Final, Literal

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from sapphirelead.logs import log_event
from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import WorkerInfo
from sapphirelead.platform.decoding import (
    Birth,
    Count,
    Labels,
    Name,
    SocketAddress,
    Text,
    decode,
    life_of,
)
from sapphirelead.platform.http_server import read_body
from sapphirelead.runner_service import Runner

WORKER_REQUEST_PATH: Final = re.compile(r"/instances/([!-.0-~]{1,200})/(heartbeat|leave)")
"""The worker id is printable ASCII without a slash, because it is sent as a header value."""


class _Capacity(msgspec.Struct):
    """``cpu`` is in millicores."""

    cpu: Count
    mem_mb: Count
    gpu: Count = 0


class _Beat(msgspec.Struct):
    """A heartbeat on the wire.

    :ivar addr: address of the worker's API.
    :ivar remaining_ms: minimum time until the worker stops, while ``state`` is ``draining``.
    :ivar cold_remaining_ms: how much longer the worker stays slow after its start.
    :ivar seq: increases with each heartbeat of one life of the worker.
    :ivar born: start of this life.
    """

    service: Name
    addr: SocketAddress
    zone: Text
    state: Literal["ready", "draining"]
    capacity: _Capacity
    labels: Labels
    seq: Count
    remaining_ms: Count = 0
    cold_remaining_ms: Count = 0
    born: Birth = msgspec.UNSET


class _Leave(msgspec.Struct):
    """A leave notification; an empty one does not say which life it is from."""

    born: Birth = msgspec.UNSET


_DECODER: Final = msgspec.json.Decoder(_Beat)
_LEAVE_DECODER: Final = msgspec.json.Decoder(_Leave)


class WorkerRequestHandler:
    """Handles the worker's HTTP requests to the agent."""

    _runner: Runner
    _service: str

    def __init__(self, runner: Runner, service: str) -> None:
        """Create a handler that reports to ``runner``.

        :param service: service of the worker beside this process; empty if unknown.
        """
        self._runner = runner
        self._service = service

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        found = WORKER_REQUEST_PATH.fullmatch(request.path)
        if found is None or request.method != "POST":
            return web.Response(status=404)
        worker, action = found.groups()
        body = await read_body(request)
        if isinstance(body, Err):
            return body.err_value
        if action == "leave":
            return await self._leave(worker, body.ok_value)
        decoded = self._decode(body.ok_value)
        if isinstance(decoded, Err):
            log_event("WARNING", "heartbeat_refused", worker=worker, reason=decoded.err_value)
            return web.Response(status=400)
        heartbeat = decoded.ok_value
        await self._runner.worker_heartbeat(
            _worker_info(life_of(worker, heartbeat.born), heartbeat),
            heartbeat.addr,
            heartbeat.seq,
        )
        return web.json_response({})

    async def _leave(self, worker: str, body: bytes) -> web.Response:
        decoded = decode(_LEAVE_DECODER, body) if body else Ok(_Leave())
        if isinstance(decoded, Err):
            log_event("WARNING", "leave_refused", worker=worker, reason=decoded.err_value)
            return web.Response(status=400)
        await self._runner.worker_left(life_of(worker, decoded.ok_value.born))
        return web.Response(status=200)

    def _decode(self, body: bytes) -> Result[_Beat, str]:
        decoded = decode(_DECODER, body)
        if isinstance(decoded, Ok) and self._service not in ("", decoded.ok_value.service):
            return Err(f"service {decoded.ok_value.service!r} is not the configured one")
        return decoded


def _worker_info(life: WorkerLife, heartbeat: _Beat) -> WorkerInfo:
    capacity = Resources(heartbeat.capacity.cpu, heartbeat.capacity.mem_mb, heartbeat.capacity.gpu)
    draining = heartbeat.state == "draining"
    remaining_ms = heartbeat.remaining_ms if draining else 0
    return WorkerInfo(
        life,
        heartbeat.service,
        heartbeat.zone,
        capacity,
        heartbeat.labels,
        draining,
        remaining_ms,
        heartbeat.cold_remaining_ms,
    )
