"""Queues by deadline, concurrency that follows latency, and when refused callers come back."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.bench_overload import percentile_ms, run
from sapphirelead.policy_limits import (
    ConcurrencyLimit,
    DeadlineQueue,
    RetryAfterEstimator,
    expected_wait_s,
)


def taken(queue: DeadlineQueue[str]) -> list[str]:
    return [item for _, item in queue.first(100)]


ORDERS: dict[str, tuple[int, list[tuple[str, int, float]], list[str]]] = {
    "by deadline, not by arrival": (
        9,
        [("a", 5, 3.0), ("b", 5, 1.0), ("c", 5, 2.0)],
        ["b", "c", "a"],
    ),
    "priority first": (9, [("a", 5, 1.0), ("b", 9, 3.0)], ["b", "a"]),
    "full: the latest deadline goes": (
        2,
        [("a", 5, 3.0), ("b", 5, 1.0), ("c", 5, 2.0)],
        ["b", "c"],
    ),
    "full: the lowest priority goes": (
        2,
        [("a", 1, 1.0), ("b", 5, 3.0), ("c", 5, 4.0)],
        ["b", "c"],
    ),
    "full: the newcomer may go": (1, [("a", 5, 1.0), ("b", 5, 2.0)], ["a"]),
    "equal: first come first served": (1, [("a", 5, 1.0), ("b", 5, 1.0)], ["a"]),
}


@pytest.mark.parametrize("name", ORDERS)
def test_queue_keeps_those_with_the_best_chance(name: str) -> None:
    bound, arrivals, expected = ORDERS[name]
    queue: DeadlineQueue[str] = DeadlineQueue(bound)
    lost = [queue.put(*arrival)[1] for arrival in arrivals]
    assert taken(queue) == expected
    assert sorted(filter(None, lost)) == sorted({a[0] for a in arrivals} - set(expected))


@given(st.lists(st.tuples(st.integers(0, 9), st.floats(0, 100), st.booleans()), max_size=60))
def test_queued_entry_leaves_exactly_once(steps: list[tuple[int, float, bool]]) -> None:
    queue: DeadlineQueue[int] = DeadlineQueue(5)
    left: list[int] = []
    for number, (priority, deadline, drop) in enumerate(steps):
        place, lost = queue.put(number, priority, deadline)
        left.extend([] if lost is None else [lost])
        if drop and queue.withdraw(place):
            left.append(number)
        if number % 7 == 0:
            left.extend(queue.drop_expired(deadline / 2))
        assert len(queue) <= 5
    left.extend(queue.resize(0))
    assert sorted(left) == list(range(len(steps)))


def run_limit(limit: ConcurrencyLimit, latency_s: float, windows: int, at: float) -> float:
    """Keep ``limit`` in full use for some windows in which each attempt takes ``latency_s``."""
    for _ in range(windows * 12):
        while limit.has_room:
            limit.begin()
        at += 0.05
        limit.end(latency_s, at)
    return at


def test_limit_falls_when_latency_grows_and_rises_again() -> None:
    limit = ConcurrencyLimit(0.0)
    at = run_limit(limit, 0.02, 5, 0.0)
    calm = limit.limit
    at = run_limit(limit, 0.2, 40, at)
    assert limit.limit < calm / 3
    low = limit.limit
    run_limit(limit, 0.02, 20, at)
    assert limit.limit > 2 * low


def test_limit_far_above_the_use_binds_soon_when_latency_grows() -> None:
    limit = ConcurrencyLimit(0.0)
    for _ in range(20):
        limit.begin()
    for step in range(24):
        limit.end(0.02, step * 0.05)
        limit.begin()
    for step in range(24, 72):
        limit.end(0.2, step * 0.05)
        limit.begin()
    assert limit.limit < 40


def test_limit_that_is_not_used_does_not_grow() -> None:
    limit = ConcurrencyLimit(0.0)
    start = limit.limit
    for step in range(200):
        limit.begin()
        limit.end(0.02, step * 0.1)
    assert limit.limit == start


def test_refused_callers_are_spread_and_sent_away_longer_under_pressure() -> None:
    """Twice the capacity arrives for a while, and each refused caller comes back when told.

    With one fixed delay they would come back together; with a short one the load would not fall.
    """
    pressure = RetryAfterEstimator(random.Random(1))
    calm = [pressure.retry_after_s(0.0) for _ in range(100)]
    for _ in range(500):
        pressure.refused()
        pressure.served()
    pressed = [pressure.retry_after_s(2.0) for _ in range(100)]
    assert max(calm) > 1.5 * min(calm) and max(pressed) > 1.5 * min(pressed)
    assert min(pressed) > max(calm) and max(pressed) <= 60.0


def test_goodput_holds_at_twice_the_capacity() -> None:
    """Twice as much arrives as can be served, and those refused come back when told.

    Without giving up what cannot be met, every answer comes after its caller has left: the bench
    measured a goodput of 0.1% of the capacity for a plain queue.
    """
    figures = run("by deadline", 2.0, seed=5, seconds=2.0)
    assert figures.goodput > 0.9
    assert figures.unknown < 0.02 * figures.asked
    assert percentile_ms(figures.refused_s, 0.99) < 50


def test_expected_wait_follows_what_is_ahead() -> None:
    assert expected_wait_s(0, 8, 0.1) == 0.0
    assert expected_wait_s(80, 8, 0.1) == pytest.approx(1.0)
