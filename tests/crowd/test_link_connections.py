"""Peers of an entry that open connections without an end."""

import asyncio
from pathlib import Path
from typing import Final

from bench.procs import wait_until
from tests.crowd.link_peers import (
    GREETING,
    Peer,
    check_unharmed,
    open_fds,
    running_entry,
)

HANDSHAKES: Final = 150
CONNECTIONS: Final = 300
IDLE_CONNECTIONS: Final = 100
HANDSHAKE_PARTS: Final = {"nothing": b"", "half": GREETING[:12], "greeting": GREETING}


async def test_handshakes_that_stop_are_closed(tmp_path: Path) -> None:
    """Guards against connections that never finish their handshake and hold descriptors."""
    async with running_entry(tmp_path) as entry:
        before = open_fds(entry)
        sent = list(HANDSHAKE_PARTS.values())
        peers = [await Peer.connect(entry.host, handshake=False) for _ in range(HANDSHAKES)]
        await asyncio.gather(*(peer.send(sent[n % len(sent)]) for n, peer in enumerate(peers)))

        async def closed() -> bool:
            return open_fds(entry) <= before + HANDSHAKES // 10

        await wait_until("the connections are closed", closed)
        await check_unharmed(entry)


async def test_idle_connections_leave_others_their_turn(tmp_path: Path) -> None:
    """Guards against idle peers that keep an ordinary one from being answered."""
    async with running_entry(tmp_path) as entry:
        peers = [await Peer.connect(entry.host) for _ in range(IDLE_CONNECTIONS)]
        await check_unharmed(entry)
        assert len(peers) == IDLE_CONNECTIONS


async def test_connections_are_bounded_by_the_descriptors(tmp_path: Path) -> None:
    """Guards against connections to the hub that use up the descriptors of the process."""
    async with running_entry(tmp_path) as entry:
        connecting = (Peer.connect(entry.host) for _ in range(CONNECTIONS))
        peers = await asyncio.gather(*connecting, return_exceptions=True)
        used = open_fds(entry)
        assert len(peers) == CONNECTIONS
        await check_unharmed(entry, used)
