"""Tests of the waiting times and replies of calls at an entry, on a simulated clock.

Covers calls that arrive while the leader is lost, being replaced or unreachable.
"""

import asyncio
from typing import cast

import pytest

from sapphirelead.clock import now
from sapphirelead.node_calls import FORWARD_RETRY_DELAY_S, HOLD_TIMEOUT_S, CallForwarder
from sapphirelead.node_leader import Leader
from sapphirelead.node_messages import AnyNodeMessage, Call, CallKind, Reply, ReplyKind

pytestmark = pytest.mark.looptime

DEADLINE_S = 3.0


class FollowerView:
    """A following entry that records forwarded calls; the test replies to them."""

    def __init__(self) -> None:
        self.leader = "e1"
        self.connected = True
        self.epoch = 1
        self.sent: list[Call] = []

    def serving_leader(self) -> Leader | None:
        return None

    def followed_leader(self) -> str:
        return self.leader

    def send_to(self, name: str, message: AnyNodeMessage) -> bool:
        assert isinstance(message, Call)
        if self.connected:
            self.sent.append(message)
        return self.connected

    def config_version(self) -> int:
        return 1

    def leader_epoch(self) -> int:
        return self.epoch


async def ask(forwarder: CallForwarder, kind: CallKind = CallKind.SUBMIT) -> tuple[Reply, float]:
    """Make a call; return its reply and how long it took."""
    began = now()
    reply = await forwarder.call(kind, "q", "a1", b"", DEADLINE_S)
    return reply, now() - began


async def test_call_without_a_leader_is_not_run_within_the_hold_timeout() -> None:
    view = FollowerView()
    view.leader = ""
    reply, took = await ask(CallForwarder(view))
    assert reply.kind is ReplyKind.NOT_RUN
    assert reply.retry_after_s > 0
    assert took <= HOLD_TIMEOUT_S + 0.01


async def test_held_calls_are_forwarded_to_a_new_leader_at_once() -> None:
    view = FollowerView()
    view.leader = ""
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(ask(forwarder))
    await asyncio.sleep(0.5)
    view.leader = "e2"
    forwarder.changed.set()
    await asyncio.sleep(0.01)
    forwarder.handle_reply(Reply(view.sent[0].number, ReplyKind.OK, "queued", epoch=view.epoch))
    reply, took = await asking
    assert reply.kind is ReplyKind.OK
    assert took < 0.6


async def test_submission_that_may_be_stored_is_not_reported_as_not_run() -> None:
    """The leader fails after a submission was forwarded to it, and may have stored it.

    After a wrong "not run", the caller would submit the same work again under another id.
    """
    view = FollowerView()
    reply, took = await ask(CallForwarder(view))
    assert reply.kind is ReplyKind.UNKNOWN
    assert took >= DEADLINE_S - 0.5
    assert len(view.sent) >= 3
    assert len({call.number for call in view.sent}) == 1


async def answer_each_try(forwarder: CallForwarder, view: FollowerView, kind: ReplyKind) -> None:
    """Send the same reply to each try of a call, after a short round-trip time."""
    answered = 0
    while True:
        await asyncio.sleep(0.02)
        for call in view.sent[answered:]:
            forwarder.handle_reply(Reply(call.number, kind, epoch=call.epoch))
        answered = len(view.sent)


async def test_submission_refused_by_a_non_leader_is_not_held_until_its_deadline() -> None:
    """The addressed entry replies that it is no longer the leader.

    The submission was not started, so its caller must not wait until its deadline.
    """
    view = FollowerView()
    forwarder = CallForwarder(view)
    answering = asyncio.create_task(answer_each_try(forwarder, view, ReplyKind.NOT_LEADER))
    reply, took = await ask(forwarder)
    answering.cancel()
    assert reply.kind is ReplyKind.NOT_RUN
    assert took <= HOLD_TIMEOUT_S + 0.01


async def test_submission_to_a_lost_leader_is_not_reported_as_not_run() -> None:
    view = FollowerView()
    forwarder = CallForwarder(view)
    answering = asyncio.create_task(answer_each_try(forwarder, view, ReplyKind.LEAD_LOST))
    reply, _ = await ask(forwarder)
    answering.cancel()
    assert reply.kind is ReplyKind.UNKNOWN


async def test_cancellation_at_a_lost_leader_is_not_reported_as_not_run() -> None:
    """The leader may have stored the cancellation before it was lost."""
    view = FollowerView()
    forwarder = CallForwarder(view)
    answering = asyncio.create_task(answer_each_try(forwarder, view, ReplyKind.LEAD_LOST))
    reply, took = await ask(forwarder, CallKind.CANCEL)
    answering.cancel()
    assert reply.kind is ReplyKind.UNKNOWN
    assert took <= HOLD_TIMEOUT_S + 0.01


class ResigningLeader:
    """A local leader that loses the leadership while it stores a submission."""

    def __init__(self, view: "LeadingView") -> None:
        self.view = view

    async def call(self, call: Call, until: float) -> Reply:
        await asyncio.sleep(0.05)
        self.view.own = None
        return Reply(call.number, ReplyKind.LEAD_LOST)


class LeadingView(FollowerView):
    """An entry that is the leader at first."""

    def __init__(self) -> None:
        super().__init__()
        self.leader = ""
        self.own: ResigningLeader | None = ResigningLeader(self)

    def serving_leader(self) -> Leader | None:
        return cast(Leader | None, self.own)


async def test_submission_to_a_lost_local_leader_is_not_reported_as_not_run() -> None:
    """The entry itself loses the leadership while the store writes a submission.

    The next leader may find the job in the store and run it.
    """
    reply, _ = await ask(CallForwarder(LeadingView()))
    assert reply.kind is ReplyKind.UNKNOWN


@pytest.mark.parametrize(
    ("leader", "told"),
    [("", ReplyKind.NOT_RUN), ("e1", ReplyKind.UNKNOWN)],
)
async def test_pending_calls_are_answered_when_the_entry_closes(
    leader: str, told: ReplyKind
) -> None:
    view = FollowerView()
    view.leader = leader
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(ask(forwarder))
    await asyncio.sleep(0.5)
    forwarder.close_at(now() + 0.1)
    reply, took = await asking
    assert reply.kind is told
    assert took <= 0.6 + FORWARD_RETRY_DELAY_S + 0.01


async def test_next_leader_answers_a_call_its_predecessor_left_open() -> None:
    view = FollowerView()
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(ask(forwarder))
    await asyncio.sleep(FORWARD_RETRY_DELAY_S / 2)
    view.leader = ""
    await asyncio.sleep(1.2)
    view.leader = "e2"
    forwarder.changed.set()
    await asyncio.sleep(0.2)
    forwarder.handle_reply(Reply(view.sent[-1].number, ReplyKind.OK, "queued", epoch=view.epoch))
    reply, _ = await asking
    assert reply.kind is ReplyKind.OK


async def test_forwarded_query_ends_within_the_hold_timeout() -> None:
    reply, took = await ask(CallForwarder(FollowerView()), CallKind.STATE)
    assert reply.kind is ReplyKind.NOT_RUN
    assert took <= HOLD_TIMEOUT_S + 0.01


async def test_broken_link_is_retried_without_busy_waiting() -> None:
    view = FollowerView()
    view.connected = False
    reply, took = await ask(CallForwarder(view))
    assert reply.kind is ReplyKind.NOT_RUN
    assert took <= HOLD_TIMEOUT_S + 0.01


async def test_each_retry_carries_the_epoch_of_its_leader() -> None:
    """A re-elected leader must not run a call of its earlier epoch that was answered "not run"."""
    view = FollowerView()
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(ask(forwarder))
    await asyncio.sleep(FORWARD_RETRY_DELAY_S / 2)
    view.epoch = 3
    await asking
    assert [call.epoch for call in view.sent][:2] == [1, 3]
    assert len({call.number for call in view.sent}) == 1


async def test_late_refusal_of_an_earlier_leader_is_ignored() -> None:
    """The late "not run" of a slow leader must not end a call that the next leader is storing."""
    view = FollowerView()
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(ask(forwarder))
    await asyncio.sleep(FORWARD_RETRY_DELAY_S / 2)
    view.leader, view.epoch = "e2", view.epoch + 1
    await asyncio.sleep(FORWARD_RETRY_DELAY_S)
    first, second = view.sent
    forwarder.handle_reply(Reply(first.number, ReplyKind.NOT_RUN, epoch=first.epoch))
    await asyncio.sleep(0.01)
    forwarder.handle_reply(Reply(second.number, ReplyKind.OK, "queued", epoch=second.epoch))
    reply, _ = await asking
    assert reply.kind is ReplyKind.OK
