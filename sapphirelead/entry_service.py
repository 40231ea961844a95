"""Service requests at the entry: decide, place, attempt, answer.

A request is one coroutine.  The first rule that matches its situation admits or refuses it.  An
admitted one gets an instance at once or waits in its service's queue; then it is sent as an
attempt.  While an attempt is open the coroutine wakes when the attempt ends, when a hedge or a
question about the attempt's fate is due, or at the caller's deadline, whichever is first.

Invariants:

- A request that is given up gets its final answer at that moment; no answer is held back.
- ``not_run`` is said only if each attempt is proven not to have reached the target: it was never
  sent, or the incarnation it was sent to refused it.  A refusal by another incarnation proves
  nothing, because it cannot know what its predecessor ran.
- An answer is handed on only if it belongs to an open attempt of this very request, came from the
  instance that the attempt was sent to and is as long as it says.  Anything else is counted and
  dropped.
- An attempt ends once; its slot in the estimates is given back then.

Connections that went silent: an attempt that is open for much longer than usual, or whose agent
replaced the connection, is asked for by an ``AttemptFate`` message.  The agent repeats a lost
answer or proves that the attempt never arrived.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final, Protocol

from result import Err, Ok, Result

from sapphirelead.clock import now
from sapphirelead.entry_ports import ConfigService, InstanceView, Lane, Stamp
from sapphirelead.entry_service_state import (
    OpenAttempt,
    OpenRequest,
    RequestIds,
    ServiceCall,
    ServiceCounters,
    ServiceReply,
    ServiceState,
    Waiter,
)
from sapphirelead.errors import Code, Failure, Outcome
from sapphirelead.logs import log_event
from sapphirelead.model_config import Config, ServicePolicy
from sapphirelead.policy_limits import expected_wait_s
from sapphirelead.policy_retry import AttemptState, hedge_after_s, may_retry
from sapphirelead.policy_routing import AttemptEnd, Router
from sapphirelead.policy_rules import Decision, RuleSet, Situation
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_messages import (
    AnyMessage,
    AttemptFate,
    CancelAttempt,
    ServiceAnswer,
    ServiceRequest,
)

TIMER_SLACK_S: Final = 0.001
FATE_FACTOR: Final = 4.0
FATE_MIN_S: Final = 0.25
FATE_LIMIT: Final = 5
CAPACITY_REASONS: Final = frozenset({"full", "draining", "deadline"})
NEEDED_PERCENTILE: Final = 90.0
NEEDED_FACTOR: Final = 1.5
PUMP_LOOKAHEAD: Final = 8
SERVER_ERROR: Final = 500

NO_INSTANCE: Final = Failure(Code.NO_INSTANCE, "no live instance offers this service")
DEADLINE_PASSED: Final = Failure(Code.DEADLINE, "the deadline passed before an answer came")
OVERLOADED: Final = Failure(Code.OVERLOADED, "the deadline cannot be met with the work ahead")
IS_DRAINING: Final = Failure(Code.DRAINING, "this entry is leaving; another one will serve you")


class ServiceLinks(Protocol):
    """What the service path needs of the sockets."""

    def on(self, kind: type[AnyMessage], handler: Callable[[Any], None]) -> None:
        """Call ``handler`` with each received message of ``kind``."""

    def send_now(
        self, instance: str, lane: Lane, message: AnyMessage, incarnation: str = ""
    ) -> bool:
        """Send at once; ``False`` means proven not sent."""


class ServiceMembers(Protocol):
    """What the service path needs of membership."""

    def get(self, instance: str) -> InstanceView | None:
        """Return one instance."""

    def on_view(self, listener: Callable[[InstanceView, bool], None]) -> None:
        """Call ``listener(view, live)`` with every new view."""


class ServiceDispatcher:
    """Carries service requests to instances and their answers back.

    :ivar counters: what happened since start.
    :ivar router: estimates of the instances.
    :ivar slowdown: measured slowdown of a service, for rules.
    :ivar store_up: whether the table answers, for rules.
    """

    counters: ServiceCounters
    router: Router
    slowdown: Callable[[str], float]
    store_up: Callable[[], bool]
    _stamp: Stamp
    _zone: str
    _links: ServiceLinks
    _members: ServiceMembers
    _config: ConfigService
    _rules: RuleSet
    _rng: random.Random
    _services: dict[str, ServiceState]
    _attempts: dict[tuple[str, int], OpenAttempt]
    _requests: set[OpenRequest]
    _ids: RequestIds
    _draining: bool
    _idle: asyncio.Event
    _grace_until: float
    _seen: dict[str, tuple[str, bool]]

    def __init__(
        self,
        settings: EntrySettings,
        stamp: Stamp,
        links: ServiceLinks,
        members: ServiceMembers,
        config: ConfigService,
        rng: random.Random,
    ) -> None:
        self.counters = ServiceCounters()
        self.router = Router.from_config(settings.zone, config.current.document.ejection, rng)
        self.slowdown = lambda _service: 1.0
        self.store_up = lambda: True
        self._stamp = stamp
        self._zone = settings.zone
        self._links = links
        self._members = members
        self._config = config
        self._rules = RuleSet.from_config(config.current.document)
        self._rng = rng
        self._services = {}
        self._attempts = {}
        self._requests = set()
        self._ids = RequestIds(stamp)
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._seen = {}
        self._grace_until = now() + settings.lease.silence_seconds
        links.on(ServiceAnswer, self._on_answer)
        members.on_view(self._on_view)
        config.on_change(self._on_config)

    @classmethod
    def from_settings(
        cls,
        settings: EntrySettings,
        stamp: Stamp,
        links: ServiceLinks,
        members: ServiceMembers,
        config: ConfigService,
        rng: random.Random | None = None,
    ) -> "ServiceDispatcher":
        """Return a dispatcher that serves at once."""
        return cls(settings, stamp, links, members, config, rng or random.Random())

    @property
    def open_requests(self) -> int:
        """Requests without a final answer."""
        return len(self._requests)

    async def drain(self) -> None:
        """Refuse new requests from now on and return when the open ones have their answers."""
        self._draining = True
        await self._idle.wait()

    async def call(self, call: ServiceCall) -> ServiceReply:
        """Serve one request to its final answer."""
        self.counters.requests += 1
        req = self._admit(call)
        refusal = self._refusal(req)
        if refusal is not None:
            return self._give_up(req, refusal)
        req.service.budget.request()
        self._requests.add(req)
        self._idle.clear()
        try:
            return await self._serve(req)
        finally:
            self._close(req)

    def decide(self, call: ServiceCall) -> Decision:
        """Return the rules' decision on a request in the present situation."""
        health = self.router.health(call.service)
        return self._rules.decide(
            Situation(
                kind="service",
                service=call.service,
                team=call.team,
                zone=self._zone,
                urgent=call.urgent,
                idempotent=call.idempotent,
                load=health.load,
                queue_length=len(self._state(call.service).queue),
                deadline_ms=int(call.budget_s * 1000),
                store_up=self.store_up(),
                slowdown=self.slowdown(call.service),
                healthy_share=health.healthy_share,
            )
        )

    def on_lane_change(self, instance: str, incarnation: str, lane: Lane) -> None:
        """Doubt the attempts sent on a connection that its agent replaced."""
        if lane is Lane.CONTROL:
            return
        for attempt in self._attempts.values():
            if (attempt.instance, attempt.incarnation) == (instance, incarnation):
                attempt.suspect = True
                attempt.request.changed.set()

    # Admission.

    def _admit(self, call: ServiceCall) -> OpenRequest:
        at = now()
        return OpenRequest(
            self._ids.next(),
            call,
            self._state(call.service),
            self.decide(call),
            at + call.budget_s,
            at,
        )

    def _refusal(self, req: OpenRequest) -> Failure | None:
        if self._draining:
            return IS_DRAINING
        if req.decision.then.action == "refuse":
            text = f"rule {req.decision.rule!r} refuses this request now"
            return Failure(Code.REFUSED_BY_RULE, text)
        if self.router.health(req.call.service).live == 0 and now() > self._grace_until:
            return NO_INSTANCE
        return None

    def _state(self, service: str) -> ServiceState:
        state = self._services.get(service)
        if state is None:
            document = self._config.current.document
            state = ServiceState.from_config(service, document, self._rng, now())
            self._services[service] = state
        return state

    # The life of one request.

    async def _serve(self, req: OpenRequest) -> ServiceReply:
        while True:
            if not req.open and (failure := await self._start_attempt(req)):
                return self._give_up(req, failure)
            await self._wait(req)
            if (reply := self._settle(req)) is not None:
                return reply
            # A timer may fire a clock tick before its time.  Without the slack nothing would be
            # due yet, the same timer would be set again, and the loop would spin on it.
            at = now() + TIMER_SLACK_S
            if at >= req.deadline:
                return self._give_up(req, DEADLINE_PASSED)
            if not req.open:
                if (failure := self._retry_refusal(req)) is not None:
                    return self._give_up(req, failure)
                continue
            self._ask_fates(req, at)
            self._hedge(req, at)

    async def _start_attempt(self, req: OpenRequest) -> Failure | None:
        """Place and send an attempt; what was not sent costs nothing and is placed anew."""
        while True:
            placed = await self._place(req)
            if isinstance(placed, Err):
                return placed.err_value
            if self._send(req, placed.ok_value):
                return None

    async def _wait(self, req: OpenRequest) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_at(self._next_due(req), req.changed.set)
        try:
            await req.changed.wait()
        finally:
            timer.cancel()
        req.changed.clear()

    def _next_due(self, req: OpenRequest) -> float:
        due = req.deadline
        at = now() + TIMER_SLACK_S
        for attempt in req.open.values():
            due = min(due, self._fate_due(req, attempt))
        hedge_due = self._hedge_due(req)
        # A hedge that was due but could not be paid is not waited for again.
        return min(due, hedge_due) if hedge_due is not None and hedge_due > at else due

    def _settle(self, req: OpenRequest) -> ServiceReply | None:
        """Take the attempts that ended; return the reply if one of them has it."""
        while req.ended:
            attempt, answer = req.ended.pop(0)
            ran = self._proven(attempt, answer)
            if ran is Outcome.DONE and answer is not None:
                return self._done(req, answer)
            req.maybe_ran = req.maybe_ran or ran is Outcome.UNKNOWN
            req.last_reason = answer.reason if answer is not None else "lost"
        return None

    def _proven(self, attempt: OpenAttempt, answer: ServiceAnswer | None) -> Outcome:
        if answer is None:
            return Outcome.UNKNOWN
        if answer.ran == Outcome.DONE:
            return Outcome.DONE
        # A restarted agent has not seen the attempt, although the run before it may have.
        same_run = answer.incarnation == attempt.incarnation
        return Outcome.NOT_RUN if answer.ran == Outcome.NOT_RUN and same_run else Outcome.UNKNOWN

    def _retry_refusal(self, req: OpenRequest) -> Failure | None:
        """Return why no further attempt is made, or pay for one."""
        state = AttemptState(req.call.idempotent, not req.maybe_ran, req.attempts)
        allowed = may_retry(state, self._config.current.document.retries)
        if allowed and req.service.budget.take():
            self.counters.retries += 1
            return None
        code = Code.TARGET_FAILED if req.maybe_ran else Code.OVERLOADED
        reason = req.last_reason or "no answer"
        return Failure(code, f"attempt {req.attempts} ended without an answer: {reason}")

    def _done(self, req: OpenRequest, answer: ServiceAnswer) -> ServiceReply:
        self.counters.done += 1
        req.service.pressure.served()
        return ServiceReply(
            Outcome.DONE,
            req.decision.rule,
            req.attempts,
            answer.status,
            answer.headers,
            answer.body,
        )

    def _give_up(self, req: OpenRequest, failure: Failure) -> ServiceReply:
        unknown = req.maybe_ran or bool(req.open)
        outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
        if unknown:
            self.counters.unknown += 1
        else:
            self.counters.not_run += 1
        req.service.pressure.refused()
        return ServiceReply(
            outcome,
            req.decision.rule,
            req.attempts,
            failure=failure,
            retry_after_s=self._retry_after_s(req, failure),
        )

    def _retry_after_s(self, req: OpenRequest, failure: Failure) -> float:
        service = req.service
        backlog_s = self._wait_s(service, len(service.queue))
        if failure.code is Code.REFUSED_BY_RULE:
            least_s = req.decision.then.retry_after_ms / 1000
            return service.pressure.retry_after_s(0.0, least_s)
        return service.pressure.retry_after_s(backlog_s)

    def _close(self, req: OpenRequest) -> None:
        """End what is still open: another attempt won, the deadline passed or the caller left."""
        won = not req.open or now() + TIMER_SLACK_S < req.deadline
        for attempt in list(req.open.values()):
            end = AttemptEnd.ABANDONED if won else AttemptEnd.TIMEOUT
            self._end(attempt, end)
            self._cancel(attempt)
        self._requests.discard(req)
        if not self._requests:
            self._idle.set()

    # Placing.

    async def _place(self, req: OpenRequest) -> Result[str, Failure]:
        """Return an instance, reserved in the estimates, at once or from the queue."""
        state = req.service
        if not len(state.queue) and (instance := self._reserve(req)) is not None:
            return Ok(instance)
        at = now()
        then = req.decision.then
        give_up_at = req.deadline - self._needed_s(state)
        if then.max_queue_ms is not None:
            give_up_at = min(give_up_at, at + then.max_queue_ms / 1000)
        if at + self._wait_s(state, state.queue.ahead(then.priority, give_up_at)) > give_up_at:
            return Err(OVERLOADED)
        return await self._queue(req, give_up_at)

    def _needed_s(self, state: ServiceState) -> float:
        """Return the time that most attempts sent now would take."""
        at = now()
        measured = state.window.percentile_s(NEEDED_PERCENTILE, at)
        return measured if measured is not None else NEEDED_FACTOR * self._latency_s(state)

    def _wait_s(self, state: ServiceState, ahead: int) -> float:
        return expected_wait_s(ahead, state.limit.in_flight, self._latency_s(state))

    def _latency_s(self, state: ServiceState) -> float:
        return self.router.latency_s(state.name)

    async def _queue(self, req: OpenRequest, give_up_at: float) -> Result[str, Failure]:
        loop = asyncio.get_running_loop()
        waiter = Waiter(req, loop.create_future())
        place, lost = req.service.queue.put(waiter, req.decision.then.priority, give_up_at)
        if lost is not None:
            _give(lost, None)
        timer = loop.call_at(give_up_at, _give, waiter, None)
        try:
            instance = await waiter.future
        except asyncio.CancelledError:
            self._unreserve(waiter)
            raise
        finally:
            timer.cancel()
            req.service.queue.withdraw(place)
        return Err(OVERLOADED) if instance is None else Ok(instance)

    def _unreserve(self, waiter: Waiter) -> None:
        """Give back what a caller was just given when it left."""
        future = waiter.future
        if future.done() and not future.cancelled() and (instance := future.result()):
            name = waiter.request.service.name
            self.router.end(instance, name, AttemptEnd.ABANDONED, 0.0, now())
            waiter.request.service.limit.end(None, now())

    def _reserve(self, req: OpenRequest) -> str | None:
        state = req.service
        if not state.limit.has_room:
            return None
        then = req.decision.then
        at = now()
        instance = self.router.pick(state.name, at, req.tried, then.zones, then.spill)
        if instance is None and req.tried:
            instance = self.router.pick(state.name, at, (), then.zones, then.spill)
        if instance is not None:
            self.router.begin(instance, at)
            state.limit.begin()
        return instance

    def _pump(self, state: ServiceState) -> None:
        """Give queued requests the room there is."""
        if not len(state.queue):
            return
        self._shed(state)
        while len(state.queue) and self._pump_some(state):
            pass

    def _shed(self, state: ServiceState) -> None:
        """Give up at once what cannot be met any more by the present estimates.

        The estimates may have changed since the requests were queued: before the first answers
        came, or when the targets became slower.
        """
        at = now()
        needed_s = self._needed_s(state)
        for late in state.queue.drop_late(at):
            _give(late, None)
        while (last := state.queue.last()) is not None:
            place, waiter = last
            if at + self._wait_s(state, len(state.queue)) + needed_s <= waiter.request.deadline:
                break
            state.queue.withdraw(place)
            _give(waiter, None)

    def _pump_some(self, state: ServiceState) -> bool:
        """Try the next few requests; return whether one got room.

        More than one, because a request that a rule binds to a full zone must not hold up those
        behind it that may go elsewhere.
        """
        placed = False
        soonest_end = now() + self._needed_s(state)
        for place, waiter in state.queue.first(PUMP_LOOKAHEAD):
            # A caller that left has its future cancelled before its coroutine gets to leave the
            # queue; room reserved for it in between would never be given back.
            if waiter.future.done() or waiter.request.deadline < soonest_end:
                state.queue.withdraw(place)
                _give(waiter, None)
                placed = True
                continue
            instance = self._reserve(waiter.request)
            if instance is not None:
                state.queue.withdraw(place)
                _give(waiter, instance)
                placed = True
            elif not waiter.request.decision.then.zones:
                break
        return placed

    # Attempts.

    def _send(self, req: OpenRequest, instance: str) -> bool:
        at = now()
        view = self._members.get(instance)
        incarnation = view.incarnation if view else ""
        number = req.attempts + 1
        attempt = OpenAttempt(req, number, instance, incarnation, at)
        message = ServiceRequest(
            sender=self._stamp.sender,
            incarnation=self._stamp.incarnation,
            config_version=self._config.current.version,
            request_id=req.id,
            attempt=number,
            service=req.call.service,
            budget_ms=max(1, int((req.deadline - at) * 1000)),
            headers=req.call.headers,
            body=req.call.body,
        )
        self._attempts[(req.id, number)] = attempt
        req.open[number] = attempt
        req.tried.append(instance)
        if self._links.send_now(instance, Lane.DATA, message, incarnation):
            req.attempts = number
            return True
        self.counters.unsent += 1
        # REFUSED marks the instance as full until it reports again: its connection is gone.
        self._end(attempt, AttemptEnd.REFUSED)
        return False

    def _end(
        self, attempt: OpenAttempt, end: AttemptEnd, answer: ServiceAnswer | None = None
    ) -> None:
        """Close an attempt: forget it, give its room back and let the queue have it."""
        req = attempt.request
        if self._attempts.pop((req.id, attempt.number), None) is None:
            return
        del req.open[attempt.number]
        at = now()
        latency_s = at - attempt.sent_at
        succeeded = end is AttemptEnd.SUCCESS
        if succeeded:
            req.service.window.record(latency_s, at)
        req.service.limit.end(latency_s if succeeded else None, at)
        self.router.end(attempt.instance, req.service.name, end, latency_s, at)
        if answer is not None:
            self.router.report(attempt.instance, answer.slots_used, answer.slots, at)
        self._pump(req.service)

    def _on_answer(self, answer: ServiceAnswer) -> None:
        attempt = self._attempts.get((answer.request_id, answer.attempt))
        if attempt is None:
            self.counters.late += 1
            return
        if answer.sender != attempt.instance:
            self.counters.foreign += 1
            return
        if len(answer.body) != answer.body_bytes:
            self.counters.short += 1
            log_event(
                "ERROR", "answer_cut_short", request=answer.request_id, want=answer.body_bytes
            )
            self._finish(attempt, AttemptEnd.FAILURE, None)
            return
        self._finish(attempt, _end_of(answer), answer)

    def _finish(self, attempt: OpenAttempt, end: AttemptEnd, answer: ServiceAnswer | None) -> None:
        self._end(attempt, end, answer)
        attempt.request.ended.append((attempt, answer))
        attempt.request.changed.set()

    def _cancel(self, attempt: OpenAttempt) -> None:
        message = CancelAttempt(
            sender=self._stamp.sender,
            incarnation=self._stamp.incarnation,
            config_version=self._config.current.version,
            request_id=attempt.request.id,
            attempt=attempt.number,
        )
        self._links.send_now(attempt.instance, Lane.DATA, message, attempt.incarnation)

    # Hedges and silent connections.

    def _hedge_due(self, req: OpenRequest) -> float | None:
        policy = self._config.current.document.retries
        if not req.call.idempotent or req.attempts >= policy.max_attempts or not req.open:
            return None
        last = max(req.open.values(), key=lambda attempt: attempt.number)
        if last.suspect:
            return last.sent_at
        then = req.decision.then
        wanted = then.hedge if then.hedge is not None else req.service.policy.hedge
        delay = hedge_after_s(req.service.window, policy, wanted, now())
        return None if delay is None else last.sent_at + delay

    def _hedge(self, req: OpenRequest, at: float) -> None:
        """Send one more attempt beside the open one, if it costs nobody else a place."""
        due = self._hedge_due(req)
        if due is None or due > at or len(req.service.queue) or len(req.open) > 1:
            return
        # The budget is asked last: a hedge without room must not use up what a retry may need.
        instance = self._reserve(req)
        if instance is None:
            return
        if instance in req.tried or not req.service.budget.take():
            self.router.end(instance, req.service.name, AttemptEnd.ABANDONED, 0.0, at)
            req.service.limit.end(None, at)
            return
        self.counters.hedges += 1
        self._send(req, instance)

    def _fate_due(self, req: OpenRequest, attempt: OpenAttempt) -> float:
        if attempt.asked >= FATE_LIMIT:
            return req.deadline
        usual_s = max(FATE_MIN_S, FATE_FACTOR * self.router.latency_s(req.service.name))
        first_s = 0.0 if attempt.suspect else usual_s
        return attempt.sent_at + first_s + usual_s * float(2**attempt.asked - 1)

    def _ask_fates(self, req: OpenRequest, at: float) -> None:
        for attempt in req.open.values():
            if self._fate_due(req, attempt) > at:
                continue
            attempt.asked += 1
            self.counters.fates_asked += 1
            message = AttemptFate(
                sender=self._stamp.sender,
                incarnation=self._stamp.incarnation,
                config_version=self._config.current.version,
                request_id=req.id,
                attempt=attempt.number,
                sent_to=attempt.incarnation,
            )
            # Not on the data lane: that is the connection under suspicion.
            self._links.send_now(attempt.instance, Lane.CONTROL, message)

    # What others tell.

    def _on_view(self, view: InstanceView, live: bool) -> None:
        at = now()
        self.router.update(view, live, at)
        if self._seen.get(view.id) != (view.incarnation, live):
            self._seen[view.id] = (view.incarnation, live)
            self._doubt(view, live)
        for service in view.services:
            if (state := self._services.get(service)) is not None:
                self._pump(state)

    def _doubt(self, view: InstanceView, live: bool) -> None:
        """Settle or doubt what is open at an instance that restarted or fell silent."""
        for attempt in list(self._attempts.values()):
            if attempt.instance != view.id:
                continue
            if attempt.incarnation != view.incarnation:
                # The run that had the attempt is over; its answer can come no more.
                self._finish(attempt, AttemptEnd.FAILURE, None)
            elif not live and not view.draining:
                attempt.suspect = True
                attempt.request.changed.set()

    def _on_config(self, config: Config) -> None:
        document = config.document
        self._rules = RuleSet.from_config(document)
        self.router.configure(document.ejection)
        for name, state in self._services.items():
            policy = document.services.get(name, ServicePolicy())
            for waiter in state.configure(policy, document.retries):
                _give(waiter, None)


def _give(waiter: Waiter, instance: str | None) -> None:
    if not waiter.future.done():
        waiter.future.set_result(instance)


def _end_of(answer: ServiceAnswer) -> AttemptEnd:
    if answer.ran == Outcome.DONE:
        return AttemptEnd.SUCCESS if answer.status < SERVER_ERROR else AttemptEnd.FAILURE
    if answer.ran == Outcome.NOT_RUN and answer.reason in CAPACITY_REASONS:
        return AttemptEnd.REFUSED
    return AttemptEnd.FAILURE
