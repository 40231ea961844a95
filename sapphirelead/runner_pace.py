"""How fast filling tasks may work beside tasks that serve, decided from the newest tail figures.

The pattern that this answers: some filling images hardly disturb a serving image, others drive its
tail to several times its target within half a second, and nobody declares which.  The worker
reports a tail each half second, and after a change the tail moves to its new value over about a
second.

Each filling image on a worker has a level.  While the worst tail is above its aim, the levels of
the images that are to blame for it are lowered by the square of how far it is above; an image that
has just begun is blamed first, then by what has been learnt of the pair.  While the worst tail is
below its aim, levels are given back in proportion, the slower the more an image presses.
"""

from dataclasses import dataclass, replace
from typing import Final

from sapphirelead.policy_interference import InterferenceModel, ServiceReport

AIM: Final = 0.75
"""Share of its target at which the worst tail is held.  Load swings by half within seconds; a task
over its target costs its users about four times what the filling work beside it gains."""
GIVE_BACK: Final = 1.0
"""Level given back in one step for a tail that is the whole target below its aim.  On a model
of a worker 0.6 left filling work a twentieth less; 1.5 let tails over their targets a fifth more
often."""
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
is met earlier, one on its way down is not cut for again.  On a model of a worker whose pairs and
load drift, 0.035 serving tasks were over target on average instead of 0.097, with 9.6 and 9.7 cores
for filling work; on 13 played days a tenth less, and a tenth more of the filling jobs in time."""
TREND_S: Final = 1.5
"""A change over a longer time says nothing about the next half second."""
NEW_S: Final = 1.2
"""An image that began within this time, two lists, is blamed for a tail that rises."""
BLAME_SHARE: Final = 0.25
"""Share of the pressure on the worst tail from which on an image is slowed."""
ONE_RATE: Final = 1.0
"""Workers report no request rates; the load counts as noise of the tail."""


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


class PaceControl:
    """The levels of the filling images on one worker.

    :ivar worst: worst tail, continued by its trend, as a share of its target.
    """

    worst: float
    _model: InterferenceModel
    _levels: dict[str, float]
    _began: dict[str, float]
    _changed_at: float
    _before: dict[str, int]

    def __init__(self) -> None:
        self.worst = 0.0
        self._model = InterferenceModel(DRIFT_VARIANCE)
        self._levels = {}
        self._began = {}
        self._changed_at = -1e9
        self._before = {}

    def percent(self, image: str) -> int:
        """Return the pace of an image in whole percent."""
        return round(self._levels.get(image, FIRST if self.worst else 1.0) * 100)

    def update(self, tails: list[Tail], filling: dict[str, float], at: float) -> None:
        """Take the newest tails.

        :param filling: by filling image, the share of the worker's processors that it used.
        """
        if not tails:
            self.worst = 0.0
            self._levels = dict.fromkeys(filling, 1.0)
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
        if self.worst > AIM:
            self._cut(worst, filling, at)
        if self.worst < OVER:
            self._give_back(tails, at)

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
