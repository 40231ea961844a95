"""Feedback controller that throttles, evicts and releases batch that slows services.  No I/O.

Once per report interval, the controller compares the slowdown of the services with the target:

- above the target: throttle the class with the largest estimated contribution, in bounded steps
  and not below the floor;
- above the target for several reports with every class at its floor: evict the newest task of the
  class with the largest contribution;
- well below the target for ``REPORTS_BEFORE_RELEASE`` reports: release the throttled class with the
  smallest contribution by a step, if the predicted slowdown stays within the target.

A slowed service with nearly all slots taken counts as above the target: its callers queue in the
entries, which its tail does not show.  At most one action is taken per interval, because an action
affects only later reports.

Invariants:

- No class is throttled below the floor, and no eviction leaves the instance without batch.
- The band between release and throttle (hysteresis) is never empty.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from sapphirelead.model_config import ConfigDocument, Weights
from sapphirelead.policy_interference import InterferenceModel, ServiceReport

MIN_STEP_RATIO: Final = 0.4
RELEASE_FACTOR: Final = 2.0
RELEASE_BAND_SHARE: Final = 0.6
THROTTLE_AIM_SHARE: Final = 0.8
MEASURED_WEIGHT: Final = 0.3
REPORTS_BEFORE_RELEASE: Final = 2
MIN_STEP: Final = 0.02
MAX_EVICTION_DELAY_FACTOR: Final = 2.0
MIN_THROTTLE_EXCESS_SHARE: Final = 0.1
MIN_EVICTION_EXCESS_SHARE: Final = 0.3
MIN_DISTURBED_SLOWDOWN: Final = 1.05
SATURATED_OCCUPANCY: Final = 0.95


@dataclass(frozen=True, slots=True)
class Tuning:
    """Parameters of the controller, derived from the configuration.

    :ivar target: maximum slowdown of services.
    :ivar floor: minimum share that a class is throttled to.
    :ivar eviction_delay_reports: reports above the target, with every class at the floor, before an
        eviction.
    """

    target: float
    floor: float
    eviction_delay_reports: int

    @classmethod
    def from_config(cls, document: ConfigDocument) -> "Tuning":
        """Derive the parameters; evictions that weigh more than tail latency are delayed."""
        policy, weights = document.interference, document.weights
        floor = max(policy.throttle_floor_share, policy.batch_floor_share)
        eviction_delay_reports = policy.evict_after_reports * _eviction_delay_factor(weights)
        return cls(policy.target_slowdown, floor, round(eviction_delay_reports))


@dataclass(frozen=True, slots=True)
class Throttle:
    """Limit the tasks of a class to ``share`` of their processors."""

    job_class: str
    share: float
    slowdown: float


@dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint and stop the newest task of a class."""

    job_class: str
    slowdown: float


Action = Throttle | Evict


@dataclass(frozen=True, slots=True)
class AssessedReport:
    """A report with the slowdown that it shows.

    :ivar measured: slowdown by its tail latency alone.
    :ivar slowdown: average of ``measured`` and the model's estimate, with less noise.
    """

    report: ServiceReport
    measured: float
    slowdown: float

    @property
    def baseline_ms(self) -> float:
        """Baseline tail latency at the report's rate; too high if ``measured`` was capped."""
        return self.report.tail_ms / max(self.measured, MIN_STEP)


class ThrottleController:
    """Throttle controller of one instance.

    :ivar shares: share of each throttled class; new tasks of the class start with it.
    :ivar slowdown: largest slowdown of a service in the last interval, 1.0 for none.
    :ivar over_target: whether the slowdown, adjusted for occupancy, was above the target.
    :ivar worst: the report with the largest slowdown, if any.
    :ivar contributions: estimated slowdown by job class, from the last interval above the target.
    """

    shares: dict[str, float]
    slowdown: float
    over_target: bool
    worst: AssessedReport | None
    contributions: dict[str, float]
    _model: InterferenceModel
    _reports_at_floor: int
    _reports_below_band: int

    def __init__(self, model: InterferenceModel) -> None:
        self._model = model
        self.shares = {}
        self.slowdown = 1.0
        self.over_target = False
        self.worst = None
        self.contributions = {}
        self._reports_at_floor = 0
        self._reports_below_band = 0

    def share(self, job_class: str) -> float:
        """Return the share of their processors that tasks of ``job_class`` may use."""
        return self.shares.get(job_class, 1.0)

    def step(
        self,
        tuning: Tuning,
        reports: list[ServiceReport],
        intensities: Mapping[str, float],
        tasks: Mapping[str, int],
        occupancy: float,
    ) -> Action | None:
        """Process the reports of one interval and return the action to take, if any.

        :param intensities: peak intensity over the interval, by job class.
        :param tasks: number of running tasks, by job class.
        :param occupancy: mean share of the service slots in use over the interval.
        """
        assessed = [self._assess(report, intensities) for report in reports]
        self.worst = max(assessed, key=lambda item: item.slowdown, default=None)
        self.slowdown = self.worst.slowdown if self.worst else 1.0
        slowdown = _with_saturation(self.slowdown, occupancy, tuning.target)
        self.over_target = slowdown > tuning.target
        if self.over_target:
            self._reports_below_band = 0
            return self._tighten(tuning, slowdown, reports, intensities, tasks)
        self._reports_at_floor = 0
        if slowdown > _scaled_target(tuning.target, RELEASE_BAND_SHARE):
            self._reports_below_band = 0
            return None
        self._reports_below_band += 1
        if self._reports_below_band < REPORTS_BEFORE_RELEASE:
            return None
        # A release must not saturate the slots either.
        ceiling = min(tuning.target, slowdown * SATURATED_OCCUPANCY / max(occupancy, MIN_STEP))
        return self._release(ceiling, slowdown, reports, intensities, tasks)

    def _assess(self, report: ServiceReport, intensities: Mapping[str, float]) -> AssessedReport:
        """Update the model with a report and blend the measurement with the model's estimate.

        The tail latency of a small sample is noisy; the estimate is less so.
        """
        measured = self._model.learn(report, intensities)
        expected = self._model.predict(report.service, intensities)
        slowdown = MEASURED_WEIGHT * measured + (1.0 - MEASURED_WEIGHT) * expected
        return AssessedReport(report, measured, slowdown)

    def _tighten(
        self,
        tuning: Tuning,
        slowdown: float,
        reports: list[ServiceReport],
        intensities: Mapping[str, float],
        tasks: Mapping[str, int],
    ) -> Action | None:
        contributions = self.contributions = self._contributions(reports, intensities)
        # Throttling a class with a small contribution costs work without reducing the slowdown.
        min_contribution = (slowdown - tuning.target) * MIN_THROTTLE_EXCESS_SHARE
        for job_class in sorted(contributions, key=lambda c: -contributions[c]):
            share = self._tightened_share(tuning, slowdown, job_class, contributions[job_class])
            if (
                contributions[job_class] > min_contribution
                and self.share(job_class) - share >= MIN_STEP
            ):
                self.shares[job_class] = share
                self._reports_at_floor = 0
                return Throttle(job_class, share, slowdown)
        return self._evict(tuning, slowdown, contributions, tasks)

    def _tightened_share(
        self, tuning: Tuning, slowdown: float, job_class: str, contribution: float
    ) -> float:
        share = self.share(job_class)
        excess = slowdown - _scaled_target(tuning.target, THROTTLE_AIM_SHARE)
        wanted = share * (1.0 - excess / contribution) if contribution > 0 else share
        return max(wanted, share * MIN_STEP_RATIO, tuning.floor)

    def _evict(
        self,
        tuning: Tuning,
        slowdown: float,
        contributions: Mapping[str, float],
        tasks: Mapping[str, int],
    ) -> Action | None:
        self._reports_at_floor += 1
        min_contribution = (slowdown - tuning.target) * MIN_EVICTION_EXCESS_SHARE
        running = {
            c: contribution
            for c, contribution in contributions.items()
            if tasks.get(c, 0) and contribution > min_contribution
        }
        if (
            self._reports_at_floor < tuning.eviction_delay_reports
            or not running
            or sum(tasks.values()) < 2
        ):
            return None
        self._reports_at_floor = 0
        return Evict(max(running, key=lambda c: running[c]), slowdown)

    def _release(
        self,
        ceiling: float,
        slowdown: float,
        reports: list[ServiceReport],
        intensities: Mapping[str, float],
        tasks: Mapping[str, int],
    ) -> Action | None:
        # Classes without running tasks stay throttled, so that their next tasks do not start at
        # full speed.
        throttled = [c for c in self.shares if tasks.get(c, 0)]
        contributions = self._contributions(
            reports, {**dict.fromkeys(throttled, 0.0), **intensities}
        )
        for job_class in sorted(throttled, key=lambda c: contributions[c]):
            share = min(1.0, self.shares[job_class] * RELEASE_FACTOR)
            added_slowdown = contributions[job_class] * (share / self.shares[job_class] - 1.0)
            if slowdown + added_slowdown > ceiling:
                continue
            self.shares[job_class] = share
            if share >= 1.0:
                del self.shares[job_class]
            return Throttle(job_class, share, slowdown)
        return None

    def _contributions(
        self, reports: list[ServiceReport], intensities: Mapping[str, float]
    ) -> dict[str, float]:
        return {c: self._model.contribution(reports, c, x) for c, x in intensities.items()}


def _scaled_target(target: float, share_of_excess: float) -> float:
    return 1.0 + (target - 1.0) * share_of_excess


def _with_saturation(slowdown: float, occupancy: float, target: float) -> float:
    if slowdown < MIN_DISTURBED_SLOWDOWN:
        return slowdown
    return max(slowdown, target * occupancy / SATURATED_OCCUPANCY)


def _eviction_delay_factor(weights: Weights) -> float:
    ratio: float = weights.evictions / weights.tail_latency
    return min(MAX_EVICTION_DELAY_FACTOR, max(1.0, ratio))
