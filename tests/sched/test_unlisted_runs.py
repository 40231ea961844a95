"""Runs that a worker leaves out of its lists while it stops them."""

import asyncio

import pytest
from result import Ok, Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.node_messages import StopOrder
from sapphirelead.node_ports import CallFailure, WorkerView
from sapphirelead.runner_life import RunnerLife
from sapphirelead.sched_timing import Bounds
from tests.sched.agent_leader import TASK, run_agent
from tests.sched.fakes import FakeRun, FakeWorker
from tests.sched.test_runner import KILL_GRACE_S, life_of, order
from tests.sched.test_runner import kinds as all_kinds
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class HidingWorker(FakeWorker):
    """A worker that lists no run that it is stopping.

    It has an outcome that nobody stores, so that it answers each list call at once.
    """

    def __init__(self) -> None:
        super().__init__(work_s=60)
        self.grace_s = KILL_GRACE_S
        self.runs["z.0.0.0", 1] = FakeRun("z.0.0.0", 1, 0.0)
        self.end(self.runs["z.0.0.0", 1], "done")

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        found = await super().hold(fencing_token, stored_through, lease_ms, wait_ms)
        if isinstance(found, Ok):
            view = found.ok_value
            view.running[:] = [
                item
                for item in view.running
                if self.runs[item.task, item.attempt].kind != "stopped"
            ]
        return found


def kinds(life: RunnerLife) -> dict[str, str]:
    """Return the outcomes, without the one that nobody stores."""
    return {task: kind for task, kind in all_kinds(life).items() if task != "z.0.0.0"}


async def test_a_listed_run_ends_only_with_its_listed_end() -> None:
    """Guards against a second run of a task whose first run is still being stopped."""
    worker = HidingWorker()
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(1)
        life.stop(StopOrder(TASK, 1))
        while worker.runs:
            assert kinds(life) == {}
            await asyncio.sleep(0.02)
            worker.advance()
        await asyncio.sleep(1)
        assert kinds(life) == {TASK: "stopped"}


async def test_a_confirmed_start_ends_only_with_its_listed_end() -> None:
    """Guards against the same, for a run that has been in no list yet."""
    worker = HidingWorker()
    async with life_of(worker) as (life, _):
        await asyncio.sleep(0.02)
        life.start(order())
        await asyncio.sleep(0.02)
        assert list(worker.runs) == [(TASK, 1)]
        life.stop(StopOrder(TASK, 1))
        while worker.runs:
            assert kinds(life) == {}
            await asyncio.sleep(0.02)
            worker.advance()
        await asyncio.sleep(1)
        assert kinds(life) == {TASK: "stopped"}


async def test_a_stop_of_a_restarted_agent_waits_for_the_end_of_its_run() -> None:
    """Guards against the same, for a run that an earlier process of the agent has begun to stop."""
    worker = HidingWorker()
    async with run_agent(worker, MemoryTable()) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(1)
        leader.order(leader.reports[-1].report_number, stops=[StopOrder(TASK, 1)])
    assert list(worker.runs) == [(TASK, 1)]
    async with run_agent(worker, MemoryTable()) as leader:
        leader.order(leader.reports[-1].report_number, stops=[StopOrder(TASK, 1)])
        while worker.runs:
            ended = {end.task for report in leader.reports for end in report.ends}
            assert ended <= {"z.0.0.0"}
            await asyncio.sleep(0.02)
            worker.advance()


async def test_an_abandoned_start_that_was_carried_out_late_waits_for_its_end() -> None:
    """Guards against the same, for a start that the worker carries out just before its stop."""
    worker = HidingWorker()
    worker.faults = ["unanswered", "unanswered", "late"]
    worker.late_s = 0.55
    async with life_of(worker) as (life, _):
        life.start(order())
        while not worker.runs:
            await asyncio.sleep(0.01)
        while worker.runs:
            assert kinds(life) == {}
            await asyncio.sleep(0.02)
            worker.advance()
        await asyncio.sleep(1)
        assert kinds(life) == {TASK: "stopped"}


async def test_a_run_that_never_began_ends_within_the_time_of_a_stop() -> None:
    """Guards against tasks that wait for an end that no list will ever contain."""
    worker = HidingWorker()
    worker.faults = ["unanswered"] * 3
    async with life_of(worker) as (life, _):
        life.start(order())
        life.stop(StopOrder("b.0.0.0", 1))
        await asyncio.sleep(3 * 0.6 + Bounds().kill_grace_s + 1)
        assert kinds(life) == {TASK: "not_started", "b.0.0.0": "not_started"}
