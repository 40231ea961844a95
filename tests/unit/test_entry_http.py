"""Tests the caller API over HTTP on loopback, with a fake backend."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import aiohttp
import pytest
from result import Err, Ok, Result

from sapphirelead.entry_http import CallerApi, CallerPorts
from sapphirelead.entry_service_state import ServiceCall, ServiceReply
from sapphirelead.errors import Code, Failure, Outcome
from sapphirelead.metrics import Metrics
from sapphirelead.model_config import Config, ConfigDocument
from sapphirelead.model_job import Job, JobSpec, JobState
from sapphirelead.policy_rules import RuleSet, Situation
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_messages import WatchEvent

LIMITS = {
    "body_bytes": 2000,
    "header_bytes": 1500,
    "read_timeout_seconds": 0.3,
    "open_requests": 20,
}
JOB = {"key": "k1", "kind": "batch", "job_class": "rollover", "input": {"n": 1}}
Answer = tuple[int, Any, Any]


class FakeBackend:
    """Fake dispatcher, job service and configuration service."""

    def __init__(self, **document: Any) -> None:
        self.current = Config(1, ConfigDocument.model_validate(document))
        self.calls: list[ServiceCall] = []
        self.jobs: dict[str, Job] = {}
        self.refusal: Failure | None = None
        self.ended = asyncio.Event()
        self.reply_delay_s = 0.0

    def on_change(self, _listener: Any) -> None:
        pass

    async def call(self, call: ServiceCall) -> ServiceReply:
        self.calls.append(call)
        await asyncio.sleep(self.reply_delay_s)
        if self.refusal:
            return ServiceReply(
                Outcome.NOT_RUN, "(default)", 0, failure=self.refusal, retry_after_s=2.3
            )
        return ServiceReply(Outcome.DONE, "(default)", 1, 201, {"X-Own": "yes"}, call.body)

    def decide(self, call: ServiceCall) -> Any:
        return RuleSet.from_config(self.current.document).decide(Situation(kind="service"))

    async def submit(self, spec: JobSpec, rule: str) -> Result[Job, Failure]:
        if self.refusal:
            return Err(self.refusal)
        held = self.jobs.setdefault(spec.key, Job(spec, rule=rule))
        same = replace(spec, deadline_ms=0) == replace(held.spec, deadline_ms=0)
        return Ok(held) if same else Err(Failure(Code.KEY_REUSED, "key names another job"))

    async def get(self, key: str, wait_s: float) -> Result[Job | None, Failure]:
        if self.refusal:
            return Err(self.refusal)
        if wait_s:
            await asyncio.wait({asyncio.ensure_future(self.ended.wait())}, timeout=wait_s)
        job = self.jobs.get(key)
        if job and self.ended.is_set():
            job = replace(job, state=JobState.DONE, epoch=1, result={"sum": 7})
        return Ok(job)

    async def cancel(self, key: str) -> Result[Job, Failure]:
        if key not in self.jobs:
            return Err(Failure(Code.NOT_FOUND, "no such job"))
        return self.jobs[key].request_cancel()

    async def events(self, key: str) -> AsyncIterator[WatchEvent]:
        for number in range(1, 4):
            yield WatchEvent(
                sender="i1", incarnation="a", config_version=1, key=key, epoch=1, number=number,
                event={"n": number},
            )  # fmt: skip
        await self.ended.wait()


@asynccontextmanager
async def serving(backend: FakeBackend) -> AsyncIterator[tuple[CallerApi, aiohttp.ClientSession]]:
    settings = EntrySettings.model_validate(
        {
            "id": "e1",
            "zone": "z0",
            "http_port": 0,
            "platform": {"table_url": "http://127.0.0.1:1"},
            "limits": LIMITS,
        }
    )
    fake: Any = backend
    ports = CallerPorts(
        fake, fake, fake, Metrics(), lambda: True, lambda spec: Situation(kind=spec.kind.value)
    )
    api = CallerApi.from_settings(settings, ports)
    await api.start()
    try:
        async with aiohttp.ClientSession(f"http://127.0.0.1:{api.port}") as http:
            yield api, http
    finally:
        await api.stop()


async def send_request(
    http: aiohttp.ClientSession, method: str, path: str, **options: Any
) -> tuple[int, Any, Any]:
    async with http.request(method, path, **options) as response:
        raw = await response.read()
        decoded = json.loads(raw) if "json" in response.content_type else raw
        return response.status, decoded, response.headers


SERVICE = "/v1/services/checks"
# Request, and the expected status, code and field.
INVALID_REQUESTS: dict[str, tuple[str, str, dict[str, Any], tuple[int, str, str]]] = {
    "deadline no number": (
        "POST", SERVICE, {"headers": {"X-Request-Deadline-Ms": "soon"}},
        (400, "SL-100", "X-Request-Deadline-Ms"),
    ),
    "deadline too long": (
        "POST", SERVICE, {"headers": {"X-Request-Deadline-Ms": "600001"}},
        (400, "SL-100", "X-Request-Deadline-Ms"),
    ),
    "flag": (
        "POST", SERVICE, {"headers": {"X-Request-Idempotent": "perhaps"}},
        (400, "SL-100", "X-Request-Idempotent"),
    ),
    "service name": ("POST", "/v1/services/a%2Fb", {}, (400, "SL-100", "service")),
    "key": (
        "POST", SERVICE,
        {"headers": {"X-Request-Idempotent": "false", "Idempotency-Key": "a b"}},
        (400, "SL-100", "Idempotency-Key"),
    ),
    "large body": ("POST", SERVICE, {"data": b"x" * 2001}, (413, "SL-101", "body")),
    "large headers": (
        "POST", SERVICE, {"headers": {f"X-{n}": "v" * 100 for n in range(15)}},
        (413, "SL-101", "headers"),
    ),
    "no JSON": ("POST", "/v1/jobs", {"data": b"{"}, (400, "SL-100", "body")),
    "no key": ("POST", "/v1/jobs", {"json": {}}, (422, "SL-102", "key")),
    "unknown field": (
        "POST", "/v1/jobs", {"json": {**JOB, "speed": 1}}, (422, "SL-102", "speed"),
    ),
    "negative size": (
        "POST", "/v1/jobs", {"json": {**JOB, "resources": {"memory_mb": -1}}},
        (422, "SL-102", "resources.memory_mb"),
    ),
    "wait": ("GET", "/v1/jobs/k1?wait_ms=99999999", {}, (400, "SL-100", "wait_ms")),
    "no such job": ("GET", "/v1/jobs/none", {}, (404, "SL-103", "")),
    "no such path": ("GET", "/v2", {}, (404, "SL-103", "")),
    "method": ("PUT", SERVICE, {}, (405, "SL-100", "")),
}  # fmt: skip


@pytest.mark.parametrize("name", INVALID_REQUESTS)
async def test_invalid_input_is_rejected_with_the_field_named(name: str) -> None:
    method, path, options, expected = INVALID_REQUESTS[name]
    backend = FakeBackend()
    async with serving(backend) as (_, http):
        status, body, _ = await send_request(http, method, path, **options)
        assert (status, body["code"], body.get("field", "")) == expected
        assert body["status"] == status and body["outcome"] in ("not_run", "unknown")
        assert body.get("limit") or not expected[2] or expected[1] == "SL-102"
        assert not backend.calls and not backend.jobs


RAW_HEAD = b"POST /v1/services/checks HTTP/1.1\r\nHost: x\r\n"
MALFORMED: dict[str, tuple[bytes, bytes]] = {
    "slow body": (RAW_HEAD + b"Content-Length: 10\r\n\r\nabc", b"400"),
    "bad chunk": (RAW_HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
    "not HTTP": (b"\x00\x01\x02\r\n\r\n", b"400"),
}


@pytest.mark.parametrize("name", MALFORMED)
async def test_malformed_request_is_closed_without_blocking_others(name: str) -> None:
    sent, expected = MALFORMED[name]
    backend = FakeBackend()
    async with serving(backend) as (api, http):
        reader, writer = await asyncio.open_connection("127.0.0.1", api.port)
        writer.write(sent)
        assert (await send_request(http, "POST", SERVICE, data=b"quick"))[0] == 201
        line = await asyncio.wait_for(reader.readline(), 3)
        assert expected in line
        writer.close()
        assert [call.body for call in backend.calls] == [b"quick"]


async def test_target_response_is_returned_unchanged() -> None:
    backend = FakeBackend(services={"checks": {"deadline_ms": 700}})
    async with serving(backend) as (_, http):
        headers = {"X-Request-Team": "roofs", "X-Other": "1", "Connection": "keep-alive"}
        status, body, got = await send_request(
            http, "POST", SERVICE, data=b"photo", headers=headers
        )
    assert (status, body, got["X-Own"], got["X-Request-Outcome"]) == (201, b"photo", "yes", "done")
    call = backend.calls[0]
    assert (call.team, call.headers["X-Other"], "Host" in call.headers) == ("roofs", "1", False)
    assert 0.6 < call.budget_s <= 0.7


REFUSALS: dict[str, tuple[Code, int, str]] = {
    "overloaded": (Code.OVERLOADED, 429, "3"),
    "nobody there": (Code.NO_INSTANCE, 503, "3"),
    "by rule": (Code.REFUSED_BY_RULE, 503, "3"),
    "deadline": (Code.DEADLINE, 504, ""),
}


@pytest.mark.parametrize("name", REFUSALS)
async def test_rejection_has_retry_after(name: str) -> None:
    code, status, retry_after = REFUSALS[name]
    backend = FakeBackend()
    backend.refusal = Failure(code, "no")
    async with serving(backend) as (_, http):
        got, body, headers = await send_request(http, "POST", SERVICE)
    assert (got, body["outcome"], headers.get("Retry-After", "")) == (
        status,
        "not_run",
        retry_after,
    )


STORE_FAILURES: dict[str, tuple[Code, int, str]] = {
    "down": (Code.STORE_UNAVAILABLE, 503, "not_run"),
    "answer lost": (Code.STORE_AMBIGUOUS, 504, "unknown"),
    "impossible": (Code.IMPOSSIBLE, 422, "not_run"),
}


@pytest.mark.parametrize("name", STORE_FAILURES)
async def test_failed_submission_reports_its_outcome(name: str) -> None:
    code, status, outcome = STORE_FAILURES[name]
    backend = FakeBackend()
    backend.refusal = Failure(code, "no")
    async with serving(backend) as (_, http):
        got, body, _ = await send_request(http, "POST", "/v1/jobs", json=JOB)
    assert (got, body["outcome"], body["key"]) == (status, outcome, "k1")


async def test_job_is_submitted_joined_read_and_cancelled() -> None:
    backend = FakeBackend(job_classes={"rollover": {"cpu_millicores": 250}})
    async with serving(backend) as (_, http):
        assert (await send_request(http, "POST", "/v1/jobs", json=JOB))[0] == 202
        status, body, headers = await send_request(http, "POST", "/v1/jobs", json=JOB)
        assert (status, body["state"], headers["Location"]) == (202, "queued", "/v1/jobs/k1")
        assert (await send_request(http, "POST", "/v1/jobs", json={**JOB, "input": 2}))[0] == 422
        assert backend.jobs["k1"].spec.resources.cpu_millicores == 250
        status, body, _ = await send_request(http, "DELETE", "/v1/jobs/k1")
        assert (status, body["state"], body["outcome"]) == (200, "cancelled", "not_run")


async def test_non_idempotent_request_waits_for_a_durable_job() -> None:
    backend = FakeBackend()
    once = {"X-Request-Idempotent": "false", "Idempotency-Key": "r-1"}
    async with serving(backend) as (_, http):
        late = {**once, "X-Request-Deadline-Ms": "100"}
        status, body, headers = await send_request(
            http, "POST", SERVICE, data=b"roll", headers=late
        )
        assert (status, body["outcome"], headers["Idempotency-Key"]) == (504, "unknown", "r-1")
        backend.ended.set()
        status, body, _ = await send_request(http, "POST", SERVICE, data=b"roll", headers=once)
        assert (status, body["outcome"], body["result"]) == (200, "done", {"sum": 7})
        status, _, headers = await send_request(
            http, "POST", SERVICE, headers={"X-Request-Idempotent": "false"}
        )
        assert status == 200 and len(headers["Idempotency-Key"]) == 32
    assert "r-1" in backend.jobs and len(backend.jobs) == 2 and not backend.calls


@pytest.mark.parametrize("sse", [True, False])
async def test_event_stream_resumes_and_moves_when_the_entry_drains(sse: bool) -> None:
    backend = FakeBackend()
    headers = {"Last-Event-ID": "1.1", "Accept": "text/event-stream" if sse else "*/*"}
    async with serving(backend) as (api, http):
        await send_request(http, "POST", "/v1/jobs", json={**JOB, "kind": "watch"})
        async with http.get("/v1/jobs/k1/events", headers=headers) as response:
            first = await response.content.readline()
            assert b"1.2" in first, "events up to Last-Event-ID are not sent again"
            await api.drain(5.0)
            rest = (await response.content.read()).decode()
    assert "1.3" in rest and "moved" in rest.splitlines()[-3 if sse else -1]


async def test_draining_entry_finishes_open_requests_and_rejects_new_ones() -> None:
    backend = FakeBackend()
    backend.reply_delay_s = 0.3
    async with serving(backend) as (api, http):
        running = asyncio.create_task(send_request(http, "POST", SERVICE, data=b"x"))
        while not backend.calls:
            await asyncio.sleep(0.01)
        draining = asyncio.create_task(api.drain(5.0))
        await asyncio.sleep(0)
        assert (await send_request(http, "GET", "/readyz"))[0] == 503
        status, body, headers = await send_request(http, "POST", SERVICE)
        assert (status, body["code"], body["outcome"]) == (503, "SL-306", "not_run")
        assert "Retry-After" in headers and not running.done()
        await draining
        assert (await running)[0] == 201


async def test_too_many_open_requests_are_refused_and_probes_are_not() -> None:
    backend = FakeBackend()
    backend.reply_delay_s = 0.3
    async with serving(backend) as (_, http):
        posts = [send_request(http, "POST", SERVICE, data=b"x") for _ in range(30)]
        probe = asyncio.create_task(send_request(http, "GET", "/healthz"))
        statuses = [status for status, _, _ in await asyncio.gather(*posts)]
        assert (await probe)[0] == 200
    assert (statuses.count(201), statuses.count(429)) == (20, 10)
