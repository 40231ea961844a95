"""What the worker beside an agent sends: its heartbeats, and its word that it ends.

A heartbeat that cannot be read, or that names a state or service that is not known, names no
worker: it is refused and logged, and what is known of the worker beside this process holds.
"""

import re
from typing import Final, Literal

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from sapphirelead.logs import log_event
from sapphirelead.model_resources import Resources
from sapphirelead.node_messages import WorkerInfo
from sapphirelead.platform.decoding import Count, Name, SocketAddress, decode
from sapphirelead.runner_service import Runner

PATH: Final = re.compile(r"/instances/([!-.0-~]{1,200})/(heartbeat|leave)")
"""The worker's id is printable ASCII without a slash: it goes into a header of each call."""


class _Capacity(msgspec.Struct):
    """``cpu`` is in thousandths of a core."""

    cpu: Count
    mem_mb: Count
    gpu: Count = 0


class _Beat(msgspec.Struct):
    """A heartbeat on the wire.

    :ivar addr: where the worker takes calls.
    :ivar remaining_ms: least time left, while ``state`` is ``draining``.
    :ivar seq: grows with each heartbeat of one life.
    """

    service: Name
    addr: SocketAddress
    zone: str
    state: Literal["ready", "draining"]
    capacity: _Capacity
    labels: tuple[str, ...]
    seq: Count
    remaining_ms: Count = 0


_DECODER: Final = msgspec.json.Decoder(_Beat)


class WorkerRequestHandler:
    """Answers the worker on behalf of the agent."""

    _runner: Runner
    _service: str

    def __init__(self, runner: Runner, service: str) -> None:
        """Make the worker's counterpart.

        :param service: service of the worker beside this process; empty where it is not known.
        """
        self._runner = runner
        self._service = service

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        found = PATH.fullmatch(request.path)
        if found is None or request.method != "POST":
            return web.Response(status=404)
        worker, what = found.groups()
        if what == "leave":
            await self._runner.worker_left(worker)
            return web.Response(status=200)
        decoded = self._decode(await request.read())
        if isinstance(decoded, Err):
            log_event("WARNING", "heartbeat_refused", worker=worker, reason=decoded.err_value)
            return web.Response(status=400)
        beat = decoded.ok_value
        await self._runner.worker_beat(_info(worker, beat), beat.addr, beat.seq)
        return web.json_response({})

    def _decode(self, body: bytes) -> Result[_Beat, str]:
        decoded = decode(_DECODER, body)
        if isinstance(decoded, Ok) and self._service not in ("", decoded.ok_value.service):
            return Err(f"service {decoded.ok_value.service!r} is not the one beside this process")
        return decoded


def _info(worker: str, beat: _Beat) -> WorkerInfo:
    capacity = Resources(beat.capacity.cpu, beat.capacity.mem_mb, beat.capacity.gpu)
    draining = beat.state == "draining"
    remaining_ms = beat.remaining_ms if draining else 0
    return WorkerInfo(
        worker, beat.service, beat.zone, capacity, beat.labels, draining, remaining_ms
    )
