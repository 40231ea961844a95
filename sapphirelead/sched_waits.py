"""Measures how long each long-running task has waited for a worker, and logs what it waits for.

A long-running task is promised a run whether others of its job run or not, so its wait is its own,
not that of its step or job.
"""

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

from sapphirelead.logs import log_event
from sapphirelead.sched_eligibility import PlacementRequest, SkipReason, Urgency, skip_reason
from sapphirelead.sched_task import TaskRef

if TYPE_CHECKING:
    from sapphirelead.sched_core import Scheduler

MIN_LOGGED_WAIT_S: Final = 2.0
"""Wait after which the reasons why workers are skipped are logged."""

MAX_LOGGED_STEPS: Final = 3
"""Maximum number of steps logged at once, each by its task that has waited longest."""


class TaskWaits:
    """Long-running tasks that are ready and have no claim."""

    _since: dict[TaskRef, float]

    def __init__(self) -> None:
        self._since = {}

    def update(self, waiting: Iterable[TaskRef], at: float) -> None:
        """Set the tasks that wait; known ones keep the beginning of their wait."""
        self._since = {ref: self._since.get(ref, at) for ref in waiting}

    def __len__(self) -> int:
        """Return the number of tasks that wait."""
        return len(self._since)

    def since(self, ref: TaskRef, at: float) -> float:
        """Return when a task began to wait; ``at`` if it does not wait."""
        return self._since.get(ref, at)

    def longest_s(self, at: float) -> float:
        """Return the longest wait; 0 if no task waits."""
        return at - min(self._since.values(), default=at)

    def longest(self, steps: int) -> list[TaskRef]:
        """Return the task that has waited longest of each of up to ``steps`` steps."""
        found: dict[tuple[str, int, int], TaskRef] = {}
        for ref in sorted(self._since, key=lambda ref: self._since[ref]):
            found.setdefault(ref[:3], ref)
        return list(found.values())[:steps]


def count_skip_reasons(sched: "Scheduler", ref: TaskRef, at: float) -> Counter[SkipReason]:
    """Return the number of live workers that are skipped for a task, by reason.

    Other services' workers are not counted.
    """
    job = sched.jobs.get(ref.job_id)
    if job is None:
        return Counter()
    policy = sched.policy_of(job)
    tickets = sched.advice.valid(ref[:3], at) if policy.advice is not None else None
    step = job.spec.steps[ref.step]
    waited_s = sched.task_waited_s(ref, policy.service, at)
    request = PlacementRequest(
        step,
        policy.service,
        tickets,
        sched.interference,
        urgency=Urgency.of_wait(waited_s, step.lasting),
    )
    reasons = Counter(
        reason
        for instance in sched.fleet.live()
        if (reason := skip_reason(instance, request, ref, at)) is not None
    )
    del reasons[SkipReason.SERVICE]
    return reasons


def log_long_waits(sched: "Scheduler", at: float) -> None:
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
