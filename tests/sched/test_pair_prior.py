"""Expectations of pairs of images that have not met; pure arithmetic, no network.

The load that these tests stand for: a large fleet with dozens of serving and filling images, of
whose pairs most have not run together yet.
"""

import random

from sapphirelead.policy_pressure_prior import (
    ANY_VARIANCE,
    ANY_WEIGHT,
    LEAST_VARIANCE,
    NOTHING_KNOWN,
    PairPrior,
)

HEAVY = 1.8
LIGHT = 0.1
SERVING = [f"s{number}" for number in range(9)]
FILLING = [f"f{number}" for number in range(18)]


def true_weight(serving: str, filling: str) -> float:
    """Return the weight of a pair: images press by one of three resources, or by none."""
    return HEAVY if int(filling[1:]) % 6 == int(serving[1:]) % 3 else LIGHT


def test_a_light_pair_is_not_held_back_because_it_is_new() -> None:
    """Filling work waits in front of free processors on a fleet of many images.

    Nine of ten pairs have run together.  Those that have not were each taken for heavy, although
    images that behave alike had shown what to expect.
    """
    rng = random.Random(7)
    pairs = [(serving, filling) for serving in SERVING for filling in FILLING]
    new = set(rng.sample(pairs, len(pairs) // 10))
    prior = PairPrior({pair: true_weight(*pair) for pair in pairs if pair not in new})
    light = [prior.expect(*pair).careful for pair in new if true_weight(*pair) == LIGHT]
    heavy = [prior.expect(*pair).careful for pair in new if true_weight(*pair) == HEAVY]
    assert light and heavy
    assert sum(light) / len(light) < 0.8
    assert min(heavy) > 1.0


def test_an_image_that_behaves_unlike_all_others_is_expected_like_any() -> None:
    known = {
        (serving, filling): true_weight(serving, filling)
        for serving in SERVING[:3]
        for filling in FILLING[:6]
    }
    prior = PairPrior({**known, **{("odd", filling): HEAVY for filling in FILLING[:5]}})
    expected = prior.expect("odd", FILLING[5])
    assert expected.careful > ANY_WEIGHT
    assert prior.expect("never seen", "never seen") == NOTHING_KNOWN


def test_expectations_stay_within_what_is_known() -> None:
    rng = random.Random(3)
    for _ in range(50):
        known = {
            (serving, filling): rng.uniform(0, 3)
            for serving in SERVING
            for filling in FILLING
            if rng.random() < rng.random()
        }
        prior = PairPrior(known)
        least, most = min([*known.values(), ANY_WEIGHT]), max([*known.values(), ANY_WEIGHT])
        for serving in SERVING:
            for filling in FILLING:
                expected = prior.expect(serving, filling)
                assert least - 1e-9 <= expected.weight <= most + 1e-9
                assert LEAST_VARIANCE <= expected.variance <= ANY_VARIANCE
