"""Simulation of an overloaded leader with agents and a follower that are not overloaded.

Processor time is simulated: work advances the loop's clock without waiting, so that timers fire
late, as on a busy machine.  Messages to the leader stay unread until the loop gets to them.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import pytest

from sapphirelead.clock import now
from sapphirelead.node_election import Election
from sapphirelead.node_intake import LoopYielder
from sapphirelead.node_leader import Leader
from sapphirelead.node_messages import AgentReport, Orders, RunEnded, RunPhase, RunStatus
from sapphirelead.runner_service import FULL_REPORT_INTERVAL_S, MAX_REPORT_INTERVAL_S
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S
from tests.sched.fakes import worker_info

STOP_DURATION_S: Final = 0.05
"""Time from a stop's arrival at an agent to the end of the run."""

REPORT_DELAY_S: Final = 0.02
"""Time from a change at an agent to the report of it."""

POLL_INTERVAL_S: Final = 0.005
"""Interval at which the leader reads messages that have arrived."""


def simulated_work(monkeypatch: pytest.MonkeyPatch) -> Callable[[float], None]:
    """Return a function that consumes simulated processor time of the running loop."""
    loop: Any = asyncio.get_running_loop()
    time = loop.time
    worked_s = 0.0

    def take(seconds: float) -> None:
        nonlocal worked_s
        worked_s += seconds

    monkeypatch.setattr(loop, "time", lambda: time() + worked_s)
    return take


@dataclass(slots=True)
class SimulatedAgent:
    """An agent with its own processor: it reports in time even if reports are read late.

    :ivar leased_until: end of its lease.
    :ivar late_renewals: times at which a renewal arrived after the lease had expired.
    :ivar ended_at: time at which each run ended, by task and attempt.
    :ivar stored_at: time at which the leader confirmed that the end of a run is stored.
    :ivar starts: number of start orders received for each run.
    """

    name: str
    lease_s: float
    leased_until: float = 1e9
    late_renewals: list[float] = field(default_factory=list)
    ended_at: dict[tuple[str, int], float] = field(default_factory=dict)
    stored_at: dict[tuple[str, int], float] = field(default_factory=dict)
    starts: dict[tuple[str, int], int] = field(default_factory=dict)
    _epoch: int = 0
    _orders: int = 0
    _report_number: int = 0
    _due: float = 0.0
    _full_at: float = -1e9
    _made_at: dict[int, float] = field(default_factory=dict)
    _received: deque[tuple[float, Orders]] = field(default_factory=deque)
    _runs: dict[tuple[str, int], RunStatus] = field(default_factory=dict)
    _ends: dict[tuple[str, int], RunEnded] = field(default_factory=dict)

    def get(self, orders: Orders) -> None:
        """Receive orders."""
        at = now()
        self._received.append((at, orders))
        if orders.starts or orders.stops:
            self._due = min(self._due, at + STOP_DURATION_S + REPORT_DELAY_S)
        if orders.report_number:
            if at > self.leased_until:
                self.late_renewals.append(at)
            self.leased_until = self._made_at[orders.report_number] + self.lease_s

    def reports(self, until: float) -> list[AgentReport]:
        """Return the reports made since the last call."""
        found = []
        while self._due <= until:
            found.append(self._report(self._due))
            self._due += MAX_REPORT_INTERVAL_S
        return found

    def _report(self, at: float) -> AgentReport:
        while self._received and self._received[0][0] < at:
            self._execute(*self._received.popleft())
        full = at - self._full_at >= FULL_REPORT_INTERVAL_S
        if full:
            self._full_at = at
        self._report_number += 1
        self._made_at[self._report_number] = at
        return AgentReport(
            self.name,
            "b",
            self._report_number,
            self._epoch,
            1,
            worker_info(f"w-{self.name}", cpu=32_000),
            full,
            list(self._runs.values()) if full else [],
            list(self._ends.values()),
            orders=self._orders,
        )

    def _execute(self, at: float, orders: Orders) -> None:
        self._epoch = orders.epoch
        self._orders = orders.number
        for name in orders.stored:
            self.stored_at.setdefault(name, at)
            self._ends.pop(name, None)
        for stop in orders.stops:
            name = (stop.task, stop.attempt)
            if self._runs.pop(name, None) is not None:
                self.ended_at[name] = at + STOP_DURATION_S
                self._ends[name] = RunEnded(0, *name, "stopped", "")
        for start in orders.starts:
            name = (start.task, start.attempt)
            self.starts[name] = self.starts.get(name, 0) + 1
            if name not in self.ended_at:
                self._runs[name] = RunStatus(*name, RunPhase.RUNNING, 10)


class LoadedLeader:
    """The agents of a leader, and a follower that receives its heartbeats.

    :ivar leader_losses: times at which the follower had no live leader.
    :ivar work: consumes processor time of the leader.
    :ivar placement_s: processor time spent on placement.
    """

    def __init__(
        self, leader: Leader, agents: int, work: Callable[[float], None], read_s: float
    ) -> None:
        """Create the agents and the follower.

        :param read_s: processor time of reading a report.
        """
        self.leader = leader
        self.work = work
        self.placement_s = 0.0
        self._read_s = read_s
        names = [f"g{number}" for number in range(agents)]
        lease_s = leader.sched.bounds.lease_s
        self.agents = {name: SimulatedAgent(name, lease_s) for name in names}
        self.leader_losses: list[float] = []
        self._election = Election("e2")
        self._heartbeat_due_at = 0.0

    def send(self, agent: str, orders: Orders) -> bool:
        """Deliver orders to an agent."""
        self.agents[agent].get(orders)
        return True

    async def deliver_messages(self) -> None:
        """Deliver reports and heartbeats to the leader whenever the loop is free."""
        turns = LoopYielder()
        while True:
            at = now()
            for agent in self.agents.values():
                for report in agent.reports(at):
                    self.work(self._read_s)
                    self.leader.on_report(report)
                    await turns.count_message()
            if at >= self._heartbeat_due_at:
                self._heartbeat_due_at = at + HEARTBEAT_INTERVAL_S
                if at > HEARTBEAT_INTERVAL_S and not self._election.has_live_leader(at):
                    self.leader_losses.append(at)
                self._election.on_heartbeat(self.leader.head.epoch, "e1", True, at)
            await asyncio.sleep(POLL_INTERVAL_S)
