"""Stored jobs that have ended, by the time of their end."""

from collections.abc import Mapping
from heapq import heappop, heappush

from sapphirelead.sched_job import Job


class EndedJobs:
    """Ended jobs that are still kept."""

    _ended: list[tuple[int, str]]

    def __init__(self) -> None:
        self._ended = []

    def add(self, ended_ms: int, job_id: str) -> None:
        """Add a job."""
        heappush(self._ended, (ended_ms, job_id))

    def take_expired(self, jobs: Mapping[str, Job], ended_by_ms: int) -> list[str]:
        """Remove and return the jobs without claims that ended by a point in time."""
        expired = []
        running = []
        while self._ended and self._ended[0][0] <= ended_by_ms:
            ended = heappop(self._ended)
            if any(True for _ in jobs[ended[1]].claims()):
                running.append(ended)
            else:
                expired.append(ended[1])
        for ended in running:
            heappush(self._ended, ended)
        return expired
