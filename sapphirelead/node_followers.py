"""The entries that follow this one while it leads, as their heartbeats tell."""

from typing import Final

from sapphirelead.node_messages import EntryBeat
from sapphirelead.sched_timing import BEAT_S

RECENT_S: Final = 2 * BEAT_S
"""An entry whose last heartbeat is older may be gone; one heartbeat may get lost."""


class Followers:
    """What is known of each follower."""

    _heard: dict[str, tuple[float, EntryBeat]]
    _offers: int

    def __init__(self) -> None:
        self._heard = {}
        self._offers = 0

    def heard(self, beat: EntryBeat, at: float) -> None:
        """Take note of a heartbeat."""
        self._heard[beat.address.name] = (at, beat)

    def all_silent_s(self, at: float) -> float:
        """Return for how long no follower has been heard of; 0 where there never was one."""
        return at - max((heard_at for heard_at, _ in self._heard.values()), default=at)

    def next_successor(self, at: float, with_store: bool) -> str:
        """Return the entry to offer the lead to, a different one each time; empty for none.

        An entry that is about to end ignores the offer.  A leader that gave up in favour of one
        left callers without a leader for the two to three seconds until somebody else noticed.

        :param with_store: only entries whose last calls to the store were answered.
        """
        found = sorted(
            name
            for name, (heard_at, beat) in self._heard.items()
            if at - heard_at < RECENT_S and not beat.leaving and (beat.store_ok or not with_store)
        )
        if not found:
            return ""
        self._offers += 1
        return found[self._offers % len(found)]
