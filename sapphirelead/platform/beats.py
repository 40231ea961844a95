"""What the worker beside an agent sends: its heartbeats, and its word that it ends."""

import re
from typing import Final

import msgspec
from aiohttp import web

from sapphirelead.logs import log_event
from sapphirelead.model_resources import Resources
from sapphirelead.node_messages import WorkerInfo
from sapphirelead.runner_service import Runner

PATH: Final = re.compile(r"/instances/([^/]+)/(heartbeat|leave)")


class _Capacity(msgspec.Struct):
    """``cpu`` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Beat(msgspec.Struct):
    """A heartbeat on the wire.

    :ivar addr: where the worker takes calls.
    :ivar remaining_ms: least time left, while ``state`` is ``draining``.
    :ivar seq: grows with each heartbeat of one life.
    """

    service: str
    addr: str
    zone: str = ""
    state: str = "ready"
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: tuple[str, ...] = ()
    remaining_ms: int = 0
    seq: int = 0


_DECODER: Final = msgspec.json.Decoder(_Beat)


class WorkerSide:
    """Answers the worker on behalf of the agent."""

    _runner: Runner

    def __init__(self, runner: Runner) -> None:
        self._runner = runner

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        found = PATH.fullmatch(request.path)
        if found is None or request.method != "POST":
            return web.Response(status=404)
        worker, what = found.groups()
        if what == "leave":
            await self._runner.worker_left(worker)
            return web.Response(status=200)
        try:
            beat = _DECODER.decode(await request.read())
        except msgspec.DecodeError as exc:
            log_event("WARNING", "heartbeat_undecodable", worker=worker, reason=str(exc))
            return web.Response(status=400)
        await self._runner.worker_beat(_info(worker, beat), beat.addr, beat.seq)
        return web.json_response({})


def _info(worker: str, beat: _Beat) -> WorkerInfo:
    capacity = Resources(beat.capacity.cpu, beat.capacity.mem_mb, beat.capacity.gpu)
    draining = beat.state == "draining"
    remaining_ms = beat.remaining_ms if draining else 0
    return WorkerInfo(
        worker, beat.service, beat.zone, capacity, beat.labels, draining, remaining_ms
    )
