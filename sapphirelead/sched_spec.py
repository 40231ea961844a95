"""What a caller hands in: a job of steps, and the policy of the queue it goes to.

A job is a list of steps; a step is a number of equal tasks.  A task starts once every task of the
steps named in ``after`` is done.  The structures here are immutable, checked by :func:`check_job`
before a job is accepted, and stored as they are.
"""

from typing import Final

import msgspec

from sapphirelead.model_resources import Resources

MAX_TASKS: Final = 5_000
"""Tasks of one occurrence of a job; the progress of more would not fit into one row of 64 KB."""

MAX_PAYLOAD_BYTES: Final = 4_000
"""Longest payload; each start of a task carries it, and each row of a job holds it."""

MAX_NUMBER: Final = 2**53
"""Largest number in a job.  Larger ones than 2**64 cannot be stored, and those above 2**53 come
back changed from stores that keep numbers as JSON does."""


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step: ``tasks`` equal tasks.

    :ivar cpu_millicores: processors that a task asks for, in thousandths of a core.
    :ivar memory_mb: memory that a task asks for.
    :ivar accelerators: accelerators that a task asks for.
    :ivar estimate_ms: the caller's rough estimate of one task's run time.
    :ivar after: steps whose tasks must all be done first, by number from 0.
    :ivar saves: a task saves its progress as it runs and when it is stopped.
    :ivar gang: the tasks work only while all of them are present, and end together.
    :ivar same_rack: the tasks of a gang work slower when they are spread over racks.
    :ivar label: label that the worker must carry; empty for any.
    :ivar near_rack: rack that holds the data; empty for any.
    :ivar per_worker: most tasks of this step on one worker; 0 for no bound.
    :ivar copies: more than one run of a task may exist at a time; the first to finish counts.
    :ivar lasting: the tasks run until the job is cancelled and are restarted however they end.
    :ivar image: tasks of the same image behave alike.
    :ivar target_ms: a lasting task's tail latency must stay below this; 0 for none.
    :ivar fills: the task uses what processors others leave and is not counted against them.
    :ivar absent_max: tasks of the step that may be away at one time by the scheduler's doing.
    """

    tasks: int = 1
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    near_rack: str = ""
    per_worker: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    absent_max: int = 0

    @property
    def room(self) -> Resources:
        """What a task occupies of a worker's capacity."""
        cpu = 0 if self.fills else self.cpu_millicores
        return Resources(cpu, self.memory_mb, self.accelerators)


class AdvicePolicy(msgspec.Struct, frozen=True):
    """How the advice service of a queue behaves.

    :ivar base_ms: time of one call, in milliseconds.
    :ivar each_ms: further time for each worker asked about, in milliseconds.
    :ivar valid_ms: how long a ticket may be used, in milliseconds.
    """

    base_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0


class QueuePolicy(msgspec.Struct, frozen=True):
    """What the operators' configuration says of a queue.

    :ivar service: service whose workers run the queue's tasks.
    :ivar priority: 0 goes first.
    :ivar max_failures: failed runs of one task after which its job has failed.
    :ivar stretch: factor on a job's longest chain that gives its objective.
    :ivar slack_ms: added to the objective, in milliseconds.
    :ivar advice: set where starts need a ticket of the advice service.
    """

    service: str
    priority: int = 0
    max_failures: int = 3
    stretch: float = 2.0
    slack_ms: int = 1000
    advice: AdvicePolicy | None = None


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job, as it is stored.

    :ivar job_id: chosen by the caller, unique over all queues.
    :ivar queue: name of the queue.
    :ivar payload: handed to every task as it is.
    :ivar policy: the queue's policy at the time of acceptance, used once the queue is gone.
    :ivar accepted_ms: time of day of the acceptance, in milliseconds since 1970.
    :ivar first_due_ms: time of day at which the first occurrence is due.
    :ivar interval_ms: time between two occurrences.
    :ivar occurrences: how often the steps run; 0 for a job that runs once, at once.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    policy: QueuePolicy
    accepted_ms: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0

    @property
    def lasting(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)


def check_job(spec: JobSpec) -> str:
    """Return what is wrong with ``spec``, or an empty text.

    >>> policy = QueuePolicy("s")
    >>> check_job(JobSpec("a", "q", "", (StepSpec(after=(0,)),), policy))
    'step 0: after names step 0, which is not an earlier one'
    >>> check_job(JobSpec("a", "q", "", (StepSpec(), StepSpec(after=(0,))), policy))
    ''
    """
    if not spec.steps:
        return "a job has at least one step"
    if sum(step.tasks for step in spec.steps) > MAX_TASKS:
        return f"a job has at most {MAX_TASKS} tasks"
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return f"the payload is longer than {MAX_PAYLOAD_BYTES} bytes"
    if max(map(abs, (spec.first_due_ms, spec.interval_ms, spec.occurrences))) > MAX_NUMBER:
        return f"times and interval_ms must not be larger than {MAX_NUMBER}"
    if spec.occurrences < 0 or spec.interval_ms < 0:
        return "times and interval_ms must not be negative"
    for number, step in enumerate(spec.steps):
        problem = _check_step(number, step)
        if problem:
            return f"step {number}: {problem}"
    return ""


def _check_step(number: int, step: StepSpec) -> str:
    if step.tasks < 1:
        return "a step has at least one task"
    if min(step.cpu_millicores, step.memory_mb, step.accelerators, step.estimate_ms) < 0:
        return "sizes and estimates must not be negative"
    if any(abs(number) > MAX_NUMBER for number in _numbers(step)):
        return f"numbers must not be larger than {MAX_NUMBER}"
    for earlier in step.after:
        # Steps may only follow earlier ones, so that there can be no cycle.
        if not 0 <= earlier < number:
            return f"after names step {earlier}, which is not an earlier one"
    return ""


def _numbers(step: StepSpec) -> tuple[int, ...]:
    return (
        step.cpu_millicores,
        step.memory_mb,
        step.accelerators,
        step.estimate_ms,
        step.per_worker,
        step.target_ms,
        step.absent_max,
    )


def same_content(one: JobSpec, other: JobSpec) -> bool:
    """Whether two submissions ask for the same; when and under which policy does not count.

    >>> first = JobSpec("a", "q", "", (StepSpec(),), QueuePolicy("s"), accepted_ms=1)
    >>> same_content(first, JobSpec("a", "q", "", (StepSpec(),), QueuePolicy("t"), accepted_ms=2))
    True
    >>> same_content(first, JobSpec("a", "q", "", (StepSpec(tasks=2),), QueuePolicy("s")))
    False
    """
    normalized = msgspec.structs.replace(other, policy=one.policy, accepted_ms=one.accepted_ms)
    return one == normalized


def critical_paths_ms(steps: tuple[StepSpec, ...]) -> list[int]:
    """Return for each step the longest chain from its start to the end of the job.

    The longest of them is the job's longest chain.

    >>> critical_paths_ms((StepSpec(estimate_ms=5), StepSpec(estimate_ms=7, after=(0,))))
    [12, 7]
    >>> max(critical_paths_ms((StepSpec(estimate_ms=5), StepSpec(estimate_ms=7, after=(0,)), StepSpec())))
    12
    """
    paths = [step.estimate_ms for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            paths[earlier] = max(paths[earlier], steps[earlier].estimate_ms + paths[number])
    return paths
