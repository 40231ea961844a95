"""Measurements over a report interval: latency by service and CPU usage by job class."""

from dataclasses import dataclass, field
from typing import Final

from hdrh.histogram import HdrHistogram

from sapphirelead.clock import now
from sapphirelead.model_job import Kind
from sapphirelead.model_resources import Resources
from sapphirelead.policy_interference import ServiceReport
from sapphirelead.ports import TaskInfo, TaskState
from sapphirelead.wire_messages import ClassSample, ServiceSample

MIN_LATENCY_US: Final = 10
MAX_LATENCY_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 2
TAIL_PERCENTILE: Final = 95.0
MIN_REQUESTS_PER_REPORT: Final = 30
MAX_INTERVALS_PER_REPORT: Final = 5
MIN_ELAPSED_S: Final = 1e-3
PEAK_TIME_SHARE: Final = 0.1


@dataclass(slots=True)
class LatencyWindow:
    """Latencies of one service since the last report.

    An interval with fewer than ``MIN_REQUESTS_PER_REPORT`` requests is merged with the next one, up
    to ``MAX_INTERVALS_PER_REPORT``, because the tail of few samples is unreliable.
    """

    service: str
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    errors: int = 0
    intervals: int = 0
    since: float = field(default_factory=now)

    def add(self, seconds: float, ok: bool) -> None:
        """Record the latency of one response."""
        self.histogram.record_value(min(MAX_LATENCY_US, max(MIN_LATENCY_US, int(seconds * 1e6))))
        self.errors += 0 if ok else 1

    @property
    def unreported_count(self) -> int:
        """Number of requests that have not been reported yet."""
        return int(self.histogram.get_total_count())

    def sample(self) -> ServiceSample:
        """Return the window in the form sent with heartbeats."""
        return ServiceSample(
            service=self.service,
            count=self.histogram.get_total_count(),
            errors=self.errors,
            p50_ms=self._percentile(50.0),
            p99_ms=self._percentile(99.0),
        )

    def report(self, at: float) -> ServiceReport | None:
        """Close an interval; return the report and clear the window if it is complete."""
        self.intervals += 1
        count = self.histogram.get_total_count()
        if count < MIN_REQUESTS_PER_REPORT and self.intervals < MAX_INTERVALS_PER_REPORT:
            return None
        tail, elapsed = self._percentile(TAIL_PERCENTILE), max(at - self.since, MIN_ELAPSED_S)
        self.histogram.reset()
        self.errors, self.intervals, self.since = 0, 0, at
        if not count:
            return None
        return ServiceReport(self.service, count / elapsed, tail, count)

    def _percentile(self, percentile: float) -> float:
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True)
class UsageWindow:
    """Peak intensity of each job class and mean slot occupancy since the last report.

    The intensity of a class is its CPU usage as a share of the instance's capacity.  The peak is
    the level reached for at least ``PEAK_TIME_SHARE`` of the window.  Peaks are used because they
    are compared with tail latencies, which also reflect the worst part of an interval.
    """

    capacity: Resources
    slots: int
    spans: list[tuple[dict[str, float], float]] = field(default_factory=list)
    intensities: dict[str, float] = field(default_factory=dict)
    busy_s: float = 0.0
    opened_at: float = float("-inf")
    updated_at: float = float("-inf")

    def add(self, tasks: tuple[TaskInfo, ...], at: float) -> None:
        """Record a view of the worker."""
        self._close_span(at)
        self.intensities = {}
        for info in tasks:
            if is_running_batch(info):
                task_intensity = self._intensity(info)
                self.intensities[info.job_class] = (
                    self.intensities.get(info.job_class, 0.0) + task_intensity
                )

    def add_request(self, seconds: float) -> None:
        """Record the time for which a request held its slot."""
        self.busy_s += seconds

    def close(self, at: float) -> tuple[dict[str, float], float]:
        """Return the peak intensities and the occupancy, and start the next window."""
        self._close_span(at)
        elapsed = max(at - self.opened_at, MIN_ELAPSED_S)
        names = {name for intensities, _ in self.spans for name in intensities}
        peaks = {name: self._peak(name, elapsed * PEAK_TIME_SHARE) for name in names}
        occupancy = min(1.0, self.busy_s / (self.slots * elapsed))
        self.spans, self.busy_s, self.opened_at = [], 0.0, at
        return peaks, occupancy

    def _peak(self, name: str, min_duration_s: float) -> float:
        remaining_s = min_duration_s
        for intensity, duration_s in sorted(
            ((intensities.get(name, 0.0), duration_s) for intensities, duration_s in self.spans),
            reverse=True,
        ):
            remaining_s -= duration_s
            if remaining_s <= 0:
                return intensity
        return 0.0

    def _close_span(self, at: float) -> None:
        if self.opened_at == float("-inf"):
            self.opened_at = self.updated_at = at
        self.spans.append((self.intensities, at - self.updated_at))
        self.updated_at = at

    def _intensity(self, info: TaskInfo) -> float:
        # Measured usage lags behind; use the declared size until it catches up.
        used = max(info.resources.cpu_millicores, info.usage.cpu_millicores)
        return used * info.throttle / max(1, self.capacity.cpu_millicores)


def is_running_batch(info: TaskInfo) -> bool:
    """Return whether ``info`` is a running batch task."""
    return info.state is TaskState.RUNNING and info.kind == Kind.BATCH


def class_samples(tasks: tuple[TaskInfo, ...]) -> list[ClassSample]:
    """Return the running tasks by class in the form sent with heartbeats."""
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
