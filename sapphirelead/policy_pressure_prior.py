"""What to expect of a pair of images that has not run together: collaborative filtering.  No I/O.

The pattern that this answers: a large fleet has hundreds of pairs of serving and filling images,
and most of them meet for the first time.  Each taken for heavy until it has been tried, filling
work waits in front of workers that could bear it.

Algorithm.  Filling images press on what they share with the serving ones: caches, memory
bandwidth, links.  Two serving images that suffer from the same filling images share the same
things, and two filling images that press on the same serving ones do so too.  So a pair is expected
to be like those of its row and of its column, each counted by how well the two images have agreed
on what is known of both.  Where nothing agrees, the expectation falls back to that of all pairs.

Invariant: an expectation lies between the least and the largest probability known and that of all
pairs.
"""

import math
from collections.abc import Mapping
from typing import Final

from sapphirelead.policy_pressure_pair import HEAVY_PRIOR

Pair = tuple[str, str]
"""A serving image and a filling one."""

GLOBAL_PRIOR_WEIGHT: Final = 0.5
"""Vote of what holds for all pairs; an image that agrees fully has a vote of up to 1."""

DIFFERENCE_SCALE: Final = 0.2
"""Sum of squared differences at which the vote of two images falls to a third."""

HALF_SIMILARITY_PAIRS: Final = 4.0
"""Pairs known of both images at which the vote of two images that agree is a half."""


class PairPrior:
    """Expectations from the pairs known at one moment."""

    _rows: Mapping[str, Mapping[str, float]]
    _columns: Mapping[str, Mapping[str, float]]
    _similarities: dict[tuple[str, str, bool], float]
    _expected: dict[Pair, float]

    def __init__(self, known: Mapping[Pair, float]) -> None:
        """Take the probabilities that pairs are heavy, of those that are known well.

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
        """Return the probability that a pair is heavy, without what has been seen of it."""
        found = self._expected.get((serving, filling))
        if found is None:
            found = self._expected[serving, filling] = self._estimate(serving, filling)
        return found

    def _estimate(self, serving: str, filling: str) -> float:
        neighbours = [(HEAVY_PRIOR, GLOBAL_PRIOR_WEIGHT)]
        for other, heavy in self._columns.get(filling, {}).items():
            if other != serving:
                neighbours.append(
                    (heavy, self._cached_similarity(self._rows, serving, other, True))
                )
        for other, heavy in self._rows.get(serving, {}).items():
            if other != filling:
                neighbours.append(
                    (heavy, self._cached_similarity(self._columns, filling, other, False))
                )
        return sum(heavy * similarity for heavy, similarity in neighbours) / sum(
            similarity for _, similarity in neighbours
        )

    def _cached_similarity(
        self, table: Mapping[str, Mapping[str, float]], one: str, other: str, rows: bool
    ) -> float:
        """Return how much a pair of ``other`` says of ``one``, from 0 to 1."""
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
    return (
        math.exp(-squares / DIFFERENCE_SCALE) * len(common) / (len(common) + HALF_SIMILARITY_PAIRS)
    )
