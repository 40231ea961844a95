"""Caller API for jobs of steps, over HTTP on loopback with a fake fleet entry."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from sapphirelead.entry_http import CallerApi, CallerPorts
from sapphirelead.fleet_http import PREFIX, QueueRoutes
from sapphirelead.fleet_jobs import MAX_JOB_BYTES
from sapphirelead.metrics import Metrics
from sapphirelead.model_config import Config
from sapphirelead.node_config_sync import ConfigSync
from sapphirelead.node_messages import CallKind, Reply, ReplyKind
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_job import decode_spec
from sapphirelead.sched_spec import MAX_PAYLOAD_BYTES, MAX_TASKS, StepSpec
from sapphirelead.settings import EntrySettings
from tests.unit.test_docs import page
from tests.unit.test_entry_http import FakeBackend, send_request

NIGHTLY = "/v1/queues/nightly"
JOB = f"{NIGHTLY}/jobs/a1"
STEP = {"cpu_millicores": 500}
QUEUES = {
    "nightly": {
        "service": "checks",
        "priority": 2,
        "largest_task": {"cpu_millicores": 4000, "memory_mb": 8000},
    },
    "advised": {"service": "checks", "advice": {"base_ms": 5, "valid_ms": 100}},
}


class FakeFleet:
    """Fleet entry that returns a preset reply and records its calls."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.config = QueueConfig(version=1)
        self.sync = ConfigSync(apply_s=3.0)
        self.reply = Reply(1, ReplyKind.OK, "queued", waiting=7)
        self.calls: list[tuple[CallKind, str, str, bytes, float]] = []
        self.may_reply = asyncio.Event()
        self.may_reply.set()

    async def call(
        self, kind: CallKind, queue: str, job_id: str, job: bytes, deadline_s: float
    ) -> Reply:
        self.calls.append((kind, queue, job_id, job, deadline_s))
        await self.may_reply.wait()
        return self.reply


class ApiHarness:
    """The caller API of an entry with a fake fleet."""

    def __init__(self, version: int = 1) -> None:
        self.fleet = FakeFleet()
        self.back = FakeBackend(queues=QUEUES if version else {})
        self.back.current = Config(version, self.back.current.document)
        self.settings = EntrySettings.model_validate(
            {
                "id": "e1",
                "zone": "z0",
                "http_port": 0,
                "platform": {"table_url": "http://127.0.0.1:1"},
                "limits": {"body_bytes": 2 * MAX_JOB_BYTES},
            }
        )
        fleet: Any = self.fleet
        fake: Any = self.back
        self.routes = QueueRoutes(self.settings.limits, fleet, fake, advice_configured=False)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[aiohttp.ClientSession]:
        fake: Any = self.back
        situation: Any = None
        ports = CallerPorts(fake, fake, fake, Metrics(), lambda: True, situation)
        self.api = CallerApi.from_settings(self.settings, ports)
        await self.api.start(self.routes.routes(), (PREFIX,))
        try:
            async with aiohttp.ClientSession(f"http://127.0.0.1:{self.api.port}") as http:
                yield http
        finally:
            self.fleet.may_reply.set()
            await self.api.stop()


def steps(*found: Any, **more: Any) -> dict[str, Any]:
    return {"json": {"steps": list(found), **more}}


# Path and body of the submission; status, code and field of the error.
BAD_SUBMISSIONS: dict[str, tuple[str, dict[str, Any], tuple[int, str, str]]] = {
    "no JSON": (JOB, {"data": b"{"}, (400, "SL-100", "body")),
    "not UTF-8": (JOB, {"data": b'{"steps":[{"label":"\xff"}]}'}, (400, "SL-100", "body")),
    "no object": (JOB, {"json": [1]}, (422, "SL-102", "body")),
    "no steps": (JOB, {"json": {}}, (422, "SL-102", "body")),
    "empty steps": (JOB, steps(), (422, "SL-102", "steps")),
    "unknown field": (JOB, steps(STEP, speed=1), (422, "SL-102", "body")),
    "unknown field of a step": (JOB, steps({"count": 2}), (422, "SL-102", "steps[0]")),
    "wrong type": (JOB, steps({"tasks": "two"}), (422, "SL-102", "steps[0].tasks")),
    "no task": (JOB, steps(STEP, {"tasks": 0}), (422, "SL-102", "steps[1]")),
    "too many tasks": (JOB, steps({"tasks": MAX_TASKS + 1}), (422, "SL-102", "steps")),
    "follows itself": (JOB, steps({"after": [0]}), (422, "SL-102", "steps[0]")),
    "cycle": (JOB, steps({"after": [1]}, {"after": [0]}), (422, "SL-102", "steps[0]")),
    "unknown step": (JOB, steps(STEP, {"after": [7]}), (422, "SL-102", "steps[1]")),
    "negative size": (JOB, steps({"memory_mb": -1}), (422, "SL-102", "steps[0]")),
    "negative spread": (JOB, steps({"per_worker": -1}), (422, "SL-102", "steps[0]")),
    "negative time": (JOB, steps(STEP, first_due_ms=-1), (422, "SL-102", "steps")),
    "size beyond 64 bits": (JOB, steps({"cpu_millicores": 10**30}), (422, "SL-102", "steps[0]")),
    "time beyond 64 bits": (JOB, steps(STEP, interval_ms=10**30), (422, "SL-102", "steps")),
    "long input": (
        JOB, steps(STEP, input="x" * MAX_PAYLOAD_BYTES), (422, "SL-102", "steps"),
    ),
    "impossible size": (JOB, steps({"cpu_millicores": 4001}), (422, "SL-305", "steps[0]")),
    "large body": (JOB, {"data": b" " * (MAX_JOB_BYTES + 1)}, (413, "SL-101", "body")),
    "larger body": (JOB, {"data": b" " * (2 * MAX_JOB_BYTES + 1)}, (413, "SL-101", "body")),
    "id": (f"{NIGHTLY}/jobs/a.b", steps(STEP), (400, "SL-100", "id")),
    "long id": (f"{NIGHTLY}/jobs/{'a' * 65}", steps(STEP), (400, "SL-100", "id")),
    "queue's name": ("/v1/queues/a%2Fb/jobs/a1", steps(STEP), (400, "SL-100", "queue")),
    "deadline": (
        JOB, {**steps(STEP), "headers": {"X-Request-Deadline-Ms": "soon"}},
        (400, "SL-100", "X-Request-Deadline-Ms"),
    ),
    "no such queue": ("/v1/queues/other/jobs/a1", steps(STEP), (404, "SL-103", "")),
    "tickets and no advice": ("/v1/queues/advised/jobs/a1", steps(STEP), (422, "SL-305", "")),
}  # fmt: skip


@pytest.mark.parametrize("name", BAD_SUBMISSIONS)
async def test_invalid_submission_is_rejected_before_reaching_a_leader(name: str) -> None:
    path, options, expected = BAD_SUBMISSIONS[name]
    harness = ApiHarness()
    async with harness.running() as http:
        status, body, headers = await send_request(http, "POST", path, **options)
    assert (status, body["code"], body.get("field", "")) == expected
    assert body["outcome"] == "not_run" and body["detail"]
    assert "Retry-After" not in headers
    assert not harness.fleet.calls


async def test_submission_is_converted_to_the_stored_job() -> None:
    harness = ApiHarness()
    second = {"tasks": 2, "after": [0], "saves": True, "label": "ssd", "per_worker": 1}
    body = {
        "input": {"n": [1, 2]},
        "steps": [STEP, second],
        "first_due_ms": 5,
        "interval_ms": 6,
        "occurrences": 7,
    }
    async with harness.running() as http:
        headers = {"X-Request-Deadline-Ms": "2500"}
        status, reply_body, got = await send_request(http, "POST", JOB, json=body, headers=headers)
    assert (status, reply_body) == (202, {"queue": "nightly", "id": "a1", "state": "queued"})
    assert got["Location"] == JOB
    ((kind, queue, job_id, stored, deadline_s),) = harness.fleet.calls
    assert (kind, queue, job_id, deadline_s) == (CallKind.SUBMIT, "nightly", "a1", 2.5)
    job = decode_spec(stored)
    assert job.payload == '{"n":[1,2]}'
    assert job.steps == (
        StepSpec(cpu_millicores=500),
        StepSpec(tasks=2, after=(0,), saves=True, label="ssd", per_worker=1),
    )
    assert (job.policy.service, job.policy.priority, job.policy.advice) == ("checks", 2, None)
    assert (job.first_due_ms, job.interval_ms, job.occurrences) == (5, 6, 7)


CALLS = {"submit": ("POST", JOB), "ask": ("GET", JOB), "cancel": ("DELETE", JOB)}
# Call and reply of the fleet; status, code and outcome of the response.
CALL_OUTCOMES: dict[str, tuple[str, Reply, tuple[int, str, str]]] = {
    "not stored": (
        "submit", Reply(1, ReplyKind.NOT_RUN, retry_after_s=1.2), (503, "SL-307", "not_run"),
    ),
    "perhaps stored": (
        "submit", Reply(1, ReplyKind.UNKNOWN, retry_after_s=2), (504, "SL-402", "unknown"),
    ),
    "other content": (
        "submit", Reply(1, ReplyKind.OK, "running", conflicting=True), (422, "SL-105", "not_run"),
    ),
    "no such job": ("ask", Reply(1, ReplyKind.ABSENT), (404, "SL-103", "unknown")),
    "state unknown": (
        "ask", Reply(1, ReplyKind.UNKNOWN, retry_after_s=2), (503, "SL-307", "not_run"),
    ),
    "no such job to cancel": ("cancel", Reply(1, ReplyKind.ABSENT), (404, "SL-103", "unknown")),
    "cancelled by a leader that was lost, perhaps": (
        "cancel", Reply(1, ReplyKind.NOT_RUN, retry_after_s=1), (503, "SL-307", "unknown"),
    ),
    "perhaps cancelled": (
        "cancel", Reply(1, ReplyKind.UNKNOWN, retry_after_s=2), (504, "SL-402", "unknown"),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", CALL_OUTCOMES)
async def test_error_response_reports_code_and_outcome(name: str) -> None:
    call, reply, expected = CALL_OUTCOMES[name]
    method, path = CALLS[call]
    harness = ApiHarness()
    harness.fleet.reply = reply
    async with harness.running() as http:
        options = steps(STEP) if method == "POST" else {}
        status, body, headers = await send_request(http, method, path, **options)
    assert (status, body["code"], body["outcome"]) == expected
    assert body["id"] == "a1"
    if reply.retry_after_s:
        assert int(headers["Retry-After"]) >= reply.retry_after_s
        assert body["retry_after_ms"] == int(reply.retry_after_s * 1000)
    else:
        assert "Retry-After" not in headers


async def test_state_cancel_and_waiting_return_the_leaders_reply() -> None:
    harness = ApiHarness()
    async with harness.running() as http:
        harness.fleet.reply = Reply(1, ReplyKind.OK, "running", waiting=7)
        shown = await send_request(http, "GET", JOB)
        cancelled = await send_request(http, "DELETE", JOB)
        waiting = await send_request(http, "GET", NIGHTLY)
        missing = await send_request(http, "GET", "/v1/queues/other")
    assert shown[:2] == (200, {"queue": "nightly", "id": "a1", "state": "running"})
    assert cancelled[0] == 200
    assert waiting[:2] == (200, {"queue": "nightly", "waiting": 7})
    assert (missing[0], missing[1]["code"]) == (404, "SL-103")
    assert [call[0] for call in harness.fleet.calls] == ["state", "cancel", "waiting"]


async def test_state_of_a_failed_job_gives_code_and_reason() -> None:
    """Guards against callers that cannot tell why their job failed."""
    harness = ApiHarness()
    harness.fleet.reply = Reply(
        1, ReplyKind.OK, "failed", detail="3 workers in a row crashed", code="SL-503"
    )
    async with harness.running() as http:
        shown = await send_request(http, "GET", JOB)
    assert shown[1] == {
        "queue": "nightly",
        "id": "a1",
        "state": "failed",
        "code": "SL-503",
        "detail": "3 workers in a row crashed",
    }


async def test_entry_without_configuration_returns_retry_after() -> None:
    harness = ApiHarness(version=0)
    async with harness.running() as http:
        status, body, headers = await send_request(http, "POST", JOB, **steps(STEP))
    assert (status, body["code"], body["outcome"]) == (503, "SL-307", "not_run")
    assert headers["Retry-After"] == "1"


async def test_leaving_entry_answers_pending_requests_and_rejects_later_ones() -> None:
    """Guards against dropping a submission that waits for the leader when its entry drains.

    Requests before the close are served with ``Connection: close``; later ones are not run.
    """
    harness = ApiHarness()
    async with harness.running() as http:
        harness.fleet.may_reply.clear()
        held = asyncio.create_task(send_request(http, "POST", JOB, **steps(STEP)))
        while not harness.fleet.calls:
            await asyncio.sleep(0.01)
        harness.routes.redirect_callers()
        draining = asyncio.create_task(harness.api.drain(5.0))
        assert harness.routes.in_progress == 1
        meanwhile = asyncio.create_task(
            send_request(http, "POST", f"{NIGHTLY}/jobs/a2", **steps(STEP))
        )
        while len(harness.fleet.calls) < 2:
            await asyncio.sleep(0.01)
        closing = asyncio.create_task(harness.routes.close())
        await asyncio.sleep(0)
        late = await send_request(http, "GET", JOB)
        harness.fleet.may_reply.set()
        assert [(await held)[0], (await meanwhile)[0]] == [202, 202]
        assert (await held)[2]["Connection"] == "close"
        assert (late[0], late[1]["code"], late[1]["outcome"]) == (503, "SL-307", "not_run")
        await asyncio.gather(closing, draining)


def test_openapi_page_lists_every_step_field() -> None:
    step = page("openapi.yaml").partition("\n    Step:\n")[2].partition("\n    Problem:\n")[0]
    for field in StepSpec.__struct_fields__:
        assert f"\n        {field}: {{" in step, field


def test_openapi_page_lists_every_queue_route() -> None:
    paths = {route.resource.canonical for route in _router().routes() if route.resource}
    assert len(paths) == 2
    assert not {path for path in paths if f"\n  {path}:\n" not in page("openapi.yaml")}


def _router() -> web.UrlDispatcher:
    app = web.Application()
    app.add_routes(ApiHarness().routes.routes())
    return app.router
