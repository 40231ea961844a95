"""Online estimate of how much each job class slows each service.  No I/O.

Model: the tail latency of a service over a report interval is
``baseline * (1 + sum(w[c] * x[c]))``.  ``x[c]`` is the intensity of job class ``c``: the share of
the instance's processors that its tasks used after throttling.  ``w[c]`` is the slowdown that the
class would cause if it used the whole instance; a Kalman filter with diagonal covariance estimates
it.

Baseline: the tail latency without batch, learned per request rate (in powers of two), and not above
that of a higher rate with no more requests in flight.  Without a batch-free interval, the lowest
decile of the recent tails is used.

Invariants:

- Estimates are never negative: batch never makes a service faster.
- The variance of an estimate grows with each report and is inflated by outliers, so that estimates
  adapt when the behaviour of a class changes.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

INITIAL_VARIANCE: Final = 25.0
DRIFT_VARIANCE: Final = 0.002
RELATIVE_NOISE: Final = 0.1
OUTLIER_SIGMAS: Final = 3.0
BASELINE_LEARNING_RATE: Final = 0.2
BASELINE_DRIFT_RATE: Final = 0.002
HISTORY_REPORTS: Final = 120
BASELINE_QUANTILE: Final = 0.1
MIN_RATE: Final = 1e-3
MIN_INTENSITY: Final = 0.01
MAX_SLOWDOWN: Final = 50.0


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """Measurements of one service over one interval.

    :ivar rate: requests per second.
    :ivar count: requests measured; weight of this service in averages.
    """

    service: str
    rate: float
    tail_ms: float
    count: int


@dataclass(slots=True)
class _Estimate:
    weight: float = 0.0
    variance: float = INITIAL_VARIANCE


@dataclass(slots=True)
class _Baseline:
    """Tail latency without batch.

    :ivar by_rate: tail latency in milliseconds by the binary logarithm of the request rate.
    :ivar history: tail latencies of the latest reports, also beside batch.
    """

    by_rate: dict[int, float] = field(default_factory=dict)
    history: deque[float] = field(default_factory=lambda: deque(maxlen=HISTORY_REPORTS))

    def tail_ms(self, bucket: int) -> float:
        """Return the tail latency at the nearest known rate.

        Callers that wait for responses send fewer requests to a slow service, so an interval in
        which something else slowed the service appears as a low rate.  A higher rate that had no
        more requests in flight shows that the load does not explain its tail.
        """
        nearest = min(self.by_rate, key=lambda known: abs(known - bucket))
        in_flight = self.by_rate[nearest] * 2.0**nearest
        return min(
            tail_ms
            for known, tail_ms in self.by_rate.items()
            if known == nearest or (known > nearest and tail_ms * 2.0**known <= in_flight)
        )


class InterferenceModel:
    """Interference estimates from the reports of one instance or of a whole region."""

    _estimates: dict[tuple[str, str], _Estimate]
    _baselines: dict[str, _Baseline]
    _drift_variance: float

    def __init__(self, drift_variance: float = DRIFT_VARIANCE) -> None:
        """Create a model without estimates.

        :param drift_variance: variance that each estimate gains per report; higher values adapt
            faster but are more sensitive to noise.
        """
        self._estimates = {}
        self._baselines = {}
        self._drift_variance = drift_variance

    def weight(self, service: str, job_class: str) -> float:
        """Return the estimated slowdown of ``service`` if ``job_class`` used the whole instance."""
        estimate = self._estimates.get((service, job_class))
        return estimate.weight if estimate else 0.0

    def learn(self, report: ServiceReport, intensities: Mapping[str, float]) -> float:
        """Update the estimates with a report and return the measured slowdown, 1.0 for none.

        :param intensities: intensity of each job class over the interval.
        """
        active = {c: x for c, x in intensities.items() if x >= MIN_INTENSITY}
        baseline = self._baselines.setdefault(report.service, _Baseline())
        baseline.history.append(report.tail_ms)
        if not active:
            self._learn_baseline(baseline, report)
        reference = self._reference(baseline, report)
        ratio = min(report.tail_ms / reference, MAX_SLOWDOWN) if reference > 0 else 1.0
        self._drift(report.service)
        self._correct(report.service, active, ratio)
        return ratio

    def predict(self, service: str, intensities: Mapping[str, float]) -> float:
        """Return the expected slowdown of ``service`` for the given intensities."""
        return 1.0 + sum(self.weight(service, c) * x for c, x in intensities.items())

    def contribution(self, reports: list[ServiceReport], job_class: str, intensity: float) -> float:
        """Return the slowdown that a class causes, averaged over the measured requests."""
        total = sum(report.count for report in reports)
        if not total:
            return 0.0
        weighted = sum(self.weight(r.service, job_class) * r.count for r in reports)
        return weighted / total * intensity

    def _learn_baseline(self, baseline: _Baseline, report: ServiceReport) -> None:
        bucket = _bucket(report.rate)
        known = baseline.by_rate.get(bucket)
        step = BASELINE_LEARNING_RATE * (report.tail_ms - known) if known is not None else 0.0
        baseline.by_rate[bucket] = (known if known is not None else report.tail_ms) + step

    def _reference(self, baseline: _Baseline, report: ServiceReport) -> float:
        bucket = _bucket(report.rate)
        lowest = _lowest_decile(baseline.history)
        known = baseline.by_rate.get(bucket)
        if known is not None and lowest > known:
            # Follows a service that became slower by itself, for example with a new release.
            baseline.by_rate[bucket] = known + BASELINE_DRIFT_RATE * (lowest - known)
        return baseline.tail_ms(bucket) if baseline.by_rate else lowest

    def _drift(self, service: str) -> None:
        for key, estimate in self._estimates.items():
            if key[0] == service:
                estimate.variance += self._drift_variance

    def _correct(self, service: str, active: Mapping[str, float], ratio: float) -> None:
        if not active:
            return
        expected = self.predict(service, active)
        error = ratio - expected
        estimates = {c: self._estimates.setdefault((service, c), _Estimate()) for c in active}
        noise = (RELATIVE_NOISE * expected) ** 2
        total = noise + _weighted_variance(estimates, active)
        if error * error > OUTLIER_SIGMAS * OUTLIER_SIGMAS * total:
            inflated = (error / sum(active.values())) ** 2
            for estimate in estimates.values():
                estimate.variance = max(estimate.variance, inflated)
            total = noise + _weighted_variance(estimates, active)
        for job_class, intensity in active.items():
            estimate = estimates[job_class]
            gain = estimate.variance * intensity / total
            estimate.weight = max(0.0, estimate.weight + gain * error)
            estimate.variance *= 1.0 - gain * intensity


def _weighted_variance(estimates: Mapping[str, _Estimate], active: Mapping[str, float]) -> float:
    return sum(estimates[c].variance * x * x for c, x in active.items())


def _bucket(rate: float) -> int:
    return round(math.log2(max(rate, MIN_RATE)))


def _lowest_decile(values: deque[float]) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * BASELINE_QUANTILE)]
