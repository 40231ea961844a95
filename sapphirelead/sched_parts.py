"""Options of the optional parts of the scheduler; a section that is absent switches its part off.

Shares are fractions of the capacity of the service whose workers run a queue's tasks.
"""

from dataclasses import dataclass, field
from typing import Final


@dataclass(frozen=True, slots=True)
class ShareSpec:
    """Claim of one organisation, or of one of its queues, on the capacity.

    :ivar weight: relative part of what is not guaranteed, against its siblings.
    :ivar guaranteed: guaranteed share of the parent's part, 0 to 1; 0 for none.
    :ivar limit: maximum share of the parent's part, 0 to 1; 0 for none.
    """

    weight: float = 1.0
    guaranteed: float = 0.0
    limit: float = 0.0


@dataclass(frozen=True, slots=True)
class SharingConfig:
    """Fair sharing between organisations and their queues.

    :ivar half_life_s: half-life of the decayed usage.
    :ivar organisations: shares by organisation; defaults apply to one that is not named.
    :ivar queues: shares by queue within its organisation.
    :ivar members: organisation by queue; a queue that is not named is an organisation of its own.
    """

    half_life_s: float = 10.0
    organisations: dict[str, ShareSpec] = field(default_factory=dict)
    queues: dict[str, ShareSpec] = field(default_factory=dict)
    members: dict[str, str] = field(default_factory=dict)

    def organisation_of(self, queue: str) -> str:
        """Return the organisation that a queue belongs to.

        >>> config = SharingConfig(members={"q": "o"})
        >>> config.organisation_of("q"), config.organisation_of("r")
        ('o', 'r')
        """
        return self.members.get(queue, "") or queue


@dataclass(frozen=True, slots=True)
class PreemptionConfig:
    """Preemption of running tasks.

    :ivar min_run_s: work that a task has done since it was last preempted before it may be again.
    :ivar max_stops_per_s: maximum number of tasks preempted in a second.
    """

    min_run_s: float = 2.0
    max_stops_per_s: float = 50.0


@dataclass(frozen=True, slots=True)
class AdmissionConfig:
    """Refusal of jobs that cannot be served in time.

    :ivar max_wait_s: estimated wait of an organisation's jobs from which on it gets no more.
    :ivar exit_share: share of that wait below which jobs are accepted again.
    """

    max_wait_s: float = 30.0
    exit_share: float = 0.8


@dataclass(frozen=True, slots=True)
class LengthsConfig:
    """Learning of run times that differ from their estimates.

    :ivar min_ends: ends of a pair of queue and image before its forecasts are used.
    :ivar half_life_ends: number of ends after which an earlier one counts half.
    """

    min_ends: int = 30
    half_life_ends: int = 200


@dataclass(frozen=True, slots=True)
class PartsConfig:
    """The optional parts; ``None`` switches one off."""

    sharing: SharingConfig | None = None
    preemption: PreemptionConfig | None = None
    admission: AdmissionConfig | None = None
    lengths: LengthsConfig | None = None

    @classmethod
    def from_features(cls, names: frozenset[str]) -> "PartsConfig":
        """Return the named parts with their defaults.

        >>> PartsConfig.from_features(frozenset({"lengths"})).lengths
        LengthsConfig(min_ends=30, half_life_ends=200)
        """
        return cls(
            SharingConfig() if "sharing" in names else None,
            PreemptionConfig() if "preemption" in names else None,
            AdmissionConfig() if "admission" in names else None,
            LengthsConfig() if "lengths" in names else None,
        )


ALL_OFF: Final = PartsConfig()

FEATURES: Final = frozenset({"sharing", "preemption", "admission", "lengths"})
"""Names of the parts, as process settings list them."""
