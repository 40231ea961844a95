"""The queues of the operators' configuration, as the fleet decides by them."""

from sapphirelead.model_config import Config, QueueModel
from sapphirelead.model_resources import Resources
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_spec import AdvicePolicy, JobSpec, QueuePolicy


def queue_config(config: Config) -> QueueConfig:
    """Return the queues of a version in force, under the same version."""
    queues = {name: queue_policy(queue) for name, queue in config.document.queues.items()}
    return QueueConfig(version=config.version, queues=queues)


def queue_policy(queue: QueueModel) -> QueuePolicy:
    """Return what a job of the queue keeps of its configuration."""
    advice = queue.advice
    return QueuePolicy(
        service=queue.service,
        priority=queue.priority,
        max_failures=queue.max_failures,
        stretch=queue.stretch,
        slack_ms=queue.slack_ms,
        advice=(
            AdvicePolicy(advice.base_ms, advice.each_ms, advice.valid_ms)
            if advice.valid_ms
            else None
        ),
    )


def check_task_sizes(queue: QueueModel, job: JobSpec) -> str:
    """Return which step asks for more than the queue's largest task, or an empty text.

    >>> from sapphirelead.sched_spec import StepSpec
    >>> queue = QueueModel.model_validate({"service": "s", "largest_task": {"memory_mb": 10}})
    >>> job = JobSpec("a", "q", "", (StepSpec(memory_mb=11),), queue_policy(queue))
    >>> check_task_sizes(queue, job)
    'step 0 asks for memory_mb=11, the queue takes at most 10'
    """
    bounds = queue.largest_task
    for number, step in enumerate(job.steps):
        resources = Resources(step.cpu_millicores, step.memory_mb, step.accelerators)
        for name in ("cpu_millicores", "memory_mb", "accelerators"):
            limit, requested = getattr(bounds, name), getattr(resources, name)
            if limit and requested > limit:
                return f"step {number} asks for {name}={requested}, the queue takes at most {limit}"
    return ""
