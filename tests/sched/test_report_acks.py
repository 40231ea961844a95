"""Delay of an agent's reports, depending on the leader's answers, on a simulated clock."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import pairwise
from typing import Any, cast

import pytest

import sapphirelead.node_leader as node_leader
import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now
from sapphirelead.node_inbox import Inbox
from sapphirelead.node_leader import MIN_ACK_INTERVAL_S, Leader
from sapphirelead.node_messages import (
    AgentReport,
    AnyNodeMessage,
    EntryAddress,
    LeaderAnnouncement,
    Orders,
)
from sapphirelead.runner_service import MIN_REPORT_INTERVAL_S, Runner
from sapphirelead.sched_head import Head, read_head
from sapphirelead.sched_timing import MAX_ORDER_AGE_S, Bounds
from tests.sched.fakes import FakeWorker, NoAdvice, worker_info
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime

CHANGE_INTERVAL_S = 0.01
DURATION_S = 20.0


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (node_leader, runner_life, runner_service, sched_head):
        monkeypatch.setattr(module, "awake_now", now)


class LimitedChannel:
    """Connects an agent to a leader that processes a limited number of messages per second.

    :ivar reported_at: when each report was sent.
    :ivar waited_s: age of the oldest change in each processed report.
    :ivar answers: number of orders sent.
    """

    def __init__(self, messages_per_s: float) -> None:
        self.reported_at: list[float] = []
        self.waited_s: list[float] = []
        self.answers = 0
        self._message_interval_s = 1 / messages_per_s
        self._inbox = Inbox(1.0)
        self.runner = Runner(
            "g1", Bounds(), MemoryTable(), lambda *_: FakeWorker(600), cast(Any, None)
        )
        self.runner._links = cast(Any, self)

    def send(self, name: str, message: AnyNodeMessage) -> bool:
        """Deliver a report to the leader."""
        self.reported_at.append(now())
        self._inbox.put(b"g1", message, now())
        return True

    def send_all(self, message: AnyNodeMessage) -> None:
        """Ignore leader queries; there are no other entries."""

    def set_entries(self, entries: list[EntryAddress]) -> None:
        """Ignore the list of entries; the leader is the only one."""

    def order(self, agent: str, orders: Orders) -> bool:
        """Deliver orders to the agent."""
        self.answers += 1
        self.runner._on_message("e1", orders)
        return True

    async def take(self, leader: Leader) -> None:
        """Pass received reports to the leader at the limited rate."""
        while True:
            await asyncio.sleep(self._message_interval_s)
            item = self._inbox.take(now())
            if item is not None and isinstance(item.message, AgentReport):
                self.waited_s.append(now() - item.arrived_at)
                leader.on_report(item.message)

    async def stop(self) -> None:
        """Stop the agent's links, of which there are none."""


@asynccontextmanager
async def reporting_agent(messages_per_s: float) -> AsyncIterator[LimitedChannel]:
    """Run an agent with a worker that reports to a leader."""
    channel = LimitedChannel(messages_per_s)
    table = MemoryTable()
    head = await Head.take(table, (await read_head(table)).unwrap(), "e1")
    assert head is not None
    leader = Leader(Bounds(), head, table, NoAdvice(), channel.order)
    await leader.load()
    tasks = [asyncio.create_task(leader.run()), asyncio.create_task(channel.take(leader))]
    channel.runner.start()
    await channel.runner.worker_heartbeat(worker_info(), "x", 1)
    channel.runner._on_message("e1", LeaderAnnouncement(head.epoch, "e1"))
    await asyncio.sleep(1)
    try:
        yield channel
    finally:
        await channel.runner.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def make_changes(channel: LimitedChannel) -> None:
    """Trigger reports of the agent continuously."""
    channel.reported_at.clear()
    channel.waited_s.clear()
    channel.answers = 0
    for _ in range(int(DURATION_S / CHANGE_INTERVAL_S)):
        channel.runner._wake.set()
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def test_changes_are_reported_at_once_to_a_fast_leader() -> None:
    """Guards against outcomes that are reported late to a leader that keeps up."""
    async with reporting_agent(1000) as channel:
        await make_changes(channel)
        gaps = [after - before for before, after in pairwise(channel.reported_at)]
        assert max(gaps) <= 2 * MIN_REPORT_INTERVAL_S


async def test_a_leader_answers_at_most_every_second_report() -> None:
    """Guards against a leader that spends its time on empty answers."""
    async with reporting_agent(1000) as channel:
        await make_changes(channel)
        assert channel.answers <= len(channel.reported_at) / 2 + DURATION_S / MIN_ACK_INTERVAL_S
        channel.answers = 0
        await asyncio.sleep(DURATION_S)
        assert channel.answers <= DURATION_S / MIN_ACK_INTERVAL_S


@pytest.mark.parametrize("messages_per_s", [2.5, 5, 20])
async def test_reports_do_not_queue_at_a_leader_that_merges_them(messages_per_s: float) -> None:
    """Guards against reports that wait longer and longer at a slow leader."""
    async with reporting_agent(messages_per_s) as channel:
        await make_changes(channel)
        assert max(channel.waited_s) <= MAX_ORDER_AGE_S / 2
        assert (
            len(channel.waited_s)
            >= DURATION_S * min(messages_per_s, 1 / runner_service.MAX_REPORT_INTERVAL_S) - 2
        )


async def test_a_restarted_agent_is_answered_without_delay() -> None:
    """Guards against reports delayed until the new process reaches the old report number."""
    async with reporting_agent(1000) as channel:
        await make_changes(channel)
        channel.runner._boot = "next"
        channel.runner._report_seq = channel.runner._processed_seq = 0
        await make_changes(channel)
        gaps = [after - before for before, after in pairwise(channel.reported_at)]
        assert max(gaps) <= 2 * MIN_REPORT_INTERVAL_S
