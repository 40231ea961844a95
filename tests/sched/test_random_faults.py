"""Simulation of random faults of leaders, agents, workers and messages.

Guards against concurrent runs of a task, runs after its acknowledged end, steps out of order,
overcommitted workers, and jobs that do not end once the faults have stopped.
"""

import random

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from tests.sched.fakes import job
from tests.sched.world import FaultSimulation

pytestmark = pytest.mark.looptime

POLICY = QueuePolicy("svc", max_failures=50)


def random_job(rng: random.Random, number: int) -> JobSpec:
    """Return a random job of one to three steps."""
    steps = []
    for step in range(rng.randint(1, 3)):
        steps.append(
            StepSpec(
                tasks=rng.randint(1, 4),
                cpu_millicores=rng.choice([500, 1500, 3000]),
                memory_mb=100,
                estimate_ms=rng.choice([300, 1000, 2000]),
                after=(step - 1,) if step else (),
                saves=rng.random() < 0.5,
                gang=False,
            )
        )
    return job(f"{number:04x}", *steps, policy=POLICY)


@pytest.mark.parametrize("seed", range(8))
async def test_invariants_hold_under_random_faults(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)
    rng = random.Random(seed)
    world = FaultSimulation(seed, [random_job(rng, number) for number in range(12)])
    await world.run_simulation(faults_s=40, recovery_s=60)
    assert world.violations == []
    assert world.ended()
