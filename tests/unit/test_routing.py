"""Choice of instances, ejection, and comparison with random choice."""

import random
from dataclasses import replace

import pytest

from bench.bench_decision import make_view
from bench.bench_routing import SCENARIOS, Run
from sapphirelead.model_config import EjectionPolicy
from sapphirelead.policy_routing import AttemptEnd, Router

POLICY = EjectionPolicy(consecutive_failures=5, base_seconds=5.0, max_ejected_share=0.34)


def router_of(count: int, used: int = 0, zone: str = "z0") -> Router:
    router = Router.from_config(zone, POLICY, random.Random(1))
    for number in range(count):
        router.update(make_view(number, used), True, 0.0)
    return router


def attempt(
    router: Router, instance: str, end: AttemptEnd, at: float, took_s: float = 0.01
) -> None:
    router.begin(instance, at)
    router.end(instance, "checks", end, took_s, at)


def fail(router: Router, instance: str, times: int, at: float) -> None:
    for _ in range(times):
        attempt(router, instance, AttemptEnd.FAILURE, at)


def picks(router: Router, at: float, count: int = 200, **options: object) -> set[str]:
    return {router.pick("checks", at, **options) or "" for _ in range(count)}  # type: ignore[arg-type]


def test_zone_is_preferred_until_it_is_nearly_full() -> None:
    router = router_of(8)
    assert picks(router, 0.0) == {"i0", "i4"}
    for number in (0, 4):
        router.update(make_view(number, 7), True, 0.0)
    assert picks(router, 0.0) - {"i0", "i4"}, "other zones take the overflow"
    assert picks(router, 0.0, spill=False) == {"i0", "i4"}
    assert picks(router, 0.0, zones=("z2",)) == {"i2", "i6"}


def test_slow_instance_does_not_get_overflow_of_its_zone() -> None:
    """Guards against overflow to the only instance with capacity of the zone if it is slow."""
    router = router_of(8)
    for number in range(1, 8):
        for _ in range(20):
            attempt(router, f"i{number}", AttemptEnd.SUCCESS, 0.0, took_s=0.02)
    for _ in range(5):
        attempt(router, "i0", AttemptEnd.SUCCESS, 0.0, took_s=0.2)
    router.update(make_view(4, 8), True, 0.0)
    assert "i0" not in picks(router, 0.0)


def test_instance_with_only_failures_gets_no_traffic() -> None:
    """Guards against preferring an instance whose only attempt failed to a briefly slow one."""
    router = router_of(8)
    fail(router, "i0", 1, 0.0)
    for number in range(40):
        attempt(router, "i4", AttemptEnd.SUCCESS, 0.02 * number, took_s=0.01)
    for number in range(3):
        attempt(router, "i4", AttemptEnd.SUCCESS, 1.0 + 0.05 * number, took_s=0.05)
    assert picks(router, 1.2, spill=False) == {"i4"}


def test_single_failure_does_not_eject_new_instance() -> None:
    router = router_of(8)
    fail(router, "i0", 1, 0.0)
    assert router.ejected() == []
    fail(router, "i0", POLICY.consecutive_failures - 1, 0.1)
    assert router.ejected() == ["i0"]


UNUSABLE = {
    "unresponsive": (make_view(0, 0), False),
    "full": (make_view(0, 8), True),
    "without connections": (replace(make_view(0, 0), connections=0), True),
    "offers another service": (replace(make_view(0, 0), services=frozenset({"other"})), True),
}


@pytest.mark.parametrize("name", UNUSABLE)
def test_instance_that_cannot_take_work_is_not_chosen(name: str) -> None:
    view, live = UNUSABLE[name]
    router = router_of(2)
    router.update(view, live, 0.0)
    assert picks(router, 0.0) == {"i1"}
    router.update(make_view(0, 0), True, 1.0)
    assert picks(router, 1.0) == {"i0"}


def test_own_attempts_count_as_load_between_reports() -> None:
    router = router_of(1, used=5)
    for _ in range(3):
        assert router.pick("checks", 0.0) == "i0"
        router.begin("i0", 0.0)
    assert router.pick("checks", 0.0) is None
    router.end("i0", "checks", AttemptEnd.SUCCESS, 0.01, 0.1)
    assert router.pick("checks", 0.1) == "i0"


def test_failing_instance_is_ejected_probed_and_reinstated() -> None:
    router = router_of(8)
    fail(router, "i0", 5, 1.0)
    assert router.ejected() == ["i0"]
    assert picks(router, 2.0) == {"i4"}
    router.pick("checks", 6.1)
    assert router.ejected() == []
    router.begin("i0", 6.1)
    assert "i0" not in picks(router, 6.1), "one probe at a time"
    router.end("i0", "checks", AttemptEnd.FAILURE, 0.01, 6.2)
    assert router.ejected() == ["i0"], "a failed probe ejects at once"
    assert "i0" not in picks(router, 15.0), "ejected for twice as long"
    router.pick("checks", 16.3)
    for _ in range(3):
        attempt(router, "i0", AttemptEnd.SUCCESS, 16.4)
    fail(router, "i0", 4, 16.5)
    assert router.ejected() == [], "after the probes, failures below the threshold do not eject"


@pytest.mark.parametrize(("count", "max_ejected"), [(1, 0), (2, 1), (3, 1), (10, 3)])
def test_ejections_are_limited_when_all_instances_fail(count: int, max_ejected: int) -> None:
    """Guards against ejecting all instances when the service itself fails."""
    router = router_of(count)
    for number in range(count):
        fail(router, f"i{number}", 10, 1.0)
    assert len(router.ejected()) == max_ejected
    assert router.pick("checks", 1.0) is not None


def test_ejected_instance_is_used_when_the_others_are_gone() -> None:
    """Guards against refusing all requests because the only live instance is still ejected, by a
    limit that counted instances which have become unresponsive since."""
    router = router_of(10)
    for number in range(3):
        fail(router, f"i{number}", 10, 1.0)
    assert len(router.ejected()) == 3
    for number in range(3, 10):
        router.update(make_view(number, 0), False, 2.0)
    assert len(router.ejected()) == 1, "a third of the three that are live"
    for number in range(1, 3):
        router.update(make_view(number, 0), False, 2.0)
    assert "i0" not in router.ejected()
    assert router.pick("checks", 2.0) == "i0"


def test_forgotten_instances_do_not_count_towards_the_limit_of_ejections() -> None:
    """Guards against the same when instances are removed instead of unresponsive."""
    router = router_of(2)
    fail(router, "i0", 10, 1.0)
    assert router.ejected() == ["i0"]
    router.forget("i1")
    assert router.ejected() == []
    assert router.pick("checks", 1.1) == "i0"


def test_timeouts_of_short_deadlines_do_not_eject() -> None:
    router = router_of(8)
    for _ in range(20):
        attempt(router, "i0", AttemptEnd.TIMEOUT, 1.0, took_s=0.002)
    assert router.ejected() == []
    for _ in range(5):
        attempt(router, "i0", AttemptEnd.TIMEOUT, 1.0, took_s=2.0)
    assert router.ejected() == ["i0"]


def test_health_reflects_instance_changes() -> None:
    router = router_of(4, used=4)
    assert router.health("checks").load == pytest.approx(0.5)
    router.update(make_view(0, 4), False, 0.0)
    assert router.health("checks").healthy_share == pytest.approx(0.75)
    for number in range(1, 4):
        router.forget(f"i{number}")
    assert router.health("checks").live == 0
    assert router.health("unknown").live == 0


# Limits for one run each, shorter than the benchmark's.
LIMITS: dict[str, tuple[str, float, float]] = {
    "slow instance gets little traffic": ("one ten times slower, 60%", 0.0, 0.02),
    "fast failures do not attract traffic": ("one fails fast, 60%", 0.005, 0.01),
    "no faults": ("calm, 80% load", 0.01, 0.2),
}


@pytest.mark.parametrize("name", LIMITS)
def test_router_meets_limits_that_random_choice_exceeds(name: str) -> None:
    scenario, unsuccessful_share, to_first_share = LIMITS[name]
    figures = Run("router", SCENARIOS[scenario], seed=7, seconds=6.0).execute()
    random_figures = Run("random", SCENARIOS[scenario], seed=7, seconds=6.0).execute()
    assert figures.unsuccessful_share <= unsuccessful_share <= random_figures.unsuccessful_share
    assert figures.sent_to_first <= to_first_share * len(figures.latencies_s)
