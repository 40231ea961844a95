"""Decides whether a worker may get a task, and names the reason if not.

A worker is skipped by a *constraint*, which no wait overrides (its service, a label, its capacity,
that it leaves or is silent), or by a *preference* for other workers.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_interference_guard import GuardedInterferenceModel
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_track import TRIAL_TIMEOUT_S

REPORT_TIMEOUT_S: Final = 1.2
"""An agent that has not reported for this long gets no new work."""

MIN_SPARE_SHARE: Final = 0.7
"""Share of its requested CPU that must be spare for a best-effort task."""

UNSOUND_RETRY_INTERVAL_S: Final = 1.0
"""Time after a failure before a starving job may use an unsound worker."""

MIN_PACE: Final = 0.8
"""Minimum expected pace at which a best-effort task is placed beside latency-critical tasks.

With less, more of them run beside each other and none ends sooner."""


class SkipReason(StrEnum):
    """Why a worker is skipped for a task."""

    NO_WORKER = "no_worker"
    SERVICE = "service"
    LABEL = "label"
    TICKET = "ticket"
    DRAINING = "draining"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    CAPACITY = "capacity"
    PER_WORKER = "per_worker"
    NO_ROOM = "no_room"
    """Its agent has just refused a task for lack of room that the reports do not show."""
    ISOLATED = "isolated"
    RECENT_FAULT = "recent_fault"
    COOLDOWN = "cooldown"
    TRIAL = "trial"
    """A run after its cooldown has yet to show whether it is sound."""
    SPARE_CPU = "spare_cpu"
    TAILS_UNKNOWN = "tails_unknown"
    PACE = "pace"


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


def skip_reason(
    instance: Instance, request: PlacementRequest, ref: TaskRef, at: float
) -> SkipReason | None:
    """Return why ``instance`` is skipped for one more task of the step, ``None`` if it is not."""
    return _ineligible(instance, request, at) or _without_room(instance, request, ref)


def accepts_work(instance: Instance, starving: bool, at: float) -> bool:
    """Return whether ``instance`` accepts tasks, by its reports and its failure record."""
    return _unavailable(instance, at) is None and _unsound(instance, starving, at) is None


def is_eligible(instance: Instance, request: PlacementRequest, at: float) -> bool:
    """Return whether tasks of the request may run on ``instance``, regardless of room."""
    return _ineligible(instance, request, at) is None


def has_room(instance: Instance, request: PlacementRequest, ref: TaskRef) -> bool:
    """Return whether one more task of the step fits."""
    return _without_room(instance, request, ref) is None


def _ineligible(instance: Instance, request: PlacementRequest, at: float) -> SkipReason | None:
    worker = instance.worker
    if worker is None:
        return SkipReason.NO_WORKER
    if worker.service != request.service:
        return SkipReason.SERVICE
    if instance.isolated and not request.joins_isolated:
        return SkipReason.ISOLATED
    if request.step.label and request.step.label not in worker.labels:
        return SkipReason.LABEL
    if request.tickets is not None and worker.worker not in request.tickets:
        return SkipReason.TICKET
    return _unavailable(instance, at) or _unsound(instance, request.starving, at)


def _unavailable(instance: Instance, at: float) -> SkipReason | None:
    """Return why an instance gets no work, by its reports."""
    if instance.worker is None:
        return SkipReason.NO_WORKER
    if instance.worker.draining:
        return SkipReason.DRAINING
    if instance.leaving:
        return SkipReason.LEAVING
    if not instance.reachable:
        return SkipReason.UNREACHABLE
    if at - instance.last_report_at > REPORT_TIMEOUT_S:
        return SkipReason.SILENT
    return SkipReason.NO_ROOM if at < instance.no_room_until else None


def _unsound(instance: Instance, starving: bool, at: float) -> SkipReason | None:
    """Return why an instance gets no work, by its failure record."""
    track = instance.track
    if starving:
        # The job has to run somewhere even if every worker is unsound.
        recent = at - track.last_fault_at < UNSOUND_RETRY_INTERVAL_S
        return SkipReason.RECENT_FAULT if recent else None
    if not track.sound(at):
        return SkipReason.COOLDOWN
    return SkipReason.TRIAL if in_trial(instance, at) else None


def in_trial(instance: Instance, at: float) -> bool:
    """Return whether a run since the last failure has yet to show that the worker is sound."""
    track = instance.track
    if not track.on_trial or not track.sound(at):
        return False
    claimed_at = instance.newest_claim_at
    return claimed_at > track.last_fault_at and at - claimed_at < TRIAL_TIMEOUT_S


def _without_room(instance: Instance, request: PlacementRequest, ref: TaskRef) -> SkipReason | None:
    step = request.step
    if not instance.fits(step):
        return SkipReason.CAPACITY
    if step.fills and not request.starving:
        reason = _without_spare_cpu(instance, request)
        if reason is not None:
            return reason
    full = step.per_worker and instance.count_of_step(ref) >= step.per_worker
    return SkipReason.PER_WORKER if full else None


def _without_spare_cpu(instance: Instance, request: PlacementRequest) -> SkipReason | None:
    """Return why a best-effort task gets too little CPU, or would raise tail latencies."""
    step = request.step
    if instance.spare_cpu < step.cpu_millicores * MIN_SPARE_SHARE:
        return SkipReason.SPARE_CPU
    if instance.serving and not instance.listed_at:
        # The tail latencies there are not known to a new leader yet.
        return SkipReason.TAILS_UNKNOWN
    return None if request.gets_pace(instance, MIN_PACE) else SkipReason.PACE
