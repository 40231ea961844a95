"""Orders to agents that wait to be sent."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from sapphirelead.node_messages import StartOrder, StopOrder
from sapphirelead.sched_fleet import Fleet, Run
from sapphirelead.sched_job import Job
from sapphirelead.sched_spec import StepSpec


@dataclass(slots=True)
class Outgoing:
    """Orders queued for one agent.

    :ivar stored: ends to acknowledge, by task and attempt.
    """

    starts: list[Run] = field(default_factory=list)
    stops: list[tuple[str, int]] = field(default_factory=list)
    stored: list[tuple[str, int]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.starts or self.has_unrestricted_orders)

    @property
    def has_unrestricted_orders(self) -> bool:
        """Whether there are orders that may always be sent."""
        return bool(self.stops or self.stored)


class OrderQueues(Mapping[str, Outgoing]):
    """The queued orders by agent."""

    _jobs: Mapping[str, Job]
    _fleet: Fleet
    _queues: dict[str, Outgoing]

    def __init__(self, jobs: Mapping[str, Job], fleet: Fleet) -> None:
        """Create empty queues.

        :param jobs: the scheduler's jobs, which tell what a start contains.
        """
        self._jobs = jobs
        self._fleet = fleet
        self._queues = {}

    def __getitem__(self, agent: str) -> Outgoing:
        return self._queues[agent]

    def __iter__(self) -> Iterator[str]:
        return iter(self._queues)

    def __len__(self) -> int:
        return len(self._queues)

    def queue(self, agent: str) -> Outgoing:
        """Return the queue of orders for ``agent``; creates it if necessary."""
        found = self._queues.get(agent)
        if found is None:
            found = self._queues[agent] = Outgoing()
        return found

    def take(
        self, agent: str, at: float, may_start: bool
    ) -> tuple[list[StartOrder], list[StopOrder], list[tuple[str, int]]]:
        """Remove and return the orders queued for ``agent``.

        :param may_start: whether to include the starts, which stay queued otherwise.
        :return: starts, stops, and the ends to acknowledge.
        """
        out = self._queues.pop(agent, None)
        if out is None:
            return [], [], []
        if not may_start and out.starts:
            self._queues[agent] = Outgoing(starts=out.starts)
            out.starts = []
        starts = []
        number = self._fleet.instance(agent).orders_sent
        # A start that was held back may have been queued again.
        for run in dict.fromkeys(out.starts):
            order = self._start_order(run)
            if order is not None:
                run.sent_at = at
                run.sent_in = number
                starts.append(order)
        stops = [StopOrder(task, attempt) for task, attempt in dict.fromkeys(out.stops)]
        return starts, stops, out.stored

    def _start_order(self, run: Run) -> StartOrder | None:
        """Return the order that starts ``run``, or ``None`` if it is no longer wanted."""
        job = self._jobs.get(run.ref.job_id)
        if job is None or run.stop_wanted or self._fleet.runs.get(run.key) is not run:
            return None
        task = job.task(run.ref)
        if task is None:
            return None
        step: StepSpec = run.step
        return StartOrder(
            run.ref.text(),
            run.attempt,
            job.spec.payload,
            task.saved,
            run.ticket,
            step.room,
            step.image,
            step.target_ms,
            step.fills,
            step.cpu_millicores,
        )
