"""Simulation of two faults shortly after each other; PAIR_SEEDS=FIRST:LAST plays other seeds."""

import os

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from tests.sched.pairs_world import make_pair

pytestmark = pytest.mark.looptime

FIRST, LAST = (int(text) for text in os.environ.get("PAIR_SEEDS", "0:12").split(":"))


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


@pytest.mark.parametrize("seed", range(FIRST, LAST))
async def test_no_task_runs_twice_beside_two_faults(seed: int) -> None:
    """Guards against a claim that ends, or a task that starts again, while its run goes on."""
    world = make_pair(seed)
    await world.run_pair()
    assert world.violations == [], (world.faults, world.gap_s, world.lease_max_s, world.trace)
