"""Outcomes that reach the leader after it has counted their runs as lost."""

import pytest

from sapphirelead.node_messages import RunEnded
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import EndKind, JobState
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import Agents, job, scheduler, store
from tests.sched.test_new_leader import load_successor
from tests.sched.test_scheduler import ended, only_run, submit

SMALL = StepSpec(cpu_millicores=1000)
LOST_AT_S = 1.0 + Bounds().loss_s + 0.1


def lose_run(step: StepSpec = SMALL) -> tuple[Scheduler, Agents, RunEnded]:
    """Lose the agent of a task's run; return its outcome, which nobody has reported yet."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report("g1", at=1.0)
    submit(sched, job("a1", step))
    plan(sched, 1.0, 0)
    plan(sched, 1.2, 0)
    store(sched)
    outcome = ended(only_run(sched), EndKind.DONE)
    sched.end_runs_of_lost_agents(LOST_AT_S)
    store(sched)
    assert not sched.fleet.runs
    return sched, agents, outcome


def acknowledged(sched: Scheduler, agent: str = "g1") -> list[tuple[str, int]]:
    """Return the ends that the next orders acknowledge."""
    return sched.orders_for(agent, LOST_AT_S)[2]


@pytest.mark.parametrize("changes", [False, True])
def test_late_outcome_completes_its_task(changes: bool) -> None:
    """Guards against work that is done again although it ended well."""
    sched, agents, outcome = lose_run()
    if changes:
        sched, agents = load_successor(sched)
    agents.report("g1", ends=[outcome], at=LOST_AT_S)
    assert acknowledged(sched) == []
    store(sched)
    assert sched.state("a1") is JobState.COMPLETED
    agents.report("g1", ends=[outcome], at=LOST_AT_S)
    assert acknowledged(sched) == [(outcome.task, outcome.attempt)]


def test_late_outcome_is_acknowledged_once_nothing_can_begin() -> None:
    """Guards against a start after an end that its worker has been told to forget."""
    sched, agents, outcome = lose_run()
    agents.report("g2", at=LOST_AT_S)
    plan(sched, LOST_AT_S, 0)
    store(sched)
    again = only_run(sched)
    agents.report("g1", ends=[outcome], at=LOST_AT_S)
    store(sched)
    assert again.stop_wanted
    agents.report("g1", ends=[outcome], at=LOST_AT_S)
    assert acknowledged(sched) == []
    agents.report("g2", ends=[ended(again, EndKind.NOT_STARTED)], at=LOST_AT_S)
    store(sched)
    agents.report("g1", ends=[outcome], at=LOST_AT_S)
    assert acknowledged(sched) == [(outcome.task, outcome.attempt)]
    assert sched.state("a1") is JobState.COMPLETED


@pytest.mark.parametrize(
    "changes", [{"kind": EndKind.FAILED}, {"kind": EndKind.STOPPED}, {"attempt": 7}]
)
def test_other_late_ends_change_nothing(changes: dict[str, object]) -> None:
    """Guards against a task that a run without a result, or of another writer, completes."""
    sched, agents, outcome = lose_run()
    fields = {"task": outcome.task, "attempt": 1, "kind": EndKind.DONE, **changes}
    agents.report("g1", ends=[RunEnded(number=1, saved="", **fields)], at=LOST_AT_S)  # type: ignore[arg-type]
    assert not sched.jobs["a1"].occurrences[0].done
    assert acknowledged(sched) == [(outcome.task, fields["attempt"])]


def test_late_end_of_a_long_running_task_changes_nothing() -> None:
    """Guards against a long-running task that is taken for done."""
    sched, agents, outcome = lose_run(StepSpec(cpu_millicores=1000, lasting=True))
    agents.report("g1", ends=[outcome], at=LOST_AT_S)
    assert sched.jobs["a1"].state is JobState.RUNNING
    assert acknowledged(sched) == [(outcome.task, 1)]


def test_late_outcome_of_a_cancelled_job_is_acknowledged() -> None:
    """Guards against an outcome that an agent repeats without end."""
    sched, agents, outcome = lose_run()
    sched.cancel("a1", lambda *_: None)
    store(sched)
    agents.report("g1", ends=[outcome], at=LOST_AT_S)
    assert sched.state("a1") is JobState.CANCELLED
    assert acknowledged(sched) == [(outcome.task, 1)]
