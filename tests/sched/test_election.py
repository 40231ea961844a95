"""When entries follow, ask, and take the lead."""

import pytest
from result import Result

from sapphirelead.clock import now
from sapphirelead.errors import Failure
from sapphirelead.node_election import READ_EVERY_S, WATCH_S, WEAK_WATCH_S, Election, Move
from sapphirelead.ports import Row
from sapphirelead.sched_head import Head, HeadRow, read_head
from sapphirelead.sched_timing import BEAT_S, LEADER_SILENCE_S
from tests.unit.fakes import MemoryTable


def seen(election: Election, head: HeadRow, at: float) -> None:
    """Let ``election`` read the head row."""
    assert election.next_move(at) is Move.READ
    election.saw_head(head, at)


def test_the_first_entry_takes_an_absent_row_at_once() -> None:
    election = Election("e1")
    seen(election, HeadRow(0, 0, "", ""), 0.0)
    assert election.next_move(0.01) is Move.TAKE


def test_a_row_that_moves_is_left_to_its_leader() -> None:
    election = Election("e1")
    at = 0.0
    for version in range(1, 20):
        at += READ_EVERY_S
        if election.next_move(at) is Move.READ:
            election.saw_head(HeadRow(version, 1, "e2", str(version)), at)
        assert election.next_move(at + 0.01) is not Move.TAKE


def test_a_row_that_stands_still_is_taken_after_the_watch() -> None:
    election = Election("e1")
    head = HeadRow(7, 3, "e2", "t")
    at = LEADER_SILENCE_S + 1
    seen(election, head, 0.0)
    began = at
    while election.next_move(at) is not Move.TAKE:
        election.saw_head(head, at)
        at += 0.1
    assert at - began < WATCH_S + 2 * READ_EVERY_S


def test_a_restarted_process_takes_its_own_row_at_once() -> None:
    election = Election("e1")
    seen(election, HeadRow(7, 3, "e1", "t"), 0.0)
    assert election.next_move(0.01) is Move.TAKE


def test_an_offer_outlives_a_heartbeat_of_the_leader_that_made_it() -> None:
    """A leader that stops offers the lead and leads on until it has been taken.

    Its answer to the follower's heartbeat arrived between the offer and the next look of the
    follower, who then ignored the offer: nothing was started for 0.7 s, until the next offer.
    """
    election = Election("e1")
    assert election.heard(3, "e2", serving=True, at=1.0)
    election.offered(3)
    assert election.heard(3, "e2", serving=True, at=1.01)
    assert election.next_move(1.02) is Move.TAKE


def test_an_offer_ends_with_the_epoch_that_it_was_made_in() -> None:
    election = Election("e1")
    assert election.heard(3, "e2", serving=True, at=1.0)
    election.offered(3)
    assert election.heard(4, "e3", serving=True, at=1.01)
    assert election.next_move(1.02) is Move.NOTHING


@pytest.mark.looptime
async def test_a_stopping_leader_does_not_take_back_what_it_gave_away() -> None:
    """The balancer's entries are restarted in turn.

    The leader is told to stop and offers the lead to a follower.  While it still finishes requests
    it sees that nobody leads and that the row names itself, and takes the lead back; when it ends a
    moment later nobody leads, and callers get no answer for seconds.
    """
    table = MemoryTable()
    election = Election("e1")
    seen(election, (await read_head(table)).unwrap(), now())
    assert await election.take(table) is not None
    election.leave()
    election.lost_lead()
    later = now() + 2 * READ_EVERY_S
    seen(election, (await read_head(table)).unwrap(), later)
    for step in range(40):
        assert election.next_move(later + step * 0.1) is not Move.TAKE
    election.offered(9)
    assert election.next_move(later + 5) is not Move.TAKE


@pytest.mark.looptime
async def test_a_leader_without_the_store_leaves_the_row_to_the_one_it_was_offered_to() -> None:
    """The store turns one entry away, and that entry leads.

    It offers the lead to a follower that reaches the store.  Its own way to the store comes back at
    that moment; it must not take the lead back because the row still names it.
    """
    table = MemoryTable()
    election = Election("e1")
    seen(election, (await read_head(table)).unwrap(), now())
    assert await election.take(table) is not None
    election.lost_lead()
    later = now() + 2 * READ_EVERY_S
    seen(election, (await read_head(table)).unwrap(), later)
    assert election.next_move(later + 0.05) is not Move.TAKE


@pytest.mark.looptime
async def test_only_one_of_two_entries_that_try_together_leads() -> None:
    table = MemoryTable()
    first, second = Election("e1"), Election("e2")
    head = (await read_head(table)).unwrap()
    first.saw_head(head, now())
    second.saw_head(head, now())
    taken = await first.take(table)
    assert taken is not None
    assert taken.epoch == 1
    assert await second.take(table) is None


def test_a_follower_that_has_lost_its_leader_goes_on_asking_it() -> None:
    """Callers of one entry get 503 all day, while all other entries serve.

    Its link to the leader was cut for two seconds, or it learnt of the leader before it knew the
    leader's address.  The head row moves on, so the lead is not to be taken; but heartbeats went
    only to a leader that had been heard of lately, and a leader answers only to heartbeats.
    """
    election = Election("e1")
    election.heard(1, "e2", True, 0.0)
    at, heartbeats = 0.0, 0
    for version in range(1, 40):
        at += 0.1
        heartbeats += election.beat_due(at)
        if election.next_move(at) is Move.READ:
            election.saw_head(HeadRow(version, 1, "e2", str(version)), at)
    assert at > 2 * LEADER_SILENCE_S
    assert not election.followed(at)
    assert heartbeats >= at / BEAT_S - 2
    election.heard(1, "e2", True, at)
    assert election.followed(at)


def test_heartbeats_go_to_no_leader_that_is_not_known_and_to_nobody_from_the_leader() -> None:
    election = Election("e1")
    assert not election.beat_due(1.0)
    election.heard(1, "e2", True, 1.0)
    assert election.beat_due(1.0)
    assert not election.beat_due(1.0 + BEAT_S / 2)
    assert election.beat_due(1.1 + BEAT_S)


def taken_after(election: Election, silent_from: float) -> float:
    """Return how long an entry waits until it takes a row that stands still."""
    head = HeadRow(7, 3, "e2", "t")
    at = silent_from + LEADER_SILENCE_S
    while election.next_move(at) is not Move.TAKE:
        election.saw_head(head, at)
        at += 0.02
    return at - silent_from - LEADER_SILENCE_S


@pytest.mark.parametrize(
    ("cores", "strongest", "least_s", "most_s"),
    [
        (0.5, 2.0, WEAK_WATCH_S, WEAK_WATCH_S + READ_EVERY_S),
        (2.0, 2.0, WATCH_S, WATCH_S + READ_EVERY_S),
        (0.5, 0.5, WATCH_S, WATCH_S + READ_EVERY_S),
        (0.5, 0.0, WATCH_S, WATCH_S + READ_EVERY_S),
        (0.0, 2.0, WATCH_S, WATCH_S + READ_EVERY_S),
    ],
)
def test_a_weak_entry_waits_for_a_strong_one(
    cores: float, strongest: float, least_s: float, most_s: float
) -> None:
    """The leader is lost, and whoever looks first leads next, also the weakest.

    A strong entry lives, as the leader has told, and gets the time to be first.  Where only weak
    ones live, none waits longer than before.
    """
    election = Election("e1", cores)
    assert election.heard(3, "e2", serving=True, at=1.0, strongest=strongest)
    assert least_s <= taken_after(election, 1.0) <= most_s


@pytest.mark.looptime
async def test_an_offer_is_taken_although_the_leader_writes_on() -> None:
    """A leader offers the lead and goes on storing a hundred ends a second.

    Each of its writes made the try fail that had read the row before, and the entry waited for the
    next offer.
    """
    table = MemoryTable()
    head = await Head.take(table, (await read_head(table)).unwrap(), "e2")
    assert head is not None
    election = Election("e1", 2.0)
    assert election.heard(1, "e2", serving=True, at=now())
    election.offered(1)
    reads = 0
    rows = table.rows

    async def overtaken(keys: list[str]) -> Result[list[Row], Failure]:
        nonlocal reads
        found = await rows(keys)
        reads += 1
        if reads <= 3:
            await head.commit([])
        return found

    table.rows = overtaken  # type: ignore[method-assign]
    taken = await election.take(table)
    assert taken is not None and taken.epoch == 2
