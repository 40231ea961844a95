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

from bench.pressure_world import Played, play
from sapphirelead.operator_print import table_lines

BAR: Final = 40


def main() -> None:
    """Play and print."""
    args = docopt(__doc__ or "", sys.argv[1:])
    logger.remove()
    rows = []
    for rate in map(float, args["--rates"].split(",")):
        for name, knows_all in (("learnt", False), ("knows all", True)):
            played = [
                play(seed, knows_all, float(args["--seconds"]), rate)
                for seed in range(int(args["--seeds"]))
            ]
            rows.append({"rate": rate, "decider": name, **_summary(played)})
    for line in table_lines(rows):
        print(line)


def _summary(played: list[Played]) -> dict[str, object]:
    in_time = sorted(item.in_time for item in played)
    mean = statistics.fmean(in_time)
    return {
        "in_time": round(mean, 3),
        "worst": round(in_time[0], 3),
        "median": round(statistics.median(in_time), 3),
        "used_cores": round(statistics.fmean(item.used_cores for item in played), 1),
        "over_target": round(statistics.fmean(item.over_target for item in played), 2),
        "plot": "#" * round(mean * BAR),
    }


if __name__ == "__main__":
    main()
