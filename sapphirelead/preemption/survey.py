"""Builds the room of workers and the runs that may be stopped there, for one review.  No I/O.

Answers a review in which many tasks look at the same workers: each worker is judged once.
"""

from collections import Counter
from collections.abc import Iterable

from sapphirelead.model_resources import NO_RESOURCES
from sapphirelead.preemption.history import StopHistory
from sapphirelead.preemption.holds import RoomHolds
from sapphirelead.preemption.protection import Protection, may_be_absent, protection_of
from sapphirelead.preemption.run_index import RunIndex
from sapphirelead.preemption.victims import Victim, run_loss_core_s
from sapphirelead.preemption.worker_room import WorkerRoom
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance, Run, RunKey
from sapphirelead.sched_task import StepKey


class RoomSurvey:
    """The room of the workers that a review has looked at.

    :ivar protected: number of runs that were spared, by reason.
    :ivar judged: number of times that a worker was judged.
    """

    judged: int
    protected: Counter[Protection]
    _sched: Scheduler
    _history: StopHistory
    _holds: RoomHolds
    _index: RunIndex
    _leaving_since: dict[RunKey, float]
    _max_stop_s: float
    _at: float
    _rooms: dict[str, WorkerRoom]
    _agents: dict[frozenset[str], list[str]]

    def __init__(
        self,
        sched: Scheduler,
        history: StopHistory,
        holds: RoomHolds,
        index: RunIndex,
        leaving_since: dict[RunKey, float],
        max_stop_s: float,
        at: float,
    ) -> None:
        """Begin a review.

        :param leaving_since: when each run was first seen to be stopped; updated.
        :param max_stop_s: time after which the end of a stop is no longer counted on.
        """
        self.judged = 0
        self.protected = Counter()
        self._sched = sched
        self._history = history
        self._holds = holds
        self._index = index
        self._leaving_since = leaving_since
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

    def leaving(self, instance: Instance) -> list[Run]:
        """Return the runs on a worker that are being stopped and will end soon."""
        return [run for run in instance.runs.values() if self._is_leaving(run)]

    def _is_leaving(self, run: Run) -> bool:
        if not (run.stop_wanted or run.reported_stopping):
            return False
        since = self._leaving_since.setdefault(run.key, self._at)
        return self._at - since <= self._max_stop_s

    def _look(self, instance: Instance) -> WorkerRoom:
        assert instance.worker is not None
        coming = sum((run.step.room for run in self.leaving(instance)), NO_RESOURCES)
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
            if run.step.lasting and absences[step] >= may_be_absent(self._sched, step):
                self.protected[Protection.ABSENT] += 1
                continue
            victim = self._victim(run)
            if victim is not None:
                absences[step] += run.step.lasting
                found.append(victim)
        return found

    def _victim(self, run: Run) -> Victim | None:
        """Return a run with those that must be stopped with it, ``None`` if any is protected."""
        queue = self._index.queue_of(run)
        expected_s = self._sched.lengths.expected_ms(queue, run.step) / 1000
        runs = self._gang_of(run) if run.step.gang else (run,)
        loss_core_s = 0.0
        for member in runs:
            reason = protection_of(self._sched, self._history, member, expected_s, self._at)
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
        return Victim(runs, queue, room, loss_core_s)

    def _gang_of(self, run: Run) -> tuple[Run, ...]:
        job = self._sched.jobs.get(run.ref.job_id)
        members = job.members(run.ref) if job is not None else [run.ref]
        return tuple(other for ref in members for other in self._sched.fleet.runs_of(ref))
