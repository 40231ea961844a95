"""Simulation of zones that are evacuated and restored beside random faults.

Guards against starts in an evacuated zone later than the bound, by a leader that cannot read the
evacuations, by its successor, or by an agent with orders of before; and against tasks that are
lost or run twice because their starts were refused.
"""

import random

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.sched_spec import JobSpec
from tests.sched.test_random_faults import random_job
from tests.sched.world import FaultSimulation

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _clock_of_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


def many_jobs(seed: int) -> list[JobSpec]:
    """Return enough jobs for starts at any time of a simulation."""
    rng = random.Random(seed)
    return [random_job(rng, number) for number in range(80)]


@pytest.mark.parametrize("seed", range(10))
async def test_nothing_starts_in_an_evacuated_zone_under_random_faults(seed: int) -> None:
    world = FaultSimulation(seed, many_jobs(seed), zones_change=True)
    await world.run_simulation(faults_s=60, recovery_s=90)
    assert world.violations == []
    assert world.ended()
