"""Dispatch of service requests to instances: admission, placement, retries and hedging.

One coroutine per request applies the rules, places an attempt or queues, and then waits for an
attempt to end, a hedge or outcome query to fall due, or the deadline.  ``not_run`` is returned only
if every attempt was unsent or refused by the incarnation that it was sent to.  An attempt that is
open much longer than the estimated latency, or whose connection was replaced, is resolved by an
``AttemptOutcomeQuery``: the agent resends a lost answer or proves that the attempt never
arrived.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from result import Err

from sapphirelead.clock import now
from sapphirelead.entry_attempts import AttemptRegistry, ServiceLinks, ServiceMembers
from sapphirelead.entry_placing import Placer, refuse_waiter
from sapphirelead.entry_ports import Channel, ConfigService, InstanceView, Stamp
from sapphirelead.entry_service_state import (
    OpenAttempt,
    OpenRequest,
    RequestIds,
    ServiceCall,
    ServiceCounters,
    ServiceReply,
    ServiceState,
)
from sapphirelead.errors import Code, Failure, Outcome
from sapphirelead.model_config import Config, ServicePolicy
from sapphirelead.policy_retry import AttemptState, hedge_after_s, may_retry
from sapphirelead.policy_routing import AttemptEnd, Router
from sapphirelead.policy_rules import Decision, RuleSet, Situation
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_messages import ChannelHello, ServiceAnswer

TIMER_SLACK_S: Final = 0.001
OUTCOME_QUERY_LATENCY_FACTOR: Final = 4.0
MIN_OUTCOME_QUERY_DELAY_S: Final = 0.25
MAX_OUTCOME_QUERIES: Final = 5

NO_INSTANCE: Final = Failure(Code.NO_INSTANCE, "no live instance offers this service")
DEADLINE_PASSED: Final = Failure(
    Code.DEADLINE, "the deadline passed before a response was received"
)
IS_DRAINING: Final = Failure(Code.DRAINING, "this entry is draining; retry through another entry")


class ServiceDispatcher:
    """Dispatches service requests to instances and returns the responses.

    :ivar router: load and latency estimates of the instances.
    :ivar attempts: open attempts.
    :ivar slowdown: returns the measured slowdown of a service, for rules.
    :ivar store_up: returns whether the table responds, for rules.
    """

    counters: ServiceCounters
    router: Router
    attempts: AttemptRegistry
    slowdown: Callable[[str], float]
    store_up: Callable[[], bool]
    _zone: str
    _placer: Placer
    _members: ServiceMembers
    _config: ConfigService
    _rules: RuleSet
    _rng: random.Random
    _services: dict[str, ServiceState]
    _requests: set[OpenRequest]
    _ids: RequestIds
    _draining: bool
    _idle: asyncio.Event
    _grace_until: float
    _last_states: dict[str, tuple[str, bool]]

    def __init__(
        self,
        settings: EntrySettings,
        stamp: Stamp,
        links: ServiceLinks,
        members: ServiceMembers,
        config: ConfigService,
        rng: random.Random,
        make_placer: Callable[[Router], Placer],
    ) -> None:
        self.counters = ServiceCounters()
        self.router = Router.from_config(settings.zone, config.current.document.ejection, rng)
        self._placer = make_placer(self.router)
        self.attempts = AttemptRegistry(
            stamp, links, members, self._placer, self.counters, lambda: config.current.version
        )
        self.slowdown = lambda _service: 1.0
        self.store_up = lambda: True
        self._zone = settings.zone
        self._members = members
        self._config = config
        self._rules = RuleSet.from_config(config.current.document)
        self._rng = rng
        self._services = {}
        self._requests = set()
        self._ids = RequestIds(stamp)
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._last_states = {}
        self._grace_until = now() + settings.lease.silence_seconds
        members.on_view(self._on_view)
        links.on(ChannelHello, self._on_hello)
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
        make_placer: Callable[[Router], Placer] = Placer,
    ) -> "ServiceDispatcher":
        """Return a dispatcher that accepts requests immediately."""
        return cls(settings, stamp, links, members, config, rng or random.Random(), make_placer)

    @property
    def open_requests(self) -> int:
        """Number of requests without a reply."""
        return len(self._requests)

    async def drain(self) -> None:
        """Refuse new requests and return when all open ones have a reply."""
        self._draining = True
        await self._idle.wait()

    async def call(self, call: ServiceCall) -> ServiceReply:
        """Serve one request and return its reply."""
        self.counters.requests += 1
        req = self._admit(call)
        refusal = self._refusal(req)
        if refusal is not None:
            return self._fail(req, refusal)
        req.service.budget.request()
        self._requests.add(req)
        self._idle.clear()
        try:
            return await self._serve(req)
        finally:
            self._close(req)

    def decide(self, call: ServiceCall) -> Decision:
        """Evaluate the rules for a request in the current situation."""
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
        if (refused := req.decision.refusal("request")) is not None:
            return refused
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

    # Attempts, retries and replies.

    async def _serve(self, req: OpenRequest) -> ServiceReply:
        while True:
            if not req.open and (failure := await self._start_attempt(req)):
                return self._fail(req, failure)
            await self._wait(req)
            if (reply := self._take_ended(req)) is not None:
                return reply
            # A timer may fire one clock tick early; without the slack the loop would busy-wait
            # until the timer is due.
            at = now() + TIMER_SLACK_S
            if at >= req.deadline:
                return self._fail(req, DEADLINE_PASSED)
            if not req.open:
                if (failure := self._retry_refusal(req)) is not None:
                    return self._fail(req, failure)
                continue
            self._query_outcomes(req, at)
            self._hedge(req, at)

    async def _start_attempt(self, req: OpenRequest) -> Failure | None:
        """Place and send an attempt; an unsent one is placed again and is not counted."""
        while True:
            placed = await self._placer.place(req)
            if isinstance(placed, Err):
                return placed.err_value
            if self.attempts.send(req, placed.ok_value):
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
            due = min(due, self._outcome_query_due(req, attempt))
        hedge_due = self._hedge_due(req)
        # A hedge that was due but could not be sent is not scheduled again.
        return min(due, hedge_due) if hedge_due is not None and hedge_due > at else due

    def _take_ended(self, req: OpenRequest) -> ServiceReply | None:
        """Process ended attempts; return the reply if one of them succeeded."""
        while req.ended:
            attempt, answer = req.ended.pop(0)
            ran = self._proven_outcome(attempt, answer)
            if ran is Outcome.DONE and answer is not None:
                return self._done(req, answer)
            req.maybe_ran = req.maybe_ran or ran is Outcome.UNKNOWN
            req.last_reason = answer.reason if answer is not None else "lost"
        return None

    def _proven_outcome(self, attempt: OpenAttempt, answer: ServiceAnswer | None) -> Outcome:
        if answer is None:
            return Outcome.UNKNOWN
        if answer.ran == Outcome.DONE:
            return Outcome.DONE
        # A restarted agent cannot know whether its previous incarnation ran the attempt.
        same_run = answer.incarnation == attempt.incarnation
        return Outcome.NOT_RUN if answer.ran == Outcome.NOT_RUN and same_run else Outcome.UNKNOWN

    def _retry_refusal(self, req: OpenRequest) -> Failure | None:
        """Return why no retry is made, or ``None`` after charging one to the retry budget."""
        state = AttemptState(req.call.idempotent, not req.maybe_ran, req.attempts)
        allowed = may_retry(state, self._config.current.document.retries)
        if allowed and req.service.budget.take():
            self.counters.retries += 1
            return None
        code = Code.TARGET_FAILED if req.maybe_ran else Code.OVERLOADED
        reason = req.last_reason or "no response"
        return Failure(code, f"attempt {req.attempts} ended without a response: {reason}")

    def _done(self, req: OpenRequest, answer: ServiceAnswer) -> ServiceReply:
        self.counters.done += 1
        req.service.retry_after.served()
        return ServiceReply(
            Outcome.DONE,
            req.decision.rule,
            req.attempts,
            answer.status,
            answer.headers,
            answer.body,
        )

    def _fail(self, req: OpenRequest, failure: Failure) -> ServiceReply:
        unknown = req.maybe_ran or bool(req.open)
        outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
        if unknown:
            self.counters.unknown += 1
        else:
            self.counters.not_run += 1
        req.service.retry_after.refused()
        return ServiceReply(
            outcome,
            req.decision.rule,
            req.attempts,
            failure=failure,
            retry_after_s=self._retry_after_s(req, failure),
        )

    def _retry_after_s(self, req: OpenRequest, failure: Failure) -> float:
        service = req.service
        backlog_s = self._placer.wait_s(service, len(service.queue))
        if failure.code is Code.REFUSED_BY_RULE:
            min_s = req.decision.then.retry_after_ms / 1000
            return service.retry_after.retry_after_s(0.0, min_s)
        return service.retry_after.retry_after_s(backlog_s)

    def _close(self, req: OpenRequest) -> None:
        """Cancel the attempts that are still open and release the request."""
        in_time = not req.open or now() + TIMER_SLACK_S < req.deadline
        for attempt in list(req.open.values()):
            end = AttemptEnd.ABANDONED if in_time else AttemptEnd.TIMEOUT
            self.attempts.end(attempt, end)
            self.attempts.cancel(attempt)
        self._requests.discard(req)
        if not self._requests:
            self._idle.set()

    # Hedges and outcome queries.

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
        """Send a second concurrent attempt if one is due and no queued request needs the slot."""
        due = self._hedge_due(req)
        if due is None or due > at or len(req.service.queue) or len(req.open) > 1:
            return
        # The budget is charged last, so that a hedge that cannot be placed leaves it to retries.
        instance = self._placer.reserve(req)
        if instance is None:
            return
        if instance in req.tried or not req.service.budget.take():
            self._placer.release(req.service, instance)
            return
        self.counters.hedges += 1
        self.attempts.send(req, instance)

    def _outcome_query_due(self, req: OpenRequest, attempt: OpenAttempt) -> float:
        if attempt.outcome_queries >= MAX_OUTCOME_QUERIES:
            return req.deadline
        base_delay_s = max(
            MIN_OUTCOME_QUERY_DELAY_S,
            OUTCOME_QUERY_LATENCY_FACTOR * self.router.latency_s(req.service.name),
        )
        initial_delay_s = 0.0 if attempt.suspect else base_delay_s
        return (
            attempt.sent_at + initial_delay_s + base_delay_s * float(2**attempt.outcome_queries - 1)
        )

    def _query_outcomes(self, req: OpenRequest, at: float) -> None:
        for attempt in req.open.values():
            if self._outcome_query_due(req, attempt) > at:
                continue
            self.attempts.query_outcome(attempt)

    # Instance and configuration updates.

    def _on_view(self, view: InstanceView, live: bool) -> None:
        at = now()
        self.attempts.unconnected.discard(view.id)
        self.router.update(view, live and self._zone_open(view), at)
        if self._last_states.get(view.id) != (view.incarnation, live):
            self._last_states[view.id] = (view.incarnation, live)
            self.attempts.mark_suspect(view, live)
        self._dispatch_queued(view)

    def _on_hello(self, hello: ChannelHello) -> None:
        """Serve requests that could not be sent before an instance opened its data connection."""
        view = self._members.get(hello.sender)
        if hello.channel != Channel.DATA or hello.sender not in self.attempts.unconnected:
            return
        if view is None or view.incarnation != hello.incarnation:
            return
        self.attempts.unconnected.discard(view.id)
        self.router.report(view.id, view.slots_used, view.slots, now())
        self._dispatch_queued(view)

    def _dispatch_queued(self, view: InstanceView) -> None:
        for service in view.services:
            if (state := self._services.get(service)) is not None:
                self._placer.dispatch_queued(state)

    def _zone_open(self, view: InstanceView) -> bool:
        return view.zone not in self._config.current.document.evacuated_zones

    def _apply_zones(self) -> None:
        """Stop or resume sending requests to instances as their zones are evacuated or restored."""
        for instance, (incarnation, live) in self._last_states.items():
            view = self._members.get(instance)
            if view is not None and view.incarnation == incarnation:
                self.router.update(view, live and self._zone_open(view), now())

    def _on_config(self, config: Config) -> None:
        document = config.document
        self._apply_zones()
        self._rules = RuleSet.from_config(document)
        self.router.configure(document.ejection)
        for name, state in self._services.items():
            policy = document.services.get(name, ServicePolicy())
            for waiter in state.configure(policy, document.retries):
                refuse_waiter(waiter)
