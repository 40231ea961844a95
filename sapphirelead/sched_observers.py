"""Observers of runs: parts of the scheduler that keep state of their own about them."""

from typing import Protocol

from sapphirelead.sched_fleet import Run
from sapphirelead.sched_job import EndKind


class RunObserver(Protocol):
    """Is told of each claim and each end of a run, and of the claims that a new leader has read."""

    def claimed(self, run: Run, queue: str, at: float) -> None:
        """Record a claim, also one of an earlier leader."""

    def ended(self, run: Run, queue: str, kind: EndKind, at: float) -> None:
        """Record the end of a run; ``queue`` is empty if its job is not known any more."""
