"""A crash that comes after a task failed there and was started there again."""

from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import job
from tests.sched.test_apart import BusyFleet
from tests.sched.test_quarantine import SMALL


def test_one_crash_counts_once_for_a_task() -> None:
    """Guards against a task that failed on a worker and was lost with it, counted twice for it."""
    fleet = BusyFleet(1)
    fleet.place(job("q", SMALL))
    fleet.wait(0.5)
    fleet.end(fleet.runs_of("q")[0], "failed")
    fleet.place()
    fleet.wait(0.5)
    assert [run.attempt for run in fleet.runs_of("q")] == [2]
    fleet.crash("g0")
    task = fleet.sched.task(TaskRef("q", 0, 0, 0))
    assert task is not None
    assert task.crashes == 1
