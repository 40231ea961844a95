"""Metrics of one process, exported as Prometheus text.

Latencies are recorded in HDR histograms and exported as percentiles.  Each series keeps two
histograms, for the current and the previous window; an export merges both, so the percentiles cover
the last one to two windows rather than the lifetime of the process.

The number of series of one metric is bounded, because label values may come from callers.  Beyond
the bound, new label values share the series ``other``.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Final

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from sapphirelead.clock import now

WINDOW_S: Final = 30.0
MIN_LATENCY_US: Final = 1
MAX_LATENCY_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)
MAX_SERIES: Final = 500
PREFIX: Final = "sapphirelead_"
OVERFLOW_LABEL: Final = "other"

Labels = tuple[tuple[str, str], ...]


class LatencySeries:
    """Latencies of one series.

    :ivar count: number of latencies recorded since the start of the series.
    :ivar total_ms: their sum in milliseconds.
    """

    count: int
    total_ms: float
    _current: HdrHistogram
    _previous: HdrHistogram
    _rotated_at: float

    def __init__(self, at: float) -> None:
        self.count = 0
        self.total_ms = 0.0
        self._current = _histogram()
        self._previous = _histogram()
        self._rotated_at = at

    def record(self, at: float, latency_ms: float) -> None:
        """Record one latency in milliseconds, measured at loop time ``at``."""
        self._rotate(at)
        self.count += 1
        self.total_ms += latency_ms
        self._current.record_value(min(max(int(latency_ms * 1000), MIN_LATENCY_US), MAX_LATENCY_US))

    def percentiles_ms(self, at: float) -> dict[float, float]:
        """Return :data:`PERCENTILES` in milliseconds; empty if no latency was recorded."""
        self._rotate(at)
        merged = _histogram()
        merged.add(self._previous)
        merged.add(self._current)
        if merged.get_total_count() == 0:
            return {}
        return {q: merged.get_value_at_percentile(q) / 1000 for q in PERCENTILES}

    def _rotate(self, at: float) -> None:
        elapsed = at - self._rotated_at
        if elapsed < WINDOW_S:
            return
        self._previous = self._current if elapsed < 2 * WINDOW_S else _histogram()
        self._current = _histogram()
        self._rotated_at = at


class Metrics(Collector):
    """Counters, gauges and latencies of one process.

    Names are given without the common prefix; docs/OPERATIONS.md lists all of them.
    """

    _clock: Callable[[], float]
    _counters: dict[str, dict[Labels, float]]
    _gauges: dict[str, dict[Labels, Callable[[], float]]]
    _latencies: dict[str, dict[Labels, LatencySeries]]

    def __init__(self, clock: Callable[[], float] = now) -> None:
        self._clock = clock
        self._counters = {}
        self._gauges = {}
        self._latencies = {}

    def count(self, name: str, amount: float = 1.0, /, **labels: str) -> None:
        """Add to a counter; its name ends with ``_total``."""
        series = self._counters.setdefault(name, {})
        key = _bounded_key(series, labels)
        series[key] = series.get(key, 0.0) + amount

    def gauge(self, name: str, read: Callable[[], float], /, **labels: str) -> None:
        """Register a gauge that is read at each export, replacing an earlier registration."""
        series = self._gauges.setdefault(name, {})
        series[_bounded_key(series, labels)] = read

    def latency(self, name: str, latency_ms: float, /, **labels: str) -> None:
        """Record a latency in milliseconds; its name ends with ``_ms``."""
        series = self._latencies.setdefault(name, {})
        key = _bounded_key(series, labels)
        window = series.get(key)
        if window is None:
            window = series[key] = LatencySeries(self._clock())
        window.record(self._clock(), latency_ms)

    def value(self, name: str, /, **labels: str) -> float:
        """Return the value of a counter, 0 if it was never incremented."""
        return self._counters.get(name, {}).get(_labels(labels), 0.0)

    def percentiles_ms(self, name: str, /, **labels: str) -> dict[float, float]:
        """Return the percentiles of a latency series over the last one to two windows."""
        window = self._latencies.get(name, {}).get(_labels(labels))
        return window.percentiles_ms(self._clock()) if window else {}

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, as the Prometheus registry requires."""
        for name, counted in self._counters.items():
            yield _counter(name, counted)
        for name, read in self._gauges.items():
            yield _gauge(name, read)
        for name, windows in self._latencies.items():
            yield self._summary(name, windows)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # A new registry for each export: a single registration would need all names in advance.
        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def _summary(self, name: str, windows: dict[Labels, LatencySeries]) -> Metric:
        family = Metric(PREFIX + name, name, "summary")
        at = self._clock()
        for labels, window in windows.items():
            own = dict(labels)
            for q, value in window.percentiles_ms(at).items():
                family.add_sample(PREFIX + name, {**own, "quantile": f"{q / 100:g}"}, value)
            family.add_sample(f"{PREFIX}{name}_count", own, window.count)
            family.add_sample(f"{PREFIX}{name}_sum", own, window.total_ms)
        return family


def _histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _bounded_key(series: Mapping[Labels, object], labels: dict[str, str]) -> Labels:
    key = _labels(labels)
    if key in series or len(series) < MAX_SERIES:
        return key
    return tuple((name, OVERFLOW_LABEL) for name, _ in key)


def _counter(name: str, counted: dict[Labels, float]) -> Metric:
    first = next(iter(counted))
    family = CounterMetricFamily(PREFIX + name, name, labels=[label for label, _ in first])
    for labels, value in counted.items():
        family.add_metric([text for _, text in labels], value)
    return family


def _gauge(name: str, read: dict[Labels, Callable[[], float]]) -> Metric:
    first = next(iter(read))
    family = GaugeMetricFamily(PREFIX + name, name, labels=[label for label, _ in first])
    for labels, function in read.items():
        family.add_metric([text for _, text in labels], function())
    return family
