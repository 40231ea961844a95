"""Decides whether a worker may get a task, and names the reason if not.

A worker is skipped by a *constraint*, which no wait overrides (its service, a label, its capacity,
that it leaves or is silent, an evacuated zone), or by a *preference* for other workers (its
failures, a trial, isolated runs, throttling).  A preference yields to tasks that must not wait any
longer, each at the :class:`Urgency` in :data:`YIELDS_AT`.

Invariants:

- Every preference that can outlast the bounds on waits yields before them; those that are not
  listed end by themselves (:data:`UNSOUND_RETRY_INTERVAL_S`,
  :data:`~sapphirelead.sched_fleet.NO_ROOM_RETRY_INTERVAL_S`).
- A worker in its cooldown or on trial gets one run at a time from tasks that are urgent, and one
  every :data:`UNSOUND_RETRY_INTERVAL_S` from those that are overdue; these need not wait for each
  other once a run there has been observed since the latest fault.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum, StrEnum
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
"""Time after a failure, or after the claim of another run, before a task that must not wait any
longer may use an unsound worker."""

MIN_PACE: Final = 0.8
"""Minimum expected pace at which a best-effort task is placed beside latency-critical tasks.

With less, more of them run beside each other and none ends sooner."""

URGENT_WAIT_S: Final = 1.5
"""Wait after which a long-running task, or a job with nothing running, becomes urgent."""

OVERDUE_JOB_WAIT_S: Final = 2.5
"""Wait after which a job with nothing running becomes overdue; must leave time to start within 3 s.
"""

OVERDUE_LASTING_WAIT_S: Final = 3.5
"""Wait after which a long-running task beside others of its job becomes overdue; must leave time to
start within 6 s."""


class Urgency(IntEnum):
    """How long a task has waited, against the time within which it is promised a run.

    Only long-running tasks, and one task of a job with nothing running, are promised one.
    """

    NONE = 0
    URGENT = 1
    OVERDUE = 2

    @classmethod
    def of_wait(cls, waited_s: float, job_runs: bool) -> "Urgency":
        """Return the urgency of a task that is promised a run.

        :param job_runs: whether another task of the job has a run.
        """
        if waited_s >= (OVERDUE_LASTING_WAIT_S if job_runs else OVERDUE_JOB_WAIT_S):
            return cls.OVERDUE
        return cls.URGENT if waited_s >= URGENT_WAIT_S else cls.NONE


class SkipReason(StrEnum):
    """Why a worker is skipped for a task."""

    NO_WORKER = "no_worker"
    SERVICE = "service"
    LABEL = "label"
    TICKET = "ticket"
    DRAINING = "draining"
    ZONE_EVACUATED = "zone_evacuated"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    CAPACITY = "capacity"
    PER_WORKER = "per_worker"
    NO_ROOM = "no_room"
    """Its agent has just refused a task for lack of room that the reports do not show."""
    RECENT_FAULT = "recent_fault"
    """A run has just failed or was slow on the unsound worker."""
    COOLDOWN = "cooldown"
    TRIAL = "trial"
    """A run since its last failure has yet to show whether the worker is sound."""
    ISOLATED = "isolated"
    SPARE_CPU = "spare_cpu"
    TAILS_UNKNOWN = "tails_unknown"
    PACE = "pace"


YIELDS_AT: Final[Mapping[SkipReason, Urgency]] = {
    SkipReason.COOLDOWN: Urgency.URGENT,
    SkipReason.SPARE_CPU: Urgency.URGENT,
    SkipReason.TAILS_UNKNOWN: Urgency.URGENT,
    SkipReason.PACE: Urgency.URGENT,
    SkipReason.TRIAL: Urgency.OVERDUE,
    SkipReason.ISOLATED: Urgency.OVERDUE,
}
"""Urgency from which each preference no longer counts."""


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a step requires of a worker.

    :ivar service: service whose workers may run the step.
    :ivar tickets: tickets by worker, or ``None`` if the queue needs no advice.
    :ivar interference: interference model, or ``None`` to ignore interference.
    :ivar tasks: number of tasks of the step to place.
    :ivar urgency: how long the tasks have waited.
    :ivar diagnostic: nothing is placed by it, so that no refusal may be remembered for others.
    """

    step: StepSpec
    service: str
    tickets: dict[WorkerLife, str] | None = None
    interference: GuardedInterferenceModel | None = None
    tasks: int = 1
    urgency: Urgency = Urgency.NONE
    diagnostic: bool = False

    def pace(self, instance: Instance) -> float:
        """Return the expected pace of one more task on ``instance``, from 0 to 1."""
        if self.interference is None or not instance.serving:
            return 1.0
        return self.interference.pace_beside(instance, self.step.image, self.step.cpu_millicores)

    def gets_pace(self, instance: Instance, min_pace: float) -> bool:
        """Return whether the expected pace of one more task is at least ``min_pace``."""
        if self.interference is None or not instance.serving:
            return True
        if self.diagnostic:
            return self.pace(instance) >= min_pace
        step = self.step
        return self.interference.gives_pace(instance, step.image, step.cpu_millicores, min_pace)


def skip_reason(
    instance: Instance, request: PlacementRequest, ref: TaskRef, at: float
) -> SkipReason | None:
    """Return why ``instance`` is skipped for one more task of the step, ``None`` if it is not."""
    return _ineligible(instance, request, at) or _without_room(instance, request, ref)


def accepts_work(instance: Instance, urgency: Urgency, at: float) -> bool:
    """Return whether ``instance`` accepts tasks, by its reports and its failure record."""
    return _unavailable(instance, at) is None and _unsound(instance, urgency, at) is None


def only_in_evacuated_zones(instances: Iterable[Instance], service: str, step: StepSpec) -> bool:
    """Return whether there are workers that may run a step, and the zones of all are evacuated."""
    suitable = [
        instance.zone_evacuated
        for instance in instances
        if instance.worker is not None
        and instance.worker.service == service
        and (not step.label or step.label in instance.worker.labels)
    ]
    return bool(suitable) and all(suitable)


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
    if instance.isolated and not (
        _yields(SkipReason.ISOLATED, request.urgency) and instance.joinable
    ):
        return SkipReason.ISOLATED
    if request.step.label and request.step.label not in worker.labels:
        return SkipReason.LABEL
    if request.tickets is not None and worker.worker not in request.tickets:
        return SkipReason.TICKET
    return _unavailable(instance, at) or _unsound(instance, request.urgency, at)


def _unavailable(instance: Instance, at: float) -> SkipReason | None:
    """Return why an instance gets no work, by its reports."""
    if instance.worker is None:
        return SkipReason.NO_WORKER
    if instance.worker.draining:
        return SkipReason.DRAINING
    if instance.zone_evacuated:
        return SkipReason.ZONE_EVACUATED
    if instance.leaving:
        return SkipReason.LEAVING
    if not instance.reachable or instance.refusing_since:
        return SkipReason.UNREACHABLE
    if at - instance.last_report_at > REPORT_TIMEOUT_S:
        return SkipReason.SILENT
    return SkipReason.NO_ROOM if at < instance.no_room_until else None


def _yields(reason: SkipReason, urgency: Urgency) -> bool:
    return urgency >= YIELDS_AT[reason]


def _unsound(instance: Instance, urgency: Urgency, at: float) -> SkipReason | None:
    """Return why an instance gets no work, by its failure record."""
    track = instance.track
    if not track.sound(at):
        if not _yields(SkipReason.COOLDOWN, urgency):
            return SkipReason.COOLDOWN
        if at - track.last_fault_at < UNSOUND_RETRY_INTERVAL_S:
            return SkipReason.RECENT_FAULT
    if is_held_by_trial(instance, at):
        since_claim_s = at - instance.newest_claim_at
        pause_over = since_claim_s >= UNSOUND_RETRY_INTERVAL_S or instance.observed_since_fault
        if not (pause_over and _yields(SkipReason.TRIAL, urgency)):
            return SkipReason.TRIAL
    return None


def is_held_by_trial(instance: Instance, at: float) -> bool:
    """Return whether a run since the last failure has yet to show that the worker is sound."""
    track = instance.track
    if not track.on_trial:
        return False
    claimed_at = instance.newest_claim_at
    return claimed_at > track.last_fault_at and at - claimed_at < TRIAL_TIMEOUT_S


def _without_room(instance: Instance, request: PlacementRequest, ref: TaskRef) -> SkipReason | None:
    step = request.step
    if not instance.fits(step):
        return SkipReason.CAPACITY
    if step.fills:
        reason = _without_spare_cpu(instance, request)
        if reason is not None:
            return reason
    full = step.per_worker and instance.count_of_step(ref) >= step.per_worker
    return SkipReason.PER_WORKER if full else None


def _without_spare_cpu(instance: Instance, request: PlacementRequest) -> SkipReason | None:
    """Return why a best-effort task gets too little CPU, or would raise tail latencies."""
    step = request.step
    reason = None
    if instance.spare_cpu < step.cpu_millicores * MIN_SPARE_SHARE:
        reason = SkipReason.SPARE_CPU
    elif instance.serving and not instance.listed_at:
        # The tail latencies there are not known to a new leader yet.
        reason = SkipReason.TAILS_UNKNOWN
    elif not request.gets_pace(instance, MIN_PACE):
        reason = SkipReason.PACE
    return None if reason is None or _yields(reason, request.urgency) else reason
