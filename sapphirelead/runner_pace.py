"""Controls the pace of best-effort tasks so that tail latencies stay within their targets.

Handles undeclared interference by adjusting one level per best-effort image on a worker.  If the
leader has sent estimates for an image with all latency-critical images here, its level follows from
the headroom of their tails (:mod:`sapphirelead.policy_pressure`).  Other images, and all of them
during a sustained overload, get levels by feedback: the images that contribute most to the worst
tail are cut while it is above its setpoint, and levels are restored gradually while it is below.
"""

import statistics
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Final

from sapphirelead.node_messages import InterferenceEstimate
from sapphirelead.policy_interference import InterferenceModel, ServiceReport
from sapphirelead.policy_pressure import (
    LoadBudget,
    WeightLookup,
    added_load,
    allocate_levels,
    load_from_tail,
)

SETPOINT_SHARE: Final = 0.75
"""Share of its target at which the worst tail is held."""
RESTORE_GAIN: Final = 1.0
"""Gain of the restore step on the distance of the worst tail below its setpoint."""
OVERLOAD_SHARE: Final = 1.0
"""Share of its target from which all main contributors are slowed at once."""
MIN_CUT_FACTOR: Final = 0.15
MIN_LEVEL: Final = 0.04
"""A lower level stops the image's tasks; they keep their memory."""
INITIAL_LEVEL: Final = 0.25
"""Level of a new image beside latency-critical tasks, while its effect is unknown."""
MIN_UPDATE_INTERVAL_S: Final = 0.4
"""Tail figures that arrive earlier do not reflect the last change yet."""
LIGHTEST_RESTORE_STEP: Final = 0.12
"""Minimum step by which the level of the least interfering image is restored."""
DRIFT_VARIANCE: Final = 0.5
"""Variance added to each estimate per report, because interference changes within seconds."""
TAIL_PREDICTION_S: Final = 0.5
"""Horizon to which tails are extrapolated."""
TREND_WINDOW_S: Final = 1.5
"""Older figures are not used for extrapolation."""
NEW_IMAGE_S: Final = 1.2
"""Age up to which an image counts as a contributor to any tail above its setpoint."""
MIN_CONTRIBUTION_SHARE: Final = 0.25
"""Share of the interference with the worst tail from which an image counts as a contributor."""
UNIT_RATE: Final = 1.0
"""Used for all services, because workers report no request rates."""
SUSTAINED_OVERLOAD_S: Final = 0.8
"""Time over a target after which images with known interference are limited by feedback as well.

Two updates: the tail of a single task often jumps and falls again within a second by itself."""
USAGE_HALF_LIFE_S: Final = 0.4
"""Half-life of the smoothed usage of best-effort images; matches the settling of tails."""
LOAD_PREDICTION_S: Final = 0.8
"""Horizon to which baseline loads are extrapolated."""
MAX_PREDICTED_RISE: Final = 0.1
"""Limit of the rise of a baseline load by extrapolation."""
MAX_LEVEL_RISE: Final = 0.35
"""Limit per step of the rise of a level that is known from estimates."""


@dataclass(frozen=True, slots=True)
class TailLatency:
    """Newest tail latency of a latency-critical task, and its target."""

    task: str
    image: str
    latency_ms: int
    target_ms: int

    @property
    def share(self) -> float:
        """The tail latency as a share of its target."""
        return self.latency_ms / self.target_ms


class BaselineLoads:
    """Loads of the latency-critical jobs on a worker, without interference of best-effort tasks."""

    _smoothed_usage: dict[str, float]
    _history: dict[str, deque[tuple[float, float]]]
    _at: float

    def __init__(self) -> None:
        self._smoothed_usage = {}
        self._history = {}
        self._at = -1e9

    def observe(
        self,
        loads: Mapping[str, float],
        images: Mapping[str, str],
        filling: Mapping[str, float],
        weight: WeightLookup,
        at: float,
    ) -> None:
        """Record the newest loads, less the load that best-effort images add."""
        keep = 0.5 ** ((at - self._at) / USAGE_HALF_LIFE_S)
        self._at = at
        self._smoothed_usage = {
            image: keep * self._smoothed_usage.get(image, 0.0)
            + (1 - keep) * filling.get(image, 0.0)
            for image in self._smoothed_usage.keys() | filling.keys()
        }
        found: dict[str, list[float]] = {}
        for task, load in loads.items():
            baseline_load = load - added_load(images[task], self._smoothed_usage, weight)
            found.setdefault(_job_of(task), []).append(max(baseline_load, 0.0))
        for job, baseline_loads in found.items():
            # The median over the job's tasks, because single tails are noisy.
            history = self._history.setdefault(job, deque())
            history.append((at, statistics.median(baseline_loads)))
            while at - history[0][0] > TREND_WINDOW_S:
                history.popleft()
        for job in [job for job in self._history if job not in found]:
            del self._history[job]

    def predicted(self, task: str) -> float:
        """Return the extrapolated baseline load of a task's job."""
        history = self._history[_job_of(task)]
        first_at, first = history[0]
        last_at, last = history[-1]
        if last_at - first_at < MIN_UPDATE_INTERVAL_S:
            return last
        rise = (last - first) / (last_at - first_at) * LOAD_PREDICTION_S
        return last + min(max(rise, 0.0), MAX_PREDICTED_RISE)


def _job_of(task: str) -> str:
    """Return the part of a task's name that all tasks of its step share."""
    return task.rsplit(".", 1)[0]


class PaceControl:
    """The levels of the best-effort images on one worker.

    :ivar worst: worst extrapolated tail, as a share of its target.
    :ivar awaits_tail: whether a latency-critical task has started whose tail is not known yet.
        Levels are limited to :data:`INITIAL_LEVEL` meanwhile.
    """

    worst: float
    awaits_tail: bool
    _estimated_weights: dict[tuple[str, str], float]
    _idle_ms: dict[str, float]
    _baseline: BaselineLoads
    _known_levels: dict[str, float]
    _load_budgets: list[LoadBudget]
    _last_below_target_at: float
    _model: InterferenceModel
    _levels: dict[str, float]
    _started_at: dict[str, float]
    _updated_at: float
    _previous_ms: dict[str, int]

    def __init__(self) -> None:
        self.worst = 0.0
        self.awaits_tail = False
        self._estimated_weights = {}
        self._idle_ms = {}
        self._baseline = BaselineLoads()
        self._known_levels = {}
        self._load_budgets = []
        self._last_below_target_at = -1e9
        self._model = InterferenceModel(DRIFT_VARIANCE)
        self._levels = {}
        self._started_at = {}
        self._updated_at = -1e9
        self._previous_ms = {}

    def percent(self, image: str) -> int:
        """Return the pace of an image in whole percent."""
        level = self._levels.get(image, INITIAL_LEVEL if self.worst else 1.0)
        level = self._known_levels.get(image, level)
        return round((min(level, INITIAL_LEVEL) if self.awaits_tail else level) * 100)

    def begin(self, image: str, wanted: Mapping[str, float]) -> None:
        """Set the initial level of a new image if its interference with all tails is known.

        At the level of unknown images it would lose a second of its time.
        """
        if image in self._known_levels or image in self._levels or not self._load_budgets:
            return
        if all((budget.image, image) in self._estimated_weights for budget in self._load_budgets):
            self._known_levels[image] = allocate_levels(
                self._load_budgets, wanted, self._weight
            ).get(image, INITIAL_LEVEL)

    def learn(self, interference: Sequence[InterferenceEstimate]) -> None:
        """Store the leader's interference estimates for pairs of images."""
        for serving in interference:
            self._idle_ms[serving.image] = serving.idle_ms
            for filling, weight in serving.weights.items():
                self._estimated_weights[serving.image, filling] = weight

    def update(
        self,
        tails: list[TailLatency],
        filling: dict[str, float],
        at: float,
        wanted: Mapping[str, float] | None = None,
    ) -> None:
        """Update the levels from the newest tails.

        :param filling: by best-effort image, the share of the worker's processors that it used.
        :param wanted: by best-effort image, the share that it would use at full pace.
        """
        if not tails:
            self.worst = 0.0
            self._levels = dict.fromkeys(filling, 1.0)
            self._known_levels = {}
            self._load_budgets = []
            return
        for image in [image for image in self._levels if image not in filling]:
            del self._levels[image]
            self._started_at.pop(image, None)
        for image in filling:
            self._levels.setdefault(image, INITIAL_LEVEL)
            self._started_at.setdefault(image, at)
        if at - self._updated_at < MIN_UPDATE_INTERVAL_S:
            return
        predicted = self._predict_tails(tails, at)
        self._updated_at = at
        worst = max(predicted, key=lambda tail: tail.share)
        self.worst = worst.share
        for tail in tails:
            report = ServiceReport(tail.image, UNIT_RATE, float(tail.latency_ms), 1)
            self._model.learn(report, filling)
        if self.worst < OVERLOAD_SHARE:
            self._last_below_target_at = at
        if self.worst > SETPOINT_SHARE:
            self._cut(worst, filling, at)
        if self.worst < OVERLOAD_SHARE:
            self._restore(tails, at)
        self._update_known_levels(tails, filling, wanted or {}, at)

    def _update_known_levels(
        self,
        tails: list[TailLatency],
        filling: Mapping[str, float],
        wanted: Mapping[str, float],
        at: float,
    ) -> None:
        """Set levels from the headroom of the tails, for images with known interference."""
        known_tails = {tail.task: tail for tail in tails if tail.image in self._idle_ms}
        loads = {
            task: load_from_tail(tail.latency_ms, self._idle_ms[tail.image])
            for task, tail in known_tails.items()
        }
        images = {task: tail.image for task, tail in known_tails.items()}
        self._baseline.observe(loads, images, filling, self._weight, at)
        self._load_budgets = []
        for task, tail in known_tails.items():
            limit = load_from_tail(tail.target_ms, self._idle_ms[tail.image])
            self._load_budgets.append(LoadBudget(tail.image, self._baseline.predicted(task), limit))
        known = {
            image: share
            for image, share in wanted.items()
            if all((tail.image, image) in self._estimated_weights for tail in tails)
        }
        before = self._known_levels
        overload_s = at - self._last_below_target_at if self.worst >= OVERLOAD_SHARE else 0.0
        self._known_levels = allocate_levels(self._load_budgets, known, self._weight)
        for image, level in self._known_levels.items():
            # Tails respond with a delay, so a level rises in steps.
            level = min(level, before.get(image, 1.0) + MAX_LEVEL_RISE)
            if overload_s >= SUSTAINED_OVERLOAD_S:
                # A sustained overload indicates wrong estimates, so the feedback level applies.
                level = min(level, self._levels.get(image, 1.0))
            self._known_levels[image] = self._levels[image] = level

    def _weight(self, serving: str, filling: str) -> float:
        """Return the estimated weight of a pair; 0 leaves unknown interference in the baseline."""
        return self._estimated_weights.get((serving, filling), 0.0)

    def _predict_tails(self, tails: list[TailLatency], at: float) -> list[TailLatency]:
        """Extrapolate the tails by their change since the last update."""
        elapsed_s = at - self._updated_at
        found = []
        for tail in tails:
            before = self._previous_ms.get(tail.task)
            predicted_ms = tail.latency_ms
            if before is not None and elapsed_s <= TREND_WINDOW_S:
                predicted_ms = max(
                    0, round(predicted_ms + (predicted_ms - before) / elapsed_s * TAIL_PREDICTION_S)
                )
            found.append(replace(tail, latency_ms=predicted_ms))
        self._previous_ms = {tail.task: tail.latency_ms for tail in tails}
        return found

    def _cut(self, worst: TailLatency, filling: dict[str, float], at: float) -> None:
        factor = max(MIN_CUT_FACTOR, (SETPOINT_SHARE / worst.share) ** 2)
        contributors = self._contributors(worst, filling, at)
        if worst.share < OVERLOAD_SHARE:
            # Slowing one image at a time keeps the effects of images distinguishable.
            contributors = contributors[:1]
        for image in contributors:
            level = self._levels[image] * factor
            self._levels[image] = level if level >= MIN_LEVEL else 0.0

    def _contributors(self, worst: TailLatency, filling: dict[str, float], at: float) -> list[str]:
        """Return the main contributors to the worst tail: new images first, then by share."""
        interference = {
            image: self._model.weight(worst.image, image) * max(share, MIN_LEVEL)
            for image, share in filling.items()
            if self._levels[image] > 0
        }
        ranked = sorted(interference, key=lambda image: -interference[image])
        new = [image for image in ranked if at - self._started_at[image] <= NEW_IMAGE_S]
        total = sum(interference.values())
        if total <= 0:
            return new or ranked
        known = [image for image in ranked if interference[image] >= MIN_CONTRIBUTION_SHARE * total]
        return new + [image for image in known if image not in new]

    def _restore(self, tails: list[TailLatency], at: float) -> None:
        lightest = self._least_interfering(tails) if len(self._levels) > 1 else ""
        for image, level in self._levels.items():
            interference = max(self._model.weight(tail.image, image) for tail in tails)
            step = max(0.0, RESTORE_GAIN * (SETPOINT_SHARE - self.worst) / (1 + interference / 4))
            if image == lightest and at - self._started_at[image] > NEW_IMAGE_S:
                step = max(step, LIGHTEST_RESTORE_STEP)
            self._levels[image] = min(1.0, level + step)

    def _least_interfering(self, tails: list[TailLatency]) -> str:
        """Return the image with the least interference with any of the tails.

        It is restored even at the setpoint; otherwise an image without interference would stay slow
        beside one that interferes.  Raising one image also keeps their effects distinguishable.
        """
        return min(
            self._levels,
            key=lambda image: max(self._model.weight(tail.image, image) for tail in tails),
        )
