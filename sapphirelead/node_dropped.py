"""Tracks jobs whose submission was dropped at a hub and may be retried.

Such a job must not be reported absent to a cancellation while its submission may be retried, or it
would be accepted after its cancellation.
"""

from typing import Final

from sapphirelead.node_cancels import PENDING_CANCEL_TIMEOUT_S

MAX_DROPPED_JOBS: Final = 4_000
"""Bound on the tracked jobs; beyond it, every unknown job counts as dropped for a time."""


class DroppedSubmits:
    """Jobs with a dropped submission, oldest first."""

    _until: dict[str, float]
    _any_until: float

    def __init__(self) -> None:
        self._until = {}
        self._any_until = 0.0

    def __len__(self) -> int:
        return len(self._until)

    def record(self, job_id: str, at: float) -> None:
        """Record that a submission was dropped at time ``at``."""
        self._until.pop(job_id, None)
        self._until[job_id] = at + PENDING_CANCEL_TIMEOUT_S
        if len(self._until) > MAX_DROPPED_JOBS:
            self._any_until = self._until.pop(next(iter(self._until)))

    def may_arrive(self, job_id: str, at: float) -> bool:
        """Whether a submission of the job may be retried at time ``at`` or later."""
        return at < max(self._until.get(job_id, 0.0), self._any_until)
