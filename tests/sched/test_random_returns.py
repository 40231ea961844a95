"""Simulation of a worker that returns under its id; RETURN_SEEDS=FIRST:LAST plays other seeds."""

import os

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from tests.sched.returns_world import make_return

pytestmark = pytest.mark.looptime

FIRST, LAST = (int(text) for text in os.environ.get("RETURN_SEEDS", "0:19").split(":"))


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


@pytest.mark.parametrize("seed", range(FIRST, LAST))
async def test_no_task_runs_twice_when_a_worker_returns(seed: int) -> None:
    """Guards against a run on the next life that has ended, or begins again, with the last one."""
    world = make_return(seed)
    await world.run_pair()
    assert world.violations == [], (world.faults, world.gap_s, world.lease_max_s, world.trace)
