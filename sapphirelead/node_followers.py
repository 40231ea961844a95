"""Registry of the entries that follow this leader, from their heartbeats."""

from collections import Counter
from typing import Final

from sapphirelead.node_messages import FollowerHeartbeat
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S

HEARTBEAT_TIMEOUT_S: Final = 2 * HEARTBEAT_INTERVAL_S
"""An entry whose last heartbeat is older is not offered the leadership; tolerates one lost
heartbeat."""

MUCH_STRONGER_FACTOR: Final = 1.5
"""Minimum ratio of processors for which the leadership moves to a stronger entry."""


class Followers:
    """The latest heartbeat of each follower and the number of offers made to it."""

    _heartbeats: dict[str, tuple[float, FollowerHeartbeat]]
    _offers: Counter[str]

    def __init__(self) -> None:
        self._heartbeats = {}
        self._offers = Counter()

    def on_heartbeat(self, heartbeat: FollowerHeartbeat, at: float) -> None:
        """Record a heartbeat."""
        self._heartbeats[heartbeat.address.name] = (at, heartbeat)

    def since_last_heartbeat_s(self, at: float) -> float:
        """Return the time since the latest heartbeat of any follower; 0 if there was none."""
        return at - max((heartbeat_at for heartbeat_at, _ in self._heartbeats.values()), default=at)

    def next_successor(self, at: float, with_store: bool) -> str:
        """Return the entry to offer the leadership to next; empty for none.

        Rotates over the eligible followers, those with the most processors first.

        :param with_store: only entries whose last calls to the store were answered.
        """
        return self._next_offer(self._eligible(at, with_store))

    def strongest(self, at: float) -> float:
        """Return the processors of the strongest eligible follower; 0 for none."""
        return max(self._eligible(at, with_store=True).values(), default=0.0)

    def much_stronger(self, cores: float, at: float) -> str:
        """Return an eligible follower that is much stronger than ``cores``; empty for none."""
        able = self._eligible(at, with_store=True)
        return self._next_offer(
            {name: theirs for name, theirs in able.items() if is_much_stronger(theirs, than=cores)}
        )

    def _next_offer(self, cores: dict[str, float]) -> str:
        """Return the strongest of those with the fewest offers and count an offer; empty for none.

        :param cores: processors of each follower to choose from.
        """
        name = min(cores, key=lambda name: (self._offers[name], -cores[name], name), default="")
        if name:
            self._offers[name] += 1
        return name

    def _eligible(self, at: float, with_store: bool) -> dict[str, float]:
        """Return the processors of each follower that can take over.

        Entries that are shutting down are excluded, because they ignore offers.
        """
        return {
            name: heartbeat.address.cores
            for name, (heartbeat_at, heartbeat) in self._heartbeats.items()
            if at - heartbeat_at < HEARTBEAT_TIMEOUT_S
            and not heartbeat.leaving
            and (heartbeat.store_ok or not with_store)
        }


def is_much_stronger(cores: float, than: float) -> bool:
    """Whether an entry with ``cores`` should lead rather than one with ``than``.

    An unknown number of processors (0) counts neither as weak nor as strong.

    >>> is_much_stronger(2.0, than=0.5), is_much_stronger(2.0, than=1.9), is_much_stronger(2.0, 0.0)
    (True, False, False)
    """
    return than > 0 and cores >= MUCH_STRONGER_FACTOR * than
