"""How much each job class slows each service, learnt from measurements that lag.  No I/O.

Model.  Over one report interval a service's tail latency is ``baseline * (1 + sum(w[c] * x[c]))``.
``x[c]`` is the intensity of job class ``c`` beside it: the processors that its tasks used after
throttling, as a share of the instance.  ``w[c]`` is the estimate: the slowdown that the class would
cause if it filled the instance.  Each estimate carries a variance, and each report is an
observation of the sum: a Kalman filter with a diagonal covariance.  A class that is new has a large
variance and takes most of a surprise on itself; classes that are well known keep their estimates.
With equal gains for all (a plain least-mean-squares step) the first noisy wave was charged to
whatever had run quietly beside the service for hours.

Baseline.  The tail without batch, learnt for each rate of requests (in powers of two), because the
tail also grows with load.  The rate of arrival is used and not the number of requests in progress:
interference itself raises the latter.  Where batch never pauses, the lowest decile of what was
seen stands in.

Invariants:

- Estimates are never below zero: batch is never credited with making a service quicker.
- The variance of every estimate grows a little with each report, so that a class whose programs
  have changed, or that has not run for long, is learnt anew.  A report far outside what the
  variances allow reopens the estimates of the classes that ran: the first report after a start may
  still show the service undisturbed, and an estimate settled on that would hold out for minutes.
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
    """What was measured of one service over one interval.

    :ivar rate: requests a second.
    :ivar tail_ms: tail latency in milliseconds.
    :ivar count: requests measured; weighs this service's harm against that of others.
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
    by_rate: dict[int, float] = field(default_factory=dict)
    history: deque[float] = field(default_factory=lambda: deque(maxlen=HISTORY_REPORTS))


class InterferenceModel:
    """Estimates for one instance."""

    _estimates: dict[tuple[str, str], _Estimate]
    _baselines: dict[str, _Baseline]
    _drift_variance: float

    def __init__(self, drift_variance: float = DRIFT_VARIANCE) -> None:
        """Make a model that knows nothing.

        :param drift_variance: variance that each estimate gains with each report; more of it
            follows changes sooner and is misled by noise more easily.
        """
        self._estimates = {}
        self._baselines = {}
        self._drift_variance = drift_variance

    def weight(self, service: str, job_class: str) -> float:
        """Return the slowdown of ``service`` if ``job_class`` filled the instance."""
        estimate = self._estimates.get((service, job_class))
        return estimate.weight if estimate else 0.0

    def learn(self, report: ServiceReport, intensities: Mapping[str, float]) -> float:
        """Take one report and return the slowdown it shows, 1.0 for none.

        :param intensities: by job class, its mean intensity over the interval of the report.
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
        """Return the slowdown expected of ``service`` beside ``intensities``."""
        return 1.0 + sum(self.weight(service, c) * x for c, x in intensities.items())

    def contribution(self, reports: list[ServiceReport], job_class: str, intensity: float) -> float:
        """Return the slowdown that a class causes now, averaged over the requests measured."""
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
        if not baseline.by_rate:
            return lowest
        nearest = min(baseline.by_rate, key=lambda known: abs(known - bucket))
        known = baseline.by_rate[nearest]
        if nearest == bucket and lowest > known:
            # The service itself has become slower (a release, more data): without this drift its
            # neighbours would be throttled for good.
            known += BASELINE_DRIFT_RATE * (lowest - known)
            baseline.by_rate[bucket] = known
        return known

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
