"""Executes callers' requests on the leader; each request gets exactly one final reply.

``NOT_RUN`` is returned only for a submission that has not been stored and never will be: it was
withdrawn before its write was sent, or arrived while the store was known to be unavailable.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, Protocol

import msgspec

from sapphirelead.clock import now
from sapphirelead.errors import Code
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_election import ELECTION_TIMEOUT_S
from sapphirelead.node_leader_parts import LeaderParts
from sapphirelead.node_messages import Call, CallKind, Reply, ReplyKind
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import only_in_evacuated_zones
from sapphirelead.sched_job import decode_spec
from sapphirelead.sched_kept_tasks import KeptTasks
from sapphirelead.sched_spec import JobSpec, same_content

STORE_RETRY_AFTER_S: Final = 2.0

ZONES_RETRY_AFTER_S: Final = 5.0
"""Evacuations last for as long as the operators want; a restored zone is used at once."""

CONFIRM_MARGIN_S: Final = 0.1
"""Margin below the election timeout, for the latency of the store's confirmation."""

TASKS_RETRY_AFTER_S: Final = 5.0

MAX_REFUSED_CALLS: Final = 4_000
"""Number of refused submissions that are remembered."""


MayArrive = Callable[[str], bool]
"""Whether a submission of the job, sent before other calls for it, may still arrive."""


class Leadership(Protocol):
    """The interface of the leader that executing a call needs."""

    sched: Scheduler
    metrics: Metrics
    serving: bool
    parts: LeaderParts

    @property
    def resigned(self) -> bool:
        """Whether the leadership has been resigned or lost."""

    @property
    def config_version(self) -> int:
        """Version of the current configuration."""

    @property
    def store_timeout_s(self) -> float:
        """Timeout of a submission that waits for the store."""

    def commit_overdue(self, at: float) -> bool:
        """Whether the commit in flight has exceeded that timeout."""

    def unconfirmed_s(self) -> float:
        """Return the time since the store last confirmed this leader."""

    def wake(self) -> None:
        """Start the next round without waiting for the interval to end."""

    async def wait_ended(self) -> None:
        """Wait for the end of this term of leadership."""


class LeaderCalls:
    """The calls of one term of leadership."""

    _leadership: Leadership
    _may_arrive: MayArrive
    _refused: dict[int, None]
    _kept_tasks: KeptTasks
    _changed: asyncio.Event

    def __init__(self, leadership: Leadership, may_arrive: MayArrive) -> None:
        self._leadership = leadership
        self._may_arrive = may_arrive
        self._refused = {}
        self._kept_tasks = KeptTasks(leadership.sched.jobs)
        self._changed = asyncio.Event()

    def notify_changed(self) -> None:
        """Wake waiting calls after the store has confirmed the leader or the leadership ended."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def call(self, call: Call, until: float) -> Reply:
        """Execute a call."""
        if not self._leadership.serving:
            return Reply(call.number, ReplyKind.NOT_LEADER)
        match call.kind:
            case CallKind.SUBMIT:
                return await self._submit(call, until)
            case CallKind.CANCEL:
                return await self._cancel(call, until)
            case CallKind.STATE:
                return await self._state(call, until)
            case CallKind.WAITING:
                return Reply(
                    call.number,
                    ReplyKind.OK,
                    waiting=self._leadership.sched.waiting(call.queue),
                    config_version=self._leadership.config_version,
                )

    def _reply(
        self, call: Call, kind: ReplyKind, state: str = "", detail: str = "", retry_s: float = 0.0
    ) -> Reply:
        return Reply(
            call.number,
            kind,
            state,
            retry_after_s=retry_s,
            detail=detail,
            config_version=self._leadership.config_version,
        )

    async def _state(self, call: Call, until: float) -> Reply:
        refusal = await self._wait_until_known(call, until)
        if refusal is not None:
            return refusal
        sched = self._leadership.sched
        failure = sched.failure(call.job_id)
        detail = failure.detail if failure is not None else ""
        reply = self._reply(call, ReplyKind.OK, sched.state(call.job_id) or "", detail)
        return reply if failure is None else msgspec.structs.replace(reply, code=failure.code)

    async def _wait_until_known(self, call: Call, until: float) -> Reply | None:
        """Wait until a job is known; return the reply if it stays unknown.

        Another entry may lead by now and have accepted the job.  No entry replaces a leader that
        the store has confirmed within the election timeout, so a job is reported absent only after
        a recent confirmation.
        """
        sched = self._leadership.sched
        while sched.state(call.job_id) is None and self._may_be_accepted(call) and now() < until:
            if self._leadership.resigned:
                return self._reply(call, ReplyKind.NOT_LEADER)
            await self._wait_for_change(until)
        if sched.state(call.job_id) is not None:
            return None
        if self._may_be_accepted(call):
            may_arrive = self._may_arrive(call.job_id)
            detail = (
                "an earlier submission of the job may still arrive"
                if may_arrive
                else "the store did not confirm the job's state in time"
            )
            return self._reply(call, ReplyKind.NOT_RUN, detail=detail, retry_s=STORE_RETRY_AFTER_S)
        return self._reply(call, ReplyKind.ABSENT)

    async def _wait_for_change(self, until: float) -> None:
        try:
            async with asyncio.timeout(max(until - now(), 0.001)):
                await self._changed.wait()
        except TimeoutError:
            return

    def _may_be_accepted(self, call: Call) -> bool:
        """Whether an unknown job may have been accepted.

        That is by another leader, by a write in progress, or by a submission sent before this call.
        """
        if self._may_arrive(call.job_id):
            return True
        being_stored = call.kind is CallKind.CANCEL and call.job_id in self._leadership.sched.jobs
        return (
            being_stored
            or self._leadership.unconfirmed_s() >= ELECTION_TIMEOUT_S - CONFIRM_MARGIN_S
        )

    async def _submit(self, call: Call, until: float) -> Reply:
        if call.number in self._refused or (
            not self._leadership.sched.knows(call.job_id) and self._leadership.commit_overdue(now())
        ):
            self._record_refused(call)
            return self._reply(
                call,
                ReplyKind.NOT_RUN,
                detail="the store is unavailable",
                retry_s=STORE_RETRY_AFTER_S,
            )
        try:
            spec = decode_spec(call.job)
        except (msgspec.DecodeError, RecursionError) as exc:
            # The sender is of another version, or not an entry.
            log_event("WARNING", "submission_unreadable", job=call.job_id, reason=str(exc))
            return self._reply(call, ReplyKind.INVALID, detail="the job cannot be decoded")
        if not self._leadership.sched.knows(spec.job_id) and self._is_barred(spec):
            detail = "every zone with workers for the job is evacuated"
            refused = self._refuse_job(call, spec, "zones", detail, ZONES_RETRY_AFTER_S)
            return msgspec.structs.replace(refused, code=Code.NO_INSTANCE)
        refusal = self._refuse(call, spec)
        if refusal is not None:
            return refusal
        known = self._leadership.sched.jobs.get(spec.job_id)
        conflicting = known is not None and not same_content(known.spec, spec)
        reply_future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()

        def answer(kind: ReplyKind, text: str) -> None:
            if not reply_future.done():
                ok = kind is ReplyKind.OK
                if not ok:
                    self._record_refused(call)
                reply_future.set_result(
                    self._reply(
                        call,
                        kind,
                        text if ok else "",
                        "" if ok else text,
                        0 if ok else STORE_RETRY_AFTER_S,
                    )
                )

        self._leadership.sched.submit(spec, answer)
        self._leadership.wake()
        await asyncio.wait({reply_future}, timeout=self._leadership.store_timeout_s)
        if not reply_future.done() and self._leadership.sched.withdraw(call.job_id):
            log_event("INFO", "submission_withdrawn", job=call.job_id, reason="store_away")
            self.notify_changed()
        reply = await self._outcome(call, reply_future, until)
        return msgspec.structs.replace(reply, conflicting=True) if conflicting else reply

    def _refuse(self, call: Call, spec: JobSpec) -> Reply | None:
        """Return the refusal of a job that cannot be kept, or cannot be served in time.

        A job that an earlier submission may still bring is not refused: its caller would take it
        for not run.
        """
        if spec.job_id in self._leadership.sched.jobs or self._may_arrive(spec.job_id):
            return None
        if not self._kept_tasks.admit(spec, now()):
            self._leadership.metrics.count("submissions_refused_total", reason="tasks")
            detail = "the jobs in progress have too many tasks"
            refused = self._refuse_job(call, spec, "tasks", detail, TASKS_RETRY_AFTER_S)
            return msgspec.structs.replace(refused, code=Code.OVERLOADED)
        admission = self._leadership.parts.admission
        if admission is None:
            return None
        refusal = admission.decide(spec, call.ticket, now())
        if refusal is None:
            return None
        self._record_refused(call)
        reply = self._reply(
            call, ReplyKind.NOT_RUN, detail=refusal.detail, retry_s=refusal.retry_after_s
        )
        return msgspec.structs.replace(reply, code=Code.TOO_LATE, ticket=refusal.ticket)

    def _refuse_job(
        self, call: Call, spec: JobSpec, reason: str, detail: str, retry_s: float
    ) -> Reply:
        """Record and log a refusal, and return the reply that the job has not run."""
        self._record_refused(call)
        log_event("INFO", "job_refused", job=spec.job_id, queue=spec.queue, reason=reason)
        return self._reply(call, ReplyKind.NOT_RUN, detail=detail, retry_s=retry_s)

    def _is_barred(self, spec: JobSpec) -> bool:
        """Whether a step could only run in evacuated zones now; scheduled jobs are due later."""
        sched = self._leadership.sched
        if spec.occurrences:
            return False
        service = sched.policies.get(spec.queue, spec.policy).service
        live = list(sched.fleet.live())
        return any(only_in_evacuated_zones(live, service, step) for step in spec.steps)

    def _record_refused(self, call: Call) -> None:
        """Record a refused submission, so that a retry of the same call is refused as well."""
        self._refused[call.number] = None
        if len(self._refused) > MAX_REFUSED_CALLS:
            del self._refused[next(iter(self._refused))]

    async def _cancel(self, call: Call, until: float) -> Reply:
        refusal = await self._wait_until_known(call, until)
        if refusal is not None:
            return refusal
        reply_future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()

        def answer(kind: ReplyKind, state: str) -> None:
            if not reply_future.done():
                reply_future.set_result(self._reply(call, kind, state))

        self._leadership.sched.cancel(call.job_id, answer)
        self._leadership.wake()
        return await self._outcome(call, reply_future, until)

    async def _outcome(
        self, call: Call, reply_future: "asyncio.Future[Reply]", until: float
    ) -> Reply:
        """Wait for the call's reply, the end of the leadership or the caller's deadline."""
        wait_ended = asyncio.create_task(self._leadership.wait_ended())
        timeout = max(until - now(), 0.0)
        either: set[asyncio.Future[Any]] = {reply_future, wait_ended}
        await asyncio.wait(either, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        wait_ended.cancel()
        if reply_future.done():
            return reply_future.result()
        if self._leadership.resigned:
            # The call is retried with the next leader, which knows what was stored.
            return self._reply(call, ReplyKind.LEAD_LOST)
        return self._reply(
            call,
            ReplyKind.UNKNOWN,
            detail="the store has not answered yet",
            retry_s=STORE_RETRY_AFTER_S,
        )
