"""Callers' requests at one entry: to the leader here or elsewhere, or an answer at once.

A call that has been passed on and not been answered is passed on again, also to the next leader,
because every call is idempotent.  What its caller is told in the end says what is known: done, not
run, or unknown.  "Not run" is said only where no leader can have stored the call, or where the
leader itself has said so; a successor knows whatever its predecessor stored, so its word counts
too.
"""

import asyncio
import math
import secrets
from typing import Final, Protocol

import msgspec

from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.node_leader import Leader
from sapphirelead.node_messages import AnyNodeMessage, Call, CallKind, Reply, ReplyKind

HOLD_S: Final = 0.9
"""Longest time that a call is held while no leader answers.

The caller can try another entry, which may reach the leader; with four retries it outlasts an
election of about two seconds."""

FORWARD_S: Final = 0.4
"""A call passed on without an answer is passed on again after this: many times the usual 20 ms, and
short enough for two tries while it is held."""

ANSWER_LATER_S: Final = 2.5
"""How long a leader waits for the store on behalf of another entry, for a submission whose write
has been sent; the entry asks again meanwhile and gives its caller the first answer."""

ANSWER_MARGIN_S: Final = 0.15
"""Time kept before a caller's deadline, so that the answer still arrives."""

RETRY_SOON_S: Final = 1.0
"""When a caller may come back after a change of the leader or a short fault."""

NUMBER_BITS: Final = 62
"""Bits of the first call's number; chosen at random, two processes do not get near each other."""

LOOK_S: Final = 0.1
"""Pause before a call is tried again without a change of the leader."""


def longest_wait_s(kind: CallKind) -> float:
    """Return how long a leader works on a call that another entry has passed on."""
    return ANSWER_LATER_S if kind is CallKind.SUBMIT else HOLD_S


class LeaderView(Protocol):
    """What the desk needs to know of who leads."""

    def serving_leader(self) -> Leader | None:
        """Return the leader in this process, if it takes calls."""

    def followed_leader(self) -> str:
        """Return the name of the leader elsewhere, if one has been heard of lately."""

    def leader_epoch(self) -> int:
        """Return the epoch of the leader that has been heard of last."""

    def send_to(self, name: str, message: AnyNodeMessage) -> bool:
        """Send to another entry; ``False`` means proven not sent."""

    def config_version(self) -> int:
        """Return the version of the configuration in force here."""


class CallDesk:
    """The calls in progress at one entry.

    :ivar changed: set when it becomes known who leads.
    """

    changed: asyncio.Event
    _view: LeaderView
    _waiting: dict[int, "asyncio.Future[Reply]"]
    _number: int
    _closes_at: float

    def __init__(self, view: LeaderView) -> None:
        self.changed = asyncio.Event()
        self._view = view
        self._waiting = {}
        # Told apart from the numbers of all other processes, so that a leader knows a try again.
        self._number = secrets.randbits(NUMBER_BITS)
        self._closes_at = math.inf

    def close_at(self, at: float) -> None:
        """Give every call its final answer at time ``at``, whatever its caller's deadline.

        The process ends soon after.  A call that is still held then would end with a closed
        connection, and its caller would not even learn whether it may come again.
        """
        self._closes_at = at
        asyncio.get_running_loop().call_at(at, self.changed.set)

    async def call(
        self, kind: CallKind, queue: str, job_id: str, job: bytes, deadline_s: float
    ) -> Reply:
        """Carry out a caller's request and return its final answer.

        A call that no leader has seen is held for :data:`HOLD_S` at most.

        :param deadline_s: how long the caller waits, in seconds.
        """
        self._number += 1
        call = Call(self._number, kind, queue, job_id, self._view.config_version(), job)
        began = now()
        end = began + max(deadline_s - ANSWER_MARGIN_S, 0.05)
        until = min(end, began + HOLD_S)
        maybe_stored = False
        while now() < min(until, self._closes_at):
            reply = await self._ask_leader(call, min(until, self._closes_at), end)
            if reply is None:
                continue
            if reply.kind not in (ReplyKind.NOT_LEADER, ReplyKind.LEAD_LOST):
                return reply
            if reply.kind is ReplyKind.LEAD_LOST and kind is CallKind.SUBMIT:
                # A submission that a leader may have stored is not run again by a caller who is
                # told "unknown".  The next leader knows, so it is asked to the end.
                maybe_stored = True
                until = end
            await self._wait_for_change(min(until, self._closes_at, now() + LOOK_S))
        kind_of_end = ReplyKind.UNKNOWN if maybe_stored else ReplyKind.NOT_RUN
        return Reply(
            call.number, kind_of_end, retry_after_s=RETRY_SOON_S, detail="no leader answers"
        )

    async def _ask_leader(self, call: Call, until: float, end: float) -> Reply | None:
        """Ask whoever leads now, once; ``None`` where nobody is known to lead.

        :param until: how long the call may be held.
        :param end: how long this entry itself, if it leads, may work on a submission.
        """
        leader = self._view.serving_leader()
        if leader is None:
            return await self._forward(call, until)
        return await leader.call(call, end if call.kind is CallKind.SUBMIT else until)

    async def _forward(self, call: Call, until: float) -> Reply | None:
        """Pass a call on; a call that was sent and not answered counts as lost with the lead."""
        leader = self._view.followed_leader()
        if not leader:
            await self._wait_for_change(until)
            return None
        fut: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._waiting[call.number] = fut
        try:
            asked = msgspec.structs.replace(call, epoch=self._view.leader_epoch())
            if not self._view.send_to(leader, asked):
                await self._wait_for_change(min(until, now() + LOOK_S))
                return None
            async with asyncio.timeout(max(0.001, min(FORWARD_S, until - now()))):
                return await fut
        except TimeoutError:
            log_event("INFO", "call_not_answered", job=call.job_id, kind=call.kind, leader=leader)
            return Reply(call.number, ReplyKind.LEAD_LOST)
        finally:
            self._waiting.pop(call.number, None)

    def replied(self, reply: Reply) -> None:
        """Take the leader's reply."""
        fut = self._waiting.get(reply.number)
        if fut is not None and not fut.done():
            fut.set_result(reply)

    async def _wait_for_change(self, until: float) -> None:
        self.changed.clear()
        try:
            async with asyncio.timeout(max(until - now(), 0.001)):
                await self.changed.wait()
        except TimeoutError:
            return
