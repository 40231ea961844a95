"""How well filling work is placed and paced beside serving tasks whose loads swing.

Usage:
  bench_pressure [--seeds=N] [--seconds=S] [--rates=LIST] [--poison=N] [--size=NAME]

Options:
  --seeds=N      Worlds played for each rate [default: 6].
  --seconds=S    Time played of each [default: 60].
  --rates=LIST   Filling jobs a second [default: 0.6,0.9,1.2].
  --poison=N     Play each world with and without N jobs whose task crashes its workers, instead
                 of by two deciders.
  --size=NAME    Fleet that is modelled: small, large or wide [default: small].

Each world is played twice: by what the product learns, and by a decider that knows the true
pressure and the loads of the next two seconds.  The bars show the share of the filling jobs that
ended in time.  With poison jobs, every figure but ``crashes`` is of the others; ``serving`` is the
share of the serving tasks that run.
"""

import statistics
import sys
from typing import Final, TypedDict

from docopt import docopt
from loguru import logger

from bench.fleet_simulation import LARGE, SMALL, WIDE, SimulationResult, simulate
from sapphirelead.operator_print import table_lines

PLOT_WIDTH: Final = 40

SIZES: Final = {"small": SMALL, "large": LARGE, "wide": WIDE}


class Variant(TypedDict, total=False):
    """What differs between two simulations of a world."""

    oracle: bool
    poison_jobs: int


def main() -> None:
    """Run the simulations and print the table."""
    args = docopt(__doc__ or "", sys.argv[1:])
    logger.remove()
    rows = []
    poison = int(args["--poison"] or 0)
    variants: dict[str, Variant] = {"learnt": {}, "knows all": {"oracle": True}}
    if poison:
        variants = {"no poison": {"poison_jobs": 0}, f"{poison} poison": {"poison_jobs": poison}}
    for rate in map(float, args["--rates"].split(",")):
        for name, variant in variants.items():
            results = [
                simulate(
                    seed,
                    seconds=float(args["--seconds"]),
                    rate=rate,
                    size=SIZES[args["--size"]],
                    **variant,
                )
                for seed in range(int(args["--seeds"]))
            ]
            rows.append({"rate": rate, "variant": name, **_summary(results)})
    for line in table_lines(rows):
        print(line)


def _summary(results: list[SimulationResult]) -> dict[str, object]:
    in_time = sorted(result.in_time for result in results)
    mean = statistics.fmean(in_time)
    return {
        "in_time": round(mean, 3),
        "worst": round(in_time[0], 3),
        "median": round(statistics.median(in_time), 3),
        "used_cores": round(statistics.fmean(result.used_cores for result in results), 1),
        "over_target": round(statistics.fmean(result.over_target for result in results), 2),
        "serving": round(statistics.fmean(result.serving for result in results), 3),
        "completed": round(statistics.fmean(result.completed for result in results), 1),
        "failed": sum(result.failed for result in results),
        "crashes": sum(result.crashes for result in results),
        "plot": "#" * round(mean * PLOT_WIDTH),
    }


if __name__ == "__main__":
    main()
