"""Refuses submissions at a follower, without a call to the leader.

Answers a load of callers that the leader would refuse one by one: a burst at an entry would fill
its link to the leader.  A follower refuses only what the leader has told it within
:data:`NOTICE_VALID_S`, only jobs that need at least as much room and can wait no longer than one
that the leader has refused, and never a submission that it has forwarded, or a caller that returns.

Only the leader can tell that a job has not been accepted: the caller may have submitted it through
another entry before, and lost the response.  So a follower refuses with an unknown outcome.
"""

import math
import random
from collections.abc import Callable
from typing import Final

from sapphirelead.admission.loads import Amount, covers, larger, load_of
from sapphirelead.admission.notices import NOTICE_VALID_S, hash_of, unpack_ids
from sapphirelead.admission.places import MAX_RETRY_S
from sapphirelead.clock import now
from sapphirelead.errors import Code
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_messages import (
    AdmissionNotice,
    ClosedQueue,
    Refusals,
    RefusedCaller,
    Reply,
    ReplyKind,
)
from sapphirelead.sched_job import decode_spec
from sapphirelead.sched_spec import JobSpec, QueuePolicy, chain_ms

MEMORY_S: Final = 300.0
"""How long the ids of forwarded submissions are kept at least."""

MAX_IDS: Final = 50_000
"""Ids in a generation, about 5 MB; an entry that forwards more refuses nothing on its own."""

SETTLE_S: Final = 30.0
"""Time after a start, or after the part is switched on, in which everything is forwarded: callers
may repeat what was forwarded before the ids were kept.  The longest deadline of a caller."""

UNSIGNED_TICKET: Final = "0"
"""Ticket of a caller that a follower has refused: the leader knows its place by the job id, and no
follower refuses a caller that shows a ticket."""

MAX_UNSENT: Final = 1_000
"""Refusals that the leader has not been told; with more, submissions are forwarded."""


class ForwardedIds:
    """Ids of the submissions that this entry has forwarded, in two generations."""

    _current: set[str]
    _previous: set[str]
    _began_at: float
    _overflow_at: float

    def __init__(self, at: float) -> None:
        self._current = set()
        self._previous = set()
        self._began_at = at
        self._overflow_at = at + SETTLE_S - 2 * MEMORY_S

    def add(self, job_id: str, at: float) -> None:
        """Record a forwarded submission."""
        if at - self._began_at >= MEMORY_S:
            self._previous, self._current, self._began_at = self._current, set(), at
        if len(self._current) < MAX_IDS:
            self._current.add(job_id)
        elif job_id not in self._current:
            self._overflow_at = at

    def may_contain(self, job_id: str, at: float) -> bool:
        """Whether a submission may have been forwarded."""
        if at - self._overflow_at < 2 * MEMORY_S:
            return True
        return job_id in self._current or job_id in self._previous


class FollowerAdmission:
    """The leader's admission state at a follower."""

    _metrics: Metrics
    _clock: Callable[[], float]
    _forwarded: ForwardedIds | None
    _notice: AdmissionNotice | None
    _notice_at: float
    _epoch: int
    _due: frozenset[int]
    _refused: dict[str, int]
    _unsent: list[tuple[str, str, float]]
    _sent: list[tuple[str, str, float]]

    def __init__(self, metrics: Metrics, clock: Callable[[], float] = now) -> None:
        """Begin without a notice; nothing is recorded while the part is off."""
        self._metrics = metrics
        self._clock = clock
        self._forwarded = None
        self._notice = None
        self._notice_at = -math.inf
        self._epoch = 0
        self._due = frozenset()
        self._refused = {}
        self._unsent = []
        self._sent = []

    def use_metrics(self, metrics: Metrics) -> None:
        """Count in ``metrics``."""
        self._metrics = metrics

    def switch(self, on: bool) -> None:
        """Switch the part on or off."""
        if on and self._forwarded is None:
            self._forwarded = ForwardedIds(self._clock())
        elif not on:
            self._forwarded = None
            self._notice = None
            self._unsent, self._sent = [], []

    def on_notice(self, epoch: int, notice: AdmissionNotice | None) -> None:
        """Take over the state of the leader of an epoch."""
        if self._forwarded is None or epoch < self._epoch:
            return
        changed = (self._epoch, self._version) != (epoch, notice.version if notice else 0)
        self._epoch, self._notice, self._notice_at = epoch, notice, self._clock()
        if changed:
            self._refused = {}
            self._due = unpack_ids(notice.returning) if notice is not None else frozenset()

    @property
    def _version(self) -> int:
        return self._notice.version if self._notice is not None else 0

    def check(
        self, job_id: str, job: bytes, ticket: str, epoch: int, policies: dict[str, QueuePolicy]
    ) -> Reply | None:
        """Return the refusal of a submission; otherwise record that it is forwarded.

        :param epoch: epoch of the leader that it is forwarded to; 0 for a leader in this process.
        """
        if self._forwarded is None:
            return None
        at = self._clock()
        refusal = None
        if not ticket and epoch and epoch == self._epoch and at - self._notice_at < NOTICE_VALID_S:
            refusal = self._refuse(job_id, job, at, policies)
        if refusal is None:
            self._forwarded.add(job_id, at)
        return refusal

    def _refuse(
        self, job_id: str, job: bytes, at: float, policies: dict[str, QueuePolicy]
    ) -> Reply | None:
        assert self._forwarded is not None
        if self._notice is None or self._forwarded.may_contain(job_id, at):
            return None
        if hash_of(job_id) in self._due or len(self._unsent) >= MAX_UNSENT:
            return None
        spec = decode_spec(job)
        policy = policies.get(spec.queue, spec.policy)
        for closed in self._notice.closed:
            if closed.queue == spec.queue and is_refused(spec, policy, closed):
                return self._reply(spec, closed, at)
        return None

    def _reply(self, spec: JobSpec, closed: ClosedQueue, at: float) -> Reply:
        number = self._refused.get(spec.queue, 0)
        self._refused[spec.queue] = number + 1
        # Entries do not know of each other's refusals, so each begins at a random place.
        retry_s = closed.retry_s + (number + random.random()) * closed.spacing_s
        if retry_s > MAX_RETRY_S:
            retry_s = MAX_RETRY_S * random.uniform(0.5, 1.0)
        self._unsent.append((spec.job_id, spec.queue, at + retry_s))
        self._metrics.count("admission_refusals_total", queue=spec.queue, by="follower")
        log_event(
            "INFO",
            "job_refused",
            job=spec.job_id,
            queue=spec.queue,
            reason="admission",
            wait_s=closed.wait_s,
            retry_s=retry_s,
            notice_age_s=at - self._notice_at,
        )
        return Reply(
            0,
            ReplyKind.UNKNOWN,
            retry_after_s=retry_s,
            detail=f"the job would wait {closed.wait_s:.1f} s, too long to be in time",
            code=Code.TOO_LATE,
            ticket=UNSIGNED_TICKET,
        )

    def take_refusals(self, epoch: int) -> Refusals | None:
        """Return the refusals that the leader has not been told twice.

        A leader that is behind reads only the newest of several messages of a kind.
        """
        told, self._sent, self._unsent = self._sent + self._unsent, self._unsent, []
        if not told:
            return None
        at = self._clock()
        return Refusals(epoch, [RefusedCaller(job, queue, due - at) for job, queue, due in told])


def is_refused(spec: JobSpec, policy: QueuePolicy, closed: ClosedQueue) -> bool:
    """Whether the leader would refuse a job as it has refused another of the queue."""
    if spec.occurrences or spec.lasting or policy.priority < closed.priority:
        return False
    if any(step.label for step in spec.steps):
        return False
    need: Amount = (0, 0, 0, 0)
    for step in spec.steps:
        if not step.after:
            need = larger(need, load_of(step))
    chain = max(chain_ms(spec.steps))
    slack_s = (policy.stretch * chain + policy.slack_ms - chain) / 1000
    return covers(need, closed.need) and slack_s <= closed.slack_s
