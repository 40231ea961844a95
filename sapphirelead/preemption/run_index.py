"""Runs by queue, so that a review looks only at workers with runs that may be stopped.  No I/O.

Answers a fleet of thousands of workers of which few run low-priority tasks.
"""

from collections import Counter
from collections.abc import Collection, KeysView

from sapphirelead.sched_fleet import Run, RunKey


class RunIndex:
    """The runs of each queue, and the workers that have any.

    :ivar millicores: CPU requested by all runs.
    """

    millicores: int
    _queue_of: dict[RunKey, str]
    _agents: dict[str, Counter[str]]

    def __init__(self) -> None:
        self.millicores = 0
        self._queue_of = {}
        self._agents = {}

    @property
    def queues(self) -> KeysView[str]:
        """Queues with runs."""
        return self._agents.keys()

    def queue_of(self, run: Run) -> str:
        """Return the queue of a run; empty if it is not known."""
        return self._queue_of.get(run.key, "")

    def agents(self, queues: Collection[str]) -> list[str]:
        """Return the agents whose workers have runs of any of ``queues``, in a fixed order."""
        found: dict[str, None] = {}
        for queue in queues:
            found |= dict.fromkeys(self._agents.get(queue, ()))
        return list(found)

    def add(self, run: Run, queue: str) -> None:
        """Add a claimed run."""
        self._queue_of[run.key] = queue
        self.millicores += run.step.cpu_millicores
        self._agents.setdefault(queue, Counter())[run.agent] += 1

    def drop(self, run: Run) -> None:
        """Remove a run that has ended."""
        queue = self._queue_of.pop(run.key, None)
        if queue is None:
            return
        self.millicores -= run.step.cpu_millicores
        agents = self._agents[queue]
        agents[run.agent] -= 1
        if not agents[run.agent]:
            del agents[run.agent]
        if not agents:
            del self._agents[queue]
