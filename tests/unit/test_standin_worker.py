"""The stand-in worker follows the worker contract and records scheduling errors."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest

from bench.procs import wait_until
from sapphirelead.clock import now
from sapphirelead.errors import Code
from sapphirelead.http_client import HttpCaller
from sapphirelead.model_resources import Resources
from sapphirelead.platform.local_worker import HttpWorker
from sapphirelead.ports import TaskSpec, TaskState
from sapphirelead.standin_history import History
from sapphirelead.standin_task import Progress, StandInTask
from sapphirelead.standin_worker import StandInWorker, WorkerSettings


def spec(epoch: int = 1, lease: float = 100.0, checkpoint: str = "", **script: Any) -> TaskSpec:
    resources = Resources(1000, 10)
    return TaskSpec("jobs/a b", epoch, "batch", "c", resources, script, checkpoint, lease)


PROGRESS: dict[str, tuple[dict[str, Any], list[tuple[float, float]], TaskState, float, int]] = {
    # script; (time, speed from that time); state, done_ms and events at the last time
    "runs to its end": ({"work_ms": 300}, [(0, 1), (0.3, 1)], TaskState.SUCCEEDED, 300, 0),
    "half speed": ({"work_ms": 300}, [(0, 0.5), (0.3, 1)], TaskState.RUNNING, 150, 0),
    "changed speed": (
        {"work_ms": 300},
        [(0, 0.5), (0.2, 1), (0.4, 1)],
        TaskState.SUCCEEDED,
        300,
        0,
    ),
    "fails": ({"work_ms": 10, "fail": True}, [(0, 1), (1, 1)], TaskState.FAILED, 10, 0),
    "lapses": ({"work_ms": 9000}, [(0, 1), (7, 1)], TaskState.STOPPED, 5000, 0),
    "ends before lease expiry": ({"work_ms": 4000}, [(0, 1), (7, 1)], TaskState.STOPPED, 4000, 0),
    "emits": (
        {"work_ms": 900, "event_every_ms": 100, "events": 3},
        [(0, 1), (0.7, 1)],
        TaskState.RUNNING,
        700,
        3,
    ),
}


@pytest.mark.parametrize("name", PROGRESS)
def test_progress_follows_speed_and_stops_at_lease_expiry(name: str) -> None:
    script, moments, state, done_ms, events = PROGRESS[name]
    task = StandInTask.from_spec(spec(lease=5.0, **script), Progress(), 0.0)
    for at, speed in moments:
        task.advance(at)
        task.speed = speed
    assert (task.state, round(task.progress.done_ms), len(task.events)) == (state, done_ms, events)


@pytest.fixture
async def pair() -> AsyncIterator[tuple[StandInWorker, HttpWorker]]:
    standin = StandInWorker(History.open("w"), WorkerSettings(cpu_millicores=1500))
    port = await standin.start("127.0.0.1", 0)
    worker = HttpWorker(HttpCaller.connect(f"http://127.0.0.1:{port}", 1.0))
    yield standin, worker
    await worker.close()
    await standin.stop()


Pair = tuple[StandInWorker, HttpWorker]


def events(standin: StandInWorker, kind: str) -> list[Any]:
    return [event for event in standin.history.events if event["event"] == kind]


async def test_stale_session_or_expired_lease_starts_no_task(pair: Pair) -> None:
    standin, worker = pair
    old = (await worker.open_session("a")).unwrap().session
    session = (await worker.open_session("b")).unwrap().session
    refused = await worker.start(old, spec(lease=now() + 9))
    late = await worker.start(session, spec(lease=now() - 0.1))
    assert refused.unwrap_err().code is Code.STORE_CONFLICT
    assert late.unwrap_err().code is Code.LOST
    assert not events(standin, "task_start")


async def test_same_epoch_starts_once_and_another_epoch_is_recorded(pair: Pair) -> None:
    standin, worker = pair
    session = (await worker.open_session("a")).unwrap().session
    for epoch in (1, 1, 2):
        assert (await worker.start(session, spec(epoch, now() + 9, work_ms=9000))).is_ok()
    assert [event["epoch"] for event in events(standin, "task_start")] == [1, 2]


async def test_task_resumes_from_its_checkpoint(pair: Pair) -> None:
    standin, worker = pair
    session = (await worker.open_session("a")).unwrap().session
    await worker.start(session, spec(1, now() + 9, work_ms=60))
    await asyncio.sleep(0.02)
    key = (await worker.checkpoint_stop(session, "jobs/a b")).unwrap()
    assert (await worker.checkpoint_stop(session, "jobs/a b")).unwrap() == key
    await worker.start(session, spec(2, now() + 9, key, work_ms=60))

    async def effect() -> list[Any]:
        return events(standin, "effect")

    await wait_until("the task takes effect", effect)
    stopped = events(standin, "checkpoint")[0]["done_ms"]
    assert 0 < events(standin, "task_start")[1]["done_ms"] == stopped < 60
    ended = {task.epoch: task for task in (await worker.view()).unwrap().tasks}
    assert (ended[1].state, ended[2].state) == (TaskState.STOPPED, TaskState.SUCCEEDED)


async def test_repeated_checkpoint_request_stores_exact_progress() -> None:
    """Guards against storing outdated progress when a timed-out checkpoint call is retried.

    The failed first attempt must not resume the task while the second one stores its progress.
    """
    worker = StandInWorker(History("w", None), WorkerSettings(checkpoint_ms=0.0))
    task = StandInTask.from_spec(spec(lease=now() + 100, work_ms=60_000), Progress(), now())
    worker.begin(task)
    stored: list[float] = []

    async def store(key: str, data: bytes) -> bool:
        tries.append(data)
        await asyncio.sleep(0.1 * len(tries))
        if len(tries) > 1:
            stored.append(msgspec.json.decode(data, type=Progress).done_ms)
        return len(tries) > 1

    tries: list[bytes] = []
    worker._store = store  # type: ignore[method-assign]
    first = asyncio.create_task(worker._checkpoint_task(task))
    await asyncio.sleep(0.01)
    second = asyncio.create_task(worker._checkpoint_task(task))
    await asyncio.gather(first, second)
    assert task.state is TaskState.STOPPED
    assert stored == [task.progress.done_ms]
