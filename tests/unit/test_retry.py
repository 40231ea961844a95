"""Conditions and budget of retries and hedges."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphirelead.model_config import RetryPolicy
from sapphirelead.policy_retry import (
    INITIAL_TOKENS,
    AttemptState,
    RecentLatency,
    RetryBudget,
    hedge_after_s,
    may_retry,
)

ALLOWED: dict[str, tuple[AttemptState, bool]] = {
    "idempotent, may have run": (AttemptState(True, False, 1), True),
    "not idempotent, may have run": (AttemptState(False, False, 1), False),
    "not idempotent, proven not run": (AttemptState(False, True, 1), True),
    "attempts used up": (AttemptState(True, True, 3), False),
}


@pytest.mark.parametrize("name", ALLOWED)
def test_retry_only_if_nothing_can_run_twice(name: str) -> None:
    state, expected = ALLOWED[name]
    assert may_retry(state, RetryPolicy(max_attempts=3)) is expected


@given(
    st.lists(st.integers(0, 5), min_size=1, max_size=400),
    st.sampled_from([0.0, 0.05, 0.1, 0.5]),
)
def test_budget_holds_for_any_traffic(wanted: list[int], share: float) -> None:
    """Guards against retries beyond the share when every request fails."""
    budget = RetryBudget(share)
    granted = 0
    for number, retries in enumerate(wanted, start=1):
        budget.request()
        granted += sum(budget.take() for _ in range(retries))
        assert granted <= max(INITIAL_TOKENS if share else 0, share * number + 1e-6)


def test_hedge_waits_for_the_measured_percentile() -> None:
    window = RecentLatency(0.0)
    policy = RetryPolicy(hedge_percentile=95.0)
    assert hedge_after_s(window, policy, True, 0.0) is None, "nothing measured yet"
    for number in range(1, 101):
        window.record(number / 1000, 1.0)
    assert hedge_after_s(window, policy, True, 2.0) == pytest.approx(0.095, rel=0.02)
    assert hedge_after_s(window, policy, False, 2.0) is None


def test_percentile_is_kept_across_window_rotation() -> None:
    window = RecentLatency(0.0)
    for _ in range(100):
        window.record(0.05, 1.0)
    window.record(0.05, 20.0)
    assert window.percentile_s(50.0, 21.0) == pytest.approx(0.05, rel=0.02)
