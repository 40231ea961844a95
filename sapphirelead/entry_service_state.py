"""What the service path keeps of each request, attempt and service while they are open."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.entry_ports import Stamp
from sapphirelead.errors import Failure, Outcome
from sapphirelead.model_config import ConfigDocument, RetryPolicy, ServicePolicy
from sapphirelead.policy_limits import ConcurrencyLimit, DeadlineQueue, Pressure
from sapphirelead.policy_retry import LatencyWindow, RetryBudget
from sapphirelead.policy_rules import Decision
from sapphirelead.wire_messages import ServiceAnswer

URGENT_PRIORITY: Final = 9


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A caller's request for a service, checked at the border.

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
    """The final answer to a request.

    :ivar failure: why there is no answer of the target, or ``None`` where there is one.
    :ivar retry_after_s: seconds after which the caller may ask again; 0 for no advice.
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
    """One attempt that has no end yet.

    :ivar incarnation: run of the agent that it was sent to.
    :ivar outcome_queries: how often its fate was outcome_queries for.
    :ivar suspect: its instance fell silent or replaced the connection it was sent on.
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
    """One request that has no final answer yet.

    :ivar changed: set when an attempt ended or something is due.
    :ivar maybe_ran: an attempt ended, or was left open, without proof that it did not run.
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
        """Rank in the queue: the rule's word on urgency goes before the caller's."""
        then = self.decision.then
        urgent = self.call.urgent if then.urgent is None else then.urgent
        return URGENT_PRIORITY if urgent else then.priority


@dataclass(slots=True, eq=False)
class Waiter:
    """A request in the queue; the future yields an instance, or ``None`` when it is given up."""

    request: OpenRequest
    future: "asyncio.Future[str | None]"


@dataclass(slots=True)
class ServiceState:
    """Queue, limits and measurements of one service at this entry."""

    name: str
    policy: ServicePolicy
    queue: DeadlineQueue[Waiter]
    limit: ConcurrencyLimit
    pressure: Pressure
    window: LatencyWindow
    budget: RetryBudget

    @classmethod
    def from_config(
        cls, name: str, document: ConfigDocument, rng: random.Random, at: float
    ) -> "ServiceState":
        """Return the state of a service that has seen no request yet."""
        policy = document.services.get(name, ServicePolicy())
        return cls(
            name,
            policy,
            DeadlineQueue(policy.queue_length),
            ConcurrencyLimit(at),
            Pressure(rng),
            LatencyWindow(at),
            RetryBudget(document.retries.budget_share),
        )

    def configure(self, policy: ServicePolicy, retries: RetryPolicy) -> list[Waiter]:
        """Take a changed configuration and return the waiters that lost their places."""
        self.policy = policy
        self.budget.share = retries.budget_share
        return self.queue.resize(policy.queue_length)


@dataclass(slots=True)
class ServiceCounters:
    """What the service path counted since start.

    :ivar late: answers of attempts that were closed or never made.
    :ivar short: answers whose body was not as long as they said.
    :ivar foreign: answers from another instance than the attempt was sent to.
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
    """Numbers requests within one run of this entry.

    The run's incarnation is part of the id, so an answer to a request of an earlier run of the
    entry never matches a request of this one.
    """

    stamp: Stamp
    last: int = 0

    def next(self) -> str:
        """Return an id that was never used."""
        self.last += 1
        return f"{self.stamp.sender}:{self.stamp.incarnation}:{self.last}"
