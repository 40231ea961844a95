"""Converts the queues of the operators' configuration to scheduling policies."""

from sapphirelead.model_config import Config, ConfigDocument, OrganisationModel, QueueModel
from sapphirelead.model_resources import Resources
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_parts import (
    AdmissionConfig,
    LengthsConfig,
    PartsConfig,
    PreemptionConfig,
    ShareSpec,
    SharingConfig,
)
from sapphirelead.sched_spec import AdvicePolicy, JobSpec, QueuePolicy


def queue_config(config: Config) -> QueueConfig:
    """Return the policies of all queues, under the version of the configuration."""
    queues = {name: queue_policy(queue) for name, queue in config.document.queues.items()}
    return QueueConfig(version=config.version, queues=queues, parts=parts_config(config.document))


def parts_config(document: ConfigDocument) -> PartsConfig:
    """Return the options of the scheduler's optional parts."""
    preemption, admission, lengths = document.preemption, document.admission, document.lengths
    return PartsConfig(
        _sharing_config(document),
        (
            PreemptionConfig(preemption.min_run_seconds, preemption.max_stops_per_second)
            if preemption
            else None
        ),
        AdmissionConfig(admission.max_wait_seconds, admission.exit_share) if admission else None,
        LengthsConfig(lengths.min_ends, lengths.half_life_ends) if lengths else None,
    )


def _sharing_config(document: ConfigDocument) -> SharingConfig | None:
    if document.sharing is None:
        return None
    return SharingConfig(
        document.sharing.half_life_seconds,
        {name: _share(item) for name, item in document.organisations.items()},
        {name: _share(item) for name, item in document.queues.items()},
        {name: item.organisation for name, item in document.queues.items() if item.organisation},
    )


def _share(model: OrganisationModel | QueueModel) -> ShareSpec:
    return ShareSpec(model.weight, model.guaranteed_share, model.limit_share)


def queue_policy(queue: QueueModel) -> QueuePolicy:
    """Return the policy that each job of the queue is stored with."""
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
    """Return an error if a step exceeds the queue's largest task, otherwise an empty string.

    >>> from sapphirelead.sched_spec import StepSpec
    >>> queue = QueueModel.model_validate({"service": "s", "largest_task": {"memory_mb": 10}})
        >>> job = JobSpec("a", "q", "", (StepSpec(memory_mb=11),), queue_policy(queue))
        >>> check_task_sizes(queue, job)
        'step 0 requests memory_mb=11; the queue allows at most 10'
    """
    bounds = queue.largest_task
    for number, step in enumerate(job.steps):
        resources = Resources(step.cpu_millicores, step.memory_mb, step.accelerators)
        for name in ("cpu_millicores", "memory_mb", "accelerators"):
            limit, requested = getattr(bounds, name), getattr(resources, name)
            if limit and requested > limit:
                return (
                    f"step {number} requests {name}={requested}; the queue allows at most {limit}"
                )
    return ""
