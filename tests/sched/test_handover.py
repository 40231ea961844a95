"""How a leader gives the lead away, on a paused clock."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import pairwise

import pytest

from sapphirelead.clock import now
from sapphirelead.node_handover import LATE_S, OFFER_EVERY_S, LeadKeeper
from sapphirelead.node_leader import ALONE_S, Leader
from sapphirelead.node_messages import EntryAddress, EntryBeat, Handover
from sapphirelead.sched_head import Head, read_head
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S, Bounds
from tests.sched.fakes import NoAdvice
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime


async def leading(table: MemoryTable) -> Leader:
    """Return a leader that serves."""
    head = await Head.take(table, (await read_head(table)).unwrap(), "e1")
    assert head is not None
    leader = Leader(Bounds(), head, table, NoAdvice(), lambda *_: True)
    await leader.load()
    return leader


async def beat_on(keeper: LeadKeeper) -> None:
    """Let one follower go on sending heartbeats."""
    while True:
        keeper.heard(EntryBeat(EntryAddress("e2", "h", 1), 1, True, 1))
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


def noting(offers: list[float]) -> Callable[[str, Handover], bool]:
    """Return a way to send offers that only notes when."""

    def send(name: str, offer: Handover) -> bool:
        offers.append(now())
        return True

    return send


@asynccontextmanager
async def followed() -> AsyncIterator[tuple[Leader, LeadKeeper, list[float]]]:
    """Run a leader with a follower that takes no offer; the list holds the times of the offers."""
    leader = await leading(MemoryTable())
    offers: list[float] = []
    keeper = LeadKeeper(noting(offers))
    tasks = [asyncio.create_task(leader.run()), asyncio.create_task(beat_on(keeper))]
    await asyncio.sleep(0.1)
    yield leader, keeper, offers
    for task in tasks:
        task.cancel()


async def test_a_leader_whose_offers_nobody_takes_goes_on_starting_work() -> None:
    """A leader is stopped, and the entry that it offers the lead to does not take it.

    Each offer held new starts back until the next one, so that nothing was started until the
    process ended.
    """
    async with followed() as (leader, keeper, offers):
        leaving = asyncio.create_task(keeper.leave(lambda: leader, now() + 4.5))
        starting = 0.0
        while not leaving.done():
            await asyncio.sleep(0.1)
            starting += 0.0 if leader.finishing else 0.1
        assert len(offers) >= 2
        assert starting >= 1.5


async def test_a_leader_that_was_held_up_itself_does_not_take_the_others_for_silent() -> None:
    """An entry on a busy machine does not run for two seconds while it leads.

    What the others sent meanwhile lies unread. It counted them as silent, itself as cut off, and
    gave the lead up although nothing had happened to anybody.
    """
    leader = await leading(MemoryTable())
    leader.alone = lambda at: True  # type: ignore[method-assign]
    keeper = LeadKeeper(noting([]))
    keeper.heard(EntryBeat(EntryAddress("e2", "h", 1), 1, True, 1))
    keeper.watch(leader)
    await asyncio.sleep(ALONE_S + LATE_S)
    keeper.watch(leader)
    assert leader.serving
    keeper.heard(EntryBeat(EntryAddress("e2", "h", 1), 1, True, 1))
    for _ in range(int((ALONE_S + 0.5) / 0.1)):
        await asyncio.sleep(0.1)
        keeper.watch(leader)
    assert not leader.serving


async def test_a_weak_leader_gives_the_lead_to_a_strong_entry() -> None:
    """After a loss an entry with half a processor leads a hundred workers for the rest of the day.

    It had been the first to look.  Reports lay unread, and work was started seconds late, while
    entries with four times its processors passed callers on to it.
    """
    leader = await leading(MemoryTable())
    offered: list[str] = []

    def send(name: str, offer: Handover) -> bool:
        offered.append(name)
        return True

    keeper = LeadKeeper(send, cores=0.5)
    for name, cores in (("weak", 0.5), ("strong", 2.0)):
        keeper.heard(EntryBeat(EntryAddress(name, "h", 1, cores), 1, True, 1))
    keeper.watch(leader)
    assert offered == ["strong"]
    # It leads on until the offer has been taken, and does not repeat it at each look.
    assert leader.serving
    keeper.watch(leader)
    assert offered == ["strong"]


async def test_a_strong_leader_keeps_its_lead() -> None:
    leader = await leading(MemoryTable())
    offers: list[float] = []
    keeper = LeadKeeper(noting(offers), cores=2.0)
    keeper.heard(EntryBeat(EntryAddress("e2", "h", 1, 2.2), 1, True, 1))
    keeper.watch(leader)
    assert not offers


async def test_offers_are_given_time() -> None:
    async with followed() as (leader, keeper, offers):
        await keeper.leave(lambda: leader, now() + 3.0)
        assert all(later - earlier >= OFFER_EVERY_S for earlier, later in pairwise(offers))
        assert not leader.serving
