"""Workers withheld for large tasks of queues below their shares."""

from sapphirelead.fairness.holds import MAX_HOLDS, RELEASE_DELAY_S, Holds
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import worker_info

KEY = ("svc", "quiet")
OTHER = ("svc", "flood")
LARGE = StepSpec(cpu_millicores=4000)
PRIORITY = 1


def holding(tasks: int = 1) -> tuple[Holds, list[Instance]]:
    """Return workers of which some are withheld for ``tasks`` tasks."""
    workers = [Instance(f"g{number}", worker=worker_info()) for number in range(2 * MAX_HOLDS)]
    holds = Holds()
    holds.want(KEY, PRIORITY, LARGE, tasks, lambda: workers, 0.0)
    return holds, workers


def withheld(holds: Holds, workers: list[Instance], priority: int = PRIORITY) -> int:
    """Return from how many workers another queue's step is kept off."""
    return len(workers) - len(holds.open_to(workers, OTHER, priority, overdue=False))


def test_each_waiting_task_withholds_one_worker_within_the_bound() -> None:
    """Guards against a fleet that idles because of one queue with many tasks."""
    assert withheld(*holding(3)) == 3
    assert withheld(*holding(100)) == MAX_HOLDS


def test_higher_priority_and_overdue_tasks_are_not_kept_off() -> None:
    """Guards against urgent work that waits for room which is kept for other work."""
    holds, workers = holding(3)
    assert withheld(holds, workers, PRIORITY - 1) == 0
    assert withheld(holds, workers, PRIORITY + 1) == 3
    assert holds.open_to(workers, OTHER, PRIORITY, overdue=True) == workers
    assert holds.open_to(workers, KEY, PRIORITY, overdue=False) == workers


def test_workers_are_released_once_their_queue_needs_none() -> None:
    """Guards against capacity that stays idle after the task has found room."""
    holds, workers = holding(3)
    holds.begin({KEY}, 0.1)
    assert withheld(holds, workers) == 3
    holds.begin({KEY}, 0.1 + RELEASE_DELAY_S)
    assert withheld(holds, workers) == 0
    holds, workers = holding(3)
    changes = sum(worker.changes for worker in workers)
    holds.begin(set(), 0.1)
    assert withheld(holds, workers) == 0
    # Failures to find room there are no longer cached.
    assert sum(worker.changes for worker in workers) == changes + 3


def test_workers_are_released_as_tasks_find_room() -> None:
    """Guards against workers that are withheld for tasks which have started elsewhere."""
    holds, workers = holding(3)
    holds.begin({KEY}, 0.1)
    holds.want(KEY, PRIORITY, LARGE, 1, lambda: workers, 0.1)
    holds.begin({KEY}, 0.2)
    assert withheld(holds, workers) == 1
