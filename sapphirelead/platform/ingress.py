"""HTTP API for callers: decodes requests, forwards them to the entry, encodes the responses."""

import re
from typing import Final

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from sapphirelead.clock import wall_ms
from sapphirelead.http_guard import HttpGuard
from sapphirelead.node_callers import RequestTracker
from sapphirelead.node_entry import FleetEntry
from sapphirelead.node_messages import CallKind, Reply, ReplyKind
from sapphirelead.platform.decoding import Integer, decode
from sapphirelead.platform.http_server import MAX_BODY_BYTES, HttpServer, error_response, read_body
from sapphirelead.platform.node_file import Address
from sapphirelead.sched_config import QueueConfig, Route
from sapphirelead.sched_job import encode_spec
from sapphirelead.sched_spec import MAX_TASKS, JobSpec, StepSpec, check_job

DEADLINE_HEADER: Final = "X-Deadline-Ms"
DEFAULT_DEADLINE_MS: Final = 3_000
MAX_DEADLINE_MS: Final = 30_000
MAX_DEADLINE_DIGITS: Final = 9

MAX_OBJECTS: Final = 2 * MAX_TASKS
"""Limit for the objects in the steps of a submission, which has a step for each task at most."""

JOB_ID: Final = re.compile(r"[0-9a-fA-F]{1,64}")
EXPECTED_STATUSES: Final = frozenset({200, 410})

_STATUS_BY_REPLY: Final = {
    ReplyKind.OK: 200,
    ReplyKind.ABSENT: 410,
    ReplyKind.NOT_RUN: 503,
    ReplyKind.NOT_LEADER: 503,
    ReplyKind.UNKNOWN: 504,
    ReplyKind.INVALID: 400,
}
"""503 guarantees that the call had no effect; 504 means that the outcome is unknown and the caller
may repeat the call."""


class _Step(msgspec.Struct):
    """A step on the wire.

    :ivar count: number of tasks.
    :ivar affinity: rack that holds the data.
    :ivar anti_affinity: maximum number of the step's tasks on one worker.
    :ivar requires: label that the worker must carry.
    :ivar may_miss: maximum number of tasks that the scheduler may keep stopped at one time.
    """

    count: Integer = 1
    cpu: Integer = 0
    mem_mb: Integer = 0
    gpu: Integer = 0
    estimate_ms: Integer = 0
    after: list[Integer] = []
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: Integer = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Integer = 0
    fills: bool = False
    may_miss: Integer = 0

    def step(self) -> StepSpec:
        """Return the equivalent :class:`StepSpec`."""
        return StepSpec(
            tasks=self.count,
            cpu_millicores=self.cpu,
            memory_mb=self.mem_mb,
            accelerators=self.gpu,
            estimate_ms=self.estimate_ms,
            after=tuple(self.after),
            saves=self.checkpoint,
            gang=self.gang,
            same_rack=self.same_rack,
            label=self.requires,
            near_rack=self.affinity,
            per_worker=self.anti_affinity,
            copies=self.speculative,
            lasting=self.long_running,
            image=self.image,
            target_ms=self.target_ms,
            fills=self.fills,
            absent_max=self.may_miss,
        )


class _Job(msgspec.Struct):
    """A job on the wire; ``spec`` is passed to the tasks unchanged."""

    spec: str
    steps: msgspec.Raw
    times: Integer = 0
    first_ms: Integer = 0
    interval_ms: Integer = 0


class _State(msgspec.Struct):
    state: str


class _Waiting(msgspec.Struct):
    waiting: int


_DECODER: Final = msgspec.json.Decoder(_Job)
_STEPS_DECODER: Final = msgspec.json.Decoder(list[_Step])
_ENCODER: Final = msgspec.json.Encoder()


def decode_job(
    body: bytes, job_id: str, queue: str, config: QueueConfig, accepted_ms: int
) -> Result[JobSpec, str]:
    """Decode and validate a submission; the error is the reason for its rejection."""
    decoded = decode(_DECODER, body)
    if isinstance(decoded, Err):
        return Err(f"the body contains no job: {decoded.err_value}")
    wire = decoded.ok_value
    steps = _decode_steps(bytes(wire.steps))
    if isinstance(steps, Err):
        return steps
    spec = JobSpec(
        job_id=job_id,
        queue=queue,
        payload=wire.spec,
        steps=tuple(step.step() for step in steps.ok_value),
        policy=config.queues[queue],
        accepted_ms=accepted_ms,
        first_due_ms=wire.first_ms,
        interval_ms=wire.interval_ms,
        occurrences=wire.times,
    )
    problem = check_job(spec)
    return Err(problem) if problem else Ok(spec)


def _decode_steps(raw: bytes) -> Result[list[_Step], str]:
    """Decode the steps, unless there are more than a job can have.

    A step takes up to a hundred times its bytes in memory, so their number is bounded before they
    are decoded.  Steps contain no objects that this version knows.
    """
    if raw.count(b"{") > MAX_OBJECTS:
        return Err(f"steps contains more than {MAX_OBJECTS} objects")
    decoded = decode(_STEPS_DECODER, raw)
    if isinstance(decoded, Err):
        return Err(f"the body contains no job: {decoded.err_value}")
    if any(len(step.after) > MAX_OBJECTS for step in decoded.ok_value):
        return Err(f"after lists more than {MAX_OBJECTS} steps")
    return decoded


class Ingress:
    """Serves the callers of one entry."""

    _request_tracker: RequestTracker
    _entry: FleetEntry
    _servers: list[HttpServer]

    def __init__(self, entry: FleetEntry, guard: HttpGuard) -> None:
        self._request_tracker = RequestTracker(entry, EXPECTED_STATUSES)
        self._entry = entry
        # The entry answers pending calls within the grace period.  A shorter timeout would cancel
        # them, and callers would see a closed connection.
        shutdown_timeout_s = entry.node.bounds.grace_s
        self._servers = [
            HttpServer.for_clients(self.handle, guard, shutdown_timeout_s),
            HttpServer.for_probes(self.ready, guard),
        ]

    @property
    def in_progress(self) -> int:
        """Number of requests that have been read but not answered."""
        return self._request_tracker.in_progress

    async def start(self, callers: Address, ready: Address) -> None:
        """Listen for callers and for readiness probes."""
        for server, address in zip(self._servers, (callers, ready), strict=True):
            await server.start(address)

    def redirect_callers(self) -> None:
        """Fail the readiness probe and close callers' connections after their next response."""
        self._request_tracker.leaving = True

    async def close(self) -> None:
        """Stop accepting connections, finish the requests in progress, and close."""
        for server in self._servers:
            await server.stop()

    async def ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the readiness probe."""
        may_connect = self._entry.ready and not self._request_tracker.leaving
        return web.Response(status=200 if may_connect else 503)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a caller."""
        return await self._request_tracker.answer(request, self._answer)

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        config = self._entry.config
        if config.version == 0:
            return error_response(503, "no configuration is loaded yet", 1.0)
        if self._entry.sync.behind:
            return _error_from_reply(self._entry.behind_reply())
        route = config.match(request.host.partition(":")[0], request.path)
        if route is None:
            return error_response(404, "no such queue")
        rest = request.path[len(route.prefix) :]
        if not rest and request.method == "GET":
            return await self._count_waiting(request, route)
        if not JOB_ID.fullmatch(rest):
            return error_response(
                400, "the path does not end with a job id of 1 to 64 hexadecimal digits"
            )
        match request.method:
            case "POST":
                return await self._submit(request, route, rest, config)
            case "GET":
                return await self._forward(request, CallKind.STATE, route, rest)
            case "DELETE":
                return await self._forward(request, CallKind.CANCEL, route, rest)
        return error_response(405, "use POST, GET or DELETE")

    async def _submit(
        self, request: web.BaseRequest, route: Route, job_id: str, config: QueueConfig
    ) -> web.Response:
        body = await read_body(request, config.body_bytes or MAX_BODY_BYTES)
        if isinstance(body, Err):
            return body.err_value
        decoded = decode_job(body.ok_value, job_id, route.queue, config, wall_ms())
        if isinstance(decoded, Err):
            return error_response(400, decoded.err_value)
        job = encode_spec(decoded.ok_value)
        return await self._forward(request, CallKind.SUBMIT, route, job_id, job)

    async def _forward(
        self, request: web.BaseRequest, kind: CallKind, route: Route, job_id: str, job: bytes = b""
    ) -> web.Response:
        deadline = _deadline_s(request)
        reply = await self._entry.call(kind, route.queue, job_id, job, deadline)
        if reply.kind is ReplyKind.OK:
            return _json_response(_State(reply.state))
        if kind is CallKind.STATE and reply.kind is ReplyKind.UNKNOWN:
            # A state query has no effects, so 503 holds even if its outcome is unknown.
            return error_response(503, reply.detail, reply.retry_after_s)
        return _error_from_reply(reply)

    async def _count_waiting(self, request: web.BaseRequest, route: Route) -> web.Response:
        deadline = _deadline_s(request)
        reply = await self._entry.call(CallKind.WAITING, route.queue, "", b"", deadline)
        if reply.kind is ReplyKind.OK:
            return _json_response(_Waiting(reply.waiting))
        return _error_from_reply(reply)


def _deadline_s(request: web.BaseRequest) -> float:
    text = request.headers.get(DEADLINE_HEADER, "")
    readable = text.isascii() and text.isdigit() and len(text) <= MAX_DEADLINE_DIGITS
    deadline = int(text) if readable else DEFAULT_DEADLINE_MS
    return min(deadline, MAX_DEADLINE_MS) / 1000


def _json_response(body: msgspec.Struct) -> web.Response:
    return web.Response(body=_ENCODER.encode(body), content_type="application/json")


def _error_from_reply(reply: Reply) -> web.Response:
    return error_response(_STATUS_BY_REPLY[reply.kind], reply.detail, reply.retry_after_s)
