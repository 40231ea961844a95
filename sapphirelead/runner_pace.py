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
from sapphirelead.policy_pressure import (
    LoadBudget,
    WeightLookup,
    added_load,
    allocate_levels,
    load_from_tail,
)

AIM: Final = 0.75
"""Share of its target at which the worst tail is held.  Load swings by half within seconds; a task
over its target costs its users about four times what the filling work beside it gains."""
GIVE_BACK: Final = 1.0
"""Level given back in one step for a tail that is the whole target below its aim: less leaves
filling work held back, more brings tails over their targets."""
OVER: Final = 1.0
"""Share of its target from which on all images to blame are slowed at once."""
DEEPEST_CUT: Final = 0.15
LEAST: Final = 0.04
"""A lower level stops the work altogether; the memory stays allocated."""
FIRST: Final = 0.25
"""Level at which an image begins beside serving tasks: its effect is not known yet."""
STEP_S: Final = 0.4
"""Least time between two changes: an earlier figure does not show the last change yet."""
LIGHT_STEP: Final = 0.12
"""Level that the lightest image gets back in each report: from half to full in two seconds."""
DRIFT_VARIANCE: Final = 0.5
"""Variance that an estimate gains with each report, twice a second: what pairs do to each other
changes within seconds."""
AHEAD_S: Final = 0.5
"""How far ahead a tail is continued by its change.  A tail goes about half of its way to a new
value in half a second, so this is where it settles if nothing changes any more: one on its way up
is met earlier, one on its way down is not cut for again."""
TREND_S: Final = 1.5
"""A change over a longer time says nothing about the next half second."""
NEW_S: Final = 1.2
"""An image that began within this time, two lists, is blamed for a tail that rises."""
BLAME_SHARE: Final = 0.25
"""Share of the pressure on the worst tail from which on an image is slowed."""
ONE_RATE: Final = 1.0
"""Workers report no request rates; the load counts as noise of the tail."""
LONG_OVER_S: Final = 0.8
"""Time over a target, two steps, after which known images are cut by what is measured as well.  A
single task's tail often jumps and falls again within a second by itself."""
HALF_WAY_S: Final = 0.4
"""Time in which a tail goes half of its way to a new value."""
OWN_AHEAD_S: Final = 0.8
"""How far ahead the load of a task's users is continued: the age of the figure and the time until a
new pace works."""
MOST_RISE: Final = 0.1
"""Most that is added by such a continuation."""
RISE: Final = 0.35
"""Most that the level of a known image rises in one step."""


@dataclass(frozen=True, slots=True)
class Tail:
    """Newest tail of a serving task, with its target, both in milliseconds."""

    task: str
    image: str
    figure_ms: int
    target_ms: int

    @property
    def share(self) -> float:
        """The tail as a share of its target."""
        return self.figure_ms / self.target_ms


class OwnLoads:
    """What the users of the serving tasks on a worker bring, without the filling work beside them.

    The load of a serving job swings over some twenty seconds; taken by itself, without what filling
    work adds, it can be continued by its trend.
    """

    _used: dict[str, float]
    _seen: dict[str, deque[tuple[float, float]]]
    _at: float

    def __init__(self) -> None:
        self._used = {}
        self._seen = {}
        self._at = -1e9

    def see(
        self,
        loads: Mapping[str, float],
        images: Mapping[str, str],
        filling: Mapping[str, float],
        weight: WeightLookup,
        at: float,
    ) -> None:
        """Take the newest loads and the shares that filling images used."""
        keep = 0.5 ** ((at - self._at) / HALF_WAY_S)
        self._at = at
        self._used = {
            image: keep * self._used.get(image, 0.0) + (1 - keep) * filling.get(image, 0.0)
            for image in self._used.keys() | filling.keys()
        }
        found: dict[str, list[float]] = {}
        for task, load in loads.items():
            own = load - added_load(images[task], self._used, weight)
            found.setdefault(_job_of(task), []).append(max(own, 0.0))
        for job, owns in found.items():
            # The median of the job's tasks here, because single tails jump.
            seen = self._seen.setdefault(job, deque())
            seen.append((at, statistics.median(owns)))
            while at - seen[0][0] > TREND_S:
                seen.popleft()
        for job in [job for job in self._seen if job not in found]:
            del self._seen[job]

    def ahead(self, task: str) -> float:
        """Return the load to expect without filling work."""
        seen = self._seen[_job_of(task)]
        first_at, first = seen[0]
        last_at, last = seen[-1]
        if last_at - first_at < STEP_S:
            return last
        rise = (last - first) / (last_at - first_at) * OWN_AHEAD_S
        return last + min(max(rise, 0.0), MOST_RISE)


def _job_of(task: str) -> str:
    """Return what the tasks of one step have in common."""
    return task.rsplit(".", 1)[0]


class PaceControl:
    """The levels of the filling images on one worker.

    :ivar worst: worst tail, continued by its trend, as a share of its target.
    """

    worst: float
    _told: dict[tuple[str, str], float]
    _idle_ms: dict[str, float]
    _own: OwnLoads
    _known: dict[str, float]
    _rooms: list[LoadBudget]
    _over_since: float
    _model: InterferenceModel
    _levels: dict[str, float]
    _began: dict[str, float]
    _changed_at: float
    _before: dict[str, int]

    def __init__(self) -> None:
        self.worst = 0.0
        self._told = {}
        self._idle_ms = {}
        self._own = OwnLoads()
        self._known = {}
        self._rooms = []
        self._over_since = -1e9
        self._model = InterferenceModel(DRIFT_VARIANCE)
        self._levels = {}
        self._began = {}
        self._changed_at = -1e9
        self._before = {}

    def percent(self, image: str) -> int:
        """Return the pace of an image in whole percent."""
        level = self._levels.get(image, FIRST if self.worst else 1.0)
        return round(self._known.get(image, level) * 100)

    def begin(self, image: str, wanted: Mapping[str, float]) -> None:
        """Set the level of an image that begins, where its pressure on all tails is known.

        Begun at the level of unknown images it would lose a second of its time.
        """
        if image in self._known or image in self._levels or not self._rooms:
            return
        if all((room.image, image) in self._told for room in self._rooms):
            self._known[image] = allocate_levels(self._rooms, wanted, self._weight).get(
                image, FIRST
            )

    def learn(self, press: Sequence[ServingPress]) -> None:
        """Take over what the fleet has learnt of pairs of images."""
        for serving in press:
            self._idle_ms[serving.image] = serving.idle_ms
            for filling, weight in serving.weights.items():
                self._told[serving.image, filling] = weight

    def update(
        self,
        tails: list[Tail],
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
            self._known = {}
            self._rooms = []
            return
        for image in [image for image in self._levels if image not in filling]:
            del self._levels[image]
            self._began.pop(image, None)
        for image in filling:
            self._levels.setdefault(image, FIRST)
            self._began.setdefault(image, at)
        if at - self._changed_at < STEP_S:
            return
        ahead = self._look_ahead(tails, at)
        self._changed_at = at
        worst = max(ahead, key=lambda tail: tail.share)
        self.worst = worst.share
        for tail in tails:
            report = ServiceReport(tail.image, ONE_RATE, float(tail.figure_ms), 1)
            self._model.learn(report, filling)
        if self.worst < OVER:
            self._over_since = at
        if self.worst > AIM:
            self._cut(worst, filling, at)
        if self.worst < OVER:
            self._give_back(tails, at)
        self._allot(tails, filling, wanted or {}, at)

    def _allot(
        self,
        tails: list[Tail],
        filling: Mapping[str, float],
        wanted: Mapping[str, float],
        at: float,
    ) -> None:
        """Give the images whose pressure on all tails here is known what these bear."""
        told = {tail.task: tail for tail in tails if tail.image in self._idle_ms}
        loads = {
            task: load_from_tail(tail.figure_ms, self._idle_ms[tail.image])
            for task, tail in told.items()
        }
        images = {task: tail.image for task, tail in told.items()}
        self._own.see(loads, images, filling, self._weight, at)
        self._rooms = []
        for task, tail in told.items():
            most = load_from_tail(tail.target_ms, self._idle_ms[tail.image])
            self._rooms.append(LoadBudget(tail.image, self._own.ahead(task), most))
        known = {
            image: share
            for image, share in wanted.items()
            if all((tail.image, image) in self._told for tail in tails)
        }
        before = self._known
        over_s = at - self._over_since if self.worst >= OVER else 0.0
        self._known = allocate_levels(self._rooms, known, self._weight)
        for image, level in self._known.items():
            # A tail follows within a second, so a level comes back in steps.
            level = min(level, before.get(image, 1.0) + RISE)
            if over_s >= LONG_OVER_S:
                # A pair that was learnt wrong shows as a tail that stays over its target: then
                # what is measured here decides.
                level = min(level, self._levels.get(image, 1.0))
            self._known[image] = self._levels[image] = level

    def _weight(self, serving: str, filling: str) -> float:
        """Return the told weight of a pair; what is not told stays in the load of the users."""
        return self._told.get((serving, filling), 0.0)

    def _look_ahead(self, tails: list[Tail], at: float) -> list[Tail]:
        """Return where the tails are going, by their change since the last step."""
        passed_s = at - self._changed_at
        found = []
        for tail in tails:
            before = self._before.get(tail.task)
            figure = tail.figure_ms
            if before is not None and passed_s <= TREND_S:
                figure = max(0, round(figure + (figure - before) / passed_s * AHEAD_S))
            found.append(replace(tail, figure_ms=figure))
        self._before = {tail.task: tail.figure_ms for tail in tails}
        return found

    def _cut(self, worst: Tail, filling: dict[str, float], at: float) -> None:
        factor = max(DEEPEST_CUT, (AIM / worst.share) ** 2)
        blamed = self._blamed(worst, filling, at)
        if worst.share < OVER:
            # One image at a time: slowed together, two of them would never be told apart.
            blamed = blamed[:1]
        for image in blamed:
            level = self._levels[image] * factor
            self._levels[image] = level if level >= LEAST else 0.0

    def _blamed(self, worst: Tail, filling: dict[str, float], at: float) -> list[str]:
        """Return the images that press on the worst tail, the one that presses most first."""
        press = {
            image: self._model.weight(worst.image, image) * max(share, LEAST)
            for image, share in filling.items()
            if self._levels[image] > 0
        }
        ranked = sorted(press, key=lambda image: -press[image])
        new = [image for image in ranked if at - self._began[image] <= NEW_S]
        total = sum(press.values())
        if total <= 0:
            return new or ranked
        known = [image for image in ranked if press[image] >= BLAME_SHARE * total]
        return new + [image for image in known if image not in new]

    def _give_back(self, tails: list[Tail], at: float) -> None:
        lightest = self._lightest(tails) if len(self._levels) > 1 else ""
        for image, level in self._levels.items():
            press = max(self._model.weight(tail.image, image) for tail in tails)
            step = max(0.0, GIVE_BACK * (AIM - self.worst) / (1 + press / 4))
            if image == lightest and at - self._began[image] > NEW_S:
                step = max(step, LIGHT_STEP)
            self._levels[image] = min(1.0, level + step)

    def _lightest(self, tails: list[Tail]) -> str:
        """Return the image that presses least on any of the tails.

        Beside an image that presses, the tail stands at its aim, and one that does not press would
        never get its level back.  Raising only the lightest also tells them apart: where its rise
        shows in no tail, the others are to blame for what is there.
        """
        return min(
            self._levels,
            key=lambda image: max(self._model.weight(tail.image, image) for tail in tails),
        )
