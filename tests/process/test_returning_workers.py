"""Workers that return as another life under the id that they had, beside an agent."""

import asyncio

import pytest

from tests.process.returning import agent_with_worker

TASK = "a1.0.0.0"
SHORT = '{"work_ms": 30}'


@pytest.mark.parametrize("down_s", [0.0, 0.15, 1.0])
async def test_the_runs_of_an_earlier_life_end(down_s: float) -> None:
    """Guards against runs that are reported for ever after their worker has returned without."""
    async with agent_with_worker() as harness:
        await harness.start_run(TASK)
        await harness.wait(lambda: harness.reported_running() == [(TASK, 1)])
        first = harness.reported_worker()
        await harness.crash()
        await asyncio.sleep(down_s)
        await harness.start_life()
        await harness.wait(lambda: first in harness.report.ended_workers)
        await harness.wait_for_next_life(first)
        await asyncio.sleep(1.0)
        assert harness.reported_running() == []


@pytest.mark.parametrize("down_s", [0.0, 0.15, 1.0])
async def test_a_returned_worker_gets_work(down_s: float) -> None:
    """Guards against capacity that is lost because a worker returns under an id that has ended."""
    async with agent_with_worker() as harness:
        for attempt in range(1, 4):
            await harness.start_run(TASK, attempt=attempt)
            before = harness.reported_worker()
            await harness.crash()
            await asyncio.sleep(down_s)
            await harness.start_life()
            await harness.wait_for_next_life(before)


async def test_an_outcome_of_the_next_life_is_reported() -> None:
    """Guards against ends that are taken for stored because the next life numbers them anew."""
    async with agent_with_worker() as harness:
        for attempt in range(1, 4):
            await harness.start_run(TASK, SHORT, attempt)
            await harness.wait_for_end(TASK, attempt)
            harness.leader.order(0, stored=[(TASK, attempt)])
        await harness.wait(lambda: not harness.worker.state.ended)
        first = harness.reported_worker()
        await harness.crash()
        await harness.start_life()
        await harness.wait_for_next_life(first)
        await harness.start_run("b1.0.0.0", SHORT)
        await harness.wait_for_end("b1.0.0.0")
        assert [end.task for end in harness.worker.state.ended] == ["b1.0.0.0"]


@pytest.mark.parametrize("order", ["worker_first", "agent_first"])
async def test_a_restarted_agent_does_not_take_the_next_life_for_the_last(order: str) -> None:
    """Guards against runs that are taken over from a life that ended while the agent was away."""
    async with agent_with_worker() as harness:
        await harness.start_run(TASK)
        before = harness.reported_worker()
        await harness.stop_agent()
        await harness.crash()
        if order == "worker_first":
            await harness.start_life()
        await harness.start_agent()
        if order == "agent_first":
            await asyncio.sleep(0.3)
            await harness.start_life()
        await harness.wait_for_next_life(before)
        assert harness.reported_running() == []
        await harness.start_run(TASK, attempt=2)


@pytest.mark.parametrize("reports_birth", [True, False])
async def test_a_worker_with_a_new_id_in_each_life_is_followed(reports_birth: bool) -> None:
    """Guards against workers that report no birth, or change their ids, and are not met again."""
    async with agent_with_worker(worker_id="", reports_birth=reports_birth) as harness:
        await harness.start_run(TASK)
        before = harness.reported_worker()
        await harness.crash()
        await harness.start_life()
        await harness.wait_for_next_life(before)
        await harness.wait(lambda: before in harness.report.ended_workers)
        await harness.start_run(TASK, attempt=2)
