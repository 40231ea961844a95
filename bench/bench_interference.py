"""Compares throttling by estimated interference with its baselines on a model of ten instances.

Each line is one load and one configuration, run without batch, with unthrottled batch and with the
policy, over the same arrivals.  Latencies are those seen by callers, relative to the run without
batch; work is the CPU time of batch relative to the unthrottled run.

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
    """Results of one seed."""

    p99_unthrottled: float
    p99_throttled: float
    p95_throttled: float
    work: float
    evictions: float


def document(name: str) -> ConfigDocument:
    """Return the default configuration, or the sections of an example that affect this policy."""
    if name == "default":
        return ConfigDocument()
    raw = tomllib.loads((EXAMPLES / f"{name}.toml").read_text())
    return ConfigDocument(
        weights=Weights.model_validate(raw["weights"]),
        interference=InterferencePolicy.model_validate(raw["interference"]),
    )


def measure(cfg: ConfigDocument, load: float, seed: int) -> Ratios:
    """Run one seed without batch, with unthrottled batch and with throttling."""
    without_batch = run(cfg, seed, load, (), throttling=False)
    unthrottled = run(cfg, seed, load, WAVES, throttling=False)
    throttled = run(cfg, seed, load, WAVES, throttling=True)
    return Ratios(
        unthrottled.percentile(0.99) / without_batch.percentile(0.99),
        throttled.percentile(0.99) / without_batch.percentile(0.99),
        throttled.percentile(0.95) / without_batch.percentile(0.95),
        _work(throttled) / _work(unthrottled),
        throttled.evictions,
    )


def main() -> None:
    """Print the table."""
    print(HEADER)
    for load in LOADS:
        for name in ("default", "association", "varshapath"):
            runs = [measure(document(name), load, seed) for seed in SEEDS]
            cells = [
                _spread([r.p99_unthrottled for r in runs]),
                _spread([r.p99_throttled for r in runs]),
                _spread([r.p95_throttled for r in runs]),
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
