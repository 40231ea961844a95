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

import msgspec

from sapphirelead.lengths.score import ForecastScore
from sapphirelead.lengths.sketch import RatioSketch, Summary
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
    :ivar stored: its latest stored form; ``None`` if there is none.
    """

    score: ForecastScore = field(default_factory=ForecastScore)
    ends: int = 0
    in_use: bool = False
    stored: msgspec.Raw | None = None
    _sketch: RatioSketch | None = None
    _summary: Summary | None = None
    _quantiles: dict[float, float] = field(default_factory=dict)
    _factors: dict[float, float] = field(default_factory=dict)
    _new_ends: int = 0

    @classmethod
    def from_summary(
        cls, summary: Summary, score: ForecastScore, ends: int, in_use: bool
    ) -> "PairLengths":
        """Return a pair as a predecessor has stored it; its sketch is made when it is needed."""
        pair = cls(score, ends, in_use, _summary=summary)
        pair._quantiles = {0.5: summary.median, 0.9: summary.p90}
        return pair

    @property
    def sketch(self) -> RatioSketch:
        """Distribution of the ratios."""
        if self._sketch is None:
            summary, self._summary = self._summary, None
            self._sketch = RatioSketch.from_summary(summary) if summary else RatioSketch()
        return self._sketch

    def log_ratio(self, quantile: float) -> float:
        """Return a quantile of the logarithm of the ratio."""
        found = self._quantiles.get(quantile)
        if found is None:
            found = self._quantiles[quantile] = self.sketch.quantile(quantile)
        return found

    def factor(self, quantile: float) -> float:
        """Return a quantile of the ratio."""
        found = self._factors.get(quantile)
        if found is None:
            found = self._factors[quantile] = math.exp(self.log_ratio(quantile))
        return found

    def record(self, log_ratio: float, half_life_ends: int) -> bool:
        """Record the ratio of a run that ended; return whether the quantiles are new."""
        self.sketch.record(log_ratio, half_life_ends)
        self.ends += 1
        self._new_ends += 1
        if self._new_ends * REFRESH_SHARE >= min(self.ends, half_life_ends):
            self._quantiles.clear()
            self._factors.clear()
            self._new_ends = 0
            return True
        return False


class LearnedLengths:
    """Estimator that corrects the declared estimates of the pairs for which this has helped.

    :ivar config: options in force.
    """

    config: LengthsConfig
    _pairs: OrderedDict[PairKey, PairLengths]
    _changed: dict[PairKey, None]
    _medians: dict[PairKey, float]
    _overall: ForecastScore

    def __init__(self, config: LengthsConfig) -> None:
        self.config = config
        self._pairs = OrderedDict()
        self._changed = {}
        # Only of the pairs in use, because order and slack ask for them in each planning pass.
        self._medians = {}
        self._overall = ForecastScore()

    def expected_ms(self, queue: str, step: StepSpec, quantile: float = MEDIAN) -> int:
        """Return a quantile of the run time of a task, in milliseconds.

        The declared estimate is returned, whatever the quantile, while forecasts are not better.
        """
        key = (queue, step.image)
        factor = self._medians.get(key)
        if factor is None or step.lasting or not step.estimate_ms:
            return step.estimate_ms
        if quantile != MEDIAN:
            factor = self._pairs[key].factor(quantile)
        return int(step.estimate_ms * factor) or 1

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
        pair = self._pairs.get(key)
        if pair is None:
            pair = self._pairs[key] = PairLengths()
            self._evict()
        self._pairs.move_to_end(key)
        self._changed[key] = None
        if forecast is not None:
            pair.score.add(log_ratio, forecast, weight, self.config.min_ends)
            used = forecast if pair.in_use else 0.0
            self._overall.add(log_ratio, used, weight, OVERALL_HALF_LIFE_STEPS)
        renewed = pair.record(log_ratio, self.config.half_life_ends)
        preferred = pair.ends >= self.config.min_ends and pair.score.prefers_forecasts(pair.in_use)
        changed = preferred is not pair.in_use
        pair.in_use = preferred
        if changed or (renewed and preferred):
            self._update_median(key, pair)
        return pair if changed else None

    def _update_median(self, key: PairKey, pair: PairLengths) -> None:
        if pair.in_use:
            self._medians[key] = pair.factor(MEDIAN)
        else:
            self._medians.pop(key, None)

    def restore(self, key: PairKey, pair: PairLengths) -> None:
        """Take over a pair of a predecessor, unless it is known already; oldest last."""
        if key in self._pairs or len(self._pairs) >= MAX_PAIRS:
            return
        self._pairs[key] = pair
        self._pairs.move_to_end(key, last=False)
        self._update_median(key, pair)

    def latest_first(self) -> Iterator[tuple[PairKey, PairLengths]]:
        """Yield the pairs, the most recently used first."""
        return reversed(self._pairs.items())

    def take_changed(self, limit: int) -> list[tuple[PairKey, PairLengths]]:
        """Return up to ``limit`` pairs that have changed and have not been returned since."""
        found: list[tuple[PairKey, PairLengths]] = []
        while self._changed and len(found) < limit:
            # The oldest first, so that pairs that change all the time do not keep others waiting.
            key = next(iter(self._changed))
            del self._changed[key]
            found.append((key, self._pairs[key]))
        return found

    def _evict(self) -> None:
        while len(self._pairs) > MAX_PAIRS:
            key, _ = self._pairs.popitem(last=False)
            self._changed.pop(key, None)
            self._medians.pop(key, None)

    @property
    def pairs(self) -> int:
        """Number of pairs that are kept."""
        return len(self._pairs)

    @property
    def error_ratio(self) -> float:
        """Error of the lengths in use over that of the declared ones; 1 if nothing is known."""
        overall = self._overall
        return overall.learned / overall.declared if overall.declared > 0 else 1.0
