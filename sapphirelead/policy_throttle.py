"""When to throttle, evict and release batch that disturbs services.  No I/O.

Algorithm.  Once in a report interval the controller looks at the slowdown of the services:

- above the target: throttle the class with the largest estimated harm, down to the share at which
  the estimates meet the target, in steps that are bounded and never below the floor;
- above the target for several reports although every class is at its floor: evict the newest task
  of the most harmful class, if that class accounts for a good part of the excess;
- well below the target for two reports: give the least harmful throttled class a step back, if the
  estimates say that the target holds afterwards.

A service whose slots are nearly all taken while batch slows it counts as above the target whatever
its tail: the agent sees no queue (that stands in the entries), but the callers wait in it.

At most one action is taken in a report interval, because the effect of an action shows in no report
that began before it.

Invariants:

- No class is throttled below the floor, and no eviction leaves the instance without batch.
- The band between release and throttle (hysteresis) is never empty.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from sapphirelead.model_config import ConfigDocument, Weights
from sapphirelead.policy_interference import InterferenceModel, ServiceReport

LARGEST_STEP: Final = 0.4
RELEASE_FACTOR: Final = 2.0
RELEASE_BAND: Final = 0.6
AIM: Final = 0.8
MEASURED_PART: Final = 0.3
CALM_REPORTS: Final = 2
SMALLEST_STEP: Final = 0.02
PATIENCE_FACTOR_MAX: Final = 2.0
THROTTLE_WORTH: Final = 0.1
EVICTION_WORTH: Final = 0.3
HARMED: Final = 1.05
SATURATED: Final = 0.95


@dataclass(frozen=True, slots=True)
class Tuning:
    """What the configuration makes of the controller.

    :ivar target: slowdown that services may have.
    :ivar floor: smallest share that a class is throttled to.
    :ivar patience: reports above the target, with all at the floor, before an eviction.
    """

    target: float
    floor: float
    patience: int

    @classmethod
    def from_config(cls, document: ConfigDocument) -> "Tuning":
        """Take the operators' policy; evictions that weigh more than tail latency raise patience.

        The floor is theirs as it stands: raised by the weight of throughput as well, a floor of a
        half became one, nothing was throttled, and the evictions that took its place cost more.
        """
        policy, weights = document.interference, document.weights
        floor = max(policy.throttle_floor_share, policy.batch_floor_share)
        patience = policy.evict_after_reports * _patience_factor(weights)
        return cls(policy.target_slowdown, floor, round(patience))


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
class Judged:
    """A report and what it was judged to show.

    :ivar measured: slowdown by its tail alone.
    :ivar slowdown: the same without most of its noise.
    """

    report: ServiceReport
    measured: float
    slowdown: float

    @property
    def usual_ms(self) -> float:
        """Undisturbed tail at the report's rate in milliseconds; too large where the slowdown was
        capped.
        """
        return self.report.tail_ms / max(self.measured, SMALLEST_STEP)


class ThrottleController:
    """Decides for one instance.

    :ivar shares: share of each class that is throttled; new tasks of the class start with it.
    :ivar slowdown: worst slowdown of a service in the last interval, 1.0 for none.
    :ivar over_target: whether that, or the load of the slots, was above the target.
    :ivar worst: the report behind it, ``None`` where there was none.
    :ivar harms: by job class, the slowdown that it was held to cause in the last interval above the
        target.
    """

    shares: dict[str, float]
    slowdown: float
    over_target: bool
    worst: Judged | None
    harms: dict[str, float]
    _model: InterferenceModel
    _stuck: int
    _calm: int

    def __init__(self, model: InterferenceModel) -> None:
        self._model = model
        self.shares = {}
        self.slowdown = 1.0
        self.over_target = False
        self.worst = None
        self.harms = {}
        self._stuck = 0
        self._calm = 0

    def share(self, job_class: str) -> float:
        """Return the share that tasks of ``job_class`` may use."""
        return self.shares.get(job_class, 1.0)

    def step(
        self,
        tuning: Tuning,
        reports: list[ServiceReport],
        intensities: Mapping[str, float],
        tasks: Mapping[str, int],
        occupancy: float,
    ) -> Action | None:
        """Take the reports of one interval and return the action to take, if any.

        :param intensities: by job class, its mean intensity over the interval.
        :param tasks: by job class, how many of its tasks run now.
        :param occupancy: mean share of the service slots that were taken over the interval.
        """
        judged = [self._judge(report, intensities) for report in reports]
        self.worst = max(judged, key=lambda item: item.slowdown, default=None)
        self.slowdown = self.worst.slowdown if self.worst else 1.0
        slowdown = _with_saturation(self.slowdown, occupancy, tuning.target)
        self.over_target = slowdown > tuning.target
        if self.over_target:
            self._calm = 0
            return self._tighten(tuning, slowdown, reports, intensities, tasks)
        self._stuck = 0
        if slowdown > _within(tuning.target, RELEASE_BAND):
            self._calm = 0
            return None
        self._calm += 1
        if self._calm < CALM_REPORTS:
            return None
        # What the callers' queue bears: a release must not fill the slots either.
        ceiling = min(tuning.target, slowdown * SATURATED / max(occupancy, SMALLEST_STEP))
        return self._release(ceiling, slowdown, reports, intensities, tasks)

    def _judge(self, report: ServiceReport, intensities: Mapping[str, float]) -> Judged:
        """Learn from a report and tell the slowdown without most of its noise.

        The tail of some tens of requests scatters by several per cent, which is a good part of the
        target; the model's own estimate, corrected by the report, scatters far less.
        """
        measured = self._model.learn(report, intensities)
        expected = self._model.predict(report.service, intensities)
        slowdown = MEASURED_PART * measured + (1.0 - MEASURED_PART) * expected
        return Judged(report, measured, slowdown)

    def _tighten(
        self,
        tuning: Tuning,
        slowdown: float,
        reports: list[ServiceReport],
        intensities: Mapping[str, float],
        tasks: Mapping[str, int],
    ) -> Action | None:
        harms = self.harms = self._harms(reports, intensities)
        # Squeezing a class that hardly takes part in the excess costs work and helps nobody.
        worth = (slowdown - tuning.target) * THROTTLE_WORTH
        for job_class in sorted(harms, key=lambda c: -harms[c]):
            share = self._tightened(tuning, slowdown, job_class, harms[job_class])
            if harms[job_class] > worth and self.share(job_class) - share >= SMALLEST_STEP:
                self.shares[job_class] = share
                self._stuck = 0
                return Throttle(job_class, share, slowdown)
        return self._evict(tuning, slowdown, harms, tasks)

    def _tightened(self, tuning: Tuning, slowdown: float, job_class: str, harm: float) -> float:
        share = self.share(job_class)
        excess = slowdown - _within(tuning.target, AIM)
        wanted = share * (1.0 - excess / harm) if harm > 0 else share
        return max(wanted, share * LARGEST_STEP, tuning.floor)

    def _evict(
        self, tuning: Tuning, slowdown: float, harms: Mapping[str, float], tasks: Mapping[str, int]
    ) -> Action | None:
        self._stuck += 1
        worth = (slowdown - tuning.target) * EVICTION_WORTH
        running = {c: harm for c, harm in harms.items() if tasks.get(c, 0) and harm > worth}
        if self._stuck < tuning.patience or not running or sum(tasks.values()) < 2:
            return None
        self._stuck = 0
        return Evict(max(running, key=lambda c: running[c]), slowdown)

    def _release(
        self,
        ceiling: float,
        slowdown: float,
        reports: list[ServiceReport],
        intensities: Mapping[str, float],
        tasks: Mapping[str, int],
    ) -> Action | None:
        # A class that does not run keeps its share: its next wave would otherwise start at full
        # speed, and every wave would be noticed by the callers anew.
        throttled = [c for c in self.shares if tasks.get(c, 0)]
        harms = self._harms(reports, {**dict.fromkeys(throttled, 0.0), **intensities})
        for job_class in sorted(throttled, key=lambda c: harms[c]):
            share = min(1.0, self.shares[job_class] * RELEASE_FACTOR)
            grown = harms[job_class] * (share / self.shares[job_class] - 1.0)
            if slowdown + grown > ceiling:
                continue
            self.shares[job_class] = share
            if share >= 1.0:
                del self.shares[job_class]
            return Throttle(job_class, share, slowdown)
        return None

    def _harms(
        self, reports: list[ServiceReport], intensities: Mapping[str, float]
    ) -> dict[str, float]:
        return {c: self._model.harm(reports, c, x) for c, x in intensities.items()}


def _within(target: float, part: float) -> float:
    return 1.0 + (target - 1.0) * part


def _with_saturation(slowdown: float, occupancy: float, target: float) -> float:
    if slowdown < HARMED:
        return slowdown
    return max(slowdown, target * occupancy / SATURATED)


def _patience_factor(weights: Weights) -> float:
    ratio: float = weights.evictions / weights.tail_latency
    return min(PATIENCE_FACTOR_MAX, max(1.0, ratio))
