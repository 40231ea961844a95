"""Permissions of the advice service: which workers may run a step, and the tickets for them.

The service's word on a worker does not change, but a ticket lapses and holds for one life of the
worker.  A worker is asked about once for each step; a ticket that is about to lapse is asked for
again only when a start needs it.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.sched_job import TaskRef

StepKey = tuple[str, int, int]

TICKET_MARGIN_S: Final = 1.0
"""A ticket that lapses sooner is not used: a claim, its order and a second try of the start take
less."""

MAX_WORKERS_PER_REQUEST: Final = 100
"""Workers in one question; the advice service's own bound."""


@dataclass(slots=True)
class StepAdvice:
    """What is known about one step.

    :ivar tickets: for each worker that may run it, the ticket and the time at which it lapses.
    :ivar asked: workers with an answer, of whatever kind, or an open question.
    :ivar times: how often each worker has been asked about.
    """

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)
    times: Counter[str] = field(default_factory=Counter)


class TicketTable:
    """The tickets of all steps."""

    _steps: dict[StepKey, StepAdvice]

    def __init__(self) -> None:
        self._steps = {}

    def ticket(self, ref: TaskRef, worker: str) -> str:
        """Return the ticket for a start of ``ref`` on ``worker``; empty where there is none."""
        step = self._steps.get(ref[:3])
        return step.tickets.get(worker, ("", 0.0))[0] if step is not None else ""

    def valid(self, key: StepKey, at: float) -> dict[str, str]:
        """Return the tickets of a step that may be used now, by worker."""
        step = self._steps.get(key)
        if step is None:
            return {}
        return {
            worker: ticket
            for worker, (ticket, expires_at) in step.tickets.items()
            if expires_at - at > TICKET_MARGIN_S
        }

    def start_request(self, key: StepKey, workers: list[str], at: float) -> list[str]:
        """Return the workers that are to be asked about now, and note them as asked.

        Those asked about least often come first: tickets lapse, and the first workers of a large
        fleet would else be asked about again before the last ones for the first time.
        """
        step = self._steps.setdefault(key, StepAdvice())
        for worker, (_, expires_at) in list(step.tickets.items()):
            if expires_at - at <= TICKET_MARGIN_S:
                del step.tickets[worker]
                step.asked.discard(worker)
        wanted = [worker for worker in workers if worker not in step.asked]
        wanted = sorted(wanted, key=lambda worker: step.times[worker])[:MAX_WORKERS_PER_REQUEST]
        step.asked.update(wanted)
        step.times.update(wanted)
        return wanted

    def add_tickets(self, key: StepKey, good: dict[str, str], expires_at: float) -> None:
        """Take an answer: the workers that may run the step, with their tickets."""
        step = self._steps.setdefault(key, StepAdvice())
        for worker, ticket in good.items():
            step.tickets[worker] = (ticket, expires_at)

    def refused(self, ref: TaskRef, worker: str) -> None:
        """Take note that a worker did not take its ticket."""
        step = self._steps.get(ref[:3])
        if step is not None:
            step.tickets.pop(worker, None)
            step.asked.discard(worker)

    def request_failed(self, key: StepKey, workers: list[str]) -> None:
        """Take note that a question got no answer; it may be asked again."""
        step = self._steps.get(key)
        if step is not None:
            step.asked.difference_update(workers)

    def forget(self, job_id: str) -> None:
        """Drop what is known about a job's steps."""
        for key in [key for key in self._steps if key[0] == job_id]:
            del self._steps[key]
