"""Kalman filter for the interference weights of filling images with one serving image.  No I/O.

Serving images are latency-critical, filling images best-effort.

The state is the weight of each filling image, modelled as a random walk.  An observation is the
difference in load of one serving job between two workers, which cancels the load of the job's
users: the weights times the differences in the images' processor shares, plus noise.  The filter
keeps the full covariance, because images that run together are otherwise not told apart.

Invariants:

- Weights are never negative.
- The covariance is symmetric, with a positive diagonal.
"""

from collections.abc import Callable, Mapping
from typing import Final

from sapphirelead.policy_pressure_pair import NO_EVIDENCE, Belief, Evidence

DRIFT_VARIANCE_PER_S: Final = 0.003
"""Variance that each weight gains per second, so that it follows a changed program.

Independent of the number of observations: a large fleet has many per second, and would forget an
image while that is not running."""

MAX_ERROR_SIGMAS: Final = 3.0
"""Standard deviations to which the error of an observation is clipped, against outliers.

A worker that turns slow multiplies its tails, and one such report must not make light images
heavy."""

MIN_INITIAL_VARIANCE: Final = 1.5
"""Lower bound of the initial variance, so that the first observations outweigh the prior."""

MIN_VARIANCE: Final = 1e-6

MIN_PRECISION: Final = 1e-3
"""Precision below which observations count as no evidence."""

MAX_IMAGES: Final = 24
"""Maximum number of images; the cost of an observation is quadratic in it.  The image that was seen
longest ago gives way to a new one."""


class PressureFilter:
    """The weights of the filling images beside one serving image.

    :ivar weights: load that an image adds if it uses the whole worker.
    :ivar reports: number of observations of an image; ordered from the least recently observed.
    """

    weights: dict[str, float]
    reports: dict[str, int]
    _cov: dict[str, dict[str, float]]
    _priors: dict[str, Evidence]
    _observed_at: float

    def __init__(self, at: float = 0.0) -> None:
        self.weights = {}
        self.reports = {}
        self._cov = {}
        self._priors = {}
        self._observed_at = at

    def observe(
        self,
        difference: float,
        shares: Mapping[str, float],
        noise: float,
        expected: Callable[[str], Belief],
        at: float,
    ) -> None:
        """Update the weights with an observation.

        :param difference: load on one worker less that on the other.
        :param shares: processor share of each image on the one worker less that on the other.
        :param noise: standard deviation of the measured difference.
        :param expected: returns the prior of a new image.
        :param at: time of the observation in seconds.
        """
        drift = DRIFT_VARIANCE_PER_S * max(at - self._observed_at, 0.0)
        self._observed_at = max(at, self._observed_at)
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
            # Reinsert the key: the order is that of the last observations.
            self.reports[image] = self.reports.pop(image) + 1

    def evidence(self, image: str) -> Evidence:
        """Return the evidence from the observations of an image alone, without its prior."""
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
        """Evict the least recently observed image if the filter is full.

        :param observed: images of the current observation, which are never evicted.
        """
        if len(self.weights) >= MAX_IMAGES:
            self._drop(next(image for image in self.reports if image not in observed))

    def _drop(self, image: str) -> None:
        del self.weights[image], self.reports[image], self._cov[image], self._priors[image]
        for row in self._cov.values():
            del row[image]


def _largest(shares: Mapping[str, float]) -> Mapping[str, float]:
    """Return the ``MAX_IMAGES`` largest shares; smaller ones count as noise."""
    if len(shares) <= MAX_IMAGES:
        return shares
    ranked = sorted(shares, key=lambda image: -abs(shares[image]))
    return {image: shares[image] for image in ranked[:MAX_IMAGES]}
