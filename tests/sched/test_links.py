"""Readers of links with a backlog: what else the process gets to do meanwhile."""

import asyncio
from itertools import pairwise

import msgspec

from sapphirelead.metrics import Metrics
from sapphirelead.node_intake import Intake
from sapphirelead.node_messages import AnyNodeMessage, WhoLeads

BACKLOG = 500

MAX_MESSAGES_PER_STEP = 25
"""Messages that may be taken in one turn: 10 ms of processor time."""


class Backlog:
    """A socket on which messages have already arrived, so that taking one never waits."""

    def __init__(self) -> None:
        self.left = BACKLOG
        self.frame = msgspec.msgpack.encode(WhoLeads("agent"))

    async def recv_multipart(self) -> list[bytes]:
        if not self.left:
            await asyncio.Event().wait()
        self.left -= 1
        # Each of another sender: a later word of the same one would take the place of the earlier.
        return [str(self.left).encode(), self.frame]


async def test_backlog_of_reports_does_not_block_the_event_loop() -> None:
    """A leader accepts, cancels and starts nothing for 15 s, although its store is well.

    After a burst its agents' reports arrive faster than it takes them.  The reader found the next
    one there each time and never gave way, so the store's answers and all timers lay for as long.
    """
    taken = 0

    def handler(identity: bytes, message: AnyNodeMessage) -> None:
        nonlocal taken
        taken += 1

    intake = Intake(Backlog().recv_multipart, handler, 1.0, Metrics())
    intake.start()
    taken_by_step = [0]
    while taken < BACKLOG:
        await asyncio.sleep(0)
        taken_by_step.append(taken)
    assert max(after - before for before, after in pairwise(taken_by_step)) <= MAX_MESSAGES_PER_STEP
    await intake.stop()
