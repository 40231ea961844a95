"""How well filling work is placed and paced beside serving tasks whose loads swing.

Usage:
  bench_pressure [--seeds=N] [--seconds=S] [--rates=LIST]

Options:
  --seeds=N      Worlds played for each rate [default: 6].
  --seconds=S    Time played of each [default: 60].
  --rates=LIST   Filling jobs a second [default: 0.6,0.9,1.2].

Each world is played twice: by what the product learns, and by a decider that knows the true
pressure and the loads of the next two seconds.  The bars show the share of the filling jobs that
ended in time.
"""

import statistics
import sys
from typing import Final

from docopt import docopt
from loguru import logger

from bench.fleet_simulation import SimulationResult, simulate
from sapphirelead.operator_print import table_lines

PLOT_WIDTH: Final = 40


def main() -> None:
    """Run the simulations and print the table."""
    args = docopt(__doc__ or "", sys.argv[1:])
    logger.remove()
    rows = []
    for rate in map(float, args["--rates"].split(",")):
        for name, oracle in (("learnt", False), ("knows all", True)):
            results = [
                simulate(seed, oracle, float(args["--seconds"]), rate)
                for seed in range(int(args["--seeds"]))
            ]
            rows.append({"rate": rate, "decider": name, **_summary(results)})
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
        "plot": "#" * round(mean * PLOT_WIDTH),
    }


if __name__ == "__main__":
    main()
