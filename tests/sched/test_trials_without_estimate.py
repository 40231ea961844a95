"""Trials by short runs whose speed is unknown; no network."""

import pytest

from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_scheduler import ended, submit

TASKS = 100
RUN_S = 1.0


@pytest.mark.parametrize("estimate_ms", [1000, 0])
def test_short_runs_that_end_well_pass_a_trial(estimate_ms: int) -> None:
    """Guards against a worker that serves one short task at a time for good after its cooldown."""
    sched = scheduler()
    agents = Agents(sched)
    info = worker_info(cpu=32_000)
    agents.report(worker=info)
    track = sched.fleet.instance("g1").track
    while track.sound(0.0):
        track.record_failure(0.0)
    began_at = at = track.cooldown_until
    submit(sched, job("a1", StepSpec(TASKS, cpu_millicores=1000, estimate_ms=estimate_ms)))
    done = 0
    while done < TASKS and at < began_at + 10.0:
        ends, runs = [], []
        for run in sched.fleet.runs.values():
            if run.running_at and at - run.running_at >= RUN_S:
                done += 1
                ends.append(ended(run, "done", done))
            else:
                runs.append((run.ref.text(), run.attempt))
        agents.report(worker=info, runs=runs, ends=ends, at=at)
        plan(sched, at, 0)
        store(sched)
        at += 0.1
    assert done == TASKS
    assert not track.on_trial
