"""Simulates a worker on which the interference between tasks drifts.

Runs five latency-critical tasks of three images and four best-effort tasks of 4 to 8 of 64 cores.
The weight of each pair of images and the load of each latency-critical task drift within seconds.
"""

import math
import random
from dataclasses import dataclass
from typing import Final

from sapphirelead.runner_pace import INITIAL_LEVEL, PaceControl, TailLatency

TARGET_MS: Final = 50
CORES: Final = 64.0
TICK_S: Final = 0.05
REPORT_INTERVAL_S: Final = 0.45
TAIL_HALF_LIFE_S: Final = 0.4


class Drift:
    """Positive factor that follows a mean-reverting random walk."""

    def __init__(self, rng: random.Random, middle: float, spread: float, time_s: float) -> None:
        self._rng = rng
        self._middle = middle
        self._spread = spread
        self._keep = math.exp(-TICK_S / time_s)
        self._at = rng.gauss(0, spread)

    def step(self) -> float:
        """Return the factor one tick later."""
        noise = math.sqrt(1 - self._keep**2) * self._rng.gauss(0, self._spread)
        self._at = self._keep * self._at + noise
        return math.exp(self._middle + self._at)


@dataclass(slots=True)
class FillTask:
    """A running best-effort task."""

    image: str
    cores: float
    left_s: float


@dataclass(frozen=True, slots=True)
class DriftResult:
    """Means over time: cores used by best-effort tasks, latency-critical tasks over target."""

    used_cores: float
    over_target: float


def simulate_drift(seed: int, seconds: float = 60.0) -> DriftResult:
    """Simulate ``seconds`` of pacing on the worker."""
    rng = random.Random(seed)
    control = PaceControl()
    serving = [f"s{rng.randrange(3)}" for _ in range(5)]
    base_ms = {f"s{number}": rng.uniform(10, 15) for number in range(3)}
    images = [f"f{number}" for number in range(8)]
    drifts = {(s, f): Drift(rng, 1.2, 1.3, 8.0) for s in base_ms for f in images}
    loads = [Drift(rng, 0.0, 0.3, 4.0) for _ in serving]
    tails = [base_ms[image] for image in serving]

    def next_task() -> FillTask:
        return FillTask(rng.choice(images), rng.uniform(4, 8), rng.uniform(3, 7))

    tasks = [next_task() for _ in range(4)]
    paces: dict[str, float] = {}
    used = over = 0.0
    for tick in range(int(seconds / TICK_S)):
        weights = {pair: drift.step() for pair, drift in drifts.items()}
        using: dict[str, float] = {}
        for number, task in enumerate(tasks):
            pace = paces.get(task.image, INITIAL_LEVEL)
            using[task.image] = using.get(task.image, 0.0) + task.cores * pace / CORES
            used += task.cores * pace
            task.left_s -= pace * TICK_S
            if task.left_s <= 0:
                tasks[number] = next_task()
        for number, image in enumerate(serving):
            growth = 1 + sum(weights[image, filling] * share for filling, share in using.items())
            settled = base_ms[image] * loads[number].step() * growth
            tails[number] += (settled - tails[number]) * (1 - 0.5 ** (TICK_S / TAIL_HALF_LIFE_S))
            over += tails[number] > TARGET_MS
        if tick % round(REPORT_INTERVAL_S / TICK_S) == 0:
            seen = [
                TailLatency(str(number), image, round(tails[number]), TARGET_MS)
                for number, image in enumerate(serving)
            ]
            control.update(seen, using, tick * TICK_S)
            paces = {task.image: control.percent(task.image) / 100 for task in tasks}
    ticks = seconds / TICK_S
    return DriftResult(used / ticks, over / ticks)
