"""Starts that a worker's next life carries out before the last one is known to have ended."""

import asyncio

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from tests.sched.agent_leader import TASK
from tests.sched.fakes import FakeRun
from tests.sched.test_next_lives import running_site

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


async def test_a_start_that_the_next_life_has_carried_out_does_not_end_with_the_last() -> None:
    """Guards against a second run of a task that the next life has just begun."""
    async with running_site() as site:
        # An outcome that nobody stores makes the agent pause between its list calls.
        site.worker.runs["z.0.0.0", 1] = FakeRun("z.0.0.0", 1, 0.0)
        site.worker.advance()
        await asyncio.sleep(2)
        holds = site.worker.holds
        while site.worker.holds == holds:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        site.worker.begin_life(7)
        site.order_start()
        for _ in range(100):
            await asyncio.sleep(0.01)
            if (TASK, 1) in site.worker.runs:
                assert "w1/0" not in site.leader.reports[-1].ended_workers
