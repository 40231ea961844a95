"""How filling work presses on the tails of serving tasks, learnt over all workers for placement.

The pattern that this answers: nearly every worker serves, so filling work cannot be kept apart from
serving tasks; but some pairs of images hardly disturb each other while others do within a second.
Each report of a worker shows the tails beside the filling work that was there; one model for the
fleet learns from all of them which pairs press.  On a calm day whose workers all served, tails
stood at a quarter of their targets on workers that were left without filling work.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from sapphirelead.policy_interference import InterferenceModel, ServiceReport
from sapphirelead.sched_fleet import Instance

UNKNOWN_PRESS: Final = 12.0
"""Assumed growth of a serving task's tail if a filling image that has not been seen beside it took
the whole worker.  Pairs that press showed 5 to 25, others under 1; so a new pair is tried with one
task where the tail is low."""

KNOWN_AFTER: Final = 3
"""Reports of a pair after which its estimate is used instead."""

LIMIT: Final = 0.75
"""Predicted tail as a share of its target up to which filling work is added.  Load swings by half
within seconds, and the agent's pacing begins at 0.85."""

ONE_RATE: Final = 1.0
"""Workers do not report request rates; the load counts as noise of the tail."""


@dataclass(frozen=True, slots=True)
class _Beside:
    """The tails on one instance, kept until its next report or change of runs.

    Each filling task that looks for a place asks about every worker, hundreds of them several times
    a second; going through the runs anew each time took a third of a busy leader's time.

    :ivar changes: the instance's count of changes at that time.
    :ivar tails: for each serving image its worst tail as a share of the target, and the growth that
        is expected of the filling work now beside it.
    :ivar unseen_factor: growth to expect of filling work that no report shows yet.
    """

    changes: int
    tails: list[tuple[str, float, float]]
    unseen_factor: float


class PressModel:
    """Learnt pressure of filling images on serving images."""

    _model: InterferenceModel
    _seen: dict[tuple[str, str], int]
    _beside: dict[str, _Beside]

    def __init__(self) -> None:
        self._model = InterferenceModel()
        self._seen = {}
        self._beside = {}

    def learn(self, instance: Instance) -> None:
        """Take the tails of an instance's newest report."""
        serving = [run for run in instance.runs.values() if run.shows_tail]
        if not serving:
            return
        beside = _intensities(instance)
        for run in serving:
            report = ServiceReport(run.step.image, ONE_RATE, float(run.figure), 1)
            self._model.learn(report, beside)
            for image in beside:
                pair = (run.step.image, image)
                self._seen[pair] = self._seen.get(pair, 0) + 1

    def worst_tail(self, instance: Instance, image: str, cpu_millicores: int) -> float:
        """Return the worst tail to expect, as a share of its target, with one more filling task."""
        known = self._beside.get(instance.agent)
        if known is None or known.changes != instance.changes:
            known = self._beside[instance.agent] = self._look(instance)
        added = cpu_millicores / max(1, instance.capacity_cpu)
        worst = 0.0
        for serving, tail, expected in known.tails:
            worst = max(worst, tail * (1 + self._press(serving, image) * added / expected))
        return worst * known.unseen_factor

    def _look(self, instance: Instance) -> _Beside:
        """Work out what the newest report and the runs of an instance say of its tails."""
        worst: dict[str, float] = {}
        for run in instance.runs.values():
            if run.shows_tail:
                tail = run.figure / run.step.target_ms
                worst[run.step.image] = max(tail, worst.get(run.step.image, 0.0))
        beside = _intensities(instance) if worst else {}
        tails = [(image, tail, self._model.predict(image, beside)) for image, tail in worst.items()]
        # Tasks that were added since the last report do not show in its tails yet.
        unseen = instance.unseen_fill_cpu / max(1, instance.capacity_cpu)
        return _Beside(instance.changes, tails, 1 + UNKNOWN_PRESS * unseen)

    def _press(self, serving: str, filling: str) -> float:
        if self._seen.get((serving, filling), 0) < KNOWN_AFTER:
            return UNKNOWN_PRESS
        return self._model.weight(serving, filling)


def _intensities(instance: Instance) -> Mapping[str, float]:
    """Return the share of the worker's processors that each filling image used lately."""
    found: dict[str, float] = {}
    capacity = max(1, instance.capacity_cpu)
    for run in instance.runs.values():
        if run.step.fills and run.figure > 0:
            found[run.step.image] = found.get(run.step.image, 0.0) + run.figure / capacity
    return found
