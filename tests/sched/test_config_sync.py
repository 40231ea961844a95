"""Propagation of the configuration between entries: freshness, copies and whom to ask."""

import itertools
import json
import zlib

import pytest

from sapphirelead.config_sync.copies import (
    MAX_RETRY_S,
    RETRY_S,
    CopyRequests,
    config_of,
    copy_of,
    row_of,
)
from sapphirelead.config_sync.freshness import ConfigFreshness
from sapphirelead.node_config_sync import ConfigSync
from sapphirelead.node_messages import ConfigCopy, ConfigRequest
from sapphirelead.platform.config import decode_config

ROW = json.dumps({"version": 7, "routes": []}).encode()


def test_a_series_of_versions_does_not_extend_the_grace_period() -> None:
    """Guards against an entry that never counts as behind because versions keep coming."""
    freshness = ConfigFreshness(apply_s=3.0)
    freshness.record_held(1)
    for number in range(20):
        freshness.record_known(2 + number, number * 0.2)
    assert freshness.behind(1.1)
    freshness.record_held(20)
    assert not freshness.behind(4.7), "version 21 is known since 3.8"
    assert freshness.behind(4.9)


def test_an_entry_that_hears_of_nothing_newer_is_never_behind() -> None:
    """Guards against an outage of the store that makes every entry refuse."""
    freshness = ConfigFreshness(apply_s=3.0)
    assert not freshness.behind(1e6), "nothing is held: the entry is not ready anyway"
    freshness.record_held(4)
    freshness.record_known(4, 0.0)
    freshness.record_known(3, 0.0)
    assert not freshness.behind(1e6)


def test_versions_beyond_the_bound_are_not_forgotten() -> None:
    """Guards against memory that grows with the versions, and against forgetting the earliest."""
    freshness = ConfigFreshness(apply_s=3.0)
    freshness.record_held(1)
    for version in range(2, 5_000):
        freshness.record_known(version, version * 0.001)
    assert freshness.known == 4_999
    assert freshness.missing_s(6.0) == pytest.approx(5.998)
    freshness.record_held(4_999)
    assert freshness.missing_s(6.0) == 0.0


def test_a_copy_gives_the_row_back_and_is_small() -> None:
    routes = [
        {"name": f"r{n}", "host": "h.example", "prefix": f"/{n}/", "service": "s"}
        for n in range(1_100)
    ]
    row = json.dumps({"version": 9, "routes": routes}).encode()
    copy = copy_of(9, row)
    found, same = config_of(copy, decode_config).unwrap()
    assert (found.version, len(found.queues), same) == (9, 1_100, row)
    assert len(copy.data) * 5 < len(row)


@pytest.mark.parametrize(
    "copy",
    [
        ConfigCopy(7, b"", b""),
        ConfigCopy(7, b"not compressed", b""),
        ConfigCopy(7, copy_of(7, ROW).data[:-3], copy_of(7, ROW).digest),
        ConfigCopy(7, copy_of(7, ROW).data, copy_of(7, ROW).digest[::-1]),
        ConfigCopy(8, copy_of(7, ROW).data, copy_of(7, ROW).digest),
        copy_of(7, b"{}"),
        copy_of(7, b"[1]"),
        ConfigCopy(7, zlib.compress(b"x" * 9_000_000), b""),
    ],
)
async def test_a_damaged_copy_is_not_applied(copy: ConfigCopy) -> None:
    """Guards against routes that a peer's damaged or misnamed copy adds or drops."""
    sync = ConfigSync(apply_s=3.0)
    sync.decode = decode_config
    sync.record_applied(6, b"")
    sync.heard("e1", 7)
    assert config_of(copy, decode_config).is_err()
    assert sync.config_from(copy, "e1") is None


def test_a_decompression_bomb_is_cut_off() -> None:
    """Guards against a copy that takes all of an entry's memory."""
    assert "larger" in row_of(ConfigCopy(7, zlib.compress(b"x" * 9_000_000), b"")).unwrap_err()


def test_holders_are_asked_first_and_each_peer_again_only_after_all_others() -> None:
    """Guards against asking one unresponsive peer for ever."""
    requests = CopyRequests()
    peers = ["e1", "e2", "e3"]
    requests.record_holder("e3", 9)
    requests.record_holder("e1", 8)
    requests.want(9, 0.0)
    at = 0.0
    asked: list[str] = []
    times: list[float] = []
    while len(asked) < 6:
        if peer := requests.next_peer(peers, at):
            asked.append(peer)
            times.append(at)
        at += 0.05
    assert asked == ["e3", "e1", "e2"] * 2
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert min(gaps) >= RETRY_S - 0.01
    assert max(gaps) <= MAX_RETRY_S + 0.06
    requests.stop()
    assert requests.next_peer(peers, at + 9) == ""


def test_a_peer_with_nothing_newer_answers_nothing() -> None:
    """Guards against copies that cross the link in vain, and against empty ones."""
    sync = ConfigSync(apply_s=3.0)
    assert sync.copy_for(ConfigRequest(0)) is None
    sync.record_applied(7, ROW)
    assert sync.copy_for(ConfigRequest(7)) is None
    assert sync.copy_for(ConfigRequest(6)) == copy_of(7, ROW)
    sync.record_applied(8, b"")
    assert sync.copy_for(ConfigRequest(6)) is None, "the row of version 8 is not known"


async def test_a_leader_passes_on_the_version_that_a_follower_has_told_it() -> None:
    """Guards against followers that never learn of a version because their leader lacks it."""
    leader, follower = ConfigSync(apply_s=3.0), ConfigSync(apply_s=3.0)
    for sync in (leader, follower):
        sync.record_applied(4, b"")
    leader.heard("e2", 9)
    follower.heard("e1", held=4, newest=leader.known)
    assert follower.known == 9
