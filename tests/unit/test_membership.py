"""Liveness of instances, from their messages and across pauses of the entry's own process."""

import msgspec
import pytest

from sapphirelead.model_membership import MembershipTable
from sapphirelead.wire_messages import Amount, Announce, Heartbeat

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
HEARTBEAT = Heartbeat(
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


def heartbeat(incarnation: str = "a", counter: int = 1, draining: bool = False) -> Heartbeat:
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


HISTORIES: dict[str, tuple[list[Announce | Heartbeat], list[str]]] = {
    "announced": ([announce()], ["a"]),
    "heartbeat without announcement": ([heartbeat()], []),
    "draining": ([announce(), heartbeat(draining=True)], []),
    "restarted": ([announce(), heartbeat(), announce("b"), heartbeat("b")], ["b"]),
    "late messages of the previous incarnation": (
        [announce(), announce("b"), announce(), heartbeat()],
        ["b"],
    ),
    "heartbeat of an unannounced incarnation": ([announce(), heartbeat("b")], ["a"]),
}


@pytest.mark.parametrize("name", HISTORIES)
def test_last_announced_incarnation_is_current(name: str) -> None:
    messages, expected = HISTORIES[name]
    table = MembershipTable(TIMEOUT_S, 0.0)
    for message in messages:
        if isinstance(message, Announce):
            table.announce(message, 1.0)
        else:
            table.heartbeat(message, 1.0)
    assert live(table, 1.0) == expected


def test_unresponsive_instance_is_not_live_until_next_heartbeat() -> None:
    table = MembershipTable(TIMEOUT_S, 0.0)
    table.announce(announce(), 0.0)
    tick_until(table, 0.0, TIMEOUT_S + 0.1)
    assert live(table, TIMEOUT_S + 0.1) == []
    table.heartbeat(heartbeat(counter=1), TIMEOUT_S + 0.2)
    assert live(table, TIMEOUT_S + 0.2) == ["a"]
    tick_until(table, TIMEOUT_S + 0.2, 2 * TIMEOUT_S + 0.3)
    table.heartbeat(heartbeat(counter=1), 2 * TIMEOUT_S + 0.3)
    assert live(table, 2 * TIMEOUT_S + 0.3) == [], "a repeated counter must be ignored"


def test_paused_entry_does_not_time_out_instances() -> None:
    """Guards against dropping all instances after a pause of the entry's own process."""
    table = MembershipTable(TIMEOUT_S, 0.0)
    table.announce(announce(), 0.0)
    tick_until(table, 0.0, 1.0)
    assert live(table, 11.0) == ["a"]
    tick_until(table, 11.0, 11.0 + TIMEOUT_S + 0.1)
    assert live(table, 11.0 + TIMEOUT_S + 0.1) == []


def test_fenced_incarnation_is_rejected_and_a_new_one_accepted() -> None:
    table = MembershipTable(TIMEOUT_S, 0.0)
    table.announce(announce(), 0.0)
    table.set_committed("i1", "a", 5)
    assert table.heartbeat(heartbeat(counter=6), 0.5).committed == 5
    table.mark_fenced("i1", "a")
    reply = table.heartbeat(heartbeat(counter=7), 1.0)
    assert reply.known and reply.fenced
    assert not table.announce(announce(), 1.0)
    assert live(table, 1.0) == []
    assert table.announce(announce("b"), 1.1)
    assert live(table, 1.1) == ["b"]
    assert table.heartbeat(heartbeat("b"), 1.2).committed == 0, "a new incarnation starts at zero"
    assert not table.set_committed("i1", "a", 9)


def test_long_unresponsive_instances_are_removed() -> None:
    table = MembershipTable(TIMEOUT_S, 0.0)
    table.announce(announce(), 0.0)
    table.announce(announce(sender="i2"), 50.0)
    assert table.remove_unresponsive(61.0) == ["i1"]
    assert [view.id for view in table.all()] == ["i2"]
