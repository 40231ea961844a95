"""Simulation of random faults of leaders, agents, workers and messages.

Guards against concurrent runs of a task, runs after its acknowledged end, steps out of order,
overcommitted workers, and jobs that do not end once the faults have stopped; also with jobs that
crash every worker that starts them, and with workers whose capacity shrinks and grows.
"""

import random

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.sched_job import JobState
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


def poison_job(rng: random.Random, number: int) -> JobSpec:
    """Return a job of one short or long-running task."""
    lasting = rng.random() < 0.3
    step = StepSpec(
        cpu_millicores=rng.choice([500, 3000]),
        estimate_ms=rng.choice([300, 2000]),
        lasting=lasting,
    )
    return job(f"0bad{number}", step, policy=POLICY)


@pytest.fixture(autouse=True)
def _clock_of_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


def random_jobs(seed: int) -> list[JobSpec]:
    """Return the jobs of a simulation."""
    rng = random.Random(seed)
    return [random_job(rng, number) for number in range(12)]


@pytest.mark.parametrize("seed", range(8))
async def test_invariants_hold_under_random_faults(seed: int) -> None:
    world = FaultSimulation(seed, random_jobs(seed))
    await world.run_simulation(faults_s=40, recovery_s=60)
    assert world.violations == []
    assert world.ended()


async def run_with_poison_jobs(seed: int) -> FaultSimulation:
    """Run a simulation with one or two poison jobs, each of a single task."""
    rng = random.Random(seed)
    poison = [poison_job(rng, number) for number in range(1 + seed % 2)]
    jobs = random_jobs(seed)
    poison_ids = frozenset(spec.job_id for spec in poison)
    world = FaultSimulation(seed, [*jobs[:3], *poison, *jobs[3:]], poison_ids)
    await world.run_simulation(faults_s=40, recovery_s=60)
    return world


@pytest.mark.parametrize("seed", range(8))
async def test_poison_jobs_are_given_up_under_random_faults(seed: int) -> None:
    """Guards against crash loops, and against jobs that fail without crashes under their tasks."""
    world = await run_with_poison_jobs(seed)
    assert world.violations == []
    assert world.ended()
    assert world.failed_without_cause() == set()
    states = world.states()
    assert {states[job_id] for job_id in world.poison_jobs} == {JobState.FAILED}


@pytest.mark.parametrize("seed", range(8))
async def test_quiet_jobs_complete_beside_poison_jobs_under_random_faults(seed: int) -> None:
    """Guards against jobs that are given up for crashes that other jobs have caused."""
    world = await run_with_poison_jobs(seed)
    failed = [job_id for job_id, state in world.states().items() if state is not JobState.COMPLETED]
    assert set(failed) - world.poison_jobs == set()


@pytest.mark.parametrize(
    "seed", [241, 347, 1001, 1004, 1029, 1072, 1091, 2038, 2205, 3105, 3109, 7047, 20167, 20288]
)
async def test_quiet_jobs_complete_on_seeds_that_failed(seed: int) -> None:
    """Guards against blame for starts that never arrived, and for crashes that are explained."""
    world = await run_with_poison_jobs(seed)
    assert world.violations == []
    assert world.failed_without_cause() == set()
    states = world.states()
    failed = {job_id for job_id, state in states.items() if state is not JobState.COMPLETED}
    assert failed == world.poison_jobs


@pytest.mark.parametrize("seed", [104, 151])
async def test_no_task_runs_twice_on_seeds_that_failed(seed: int) -> None:
    """Guards against late orders of refused starts, and against outcomes that are dropped."""
    world = FaultSimulation(seed, random_jobs(seed), capacities_change=True)
    await world.run_simulation(faults_s=40, recovery_s=60)
    assert world.violations == []
    assert world.ended()


@pytest.mark.parametrize("seed", range(8))
async def test_shrinking_workers_are_not_overcommitted_under_random_faults(seed: int) -> None:
    """Guards against starts beyond a capacity that shrinks while orders are on their way."""
    world = FaultSimulation(seed, random_jobs(seed), capacities_change=True)
    await world.run_simulation(faults_s=40, recovery_s=60)
    assert world.violations == []
    assert world.ended()
