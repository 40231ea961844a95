"""What an agent keeps about ended lives of its worker, for its reports to the leader.

Two things end with a life and are known to nobody else: the outcomes that the leader has not stored
yet, and which of the ordered starts the worker can have carried out.  Without the first, finished
work is done again; without the second, a start that never reached a crashed worker looks like one
of the possible causes of the crash.

Invariants:

- An outcome is reported until the leader has stored it, also if its life has ended.
- A life is described completely or not at all.
- All collections are bounded.
"""

from typing import Final

from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import EndedLife, RunEnded
from sapphirelead.runner_registry import MAX_REPORTED_ENDS, RunName, RunRegistry

MAX_LIVES: Final = 16
"""Ended lives that are remembered."""

MAX_OUTCOMES: Final = 1_000
"""Outcomes of ended lives that are kept; the oldest are dropped."""

MAX_DESCRIBED_RUNS: Final = 200
"""Runs of one life that are described; a life with more is not described."""

DESCRIPTION_S: Final = 30.0
"""Time for which the runs of an ended life are reported; long enough for several leaders."""


def describe_life(registry: RunRegistry) -> EndedLife | None:
    """Return which runs a life can have started and not ended; ``None`` if there are too many."""
    started = [run.name for run in registry.runs.values() if run.confirmed]
    doubtful = [
        run.name
        for run in registry.runs.values()
        if not run.confirmed and (run.maybe_sent or run.calling)
    ]
    if len(started) + len(doubtful) > MAX_DESCRIBED_RUNS:
        return None
    return EndedLife(registry.info.worker, started, doubtful)


class EndedLives:
    """The latest ended lives of a worker.

    :ivar lives: their names, the oldest first.
    """

    lives: list[WorkerLife]
    _silent_since: dict[WorkerLife, float]
    _left: list[WorkerLife]
    _outcomes: dict[RunName, RunEnded]
    _described: dict[WorkerLife, tuple[float, EndedLife]]

    def __init__(self) -> None:
        self.lives = []
        # When each life was recorded that has not been heard of since.
        self._silent_since = {}
        self._left = []
        self._outcomes = {}
        self._described = {}

    def __contains__(self, worker: WorkerLife) -> bool:
        return worker in self.lives

    def add(self, registry: RunRegistry) -> None:
        """Record that a life has ended, with its outcomes that are not stored."""
        worker = registry.info.worker
        self._remember_life(worker)
        description = describe_life(registry)
        if description is not None:
            self._described[worker] = (now(), description)
        self._outcomes |= registry.ends
        dropped = len(self._outcomes) - MAX_OUTCOMES
        for name in list(self._outcomes)[: max(0, dropped)]:
            del self._outcomes[name]
        log_event(
            "INFO",
            "life_recorded",
            worker=worker,
            started=len(description.started) if description is not None else -1,
            doubtful=len(description.doubtful) if description is not None else -1,
            outcomes=len(registry.ends),
            dropped=max(0, dropped),
        )

    def add_unmet(self, worker: WorkerLife) -> None:
        """Record that a life has ended of whose runs nothing is known."""
        self._remember_life(worker)

    def _remember_life(self, worker: WorkerLife) -> None:
        if worker not in self.lives:
            self._silent_since[worker] = now()
        self.lives = _remember(self.lives, worker)
        self._silent_since = {
            life: at for life, at in self._silent_since.items() if life in self.lives
        }

    def first_heard_s(self, worker: WorkerLife) -> float | None:
        """Record a sign of an ended life; return how old its end is, ``None`` if heard before."""
        ended_at = self._silent_since.pop(worker, None)
        return now() - ended_at if ended_at is not None else None

    def add_left(self, worker: WorkerLife) -> None:
        """Record that a life has announced its exit."""
        self._left = _remember(self._left, worker)

    def has_left(self, worker: WorkerLife) -> bool:
        """Return whether a life had announced its exit."""
        return worker in self._left

    def stored(self, name: RunName) -> None:
        """Record that the leader has stored an outcome."""
        self._outcomes.pop(name, None)

    def outcomes(self) -> list[RunEnded]:
        """Return the outcomes for a full report, the oldest first."""
        return list(self._outcomes.values())[:MAX_REPORTED_ENDS]

    def descriptions(self) -> list[EndedLife]:
        """Return the lives whose runs are still described."""
        oldest = now() - DESCRIPTION_S
        self._described = {
            worker: item
            for worker, item in self._described.items()
            if item[0] >= oldest and worker in self.lives
        }
        return [description for _, description in self._described.values()]


def _remember(workers: list[WorkerLife], worker: WorkerLife) -> list[WorkerLife]:
    """Return the latest lives with one more."""
    return workers if worker in workers else [*workers, worker][-MAX_LIVES:]
