"""Membership: who is live, judged by messages and an own clock that may have stood still."""

import msgspec
import pytest

from sapphirelead.model_membership import MembershipTable
from sapphirelead.wire_messages import Amount, Announce, Beat

TIMEOUT_S = 3.0
ANNOUNCE = Announce(
    sender="i1",
    incarnation="a",
    config_version=0,
    zone="z1",
    rack="r1",
    capacity=Amount(1000, 100, 0),
    slots=8,
    connections=64,
    services=["checks"],
)
HEARTBEAT = Beat(
    sender="i1",
    incarnation="a",
    config_version=0,
    counter=1,
    zone="z1",
    draining=False,
    slots_used=2,
    slots=8,
    connections_used=2,
    connections=64,
    free=Amount(500, 50, 0),
    tasks=1,
)


def announce(incarnation: str = "a", sender: str = "i1") -> Announce:
    return msgspec.structs.replace(ANNOUNCE, incarnation=incarnation, sender=sender)


def heartbeat(incarnation: str = "a", counter: int = 1, draining: bool = False) -> Beat:
    return msgspec.structs.replace(
        HEARTBEAT, incarnation=incarnation, counter=counter, draining=draining
    )


def tick_until(table: MembershipTable, start: float, end: float) -> None:
    at = start
    while at < end:
        table.tick(at)
        at += 0.3
    table.tick(end)


def live(table: MembershipTable, at: float) -> list[str]:
    return [view.incarnation for view in table.live(at)]


HISTORIES: dict[str, tuple[list[Announce | Beat], list[str]]] = {
    "announced": ([announce()], ["a"]),
    "beat without announcement": ([heartbeat()], []),
    "draining": ([announce(), heartbeat(draining=True)], []),
    "restarted": ([announce(), heartbeat(), announce("b"), heartbeat("b")], ["b"]),
    "late messages of the run before": (
        [announce(), announce("b"), announce(), heartbeat()],
        ["b"],
    ),
    "beat of a run not announced": ([announce(), heartbeat("b")], ["a"]),
}


@pytest.mark.parametrize("name", HISTORIES)
def test_last_announced_run_is_current(name: str) -> None:
    messages, expected = HISTORIES[name]
    table = MembershipTable(TIMEOUT_S, 0.0)
    for message in messages:
        if isinstance(message, Announce):
            table.announce(message, 1.0)
        else:
            table.heartbeat(message, 1.0)
    assert live(table, 1.0) == expected


def test_silent_instance_is_not_live_until_it_beats_again() -> None:
    table = MembershipTable(TIMEOUT_S, 0.0)
    table.announce(announce(), 0.0)
    tick_until(table, 0.0, TIMEOUT_S + 0.1)
    assert live(table, TIMEOUT_S + 0.1) == []
    table.heartbeat(heartbeat(counter=1), TIMEOUT_S + 0.2)
    assert live(table, TIMEOUT_S + 0.2) == ["a"]
    tick_until(table, TIMEOUT_S + 0.2, 2 * TIMEOUT_S + 0.3)
    table.heartbeat(heartbeat(counter=1), 2 * TIMEOUT_S + 0.3)
    assert live(table, 2 * TIMEOUT_S + 0.3) == [], "a repeated counter is no sign of life"


def test_entry_that_was_paused_accuses_nobody() -> None:
    """An entry is stopped for ten seconds while its instances go on beating.

    When it wakes, every last message looks ten seconds old.  Ejecting them all would answer each
    request with "no instance" until the next beats are read.  The gap in its own looks shows that
    it was the entry that slept; an instance that stays silent after that is found as usual.
    """
    table = MembershipTable(TIMEOUT_S, 0.0)
    table.announce(announce(), 0.0)
    tick_until(table, 0.0, 1.0)
    assert live(table, 11.0) == ["a"]
    tick_until(table, 11.0, 11.0 + TIMEOUT_S + 0.1)
    assert live(table, 11.0 + TIMEOUT_S + 0.1) == []


def test_fenced_run_is_told_so_and_a_new_one_is_welcome() -> None:
    table = MembershipTable(TIMEOUT_S, 0.0)
    table.announce(announce(), 0.0)
    table.set_committed("i1", "a", 5)
    assert table.heartbeat(heartbeat(counter=6), 0.5).committed == 5
    table.mark_fenced("i1", "a")
    verdict = table.heartbeat(heartbeat(counter=7), 1.0)
    assert verdict.known and verdict.fenced
    assert not table.announce(announce(), 1.0)
    assert live(table, 1.0) == []
    assert table.announce(announce("b"), 1.1)
    assert live(table, 1.1) == ["b"]
    assert (
        table.heartbeat(heartbeat("b"), 1.2).committed == 0
    ), "a counter of another run renews nothing"
    assert not table.set_committed("i1", "a", 9)


def test_instances_long_silent_are_forgotten() -> None:
    table = MembershipTable(TIMEOUT_S, 0.0)
    table.announce(announce(), 0.0)
    table.announce(announce(sender="i2"), 50.0)
    assert table.remove_unresponsive(61.0) == ["i1"]
    assert [view.id for view in table.all()] == ["i2"]
