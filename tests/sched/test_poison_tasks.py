"""Tasks that crash every worker that starts them."""

from collections.abc import Iterable

import pytest

from sapphirelead.sched_job import JobState
from sapphirelead.sched_spec import JobSpec, StepSpec
from tests.sched.fakes import job
from tests.sched.poison import MAX_FURTHER_STARTS, Faults, PoisonFleet

QUIET_JOBS = [f"q{number}" for number in range(24)]
MAX_RESTART_S = 6.0
"""Time within which a long-running task is to run again."""

SMALL = StepSpec(cpu_millicores=1000, estimate_ms=1000)
GANG = StepSpec(tasks=3, cpu_millicores=1000, estimate_ms=1000, gang=True)
COPIES = StepSpec(cpu_millicores=1000, estimate_ms=1000, copies=True)
LONG_RUNNING = StepSpec(cpu_millicores=1000, lasting=True)


def quiet_jobs() -> list[JobSpec]:
    """Return jobs without fault."""
    return [job(name, StepSpec(tasks=3, cpu_millicores=1000)) for name in QUIET_JOBS]


def scheduled(job_id: str) -> JobSpec:
    """Return a job with three occurrences."""
    spec = job(job_id, SMALL)
    return JobSpec(
        spec.job_id,
        spec.queue,
        spec.payload,
        spec.steps,
        spec.policy,
        first_due_ms=2000,
        interval_ms=2000,
        occurrences=3,
    )


def play(
    poison: Iterable[JobSpec], faults: Faults | None = None, crash_s: float = 0.3, sites: int = 8
) -> PoisonFleet:
    """Play ``poison`` among quiet jobs and one quiet long-running task."""
    specs = list(poison)
    fleet = PoisonFleet(sites, {spec.job_id for spec in specs}, faults, crash_s)
    fleet.submit(job("lasting", LONG_RUNNING), *specs, *quiet_jobs()[:12])
    fleet.run(8.0)
    fleet.submit(*quiet_jobs()[12:])
    fleet.run(60.0)
    return fleet


FAULTS = {
    "none": Faults(),
    "leader_changes": Faults(leader_changes=(1.5, 1.9, 2.6, 3.3, 4.1, 5.0, 5.7, 6.9, 8.2, 9.9)),
    "leader_changes_while_store_is_away": Faults(
        leader_changes=(2.4, 4.4, 6.4, 8.4),
        store_away=((1.8, 2.4), (3.8, 4.4), (5.8, 6.4), (7.8, 8.4)),
    ),
    "agent_restarts": Faults(agent_restarts=(1.6, 2.2, 2.9, 3.7, 4.6, 5.6, 6.7)),
    "agents_and_leaders_restart": Faults(
        leader_changes=(2.0, 3.1, 4.3, 5.2), agent_restarts=(2.0, 3.0, 4.3, 5.3)
    ),
    "starts_sent_again": Faults(lost_starts=0.6),
    "starts_carried_out_late": Faults(late_s=1.0),
}


@pytest.mark.parametrize("crash_s", [0.0, 0.3, 1.5])
@pytest.mark.parametrize("faults", FAULTS.values(), ids=FAULTS)
def test_starts_of_a_poison_task_are_bounded(faults: Faults, crash_s: float) -> None:
    """Guards against a task that crashes one worker after the other without end."""
    fleet = play([job("p", SMALL)], faults, crash_s)
    assert fleet.late_starts["p.0.0.0"] <= MAX_FURTHER_STARTS
    assert fleet.state("p") is JobState.FAILED


POISON_JOBS = {
    "gang": [job("p", GANG)],
    "copies": [job("p", COPIES)],
    "occurrences": [scheduled("p")],
    "long_running": [job("p", LONG_RUNNING)],
    "two_at_once": [job("p", SMALL), job("r", SMALL)],
    "three_of_one_step": [job("p", StepSpec(tasks=3, cpu_millicores=1000, estimate_ms=1000))],
    "whole_worker": [job("p", StepSpec(cpu_millicores=8000, estimate_ms=1000))],
}


@pytest.mark.parametrize("faults", ["none", "leader_changes"])
@pytest.mark.parametrize("poison", POISON_JOBS.values(), ids=POISON_JOBS)
def test_starts_are_bounded_for_each_kind_of_job(poison: list[JobSpec], faults: str) -> None:
    """Guards against kinds of jobs whose crashes are not counted, or counted for no task."""
    fleet = play(poison, FAULTS[faults])
    assert max(fleet.late_starts.values(), default=0) <= MAX_FURTHER_STARTS
    assert [fleet.state(spec.job_id) for spec in poison] == [JobState.FAILED] * len(poison)


@pytest.mark.parametrize("poison", POISON_JOBS.values(), ids=POISON_JOBS)
def test_other_jobs_complete_beside_poison_tasks(poison: list[JobSpec]) -> None:
    """Guards against blaming a task for a crash that another one on its worker caused."""
    fleet = play(poison)
    assert {name: fleet.state(name) for name in QUIET_JOBS} == dict.fromkeys(
        QUIET_JOBS, JobState.COMPLETED
    )
    assert fleet.state("lasting") is JobState.RUNNING
    assert fleet.absent_s["lasting.0.0.0"] <= MAX_RESTART_S


@pytest.mark.parametrize("poison", POISON_JOBS.values(), ids=POISON_JOBS)
def test_suspected_task_runs_apart_from_others(poison: list[JobSpec]) -> None:
    """Guards against a suspected task that takes the runs beside it down again and again."""
    fleet = play(poison, sites=10)
    assert sum(fleet.crashes.values()) >= 3
    assert fleet.avoidable == {}
