"""Waits behind other waiting tasks, and starts on workers that fail; no network."""

from itertools import pairwise

import pytest

from sapphirelead.blame.counts import MIN_CRASHES
from sapphirelead.sched_eligibility import UNSOUND_RETRY_INTERVAL_S, URGENT_WAIT_S
from sapphirelead.sched_spec import QueuePolicy, StepSpec
from tests.sched.fakes import job
from tests.sched.test_quarantine import LONG_RUNNING, Fleet
from tests.sched.test_scheduler import submit
from tests.sched.test_task_waits import LASTING_BOUND_S, TICK_S, Site, lasting

PATIENT = QueuePolicy("svc", max_failures=50)
BATCH = StepSpec(cpu_millicores=1000)
STALLED = StepSpec(cpu_millicores=1000, estimate_ms=60_000)
JOB_BOUND_S = 3.0
START_S = 1.0


def claim_times(site: Site, duration_s: float) -> list[float]:
    """Return when each run is claimed on the first worker."""
    found = []
    while site.at < duration_s:
        before = {run.key for run in site.runs_on("g0")}
        site.advance(TICK_S)
        found += [site.at for run in site.runs_on("g0") if run.key not in before]
    return found


@pytest.mark.parametrize("step", [lasting(), BATCH], ids=["lasting", "batch"])
def test_overdue_tasks_start_one_by_one_on_a_failing_worker(step: StepSpec) -> None:
    """Guards against many tasks that fail at once on a worker in its cooldown."""
    site = Site()
    site.unsound("g0", trials=3)
    site.fail("g0")
    for number in range(6):
        submit(site.sched, job(f"a{number}", step, policy=PATIENT))
    times = claim_times(site, 10.0)
    gaps = [later - earlier for earlier, later in pairwise(times)]
    assert min(gaps) >= UNSOUND_RETRY_INTERVAL_S - TICK_S


@pytest.mark.parametrize("step", [lasting(), BATCH], ids=["lasting", "batch"])
def test_a_wait_ends_with_a_run_that_fails_at_once(step: StepSpec) -> None:
    """Guards against a task that counts as urgent by a wait of before its last run."""
    site = Site()
    site.unsound("g0", trials=3)
    site.fail("g0")
    submit(site.sched, job("a1", step, policy=PATIENT))
    first, second = claim_times(site, 5.0)[:2]
    assert second - first >= URGENT_WAIT_S - TICK_S


def test_a_long_running_job_with_nothing_running_does_not_wait_behind_trials() -> None:
    """Guards against a job that idles while trials of other jobs follow each other."""
    site = Site()
    site.unsound("g0", trials=3)
    submit(site.sched, job("t1", STALLED))
    site.advance(0.5)
    submit(site.sched, job("t2", STALLED))
    site.advance(1.2)
    submit(site.sched, job("a1", lasting()))
    site.advance(JOB_BOUND_S)
    assert [run for run in site.runs_on("g0") if run.ref.job_id == "a1"]


def test_tasks_that_are_nearly_given_up_do_not_wait_for_each_other() -> None:
    """Guards against long-running tasks that are away for the probations of all others."""
    fleet = Fleet(1)
    for number in range(4):
        fleet.submit_suspect(job(f"p{number}", LONG_RUNNING), MIN_CRASHES)
    fleet.place()
    fleet.wait(LASTING_BOUND_S - START_S)
    assert len(fleet.sched.fleet.runs) == 4
