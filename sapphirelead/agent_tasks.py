"""Batch tasks and watches on an instance: from a committed claim to a committed end.

Algorithm.  An offer reserves room.  A start is obeyed only if its claim names this incarnation, its
epoch is higher than any known of the key, the lease is held and the ledger admits it.  The worker's
view is polled and moves each record on; :mod:`sapphirelead.agent_stops` ends tasks on order, and
:mod:`sapphirelead.agent_ends` repeats each end until an entry has committed it.

Invariants:

- Nothing is started or renewed without asking the lease for the present time first.
- ``Refused`` and ``never_started`` are said of a start only if the worker cannot have it: it was
  never asked, it refused, or the lease given with the request has passed by the worker's own clock
  and the worker lists no such task.
- The ledger's charge of a task is given back only when the worker no longer runs it.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Err, Ok

from sapphirelead.agent_ends import EndReporter
from sapphirelead.agent_holdings import Holdings
from sapphirelead.agent_ports import Links
from sapphirelead.agent_stops import Stopper, find
from sapphirelead.agent_task_book import Fate, Phase, StopOrder, Task, TaskBook
from sapphirelead.background import Background
from sapphirelead.clock import now
from sapphirelead.entry_ports import Lane
from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.model_job import Kind
from sapphirelead.model_resources import Resources
from sapphirelead.ports import TaskInfo, TaskSpec, TaskState
from sapphirelead.wire_messages import (
    Accepted,
    AnyMessage,
    EndAck,
    FateAnswer,
    Offer,
    Refused,
    Start,
    Started,
    Stop,
)
from sapphirelead.wire_messages import Fate as FateRequest

START_LEASE_SECONDS: Final = 5.0
RETRY_SECONDS: Final = 0.2
EVICTION_SECONDS: Final = 2.3
EVICTION_POLL_SECONDS: Final = 0.02


class TaskRunner:
    """Obeys the entries' messages about tasks."""

    _holdings: Holdings
    _book: TaskBook
    _links: Links
    _ends: EndReporter
    _stopper: Stopper
    _background: Background
    _wake_poll: Callable[[], None]
    _leftovers: set[str]

    def __init__(
        self,
        holdings: Holdings,
        links: Links,
        ends: EndReporter,
        stopper: Stopper,
        background: Background,
        wake_poll: Callable[[], None],
    ) -> None:
        self._holdings = holdings
        self._book = holdings.book
        self._links = links
        self._ends = ends
        self._stopper = stopper
        self._background = background
        self._wake_poll = wake_poll
        self._leftovers = set()

    def register(self) -> None:
        """Take the messages about tasks from the links."""
        self._links.on(Offer, self._on_offer)
        self._links.on(Start, self._on_start)
        self._links.on(Stop, self._on_stop)
        self._links.on(EndAck, self._on_end_ack)
        self._links.on(FateRequest, self._on_fate)

    def adopt(self, info: TaskInfo) -> None:
        """Take over a task that the worker already has, from before this incarnation."""
        kind = _kind(info.kind) or Kind.BATCH
        task = Task(
            key=info.task_id,
            epoch=info.epoch,
            kind=kind,
            job_class=info.job_class,
            resources=info.resources,
            phase=Phase.RUNNING,
            confirmed=False,
            since=now(),
        )
        self._book.add(task)
        if info.state is TaskState.RUNNING:
            self._holdings.ledger.adopt(task.key, kind, info.resources, info.usage)
        log_event("INFO", "task_adopted", job=task.key, epoch=task.epoch, state=info.state)

    def _send(self, index: int, message: AnyMessage) -> None:
        self._background.spawn(self._send_control(index, message), "send-control")

    async def _send_control(self, index: int, message: AnyMessage) -> None:
        await self._links.send(index, Lane.CONTROL, message)

    def _refuse(self, index: int, offer: Offer | Start, reason: str) -> None:
        epoch = offer.epoch if isinstance(offer, Start) else 0
        self._refuse_claim(index, offer.offer_id, offer.key, epoch, reason)

    def _refuse_claim(self, index: int, offer_id: str, key: str, epoch: int, reason: str) -> None:
        log_event("INFO", "task_refused", job=key, epoch=epoch, reason=reason)
        head = self._holdings.sender.head()
        refused = Refused(offer_id=offer_id, key=key, epoch=epoch, reason=reason, **head)
        self._send(index, refused)

    def _closed(self) -> str:
        """Return why nothing may be started now, or an empty string."""
        if self._holdings.draining:
            return "draining"
        if not self._holdings.ready or not self._holdings.session.healthy:
            return "worker unavailable"
        return "" if self._holdings.lease.may_act(now()) else "no lease"

    def _on_offer(self, index: int, offer: Offer) -> None:
        closed = self._closed()
        if closed:
            self._refuse(index, offer, closed)
            return
        size = offer.resources.to_resources()
        ledger = self._holdings.ledger
        match ledger.reserve(offer.offer_id, offer.key, size, offer.urgent, now()):
            case Err(failure):
                self._refuse_or_evict(index, offer, size, failure)
            case Ok(_):
                self._accept(index, offer)

    def _accept(self, index: int, offer: Offer) -> None:
        head = self._holdings.sender.head()
        self._send(index, Accepted(offer_id=offer.offer_id, **head))

    def _refuse_or_evict(self, index: int, offer: Offer, size: Resources, failure: Failure) -> None:
        """Refuse an offer that does not fit, unless it is urgent and eviction makes room for it."""
        running = {task.key for task in self._book.in_phase(Phase.RUNNING)}
        stopping = {task.key for task in self._book.in_phase(Phase.STOPPING)}
        possible = offer.urgent and failure.code is Code.OVERLOADED
        victims = self._holdings.ledger.find_victims(size, running, stopping) if possible else None
        if victims is None:
            self._refuse(index, offer, failure.message)
            return
        self._holdings.ledger.reserve_pending_eviction(offer.offer_id, offer.key, size, now())
        for key in victims:
            order = StopOrder(cancel=False, reason="urgent work")
            self._stopper.order(self._book.tasks[key], order)
        self._background.spawn(self._accept_when_free(index, offer), f"urgent-{offer.key}")

    async def _accept_when_free(self, index: int, offer: Offer) -> None:
        gave_up_at = now() + EVICTION_SECONDS
        while self._holdings.ledger.overcommitted:
            if now() >= gave_up_at:
                self._holdings.ledger.cancel_reservation(offer.offer_id)
                self._refuse(index, offer, "eviction took too long")
                return
            await asyncio.sleep(EVICTION_POLL_SECONDS)
        self._accept(index, offer)

    def _on_start(self, index: int, start: Start) -> None:
        known = self._book.get(start.key, start.epoch)
        if known:
            self._confirm(index, known, start)
            return
        refusal = self._refusal(start)
        if refusal:
            self._holdings.ledger.cancel_reservation(start.offer_id)
            self._refuse(index, start, refusal)
            return
        self._begin(index, start)

    def _confirm(self, index: int, task: Task, start: Start) -> None:
        """Note that the committed claim names this incarnation; the start itself is a repeat."""
        if start.claimed_by in ("", self._holdings.sender.incarnation):
            task.confirmed = True
        if task.end:
            self._ends.wake()
        elif task.phase is not Phase.STARTING:
            self._send(index, self._started(task))

    def _refusal(self, start: Start) -> str:
        if start.claimed_by not in ("", self._holdings.sender.incarnation):
            return "claim of an earlier run"
        if not self._book.may_start(start.key, start.epoch):
            return "stale epoch"
        if _kind(start.kind) is None:
            return "unknown kind"
        return self._closed() or self._make_room_for_epoch(start.key)

    def _make_room_for_epoch(self, key: str) -> str:
        """Drop the record of an earlier epoch of ``key``, or say why that cannot be done.

        The entry committed a later claim, so the earlier one is settled and the acknowledgement of
        its end was lost.  Where it still runs it must stop before anything else is started.
        """
        earlier = self._book.tasks.get(key)
        if earlier is None:
            return ""
        if earlier.phase is not Phase.ENDED:
            self._stopper.order(earlier, StopOrder(cancel=True, reason="superseded"))
            return "an earlier epoch is stopping"
        self._book.forget(earlier)
        self._leftovers.add(key)
        return ""

    def _begin(self, index: int, start: Start) -> None:
        kind = Kind(start.kind)
        size = start.resources.to_resources()
        charged = self._holdings.ledger.charge(start.offer_id, start.key, kind, size, now())
        if isinstance(charged, Err):
            self._refuse(index, start, charged.err_value.message)
            return
        task = Task(
            key=start.key,
            epoch=start.epoch,
            kind=kind,
            job_class=start.job_class,
            resources=size,
            phase=Phase.STARTING,
            confirmed=True,
            since=now(),
            offer_id=start.offer_id,
            input=start.input,
            checkpoint=start.checkpoint,
            rule=start.rule,
        )
        self._book.add(task)
        self._background.spawn(self._start(index, task), f"start-{task.key}")

    async def _start(self, index: int, task: Task) -> None:
        failure = await self._try_start(task)
        if failure:
            self._holdings.ledger.release(task.key)
            self._book.drop_unstarted(task)
            self._refuse_claim(index, task.offer_id, task.key, task.epoch, failure.message)
            return
        task.phase = Phase.RUNNING
        task.since = now()
        log_event("INFO", "task_started", job=task.key, epoch=task.epoch, rule=task.rule)
        self._send(index, self._started(task))
        if task.order:
            self._stopper.order(task, task.order)
        self._wake_poll()

    async def _try_start(self, task: Task) -> Failure | None:
        """Start the task; return why it has proven not to be started, or ``None`` if it is."""
        if task.key in self._leftovers:
            await self._holdings.session.remove(task.key)
            self._leftovers.discard(task.key)
        lease_until = 0.0
        while True:
            if task.order or not self._holdings.lease.may_act(now()):
                return await self._settle_start(task, lease_until, "stopped before its start")
            lease_until = max(lease_until, self._first_lease())
            answer = await self._holdings.session.start(self._spec(task, lease_until))
            if isinstance(answer, Ok):
                return None
            if answer.err_value.code is not Code.WORKER_UNAVAILABLE:
                return await self._settle_start(task, lease_until, answer.err_value.message)
            await asyncio.sleep(RETRY_SECONDS)

    async def _settle_start(self, task: Task, lease_until: float, reason: str) -> Failure | None:
        """Find out whether a start took effect whose answer was lost.

        A request that is still under way can take effect until its lease has passed at the worker,
        so a view that does not show the task proves nothing before that.
        """
        while lease_until:
            viewed = await self._holdings.session.view()
            if isinstance(viewed, Ok):
                if find(viewed.ok_value.tasks, task):
                    return None
                if viewed.ok_value.clock > lease_until:
                    break
            await asyncio.sleep(RETRY_SECONDS)
        return Failure(Code.WORKER_UNAVAILABLE, reason)

    def _first_lease(self) -> float:
        # Short, because an ambiguous start is settled only after it.
        deadline = min(self._holdings.lease.deadline, now() + START_LEASE_SECONDS)
        return self._holdings.session.lease_until(deadline)

    def _spec(self, task: Task, lease_until: float) -> TaskSpec:
        return TaskSpec(
            task_id=task.key,
            epoch=task.epoch,
            kind=task.kind,
            job_class=task.job_class,
            resources=task.resources,
            input=task.input,
            checkpoint=task.checkpoint,
            lease_until=lease_until,
        )

    def _started(self, task: Task) -> Started:
        return Started(key=task.key, epoch=task.epoch, **self._holdings.sender.head())

    def _on_stop(self, _index: int, stop: Stop) -> None:
        task = self._book.get(stop.key, stop.epoch)
        if task is None:
            # The start may be under way through another entry, and would run a job that is
            # cancelled by the time it comes.
            self._book.refuse(stop.key, stop.epoch)
        elif task.end:
            self._ends.wake()
        else:
            self._stopper.order(task, StopOrder(stop.cancel, stop.reason))

    def _on_end_ack(self, _index: int, ack: EndAck) -> None:
        task = self._book.get(ack.key, ack.epoch)
        if task and task.end:
            self._book.forget(task)
            self._leftovers.add(task.key)
            self._background.spawn(self._remove(task.key), f"remove-{task.key}")

    async def _remove(self, key: str) -> None:
        # Where this fails, the poll finds a task without a record and removes it.
        if isinstance(await self._holdings.session.remove(key), Ok):
            self._leftovers.discard(key)

    def _on_fate(self, index: int, asked: FateRequest) -> None:
        if not self._holdings.ready:
            # Tasks of an earlier run are not listed yet; the entry asks again.
            return
        claimed_here = asked.claimed_by == self._holdings.sender.incarnation
        fate = self._book.fate(asked.key, asked.epoch, claimed_here)
        head = self._holdings.sender.head()
        self._send(index, FateAnswer(key=asked.key, epoch=asked.epoch, fate=fate, **head))
        if fate in (Fate.COMPLETED, Fate.FAILED, Fate.STOPPED):
            self._ends.wake()


def _kind(name: str) -> Kind | None:
    return Kind(name) if name in (Kind.BATCH, Kind.WATCH) else None
