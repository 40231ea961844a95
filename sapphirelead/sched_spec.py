"""Job specifications and queue policies.

A job is a list of steps, and a step is a number of identical tasks.  A task starts once every task
of the steps named in ``after`` is done.  The structures are immutable and stored as they are;
:func:`check_job` validates a job before it is accepted.
"""

from collections.abc import Sequence
from typing import Final

import msgspec

from sapphirelead.model_resources import Resources

MAX_TASKS: Final = 5_000
"""Limit for the tasks of a job that exist at a time; their progress shall fit into a 64 KB row."""

MAX_PAYLOAD_BYTES: Final = 4_000
"""Limit for the payload, which is sent with each start and stored with the job."""

MAX_SPEC_BYTES: Final = 45_000
"""Limit for a job as stored; with the overhead of Base64 it fits into a row of 64 KB."""

MAX_NUMBER: Final = 2**53
"""Limit for numbers in a job; larger ones lose precision in stores that use JSON."""

_ENCODER: Final = msgspec.msgpack.Encoder()


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of ``tasks`` identical tasks.

    :ivar cpu_millicores: CPU request of a task.
    :ivar memory_mb: memory request of a task.
    :ivar accelerators: accelerator request of a task.
    :ivar estimate_ms: the caller's estimate of the run time of a task.
    :ivar after: indexes of the steps that must be done first.
    :ivar saves: a task checkpoints its progress while it runs and when it is stopped.
    :ivar gang: the tasks run only while all of them are present, and end together.
    :ivar same_rack: the tasks of a gang run slower when they are spread over racks.
    :ivar label: label required of the worker; empty for any.
    :ivar near_rack: rack that holds the data; empty for any.
    :ivar per_worker: maximum number of tasks of this step on one worker; 0 for no limit.
    :ivar copies: a task may have several runs at a time; the first to finish counts.
    :ivar lasting: the tasks are long-running: they run until the job is cancelled, and are
        restarted whenever they end.
    :ivar image: identifies tasks with the same resource behaviour.
    :ivar target_ms: upper limit for the tail latency of a long-running task, which makes it
        latency-critical; 0 for none.
    :ivar fills: the tasks are best-effort: they run on idle CPU, which is not counted as used.
    :ivar absent_max: maximum number of tasks that the scheduler may keep stopped at a time.
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
        """Resources that a task occupies on a worker."""
        cpu = 0 if self.fills else self.cpu_millicores
        return Resources(cpu, self.memory_mb, self.accelerators)


class AdvicePolicy(msgspec.Struct, frozen=True):
    """Timing of a queue's advice service.

    :ivar base_ms: duration of one call.
    :ivar each_ms: additional duration for each worker in the call.
    :ivar valid_ms: validity period of a ticket.
    """

    base_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0


class QueuePolicy(msgspec.Struct, frozen=True):
    """Configured policy of a queue.

    :ivar service: service whose workers run the queue's tasks.
    :ivar priority: 0 is the highest.
    :ivar max_failures: failed runs of one task after which its job fails.
    :ivar stretch: multiple of a job's critical path that is its completion time objective.
    :ivar slack_ms: added to the objective.
    :ivar advice: set if starts need a ticket of the advice service.
    """

    service: str
    priority: int = 0
    max_failures: int = 3
    stretch: float = 2.0
    slack_ms: int = 1000
    advice: AdvicePolicy | None = None


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job.

    :ivar job_id: chosen by the caller, unique across all queues.
    :ivar payload: passed unchanged to every task.
    :ivar policy: the queue's policy at acceptance, used after the queue is removed.
    :ivar accepted_ms: Unix time of the acceptance, in milliseconds.
    :ivar first_due_ms: Unix time at which the first occurrence is due, in milliseconds.
    :ivar interval_ms: time between two occurrences.
    :ivar occurrences: number of scheduled occurrences; 0 for a job that runs once, immediately.
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
    """Return the first problem of ``spec``, or an empty string if it is valid.

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
    if len(_ENCODER.encode(spec)) > MAX_SPEC_BYTES:
        return f"the job takes more than {MAX_SPEC_BYTES} bytes as stored"
    return ""


def _check_step(number: int, step: StepSpec) -> str:
    if step.tasks < 1:
        return "a step has at least one task"
    if min(step.cpu_millicores, step.memory_mb, step.accelerators, step.estimate_ms) < 0:
        return "sizes and estimates must not be negative"
    if any(abs(number) > MAX_NUMBER for number in _numbers(step)):
        return f"numbers must not be larger than {MAX_NUMBER}"
    for earlier in step.after:
        # Only earlier steps are allowed, which rules out cycles.
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
    """Whether two submissions are equal but for their policy and acceptance time.

    >>> first = JobSpec("a", "q", "", (StepSpec(),), QueuePolicy("s"), accepted_ms=1)
    >>> same_content(first, JobSpec("a", "q", "", (StepSpec(),), QueuePolicy("t"), accepted_ms=2))
    True
    >>> same_content(first, JobSpec("a", "q", "", (StepSpec(tasks=2),), QueuePolicy("s")))
    False
    """
    normalized = msgspec.structs.replace(other, policy=one.policy, accepted_ms=one.accepted_ms)
    return one == normalized


def chain_ms(steps: tuple[StepSpec, ...], lengths_ms: Sequence[int] | None = None) -> list[int]:
    """Return for each step the longest dependency chain from its start to the end of the job.

    The maximum is the critical path of the job.

    :param lengths_ms: expected run times of the steps' tasks; by default the declared estimates.

    >>> chain_ms((StepSpec(estimate_ms=5), StepSpec(estimate_ms=7, after=(0,))))
    [12, 7]
    >>> max(chain_ms((StepSpec(estimate_ms=5), StepSpec(estimate_ms=7, after=(0,)), StepSpec())))
    12
    """
    if lengths_ms is None:
        lengths_ms = [step.estimate_ms for step in steps]
    paths = list(lengths_ms)
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            paths[earlier] = max(paths[earlier], lengths_ms[earlier] + paths[number])
    return paths
