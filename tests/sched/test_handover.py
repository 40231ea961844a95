"""Handover of the leadership."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import pytest
from result import Result

from sapphirelead.clock import now
from sapphirelead.errors import Failure
from sapphirelead.node_entry import EntryNode, FleetEntry
from sapphirelead.node_handover import OFFER_INTERVAL_S, STALL_THRESHOLD_S, HandoverController
from sapphirelead.node_leader import ISOLATION_TIMEOUT_S, Leader
from sapphirelead.node_messages import (
    AnyNodeMessage,
    EntryAddress,
    FollowerHeartbeat,
    Handover,
)
from sapphirelead.ports import Row
from sapphirelead.sched_head import Head, read_head
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S, Bounds
from sapphirelead.wire_sockets import make_context
from tests.sched.fakes import NoAdvice
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime


async def leading(table: MemoryTable) -> Leader:
    """Return a leader that accepts calls."""
    head = await Head.take(table, (await read_head(table)).unwrap(), "e1")
    assert head is not None
    leader = Leader(Bounds(), head, table, NoAdvice(), lambda *_: True)
    await leader.load()
    return leader


async def send_heartbeats(controller: HandoverController) -> None:
    """Send the heartbeats of one follower."""
    while True:
        controller.on_heartbeat(FollowerHeartbeat(EntryAddress("e2", "h", 1), 1, True, 1))
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def recording_sender(offers: list[float]) -> Callable[[str, Handover], bool]:
    """Return a send function that appends the time of each offer to ``offers``."""

    def send(name: str, offer: Handover) -> bool:
        offers.append(now())
        return True

    return send


@asynccontextmanager
async def leader_with_follower() -> AsyncIterator[tuple[Leader, HandoverController, list[float]]]:
    """Run a leader with a follower that ignores offers; the list holds the times of the offers."""
    leader = await leading(MemoryTable())
    offers: list[float] = []
    controller = HandoverController(recording_sender(offers))
    tasks = [asyncio.create_task(leader.run()), asyncio.create_task(send_heartbeats(controller))]
    await asyncio.sleep(0.1)
    yield leader, controller, offers
    for task in tasks:
        task.cancel()


async def test_a_leader_with_untaken_offers_keeps_starting_runs() -> None:
    """Guards against suspending starts for the whole shutdown when nobody takes the offers."""
    async with leader_with_follower() as (leader, controller, offers):
        leaving = asyncio.create_task(controller.leave(lambda: leader, now() + 4.5))
        starting = 0.0
        while not leaving.done():
            await asyncio.sleep(0.1)
            starting += 0.0 if leader.finishing else 0.1
        assert len(offers) >= 2
        assert starting >= 1.5


async def test_a_stalled_leader_does_not_count_its_peers_as_unresponsive() -> None:
    """Guards against resigning after a stall, while the peers' messages are still unread."""
    leader = await leading(MemoryTable())
    leader.isolated = lambda at: True  # type: ignore[method-assign]
    controller = HandoverController(recording_sender([]))
    controller.on_heartbeat(FollowerHeartbeat(EntryAddress("e2", "h", 1), 1, True, 1))
    controller.check(leader)
    await asyncio.sleep(ISOLATION_TIMEOUT_S + STALL_THRESHOLD_S)
    controller.check(leader)
    assert leader.serving
    controller.on_heartbeat(FollowerHeartbeat(EntryAddress("e2", "h", 1), 1, True, 1))
    for _ in range(int((ISOLATION_TIMEOUT_S + 0.5) / 0.1)):
        await asyncio.sleep(0.1)
        controller.check(leader)
    assert not leader.serving


async def test_a_weak_leader_offers_the_leadership_to_a_strong_entry() -> None:
    """Guards against a weak entry that keeps the leadership while a much stronger one follows."""
    leader = await leading(MemoryTable())
    offered: list[str] = []

    def send(name: str, offer: Handover) -> bool:
        offered.append(name)
        return True

    controller = HandoverController(send, cores=0.5)
    for name, cores in (("weak", 0.5), ("strong", 2.0)):
        controller.on_heartbeat(FollowerHeartbeat(EntryAddress(name, "h", 1, cores), 1, True, 1))
    controller.check(leader)
    assert offered == ["strong"]
    # It leads until the offer is taken, and does not repeat the offer at each check.
    assert leader.serving
    controller.check(leader)
    assert offered == ["strong"]


async def test_a_strong_leader_keeps_the_leadership() -> None:
    leader = await leading(MemoryTable())
    offers: list[float] = []
    controller = HandoverController(recording_sender(offers), cores=2.0)
    controller.on_heartbeat(FollowerHeartbeat(EntryAddress("e2", "h", 1, 2.2), 1, True, 1))
    controller.check(leader)
    assert not offers


async def test_offers_are_spaced_by_the_offer_interval() -> None:
    async with leader_with_follower() as (leader, controller, offers):
        await controller.leave(lambda: leader, now() + 3.0)
        assert all(later - earlier >= OFFER_INTERVAL_S for earlier, later in pairwise(offers))
        assert not leader.serving


class FailingReads(MemoryTable):
    """A table whose reads fail, or take long, once it has been told so."""

    scan_s = 0.0

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        await asyncio.sleep(self.scan_s)
        return await super().scan(prefix, after, limit)


async def offers_while_loading(table: FailingReads, reachable: bool) -> tuple[list[str], bool]:
    """Let an entry with a follower take the leadership; load for 4 s, unless it ends before.

    :return: the followers that were offered the leadership, and whether the leader serves.
    """
    offered: list[str] = []

    def send(name: str, message: AnyNodeMessage) -> bool:
        if isinstance(message, Handover):
            offered.append(name)
        return True

    ctx = make_context()
    node = EntryNode(EntryAddress("e1", "127.0.0.1", 1), "z", Bounds())
    entry: Any = FleetEntry(node, table, NoAdvice(), ctx)
    entry._hub = SimpleNamespace(send=lambda *_: True, may_arrive=lambda *_: False)
    entry._links = SimpleNamespace(send=send, send_all=lambda *_: None, set_entries=lambda *_: None)
    await entry._acquire_lead()
    table.down = not reachable
    election = asyncio.create_task(entry._run_election())
    for _ in range(20):
        follower = FollowerHeartbeat(EntryAddress("e2", "h", 1), 1, True, 1)
        entry._on_follower_heartbeat(b"e2", follower)
        await asyncio.sleep(0.2)
    serving = entry.serving_leader() is not None
    tasks = [election, *entry._tasks]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    ctx.destroy(linger=0)
    return offered, serving


async def test_a_leader_that_cannot_load_offers_the_leadership() -> None:
    """Guards against a fleet without a leader for as long as the entry that took the leadership is
    cut off from the store: its heartbeats kept the others from taking it."""
    offered, serving = await offers_while_loading(FailingReads(), reachable=False)
    assert not serving
    assert offered.count("e2") >= 2


@pytest.mark.parametrize("scan_s", [0.0, 1.2])
async def test_a_leader_that_loads_from_a_slow_store_keeps_the_leadership(scan_s: float) -> None:
    """Guards against handing the leadership round while the store is slow for everybody."""
    table = FailingReads()
    table.scan_s = scan_s
    offered, serving = await offers_while_loading(table, reachable=True)
    assert serving
    assert not offered
