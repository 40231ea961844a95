"""What a leader does with workers that are reported to refuse connections."""

import pytest

from sapphirelead.node_messages import RunEnded
from sapphirelead.sched_fleet import RECENT_END_S
from sapphirelead.sched_planner import plan
from tests.sched.fakes import job, scheduler, store
from tests.sched.test_crash_counts import Agent, crashes, started

LEASE_LEFT_S = 8.0
"""Time from the first refused connection until the worker counts as ended."""


@pytest.mark.parametrize("refuses", [False, True])
def test_nothing_is_placed_on_a_worker_that_refuses_connections(refuses: bool) -> None:
    """Guards against tasks that are placed on a worker which cannot start them."""
    sched = scheduler()
    agent = Agent(sched)
    agent.report(1.0, worker_refuses=refuses)
    sched.submit(job("a1"), lambda *_: None)
    plan(sched, 1.0, 0)
    assert len(sched.fleet.runs) == (0 if refuses else 1)
    agent.report(1.5)
    plan(sched, 1.5, 0)
    assert len(sched.fleet.runs) == 1


@pytest.mark.parametrize(("ended_s", "count"), [(RECENT_END_S / 2, 1), (RECENT_END_S + 0.5, 0)])
def test_a_crash_is_dated_by_the_first_refused_connections(ended_s: float, count: int) -> None:
    """Guards against a crash for which no run counts because the lease took its time to expire."""
    sched, agent, run = started()
    agent.report(2.0, ends=[RunEnded(1, run.ref.text(), run.attempt, "lapsed", "")])
    store(sched)
    refused_at = 2.0 + ended_s
    agent.report(refused_at, worker_refuses=True)
    agent.report(refused_at + LEASE_LEFT_S / 2, worker_refuses=True)
    agent.report(refused_at + LEASE_LEFT_S, worker="", ended_workers=("w1",))
    assert crashes(sched) == count
