"""How fast filling tasks may work beside tasks that serve, decided from the newest tail figures.

The pattern that this answers: some filling images hardly disturb a serving image, others drive its
tail to several times its target within half a second, and nobody declares which.  The worker
reports a tail each half second, and after a change the tail moves to its new value over about a
second.

Each filling image on a worker has a level.  Where the leader has told how an image presses on all
that serves here, the level follows from that: what the tails bear beside the load of their own
users, which is what they show less what filling work adds (:mod:`sapphirelead.policy_pressure`).

Other images, and all of them while a tail stays over its target, are held by what is measured here
alone.  While the worst tail is above its aim, the levels of the images that are to blame for it are
lowered by the square of how far it is above; an image that has just begun is blamed first, then by
what has been learnt of the pair.  While the worst tail is below its aim, levels are given back in
proportion, the slower the more an image presses.
"""

import statistics
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Final

from sapphirelead.node_messages import ServingPress
from sapphirelead.policy_interference import InterferenceModel, ServiceReport
from sapphirelead.policy_pressure import Room, Weight, added_load, allot, load_of

SETPOINT_SHARE: Final = 0.75
"""Share of its target at which the worst tail is held.  Load swings by half within seconds; a task
over its target costs its users about four times what the filling work beside it gains."""
RESTORE_GAIN: Final = 1.0
"""Level given back in one step for a tail that is the whole target below its aim: less leaves
filling work held back, more brings tails over their targets."""
OVERLOAD_SHARE: Final = 1.0
"""Share of its target from which on all images to blame are slowed at once."""
MIN_CUT_FACTOR: Final = 0.15
MIN_LEVEL: Final = 0.04
"""A lower level stops the work altogether; the memory stays allocated."""
INITIAL_LEVEL: Final = 0.25
"""Level at which an image begins beside serving tasks: its effect is not known yet."""
MIN_UPDATE_INTERVAL_S: Final = 0.4
"""Least time between two changes: an earlier figure does not show the last change yet."""
LIGHTEST_RESTORE_STEP: Final = 0.12
"""Level that the lightest image gets back in each report: from half to full in two seconds."""
DRIFT_VARIANCE: Final = 0.5
"""Variance that an estimate gains with each report, twice a second: what pairs do to each other
changes within seconds."""
TAIL_PREDICTION_S: Final = 0.5
"""How far ahead a tail is continued by its change.  A tail goes about half of its way to a new
value in half a second, so this is where it settles if nothing changes any more: one on its way up
is met earlier, one on its way down is not cut for again."""
TREND_WINDOW_S: Final = 1.5
"""A change over a longer time says nothing about the next half second."""
NEW_IMAGE_S: Final = 1.2
"""An image that began within this time, two lists, is blamed for a tail that rises."""
MIN_CONTRIBUTION_SHARE: Final = 0.25
"""Share of the pressure on the worst tail from which on an image is slowed."""
UNIT_RATE: Final = 1.0
"""Workers report no request rates; the load counts as noise of the tail."""
SUSTAINED_OVERLOAD_S: Final = 0.8
"""Time over a target, two steps, after which known images are cut by what is measured as well.  A
single task's tail often jumps and falls again within a second by itself."""
USAGE_HALF_LIFE_S: Final = 0.4
"""Time in which a tail goes half of its way to a new value."""
LOAD_PREDICTION_S: Final = 0.8
"""How far ahead the load of a task's users is continued: the age of the figure and the time until a
new pace works."""
MAX_PREDICTED_RISE: Final = 0.1
"""Most that is added by such a continuation."""
MAX_LEVEL_RISE: Final = 0.35
"""Most that the level of a known image rises in one step."""


@dataclass(frozen=True, slots=True)
class TailLatency:
    """Newest tail of a serving task, with its target, both in milliseconds."""

    task: str
    image: str
    latency_ms: int
    target_ms: int

    @property
    def share(self) -> float:
        """The tail as a share of its target."""
        return self.latency_ms / self.target_ms


class BaselineLoads:
    """What the users of the serving tasks on a worker bring, without the filling work beside them.

    The load of a serving job swings over some twenty seconds; taken by itself, without what filling
    work adds, it can be continued by its trend.
    """

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
        weight: Weight,
        at: float,
    ) -> None:
        """Take the newest loads and the shares that filling images used."""
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
            # The median of the job's tasks here, because single tails jump.
            history = self._history.setdefault(job, deque())
            history.append((at, statistics.median(baseline_loads)))
            while at - history[0][0] > TREND_WINDOW_S:
                history.popleft()
        for job in [job for job in self._history if job not in found]:
            del self._history[job]

    def predicted(self, task: str) -> float:
        """Return the load to expect without filling work."""
        history = self._history[_job_of(task)]
        first_at, first = history[0]
        last_at, last = history[-1]
        if last_at - first_at < MIN_UPDATE_INTERVAL_S:
            return last
        rise = (last - first) / (last_at - first_at) * LOAD_PREDICTION_S
        return last + min(max(rise, 0.0), MAX_PREDICTED_RISE)


def _job_of(task: str) -> str:
    """Return what the tasks of one step have in common."""
    return task.rsplit(".", 1)[0]


class PaceControl:
    """The levels of the filling images on one worker.

    :ivar worst: worst tail, continued by its trend, as a share of its target.
    """

    worst: float
    _learned_weights: dict[tuple[str, str], float]
    _idle_ms: dict[str, float]
    _baseline: BaselineLoads
    _known_levels: dict[str, float]
    _rooms: list[Room]
    _last_below_target_at: float
    _model: InterferenceModel
    _levels: dict[str, float]
    _started_at: dict[str, float]
    _updated_at: float
    _previous_ms: dict[str, int]

    def __init__(self) -> None:
        self.worst = 0.0
        self._learned_weights = {}
        self._idle_ms = {}
        self._baseline = BaselineLoads()
        self._known_levels = {}
        self._rooms = []
        self._last_below_target_at = -1e9
        self._model = InterferenceModel(DRIFT_VARIANCE)
        self._levels = {}
        self._started_at = {}
        self._updated_at = -1e9
        self._previous_ms = {}

    def percent(self, image: str) -> int:
        """Return the pace of an image in whole percent."""
        level = self._levels.get(image, INITIAL_LEVEL if self.worst else 1.0)
        return round(self._known_levels.get(image, level) * 100)

    def begin(self, image: str, wanted: Mapping[str, float]) -> None:
        """Set the level of an image that begins, where its pressure on all tails is known.

        Begun at the level of unknown images it would lose a second of its time.
        """
        if image in self._known_levels or image in self._levels or not self._rooms:
            return
        if all((room.image, image) in self._learned_weights for room in self._rooms):
            self._known_levels[image] = allot(self._rooms, wanted, self._weight).get(
                image, INITIAL_LEVEL
            )

    def learn(self, interference: Sequence[ServingPress]) -> None:
        """Take over what the fleet has learnt of pairs of images."""
        for serving in interference:
            self._idle_ms[serving.image] = serving.idle_ms
            for filling, weight in serving.weights.items():
                self._learned_weights[serving.image, filling] = weight

    def update(
        self,
        tails: list[TailLatency],
        filling: dict[str, float],
        at: float,
        wanted: Mapping[str, float] | None = None,
    ) -> None:
        """Take the newest tails.

        :param filling: by filling image, the share of the worker's processors that it used.
        :param wanted: the share that it would use at full pace.
        """
        if not tails:
            self.worst = 0.0
            self._levels = dict.fromkeys(filling, 1.0)
            self._known_levels = {}
            self._rooms = []
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
        self._allot(tails, filling, wanted or {}, at)

    def _allot(
        self,
        tails: list[TailLatency],
        filling: Mapping[str, float],
        wanted: Mapping[str, float],
        at: float,
    ) -> None:
        """Give the images whose pressure on all tails here is known what these bear."""
        known_tails = {tail.task: tail for tail in tails if tail.image in self._idle_ms}
        loads = {
            task: load_of(tail.latency_ms, self._idle_ms[tail.image])
            for task, tail in known_tails.items()
        }
        images = {task: tail.image for task, tail in known_tails.items()}
        self._baseline.observe(loads, images, filling, self._weight, at)
        self._rooms = []
        for task, tail in known_tails.items():
            limit = load_of(tail.target_ms, self._idle_ms[tail.image])
            self._rooms.append(Room(tail.image, self._baseline.predicted(task), limit))
        known = {
            image: share
            for image, share in wanted.items()
            if all((tail.image, image) in self._learned_weights for tail in tails)
        }
        before = self._known_levels
        overload_s = at - self._last_below_target_at if self.worst >= OVERLOAD_SHARE else 0.0
        self._known_levels = allot(self._rooms, known, self._weight)
        for image, level in self._known_levels.items():
            # A tail follows within a second, so a level comes back in steps.
            level = min(level, before.get(image, 1.0) + MAX_LEVEL_RISE)
            if overload_s >= SUSTAINED_OVERLOAD_S:
                # A pair that was learnt wrong shows as a tail that stays over its target: then
                # what is measured here decides.
                level = min(level, self._levels.get(image, 1.0))
            self._known_levels[image] = self._levels[image] = level

    def _weight(self, serving: str, filling: str) -> float:
        """Return the told weight of a pair; what is not told stays in the load of the users."""
        return self._learned_weights.get((serving, filling), 0.0)

    def _predict_tails(self, tails: list[TailLatency], at: float) -> list[TailLatency]:
        """Return where the tails are going, by their change since the last step."""
        elapsed_s = at - self._updated_at
        found = []
        for tail in tails:
            before = self._previous_ms.get(tail.task)
            figure = tail.latency_ms
            if before is not None and elapsed_s <= TREND_WINDOW_S:
                figure = max(0, round(figure + (figure - before) / elapsed_s * TAIL_PREDICTION_S))
            found.append(replace(tail, latency_ms=figure))
        self._previous_ms = {tail.task: tail.latency_ms for tail in tails}
        return found

    def _cut(self, worst: TailLatency, filling: dict[str, float], at: float) -> None:
        factor = max(MIN_CUT_FACTOR, (SETPOINT_SHARE / worst.share) ** 2)
        contributors = self._contributors(worst, filling, at)
        if worst.share < OVERLOAD_SHARE:
            # One image at a time: slowed together, two of them would never be told apart.
            contributors = contributors[:1]
        for image in contributors:
            level = self._levels[image] * factor
            self._levels[image] = level if level >= MIN_LEVEL else 0.0

    def _contributors(self, worst: TailLatency, filling: dict[str, float], at: float) -> list[str]:
        """Return the images that press on the worst tail, the one that presses most first."""
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
        """Return the image that presses least on any of the tails.

        Beside an image that presses, the tail stands at its aim, and one that does not press would
        never get its level back.  Raising only the lightest also tells them apart: where its rise
        shows in no tail, the others are to blame for what is there.
        """
        return min(
            self._levels,
            key=lambda image: max(self._model.weight(tail.image, image) for tail in tails),
        )
