"""What an agent measures over one report interval: latency by service, use by job class."""

from dataclasses import dataclass, field
from typing import Final

from hdrh.histogram import HdrHistogram

from sapphirelead.clock import now
from sapphirelead.model_job import Kind
from sapphirelead.model_resources import Resources
from sapphirelead.platform_protocols import TaskInfo, TaskState
from sapphirelead.policy_interference import ServiceReport
from sapphirelead.wire_messages import ClassSample, ServiceSample

LOWEST_US: Final = 10
HIGHEST_US: Final = 600_000_000
DIGITS: Final = 2
TAIL_PERCENTILE: Final = 95.0
MIN_COUNT: Final = 30
MAX_INTERVALS: Final = 5


@dataclass(slots=True)
class LatencyWindow:
    """Latencies of one service since the last report.

    An interval with few requests says little about the tail; its requests are counted into the next
    one, for up to ``MAX_INTERVALS``.
    """

    service: str
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )
    errors: int = 0
    intervals: int = 0
    since: float = field(default_factory=now)

    def add(self, seconds: float, ok: bool) -> None:
        """Count one answer."""
        self.histogram.record_value(min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6))))
        self.errors += 0 if ok else 1

    def sample(self) -> ServiceSample:
        """Return the window as beats carry it."""
        return ServiceSample(
            service=self.service,
            count=self.histogram.get_total_count(),
            errors=self.errors,
            p50_ms=self._percentile(50.0),
            p99_ms=self._percentile(99.0),
        )

    def report(self, at: float) -> ServiceReport | None:
        """Close an interval; return the report once the window holds enough, and clear it."""
        self.intervals += 1
        count = self.histogram.get_total_count()
        if count < MIN_COUNT and self.intervals < MAX_INTERVALS:
            return None
        tail, elapsed = self._percentile(TAIL_PERCENTILE), max(at - self.since, 1e-3)
        self.histogram.reset()
        self.errors, self.intervals, self.since = 0, 0, at
        if not count:
            return None
        return ServiceReport(self.service, count / elapsed, tail, count)

    def _percentile(self, percentile: float) -> float:
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True)
class UseWindow:
    """Mean intensity of each job class, and mean occupancy of the slots, since the last report."""

    capacity: Resources
    sums: dict[str, float] = field(default_factory=dict)
    occupancy_sum: float = 0.0
    samples: int = 0

    def add(self, tasks: tuple[TaskInfo, ...], occupancy: float) -> None:
        """Count one view of the worker."""
        self.samples += 1
        self.occupancy_sum += occupancy
        for info in tasks:
            if is_running_batch(info):
                more = self._intensity(info)
                self.sums[info.job_class] = self.sums.get(info.job_class, 0.0) + more

    def close(self) -> tuple[dict[str, float], float]:
        """Return the means and clear the window."""
        samples = max(1, self.samples)
        means = {name: total / samples for name, total in self.sums.items()}
        occupancy = self.occupancy_sum / samples
        self.sums, self.occupancy_sum, self.samples = {}, 0.0, 0
        return means, occupancy

    def _intensity(self, info: TaskInfo) -> float:
        # Measured use lags; until it comes the declaration stands for it.
        used = max(info.resources.cpu_millicores, info.usage.cpu_millicores)
        return used * info.throttle / max(1, self.capacity.cpu_millicores)


def is_running_batch(info: TaskInfo) -> bool:
    """Return whether the worker runs ``info`` and it may be throttled."""
    return info.state is TaskState.RUNNING and info.kind == Kind.BATCH


def class_samples(tasks: tuple[TaskInfo, ...]) -> list[ClassSample]:
    """Return running tasks by class, as beats carry them."""
    samples: dict[str, ClassSample] = {}
    for info in tasks:
        if info.state is TaskState.RUNNING:
            old = samples.get(info.job_class, ClassSample(info.job_class, 0, 0))
            samples[info.job_class] = ClassSample(
                info.job_class,
                old.tasks + 1,
                old.cpu_millicores + info.usage.cpu_millicores,
                old.throttled + (1 if info.throttle < 1.0 else 0),
            )
    return list(samples.values())
