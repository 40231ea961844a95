"""Starts a job on an instance: offer, claim, start.

An offer makes the agent reserve capacity, so that a claim is rarely refused after its commit.  The
claim is committed on condition that the job's row is unchanged and that the agent's incarnation is
registered and not fenced; only then is the agent told to start.  If the start message was
definitely not sent, the claim is released.
"""

import asyncio
import secrets
from collections.abc import Iterable
from typing import Final

from result import Err, Ok

from sapphirelead.clock import now
from sapphirelead.entry_job_notifier import JobNotifier
from sapphirelead.entry_job_rows import JobRows, StoredJob
from sapphirelead.entry_lease import LeaseManager
from sapphirelead.entry_moves import JobMoves
from sapphirelead.entry_ports import Channel, ConfigService, Head, InstanceView, Links, Stamp
from sapphirelead.errors import Code
from sapphirelead.logs import log_event
from sapphirelead.model_job import Holder, Job
from sapphirelead.policy_placement import InstanceRecord
from sapphirelead.wire_messages import Accepted, Amount, Completed, Offer, Refused, Start

ADOPTION_OFFER_ID: Final = "adoption"
OFFER_TIMEOUT_S: Final = 1.0
URGENT_OFFER_TIMEOUT_S: Final = 2.5


class JobStarter:
    """Offers, claims and starts jobs, and tracks this entry's offers to each instance.

    :ivar records: unreported offers and consecutive failures by instance.
    """

    records: dict[str, InstanceRecord]
    _stamp: Stamp
    _rows: JobRows
    _notifier: JobNotifier
    _moves: JobMoves
    _leases: LeaseManager
    _links: Links
    _config: ConfigService
    _offers: dict[str, "asyncio.Future[bool]"]
    _placing: dict[str, "asyncio.Task[None]"]

    def __init__(
        self,
        stamp: Stamp,
        rows: JobRows,
        notifier: JobNotifier,
        moves: JobMoves,
        leases: LeaseManager,
        links: Links,
        config: ConfigService,
    ) -> None:
        self.records = {}
        self._stamp = stamp
        self._rows = rows
        self._notifier = notifier
        self._moves = moves
        self._leases = leases
        self._links = links
        self._config = config
        self._offers = {}
        self._placing = {}
        links.on(Accepted, self._on_accepted)
        links.on(Refused, self._on_refused)
        links.on(Completed, self._on_completed)

    @property
    def in_progress(self) -> int:
        """Number of jobs between offer and start."""
        return len(self._placing)

    def is_placing(self, key: str) -> bool:
        """Whether the job is between offer and start."""
        return key in self._placing

    def begin(self, stored: StoredJob, view: InstanceView, urgent: bool, rule: str) -> None:
        """Offer, claim and start a job in a background task."""
        key = stored.job.spec.key
        work = self._place(stored, view, urgent, rule)
        task = asyncio.create_task(work, name=f"place:{key}")
        self._placing[key] = task
        task.add_done_callback(lambda _: self._placing.pop(key, None))

    async def stop(self) -> None:
        """Wait a limited time for claims in progress, then cancel them."""
        placing = list(self._placing.values())
        if placing:
            _, late = await asyncio.wait(placing, timeout=2 * OFFER_TIMEOUT_S)
            for task in late:
                task.cancel()

    def drop_reported_offers(self, views: Iterable[InstanceView]) -> None:
        """Drop closed offers of each instance with a new report, which already includes them."""
        for view in views:
            record = self.records.setdefault(view.id, InstanceRecord())
            if view.counter == record.heartbeat:
                continue
            record.heartbeat = view.counter
            if record.offered:
                open_ids = self._offers.keys()
                record.offered = {k: v for k, v in record.offered.items() if k in open_ids}

    def head(self) -> Head:
        """Return the header fields of a message from this entry."""
        return self._stamp.head(self._config.current.version)

    def start_message(self, offer_id: str, job: Job) -> Start:
        """Return the message that starts, or confirms, the task of a committed claim."""
        spec = job.spec
        return Start(
            **self.head(),
            offer_id=offer_id,
            key=spec.key,
            epoch=job.epoch,
            kind=spec.kind,
            job_class=spec.job_class,
            team=spec.team,
            resources=Amount.from_resources(spec.resources),
            idempotent=spec.idempotent,
            input=spec.input,
            checkpoint=job.checkpoint,
            rule=job.rule,
            claimed_by=job.holder.incarnation if job.holder else "",
        )

    async def _place(self, stored: StoredJob, view: InstanceView, urgent: bool, rule: str) -> None:
        spec = stored.job.spec
        offer_id = secrets.token_hex(6)
        record = self.records.setdefault(view.id, InstanceRecord())
        record.offered[offer_id] = spec.resources
        accepted = await self._send_offer(offer_id, stored.job, view, urgent)
        claimed = await self._claim(stored, view) if accepted else None
        if claimed is None:
            record.offered.pop(offer_id, None)
            return
        epoch = claimed.job.epoch
        log_event("INFO", "job_placed", job=spec.key, epoch=epoch, instance=view.id, rule=rule)
        start = self.start_message(offer_id, claimed.job)
        if not await self._links.send(view.id, Channel.CONTROL, start):
            # The start message was not sent, so the task cannot have started.
            reporter = Holder(view.id, view.incarnation)
            await self._moves.release_unstarted(spec.key, epoch, reporter, "start not sent")

    async def _send_offer(self, offer_id: str, job: Job, view: InstanceView, urgent: bool) -> bool:
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._offers[offer_id] = fut
        spec = job.spec
        message = Offer(
            **self.head(),
            offer_id=offer_id,
            key=spec.key,
            kind=spec.kind,
            job_class=spec.job_class,
            team=spec.team,
            resources=Amount.from_resources(spec.resources),
            urgent=urgent,
        )
        try:
            if not await self._links.send(view.id, Channel.CONTROL, message):
                return False
            async with asyncio.timeout(URGENT_OFFER_TIMEOUT_S if urgent else OFFER_TIMEOUT_S):
                return await fut
        except TimeoutError:
            return False
        finally:
            del self._offers[offer_id]

    async def _claim(self, stored: StoredJob, view: InstanceView) -> StoredJob | None:
        """Commit the claim; ``None`` if the job changed or the instance is not registered."""
        guard = self._leases.guard(view.id, view.incarnation)
        if guard is None:
            await self._leases.refresh(view.id)
            guard = self._leases.guard(view.id, view.incarnation)
        updated = stored.job.claim(Holder(view.id, view.incarnation))
        if guard is None or isinstance(updated, Err):
            return None
        moved = await self._rows.move(stored, updated.ok_value, (guard,))
        if isinstance(moved, Ok):
            self._notifier.publish_committed(moved.ok_value)
            return moved.ok_value
        log_event("INFO", "claim_failed", job=stored.job.spec.key, reason=moved.err_value)
        if moved.err_value.code is Code.STORE_CONFLICT:
            await self._leases.refresh(view.id)
            found = await self._rows.read(stored.job.spec.key)
            if isinstance(found, Ok) and found.ok_value is not None:
                self._notifier.publish(found.ok_value)
        return None

    def _on_accepted(self, message: Accepted) -> None:
        self._resolve_offer(message.offer_id, True)

    def _on_refused(self, message: Refused) -> None:
        self._resolve_offer(message.offer_id, False)
        if message.epoch == 0 or message.offer_id == ADOPTION_OFFER_ID:
            # A refused confirmation of an adopted task does not show that the task never ran.
            return
        reporter = Holder(message.sender, message.incarnation)
        work = self._moves.release_unstarted(message.key, message.epoch, reporter, message.reason)
        self._moves.run_once("release", message.key, message.epoch, work)

    def _resolve_offer(self, offer_id: str, accepted: bool) -> None:
        fut = self._offers.get(offer_id)
        if fut is not None and not fut.done():
            fut.set_result(accepted)

    def _on_completed(self, message: Completed) -> None:
        """Count consecutive failures of each instance."""
        record = self.records.setdefault(message.sender, InstanceRecord())
        if message.ok:
            record.failures = 0
            return
        record.failures += 1
        record.failed_at = now()
