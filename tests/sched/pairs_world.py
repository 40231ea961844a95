"""Simulation of two faults shortly after each other, with a check of every run's true life.

Extends :mod:`tests.sched.world`: no message is lost or late but by a fault, leaders last until one
is killed, and every few milliseconds all workers are compared with each other and with the claims
of the leader.
"""

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final, cast

from sapphirelead.clock import now
from sapphirelead.node_messages import AnyNodeMessage
from sapphirelead.runner_service import Runner
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_journal import JOURNAL_PREFIX, SNAPSHOT_PREFIX, SPEC_PREFIX, Journal
from sapphirelead.sched_renewals import PriorRenewals
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import HEAD_LEASE_S, Bounds
from tests.sched.fakes import job
from tests.sched.world import CheckedWorker, FaultSimulation, FaultyLinks, Slot

SLOTS: Final = 4
SETTLE_S: Final = 4.0
AFTERMATH_S: Final = 16.0
CHECK_INTERVAL_S: Final = 0.01
LEASES_S: Final = (6.0, 10.0)
GAPS_S: Final = (0.1, 0.3, 0.6, 1.0, 2.0, 3.0)
MESSAGE_S: Final = 0.002
LONG_RUN_S: Final = 600.0


class PairWorker(CheckedWorker):
    """A worker whose stops take their time, and whose work ends by the kind of its task."""

    def __init__(self, simulation: "PairSimulation") -> None:
        super().__init__(simulation)
        self.work_s = LONG_RUN_S
        self.grace_s = simulation.rng.uniform(0.0, simulation.bounds.kill_grace_s)
        simulation.workers.append(self)


class NoLinks(FaultyLinks):
    """Links of a killed process."""

    def send(self, name: str, message: AnyNodeMessage) -> bool:
        return False


@dataclass
class PairSimulation(FaultSimulation):
    """A fleet with two faults.

    :ivar workers: all workers of the simulation, also those that have been replaced.
    :ivar trace: the faults.
    :ivar claimed: runs that a leader has had a claim for.
    """

    lease_max_s: float = 10.0
    faults: tuple[str, str] = ("", "")
    gap_s: float = 0.0
    workers: list[PairWorker] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)
    leader_killed: asyncio.Event = field(default_factory=asyncio.Event)
    store_away_until: float = 0.0
    late_until: float = 0.0
    late_s: float = 0.0
    answer_delay_s: float = MESSAGE_S
    late_slot: Slot | None = None
    committed_at: float = 0.0
    claimed: set[tuple[str, int]] = field(default_factory=set)
    reported: set[str] = field(default_factory=set)

    @property
    def bounds(self) -> Bounds:
        return Bounds(lease_max_s=self.lease_max_s)

    # Checks

    async def check_runs(self) -> None:
        """Compare the runs on all workers with each other and with the leader's claims."""
        while True:
            true_runs: dict[str, list[tuple[str, int]]] = {}
            for worker in self.workers:
                worker.advance()
                for task, attempt in worker.runs:
                    true_runs.setdefault(task, []).append((task, attempt))
            if self.sched is not None:
                self.claimed |= {(ref.text(), n) for ref, n in self.sched.fleet.runs}
            for task, runs in true_runs.items():
                if len(runs) > 1:
                    self.record(f"{task} runs twice")
                for name in runs:
                    self._check_claim(name)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check_claim(self, name: tuple[str, int]) -> None:
        ref = TaskRef.parse(name[0])
        if self.sched is None or ref is None or name not in self.claimed:
            return
        if (ref, name[1]) not in self.sched.fleet.runs:
            self.record(f"the claim of {name[0]} {name[1]} has ended before its run")

    def record(self, text: str) -> None:
        """Record a violation once."""
        if text not in self.reported:
            self.reported.add(text)
            self.violations.append(f"{now():.2f} {text}")

    # Messages

    def deliver_later(self, deliver: Any) -> None:
        """Deliver with a short delay."""
        asyncio.get_running_loop().call_later(self.answer_delay_s, deliver)

    def answer(self, slot: Slot, report_number: int) -> None:
        """Answer as a leader that neither renews nor starts once its last commit is too old."""
        if now() - self.committed_at > HEAD_LEASE_S:
            return
        self.answer_delay_s = MESSAGE_S
        if slot is self.late_slot and now() < self.late_until:
            self.answer_delay_s = self.late_s
        super().answer(slot, report_number)
        self.answer_delay_s = MESSAGE_S

    # Leaders

    async def run_leaders(self) -> None:
        prior: PriorRenewals | None = None
        while True:
            self.epoch += 1
            found = [
                [self.table.data[key] for key in sorted(self.table.data) if key.startswith(prefix)]
                for prefix in (SPEC_PREFIX, SNAPSHOT_PREFIX, JOURNAL_PREFIX)
            ]
            journal, jobs = Journal.load(*found)
            sched = Scheduler(self.bounds, now(), prior=prior)
            for loaded in jobs.values():
                sched.load(loaded)
            self.sched, self.committed_at = sched, now()
            self.leader_killed.clear()
            rounds = asyncio.create_task(self.run_rounds(sched, journal, float("inf")))
            waiting = asyncio.create_task(self.leader_killed.wait())
            done, _ = await asyncio.wait({rounds, waiting}, return_when=asyncio.FIRST_COMPLETED)
            if rounds in done:
                rounds.result()
            rounds.cancel()
            self.sched = None
            prior = PriorRenewals.unknown(self.committed_at)
            await asyncio.sleep(self.rng.uniform(0.2, 3.0))

    async def wait_for_store(self) -> None:
        while now() < self.store_away_until:
            await asyncio.sleep(0.05)
        self.committed_at = now()

    # Faults

    async def inject_faults(self) -> None:
        """Inject the two faults, mostly beside the same worker; only beside workers with runs."""
        await asyncio.sleep(SETTLE_S + self.rng.uniform(0.0, 1.0))
        busy = [slot for slot in self.slots if slot.worker.runs] or self.slots
        first = self.rng.choice(busy)
        second = first if self.rng.random() < 0.7 else self.rng.choice(busy)
        pending = [asyncio.create_task(self._inject(self.faults[0], first))]
        await asyncio.sleep(self.gap_s)
        pending.append(asyncio.create_task(self._inject(self.faults[1], second)))
        await asyncio.gather(*pending)

    async def _inject(self, fault: str, slot: Slot) -> None:
        self.trace.append(f"{now():.2f} {fault} {slot.name}")
        await self.fault(fault)(slot)
        self.trace.append(f"{now():.2f} {fault} over")

    def fault(self, name: str) -> Callable[[Slot], Awaitable[None]]:
        """Return the fault of that name."""
        return functools.partial(FAULTS[name], self)

    def make_worker(self) -> PairWorker:
        """Return a new worker."""
        return PairWorker(self)

    def make_slot(self, name: str) -> Slot:
        """Return a place for an agent and its worker."""
        return Slot(name, self.make_worker())

    async def cut_agent(self, slot: Slot) -> None:
        slot.partitioned = True
        await asyncio.sleep(self.rng.uniform(0.5, 14.0))
        slot.partitioned = False

    async def kill_agent(self, slot: Slot) -> None:
        runner, slot.runner = slot.runner, None
        if runner is None:
            return
        await kill(runner)
        await asyncio.sleep(self.rng.uniform(0.1, 6.0))
        if slot.runner is None:
            await self.start_agent(slot)

    async def kill_leader(self, slot: Slot) -> None:
        self.leader_killed.set()

    async def refuse(self, slot: Slot) -> None:
        worker = slot.worker
        worker.refuses = True
        await asyncio.sleep(self.rng.uniform(0.3, 14.0))
        worker.refuses = worker.dead

    async def darken(self, slot: Slot) -> None:
        worker = slot.worker
        worker.not_responding = True
        await asyncio.sleep(self.rng.uniform(0.5, 14.0))
        worker.not_responding = False

    async def crash_worker(self, slot: Slot) -> None:
        crashed = slot.worker
        crashed.crash()
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        if slot.worker is crashed:
            slot.generation += 1
            slot.worker = self.make_worker()

    async def lose_store(self, slot: Slot) -> None:
        self.store_away_until = now() + self.rng.uniform(0.5, 9.0)

    async def lose_answers(self, slot: Slot) -> None:
        kinds = ["lost", "late", "unanswered"]
        slot.worker.faults = [self.rng.choice(kinds) for _ in range(self.rng.randint(1, 8))]
        slot.worker.late_s = self.rng.uniform(0.5, 4.0)

    async def delay_orders(self, slot: Slot) -> None:
        self.late_slot = slot
        self.late_s = self.rng.uniform(0.3, 3.0)
        self.late_until = now() + self.rng.uniform(0.5, 4.0)

    async def churn(self) -> None:
        """End runs now and then, so that tasks start again all the time."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            runs = [(w, run) for w in self.workers for run in w.runs.values()]
            if runs:
                worker, run = self.rng.choice(runs)
                run.kind = "failed"
                run.ends_at = now()
                worker.advance()

    async def run_pair(self) -> None:
        """Play the two faults and their aftermath."""
        self.faults_stopped = True
        self.slots = [self.make_slot(f"g{number}") for number in range(SLOTS)]
        for slot in self.slots:
            await self.start_agent(slot)
        works = (
            self.run_leaders(),
            self.send_heartbeats(),
            self.submit_jobs(),
            self.churn(),
            self.check_runs(),
            self.inject_faults(),
        )
        tasks = [asyncio.create_task(work) for work in works]
        await asyncio.sleep(SETTLE_S + self.gap_s + AFTERMATH_S)
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for slot in self.slots:
            if slot.runner is not None:
                await kill(slot.runner)
        for worker in self.workers:
            await worker.close()
        errors = [result for result in results if isinstance(result, Exception)]
        if errors:
            raise errors[0]


async def kill(runner: Runner) -> None:
    """End an agent's process without a last message or call."""
    links = cast(FaultyLinks, runner._links)
    runner._links = cast(Any, NoLinks(links.simulation, links.slot))
    tasks = list(runner._tasks)
    if runner._life_task is not None:
        tasks.append(runner._life_task)
    if runner._life is not None:
        tasks += runner._life._tasks
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


FAULTS: Final[dict[str, Callable[[PairSimulation, Slot], Awaitable[None]]]] = {
    "agent_cut": PairSimulation.cut_agent,
    "agent_killed": PairSimulation.kill_agent,
    "leader_killed": PairSimulation.kill_leader,
    "worker_refuses": PairSimulation.refuse,
    "worker_dark": PairSimulation.darken,
    "worker_crash": PairSimulation.crash_worker,
    "store_away": PairSimulation.lose_store,
    "answers_lost": PairSimulation.lose_answers,
    "orders_late": PairSimulation.delay_orders,
}

PAIRS: Final = [(first, second) for first in FAULTS for second in FAULTS]


def pair_jobs(rng: random.Random) -> list[JobSpec]:
    """Return jobs of long-running tasks that half fill the workers."""
    step = StepSpec(tasks=3, cpu_millicores=1000, memory_mb=100, lasting=True)
    policy = QueuePolicy("svc", max_failures=10_000)
    return [job(f"{number:04x}", step, policy=policy) for number in range(5)]


def make_pair(seed: int) -> PairSimulation:
    """Return the simulation of a seed; successive seeds go through all pairs."""
    rng = random.Random(seed)
    return PairSimulation(
        seed,
        pair_jobs(rng),
        lease_max_s=rng.choice(LEASES_S),
        faults=PAIRS[seed * 37 % len(PAIRS)],
        gap_s=rng.choice(GAPS_S),
    )
