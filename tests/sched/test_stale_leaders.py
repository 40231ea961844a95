"""Leaders that lost the store and still renew leases, beside their successors."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Final

import pytest
from result import Err, Result

import sapphirelead.node_leader as node_leader
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now
from sapphirelead.errors import Failure
from sapphirelead.node_leader import Leader
from sapphirelead.node_messages import AgentReport, Orders, RunEnded, RunPhase, RunStatus
from sapphirelead.ports import Commit, CommitStatus, Row, Txn
from sapphirelead.runner_service import MAX_REPORT_INTERVAL_S
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_timing import START_DEADLINE_S, Bounds
from tests.sched.fakes import NoAdvice, job, worker_info
from tests.sched.successions import heartbeat_of, take_head
from tests.unit.fakes import DOWN, MemoryTable

pytestmark = [pytest.mark.looptime, pytest.mark.timeout(60)]

AGENTS: Final = 3
FAULTS_S: Final = 90.0
RECOVERY_S: Final = 20.0


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # No suspension is simulated, so the clock that includes suspensions equals the loop's clock.
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


class PartitionedTable:
    """A leader's access to the shared table, which a partition can cut.

    :ivar cut: calls fail, and transactions are not applied.
    """

    def __init__(self, table: MemoryTable) -> None:
        self._table = table
        self.cut = False

    async def commit(self, txn: Txn) -> Commit:
        if self.cut:
            await asyncio.sleep(0.3)
            return Commit(CommitStatus.REJECTED)
        return await self._table.commit(txn)

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        return Err(DOWN) if self.cut else await self._table.rows(keys)

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        return Err(DOWN) if self.cut else await self._table.scan(prefix, after, limit)


@dataclass(slots=True)
class Term:
    """A leader with its own access to the table."""

    leader: Leader
    table: PartitionedTable
    rounds: "asyncio.Task[None]"

    @property
    def over(self) -> bool:
        """Whether the leader has ended."""
        return self.rounds.done() or self.leader.resigned


@dataclass(slots=True)
class Agent:
    """An agent whose runs last as long as its lease.

    :ivar term: the leader to which it reports; ``None`` while it is cut off.
    :ivar life: number of the worker's life.
    :ivar met_at: when this process meets the worker.
    :ivar orders: number of the latest orders of the followed leader.
    :ivar epoch: highest epoch of which it has received orders in this process.
    :ivar runs: end of the lease of each run.
    """

    name: str
    term: Term | None = None
    life: int = 0
    met_at: float = 0.0
    boot: int = 0
    epoch: int = 0
    orders: int = 0
    number: int = 0
    leased_until: float = 0.0
    sent_at: dict[int, float] = field(default_factory=dict)
    runs: dict[tuple[str, int], float] = field(default_factory=dict)
    ends: dict[tuple[str, int], RunEnded] = field(default_factory=dict)

    def live_runs(self) -> set[tuple[str, int]]:
        """Return the runs whose lease has not expired."""
        self.meet()
        return {name for name, until in self.runs.items() if until > now()}

    def restart(self) -> None:
        """Replace the process; the worker's runs continue under their lease."""
        self.boot += 1
        self.epoch = self.number = self.orders = 0
        self.sent_at = {}

    def restart_unmet(self, worker_lost: bool, unmet_s: float) -> None:
        """Replace the process by one that meets the worker late.

        :param worker_lost: the worker is lost meanwhile, and another one is met.
        """
        self.restart()
        self.leased_until = 0.0
        self.ends = {}
        self.met_at = now() + unmet_s
        if worker_lost:
            self.life += 1
            self.runs = {}

    def meet(self) -> None:
        """Renew the leases of the runs that are found on the worker when it is met."""
        if self.met_at and self.has_met:
            for name, until in self.runs.items():
                if until > self.met_at:
                    self.runs[name] = max(until, self.leased_until)
            self.met_at = 0.0

    @property
    def has_met(self) -> bool:
        """Whether this process has met the worker."""
        return now() >= self.met_at

    def report(self) -> AgentReport:
        """Return the next full report."""
        self.meet()
        for name in [name for name, until in self.runs.items() if until <= now()]:
            del self.runs[name]
            self.ends[name] = RunEnded(0, *name, "lapsed", "")
        self.number += 1
        self.sent_at[self.number] = now()
        statuses = [RunStatus(*name, RunPhase.RUNNING, 100) for name in self.runs]
        return AgentReport(
            self.name,
            f"b{self.boot}",
            self.number,
            self.epoch,
            1,
            worker_info(f"w-{self.name}-{self.life}") if self.has_met else None,
            True,
            statuses if self.has_met else [],
            list(self.ends.values()) if self.has_met else [],
            orders=self.orders,
        )


class StaleLeaders:
    """Successive leaders on one table, of which earlier ones may not know that they are deposed.

    :ivar overlaps: pairs of live runs of one task.
    """

    def __init__(self, seed: int, has_heartbeats: bool = False) -> None:
        """Create a succession without leaders.

        :param has_heartbeats: each successor has heard its predecessor, which dates its rows.
        """
        self.has_heartbeats = has_heartbeats
        self.rng = random.Random(seed)
        self.table = MemoryTable()
        self.table.has_clock = seed % 3 > 0
        self.agents = [Agent(f"g{number}") for number in range(AGENTS)]
        self.terms: list[Term] = []
        self.overlaps: list[str] = []
        self.starts = 0

    def _send(self, agent_name: str, orders: Orders) -> bool:
        agent = next(agent for agent in self.agents if agent.name == agent_name)
        if orders.boot != f"b{agent.boot}" or orders.epoch < agent.epoch:
            return True
        if agent.term is None or agent.term.leader.head.epoch != orders.epoch:
            return False
        agent.epoch, agent.orders = orders.epoch, orders.number
        if orders.report_number:
            agent.leased_until = max(
                agent.leased_until, agent.sent_at[orders.report_number] + Bounds().lease_s
            )
        if not agent.has_met:
            return True
        if orders.report_number:
            for name in agent.live_runs():
                agent.runs[name] = max(agent.runs[name], agent.leased_until)
        for name in orders.stored:
            agent.ends.pop(name, None)
        for stop in orders.stops:
            if agent.runs.pop((stop.task, stop.attempt), None) is not None:
                ended = RunEnded(0, stop.task, stop.attempt, "stopped", "")
                agent.ends[stop.task, stop.attempt] = ended
        for start in orders.starts:
            self._start(agent, (start.task, start.attempt))
        return True

    def _start(self, agent: Agent, name: tuple[str, int]) -> None:
        if name in agent.runs or name in agent.ends:
            return
        self.starts += 1
        agent.runs[name] = max(now() + START_DEADLINE_S, agent.leased_until)
        for other in self.agents:
            if other is not agent and any(task == name[0] for task, _ in other.live_runs()):
                self.overlaps.append(f"{now():.2f} {name} on {agent.name} and {other.name}")

    async def elect(self) -> None:
        """Elect a leader that can reach the store."""
        table = PartitionedTable(self.table)
        heartbeat = None
        if self.has_heartbeats and self.terms:
            heartbeat = heartbeat_of(self.terms[-1].leader)
        head = await take_head(table, f"e{len(self.terms)}", heartbeat)
        leader = Leader(Bounds(), head, table, NoAdvice(), self._send)
        await leader.load()
        self.terms.append(Term(leader, table, asyncio.create_task(leader.run())))

    async def report_to_leaders(self) -> None:
        """Let every agent report to the leader that it follows."""
        while True:
            for agent in self.agents:
                term = agent.term
                if term is not None and not term.over and term.leader.serving:
                    if term.leader.head.epoch >= agent.epoch:
                        term.leader.on_report(agent.report())
                elif term is not None and self.terms and not self.terms[-1].over:
                    agent.term = self.terms[-1]
            await asyncio.sleep(MAX_REPORT_INTERVAL_S)

    async def inject_faults(self, until: float, unmet_share: float = 0.0) -> None:
        """Replace leaders and cut off, restart and misdirect agents at random.

        :param unmet_share: share of the restarts after which the worker is met late.
        """
        while now() < until:
            await asyncio.sleep(self.rng.uniform(0.1, 4.0))
            agent = self.rng.choice(self.agents)
            match self.rng.randrange(5):
                case 0:
                    self.terms[-1].rounds.cancel()
                    self.terms[-1].leader.resign()
                    await self.elect()
                case 1:
                    self.terms[-1].table.cut = True
                    await self.elect()
                case 2:
                    agent.term = None
                case 3:
                    # Without such restarts nothing is drawn, so that a seed keeps its faults.
                    if unmet_share and self.rng.random() < unmet_share:
                        lost, unmet_s = self.rng.random() < 0.5, self.rng.uniform(0.5, 16.0)
                        agent.restart_unmet(lost, unmet_s)
                    else:
                        agent.restart()
                    agent.term = self.rng.choice(self.terms[-2:])
                case 4:
                    agent.term = self.terms[-1]


@asynccontextmanager
async def running(leaders: StaleLeaders) -> AsyncIterator[None]:
    """Run the first leader and the agents."""
    await leaders.elect()
    for agent in leaders.agents:
        agent.term = leaders.terms[0]
    reports = asyncio.create_task(leaders.report_to_leaders())
    try:
        yield
    finally:
        tasks: list[asyncio.Task[Any]] = [reports, *(term.rounds for term in leaders.terms)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize("has_heartbeats", [False, True])
@pytest.mark.parametrize("seed", range(40))
async def test_no_task_runs_twice_beside_a_stale_leader(seed: int, has_heartbeats: bool) -> None:
    """Guards against counting a run as ended that a previous leader may still keep alive."""
    await run_long_running_tasks(seed, has_heartbeats)


@pytest.mark.parametrize("has_heartbeats", [False, True])
@pytest.mark.parametrize("seed", range(40))
async def test_no_task_runs_twice_while_workers_are_unmet(seed: int, has_heartbeats: bool) -> None:
    """Guards against counting a run as ended whose lease a restarted agent may have renewed."""
    await run_long_running_tasks(seed, has_heartbeats, unmet_share=0.8)


async def run_long_running_tasks(seed: int, has_heartbeats: bool, unmet_share: float = 0.0) -> None:
    """Run long-running tasks with random faults; each must run once, and run in the end.

    :param unmet_share: see :meth:`StaleLeaders.inject_faults`.
    """
    leaders = StaleLeaders(seed, has_heartbeats)
    async with running(leaders):
        sched = leaders.terms[0].leader.sched
        for number in range(4):
            spec = job(f"a{number}", StepSpec(cpu_millicores=1000, lasting=True))
            sched.submit(spec, lambda *_: None)
        await asyncio.sleep(2.0)
        await leaders.inject_faults(now() + FAULTS_S, unmet_share)
        if leaders.terms[-1].over or leaders.terms[-1].table.cut:
            await leaders.elect()
        for agent in leaders.agents:
            agent.term = leaders.terms[-1]
        await asyncio.sleep(RECOVERY_S)
        tasks = [task for agent in leaders.agents for task, _ in agent.live_runs()]
    assert leaders.overlaps == []
    assert sorted(tasks) == [f"a{number}.0.0.0" for number in range(4)]
