"""Compares routing with random choice and with the least loaded instance by the last report.

A simulation on a virtual clock: two entries share ten instances of eight slots in four zones, with
lognormal service times; load is reported once a second and with each response.  A refused attempt
(all slots taken) is retried on another instance, with three attempts in total; a request waits
while no instance is available.  All policies get the same arrivals and service times.

Usage: python -m bench.bench_routing
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from statistics import mean
from typing import Any, Final, Protocol

from bench.bench_decision import make_view
from sapphirelead.entry_ports import InstanceView
from sapphirelead.model_config import EjectionPolicy
from sapphirelead.policy_routing import AttemptEnd, Router

INSTANCES: Final = 10
SLOTS: Final = 8
ENTRIES: Final = 2
MEAN_SERVICE_S: Final = 0.02
RUN_S: Final = 20.0
WARM_UP_S: Final = 3.0
REPORT_INTERVAL_S: Final = 1.0
ZONE_RTT_S: Final = 0.003
MAX_ATTEMPTS: Final = 3
RETRY_DELAY_S: Final = 0.002
QUEUE_TIMEOUT_S: Final = 0.2
SEEDS: Final = (1, 2, 3)


class Policy(Protocol):
    """Interface of a routing policy."""

    def update(self, view: InstanceView, live: bool, at: float) -> None:
        """Process a load report."""

    def report(self, instance: str, slots_used: int, slots: int, at: float) -> None:
        """Process the load in a response."""

    def pick(self, service: str, at: float, excluded: list[str]) -> str | None:
        """Choose an instance, or None if none is available."""

    def begin(self, instance: str, at: float) -> None:
        """Record the start of an attempt."""

    def end(
        self, instance: str, service: str, end: AttemptEnd, latency_s: float, at: float
    ) -> None:
        """Record the end of an attempt."""


class Baseline:
    """Chooses the instance with the lowest ``cost``, ties at random."""

    def __init__(self, rng: random.Random, cost: Callable[[int, int], float]) -> None:
        self._rng = rng
        self._cost = cost
        self._reported: dict[str, int] = {}
        self._in_flight: dict[str, int] = {}

    def update(self, view: InstanceView, live: bool, at: float) -> None:
        self._reported[view.id] = view.slots_used

    def report(self, instance: str, slots_used: int, slots: int, at: float) -> None:
        self._reported[instance] = slots_used

    def pick(self, service: str, at: float, excluded: list[str]) -> str | None:
        candidates = [item for item in self._reported if item not in excluded]
        return min(candidates, key=self._rank, default=None)

    def _rank(self, item: str) -> tuple[float, float]:
        return self._cost(self._reported[item], self._in_flight.get(item, 0)), self._rng.random()

    def begin(self, instance: str, at: float) -> None:
        self._in_flight[instance] = self._in_flight.get(instance, 0) + 1

    def end(
        self, instance: str, service: str, end: AttemptEnd, latency_s: float, at: float
    ) -> None:
        self._in_flight[instance] -= 1


POLICIES: Final[dict[str, Callable[[str, random.Random], Policy]]] = {
    "router": lambda zone, rng: Router.from_config(zone, EjectionPolicy(), rng),
    "random": lambda zone, rng: Baseline(rng, lambda reported, own: 0.0),
    "least loaded": lambda zone, rng: Baseline(rng, lambda reported, own: float(reported)),
}


@dataclass(frozen=True)
class Scenario:
    """Offered load as a share of the capacity, and the faults of instance 0."""

    load: float
    slow_factor: float = 1.0
    fails_fast: bool = False


SCENARIOS: Final = {
    "calm, 80% load": Scenario(0.8),
    "one ten times slower, 60%": Scenario(0.6, slow_factor=10.0),
    "one fails fast, 60%": Scenario(0.6, fails_fast=True),
}


@dataclass
class Results:
    """Results of a run, counted after the warm-up."""

    latencies_s: list[float] = field(default_factory=list)
    failed: int = 0
    refused: int = 0
    sent_to_first: int = 0

    def percentile_ms(self, share: float) -> float:
        ordered = sorted(self.latencies_s)
        return ordered[int(share * (len(ordered) - 1))] * 1000

    @property
    def unsuccessful_share(self) -> float:
        unsuccessful = self.failed + self.refused
        return unsuccessful / max(1, unsuccessful + len(self.latencies_s))


@dataclass
class _Request:
    entry: int
    arrived_at: float
    work_s: float
    tried: list[str] = field(default_factory=list)


class Run:
    """A discrete-event simulation of one policy in one scenario."""

    def __init__(self, policy: str, scenario: Scenario, seed: int, seconds: float = RUN_S) -> None:
        self._seconds = seconds
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._entries = [
            POLICIES[policy](f"z{number}", random.Random(seed + number))
            for number in range(ENTRIES)
        ]
        self._used = [0] * INSTANCES
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self.results = Results()

    def execute(self) -> Results:
        """Process events until none are left."""
        self._schedule(0.0, self._report)
        self._schedule(0.001, self._arrive)
        while self._events:
            at, _, event = heappop(self._events)
            event(at)
        return self.results

    def _schedule(self, at: float, event: Callable[[float], None]) -> None:
        self._number += 1
        heappush(self._events, (at, self._number, event))

    def _report(self, at: float) -> None:
        for number in range(INSTANCES):
            for entry in self._entries:
                entry.update(make_view(number, self._used[number]), True, at)
        if at < self._seconds:
            self._schedule(at + REPORT_INTERVAL_S, self._report)

    def _arrive(self, at: float) -> None:
        work_s = self._rng.lognormvariate(0.0, 0.5) * MEAN_SERVICE_S / 1.1331
        req = _Request(self._rng.randrange(ENTRIES), at, work_s)
        rate = self._scenario.load * INSTANCES * SLOTS / MEAN_SERVICE_S
        if at < self._seconds:
            self._schedule(at + self._rng.expovariate(rate), self._arrive)
        self._attempt(req, at)

    def _attempt(self, req: _Request, at: float) -> None:
        entry = self._entries[req.entry]
        instance = entry.pick("checks", at, req.tried)
        if len(req.tried) >= MAX_ATTEMPTS or at - req.arrived_at > QUEUE_TIMEOUT_S:
            self.results.refused += at > WARM_UP_S
            return
        if instance is None:
            self._schedule(at + RETRY_DELAY_S, lambda later: self._attempt(req, later))
            return
        req.tried.append(instance)
        entry.begin(instance, at)
        number = int(instance[1:])
        self.results.sent_to_first += number == 0 and at > WARM_UP_S
        in_other_zone = number % 4 != req.entry
        self._schedule(
            at + in_other_zone * ZONE_RTT_S / 2,
            lambda later: self._reach_instance(req, number, at, later),
        )

    def _reach_instance(self, req: _Request, number: int, sent_at: float, at: float) -> None:
        return_s = (number % 4 != req.entry) * ZONE_RTT_S / 2
        faulty = number == 0
        if faulty and self._scenario.fails_fast:
            self._schedule(
                at + 0.001 + return_s, self._end_callback(req, number, sent_at, AttemptEnd.FAILURE)
            )
            return
        if self._used[number] >= SLOTS:
            self._schedule(
                at + return_s, self._end_callback(req, number, sent_at, AttemptEnd.REFUSED)
            )
            return
        self._used[number] += 1
        work_s = req.work_s * (self._scenario.slow_factor if faulty else 1.0)
        self._schedule(
            at + work_s, lambda later: self._finish(req, number, sent_at, later + return_s)
        )

    def _finish(self, req: _Request, number: int, sent_at: float, answered_at: float) -> None:
        self._used[number] -= 1
        self._schedule(answered_at, self._end_callback(req, number, sent_at, AttemptEnd.SUCCESS))

    def _end_callback(
        self, req: _Request, number: int, sent_at: float, end: AttemptEnd
    ) -> Callable[[float], None]:
        used = self._used[number]

        def ended(at: float) -> None:
            policy = self._entries[req.entry]
            policy.end(f"i{number}", "checks", end, at - sent_at, at)
            policy.report(f"i{number}", used, SLOTS, at)
            if end is AttemptEnd.REFUSED:
                self._attempt(req, at)
            elif at > WARM_UP_S and end is AttemptEnd.FAILURE:
                self.results.failed += 1
            elif at > WARM_UP_S:
                self.results.latencies_s.append(at - req.arrived_at)

        return ended


def main() -> None:
    """Run all scenarios and policies and print the table."""
    headers = f"{'p50 ms':>8}{'p99 ms':>8}{'bad %':>8}{'to i0 %':>9}"
    print(f"{'scenario':28}{'policy':14}{headers}  seeds {SEEDS}")
    for title, scenario in SCENARIOS.items():
        for policy in POLICIES:
            runs = [Run(policy, scenario, seed).execute() for seed in SEEDS]
            rows: list[Any] = [
                mean(run.percentile_ms(0.5) for run in runs),
                mean(run.percentile_ms(0.99) for run in runs),
                mean(run.unsuccessful_share for run in runs) * 100,
                mean(run.sent_to_first / max(1, len(run.latencies_s)) for run in runs) * 100,
            ]
            print(f"{title:28}{policy:14}{rows[0]:8.1f}{rows[1]:8.1f}{rows[2]:8.2f}{rows[3]:9.2f}")


if __name__ == "__main__":
    main()
