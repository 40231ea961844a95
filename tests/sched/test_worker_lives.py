"""Lives of a worker at the platform's border: heartbeats, notifications, lists and advice."""

import json
from typing import Any

import pytest
from aiohttp import ClientSession, web

from sapphirelead.http_client import HttpCaller
from sapphirelead.model_worker_life import WorkerLife, make_life
from sapphirelead.node_messages import WorkerInfo
from sapphirelead.node_ports import CallFailure
from sapphirelead.platform.advice import PlatformAdvice
from sapphirelead.platform.heartbeats import WorkerRequestHandler
from sapphirelead.platform.worker import PlatformWorker
from sapphirelead.sched_spec import AdvicePolicy
from tests.sched.test_foreign_rows import HEARTBEAT, Peer, listening

BORN: Any = 1_796_239_785_584
LIFE = make_life("w1", BORN)
INVALID_BIRTHS: list[Any] = [None, 1.0, -1, "1796239785584", True, 10**30]


class RunnerSpy:
    """Records the lives that the agent's runner is told about."""

    def __init__(self) -> None:
        self.beating: list[WorkerLife] = []
        self.left: list[WorkerLife] = []

    async def worker_heartbeat(self, info: WorkerInfo, address: str, seq: int) -> None:
        self.beating.append(info.worker)

    async def worker_left(self, worker: WorkerLife) -> None:
        self.left.append(worker)


async def post(action: str, body: dict[str, Any] | None) -> tuple[int, RunnerSpy]:
    """Send a request of the worker ``w1`` to its agent."""
    spy = RunnerSpy()
    handler = WorkerRequestHandler(spy, "svc")  # type: ignore[arg-type]
    data = b"" if body is None else json.dumps(body).encode()
    async with (
        listening(handler.handle) as address,
        ClientSession() as session,
        session.post(f"{address}/instances/w1/{action}", data=data) as response,
    ):
        return response.status, spy


@pytest.mark.parametrize(
    ("fields", "life"), [({"born": BORN}, LIFE), ({"born": 0}, "w1/0"), ({}, "w1")]
)
async def test_a_heartbeat_names_the_life_that_it_is_from(
    fields: dict[str, Any], life: str
) -> None:
    status, spy = await post("heartbeat", {**HEARTBEAT, **fields})
    assert (status, spy.beating) == (200, [life])


@pytest.mark.parametrize("born", INVALID_BIRTHS)
async def test_a_heartbeat_with_an_invalid_birth_is_rejected(born: Any) -> None:
    """Guards against a life that another writer invents, which would end the real one."""
    status, spy = await post("heartbeat", {**HEARTBEAT, "born": born})
    assert (status, spy.beating) == (400, [])


@pytest.mark.parametrize(
    ("body", "life"), [(None, "w1"), ({}, "w1"), ({"born": BORN}, "w1/1796239785584")]
)
async def test_a_leave_notification_names_the_life_if_it_says_so(
    body: dict[str, Any] | None, life: str
) -> None:
    status, spy = await post("leave", body)
    assert (status, spy.left) == (200, [life])


@pytest.mark.parametrize("born", INVALID_BIRTHS)
async def test_a_leave_notification_with_an_invalid_birth_is_rejected(born: Any) -> None:
    status, spy = await post("leave", {"born": born})
    assert (status, spy.left) == (400, [])


async def hold(life: WorkerLife, born: dict[str, Any]) -> CallFailure | None:
    """Return the failure of a list call for ``life`` that is answered with ``born``."""
    body = json.dumps({"clock_ms": 5, "running": [], "ended": [], **born}).encode()
    async with listening(Peer(body).handle) as address:
        worker = PlatformWorker(HttpCaller.connect(address, 1.0), life)
        failure = (await worker.hold(1, 0, 0, 0)).err()
        await worker.close()
    return failure


@pytest.mark.parametrize(
    ("life", "born", "failure"),
    [
        (LIFE, {"born": BORN}, None),
        (LIFE, {"born": BORN + 1}, CallFailure.OTHER_LIFE),
        (LIFE, {"born": BORN - 1}, CallFailure.OTHER_LIFE),
        (LIFE, {}, CallFailure.NO_ANSWER),
        (WorkerLife("w1"), {}, None),
        (WorkerLife("w1"), {"born": BORN}, CallFailure.OTHER_LIFE),
        *((LIFE, {"born": born}, CallFailure.NO_ANSWER) for born in INVALID_BIRTHS),
    ],
)
async def test_a_list_counts_only_for_the_life_that_it_is_from(
    life: WorkerLife, born: dict[str, Any], failure: CallFailure | None
) -> None:
    """Guards against runs of an earlier life that count as ended, or as running, in a later one."""
    assert await hold(life, born) is failure


async def test_advice_names_workers_by_id_and_keeps_tickets_by_life() -> None:
    """Guards against the use of a ticket that was issued to an earlier life."""
    asked: list[Any] = []

    async def answer(request: web.Request) -> web.Response:
        asked.append((await request.json())["workers"])
        return web.json_response({"good": [["w1", "t1"], ["w9", "t9"]]})

    async with listening(answer) as address:
        advice = PlatformAdvice(HttpCaller.connect(address, 1.0))
        found = (await advice.ask("s", [LIFE, WorkerLife("w2")], AdvicePolicy())).unwrap()
        await advice.close()
    assert asked == [["w1", "w2"]]
    assert found.tickets == {LIFE: "t1"}
