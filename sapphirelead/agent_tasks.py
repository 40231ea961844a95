"""Runs batch tasks and watches on an instance, from a committed claim to a committed outcome.

An offer reserves capacity.  A start is accepted only if its claim names this incarnation, its epoch
is higher than any known epoch of the key, the lease is held and the ledger admits it.

Invariants:

- The lease is checked before each start or renewal.
- ``Refused`` and ``never_started`` are reported only if the worker cannot run the task: it received
  no request, it refused, or the requested lease has expired by its own clock and it lists no such
  task.
- A task's charge in the ledger is released only when the worker no longer runs it.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Err, Ok

from sapphirelead.agent_context import AgentContext
from sapphirelead.agent_outcomes import OutcomeReporter
from sapphirelead.agent_ports import Links
from sapphirelead.agent_stops import Stopper, find_task
from sapphirelead.agent_task_table import ClaimOutcome, Phase, StopOrder, Task, TaskTable
from sapphirelead.background import Background
from sapphirelead.clock import now
from sapphirelead.entry_ports import Channel
from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.model_job import Kind
from sapphirelead.model_resources import Resources
from sapphirelead.ports import TaskInfo, TaskSpec, TaskState
from sapphirelead.sched_zones import ZONE_EVACUATED
from sapphirelead.wire_messages import (
    Accepted,
    AnyMessage,
    EndAck,
    Offer,
    OutcomeAnswer,
    OutcomeQuery,
    Refused,
    Start,
    Started,
    Stop,
)

START_LEASE_S: Final = 5.0
RETRY_INTERVAL_S: Final = 0.2
EVICTION_TIMEOUT_S: Final = 2.3
EVICTION_POLL_INTERVAL_S: Final = 0.02


class TaskRunner:
    """Handles the entries' messages about tasks."""

    _context: AgentContext
    _task_table: TaskTable
    _links: Links
    _outcome_reporter: OutcomeReporter
    _stopper: Stopper
    _background: Background
    _wake_poll: Callable[[], None]
    _unremoved: set[str]

    def __init__(
        self,
        context: AgentContext,
        links: Links,
        outcome_reporter: OutcomeReporter,
        stopper: Stopper,
        background: Background,
        wake_poll: Callable[[], None],
    ) -> None:
        self._context = context
        self._task_table = context.task_table
        self._links = links
        self._outcome_reporter = outcome_reporter
        self._stopper = stopper
        self._background = background
        self._wake_poll = wake_poll
        self._unremoved = set()

    def register(self) -> None:
        """Subscribe to the messages about tasks."""
        self._links.on(Offer, self._on_offer)
        self._links.on(Start, self._on_start)
        self._links.on(Stop, self._on_stop)
        self._links.on(EndAck, self._on_end_ack)
        self._links.on(OutcomeQuery, self._on_outcome_query)

    def adopt(self, info: TaskInfo) -> None:
        """Add a task that the worker has from before this incarnation."""
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
        self._task_table.add(task)
        if info.state is TaskState.RUNNING:
            self._context.ledger.adopt(task.key, kind, info.resources, info.usage)
        log_event("INFO", "task_adopted", job=task.key, epoch=task.epoch, state=info.state)

    def _send(self, index: int, message: AnyMessage) -> None:
        self._background.spawn(self._send_control(index, message), "send-control")

    async def _send_control(self, index: int, message: AnyMessage) -> None:
        await self._links.send(index, Channel.CONTROL, message)

    def _refuse(self, index: int, offer: Offer | Start, reason: str) -> None:
        epoch = offer.epoch if isinstance(offer, Start) else 0
        self._refuse_claim(index, offer.offer_id, offer.key, epoch, reason)

    def _refuse_claim(self, index: int, offer_id: str, key: str, epoch: int, reason: str) -> None:
        log_event("INFO", "task_refused", job=key, epoch=epoch, reason=reason)
        head = self._context.sender.head()
        refused = Refused(offer_id=offer_id, key=key, epoch=epoch, reason=reason, **head)
        self._send(index, refused)

    def _unavailable_reason(self) -> str:
        """Return why no task may be started now, or an empty string."""
        if self._context.draining:
            return "draining"
        if self._context.zone_evacuated:
            return ZONE_EVACUATED
        if not self._context.ready or not self._context.session.healthy:
            return "worker unavailable"
        return "" if self._context.lease.may_act(now()) else "no lease"

    def _on_offer(self, index: int, offer: Offer) -> None:
        reason = self._unavailable_reason()
        if reason:
            self._refuse(index, offer, reason)
            return
        size = offer.resources.to_resources()
        ledger = self._context.ledger
        match ledger.reserve(offer.offer_id, offer.key, size, offer.urgent, now()):
            case Err(failure):
                self._refuse_or_evict(index, offer, size, failure)
            case Ok(_):
                self._accept(index, offer)

    def _accept(self, index: int, offer: Offer) -> None:
        head = self._context.sender.head()
        self._send(index, Accepted(offer_id=offer.offer_id, **head))

    def _refuse_or_evict(self, index: int, offer: Offer, size: Resources, failure: Failure) -> None:
        """Refuse an offer that does not fit, unless it is urgent and can evict other tasks."""
        running = {task.key for task in self._task_table.in_phase(Phase.RUNNING)}
        stopping = {task.key for task in self._task_table.in_phase(Phase.STOPPING)}
        possible = offer.urgent and failure.code is Code.OVERLOADED
        victims = self._context.ledger.find_victims(size, running, stopping) if possible else None
        if victims is None:
            self._refuse(index, offer, failure.message)
            return
        self._context.ledger.reserve_pending_eviction(offer.offer_id, offer.key, size, now())
        for key in victims:
            order = StopOrder(cancel=False, reason="urgent work")
            self._stopper.order(self._task_table.tasks[key], order)
        self._background.spawn(self._accept_when_free(index, offer), f"urgent-{offer.key}")

    async def _accept_when_free(self, index: int, offer: Offer) -> None:
        timeout_at = now() + EVICTION_TIMEOUT_S
        while self._context.ledger.overcommitted:
            if now() >= timeout_at:
                self._context.ledger.cancel_reservation(offer.offer_id)
                self._refuse(index, offer, "eviction took too long")
                return
            await asyncio.sleep(EVICTION_POLL_INTERVAL_S)
        self._accept(index, offer)

    def _on_start(self, index: int, start: Start) -> None:
        known = self._task_table.get(start.key, start.epoch)
        if known:
            self._confirm(index, known, start)
            return
        refusal = self._refusal(start)
        if refusal:
            self._context.ledger.cancel_reservation(start.offer_id)
            self._refuse(index, start, refusal)
            return
        self._begin(index, start)

    def _confirm(self, index: int, task: Task, start: Start) -> None:
        """Handle a repeated start; confirm the task if the claim names this incarnation."""
        if start.claimed_by in ("", self._context.sender.incarnation):
            task.confirmed = True
        if task.outcome:
            self._outcome_reporter.wake()
        elif task.phase is not Phase.STARTING:
            self._send(index, self._started(task))

    def _refusal(self, start: Start) -> str:
        if start.claimed_by not in ("", self._context.sender.incarnation):
            return "claim of an earlier run"
        if not self._task_table.may_start(start.key, start.epoch):
            return "stale epoch"
        if _kind(start.kind) is None:
            return "unknown kind"
        return self._unavailable_reason() or self._drop_earlier_epoch(start.key)

    def _drop_earlier_epoch(self, key: str) -> str:
        """Remove the task of an earlier epoch of ``key``; return a reason if that is not possible.

        The entry has committed a later claim, so the outcome of an ended task is settled and needs
        no acknowledgement.  A task that has not ended must be stopped before another is started.
        """
        earlier = self._task_table.tasks.get(key)
        if earlier is None:
            return ""
        if earlier.phase is not Phase.ENDED:
            self._stopper.order(earlier, StopOrder(cancel=True, reason="superseded"))
            return "an earlier epoch is stopping"
        self._task_table.forget(earlier)
        self._unremoved.add(key)
        return ""

    def _begin(self, index: int, start: Start) -> None:
        kind = Kind(start.kind)
        size = start.resources.to_resources()
        charged = self._context.ledger.charge(start.offer_id, start.key, kind, size, now())
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
        self._task_table.add(task)
        self._background.spawn(self._start(index, task), f"start-{task.key}")

    async def _start(self, index: int, task: Task) -> None:
        failure = await self._try_start(task)
        if task.outcome:
            # It was given back, because the worker has not answered.
            return
        if failure:
            self._context.ledger.release(task.key)
            self._task_table.drop_unstarted(task)
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
        """Start the task; return ``None`` on success, else why it has certainly not started."""
        if task.key in self._unremoved:
            await self._context.session.remove(task.key)
            self._unremoved.discard(task.key)
        lease_until = 0.0
        while True:
            if task.order or not self._may_lease():
                return await self._resolve_start(task, lease_until, "stopped before its start")
            lease_until = max(lease_until, self._start_lease())
            answer = await self._context.session.start(self._spec(task, lease_until))
            if isinstance(answer, Ok):
                return None
            if answer.err_value.code is not Code.WORKER_UNAVAILABLE:
                return await self._resolve_start(task, lease_until, answer.err_value.message)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _resolve_start(self, task: Task, lease_until: float, reason: str) -> Failure | None:
        """Determine whether a start with an unknown result took effect.

        A delayed request can take effect until its lease has expired by the worker's clock; a view
        without the task is conclusive only after that.
        """
        while lease_until and not task.outcome:
            viewed = await self._context.session.view()
            if isinstance(viewed, Ok):
                if find_task(viewed.ok_value.tasks, task):
                    return None
                if viewed.ok_value.clock > lease_until:
                    break
            await asyncio.sleep(RETRY_INTERVAL_S)
        return Failure(Code.WORKER_UNAVAILABLE, reason)

    def _may_lease(self) -> bool:
        """Return whether a start may be sent; each one can leave a lease behind."""
        at = now()
        unanswered_s = self._context.session.unanswered_s(at)
        return self._context.lease.may_act(at) and unanswered_s < START_LEASE_S

    def _start_lease(self) -> float:
        # Kept short, because a start with an unknown result is resolved only after it expires.
        deadline = min(self._context.lease.deadline, now() + START_LEASE_S)
        return self._context.session.lease_until(deadline)

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
        return Started(key=task.key, epoch=task.epoch, **self._context.sender.head())

    def _on_stop(self, _index: int, stop: Stop) -> None:
        task = self._task_table.get(stop.key, stop.epoch)
        if task is None:
            # The start may still arrive through another entry, and must then be refused.
            self._task_table.refuse(stop.key, stop.epoch)
        elif task.outcome:
            self._outcome_reporter.wake()
        else:
            self._stopper.order(task, StopOrder(stop.cancel, stop.reason))

    def _on_end_ack(self, _index: int, ack: EndAck) -> None:
        task = self._task_table.get(ack.key, ack.epoch)
        if task and task.outcome:
            self._task_table.forget(task)
            self._unremoved.add(task.key)
            self._background.spawn(self._remove(task.key), f"remove-{task.key}")

    async def _remove(self, key: str) -> None:
        # If this fails, the next poll removes the task because it is not in the table.
        if isinstance(await self._context.session.remove(key), Ok):
            self._unremoved.discard(key)

    def _on_outcome_query(self, index: int, request: OutcomeQuery) -> None:
        if not self._context.ready:
            # Tasks of an earlier incarnation are not listed yet; the entry will retry.
            return
        claimed_here = request.claimed_by == self._context.sender.incarnation
        claim_outcome = self._task_table.claim_outcome(request.key, request.epoch, claimed_here)
        head = self._context.sender.head()
        self._send(
            index,
            OutcomeAnswer(
                key=request.key, epoch=request.epoch, claim_outcome=claim_outcome, **head
            ),
        )
        if claim_outcome in (ClaimOutcome.COMPLETED, ClaimOutcome.FAILED, ClaimOutcome.STOPPED):
            self._outcome_reporter.wake()


def _kind(name: str) -> Kind | None:
    return Kind(name) if name in (Kind.BATCH, Kind.WATCH) else None
