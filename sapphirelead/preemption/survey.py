"""Builds the room of workers and the runs that may be stopped there, for one review.  No I/O.

Answers a review in which many tasks look at the same workers: each worker is judged once.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from sapphirelead.model_resources import NO_RESOURCES
from sapphirelead.preemption.history import StopHistory
from sapphirelead.preemption.holds import RoomHolds
from sapphirelead.preemption.loss_budget import LossBudget
from sapphirelead.preemption.protection import (
    Protection,
    may_be_absent,
    protection_of,
    remaining_s,
    stop_s,
)
from sapphirelead.preemption.run_index import RunIndex
from sapphirelead.preemption.victims import Victim, run_loss_core_s
from sapphirelead.preemption.worker_room import WorkerRoom
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance, Run, RunKey
from sapphirelead.sched_task import StepKey


@dataclass(slots=True)
class SeenEnds:
    """Since when the end of runs is counted on.

    :ivar leaving: when each run was first seen to be stopped.
    :ivar ending: when each run was first expected to end sooner than a stop would end it.
    """

    leaving: dict[RunKey, float] = field(default_factory=dict)
    ending: dict[RunKey, float] = field(default_factory=dict)

    def forget(self, run: Run) -> None:
        """Forget a run that has ended."""
        self.leaving.pop(run.key, None)
        self.ending.pop(run.key, None)


class RoomSurvey:
    """The room of the workers that a review has looked at.

    :ivar protected: number of runs that were spared, by reason.
    :ivar judged: number of times that a worker was judged.
    """

    judged: int
    protected: Counter[Protection]
    _sched: Scheduler
    _history: StopHistory
    _budget: LossBudget
    _holds: RoomHolds
    _index: RunIndex
    _seen: SeenEnds
    _stop_s: float
    _max_stop_s: float
    _at: float
    _rooms: dict[str, WorkerRoom]
    _agents: dict[frozenset[str], list[str]]

    def __init__(
        self,
        sched: Scheduler,
        history: StopHistory,
        budget: LossBudget,
        holds: RoomHolds,
        index: RunIndex,
        seen: SeenEnds,
        max_stop_s: float,
        at: float,
    ) -> None:
        """Begin a review.

        :param seen: updated.
        :param max_stop_s: time after which the end of a stop is no longer counted on.
        """
        self.judged = 0
        self.protected = Counter()
        self._sched = sched
        self._history = history
        self._budget = budget
        self._holds = holds
        self._index = index
        self._seen = seen
        self._stop_s = stop_s(sched)
        self._max_stop_s = max_stop_s
        self._at = at
        self._rooms = {}
        self._agents = {}

    def room(self, instance: Instance) -> WorkerRoom:
        """Return the room of a worker."""
        found = self._rooms.get(instance.agent)
        if found is None:
            self.judged += 1
            found = self._rooms[instance.agent] = self._look(instance)
        return found

    def agents(self, queues: frozenset[str]) -> list[str]:
        """Return the agents whose workers have runs of any of ``queues``."""
        found = self._agents.get(queues)
        if found is None:
            found = self._agents[queues] = self._index.agents(queues)
        return found

    def forget(self) -> None:
        """Judge all workers anew, after a choice that is not carried out."""
        self._rooms.clear()

    def forget_stopped(self, runs: Iterable[Run], holder: Instance) -> None:
        """Judge the workers anew on which runs are stopped or room is held.

        A stopped long-running task also protects others of its step, wherever they are.
        """
        self._rooms.pop(holder.agent, None)
        for run in runs:
            self._rooms.pop(run.agent, None)
            if run.step.lasting:
                self._rooms.clear()

    def awaited(self, instance: Instance) -> list[Run]:
        """Return the runs on a worker that are being stopped or will end as soon by themselves."""
        runs = instance.runs.values()
        return [run for run in runs if self._is_leaving(run) or self._ends_soon(run)]

    def _is_leaving(self, run: Run) -> bool:
        if not (run.stop_wanted or run.reported_stopping):
            return False
        since = self._seen.leaving.setdefault(run.key, self._at)
        return self._at - since <= self._max_stop_s

    def _ends_soon(self, run: Run) -> bool:
        """Return whether a run is expected to end in time; not again once it has not done so."""
        if run.stop_wanted or run.reported_stopping:
            return False
        if remaining_s(run, self._expected_s(run), self._at) > self._stop_s:
            return False
        since = self._seen.ending.setdefault(run.key, self._at)
        return self._at - since <= self._stop_s

    def _expected_s(self, run: Run) -> float:
        queue = self._index.queue_of(run)
        return self._sched.lengths.expected_ms(queue, run.step) / 1000

    def _look(self, instance: Instance) -> WorkerRoom:
        assert instance.worker is not None
        coming = sum((run.step.room for run in self.awaited(instance)), NO_RESOURCES)
        for hold in self._holds.on(instance.agent):
            coming = coming - hold.missing
        free = instance.worker.capacity - instance.used
        return WorkerRoom(free, coming, self._victims(instance))

    def _victims(self, instance: Instance) -> list[Victim]:
        found: list[Victim] = []
        gangs: set[StepKey] = set()
        absences: Counter[StepKey] = Counter()
        for run in instance.runs.values():
            step = run.ref[:3]
            if run.step.gang:
                if step in gangs:
                    continue
                gangs.add(step)
            # Of a latency-critical step only one, as each is judged with all others in place.
            most = 1 if run.step.target_ms else may_be_absent(self._sched, step)
            if run.step.lasting and absences[step] >= most:
                self.protected[Protection.ABSENT] += 1
                continue
            victim = self._victim(run)
            if victim is not None:
                absences[step] += run.step.lasting
                found.append(victim)
        return found

    def _victim(self, run: Run) -> Victim | None:
        """Return a run with those that must be stopped with it, ``None`` if any is protected."""
        expected_s = self._expected_s(run)
        runs = self._gang_of(run) if run.step.gang else (run,)
        loss_core_s = 0.0
        for member in runs:
            ends_soon = self._ends_soon(member)
            reason = protection_of(
                self._sched, self._history, self._budget, member, ends_soon, self._at
            )
            if reason is not None:
                self.protected[reason] += 1
                return None
            bounds = self._sched.bounds
            loss_core_s += run_loss_core_s(
                member, expected_s, bounds.save_every_s, bounds.restore_s, self._at
            )
        room = run.step.room
        if len(runs) > 1:
            here = (member.step.room for member in runs if member.agent == run.agent)
            room = sum(here, NO_RESOURCES)
        return Victim(runs, self._index.queue_of(run), room, loss_core_s)

    def _gang_of(self, run: Run) -> tuple[Run, ...]:
        job = self._sched.jobs.get(run.ref.job_id)
        members = job.members(run.ref) if job is not None else [run.ref]
        return tuple(other for ref in members for other in self._sched.fleet.runs_of(ref))
