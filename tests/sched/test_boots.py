"""Tests of reports from two processes of one agent, of which the later replaces the earlier."""

import msgspec
import pytest

from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport, RunPhase, RunStatus
from sapphirelead.runner_service import MAX_REPORT_INTERVAL_S
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import BOOT_TIMEOUT_S, MIN_BOOT_RETURN_S, apply_report
from tests.sched.fakes import job, scheduler, store, worker_info


def report(
    sched: Scheduler,
    boot: str,
    report_number: int,
    at: float,
    worker: str = "w-g1",
    run: Run | None = None,
) -> bool:
    """Apply a report of an agent process; return whether it was accepted."""
    runs = [RunStatus(run.ref.text(), run.attempt, RunPhase.RUNNING, 10)] if run else []
    message = AgentReport("g1", boot, report_number, 1, 1, worker_info(worker), True, runs, [])
    return apply_report(sched, message, 1, at)


def run_on_newer_process(sched: Scheduler) -> Run:
    """Return a run on the worker of the process ``new``, which has replaced ``old``."""
    assert report(sched, "old", 90, 0.0, "w1")
    assert report(sched, "new", 1, 0.5, "w2")
    sched.fleet.instance("g1").renewed_at = 0.5
    sched.submit(job("a1"), lambda *_: None)
    plan(sched, 0.6, 0)
    store(sched)
    (run,) = sched.fleet.runs.values()
    assert report(sched, "new", 2, 0.7, "w2", run)
    return run


def test_current_process_is_accepted_after_late_report_of_previous_one() -> None:
    """Guards against a new leader that ignores an agent forever, so that its runs lapse."""
    sched = scheduler()
    assert report(sched, "new", 1, 0.0)
    assert report(sched, "old", 90, 0.1)
    taken = [
        report(sched, "new", report_number, report_number * MAX_REPORT_INTERVAL_S)
        for report_number in range(2, 6)
    ]
    assert taken[-1]
    assert sched.fleet.instance("g1").boot == "new"


def test_late_report_of_previous_process_is_ignored() -> None:
    """Guards against orders addressed to a process that has ended."""
    sched = scheduler()
    assert report(sched, "old", 90, 0.0)
    assert report(sched, "new", 1, 0.5)
    assert not report(sched, "old", 91, 0.5 + 0.9 * BOOT_TIMEOUT_S)
    assert sched.fleet.instance("g1").boot == "new"


EARLIER = {
    "announced_its_end": {"leaving": True},
    "follows_an_earlier_leader": {"epoch": 0},
    "has_a_worker_that_has_ended": {},
}


@pytest.mark.parametrize("changes", EARLIER.values(), ids=EARLIER)
def test_a_new_leader_ignores_a_late_report_of_a_process_it_never_met(
    changes: dict[str, int],
) -> None:
    """Guards against runs that count as lost with a worker that was replaced long ago."""
    sched = scheduler()
    info = worker_info("w2")
    ended = (WorkerLife("w1"),) if not changes else ()
    new = AgentReport("g1", "new", 1, 1, 1, info, True, [], [], ended)
    assert apply_report(sched, new, 1, 0.0)
    sched.submit(job("a1"), lambda *_: None)
    plan(sched, 0.1, 0)
    store(sched)
    (run,) = sched.fleet.runs.values()
    old = AgentReport("g1", "old", 90, 1, 1, worker_info("w1"), True, [], [])
    assert not apply_report(sched, msgspec.structs.replace(old, **changes), 1, 0.2)
    assert list(sched.fleet.runs.values()) == [run]
    assert sched.fleet.instance("g1").boot == "new"


@pytest.mark.parametrize("behind_s", [BOOT_TIMEOUT_S, 2.0, 5.0])
def test_late_reports_of_previous_process_lose_no_run(behind_s: float) -> None:
    """Guards against a leader that restarts running tasks after a stall."""
    sched = scheduler()
    run = run_on_newer_process(sched)
    at = 0.7 + behind_s + 0.01
    assert not report(sched, "old", 91, at, "w1")
    assert not report(sched, "old", 92, at + 0.1, "w1")
    assert not report(sched, "old", 91, at + 2 * MIN_BOOT_RETURN_S, "w1"), "duplicate report"
    assert report(sched, "new", 3, at + 2 * MIN_BOOT_RETURN_S, "w2", run)
    assert not report(sched, "old", 93, at + 3 * MIN_BOOT_RETURN_S, "w1")
    assert run.key in sched.fleet.runs


def test_report_of_current_process_resets_return_of_previous_one() -> None:
    """Guards against accepting two late reports with one of the current process in between."""
    sched = scheduler()
    run = run_on_newer_process(sched)
    at = 0.7 + BOOT_TIMEOUT_S + 0.1
    assert not report(sched, "old", 91, at, "w1")
    assert report(sched, "new", 3, at + 0.1, "w2", run)
    assert not report(sched, "old", 92, at + 0.2 + BOOT_TIMEOUT_S, "w1")
    assert run.key in sched.fleet.runs


def test_previous_process_that_keeps_reporting_becomes_current() -> None:
    """Guards against runs that stay claimed on the worker of a process that has ended."""
    sched = scheduler()
    run = run_on_newer_process(sched)
    at = 0.7 + BOOT_TIMEOUT_S + 0.1
    assert not report(sched, "old", 91, at, "w1")
    assert report(sched, "old", 92, at + MAX_REPORT_INTERVAL_S, "w1")
    assert run.key not in sched.fleet.runs
    assert sched.fleet.instance("g1").boot == "old"
