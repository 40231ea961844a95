"""Tests of the translation between the platform's wire formats and the product's types."""

import asyncio
import json

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from result import Ok

from sapphirelead.http_client import HttpCaller
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_ports import CallFailure, StartAnswer, StartCall
from sapphirelead.platform.config import decode_config
from sapphirelead.platform.ingress import decode_job
from sapphirelead.platform.node_file import parse_node_file
from sapphirelead.platform.store import (
    FEED_MARGIN_S,
    FEED_WAIT_S,
    FeedGapError,
    PlatformTable,
)
from sapphirelead.platform.worker import PlatformWorker
from sapphirelead.ports import CommitStatus, Condition, Txn, Write
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_spec import QueuePolicy

NODE = {
    "node_name": "n1",
    "ip": "10.0.0.1",
    "zone": "z1",
    "port_range": [7000, 7010],
    "serves": ["front"],
    "listen_addrs": {"front": "10.0.0.1:80", "ready": "10.0.0.1:81"},
    "platform": {"addr": "10.9.9.9:90"},
    "bounds": {"hold_max_ms": 6000, "status_s": 60, "a_new_bound": 3},
    "a_new_field": True,
}
ROUTE = {"name": "q1", "host": "h", "prefix": "/p/", "service": "svc", "slo_ms": 250}
CONFIG = QueueConfig.from_routes(1, [], {"q1": QueuePolicy("svc")})


def test_node_file_is_translated_and_unknown_fields_are_ignored() -> None:
    settings = parse_node_file(NODE).unwrap()
    assert settings.bounds.lease_max_s == 6.0
    assert settings.bounds.keep_ended_s == 60
    assert settings.link_port == 7000
    assert settings.is_entry


@pytest.mark.parametrize(
    ("limits", "cores"),
    [({"cpu_share": 0.717, "cores": 3, "memory_mb": 552}, 2.151), ({}, 0.0), ({"cores": 2}, 0.0)],
)
def test_cores_are_scaled_by_the_cpu_share(limits: dict[str, float], cores: float) -> None:
    settings = parse_node_file({**NODE, "limits": limits}).unwrap()
    assert settings.cores == pytest.approx(cores)


def test_missing_setting_is_named_in_the_error() -> None:
    broken = {key: value for key, value in NODE.items() if key != "platform"}
    assert "platform" in str(parse_node_file(broken).unwrap_err())


def test_configuration_is_translated() -> None:
    advice = {"decide_ms": 20, "each_ms": 2, "valid_ms": 3000}
    data = {"version": 7, "routes": [{**ROUTE, "advice": advice, "max_attempts": 4}]}
    config = decode_config(json.dumps(data).encode()).unwrap()
    policy = config.queues["q1"]
    assert (config.version, policy.max_failures, policy.slack_ms) == (7, 4, 250)
    assert policy.advice is not None
    assert policy.advice.base_ms == 20
    assert config.match("h", "/p/1") is not None


def test_invalid_configuration_is_rejected() -> None:
    assert decode_config(b"[1]").is_err()


@pytest.mark.parametrize(
    ("body", "problem"),
    [
        (b"not json", "no job"),
        (b'{"spec":"x"}', "steps"),
        (b'{"spec":"x","steps":[]}', "at least one step"),
        (b'{"spec":"x","steps":[{"count":0}]}', "at least one task"),
        (b'{"spec":"x","steps":[{"count":100000}]}', "at most"),
        (b'{"spec":"x","steps":[{"cpu":-1}]}', "negative"),
        (b'{"spec":"x","steps":[{"after":[0]}]}', "earlier"),
        (b'{"spec":"x","steps":[{"after":[1]},{"after":[0]}]}', "earlier"),
        (b'{"spec":"x","steps":[{"cpu":100000000000000000000000}]}', "Expected `int`"),
        (b'{"spec":"x","steps":[{"anti_affinity":-100000000000000000000000}]}', "Expected `int`"),
        (b'{"spec":"x","steps":[{}],"first_ms":100000000000000000000000}', "Expected `int`"),
        (b'{"spec":"' + b"x" * 5000 + b'","steps":[{}]}', "longer"),
    ],
)
def test_invalid_submission_is_rejected_with_the_reason(body: bytes, problem: str) -> None:
    refused = decode_job(body, "a1", "q1", CONFIG, 0)
    assert problem in refused.unwrap_err()


def test_absent_fields_of_a_step_are_zero_and_false() -> None:
    spec = decode_job(b'{"spec":"x","steps":[{"cpu":500}]}', "a1", "q1", CONFIG, 5).unwrap()
    (step,) = spec.steps
    assert (step.tasks, step.cpu_millicores, step.fills, step.after) == (1, 500, False, ())
    assert spec.accepted_ms == 5


class Peer:
    """A server that records requests and returns a fixed response."""

    def __init__(self, status: int, body: object, delay_s: float = 0.0) -> None:
        self.status = status
        self.body = body
        self.delay_s = delay_s
        self.requests: list[tuple[str, bytes, dict[str, str]]] = []

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.requests.append((request.path_qs, await request.read(), dict(request.headers)))
        await asyncio.sleep(self.delay_s)
        return web.Response(status=self.status, body=msgspec.json.encode(self.body))


async def start_peer(peer: Peer) -> TestServer:
    """Start ``peer`` on loopback."""
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", peer.handle)
    server = TestServer(app)
    await server.start_server()
    return server


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, {"ver": 9}, CommitStatus.COMMITTED),
        (412, {"rows": []}, CommitStatus.CONFLICT),
        (503, {}, CommitStatus.REJECTED),
        (429, {}, CommitStatus.REJECTED),
        (500, {}, CommitStatus.AMBIGUOUS),
        (200, "broken", CommitStatus.AMBIGUOUS),
    ],
)
async def test_commit_status_follows_from_the_response(
    status: int, body: object, expected: CommitStatus
) -> None:
    peer = Peer(status, body)
    server = await start_peer(peer)
    table = PlatformTable(HttpCaller.connect(str(server.make_url("")), 1.0))
    txn = Txn("t", (Condition("fleet/head", 3),), (Write("run/a", {"data": b"x"}),))
    commit = await table.commit(txn)
    assert commit.status is expected
    sent = json.loads(peer.requests[0][1])
    assert sent["expected_rev"] == [{"table": "fleet", "part": "", "key": "head", "ver": 3}]
    assert sent["writes"][0]["table"] == "run"
    await table.close()
    await server.close()


async def test_missing_feed_history_is_distinguished_from_an_unreachable_store() -> None:
    peer = Peer(410, {})
    server = await start_peer(peer)
    table = PlatformTable(HttpCaller.connect(str(server.make_url("")), 1.0))
    with pytest.raises(FeedGapError):
        await table.changes("op", 5)
    await table.close()
    await server.close()
    assert (await table.changes("op", 5)).is_err()


@pytest.mark.parametrize("wait_s", [0.0, FEED_WAIT_S])
async def test_a_read_that_does_not_wait_has_time_for_a_large_row(wait_s: float) -> None:
    """Guards against a large configuration that an entry with a slow link never reads."""
    peer = Peer(200, {"rows": [], "ver": 7}, FEED_MARGIN_S + 0.3)
    server = await start_peer(peer)
    table = PlatformTable(HttpCaller.connect(str(server.make_url("")), 1.0))
    assert await table.changes("op", 5, wait_s) == Ok(({}, 7))
    await table.close()
    await server.close()


START = StartCall("a.0.0.0", 1, "p", "", "", 99, 7)


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, {"clock_ms": 5}, StartAnswer.STARTED),
        (409, {"clock_ms": 5, "reason": "old"}, StartAnswer.OUTDATED),
        (409, {"clock_ms": 5, "reason": "room"}, StartAnswer.NO_ROOM),
        (409, {"clock_ms": 5, "reason": "ticket"}, StartAnswer.NO_TICKET),
        (503, {}, StartAnswer.UNHEALTHY),
        (400, {}, StartAnswer.INVALID),
    ],
)
async def test_start_response_is_translated(
    status: int, body: object, expected: StartAnswer
) -> None:
    peer = Peer(status, body)
    server = await start_peer(peer)
    worker = PlatformWorker(HttpCaller.connect(str(server.make_url("")), 1.0), WorkerLife("w1"))
    assert (await worker.start(START)).unwrap().answer is expected
    assert peer.requests[0][2]["X-Target-Instance"] == "w1"
    await worker.close()
    await server.close()


async def test_replaced_worker_is_distinguished_from_a_refused_connection() -> None:
    peer = Peer(421, {})
    server = await start_peer(peer)
    worker = PlatformWorker(HttpCaller.connect(str(server.make_url("")), 1.0), WorkerLife("w1"))
    assert (await worker.start(START)).unwrap_err() is CallFailure.OTHER_LIFE
    await server.close()
    # The pooled connection fails without an answer; only a new connection is refused.
    assert (await worker.start(START)).unwrap_err() is CallFailure.NO_ANSWER
    assert (await worker.start(START)).unwrap_err() is CallFailure.REFUSED
    await worker.close()


async def test_worker_list_is_decoded_with_and_without_usage_figures() -> None:
    body = {
        "clock_ms": 5,
        "running": [["a.0.0.0", 1, "s", 40], ["b.0.0.0", 2, "", 100, 37]],
        "ended": [[3, "c.0.0.0", 1, "done", ""]],
    }
    peer = Peer(200, body)
    server = await start_peer(peer)
    worker = PlatformWorker(HttpCaller.connect(str(server.make_url("")), 1.0), WorkerLife("w1"))
    view = (await worker.hold(7, 2, 0, 0)).unwrap()
    assert [run.measurement for run in view.running] == [-1, 37]
    assert (view.ended[0].number, view.ended[0].kind) == (3, "done")
    sent = json.loads(peer.requests[0][1])
    assert "deadline_ms" not in sent
    await worker.close()
    await server.close()
