"""Forecasts of run times by pair of queue and image.  No I/O.

Answers a load on which callers estimate differently: each pair has a factor of its own, because
what one caller's image teaches says nothing about another's.  It also answers callers that name a
new image with each job: the number of pairs is bounded, and the least recently used are evicted.
"""

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.lengths.score import ForecastScore
from sapphirelead.lengths.sketch import RatioSketch
from sapphirelead.sched_parts import LengthsConfig
from sapphirelead.sched_spec import StepSpec

MAX_PAIRS: Final = 10_000
"""Maximum number of pairs; each takes about 3 KB."""

MAX_NAME_CHARS: Final = 200
"""Maximum length of an image's name; tasks with longer ones are not learnt, to bound the memory."""

REFRESH_SHARE: Final = 32
"""Quantiles are computed anew once this part of the ends that count are new."""

OVERALL_HALF_LIFE_STEPS: Final = 1000.0
"""Half-life of the error over all pairs, which is exported only."""

MEDIAN: Final = 0.5


PairKey = tuple[str, str]
"""Queue and image of tasks that are estimated alike; the image is empty for tasks without one."""


@dataclass(slots=True)
class PairLengths:
    """What is known of one pair.

    :ivar ends: number of ends that counted.
    :ivar in_use: whether its forecasts are used.
    """

    sketch: RatioSketch = field(default_factory=RatioSketch)
    score: ForecastScore = field(default_factory=ForecastScore)
    ends: int = 0
    in_use: bool = False
    _quantiles: dict[float, float] = field(default_factory=dict)
    _new_ends: int = 0

    def log_ratio(self, quantile: float) -> float:
        """Return a quantile of the logarithm of the ratio."""
        found = self._quantiles.get(quantile)
        if found is None:
            found = self._quantiles[quantile] = self.sketch.quantile(quantile)
        return found

    def record(self, log_ratio: float, half_life_ends: int) -> None:
        """Record the ratio of a run that ended."""
        self.sketch.record(log_ratio, half_life_ends)
        self.ends += 1
        self._new_ends += 1
        if self._new_ends * REFRESH_SHARE >= min(self.ends, half_life_ends):
            self._quantiles.clear()
            self._new_ends = 0


class LearnedLengths:
    """Estimator that corrects the declared estimates of the pairs for which this has helped.

    :ivar config: options in force.
    :ivar version: grows with each change of what is known.
    """

    config: LengthsConfig
    version: int
    _pairs: OrderedDict[PairKey, PairLengths]
    _overall: ForecastScore

    def __init__(self, config: LengthsConfig) -> None:
        self.config = config
        self.version = 0
        self._pairs = OrderedDict()
        self._overall = ForecastScore()

    def expected_ms(self, queue: str, step: StepSpec, quantile: float = MEDIAN) -> int:
        """Return a quantile of the run time of a task, in milliseconds.

        The declared estimate is returned, whatever the quantile, while forecasts are not better.
        """
        pair = self._pairs.get((queue, step.image))
        if pair is None or not pair.in_use or step.lasting or not step.estimate_ms:
            return step.estimate_ms
        return max(1, round(step.estimate_ms * math.exp(pair.log_ratio(quantile))))

    def forecast(self, key: PairKey) -> float | None:
        """Return the median of the logarithm of the ratio, used or not; ``None`` if unknown."""
        pair = self._pairs.get(key)
        return pair.log_ratio(MEDIAN) if pair is not None else None

    def touch(self, key: PairKey) -> None:
        """Count a pair, if it is known, as the most recently used."""
        if key in self._pairs:
            self._pairs.move_to_end(key)

    def record(
        self, key: PairKey, log_ratio: float, forecast: float | None, weight: float
    ) -> PairLengths | None:
        """Judge the forecast of a run that ended, then learn from its run time.

        :param forecast: what was forecast when the run was claimed; ``None`` if nothing was.
        :param weight: the run's part of its step.
        :returns: the pair if its forecasts begin or cease to be used, else ``None``.
        """
        if len(key[1]) > MAX_NAME_CHARS:
            return None
        self.version += 1
        pair = self._pairs.get(key)
        if pair is None:
            pair = self._pairs[key] = PairLengths()
            self._evict()
        self._pairs.move_to_end(key)
        if forecast is not None:
            pair.score.add(log_ratio, forecast, weight, self.config.min_ends)
            used = forecast if pair.in_use else 0.0
            self._overall.add(log_ratio, used, weight, OVERALL_HALF_LIFE_STEPS)
        pair.record(log_ratio, self.config.half_life_ends)
        preferred = pair.ends >= self.config.min_ends and pair.score.prefers_forecasts(pair.in_use)
        if preferred is pair.in_use:
            return None
        pair.in_use = preferred
        return pair

    def restore(self, key: PairKey, pair: PairLengths) -> None:
        """Take over a pair of a predecessor, unless it is known already; oldest last."""
        if key in self._pairs or len(self._pairs) >= MAX_PAIRS:
            return
        self._pairs[key] = pair
        self._pairs.move_to_end(key, last=False)
        self.version += 1

    def latest_first(self) -> Iterator[tuple[PairKey, PairLengths]]:
        """Yield the pairs, the most recently used first."""
        return reversed(self._pairs.items())

    def _evict(self) -> None:
        while len(self._pairs) > MAX_PAIRS:
            self._pairs.popitem(last=False)

    @property
    def pairs(self) -> int:
        """Number of pairs that are kept."""
        return len(self._pairs)

    @property
    def error_ratio(self) -> float:
        """Error of the lengths in use over that of the declared ones; 1 if nothing is known."""
        overall = self._overall
        return overall.learned / overall.declared if overall.declared > 0 else 1.0
