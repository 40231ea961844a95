"""How soon an agent's news goes out, by what its leader answers, on a paused clock."""

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
from sapphirelead.node_leader import ANSWER_S, Leader
from sapphirelead.node_messages import AgentReport, AnyNodeMessage, EntryAddress, Leads, Orders
from sapphirelead.runner_service import SPACING_S, Runner
from sapphirelead.sched_head import Head, read_head
from sapphirelead.sched_timing import STALE_ORDER_S, Bounds
from tests.sched.fakes import FakeWorker, NoAdvice, worker_info
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime

NEWS_S = 0.01
LASTS_S = 20.0


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (node_leader, runner_life, runner_service, sched_head):
        monkeypatch.setattr(module, "awake_now", now)


class Path:
    """The way between an agent and a leader that takes so many messages a second.

    :ivar reported_at: when each report was sent.
    :ivar waited_s: how long the oldest news in each report taken has waited.
    :ivar answers: orders sent.
    """

    def __init__(self, messages_per_s: float) -> None:
        self.reported_at: list[float] = []
        self.waited_s: list[float] = []
        self.answers = 0
        self._takes_s = 1 / messages_per_s
        self._inbox = Inbox(1.0)
        self.runner = Runner(
            "g1", Bounds(), MemoryTable(), lambda *_: FakeWorker(600), cast(Any, None)
        )
        self.runner._links = cast(Any, self)

    def send(self, name: str, message: AnyNodeMessage) -> bool:
        """Bring a report to the leader."""
        self.reported_at.append(now())
        self._inbox.put(b"g1", message, now())
        return True

    def send_all(self, message: AnyNodeMessage) -> None:
        """Ask for the leader; nobody else is there to answer."""

    def set_entries(self, entries: list[EntryAddress]) -> None:
        """Take the list of entries; the leader is all there is."""

    def order(self, agent: str, orders: Orders) -> bool:
        """Bring orders to the agent."""
        self.answers += 1
        self.runner._on_message("e1", orders)
        return True

    async def take(self, leader: Leader) -> None:
        """Let the leader work on what has arrived."""
        while True:
            await asyncio.sleep(self._takes_s)
            item = self._inbox.take(now())
            if item is not None and isinstance(item.message, AgentReport):
                self.waited_s.append(now() - item.arrived_at)
                leader.on_report(item.message)

    async def stop(self) -> None:
        """Close the agent's links."""


@asynccontextmanager
async def reporting(messages_per_s: float) -> AsyncIterator[Path]:
    """Let an agent with a worker report to a leader."""
    path = Path(messages_per_s)
    table = MemoryTable()
    head = await Head.take(table, (await read_head(table)).unwrap(), "e1")
    assert head is not None
    leader = Leader(Bounds(), head, table, NoAdvice(), path.order)
    await leader.load()
    tasks = [asyncio.create_task(leader.run()), asyncio.create_task(path.take(leader))]
    path.runner.start()
    await path.runner.worker_beat(worker_info(), "x", 1)
    path.runner._on_message("e1", Leads(head.epoch, "e1"))
    await asyncio.sleep(1)
    try:
        yield path
    finally:
        await path.runner.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def make_news(path: Path) -> None:
    """Let the agent have news all the time."""
    path.reported_at.clear()
    path.waited_s.clear()
    path.answers = 0
    for _ in range(int(LASTS_S / NEWS_S)):
        path.runner._wake.set()
        await asyncio.sleep(NEWS_S)


async def test_news_goes_out_at_once_to_a_leader_that_has_read_all_before() -> None:
    """Guards against an end that is reported 0.24 s late to a leader that keeps up."""
    async with reporting(1000) as path:
        await make_news(path)
        gaps = [after - before for before, after in pairwise(path.reported_at)]
        assert max(gaps) <= 2 * SPACING_S


async def test_a_leader_answers_at_most_each_second_report_of_an_agent_with_news() -> None:
    """Guards against a leader that spends its time on answers that say nothing."""
    async with reporting(1000) as path:
        await make_news(path)
        assert path.answers <= len(path.reported_at) / 2 + LASTS_S / ANSWER_S
        path.answers = 0
        await asyncio.sleep(LASTS_S)
        assert path.answers <= LASTS_S / ANSWER_S


@pytest.mark.parametrize("messages_per_s", [2.5, 5, 20])
async def test_a_leader_that_merges_reports_is_not_outrun(messages_per_s: float) -> None:
    """Guards against news that waits ever longer for a leader that is behind."""
    async with reporting(messages_per_s) as path:
        await make_news(path)
        assert max(path.waited_s) <= STALE_ORDER_S / 2
        assert len(path.waited_s) >= LASTS_S * min(messages_per_s, 1 / runner_service.REPORT_S) - 2


async def test_a_restarted_agent_is_answered_as_soon_as_its_earlier_process_was() -> None:
    """Guards against news held back until the new process has sent as many reports as the old."""
    async with reporting(1000) as path:
        await make_news(path)
        path.runner._boot = "next"
        path.runner._beat = path.runner._taken_beat = 0
        await make_news(path)
        gaps = [after - before for before, after in pairwise(path.reported_at)]
        assert max(gaps) <= 2 * SPACING_S
