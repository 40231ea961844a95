"""Tests of cancellations at an entry with a congested or lost leader, on a simulated clock."""

import asyncio

import pytest

from sapphirelead.clock import now
from sapphirelead.node_calls import (
    CANCEL_RETRY_DELAY_S,
    HOLD_TIMEOUT_S,
    CallForwarder,
    forwarded_call_timeout_s,
)
from sapphirelead.node_cancels import MAX_PENDING_CANCELS, PENDING_CANCEL_TIMEOUT_S
from sapphirelead.node_messages import Call, CallKind, Reply, ReplyKind
from tests.sched.test_calls import FollowerView

pytestmark = pytest.mark.looptime

DEADLINE_S = 3.0


class TimedView(FollowerView):
    """A view that records when and to which leader each call was forwarded."""

    def __init__(self) -> None:
        super().__init__()
        self.forwarded: list[tuple[float, str, Call]] = []

    def send_to(self, name: str, message: object) -> bool:
        assert isinstance(message, Call)
        if self.connected:
            self.forwarded.append((now(), name, message))
        return super().send_to(name, message)


async def cancel(forwarder: CallForwarder, job_id: str = "a1") -> Reply:
    return await forwarder.call(CallKind.CANCEL, "q", job_id, b"", DEADLINE_S)


def answer_newest(
    forwarder: CallForwarder, view: TimedView, kind: ReplyKind = ReplyKind.OK
) -> None:
    """Reply to the newest try on behalf of the leader."""
    call = view.forwarded[-1][2]
    forwarder.handle_reply(Reply(call.number, kind, "cancelled", epoch=call.epoch))


async def test_cancel_continues_after_its_caller_has_been_answered() -> None:
    """Guards against losing a cancel when the leader responds only after the caller's timeout."""
    view = TimedView()
    forwarder = CallForwarder(view)
    began = now()
    reply = await cancel(forwarder)
    assert reply.kind is ReplyKind.UNKNOWN
    assert now() - began <= HOLD_TIMEOUT_S + 0.01
    await asyncio.sleep(5.0)
    assert view.forwarded[-1][0] - began > 3.0
    answer_newest(forwarder, view)
    await asyncio.sleep(0.01)
    forwarded = len(view.forwarded)
    await asyncio.sleep(PENDING_CANCEL_TIMEOUT_S)
    assert len(view.forwarded) == forwarded


async def test_cancel_continues_after_its_caller_disconnects() -> None:
    """Guards against losing a cancel that the entry has read when its caller disconnects."""
    view = TimedView()
    view.leader = ""
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(cancel(forwarder))
    await asyncio.sleep(0.1)
    asking.cancel()
    await asyncio.sleep(0.1)
    view.leader = "e1"
    forwarder.changed.set()
    await asyncio.sleep(0.2)
    assert [call.job_id for _, _, call in view.forwarded] == ["a1"]
    await forwarder.stop()


async def test_cancel_accepted_without_a_leader_reaches_the_next_leader() -> None:
    """Guards against dropping a cancel that arrives while there is no leader."""
    view = TimedView()
    view.leader = ""
    forwarder = CallForwarder(view)
    reply = await cancel(forwarder)
    assert reply.kind is ReplyKind.UNKNOWN
    await asyncio.sleep(3.0)
    view.leader, view.epoch = "e2", 2
    forwarder.changed.set()
    await asyncio.sleep(0.2)
    assert [(name, call.epoch) for _, name, call in view.forwarded] == [("e2", 2)]
    answer_newest(forwarder, view)


async def test_cancel_goes_to_the_next_leader_before_its_retry_delay() -> None:
    """Guards against waiting for a lost leader although the next one is serving."""
    view = TimedView()
    forwarder = CallForwarder(view)
    began = now()
    asking = asyncio.create_task(cancel(forwarder))
    await asyncio.sleep(0.1)
    view.leader, view.epoch = "e2", 2
    await asyncio.sleep(0.7)
    assert view.forwarded[-1][1] == "e2"
    assert view.forwarded[-1][0] - began < CANCEL_RETRY_DELAY_S
    answer_newest(forwarder, view)
    assert (await asking).kind is ReplyKind.OK


async def test_cancels_of_one_job_share_one_call() -> None:
    """Guards against repeated cancels of a job that add load to a congested leader."""
    view = TimedView()
    forwarder = CallForwarder(view)
    began = now()
    while now() - began < 3 * CANCEL_RETRY_DELAY_S - 0.5:
        assert (await cancel(forwarder)).kind is ReplyKind.UNKNOWN
    assert len(view.forwarded) == 3
    assert len({call.number for _, _, call in view.forwarded}) == 1
    asking = asyncio.create_task(cancel(forwarder))
    await asyncio.sleep(0.1)
    answer_newest(forwarder, view)
    assert (await asking).kind is ReplyKind.OK


async def test_cancel_of_an_absent_job_ends() -> None:
    view = TimedView()
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(cancel(forwarder))
    await asyncio.sleep(0.1)
    answer_newest(forwarder, view, ReplyKind.ABSENT)
    assert (await asking).kind is ReplyKind.ABSENT
    await asyncio.sleep(PENDING_CANCEL_TIMEOUT_S)
    assert len(view.forwarded) == 1


async def test_cancel_is_retried_when_the_store_is_slow() -> None:
    """The leader replies before the store has, so the cancel may be lost with that leader."""
    view = TimedView()
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(cancel(forwarder))
    await asyncio.sleep(0.1)
    answer_newest(forwarder, view, ReplyKind.UNKNOWN)
    await asyncio.sleep(0.2)
    assert len(view.forwarded) == 2
    answer_newest(forwarder, view)
    assert (await asking).kind is ReplyKind.OK


async def test_unconfirmed_cancel_is_abandoned_after_its_timeout() -> None:
    view = TimedView()
    forwarder = CallForwarder(view)
    began = now()
    await cancel(forwarder)
    await asyncio.sleep(2 * PENDING_CANCEL_TIMEOUT_S)
    assert view.forwarded[-1][0] - began <= PENDING_CANCEL_TIMEOUT_S
    assert view.forwarded[-1][0] - began > PENDING_CANCEL_TIMEOUT_S - 2 * CANCEL_RETRY_DELAY_S


async def test_cancels_beyond_the_bound_are_refused_as_not_run() -> None:
    """Guards against unbounded memory use by cancels that wait for a lost leader."""
    view = TimedView()
    view.leader = ""
    forwarder = CallForwarder(view)
    first = [
        asyncio.create_task(cancel(forwarder, f"a{number}"))
        for number in range(MAX_PENDING_CANCELS)
    ]
    await asyncio.sleep(0.01)
    began = now()
    reply = await cancel(forwarder, "b1")
    assert reply.kind is ReplyKind.NOT_RUN
    assert reply.retry_after_s > 0
    assert now() == began
    assert (await cancel(forwarder, "a1")).kind is ReplyKind.UNKNOWN
    assert {task.result().kind for task in first} == {ReplyKind.UNKNOWN}
    await forwarder.stop()


async def test_stopping_entry_waits_for_pending_cancels() -> None:
    """Guards against dropping unconfirmed cancels when the entry stops."""
    view = TimedView()
    forwarder = CallForwarder(view)
    assert (await cancel(forwarder)).kind is ReplyKind.UNKNOWN
    began = now()
    stopping = asyncio.create_task(forwarder.wait_for_cancels(now() + 5.0))
    await asyncio.sleep(2.0)
    assert not stopping.done()
    answer_newest(forwarder, view)
    await stopping
    assert now() - began < 2.1


async def test_stopping_entry_waits_for_pending_cancels_until_its_deadline() -> None:
    forwarder = CallForwarder(TimedView())
    await cancel(forwarder)
    began = now()
    await forwarder.wait_for_cancels(now() + 5.0)
    assert now() - began == pytest.approx(5.0)
    await forwarder.stop()


async def test_cancel_is_not_answered_by_the_reply_to_an_earlier_one() -> None:
    """Guards against answering a cancel by one that was decided before the job's submission."""
    view = TimedView()
    forwarder = CallForwarder(view)
    first = asyncio.create_task(cancel(forwarder))
    await asyncio.sleep(0.1)
    # The leader has decided on the first one; its reply is still in transit.
    second = asyncio.create_task(cancel(forwarder))
    third = asyncio.create_task(cancel(forwarder))
    await asyncio.sleep(0.1)
    answer_newest(forwarder, view, ReplyKind.ABSENT)
    await asyncio.sleep(0.01)
    assert (await first).kind is ReplyKind.ABSENT
    assert not second.done()
    assert len(view.forwarded) == 2
    answer_newest(forwarder, view)
    assert {(await second).kind, (await third).kind} == {ReplyKind.OK}
    assert len({call.number for _, _, call in view.forwarded}) == 2


async def test_queued_cancel_continues_after_its_caller_has_been_answered() -> None:
    """Guards against losing a cancel that is queued after one that ended as "no such job"."""
    view = TimedView()
    forwarder = CallForwarder(view)
    await cancel(forwarder)
    assert (await cancel(forwarder)).kind is ReplyKind.UNKNOWN
    began = now()
    answer_newest(forwarder, view, ReplyKind.ABSENT)
    await asyncio.sleep(PENDING_CANCEL_TIMEOUT_S + 2.0)
    numbers = [call.number for _, _, call in view.forwarded]
    assert len(set(numbers)) == 2
    assert view.forwarded[-1][0] <= began + PENDING_CANCEL_TIMEOUT_S
    assert not forwarder._cancels._tasks


async def test_stored_cancel_answers_later_cancels_of_its_job() -> None:
    view = TimedView()
    forwarder = CallForwarder(view)
    calls = [asyncio.create_task(cancel(forwarder)) for _ in range(50)]
    await asyncio.sleep(0.1)
    assert len(forwarder._cancels._all_tasks()) == 2
    answer_newest(forwarder, view)
    assert {reply.kind for reply in await asyncio.gather(*calls)} == {ReplyKind.OK}
    assert len(view.forwarded) == 1


@pytest.mark.parametrize("kind", [CallKind.CANCEL, CallKind.SUBMIT])
async def test_call_read_by_the_leader_is_not_retried_early(kind: CallKind) -> None:
    """Guards against retrying calls that the leader has read and that wait for its store."""
    view = TimedView()
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(forwarder.call(kind, "q", "a1", b"", 2 * PENDING_CANCEL_TIMEOUT_S))
    await asyncio.sleep(0.1)
    call = view.forwarded[-1][2]
    forwarder.handle_reply(Reply(call.number, ReplyKind.TAKEN, epoch=call.epoch))
    await asyncio.sleep(forwarded_call_timeout_s(kind) - 0.1)
    assert len(view.forwarded) == 1
    await asyncio.sleep(0.4)
    assert len(view.forwarded) == 2, "its reply is lost"
    answer_newest(forwarder, view)
    await asyncio.sleep(0.01)
    if kind is CallKind.SUBMIT:
        assert (await asking).kind is ReplyKind.OK


async def test_call_read_by_a_lost_leader_goes_to_the_next_leader() -> None:
    view = TimedView()
    forwarder = CallForwarder(view)
    asking = asyncio.create_task(cancel(forwarder))
    await asyncio.sleep(0.1)
    call = view.forwarded[-1][2]
    forwarder.handle_reply(Reply(call.number, ReplyKind.TAKEN, epoch=call.epoch))
    view.leader, view.epoch = "e2", 2
    await asyncio.sleep(0.6)
    assert [name for _, name, _ in view.forwarded] == ["e1", "e2"]
    answer_newest(forwarder, view)
    assert (await asking).kind is ReplyKind.OK
