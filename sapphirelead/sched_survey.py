"""Periodic summary of waiting and running tasks, for the log.

Shows why jobs end late: lack of room, unsound workers, best-effort tasks throttled beside
latency-critical ones, or tail latencies over their targets.
"""

from dataclasses import dataclass
from typing import Final

from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import is_held_by_trial
from sapphirelead.sched_fleet import Phase
from sapphirelead.sched_planner import waiting_tasks

SURVEY_INTERVAL_S: Final = 1.0
"""Time between two summaries."""


@dataclass(frozen=True, slots=True)
class Survey:
    """State of the fleet; CPU in whole cores.

    :ivar workers: live workers.
    :ivar unsound: live workers that get no work because runs failed or were slow there.
    :ivar on_trial: live workers that get no more work until the run after their cooldown has shown
        whether they are sound.
    :ivar serving: live workers that run a latency-critical task.
    :ivar fills_waiting: best-effort tasks that are ready and unclaimed.
    :ivar others_waiting: other tasks that are ready and unclaimed.
    :ivar lasting_waiting: long-running tasks that are ready and unclaimed.
    :ivar lasting_wait_s: the longest time that one of them has waited.
    :ivar fills_running: running best-effort tasks.
    :ivar fill_cores: cores that running best-effort tasks request.
    :ivar used_cores: cores that they used by the newest reports.
    :ivar paced: mean pace that their agents allow them, in percent.
    :ivar over_target: latency-critical tasks whose tail latency is over its target.
    :ivar tails: mean of all reported tail latencies as a share of their targets, in percent.
    :ivar suspects: tasks under which several workers in a row have crashed.
    :ivar isolated: running tasks that nothing may join for that reason.
    """

    workers: int
    unsound: int
    on_trial: int
    serving: int
    fills_waiting: int
    others_waiting: int
    lasting_waiting: int
    lasting_wait_s: float
    fills_running: int
    fill_cores: int
    used_cores: int
    paced: int
    over_target: int
    tails: int
    suspects: int
    isolated: int


def survey(sched: Scheduler, at: float) -> Survey:
    """Return a summary of the scheduler's state."""
    live = list(sched.fleet.live())
    running = [run for run in sched.fleet.runs.values() if run.phase is Phase.RUNNING]
    fills = [run for run in running if run.step.fills]
    tails = [run.measurement / run.step.target_ms for run in running if run.has_tail_latency]
    waiting = list(waiting_tasks(sched))
    return Survey(
        workers=len(live),
        unsound=sum(1 for instance in live if not instance.track.sound(at)),
        on_trial=sum(1 for instance in live if is_held_by_trial(instance, at)),
        serving=sum(1 for instance in live if instance.serving),
        fills_waiting=sum(tasks for step, tasks in waiting if step.fills),
        others_waiting=sum(tasks for step, tasks in waiting if not step.fills),
        lasting_waiting=len(sched.waits),
        lasting_wait_s=sched.waits.longest_s(at),
        fills_running=len(fills),
        fill_cores=sum(run.step.cpu_millicores for run in fills) // 1000,
        used_cores=sum(max(0, run.measurement) for run in fills) // 1000,
        paced=_mean([float(run.pace_percent) for run in fills], 100),
        over_target=sum(1 for tail in tails if tail > 1),
        tails=_mean([tail * 100 for tail in tails], 0),
        suspects=sum(1 for _ in sched.quarantine.suspects),
        isolated=sum(instance.isolated for instance in live),
    )


def _mean(values: list[float], empty: int) -> int:
    return round(sum(values) / len(values)) if values else empty
