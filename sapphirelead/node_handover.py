"""When a leader gives the lead to another entry, and to which.

The store alone makes a leader, so an offer is no more than a hint to try at once.  Whoever offers
the lead goes on leading until the offer has been taken: callers then have a leader at all times.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.node_followers import Followers
from sapphirelead.node_leader import ISOLATION_TIMEOUT_S, Leader
from sapphirelead.node_messages import EntryBeat, Handover

OFFER_INTERVAL_S: Final = 0.7
"""Time between two offers of the lead: a read and a write take half as long at most where the store
is there."""

POLL_INTERVAL_S: Final = 0.1
"""Time between two looks for an entry that could lead; a fraction of the heartbeat."""

STRONGER_OFFER_INTERVAL_S: Final = 2.0
"""Time between two offers of the lead to a stronger entry; the lead is in good order meanwhile."""

STALL_THRESHOLD_S: Final = 0.5
"""A look so long after the one before says that this process has not run in between: heartbeats and
reports that arrived meanwhile have not been taken yet, and everybody seems silent."""

SendOffer = Callable[[str, Handover], bool]


class HandoverController:
    """Keeps an entry's lead, or gives it away where another entry can do better.

    :ivar followers: the entries that could take it.
    """

    followers: Followers
    _send: SendOffer
    _cores: float
    _offered_at: float
    _checked_at: float

    def __init__(self, send: SendOffer, cores: float = 0.0) -> None:
        """Keep the lead of an entry that may use ``cores`` processors; 0 where it is not known."""
        self.followers = Followers()
        self._send = send
        self._cores = cores
        self._offered_at = -1e9
        self._checked_at = -1e9

    def on_heartbeat(self, beat: EntryBeat) -> None:
        """Take note of a follower's heartbeat."""
        self.followers.on_heartbeat(beat, now())

    def check(self, leader: Leader) -> None:
        """Hand the lead over when this entry alone has lost the store, or everybody else."""
        at = now()
        late = at - self._checked_at > STALL_THRESHOLD_S
        self._checked_at = at
        if not late and self._cut_off(leader, at):
            # Its store still confirms it, so the others would never take the lead: they would see
            # the head row move on.
            log_event("WARNING", "lead_given_up", epoch=leader.head.epoch, reason="cut_off")
            leader.resign()
            return
        if leader.store_unavailable(at) and at - self._offered_at >= OFFER_INTERVAL_S:
            self._offered_at = at
            self._offer_without_store(leader, at)
        elif (
            not leader.store_unavailable(at) and at - self._offered_at >= STRONGER_OFFER_INTERVAL_S
        ):
            self._offer_to_stronger(leader, at)

    def _offer_without_store(self, leader: Leader, at: float) -> None:
        """Offer the lead to one follower after the other, and go on leading until one has it.

        Whether the store is away for all or for this entry only, nobody here knows: the follower
        finds out when it reads the head row.  A leader that gave up first left everybody without
        one for as long as the store was away, and callers could not even ask for their jobs.
        """
        name = self.followers.next_successor(at, with_store=False)
        if name:
            self._offer(leader, name, "store_unreachable")

    def _offer_to_stronger(self, leader: Leader, at: float) -> None:
        """Offer the lead to an entry that can carry it better, if there is one.

        After a loss the lead goes to whoever is there first.  A weak entry that leads a large fleet
        falls behind: reports and calls wait for its processors, and work starts seconds late for as
        long as it leads.  Strengths do not change, so the lead moves once.
        """
        name = self.followers.much_stronger(self._cores, at)
        if name:
            self._offered_at = at
            self._offer(leader, name, "stronger")

    def _offer(self, leader: Leader, name: str, reason: str) -> None:
        log_event("WARNING", "lead_handed_over", to=name, reason=reason)
        self._send(name, Handover(leader.head.epoch, leader.head.leader))

    def _cut_off(self, leader: Leader, at: float) -> bool:
        """Whether neither followers nor most agents have been heard of lately."""
        return self.followers.since_last_heartbeat_s(at) > ISOLATION_TIMEOUT_S and leader.isolated(
            at
        )

    async def leave(self, current: Callable[[], Leader | None], until: float) -> None:
        """Lead on until another entry can, for as long as ``until`` at most; then release the lead.

        In a rolling restart the others may all be leaving or away at the moment of the signal.  The
        first one that is back sends its heartbeat within a fraction of a second and is offered the
        lead.

        :param current: returns the leader in this process, if there is one.
        """
        while (leader := current()) is not None and now() < until:
            await self._offer_on_leaving(leader)
        leader = current()
        if leader is not None:
            await leader.release()

    async def _offer_on_leaving(self, leader: Leader) -> None:
        """Offer the lead to one entry, if there is one that stays, and wait for it to lead."""
        name = self.followers.next_successor(now(), with_store=True)
        if not name or not leader.serving:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        await leader.finish()
        self._offer(leader, name, "stopping")
        try:
            async with asyncio.timeout(OFFER_INTERVAL_S):
                await leader.wait_ended()
        except TimeoutError:
            leader.resume_starts()
            # Rounds go on for a while before the next offer: each one holds new starts back, and
            # a leader whose offers nobody takes would start nothing until its end.
            await asyncio.sleep(OFFER_INTERVAL_S)
