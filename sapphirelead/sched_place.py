"""Chooses the worker for a task from the leader's view of the fleet.  No I/O.

Limits interference of best-effort tasks with the tail latency of latency-critical ones:

- long-running tasks go to workers that run tasks of the same step, or can hold the whole step, and
  preferably to those that run latency-critical tasks already;
- best-effort tasks go beside latency-critical tasks that they are known to interfere with little,
  else to workers without any, else to where they are expected to be throttled least;
- other tasks go to workers with little best-effort work.

Urgent tasks, which may use unsound workers, prefer the one with the fewest runs since its latest
fault, then the one with the shortest latest cooldown.  Overdue ones, which may join an isolated
run, do so only where nothing else is left.
"""

from collections.abc import Iterable
from typing import Final

from sapphirelead.sched_eligibility import PlacementRequest, has_room
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_track import MAX_COOLDOWN_S

LOW_INTERFERENCE_PACE: Final = 0.9
"""Expected pace from which on a best-effort task is preferably placed beside latency-critical
tasks."""

COLD_SPEED: Final = 0.5
"""Assumed speed of a cold worker, which does not report it."""

SAME_STEP_RANK: Final = 4
WHOLE_STEP_RANK: Final = 2
"""Ranks of a worker for a long-running task, in units of :data:`RANK_UNIT`: a task of the same step
runs there, or all tasks of the step fit.  A worker that runs latency-critical tasks ranks one
higher."""

FILL_CPU_WEIGHT: Final = 10
"""Weight of CPU used by best-effort tasks against free CPU when placing a long-running task."""

RANK_UNIT: Final = 1_000_000
"""Score of one rank; exceeds any difference in CPU, in millicores."""

UNSOUND_PENALTY: Final = 100 * RANK_UNIT
"""Penalty for each second of an unsound worker's latest cooldown; exceeds all other differences.

Each run since its latest fault counts like the longest cooldown."""

ISOLATED_PENALTY: Final = 1000 * MAX_COOLDOWN_S * UNSOUND_PENALTY
"""Penalty of a worker with an isolated run, which may crash it."""


def score(instance: Instance, request: PlacementRequest, ref: TaskRef) -> float:
    """Return the score of ``instance`` for one more task; the highest is best."""
    step = request.step
    if step.fills:
        value = _at_speed(float(instance.spare_cpu), instance)
        value += RANK_UNIT * _pace_rank(instance, request)
    elif step.lasting:
        value = _lasting_value(instance, request, ref)
    else:
        value = _at_speed(float(instance.free_cpu) * 0.1 - instance.fill_cpu, instance)
    if step.near_rack and instance.rack == step.near_rack:
        value += 2 * RANK_UNIT
    if instance.track.on_trial:
        value -= UNSOUND_PENALTY * (
            instance.track.cooldown_s + MAX_COOLDOWN_S * instance.runs_since_fault
        )
    if instance.isolated:
        value -= ISOLATED_PENALTY
    return value


def _at_speed(value: float, instance: Instance) -> float:
    """Return ``value`` scaled by the worker's speed; a slow worker never gains by it."""
    speed = instance.track.speed * (COLD_SPEED if instance.cold else 1.0)
    return value * speed if value > 0 else value


def _lasting_value(instance: Instance, request: PlacementRequest, ref: TaskRef) -> float:
    """Return the score of ``instance`` for a long-running task.

    Tasks of one job peak together, so mixing jobs on a worker leaves less room for best-effort
    work.  Prefers workers that run the step already, then the fullest one that holds all of it.
    """
    step = request.step
    value = RANK_UNIT if instance.serving else 0
    if instance.cold:
        value -= RANK_UNIT
    if instance.count_of_step(ref):
        return float(value + SAME_STEP_RANK * RANK_UNIT - instance.free_cpu)
    filling = FILL_CPU_WEIGHT * instance.fill_cpu
    whole = request.tasks * step.cpu_millicores <= instance.free_cpu
    whole = whole and not 0 < step.per_worker < request.tasks
    if whole:
        return float(value + WHOLE_STEP_RANK * RANK_UNIT - instance.free_cpu - filling)
    # Not all of the step's tasks fit here: prefer the worker with the most free CPU.
    return float(value + instance.free_cpu - filling)


def _pace_rank(instance: Instance, request: PlacementRequest) -> float:
    """Return the rank of ``instance`` for a best-effort task.

    Workers where it is known to interfere little rank first, then workers without latency-critical
    tasks, then the others by expected pace.
    """
    if not instance.serving:
        return 1.0
    pace = min(request.pace(instance), LOW_INTERFERENCE_PACE)
    light = (
        pace >= LOW_INTERFERENCE_PACE
        and request.interference is not None
        and request.interference.knows(request.step.image)
    )
    return 2.0 if light else pace


def choose(
    instances: Iterable[Instance],
    request: PlacementRequest,
    ref: TaskRef,
    avoid: frozenset[str] = frozenset(),
) -> Instance | None:
    """Return the best instance for one more task.

    :param avoid: agents on which the task has failed or was slow; used only as a last resort.
    """
    best: Instance | None = None
    best_value = 0.0
    for instance in instances:
        if not has_room(instance, request, ref):
            continue
        value = score(instance, request, ref)
        if instance.agent in avoid:
            value -= 10 * RANK_UNIT
        if best is None or value > best_value:
            best, best_value = instance, value
    return best
