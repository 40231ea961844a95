"""Plays random days of faults and calm on a simulated fleet."""

import math
import random
from collections.abc import Callable
from typing import Final

from tests.sched.waits_jobs import random_job
from tests.sched.waits_judge import Judge
from tests.sched.waits_world import Failing, Site, WaitsWorld

CALM_S: Final = 25.0
MAX_LASTING_SHARES: Final = (0.3, 0.4, 0.55)
"""Maximum shares of the fleet's CPU that long-running tasks request."""

QUICK: Final = (0.0, 0.05)
LATE: Final = (1.0, 5.0)

Fault = Callable[["Play"], None]


class Play:
    """One day: random faults with jobs that arrive, and then a calm stretch.

    :ivar trouble_s: duration of the faults.
    """

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        sites = [
            Site(f"g{number}", rng.choice([4000, 8000, 16_000]), labels=self._labels())
            for number in range(rng.randint(3, 8))
        ]
        self.world = WaitsWorld(rng, sites)
        self.judge = Judge(self.world)
        self.trouble_s = rng.uniform(15.0, 35.0)
        self.faults = rng.sample(FAULTS, rng.randint(1, len(FAULTS)))
        self._lasting_share = rng.choice(MAX_LASTING_SHARES)
        self._lasting_jobs: list[tuple[str, int]] = []
        self._until: list[tuple[float, Callable[[], None]]] = []
        self._lasting_cpu = 0
        self._cpu = sum(site.cpu for site in sites)
        self._jobs = 0
        self._victim = ""

    def _labels(self) -> tuple[str, ...]:
        return self.rng.choice([("a", "r1"), ("b", "r2"), ("a", "r2")])

    def run(self) -> Judge:
        """Play the day; return what was seen."""
        begin_at = self.world.at
        trouble_until = begin_at + self.trouble_s
        end_at = trouble_until + CALM_S
        next_fault_at = begin_at + self.rng.uniform(2.0, 8.0)
        finale_at = trouble_until - self.rng.uniform(3.0, 10.0)
        next_job_at = begin_at
        while self.world.at < end_at or self._until:
            if self.world.at >= next_job_at:
                self._submit()
                self._change_work()
                next_job_at = self.world.at + self.rng.expovariate(0.7)
            if next_fault_at <= self.world.at < trouble_until:
                self.rng.choice(self.faults)(self)
                next_fault_at = self.world.at + self.rng.expovariate(0.6)
            if self.world.at >= finale_at:
                finale_at = math.inf
                self._finale()
            self._end_faults()
            self.world.tick()
            self.judge.check()
        return self.judge

    def _end_faults(self) -> None:
        for item in list(self._until):
            until, restore = item
            if self.world.at >= until:
                self._until.remove(item)
                restore()
        if self._until:
            self.world.disturbed_at = self.world.at

    def during(self, duration_s: float, restore: Callable[[], None] = lambda: None) -> None:
        """Count the time as disturbed, and undo a fault at its end."""
        self._until.append((self.world.at + duration_s, restore))

    def _submit(self) -> None:
        self._jobs += 1
        spec = random_job(self.rng, f"j{self._jobs}", int(self.world.at * 1000))
        cpu = sum(step.tasks * step.cpu_millicores for step in spec.steps if step.lasting)
        if cpu and self._lasting_cpu + cpu > self._lasting_share * self._cpu:
            return
        if cpu:
            self._lasting_cpu += cpu
            self._lasting_jobs.append((spec.job_id, cpu))
        if not cpu and self.rng.random() < 0.06:
            self.world.broken.add(spec.job_id)
        self.world.submit(spec)

    def _change_work(self) -> None:
        """Cancel a long-running job or drain a worker, neither of which counts as disturbance."""
        chance = self.rng.random()
        if chance < 0.1 and self._lasting_jobs and self.world.sched is not None:
            job_id, cpu = self._lasting_jobs.pop(0)
            self._lasting_cpu -= cpu
            self.world.sched.cancel(job_id, lambda *_: None)
        elif chance > 0.95:
            self.drain_worker()

    def _finale(self) -> None:
        """End the trouble, on some days, with workers that fail while others are lost."""
        if self.rng.random() < 0.5:
            self.fail_workers()
            for _ in range(self.rng.randint(0, 2)):
                self.crash_worker()
            if self.rng.random() < 0.5:
                self.silence_agent()

    def up(self) -> Site:
        """Return a random worker."""
        return self.rng.choice(list(self.world.sites.values()))

    # Faults

    def fail_worker(self) -> None:
        """Let a worker fail all or half of what it starts."""
        self._fail(self.up(), self.rng.uniform(2.0, 15.0))

    def fail_workers(self) -> None:
        """Let all workers fail what they start."""
        duration_s = self.rng.uniform(4.0, 20.0)
        for site in self.world.sites.values():
            if self.rng.random() < 0.9:
                self._fail(site, duration_s * self.rng.choice([0.5, 1.0, 1.0]))

    def _fail(self, site: Site, duration_s: float) -> None:
        if site.failing is None:
            share, times = self.rng.choice([1.0, 0.5]), self.rng.choice([QUICK, LATE])
            site.failing = Failing(share, *times)
            self.during(duration_s, lambda: setattr(site, "failing", None))

    def slow_worker(self) -> None:
        """Let a worker's batch runs crawl."""
        site = self.up()
        if not site.slow:
            site.slow = True
            self.during(self.rng.uniform(3.0, 10.0), lambda: setattr(site, "slow", False))

    def crash_worker(self) -> None:
        """Crash a worker, which returns with another life."""
        self._crash(self.up())

    def _crash(self, site: Site) -> None:
        if not site.down_until:
            restart_s = self.rng.uniform(0.5, 4.0)
            self.world.crash(site, restart_s)
            self.during(restart_s)

    def crash_victim(self) -> None:
        """Crash the worker that runs a certain task, which so becomes suspected."""
        running = {task: site for site in self.world.sites.values() for task, _ in site.runs}
        if self._victim not in running:
            self._victim = self.rng.choice(list(running)) if running else ""
        if self._victim in running:
            self._crash(running[self._victim])

    def silence_agent(self) -> None:
        """Cut an agent off for some seconds."""
        site = self.up()
        duration_s = self.rng.choice([2.0, 6.0, 11.0]) * self.rng.uniform(0.5, 1.0)
        site.silent_until = self.world.at + duration_s
        self.during(duration_s)

    def refuse_starts(self) -> None:
        """Let a worker refuse starts for lack of room."""
        site = self.up()
        duration_s = self.rng.uniform(0.5, 5.0)
        site.refuses_until = self.world.at + duration_s
        self.during(duration_s)

    def drain_worker(self) -> None:
        """Let a worker leave; another life follows it."""
        site = self.up()
        if not site.down_until and not site.draining_until:
            site.draining_until = self.world.at + self.rng.uniform(2.0, 8.0)

    def submit_poison(self) -> None:
        """Hand in a job whose task crashes its workers."""
        self._jobs += 1
        spec = random_job(self.rng, f"p{self._jobs}", int(self.world.at * 1000))
        if len(self.world.poison) < 2 and not spec.occurrences:
            self.world.poison.add(spec.job_id)
            self.world.submit(spec)

    def change_leaders(self) -> None:
        """Let one to four leaders follow each other."""
        self._change_leader(self.rng.randint(1, 4))

    def _change_leader(self, left: int) -> None:
        if left:
            self.world.kill_leader(self.rng.uniform(0.1, 1.5))
            self.during(self.rng.uniform(1.0, 4.0), lambda: self._change_leader(left - 1))


FAULTS: Final[list[Fault]] = [
    Play.fail_worker,
    Play.fail_worker,
    Play.fail_workers,
    Play.fail_workers,
    Play.slow_worker,
    Play.crash_worker,
    Play.crash_victim,
    Play.silence_agent,
    Play.refuse_starts,
    Play.drain_worker,
    Play.submit_poison,
    Play.change_leaders,
]
