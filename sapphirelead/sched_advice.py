"""Permissions from the advice service: which workers may run a step, and the tickets for them.

The service's decision on a worker is final, but a ticket expires and is valid for one lifetime of
the worker.  A ticket is requested once per step and worker; an expiring one is requested again only
while the step has tasks to start.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_task import StepKey, TaskRef

TICKET_MARGIN_S: Final = 1.0
"""Tickets that expire sooner are not used, as a claim and its start take time."""

MAX_WORKERS_PER_REQUEST: Final = 100
"""Limit of the advice service."""


@dataclass(slots=True)
class StepAdvice:
    """Answers and open requests of one step.

    :ivar tickets: ticket and its expiry time, by worker that may run the step.
    :ivar requested: workers with an answer, positive or not, or an open request.
    :ivar request_counts: number of requests by worker.
    """

    tickets: dict[WorkerLife, tuple[str, float]] = field(default_factory=dict)
    requested: set[WorkerLife] = field(default_factory=set)
    request_counts: Counter[WorkerLife] = field(default_factory=Counter)


class TicketTable:
    """Tickets of all steps; may be forgotten, the advice service is asked again."""

    _steps: dict[StepKey, StepAdvice]

    def __init__(self) -> None:
        self._steps = {}

    def ticket(self, ref: TaskRef, worker: WorkerLife) -> str:
        """Return the ticket to start ``ref`` on ``worker``; empty if there is none."""
        step = self._steps.get(ref[:3])
        return step.tickets.get(worker, ("", 0.0))[0] if step is not None else ""

    def valid(self, key: StepKey, at: float) -> dict[WorkerLife, str]:
        """Return the usable tickets of a step by worker."""
        step = self._steps.get(key)
        if step is None:
            return {}
        return {
            worker: ticket
            for worker, (ticket, expires_at) in step.tickets.items()
            if expires_at - at > TICKET_MARGIN_S
        }

    def start_request(self, key: StepKey, workers: list[WorkerLife], at: float) -> list[WorkerLife]:
        """Return the workers for the next request and mark them as requested.

        Workers with the fewest requests go first, so that renewals do not delay first requests on
        a large fleet.
        """
        step = self._steps.setdefault(key, StepAdvice())
        for worker, (_, expires_at) in list(step.tickets.items()):
            if expires_at - at <= TICKET_MARGIN_S:
                del step.tickets[worker]
                step.requested.discard(worker)
        wanted = [worker for worker in workers if worker not in step.requested]
        wanted = sorted(wanted, key=lambda worker: step.request_counts[worker])[
            :MAX_WORKERS_PER_REQUEST
        ]
        step.requested.update(wanted)
        step.request_counts.update(wanted)
        return wanted

    def add_tickets(self, key: StepKey, good: dict[WorkerLife, str], expires_at: float) -> None:
        """Store the tickets of an answer by worker."""
        step = self._steps.setdefault(key, StepAdvice())
        for worker, ticket in good.items():
            step.tickets[worker] = (ticket, expires_at)

    def refused(self, ref: TaskRef, worker: WorkerLife) -> None:
        """Drop a ticket that its worker has rejected."""
        step = self._steps.get(ref[:3])
        if step is not None:
            step.tickets.pop(worker, None)
            step.requested.discard(worker)

    def request_failed(self, key: StepKey, workers: list[WorkerLife]) -> None:
        """Allow tickets for the workers of a failed request to be requested again."""
        step = self._steps.get(key)
        if step is not None:
            step.requested.difference_update(workers)

    def forget(self, job_id: str) -> None:
        """Drop the tickets of a job's steps."""
        for key in [key for key in self._steps if key[0] == job_id]:
            del self._steps[key]
