"""What is believed of a pair of a serving and a filling image: that it is light, or heavy.  No I/O.

Most pairs hardly press on each other, because they share little; those that share a cache or a link
press hard, and little lies in between.  So a few observations that would leave a weight wide open
by themselves often settle which kind a pair is, and with it nearly all of its weight.

Algorithm.  The two kinds are normal distributions of the weight.  The belief begins with a
probability that the pair is heavy; evidence, which is a measured weight with its variance, moves
that probability by its likelihood under each kind, and the weight within each kind towards itself.

Invariants:

- Without evidence the belief is the prior; the more precise the evidence, the nearer the weight is
  to what was measured, also where that lies between the kinds.
"""

import math
from typing import Final, NamedTuple


class Kind(NamedTuple):
    """Mean and variance of the weights of a kind of pairs."""

    weight: float
    variance: float


LIGHT_KIND: Final = Kind(0.12, 0.12**2)
HEAVY_KIND: Final = Kind(1.7, 1.0)

HEAVY_PRIOR: Final = 0.35
"""Probability that a pair of which nothing is known is heavy."""

MIN_KIND_PROBABILITY: Final = 0.02
"""Probability that is left to either kind before there is evidence."""

UPPER_BOUND_SIGMAS: Final = 2.0
"""Standard deviations that are added to a weight for what is not known of it: a tail over its
target costs more than the filling work beside it earns."""


class Evidence(NamedTuple):
    """A measured weight; ``precision``, one over its variance, is 0 where nothing was measured."""

    weight: float
    precision: float


NO_EVIDENCE: Final = Evidence(0.0, 0.0)


class Belief(NamedTuple):
    """What is believed of a pair.

    :ivar heavy: probability that it is heavy.
    :ivar weight: load that is added if the filling image takes the whole worker.
    :ivar variance: of that weight.
    """

    heavy: float
    weight: float
    variance: float

    @property
    def upper_bound(self) -> float:
        """The weight to allow for."""
        return self.weight + UPPER_BOUND_SIGMAS * math.sqrt(self.variance)


def pair_belief(heavy: float, evidence: Evidence = NO_EVIDENCE) -> Belief:
    """Return the belief in a pair.

    :param heavy: probability that it is heavy, without the evidence.

    >>> nothing = pair_belief(HEAVY_PRIOR)
    >>> round(nothing.weight, 2), round(nothing.upper_bound, 2)
    (0.67, 2.6)
    >>> doubtful = pair_belief(HEAVY_PRIOR, Evidence(0.4, 1 / 0.5**2))
    >>> round(doubtful.heavy, 2), round(doubtful.weight, 2)
    (0.13, 0.2)
    >>> round(pair_belief(HEAVY_PRIOR, Evidence(0.8, 1 / 0.05**2)).weight, 2)
    0.8
    """
    heavy = min(max(heavy, MIN_KIND_PROBABILITY), 1 - MIN_KIND_PROBABILITY)
    if evidence.precision <= 0:
        return _mixture(heavy, LIGHT_KIND, HEAVY_KIND)
    variance = 1 / evidence.precision
    log_odds = math.log(heavy / (1 - heavy)) + _log_likelihood(
        HEAVY_KIND, evidence.weight, variance
    )
    log_odds -= _log_likelihood(LIGHT_KIND, evidence.weight, variance)
    return _mixture(
        _logistic(log_odds), _posterior(LIGHT_KIND, evidence), _posterior(HEAVY_KIND, evidence)
    )


def _log_likelihood(kind: Kind, weight: float, variance: float) -> float:
    """Return the logarithm of a measurement's likelihood under a kind."""
    total_variance = kind.variance + variance
    return -0.5 * ((weight - kind.weight) ** 2 / total_variance + math.log(total_variance))


def _posterior(kind: Kind, evidence: Evidence) -> Kind:
    """Return a kind's distribution after the evidence."""
    precision = 1 / kind.variance + evidence.precision
    weight = (kind.weight / kind.variance + evidence.weight * evidence.precision) / precision
    return Kind(max(weight, 0.0), 1 / precision)


def _logistic(log_odds: float) -> float:
    """Return the probability of logarithmic odds."""
    return 1 / (1 + math.exp(-max(-50.0, min(50.0, log_odds))))


def _mixture(heavy: float, light_kind: Kind, heavy_kind: Kind) -> Belief:
    weight = (1 - heavy) * light_kind.weight + heavy * heavy_kind.weight
    variance = (1 - heavy) * (light_kind.variance + (light_kind.weight - weight) ** 2)
    variance += heavy * (heavy_kind.variance + (heavy_kind.weight - weight) ** 2)
    return Belief(heavy, weight, variance)
