"""Estimates of what filling images add to one serving image: a Kalman filter.  No I/O.

Algorithm.  The state is the weight of each filling image, which stays as it is but for a little
drift.  An observation is the difference of the load of one job on two workers; it is the weights
times the difference of the shares that the images use there, plus noise.  The load that the job's
users bring is the same on both and drops out.

The covariance is kept whole.  Images run beside each other for seconds; with variances alone each
of them takes the same share of every surprise, and light ones end up heavy with small variances.

Invariants:

- No weight is below zero: filling work is never credited with making a service quicker.
- The covariance is symmetric, with a positive diagonal.
"""

from collections.abc import Callable, Mapping
from typing import Final

from sapphirelead.policy_pressure_pair import NO_EVIDENCE, Belief, Evidence

DRIFT_VARIANCE_PER_S: Final = 0.003
"""Variance that each weight gains in a second, so that it follows a changed program.  By time, not
by observation: a large fleet has many of these a second, and would forget what it knows of an image
while that is not there."""

MAX_ERROR_SIGMAS: Final = 3.0
"""Standard deviations up to which an observation counts: a worker that turns slow multiplies its
tails, and one such report must not make light images heavy."""

MIN_INITIAL_VARIANCE: Final = 1.5
"""Least variance of an image that is new, however sure its neighbours make it seem: its own first
observations decide."""

MIN_VARIANCE: Final = 1e-6

MIN_PRECISION: Final = 1e-3
"""Precision of the observations below which they say nothing."""

MAX_IMAGES: Final = 24
"""Images kept, because an observation costs the square of their number.  The one that was seen
longest ago gives way to a new one."""


class PressureFilter:
    """The weights of the filling images beside one serving image.

    :ivar weights: load that is added if the image takes the whole worker.
    :ivar reports: observations in which the image took part.
    """

    weights: dict[str, float]
    reports: dict[str, int]
    _cov: dict[str, dict[str, float]]
    _priors: dict[str, Evidence]
    _at: float

    def __init__(self, at: float = 0.0) -> None:
        self.weights = {}
        self.reports = {}
        self._cov = {}
        self._priors = {}
        self._at = at

    def observe(
        self,
        difference: float,
        shares: Mapping[str, float],
        noise: float,
        expected: Callable[[str], Belief],
        at: float,
    ) -> None:
        """Take an observation.

        :param difference: load on one worker less that on the other.
        :param shares: by image, its share on the one worker less that on the other.
        :param noise: standard deviation of the difference without any cause.
        :param expected: what to begin with for an image that is new.
        :param at: time of the observation in seconds.
        """
        drift = DRIFT_VARIANCE_PER_S * max(at - self._at, 0.0)
        self._at = max(at, self._at)
        for image, row in self._cov.items():
            row[image] += drift
        shares = _largest(shares)
        for image in shares:
            if image not in self.weights:
                self._evict_if_full(shares)
                self._add(image, expected(image))
        cross_covariance = {
            image: sum(row[other] * share for other, share in shares.items())
            for image, row in self._cov.items()
        }
        variance: float = noise**2 + sum(
            cross_covariance[image] * share for image, share in shares.items()
        )
        error = difference - sum(self.weights[image] * share for image, share in shares.items())
        max_error = MAX_ERROR_SIGMAS * variance**0.5
        error = min(max(error, -max_error), max_error)
        for image, covariance in cross_covariance.items():
            self.weights[image] = max(0.0, self.weights[image] + covariance / variance * error)
            row = self._cov[image]
            for other in row:
                row[other] -= covariance * cross_covariance[other] / variance
            row[image] = max(row[image], MIN_VARIANCE)
        for image in shares:
            # The order of the keys tells which image was seen longest ago.
            self.reports[image] = self.reports.pop(image) + 1

    def evidence(self, image: str) -> Evidence:
        """Return what the observations alone say of an image, without what it began with."""
        prior = self._priors.get(image)
        if prior is None:
            return NO_EVIDENCE
        posterior_precision = 1 / self._cov[image][image]
        precision = posterior_precision - prior.precision
        if precision <= MIN_PRECISION:
            return NO_EVIDENCE
        weighed = self.weights[image] * posterior_precision - prior.weight * prior.precision
        return Evidence(weighed / precision, precision)

    def _add(self, image: str, expected: Belief) -> None:
        self.weights[image] = expected.weight
        self.reports[image] = 0
        variance = max(expected.variance, MIN_INITIAL_VARIANCE)
        self._priors[image] = Evidence(expected.weight, 1 / variance)
        for row in self._cov.values():
            row[image] = 0.0
        self._cov[image] = {**dict.fromkeys(self._cov, 0.0), image: variance}

    def _evict_if_full(self, observed: Mapping[str, float]) -> None:
        """Drop the image that was seen longest ago, where there are too many.

        An observation of one kept image and one new one would else drop the first for the second,
        and then ask for the weight of both.

        :param observed: images of the observation in hand, which stay.
        """
        if len(self.weights) >= MAX_IMAGES:
            self._drop(next(image for image in self.reports if image not in observed))

    def _drop(self, image: str) -> None:
        del self.weights[image], self.reports[image], self._cov[image], self._priors[image]
        for row in self._cov.values():
            del row[image]


def _largest(shares: Mapping[str, float]) -> Mapping[str, float]:
    """Return as many shares as there are images kept; what the small ones add counts as noise."""
    if len(shares) <= MAX_IMAGES:
        return shares
    ranked = sorted(shares, key=lambda image: -abs(shares[image]))
    return {image: shares[image] for image in ranked[:MAX_IMAGES]}
