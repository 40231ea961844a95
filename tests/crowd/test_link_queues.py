"""Peers of an entry that send more than it handles, or do not read its answers."""

import asyncio
from pathlib import Path
from typing import Final

from sapphirelead.node_messages import (
    AgentReport,
    ConfigRequest,
    EntryAddress,
    FollowerHeartbeat,
    LeaderQuery,
    RunEnded,
)
from tests.crowd.link_peers import (
    Peer,
    check_unharmed,
    encode,
    frame,
    running_entry,
)
from tests.sched.fakes import worker_info

CROWD: Final = 20
QUERIES_PER_PEER: Final = 200
NAME_BYTES: Final = 100_000
CONFIG_REQUESTS: Final = 20_000
ROUTES: Final = 300
REPORTS_PER_PEER: Final = 40
ENDS_PER_REPORT: Final = 500
SAVED_BYTES: Final = 300
ENTRY_NAMES: Final = 400


async def test_names_of_unknown_agents_are_not_kept(tmp_path: Path) -> None:
    """Guards against agents of ever new names, each of which was remembered."""

    async def send_queries(number: int) -> None:
        peer = await Peer.connect(entry.host)
        for query in range(QUERIES_PER_PEER):
            name = f"{number}/{query}".ljust(NAME_BYTES, "x")
            await peer.send(frame(encode(LeaderQuery(name))))

    async with running_entry(tmp_path) as entry:
        await asyncio.gather(*(send_queries(number) for number in range(CROWD)))
        await check_unharmed(entry)


async def test_answers_to_a_peer_that_does_not_read_are_bounded(tmp_path: Path) -> None:
    """Guards against the answers that wait for a peer that never reads."""
    async with running_entry(tmp_path, ROUTES) as entry:
        peer = await Peer.connect(entry.host)
        for _ in range(CONFIG_REQUESTS // 100):
            await peer.send(frame(encode(ConfigRequest(0))) * 100)
        await check_unharmed(entry)


async def test_reports_beyond_what_is_handled_are_bounded(tmp_path: Path) -> None:
    """Guards against large reports of many peers that wait to be handled."""

    async def send_reports(number: int) -> None:
        peer = await Peer.connect(entry.host)
        for sent in range(REPORTS_PER_PEER):
            ends = [
                RunEnded(end, f"ab.0.0.{end}", 1, "done", "s" * SAVED_BYTES)
                for end in range(ENDS_PER_REPORT)
            ]
            agent = f"g{number}"
            # Reports of different processes of an agent are not merged.
            boot = f"b{sent}"
            report = AgentReport(agent, boot, 1, 1, 1, worker_info(f"i-{number}"), True, [], ends)
            await peer.send(frame(encode(report)))

    async with running_entry(tmp_path) as entry:
        await asyncio.gather(*(send_reports(number) for number in range(CROWD)))
        await check_unharmed(entry)


async def test_entries_of_unknown_names_are_bounded(tmp_path: Path) -> None:
    """Guards against heartbeats of ever new entries, each of which was connected to."""
    async with running_entry(tmp_path) as entry:
        peer = await Peer.connect(entry.host)
        for number in range(ENTRY_NAMES):
            address = EntryAddress(f"x{number}", entry.host, 9)
            await peer.send(frame(encode(FollowerHeartbeat(address, 1, True, 1))))
            # A hub keeps only the newest heartbeat of a peer.
            assert await peer.receive()
        await check_unharmed(entry)
