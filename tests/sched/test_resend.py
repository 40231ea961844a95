"""Which reports show that an order to start has not arrived."""

import pytest

from sapphirelead.node_messages import AgentReport
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import RESEND_TIMEOUT_S, apply_report
from tests.sched.fakes import Agents, job, scheduler, store, worker_info


def scheduler_with_sent_start(number: int) -> Scheduler:
    """Return a scheduler that has just sent a start to its only agent, in orders ``number``."""
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
    """Take a full report that lists no run; return whether a start waits to be sent."""
    beat = sched.fleet.instance("g1").beat + 1
    report = AgentReport("g1", "b", beat, 1, 1, worker_info("w-g1"), True, [], [], orders=orders)
    assert apply_report(sched, report, 1, at)
    return "g1" in sched.outgoing and bool(sched.outgoing["g1"].starts)


@pytest.mark.parametrize(("got", "again"), [(6, False), (7, True), (8, True), (0, True)])
def test_start_is_resent_only_after_a_report_made_after_its_orders(
    received_orders: int, resent: bool
) -> None:
    """A leader that is behind reads reports made before its starts, and sends all of them twice.

    An agent that has got these orders or later ones and does not list the run has lost it.  One
    that has got none (it has restarted, or is of an earlier version) is judged by the time alone.
    """
    sched = scheduler_with_sent_start(7)
    assert not report_without_runs(sched, received_orders, 0.9 * RESEND_TIMEOUT_S)
    assert report_without_runs(sched, received_orders, 1.1 * RESEND_TIMEOUT_S) is resent


def test_lost_start_is_resent_once_later_orders_arrive() -> None:
    sched = scheduler_with_sent_start(7)
    assert not report_without_runs(sched, 6, 2 * RESEND_TIMEOUT_S)
    assert report_without_runs(sched, 8, 3 * RESEND_TIMEOUT_S)
    sched.fleet.instance("g1").orders_sent = 9
    starts, _, _ = sched.orders_for("g1", 3 * RESEND_TIMEOUT_S)
    assert [start.task for start in starts] == ["a1.0.0.0"]
    assert not report_without_runs(sched, 8, 5 * RESEND_TIMEOUT_S), "these orders are on their way"
