"""The entries that follow this one while it leads, as their heartbeats tell."""

from collections import Counter
from typing import Final

from sapphirelead.node_messages import EntryBeat
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S

RECENT_S: Final = 2 * HEARTBEAT_INTERVAL_S
"""An entry whose last heartbeat is older may be gone; one heartbeat may get lost."""

MUCH_STRONGER: Final = 1.5
"""Factor from which on the lead goes to a stronger entry; less is not worth a change."""


class Followers:
    """What is known of each follower."""

    _heard: dict[str, tuple[float, EntryBeat]]
    _offers: Counter[str]

    def __init__(self) -> None:
        self._heard = {}
        self._offers = Counter()

    def heard(self, beat: EntryBeat, at: float) -> None:
        """Take note of a heartbeat."""
        self._heard[beat.address.name] = (at, beat)

    def all_silent_s(self, at: float) -> float:
        """Return for how long no follower has been heard of; 0 where there never was one."""
        return at - max((heard_at for heard_at, _ in self._heard.values()), default=at)

    def next_successor(self, at: float, with_store: bool) -> str:
        """Return the entry to offer the lead to, a different one each time; empty for none.

        The strongest goes first: one process decides, stores and talks to all agents.

        :param with_store: only entries whose last calls to the store were answered.
        """
        return self._next_offer(self._able(at, with_store))

    def strongest(self, at: float) -> float:
        """Return the processors of the strongest follower that could lead; 0 for none."""
        return max(self._able(at, with_store=True).values(), default=0.0)

    def much_stronger(self, cores: float, at: float) -> str:
        """Return a follower that is much stronger than ``cores``; empty for none."""
        able = self._able(at, with_store=True)
        return self._next_offer(
            {name: theirs for name, theirs in able.items() if is_much_stronger(theirs, than=cores)}
        )

    def _next_offer(self, cores: dict[str, float]) -> str:
        """Return the strongest of those offered the lead least often; empty for none.

        :param cores: processors of each follower to choose from.
        """
        name = min(cores, key=lambda name: (self._offers[name], -cores[name], name), default="")
        if name:
            self._offers[name] += 1
        return name

    def _able(self, at: float, with_store: bool) -> dict[str, float]:
        """Return the followers that could lead, with their processors.

        An entry that is about to end ignores an offer.  A leader that gave up in favour of one
        left callers without a leader for the two to three seconds until somebody else noticed.
        """
        return {
            name: beat.address.cores
            for name, (heard_at, beat) in self._heard.items()
            if at - heard_at < RECENT_S and not beat.leaving and (beat.store_ok or not with_store)
        }


def is_much_stronger(cores: float, than: float) -> bool:
    """Whether an entry with ``cores`` should lead rather than one with ``than``.

    An entry of which nothing is known counts neither as weak nor as strong.

    >>> is_much_stronger(2.0, than=0.5), is_much_stronger(2.0, than=1.9), is_much_stronger(2.0, 0.0)
    (True, False, False)
    """
    return than > 0 and cores >= MUCH_STRONGER * than
