"""Estimates of what filling images add to one serving image: a Kalman filter.  No I/O.

Algorithm.  The state is the weight of each filling image, which stays as it is but for a little
drift.  An observation is the difference of the load of one job on two workers; it is the weights
times the difference of the shares that the images use there, plus noise.  The load that the job's
users bring is the same on both and drops out.

The covariance is kept whole.  Images run beside each other for seconds; with variances alone each
of them took the same share of every surprise, and after half a minute of a modelled day weights of
0.2 stood at 4 and others of 1.8 at 0, all with small variances.

Invariants:

- No weight is below zero: filling work is never credited with making a service quicker.
- The covariance is symmetric, with a positive diagonal.
"""

import math
from collections.abc import Callable, Mapping
from typing import Final

NEW_VARIANCE: Final = 1.5
"""Variance of the weight of an image that is new; weights reach from 0 to 3."""

DRIFT_VARIANCE: Final = 0.0005
"""Variance that each weight gains with an observation, so that it follows a changed program."""

SURPRISE: Final = 3.0
"""Standard deviations up to which an observation counts: a worker that turns slow multiplies its
tails, and one such report must not make light images heavy."""

LEAST_VARIANCE: Final = 1e-6

MOST_IMAGES: Final = 16
"""Images kept; an observation costs the square of their number, 0.1 ms for 16.  The one that was
seen longest ago gives way to a new one."""


class PressureFilter:
    """The weights of the filling images beside one serving image.

    :ivar weights: load that is added if the image takes the whole worker.
    :ivar reports: observations in which the image took part.
    """

    weights: dict[str, float]
    reports: dict[str, int]
    _cov: dict[str, dict[str, float]]

    def __init__(self) -> None:
        self.weights = {}
        self.reports = {}
        self._cov = {}

    def observe(
        self,
        difference: float,
        shares: Mapping[str, float],
        noise: float,
        assumed: Callable[[str], float],
    ) -> None:
        """Take an observation.

        :param difference: load on one worker less that on the other.
        :param shares: by image, its share on the one worker less that on the other.
        :param noise: standard deviation of the difference without any cause.
        :param assumed: weight to begin with for an image that is new.
        """
        for image in shares:
            if image not in self.weights:
                self._add(image, assumed(image))
        along = {
            image: sum(row[other] * share for other, share in shares.items())
            for image, row in self._cov.items()
        }
        variance: float = noise**2 + sum(along[image] * share for image, share in shares.items())
        error = difference - sum(self.weights[image] * share for image, share in shares.items())
        most = SURPRISE * variance**0.5
        error = min(max(error, -most), most)
        for image, part in along.items():
            self.weights[image] = max(0.0, self.weights[image] + part / variance * error)
            row = self._cov[image]
            for other in row:
                row[other] -= part * along[other] / variance
            row[image] = max(row[image], LEAST_VARIANCE) + DRIFT_VARIANCE
        for image in shares:
            # The order of the keys tells which image was seen longest ago.
            self.reports[image] = self.reports.pop(image) + 1

    def careful(self, image: str) -> float:
        """Return the weight of an image that has been seen, by one standard deviation higher."""
        return self.weights[image] + math.sqrt(self._cov[image][image])

    def _add(self, image: str, weight: float) -> None:
        if len(self.weights) >= MOST_IMAGES:
            self._drop(next(iter(self.reports)))
        self.weights[image] = weight
        self.reports[image] = 0
        for row in self._cov.values():
            row[image] = 0.0
        self._cov[image] = {**dict.fromkeys(self._cov, 0.0), image: NEW_VARIANCE}

    def _drop(self, image: str) -> None:
        del self.weights[image], self.reports[image], self._cov[image]
        for row in self._cov.values():
            del row[image]
