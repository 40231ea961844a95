"""Entries that cannot read the operators' configuration; real links on loopback."""

import asyncio
import json

import pytest
from result import Err

from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.node_messages import CallKind, ConfigCopy, ReplyKind
from sapphirelead.platform.config import decode_config
from tests.process.test_fleet import Fleet, fleet

ROUTE = {"name": "q", "host": "h", "prefix": "/q/", "service": "s"}


def row_of(version: int, routes: int = 1) -> bytes:
    """Return a configuration row; routes beyond the first are added."""
    added = [{**ROUTE, "name": f"q{n}", "prefix": f"/q{n}/"} for n in range(1, routes)]
    return json.dumps({"version": version, "routes": [ROUTE, *added]}).encode()


def apply_at(cluster: Fleet, name: str, row: bytes) -> None:
    """Let an entry read a row from the store."""
    cluster.entries[name].set_config(decode_config(row).unwrap(), row)


async def until_versions(cluster: Fleet, version: int, within_s: float) -> None:
    """Wait until each entry has a version in force."""
    until = now() + within_s
    while any(entry.config.version < version for entry in cluster.entries.values()):
        held = {name: entry.config.version for name, entry in cluster.entries.items()}
        assert now() < until, f"not {version} everywhere within {within_s} s: {held}"
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("reader", ["leader", "follower"])
async def test_one_entry_that_reads_the_store_serves_all_others(reader: str) -> None:
    """Guards against entries that stay outdated while the store is silent for them."""
    async with fleet() as cluster:
        for entry in cluster.entries.values():
            entry.sync.decode = decode_config
        leader = await cluster.leader()
        follower = next(name for name in cluster.entries if name != leader)
        source = leader if reader == "leader" else follower
        for version in (5, 9, 12):
            apply_at(cluster, source, row_of(version, routes=1_100))
            # Well within the 2 s that the deployment allows, of which 0.7 s are grace.
            await until_versions(cluster, version, within_s=2.0)
            assert all(entry.ready for entry in cluster.entries.values())


async def test_an_entry_that_stays_outdated_refuses_and_is_not_ready() -> None:
    """Guards against answers by an old configuration, whatever keeps the new one away."""
    async with fleet() as cluster:
        leader = await cluster.leader()
        outdated = next(name for name in cluster.entries if name != leader)
        entry = cluster.entries[outdated]
        entry.sync.decode = lambda _: Err(Failure(Code.CONFIG_INVALID, "unreadable"))
        for name in cluster.entries:
            if name != outdated:
                apply_at(cluster, name, row_of(5))
        await asyncio.sleep(2.0)
        assert not entry.ready
        reply = await entry.call(CallKind.WAITING, "q", "", b"", 1.0)
        assert (reply.kind, reply.code) == (ReplyKind.NOT_RUN, Code.CONFIG_BEHIND)
        assert reply.retry_after_s > 0
        other = next(name for name in cluster.entries if name not in (leader, outdated))
        assert cluster.entries[other].ready
        served = await cluster.entries[other].call(CallKind.WAITING, "q", "", b"", 1.0)
        assert served.kind is ReplyKind.OK
        apply_at(cluster, outdated, row_of(5))
        assert entry.ready


async def test_a_leader_that_stays_outdated_goes_on_leading() -> None:
    """Guards against an election for each configuration that reaches the leader late."""
    async with fleet() as cluster:
        leader = await cluster.leader()
        for name in cluster.entries:
            if name != leader:
                apply_at(cluster, name, row_of(5))
        await asyncio.sleep(2.0)
        assert await cluster.leader() == leader
        assert not cluster.entries[leader].ready


async def test_a_damaged_copy_is_followed_by_one_of_another_entry() -> None:
    """Guards against a peer whose copy is damaged and that is asked for ever."""
    async with fleet() as cluster:
        leader = await cluster.leader()
        first, second = (name for name in cluster.entries if name != leader)
        cluster.entries[first].sync.decode = decode_config
        row = row_of(5)
        apply_at(cluster, leader, row)
        apply_at(cluster, second, row)
        damaged = ConfigCopy(5, b"damaged", b"")
        cluster.entries[leader].sync.copy_for = lambda _: damaged  # type: ignore
        await until_versions(cluster, 5, within_s=2.0)


async def test_no_entry_is_behind_while_the_store_is_away_for_all() -> None:
    """Guards against a fleet that refuses everybody because nobody can read the store."""
    async with fleet() as cluster:
        for table in cluster.entry_tables.values():
            table.down = True
        await asyncio.sleep(1.5)
        assert not any(entry.sync.behind for entry in cluster.entries.values())
