"""Estimates the interference of best-effort images with the tail latency of latency-critical ones.

Handles fluctuating loads of latency-critical jobs by comparing workers: the tasks of one job share
its load, so a difference in load between workers at one time is the interference of the best-effort
tasks beside them (:mod:`sapphirelead.policy_pressure`).  Each report corrects the weights of the
pairs of images by that difference (:mod:`sapphirelead.policy_pressure_filter`).
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from sapphirelead.node_messages import InterferenceEstimate
from sapphirelead.policy_pressure import (
    CPU_USED_SHARE,
    LevelAllocation,
    LoadBudget,
    added_load,
    load_from_tail,
    used_shares,
)
from sapphirelead.policy_pressure_filter import PressureFilter
from sapphirelead.policy_pressure_pair import NO_EVIDENCE, Belief, pair_belief
from sapphirelead.policy_pressure_prior import PairPrior
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_timing import TAIL_TIMEOUT_S

LOAD_NOISE: Final = 0.03
"""Standard deviation of the load of one job's tasks between workers without interference."""

INITIAL_IDLE_SHARE: Final = 0.25
"""Initial estimate of the idle tail latency, as a share of the target.

Without it a leader that takes over while all loads are high would take them for none."""

PRIOR_INTERVAL_S: Final = 1.0
"""Time between two updates of the prior."""

KNOWN_PROBABILITY: Final = 0.9
"""Probability of being heavy, or light, from which on a pair counts as known."""

MAX_READING_AGE_S: Final = 1.6
"""Older readings are excluded from comparisons."""

WARMUP_S: Final = 1.5
"""Tail latencies of a task are ignored for this long if it started after others of its job."""

TRANSIENT_NOISE: Final = 0.2
"""Additional noise of a load per change in the share that best-effort tasks use."""

MAX_DEVIATION: Final = 0.25
"""Readings whose load differs from the median by more, interference excluded, are outliers."""

MIN_USED_SHARE: Final = 0.001
"""Minimum share of a worker that a best-effort task is assumed to use."""

LOAD_PREDICTION_S: Final = 2.0
"""Horizon to which rising loads are extrapolated for placement."""

TREND_WINDOW_S: Final = 2.5
"""Time over which the trend of a job's load is measured."""

MAX_PREDICTED_RISE: Final = 0.2
"""Largest load added for a rising trend."""

GroupKey = tuple[str, int, int]
"""A step of one occurrence of a job, whose tasks share one load."""


@dataclass(frozen=True, slots=True)
class _Reading:
    """Load of a job's tasks on one worker.

    :ivar load: load by the median of their tail latencies.
    :ivar shares: share of the worker's CPU in use, by best-effort image beside them.
    :ivar noise: standard deviation of the load without interference.
    """

    at: float
    load: float
    shares: Mapping[str, float]
    noise: float


@dataclass(frozen=True, slots=True)
class _PaceCache:
    """Expected paces on one instance, valid until its next report or change of runs.

    :ivar changes: the instance's change counter at the time of computation.
    :ivar allocation: CPU shares that its runs get beside each other.
    :ivar paces: computed paces, by image and millicores.
    :ivar refused: smallest size in millicores that gets less than a pace, by image and pace.
    """

    changes: int
    allocation: LevelAllocation
    paces: dict[tuple[str, int], float] = field(default_factory=dict)
    refused: dict[tuple[str, float], int] = field(default_factory=dict)


class InterferenceModel:
    """Estimated interference of best-effort images with latency-critical images.

    :ivar idle_ms: idle tail latency of each latency-critical image: the lowest one observed.
    """

    idle_ms: dict[str, float]
    _filters: dict[str, PressureFilter]
    _groups: dict[GroupKey, dict[str, _Reading]]
    _history: dict[GroupKey, deque[tuple[float, float]]]
    _began_at: dict[GroupKey, float]
    _shares: dict[str, Mapping[str, float]]
    _pace_caches: dict[str, _PaceCache]
    _prior: PairPrior
    _prior_at: float
    _posteriors: dict[str, dict[str, Belief]]
    _known: frozenset[str]

    def __init__(self) -> None:
        self.idle_ms = {}
        self._filters = {}
        self._groups = {}
        self._history = {}
        self._began_at = {}
        self._shares = {}
        self._pace_caches = {}
        self._prior = PairPrior({})
        self._prior_at = -math.inf
        self._posteriors = {}
        self._known = frozenset()

    def learn(self, instance: Instance, at: float) -> None:
        """Update the estimates from the tail latencies of an instance's newest report."""
        shares = _used_shares(instance)
        before = self._shares.get(instance.agent, shares)
        self._shares[instance.agent] = shares
        # Tail latencies lag behind a change in interference by about one report.
        images = shares.keys() | before.keys()
        lagged = {image: (shares.get(image, 0.0) + before.get(image, 0.0)) / 2 for image in images}
        change = sum(abs(shares.get(image, 0.0) - before.get(image, 0.0)) for image in images)
        noise = LOAD_NOISE + TRANSIENT_NOISE * change
        self._update_prior(at)
        for key, (image, tail_ms) in self._tails(instance, at).items():
            load = load_from_tail(tail_ms, self.idle_ms[image])
            self._learn_group(key, image, instance.agent, _Reading(at, load, lagged, noise))

    def _tails(self, instance: Instance, at: float) -> dict[GroupKey, tuple[str, float]]:
        """Return the image and median tail latency of each latency-critical step."""
        found: dict[GroupKey, list[int]] = {}
        images: dict[GroupKey, str] = {}
        for run in instance.runs.values():
            if not run.has_tail_latency or run.measurement == 0:
                continue
            key, image = run.ref[:3], run.step.image
            known = self.idle_ms.get(image, INITIAL_IDLE_SHARE * run.step.target_ms)
            self.idle_ms[image] = min(float(run.measurement), known)
            run.load = load_from_tail(run.measurement, self.idle_ms[image])
            began = self._began_at.setdefault(key, run.running_at)
            if run.running_at - began < WARMUP_S or at - run.running_at >= WARMUP_S:
                found.setdefault(key, []).append(run.measurement)
                images[key] = image
        return {key: (images[key], statistics.median(tails)) for key, tails in found.items()}

    def _learn_group(self, key: GroupKey, image: str, agent: str, reading: _Reading) -> None:
        readings = self._groups.setdefault(key, {})
        before = readings.pop(agent, None)
        others = self._consistent(image, readings.values(), reading.at)
        if not others and before is not None:
            # The job runs on no other worker: compare with its own previous reading.
            others = self._consistent(image, [before], reading.at)
        if others:
            self._update_weights(image, reading, others)
        readings[agent] = reading
        history = self._history.setdefault(key, deque())
        history.append((reading.at, self._load_without_fill(image, reading)))
        while reading.at - history[0][0] > TREND_WINDOW_S:
            history.popleft()

    def _consistent(self, image: str, readings: Iterable[_Reading], at: float) -> list[_Reading]:
        """Return the recent readings without outliers, interference excluded."""
        fresh = [reading for reading in readings if at - reading.at <= MAX_READING_AGE_S]
        if not fresh:
            return []
        middle = statistics.median(self._load_without_fill(image, reading) for reading in fresh)
        return [
            reading
            for reading in fresh
            if abs(self._load_without_fill(image, reading) - middle) <= MAX_DEVIATION
        ]

    def _load_without_fill(self, image: str, reading: _Reading) -> float:
        return reading.load - added_load(image, reading.shares, self._estimated_weight)

    def _update_weights(self, image: str, reading: _Reading, others: list[_Reading]) -> None:
        """Update the weights by the difference of a reading to the mean of other workers."""
        count = len(others)
        load = sum(other.load for other in others) / count
        shares = dict(reading.shares)
        for other in others:
            for filling, share in other.shares.items():
                shares[filling] = shares.get(filling, 0.0) - share / count
        shares = {
            filling: share for filling, share in shares.items() if abs(share) > MIN_USED_SHARE
        }
        if shares:
            noise = (reading.noise**2 + sum(other.noise**2 for other in others) / count**2) ** 0.5
            found = self._filters.get(image)
            if found is None:
                found = self._filters[image] = PressureFilter(reading.at)
            expected = partial(self._prior_of, image)
            found.observe(reading.load - load, shares, noise, expected, reading.at)
            self._posteriors.pop(image, None)

    def _prior_of(self, serving: str, filling: str) -> Belief:
        return pair_belief(self._prior.heavy(serving, filling))

    def _posterior(self, serving: str, filling: str) -> Belief:
        """Return the posterior of a pair, from its observations and the prior."""
        posteriors = self._posteriors.setdefault(serving, {})
        found = posteriors.get(filling)
        if found is None:
            evidence = (
                self._filters[serving].evidence(filling)
                if serving in self._filters
                else NO_EVIDENCE
            )
            found = posteriors[filling] = pair_belief(self._prior.heavy(serving, filling), evidence)
        return found

    def _update_prior(self, at: float) -> None:
        """Recompute the prior from the known pairs every :data:`PRIOR_INTERVAL_S`."""
        if at - self._prior_at < PRIOR_INTERVAL_S:
            return
        self._prior_at = at
        posteriors = {
            (serving, filling): self._posterior(serving, filling).heavy
            for serving, found in self._filters.items()
            for filling in found.weights
        }
        known = {
            pair: heavy
            for pair, heavy in posteriors.items()
            if max(heavy, 1 - heavy) >= KNOWN_PROBABILITY
        }
        self._prior = PairPrior(known)
        self._known = frozenset(filling for _, filling in known)
        self._posteriors = {}

    def knows(self, filling: str) -> bool:
        """Return whether the interference of a best-effort image is known for any image."""
        return filling in self._known

    def weight(self, serving: str, filling: str) -> float:
        """Return a conservative estimate of the load that ``filling`` adds on a whole worker.

        Uncertainty raises the estimate.
        """
        return self._posterior(serving, filling).upper_bound

    def _estimated_weight(self, serving: str, filling: str) -> float:
        return self._posterior(serving, filling).weight

    def pair_weights_on(self, instance: Instance) -> list[InterferenceEstimate]:
        """Return the weights of the pairs of images on an instance."""
        serving = {run.step.image for run in instance.runs.values() if run.step.target_ms}
        filling = {run.step.image for run in instance.runs.values() if run.step.fills}
        found = []
        for one in sorted(serving & self.idle_ms.keys()):
            weights = {other: round(self.weight(one, other), 3) for other in filling}
            found.append(InterferenceEstimate(one, self.idle_ms[one], weights))
        return found

    def pace_beside(self, instance: Instance, image: str, cpu_millicores: int) -> float:
        """Return the net pace of one more best-effort task on an instance, from 0 to 1.

        CPU that it takes from other best-effort tasks is subtracted.
        """
        cache = self._cached_paces(instance)
        pace = cache.paces.get((image, cpu_millicores))
        if pace is None:
            share = max(_requested_share(cpu_millicores, instance), MIN_USED_SHARE)
            gained = cache.allocation.used_with(image, share) - cache.allocation.used
            pace = cache.paces[image, cpu_millicores] = max(0.0, gained) / share
        return pace

    def gives_pace(
        self, instance: Instance, image: str, cpu_millicores: int, min_pace: float
    ) -> bool:
        """Return whether one more best-effort task is expected to get a pace of ``min_pace``.

        A larger size than a refused one is refused as well until the worker's next change, as the
        pace usually falls with the size.
        """
        cache = self._cached_paces(instance)
        refused = cache.refused.get((image, min_pace))
        if refused is not None and cpu_millicores >= refused:
            return False
        if self.pace_beside(instance, image, cpu_millicores) >= min_pace:
            return True
        cache.refused[image, min_pace] = cpu_millicores
        return False

    def _cached_paces(self, instance: Instance) -> _PaceCache:
        """Return the result of :meth:`_compute_paces` for the instance's newest change."""
        cache = self._pace_caches.get(instance.agent)
        if cache is None or cache.changes != instance.changes:
            cache = self._pace_caches[instance.agent] = self._compute_paces(instance)
        return cache

    def _compute_paces(self, instance: Instance) -> _PaceCache:
        """Return a new cache for the runs and the newest report of an instance."""
        wanted: dict[str, float] = {}
        budgets: dict[str, LoadBudget] = {}
        for run in instance.runs.values():
            image = run.step.image
            if run.step.fills:
                share = _requested_share(run.step.cpu_millicores, instance)
                wanted[image] = wanted.get(image, 0.0) + share
                continue
            budget = self._load_budget(run, instance) if run.step.target_ms else None
            known = budgets.get(image)
            if budget is not None and (
                known is None or budget.max_load - budget.own_load < known.max_load - known.own_load
            ):
                budgets[image] = budget
        return _PaceCache(
            instance.changes, LevelAllocation(list(budgets.values()), wanted, self.weight)
        )

    def _load_budget(self, run: Run, instance: Instance) -> LoadBudget | None:
        """Return the load that a latency-critical run tolerates; ``None`` if it measures none.

        A run without a reading of its own is expected to have the load of its job on other workers.
        If that is unknown, too, nothing may be added until its tail has been measured.
        """
        image, target_ms = run.step.image, run.step.target_ms
        idle_ms = self.idle_ms.get(image, INITIAL_IDLE_SHARE * target_ms)
        max_load = load_from_tail(target_ms, idle_ms)
        reading = self._groups.get(run.ref[:3], {}).get(instance.agent)
        if reading is not None and reading.at >= run.running_at > 0:
            own_load = self._load_without_fill(image, reading)
        elif run.unmeasured_s(instance.last_report_at) > TAIL_TIMEOUT_S:
            return None
        else:
            own_load = self._load_elsewhere(run.ref[:3], image, instance.last_report_at, max_load)
        rise = _predicted_rise(self._history.get(run.ref[:3], deque()))
        return LoadBudget(image, max(own_load, 0.0) + rise, max_load)

    def _load_elsewhere(self, key: GroupKey, image: str, at: float, default: float) -> float:
        """Return the median load of a job's recent readings, without interference."""
        readings = self._groups.get(key, {}).values()
        recent = [item for item in readings if at - item.at <= MAX_READING_AGE_S]
        loads = [self._load_without_fill(image, reading) for reading in recent]
        return statistics.median(loads) if loads else default

    def forget(self, job_id: str) -> None:
        """Drop the readings of a job."""
        for key in [key for key in self._groups if key[0] == job_id]:
            del self._groups[key]
            self._history.pop(key, None)
            self._began_at.pop(key, None)


def _predicted_rise(history: Sequence[tuple[float, float]]) -> float:
    """Return the expected rise of a load, from the means of its older and newer half."""
    half = len(history) // 2
    if half < 1:
        return 0.0
    points = list(history)
    old_at, old = (statistics.fmean(column) for column in zip(*points[:half], strict=True))
    new_at, new = (statistics.fmean(column) for column in zip(*points[half:], strict=True))
    if new_at - old_at < TREND_WINDOW_S / 4:
        return 0.0
    return min(max((new - old) / (new_at - old_at) * LOAD_PREDICTION_S, 0.0), MAX_PREDICTED_RISE)


def _requested_share(cpu_millicores: int, instance: Instance) -> float:
    """Return the share of the worker's CPU that a best-effort task uses at full pace."""
    return CPU_USED_SHARE * cpu_millicores / max(1, instance.capacity_cpu)


def _used_shares(instance: Instance) -> Mapping[str, float]:
    """Return the share of the worker's CPU in use by each best-effort image."""
    used: dict[str, float] = {}
    for run in instance.runs.values():
        if run.step.fills and run.measurement > 0:
            used[run.step.image] = used.get(run.step.image, 0) + run.measurement
    return used_shares(used, instance.capacity_cpu)
