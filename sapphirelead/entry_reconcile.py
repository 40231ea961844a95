"""Reconciles claims with what agents actually run.

Periodically, for each claim in this entry's shards:

- If the holder's incarnation is live, it is asked for the task's state until it confirms that the
  task runs, and again when that confirmation expires.  If cancellation was requested, it is sent a
  stop.
- If the instance is live under another incarnation (the agent restarted), that one is asked.  It
  replies ``running`` (the claim is moved to it under the same epoch) or ``lost``, or reports the
  task's end.
- If the registered incarnation is fenced, the holder is lost.  Until then an unresponsive instance
  keeps its claims, because its tasks may be running.

A claim is never released merely because its incarnation was replaced: the new incarnation may have
adopted the task.
"""

import asyncio
from typing import Final

from result import Err, Result

from sapphirelead.clock import now
from sapphirelead.entry_job_rows import StoredJob
from sapphirelead.entry_lease import LeaseManager
from sapphirelead.entry_lease_rows import Registration
from sapphirelead.entry_moves import JobMoves
from sapphirelead.entry_ports import Channel, Links, Members
from sapphirelead.entry_scheduler import Scheduler
from sapphirelead.entry_start import ADOPTION_OFFER_ID, JobStarter
from sapphirelead.errors import Code, Failure
from sapphirelead.model_job import Holder, Job, JobState
from sapphirelead.wire_messages import OutcomeAnswer, OutcomeQuery, Stop

RECONCILE_INTERVAL_S: Final = 0.5
QUERY_INTERVAL_S: Final = 2.0
CONFIRMATION_TTL_S: Final = 30.0
REGISTRATION_REFRESH_S: Final = 1.0


class Reconciler:
    """Periodically checks the claims of one scheduler."""

    _scheduler: Scheduler
    _starter: JobStarter
    _moves: JobMoves
    _leases: LeaseManager
    _members: Members
    _links: Links
    _queried_at: dict[str, float]
    _refreshed_at: dict[str, float]
    _task: "asyncio.Task[None] | None"

    def __init__(
        self,
        scheduler: Scheduler,
        starter: JobStarter,
        moves: JobMoves,
        leases: LeaseManager,
        members: Members,
        links: Links,
    ) -> None:
        self._scheduler = scheduler
        self._starter = starter
        self._moves = moves
        self._leases = leases
        self._members = members
        self._links = links
        self._queried_at = {}
        self._refreshed_at = {}
        self._task = None
        links.on(OutcomeAnswer, self._on_outcome_answer)

    def start(self) -> None:
        """Start the periodic checks."""
        self._task = asyncio.create_task(self._run(), name="reconcile")

    async def stop(self) -> None:
        """Stop the periodic checks."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            claims = self._scheduler.shards.in_state(JobState.CLAIMED)
            for stored in claims:
                await self._check(stored)
            keys = {stored.job.spec.key for stored in claims}
            self._queried_at = {key: at for key, at in self._queried_at.items() if key in keys}

    async def _check(self, stored: StoredJob) -> None:
        holder = stored.job.holder
        if holder is None:
            return
        view = self._members.get(holder.instance)
        if view is not None and not view.fenced and view.incarnation == holder.incarnation:
            await self._query(stored, holder.incarnation)
            return
        registration = await self._registration(holder.instance)
        if registration is None:
            return
        if registration.fenced:
            self._mark_lost(stored.job, "the instance was fenced")
        elif view is not None and view.incarnation == registration.incarnation:
            await self._query(stored, view.incarnation)

    async def _registration(self, instance: str) -> Registration | None:
        if (
            now() - self._refreshed_at.get(instance, -REGISTRATION_REFRESH_S)
            >= REGISTRATION_REFRESH_S
        ):
            self._refreshed_at[instance] = now()
            return await self._leases.refresh(instance)
        return self._leases.registration(instance)

    async def _query(self, stored: StoredJob, incarnation: str) -> None:
        """Ask the agent's current incarnation to stop the task or to report its state.

        Confirmations by earlier incarnations do not count.
        """
        job = stored.job
        key, holder = job.spec.key, job.holder
        assert holder is not None
        interval_s = RECONCILE_INTERVAL_S if job.cancel_requested else QUERY_INTERVAL_S
        if now() - self._queried_at.get(key, -interval_s) < interval_s:
            return
        if job.cancel_requested:
            self._queried_at[key] = now()
            await self._send_stop(job, holder.instance)
        if self._is_confirmed(job, incarnation) and not job.cancel_requested:
            return
        if now() - self._scheduler.shards.since.get(key, 0.0) < RECONCILE_INTERVAL_S:
            # The start may still be in transit. A query that overtakes it leaves a tombstone at
            # the agent, which would then refuse the start.
            return
        self._queried_at[key] = now()
        query = OutcomeQuery(
            **self._starter.head(), key=key, epoch=job.epoch, claimed_by=holder.incarnation
        )
        await self._links.send(holder.instance, Channel.CONTROL, query)

    def _is_confirmed(self, job: Job, incarnation: str) -> bool:
        at = self._scheduler.runs.confirmed_at(job.spec.key, job.epoch, incarnation)
        return at is not None and now() - at < CONFIRMATION_TTL_S

    async def _send_stop(self, job: Job, instance: str) -> None:
        stop = Stop(
            **self._starter.head(),
            key=job.spec.key,
            epoch=job.epoch,
            cancel=True,
            reason="cancelled",
        )
        await self._links.send(instance, Channel.CONTROL, stop)

    def _mark_lost(self, job: Job, reason: str) -> None:
        epoch = job.epoch

        async def lose() -> None:
            await self._moves.apply(
                job.spec.key, epoch, lambda held: held.lose_holder(epoch, reason)
            )

        self._moves.run_once("lose", job.spec.key, epoch, lose())

    def _on_outcome_answer(self, answer: OutcomeAnswer) -> None:
        """Handle a task's reported state; task ends arrive as separate messages."""
        if answer.claim_outcome == "running":
            self._moves.run_once("adopt", answer.key, answer.epoch, self._handle_running(answer))
        elif answer.claim_outcome == "never_started":
            reporter = Holder(answer.sender, answer.incarnation)
            work = self._moves.release_unstarted(
                answer.key, answer.epoch, reporter, "never started"
            )
            self._moves.run_once("release", answer.key, answer.epoch, work)
        elif answer.claim_outcome == "lost":
            self._moves.run_once("lose", answer.key, answer.epoch, self._handle_lost(answer))

    async def _handle_running(self, answer: OutcomeAnswer) -> None:
        """Confirm the claim, and move it to the replying incarnation if it has another holder."""
        guard = self._leases.guard(answer.sender, answer.incarnation)
        if guard is None:
            return
        self._scheduler.runs.confirm(answer.key, answer.epoch, answer.incarnation)
        holder = Holder(answer.sender, answer.incarnation)
        held = self._scheduler.shards.jobs.get(answer.key)
        if held is None or held.job.holder != holder:
            await self._moves.apply(
                answer.key, answer.epoch, lambda job: job.adopt(holder, answer.epoch), (guard,)
            )
            held = self._scheduler.shards.jobs.get(answer.key)
        if held is not None and held.job.holder == holder and held.job.epoch == answer.epoch:
            # An agent renews an adopted task only after this confirmation of the claim.
            confirmation = self._starter.start_message(ADOPTION_OFFER_ID, held.job)
            await self._links.send(answer.sender, Channel.CONTROL, confirmation)

    async def _handle_lost(self, answer: OutcomeAnswer) -> None:
        """Release the claim: the instance's current incarnation does not know the task."""

        def transition(job: Job) -> Result[Job, Failure]:
            if job.holder is None or job.holder.instance != answer.sender:
                return Err(
                    Failure(Code.ILLEGAL_MOVE, f"{answer.sender} does not hold {job.spec.key}")
                )
            return job.lose_holder(answer.epoch, "the restarted agent has no such task")

        guard = self._leases.guard(answer.sender, answer.incarnation)
        if guard is not None:
            await self._moves.apply(answer.key, answer.epoch, transition, (guard,))
