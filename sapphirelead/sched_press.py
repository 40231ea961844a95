"""How filling work presses on the tails of serving tasks, learnt over all workers.

The pattern that this answers: nearly every worker serves, so filling work cannot be kept apart from
serving tasks; but most pairs of images hardly disturb each other while some multiply a tail.  And
the load of a serving job swings by three times within twenty seconds without any filling work.
Judged on one worker alone, each rise of the load is laid at the door of whatever fills there.

So tails are compared between workers.  The tasks of one serving job share its load wherever they
run; what they differ by at a moment is the load that is added beside them
(:mod:`sapphirelead.policy_pressure`).  Each report gives, for each serving job on the worker, the
difference of its load to that of the same job on other workers, and corrects the weights of the
pairs by it: a Kalman filter with a diagonal covariance for each serving image.
"""

import statistics
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.node_messages import ServingPress
from sapphirelead.policy_pressure import USED_SHARE, Room, added_load, allot, load_of
from sapphirelead.sched_fleet import Instance

UNKNOWN_PRESS: Final = 1.2
"""Assumed weight of a filling image of which nothing is known: between the light pairs (under 0.4)
and the heavy ones (up to 3)."""

NEW_VARIANCE: Final = 4.0
"""Variance of such an assumption: one report of a task on a tenth of a worker tells more."""

DRIFT_VARIANCE: Final = 0.0004
"""Variance that an estimate gains with each report, so that it follows a program that changes."""

NOISE: Final = 0.06
"""Load by which the tasks of one job differ between workers without any cause, as logged."""

IDLE_SHARE: Final = 0.25
"""Tail without any load, as a share of the target, until a lower one has been seen.  A leader that
takes over while all loads are high would else take them for none."""

KNOWN_AFTER: Final = 3
"""Reports of a pair after which its weight tells of other pairs of the filling image."""

FRESH_S: Final = 1.6
"""A reading of another worker that is older says nothing of the load now: one full report and a
half."""

SETTLED_S: Final = 1.5
"""A serving task that began after the others of its job starts up for so long: its tail is low,
whatever is beside it."""

SURPRISE: Final = 3.0
"""Standard deviations up to which a report corrects a weight: a worker that turns slow multiplies
its tails, and one such report must not make light pairs heavy."""

LEAST_SHARE: Final = 0.001
"""Least share of a worker that a filling task is taken to use."""

AHEAD_S: Final = 2.0
"""How far ahead a rising load is continued for placing: half of the time of most filling tasks."""

TREND_S: Final = 2.5
"""Time over which the trend of a job's load is taken."""

MOST_RISE: Final = 0.2
"""Most that is added for a rising load."""

GroupKey = tuple[str, int, int]
"""A step of one occurrence of a job: its tasks share their load."""


@dataclass(slots=True)
class _Pair:
    weight: float
    variance: float = NEW_VARIANCE
    reports: int = 0


@dataclass(frozen=True, slots=True)
class _Reading:
    """Load of a job's tasks on one worker.

    :ivar own: what its users bring.
    :ivar added: what filling work adds; the error of the weights is in ``own`` with it.
    """

    at: float
    own: float
    added: float

    @property
    def trust(self) -> float:
        """Weight of the reading beside those of other workers."""
        return 1 / (NOISE + self.added)


@dataclass(frozen=True, slots=True)
class _Beside:
    """The loads to expect on one instance, kept until its next report or change of runs.

    Each filling task that looks for a place asks about every worker, hundreds of them several times
    a second; going through the runs anew each time took a third of a busy leader's time.

    :ivar changes: the instance's count of changes at that time.
    :ivar rooms: for each serving image the task that leaves the least room.
    :ivar wanted: by filling image, the share of the processors that it would use at full pace.
    :ivar used: the share that all of them are likely to use.
    :ivar paces: what has been worked out, by image and size.
    """

    changes: int
    rooms: list[Room]
    wanted: dict[str, float]
    used: float
    paces: dict[tuple[str, int], float] = field(default_factory=dict)


class PressModel:
    """Learnt pressure of filling images on serving images.

    :ivar idle_ms: tail of each serving image without any load: the lowest that was seen.
    """

    idle_ms: dict[str, float]
    _pairs: dict[tuple[str, str], _Pair]
    _groups: dict[GroupKey, dict[str, _Reading]]
    _history: dict[GroupKey, deque[tuple[float, float]]]
    _began: dict[GroupKey, float]
    _shares: dict[str, Mapping[str, float]]
    _beside: dict[str, _Beside]

    def __init__(self) -> None:
        self.idle_ms = {}
        self._pairs = {}
        self._groups = {}
        self._history = {}
        self._began = {}
        self._shares = {}
        self._beside = {}

    def learn(self, instance: Instance, at: float) -> None:
        """Take the tails of an instance's newest report."""
        shares = _intensities(instance)
        before = self._shares.get(instance.agent, shares)
        self._shares[instance.agent] = shares
        # A tail follows what is beside it within about a second, the time between two reports.
        lagged = {
            image: (shares.get(image, 0.0) + before.get(image, 0.0)) / 2
            for image in shares.keys() | before.keys()
        }
        for key, (image, tail_ms) in self._tails(instance, at).items():
            load = load_of(tail_ms, self.idle_ms[image])
            self._learn_group(key, image, instance.agent, load, lagged, at)

    def _tails(self, instance: Instance, at: float) -> dict[GroupKey, tuple[str, float]]:
        """Return for each serving step on an instance its image and the tail of its tasks."""
        found: dict[GroupKey, list[int]] = {}
        images: dict[GroupKey, str] = {}
        for run in instance.runs.values():
            if not run.shows_tail or run.figure == 0:
                continue
            key, image = run.ref[:3], run.step.image
            known = self.idle_ms.get(image, IDLE_SHARE * run.step.target_ms)
            self.idle_ms[image] = min(float(run.figure), known)
            began = self._began.setdefault(key, run.running_at)
            if run.running_at - began < SETTLED_S or at - run.running_at >= SETTLED_S:
                found.setdefault(key, []).append(run.figure)
                images[key] = image
        return {key: (images[key], statistics.median(tails)) for key, tails in found.items()}

    def _learn_group(
        self,
        key: GroupKey,
        image: str,
        agent: str,
        load: float,
        shares: Mapping[str, float],
        at: float,
    ) -> None:
        readings = self._groups.setdefault(key, {})
        before = readings.pop(agent, None)
        own = _own_load(readings, at)
        if own is None and before is not None:
            # The job runs nowhere else; its load a second ago has to do.
            own = _own_load({agent: before}, at)
        if own is not None:
            self._correct(image, shares, load - own)
        added = added_load(image, shares, self.weight)
        readings[agent] = _Reading(at, load - added, added)
        history = self._history.setdefault(key, deque())
        history.append((at, load - added))
        while at - history[0][0] > TREND_S:
            history.popleft()

    def _correct(self, serving: str, shares: Mapping[str, float], seen: float) -> None:
        """Correct the weights of the pairs by the load that is seen to be added."""
        present = {image: share for image, share in shares.items() if share > 0}
        if not present:
            return
        pairs = {image: self._pair(serving, image) for image in present}
        expected = sum(pairs[image].weight * share for image, share in present.items())
        spread = sum(pairs[image].variance * share**2 for image, share in present.items())
        total = NOISE**2 + spread
        most = SURPRISE * total**0.5
        error = min(max(seen - expected, -most), most)
        for image, share in present.items():
            pair = pairs[image]
            gain = pair.variance * share / total
            pair.weight = max(0.0, pair.weight + gain * error)
            pair.variance = pair.variance * (1 - gain * share) + DRIFT_VARIANCE
            pair.reports += 1

    def _pair(self, serving: str, filling: str) -> _Pair:
        found = self._pairs.get((serving, filling))
        if found is None:
            found = self._pairs[serving, filling] = _Pair(self._assumed(filling))
        return found

    def _assumed(self, filling: str) -> float:
        """Return what to expect of a filling image beside a serving image that is new to it.

        An image that presses on some serving images mostly presses on others too.
        """
        known = [
            pair.weight
            for (_, image), pair in self._pairs.items()
            if image == filling and pair.reports >= KNOWN_AFTER
        ]
        return statistics.fmean(known) if known else UNKNOWN_PRESS

    def knows(self, filling: str) -> bool:
        """Return whether a filling image has been seen beside some serving image."""
        return any(
            image == filling and pair.reports >= KNOWN_AFTER
            for (_, image), pair in self._pairs.items()
        )

    def weight(self, serving: str, filling: str) -> float:
        """Return the load to expect if ``filling`` took the whole worker."""
        found = self._pairs.get((serving, filling))
        return found.weight if found is not None else self._assumed(filling)

    def press_on(self, instance: Instance) -> list[ServingPress]:
        """Return what is known or assumed of the pairs of images on an instance."""
        serving = {run.step.image for run in instance.runs.values() if run.step.target_ms}
        filling = {run.step.image for run in instance.runs.values() if run.step.fills}
        found = []
        for one in sorted(serving & self.idle_ms.keys()):
            weights = {other: round(self.weight(one, other), 3) for other in filling}
            found.append(ServingPress(one, self.idle_ms[one], weights))
        return found

    def pace_beside(self, instance: Instance, image: str, cpu_millicores: int) -> float:
        """Return the pace that is won by one more filling task there, from 0 to 1.

        What it takes from other filling work there does not count: light work that drove heavier
        out was followed by 170 to 190 moves a day of runs that stood still.
        """
        known = self._beside.get(instance.agent)
        if known is None or known.changes != instance.changes:
            known = self._beside[instance.agent] = self._look(instance)
        pace = known.paces.get((image, cpu_millicores))
        if pace is None:
            share = max(_share(cpu_millicores, instance), LEAST_SHARE)
            wanted = {**known.wanted, image: known.wanted.get(image, 0.0) + share}
            levels = allot(known.rooms, wanted, self.weight)
            used = sum(level * wanted[other] for other, level in levels.items())
            pace = max(0.0, used - known.used) / share
            known.paces[image, cpu_millicores] = pace
        return pace

    def _look(self, instance: Instance) -> _Beside:
        """Work out what the newest report and the runs of an instance say of its tails."""
        wanted: dict[str, float] = {}
        rooms: dict[str, Room] = {}
        for run in instance.runs.values():
            image = run.step.image
            if run.step.fills:
                share = _share(run.step.cpu_millicores, instance)
                wanted[image] = wanted.get(image, 0.0) + share
            elif run.shows_tail and image in self.idle_ms:
                most = load_of(run.step.target_ms, self.idle_ms[image])
                room = Room(image, self._own(run.ref[:3], instance), most)
                known = rooms.get(image)
                if known is None or room.most - room.own < known.most - known.own:
                    rooms[image] = room
        levels = allot(list(rooms.values()), wanted, self.weight)
        used = sum(level * wanted[image] for image, level in levels.items())
        return _Beside(instance.changes, list(rooms.values()), wanted, used)

    def _own(self, key: GroupKey, instance: Instance) -> float:
        """Return the load that a job's users are likely to bring while a filling task works."""
        reading = self._groups.get(key, {}).get(instance.agent)
        if reading is None:
            return 0.0
        return reading.own + _rise(self._history.get(key, deque()))

    def forget(self, job_id: str) -> None:
        """Drop the readings of a job that is no longer kept."""
        for key in [key for key in self._groups if key[0] == job_id]:
            del self._groups[key]
            self._history.pop(key, None)
            self._began.pop(key, None)


def _own_load(readings: Mapping[str, _Reading], at: float) -> float | None:
    """Return what the users of a job bring, as workers show it; ``None`` for unknown.

    The weighted median: readings from which much was taken off count for less, since its error
    stays in them, and a worker that stands still shows hundreds of times the tail of the others.
    """
    fresh = [reading for reading in readings.values() if at - reading.at <= FRESH_S]
    half = sum(reading.trust for reading in fresh) / 2
    passed = 0.0
    for reading in sorted(fresh, key=lambda item: item.own):
        passed += reading.trust
        if passed >= half:
            return reading.own
    return None


def _rise(history: Sequence[tuple[float, float]]) -> float:
    """Return by how much a load is likely to rise: its newer half against its older one."""
    half = len(history) // 2
    if half < 1:
        return 0.0
    points = list(history)
    old_at, old = (statistics.fmean(column) for column in zip(*points[:half], strict=True))
    new_at, new = (statistics.fmean(column) for column in zip(*points[half:], strict=True))
    if new_at - old_at < TREND_S / 4:
        return 0.0
    return min(max((new - old) / (new_at - old_at) * AHEAD_S, 0.0), MOST_RISE)


def _share(cpu_millicores: int, instance: Instance) -> float:
    """Return the share of the worker's processors that a filling task uses at full pace."""
    return USED_SHARE * cpu_millicores / max(1, instance.capacity_cpu)


def _intensities(instance: Instance) -> Mapping[str, float]:
    """Return the share of the worker's processors that each filling image used lately."""
    found: dict[str, float] = {}
    capacity = max(1, instance.capacity_cpu)
    for run in instance.runs.values():
        if run.step.fills and run.figure > 0:
            found[run.step.image] = found.get(run.step.image, 0.0) + run.figure / capacity
    return found
