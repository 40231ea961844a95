"""Quantile sketch of the logarithms of ratios, in which older ones count less.  No I/O.

Answers a load whose tasks run for other times than declared, and whose error changes over time: a
caller that corrects its estimates, or an image whose next version is slower.

A histogram has a fixed size, whatever the number of ends.  Ratios are recorded on a logarithmic
scale, so their relative resolution is the same everywhere.  An end counts more than the one before
it, and all counts are halved after a half-life, which amounts to exponential forgetting with whole
numbers.
"""

import math
from bisect import bisect_left
from itertools import accumulate
from statistics import NormalDist
from typing import Final, NamedTuple

from hdrh.histogram import HdrHistogram

STEPS_PER_UNIT: Final = 32
"""Steps of the scale in a unit of the logarithm; the error of rounding is 1.6 %."""

ZERO: Final = 128
"""Step of the ratio 1."""

MAX_STEP: Final = 255
"""Highest step, the ratio 53; up to it the histogram resolves each step."""

SIGNIFICANT_DIGITS: Final = 2
WORD_BYTES: Final = 4

MIN_WEIGHT: Final = 16
"""Count of the first end of a half-life; an end is forgotten after about five more."""

SUMMARY_POINTS: Final = 16
"""Points of the distribution that a summary is expanded to."""

P90_DEVIATIONS: Final = NormalDist().inv_cdf(0.9)
"""Distance of the 90th percentile of a normal distribution from its median."""


class RatioSketch:
    """Distribution of the logarithms of ratios."""

    _counts: HdrHistogram
    _ends: int

    def __init__(self) -> None:
        self._counts = _histogram()
        self._ends = 0

    def record(self, log_ratio: float, half_life_ends: int) -> None:
        """Record the end of a run."""
        weight = round(MIN_WEIGHT * 2 ** (self._ends / half_life_ends))
        self._counts.record_value(_step_of(log_ratio), weight)
        self._ends += 1
        if self._ends >= half_life_ends:
            self._halve()

    def quantile(self, quantile: float) -> float:
        """Return a quantile of the logarithms; 0 if nothing has been recorded.

        >>> sketch = RatioSketch()
        >>> for log_ratio in (0.0, 1.0, 2.0):
        ...     sketch.record(log_ratio, 100)
        >>> sketch.quantile(0.5)
        1.0
        """
        if not self._counts.get_total_count():
            return 0.0
        rank = self._counts.get_target_count_at_percentile(100 * quantile)
        lowest = int(self._counts.get_min_value())
        highest = int(self._counts.get_max_value())
        # The histogram's own lookup adds up all its counts one by one in Python.
        sums = list(accumulate(self._counts.counts[lowest : highest + 1]))
        return (lowest + bisect_left(sums, rank) - ZERO) / STEPS_PER_UNIT

    def _halve(self) -> None:
        halved = _histogram()
        for step in range(MAX_STEP + 1):
            count = self._counts.get_count_at_index(step) // 2
            if count:
                halved.record_value(step, count)
        self._counts = halved
        self._ends = 0

    @classmethod
    def from_summary(cls, summary: "Summary") -> "RatioSketch":
        """Return a sketch with the quantiles of an earlier one, as a log-normal distribution."""
        sketch = cls()
        deviation = max(0.0, summary.p90 - summary.median) / P90_DEVIATIONS
        weight = max(1, MIN_WEIGHT * summary.ends // SUMMARY_POINTS)
        for deviations in _SUMMARY_DEVIATIONS:
            step = _step_of(summary.median + deviation * deviations)
            sketch._counts.record_value(step, weight)
        return sketch


class Summary(NamedTuple):
    """What is stored of a sketch.

    :ivar ends: number of ends that it counts as.
    """

    median: float = 0.0
    p90: float = 0.0
    ends: int = 0


_SUMMARY_DEVIATIONS: Final = tuple(
    NormalDist().inv_cdf((number + 0.5) / SUMMARY_POINTS) for number in range(SUMMARY_POINTS)
)


def _step_of(log_ratio: float) -> int:
    return min(MAX_STEP, max(1, math.floor(ZERO + STEPS_PER_UNIT * log_ratio + 0.5)))


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_STEP, SIGNIFICANT_DIGITS, word_size=WORD_BYTES)
