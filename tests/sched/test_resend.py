"""Tests of resending starts: which reports show that a start order was lost."""

import pytest

from sapphirelead.node_messages import AgentReport
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import RESEND_TIMEOUT_S, apply_report
from tests.sched.fakes import Agents, job, scheduler, store, worker_info


def scheduler_with_sent_start(number: int) -> Scheduler:
    """Return a scheduler that has sent a start to its only agent in orders ``number``."""
    sched = scheduler()
    Agents(sched).report("g1", at=0.0)
    sched.submit(job("a1"), lambda *_: None)
    plan(sched, 0.0, 0)
    store(sched)
    sched.fleet.instance("g1").orders_sent = number
    starts, _, _ = sched.orders_for("g1", 0.0)
    assert len(starts) == 1
    return sched


def report_without_runs(sched: Scheduler, orders: int, at: float) -> bool:
    """Apply a full report that lists no run; return whether a start is queued."""
    report_number = sched.fleet.instance("g1").report_number + 1
    report = AgentReport(
        "g1", "b", report_number, 1, 1, worker_info("w-g1"), True, [], [], orders=orders
    )
    assert apply_report(sched, report, 1, at)
    return "g1" in sched.outgoing and bool(sched.outgoing["g1"].starts)


@pytest.mark.parametrize(("got", "again"), [(6, False), (7, True), (8, True), (0, True)])
def test_start_is_resent_only_after_a_report_made_after_its_orders(got: int, again: bool) -> None:
    """Guards against resending starts because of reports that were made before them.

    For an agent that has received no orders, only the timeout counts.
    """
    sched = scheduler_with_sent_start(7)
    assert not report_without_runs(sched, got, 0.9 * RESEND_TIMEOUT_S)
    assert report_without_runs(sched, got, 1.1 * RESEND_TIMEOUT_S) is again


def test_lost_start_is_resent_once_later_orders_arrive() -> None:
    sched = scheduler_with_sent_start(7)
    assert not report_without_runs(sched, 6, 2 * RESEND_TIMEOUT_S)
    assert report_without_runs(sched, 8, 3 * RESEND_TIMEOUT_S)
    sched.fleet.instance("g1").orders_sent = 9
    starts, _, _ = sched.orders_for("g1", 3 * RESEND_TIMEOUT_S)
    assert [start.task for start in starts] == ["a1.0.0.0"]
    assert not report_without_runs(sched, 8, 5 * RESEND_TIMEOUT_S), "these orders are on their way"
