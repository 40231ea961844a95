"""The agent's regular rounds over the worker's tasks: what changed, and whose lease to renew.

Poll: compares the worker's list with the records.  Ends are noted, measured use goes to the ledger,
new events of watches go to every entry, and tasks at the worker that nobody here knows are stopped
and removed.

Lease round: while the lease may be acted on, the worker's leases of confirmed tasks are moved up to
it.  Near its end every task is stopped at a checkpoint.  If the lease comes back without a fence,
the entry commits those checkpoints and the jobs are queued again; a held task is never resumed here
on the agent's own judgement.

An adopted task whose claim is not moved to this incarnation in time is checkpointed too: the run
that the claim names may be fenced, and its job started elsewhere, while the task still runs here.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from result import Ok

from sapphirelead.agent_holdings import Holdings
from sapphirelead.agent_ports import Links
from sapphirelead.agent_stops import LOST, Stopper, end_of, find
from sapphirelead.agent_task_book import End, Fate, Phase, StopOrder, Task
from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.model_job import Kind
from sapphirelead.model_lease import GUARD_SHARE
from sapphirelead.ports import TaskInfo, TaskState, WorkerView
from sapphirelead.settings import LeaseSettings
from sapphirelead.wire_messages import WatchEvent

BUSY_SECONDS: Final = 0.2
IDLE_SECONDS: Final = 2.0
LEASE_ROUNDS: Final = 20.0

ViewListener = Callable[[WorkerView], Awaitable[None]]


class Poller:
    """Runs both rounds.

    :ivar on_view: called with each view after the records have been brought up to date.
    """

    _holdings: Holdings
    _links: Links
    _stopper: Stopper
    on_view: ViewListener
    _lease_s: float
    _wake: asyncio.Event

    def __init__(
        self, holdings: Holdings, links: Links, stopper: Stopper, settings: LeaseSettings
    ) -> None:
        self._holdings = holdings
        self._links = links
        self._stopper = stopper
        self._lease_s = settings.lease_seconds
        self._wake = asyncio.Event()
        self.on_view = _ignore

    def wake(self) -> None:
        """Poll soon, because a task has started."""
        self._wake.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._wake.clear()
            if self._holdings.ready:
                await self.poll()
            active = bool(self._holdings.book.in_phase(Phase.RUNNING, Phase.STOPPING))
            if active:
                await asyncio.sleep(BUSY_SECONDS)
                continue
            try:
                async with asyncio.timeout(IDLE_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def run_leases(self) -> None:
        """Renew or hold until cancelled."""
        while True:
            await self.lease_round()
            await asyncio.sleep(self._lease_s / LEASE_ROUNDS)

    async def poll(self) -> None:
        """Bring the records up to date with the worker."""
        asked_at = now()
        viewed = await self._holdings.session.view()
        if not isinstance(viewed, Ok) or not self._holdings.ready:
            return
        view = viewed.ok_value
        for task in self._holdings.book.in_phase(Phase.RUNNING):
            # A task that started after the question may be missing from the answer.
            if task.since < asked_at:
                await self._update(task, find(view.tasks, task))
        for info in view.tasks:
            if info.task_id not in self._holdings.book.tasks:
                await self._sweep(info)
        await self.on_view(view)

    async def lease_round(self) -> None:
        """Renew the worker's leases, or hold the tasks where the lease runs out."""
        at = now()
        lease = self._holdings.lease
        running = self._holdings.book.in_phase(Phase.RUNNING)
        for task in running:
            if not task.confirmed and at - task.since > self._lease_s * GUARD_SHARE:
                self._stopper.order(task, StopOrder(cancel=False, reason="claim not confirmed"))
        if lease.expiring(at):
            for task in running:
                self._stopper.order(task, StopOrder(cancel=False, reason="lease"))
        if not lease.may_act(at):
            return
        # A task that is being stopped keeps its lease: the worker must not cut the checkpoint.
        held = self._holdings.book.in_phase(Phase.RUNNING, Phase.STOPPING)
        until = self._holdings.session.lease_until(lease.deadline)
        leases = {task.key: until for task in held if task.confirmed}
        if leases:
            await self._holdings.session.renew(leases)

    async def _update(self, task: Task, info: TaskInfo | None) -> None:
        if info is None:
            self._stopper.finish(task, End(Fate.STOPPED, reason=LOST))
            return
        self._holdings.ledger.record_usage(task.key, info.usage)
        await self._forward_events(task, info)
        end = end_of(info)
        if end is None:
            return
        if end.fate is Fate.STOPPED and not end.checkpoint:
            # Its lease passed at the worker, or a checkpoint is still being written.
            self._stopper.order(task, StopOrder(cancel=False, reason=end.reason))
        else:
            self._stopper.finish(task, end)

    async def _forward_events(self, task: Task, info: TaskInfo) -> None:
        if task.kind is not Kind.WATCH:
            return
        for offset, event in enumerate(info.events):
            number = info.first_event + offset
            if number > task.events_sent:
                task.events_sent = number
                head = self._holdings.sender.head()
                message = WatchEvent(
                    key=task.key, epoch=task.epoch, number=number, event=event, **head
                )
                await self._links.broadcast(message)

    async def _sweep(self, info: TaskInfo) -> None:
        session = self._holdings.session
        if info.state is TaskState.RUNNING:
            log_event("WARNING", "task_unknown", job=info.task_id, epoch=info.epoch)
            await session.stop(info.task_id)
        await session.remove(info.task_id)


async def _ignore(_view: WorkerView) -> None:
    pass
