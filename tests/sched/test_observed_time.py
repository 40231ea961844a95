"""Tests of the time for which a run counts as observed."""

import asyncio

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.blame.evidence import PROBATION_S
from sapphirelead.clock import now
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import job
from tests.sched.world import CheckedWorker, FaultSimulation, Slot

pytestmark = pytest.mark.looptime

RESTART_S = 2.8
"""Time from a worker's crash to its next life."""


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


async def test_a_run_is_not_observed_while_its_worker_does_not_answer() -> None:
    """Guards against crashes that do not count because reports repeat what a dead worker ran."""
    simulation = FaultSimulation(0, [job("a1", StepSpec(cpu_millicores=1000, lasting=True))])
    simulation.faults_stopped = True
    slot = Slot("g0", CheckedWorker(simulation))
    slot.worker.work_s = 100.0
    simulation.slots = [slot]
    await simulation.start_agent(slot)
    tasks = [
        asyncio.create_task(work)
        for work in (
            simulation.run_leaders(),
            simulation.send_heartbeats(),
            simulation.submit_jobs(),
        )
    ]
    await asyncio.sleep(3.0)
    assert simulation.sched is not None
    (run,) = simulation.sched.fleet.runs.values()
    observed_s = run.watch.alive_s
    assert observed_s > 0
    slot.worker.not_responding = True
    await asyncio.sleep(RESTART_S)
    unseen_s = run.watch.alive_s - observed_s
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert slot.runner is not None
    await slot.runner.stop()
    await slot.worker.close()
    assert unseen_s < PROBATION_S
