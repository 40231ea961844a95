"""Deadline queue, adaptive concurrency limit and Retry-After delay."""

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


def queued_items(queue: DeadlineQueue[str]) -> list[str]:
    return [item for _, item in queue.first(100)]


ORDERS: dict[str, tuple[int, list[tuple[str, int, float]], list[str]]] = {
    "by deadline, not by arrival": (
        9,
        [("a", 5, 3.0), ("b", 5, 1.0), ("c", 5, 2.0)],
        ["b", "c", "a"],
    ),
    "priority first": (9, [("a", 5, 1.0), ("b", 9, 3.0)], ["b", "a"]),
    "full: latest deadline is displaced": (
        2,
        [("a", 5, 3.0), ("b", 5, 1.0), ("c", 5, 2.0)],
        ["b", "c"],
    ),
    "full: lowest priority is displaced": (
        2,
        [("a", 1, 1.0), ("b", 5, 3.0), ("c", 5, 4.0)],
        ["b", "c"],
    ),
    "full: new entry may be displaced": (1, [("a", 5, 1.0), ("b", 5, 2.0)], ["a"]),
    "equal: first come, first served": (1, [("a", 5, 1.0), ("b", 5, 1.0)], ["a"]),
}


@pytest.mark.parametrize("name", ORDERS)
def test_queue_keeps_entries_by_priority_and_deadline(name: str) -> None:
    bound, arrivals, expected = ORDERS[name]
    queue: DeadlineQueue[str] = DeadlineQueue(bound)
    displaced = [queue.put(*arrival)[1] for arrival in arrivals]
    assert queued_items(queue) == expected
    assert sorted(filter(None, displaced)) == sorted({a[0] for a in arrivals} - set(expected))


@given(st.lists(st.tuples(st.integers(0, 9), st.floats(0, 100), st.booleans()), max_size=60))
def test_queued_entry_leaves_exactly_once(steps: list[tuple[int, float, bool]]) -> None:
    queue: DeadlineQueue[int] = DeadlineQueue(5)
    removed: list[int] = []
    for number, (priority, deadline, drop) in enumerate(steps):
        position, displaced = queue.put(number, priority, deadline)
        removed.extend([] if displaced is None else [displaced])
        if drop and queue.withdraw(position):
            removed.append(number)
        if number % 7 == 0:
            removed.extend(queue.drop_expired(deadline / 2))
        assert len(queue) <= 5
    removed.extend(queue.resize(0))
    assert sorted(removed) == list(range(len(steps)))


def run_limit(limit: ConcurrencyLimit, latency_s: float, windows: int, at: float) -> float:
    """Use ``limit`` fully for some windows with attempts of ``latency_s``."""
    for _ in range(windows * 12):
        while limit.has_capacity:
            limit.begin()
        at += 0.05
        limit.end(latency_s, at)
    return at


def test_limit_falls_when_latency_grows_and_rises_again() -> None:
    limit = ConcurrencyLimit(0.0)
    at = run_limit(limit, 0.02, 5, 0.0)
    baseline = limit.limit
    at = run_limit(limit, 0.2, 40, at)
    assert limit.limit < baseline / 3
    low = limit.limit
    run_limit(limit, 0.02, 20, at)
    assert limit.limit > 2 * low


@pytest.mark.parametrize("latency_s", [0.5, 1.0])
def test_limit_recovers_when_the_service_has_become_slower_by_itself(latency_s: float) -> None:
    """Guards against refusing requests for minutes beside free slots: with the least concurrency
    the service is no faster, so its latency is not due to the load."""
    wanted = 100
    limit = ConcurrencyLimit(0.0)
    at, lowest = 0.0, limit.limit
    while at < 210.0:
        in_flight = min(int(limit.limit), wanted)
        for _ in range(in_flight):
            limit.begin()
        took_s = 0.01 if at < 30.0 else latency_s
        at += took_s
        for _ in range(in_flight):
            limit.end(took_s, at)
        lowest = min(lowest, limit.limit)
    assert lowest < wanted / 5
    assert limit.limit >= wanted


def test_limit_far_above_concurrency_takes_effect_soon() -> None:
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


def test_unused_limit_does_not_grow() -> None:
    limit = ConcurrencyLimit(0.0)
    start = limit.limit
    for step in range(200):
        limit.begin()
        limit.end(0.02, step * 0.1)
    assert limit.limit == start


def test_retry_after_has_jitter_and_grows_with_refusals() -> None:
    """Guards against refused callers that retry together or too soon."""
    estimator = RetryAfterEstimator(random.Random(1))
    baseline = [estimator.retry_after_s(0.0) for _ in range(100)]
    for _ in range(500):
        estimator.refused()
        estimator.served()
    overloaded = [estimator.retry_after_s(2.0) for _ in range(100)]
    assert max(baseline) > 1.5 * min(baseline) and max(overloaded) > 1.5 * min(overloaded)
    assert min(overloaded) > max(baseline) and max(overloaded) <= 60.0


def test_goodput_holds_at_twice_the_capacity() -> None:
    """Guards against serving requests past their deadline under overload with retries."""
    figures = run("by deadline", 2.0, seed=5, seconds=2.0)
    assert figures.goodput > 0.9
    assert figures.unknown < 0.02 * figures.requests
    assert percentile_ms(figures.refused_s, 0.99) < 50


def test_expected_wait_grows_with_entries_ahead() -> None:
    assert expected_wait_s(0, 8, 0.1) == 0.0
    assert expected_wait_s(80, 8, 0.1) == pytest.approx(1.0)
