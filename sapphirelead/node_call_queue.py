"""Queue of callers' requests at a hub.

Cancellations have a queue of their own.  Submissions and queries are taken round-robin by sender: a
sender's submissions oldest first, its queries newest first, as the callers of older ones time out
sooner.  A query is dropped on overflow or once its caller has timed out, a submission only on
overflow.  No call for a job overtakes an earlier submission of that job, so that a job is not
reported absent and then run.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.node_dropped import DroppedSubmits
from sapphirelead.node_messages import Call, CallKind

MAX_QUEUED_CALLS: Final = 2_000
"""Bound on queued calls, including cancellations."""

MAX_QUEUED_CALL_BYTES: Final = 16 * 1024 * 1024
"""Bound on the total size of the jobs in queued calls."""

CallKey = tuple[bytes, int]


@dataclass(slots=True)
class QueuedCall:
    """A queued call; a retry replaces its content and keeps its position.

    :ivar arrived_at: arrival time of the first try.
    """

    identity: bytes
    call: Call
    arrived_at: float

    @property
    def key(self) -> CallKey:
        """Sender and number of the call, the same for each retry."""
        return self.identity, self.call.number


@dataclass(slots=True)
class _Sender:
    """Submissions and queries of one sender, each in order of arrival."""

    submits: dict[CallKey, QueuedCall] = field(default_factory=dict)
    queries: dict[CallKey, QueuedCall] = field(default_factory=dict)
    submit_next: bool = True

    def __len__(self) -> int:
        return len(self.submits) + len(self.queries)

    def next(self) -> QueuedCall:
        """Return the next call: alternately the oldest submission and the newest query."""
        submit = bool(self.submits) and (self.submit_next or not self.queries)
        self.submit_next = not submit
        if submit:
            return next(iter(self.submits.values()))
        return next(reversed(self.queries.values()))

    def drop_candidate(self) -> QueuedCall:
        """Return the call to drop on overflow: the oldest query, else the newest submission."""
        if self.queries:
            return next(iter(self.queries.values()))
        return next(reversed(self.submits.values()))


class CallQueue:
    """The queued calls of all senders.

    :ivar merged: number of calls replaced by a retry, by kind.
    :ivar dropped: number of dropped calls, by kind.
    """

    merged: Counter[str]
    dropped: Counter[str]
    _query_timeout_s: float
    _waiting: dict[CallKey, QueuedCall]
    _cancels: dict[CallKey, QueuedCall]
    _senders: dict[bytes, _Sender]
    _queries: dict[CallKey, QueuedCall]
    _submits: dict[str, dict[CallKey, QueuedCall]]
    _dropped_submits: DroppedSubmits
    _bytes: int

    def __init__(self, query_timeout_s: float) -> None:
        """Create an empty queue.

        :param query_timeout_s: maximum time that the caller of a query waits.
        """
        self.merged = Counter()
        self.dropped = Counter()
        self._query_timeout_s = query_timeout_s
        self._waiting = {}
        self._cancels = {}
        self._senders = {}
        self._queries = {}
        self._submits = {}
        self._dropped_submits = DroppedSubmits()
        self._bytes = 0

    def waiting(self) -> Iterator[QueuedCall]:
        """Yield all queued calls."""
        yield from self._waiting.values()

    def has_cancel(self) -> bool:
        """Whether :meth:`take_cancel` has anything to return."""
        return bool(self._cancels)

    def has_call(self) -> bool:
        """Whether :meth:`take_call` has anything to return."""
        return bool(self._senders)

    def may_arrive(self, job_id: str, at: float) -> bool:
        """Whether a submission of the job is queued, or was dropped and may be retried."""
        return job_id in self._submits or self._dropped_submits.may_arrive(job_id, at)

    def put(self, identity: bytes, call: Call, at: float) -> None:
        """Add a call that arrived at time ``at``; drops calls beyond the bounds."""
        self.expire(at)
        new = QueuedCall(identity, call, at)
        known = self._waiting.get(new.key)
        if known is not None:
            self.merged[call.kind.value] += 1
            self._bytes += len(call.job) - len(known.call.job)
            known.call = call
        else:
            self._add(new)
        if call.kind is CallKind.CANCEL:
            self._move_submits_before(known or new)
        while self._senders and self._over_limit():
            self._drop(max(self._senders.values(), key=len).drop_candidate(), at)
        if self._over_limit() and known is None:
            self._drop(new, at)

    def take_cancel(self) -> QueuedCall:
        """Remove and return the next cancellation, or a submission that precedes one of its job."""
        return self._remove(next(iter(self._cancels.values())))

    def take_call(self) -> QueuedCall:
        """Remove and return the next submission or query, in round-robin order of senders."""
        identity, sender = next(iter(self._senders.items()))
        found = sender.next()
        if found.call.kind is CallKind.STATE:
            found = next(iter(self._submits.get(found.call.job_id, {}).values()), found)
        self._remove(found)
        if identity in self._senders:
            self._senders[identity] = self._senders.pop(identity)
        return found

    def expire(self, at: float) -> None:
        """Drop the queries whose callers have timed out by time ``at``."""
        while self._queries:
            oldest = next(iter(self._queries.values()))
            if at - oldest.arrived_at <= self._query_timeout_s:
                return
            self._drop(oldest, at)

    def _over_limit(self) -> bool:
        return len(self._waiting) > MAX_QUEUED_CALLS or self._bytes > MAX_QUEUED_CALL_BYTES

    def _add(self, new: QueuedCall) -> None:
        call, key = new.call, new.key
        self._waiting[key] = new
        self._bytes += len(call.job)
        if call.kind is CallKind.CANCEL:
            self._cancels[key] = new
            return
        sender = self._senders.setdefault(new.identity, _Sender())
        if call.kind is CallKind.SUBMIT:
            sender.submits[key] = new
            self._submits.setdefault(call.job_id, {})[key] = new
        else:
            sender.queries[key] = new
            self._queries[key] = new

    def _move_submits_before(self, cancel: QueuedCall) -> None:
        """Move the submissions of a cancelled job into the cancel queue, before the cancel."""
        submits = self._submits.get(cancel.call.job_id)
        if not submits:
            return
        del self._cancels[cancel.key]
        for submit in submits.values():
            self._remove_from_sender(submit)
            self._cancels[submit.key] = submit
        self._cancels[cancel.key] = cancel

    def _drop(self, dropped: QueuedCall, at: float) -> None:
        self.dropped[dropped.call.kind.value] += 1
        self._remove(dropped)
        if dropped.call.kind is CallKind.SUBMIT:
            self._dropped_submits.record(dropped.call.job_id, at)

    def _remove(self, removed: QueuedCall) -> QueuedCall:
        key = removed.key
        del self._waiting[key]
        self._bytes -= len(removed.call.job)
        self._cancels.pop(key, None)
        self._queries.pop(key, None)
        self._remove_from_sender(removed)
        if removed.call.kind is CallKind.SUBMIT:
            submits = self._submits[removed.call.job_id]
            del submits[key]
            if not submits:
                del self._submits[removed.call.job_id]
        return removed

    def _remove_from_sender(self, call: QueuedCall) -> None:
        sender = self._senders.get(call.identity)
        if sender is None:
            return
        sender.submits.pop(call.key, None)
        sender.queries.pop(call.key, None)
        if not sender:
            del self._senders[call.identity]
