"""Broken caller connections, invalid requests, and outages of the object store."""

import asyncio
import json
from pathlib import Path
from time import monotonic
from typing import Any

import pytest

from bench.harness import SERVICE, Cluster, Entry
from bench.procs import wait_until

SERVE = f"/v1/services/{SERVICE}"
READ_TIMEOUT_S = 1.0
SLACK_S = 1.5


@pytest.mark.parametrize("seen", ["task_start", "effect"])
async def test_request_repeated_after_its_answer_was_cut_runs_once(
    tmp_path: Path, seen: str
) -> None:
    """Guards against a second run when a client repeats a request whose response was lost.

    The connection is reset while the task runs or after it has ended; the client retries with the
    same key through another entry.
    """
    async with Cluster.running(tmp_path, entries=2, instances=2) as cluster:
        proxy, entry = await cluster.behind_proxy(cluster.entries[0])
        proxy.freeze("down")
        first = asyncio.create_task(cluster.serve_once("estimate", entry))
        await cluster.wait_seen(seen, "estimate")
        proxy.cut()
        assert (await first).status == 0
        repeated = await cluster.serve_once("estimate", cluster.entries[1])
        assert (repeated.status, repeated.outcome) == (200, "done")
        assert len(cluster.seen("task_start", "estimate")) == 1


async def test_upload_that_freezes_holds_nothing_and_is_not_accepted(tmp_path: Path) -> None:
    """Guards against stalled uploads that block other requests or are accepted after the timeout.

    Each stalled upload gets a 400 response after the read timeout, and its connection is closed.
    """
    limits = {"read_timeout_seconds": READ_TIMEOUT_S, "open_requests": 8}
    async with Cluster.running(tmp_path, limits=limits) as cluster:
        proxy, entry = await cluster.behind_proxy(cluster.entries[0])
        started_at = monotonic()
        uploads = [
            await Upload.begin(entry, "/v1/jobs", {"key": f"half{n}", "input": "x" * 9000})
            for n in range(3)
        ] + [await Upload.begin(entry, SERVE, {"marker": f"half{n}"}) for n in range(3)]
        while proxy.forwarded_bytes["up"] < sum(upload.sent for upload in uploads):
            await asyncio.sleep(0.01)
        proxy.freeze("up")
        while monotonic() < started_at + READ_TIMEOUT_S / 2:
            assert (await cluster.serve("other")).outcome == "done"
        responses = await asyncio.gather(*(upload.response() for upload in uploads))
        assert monotonic() - started_at < READ_TIMEOUT_S + SLACK_S
        proxy.thaw()
        for head, problem in responses:
            assert b" 400 " in head
            assert (problem["field"], problem["limit"], problem["unit"]) == (
                "body",
                "1.0",
                "seconds",
            )
        await _wait_served_at_once(cluster, 8)
        for n in range(3):
            assert await cluster.job(f"half{n}") is None
            assert not cluster.seen("request_start", f"half{n}")


class Upload:
    """A request of which only half of the body has been sent.

    :ivar sent: number of bytes sent.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    sent: int

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.sent = 0

    @classmethod
    async def begin(cls, entry: Entry, path: str, body: Any) -> "Upload":
        """Send all headers and half of the body."""
        upload = cls(*await asyncio.open_connection("127.0.0.1", entry.ports["http_port"]))
        raw = json.dumps(body).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: e\r\nContent-Length: {len(raw)}\r\n\r\n"
        half = head.encode() + raw[: len(raw) // 2]
        upload.writer.write(half)
        upload.sent = len(half)
        await upload.writer.drain()
        return upload

    async def response(self) -> tuple[bytes, Any]:
        """Return the head and body of the response after the entry has closed the connection."""
        answer = await asyncio.wait_for(self.reader.read(), 30)
        self.writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return head, json.loads(body)


@pytest.mark.parametrize("fault", ["silent for good", "reads nothing"])
async def test_unresponsive_caller_holds_no_slot(tmp_path: Path, fault: str) -> None:
    """Guards against callers that stop reading and keep the slots of the target or the entry.

    Such callers hold every slot; other requests are served right afterwards, and the entry can
    stop within 5 s.
    """
    async with Cluster.running(tmp_path, limits={"open_requests": 8}) as cluster:
        proxy, entry = await cluster.behind_proxy(cluster.entries[0])
        calls = [
            asyncio.create_task(cluster.serve(f"m{n}", 300, 4_000_000, entry)) for n in range(8)
        ]
        await cluster.wait_seen("request_start", "m7")
        if fault == "silent for good":
            proxy.blackhole_existing()
        else:
            proxy.freeze("down")
        for n in range(8):
            await cluster.wait_seen("request_end", f"m{n}")
        await _wait_served_at_once(cluster, 8)
        assert await asyncio.wait_for(cluster.entries[0].proc.stop(), 5) == 0
        proxy.cut()
        assert {answer.status for answer in await asyncio.gather(*calls)} == {0}


async def _wait_served_at_once(cluster: Cluster, count: int) -> None:
    async def served() -> bool:
        answers = await asyncio.gather(*(cluster.serve(f"now{n}") for n in range(count)))
        return {answer.outcome for answer in answers} == {"done"}

    await wait_until(f"{count} requests are served at once", served, 5)


def _job(**fields: Any) -> bytes:
    return json.dumps({"key": "bad", **fields}).encode()


# Status, field, limit (``*`` matches any) and unit of the response.
ExpectedRefusal = tuple[int, str, str, str]
LARGE = b"x" * 1_048_577
BAD_JOBS: dict[bytes, ExpectedRefusal] = {
    b'{"key": "bad"': (400, "body", "one JSON object", ""),
    b'{"key":"bad","input":"\xff"}': (400, "body", "*", ""),
    b'{"key":"bad","input":' + b"[" * 9000 + b"]" * 9000 + b"}": (400, "body", "*", ""),
    b"[]": (422, "body", "", ""),
    b"{}": (422, "key", "", ""),
    b'{"key":"a/b"}': (422, "key", "*", ""),
    _job(cpus=1): (422, "cpus", "", ""),
    _job(deadline_ms="soon"): (422, "deadline_ms", "", ""),
    _job(kind="cron"): (422, "kind", "", ""),
    _job(expected_ms=-1): (422, "expected_ms", "0", "ms"),
    _job(resources={"memory_mb": 0}): (422, "resources.memory_mb", "1", "mb"),
    _job(input=10**30): (422, "input", "*", ""),
    _job(input=float("nan")): (422, "input", "*", ""),
    LARGE: (413, "body", "1048576", "bytes"),
}
BAD_HEADERS: list[tuple[dict[str, str], ExpectedRefusal]] = [
    ({f"X-{n}": "x" * 4000 for n in range(5)}, (413, "headers", "16384", "bytes")),
    (
        {"X-Request-Deadline-Ms": "0"},
        (400, "X-Request-Deadline-Ms", "1 to 600000", "milliseconds"),
    ),
    (
        {"X-Request-Idempotent": "maybe"},
        (400, "X-Request-Idempotent", "true or false", ""),
    ),
    (
        {"X-Request-Idempotent": "false", "Idempotency-Key": "b a d"},
        (400, "Idempotency-Key", "*", ""),
    ),
]
# Path, headers, body, and the expected response.
BAD_REQUESTS: list[tuple[str, dict[str, str], bytes, ExpectedRefusal]] = [
    *(("/v1/jobs", {}, body, expected) for body, expected in BAD_JOBS.items()),
    *((SERVE, headers, b"", expected) for headers, expected in BAD_HEADERS),
    (SERVE, {}, LARGE, (413, "body", "1048576", "bytes")),
    ("/v1/services/a%20b", {}, b"", (400, "service", "*", "")),
]


async def test_bad_input_is_refused_by_field_and_accepted_nowhere(tmp_path: Path) -> None:
    """Each of ``BAD_REQUESTS`` is refused with the expected error and starts nothing."""
    async with Cluster.running(tmp_path) as cluster:
        for path, headers, body, expected in BAD_REQUESTS:
            answer = await cluster.request("POST", path, headers=headers, data=body)
            case = (path, headers, body[:40], answer)
            status, field, limit, unit = expected
            assert (answer.status, answer.outcome) == (status, "not_run"), case
            assert answer.body["field"] == field, case
            assert limit in ("*", answer.body.get("limit", "")), case
            assert answer.body.get("unit", "") == unit, case
            assert await cluster.job("bad") is None, case
        assert not cluster.seen("request_start") + cluster.seen("task_start")


STOPS = [("drain", "down"), ("drain", "hang"), ("SIGTERM", "down"), ("SIGTERM", "hang")]


@pytest.mark.parametrize(("stop", "fault"), STOPS)
async def test_stop_while_no_checkpoint_can_be_stored(
    tmp_path: Path, stop: str, fault: str
) -> None:
    """Guards against lost or repeated jobs when an instance stops during an object store outage.

    The tasks continue or are checkpointed after the outage; each job takes effect once, whether
    or not it is idempotent.
    """
    async with Cluster.running(tmp_path, instances=2) as cluster:
        await cluster.submit("once", input={"work_ms": 4500})
        leaving = await cluster.holder_of("once")
        for n in range(4):
            await cluster.submit(f"k{n}", idempotent=True, input={"work_ms": 4500})
        await cluster.wait_seen("task_start", "", 5)
        await cluster.fault(only="/objects", down=True, hang=fault == "hang")
        cluster.leaving(leaving)
        if stop == "drain":
            path = f"/v1/admin/instances/{leaving.name}/drain"
            assert (await cluster.request("POST", path)).status == 202
            stopping = None
        else:
            stopping = asyncio.create_task(leaving.agent.stop())
        await asyncio.sleep(3.0)
        assert not cluster.seen("checkpoint")
        await cluster.fault()
        for key in ("once", *(f"k{n}" for n in range(4))):
            assert (await cluster.wait_job(key, timeout_s=25))["state"] == "done"
            assert len(cluster.seen("effect", key)) == 1
        assert stopping is None or await asyncio.wait_for(stopping, 15) == 0


async def test_resume_while_no_checkpoint_can_be_read(tmp_path: Path) -> None:
    """Guards against evicted jobs that restart from scratch or are set aside in an outage.

    While the object store is down their checkpoints cannot be read; they resume when it is back.
    """
    async with Cluster.running(tmp_path) as cluster:
        keys = [f"k{n}" for n in range(4)]
        for key in keys:
            await cluster.submit(key, input={"work_ms": 2500})
        await cluster.wait_seen("task_start", "", 4)
        for n in range(2):
            await cluster.submit(f"urgent{n}", urgent=True, input={"work_ms": 500})
        await cluster.wait_seen("checkpoint", "", 2)
        await cluster.fault(only="/objects", down=True)
        await asyncio.sleep(4.0)
        await cluster.fault()
        for key in keys:
            assert (await cluster.wait_job(key, timeout_s=25))["state"] == "done"
        assert len(cluster.seen("effect")) == 6
