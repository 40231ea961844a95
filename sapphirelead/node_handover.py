"""Voluntary handover of the leadership to another entry.

The head row in the store decides who leads, so an offer is only a hint to try at once.  The leader
keeps leading until the offer has been taken, so that callers have a leader at all times.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.node_followers import Followers
from sapphirelead.node_leader import ISOLATION_TIMEOUT_S, Leader
from sapphirelead.node_messages import FollowerHeartbeat, Handover

OFFER_INTERVAL_S: Final = 0.7
"""Minimum time between two offers; leaves the follower time for a read and a write of the head
row."""

POLL_INTERVAL_S: Final = 0.1
"""Interval at which a leader that shuts down checks for a successor."""

STRONGER_OFFER_INTERVAL_S: Final = 2.0
"""Minimum time between two offers to a stronger entry."""

STALL_THRESHOLD_S: Final = 0.5
"""A gap between two checks that counts as a stall of this process: messages that arrived during it
are still unread, so peers seem unresponsive."""

SendOffer = Callable[[str, Handover], bool]


class HandoverController:
    """Decides when a leading entry offers its leadership to a follower or resigns.

    :ivar followers: the entries that could take over.
    """

    followers: Followers
    _send: SendOffer
    _cores: float
    _offered_at: float
    _checked_at: float

    def __init__(self, send: SendOffer, cores: float = 0.0) -> None:
        """Create the controller of an entry that may use ``cores`` processors; 0 if unknown."""
        self.followers = Followers()
        self._send = send
        self._cores = cores
        self._offered_at = -1e9
        self._checked_at = -1e9

    def on_heartbeat(self, heartbeat: FollowerHeartbeat) -> None:
        """Record a follower's heartbeat."""
        self.followers.on_heartbeat(heartbeat, now())

    def check(self, leader: Leader) -> None:
        """Resign if isolated; offer the leadership if the store is unreachable or a peer is better.

        To be called at regular intervals while this entry leads, also while it loads its state: its
        heartbeats keep the others from taking the leadership.
        """
        at = now()
        stalled = at - self._checked_at > STALL_THRESHOLD_S
        self._checked_at = at
        if not stalled and self._isolated(leader, at):
            # The store still confirms this leader and the head row keeps changing, so no other
            # entry would take over.
            log_event("WARNING", "lead_given_up", epoch=leader.head.epoch, reason="cut_off")
            leader.resign()
            return
        if leader.store_unavailable(at) and at - self._offered_at >= OFFER_INTERVAL_S:
            self._offered_at = at
            self._offer_without_store(leader, at)
        elif (
            leader.serving
            and not leader.store_unavailable(at)
            and at - self._offered_at >= STRONGER_OFFER_INTERVAL_S
        ):
            self._offer_to_stronger(leader, at)

    def _offer_without_store(self, leader: Leader, at: float) -> None:
        """Offer the leadership to one follower at a time, without resigning.

        The store may be unreachable for this entry only or for all; in the latter case the fleet
        keeps a leader that can still answer queries.
        """
        name = self.followers.next_successor(at, with_store=False)
        if name:
            self._offer(leader, name, "store_unreachable")

    def _offer_to_stronger(self, leader: Leader, at: float) -> None:
        """Offer the leadership to an entry with many more processors, if there is one.

        An election is won by the first entry to try; a weak leader of a large fleet delays reports,
        calls and starts.
        """
        name = self.followers.much_stronger(self._cores, at)
        if name:
            self._offered_at = at
            self._offer(leader, name, "stronger")

    def _offer(self, leader: Leader, name: str, reason: str) -> None:
        log_event("WARNING", "lead_handed_over", to=name, reason=reason)
        self._send(name, Handover(leader.head.epoch, leader.head.leader))

    def _isolated(self, leader: Leader, at: float) -> bool:
        """Whether neither the followers nor most agents have sent anything recently."""
        return self.followers.since_last_heartbeat_s(at) > ISOLATION_TIMEOUT_S and leader.isolated(
            at
        )

    async def leave(self, current: Callable[[], Leader | None], until: float) -> None:
        """Lead until a successor takes over, or until time ``until``; then release the leadership.

        In a rolling restart all other entries may be shutting down or absent at first.

        :param current: returns the leader in this process, if there is one.
        """
        while (leader := current()) is not None and now() < until:
            await self._offer_on_leaving(leader)
        leader = current()
        if leader is not None:
            await leader.release()

    async def _offer_on_leaving(self, leader: Leader) -> None:
        """Offer the leadership to an eligible follower, if any, and wait for it to take over."""
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
            # Resume starts for a while before the next offer, which suspends them again.
            await asyncio.sleep(OFFER_INTERVAL_S)
