"""Frees whole workers for best-effort tasks by consolidating long-running tasks.

Handles fragmentation, where a few small long-running tasks are spread over workers and throttle the
best-effort tasks beside them.  A worker is emptied only while best-effort tasks lack CPU, only if
all its long-running tasks fit on workers with latency-critical tasks, and with at most one task of
a step away at a time.
"""

from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import PlacementRequest, has_room, is_eligible
from sapphirelead.sched_fleet import Instance, Phase, Run
from sapphirelead.sched_scan_order import Budget
from sapphirelead.sched_trial import READY_PERCENT

MAX_LASTING_SHARE: Final = 0.4
"""Workers whose long-running tasks take a larger share of the CPU are not emptied."""

MAX_LASTING_TASKS: Final = 3
"""Workers with more long-running tasks are not emptied."""

MIN_SHORTAGE_SHARE: Final = 0.15
"""Minimum share of the fleet's CPU that best-effort tasks must lack."""

COOLDOWN_S: Final = 3.0
"""Minimum time between emptying two workers."""

MIN_STAY_S: Final = 12.0
"""Minimum time between two moves of a task."""


class Consolidation:
    """Selects a worker to empty; a truncated review continues in the next call."""

    # Both may be forgotten: a task that was moved stays where it is for MIN_STAY_S all the same.
    _acted_at: float
    _tried: set[str]

    def __init__(self) -> None:
        self._acted_at = -1e9
        self._tried = set()

    def review(
        self, sched: Scheduler, wanted_cpu: int, at: float, budget: Budget | None = None
    ) -> None:
        """Empty one worker if best-effort tasks lack enough CPU.

        :param wanted_cpu: CPU that waiting or throttled best-effort tasks lack, in millicores.
        :param budget: time budget; the next call continues with the remaining workers.
        """
        if at - self._acted_at < COOLDOWN_S:
            return
        live = [instance for instance in sched.fleet.live() if instance.track.sound(at)]
        if wanted_cpu < MIN_SHORTAGE_SHARE * sum(instance.capacity_cpu for instance in live):
            self._tried.clear()
            return
        checked = 0
        for instance in sorted(live, key=lambda item: item.lasting_cpu / max(1, item.capacity_cpu)):
            if instance.agent in self._tried:
                continue
            if checked and budget is not None and budget.spent:
                return
            checked += 1
            self._tried.add(instance.agent)
            runs = [run for run in instance.runs.values() if run.step.lasting]
            if not runs or not self._can_evict(sched, instance, runs, at):
                continue
            if not _fits_elsewhere(sched, instance, runs, live, at):
                continue
            self._acted_at = at
            self._evict(sched, instance, runs, at)
            log_event(
                "INFO",
                "worker_emptied",
                agent=instance.agent,
                lasting=len(runs),
                wanted_cpu=wanted_cpu,
            )
            break
        self._tried.clear()

    def _evict(self, sched: Scheduler, instance: Instance, runs: list[Run], at: float) -> None:
        for run in runs:
            sched.record_move(run.ref, at)
            sched.avoid(run)
            sched.stop(run, "consolidate")

    def _can_evict(self, sched: Scheduler, instance: Instance, runs: list[Run], at: float) -> bool:
        if (
            instance.isolated
            or len(runs) > MAX_LASTING_TASKS
            or instance.lasting_cpu > MAX_LASTING_SHARE * instance.capacity_cpu
        ):
            return False
        if any(sched.quarantine.is_suspect(run.ref) for run in runs):
            # They would take an empty worker again.
            return False
        steps = {run.ref[:3] for run in runs}
        if len(steps) < len(runs):
            return False
        return all(self._may_move(sched, run, at) for run in runs)

    def _may_move(self, sched: Scheduler, run: Run, at: float) -> bool:
        if run.stop_wanted or at - sched.moves.moved_at.get(run.ref, -1e9) < MIN_STAY_S:
            return False
        job = sched.jobs.get(run.ref.job_id)
        if job is None or not job.open:
            return False
        # All tasks of the step have to be ready, so that at most one is away at a time.
        others = job.occurrences[run.ref.occurrence].tasks[run.ref.step]
        ready = sum(
            1
            for other in sched.fleet.runs.values()
            if other.ref[:3] == run.ref[:3]
            and other.phase is Phase.RUNNING
            and other.percent >= READY_PERCENT
        )
        return ready == len(others)


def _fits_elsewhere(
    sched: Scheduler, instance: Instance, runs: list[Run], live: list[Instance], at: float
) -> bool:
    """Return whether all of ``runs`` fit on other workers with latency-critical tasks."""
    others = [item for item in live if item is not instance and item.serving]
    trials = []
    for run in sorted(runs, key=lambda item: -item.step.cpu_millicores):
        job = sched.jobs[run.ref.job_id]
        request = PlacementRequest(run.step, sched.policy_of(job).service)
        places = [
            item
            for item in others
            if is_eligible(item, request, at) and has_room(item, request, run.ref)
        ]
        if not places:
            break
        tightest = min(places, key=lambda item: item.free_cpu)
        trials.append(sched.add_tentative_run(job, run.ref, tightest, run.attempt + 1))
    for trial in trials:
        sched.fleet.drop(trial)
    return len(trials) == len(runs)
