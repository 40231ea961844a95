"""What to expect of a pair of images that has not run together: collaborative filtering.  No I/O.

The pattern that this answers: a large fleet has hundreds of pairs of serving and filling images,
and most of them meet for the first time.  Each taken for heavy until it has been tried, filling
work waits in front of workers that could bear it.

Algorithm.  Filling images press on what they share with the serving ones: caches, memory
bandwidth, links.  Two serving images that suffer from the same filling images share the same
things, and two filling images that press on the same serving ones do so too.  So a pair is expected
to be like those of its row and of its column, each counted by how well the two images have agreed
on what is known of both.  Where nothing agrees, the expectation falls back to that of all pairs.

Invariants:

- An expectation lies between the least and the largest weight known and that of all pairs.
- Its variance is at most that of pairs of which nothing is known, and at least
  :data:`LEAST_VARIANCE`.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

Pair = tuple[str, str]
"""A serving image and a filling one."""

ANY_WEIGHT: Final = 1.1
"""Expected of a pair of which nothing is known: between the light ones (under 0.3), which are most,
and the heavy ones (1 to 3)."""

ANY_VARIANCE: Final = 1.0
"""Variance of a pair of which nothing is known."""

ANY_VOTE: Final = 0.5
"""Vote of that expectation; one image that agrees fully has a vote of up to 1."""

LEAST_VARIANCE: Final = 0.04
"""Variance that is left however many images agree."""

UNLIKE: Final = 0.3
"""Sum of squared differences at which the vote of two images falls to a third."""

MOST_DIFFERENCE: Final = 1.5
"""A larger difference of two weights says no more than that one is heavy and one light."""

COMMON: Final = 2.0
"""Weights known of both images at which the vote of two images that agree is a half."""


class Expected(NamedTuple):
    """What to expect of a pair.

    :ivar weight: load that is added if the filling image takes the whole worker.
    :ivar variance: of that weight.
    """

    weight: float
    variance: float

    @property
    def careful(self) -> float:
        """The weight, by one standard deviation higher."""
        return self.weight + math.sqrt(self.variance)


NOTHING_KNOWN: Final = Expected(ANY_WEIGHT, ANY_VARIANCE)


class PairPrior:
    """Expectations from the pairs known at one moment."""

    _rows: Mapping[str, Mapping[str, float]]
    _columns: Mapping[str, Mapping[str, float]]
    _votes: dict[tuple[str, str, bool], float]
    _expected: dict[Pair, Expected]

    def __init__(self, known: Mapping[Pair, float]) -> None:
        """Take the weights that are known well.

        >>> prior = PairPrior({("s1", "f1"): 2.0, ("s2", "f1"): 2.0, ("s1", "f2"): 0.1})
        >>> round(prior.expect("s2", "f2").weight, 2) < ANY_WEIGHT
        True
        >>> prior.expect("s3", "f3") == NOTHING_KNOWN
        True
        """
        rows: dict[str, dict[str, float]] = {}
        columns: dict[str, dict[str, float]] = {}
        for (serving, filling), weight in known.items():
            rows.setdefault(serving, {})[filling] = weight
            columns.setdefault(filling, {})[serving] = weight
        self._rows = rows
        self._columns = columns
        self._votes = {}
        self._expected = {}

    def expect(self, serving: str, filling: str) -> Expected:
        """Return what to expect of a pair."""
        found = self._expected.get((serving, filling))
        if found is None:
            found = self._expected[serving, filling] = self._work_out(serving, filling)
        return found

    def _work_out(self, serving: str, filling: str) -> Expected:
        row = self._rows.get(serving, {})
        column = self._columns.get(filling, {})
        votes = [(ANY_WEIGHT, ANY_VOTE)]
        votes += [
            (weight, self._vote(self._rows, serving, other, True))
            for other, weight in column.items()
        ]
        votes += [
            (weight, self._vote(self._columns, filling, other, False))
            for other, weight in row.items()
        ]
        return _weigh(votes)

    def _vote(
        self, table: Mapping[str, Mapping[str, float]], one: str, other: str, rows: bool
    ) -> float:
        """Return how much a weight of ``other`` says of ``one``, from 0 to 1."""
        key = (one, other, rows) if one < other else (other, one, rows)
        vote = self._votes.get(key)
        if vote is None:
            vote = self._votes[key] = _alike(table.get(one, {}), table.get(other, {}))
        return vote


def _alike(one: Mapping[str, float], other: Mapping[str, float]) -> float:
    common = one.keys() & other.keys()
    squares = sum(min(abs(one[key] - other[key]), MOST_DIFFERENCE) ** 2 for key in common)
    return math.exp(-squares / UNLIKE) * len(common) / (len(common) + COMMON)


def _weigh(votes: Iterable[tuple[float, float]]) -> Expected:
    """Return mean and variance of what the votes say; the first is that of all pairs."""
    items = list(votes)
    total = sum(vote for _, vote in items)
    mean = sum(weight * vote for weight, vote in items) / total
    spread = sum((weight - mean) ** 2 * vote for weight, vote in items)
    variance = (ANY_VARIANCE * ANY_VOTE + spread) / total
    return Expected(mean, min(max(variance, LEAST_VARIANCE), ANY_VARIANCE))
