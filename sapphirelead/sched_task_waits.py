"""Measures how long each long-running task has waited for a worker.

A long-running task is promised a run whether others of its job run or not, so its wait is its own,
not that of its step or job.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from sapphirelead.sched_memory import MAX_ENTRIES, to_ms
from sapphirelead.sched_task import TaskRef

MIN_STORED_WAIT_S: Final = 0.05
"""Shorter waits are not stored."""


class TaskWaits:
    """Long-running tasks that are ready and have no claim."""

    _since: dict[TaskRef, float]
    _inherited_s: dict[TaskRef, float]

    def __init__(self) -> None:
        self._since = {}
        self._inherited_s = {}

    def update(self, waiting: Iterable[TaskRef], at: float) -> None:
        """Set the tasks that wait; known ones keep the beginning of their wait."""
        self._since = {
            ref: self._since.get(ref, at - self._inherited_s.get(ref, 0.0)) for ref in waiting
        }
        self._inherited_s = {}

    def restart(self, ref: TaskRef, at: float) -> None:
        """Let a task's wait begin with the end of a run, if it is known to wait."""
        if ref in self._since:
            self._since[ref] = at

    def resume(self, ref: TaskRef, since: float) -> None:
        """Continue the wait of a task whose claim has led to no run."""
        self._since[ref] = since

    def notes(self, at: float) -> dict[str, int]:
        """Return the longest waits in milliseconds, by task."""
        waits_s = self._inherited_s | {ref: at - since for ref, since in self._since.items()}
        longest = sorted(waits_s.items(), key=lambda item: item[1], reverse=True)
        return {
            ref.text(): to_ms(wait_s)
            for ref, wait_s in longest[:MAX_ENTRIES]
            if wait_s >= MIN_STORED_WAIT_S
        }

    def load(self, notes: Mapping[str, int]) -> None:
        """Take over the waits that a predecessor has noted."""
        for text, wait_ms in notes.items():
            ref = TaskRef.parse(text)
            if ref is not None:
                self._inherited_s[ref] = wait_ms / 1000

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
