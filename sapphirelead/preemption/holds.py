"""Holds the room that stops free for the task that they were made for.  No I/O.

Answers many tasks that wait for the same room: without a hold, whatever is scanned first after a
stop takes what it has freed, and the task that it was made for has another one stopped.

Invariants:

- Held room counts as used on the worker, so that nothing else is placed there, and never exceeds
  what no run occupies: it grows by what is free when it is made, and at the end of each stop.
- A hold ends when its task starts or no longer waits, when its worker is gone or takes no work,
  :data:`MAX_IDLE_S` after the last stop has ended, and when a stop takes too long.
- Only the leader that made it knows it; its successor plans anew.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_eligibility import REPORT_TIMEOUT_S
from sapphirelead.sched_fleet import Instance, Run, RunKey
from sapphirelead.sched_task import StepKey, TaskRef

MAX_IDLE_S: Final = 2.0
"""Time after the end of the last stop for which its room is held."""


@dataclass(slots=True)
class Hold:
    """Room on one worker for one task.

    :ivar room: what the task needs.
    :ivar held: what is held of it by now.
    :ivar stopping: runs whose end is awaited.
    :ivar freed_at: when a run there last ended, or the hold was made.
    """

    ref: TaskRef
    instance: Instance
    worker: WorkerLife
    room: Resources
    stopping: set[RunKey]
    made_at: float
    held: Resources = NO_RESOURCES
    freed_at: float = 0.0

    @property
    def missing(self) -> Resources:
        """What is not held yet."""
        return self.room - self.held

    @property
    def complete(self) -> bool:
        """Whether the task can be claimed."""
        return self.held == self.room

    def grow(self) -> None:
        """Hold what is free of the missing room."""
        worker = self.instance.worker
        if worker is None:
            return
        free = (worker.capacity - self.instance.used).elementwise_max(NO_RESOURCES)
        more = _smaller(self.missing, free)
        self.held = self.held + more
        self.instance.hold(more)

    def release(self) -> None:
        """Give the held room back."""
        self.instance.release(self.held)
        self.held = NO_RESOURCES

    def is_outdated(self, max_stop_s: float, at: float) -> bool:
        """Return whether the hold ends although its task waits.

        :param max_stop_s: time after which a stop counts as failed.
        """
        worker = self.instance.worker
        if worker is None or worker.worker != self.worker or self.instance.over_capacity:
            return True
        if worker.draining or self.instance.zone_evacuated or self.instance.leaving:
            return True
        if at - self.instance.last_report_at > REPORT_TIMEOUT_S:
            return True
        if self.stopping and not self.complete:
            return at - self.made_at > max_stop_s
        return at - self.freed_at > MAX_IDLE_S


def _smaller(one: Resources, other: Resources) -> Resources:
    return Resources(
        min(one.cpu_millicores, other.cpu_millicores),
        min(one.memory_mb, other.memory_mb),
        min(one.accelerators, other.accelerators),
    )


@dataclass(slots=True)
class RoomHolds:
    """All holds, one for each task."""

    _by_task: dict[TaskRef, Hold] = field(default_factory=dict)
    _by_agent: dict[str, list[Hold]] = field(default_factory=dict)

    def __contains__(self, ref: object) -> bool:
        """Return whether room is held for a task."""
        return ref in self._by_task

    def __iter__(self) -> Iterator[Hold]:
        """Yield a snapshot of all holds."""
        return iter(list(self._by_task.values()))

    def on(self, agent: str) -> list[Hold]:
        """Return the holds on a worker."""
        return self._by_agent.get(agent, [])

    def count_of_step(self, agent: str, step: StepKey) -> int:
        """Count the holds on a worker for tasks of one step."""
        return sum(hold.ref[:3] == step for hold in self.on(agent))

    def make(
        self, ref: TaskRef, instance: Instance, room: Resources, stopping: set[RunKey], at: float
    ) -> None:
        """Hold room on a worker, now what is free of it and the rest as runs end.

        :param stopping: runs that are being stopped.
        """
        assert instance.worker is not None
        hold = Hold(ref, instance, instance.worker.worker, room, stopping, at, freed_at=at)
        hold.grow()
        self._by_task[ref] = hold
        self._by_agent.setdefault(instance.agent, []).append(hold)

    def run_ended(self, run: Run, at: float) -> None:
        """Hold what the end of a run has freed, the first hold first."""
        for hold in self.on(run.agent):
            if not hold.complete:
                hold.stopping.discard(run.key)
                hold.freed_at = at
                hold.grow()

    def remove(self, hold: Hold) -> None:
        """End a hold."""
        hold.release()
        del self._by_task[hold.ref]
        same = self._by_agent[hold.instance.agent]
        same.remove(hold)
        if not same:
            del self._by_agent[hold.instance.agent]

    def remove_outdated(
        self, waits: Callable[[TaskRef], bool], max_stop_s: float, at: float
    ) -> None:
        """End the holds of tasks that no longer wait, and those that last too long."""
        for hold in self:
            if not waits(hold.ref) or hold.is_outdated(max_stop_s, at):
                self.remove(hold)
