"""Forwards callers' requests from one entry to the leader, which may be in the same process.

Calls are idempotent, so a call without a reply is sent again, also to the next leader.  The final
reply is done, not run or unknown.  "Not run" is returned only if no leader can have stored the call
or if the current leader says so, since a leader knows all that its predecessors stored.  A
cancellation continues after its caller has been answered (:mod:`sapphirelead.node_cancels`), so its
outcome is unknown until a leader confirms it.
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
"""Maximum time for which a call is held while no leader can have stored it; then its caller can
retry at another entry."""

FORWARD_RETRY_DELAY_S: Final = 0.4
"""Initial retry delay of a submission that the leader has not read; it doubles with each retry.

Also the interval at which a forwarded call is checked: a query is sent again once the leader has
read a later call, unless the leader is congested."""

FORWARDED_WRITE_TIMEOUT_S: Final = 2.5
"""Maximum time that a leader works on a forwarded submission or cancellation."""

CANCEL_RETRY_DELAY_S: Final = LINK_TIMEOUT_S
"""Retry delay of a cancellation that the leader has not read.  Messages are lost only with their
connection; the leader merges retries of a call."""

REPLY_MARGIN_S: Final = 0.15
"""Time reserved before a caller's deadline for the reply to arrive."""

RETRY_AFTER_S: Final = 1.0
"""``retry_after_s`` of a reply to a call that no leader answered."""

CALL_NUMBER_BITS: Final = 62
"""Bits of the random first call number, so that numbers of different processes do not collide."""

RETRY_DELAY_S: Final = 0.1
"""Delay before a call is retried if the leader does not change."""

QUERIES: Final = frozenset({CallKind.STATE, CallKind.WAITING})


def forwarded_call_timeout_s(kind: CallKind) -> float:
    """Return how long a leader works on a call that another entry has forwarded."""
    return (
        FORWARDED_WRITE_TIMEOUT_S if kind in (CallKind.SUBMIT, CallKind.CANCEL) else HOLD_TIMEOUT_S
    )


class LeaderView(Protocol):
    """The forwarder's view of the leadership."""

    def serving_leader(self) -> Leader | None:
        """Return the leader in this process, if it accepts calls."""

    def followed_leader(self) -> str:
        """Return the name of the remote leader; empty if none responds."""

    def leader_epoch(self) -> int:
        """Return the epoch of the most recently known leader."""

    def send_to(self, name: str, message: AnyNodeMessage) -> bool:
        """Send to another entry; ``False`` guarantees that the message was not sent."""

    def config_version(self) -> int:
        """Return the version of the active configuration."""


@dataclass(slots=True)
class _ForwardedCall:
    """A forwarded call that waits for its reply.

    :ivar epoch: epoch of the leader that it was sent to.
    :ivar taken_at: when the leader acknowledged that it had read the call; ``None`` before.
    """

    epoch: int
    reply: "asyncio.Future[Reply]"
    taken_at: float | None = None

    def reply_deadline(self, kind: CallKind, until: float, end: float) -> float:
        """Return the time until which to wait for the reply.

        A submission or cancellation that the leader has read gets the leader's full working time.

        :param until: deadline for a call that has not been read.
        :param end: deadline for the call as a whole.
        """
        if self.taken_at is None or kind in QUERIES:
            return until
        return max(until, min(end, self.taken_at + forwarded_call_timeout_s(kind)))


class CallForwarder:
    """Forwards the calls of one entry to the leader.

    :ivar changed: set when the leader or the configuration has changed.
    """

    changed: asyncio.Event
    _view: LeaderView
    _pending: dict[int, _ForwardedCall]
    _cancels: PendingCancels
    _window: CallWindow
    _number: int
    _closes_at: float

    def __init__(self, view: LeaderView) -> None:
        self.changed = asyncio.Event()
        self._view = view
        self._pending = {}
        self._cancels = PendingCancels()
        self._window = CallWindow()
        # Call numbers differ between processes, so that a leader recognizes a retry.
        self._number = secrets.randbits(CALL_NUMBER_BITS)
        self._closes_at = math.inf

    def close_at(self, at: float) -> None:
        """Answer every pending call by time ``at``, before the process ends.

        Without a reply, the caller of a held call would only see a closed connection.
        """
        self._closes_at = at
        asyncio.get_running_loop().call_at(at, self.changed.set)

    async def wait_for_cancels(self, until: float) -> None:
        """Wait until no cancellation is pending, or until ``until``."""
        await self._cancels.wait_all(until - now())

    async def stop(self) -> None:
        """Stop the pending cancellations."""
        await self._cancels.stop()

    async def call(
        self,
        kind: CallKind,
        queue: str,
        job_id: str,
        job: bytes,
        deadline_s: float,
        ticket: str = "",
    ) -> Reply:
        """Carry out a caller's request and return the final reply.

        While no leader is known, a call is held for at most :data:`HOLD_TIMEOUT_S`.

        :param deadline_s: how long the caller waits, in seconds.
        :param ticket: ticket of a caller that was refused before.
        """
        self._number += 1
        version = self._view.config_version()
        call = Call(self._number, kind, queue, job_id, version, job, ticket=ticket)
        end = now() + max(deadline_s - REPLY_MARGIN_S, 0.05)
        until = min(end, now() + HOLD_TIMEOUT_S)
        if kind is CallKind.CANCEL:
            return await self._cancel(call, until)
        return await self._forward_until_answered(call, until, end)

    async def _forward_until_answered(self, call: Call, until: float, end: float) -> Reply:
        """Send a call to the current leader until there is a final reply.

        :param until: deadline while no leader can have stored the call.
        :param end: deadline for the call as a whole.
        """
        maybe_stored = False
        retry_s = FORWARD_RETRY_DELAY_S if call.kind is CallKind.SUBMIT else HOLD_TIMEOUT_S
        while now() < min(until, self._closes_at):
            if not maybe_stored:
                began = now()
                if not await self._wait_for_admission(call, until, end):
                    return _unanswered(call, ReplyKind.NOT_RUN, "the leader is overloaded")
                until = min(end, until + (now() - began))
            reply = await self._send_to_leader(call, min(until, self._closes_at), end, retry_s)
            if reply is None:
                self._window.release(call.number)
                continue
            if reply.kind not in (ReplyKind.NOT_LEADER, ReplyKind.LEAD_LOST):
                return reply
            if reply.kind is ReplyKind.LEAD_LOST and call.kind is CallKind.SUBMIT:
                # The old leader may have stored the submission.  The next leader knows, so retry
                # until the caller's deadline instead of returning "unknown" early.
                maybe_stored = True
                until = end
                retry_s *= 2
            await self._wait_for_leader_change(min(until, self._closes_at, now() + RETRY_DELAY_S))
        return _unanswered(call, ReplyKind.UNKNOWN if maybe_stored else ReplyKind.NOT_RUN)

    async def _wait_for_admission(self, call: Call, until: float, end: float) -> bool:
        """Wait until a call may be sent; submissions keep time for the leader to store them."""
        if self._view.serving_leader() is not None or not self._view.followed_leader():
            return True
        submits = call.kind is CallKind.SUBMIT
        admit_until = min(max(until, end - HOLD_TIMEOUT_S) if submits else until, self._closes_at)
        return await self._window.acquire(
            call.number, self._view.leader_epoch, admit_until, submits
        )

    async def _cancel(self, call: Call, until: float) -> Reply:
        """Cancel a job; the cancellation continues in the background after ``until``."""
        deadline = now() + PENDING_CANCEL_TIMEOUT_S
        pending = self._cancels.join(
            call.job_id, lambda: self._forward_until_confirmed(call, deadline)
        )
        if pending is None:
            return _unanswered(call, ReplyKind.NOT_RUN, "too many jobs are being cancelled")
        # asyncio.wait does not cancel the task on timeout.
        await asyncio.wait({pending}, timeout=until - now())
        if pending.done() and not pending.cancelled() and pending.exception() is None:
            return msgspec.structs.replace(pending.result(), number=call.number)
        return _unanswered(call, ReplyKind.UNKNOWN)

    async def _forward_until_confirmed(self, call: Call, deadline: float) -> Reply:
        """Forward a cancellation until a leader has stored it or reports the job as absent."""
        while (at := now()) < min(deadline, self._closes_at):
            until = min(deadline, self._closes_at, at + FORWARDED_WRITE_TIMEOUT_S)
            reply = await self._send_to_leader(call, until, deadline, CANCEL_RETRY_DELAY_S)
            if reply is not None and reply.kind in CONFIRMED_KINDS:
                return reply
            await self._wait_for_leader_change(min(until, now() + RETRY_DELAY_S))
        return _unanswered(call, ReplyKind.UNKNOWN)

    async def _send_to_leader(
        self, call: Call, until: float, end: float, retry_s: float
    ) -> Reply | None:
        """Send a call once to the current leader; ``None`` if it was not sent.

        :param until: deadline of this attempt.
        :param end: deadline of a submission to a local leader, and of a call that a remote leader
            has read.
        :param retry_s: time within which a remote leader has to read the call.
        """
        leader = self._view.serving_leader()
        if leader is None:
            return await self._forward(call, until, end, retry_s)
        return await leader.call(call, end if call.kind is CallKind.SUBMIT else until)

    async def _forward(self, call: Call, until: float, end: float, retry_s: float) -> Reply | None:
        """Send a call to the remote leader; without a reply in time, return ``LEAD_LOST``."""
        leader = self._view.followed_leader()
        if not leader:
            await self._wait_for_leader_change(until)
            return None
        fut: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        request = msgspec.structs.replace(call, epoch=self._view.leader_epoch())
        pending = self._pending[call.number] = _ForwardedCall(request.epoch, fut)
        try:
            if not self._view.send_to(leader, request):
                await self._wait_for_leader_change(min(until, now() + RETRY_DELAY_S))
                return None
            await self._wait_for_reply(pending, request, min(until, now() + retry_s), end)
        finally:
            self._pending.pop(call.number, None)
        if fut.done():
            return fut.result()
        log_event("INFO", "call_not_answered", job=call.job_id, kind=call.kind, leader=leader)
        return Reply(call.number, ReplyKind.LEAD_LOST)

    async def _wait_for_reply(
        self, pending: _ForwardedCall, request: Call, until: float, end: float
    ) -> None:
        """Wait for a reply until its deadline or until the leader's epoch changes."""
        fut = pending.reply
        while not fut.done():
            left_s = min(pending.reply_deadline(request.kind, until, end), self._closes_at) - now()
            if left_s <= 0:
                return
            await asyncio.wait({fut}, timeout=max(0.001, min(left_s, FORWARD_RETRY_DELAY_S)))
            if self._view.leader_epoch() != request.epoch:
                return
            if request.kind in QUERIES and self._window.overtaken(request.number):
                return

    def handle_reply(self, reply: Reply) -> None:
        """Accept a reply of the leader to which the call was sent last.

        A late "not run" of an earlier leader is ignored: the call has been sent to the next leader
        since, which may be storing it.
        """
        self._window.read(reply.number, reply.epoch)
        pending = self._pending.get(reply.number)
        if pending is None or pending.epoch != reply.epoch or pending.reply.done():
            return
        if reply.kind is ReplyKind.TAKEN:
            pending.taken_at = now()
        else:
            pending.reply.set_result(reply)

    async def _wait_for_leader_change(self, until: float) -> None:
        self.changed.clear()
        try:
            async with asyncio.timeout(max(until - now(), 0.001)):
                await self.changed.wait()
        except TimeoutError:
            return


def _unanswered(call: Call, kind: ReplyKind, detail: str = "no leader responds") -> Reply:
    return Reply(call.number, kind, retry_after_s=RETRY_AFTER_S, detail=detail)
