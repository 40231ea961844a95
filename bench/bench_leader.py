"""What a leader spends by the size of its fleet: real decisions, journal and codec, no network.

Usage:
  bench_leader [--workers=LIST] [--seconds=S] [--starts=N] [--profile]

Options:
  --workers=LIST  Workers of each fleet [default: 40,160,640].
  --seconds=S     Time played of each [default: 10].
  --starts=N      Starts of filling tasks a second for each 100 workers [default: 80].
  --profile       Print where the time went, for each fleet.

Every worker serves, reports as an agent does, and the filling jobs grow with the fleet.  Each row
gives the processor time that a second takes, as a share of a core, by part of the leader's work:
taking reports, moving slow runs, planning, storing, and making orders.
"""

import cProfile
import pstats
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

import msgspec
from docopt import docopt
from loguru import logger

from bench.pressure_world import Size, World
from sapphirelead.node_messages import AgentReport, AnyNodeMessage, Orders
from sapphirelead.operator_print import table_lines
from sapphirelead.sched_journal import Journal
from sapphirelead.sched_planner import plan
from sapphirelead.sched_stragglers import review

ROUND_S: Final = 0.05
"""Time between two rounds: a transaction, the pause after it, and what the round itself takes."""

SETTLE_S: Final = 2.0
"""Time played before anything is counted: the serving jobs have found their places."""

WIDEST: Final = 60
"""Tasks of the widest filling step; the mean is half of that, and each job has two steps."""

ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(AnyNodeMessage)


@dataclass(frozen=True, slots=True)
class Spent:
    """What a fleet cost its leader.

    :ivar shares: by part of the work, its share of a core.
    :ivar starts: starts a second.
    """

    workers: int
    starts: float
    shares: dict[str, float]

    def row(self) -> dict[str, object]:
        """Return the row to print."""
        shares = {name: round(share, 3) for name, share in self.shares.items()}
        total = round(sum(self.shares.values()), 3)
        return {"workers": self.workers, "starts": round(self.starts), **shares, "total": total}


class LeaderWorld(World):
    """A world that counts the processor time of each part of the leader's work."""

    def __init__(self, seed: int, rate: float, size: Size) -> None:
        super().__init__(seed, rate=rate, size=size)
        self.round_s = ROUND_S
        self.spent: dict[str, float] = {}
        self.starts = 0
        self._journal = Journal()

    def clear(self) -> None:
        """Count from now on."""
        self.spent.clear()
        self.starts = 0

    @contextmanager
    def _counting(self, part: str) -> Iterator[None]:
        began = time.process_time()
        yield
        self.spent[part] = self.spent.get(part, 0.0) + time.process_time() - began

    def _deliver(self, report: AgentReport) -> None:
        frame = ENCODER.encode(report)
        with self._counting("reports"):
            message = DECODER.decode(frame)
            assert isinstance(message, AgentReport)
            super()._deliver(message)

    def _decide(self) -> None:
        sched = self._sched
        with self._counting("moves"):
            review(sched, self._at)
        with self._counting("plan"):
            plan(sched, self._at, self._wall_ms)
        while sched.unsaved:
            with self._counting("store"):
                batch = sched.take_batch(self._wall_ms)
                self._journal.writes(batch, sched.jobs)
                for effect in batch.effects:
                    effect()
        agents = list(sched.outgoing)
        with self._counting("orders"):
            orders = {agent: self._orders(agent) for agent in agents}
        for worker in self._workers:
            if worker.name in orders:
                self.starts += len(orders[worker.name].starts)
                self._obey(worker, orders[worker.name])

    def _orders(self, agent: str) -> Orders:
        """Make an agent's orders as the leader sends them."""
        sched = self._sched
        instance = sched.fleet.instance(agent)
        starts, stops, stored = sched.orders_for(agent, self._at)
        press = sched.press.press_on(instance)
        orders = Orders(1, "e1", "b", 0, 0, "w", starts, stops, stored, 1, press=press)
        ENCODER.encode(orders)
        return orders


def measure(workers: int, seconds: float, starts_per_100: float) -> Spent:
    """Play a fleet and return what it cost."""
    size = Size(
        workers=workers,
        cpu=64_000,
        serving_jobs=max(2, workers // 6),
        serving_images=12,
        filling_images=32,
        tasks=24,
        widest=WIDEST,
        shared=True,
    )
    rate = starts_per_100 * workers / 100 / WIDEST
    world = LeaderWorld(1, rate, size)
    world.play(SETTLE_S)
    world.clear()
    world.go_on(seconds)
    shares = {part: spent / seconds for part, spent in sorted(world.spent.items())}
    return Spent(workers, world.starts / seconds, shares)


def main() -> None:
    """Measure and print."""
    args = docopt(__doc__ or "", sys.argv[1:])
    logger.remove()
    rows = []
    for workers in map(int, args["--workers"].split(",")):
        profile = cProfile.Profile()
        if args["--profile"]:
            profile.enable()
        rows.append(measure(workers, float(args["--seconds"]), float(args["--starts"])).row())
        if args["--profile"]:
            profile.disable()
            pstats.Stats(profile).sort_stats("cumulative").print_stats(40)
    for line in table_lines(rows):
        print(line)


if __name__ == "__main__":
    main()
