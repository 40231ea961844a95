"""State of service requests, their attempts and the services at one entry."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.entry_ports import Stamp
from sapphirelead.errors import Failure, Outcome
from sapphirelead.model_config import ConfigDocument, RetryPolicy, ServicePolicy
from sapphirelead.policy_limits import ConcurrencyLimit, DeadlineQueue, RetryAfterEstimator
from sapphirelead.policy_retry import RecentLatency, RetryBudget
from sapphirelead.policy_rules import Decision
from sapphirelead.wire_messages import ServiceAnswer

URGENT_PRIORITY: Final = 9


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A validated service request.

    :ivar budget_s: seconds until the caller's deadline.
    """

    service: str
    headers: dict[str, str]
    body: bytes
    budget_s: float
    idempotent: bool = True
    urgent: bool = False
    team: str = ""


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """The reply to a service request.

    :ivar failure: why there is no response from the target, or ``None`` if there is one.
    :ivar retry_after_s: seconds after which the caller may retry; 0 if not specified.
    """

    outcome: Outcome
    rule: str
    attempts: int
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    failure: Failure | None = None
    retry_after_s: float = 0.0


@dataclass(slots=True)
class OpenAttempt:
    """An attempt that has not ended.

    :ivar incarnation: incarnation of the agent that it was sent to.
    :ivar outcome_queries: number of outcome queries sent.
    :ivar suspect: whether its instance restarted, timed out or replaced the connection.
    """

    request: "OpenRequest"
    number: int
    instance: str
    incarnation: str
    sent_at: float
    outcome_queries: int = 0
    suspect: bool = False


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a reply.

    :ivar changed: set when an attempt ended, became suspect, or a timer is due.
    :ivar tried: instances of all attempts, in order.
    :ivar maybe_ran: whether an attempt ended without proof that it did not run.
    """

    id: str
    call: ServiceCall
    service: "ServiceState"
    decision: Decision
    deadline: float
    started_at: float
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    attempts: int = 0
    tried: list[str] = field(default_factory=list)
    open: dict[int, OpenAttempt] = field(default_factory=dict)
    ended: list[tuple[OpenAttempt, ServiceAnswer | None]] = field(default_factory=list)
    maybe_ran: bool = False
    last_reason: str = ""

    @property
    def priority(self) -> int:
        """Queue priority; the rule's ``urgent`` setting overrides the caller's flag."""
        then = self.decision.then
        urgent = self.call.urgent if then.urgent is None else then.urgent
        return URGENT_PRIORITY if urgent else then.priority


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued request; ``future`` yields its instance, or ``None`` if the request is dropped."""

    request: OpenRequest
    future: "asyncio.Future[str | None]"


@dataclass(slots=True)
class ServiceState:
    """Queue, concurrency limit, retry budget and latencies of one service at this entry."""

    name: str
    policy: ServicePolicy
    queue: DeadlineQueue[Waiter]
    limit: ConcurrencyLimit
    retry_after: RetryAfterEstimator
    window: RecentLatency
    budget: RetryBudget

    @classmethod
    def from_config(
        cls, name: str, document: ConfigDocument, rng: random.Random, at: float
    ) -> "ServiceState":
        """Return the initial state of a service."""
        policy = document.services.get(name, ServicePolicy())
        return cls(
            name,
            policy,
            DeadlineQueue(policy.queue_length),
            ConcurrencyLimit(at),
            RetryAfterEstimator(rng),
            RecentLatency(at),
            RetryBudget(document.retries.budget_share),
        )

    def configure(self, policy: ServicePolicy, retries: RetryPolicy) -> list[Waiter]:
        """Apply a changed configuration and return the waiters dropped from the queue."""
        self.policy = policy
        self.budget.share = retries.budget_share
        return self.queue.resize(policy.queue_length)


@dataclass(slots=True)
class ServiceCounters:
    """Counters since start.

    :ivar unsent: attempts that could not be sent.
    :ivar fates_asked: outcome queries sent.
    :ivar late: answers to unknown or closed attempts.
    :ivar short: answers whose body does not have the declared length.
    :ivar foreign: answers from a different instance than the attempt was sent to.
    """

    requests: int = 0
    done: int = 0
    not_run: int = 0
    unknown: int = 0
    retries: int = 0
    hedges: int = 0
    unsent: int = 0
    fates_asked: int = 0
    late: int = 0
    short: int = 0
    foreign: int = 0


@dataclass(slots=True)
class RequestIds:
    """Generates request ids.

    Ids include the incarnation of the entry, so an answer to a request of an earlier incarnation
    never matches a current request.
    """

    stamp: Stamp
    last: int = 0

    def next(self) -> str:
        """Return a new unique id."""
        self.last += 1
        return f"{self.stamp.sender}:{self.stamp.incarnation}:{self.last}"
