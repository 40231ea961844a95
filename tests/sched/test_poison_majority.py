"""Poison tasks that outnumber the workers, beside long-running tasks; simulation without network.

Each worker lives for seconds and is away for as long, so that all jobs wait too long and every
crash has several suspects.
"""

import asyncio
import math
import random
from typing import Final

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import JobState
from sapphirelead.sched_journal import Journal
from sapphirelead.sched_memory import MIN_INTERVAL_S, LeaderMemory
from sapphirelead.sched_spec import JobSpec, StepSpec
from tests.sched.fakes import job
from tests.sched.world import CheckedWorker, FaultSimulation

pytestmark = [pytest.mark.looptime, pytest.mark.timeout(120)]

POISON_JOBS: Final = 6
SUBMISSION_S: Final = 0.4
"""Time that the simulation takes to hand in a job."""

FAULTS_S: Final = 30.0
RECOVERY_S: Final = 60.0


@pytest.fixture(autouse=True)
def _clock_of_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class PoisonMajority(FaultSimulation):
    """A fleet on which nothing fails but what poison tasks take down, and agents that restart.

    Each leader starts from what its predecessor has learnt, as of an interval before its end.
    """

    memory = LeaderMemory()

    async def run_rounds(self, sched: Scheduler, journal: Journal, ends_at: float) -> None:
        sched.inherit(self.memory, now())
        storing = asyncio.create_task(self._store_memory(sched))
        try:
            await super().run_rounds(sched, journal, ends_at)
        finally:
            storing.cancel()

    async def _store_memory(self, sched: Scheduler) -> None:
        while True:
            await asyncio.sleep(MIN_INTERVAL_S)
            self.memory = LeaderMemory.decode(sched.memory(now()).to_write().value)

    async def inject_faults(self) -> None:
        while not self.faults_stopped:
            await asyncio.sleep(self.rng.uniform(2, 6))
            slot = self.rng.choice(self.slots)
            if slot.runner is not None:
                runner, slot.runner = slot.runner, None
                await runner.stop()
                await asyncio.sleep(self.rng.uniform(0.1, 1))
                await self.start_agent(slot)
                slot.disturbed_at = now()

    def check_start(self, worker: CheckedWorker, task: str, late: bool) -> None:
        super().check_start(worker, task, late)
        spec = next(spec for spec in self.jobs if spec.job_id == task.partition(".")[0])
        if is_lasting(spec):
            for run in worker.runs.values():
                run.ends_at = math.inf if run.task == task else run.ends_at

    def ended(self) -> bool:
        """Whether only long-running jobs are left, and every task of those runs."""
        running = {run.task for slot in self.slots for run in slot.worker.runs.values()}
        for spec in self.jobs:
            state = self.states()[spec.job_id] if self.sched is not None else None
            if is_lasting(spec) and spec.job_id not in self.poison_jobs:
                if not {f"{spec.job_id}.0.0.{n}" for n in range(spec.steps[0].tasks)} <= running:
                    return False
            elif state not in (JobState.COMPLETED, JobState.FAILED):
                return False
        return True


def is_lasting(spec: JobSpec) -> bool:
    """Return whether a job is long-running."""
    return spec.steps[0].lasting


def random_jobs(rng: random.Random) -> tuple[list[JobSpec], frozenset[str]]:
    """Return quiet and poison jobs in random order, and the ids of the poison jobs."""
    jobs = []
    for number in range(POISON_JOBS):
        step = StepSpec(
            cpu_millicores=rng.choice([500, 1000]),
            estimate_ms=rng.choice([0, 300, 2000]),
            lasting=rng.random() < 0.3,
        )
        jobs.append(job(f"0bad{number}", step))
    for number in range(5):
        step = StepSpec(tasks=2, cpu_millicores=rng.choice([300, 800]), lasting=True)
        jobs.append(job(f"last{number}", step))
    for number in range(10):
        step = StepSpec(
            tasks=rng.randint(1, 4), cpu_millicores=300, estimate_ms=rng.choice([300, 1500])
        )
        jobs.append(job(f"{number:04x}", step))
    rng.shuffle(jobs)
    return jobs, frozenset(spec.job_id for spec in jobs if spec.job_id.startswith("0bad"))


async def run_with_poison_majority(seed: int) -> PoisonMajority:
    """Run a simulation in which all poison jobs are handed in within seconds."""
    jobs, poison = random_jobs(random.Random(seed))
    world = PoisonMajority(seed, jobs, poison)
    await world.run_simulation(FAULTS_S, RECOVERY_S)
    return world


@pytest.mark.parametrize("seed", range(12))
async def test_poison_tasks_that_outnumber_workers_are_given_up(seed: int) -> None:
    """Guards against crash loops of culprits that are excused by a wrong verdict."""
    world = await run_with_poison_majority(seed)
    assert world.violations == []
    states = world.states()
    assert {states[job_id] for job_id in world.poison_jobs} == {JobState.FAILED}


@pytest.mark.parametrize("seed", range(12))
async def test_no_quiet_job_is_given_up_beside_many_poison_tasks(seed: int) -> None:
    """Guards against innocent tasks that are convicted by living beside poison tasks."""
    world = await run_with_poison_majority(seed)
    states = world.states()
    failed = {job_id for job_id, state in states.items() if state is JobState.FAILED}
    assert failed - world.poison_jobs == set()
    assert world.ended()
