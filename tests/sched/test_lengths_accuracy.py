"""Accuracy of learnt run times against the declared estimates, by the pattern of the errors."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from sapphirelead.lengths.learned import MAX_NAME_CHARS, MAX_PAIRS, LearnedLengths
from sapphirelead.lengths.sketch import STEPS_PER_UNIT, RatioSketch
from sapphirelead.sched_parts import LengthsConfig
from sapphirelead.sched_spec import StepSpec

ESTIMATE_MS = 100_000
PAIRS = 200


@dataclass
class Errors:
    """Sums of absolute errors of the logarithm of the run time."""

    expected: float = 0.0
    declared: float = 0.0


@dataclass(frozen=True)
class Pattern:
    """Standard deviations of the logarithm of the actual over the declared run time.

    :ivar pair: of the systematic error of a pair.
    :ivar step: of the error that the tasks of a step share.
    :ivar task: of what remains.
    :ivar tasks: number of tasks of a step, which are claimed together.
    """

    pair: float
    step: float
    task: float
    tasks: int = 1


def play(
    pattern: Pattern, ends: int, counted_from: int, seed: int = 1, pairs: int = PAIRS
) -> Errors:
    """Let ``ends`` runs of each pair end; return the errors at claims from ``counted_from`` on."""
    rng = random.Random(seed)
    lengths = LearnedLengths(LengthsConfig())
    found = Errors()
    step = StepSpec(tasks=pattern.tasks, estimate_ms=ESTIMATE_MS, image="i")
    for number in range(pairs):
        key = (f"q{number}", "i")
        systematic = rng.gauss(0, pattern.pair)
        for first in range(0, ends, pattern.tasks):
            forecast = lengths.forecast(key)
            expected = math.log(lengths.expected_ms(key[0], step) / ESTIMATE_MS)
            shared = systematic + rng.gauss(0, pattern.step)
            actuals = [shared + rng.gauss(0, pattern.task) for _ in range(pattern.tasks)]
            if first >= counted_from:
                found.expected += sum(abs(actual - expected) for actual in actuals)
                found.declared += sum(map(abs, actuals))
            for actual in actuals:
                lengths.record(key, actual, forecast, 1 / pattern.tasks)
    return found


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("tasks", [1, 10])
def test_error_is_halved_after_30_ends_where_estimates_are_far_off(tasks: int, seed: int) -> None:
    """Guards against estimates off by e^0.9 that go on deciding order and moves."""
    errors = play(Pattern(0.9, 0.0, 0.2, tasks), 30 + tasks, 30, seed)
    assert errors.expected <= 0.5 * errors.declared


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "pattern",
    [
        Pattern(0.1, 0.0, 0.05),
        Pattern(0.07, 0.0, 0.07),
        Pattern(0.0, 0.0, 0.1),
        Pattern(0.0, 0.1, 0.0, 20),
        Pattern(0.0, 0.1, 0.02, 10),
    ],
    ids=["systematic", "mixed", "random", "wide_steps", "steps"],
)
def test_good_estimates_are_never_made_worse(pattern: Pattern, seed: int) -> None:
    """Guards against learning noise where estimates are off by e^0.1."""
    errors = play(pattern, 400, 0, seed, 100)
    assert errors.expected <= errors.declared


def test_declared_estimate_is_used_before_enough_ends() -> None:
    """Guards against decisions by a few samples."""
    lengths = LearnedLengths(LengthsConfig(min_ends=30))
    step = StepSpec(estimate_ms=1000, image="i")
    for _ in range(29):
        lengths.record(("q", "i"), 1.0, lengths.forecast(("q", "i")), 1.0)
        assert lengths.expected_ms("q", step) == 1000
    lengths.record(("q", "i"), 1.0, lengths.forecast(("q", "i")), 1.0)
    assert lengths.expected_ms("q", step) == pytest.approx(1000 * math.e, rel=0.02)


def learn(lengths: LearnedLengths, key: tuple[str, str], draw: Callable[[], float]) -> None:
    """Let 60 runs of a pair end."""
    for _ in range(60):
        lengths.record(key, draw(), lengths.forecast(key), 1.0)


def test_callers_with_other_errors_are_told_apart() -> None:
    """Guards against one caller's estimates that change the forecasts for another's."""
    lengths = LearnedLengths(LengthsConfig())
    for key, ratio in {("a", "i"): 3.0, ("a", "j"): 0.25, ("b", "i"): 1.0, ("b", ""): 2.0}.items():
        learn(lengths, key, lambda ratio=ratio: math.log(ratio))  # type: ignore[misc]
    found = [
        lengths.expected_ms(queue, StepSpec(estimate_ms=1000, image=image))
        for queue, image in [("a", "i"), ("a", "j"), ("b", "i"), ("b", ""), ("c", "i")]
    ]
    assert found == pytest.approx([3000, 250, 1000, 2000, 1000], rel=1.1 / STEPS_PER_UNIT)


def test_quantiles_reflect_the_spread() -> None:
    """Guards against bounds by a high quantile that equal the median."""
    lengths = LearnedLengths(LengthsConfig())
    rng = random.Random(1)
    learn(lengths, ("q", "i"), lambda: rng.gauss(1.0, 0.3))
    step = StepSpec(estimate_ms=1000, image="i")
    low, median, high = (lengths.expected_ms("q", step, q) for q in (0.1, 0.5, 0.9))
    assert low < 0.8 * median and high > 1.25 * median


def test_long_running_tasks_and_tasks_without_estimate_keep_what_they_declare() -> None:
    """Guards against run times for tasks that have none."""
    lengths = LearnedLengths(LengthsConfig())
    learn(lengths, ("q", ""), lambda: 1.0)
    assert lengths.expected_ms("q", StepSpec(estimate_ms=400, lasting=True)) == 400
    assert lengths.expected_ms("q", StepSpec()) == 0


def test_a_corrected_estimate_ends_the_use_of_forecasts() -> None:
    """Guards against forecasts that outlast the error that they correct."""
    lengths = LearnedLengths(LengthsConfig(min_ends=30))
    step = StepSpec(estimate_ms=1000, image="i")
    learn(lengths, ("q", "i"), lambda: 1.0)
    changed = [
        lengths.record(("q", "i"), 0.0, lengths.forecast(("q", "i")), 1.0) for _ in range(60)
    ]
    assert any(pair is not None and not pair.in_use for pair in changed)
    assert lengths.expected_ms("q", step) == 1000


@pytest.mark.parametrize("seed", range(20))
def test_quantiles_are_those_of_the_recorded_ratios(seed: int) -> None:
    """Guards against a sum of the counts that begins or ends beside the lowest or highest ratio."""
    rng = random.Random(seed)
    ratios = [rng.randint(-100, 100) / STEPS_PER_UNIT for _ in range(rng.randint(1, 60))]
    sketch = RatioSketch()
    for ratio in ratios:
        sketch.record(ratio, 10**9)
    for percent in (1, 10, 50, 90, 99, 100):
        rank = max(1, math.ceil(percent * len(ratios) / 100))
        assert sketch.quantile(percent / 100) == sorted(ratios)[rank - 1]


def test_older_ratios_are_forgotten() -> None:
    """Guards against a median that years of ends keep where it was."""
    sketch = RatioSketch()
    for _ in range(1000):
        sketch.record(1.0, 100)
    for _ in range(110):
        sketch.record(-1.0, 100)
    assert sketch.quantile(0.5) == -1.0


def test_memory_is_bounded_with_more_images_than_are_kept() -> None:
    """Guards against callers that name a new image with each job."""
    lengths = LearnedLengths(LengthsConfig())
    learn(lengths, ("q", "steady"), lambda: 1.0)
    for number in range(MAX_PAIRS + 100):
        if not number % 1000:
            lengths.touch(("q", "steady"))
        lengths.record(("q", f"i{number}"), 0.0, None, 1.0)
    assert lengths.pairs == MAX_PAIRS
    assert lengths.forecast(("q", "steady")) == 1.0
    assert lengths.forecast(("q", "i0")) is None
    lengths.record(("q", "x" * (MAX_NAME_CHARS + 1)), 0.0, None, 1.0)
    assert lengths.forecast(("q", "x" * (MAX_NAME_CHARS + 1))) is None


def test_extreme_ratios_are_clamped() -> None:
    """Guards against an estimate of 1 ms whose ratio is beyond the scale."""
    sketch = RatioSketch()
    for log_ratio in (-1e3, 1e3, 1e3):
        sketch.record(log_ratio, 100)
    assert 3.9 < sketch.quantile(0.5) < 4.1
