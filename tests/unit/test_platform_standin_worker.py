"""The stand-in of the platform's worker follows the contract of that worker."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from bench import platform_standin_worker
from bench.platform_standin_run import Run, Script, WorkerState
from bench.platform_standin_worker import (
    Behaviour,
    Capacity,
    Crash,
    Order,
    StandInWorker,
    WorkerSettings,
    run_worker,
)
from bench.procs import free_port, wait_until
from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife, make_life
from sapphirelead.node_ports import CallFailure, StartAnswer, StartCall
from sapphirelead.platform.worker import PlatformWorker
from sapphirelead.standin_history import History

WORK = '{"work_ms": 60}'
LONG = '{"work_ms": 60000, "saves": true}'
CRASH = '{"crash_after_ms": 10}'
RUNS_DURING_EXIT = 40
RUN_STEP_MS = 20


class RecordingAgent:
    """An agent that acknowledges and records heartbeats."""

    def __init__(self) -> None:
        self.address = ""
        self.heartbeats: list[tuple[str, Any]] = []

    @classmethod
    @contextlib.asynccontextmanager
    async def running(cls) -> AsyncIterator["RecordingAgent"]:
        agent = cls()
        app = web.Application()
        app.add_routes([web.post("/instances/{id}/{what}", agent._record)])
        async with TestServer(app) as server:
            agent.address = f"{server.host}:{server.port}"
            yield agent

    async def _record(self, request: web.Request) -> web.Response:
        self.heartbeats.append((request.match_info["id"], await request.json()))
        return web.Response()

    async def next_instance(self, known: str = "") -> str:
        """Wait for a heartbeat of another instance than ``known`` and return the instance's id."""

        async def find() -> str | None:
            return next((name for name, _ in self.heartbeats if name != known), None)

        return await wait_until("an instance registers", find)

    def life_of(self, instance: str) -> WorkerLife:
        """Return the life of an instance, by its heartbeats."""
        body = next(body for name, body in self.heartbeats if name == instance)
        return make_life(instance, body["born"])


class WorkerHarness:
    """A stand-in worker and an agent's client for it."""

    async def start(self) -> None:
        settings = WorkerSettings("127.0.0.1", 0, "", "")
        self.standin = StandInWorker(History.open("w"), settings)
        self.port = await self.standin.start("127.0.0.1", 0)
        self.client = PlatformWorker.connect(self.standin.life, f"127.0.0.1:{self.port}")

    def call(
        self, task: str, spec: str = WORK, attempt: int = 1, within_ms: int = 900
    ) -> StartCall:
        deadline_ms = self.standin.clock_ms + within_ms
        return StartCall(task, attempt, spec, "", "", deadline_ms, 5)

    async def start_run(self, call: StartCall) -> StartAnswer:
        return (await self.client.start(call)).unwrap().answer

    async def behave(self, behaviour: Behaviour) -> None:
        url = f"http://127.0.0.1:{self.port}/behave"
        async with aiohttp.ClientSession() as session:
            await session.post(url, data=msgspec.json.encode(behaviour))


@pytest.fixture
async def harness() -> AsyncIterator[WorkerHarness]:
    created = WorkerHarness()
    await created.start()
    yield created
    await created.client.close()
    await created.standin.stop()


async def test_ended_run_is_listed_until_acknowledged(harness: WorkerHarness) -> None:
    assert await harness.start_run(harness.call("a.0.0.0")) is StartAnswer.STARTED
    view = (await harness.client.hold(5, 0, 0, 1_000)).unwrap()
    assert [(end.number, end.task, end.kind) for end in view.ended] == [(1, "a.0.0.0", "done")]
    assert (await harness.client.hold(5, 1, 0, 0)).unwrap().ended == []
    assert await harness.start_run(harness.call("a.0.0.0")) is StartAnswer.OUTDATED
    assert await harness.start_run(harness.call("a.0.0.0", attempt=2)) is StartAnswer.STARTED


async def test_a_lower_token_and_a_late_start_are_refused(harness: WorkerHarness) -> None:
    assert await harness.start_run(harness.call("a.0.0.0")) is StartAnswer.STARTED
    assert (await harness.client.hold(4, 0, 0, 0)).err() is CallFailure.FENCED
    assert await harness.start_run(harness.call("b.0.0.0", within_ms=-1)) is StartAnswer.TOO_LATE


async def test_late_stop_is_carried_out_after_the_caller_timed_out(harness: WorkerHarness) -> None:
    assert (
        await harness.start_run(harness.call("a.0.0.0", LONG, within_ms=9_000))
        is StartAnswer.STARTED
    )
    await harness.behave(Behaviour(late_orders=1, late_s=0.6))
    assert (await harness.client.stop("a.0.0.0", 1, 5)).err() is CallFailure.NO_ANSWER
    view = (await harness.client.hold(5, 0, 0, 1_500)).unwrap()
    assert [(end.kind, end.saved != "") for end in view.ended] == [("stopped", True)]


def test_runs_due_during_a_pause_end_in_order_at_their_due_times() -> None:
    life = WorkerState(stop_s=1.0, lease_until=13.0)
    for task, work_ms in (("a", 5_000), ("b", 1_000), ("c", 2_000)):
        life.start(Run(task, 1, Script(work_ms), 10.0))
    ends = life.advance(100.0)
    assert [(end.task, end.how, end.at) for end in ends] == [
        ("b", "done", 11.0),
        ("c", "done", 12.0),
        ("a", "lapsed", 13.0),
    ]


def test_a_run_resumes_from_its_own_saved_progress_only() -> None:
    life = WorkerState(stop_s=1.0, lease_until=99.0)
    life.start(Run("a", 2, Script(5_000, saves=True), 10.0, saved="3000:a"))
    life.start(Run("b", 2, Script(5_000, saves=True), 10.0, saved="3000:a"))
    assert [(end.task, end.at) for end in life.advance(50.0)] == [("a", 12.0), ("b", 15.0)]


@pytest.mark.parametrize("capacity", [Capacity(500, 100), Capacity(0, 0), Capacity(8_000, 100)])
async def test_changed_capacity_shows_in_the_heartbeats(capacity: Capacity) -> None:
    async with RecordingAgent.running() as agent, aiohttp.ClientSession() as session:
        standin = StandInWorker(
            History.open("w"), WorkerSettings("127.0.0.1", 0, "", agent.address)
        )
        port = await standin.start("127.0.0.1", 0)
        await standin.send_heartbeat(session)
        url = f"http://127.0.0.1:{port}/capacity"
        await session.post(url, data=msgspec.json.encode(capacity))
        await standin.send_heartbeat(session)
        await standin.stop()
    assert [body["capacity"] for _, body in agent.heartbeats] == [
        {"cpu": 4_000, "mem_mb": 16_000, "gpu": 0},
        {"cpu": capacity.cpu, "mem_mb": capacity.mem_mb, "gpu": 0},
    ]
    assert standin.history.events[-1]["event"] == "capacity"


@pytest.mark.parametrize(
    ("script", "crash"),
    [
        (Script(), None),
        (Script(crash_after_ms=10), 10.01),
        (Script(work_ms=5, crash_after_ms=10), None),
        (Script(work_ms=20, crash_after_ms=10), 10.01),
        (Script(crash_after_ms=4_000), None),
    ],
)
def test_a_task_crashes_its_worker_unless_it_ends_before(
    script: Script, crash: float | None
) -> None:
    life = WorkerState(stop_s=1.0, lease_until=13.0)
    life.start(Run("a", 1, script, 10.0))
    run = life.next_crash()
    assert (run.crashes_at if run is not None else None) == crash


async def test_crashed_worker_returns_with_a_new_id_and_no_runs() -> None:
    """A crash ends all runs without a listed end, and connections are refused until the return."""
    history, port, stopping = History.open("w"), free_port(), asyncio.Event()
    async with RecordingAgent.running() as agent:
        settings = WorkerSettings("127.0.0.1", port, "", agent.address, restart_s=0.6, drain_s=0.0)
        working = asyncio.create_task(run_worker("w1", history, settings, stopping))
        first = await agent.next_instance()
        client = PlatformWorker.connect(agent.life_of(first), f"127.0.0.1:{port}")
        for task, spec in (("a.0.0.0", LONG), ("b.0.0.0", CRASH)):
            call = StartCall(task, 1, spec, "", "", int(now() * 1000) + 9_000, 5)
            assert (await client.start(call)).unwrap().answer is StartAnswer.STARTED
        assert (await client.hold(5, 0, 0, 1_000)).is_err()
        await wait_until("the worker is down", lambda: _refuses(client))
        await client.close()
        second = await agent.next_instance(first)
        client = PlatformWorker.connect(agent.life_of(second), f"127.0.0.1:{port}")
        view = (await client.hold(1, 0, 0, 0)).unwrap()
        assert (view.running, view.ended) == ([], [])
        await client.close()
        stopping.set()
        await working
    kinds = [event["event"] for event in history.events]
    assert kinds[:5] == ["life", "run_start", "run_start", "crash", "life"]
    assert history.events[3]["task"] == "b.0.0.0"


async def test_worker_returns_under_its_id_and_reports_late() -> None:
    """A life that crashes on request is followed by one with its id, whose heartbeats come late."""
    history, port, stopping = History.open("w"), free_port(), asyncio.Event()
    async with RecordingAgent.running() as agent:
        settings = WorkerSettings(
            "127.0.0.1", port, "", agent.address, worker_id="i-1", drain_s=0.0
        )
        working = asyncio.create_task(run_worker("w1", history, settings, stopping))
        await agent.next_instance()
        reported = len(agent.heartbeats)
        client = PlatformWorker.connect(agent.life_of("i-1"), f"127.0.0.1:{port}")
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(aiohttp.ClientError):
                body = msgspec.json.encode(Crash(down_s=0.1, mute_s=0.5))
                await session.post(f"http://127.0.0.1:{port}/crash", data=body)
        await wait_until("the next life answers", lambda: _is_another_life(client))
        assert len(agent.heartbeats) == reported
        await client.close()
        await wait_until("the next life reports", lambda: _has_reported(agent, reported))
        stopping.set()
        await working
    (first_id, first), (next_id, later) = agent.heartbeats[0], agent.heartbeats[reported]
    assert first_id == next_id == "i-1"
    assert later["born"] > first["born"]
    assert [event["event"] for event in history.events][:3] == ["life", "worker_gone", "life"]


async def _is_another_life(client: PlatformWorker) -> bool:
    return (await client.hold(5, 0, 0, 0)).err() is CallFailure.OTHER_LIFE


async def _has_reported(agent: RecordingAgent, before: int) -> bool:
    return len(agent.heartbeats) > before


async def _refuses(client: PlatformWorker) -> bool:
    return (await client.hold(5, 0, 0, 0)).err() is CallFailure.REFUSED


class SteppingClock:
    """A clock on a machine so busy that time passes between two readings."""

    def __init__(self, step_s: float) -> None:
        self.at = 100.0
        self.step_s = step_s

    def __call__(self) -> float:
        self.at += self.step_s
        return self.at


@pytest.mark.parametrize("step_ms", [1, 2, 3, 4, 5, 6, 7, 8, 9, 13])
async def test_no_run_starts_on_a_dead_life(step_ms: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a history in which a run starts after the crash that ended its worker."""
    clock = SteppingClock(step_ms / 1000)
    monkeypatch.setattr(platform_standin_worker, "now", clock)
    worker = StandInWorker(History.open("w"), WorkerSettings("127.0.0.1", 0, "", ""))
    orders = [Order("a1.0.0.0", 1, 1, CRASH, deadline_ms=900)]
    orders += [Order(f"b{number}.0.0.0", 1, 1, LONG, deadline_ms=900) for number in range(9)]
    with contextlib.suppress(ConnectionResetError):
        for order in orders:
            worker._execute("/run-start", order)
    with contextlib.suppress(ConnectionResetError):
        worker._advance(clock())
    (crash,) = [event for event in worker.history.events if event["event"] == "crash"]
    starts = [event for event in worker.history.events if event["event"] == "run_start"]
    assert starts
    assert all(start["clock"] <= crash["clock"] for start in starts)


async def test_no_run_ends_after_its_worker_has_exited() -> None:
    """Guards against runs that end while the server of an exited worker completes its calls."""
    history, port, stopping = History.open("w"), free_port(), asyncio.Event()
    async with RecordingAgent.running() as agent:
        settings = WorkerSettings("127.0.0.1", port, "", agent.address, drain_s=0.0)
        working = asyncio.create_task(run_worker("w1", history, settings, stopping))
        client = PlatformWorker.connect(
            agent.life_of(await agent.next_instance()), f"127.0.0.1:{port}"
        )
        for number in range(RUNS_DURING_EXIT):
            spec = msgspec.json.encode(Script(RUN_STEP_MS * (number + 1))).decode()
            call = StartCall(f"a.0.0.{number}", 1, spec, "", "", int(now() * 1000) + 9_000, 5)
            assert (await client.start(call)).unwrap().answer is StartAnswer.STARTED
        stopping.set()
        while not working.done():
            await client.hold(5, RUNS_DURING_EXIT, 0, 1_000)
        await working
        await client.close()
    kinds = [event["event"] for event in history.events]
    assert kinds.count("life_over") == 1
    assert kinds[-1] == "life_over"
