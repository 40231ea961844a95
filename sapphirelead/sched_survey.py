"""One line a second on what waits, what runs and what holds it back.

The pattern that this answers: jobs end late although no call failed and no worker was lost.  The
line tells which of the usual causes it was: no room, workers not taken, filling work held back
beside serving tasks, or tails of these over their targets.
"""

from dataclasses import dataclass
from typing import Final

from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Phase
from sapphirelead.sched_planner import waiting_tasks

PERIOD_S: Final = 1.0
"""Time between two lines."""


@dataclass(frozen=True, slots=True)
class Survey:
    """The state of a fleet at a moment; processors in whole cores.

    :ivar workers: live workers.
    :ivar unsound: of these, such as get no work because runs failed or crawled there.
    :ivar serving: of these, such as run a task with a target.
    :ivar fills_waiting: filling tasks that could start and have no claim.
    :ivar others_waiting: other tasks that could start and have no claim.
    :ivar fills_running: filling tasks that a worker runs.
    :ivar fill_cores: processors that they ask for.
    :ivar used_cores: processors that they used by the newest reports.
    :ivar paced: mean share in percent at which their agents let them work.
    :ivar over_target: serving tasks whose tail is over its target.
    :ivar tails: mean tail of the serving tasks as a share of its target, in percent.
    """

    workers: int
    unsound: int
    serving: int
    fills_waiting: int
    others_waiting: int
    fills_running: int
    fill_cores: int
    used_cores: int
    paced: int
    over_target: int
    tails: int


def survey(sched: Scheduler, at: float) -> Survey:
    """Sum up what ``sched`` knows at ``at``."""
    live = list(sched.fleet.live())
    running = [run for run in sched.fleet.runs.values() if run.phase is Phase.RUNNING]
    fills = [run for run in running if run.step.fills]
    tails = [run.figure / run.step.target_ms for run in running if run.has_tail_latency]
    waiting = list(waiting_tasks(sched))
    return Survey(
        workers=len(live),
        unsound=sum(1 for instance in live if not instance.track.sound(at)),
        serving=sum(1 for instance in live if instance.serving),
        fills_waiting=sum(tasks for step, tasks in waiting if step.fills),
        others_waiting=sum(tasks for step, tasks in waiting if not step.fills),
        fills_running=len(fills),
        fill_cores=sum(run.step.cpu_millicores for run in fills) // 1000,
        used_cores=sum(max(0, run.figure) for run in fills) // 1000,
        paced=_mean([float(run.paced) for run in fills], 100),
        over_target=sum(1 for tail in tails if tail > 1),
        tails=_mean([tail * 100 for tail in tails], 0),
    )


def _mean(values: list[float], empty: int) -> int:
    return round(sum(values) / len(values)) if values else empty
