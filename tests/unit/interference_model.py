"""Simulation of ten identical instances with 80 slots, one queue, and batch that slows them.

Requests arrive at a fixed mean rate, wait for a free slot and are refused after a bounded wait.
Service times are multiplied by ``1 + sum(w * x)`` over the running job classes.  The policy gets
what one of ten agents would measure: the service times of a tenth of the requests, one interval
late.  Evicted tasks restart after a delay.
"""

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass, field

from sapphirelead.model_config import ConfigDocument
from sapphirelead.policy_interference import InterferenceModel, ServiceReport
from sapphirelead.policy_throttle import Evict, ThrottleController, Tuning

SLOTS = 80
AGENTS = 10
BASE_MS = 200.0
INTERVAL_S = 2.0
MAX_WAIT_S = 1.0
RESTART_DELAY_S = 30.0
IDLE_S = 60.0


@dataclass(frozen=True, slots=True)
class BatchClass:
    """Tasks of one class that run in periodic waves.

    :ivar slowdown_weight: added slowdown of the service if the class filled the instance.
    :ivar share: processors that the whole wave uses, as a share of the instance.
    """

    name: str
    slowdown_weight: float
    share: float
    tasks: int
    period_s: float
    on_s: float
    from_s: float = 60.0

    def running(self, at_s: float) -> bool:
        return at_s >= self.from_s and (at_s - self.from_s) % self.period_s < self.on_s


WAVES = (
    BatchClass("rollover", 0.1, 0.5, 4, 1.0, 1.0),
    BatchClass("estimate", 4.0, 0.15, 4, 120.0, 60.0, 180.0),
)
HARSH = (
    BatchClass("rollover", 0.2, 0.5, 4, 1.0, 1.0),
    BatchClass("estimate", 4.0, 0.15, 4, 120.0, 60.0, 180.0),
)


@dataclass(slots=True)
class Outcome:
    """Measurements of a run; ``work`` is batch processor time relative to the instance's size."""

    latencies: list[float] = field(default_factory=list)
    work: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    refused: int = 0
    evictions: int = 0
    min_share: float = 1.0

    def percentile(self, share: float) -> float:
        ordered = sorted(self.latencies)
        return ordered[int(len(ordered) * share)]


class FakeInstance:
    """Simulates the queue and the slots of one target."""

    def __init__(self, seed: int, load: float) -> None:
        self._random = random.Random(seed)
        self._rate = load * SLOTS / (BASE_MS / 1000)
        self._free_at = [0.0] * SLOTS
        self._next = 0.0

    def interval(self, start_s: float, slowdown: float, outcome: Outcome) -> "Measured":
        """Serve the arrivals of one interval."""
        measured = Measured()
        while self._next < start_s + INTERVAL_S:
            self._next += self._random.expovariate(self._rate)
            wait_s = max(0.0, self._free_at[0] - self._next)
            if wait_s > MAX_WAIT_S:
                outcome.refused += 1
                continue
            heapq.heappop(self._free_at)
            service_s = BASE_MS / 1000 * self._random.lognormvariate(-0.02, 0.2) * slowdown
            heapq.heappush(self._free_at, self._next + wait_s + service_s)
            measured.busy_s += service_s
            measured.service_ms.append(service_s * 1000)
            if start_s >= IDLE_S:
                outcome.latencies.append((wait_s + service_s) * 1000)
        return measured


@dataclass(slots=True)
class Measured:
    """Service times of one interval."""

    service_ms: list[float] = field(default_factory=list)
    busy_s: float = 0.0

    def report(self) -> ServiceReport:
        ordered = sorted(self.service_ms[::AGENTS])
        tail = ordered[int(len(ordered) * 0.95)]
        return ServiceReport("check", len(ordered) / INTERVAL_S, tail, len(ordered))

    def occupancy(self) -> float:
        return min(1.0, self.busy_s / (SLOTS * INTERVAL_S))


def run(
    document: ConfigDocument,
    seed: int,
    load: float,
    mix: tuple[BatchClass, ...],
    throttling: bool,
    seconds: float = 900.0,
) -> Outcome:
    """Run the simulation and return the measurements after the idle first minute."""
    instance, outcome = FakeInstance(seed, load), Outcome()
    controller, tuning = ThrottleController(InterferenceModel()), Tuning.from_config(document)
    evicted: list[tuple[float, str]] = []
    at_s = 0.0
    while at_s < seconds:
        active = [kind for kind in mix if kind.running(at_s)]
        evicted = [(restart_s, name) for restart_s, name in evicted if restart_s > at_s]
        counts = {k.name: k.tasks - sum(name == k.name for _, name in evicted) for k in active}
        speeds = {k.name: controller.share(k.name) if throttling else 1.0 for k in active}
        intensities = {k.name: k.share * speeds[k.name] * counts[k.name] / k.tasks for k in active}
        slowdown = 1.0 + sum(k.slowdown_weight * intensities[k.name] for k in active)
        measured = instance.interval(at_s, slowdown, outcome)
        for kind in active:
            outcome.work[kind.name] += intensities[kind.name] * INTERVAL_S
        outcome.min_share = min([outcome.min_share, *speeds.values()])
        if throttling:
            report, occupancy = measured.report(), measured.occupancy()
            action = controller.step(tuning, [report], intensities, counts, occupancy)
            if isinstance(action, Evict):
                evicted.append((at_s + RESTART_DELAY_S, action.job_class))
                outcome.evictions += 1
        at_s += INTERVAL_S
    return outcome
