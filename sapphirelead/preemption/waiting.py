"""Waiting steps that may have others stopped for them.  No I/O.

Answers a backlog of which most could not end in time anyway: only a step that can still meet its
job's objective is worth the work that a stop throws away.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import Job
from sapphirelead.sched_planner import slack_s
from sapphirelead.sched_spec import QueuePolicy, StepSpec
from sapphirelead.sched_task import Occurrence, StepKey, TaskRef


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step that has found no room, with its unclaimed tasks.

    :ivar queues: queues whose runs may be stopped for it.
    """

    job: Job
    key: StepKey
    step: StepSpec
    policy: QueuePolicy
    tasks: list[TaskRef]
    slack_s: float
    queues: frozenset[str]

    @property
    def can_be_in_time(self) -> bool:
        """Whether it can still meet the objective of its job; a long-running one always can."""
        return self.step.lasting or self.slack_s >= 0

    @property
    def rank(self) -> tuple[int, float]:
        """Order in which room is made; lower goes first."""
        return self.policy.priority, self.slack_s


def waiting_steps(
    sched: Scheduler,
    was_scanned: Callable[[StepKey], bool],
    queues_below: Callable[[str], frozenset[str]],
    wall_ms: int,
) -> list[WaitingStep]:
    """Return the steps that the last planning pass found no room for, in order.

    :param was_scanned: whether the pass has tried to place a step.
    :param queues_below: queues whose runs may be stopped for a queue.
    """
    found = []
    for key in sched.ready_since:
        job = sched.jobs.get(key[0])
        # Most steps of a backlog end here, so the cheapest check comes first.
        if job is None or not (queues := queues_below(job.spec.queue)):
            continue
        step = job.spec.steps[key[2]]
        occurrence = job.occurrences.get(key[1])
        if step.fills or occurrence is None or not job.open or not was_scanned(key):
            continue
        tasks = [ref for ref in _unclaimed(occurrence, key, step) if not _is_suspect(sched, ref)]
        if tasks:
            policy = sched.policy_of(job)
            slack = slack_s(job, occurrence, key[2], policy, wall_ms)
            found.append(WaitingStep(job, key, step, policy, tasks, slack, queues))
    return sorted(found, key=lambda waiting: waiting.rank)


def is_waiting(sched: Scheduler, ref: TaskRef) -> bool:
    """Return whether a task of an open job has no claim yet and is not done."""
    job, task = sched.jobs.get(ref.job_id), sched.task(ref)
    return job is not None and job.open and task is not None and not task.done and not task.claims


def _unclaimed(occurrence: Occurrence, key: StepKey, step: StepSpec) -> Iterator[TaskRef]:
    tasks = occurrence.tasks[key[2]]
    free = [index for index, task in enumerate(tasks) if not task.done and not task.claims]
    if step.gang and len(free) < len(tasks):
        return iter(())
    return (TaskRef(*key, index) for index in free)


def _is_suspect(sched: Scheduler, ref: TaskRef) -> bool:
    """Return whether a task has to run apart from others, which stops do not provide for."""
    return sched.quarantine.is_suspect(ref)
