"""Jobs whose submission was dropped at a hub and may come again.

The sender repeats a submission for as long as its caller waits.  Until then nobody may be told that
there is no such job: it would be accepted after its cancellation.
"""

from typing import Final

from sapphirelead.node_cancels import PENDING_CANCEL_TIMEOUT_S

MAX_DROPPED_JOBS: Final = 4_000
"""Jobs that are remembered; past it, any job that is not known counts as one of them."""


class DroppedSubmits:
    """Jobs with a dropped submission, the oldest first."""

    _until: dict[str, float]
    _any_until: float

    def __init__(self) -> None:
        self._until = {}
        self._any_until = 0.0

    def __len__(self) -> int:
        return len(self._until)

    def record(self, job_id: str, at: float) -> None:
        """Take note that a submission was dropped at time ``at``."""
        self._until.pop(job_id, None)
        self._until[job_id] = at + PENDING_CANCEL_TIMEOUT_S
        if len(self._until) > MAX_DROPPED_JOBS:
            self._any_until = self._until.pop(next(iter(self._until)))

    def may_arrive(self, job_id: str, at: float) -> bool:
        """Whether a submission of the job may come again at time ``at`` or later."""
        return at < max(self._until.get(job_id, 0.0), self._any_until)
