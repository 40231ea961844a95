"""Single messages to the hub of an entry that no node of a fleet sends."""

import asyncio
from pathlib import Path
from typing import Final

import pytest

from bench.platform_site import BOUNDS
from sapphirelead.node_messages import (
    AgentReport,
    Call,
    CallKind,
    EntryAddress,
    FollowerHeartbeat,
    LeaderQuery,
    RunEnded,
    RunPhase,
    RunStatus,
)
from tests.crowd.link_peers import MORE, Peer, check_unharmed, encode, frame, running_entry
from tests.sched.fakes import worker_info

DEPTH: Final = 100_000
PARTS: Final = 5_000

EPOCH: Final = 1
"""Epoch of the entry, the first leader of its fleet."""


def nested_message() -> bytes:
    """Return a query with an unknown field of nested arrays."""
    query = encode(LeaderQuery("a1"))
    longer = bytes([query[0] + 1]) + query[1:]
    return frame(longer + b"\x91" * DEPTH + b"\x90")


def report(task: str) -> bytes:
    """Return a report of a run and of an end of ``task``."""
    runs = [RunStatus(task, 1, RunPhase.RUNNING)]
    ends = [RunEnded(1, task, 1, "done", "")]
    return frame(encode(AgentReport("a9", "b", 1, EPOCH, 1, worker_info("i-9"), True, runs, ends)))


def submission(job: bytes) -> bytes:
    """Return a submission that carries ``job``."""
    return frame(encode(Call(1, CallKind.SUBMIT, "q", "ab", 2, job, EPOCH)))


def heartbeat(address: EntryAddress) -> bytes:
    """Return the heartbeat of an entry at ``address``."""
    return frame(encode(FollowerHeartbeat(address, EPOCH, True, 2)))


MESSAGES: Final = {
    "nested_arrays": nested_message(),
    "no_body": frame(b""),
    "two_parts": frame(b"", MORE) + frame(encode(LeaderQuery("a1"))),
    "many_parts": frame(b"a", MORE) * PARTS + frame(b"a"),
    "half_a_message": frame(encode(LeaderQuery("a1"))[:-1]),
    "not_utf_8": frame(encode(LeaderQuery("a1")).replace(b"a1", b"\xff\xff")),
    "submission_without_a_job": submission(b""),
    "submission_of_another_message": submission(encode(LeaderQuery("a1"))),
    "task_without_a_number": report("x"),
    "task_of_an_odd_number": report("ab.0.0.x"),
    "task_of_a_negative_number": report("ab.0.-1.-1"),
    "end_of_a_huge_number": report(f"ab.{2**70}.0.0"),
    "entry_at_an_odd_address": heartbeat(EntryAddress("e9", "no host", 10**9)),
    "entry_at_no_address": heartbeat(EntryAddress("e9", "\0", -1)),
}


@pytest.mark.parametrize("name", MESSAGES)
async def test_a_malformed_message_does_not_end_the_entry(tmp_path: Path, name: str) -> None:
    """Guards against a single message of an unknown peer that ends the process."""
    async with running_entry(tmp_path) as entry:
        peer = await Peer.connect(entry.host)
        await peer.send(MESSAGES[name])
        await check_unharmed(entry)


async def test_a_configuration_that_does_not_exist_is_not_waited_for(tmp_path: Path) -> None:
    """Guards against a peer's word for a newer configuration, for which all callers wait."""
    async with running_entry(tmp_path) as entry:
        peer = await Peer.connect(entry.host)
        address = EntryAddress("e9", "127.0.0.1", 9)
        await peer.send(frame(encode(FollowerHeartbeat(address, EPOCH, True, 1 << 53))))
        # An entry goes on answering for a part of this time.
        await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000)
        await check_unharmed(entry)
