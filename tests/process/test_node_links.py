"""Tests of the links between processes of a fleet over loopback sockets."""

import asyncio

from sapphirelead.node_links import Hub, Links
from sapphirelead.node_messages import (
    AnyNodeMessage,
    Call,
    CallKind,
    EntryAddress,
    LeaderAnnouncement,
    LeaderQuery,
)
from sapphirelead.wire_sockets import make_context

ROUNDS = 400
BURST = 8


async def test_no_message_is_left_unread_when_both_ends_send() -> None:
    """Guards against unread messages when a send consumes the socket's edge-triggered signal."""
    ctx = make_context()
    answered = 0
    asked = 0
    # Submissions with different numbers, which the hub does not merge.
    submits: list[Call] = []

    def on_hub(identity: bytes, message: AnyNodeMessage) -> None:
        nonlocal asked
        asked += 1
        if isinstance(message, Call):
            submits.append(message)
        assert hub.send(identity, LeaderAnnouncement(asked, "e1"))

    def on_link(name: str, message: AnyNodeMessage) -> None:
        nonlocal answered
        answered += 1
        if answered % 3 == 0:
            links.send(name, LeaderQuery("extra"))

    hub = Hub(ctx, "127.0.0.1", 0, on_hub)
    hub.start()
    links = Links(ctx, "agent", "agent/1", on_link)
    links.set_entries([EntryAddress("e1", "127.0.0.1", hub.port)])
    async with asyncio.timeout(20):
        while not links.send("e1", LeaderQuery("agent")):
            await asyncio.sleep(0.01)
        for round_number in range(ROUNDS):
            for number in range(round_number * BURST, (round_number + 1) * BURST):
                links.send("e1", Call(number, CallKind.SUBMIT, "q", f"{number}", 1))
            await asyncio.sleep(0.002)
        while answered < asked or len(submits) < ROUNDS * BURST:
            await asyncio.sleep(0.01)
    await links.stop()
    await hub.stop()
    ctx.destroy(linger=0)
