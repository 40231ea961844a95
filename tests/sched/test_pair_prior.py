"""What is believed of pairs of images, also of such that have not met; no network.

The load that these tests stand for: a large fleet with dozens of serving and filling images, of
whose pairs most have not run together yet.
"""

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
    """Return whether a pair is heavy: images press by one of three resources, or by none."""
    return int(filling[1:]) % 6 == int(serving[1:]) % 3


def test_a_light_pair_is_not_held_back_because_it_is_new() -> None:
    """Filling work waits in front of free processors on a fleet of many images.

    Nine of ten pairs have run together.  Those that have not were each taken for heavy, although
    images that behave alike had shown what to expect.
    """
    rng = random.Random(7)
    pairs = [(serving, filling) for serving in SERVING for filling in FILLING]
    new = set(rng.sample(pairs, len(pairs) // 10))
    prior = PairPrior({pair: float(is_heavy(*pair)) for pair in pairs if pair not in new})
    light = [prior.heavy(*pair) for pair in new if not is_heavy(*pair)]
    heavy = [prior.heavy(*pair) for pair in new if is_heavy(*pair)]
    assert light and heavy
    assert sum(light) / len(light) < HEAVY_PRIOR / 2
    assert min(heavy) > 2 * HEAVY_PRIOR


def test_an_image_that_behaves_unlike_all_others_is_expected_like_any() -> None:
    known = {
        (serving, filling): float(is_heavy(serving, filling))
        for serving in SERVING[:3]
        for filling in FILLING[:6]
    }
    prior = PairPrior({**known, **{("odd", filling): 1.0 for filling in FILLING[:5]}})
    assert prior.heavy("odd", FILLING[5]) > HEAVY_PRIOR / 2
    assert prior.heavy("never seen", "never seen") == HEAVY_PRIOR


def test_expectations_stay_within_what_is_known() -> None:
    rng = random.Random(3)
    for _ in range(50):
        known = {
            (serving, filling): rng.random()
            for serving in SERVING
            for filling in FILLING
            if rng.random() < rng.random()
        }
        prior = PairPrior(known)
        least, most = min([*known.values(), HEAVY_PRIOR]), max([*known.values(), HEAVY_PRIOR])
        for serving in SERVING:
            for filling in FILLING:
                assert least - 1e-9 <= prior.heavy(serving, filling) <= most + 1e-9


def test_a_few_observations_tell_light_from_heavy() -> None:
    """A light pair is held back for half a minute, because each observation says little.

    Its weight was left wide open by itself, though hardly any pair lies between the two kinds.
    """
    rough = 1 / 0.5**2
    light, heavy = pair_belief(HEAVY_PRIOR, Evidence(0.2, rough)), pair_belief(
        HEAVY_PRIOR, Evidence(1.8, rough)
    )
    assert light.upper_bound < 1.0
    assert light.weight < 0.3
    assert heavy.weight > 1.3


@pytest.mark.parametrize("weight", [0.0, 0.3, 0.6, 1.0, 2.0, 4.0])
@pytest.mark.parametrize("heavy", [0.0, HEAVY_PRIOR, 1.0])
def test_precise_evidence_decides_whatever_was_expected(weight: float, heavy: float) -> None:
    believed = pair_belief(heavy, Evidence(weight, 1 / 0.02**2))
    assert believed.weight == pytest.approx(weight, abs=0.05)
    assert believed.upper_bound < weight + 0.2


def test_without_evidence_the_belief_is_what_was_expected() -> None:
    assert pair_belief(0.0).heavy == MIN_KIND_PROBABILITY
    assert pair_belief(1.0).heavy == 1 - MIN_KIND_PROBABILITY
    for heavy in (0.1, HEAVY_PRIOR, 0.8):
        believed = pair_belief(heavy, NO_EVIDENCE)
        assert believed.heavy == heavy
        assert LIGHT_KIND.weight < believed.weight < HEAVY_KIND.weight
