"""HTTP API for callers.

``POST /v1/services/{service}`` forwards a request to a target and returns the target's response.
A request that is not idempotent becomes a durable job keyed by its ``Idempotency-Key``, so a retry
through any entry joins the same job (see :mod:`sapphirelead.entry_http_jobs` for the job routes).
Every response not produced by a target is a problem document with an ``outcome``.  A draining
entry refuses new requests as ``not_run`` and completes open ones.  A client disconnect cancels the
handler, which closes its attempts.
"""

import asyncio
import base64
import uuid
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any, Final

from aiohttp import web
from result import Err, Ok, Result

from sapphirelead.clock import now
from sapphirelead.entry_http_jobs import JobRoutes
from sapphirelead.entry_http_problem import job_view, outcome_of, problem
from sapphirelead.entry_http_requests import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    TEAM_HEADER,
    URGENT_HEADER,
    Rejected,
    check_headers,
    class_resources,
    forwarded_headers,
    parse_deadline_ms,
    parse_flag,
    parse_key,
    parse_name,
    read_body,
    rejected,
)
from sapphirelead.entry_ports import ConfigService, JobService
from sapphirelead.entry_service import ServiceDispatcher
from sapphirelead.entry_service_state import ServiceCall, ServiceReply
from sapphirelead.errors import Code, Failure, Outcome
from sapphirelead.http_guard import GuardedSite, HttpGuard
from sapphirelead.http_limits import HttpLimits, Reason, descriptor_limit
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.model_config import ServicePolicy
from sapphirelead.model_job import Job, JobSpec, Kind
from sapphirelead.policy_rules import Situation
from sapphirelead.settings import CallerLimits, EntrySettings

OUTCOME_HEADER: Final = "X-Request-Outcome"
RULE_HEADER: Final = "X-Request-Rule"
KEEPALIVE_TIMEOUT_S: Final = 75.0
SHUTDOWN_TIMEOUT_S: Final = 1.0
WAIT_CUTOFF_S: Final = 1.0
RETRY_AFTER_S: Final = 1.0
# Time to keep reading an unread body before closing, so that the caller receives the response.
LINGERING_TIMEOUT_S: Final = 0.5
# Callers whose body is late get a response from the handler first.
READ_TIMEOUT_SLACK_S: Final = 5.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class CallerPorts:
    """Dependencies of the caller API.

    :ivar ready: whether the load balancer may route requests to this entry.
    :ivar job_situation: builds the rule input for a submitted job.
    """

    dispatcher: ServiceDispatcher
    jobs: JobService
    config: ConfigService
    metrics: Metrics
    ready: Callable[[], bool]
    job_situation: Callable[[JobSpec], Situation]


@dataclass(frozen=True, slots=True)
class _ParsedCall:
    """A parsed service request and its deadline on the monotonic clock, in seconds."""

    call: ServiceCall
    deadline: float


class CallerApi:
    """HTTP server for callers.

    :ivar port: bound port; 0 before :meth:`start`.
    """

    port: int
    _settings: EntrySettings
    _ports: CallerPorts
    _routes: JobRoutes
    _runner: web.AppRunner | None
    _draining: asyncio.Event
    _closing: asyncio.Event
    _open: int
    _idle: asyncio.Event
    _drain_exempt: tuple[str, ...]

    def __init__(self, settings: EntrySettings, ports: CallerPorts) -> None:
        self.port = 0
        self._settings = settings
        self._ports = ports
        self._draining = asyncio.Event()
        self._closing = asyncio.Event()
        self._routes = JobRoutes(
            settings,
            ports.jobs,
            ports.config,
            ports.metrics,
            self._draining,
            ports.job_situation,
        )
        self._runner = None
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._drain_exempt = ()

    @classmethod
    def from_settings(cls, settings: EntrySettings, ports: CallerPorts) -> "CallerApi":
        """Return a server that is not yet bound."""
        return cls(settings, ports)

    async def start(
        self, more: Iterable[web.AbstractRouteDef] = (), drain_exempt: tuple[str, ...] = ()
    ) -> None:
        """Bind and serve.

        :param more: routes of other APIs on the same port.
        :param drain_exempt: path prefixes whose handlers refuse requests themselves while draining.
        """
        self._drain_exempt = drain_exempt
        limits = self._settings.limits
        guard = HttpGuard(_http_limits(limits), self._ports.metrics)
        app = web.Application(middlewares=[self._admit], client_max_size=limits.body_bytes)
        app.add_routes([*self._own_routes(), *self._routes.routes(), *more])
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            lingering_time=LINGERING_TIMEOUT_S,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            **guard.library_options(),
        )
        await self._runner.setup()
        address = (self._settings.bind_host, self._settings.http_port)
        site = GuardedSite(self._runner, guard, address, guard.limits.connections, _refused)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def drain(self, limit_s: float) -> None:
        """Refuse new requests and return when all open ones have completed.

        Non-idempotent requests that still wait for their job receive its current state
        ``WAIT_CUTOFF_S`` before the limit.
        """
        self._draining.set()
        cutoff_timer = asyncio.get_running_loop().call_later(
            max(0.0, limit_s - WAIT_CUTOFF_S), self._closing.set
        )
        await self._idle.wait()
        cutoff_timer.cancel()

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _own_routes(self) -> list[web.AbstractRouteDef]:
        return [
            web.post("/v1/services/{service}", self._serve),
            web.get("/healthz", self._healthz),
            web.get("/readyz", self._readyz),
        ]

    # Request admission.

    @web.middleware
    async def _admit(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        self._open += 1
        self._idle.clear()
        try:
            return await handler(request)
        except web.HTTPException as exc:
            return _http_problem(exc)
        finally:
            self._open -= 1
            if not self._open:
                self._idle.set()

    def _refusal(self, request: web.Request) -> web.Response | None:
        checked = check_headers(request.headers, self._settings.limits)
        if isinstance(checked, Err):
            return rejected(checked.err_value)
        if request.method not in ("POST", "PUT"):
            return None
        if self._draining.is_set() and not request.path.startswith(self._drain_exempt):
            hint = "retry; the load balancer will select another entry"
            failure = Failure(Code.DRAINING, "this entry is draining", hint)
            response = problem(failure, retry_after_s=RETRY_AFTER_S)
            response.force_close()
            return response
        if self._open >= self._settings.limits.open_requests:
            failure = Failure(Code.OVERLOADED, "this entry has too many open requests")
            return problem(failure, retry_after_s=RETRY_AFTER_S)
        return None

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _readyz(self, _request: web.Request) -> web.Response:
        ready = self._ports.ready() and not self._draining.is_set()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    # Service requests.

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        started_at = now()
        raw = await read_body(request, self._settings.limits)
        if isinstance(raw, Err):
            return rejected(raw.err_value)
        parsed = self._parse(request, raw.ok_value, started_at)
        if isinstance(parsed, Err):
            return rejected(parsed.err_value)
        parsed_call = parsed.ok_value
        if not parsed_call.call.idempotent:
            return await self._serve_durably(request, parsed_call)
        reply = await self._ports.dispatcher.call(parsed_call.call)
        self._record_reply(parsed_call.call.service, reply, now() - started_at)
        return _response(reply)

    def _parse(
        self, request: web.Request, body: bytes, started_at: float
    ) -> Result[_ParsedCall, Rejected]:
        headers = request.headers
        limits = self._settings.limits
        service = parse_name("service", request.match_info["service"])
        if isinstance(service, Err):
            return service
        configured = self._ports.config.current.document.services.get(service.ok_value)
        default_ms = configured.deadline_ms if configured else limits.default_deadline_ms
        deadline = parse_deadline_ms(
            headers.get(DEADLINE_HEADER), default_ms, limits.max_deadline_ms
        )
        if isinstance(deadline, Err):
            return deadline
        policy = configured or ServicePolicy()
        idempotent = parse_flag(
            IDEMPOTENT_HEADER, headers.get(IDEMPOTENT_HEADER), policy.idempotent
        )
        if isinstance(idempotent, Err):
            return idempotent
        urgent = parse_flag(URGENT_HEADER, headers.get(URGENT_HEADER), False)
        if isinstance(urgent, Err):
            return urgent
        team = parse_name(TEAM_HEADER, headers.get(TEAM_HEADER, "default"))
        if isinstance(team, Err):
            return team
        at = started_at + deadline.ok_value / 1000
        call = ServiceCall(
            service.ok_value,
            forwarded_headers(headers),
            body,
            # Time spent reading the body counts against the deadline.
            max(0.0, at - now()),
            idempotent.ok_value,
            urgent.ok_value,
            team.ok_value,
        )
        return Ok(_ParsedCall(call, at))

    def _record_reply(self, service: str, reply: ServiceReply, elapsed_s: float) -> None:
        metrics = self._ports.metrics
        outcome = reply.outcome.value
        metrics.count("service_requests_total", service=service, outcome=outcome, rule=reply.rule)
        if reply.outcome is Outcome.DONE:
            metrics.latency("service_latency_ms", elapsed_s * 1000, service=service)
            return
        code = reply.failure.code.value if reply.failure else ""
        log_event(
            "INFO",
            "request_given_up",
            service=service,
            outcome=outcome,
            code=code,
            rule=reply.rule,
            attempts=reply.attempts,
            elapsed_ms=round(elapsed_s * 1000, 1),
        )

    # Non-idempotent requests.

    async def _serve_durably(
        self, request: web.Request, parsed_call: _ParsedCall
    ) -> web.StreamResponse:
        key = parse_key(request.headers.get(KEY_HEADER) or uuid.uuid4().hex)
        if isinstance(key, Err):
            return rejected(key.err_value)
        decision = self._ports.dispatcher.decide(parsed_call.call)
        if (refused := decision.refusal("request")) is not None:
            return problem(refused, retry_after_s=decision.then.retry_after_ms / 1000)
        spec = self._durable_spec(
            key.ok_value, parsed_call.call, request.headers.get("Content-Type")
        )
        # Shielded so that a client disconnect does not interrupt the commit; a retry with the same
        # key finds the row.
        submitting = asyncio.ensure_future(self._ports.jobs.submit(spec, decision.rule))
        submitted = await asyncio.shield(submitting)
        if isinstance(submitted, Err):
            return self._routes.refused(spec.key, submitted.err_value)
        waited = await self._routes.wait(spec.key, parsed_call.deadline - now(), self._closing)
        response = _durable_response(spec.key, submitted.ok_value, waited)
        response.headers[KEY_HEADER] = spec.key
        response.headers[RULE_HEADER] = decision.rule
        return response

    def _durable_spec(self, key: str, call: ServiceCall, content_type: str | None) -> JobSpec:
        document = self._ports.config.current.document
        return JobSpec(
            key=key,
            kind=Kind.BATCH,
            job_class=call.service,
            team=call.team,
            resources=class_resources(document, call.service),
            input=_encode_input(call.service, call.body, content_type or ""),
            idempotent=False,
            urgent=call.urgent,
            deadline_ms=int(call.budget_s * 1000),
        )


def _http_limits(limits: CallerLimits) -> HttpLimits:
    machine = HttpLimits.from_machine(limits.memory_mb, limits.max_fds or descriptor_limit())
    return replace(
        machine,
        memory_bytes=max(machine.memory_bytes, 2 * limits.body_bytes),
        head_bytes=2 * limits.header_bytes,
        receive_timeout_s=limits.read_timeout_seconds + READ_TIMEOUT_SLACK_S,
    )


def _refused(reason: Reason) -> web.Response:
    """Return the response to a request that the limits of the server refuse."""
    code = Code.OVERLOADED if reason is Reason.MEMORY else Code.BAD_REQUEST
    failure = Failure(code, reason.message)
    return problem(failure, retry_after_s=RETRY_AFTER_S, status=reason.status)


def _encode_input(service: str, body: bytes, content_type: str) -> dict[str, Any]:
    """Encode a request as job input; equal requests must encode to equal inputs."""
    fields = {"service": service, "content_type": content_type}
    try:
        return {**fields, "body": body.decode(), "encoding": "text"}
    except UnicodeDecodeError:
        return {**fields, "body": base64.b64encode(body).decode(), "encoding": "base64"}


def _durable_response(
    key: str, submitted: Job, waited: Result[Job | None, Failure]
) -> web.Response:
    job = waited.ok_value if isinstance(waited, Ok) and waited.ok_value else submitted
    outcome = outcome_of(job)
    if outcome is Outcome.DONE:
        headers = {OUTCOME_HEADER: outcome.value}
        return web.json_response(job_view(job), headers=headers)
    where = f"/v1/jobs/{key}"
    if outcome is None:
        text = "accepted, but not finished before the deadline; the job continues"
        failure = Failure(Code.DEADLINE, text, f"read {where}, or retry with the same key")
        return problem(failure, Outcome.UNKNOWN, key=key, job=where, state=job.state.value)
    failure = Failure(Code.LOST, f"the job ended as {job.state.value}: {job.reason}")
    return problem(failure, outcome, key=key, job=where, state=job.state.value)


def _response(reply: ServiceReply) -> web.Response:
    common = {OUTCOME_HEADER: reply.outcome.value, RULE_HEADER: reply.rule}
    if reply.failure is not None:
        response = problem(reply.failure, reply.outcome, reply.retry_after_s, rule=reply.rule)
        response.headers.update(common)
        return response
    headers = {name: value for name, value in reply.headers.items() if _is_forwarded(name)}
    return web.Response(status=reply.status, headers={**headers, **common}, body=reply.body)


def _is_forwarded(name: str) -> bool:
    return name.lower() not in ("content-length", "transfer-encoding", "connection")


def _http_problem(exc: web.HTTPException) -> web.StreamResponse:
    """Convert a routing error, such as 404 or 405, to a problem document."""
    if exc.status < 400:
        return exc
    failure = Failure(Code.BAD_REQUEST, exc.reason)
    if exc.status == 404:
        failure = Failure(Code.NOT_FOUND, "no such path", "see docs/openapi.yaml")
    response = problem(failure, status=exc.status)
    if "Allow" in exc.headers:
        response.headers["Allow"] = exc.headers["Allow"]
    return response
