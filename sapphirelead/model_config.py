"""Schema and validation of the operators' configuration document.

:mod:`sapphirelead.policy_rules` compiles the rules of a validated document.  Key names carry the
unit of durations, sizes and shares.
"""

from dataclasses import dataclass
from typing import Annotated, Any, Final, Literal

from pydantic import BaseModel, ConfigDict, Field
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure

Share = Annotated[float, Field(ge=0.0, le=1.0)]
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]
Natural = Annotated[int, Field(ge=0)]

QueueName = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]

ZoneName = Annotated[str, Field(pattern=r"^[!-.0-~]{1,200}$")]

KeyPath = tuple[str | int, ...]

CONFIG_KEY: Final = "config/current"


class Model(BaseModel):
    """A checked table of the configuration: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServicePolicy(Model):
    """One latency-critical service.

    :ivar idempotent: whether a request may run twice; one that may not takes the durable path.
    :ivar deadline_ms: deadline of a request that names none.
    :ivar queue_length: requests that may wait at one entry.
    :ivar hedge: whether a slow request may be sent to a second instance.
    """

    idempotent: bool = True
    deadline_ms: Count = 2_000
    queue_length: Count = 256
    hedge: bool = False


class JobClassPolicy(Model):
    """One class of batch jobs or watches; the defaults of a job that names it.

    :ivar kind: ``batch`` ends by itself, ``watch`` runs until it is cancelled.
    :ivar idempotent: whether a job may be run again after a loss without an exact checkpoint.
    :ivar cpu_millicores: declared processors of a job that names none, in thousandths of a core.
    :ivar memory_mb: declared memory of a job that names none.
    :ivar accelerators: declared accelerators of a job that names none.
    :ivar max_attempts: failures of the task, not losses of its instance, until it is set aside.
    """

    kind: Literal["batch", "watch"] = "batch"
    idempotent: bool = False
    cpu_millicores: Count = 1_000
    memory_mb: Count = 512
    accelerators: Natural = 0
    max_attempts: Count = 3


class TeamPolicy(Model):
    """One team's share and quota; a quota of 0 sets no bound.

    :ivar weight: share of batch capacity relative to other teams.
    :ivar cpu_millicores: most processors in use by the team, 0 for no bound.
    :ivar memory_mb: most memory in use by the team, 0 for no bound.
    :ivar accelerators: most accelerators in use by the team, 0 for no bound.
    :ivar queued_jobs: most open jobs of the team, 0 for no bound.
    """

    weight: Positive = 1.0
    cpu_millicores: Natural = 0
    memory_mb: Natural = 0
    accelerators: Natural = 0
    queued_jobs: Natural = 0


class TaskLimits(Model):
    """The largest task that a queue takes; a bound of 0 sets none.

    :ivar cpu_millicores: most processors of one task, 0 for no bound.
    :ivar memory_mb: most memory of one task, 0 for no bound.
    :ivar accelerators: most accelerators of one task, 0 for no bound.
    """

    cpu_millicores: Natural = 0
    memory_mb: Natural = 0
    accelerators: Natural = 0


class AdviceModel(Model):
    """How the advice service behaves for one queue; all zero where starts need no ticket.

    :ivar base_ms: time of one call.
    :ivar each_ms: further time of a call for each worker that it asks about.
    :ivar valid_ms: how long a ticket may be used; 0 means that starts need none.
    """

    base_ms: Natural = 0
    each_ms: Natural = 0
    valid_ms: Natural = 0


class OrganisationModel(Model):
    """One organisation whose queues share the capacity of their services.

    :ivar weight: part of the capacity relative to other organisations.
    :ivar guaranteed_share: share of the capacity that it gets whenever it has work, 0 for none.
    :ivar limit_share: most of the capacity that it may use, as a share, 0 for no bound.
    """

    weight: Positive = 1.0
    guaranteed_share: Share = 0.0
    limit_share: Share = 0.0


class SharingModel(Model):
    """Fair sharing between organisations and their queues; left out, there is none.

    :ivar half_life_seconds: after this time past usage counts half.
    """

    half_life_seconds: Positive = 10.0


class PreemptionModel(Model):
    """Preemption of tasks by those of a higher priority; left out, there is none.

    :ivar min_run_seconds: work of a task since it was last preempted before it may be again.
    :ivar max_stops_per_second: most tasks preempted in a second.
    """

    min_run_seconds: Positive = 2.0
    max_stops_per_second: Positive = 50.0


class AdmissionModel(Model):
    """Refusal of jobs that cannot be served in time; left out, there is none.

    :ivar max_wait_seconds: estimated wait from which an organisation's jobs are refused.
    :ivar exit_share: share of that wait below which they are accepted again.
    """

    max_wait_seconds: Positive = 30.0
    exit_share: Share = 0.8


class LengthsModel(Model):
    """Learning of run times that differ from their estimates; left out, estimates are used.

    :ivar min_ends: ends of a queue's image before its forecasts are used.
    :ivar half_life_ends: ends after which an earlier one counts half.
    """

    min_ends: Count = 30
    half_life_ends: Count = 200


class QueueModel(Model):
    """One queue of jobs of steps.

    :ivar service: service of the runners that carry its tasks out.
    :ivar priority: queues of a lower number go first.
    :ivar max_failures: failed runs of one task after which its job has failed.
    :ivar stretch: factor on a job's longest chain of steps that gives its objective.
    :ivar slack_ms: added to the objective.
    :ivar organisation: organisation that it belongs to; empty for one of its own.
    :ivar weight: part of its organisation's capacity relative to the organisation's other queues.
    :ivar guaranteed_share: share of its organisation's part that it gets whenever it has work, 0
        for none.
    :ivar limit_share: most of its organisation's part that it may use, as a share, 0 for no bound.
    """

    service: Annotated[str, Field(min_length=1, max_length=64)]
    priority: Natural = 0
    max_failures: Count = 3
    stretch: Annotated[float, Field(ge=1.0)] = 2.0
    slack_ms: Natural = 1_000
    largest_task: TaskLimits = TaskLimits()
    advice: AdviceModel = AdviceModel()
    organisation: Annotated[str, Field(max_length=64)] = ""
    weight: Positive = 1.0
    guaranteed_share: Share = 0.0
    limit_share: Share = 0.0


class Weights(Model):
    """How much each measured outcome matters to this user.

    :ivar tail_latency: keeps new tasks away from busy services and from those they would slow
        down.
    :ivar batch_throughput: spreads new tasks over the instances with the most room.
    :ivar evictions: relative to ``tail_latency``: how long a disturbing class is only throttled
        before a task of it is evicted.
    """

    tail_latency: Positive = 1.0
    batch_throughput: Positive = 1.0
    evictions: Positive = 1.0


class RetryPolicy(Model):
    """Retries and hedges of service requests.

    :ivar budget_share: retries and hedges together, as a share of requests.
    :ivar max_attempts: attempts of one request, the first one included.
    :ivar hedge_percentile: percentile of recent latency after which a request is hedged.
    """

    budget_share: Share = 0.1
    max_attempts: Count = 3
    hedge_percentile: Annotated[float, Field(ge=50.0, lt=100.0)] = 95.0


class EjectionPolicy(Model):
    """Outlier ejection.

    :ivar consecutive_failures: failures in a row after which an instance is ejected.
    :ivar base_seconds: length of a first ejection; it doubles with each further one.
    :ivar max_ejected_share: most instances that may be ejected at once, as a share.
    """

    consecutive_failures: Count = 5
    base_seconds: Positive = 5.0
    max_ejected_share: Share = 0.34


class InterferencePolicy(Model):
    """Throttling and eviction of batch that disturbs services.

    :ivar target_slowdown: service latency beside batch, relative to that without, above which
        batch is held back.
    :ivar report_lag_seconds: age of measurements; at most one action is taken in this time.
    :ivar throttle_floor_share: least share of its processors that a throttled task keeps.
    :ivar evict_after_reports: reports above the target, with everything throttled, after which a
        task is evicted.
    :ivar batch_floor_share: least share of its speed that batch on an instance keeps altogether.
    """

    target_slowdown: Annotated[float, Field(ge=1.0)] = 1.3
    report_lag_seconds: Positive = 2.0
    throttle_floor_share: Share = 0.25
    evict_after_reports: Count = 5
    batch_floor_share: Share = 0.25


class Matcher(Model):
    """A condition on one field of the situation; what is left out does not restrict.

    :ivar eq: the field has this value.
    :ivar one_of: the field has one of these values.
    :ivar at_least: the field is this number or more.
    :ivar below: the field is less than this number.
    """

    eq: str | float | bool | None = None
    one_of: Annotated[list[str] | None, Field(alias="in")] = None
    at_least: float | None = None
    below: float | None = None


class When(Model):
    """The situation a rule is for; every field given must match.

    :ivar kind: ``service``, ``batch`` or ``watch``.
    :ivar service: name of the service.
    :ivar job_class: class of the job.
    :ivar team: team of the caller.
    :ivar zone: availability zone of the entry that decides.
    :ivar urgent: whether the caller marked it urgent.
    :ivar idempotent: whether it may run twice.
    :ivar load: used share of reachable slots (service) or capacity (batch), 0 to 1.
    :ivar queue_length: requests of the service, or open jobs, that wait at the entry.
    :ivar deadline_ms: time until the deadline, 0 for none.
    :ivar store_up: whether the table answers.
    :ivar slowdown: measured slowdown of the service by batch, 1 for none.
    :ivar healthy_share: share of known instances that are neither silent, ejected nor draining.
    """

    kind: Matcher | None = None
    service: Matcher | None = None
    job_class: Matcher | None = None
    team: Matcher | None = None
    zone: Matcher | None = None
    urgent: Matcher | None = None
    idempotent: Matcher | None = None
    load: Matcher | None = None
    queue_length: Matcher | None = None
    deadline_ms: Matcher | None = None
    store_up: Matcher | None = None
    slowdown: Matcher | None = None
    healthy_share: Matcher | None = None


class Then(Model):
    """What a rule decides; what is left out keeps its default.

    :ivar action: ``refuse`` answers at once as not run.
    :ivar retry_after_ms: least time after which a refused caller may ask again; spread over some
        time.
    :ivar priority: place in the queue of a service or among a team's jobs, 9 first.
    :ivar zones: availability zones to use, in this order of preference; empty means the entry's
        own first.
    :ivar spill: whether other availability zones may be used when those are full.
    :ivar urgent: treat as urgent or not, whatever the caller says.
    :ivar hedge: whether to hedge, whatever the service's policy says.
    :ivar max_queue_ms: longest wait in the queue of a service.
    :ivar throttle_share: largest share of its processors that a task may use.
    :ivar avoid_services: services beside which the task is not placed.
    """

    action: Literal["admit", "refuse"] = "admit"
    retry_after_ms: Count = 1_000
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    zones: list[str] = []
    spill: bool = True
    urgent: bool | None = None
    hedge: bool | None = None
    max_queue_ms: Count | None = None
    throttle_share: Share | None = None
    avoid_services: list[str] = []


class RuleModel(Model):
    """One when-then rule.

    :ivar name: name in answers, logs, metrics and explanations; unique.
    """

    name: Annotated[str, Field(min_length=1, max_length=64)]
    when: When = When()
    then: Then = Then()


class EvacuationModel(Model):
    """An evacuated availability zone: nothing more starts there, and what runs there goes on.

    :ivar reason: why, for whoever finds work waiting.
    """

    reason: Annotated[str, Field(max_length=2_000)] = ""


class ConfigDocument(Model):
    """The whole configuration as operators write it."""

    services: dict[str, ServicePolicy] = {}
    job_classes: dict[str, JobClassPolicy] = {}
    teams: dict[str, TeamPolicy] = {}
    queues: dict[QueueName, QueueModel] = {}
    organisations: dict[QueueName, OrganisationModel] = {}
    sharing: SharingModel | None = None
    preemption: PreemptionModel | None = None
    admission: AdmissionModel | None = None
    lengths: LengthsModel | None = None
    weights: Weights = Weights()
    retries: RetryPolicy = RetryPolicy()
    ejection: EjectionPolicy = EjectionPolicy()
    interference: InterferencePolicy = InterferencePolicy()
    evacuated_zones: dict[ZoneName, EvacuationModel] = {}
    rules: list[RuleModel] = []


@dataclass(frozen=True, slots=True)
class Config:
    """A configuration document and its version.

    :ivar version: number of the change that produced it; 0 before the first change.
    """

    version: int
    document: ConfigDocument


EMPTY_CONFIG: Final = Config(0, ConfigDocument())


def parse_document(raw: Any) -> Result[ConfigDocument, Failure]:
    """Validate a decoded document."""
    try:
        return Ok(ConfigDocument.model_validate(raw))
    except ValueError as exc:
        return Err(
            Failure(Code.CONFIG_INVALID, str(exc), "correct the listed keys and apply again")
        )
