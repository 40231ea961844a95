"""Beliefs about pairs of serving and filling images, including pairs that have not run together."""

import random

import pytest

from sapphirelead.policy_pressure_pair import (
    HEAVY_KIND,
    HEAVY_PRIOR,
    LIGHT_KIND,
    MIN_KIND_PROBABILITY,
    NO_EVIDENCE,
    Evidence,
    pair_belief,
)
from sapphirelead.policy_pressure_prior import PairPrior

SERVING = [f"s{number}" for number in range(9)]
FILLING = [f"f{number}" for number in range(18)]


def is_heavy(serving: str, filling: str) -> bool:
    """Return whether a pair is heavy: images interfere by one of three resources, or not at all."""
    return int(filling[1:]) % 6 == int(serving[1:]) % 3


def test_new_pair_is_predicted_from_similar_images() -> None:
    """Guards against holding filling work back because every new pair is assumed to be heavy."""
    rng = random.Random(7)
    pairs = [(serving, filling) for serving in SERVING for filling in FILLING]
    new = set(rng.sample(pairs, len(pairs) // 10))
    prior = PairPrior({pair: float(is_heavy(*pair)) for pair in pairs if pair not in new})
    light = [prior.heavy(*pair) for pair in new if not is_heavy(*pair)]
    heavy = [prior.heavy(*pair) for pair in new if is_heavy(*pair)]
    assert light and heavy
    assert sum(light) / len(light) < HEAVY_PRIOR / 2
    assert min(heavy) > 2 * HEAVY_PRIOR


def test_dissimilar_image_falls_back_to_the_prior() -> None:
    known = {
        (serving, filling): float(is_heavy(serving, filling))
        for serving in SERVING[:3]
        for filling in FILLING[:6]
    }
    prior = PairPrior({**known, **{("odd", filling): 1.0 for filling in FILLING[:5]}})
    assert prior.heavy("odd", FILLING[5]) > HEAVY_PRIOR / 2
    assert prior.heavy("never seen", "never seen") == HEAVY_PRIOR


def test_predictions_stay_within_known_probabilities() -> None:
    rng = random.Random(3)
    for _ in range(50):
        known = {
            (serving, filling): rng.random()
            for serving in SERVING
            for filling in FILLING
            if rng.random() < rng.random()
        }
        prior = PairPrior(known)
        lowest, highest = min([*known.values(), HEAVY_PRIOR]), max([*known.values(), HEAVY_PRIOR])
        for serving in SERVING:
            for filling in FILLING:
                assert lowest - 1e-9 <= prior.heavy(serving, filling) <= highest + 1e-9


def test_imprecise_evidence_separates_light_from_heavy() -> None:
    """Guards against holding a light pair back until its weight has been measured precisely."""
    imprecise = 1 / 0.5**2
    light, heavy = pair_belief(HEAVY_PRIOR, Evidence(0.2, imprecise)), pair_belief(
        HEAVY_PRIOR, Evidence(1.8, imprecise)
    )
    assert light.upper_bound < 1.0
    assert light.weight < 0.3
    assert heavy.weight > 1.3


@pytest.mark.parametrize("weight", [0.0, 0.3, 0.6, 1.0, 2.0, 4.0])
@pytest.mark.parametrize("heavy", [0.0, HEAVY_PRIOR, 1.0])
def test_precise_evidence_overrides_the_prior(weight: float, heavy: float) -> None:
    belief = pair_belief(heavy, Evidence(weight, 1 / 0.02**2))
    assert belief.weight == pytest.approx(weight, abs=0.05)
    assert belief.upper_bound < weight + 0.2


def test_belief_without_evidence_is_the_prior() -> None:
    assert pair_belief(0.0).heavy == MIN_KIND_PROBABILITY
    assert pair_belief(1.0).heavy == 1 - MIN_KIND_PROBABILITY
    for heavy in (0.1, HEAVY_PRIOR, 0.8):
        belief = pair_belief(heavy, NO_EVIDENCE)
        assert belief.heavy == heavy
        assert LIGHT_KIND.weight < belief.weight < HEAVY_KIND.weight
