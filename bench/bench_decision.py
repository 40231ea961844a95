"""Measures the cost of one decision (rules, routing, admission) by number of instances.

Usage: python -m bench.bench_decision
"""

import random
import time
from statistics import median
from typing import Final

from sapphirelead.entry_ports import InstanceView
from sapphirelead.model_config import ConfigDocument, EjectionPolicy
from sapphirelead.model_resources import Resources
from sapphirelead.policy_limits import ConcurrencyLimit, DeadlineQueue
from sapphirelead.policy_routing import AttemptEnd, Router
from sapphirelead.policy_rules import RuleSet, Situation

SIZES: Final = (10, 100, 1000, 10_000)
RULE_COUNT: Final = 100
ZONES: Final = 4
ROUNDS: Final = 5
DECISIONS_PER_ROUND: Final = 4000


def make_view(number: int, used: int) -> InstanceView:
    """Return an instance with 8 slots; numbers are spread over the zones."""
    return InstanceView(
        id=f"i{number}",
        incarnation="a",
        zone=f"z{number % ZONES}",
        rack="r",
        capacity=Resources(64_000, 250_000),
        free=Resources(64_000, 250_000),
        slots=8,
        slots_used=used,
        connections=64,
        connections_used=0,
        tasks=0,
        services=frozenset({"checks"}),
        draining=False,
        fenced=False,
        counter=1,
        heard_at=0.0,
        config_version=1,
    )


def make_rules() -> RuleSet:
    """Return rules that do not match, so that a decision evaluates all of them."""
    rules = [
        {
            "name": f"r{n}",
            "when": {
                "service": {"eq": "checks"},
                "load": {"at_least": 0.1},
                "queue_length": {"at_least": 10_000 + n},
            },
            "then": {"action": "refuse"},
        }
        for n in range(RULE_COUNT)
    ]
    return RuleSet.from_config(ConfigDocument.model_validate({"rules": rules}))


def measure(size: int) -> float:
    """Return the median cost of one decision in microseconds."""
    rng = random.Random(size)
    router = Router.from_config("z0", EjectionPolicy(), rng)
    for number in range(size):
        router.update(make_view(number, rng.randrange(8)), True, 0.0)
    rules = make_rules()
    limit = ConcurrencyLimit(0.0)
    queue: DeadlineQueue[int] = DeadlineQueue(256)
    costs = []
    for _ in range(ROUNDS):
        begun = time.perf_counter()
        for step in range(DECISIONS_PER_ROUND):
            at = step * 1e-4
            health = router.health("checks")
            rules.decide(
                Situation(kind="service", service="checks", load=health.load, deadline_ms=1000)
            )
            queue.ahead(5, at + 1.0)
            instance = router.pick("checks", at) if limit.has_capacity else None
            if instance is not None:
                router.begin(instance, at)
                limit.begin()
                limit.end(0.01, at)
                router.end(instance, "checks", AttemptEnd.SUCCESS, 0.01, at)
        costs.append((time.perf_counter() - begun) / DECISIONS_PER_ROUND * 1e6)
    return median(costs)


def main() -> None:
    """Print the table."""
    print(f"{RULE_COUNT} rules, {ZONES} zones; rule + route + admit + account, median of {ROUNDS}")
    for size in SIZES:
        print(f"{size:>6} instances  {measure(size):6.1f} us")


if __name__ == "__main__":
    main()
