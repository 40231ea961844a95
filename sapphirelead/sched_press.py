"""How filling work presses on the tails of serving tasks, learnt over all workers.

The pattern that this answers: nearly every worker serves, so filling work cannot be kept apart from
serving tasks; but most pairs of images hardly disturb each other while some multiply a tail.  And
the load of a serving job swings by three times within twenty seconds without any filling work.
Judged on one worker alone, each rise of the load is laid at the door of whatever fills there.

So tails are compared between workers.  The tasks of one serving job share its load wherever they
run; what they differ by at a moment is the load that is added beside them
(:mod:`sapphirelead.policy_pressure`).  Each report gives, for each serving job on the worker, the
difference of its load to that of the same job on other workers, and the weights of the pairs are
corrected by it (:mod:`sapphirelead.policy_pressure_filter`).
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from sapphirelead.node_messages import ServingPress
from sapphirelead.policy_pressure import USED_SHARE, Allotment, Room, added_load, load_of
from sapphirelead.policy_pressure_filter import PressureFilter
from sapphirelead.policy_pressure_pair import NO_EVIDENCE, Belief, believe
from sapphirelead.policy_pressure_prior import PairPrior
from sapphirelead.sched_fleet import Instance

NOISE: Final = 0.03
"""Load by which the tasks of one job differ between workers without any cause: by the median of a
few tasks, up to half a second apart."""

IDLE_SHARE: Final = 0.25
"""Tail without any load, as a share of the target, until a lower one has been seen.  A leader that
takes over while all loads are high would else take them for none."""

PRIOR_S: Final = 1.0
"""Time between two looks at what the known pairs tell of others."""

KNOWN: Final = 0.9
"""Probability of either kind from which on a pair tells of others."""

FRESH_S: Final = 1.6
"""A reading of another worker that is older says nothing of the load now: one full report and a
half."""

SETTLED_S: Final = 1.5
"""A serving task that began after the others of its job starts up for so long: its tail is low,
whatever is beside it."""

TRANSIENT: Final = 0.2
"""Noise of a load for each share of the worker that its filling work has just taken up or given
back: the tail is still on its way."""

ASTRAY: Final = 0.25
"""A worker whose load, without filling work, is so far from what the others show has trouble of its
own and is no measure for them."""

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


@dataclass(frozen=True, slots=True)
class _Reading:
    """Load of a job's tasks on one worker.

    :ivar load: by the median of their tails.
    :ivar shares: by filling image beside them, the share of the worker that it uses.
    :ivar noise: standard deviation of the load without any cause.
    """

    at: float
    load: float
    shares: Mapping[str, float]
    noise: float


@dataclass(frozen=True, slots=True)
class _Beside:
    """The loads to expect on one instance, kept until its next report or change of runs.

    Each filling task that looks for a place asks about every worker, several times a second, and
    the answer takes a walk through the runs.

    :ivar changes: the instance's count of changes at that time.
    :ivar allotment: what its runs use beside each other.
    :ivar paces: what has been worked out, by image and size.
    :ivar refused: by image and least pace, the smallest size that would get less.
    """

    changes: int
    allotment: Allotment
    paces: dict[tuple[str, int], float] = field(default_factory=dict)
    refused: dict[tuple[str, float], int] = field(default_factory=dict)


class PressModel:
    """Learnt pressure of filling images on serving images.

    :ivar idle_ms: tail of each serving image without any load: the lowest that was seen.
    """

    idle_ms: dict[str, float]
    _filters: dict[str, PressureFilter]
    _groups: dict[GroupKey, dict[str, _Reading]]
    _history: dict[GroupKey, deque[tuple[float, float]]]
    _began: dict[GroupKey, float]
    _shares: dict[str, Mapping[str, float]]
    _beside: dict[str, _Beside]
    _prior: PairPrior
    _prior_at: float
    _beliefs: dict[str, dict[str, Belief]]
    _known: frozenset[str]

    def __init__(self) -> None:
        self.idle_ms = {}
        self._filters = {}
        self._groups = {}
        self._history = {}
        self._began = {}
        self._shares = {}
        self._beside = {}
        self._prior = PairPrior({})
        self._prior_at = -math.inf
        self._beliefs = {}
        self._known = frozenset()

    def learn(self, instance: Instance, at: float) -> None:
        """Take the tails of an instance's newest report."""
        shares = _intensities(instance)
        before = self._shares.get(instance.agent, shares)
        self._shares[instance.agent] = shares
        # A tail follows what is beside it within about a second, the time between two reports.
        images = shares.keys() | before.keys()
        lagged = {image: (shares.get(image, 0.0) + before.get(image, 0.0)) / 2 for image in images}
        moved = sum(abs(shares.get(image, 0.0) - before.get(image, 0.0)) for image in images)
        noise = NOISE + TRANSIENT * moved
        self._look_at_pairs(at)
        for key, (image, tail_ms) in self._tails(instance, at).items():
            load = load_of(tail_ms, self.idle_ms[image])
            self._learn_group(key, image, instance.agent, _Reading(at, load, lagged, noise))

    def _tails(self, instance: Instance, at: float) -> dict[GroupKey, tuple[str, float]]:
        """Return for each serving step on an instance its image and the tail of its tasks."""
        found: dict[GroupKey, list[int]] = {}
        images: dict[GroupKey, str] = {}
        for run in instance.runs.values():
            if not run.has_tail_latency or run.figure == 0:
                continue
            key, image = run.ref[:3], run.step.image
            known = self.idle_ms.get(image, IDLE_SHARE * run.step.target_ms)
            self.idle_ms[image] = min(float(run.figure), known)
            run.load = load_of(run.figure, self.idle_ms[image])
            began = self._began.setdefault(key, run.running_at)
            if run.running_at - began < SETTLED_S or at - run.running_at >= SETTLED_S:
                found.setdefault(key, []).append(run.figure)
                images[key] = image
        return {key: (images[key], statistics.median(tails)) for key, tails in found.items()}

    def _learn_group(self, key: GroupKey, image: str, agent: str, reading: _Reading) -> None:
        readings = self._groups.setdefault(key, {})
        before = readings.pop(agent, None)
        others = self._sound(image, readings.values(), reading.at)
        if not others and before is not None:
            # The job runs nowhere else; its load a second ago has to do.
            others = self._sound(image, [before], reading.at)
        if others:
            self._compare(image, reading, others)
        readings[agent] = reading
        history = self._history.setdefault(key, deque())
        history.append((reading.at, self._without_filling(image, reading)))
        while reading.at - history[0][0] > TREND_S:
            history.popleft()

    def _sound(self, image: str, readings: Iterable[_Reading], at: float) -> list[_Reading]:
        """Return the fresh readings that agree with most others on what the users bring."""
        fresh = [reading for reading in readings if at - reading.at <= FRESH_S]
        if not fresh:
            return []
        middle = statistics.median(self._without_filling(image, reading) for reading in fresh)
        return [
            reading
            for reading in fresh
            if abs(self._without_filling(image, reading) - middle) <= ASTRAY
        ]

    def _without_filling(self, image: str, reading: _Reading) -> float:
        return reading.load - added_load(image, reading.shares, self._learnt)

    def _compare(self, image: str, reading: _Reading, others: list[_Reading]) -> None:
        """Learn from the difference to the mean of other workers."""
        count = len(others)
        load = sum(other.load for other in others) / count
        shares = dict(reading.shares)
        for other in others:
            for filling, share in other.shares.items():
                shares[filling] = shares.get(filling, 0.0) - share / count
        shares = {filling: share for filling, share in shares.items() if abs(share) > LEAST_SHARE}
        if shares:
            noise = (reading.noise**2 + sum(other.noise**2 for other in others) / count**2) ** 0.5
            found = self._filters.get(image)
            if found is None:
                found = self._filters[image] = PressureFilter(reading.at)
            expected = partial(self._expect, image)
            found.observe(reading.load - load, shares, noise, expected, reading.at)
            self._beliefs.pop(image, None)

    def _expect(self, serving: str, filling: str) -> Belief:
        return believe(self._prior.heavy(serving, filling))

    def _believe(self, serving: str, filling: str) -> Belief:
        """Return what is believed of a pair, by what was seen of it and of others."""
        beliefs = self._beliefs.setdefault(serving, {})
        found = beliefs.get(filling)
        if found is None:
            seen = self._filters[serving].seen(filling) if serving in self._filters else NO_EVIDENCE
            found = beliefs[filling] = believe(self._prior.heavy(serving, filling), seen)
        return found

    def _look_at_pairs(self, at: float) -> None:
        """Take over which pairs are known, now and then."""
        if at - self._prior_at < PRIOR_S:
            return
        self._prior_at = at
        beliefs = {
            (serving, filling): self._believe(serving, filling).heavy
            for serving, found in self._filters.items()
            for filling in found.weights
        }
        known = {pair: heavy for pair, heavy in beliefs.items() if max(heavy, 1 - heavy) >= KNOWN}
        self._prior = PairPrior(known)
        self._known = frozenset(filling for _, filling in known)
        self._beliefs = {}

    def knows(self, filling: str) -> bool:
        """Return whether a filling image is known beside some serving image."""
        return filling in self._known

    def weight(self, serving: str, filling: str) -> float:
        """Return the load to allow for if ``filling`` took the whole worker.

        What is not known well is taken for more than it was seen to be: a tail over its target
        costs more than the filling work beside it earns.
        """
        return self._believe(serving, filling).careful

    def _learnt(self, serving: str, filling: str) -> float:
        return self._believe(serving, filling).weight

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

        What it takes from other filling work there does not count.
        """
        known = self._look_once(instance)
        pace = known.paces.get((image, cpu_millicores))
        if pace is None:
            share = max(_share(cpu_millicores, instance), LEAST_SHARE)
            won = known.allotment.used_with(image, share) - known.allotment.used
            pace = known.paces[image, cpu_millicores] = max(0.0, won) / share
        return pace

    def gives_pace(self, instance: Instance, image: str, cpu_millicores: int, least: float) -> bool:
        """Return whether one more filling task there is likely to get a pace of ``least``.

        The pace falls with the size of the task, except where a neighbour that presses harder loses
        all of its share.  So a size over one that was refused is refused too, until the worker's
        next report.
        """
        known = self._look_once(instance)
        refused = known.refused.get((image, least))
        if refused is not None and cpu_millicores >= refused:
            return False
        if self.pace_beside(instance, image, cpu_millicores) >= least:
            return True
        known.refused[image, least] = cpu_millicores
        return False

    def _look_once(self, instance: Instance) -> _Beside:
        """Return what :meth:`_look` says since the instance's newest change."""
        known = self._beside.get(instance.agent)
        if known is None or known.changes != instance.changes:
            known = self._beside[instance.agent] = self._look(instance)
        return known

    def _look(self, instance: Instance) -> _Beside:
        """Work out what the newest report and the runs of an instance say of its tails."""
        wanted: dict[str, float] = {}
        rooms: dict[str, Room] = {}
        for run in instance.runs.values():
            image = run.step.image
            if run.step.fills:
                share = _share(run.step.cpu_millicores, instance)
                wanted[image] = wanted.get(image, 0.0) + share
            elif run.has_tail_latency and image in self.idle_ms:
                most = load_of(run.step.target_ms, self.idle_ms[image])
                room = Room(image, self._own(run.ref[:3], image, instance), most)
                known = rooms.get(image)
                if known is None or room.most - room.own < known.most - known.own:
                    rooms[image] = room
        return _Beside(instance.changes, Allotment(list(rooms.values()), wanted, self.weight))

    def _own(self, key: GroupKey, image: str, instance: Instance) -> float:
        """Return the load that a job's users are likely to bring while a filling task works."""
        reading = self._groups.get(key, {}).get(instance.agent)
        if reading is None:
            return 0.0
        own = self._without_filling(image, reading)
        return max(own, 0.0) + _rise(self._history.get(key, deque()))

    def forget(self, job_id: str) -> None:
        """Drop the readings of a job that is no longer kept."""
        for key in [key for key in self._groups if key[0] == job_id]:
            del self._groups[key]
            self._history.pop(key, None)
            self._began.pop(key, None)


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
