"""Logs what waiting tasks wait for: why each worker is skipped for them.

Logged are the long-running tasks, and the steps of best-effort tasks, that have waited longest.
"""

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

MAX_LOGGED_FILLS: Final = 4
"""Maximum number of best-effort steps for which workers are counted."""


def count_skip_reasons(sched: Scheduler, ref: TaskRef, at: float) -> Counter[SkipReason | None]:
    """Return the number of live workers by why they are skipped for a task, ``None`` if not.

    Other services' workers are not counted.
    """
    job = sched.jobs.get(ref.job_id)
    if job is None:
        return Counter()
    policy = sched.policy_of(job)
    tickets = sched.advice.valid(ref[:3], at) if policy.advice is not None else None
    step = job.spec.steps[ref.step]
    occurrence = job.occurrences.get(ref.occurrence)
    waited_s = sched.task_waited_s(ref, policy.service, at) if step.lasting else 0.0
    request = PlacementRequest(
        step,
        policy.service,
        tickets,
        sched.interference,
        urgency=Urgency.of_wait(waited_s, occurrence is not None and occurrence.has_claims),
        diagnostic=True,
    )
    reasons = Counter(skip_reason(instance, request, ref, at) for instance in sched.fleet.live())
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
            skipped=_text(reasons),
        )


def log_waiting_fills(sched: Scheduler, at: float) -> None:
    """Log why workers are skipped for the best-effort steps that have waited longest."""
    waiting = []
    for key in sched.ready_since:
        job = sched.jobs.get(key[0])
        if job is not None and job.spec.steps[key[2]].fills:
            waiting.append(key)
    if not waiting:
        return
    reasons: Counter[SkipReason | None] = Counter()
    # In the order in which the steps became ready.
    for key in waiting[:MAX_LOGGED_FILLS]:
        reasons += count_skip_reasons(sched, TaskRef(*key, 0), at)
    log_event(
        "INFO",
        "fills_wait",
        steps=len(waiting),
        counted=min(len(waiting), MAX_LOGGED_FILLS),
        waited_s=at - sched.ready_since[waiting[0]],
        skipped=_text(reasons),
        fitting=reasons[None],
    )


def _text(reasons: Counter[SkipReason | None]) -> str:
    counted = [f"{reason}:{number}" for reason, number in reasons.most_common() if reason]
    return ",".join(counted) or "-"
