"""Periodic polls of the worker's tasks and renewals of their leases.

A poll compares the worker's list with the task table: it records outcomes and measured usage,
forwards new watch events to the entries, and stops and removes tasks that are not in the table.

A lease round extends the worker's leases of confirmed tasks up to the agent's lease.  When that
lease is about to expire, every running task is stopped at a checkpoint and never resumed by the
agent itself.  An adopted task whose claim is not confirmed in time is checkpointed as well, because
its job may have been started elsewhere.

A worker that leaves all calls unanswered gets no more leases after a while.  Once those that it has
must have expired, its tasks are given back as lost, so that their jobs do not wait for its return.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from result import Ok

from sapphirelead.agent_context import AgentContext
from sapphirelead.agent_ports import Links
from sapphirelead.agent_stops import LOST, Stopper, find_task, outcome_of
from sapphirelead.agent_task_table import ClaimOutcome, Phase, StopOrder, Task, TaskOutcome
from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.model_job import Kind
from sapphirelead.model_lease import GUARD_SHARE
from sapphirelead.ports import TaskInfo, TaskState, WorkerView
from sapphirelead.settings import LeaseSettings
from sapphirelead.wire_messages import WatchEvent

BUSY_INTERVAL_S: Final = 0.2
IDLE_INTERVAL_S: Final = 2.0
ROUNDS_PER_LEASE: Final = 20.0

ViewListener = Callable[[WorkerView], Awaitable[None]]


class Poller:
    """Runs the polls and the lease rounds.

    :ivar on_view: called with each view of the worker after the task table has been updated.
    """

    _context: AgentContext
    _links: Links
    _stopper: Stopper
    on_view: ViewListener
    _lease_s: float
    _margin_s: float
    _began_at: float
    _wake: asyncio.Event

    def __init__(
        self, context: AgentContext, links: Links, stopper: Stopper, settings: LeaseSettings
    ) -> None:
        self._context = context
        self._links = links
        self._stopper = stopper
        self._lease_s = settings.lease_seconds
        self._margin_s = settings.margin_seconds
        self._began_at = now()
        self._wake = asyncio.Event()
        self.on_view = _ignore

    def wake(self) -> None:
        """End an idle wait, because a task has started."""
        self._wake.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._wake.clear()
            if self._context.ready:
                await self.poll()
            active = bool(self._context.task_table.in_phase(Phase.RUNNING, Phase.STOPPING))
            if active:
                await asyncio.sleep(BUSY_INTERVAL_S)
                continue
            try:
                async with asyncio.timeout(IDLE_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def run_leases(self) -> None:
        """Run lease rounds until cancelled."""
        while True:
            await self.lease_round()
            await asyncio.sleep(self._lease_s / ROUNDS_PER_LEASE)

    async def poll(self) -> None:
        """Update the task table from the worker's list of tasks."""
        requested_at = now()
        viewed = await self._context.session.view()
        if not isinstance(viewed, Ok) or not self._context.ready:
            return
        view = viewed.ok_value
        for task in self._context.task_table.in_phase(Phase.RUNNING):
            # A task that started after the request was sent may be missing from the view.
            if task.since < requested_at:
                await self._update(task, find_task(view.tasks, task))
        for info in view.tasks:
            if info.task_id not in self._context.task_table.tasks:
                await self._remove_unknown(info)
        await self.on_view(view)

    async def lease_round(self) -> None:
        """Renew the worker's leases, or checkpoint the tasks if the agent's lease is expiring."""
        at = now()
        lease = self._context.lease
        if self._all_expired(at):
            self._give_back_tasks()
        running = self._context.task_table.in_phase(Phase.RUNNING)
        for task in running:
            if not task.confirmed and at - task.since > self._lease_s * GUARD_SHARE:
                self._stopper.order(task, StopOrder(cancel=False, reason="claim not confirmed"))
        if lease.expiring(at):
            for task in running:
                self._stopper.order(task, StopOrder(cancel=False, reason="lease"))
        if not lease.may_act(at) or self._unresponsive(at):
            return
        # Leases of stopping tasks are renewed too, so that the worker can finish the checkpoint.
        held = self._context.task_table.in_phase(Phase.RUNNING, Phase.STOPPING)
        until = self._context.session.lease_until(lease.deadline)
        leases = {task.key: until for task in held if task.confirmed}
        if leases:
            await self._context.session.renew(leases)

    def _unresponsive(self, at: float) -> bool:
        """Return whether the worker gets no more leases, because it does not answer."""
        return self._context.session.unanswered_s(at) > self._lease_s * GUARD_SHARE

    def _all_expired(self, at: float) -> bool:
        """Return whether the worker does not answer and no lease can still hold there."""
        # An earlier process of this agent may have granted leases just before this one began.
        until = max(self._context.session.leased_until, self._began_at + self._lease_s)
        return self._unresponsive(at) and at > until + self._margin_s

    def _give_back_tasks(self) -> None:
        for task in self._context.task_table.in_phase(
            Phase.STARTING, Phase.RUNNING, Phase.STOPPING
        ):
            log_event("WARNING", "task_given_back", job=task.key, epoch=task.epoch)
            self._stopper.finish(task, TaskOutcome(ClaimOutcome.STOPPED, reason=LOST))

    async def _update(self, task: Task, info: TaskInfo | None) -> None:
        if info is None:
            self._stopper.finish(task, TaskOutcome(ClaimOutcome.STOPPED, reason=LOST))
            return
        self._context.ledger.record_usage(task.key, info.usage)
        await self._forward_events(task, info)
        outcome = outcome_of(info)
        if outcome is None:
            return
        if outcome.claim_outcome is ClaimOutcome.STOPPED and not outcome.checkpoint:
            # Its lease expired at the worker, or the checkpoint is still being written.
            self._stopper.order(task, StopOrder(cancel=False, reason=outcome.reason))
        else:
            self._stopper.finish(task, outcome)

    async def _forward_events(self, task: Task, info: TaskInfo) -> None:
        if task.kind is not Kind.WATCH:
            return
        for offset, event in enumerate(info.events):
            number = info.first_event + offset
            if number > task.events_sent:
                task.events_sent = number
                head = self._context.sender.head()
                message = WatchEvent(
                    key=task.key, epoch=task.epoch, number=number, event=event, **head
                )
                await self._links.broadcast(message)

    async def _remove_unknown(self, info: TaskInfo) -> None:
        session = self._context.session
        if info.state is TaskState.RUNNING:
            log_event("WARNING", "task_unknown", job=info.task_id, epoch=info.epoch)
            await session.stop(info.task_id)
        await session.remove(info.task_id)


async def _ignore(_view: WorkerView) -> None:
    pass
