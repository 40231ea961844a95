"""Chooses the worker for a task from the leader's view of the fleet.  No I/O.

Limits interference of best-effort tasks with the tail latency of latency-critical ones:

- long-running tasks go to workers that run tasks of the same step, or can hold the whole step, and
  preferably to those that run latency-critical tasks already;
- best-effort tasks go beside latency-critical tasks that they are known to interfere with little,
  else to workers without any, else to where they are expected to be throttled least;
- other tasks go to workers with little best-effort work.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_interference_guard import GuardedInterferenceModel
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef

REPORT_TIMEOUT_S: Final = 1.2
"""An agent that has not reported for this long gets no new work."""

MIN_SPARE_SHARE: Final = 0.7
"""Share of its requested CPU that must be spare for a best-effort task."""

UNSOUND_RETRY_INTERVAL_S: Final = 1.0
"""Time after a failure before a starving job may use an unsound worker."""

MIN_PACE: Final = 0.8
"""Minimum expected pace at which a best-effort task is placed beside latency-critical tasks.

With less, more of them run beside each other and none ends sooner."""

LOW_INTERFERENCE_PACE: Final = 0.9
"""Expected pace from which on a best-effort task is preferably placed beside latency-critical
tasks."""

SAME_STEP_RANK: Final = 4
WHOLE_STEP_RANK: Final = 2
"""Ranks of a worker for a long-running task, in units of :data:`RANK_UNIT`: a task of the same step
runs there, or all tasks of the step fit.  A worker that runs latency-critical tasks ranks one
higher."""

FILL_CPU_WEIGHT: Final = 10
"""Weight of CPU used by best-effort tasks against free CPU when placing a long-running task."""

RANK_UNIT: Final = 1_000_000
"""Score of one rank; exceeds any difference in CPU, in millicores."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a step requires of a worker.

    :ivar service: service whose workers may run the step.
    :ivar tickets: tickets by worker, or ``None`` if the queue needs no advice.
    :ivar starving: the job has had nothing running for a while; best-effort tasks then need no
        spare CPU.
    :ivar interference: interference model, or ``None`` to ignore interference.
    :ivar tasks: number of tasks of the step to place.
    :ivar joins_isolated: the tasks have waited so long that they may join an isolated run.
    """

    step: StepSpec
    service: str
    tickets: dict[WorkerLife, str] | None = None
    starving: bool = False
    interference: GuardedInterferenceModel | None = None
    tasks: int = 1
    joins_isolated: bool = False

    def pace(self, instance: Instance) -> float:
        """Return the expected pace of one more task on ``instance``, from 0 to 1."""
        if self.interference is None or not instance.serving:
            return 1.0
        return self.interference.pace_beside(instance, self.step.image, self.step.cpu_millicores)

    def gets_pace(self, instance: Instance, min_pace: float) -> bool:
        """Return whether the expected pace of one more task is at least ``min_pace``."""
        if self.interference is None or not instance.serving:
            return True
        step = self.step
        return self.interference.gives_pace(instance, step.image, step.cpu_millicores, min_pace)


def accepts_work(instance: Instance, starving: bool, at: float) -> bool:
    """Return whether ``instance`` accepts tasks, by its reports and its failure record."""
    if instance.worker is None or instance.worker.draining:
        return False
    if instance.leaving or not instance.reachable:
        return False
    if at - instance.last_report_at > REPORT_TIMEOUT_S:
        return False
    if at < instance.no_room_until:
        return False
    if starving:
        # The job has to run somewhere even if every worker is unsound.
        return at - instance.track.last_fault_at >= UNSOUND_RETRY_INTERVAL_S
    if not instance.track.sound(at):
        return False
    # A worker on trial gets one run at a time.
    track = instance.track
    return not (track.on_trial and instance.newest_claim_at >= track.cooldown_until)


def is_eligible(instance: Instance, request: PlacementRequest, at: float) -> bool:
    """Return whether tasks of the request may run on ``instance``, regardless of room."""
    worker = instance.worker
    if worker is None or worker.service != request.service:
        return False
    if instance.isolated and not request.joins_isolated:
        return False
    if request.step.label and request.step.label not in worker.labels:
        return False
    if request.tickets is not None and worker.worker not in request.tickets:
        return False
    return accepts_work(instance, request.starving, at)


def has_room(instance: Instance, request: PlacementRequest, ref: TaskRef) -> bool:
    """Return whether one more task of the step fits."""
    step = request.step
    if not instance.fits(step):
        return False
    if step.fills and not request.starving and not _has_spare_cpu(instance, request):
        return False
    return not (step.per_worker and instance.count_of_step(ref) >= step.per_worker)


def _has_spare_cpu(instance: Instance, request: PlacementRequest) -> bool:
    """Return whether a best-effort task gets enough CPU without raising tail latencies."""
    step = request.step
    if instance.spare_cpu < step.cpu_millicores * MIN_SPARE_SHARE:
        return False
    if instance.serving and not instance.listed_at:
        # The tail latencies there are not known to a new leader yet.
        return False
    return request.gets_pace(instance, MIN_PACE)


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
    return value


def _at_speed(value: float, instance: Instance) -> float:
    """Return ``value`` scaled by the worker's speed; a slow worker never gains by it."""
    return value * instance.track.speed if value > 0 else value


def _lasting_value(instance: Instance, request: PlacementRequest, ref: TaskRef) -> float:
    """Return the score of ``instance`` for a long-running task.

    Tasks of one job peak together, so mixing jobs on a worker leaves less room for best-effort
    work.  Prefers workers that run the step already, then the fullest one that holds all of it.
    """
    step = request.step
    value = RANK_UNIT if instance.serving else 0
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
