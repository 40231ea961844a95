"""Measures how long each long-running task has waited for a worker.

A long-running task is promised a run whether others of its job run or not, so its wait is its own,
not that of its step or job.
"""

from collections.abc import Iterable

from sapphirelead.sched_task import TaskRef


class TaskWaits:
    """Long-running tasks that are ready and have no claim."""

    _since: dict[TaskRef, float]

    def __init__(self) -> None:
        self._since = {}

    def update(self, waiting: Iterable[TaskRef], at: float) -> None:
        """Set the tasks that wait; known ones keep the beginning of their wait."""
        self._since = {ref: self._since.get(ref, at) for ref in waiting}

    def __len__(self) -> int:
        """Return the number of tasks that wait."""
        return len(self._since)

    def since(self, ref: TaskRef, at: float) -> float:
        """Return when a task began to wait; ``at`` if it does not wait."""
        return self._since.get(ref, at)

    def longest_s(self, at: float) -> float:
        """Return the longest wait; 0 if no task waits."""
        return at - min(self._since.values(), default=at)

    def longest(self, steps: int) -> list[TaskRef]:
        """Return the task that has waited longest of each of up to ``steps`` steps."""
        found: dict[tuple[str, int, int], TaskRef] = {}
        for ref in sorted(self._since, key=lambda ref: self._since[ref]):
            found.setdefault(ref[:3], ref)
        return list(found.values())[:steps]
