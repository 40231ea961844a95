"""The operators' configuration: one document, one version that only grows.

The document is checked here, at the border; rules are compiled from it by
:mod:`sapphirelead.policy_rules`.  Durations, sizes and shares carry their unit in the key's name.
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

CONFIG_KEY: Final = "config/current"


class Model(BaseModel):
    """A checked table of the configuration: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServicePolicy(Model):
    """One latency-critical service."""

    idempotent: bool = True
    deadline_ms: Count = 2_000
    queue_length: Count = 256
    hedge: bool = False


class JobClassPolicy(Model):
    """One class of batch jobs or watches; the defaults of a job that names it."""

    kind: Literal["batch", "watch"] = "batch"
    idempotent: bool = False
    cpu_millicores: Count = 1_000
    memory_mb: Count = 512
    accelerators: Natural = 0
    max_attempts: Count = 3


class TeamPolicy(Model):
    """One team's share and quota; a quota of 0 sets no bound."""

    weight: Positive = 1.0
    cpu_millicores: Natural = 0
    memory_mb: Natural = 0
    accelerators: Natural = 0
    queued_jobs: Natural = 0


class Weights(Model):
    """How much each measured outcome matters to this user."""

    tail_latency: Positive = 1.0
    batch_throughput: Positive = 1.0
    evictions: Positive = 1.0


class RetryPolicy(Model):
    """Retries and hedges of service requests."""

    budget_share: Share = 0.1
    max_attempts: Count = 3
    hedge_percentile: Annotated[float, Field(ge=50.0, lt=100.0)] = 95.0


class EjectionPolicy(Model):
    """Outlier ejection."""

    consecutive_failures: Count = 5
    base_seconds: Positive = 5.0
    max_ejected_share: Share = 0.34


class InterferencePolicy(Model):
    """Throttling and eviction of batch that disturbs services."""

    target_slowdown: Annotated[float, Field(ge=1.0)] = 1.3
    report_lag_seconds: Positive = 2.0
    throttle_floor_share: Share = 0.25
    evict_after_reports: Count = 5
    batch_floor_share: Share = 0.25


class Matcher(Model):
    """A condition on one field of the situation; what is left out does not restrict."""

    eq: str | float | bool | None = None
    one_of: Annotated[list[str] | None, Field(alias="in")] = None
    at_least: float | None = None
    below: float | None = None


class When(Model):
    """The situation a rule is for; every field given must match."""

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
    """What a rule decides; what is left out keeps its default."""

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
    """One when-then rule."""

    name: Annotated[str, Field(min_length=1, max_length=64)]
    when: When = When()
    then: Then = Then()


class ConfigDocument(Model):
    """The whole configuration as operators write it."""

    services: dict[str, ServicePolicy] = {}
    job_classes: dict[str, JobClassPolicy] = {}
    teams: dict[str, TeamPolicy] = {}
    weights: Weights = Weights()
    retries: RetryPolicy = RetryPolicy()
    ejection: EjectionPolicy = EjectionPolicy()
    interference: InterferencePolicy = InterferencePolicy()
    rules: list[RuleModel] = []


@dataclass(frozen=True, slots=True)
class Config:
    """A configuration in force.

    :ivar version: number of the accepted change that made it; 0 before the first.
    """

    version: int
    document: ConfigDocument


EMPTY: Final = Config(0, ConfigDocument())


def parse_document(raw: Any) -> Result[ConfigDocument, Failure]:
    """Check a decoded document."""
    try:
        return Ok(ConfigDocument.model_validate(raw))
    except ValueError as exc:
        return Err(Failure(Code.CONFIG_INVALID, str(exc), "mend the keys named and apply again"))
