"""Caller API for jobs of steps: submit, query and cancel through any entry.

An entry forwards each call to the leader.  An error reports the outcome ``not_run`` only if no
leader can have stored the call, and ``unknown`` if one may have.  A submission is answered once the
job is stored; repeating it with the same id and content returns the existing job.

A leaving entry serves calls until the load balancer has stopped routing to it
(:mod:`sapphirelead.node_leaving`); later calls are rejected as not run.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import web
from result import Err, Ok, Result

from sapphirelead.admission.tickets import MAX_TICKET_CHARACTERS
from sapphirelead.clock import wall_ms
from sapphirelead.entry_http_problem import problem
from sapphirelead.entry_http_requests import (
    DEADLINE_HEADER,
    Rejected,
    parse_deadline_ms,
    parse_name,
    read_body,
    rejected,
)
from sapphirelead.entry_ports import ConfigService
from sapphirelead.errors import Code, Failure, Outcome
from sapphirelead.fleet_jobs import parse_job_id, parse_job_of_steps
from sapphirelead.node_callers import RequestTracker
from sapphirelead.node_entry import FleetEntry
from sapphirelead.node_messages import CallKind, Reply, ReplyKind
from sapphirelead.sched_job import encode_spec
from sapphirelead.settings import CallerLimits

PREFIX: Final = "/v1/queues/"
EXPECTED_STATUSES: Final = frozenset({200, 202, 404})
RETRY_AFTER_S: Final = 1.0

TICKET_HEADER: Final = "Return-Ticket"
"""Given to a caller that is refused for lack of capacity, whose place it holds."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_REPLY_CODE: Final = {
    ReplyKind.ABSENT: Code.NOT_FOUND,
    ReplyKind.NOT_RUN: Code.NO_LEADER,
    ReplyKind.NOT_LEADER: Code.NO_LEADER,
    ReplyKind.UNKNOWN: Code.STORE_AMBIGUOUS,
    ReplyKind.INVALID: Code.BAD_REQUEST,
}
_HINT: Final = {
    Code.NO_LEADER: "retry after Retry-After, through any entry",
    Code.STORE_AMBIGUOUS: "retry with the same id, through any entry",
    Code.CONFIG_BEHIND: "retry after Retry-After, through any entry",
    Code.TOO_LATE: "retry after Retry-After, through any entry, with the same Return-Ticket header",
    Code.NO_INSTANCE: "retry after Retry-After; see `sapphirelead zones list`",
}


class QueueRoutes:
    """HTTP handlers of ``/v1/queues``, including the draining of callers on shutdown."""

    _limits: CallerLimits
    _entry: FleetEntry
    _config: ConfigService
    _advice_configured: bool
    _request_tracker: RequestTracker
    _closed: bool

    def __init__(
        self,
        limits: CallerLimits,
        entry: FleetEntry,
        config: ConfigService,
        advice_configured: bool,
    ) -> None:
        """Create the handlers of one entry.

        :param advice_configured: whether an advice service, which issues tickets, is configured.
        """
        self._limits = limits
        self._entry = entry
        self._config = config
        self._advice_configured = advice_configured
        self._request_tracker = RequestTracker(entry, EXPECTED_STATUSES)
        self._closed = False

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the HTTP routes."""
        job = PREFIX + "{queue}/jobs/{id}"
        return [
            web.get(PREFIX + "{queue}", self._tracked(self._waiting)),
            web.post(job, self._tracked(self._submit)),
            web.get(job, self._tracked(self._state)),
            web.delete(job, self._tracked(self._cancel)),
        ]

    # Draining of callers.

    @property
    def in_progress(self) -> int:
        """Number of requests that were read but not yet answered."""
        return self._request_tracker.in_progress

    def redirect_callers(self) -> None:
        """Close each connection after its next response, so that callers reconnect elsewhere."""
        self._request_tracker.leaving = True

    async def close(self) -> None:
        """Reject new requests and wait until the pending ones are answered."""
        self._closed = True
        await self._request_tracker.wait_until_idle()

    # Request handlers.

    def _tracked(self, handler: Handler) -> Handler:
        async def answer(request: web.Request) -> web.StreamResponse:
            return await self._request_tracker.answer(request, handler)

        return answer

    async def _submit(self, request: web.Request) -> web.Response:
        job_request = self._parse_job_request(request)
        if isinstance(job_request, Err):
            return rejected(job_request.err_value)
        queue, job_id, deadline_s = job_request.ok_value
        config = self._config.current.document.queues.get(queue)
        if config is None:
            return self._unknown_queue(queue)
        if config.advice.valid_ms and not self._advice_configured:
            text = f"queue {queue!r} requires start tickets, but no advice service is configured"
            return problem(
                Failure(Code.IMPOSSIBLE, text, "ask the operators to set fleet.advice_url")
            )
        body = await read_body(request, self._limits)
        if isinstance(body, Err):
            return rejected(body.err_value)
        parsed = parse_job_of_steps(body.ok_value, job_id, queue, config, wall_ms())
        if isinstance(parsed, Err):
            return rejected(parsed.err_value)
        reply = await self._call(
            CallKind.SUBMIT,
            queue,
            job_id,
            deadline_s,
            encode_spec(parsed.ok_value),
            request.headers.get(TICKET_HEADER, ""),
        )
        if reply.kind is not ReplyKind.OK:
            response = _error_response(reply, id=job_id)
            if reply.ticket:
                response.headers[TICKET_HEADER] = reply.ticket
            return response
        if reply.conflicting:
            text = f"id {job_id!r} is already used by a job with different content"
            return problem(Failure(Code.KEY_REUSED, text, "use a new id"), id=job_id)
        return _job_response(queue, job_id, reply, 202)

    async def _state(self, request: web.Request) -> web.Response:
        return await self._call_job(request, CallKind.STATE)

    async def _cancel(self, request: web.Request) -> web.Response:
        return await self._call_job(request, CallKind.CANCEL)

    async def _call_job(self, request: web.Request, kind: CallKind) -> web.Response:
        job_request = self._parse_job_request(request)
        if isinstance(job_request, Err):
            return rejected(job_request.err_value)
        queue, job_id, deadline_s = job_request.ok_value
        reply = await self._call(kind, queue, job_id, deadline_s)
        if reply.kind is ReplyKind.OK:
            return _job_response(queue, job_id, reply, 200)
        if kind is CallKind.CANCEL and reply.kind is ReplyKind.NOT_RUN and not self._closed:
            # The entry rejects a cancellation if too many are in progress.
            return _error_response(reply, Outcome.UNKNOWN, id=job_id)
        return _error_response(reply, read_only=kind is CallKind.STATE, id=job_id)

    async def _waiting(self, request: web.Request) -> web.Response:
        queue = parse_name("queue", request.match_info["queue"])
        if isinstance(queue, Err):
            return rejected(queue.err_value)
        deadline = self._deadline_s(request)
        if isinstance(deadline, Err):
            return rejected(deadline.err_value)
        if queue.ok_value not in self._config.current.document.queues:
            return self._unknown_queue(queue.ok_value)
        reply = await self._call(CallKind.WAITING, queue.ok_value, "", deadline.ok_value)
        if reply.kind is ReplyKind.OK:
            return web.json_response({"queue": queue.ok_value, "waiting": reply.waiting})
        return _error_response(reply, read_only=True)

    async def _call(
        self,
        kind: CallKind,
        queue: str,
        job_id: str,
        deadline_s: float,
        job: bytes = b"",
        ticket: str = "",
    ) -> Reply:
        if self._closed:
            return Reply(
                0, ReplyKind.NOT_RUN, retry_after_s=RETRY_AFTER_S, detail="this entry is leaving"
            )
        if ticket and len(ticket) <= MAX_TICKET_CHARACTERS:
            return await self._entry.call(kind, queue, job_id, job, deadline_s, ticket)
        return await self._entry.call(kind, queue, job_id, job, deadline_s)

    def _parse_job_request(self, request: web.Request) -> Result[tuple[str, str, float], Rejected]:
        """Return queue, job id and deadline (in seconds) of a request for one job."""
        queue = parse_name("queue", request.match_info["queue"])
        if isinstance(queue, Err):
            return queue
        job_id = parse_job_id(request.match_info["id"])
        if isinstance(job_id, Err):
            return job_id
        deadline = self._deadline_s(request)
        if isinstance(deadline, Err):
            return deadline
        return Ok((queue.ok_value, job_id.ok_value, deadline.ok_value))

    def _deadline_s(self, request: web.Request) -> Result[float, Rejected]:
        limits = self._limits
        text = request.headers.get(DEADLINE_HEADER)
        found = parse_deadline_ms(text, limits.default_deadline_ms, limits.max_deadline_ms)
        return found.map(lambda deadline_ms: deadline_ms / 1000)

    def _unknown_queue(self, queue: str) -> web.Response:
        """Return the error for an unknown queue, or for a configuration that is not loaded yet."""
        if self._entry.sync.behind:
            return _error_response(self._entry.behind_reply())
        if self._config.current.version == 0:
            failure = Failure(Code.NO_LEADER, "no configuration is loaded yet", "retry later")
            return problem(failure, retry_after_s=RETRY_AFTER_S)
        text = f"unknown queue {queue!r}"
        return problem(Failure(Code.NOT_FOUND, text, "see `sapphirelead config show`"))


def _job_response(queue: str, job_id: str, reply: Reply, status: int) -> web.Response:
    body = {"queue": queue, "id": job_id, "state": reply.state}
    if reply.code:
        body |= {"code": reply.code, "detail": reply.detail}
    headers = {"Location": f"{PREFIX}{queue}/jobs/{job_id}"} if status == 202 else {}
    return web.json_response(body, status=status, headers=headers)


def _error_response(
    reply: Reply, outcome: Outcome = Outcome.NOT_RUN, read_only: bool = False, **extra: Any
) -> web.Response:
    """Return the error response for a call that failed.

    :param outcome: outcome to report unless the reply leaves it unknown.
    :param read_only: the call has no effect, so an ambiguous reply is reported as not run.
    """
    code = Code(reply.code) if reply.code else _REPLY_CODE[reply.kind]
    if code is Code.STORE_AMBIGUOUS and read_only:
        code = Code.NO_LEADER
    elif code is Code.STORE_AMBIGUOUS or (code is Code.NOT_FOUND and "id" in extra):
        # A submission whose response was lost may still take effect.
        outcome = Outcome.UNKNOWN
    elif reply.kind is ReplyKind.UNKNOWN and not read_only:
        outcome = Outcome.UNKNOWN
    text = reply.detail or (
        "no such job" if code is Code.NOT_FOUND else "the call was not executed"
    )
    failure = Failure(code, text, _HINT.get(code, ""))
    return problem(failure, outcome, reply.retry_after_s, **extra)
