"""Priority queue of the messages that have arrived at an entry's hub.

Keeps urgent messages from waiting behind the rest of their connection.  Of heartbeats and leader
election messages, only the newest of each sender and kind is kept; reports of one agent are merged
and taken in the order of the agents' oldest report; calls are ordered by
:mod:`sapphirelead.node_call_queue`.  Weighted round-robin between the classes prevents starvation.
Senders repeat messages that are dropped here.
"""

from collections import Counter
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from sapphirelead.node_call_queue import CallQueue, QueuedCall
from sapphirelead.node_codec import message_kind
from sapphirelead.node_messages import AgentReport, AnyNodeMessage, Call
from sapphirelead.node_report_merge import merge_reports

MAX_REPORTS_PER_AGENT: Final = 4
"""Bound on the queued reports of one agent that cannot be merged."""


class Urgency(IntEnum):
    """Priority classes of messages, the most urgent first."""

    LEAD = 0
    CANCEL = 1
    REPORT = 2
    CALL = 3


CLASS_WEIGHTS: Final = {Urgency.LEAD: 8, Urgency.CANCEL: 4, Urgency.REPORT: 4, Urgency.CALL: 2}
"""Messages taken of each class in one round while all classes have some queued."""


@dataclass(slots=True)
class QueuedMessage:
    """A message that is queued or being handled.

    :ivar arrived_at: arrival time; of merged messages, that of the oldest.
    """

    identity: bytes
    message: AnyNodeMessage
    arrived_at: float


class Inbox:
    """The queued messages of one hub."""

    _merged: Counter[str]
    _dropped: Counter[str]
    _latest: dict[tuple[bytes, str], QueuedMessage]
    _reports: dict[bytes, list[QueuedMessage]]
    _calls: CallQueue
    _credits: dict[Urgency, int]

    def __init__(self, query_timeout_s: float) -> None:
        """Create an empty inbox.

        :param query_timeout_s: maximum time that the caller of a query waits.
        """
        self._merged = Counter()
        self._dropped = Counter()
        self._latest = {}
        self._reports = {}
        self._calls = CallQueue(query_timeout_s)
        self._credits = dict(CLASS_WEIGHTS)

    @property
    def merged(self) -> Counter[str]:
        """Number of messages merged into others, by kind."""
        return self._merged + self._calls.merged

    @property
    def dropped(self) -> Counter[str]:
        """Number of dropped messages, by kind."""
        return self._dropped + self._calls.dropped

    def __len__(self) -> int:
        return sum(self.counts().values())

    def counts(self) -> Counter[str]:
        """Return the number of queued messages by kind."""
        counts = Counter(kind for _, kind in self._latest)
        counts.update(item.call.kind.value for item in self._calls.waiting())
        reports = sum(len(waiting) for waiting in self._reports.values())
        if reports:
            counts[AgentReport.__name__] = reports
        return counts

    def may_arrive(self, job_id: str, at: float) -> bool:
        """Whether a submission of the job is queued, or was dropped and may be retried."""
        return self._calls.may_arrive(job_id, at)

    def put(self, identity: bytes, message: AnyNodeMessage, at: float) -> None:
        """Add a message that arrived at time ``at``."""
        match message:
            case AgentReport():
                self._put_report(QueuedMessage(identity, message, at), message)
            case Call():
                self._calls.put(identity, message, at)
            case _:
                self._put_newest(QueuedMessage(identity, message, at))

    def take(self, at: float) -> QueuedMessage | None:
        """Remove and return the next message; ``None`` if the inbox is empty."""
        self._calls.expire(at)
        waiting = [urgency for urgency in Urgency if self._has(urgency)]
        if not waiting:
            return None
        if not any(self._credits[urgency] for urgency in waiting):
            self._credits = dict(CLASS_WEIGHTS)
        urgency = next(urgency for urgency in waiting if self._credits[urgency])
        self._credits[urgency] -= 1
        return self._next(urgency)

    def _has(self, urgency: Urgency) -> bool:
        match urgency:
            case Urgency.LEAD:
                return bool(self._latest)
            case Urgency.CANCEL:
                return self._calls.has_cancel()
            case Urgency.REPORT:
                return bool(self._reports)
            case Urgency.CALL:
                return self._calls.has_call()

    def _next(self, urgency: Urgency) -> QueuedMessage:
        match urgency:
            case Urgency.LEAD:
                return self._latest.pop(next(iter(self._latest)))
            case Urgency.CANCEL:
                return _from_call(self._calls.take_cancel())
            case Urgency.REPORT:
                return self._next_report()
            case Urgency.CALL:
                return _from_call(self._calls.take_call())

    def _put_newest(self, new: QueuedMessage) -> None:
        kind = message_kind(new.message)
        known = self._latest.setdefault((new.identity, kind), new)
        if known is not new:
            known.message = new.message
            self._merged[kind] += 1

    def _put_report(self, new: QueuedMessage, report: AgentReport) -> None:
        waiting = self._reports.setdefault(new.identity, [])
        last = waiting[-1] if waiting else None
        if last is not None and isinstance(last.message, AgentReport):
            merged = merge_reports(last.message, report)
            if merged is not None:
                last.message = merged
                self._merged[AgentReport.__name__] += 1
                return
        waiting.append(new)
        if len(waiting) > MAX_REPORTS_PER_AGENT:
            del waiting[0]
            self._dropped[AgentReport.__name__] += 1

    def _next_report(self) -> QueuedMessage:
        identity = next(iter(self._reports))
        first, *others = self._reports.pop(identity)
        if others:
            self._reports[identity] = others
        return first


def _from_call(item: QueuedCall) -> QueuedMessage:
    return QueuedMessage(item.identity, item.call, item.arrived_at)
