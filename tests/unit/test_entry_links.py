"""Tests the entry's sockets with ZeroMQ on loopback."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import zmq
import zmq.asyncio

from sapphirelead.entry_links import EntryLinks
from sapphirelead.entry_ports import Channel, Stamp
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_codec import decode, encode
from sapphirelead.wire_messages import AnyMessage, CancelAttempt, ChannelHello, Nudge

SETTINGS = EntrySettings.model_validate(
    {
        "id": "e1",
        "zone": "z0",
        "control_port": 0,
        "data_port": 0,
        "bulk_port": 0,
        "platform": {"table_url": "http://127.0.0.1:1"},
    }
)
HELLO = ChannelHello(sender="i1", incarnation="a", config_version=0, channel="data")
CANCEL = CancelAttempt(sender="e1", incarnation="r", config_version=0, request_id="q", attempt=1)


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def running() -> AsyncIterator[EntryLinks]:
    links = EntryLinks.from_settings(SETTINGS, Stamp("e1", "r"))
    await links.start()
    try:
        yield links
    finally:
        await links.stop()


@asynccontextmanager
async def agent(links: EntryLinks, identity: str) -> AsyncIterator[zmq.asyncio.Socket]:
    ctx = zmq.asyncio.Context()
    sock = ctx.socket(zmq.DEALER)
    sock.setsockopt(zmq.IDENTITY, identity.encode())
    sock.setsockopt(zmq.LINGER, 0)
    sock.connect(f"tcp://127.0.0.1:{links.ports[Channel.DATA]}")
    try:
        yield sock
    finally:
        ctx.destroy(linger=0)


async def greet(sock: zmq.asyncio.Socket) -> AnyMessage:
    await sock.send(encode(HELLO))
    return decode(await asyncio.wait_for(sock.recv(), 5)).unwrap()


async def test_messages_go_to_the_newest_connection_of_an_agent() -> None:
    """A late message on a replaced connection must not redirect messages to it, where they would be
    lost without an error; listeners are notified of the replacement."""
    changed: list[tuple[str, str, Channel]] = []
    async with running() as links:
        links.on_channel_change(lambda *what: changed.append(what))
        async with agent(links, "i1|a|data|1") as old, agent(links, "i1|a|data|2") as new:
            assert isinstance(await greet(old), ChannelHello) and not changed
            await greet(new)
            await greet(old)
            assert changed == [("i1", "a", Channel.DATA)]
            assert await links.send("i1", Channel.DATA, CANCEL)
            assert decode(await asyncio.wait_for(new.recv(), 5)).unwrap() == CANCEL


async def test_other_incarnation_is_reached_only_if_named_or_current() -> None:
    async with (
        running() as links,
        agent(links, "i1|a|data|1") as first,
        agent(links, "i1|b|data|1") as second,
    ):
        await greet(first)
        await greet(second)
        assert links.send_now("i1", Channel.DATA, CANCEL, "b")
        assert decode(await asyncio.wait_for(second.recv(), 5)).unwrap() == CANCEL
        links.set_current("i1", "b")
        assert links.send_now("i1", Channel.DATA, CANCEL)
        assert decode(await asyncio.wait_for(second.recv(), 5)).unwrap() == CANCEL


async def test_failed_send_is_reported_at_once() -> None:
    async with running() as links:
        assert not await links.send("nobody", Channel.DATA, CANCEL)
        async with agent(links, "i1|a|data|1") as sock:
            await greet(sock)
            assert not await links.send("i1", Channel.BULK, CANCEL), "no connection on that channel"
        await until(lambda: not links.send_now("i1", Channel.DATA, CANCEL))
        assert not await links.send_peer("e2", CANCEL)


async def test_invalid_frames_and_failing_handlers_do_not_stop_the_reader() -> None:
    got: list[ChannelHello] = []

    def broken(_message: ChannelHello) -> None:
        raise ValueError("odd message")

    async with running() as links:
        links.on(ChannelHello, broken)
        links.on(ChannelHello, got.append)
        async with agent(links, "i1|a|data|1") as sock:
            await sock.send(b"\xc1garbage")
            await sock.send_multipart([b"too", b"many", b"parts"])
            await greet(sock)
    assert (links.counters.undecodable, links.counters.handler_errors) == (2, 1)
    assert got == [HELLO]


async def test_entry_sends_to_peer() -> None:
    nudge = Nudge(sender="e1", incarnation="r", config_version=0, shard=3, key="k")
    got: list[Nudge] = []
    async with running() as one, running() as two:
        two.on(Nudge, got.append)
        one.set_peers({"e2": f"127.0.0.1:{two.ports[Channel.CONTROL]}"})
        async with asyncio.timeout(5):
            while not await one.send_peer("e2", nudge):
                await asyncio.sleep(0.01)
        await until(lambda: got)
        one.set_peers({})
        assert not await one.send_peer("e2", nudge)
    assert got == [nudge]
