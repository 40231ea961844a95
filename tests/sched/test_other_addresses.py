"""Another worker life at another address does not show that the earlier one has ended."""

import asyncio
from typing import Any, cast

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.runner_service import Runner
from sapphirelead.sched_timing import Bounds
from tests.sched.agent_leader import TASK, FakeLeader
from tests.sched.fakes import FakeWorker, worker_info
from tests.sched.test_runner import order
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


async def test_a_life_at_another_address_does_not_end_one_that_answers() -> None:
    """Guards against a second run of a task whose worker runs on at its own address."""
    workers = {"x:1": FakeWorker(work_s=60), "x:2": FakeWorker(work_s=60)}
    runner = Runner(
        "g1", Bounds(), MemoryTable(), lambda _, address: workers[address], cast(Any, None)
    )
    leader = FakeLeader(runner)
    runner._links = cast(Any, leader)
    runner.start()
    await runner.worker_heartbeat(worker_info("w1"), "x:1", 1)
    leader.order(0)
    await asyncio.sleep(0.1)
    leader.order(leader.reports[-1].report_number, starts=[order()])
    await asyncio.sleep(1)
    await runner.worker_heartbeat(worker_info("w2"), "x:2", 1)
    for _ in range(40):
        await asyncio.sleep(0.05)
        workers["x:1"].advance()
        if (TASK, 1) in workers["x:1"].runs:
            assert "w1" not in leader.reports[-1].ended_workers
    await runner.stop()
