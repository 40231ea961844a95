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

from bench.fleet_simulation import FILL_POLICY, FleetSimulation, FleetSize
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport, AnyNodeMessage, Orders
from sapphirelead.operator_print import table_lines
from sapphirelead.sched_journal import Journal
from sapphirelead.sched_planner import plan, waiting_tasks
from sapphirelead.sched_spec import JobSpec, StepSpec
from sapphirelead.sched_stragglers import review

ROUND_INTERVAL_S: Final = 0.05
"""Time between two rounds of the leader, including the store transaction."""

WARM_UP_S: Final = 2.0
"""Simulated time before the measurement, in which the serving jobs are placed."""

MAX_STEP_TASKS: Final = 60
"""Maximum tasks of a fill step; a job has two steps, each of half as many on average."""

BACKLOG_IMAGES: Final = 18
BACKLOG_TASKS: Final = 12
BACKLOG_MIN_CPU: Final = 2000
BACKLOG_CPU_INCREMENT: Final = 37
BACKLOG_SIZES: Final = 80
BACKLOG_ESTIMATE_MS: Final = 2800
"""Backlog of fill steps with different CPU requests, up to 5 cores."""

ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(AnyNodeMessage)


@dataclass(slots=True)
class CpuTimes:
    """CPU times of one part of the leader's work, one for each round or call."""

    times_s: list[float] = field(default_factory=list)

    @property
    def total_s(self) -> float:
        """Return the total CPU time."""
        return sum(self.times_s)

    def round_ms(self) -> dict[str, float]:
        """Return the mean and maximum CPU time of one round."""
        mean = self.total_s / max(1, len(self.times_s))
        return {"mean": mean * 1000, "max": max(self.times_s, default=0.0) * 1000}


@dataclass(frozen=True, slots=True)
class LeaderCost:
    """CPU cost of the leader of one fleet.

    :ivar starts: task starts per second.
    :ivar shares: share of a core by part of the work.
    :ivar rounds_ms: mean and maximum CPU time of one round by part of the work.
    """

    workers: int
    backlog: int
    starts: float
    shares: dict[str, float]
    rounds_ms: dict[str, dict[str, float]]

    def row(self) -> dict[str, object]:
        """Return the row of the printed table."""
        shares = {name: round(share, 3) for name, share in self.shares.items()}
        total = round(sum(self.shares.values()), 3)
        row: dict[str, object] = {"workers": self.workers, "backlog": self.backlog}
        row |= {"starts": round(self.starts), **shares, "total": total}
        for part, times in self.rounds_ms.items():
            row |= {f"{part}_{name}_ms": round(time_ms, 1) for name, time_ms in times.items()}
        return row


class LeaderSimulation(FleetSimulation):
    """A simulation that measures the CPU time of each part of the leader's work."""

    def __init__(self, seed: int, rate: float, size: FleetSize, backlog: int = 0) -> None:
        super().__init__(seed, rate=rate, size=size)
        self.round_interval_s = ROUND_INTERVAL_S
        self.cpu_times: dict[str, CpuTimes] = {}
        self.starts = 0
        self._journal = Journal()
        self._backlog = backlog
        self._backlog_steps = 0

    def clear(self) -> None:
        """Reset all counters."""
        self.cpu_times.clear()
        self.starts = 0

    @contextmanager
    def _measuring(self, part: str) -> Iterator[None]:
        began = time.process_time()
        yield
        self.cpu_times.setdefault(part, CpuTimes()).times_s.append(time.process_time() - began)

    def _deliver(self, report: AgentReport) -> None:
        frame = ENCODER.encode(report)
        with self._measuring("reports"):
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
                cpu_millicores=BACKLOG_MIN_CPU + BACKLOG_CPU_INCREMENT * (number % BACKLOG_SIZES),
                estimate_ms=BACKLOG_ESTIMATE_MS,
                saves=True,
                fills=True,
                image=f"f{number % BACKLOG_IMAGES}",
            )
            name = f"backlog{number}"
            self._submit(JobSpec(name, "q", "", (step,), FILL_POLICY, accepted_ms=self._wall_ms))
            waiting += BACKLOG_TASKS

    def _decide(self) -> None:
        self._submit_backlog()
        sched = self._sched
        with self._measuring("moves"):
            review(sched, self._now)
        with self._measuring("plan"):
            plan(sched, self._now, self._wall_ms)
        while sched.has_pending_writes:
            with self._measuring("store"):
                batch = sched.take_batch(self._wall_ms)
                self._journal.writes(batch, sched.jobs)
                for effect in batch.effects:
                    effect()
        agents = list(sched.outgoing)
        with self._measuring("orders"):
            orders = {agent: self._orders(agent) for agent in agents}
        for worker in self._workers:
            if worker.name in orders:
                self.starts += len(orders[worker.name].starts)
                self._apply_orders(worker, orders[worker.name])

    def _orders(self, agent: str) -> Orders:
        """Create and encode the orders for an agent as the leader does."""
        sched = self._sched
        instance = sched.fleet.instance(agent)
        starts, stops, stored = sched.orders_for(agent, self._now)
        interference = sched.interference.pair_weights_on(instance)
        orders = Orders(
            1, "e1", "b", 0, 0, WorkerLife("w"), starts, stops, stored, 1, interference=interference
        )
        ENCODER.encode(orders)
        return orders


def measure(workers: int, seconds: float, starts_per_100: float, backlog: int) -> LeaderCost:
    """Simulate a fleet and return the cost of its leader."""
    size = FleetSize(
        workers=workers,
        cpu=64_000,
        serving_jobs=max(2, workers // 6),
        serving_images=12,
        fill_images=32,
        tasks=24,
        max_step_tasks=MAX_STEP_TASKS,
        shared_resources=True,
    )
    rate = starts_per_100 * workers / 100 / MAX_STEP_TASKS
    simulation = LeaderSimulation(1, rate, size, backlog)
    simulation.simulate(WARM_UP_S)
    simulation.clear()
    simulation.advance(seconds)
    shares = {
        part: cpu_times.total_s / seconds
        for part, cpu_times in sorted(simulation.cpu_times.items())
    }
    rounds_ms = {part: simulation.cpu_times[part].round_ms() for part in ("plan", "moves")}
    return LeaderCost(workers, backlog, simulation.starts / seconds, shares, rounds_ms)


def main() -> None:
    """Run the measurements and print the table."""
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
