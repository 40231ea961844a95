"""Frees whole workers for filling work by moving the few lasting tasks that stand in its way.

The pattern that this answers: lasting tasks come and go, and after a while a worker of 48 cores may
serve with a single task of 8, beside which filling work has to be slowed.  A lasting task that is
moved is away for about a second; a worker without serving tasks does several times the filling work
of one that is paced.  A worker is emptied only while filling work wants room, only when all its
lasting tasks fit on workers that serve already, and one task of a step at a time.
"""

from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance, Phase, Run
from sapphirelead.sched_place import Need, can_take_work, has_room
from sapphirelead.sched_plan_turn import Budget

MOST_SHARE: Final = 0.4
"""Share of a worker's processors that its lasting tasks may take for it to be emptied."""

MOST_TASKS: Final = 3
"""Lasting tasks on a worker that is emptied; each is away for about a second."""

WANTED_SHARE: Final = 0.15
"""Share of all processors that filling work has to lack for a worker to be emptied."""

PAUSE_S: Final = 3.0
"""Time between two emptied workers: the filling work has to have moved in to show its need."""

STAY_S: Final = 12.0
"""A lasting task that has been moved stays for this long."""

AT_WORK: Final = 100


class Consolidation:
    """Chooses what to move; keeps when it last did, and which workers a cut review has tried."""

    _acted_at: float
    _tried: set[str]
    _moved: dict[tuple[str, int, int, int], float]

    def __init__(self) -> None:
        self._acted_at = -1e9
        self._tried = set()
        self._moved = {}

    def review(
        self, sched: Scheduler, wanted_cpu: int, at: float, budget: Budget | None = None
    ) -> None:
        """Empty a worker if that is worth it.

        :param wanted_cpu: processors that waiting or paced filling work lacks, in thousandths.
        :param budget: limits the time; the next call goes on with the other workers.
        """
        if at - self._acted_at < PAUSE_S:
            return
        live = [instance for instance in sched.fleet.live() if instance.track.sound(at)]
        if wanted_cpu < WANTED_SHARE * sum(instance.capacity_cpu for instance in live):
            self._tried.clear()
            return
        tried = 0
        for instance in sorted(live, key=lambda item: item.lasting_cpu / max(1, item.capacity_cpu)):
            if instance.agent in self._tried:
                continue
            if tried and budget is not None and budget.spent:
                return
            tried += 1
            self._tried.add(instance.agent)
            runs = [run for run in instance.runs.values() if run.step.lasting]
            if not runs or not self._may_empty(sched, instance, runs, at):
                continue
            if not _fits_elsewhere(sched, instance, runs, live, at):
                continue
            self._acted_at = at
            self._empty(sched, instance, runs, at)
            log_event(
                "INFO",
                "worker_emptied",
                agent=instance.agent,
                lasting=len(runs),
                wanted_cpu=wanted_cpu,
            )
            break
        self._tried.clear()

    def _empty(self, sched: Scheduler, instance: Instance, runs: list[Run], at: float) -> None:
        for run in runs:
            self._moved[run.ref] = at
            sched.avoid[run.ref] = frozenset({instance.agent})
            sched.stop(run, "consolidate")

    def _may_empty(self, sched: Scheduler, instance: Instance, runs: list[Run], at: float) -> bool:
        if len(runs) > MOST_TASKS or instance.lasting_cpu > MOST_SHARE * instance.capacity_cpu:
            return False
        steps = {run.ref[:3] for run in runs}
        if len(steps) < len(runs):
            return False
        return all(self._may_move(sched, run, at) for run in runs)

    def _may_move(self, sched: Scheduler, run: Run, at: float) -> bool:
        if run.stop_wanted or at - self._moved.get(run.ref, -1e9) < STAY_S:
            return False
        job = sched.jobs.get(run.ref.job_id)
        if job is None or not job.open:
            return False
        # All others of the step have to be at work, so that no more than one is ever away.
        others = job.occurrences[run.ref.occurrence].tasks[run.ref.step]
        at_work = sum(
            1
            for other in sched.fleet.runs.values()
            if other.ref[:3] == run.ref[:3]
            and other.phase is Phase.RUNNING
            and other.percent >= AT_WORK
        )
        return at_work == len(others)


def _fits_elsewhere(
    sched: Scheduler, instance: Instance, runs: list[Run], live: list[Instance], at: float
) -> bool:
    """Return whether all of ``runs`` fit on other workers that serve already."""
    others = [item for item in live if item is not instance and item.serving]
    trials = []
    for run in sorted(runs, key=lambda item: -item.step.cpu_millicores):
        job = sched.jobs[run.ref.job_id]
        need = Need(run.step, sched.policy_of(job).service)
        places = [
            item
            for item in others
            if can_take_work(item, need, at) and has_room(item, need, run.ref)
        ]
        if not places:
            break
        tightest = min(places, key=lambda item: item.free_cpu)
        trials.append(sched.add_tentative_run(job, run.ref, tightest, run.attempt + 1))
    for trial in trials:
        sched.fleet.drop(trial)
    return len(trials) == len(runs)
