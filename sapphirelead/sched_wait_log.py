"""Logs what the long-running tasks that have waited longest wait for."""

from collections import Counter
from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import PlacementRequest, SkipReason, Urgency, skip_reason
from sapphirelead.sched_task import TaskRef

MIN_LOGGED_WAIT_S: Final = 2.0
"""Wait after which the reasons why workers are skipped are logged."""

MAX_LOGGED_STEPS: Final = 3
"""Maximum number of steps logged at once, each by its task that has waited longest."""


def count_skip_reasons(sched: Scheduler, ref: TaskRef, at: float) -> Counter[SkipReason]:
    """Return the number of live workers that are skipped for a task, by reason.

    Other services' workers are not counted.
    """
    job = sched.jobs.get(ref.job_id)
    if job is None:
        return Counter()
    policy = sched.policy_of(job)
    tickets = sched.advice.valid(ref[:3], at) if policy.advice is not None else None
    step = job.spec.steps[ref.step]
    occurrence = job.occurrences.get(ref.occurrence)
    waited_s = sched.task_waited_s(ref, policy.service, at)
    request = PlacementRequest(
        step,
        policy.service,
        tickets,
        sched.interference,
        urgency=Urgency.of_wait(waited_s, occurrence is not None and occurrence.has_claims),
    )
    reasons = Counter(
        reason
        for instance in sched.fleet.live()
        if (reason := skip_reason(instance, request, ref, at)) is not None
    )
    del reasons[SkipReason.SERVICE]
    return reasons


def log_long_waits(sched: Scheduler, at: float) -> None:
    """Log why each worker is skipped for the tasks that have waited longest."""
    for ref in sched.waits.longest(MAX_LOGGED_STEPS):
        waited_s = at - sched.waits.since(ref, at)
        if waited_s < MIN_LOGGED_WAIT_S:
            return
        reasons = count_skip_reasons(sched, ref, at)
        log_event(
            "WARNING",
            "task_waits",
            task=ref.text(),
            waited_s=waited_s,
            skipped=",".join(f"{reason}:{number}" for reason, number in reasons.most_common())
            or "-",
        )
