"""Peers of an entry that send frames without an end."""

import asyncio
from pathlib import Path
from typing import Final

import pytest

from sapphirelead.node_messages import LeaderQuery
from tests.crowd.link_peers import (
    COMMAND,
    GREETING,
    MEMORY_MB,
    MORE,
    Peer,
    check_unharmed,
    encode,
    frame,
    frame_header,
    running_entry,
)

MB: Final = 1_000_000
CROWD: Final = 60
LARGE_FRAME_BYTES: Final = 4 * MB
SENT_PER_ENDLESS_FRAME: Final = 40 * MB
ENDLESS_FRAME_BYTES: Final = (1 << 30, 1 << 62)
ENDLESS_FRAMES: Final = 8
LEGAL_FRAME_BYTES: Final = 200_000
PART_BYTES: Final = 100_000


@pytest.mark.parametrize("size", ENDLESS_FRAME_BYTES)
async def test_frames_that_announce_no_end_are_not_kept(tmp_path: Path, size: int) -> None:
    """Guards against frames of any size, which were kept until their end."""

    async def send_endless_frame() -> None:
        peer = await Peer.connect(entry.host)
        await peer.send(frame_header(size))
        for _ in range(SENT_PER_ENDLESS_FRAME // MB):
            if not await peer.send(bytes(MB)):
                return

    async with running_entry(tmp_path) as entry:
        await asyncio.gather(*(send_endless_frame() for _ in range(ENDLESS_FRAMES)))
        await check_unharmed(entry)


async def test_large_frames_that_stop_short_of_their_end_are_not_kept(tmp_path: Path) -> None:
    """Guards against a crowd of large frames that stay open one byte short of their end."""

    async def send_most_of_a_frame() -> None:
        peer = await Peer.connect(entry.host)
        await peer.send(frame_header(LARGE_FRAME_BYTES) + bytes(LARGE_FRAME_BYTES - 1))

    async with running_entry(tmp_path) as entry:
        await asyncio.gather(*(send_most_of_a_frame() for _ in range(CROWD)))
        await check_unharmed(entry)


async def test_handshakes_of_large_commands_are_not_kept(tmp_path: Path) -> None:
    """Guards against commands of any size before the handshake, which were kept as well."""

    async def send_most_of_a_command() -> None:
        peer = await Peer.connect(entry.host, handshake=False)
        await peer.send(GREETING + frame_header(LARGE_FRAME_BYTES, COMMAND))
        await peer.send(bytes(LARGE_FRAME_BYTES - 1))

    async with running_entry(tmp_path) as entry:
        await asyncio.gather(*(send_most_of_a_command() for _ in range(CROWD)))
        await check_unharmed(entry)


async def test_messages_of_endless_parts_are_not_kept(tmp_path: Path) -> None:
    """Guards against a message of small parts without an end, which was kept as a whole."""
    async with running_entry(tmp_path) as entry:
        peer = await Peer.connect(entry.host)
        for _ in range(2 * MEMORY_MB * MB // PART_BYTES):
            if not await peer.send(frame(bytes(PART_BYTES), MORE)):
                break
        await check_unharmed(entry)


async def test_a_peer_that_stays_open_inside_a_frame_is_disconnected(tmp_path: Path) -> None:
    """Guards against half a frame of legal size that holds its memory for ever."""
    async with running_entry(tmp_path) as entry:
        peer = await Peer.connect(entry.host)
        await peer.send(frame_header(LEGAL_FRAME_BYTES) + bytes(LEGAL_FRAME_BYTES - 1))
        async with asyncio.timeout(30):
            while await peer.receive():
                pass
        await check_unharmed(entry)


async def test_messages_of_legal_size_are_handled(tmp_path: Path) -> None:
    """Guards against a limit that a message of legal size meets."""
    async with running_entry(tmp_path) as entry:
        peer = await Peer.connect(entry.host)
        await peer.send(frame(bytes(LEGAL_FRAME_BYTES)) + frame(encode(LeaderQuery("a1"))))
        async with asyncio.timeout(10):
            while b"Leads" not in await peer.receive():
                pass
        await check_unharmed(entry)
