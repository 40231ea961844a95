"""Where a task runs: pure choices over the leader's view of the workers.

The pattern that this answers: lasting tasks that serve users share workers with tasks that fill
what is left, and filling tasks press on the tail of the serving ones beside them by amounts that
nobody declares.  So the two kinds are kept apart first:

- tasks that serve go together onto workers that already serve and hold the least filling work;
- tasks that fill go beside serving tasks that they hardly press on, others where nothing serves,
  to the worker with the most spare processors;
- other tasks go beside those that serve, which leaves the workers without them to filling work.

Where every worker serves, filling work goes where it is likely to get the most of its pace; the
agent paces it by what it measures.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_job import TaskRef
from sapphirelead.sched_press_guard import GuardedPress
from sapphirelead.sched_spec import StepSpec

SILENT_S: Final = 1.2
"""An agent that has not reported for this long (two reports missed) gets no new work."""

LEAST_SHARE: Final = 0.7
"""Share of its processors that a filling task must be likely to get."""

LAST_RESORT_S: Final = 1.0
"""Time between two tries of an unsound worker for a job that has nothing running anywhere."""

LEAST_PACE: Final = 0.8
"""Pace that a filling task must be likely to get beside serving tasks; with less there are more
runs beside each other and none ends sooner."""

FULL_PACE: Final = 0.9
"""Filling work that is likely to get so much beside serving tasks goes there, and leaves the
workers without them to what presses."""

BESIDE_ITS_LIKE: Final = 4
WHOLE: Final = 2
"""Ranks of places for a lasting task, in units of :data:`SERVING_PENALTY`: where tasks of its job
are, and where all of them fit; a place that serves already counts one more."""

FILLING_WEIGHT: Final = 10
"""Processors taken by filling work count so many times those that are free: a lasting task that
comes takes room from each filling task there."""

SERVING_PENALTY: Final = 1_000_000
"""Outweighs any difference in spare processors (thousandths of a core)."""


@dataclass(frozen=True, slots=True)
class Need:
    """What a step asks of a worker at a moment.

    :ivar service: service whose workers may run it.
    :ivar tickets: workers that the advice service allows, or ``None`` where none is needed.
    :ivar starving: the job has had nothing running for a while; filling work then goes wherever its
        memory fits, and the agent paces it.
    :ivar press: what is known of the pressure of filling work.
    :ivar tasks: tasks of the step that look for a place now.
    """

    step: StepSpec
    service: str
    tickets: dict[str, str] | None = None
    starving: bool = False
    press: GuardedPress | None = None
    tasks: int = 1

    def pace(self, instance: Instance) -> float:
        """Return the pace that one more task is likely to get, from 0 to 1."""
        if self.press is None or not instance.serving:
            return 1.0
        return self.press.pace_beside(instance, self.step.image, self.step.cpu_millicores)

    def gets_pace(self, instance: Instance, least: float) -> bool:
        """Return whether one more task is likely to get a pace of ``least``."""
        if self.press is None or not instance.serving:
            return True
        step = self.step
        return self.press.gives_pace(instance, step.image, step.cpu_millicores, least)


def takes_work(instance: Instance, starving: bool, at: float) -> bool:
    """Return whether any task may go to ``instance`` now, by its reports and its record."""
    if instance.worker is None or instance.worker.draining:
        return False
    if at - instance.heard_at > SILENT_S or not instance.reachable:
        return False
    if starving:
        # Where every worker looks unsound the job still has to run somewhere.
        return at - instance.track.last_fault_at >= LAST_RESORT_S
    if not instance.track.sound(at):
        return False
    # One run at a time decides a trial, so that an unsound worker spoils little.
    track = instance.track
    return not (track.on_trial and instance.newest_claim_at >= track.paused_until)


def can_take_work(instance: Instance, need: Need, at: float) -> bool:
    """Return whether tasks of this kind may go to ``instance`` at all now."""
    worker = instance.worker
    if worker is None or worker.service != need.service:
        return False
    if need.step.label and need.step.label not in worker.labels:
        return False
    if need.tickets is not None and worker.worker not in need.tickets:
        return False
    return takes_work(instance, need.starving, at)


def has_room(instance: Instance, need: Need, ref: TaskRef) -> bool:
    """Return whether one more task of the step fits."""
    step = need.step
    if not instance.fits(step):
        return False
    if step.fills and not need.starving and not _has_spare(instance, need):
        return False
    return not (step.per_worker and instance.count_of_step(ref) >= step.per_worker)


def _has_spare(instance: Instance, need: Need) -> bool:
    """Return whether a filling task would find processors without spoiling a tail."""
    step = need.step
    if instance.spare_cpu < step.cpu_millicores * LEAST_SHARE:
        return False
    if instance.serving and not instance.listed_at:
        # A new leader does not know the tails of the serving tasks yet.
        return False
    return need.gets_pace(instance, LEAST_PACE)


def score(instance: Instance, need: Need, ref: TaskRef) -> float:
    """Return how good a place ``instance`` is; the highest wins."""
    step = need.step
    if step.fills:
        value = float(instance.spare_cpu) * instance.track.speed
        value += SERVING_PENALTY * _pace_rank(instance, need)
    elif step.lasting:
        value = _lasting_value(instance, need, ref)
    else:
        value = float(instance.free_cpu) * 0.1 - instance.fill_cpu
        value *= instance.track.speed if value > 0 else 1.0
    if step.near_rack and instance.rack == step.near_rack:
        value += 2 * SERVING_PENALTY
    return value


def _lasting_value(instance: Instance, need: Need, ref: TaskRef) -> float:
    """Return how good a place is for a lasting task.

    The tasks of a job share their load: together they leave more room beside them than tasks of
    several jobs, of which one is always near its top.  So a job goes where its like is, else to the
    fullest worker that holds all of it.
    """
    step = need.step
    value = SERVING_PENALTY if instance.serving else 0
    if instance.count_of_step(ref):
        return float(value + BESIDE_ITS_LIKE * SERVING_PENALTY - instance.free_cpu)
    filling = FILLING_WEIGHT * instance.fill_cpu
    whole = need.tasks * step.cpu_millicores <= instance.free_cpu
    whole = whole and not 0 < step.per_worker < need.tasks
    if whole:
        return float(value + WHOLE * SERVING_PENALTY - instance.free_cpu - filling)
    # No place holds all of them: the one that holds the most.
    return float(value + instance.free_cpu - filling)


def _pace_rank(instance: Instance, need: Need) -> float:
    """Return the order of places for filling work by the pace that it is likely to get there.

    First beside serving tasks that it is known to press on hardly, then where nothing serves, then
    where it gets the most.
    """
    if not instance.serving:
        return 1.0
    pace = min(need.pace(instance), FULL_PACE)
    light = pace >= FULL_PACE and need.press is not None and need.press.knows(need.step.image)
    return 2.0 if light else pace


def choose(
    instances: Iterable[Instance], need: Need, ref: TaskRef, avoid: frozenset[str] = frozenset()
) -> Instance | None:
    """Return the best instance for one more task.

    :param avoid: agents on which the task has failed or crawled; taken only where nothing else is.
    """
    best: Instance | None = None
    best_value = 0.0
    for instance in instances:
        if not has_room(instance, need, ref):
            continue
        value = score(instance, need, ref)
        if instance.agent in avoid:
            value -= 10 * SERVING_PENALTY
        if best is None or value > best_value:
            best, best_value = instance, value
    return best
