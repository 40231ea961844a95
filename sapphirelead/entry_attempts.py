"""Registry of open attempts: sending, matching of answers, outcome queries and cancellation.

An attempt ends once, which releases its slot in the router's estimates.  An answer to an attempt
that is not open, or from another instance, is counted and dropped; an answer whose body does not
have the declared length ends the attempt as failed.
"""

from collections.abc import Callable
from typing import Any, Final, Protocol

from sapphirelead.clock import now
from sapphirelead.entry_placing import Placer
from sapphirelead.entry_ports import Channel, InstanceView, Stamp
from sapphirelead.entry_service_state import OpenAttempt, OpenRequest, ServiceCounters
from sapphirelead.errors import Outcome
from sapphirelead.logs import log_event
from sapphirelead.policy_routing import AttemptEnd
from sapphirelead.sched_zones import ZONE_EVACUATED
from sapphirelead.wire_messages import (
    AnyMessage,
    AttemptOutcomeQuery,
    CancelAttempt,
    ServiceAnswer,
    ServiceRequest,
)

CAPACITY_REASONS: Final = frozenset({"full", "draining", "deadline", ZONE_EVACUATED})
SERVER_ERROR: Final = 500


class ServiceLinks(Protocol):
    """Messaging interface used by the dispatcher."""

    def on(self, kind: type[AnyMessage], handler: Callable[[Any], None]) -> None:
        """Call ``handler`` with each received message of ``kind``."""

    def send_now(
        self, instance: str, channel: Channel, message: AnyMessage, incarnation: str = ""
    ) -> bool:
        """Send without waiting; ``False`` means that the message was certainly not sent."""


class ServiceMembers(Protocol):
    """Membership interface used by the dispatcher."""

    def get(self, instance: str) -> InstanceView | None:
        """Return the current view of an instance."""

    def on_view(self, listener: Callable[[InstanceView, bool], None]) -> None:
        """Call ``listener(view, live)`` with each updated view."""


class AttemptRegistry:
    """The open attempts of one entry.

    :ivar unconnected: instances for which a send failed since their last report.
    """

    unconnected: set[str]
    _stamp: Stamp
    _links: ServiceLinks
    _members: ServiceMembers
    _placer: Placer
    _counters: ServiceCounters
    _config_version: Callable[[], int]
    _open: dict[tuple[str, int], OpenAttempt]

    def __init__(
        self,
        stamp: Stamp,
        links: ServiceLinks,
        members: ServiceMembers,
        placer: Placer,
        counters: ServiceCounters,
        config_version: Callable[[], int],
    ) -> None:
        self._stamp = stamp
        self._links = links
        self._members = members
        self._placer = placer
        self._counters = counters
        self._config_version = config_version
        self._open = {}
        self.unconnected = set()
        links.on(ServiceAnswer, self._on_answer)

    def send(self, req: OpenRequest, instance: str) -> bool:
        """Send the next attempt of ``req``; ``False`` means that it was certainly not sent."""
        at = now()
        view = self._members.get(instance)
        incarnation = view.incarnation if view else ""
        number = req.attempts + 1
        attempt = OpenAttempt(req, number, instance, incarnation, at)
        message = ServiceRequest(
            **self._stamp.head(self._config_version()),
            request_id=req.id,
            attempt=number,
            service=req.call.service,
            budget_ms=max(1, int((req.deadline - at) * 1000)),
            headers=req.call.headers,
            body=req.call.body,
        )
        self._open[(req.id, number)] = attempt
        req.open[number] = attempt
        req.tried.append(instance)
        if self._links.send_now(instance, Channel.DATA, message, incarnation):
            req.attempts = number
            return True
        self._counters.unsent += 1
        # There is no connection: REFUSED marks the instance as full until its next report or hello.
        self.unconnected.add(instance)
        self.end(attempt, AttemptEnd.REFUSED)
        return False

    def end(
        self, attempt: OpenAttempt, end: AttemptEnd, answer: ServiceAnswer | None = None
    ) -> None:
        """Close an attempt, release its slot and serve the queue."""
        req = attempt.request
        if self._open.pop((req.id, attempt.number), None) is None:
            return
        del req.open[attempt.number]
        at = now()
        latency_s = at - attempt.sent_at
        succeeded = end is AttemptEnd.SUCCESS
        if succeeded:
            req.service.window.record(latency_s, at)
        req.service.limit.end(latency_s if succeeded else None, at)
        self._placer.router.end(attempt.instance, req.service.name, end, latency_s, at)
        if answer is not None:
            self._placer.router.report(attempt.instance, answer.slots_used, answer.slots, at)
        self._placer.dispatch_queued(req.service)

    def _on_answer(self, answer: ServiceAnswer) -> None:
        attempt = self._open.get((answer.request_id, answer.attempt))
        if attempt is None:
            self._counters.late += 1
            return
        if answer.sender != attempt.instance:
            self._counters.foreign += 1
            return
        if len(answer.body) != answer.body_bytes:
            self._counters.short += 1
            log_event(
                "ERROR", "answer_cut_short", request=answer.request_id, want=answer.body_bytes
            )
            self._finish(attempt, AttemptEnd.FAILURE, None)
            return
        self._finish(attempt, _end_of(answer), answer)

    def _finish(self, attempt: OpenAttempt, end: AttemptEnd, answer: ServiceAnswer | None) -> None:
        self.end(attempt, end, answer)
        attempt.request.ended.append((attempt, answer))
        attempt.request.changed.set()

    def cancel(self, attempt: OpenAttempt) -> None:
        """Notify the agent that the answer is no longer needed."""
        message = CancelAttempt(
            **self._stamp.head(self._config_version()),
            request_id=attempt.request.id,
            attempt=attempt.number,
        )
        self._links.send_now(attempt.instance, Channel.DATA, message, attempt.incarnation)

    def on_channel_change(self, instance: str, incarnation: str, channel: Channel) -> None:
        """Mark the attempts sent on a connection that the agent has replaced as suspect."""
        if channel is Channel.CONTROL:
            return
        for attempt in self._open.values():
            if (attempt.instance, attempt.incarnation) == (instance, incarnation):
                attempt.suspect = True
                attempt.request.changed.set()

    def mark_suspect(self, view: InstanceView, live: bool) -> None:
        """Mark the open attempts at an instance that restarted or timed out as suspect.

        They are queried rather than closed: a fenced agent continues under a new incarnation and
        still answers its open attempts, while a new process replies that it does not know them.
        """
        for attempt in self._open.values():
            if attempt.instance != view.id:
                continue
            restarted = attempt.incarnation != view.incarnation
            if restarted or not (live or view.draining):
                attempt.suspect = True
                attempt.request.changed.set()

    def query_outcome(self, attempt: OpenAttempt) -> None:
        """Query the agent for the outcome of an attempt."""
        attempt.outcome_queries += 1
        self._counters.fates_asked += 1
        message = AttemptOutcomeQuery(
            **self._stamp.head(self._config_version()),
            request_id=attempt.request.id,
            attempt=attempt.number,
            sent_to=attempt.incarnation,
        )
        # The data lane may be the failed connection, so the query uses the control lane.
        self._links.send_now(attempt.instance, Channel.CONTROL, message)


def _end_of(answer: ServiceAnswer) -> AttemptEnd:
    if answer.ran == Outcome.DONE:
        return AttemptEnd.SUCCESS if answer.status < SERVER_ERROR else AttemptEnd.FAILURE
    if answer.ran == Outcome.NOT_RUN and answer.reason in CAPACITY_REASONS:
        return AttemptEnd.REFUSED
    return AttemptEnd.FAILURE
