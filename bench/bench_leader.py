"""What a leader spends by the size of its fleet: real decisions, journal and codec, no network.

Usage:
  bench_leader [--workers=LIST] [--seconds=S] [--starts=N] [--backlog=LIST] [--profile]

Options:
  --workers=LIST  Workers of each fleet [default: 40,160,640].
  --seconds=S     Time played of each [default: 10].
  --starts=N      Starts of filling tasks a second for each 100 workers [default: 80].
  --backlog=LIST  Filling tasks that wait all the time, in steps of many sizes [default: 0].
  --profile       Print where the time went, for each fleet.

Every worker serves, reports as an agent does, and the filling jobs grow with the fleet.  Each row
gives the processor time that a second takes, as a share of a core, by part of the leader's work:
taking reports, moving slow runs, planning, storing, and making orders; then the mean and the
longest time of one plan and of one review of slow runs, in milliseconds of the processor.
"""

import cProfile
import pstats
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import product
from typing import Final

import msgspec
from docopt import docopt
from loguru import logger

from bench.pressure_world import POLICY, Size, World
from sapphirelead.node_messages import AgentReport, AnyNodeMessage, Orders
from sapphirelead.operator_print import table_lines
from sapphirelead.sched_journal import Journal
from sapphirelead.sched_planner import plan, waiting_tasks
from sapphirelead.sched_spec import JobSpec, StepSpec
from sapphirelead.sched_stragglers import review

ROUND_S: Final = 0.05
"""Time between two rounds: a transaction, the pause after it, and what the round itself takes."""

SETTLE_S: Final = 2.0
"""Time played before anything is counted: the serving jobs have found their places."""

WIDEST: Final = 60
"""Tasks of the widest filling step; the mean is half of that, and each job has two steps."""

BACKLOG_IMAGES: Final = 18
BACKLOG_TASKS: Final = 12
BACKLOG_CPU: Final = 2000
BACKLOG_STEP_CPU: Final = 37
BACKLOG_SIZES: Final = 80
BACKLOG_ESTIMATE_MS: Final = 2800
"""The waiting steps.  Each asks for a little more than the one before, up to 5 cores."""

ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(AnyNodeMessage)


@dataclass(slots=True)
class Part:
    """Processor time of one part of the leader's work."""

    times_s: list[float] = field(default_factory=list)

    @property
    def total_s(self) -> float:
        """All of it."""
        return sum(self.times_s)

    def round_ms(self) -> dict[str, float]:
        """Return the mean and the longest time of one round."""
        mean = self.total_s / max(1, len(self.times_s))
        return {"mean": mean * 1000, "max": max(self.times_s, default=0.0) * 1000}


@dataclass(frozen=True, slots=True)
class Spent:
    """What a fleet cost its leader.

    :ivar shares: by part of the work, its share of a core.
    :ivar starts: starts a second.
    :ivar rounds_ms: by part of the work, mean and longest time of one round.
    """

    workers: int
    backlog: int
    starts: float
    shares: dict[str, float]
    rounds_ms: dict[str, dict[str, float]]

    def row(self) -> dict[str, object]:
        """Return the row to print."""
        shares = {name: round(share, 3) for name, share in self.shares.items()}
        total = round(sum(self.shares.values()), 3)
        row: dict[str, object] = {"workers": self.workers, "backlog": self.backlog}
        row |= {"starts": round(self.starts), **shares, "total": total}
        for part, times in self.rounds_ms.items():
            row |= {f"{part}_{name}_ms": round(time_ms, 1) for name, time_ms in times.items()}
        return row


class LeaderWorld(World):
    """A world that counts the processor time of each part of the leader's work."""

    def __init__(self, seed: int, rate: float, size: Size, backlog: int = 0) -> None:
        super().__init__(seed, rate=rate, size=size)
        self.round_s = ROUND_S
        self.spent: dict[str, Part] = {}
        self.starts = 0
        self._journal = Journal()
        self._backlog = backlog
        self._backlog_steps = 0

    def clear(self) -> None:
        """Count from now on."""
        self.spent.clear()
        self.starts = 0

    @contextmanager
    def _counting(self, part: str) -> Iterator[None]:
        began = time.process_time()
        yield
        self.spent.setdefault(part, Part()).times_s.append(time.process_time() - began)

    def _deliver(self, report: AgentReport) -> None:
        frame = ENCODER.encode(report)
        with self._counting("reports"):
            message = DECODER.decode(frame)
            assert isinstance(message, AgentReport)
            super()._deliver(message)

    def _submit_backlog(self) -> None:
        waiting = sum(tasks for step, tasks in waiting_tasks(self._sched) if step.fills)
        while waiting < self._backlog:
            number = self._backlog_steps
            self._backlog_steps += 1
            step = StepSpec(
                tasks=BACKLOG_TASKS,
                cpu_millicores=BACKLOG_CPU + BACKLOG_STEP_CPU * (number % BACKLOG_SIZES),
                estimate_ms=BACKLOG_ESTIMATE_MS,
                saves=True,
                fills=True,
                image=f"f{number % BACKLOG_IMAGES}",
            )
            name = f"backlog{number}"
            self._submit(JobSpec(name, "q", "", (step,), POLICY, accepted_ms=self._wall_ms))
            waiting += BACKLOG_TASKS

    def _decide(self) -> None:
        self._submit_backlog()
        sched = self._sched
        with self._counting("moves"):
            review(sched, self._at)
        with self._counting("plan"):
            plan(sched, self._at, self._wall_ms)
        while sched.has_pending_writes:
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
        interference = sched.interference.pair_weights_on(instance)
        orders = Orders(
            1, "e1", "b", 0, 0, "w", starts, stops, stored, 1, interference=interference
        )
        ENCODER.encode(orders)
        return orders


def measure(workers: int, seconds: float, starts_per_100: float, backlog: int) -> Spent:
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
    world = LeaderWorld(1, rate, size, backlog)
    world.play(SETTLE_S)
    world.clear()
    world.go_on(seconds)
    shares = {part: spent.total_s / seconds for part, spent in sorted(world.spent.items())}
    rounds_ms = {part: world.spent[part].round_ms() for part in ("plan", "moves")}
    return Spent(workers, backlog, world.starts / seconds, shares, rounds_ms)


def main() -> None:
    """Measure and print."""
    args = docopt(__doc__ or "", sys.argv[1:])
    logger.remove()
    rows = []
    seconds, starts = float(args["--seconds"]), float(args["--starts"])
    fleets = product(*(map(int, args[name].split(",")) for name in ("--workers", "--backlog")))
    for workers, backlog in fleets:
        profile = cProfile.Profile()
        if args["--profile"]:
            profile.enable()
        rows.append(measure(workers, seconds, starts, backlog).row())
        if args["--profile"]:
            profile.disable()
            pstats.Stats(profile).sort_stats("cumulative").print_stats(40)
    for line in table_lines(rows):
        print(line)


if __name__ == "__main__":
    main()
