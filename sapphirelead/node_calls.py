"""Callers' requests at one entry: to the leader here or elsewhere, or an answer at once.

A call that has been passed on and not been answered is passed on again, also to the next leader,
because every call is idempotent.  What its caller is told in the end says what is known: done, not
run, or unknown.  "Not run" is said only where no leader can have stored the call, or where the
leader itself has said so; a successor knows whatever its predecessor stored, so its word counts
too.  A cancellation goes on after its caller has been answered
(:mod:`sapphirelead.node_cancels`), so it is unknown until a leader has confirmed it.
"""

import asyncio
import math
import secrets
from dataclasses import dataclass
from typing import Final, Protocol

import msgspec

from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.node_cancels import CONFIRMED_KINDS, PENDING_CANCEL_TIMEOUT_S, PendingCancels
from sapphirelead.node_leader import Leader
from sapphirelead.node_links import LINK_TIMEOUT_S
from sapphirelead.node_messages import AnyNodeMessage, Call, CallKind, Reply, ReplyKind
from sapphirelead.node_window import CallWindow

HOLD_TIMEOUT_S: Final = 0.9
"""Longest time that a call is held while no leader answers.

The caller can try another entry, which may reach the leader; with four retries it outlasts an
election of about two seconds."""

FORWARD_RETRY_DELAY_S: Final = 0.4
"""A submission that the leader has not read is passed on again after this, and then after twice as
long each time.  A question is passed on once more after this, only where the leader has read a
later call and is not behind: it is lost, or newer ones went before it."""

FORWARDED_WRITE_TIMEOUT_S: Final = 2.5
"""How long a leader waits for the store on behalf of another entry, for a submission whose write
has been sent or a cancellation; the entry asks again meanwhile and gives its caller the first
answer."""

CANCEL_RETRY_DELAY_S: Final = LINK_TIMEOUT_S
"""A cancellation that the leader has not read is passed on to it again after this.  Its first
message is lost only with the connection; the leader takes a second one for the first."""

REPLY_MARGIN_S: Final = 0.15
"""Time kept before a caller's deadline, so that the answer still arrives."""

RETRY_AFTER_S: Final = 1.0
"""When a caller may come back after a change of the leader or a short fault."""

CALL_NUMBER_BITS: Final = 62
"""Bits of the first call's number; chosen at random, two processes do not get near each other."""

RETRY_DELAY_S: Final = 0.1
"""Pause before a call is tried again without a change of the leader."""

QUERIES: Final = frozenset({CallKind.STATE, CallKind.WAITING})


def forwarded_call_timeout_s(kind: CallKind) -> float:
    """Return how long a leader works on a call that another entry has passed on."""
    return (
        FORWARDED_WRITE_TIMEOUT_S if kind in (CallKind.SUBMIT, CallKind.CANCEL) else HOLD_TIMEOUT_S
    )


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


@dataclass(slots=True)
class _ForwardedCall:
    """A call that has been passed on, and the leadership that it went to.

    :ivar taken_at: when the leader said that it had read the call; ``None`` before.
    """

    epoch: int
    reply: "asyncio.Future[Reply]"
    taken_at: float | None = None

    def reply_deadline(self, kind: CallKind, until: float, end: float) -> float:
        """Return until when a reply is waited for.

        A call that has been read is not lost, and the leader answers it in its time.

        :param until: how long a call that has not been read is waited for.
        :param end: how long the call may take in all.
        """
        if self.taken_at is None or kind in QUERIES:
            return until
        return max(until, min(end, self.taken_at + forwarded_call_timeout_s(kind)))


class CallForwarder:
    """The calls in progress at one entry.

    :ivar changed: set when it becomes known who leads.
    """

    changed: asyncio.Event
    _view: LeaderView
    _waiting: dict[int, _ForwardedCall]
    _cancels: PendingCancels
    _window: CallWindow
    _number: int
    _closes_at: float

    def __init__(self, view: LeaderView) -> None:
        self.changed = asyncio.Event()
        self._view = view
        self._waiting = {}
        self._cancels = PendingCancels()
        self._window = CallWindow()
        # Told apart from the numbers of all other processes, so that a leader knows a try again.
        self._number = secrets.randbits(CALL_NUMBER_BITS)
        self._closes_at = math.inf

    def close_at(self, at: float) -> None:
        """Give every call its final answer at time ``at``, whatever its caller's deadline.

        The process ends soon after.  A call that is still held then would end with a closed
        connection, and its caller would not even learn whether it may come again.
        """
        self._closes_at = at
        asyncio.get_running_loop().call_at(at, self.changed.set)

    async def wait_for_cancels(self, until: float) -> None:
        """Wait until no cancellation is passed on any more, or until ``until``."""
        await self._cancels.wait_all(until - now())

    async def stop(self) -> None:
        """End what goes on without a caller."""
        await self._cancels.stop()

    async def call(
        self, kind: CallKind, queue: str, job_id: str, job: bytes, deadline_s: float
    ) -> Reply:
        """Carry out a caller's request and return its final answer.

        A call that no leader has seen is held for :data:`HOLD_TIMEOUT_S` at most.

        :param deadline_s: how long the caller waits, in seconds.
        """
        self._number += 1
        call = Call(self._number, kind, queue, job_id, self._view.config_version(), job)
        end = now() + max(deadline_s - REPLY_MARGIN_S, 0.05)
        until = min(end, now() + HOLD_TIMEOUT_S)
        if kind is CallKind.CANCEL:
            return await self._cancel(call, until)
        return await self._forward_until_answered(call, until, end)

    async def _forward_until_answered(self, call: Call, until: float, end: float) -> Reply:
        """Ask whoever leads until there is an answer.

        :param until: how long the call is held while no leader can have taken it.
        :param end: how long it may take in all.
        """
        maybe_stored = False
        again_s = FORWARD_RETRY_DELAY_S if call.kind is CallKind.SUBMIT else HOLD_TIMEOUT_S
        while now() < min(until, self._closes_at):
            if not maybe_stored:
                began = now()
                if not await self._wait_for_admission(call, until, end):
                    return _unanswered(call, ReplyKind.NOT_RUN, "the leader is behind")
                until = min(end, until + (now() - began))
            reply = await self._send_to_leader(call, min(until, self._closes_at), end, again_s)
            if reply is None:
                self._window.release(call.number)
                continue
            if reply.kind not in (ReplyKind.NOT_LEADER, ReplyKind.LEAD_LOST):
                return reply
            if reply.kind is ReplyKind.LEAD_LOST and call.kind is CallKind.SUBMIT:
                # A submission that a leader may have stored is not run again by a caller who is
                # told "unknown".  The next leader knows, so it is asked to the end.
                maybe_stored = True
                until = end
                again_s *= 2
            await self._wait_for_leader_change(min(until, self._closes_at, now() + RETRY_DELAY_S))
        return _unanswered(call, ReplyKind.UNKNOWN if maybe_stored else ReplyKind.NOT_RUN)

    async def _wait_for_admission(self, call: Call, until: float, end: float) -> bool:
        """Wait until a call may be passed on; a submission leaves the leader time to store it."""
        if self._view.serving_leader() is not None or not self._view.followed_leader():
            return True
        submits = call.kind is CallKind.SUBMIT
        patient_until = min(max(until, end - HOLD_TIMEOUT_S) if submits else until, self._closes_at)
        return await self._window.acquire(
            call.number, self._view.leader_epoch, patient_until, submits
        )

    async def _cancel(self, call: Call, until: float) -> Reply:
        """Have a job cancelled; the caller waits until ``until``, the cancellation goes on."""
        give_up_at = now() + PENDING_CANCEL_TIMEOUT_S
        pending = self._cancels.join(
            call.job_id, lambda: self._forward_until_confirmed(call, give_up_at)
        )
        if pending is None:
            return _unanswered(call, ReplyKind.NOT_RUN, "too many jobs are being cancelled")
        # Waiting for a task leaves it alone when the caller's own time is up.
        await asyncio.wait({pending}, timeout=until - now())
        if pending.done() and not pending.cancelled() and pending.exception() is None:
            return msgspec.structs.replace(pending.result(), number=call.number)
        return _unanswered(call, ReplyKind.UNKNOWN)

    async def _forward_until_confirmed(self, call: Call, give_up_at: float) -> Reply:
        """Pass a cancellation on until a leader has stored it or knows of no such job."""
        while (at := now()) < min(give_up_at, self._closes_at):
            until = min(give_up_at, self._closes_at, at + FORWARDED_WRITE_TIMEOUT_S)
            reply = await self._send_to_leader(call, until, give_up_at, CANCEL_RETRY_DELAY_S)
            if reply is not None and reply.kind in CONFIRMED_KINDS:
                return reply
            await self._wait_for_leader_change(min(until, now() + RETRY_DELAY_S))
        return _unanswered(call, ReplyKind.UNKNOWN)

    async def _send_to_leader(
        self, call: Call, until: float, end: float, again_s: float
    ) -> Reply | None:
        """Ask whoever leads now, once; ``None`` where nobody is known to lead.

        :param until: how long the call may be held.
        :param end: how long this entry itself, if it leads, may work on a submission, and another
            one on a call that it has read.
        :param again_s: how long another entry that leads has to read the call.
        """
        leader = self._view.serving_leader()
        if leader is None:
            return await self._forward(call, until, end, again_s)
        return await leader.call(call, end if call.kind is CallKind.SUBMIT else until)

    async def _forward(self, call: Call, until: float, end: float, again_s: float) -> Reply | None:
        """Pass a call on; a call that was sent and not answered counts as lost with the lead."""
        leader = self._view.followed_leader()
        if not leader:
            await self._wait_for_leader_change(until)
            return None
        fut: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        asked = msgspec.structs.replace(call, epoch=self._view.leader_epoch())
        waiting = self._waiting[call.number] = _ForwardedCall(asked.epoch, fut)
        try:
            if not self._view.send_to(leader, asked):
                await self._wait_for_leader_change(min(until, now() + RETRY_DELAY_S))
                return None
            await self._wait_for_reply(waiting, asked, min(until, now() + again_s), end)
        finally:
            self._waiting.pop(call.number, None)
        if fut.done():
            return fut.result()
        log_event("INFO", "call_not_answered", job=call.job_id, kind=call.kind, leader=leader)
        return Reply(call.number, ReplyKind.LEAD_LOST)

    async def _wait_for_reply(
        self, waiting: _ForwardedCall, asked: Call, until: float, end: float
    ) -> None:
        """Wait for a reply while the leadership that was asked may still give one."""
        fut = waiting.reply
        while not fut.done():
            left_s = min(waiting.reply_deadline(asked.kind, until, end), self._closes_at) - now()
            if left_s <= 0:
                return
            await asyncio.wait({fut}, timeout=max(0.001, min(left_s, FORWARD_RETRY_DELAY_S)))
            if self._view.leader_epoch() != asked.epoch:
                return
            if asked.kind in QUERIES and self._window.overtaken(asked.number):
                return

    def handle_reply(self, reply: Reply) -> None:
        """Take the reply of the leadership that was asked last.

        A call that got no answer in time has gone to the next leader.  When the earlier one, which
        was slow or suspended, then says "not run", that is true of itself only: the next one may
        be storing the call at that moment, and a job would run whose caller was refused.
        """
        self._window.read(reply.number, reply.epoch)
        asked = self._waiting.get(reply.number)
        if asked is None or asked.epoch != reply.epoch or asked.reply.done():
            return
        if reply.kind is ReplyKind.TAKEN:
            asked.taken_at = now()
        else:
            asked.reply.set_result(reply)

    async def _wait_for_leader_change(self, until: float) -> None:
        self.changed.clear()
        try:
            async with asyncio.timeout(max(until - now(), 0.001)):
                await self.changed.wait()
        except TimeoutError:
            return


def _unanswered(call: Call, kind: ReplyKind, detail: str = "no leader answers") -> Reply:
    return Reply(call.number, kind, retry_after_s=RETRY_AFTER_S, detail=detail)
