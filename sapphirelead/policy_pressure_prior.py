"""Priors for pairs of images that have not run together: collaborative filtering.  No I/O.

A pair is a serving (latency-critical) and a filling (best-effort) image.

Handles fleets with many images, where most pairs are new, by predicting a pair from known pairs in
its row (same serving image) and its column (same filling image).  Each is weighted by the
similarity of the two images over the pairs known of both; ``HEAVY_PRIOR`` is always included.

Invariant: a prediction lies within the range of the known probabilities and ``HEAVY_PRIOR``.
"""

import math
from collections.abc import Mapping
from typing import Final

from sapphirelead.policy_pressure_pair import HEAVY_PRIOR

Pair = tuple[str, str]
"""A serving and a filling image."""

GLOBAL_PRIOR_WEIGHT: Final = 0.5
"""Weight of ``HEAVY_PRIOR``; known pairs have weights of up to 1."""

DIFFERENCE_SCALE: Final = 0.2
"""Sum of squared differences at which the similarity of two images falls by a factor of e."""

HALF_WEIGHT_PAIRS: Final = 4.0
"""Number of common pairs at which the similarity of images that agree is 0.5."""


class PairPrior:
    """Predictions from a snapshot of the known pairs."""

    _rows: Mapping[str, Mapping[str, float]]
    _columns: Mapping[str, Mapping[str, float]]
    _similarities: dict[tuple[str, str, bool], float]
    _expected: dict[Pair, float]

    def __init__(self, known: Mapping[Pair, float]) -> None:
        """Create the predictor from the probabilities that known pairs are heavy.

        >>> prior = PairPrior({("s1", "f1"): 0.9, ("s2", "f1"): 0.9, ("s1", "f2"): 0.0})
        >>> prior.heavy("s2", "f2") < HEAVY_PRIOR
        True
        >>> prior.heavy("s3", "f3") == HEAVY_PRIOR
        True
        """
        rows: dict[str, dict[str, float]] = {}
        columns: dict[str, dict[str, float]] = {}
        for (serving, filling), heavy in known.items():
            rows.setdefault(serving, {})[filling] = heavy
            columns.setdefault(filling, {})[serving] = heavy
        self._rows = rows
        self._columns = columns
        self._similarities = {}
        self._expected = {}

    def heavy(self, serving: str, filling: str) -> float:
        """Return the predicted probability that a pair is heavy, ignoring its own entry."""
        found = self._expected.get((serving, filling))
        if found is None:
            found = self._expected[serving, filling] = self._estimate(serving, filling)
        return found

    def _estimate(self, serving: str, filling: str) -> float:
        neighbours = [(HEAVY_PRIOR, GLOBAL_PRIOR_WEIGHT)]
        for other, heavy in self._columns.get(filling, {}).items():
            if other != serving:
                neighbours.append((heavy, self._similarity_of(self._rows, serving, other, True)))
        for other, heavy in self._rows.get(serving, {}).items():
            if other != filling:
                neighbours.append(
                    (heavy, self._similarity_of(self._columns, filling, other, False))
                )
        return sum(heavy * similarity for heavy, similarity in neighbours) / sum(
            similarity for _, similarity in neighbours
        )

    def _similarity_of(
        self, table: Mapping[str, Mapping[str, float]], one: str, other: str, rows: bool
    ) -> float:
        """Return the similarity of two images, from 0 to 1."""
        key = (one, other, rows) if one < other else (other, one, rows)
        similarity = self._similarities.get(key)
        if similarity is None:
            similarity = self._similarities[key] = _similarity(
                table.get(one, {}), table.get(other, {})
            )
        return similarity


def _similarity(one: Mapping[str, float], other: Mapping[str, float]) -> float:
    common = one.keys() & other.keys()
    squares = sum((one[key] - other[key]) ** 2 for key in common)
    return math.exp(-squares / DIFFERENCE_SCALE) * len(common) / (len(common) + HALF_WEIGHT_PAIRS)
