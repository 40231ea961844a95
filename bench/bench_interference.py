"""Throttling by learnt interference beside its baselines, on a made-up model of ten instances.

Each line is one load and one configuration: without batch, with batch that is never throttled, and
with the policy, over the same arrivals.  Latencies are what callers see, as ratios to the run
without batch; work is the processor time that batch got, as a share of the unthrottled run's.

Usage: python -m bench.bench_interference
"""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from statistics import mean
from typing import Final

from sapphirelead.model_config import ConfigDocument, InterferencePolicy, Weights
from tests.unit.interference_model import WAVES, Outcome, run

SEEDS: Final = (1, 2, 3)
LOADS: Final = (0.6, 0.7, 0.8)
EXAMPLES: Final = Path(__file__).parent.parent / "examples"
HEADER: Final = (
    f"{'load':>5} {'configuration':<13} {'p99 free':>16} {'p99 held':>16} {'p95 held':>16} "
    f"{'work':>16} {'evictions':>16}"
)


@dataclass(frozen=True, slots=True)
class Ratios:
    """One seed's figures."""

    p99_free: float
    p99_held: float
    p95_held: float
    work: float
    evictions: float


def document(name: str) -> ConfigDocument:
    """Return the default configuration, or the part of an example that shapes this policy."""
    if name == "default":
        return ConfigDocument()
    raw = tomllib.loads((EXAMPLES / f"{name}.toml").read_text())
    return ConfigDocument(
        weights=Weights.model_validate(raw["weights"]),
        interference=InterferencePolicy.model_validate(raw["interference"]),
    )


def measure(cfg: ConfigDocument, load: float, seed: int) -> Ratios:
    """Run one seed three times."""
    idle = run(cfg, seed, load, (), throttling=False)
    free = run(cfg, seed, load, WAVES, throttling=False)
    held = run(cfg, seed, load, WAVES, throttling=True)
    return Ratios(
        free.percentile(0.99) / idle.percentile(0.99),
        held.percentile(0.99) / idle.percentile(0.99),
        held.percentile(0.95) / idle.percentile(0.95),
        _work(held) / _work(free),
        held.evictions,
    )


def main() -> None:
    """Print the table."""
    print(HEADER)
    for load in LOADS:
        for name in ("default", "association", "varshapath"):
            runs = [measure(document(name), load, seed) for seed in SEEDS]
            cells = [
                _spread([r.p99_free for r in runs]),
                _spread([r.p99_held for r in runs]),
                _spread([r.p95_held for r in runs]),
                _spread([r.work for r in runs]),
                _spread([r.evictions for r in runs]),
            ]
            print(f"{load:>5.0%} {name:<13} " + " ".join(f"{cell:>16}" for cell in cells))


def _work(outcome: Outcome) -> float:
    return sum(outcome.work.values())


def _spread(values: list[float]) -> str:
    return f"{mean(values):.2f} ({min(values):.2f}-{max(values):.2f})"


if __name__ == "__main__":
    main()
