"""What an agent measures over one report interval: latency by service, use by job class."""

from dataclasses import dataclass, field
from typing import Final

from hdrh.histogram import HdrHistogram

from sapphirelead.clock import now
from sapphirelead.model_job import Kind
from sapphirelead.model_resources import Resources
from sapphirelead.policy_interference import ServiceReport
from sapphirelead.ports import TaskInfo, TaskState
from sapphirelead.wire_messages import ClassSample, ServiceSample

LOWEST_US: Final = 10
HIGHEST_US: Final = 600_000_000
DIGITS: Final = 2
TAIL_PERCENTILE: Final = 95.0
MIN_COUNT: Final = 30
MAX_INTERVALS: Final = 5
SHORTEST_S: Final = 1e-3
PEAK_SHARE: Final = 0.1


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

    @property
    def open_count(self) -> int:
        """Requests that have not been reported yet."""
        return int(self.histogram.get_total_count())

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
        tail, elapsed = self._percentile(TAIL_PERCENTILE), max(at - self.since, SHORTEST_S)
        self.histogram.reset()
        self.errors, self.intervals, self.since = 0, 0, at
        if not count:
            return None
        return ServiceReport(self.service, count / elapsed, tail, count)

    def _percentile(self, percentile: float) -> float:
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000


@dataclass(slots=True)
class UseWindow:
    """Intensity of each job class and mean occupancy of the slots, since the last report.

    The report beside it holds a tail, and a tail shows the worst part of an interval.  So the
    intensity of a class is the one that it reached for at least ``PEAK_SHARE`` of the time.  With
    the mean, a wave that began in mid-interval was taken for twice as harmful as it is.
    """

    capacity: Resources
    slots: int
    spans: list[tuple[dict[str, float], float]] = field(default_factory=list)
    present: dict[str, float] = field(default_factory=dict)
    busy_s: float = 0.0
    opened_at: float = float("-inf")
    seen_at: float = float("-inf")

    def add(self, tasks: tuple[TaskInfo, ...], at: float) -> None:
        """Take a view of the worker."""
        self._hold(at)
        self.present = {}
        for info in tasks:
            if is_running_batch(info):
                more = self._intensity(info)
                self.present[info.job_class] = self.present.get(info.job_class, 0.0) + more

    def serve(self, seconds: float) -> None:
        """Count the time for which a request held its slot."""
        self.busy_s += seconds

    def close(self, at: float) -> tuple[dict[str, float], float]:
        """Return both and begin the next window."""
        self._hold(at)
        elapsed = max(at - self.opened_at, SHORTEST_S)
        names = {name for present, _ in self.spans for name in present}
        peaks = {name: self._peak(name, elapsed * PEAK_SHARE) for name in names}
        occupancy = min(1.0, self.busy_s / (self.slots * elapsed))
        self.spans, self.busy_s, self.opened_at = [], 0.0, at
        return peaks, occupancy

    def _peak(self, name: str, least_s: float) -> float:
        left_s = least_s
        for intensity, held_s in sorted(
            ((present.get(name, 0.0), held_s) for present, held_s in self.spans), reverse=True
        ):
            left_s -= held_s
            if left_s <= 0:
                return intensity
        return 0.0

    def _hold(self, at: float) -> None:
        if self.opened_at == float("-inf"):
            self.opened_at = self.seen_at = at
        self.spans.append((self.present, at - self.seen_at))
        self.seen_at = at

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
