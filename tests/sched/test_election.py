"""When entries follow the leader, read the head row and take the leadership."""

import pytest
from result import Result

from sapphirelead.clock import now
from sapphirelead.errors import Failure
from sapphirelead.node_election import (
    ELECTION_TIMEOUT_S,
    HEAD_READ_INTERVAL_S,
    MISSED_HEARTBEAT_S,
    WEAK_ELECTION_TIMEOUT_S,
    Election,
    Move,
)
from sapphirelead.ports import Row
from sapphirelead.sched_head import Head, HeadRow, read_head
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S, LEADER_TIMEOUT_S
from tests.unit.fakes import MemoryTable


def feed_head_row(election: Election, head: HeadRow, at: float) -> None:
    """Let ``election`` read the head row."""
    assert election.next_move(at) is Move.READ
    election.on_head_read(head, at)


def test_the_first_entry_takes_an_absent_row_at_once() -> None:
    election = Election("e1")
    feed_head_row(election, HeadRow(0, 0, "", ""), 0.0)
    assert election.next_move(0.01) is Move.TAKE


def test_a_changing_row_is_left_to_its_leader() -> None:
    election = Election("e1")
    at = 0.0
    for version in range(1, 20):
        at += HEAD_READ_INTERVAL_S
        if election.next_move(at) is Move.READ:
            election.on_head_read(HeadRow(version, 1, "e2", str(version)), at)
        assert election.next_move(at + 0.01) is not Move.TAKE


def test_an_unchanged_row_is_taken_after_the_election_timeout() -> None:
    election = Election("e1")
    head = HeadRow(7, 3, "e2", "t")
    at = LEADER_TIMEOUT_S + 1
    feed_head_row(election, head, 0.0)
    began = at
    while election.next_move(at) is not Move.TAKE:
        election.on_head_read(head, at)
        at += 0.1
    assert at - began < ELECTION_TIMEOUT_S + 2 * HEAD_READ_INTERVAL_S


def test_a_restarted_process_takes_its_own_row_at_once() -> None:
    election = Election("e1")
    feed_head_row(election, HeadRow(7, 3, "e1", "t"), 0.0)
    assert election.next_move(0.01) is Move.TAKE


def test_a_heartbeat_does_not_withdraw_an_offer() -> None:
    """Guards against dropping an offer when a heartbeat of the same leader arrives after it."""
    election = Election("e1")
    assert election.on_heartbeat(3, "e2", serving=True, at=1.0)
    election.on_offer(3)
    assert election.on_heartbeat(3, "e2", serving=True, at=1.01)
    assert election.next_move(1.02) is Move.TAKE


def test_an_offer_expires_with_its_epoch() -> None:
    election = Election("e1")
    assert election.on_heartbeat(3, "e2", serving=True, at=1.0)
    election.on_offer(3)
    assert election.on_heartbeat(4, "e3", serving=True, at=1.01)
    assert election.next_move(1.02) is Move.NOTHING


@pytest.mark.looptime
async def test_a_stopping_leader_does_not_retake_the_leadership() -> None:
    """Guards against a stopping entry taking the leadership back from its own head row."""
    table = MemoryTable()
    election = Election("e1")
    feed_head_row(election, (await read_head(table)).unwrap(), now())
    assert await election.take(table) is not None
    election.leave()
    election.on_leadership_lost()
    later = now() + 2 * HEAD_READ_INTERVAL_S
    feed_head_row(election, (await read_head(table)).unwrap(), later)
    for step in range(40):
        assert election.next_move(later + step * 0.1) is not Move.TAKE
    election.on_offer(9)
    assert election.next_move(later + 5) is not Move.TAKE


@pytest.mark.looptime
async def test_a_leader_that_lost_the_store_does_not_retake_an_offered_leadership() -> None:
    """Guards against retaking an offered leadership because the row still names this entry."""
    table = MemoryTable()
    election = Election("e1")
    feed_head_row(election, (await read_head(table)).unwrap(), now())
    assert await election.take(table) is not None
    election.on_leadership_lost()
    later = now() + 2 * HEAD_READ_INTERVAL_S
    feed_head_row(election, (await read_head(table)).unwrap(), later)
    assert election.next_move(later + 0.05) is not Move.TAKE


@pytest.mark.looptime
async def test_only_one_of_two_entries_that_try_together_leads() -> None:
    table = MemoryTable()
    first, second = Election("e1"), Election("e2")
    head = (await read_head(table)).unwrap()
    first.on_head_read(head, now())
    second.on_head_read(head, now())
    taken = await first.take(table)
    assert taken is not None
    assert taken.epoch == 1
    assert await second.take(table) is None


def test_a_follower_keeps_sending_heartbeats_to_an_unresponsive_leader() -> None:
    """Guards against a follower that never reconnects after its link to the leader failed.

    The leader sends heartbeats only in reply, and the changing head row prevents an election.
    """
    election = Election("e1")
    election.on_heartbeat(1, "e2", True, 0.0)
    at, heartbeats = 0.0, 0
    for version in range(1, 40):
        at += 0.1
        heartbeats += election.heartbeat_due(at)
        if election.next_move(at) is Move.READ:
            election.on_head_read(HeadRow(version, 1, "e2", str(version)), at)
    assert at > 2 * LEADER_TIMEOUT_S
    assert not election.has_live_leader(at)
    assert heartbeats >= at / HEARTBEAT_INTERVAL_S - 2
    election.on_heartbeat(1, "e2", True, at)
    assert election.has_live_leader(at)


def test_heartbeats_are_sent_at_their_interval_and_only_to_a_known_leader() -> None:
    election = Election("e1")
    assert not election.heartbeat_due(1.0)
    election.on_heartbeat(1, "e2", True, 1.0)
    assert election.heartbeat_due(1.0)
    assert not election.heartbeat_due(1.0 + HEARTBEAT_INTERVAL_S / 2)
    assert election.heartbeat_due(1.1 + HEARTBEAT_INTERVAL_S)


def time_until_take(election: Election, leader_seen_at: float) -> float:
    """Return the time until an entry takes an unchanged row, in seconds."""
    head = HeadRow(7, 3, "e2", "t")
    at = leader_seen_at + LEADER_TIMEOUT_S
    while election.next_move(at) is not Move.TAKE:
        election.on_head_read(head, at)
        at += 0.02
    return at - leader_seen_at - LEADER_TIMEOUT_S


@pytest.mark.parametrize(
    ("cores", "strongest", "least_s", "most_s"),
    [
        (0.5, 2.0, WEAK_ELECTION_TIMEOUT_S, WEAK_ELECTION_TIMEOUT_S + HEAD_READ_INTERVAL_S),
        (2.0, 2.0, ELECTION_TIMEOUT_S, ELECTION_TIMEOUT_S + HEAD_READ_INTERVAL_S),
        (0.5, 0.5, ELECTION_TIMEOUT_S, ELECTION_TIMEOUT_S + HEAD_READ_INTERVAL_S),
        (0.5, 0.0, ELECTION_TIMEOUT_S, ELECTION_TIMEOUT_S + HEAD_READ_INTERVAL_S),
        (0.0, 2.0, ELECTION_TIMEOUT_S, ELECTION_TIMEOUT_S + HEAD_READ_INTERVAL_S),
    ],
)
def test_a_weak_entry_waits_for_a_strong_one(
    cores: float, strongest: float, least_s: float, most_s: float
) -> None:
    """Guards against a weak entry winning the election before a known strong one can try."""
    election = Election("e1", cores)
    assert election.on_heartbeat(3, "e2", serving=True, at=1.0, strongest=strongest)
    assert least_s <= time_until_take(election, 1.0) <= most_s


@pytest.mark.looptime
async def test_an_offer_is_taken_while_the_leader_keeps_writing() -> None:
    """Guards against giving up on an offer when the leader's writes make attempts fail."""
    table = MemoryTable()
    head = await Head.take(table, (await read_head(table)).unwrap(), "e2")
    assert head is not None
    election = Election("e1", 2.0)
    assert election.on_heartbeat(1, "e2", serving=True, at=now())
    election.on_offer(1)
    reads = 0
    rows = table.rows

    async def rows_before_commit(keys: list[str]) -> Result[list[Row], Failure]:
        nonlocal reads
        found = await rows(keys)
        reads += 1
        if reads <= 3:
            await head.commit([])
        return found

    table.rows = rows_before_commit  # type: ignore[method-assign]
    taken = await election.take(table)
    assert taken is not None and taken.epoch == 2


def test_a_missed_heartbeat_leads_to_a_read_and_not_to_an_earlier_take() -> None:
    """Guards against a successor that knows the age of the last row only from its own beginning."""
    election = Election("e2")
    election.on_heartbeat(1, "e1", True, 0.0)
    assert election.next_move(MISSED_HEARTBEAT_S - 0.01) is Move.NOTHING
    at, first_read_at = MISSED_HEARTBEAT_S, 0.0
    while (move := election.next_move(at)) is not Move.TAKE:
        if move is Move.READ:
            first_read_at = first_read_at or at
            election.on_head_read(HeadRow(5, 1, "e1", "t"), at)
        at += 0.05
    assert first_read_at == MISSED_HEARTBEAT_S
    assert at >= LEADER_TIMEOUT_S + ELECTION_TIMEOUT_S
    assert election._seen_at == first_read_at


def test_a_released_row_is_taken_after_a_missed_heartbeat() -> None:
    """Guards against entries that wait for a leader that has resigned."""
    election = Election("e2")
    election.on_heartbeat(1, "e1", True, 0.0)
    feed_head_row(election, HeadRow(5, 1, "", "t"), MISSED_HEARTBEAT_S)
    assert election.next_move(MISSED_HEARTBEAT_S + 0.01) is Move.TAKE


def test_a_heartbeat_after_a_read_keeps_the_leader() -> None:
    """Guards against a leader that is deposed for one late heartbeat."""
    election = Election("e2")
    election.on_heartbeat(1, "e1", True, 0.0)
    feed_head_row(election, HeadRow(5, 1, "e1", "t"), MISSED_HEARTBEAT_S)
    election.on_heartbeat(1, "e1", True, 0.7)
    assert election.next_move(0.7 + MISSED_HEARTBEAT_S - 0.01) is Move.NOTHING
