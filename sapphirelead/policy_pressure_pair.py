"""Bayesian estimate of the interference weight of a serving and a filling image.  No I/O.

Serving images are latency-critical, filling images best-effort.

The prior is a mixture of two normal distributions, light and heavy pairs.  Evidence, a measured
weight with its precision, updates the probability of each kind by its likelihood and the
distribution within each kind.  A few observations are therefore often enough to classify a pair.

Without evidence the belief is the prior; with increasing precision the weight approaches the
measured one.
"""

import math
from typing import Final, NamedTuple


class Kind(NamedTuple):
    """Mean and variance of the weights of one kind of pair."""

    weight: float
    variance: float


LIGHT_KIND: Final = Kind(0.12, 0.12**2)
HEAVY_KIND: Final = Kind(1.7, 1.0)

HEAVY_PRIOR: Final = 0.35
"""Probability that an unknown pair is heavy."""

MIN_KIND_PROBABILITY: Final = 0.02
"""Lower bound of the prior probability of either kind."""

UPPER_BOUND_SIGMAS: Final = 2.0
"""Standard deviations that the upper bound of a weight lies above its mean."""


class Evidence(NamedTuple):
    """A measured weight; ``precision``, the inverse of its variance, is 0 without measurements."""

    weight: float
    precision: float


NO_EVIDENCE: Final = Evidence(0.0, 0.0)


class Belief(NamedTuple):
    """Probability distribution of the weight of a pair.

    :ivar heavy: probability that the pair is heavy.
    :ivar weight: mean of the load that is added if the filling image uses the whole worker.
    """

    heavy: float
    weight: float
    variance: float

    @property
    def upper_bound(self) -> float:
        """Upper confidence bound of the weight."""
        return self.weight + UPPER_BOUND_SIGMAS * math.sqrt(self.variance)


def pair_belief(heavy: float, evidence: Evidence = NO_EVIDENCE) -> Belief:
    """Return the belief about a pair.

    :param heavy: prior probability that the pair is heavy.

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
    """Return the log-likelihood of a measurement under a kind, up to a constant."""
    total_variance = kind.variance + variance
    return -0.5 * ((weight - kind.weight) ** 2 / total_variance + math.log(total_variance))


def _posterior(kind: Kind, evidence: Evidence) -> Kind:
    """Return the distribution of a kind updated with the evidence."""
    precision = 1 / kind.variance + evidence.precision
    weight = (kind.weight / kind.variance + evidence.weight * evidence.precision) / precision
    return Kind(max(weight, 0.0), 1 / precision)


def _logistic(log_odds: float) -> float:
    """Return the probability for log odds."""
    return 1 / (1 + math.exp(-max(-50.0, min(50.0, log_odds))))


def _mixture(heavy: float, light_kind: Kind, heavy_kind: Kind) -> Belief:
    weight = (1 - heavy) * light_kind.weight + heavy * heavy_kind.weight
    variance = (1 - heavy) * (light_kind.variance + (light_kind.weight - weight) ** 2)
    variance += heavy * (heavy_kind.variance + (heavy_kind.weight - weight) ** 2)
    return Belief(heavy, weight, variance)
