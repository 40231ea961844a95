"""Tests that reading a backlog of messages does not block the event loop."""

import asyncio
from itertools import pairwise

import msgspec

from sapphirelead.metrics import Metrics
from sapphirelead.node_intake import Intake
from sapphirelead.node_messages import AnyNodeMessage, LeaderQuery

BACKLOG = 500

MAX_MESSAGES_PER_STEP = 25
"""Messages that may be handled in one iteration of the event loop."""


class Backlog:
    """A socket with already received messages, so that reading never waits."""

    def __init__(self) -> None:
        self.left = BACKLOG
        self.frame = msgspec.msgpack.encode(LeaderQuery("agent"))

    async def recv_multipart(self) -> list[bytes]:
        if not self.left:
            await asyncio.Event().wait()
        self.left -= 1
        # Each has another sender: a later message of the same sender would replace it.
        return [str(self.left).encode(), self.frame]


async def test_backlog_of_reports_does_not_block_the_event_loop() -> None:
    """Guards against a reader that never yields while messages arrive faster than it reads."""
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
