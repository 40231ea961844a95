"""Runs service requests on an instance: admits or refuses, calls the target, and replies.

A request takes a slot in the ledger or is refused as ``not_run``; nothing is queued.  When the
caller's budget is exhausted the attempt is answered as ``unknown``, but its slot is held until the
call ends, so that the target never has more calls in progress than slots.

Invariants: ``not_run`` is reported only for attempts that have not reached the target and never
will.  Each attempt has one outcome, which a bounded history keeps: repeated requests run once, and
an entry that lost its connection can query the outcome.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.agent_ports import Links, Sender
from sapphirelead.background import Background
from sapphirelead.clock import now
from sapphirelead.entry_ports import Channel
from sapphirelead.errors import Code, Failure, Outcome
from sapphirelead.logs import log_event
from sapphirelead.model_ledger import Ledger
from sapphirelead.ports import Target, TargetAnswer
from sapphirelead.sched_zones import ZONE_EVACUATED
from sapphirelead.settings import AgentSettings
from sapphirelead.wire_messages import (
    BULK_THRESHOLD_BYTES,
    AttemptOutcomeQuery,
    CancelAttempt,
    ServiceAnswer,
    ServiceRequest,
)

MAX_CACHED_ANSWERS: Final = 1_024
MAX_CACHED_BYTES: Final = 16 * 1024 * 1024
MAX_SEEN_ATTEMPTS: Final = 50_000
SEEN_RETENTION_S: Final = 660.0
MAX_SEND_ATTEMPTS: Final = 20
SEND_RETRY_DELAY_S: Final = 0.1

Attempt = tuple[str, int]
Observer = Callable[[str, float, bool], None]


class AttemptHistory:
    """Bounded history of completed attempts.

    The latest answers are cached; attempt numbers are kept for longer.  While :meth:`complete` is
    false, numbers were evicted early and an unknown attempt may have run.
    """

    _answers: OrderedDict[Attempt, ServiceAnswer]
    _answer_bytes: int
    _seen: OrderedDict[Attempt, float]
    _evicted_at: float

    def __init__(self) -> None:
        self._answers = OrderedDict()
        self._answer_bytes = 0
        self._seen = OrderedDict()
        self._evicted_at = float("-inf")

    def answer(self, attempt: Attempt) -> ServiceAnswer | None:
        """Return the answer of ``attempt`` if it is still cached."""
        return self._answers.get(attempt)

    def seen(self, attempt: Attempt) -> bool:
        """Return whether ``attempt`` is known to have completed."""
        return attempt in self._seen

    def complete(self, at: float) -> bool:
        """Return whether no attempt was evicted early within the last ``SEEN_RETENTION_S``."""
        return at - self._evicted_at > SEEN_RETENTION_S

    def add(self, attempt: Attempt, answer: ServiceAnswer, at: float) -> None:
        """Record the answer of a completed ``attempt``."""
        self._seen[attempt] = at
        self._answers[attempt] = answer
        self._answer_bytes += len(answer.body)
        while len(self._answers) > MAX_CACHED_ANSWERS or self._answer_bytes > MAX_CACHED_BYTES:
            _, dropped = self._answers.popitem(last=False)
            self._answer_bytes -= len(dropped.body)
        while len(self._seen) > MAX_SEEN_ATTEMPTS:
            _, seen_at = self._seen.popitem(last=False)
            if at - seen_at <= SEEN_RETENTION_S:
                self._evicted_at = at


class ServiceRunner:
    """Runs the service requests of one instance.

    :ivar draining: whether all new requests are refused.
    :ivar zone_evacuated: the same, because operators have evacuated the zone.
    """

    _services: frozenset[str]
    _timeout_s: float
    _sender: Sender
    _ledger: Ledger
    _links: Links
    _target: Target
    _background: Background
    _observe: Observer
    draining: bool
    zone_evacuated: bool
    _running: set[Attempt]
    _cancelled_attempts: set[Attempt]
    _history: AttemptHistory
    _incarnations: set[str]
    _operation_count: int
    _idle: asyncio.Event

    def __init__(
        self,
        settings: AgentSettings,
        sender: Sender,
        ledger: Ledger,
        links: Links,
        target: Target,
        background: Background,
        observe: Observer,
    ) -> None:
        self._services = frozenset(settings.services)
        self._timeout_s = settings.target_timeout_seconds
        self._sender = sender
        self._ledger = ledger
        self._links = links
        self._target = target
        self._background = background
        self._observe = observe
        self.draining = False
        self.zone_evacuated = False
        self._running = set()
        self._cancelled_attempts = set()
        self._history = AttemptHistory()
        self._incarnations = {sender.incarnation}
        self._operation_count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def register(self) -> None:
        """Subscribe to the messages about service requests."""
        self._links.on(ServiceRequest, self._on_request)
        self._links.on(AttemptOutcomeQuery, self._on_outcome_query)
        self._links.on(CancelAttempt, self._on_cancel)

    def add_incarnation(self) -> None:
        """Record the sender's new incarnation as one of this process."""
        self._incarnations.add(self._sender.incarnation)

    async def idle(self) -> None:
        """Wait until no call to the target and no reply is in progress."""
        await self._idle.wait()

    def _on_request(self, index: int, req: ServiceRequest) -> None:
        attempt = (req.request_id, req.attempt)
        if self._history.seen(attempt):
            self._resend(index, attempt)
        elif attempt not in self._running:
            refusal = self._refusal(req)
            if refusal:
                self._finish(index, self._answer(attempt, Outcome.NOT_RUN, refusal))
            else:
                self._start(index, attempt, req)

    def _refusal(self, req: ServiceRequest) -> str:
        if self.draining:
            return "draining"
        if self.zone_evacuated:
            return ZONE_EVACUATED
        if req.service not in self._services:
            return "unknown service"
        if req.budget_ms <= 0:
            return "deadline"
        return "" if self._ledger.admit_request() else "full"

    def _start(self, index: int, attempt: Attempt, req: ServiceRequest) -> None:
        self._running.add(attempt)
        self._begin_operation()
        self._background.spawn(self._run(index, attempt, req), f"request-{req.request_id}")

    async def _run(self, index: int, attempt: Attempt, req: ServiceRequest) -> None:
        try:
            outcome = await self._call(index, attempt, req)
            # The slot has been released by now: the answer must not count it in ``slots_used``, or
            # entries see one slot fewer than there are.  At 80% load of 24 slots the median request
            # waited 40 ms for room that was there.
            self._finish(index, self._from_target(attempt, outcome))
        finally:
            self._cancelled_attempts.discard(attempt)
            self._end_operation()

    async def _call(
        self, index: int, attempt: Attempt, req: ServiceRequest
    ) -> Result[TargetAnswer, Failure]:
        """Call the target; the slot is held until the call ends, even after the deadline."""
        started_at = now()
        call = asyncio.create_task(
            self._target.call(req.service, req.headers, req.body, self._timeout_s)
        )
        try:
            await asyncio.wait({call}, timeout=min(req.budget_ms / 1000, self._timeout_s))
            if not call.done():
                self._finish(index, self._answer(attempt, Outcome.UNKNOWN, "deadline"))
            outcome = await call
            if not isinstance(outcome, Err) or outcome.err_value.code is not Code.NO_INSTANCE:
                self._observe(req.service, now() - started_at, isinstance(outcome, Ok))
            return outcome
        finally:
            call.cancel()
            self._ledger.release_request()
            self._running.discard(attempt)

    def _begin_operation(self) -> None:
        self._operation_count += 1
        self._idle.clear()

    def _end_operation(self) -> None:
        self._operation_count -= 1
        if self._operation_count == 0:
            self._idle.set()

    def _on_cancel(self, _index: int, cancel: CancelAttempt) -> None:
        """Suppress the answer of an attempt; the call continues and holds its slot."""
        attempt = (cancel.request_id, cancel.attempt)
        if attempt in self._running:
            self._cancelled_attempts.add(attempt)

    def _on_outcome_query(self, index: int, query: AttemptOutcomeQuery) -> None:
        attempt = (query.request_id, query.attempt)
        # Answered on the control lane if the size allows, because the entry may have lost the
        # other lanes.
        if self._history.seen(attempt):
            self._resend(index, attempt, Channel.CONTROL)
        elif attempt not in self._running:
            never_arrived = query.sent_to in self._incarnations and self._history.complete(now())
            outcome = Outcome.NOT_RUN if never_arrived else Outcome.UNKNOWN
            self._finish(index, self._answer(attempt, outcome, "never arrived"), Channel.CONTROL)

    def _finish(self, index: int, answer: ServiceAnswer, channel: Channel = Channel.DATA) -> None:
        attempt = (answer.request_id, answer.attempt)
        if self._history.seen(attempt):
            return
        self._history.add(attempt, answer, now())
        if attempt not in self._cancelled_attempts:
            self._reply(index, answer, channel)

    def _resend(self, index: int, attempt: Attempt, channel: Channel = Channel.DATA) -> None:
        expired = self._answer(attempt, Outcome.UNKNOWN, "answer no longer kept")
        self._reply(index, self._history.answer(attempt) or expired, channel)

    def _reply(self, index: int, answer: ServiceAnswer, channel: Channel) -> None:
        self._begin_operation()
        self._background.spawn(self._send(index, answer, channel), f"answer-{answer.request_id}")

    async def _send(self, index: int, answer: ServiceAnswer, channel: Channel) -> None:
        channel = Channel.BULK if len(answer.body) > BULK_THRESHOLD_BYTES else channel
        try:
            for _ in range(MAX_SEND_ATTEMPTS):
                if await self._links.send(index, channel, answer):
                    return
                await asyncio.sleep(SEND_RETRY_DELAY_S)
            # The entry queries the outcome of the attempt over its next connection.
            log_event("WARNING", "answer_not_sent", request=answer.request_id, link=index)
        finally:
            self._end_operation()

    def _from_target(
        self, attempt: Attempt, outcome: Result[TargetAnswer, Failure]
    ) -> ServiceAnswer:
        match outcome:
            case Ok(reply):
                empty = self._answer(attempt, Outcome.DONE, "")
                return msgspec.structs.replace(
                    empty,
                    status=reply.status,
                    headers=reply.headers,
                    body=reply.body,
                    body_bytes=len(reply.body),
                )
            case Err(failure):
                not_sent = failure.code is Code.NO_INSTANCE
                ran = Outcome.NOT_RUN if not_sent else Outcome.UNKNOWN
                return self._answer(attempt, ran, failure.message)

    def _answer(self, attempt: Attempt, ran: Outcome, reason: str) -> ServiceAnswer:
        fields: dict[str, Any] = self._sender.head()
        return ServiceAnswer(
            request_id=attempt[0],
            attempt=attempt[1],
            ran=ran,
            status=0,
            headers={},
            body=b"",
            body_bytes=0,
            reason=reason,
            slots_used=self._ledger.requests,
            slots=self._ledger.slots,
            **fields,
        )
