"""Tests of an entry's calls to an overloaded leader, on a simulated clock."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from sapphirelead.clock import now
from sapphirelead.node_calls import HOLD_TIMEOUT_S, CallForwarder
from sapphirelead.node_inbox import Inbox
from sapphirelead.node_messages import AnyNodeMessage, Call, CallKind, Reply, ReplyKind
from sapphirelead.node_window import MAX_WINDOW, MIN_WINDOW
from tests.sched.test_calls import FollowerView

pytestmark = pytest.mark.looptime

DEADLINE_S = 3.0


class HubView(FollowerView):
    """An entry whose leader handles ten calls per second from its inbox."""

    def __init__(self) -> None:
        super().__init__()
        self.inbox = Inbox(HOLD_TIMEOUT_S)
        self.forwarder = CallForwarder(self)
        self.max_waiting = 0
        self.accepted: dict[str, float] = {}

    def send_to(self, name: str, message: AnyNodeMessage) -> bool:
        self.inbox.put(b"e2", message, now())
        self.max_waiting = max(self.max_waiting, len(self.inbox))
        return super().send_to(name, message)

    async def lead(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            item = self.inbox.take(now())
            if item is None:
                continue
            assert isinstance(item.message, Call)
            call = item.message
            if call.kind is CallKind.SUBMIT:
                self.accepted.setdefault(call.job_id, now())
            self.forwarder.handle_reply(
                Reply(call.number, ReplyKind.OK, "queued", epoch=call.epoch)
            )


class Callers:
    """Callers of one entry; records when each was answered."""

    def __init__(self, view: HubView) -> None:
        self.view = view
        self.ended: dict[str, tuple[float, Reply]] = {}
        self.took: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def call(self, kind: CallKind, job_id: str) -> None:
        began = now()
        reply = await self.view.forwarder.call(kind, "q", job_id, b"", DEADLINE_S)
        self.ended[job_id] = (now(), reply)
        self.took[job_id] = now() - began

    async def generate_load(self, for_s: float, *kinds: CallKind) -> None:
        """Make 30 calls per second of each kind, and one cancellation per second."""
        until = now() + for_s
        while now() < until:
            number = len(self._tasks)
            for kind in (*kinds, *([CallKind.CANCEL] if number % 30 < len(kinds) else [])):
                call = self.call(kind, f"{kind.value}{number}")
                self._tasks.append(asyncio.create_task(call))
            await asyncio.sleep(1 / 30)

    def accepted_late(self) -> int:
        """Return the number of submissions accepted after their callers had been answered."""
        accepted = self.view.accepted
        return sum(1 for job, end in self.ended.items() if accepted.get(job, 0.0) > end[0])

    async def leave(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@asynccontextmanager
async def overloaded() -> AsyncIterator[tuple[HubView, Callers]]:
    view = HubView()
    callers = Callers(view)
    leading = asyncio.create_task(view.lead())
    yield view, callers
    leading.cancel()
    await callers.leave()
    await view.forwarder.stop()


LOAD_KINDS = pytest.mark.parametrize(
    "kinds", [(CallKind.SUBMIT,), (CallKind.SUBMIT, CallKind.STATE)]
)


@LOAD_KINDS
async def test_queries_do_not_hide_a_backlog_of_submissions(kinds: tuple[CallKind, ...]) -> None:
    """Guards against a growing backlog of submissions while the leader answers queries."""
    async with overloaded() as (view, callers):
        await callers.generate_load(30.0, *kinds)
        first = callers.accepted_late()
        await callers.generate_load(30.0, *kinds)
        # Calls considered lost may still be queued at the leader.
        assert view.max_waiting <= MAX_WINDOW + MIN_WINDOW
        assert len(view.inbox) <= MAX_WINDOW
        assert callers.accepted_late() - first <= 1.5 * first + MIN_WINDOW
        cancels = [job_id for job_id in callers.took if job_id.startswith("cancel")]
        assert len(cancels) >= 55
        assert {callers.ended[job_id][1].kind for job_id in cancels} == {ReplyKind.OK}
        assert max(callers.took[job_id] for job_id in cancels) < 0.5


@LOAD_KINDS
async def test_few_submissions_are_accepted_after_their_callers_were_answered(
    kinds: tuple[CallKind, ...],
) -> None:
    """Guards against a window that grows until submissions wait longer than their callers."""
    async with overloaded() as (view, callers):
        await callers.generate_load(60.0, *kinds)
        assert callers.accepted_late() <= len(view.accepted) / 4
        assert len(view.accepted) >= 300
