"""Service requests on an instance: admit at once or refuse at once, call the target, answer.

Algorithm.  A request takes a slot and a connection in the ledger, or it is refused as ``not_run``;
nothing waits here.  The target is called with the time the caller has left.  When that time is
over the attempt is answered as ``unknown``, but its slot stays taken until the call has ended: the
target may still be working on it, and giving the slot to the next request would load the target
beyond its size.

Invariants:

- ``not_run`` is said only of an attempt that the target never saw, and an attempt of which it was
  said never reaches the target afterwards (its number is remembered).
- Each attempt has one end.  It is remembered for a bounded time, so that an entry whose connection
  was lost can ask for it; a request that arrives twice runs once.
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
from sapphirelead.entry_ports import Lane
from sapphirelead.errors import Code, Failure, Outcome
from sapphirelead.logs import log_event
from sapphirelead.model_ledger import Ledger
from sapphirelead.ports import Target, TargetAnswer
from sapphirelead.settings import AgentSettings
from sapphirelead.wire_messages import (
    BULK_THRESHOLD_BYTES,
    AttemptFate,
    CancelAttempt,
    ServiceAnswer,
    ServiceRequest,
)

KEPT_ANSWERS: Final = 1_024
KEPT_BYTES: Final = 16 * 1024 * 1024
SEEN_ATTEMPTS: Final = 50_000
SEEN_SECONDS: Final = 660.0
SEND_TRIES: Final = 20
SEND_RETRY_SECONDS: Final = 0.1

Attempt = tuple[str, int]
Observer = Callable[[str, float, bool], None]


class Ends:
    """Ends of attempts, remembered within bounds.

    Whole answers are kept for a short time, bare attempt numbers for much longer.  Where even a
    number had to go early, :meth:`complete` says so: "I do not know that attempt" is then no proof
    that it never arrived.
    """

    _answers: OrderedDict[Attempt, ServiceAnswer]
    _answer_bytes: int
    _seen: OrderedDict[Attempt, float]
    _forgot_at: float

    def __init__(self) -> None:
        self._answers = OrderedDict()
        self._answer_bytes = 0
        self._seen = OrderedDict()
        self._forgot_at = float("-inf")

    def answer(self, attempt: Attempt) -> ServiceAnswer | None:
        """Return the whole answer of ``attempt`` if it is still kept."""
        return self._answers.get(attempt)

    def seen(self, attempt: Attempt) -> bool:
        """Return whether ``attempt`` is known to have ended."""
        return attempt in self._seen

    def complete(self, at: float) -> bool:
        """Return whether every attempt of the last ``SEEN_SECONDS`` is remembered."""
        return at - self._forgot_at > SEEN_SECONDS

    def add(self, attempt: Attempt, answer: ServiceAnswer, at: float) -> None:
        """Remember the end of ``attempt``."""
        self._seen[attempt] = at
        self._answers[attempt] = answer
        self._answer_bytes += len(answer.body)
        while len(self._answers) > KEPT_ANSWERS or self._answer_bytes > KEPT_BYTES:
            _, dropped = self._answers.popitem(last=False)
            self._answer_bytes -= len(dropped.body)
        while len(self._seen) > SEEN_ATTEMPTS:
            _, seen_at = self._seen.popitem(last=False)
            if at - seen_at <= SEEN_SECONDS:
                self._forgot_at = at


class ServiceRunner:
    """Runs the service requests of one instance.

    :ivar draining: refuse whatever comes.
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
    _running: set[Attempt]
    _unwanted: set[Attempt]
    _ends: Ends
    _incarnations: set[str]
    _open: int
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
        self._running = set()
        self._unwanted = set()
        self._ends = Ends()
        self._incarnations = {sender.incarnation}
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def register(self) -> None:
        """Take the messages of service requests from the links."""
        self._links.on(ServiceRequest, self._on_request)
        self._links.on(AttemptFate, self._on_fate)
        self._links.on(CancelAttempt, self._on_cancel)

    def add_incarnation(self) -> None:
        """Note that this process goes on under the sender's new incarnation."""
        self._incarnations.add(self._sender.incarnation)

    async def idle(self) -> None:
        """Wait until no call to the target is in progress and every answer has left."""
        await self._idle.wait()

    def _on_request(self, index: int, req: ServiceRequest) -> None:
        attempt = (req.request_id, req.attempt)
        if self._ends.seen(attempt):
            self._repeat(index, attempt)
        elif attempt not in self._running:
            refusal = self._refusal(req)
            if refusal:
                self._finish(index, self._answer(attempt, Outcome.NOT_RUN, refusal))
            else:
                self._start(index, attempt, req)

    def _refusal(self, req: ServiceRequest) -> str:
        if self.draining:
            return "draining"
        if req.service not in self._services:
            return "unknown service"
        if req.budget_ms <= 0:
            return "deadline"
        return "" if self._ledger.admit_request() else "full"

    def _start(self, index: int, attempt: Attempt, req: ServiceRequest) -> None:
        self._running.add(attempt)
        self._enter()
        self._background.spawn(self._run(index, attempt, req), f"request-{req.request_id}")

    async def _run(self, index: int, attempt: Attempt, req: ServiceRequest) -> None:
        try:
            outcome = await self._call(index, attempt, req)
            # The slot is free again before the answer tells how many are in use.  An answer that
            # counted its own made entries see one slot fewer than there are: at 80% load of 24
            # slots the median request waited 40 ms for room that was there.
            self._finish(index, self._from_target(attempt, outcome))
        finally:
            self._unwanted.discard(attempt)
            self._leave()

    async def _call(
        self, index: int, attempt: Attempt, req: ServiceRequest
    ) -> Result[TargetAnswer, Failure]:
        """Call the target; the slot is held until the call ends, past the caller's deadline too."""
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

    def _enter(self) -> None:
        self._open += 1
        self._idle.clear()

    def _leave(self) -> None:
        self._open -= 1
        if self._open == 0:
            self._idle.set()

    def _on_cancel(self, _index: int, cancel: CancelAttempt) -> None:
        """Drop the answer of an attempt; the call itself goes on, and so does its charge."""
        attempt = (cancel.request_id, cancel.attempt)
        if attempt in self._running:
            self._unwanted.add(attempt)

    def _on_fate(self, index: int, fate: AttemptFate) -> None:
        attempt = (fate.request_id, fate.attempt)
        # Answered on the control lane where the size allows: the entry asks because it suspects the
        # others.
        if self._ends.seen(attempt):
            self._repeat(index, attempt, Lane.CONTROL)
        elif attempt not in self._running:
            never = fate.sent_to in self._incarnations and self._ends.complete(now())
            outcome = Outcome.NOT_RUN if never else Outcome.UNKNOWN
            self._finish(index, self._answer(attempt, outcome, "never arrived"), Lane.CONTROL)

    def _finish(self, index: int, answer: ServiceAnswer, lane: Lane = Lane.DATA) -> None:
        attempt = (answer.request_id, answer.attempt)
        if self._ends.seen(attempt):
            return
        self._ends.add(attempt, answer, now())
        if attempt not in self._unwanted:
            self._reply(index, answer, lane)

    def _repeat(self, index: int, attempt: Attempt, lane: Lane = Lane.DATA) -> None:
        lost = self._answer(attempt, Outcome.UNKNOWN, "answer no longer kept")
        self._reply(index, self._ends.answer(attempt) or lost, lane)

    def _reply(self, index: int, answer: ServiceAnswer, lane: Lane) -> None:
        self._enter()
        self._background.spawn(self._send(index, answer, lane), f"answer-{answer.request_id}")

    async def _send(self, index: int, answer: ServiceAnswer, lane: Lane) -> None:
        lane = Lane.BULK if len(answer.body) > BULK_THRESHOLD_BYTES else lane
        try:
            for _ in range(SEND_TRIES):
                if await self._links.send(index, lane, answer):
                    return
                await asyncio.sleep(SEND_RETRY_SECONDS)
            # The entry asks for the attempt's fate over its next connection.
            log_event("WARNING", "answer_not_sent", request=answer.request_id, link=index)
        finally:
            self._leave()

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
