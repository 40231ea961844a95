"""When long-running tasks were last moved, by this leader or a previous one."""

from collections.abc import Mapping
from typing import Final

from sapphirelead.sched_memory import MAX_ENTRIES, to_ms
from sapphirelead.sched_task import TaskRef

MOVE_AGE_S: Final = 60.0
"""Moves that are older are not stored."""


class Moves:
    """The latest move of each task.

    :ivar moved_at: time of the move.
    """

    moved_at: dict[TaskRef, float]

    def __init__(self) -> None:
        self.moved_at = {}

    def record(self, ref: TaskRef, at: float) -> None:
        """Record that a task is moved, and forget moves of long ago."""
        self.moved_at = {
            known: moved for known, moved in self.moved_at.items() if at - moved < MOVE_AGE_S
        }
        self.moved_at[ref] = at

    def notes(self, at: float) -> dict[str, int]:
        """Return the ages of the latest moves in milliseconds, by task."""
        recent = [(ref, at - moved) for ref, moved in self.moved_at.items()]
        recent = [item for item in recent if item[1] < MOVE_AGE_S]
        recent.sort(key=lambda item: item[1])
        return {ref.text(): to_ms(age_s) for ref, age_s in recent[:MAX_ENTRIES]}

    def load(self, notes: Mapping[str, int], at: float) -> None:
        """Take over the moves that a predecessor has noted."""
        for text, age_ms in notes.items():
            ref = TaskRef.parse(text)
            if ref is not None:
                self.moved_at[ref] = at - age_ms / 1000
