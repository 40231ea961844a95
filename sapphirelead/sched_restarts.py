"""Measures how long a long-running task is without a run before it runs again.

Covers the time since this leader learned of the run's end; for the time before, see the bound by
which the leader counted the run as ended.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.sched_task import TaskRef


@dataclass(frozen=True, slots=True)
class _EndedRun:
    at: float
    attempt: int
    reason: str


class RestartLatency:
    """Long-running tasks whose run has ended and that do not run again yet."""

    _metrics: Metrics
    _clock: Callable[[], float]
    _ended: dict[TaskRef, _EndedRun]

    def __init__(self, metrics: Metrics, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._clock = clock
        self._ended = {}

    def run_ended(self, ref: TaskRef, attempt: int, reason: str) -> None:
        """Record the end of a run whose task is to run again; keeps the earliest end."""
        self._ended.setdefault(ref, _EndedRun(self._clock(), attempt, reason))

    def running(self, ref: TaskRef, attempt: int) -> None:
        """Record that a task runs."""
        ended = self._ended.pop(ref, None)
        if ended is None:
            return
        took_s = self._clock() - ended.at
        self._metrics.latency("task_restart_ms", took_s * 1000)
        log_event(
            "INFO",
            "task_restarted",
            task=ref.text(),
            attempt=attempt,
            before=ended.attempt,
            reason=ended.reason,
            took_s=took_s,
        )

    def forget(self, job_id: str) -> None:
        """Forget the tasks of a job that has ended."""
        for ref in [ref for ref in self._ended if ref.job_id == job_id]:
            del self._ended[ref]
