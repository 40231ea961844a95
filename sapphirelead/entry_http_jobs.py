"""Caller API routes for durable jobs: submit, read, cancel and stream events.

A submission returns 202 only once the job's row is committed; if the commit result is not known,
the outcome is ``unknown`` and a retry with the same key resolves it.  Events are streamed as
server-sent events or JSON lines with ids of the form ``epoch.number``; ``Last-Event-ID`` resumes a
stream through any entry, and keepalives are sent while there are no events.  When the entry drains,
streams end with a ``moved`` event and waits return the current state of the job.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

from aiohttp import web
from result import Err, Ok, Result

from sapphirelead.entry_http_problem import job_view, problem
from sapphirelead.entry_http_requests import (
    Rejected,
    parse_job,
    parse_key,
    read_body,
    reject,
    rejected,
)
from sapphirelead.entry_ports import ConfigService, JobService
from sapphirelead.errors import Code, Failure, Outcome
from sapphirelead.metrics import Metrics
from sapphirelead.model_config import Config
from sapphirelead.model_job import Job, JobSpec
from sapphirelead.policy_rules import Decision, RuleSet, Situation
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_messages import WatchEvent

KEEPALIVE_INTERVAL_S: Final = 2.0
MAX_BUFFERED_EVENTS: Final = 256
LAST_EVENT_HEADER: Final = "Last-Event-ID"
STORE_RETRY_S: Final = 2.0

EventPosition = tuple[int, int]


class JobRoutes:
    """Handlers for ``/v1/jobs``."""

    _settings: EntrySettings
    _jobs: JobService
    _config: ConfigService
    _metrics: Metrics
    _draining: asyncio.Event
    _situation: Callable[[JobSpec], Situation]
    _rules: RuleSet

    def __init__(
        self,
        settings: EntrySettings,
        jobs: JobService,
        config: ConfigService,
        metrics: Metrics,
        draining: asyncio.Event,
        situation: Callable[[JobSpec], Situation],
    ) -> None:
        self._settings = settings
        self._jobs = jobs
        self._config = config
        self._metrics = metrics
        self._draining = draining
        self._situation = situation
        self._rules = RuleSet.from_config(config.current.document)
        config.on_change(self._on_config)

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the route definitions."""
        return [
            web.post("/v1/jobs", self._submit),
            web.get("/v1/jobs/{key}", self._read),
            web.delete("/v1/jobs/{key}", self._cancel),
            web.get("/v1/jobs/{key}/events", self._events),
        ]

    async def wait(
        self, key: str, wait_s: float, interrupt: asyncio.Event
    ) -> Result[Job | None, Failure]:
        """Read a job, waiting for its end up to ``wait_s`` or until ``interrupt`` is set."""
        reading = asyncio.ensure_future(self._jobs.get(key, max(0.0, wait_s)))
        interrupted = asyncio.ensure_future(interrupt.wait())
        try:
            await asyncio.wait({reading, interrupted}, return_when=asyncio.FIRST_COMPLETED)
            if reading.done():
                return reading.result()
        finally:
            reading.cancel()
            interrupted.cancel()
        return await self._jobs.get(key, 0.0)

    def refused(self, key: str, failure: Failure) -> web.Response:
        """Return the response to a submission that failed or whose result is not known."""
        # A conflict means that a job with this key exists and is changing, so it may run.
        may_run = failure.code in (Code.STORE_AMBIGUOUS, Code.STORE_CONFLICT)
        outcome = Outcome.UNKNOWN if may_run else Outcome.NOT_RUN
        self._metrics.count("jobs_refused_total", code=failure.code.value)
        return problem(failure, outcome, STORE_RETRY_S, key=key)

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        raw = await read_body(request, self._settings.limits)
        if isinstance(raw, Err):
            return rejected(raw.err_value)
        parsed = parse_job(raw.ok_value)
        if isinstance(parsed, Err):
            return rejected(parsed.err_value)
        spec = parsed.ok_value.to_spec(self._config.current.document)
        decision = self._decide(spec)
        if (refused := decision.refusal("job")) is not None:
            retry_s = decision.then.retry_after_ms / 1000
            return problem(refused, retry_after_s=retry_s, rule=decision.rule)
        # Shielded so that a client disconnect does not interrupt the commit.
        submitting = asyncio.ensure_future(self._jobs.submit(spec, decision.rule))
        submitted = await asyncio.shield(submitting)
        if isinstance(submitted, Err):
            return self.refused(spec.key, submitted.err_value)
        self._metrics.count("jobs_submitted_total", kind=spec.kind.value, rule=decision.rule)
        location = {"Location": f"/v1/jobs/{spec.key}"}
        return web.json_response(job_view(submitted.ok_value), status=202, headers=location)

    def _decide(self, spec: JobSpec) -> Decision:
        return self._rules.decide(self._situation(spec))

    async def _read(self, request: web.Request) -> web.StreamResponse:
        key = parse_key(request.match_info["key"])
        if isinstance(key, Err):
            return rejected(key.err_value)
        wait_ms = _parse_wait(request.query.get("wait_ms", "0"), self._settings.limits.max_wait_ms)
        if isinstance(wait_ms, Err):
            return rejected(wait_ms.err_value)
        wait_s = wait_ms.ok_value / 1000
        return _job_response(key.ok_value, await self.wait(key.ok_value, wait_s, self._draining))

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        key = parse_key(request.match_info["key"])
        if isinstance(key, Err):
            return rejected(key.err_value)
        cancelling = asyncio.ensure_future(self._jobs.cancel(key.ok_value))
        cancelled = await asyncio.shield(cancelling)
        if isinstance(cancelled, Err):
            return _failed(key.ok_value, cancelled.err_value)
        status = 200 if cancelled.ok_value.ended else 202
        return web.json_response(job_view(cancelled.ok_value), status=status)

    async def _events(self, request: web.Request) -> web.StreamResponse:
        key = parse_key(request.match_info["key"])
        if isinstance(key, Err):
            return rejected(key.err_value)
        found = await self._jobs.get(key.ok_value, 0.0)
        if isinstance(found, Err) or found.ok_value is None:
            return _job_response(key.ok_value, found)
        after = _parse_position(request.headers.get(LAST_EVENT_HEADER, ""))
        stream = EventStream(request, "text/event-stream" in request.headers.get("Accept", ""))
        await stream.open()
        ended = await self._follow(key.ok_value, after, stream)
        last = await self._jobs.get(key.ok_value, 0.0)
        job = last.ok_value if isinstance(last, Ok) else None
        final = "end" if ended and job is not None and job.ended else "moved"
        await stream.send(final, "", job_view(job) if job is not None else {"key": key.ok_value})
        await stream.close()
        return stream.response

    async def _follow(self, key: str, after: EventPosition, stream: "EventStream") -> bool:
        """Forward events until the job ends; return ``False`` if the entry drains first."""
        queue: asyncio.Queue[WatchEvent | None] = asyncio.Queue(MAX_BUFFERED_EVENTS)
        enqueueing = asyncio.create_task(_enqueue_events(self._jobs.events(key), queue))
        draining = asyncio.create_task(self._draining.wait())
        getting = asyncio.create_task(queue.get())
        try:
            while True:
                await asyncio.wait(
                    {getting, draining},
                    timeout=KEEPALIVE_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if getting.done():
                    event = getting.result()
                    if event is None:
                        return True
                    await _forward_event(event, after, stream)
                    getting = asyncio.create_task(queue.get())
                elif draining.done():
                    return False
                else:
                    await stream.keep_alive()
        finally:
            for task in (enqueueing, draining, getting):
                task.cancel()

    def _on_config(self, config: Config) -> None:
        self._rules = RuleSet.from_config(config.document)


class EventStream:
    """An event stream to one caller, as server-sent events or JSON lines."""

    response: web.StreamResponse
    _request: web.Request
    _sse: bool

    def __init__(self, request: web.Request, sse: bool) -> None:
        kind = "text/event-stream" if sse else "application/x-ndjson"
        headers = {"Content-Type": kind, "Cache-Control": "no-store"}
        self.response = web.StreamResponse(headers=headers)
        self._request = request
        self._sse = sse

    async def open(self) -> None:
        """Send the response headers."""
        await self.response.prepare(self._request)

    async def send(self, event: str, event_id: str, data: Any) -> None:
        """Send one event."""
        if self._sse:
            head = f"id: {event_id}\n" if event_id else ""
            text = f"{head}event: {event}\ndata: {json.dumps(data)}\n\n"
        else:
            text = json.dumps({"event": event, "id": event_id, "data": data}) + "\n"
        await self.response.write(text.encode())

    async def keep_alive(self) -> None:
        """Send a keepalive, which clients ignore."""
        await self.response.write(b": keepalive\n\n" if self._sse else b"\n")

    async def close(self) -> None:
        """Terminate the stream."""
        await self.response.write_eof()


async def _enqueue_events(
    events: AsyncIterator[WatchEvent], queue: "asyncio.Queue[WatchEvent | None]"
) -> None:
    async for event in events:
        await queue.put(event)
    await queue.put(None)


async def _forward_event(event: WatchEvent, after: EventPosition, stream: EventStream) -> None:
    if (event.epoch, event.number) > after:
        await stream.send("event", f"{event.epoch}.{event.number}", event.event)


def _parse_position(text: str) -> EventPosition:
    """Parse a ``Last-Event-ID``; return ``(0, 0)`` if it is missing or malformed.

    >>> _parse_position("3.12")
    (3, 12)
    >>> _parse_position("x")
    (0, 0)
    """
    epoch, _, number = text.partition(".")
    if epoch.isdecimal() and number.isdecimal():
        return int(epoch), int(number)
    return 0, 0


def _parse_wait(text: str, max_ms: int) -> Result[int, Rejected]:
    if text.isdecimal() and len(text) < 10 and int(text) <= max_ms:
        return Ok(int(text))
    wrong = "must be an integer within the limits"
    return Err(reject(Code.BAD_REQUEST, "wait_ms", wrong, f"0 to {max_ms}", "milliseconds"))


def _job_response(key: str, found: Result[Job | None, Failure]) -> web.Response:
    if isinstance(found, Err):
        return _failed(key, found.err_value)
    if found.ok_value is None:
        return _failed(key, Failure(Code.NOT_FOUND, f"no job has the key {key!r}"))
    return web.json_response(job_view(found.ok_value))


def _failed(key: str, failure: Failure) -> web.Response:
    """Return the response to a read or cancellation that failed.

    The outcome is ``unknown`` even if there is no row: a submission whose response was lost may
    still be committed.
    """
    return problem(failure, Outcome.UNKNOWN, STORE_RETRY_S, key=key)
