"""Tests the agent's connections against plain ZeroMQ routers in place of an entry."""

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest
import zmq.asyncio

from sapphirelead.agent_links import AgentLinks
from sapphirelead.agent_ports import Sender
from sapphirelead.background import Background
from sapphirelead.entry_ports import Channel
from sapphirelead.settings import LeaseSettings
from sapphirelead.wire_codec import decode, encode
from sapphirelead.wire_messages import Amount, ChannelHello, Heartbeat, HeartbeatAck
from sapphirelead.wire_sockets import bind_router, make_context
from tests.unit.agent_fakes import ENTRY, settings

LEASE = LeaseSettings(beat_interval_seconds=0.05, silence_seconds=1.5)
"""The timeout must exceed scheduling delays on a busy machine, or links reconnect unexpectedly."""
DEADLINE_S = 10.0


class BareEntry:
    """Three routers that answer hellos, and acknowledge heartbeats while ``acknowledging``."""

    def __init__(self) -> None:
        self.ctx = make_context()
        bound = [bind_router(self.ctx, "127.0.0.1", 0) for _ in Channel]
        self.sockets = [sock for sock, _ in bound]
        self.ports = [port for _, port in bound]
        self.identities: set[bytes] = set()
        self.acknowledging = True
        self.incarnation = "e1-a"
        self.tasks = [asyncio.create_task(self._serve(sock)) for sock in self.sockets]

    async def _serve(self, sock: zmq.asyncio.Socket) -> None:
        while True:
            identity, frame = await sock.recv_multipart()
            self.identities.add(identity)
            message = decode(frame).unwrap()
            answer: HeartbeatAck | ChannelHello | None = None
            if isinstance(message, Heartbeat) and self.acknowledging:
                head = {**ENTRY, "incarnation": self.incarnation}
                answer = HeartbeatAck(counter=message.counter, committed=0, **head)
            elif isinstance(message, ChannelHello):
                answer = message
            if answer:
                await sock.send_multipart([identity, encode(answer)])

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.ctx.destroy(linger=0)


class HeartbeatingLinks:
    """Links that send a heartbeat every 50 ms."""

    def __init__(self, entry: BareEntry) -> None:
        ports = dict(zip(("control_port", "data_port", "bulk_port"), entry.ports, strict=True))
        address = {"host": "127.0.0.1", **ports}
        self.crashes: list[BaseException] = []
        self.background = Background(self.crashes.append)
        self.sender = Sender("i1", "run1")
        self.links = AgentLinks(
            settings(entries=[address], lease=LEASE), self.sender, self.background
        )

    async def run(self) -> None:
        self.links.open()
        while True:
            self.links.reconnect_unresponsive()
            heartbeat = Heartbeat(
                counter=1,
                zone="z1",
                draining=False,
                slots_used=0,
                slots=1,
                connections_used=0,
                connections=1,
                free=Amount(),
                tasks=0,
                **self.sender.head(),
            )
            await self.links.send(0, Channel.CONTROL, heartbeat)
            await asyncio.sleep(LEASE.beat_interval_seconds)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(DEADLINE_S):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def pair() -> AsyncIterator[tuple[BareEntry, HeartbeatingLinks]]:
    entry = BareEntry()
    heartbeating = HeartbeatingLinks(entry)
    heartbeating.background.spawn(heartbeating.run(), "heartbeating")
    yield entry, heartbeating
    await heartbeating.background.close()
    await heartbeating.links.close()
    await entry.close()
    assert heartbeating.crashes == []


async def test_three_channels_under_one_identity(pair: tuple[BareEntry, HeartbeatingLinks]) -> None:
    entry, heartbeating = pair
    await wait_until(lambda: len(entry.identities) == 3 and heartbeating.links.live() == [0])
    assert entry.identities == {f"i1|run1|{channel}|1".encode() for channel in Channel}


async def test_unresponsive_entry_is_reconnected(pair: tuple[BareEntry, HeartbeatingLinks]) -> None:
    """The connection stays open and carries heartbeats, but no acknowledgement is received."""
    entry, heartbeating = pair
    await wait_until(lambda: heartbeating.links.live() == [0])
    entry.acknowledging = False
    await wait_until(lambda: b"i1|run1|control|2" in entry.identities)
    entry.acknowledging = True
    await wait_until(lambda: heartbeating.links.live() == [0])


async def test_agent_announces_itself_to_a_restarted_entry(
    pair: tuple[BareEntry, HeartbeatingLinks],
) -> None:
    """The entry is restarted on the same address without an interruption of the connection."""
    entry, heartbeating = pair
    await wait_until(lambda: not heartbeating.links.announce_due(0, 1.0))
    entry.incarnation = "e1-b"
    await wait_until(lambda: heartbeating.links.announce_due(0, 1.0))
    await wait_until(lambda: not heartbeating.links.announce_due(0, 1.0))


async def test_a_new_incarnation_gets_new_connections(
    pair: tuple[BareEntry, HeartbeatingLinks],
) -> None:
    entry, heartbeating = pair
    await wait_until(lambda: heartbeating.links.live() == [0])
    heartbeating.sender.incarnation = "run2"
    heartbeating.links.reopen()
    assert heartbeating.links.live() == []
    await wait_until(
        lambda: b"i1|run2|control|2" in entry.identities and heartbeating.links.live() == [0]
    )
