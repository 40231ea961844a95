"""The follower that a leader selects for a handover."""

from sapphirelead.node_followers import HEARTBEAT_TIMEOUT_S, Followers
from sapphirelead.node_messages import EntryAddress, FollowerHeartbeat


def heartbeat(
    name: str, store_ok: bool = True, leaving: bool = False, cores: float = 0.0
) -> FollowerHeartbeat:
    """Return a follower's heartbeat."""
    return FollowerHeartbeat(EntryAddress(name, "h", 1, cores), 1, store_ok, 1, leaving)


def test_a_leaving_or_unresponsive_entry_is_no_successor() -> None:
    followers = Followers()
    followers.on_heartbeat(heartbeat("leaving", leaving=True), 10.0)
    followers.on_heartbeat(heartbeat("silent"), 10.0 - HEARTBEAT_TIMEOUT_S)
    assert followers.next_successor(10.0, with_store=True) == ""
    followers.on_heartbeat(heartbeat("back"), 10.0)
    assert followers.next_successor(10.0, with_store=True) == "back"


def test_offers_rotate_over_the_followers() -> None:
    followers = Followers()
    for name in ("a", "b", "c"):
        followers.on_heartbeat(heartbeat(name), 1.0)
    assert {followers.next_successor(1.0, with_store=False) for _ in range(3)} == {"a", "b", "c"}


def test_an_entry_without_the_store_is_eligible_only_if_the_store_is_not_required() -> None:
    followers = Followers()
    followers.on_heartbeat(heartbeat("a", store_ok=False), 1.0)
    assert followers.next_successor(1.0, with_store=True) == ""
    assert followers.next_successor(1.0, with_store=False) == "a"


def test_time_since_the_last_heartbeat_is_zero_without_followers() -> None:
    followers = Followers()
    assert followers.since_last_heartbeat_s(100.0) == 0
    followers.on_heartbeat(heartbeat("a"), 98.0)
    assert followers.since_last_heartbeat_s(100.0) == 2.0


def test_the_strongest_are_offered_the_lead_first() -> None:
    followers = Followers()
    for name, cores in (("a", 0.5), ("b", 2.0), ("c", 0.5), ("d", 2.0)):
        followers.on_heartbeat(heartbeat(name, cores=cores), 1.0)
    offered = [followers.next_successor(1.0, with_store=True) for _ in range(5)]
    assert offered == ["b", "d", "a", "c", "b"]


def test_only_a_follower_that_could_lead_counts_as_strong() -> None:
    followers = Followers()
    followers.on_heartbeat(heartbeat("leaves", cores=4.0, leaving=True), 1.0)
    followers.on_heartbeat(heartbeat("without store", cores=4.0, store_ok=False), 1.0)
    followers.on_heartbeat(heartbeat("silent", cores=4.0), 1.0 - HEARTBEAT_TIMEOUT_S)
    followers.on_heartbeat(heartbeat("weak", cores=0.5), 1.0)
    assert followers.strongest(1.0) == 0.5
    assert followers.much_stronger(0.5, 1.0) == ""
    followers.on_heartbeat(heartbeat("strong", cores=2.0), 1.0)
    assert followers.strongest(1.0) == 2.0
    assert followers.much_stronger(0.5, 1.0) == "strong"
    assert followers.much_stronger(1.9, 1.0) == ""


def test_an_entry_with_unknown_processors_keeps_the_leadership() -> None:
    followers = Followers()
    followers.on_heartbeat(heartbeat("strong", cores=2.0), 1.0)
    assert followers.much_stronger(0.0, 1.0) == ""
