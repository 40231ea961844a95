"""Measures the latency of cancellations until they are stored and until the last run has ended."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.sched_fleet import RunKey


@dataclass(slots=True)
class _StoppingJob:
    """A cancelled job with runs that have not ended.

    :ivar runs: number of runs when the cancellation was stored.
    """

    stored_at: float
    runs: int
    remaining: set[RunKey]


class CancelLatency:
    """Cancellations in progress."""

    _metrics: Metrics
    _clock: Callable[[], float]
    _received_at: dict[str, float]
    _stopping: dict[str, _StoppingJob]

    def __init__(self, metrics: Metrics, clock: Callable[[], float]) -> None:
        self._metrics = metrics
        self._clock = clock
        self._received_at = {}
        self._stopping = {}

    def received(self, job_id: str) -> None:
        """Record the receipt of a cancellation; repeats keep the time of the first."""
        self._received_at.setdefault(job_id, self._clock())

    def stored(self, job_id: str, runs: Iterable[RunKey]) -> None:
        """Record that a cancellation is stored.

        :param runs: runs of the job that have not ended.
        """
        received_at = self._received_at.pop(job_id, None)
        if received_at is None:
            # Already recorded: a repeat was stored in the same batch.
            return
        at = self._clock()
        remaining = set(runs)
        self._metrics.latency("cancel_stored_ms", (at - received_at) * 1000)
        log_event(
            "INFO", "job_cancelled", job=job_id, waited_s=at - received_at, runs=len(remaining)
        )
        if remaining:
            self._stopping[job_id] = _StoppingJob(at, len(remaining), remaining)

    def run_ended(self, job_id: str, run: RunKey) -> None:
        """Record the end of a run."""
        stopping = self._stopping.get(job_id)
        if stopping is None:
            return
        stopping.remaining.discard(run)
        if stopping.remaining:
            return
        del self._stopping[job_id]
        took_s = self._clock() - stopping.stored_at
        self._metrics.latency("cancel_ended_ms", took_s * 1000)
        log_event("INFO", "job_stopped", job=job_id, took_s=took_s, runs=stopping.runs)
