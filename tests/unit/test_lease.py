"""Leases: no expiry is reported before the holder's deadline, or by an interrupted observer."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphirelead.entry_lease_rows import ZoneRow
from sapphirelead.model_lease import (
    MAX_UNCHANGED,
    LeaseHolder,
    LeaseObserver,
    UnchangedCounter,
    WorkerClock,
)
from sapphirelead.ports import Row

EXPIRY_S = 25.0
MAX_GAP_S = 10.0


def test_only_a_committed_counter_renews() -> None:
    lease = LeaseHolder(20.0, 5.0)
    first = lease.next_heartbeat(0.0)
    lease.record_ack(first)
    for at in range(1, 30):
        lease.next_heartbeat(float(at))
        lease.record_ack(first)
    assert lease.deadline == 20.0
    lease.record_ack(15)
    assert lease.deadline == 34.0


@pytest.mark.parametrize(
    ("now", "may_act", "expiring"), [(0.0, True, False), (14.9, True, False), (15.0, False, True)]
)
def test_guard_before_the_deadline(now: float, may_act: bool, expiring: bool) -> None:
    lease = LeaseHolder(20.0, 5.0)
    assert not lease.may_act(0.0) and not lease.expiring(1e9)
    lease.record_ack(lease.next_heartbeat(0.0))
    assert (lease.may_act(now), lease.expiring(now)) == (may_act, expiring)


Step = tuple[float, int | None]


@pytest.mark.parametrize(
    ("steps", "expired"),
    [
        pytest.param([(t, 7) for t in range(0, 27, 2)], True, id="counter unchanged throughout"),
        pytest.param([(t, 7) for t in range(0, 25, 2)], False, id="shorter than the expiry time"),
        pytest.param([(t, t) for t in range(0, 60, 2)], False, id="counter grows"),
        pytest.param([(0, 7), (30, 7)], False, id="observer paused between two reads"),
        pytest.param(
            [(0, 7), (8, 7), (10, None), (18, 7), (26, 7), (34, 7)], False, id="a read failed"
        ),
        pytest.param(
            [(0, 7), *[(t, 7) for t in range(40, 68, 2)]], True, id="restarted after a pause"
        ),
    ],
)
def test_observer(steps: list[Step], expired: bool) -> None:
    observer = LeaseObserver(EXPIRY_S, MAX_GAP_S)
    found: list[tuple[str, str]] = []
    for now, counter in steps:
        if counter is None:
            observer.reset(now)
        else:
            found = observer.observe(now, {"i1": ("a", counter)})
    assert found == ([("i1", "a")] if expired else [])


def test_new_incarnation_restarts_the_observation() -> None:
    observer = LeaseObserver(EXPIRY_S, MAX_GAP_S)
    for now in range(0, 24, 2):
        observer.observe(now, {"i1": ("a", 3)})
    assert observer.observe(26.0, {"i1": ("b", 3)}) == []


@given(
    st.lists(st.floats(0.05, 4.0), min_size=5, max_size=60),
    st.integers(0, 40),
    st.floats(0.0, 3.0),
    st.floats(0.0, 3.0),
)
def test_holder_stops_before_any_observer_reports_expiry(
    gaps: list[float], last_commit: int, commit_delay: float, read_delay: float
) -> None:
    lease = LeaseHolder(20.0, 5.0)
    observer = LeaseObserver(EXPIRY_S, MAX_GAP_S)
    now, committed = 0.0, 0
    visible: list[tuple[float, int]] = []
    for index, gap in enumerate([*gaps, *[2.0] * 40]):
        now += gap
        counter = lease.next_heartbeat(now)
        if index <= last_commit:
            visible.append((now + commit_delay, counter))
        for at, value in visible:
            if at <= now:
                committed = max(committed, value)
                lease.record_ack(value)
        if observer.observe(now + read_delay, {"i": ("a", committed)}):
            assert now + read_delay > lease.deadline


@given(st.floats(0, 1e6), st.floats(0, 1e6), st.floats(0, 5), st.floats(0, 5), st.floats(0, 60))
def test_worker_lease_never_outlives_the_agents_lease(
    worker: float, loop: float, back: float, late: float, left: float
) -> None:
    received = loop + back + late
    clock = WorkerClock(clock=worker, received_at=received)
    deadline = loop + left
    true_worker_time: Callable[[float], float] = lambda at: worker + (at - loop)  # noqa: E731
    assert clock.convert(deadline) <= true_worker_time(deadline) + 1e-6


def unchanged(counter: int, age_s: float, incarnation: str = "a") -> dict[str, UnchangedCounter]:
    """Return a stored observation of the instance ``i``."""
    return {"i": UnchangedCounter(incarnation, counter, age_s)}


STORED = {
    "same": (unchanged(3, 10.0), 2.1, True),
    "too_short": (unchanged(3, 9.0), 2.1, False),
    "another_counter": (unchanged(2, 30.0), 2.1, False),
    "another_incarnation": (unchanged(3, 30.0, "b"), 2.1, False),
    "none": ({}, 2.1, False),
}


@pytest.mark.parametrize(("stored", "later_s", "expired"), STORED.values(), ids=STORED)
def test_a_stored_observation_counts_for_its_counter_only(
    stored: dict[str, UnchangedCounter], later_s: float, expired: bool
) -> None:
    """Guards against leases that never expire under entries that run briefly, or expire early."""
    observer = LeaseObserver(expiry_s=12.0, max_gap_s=5.0)
    assert observer.observe(100.0, {"i": ("a", 3)}, stored) == []
    found = observer.observe(100.0 + later_s, {"i": ("a", 3)}, stored)
    assert found == ([("i", "a")] if expired else [])


def test_observations_handed_on_never_exceed_the_time_since_the_commit() -> None:
    """Guards against an instance that is fenced while its lease lasts."""
    row = ZoneRow({"i": ("a", 3)})
    for start in range(0, 30, 3):
        observer = LeaseObserver(expiry_s=1000.0, max_gap_s=5.0)
        for second in (start, start + 1, start + 2):
            observer.observe(float(second), row.instances, row.unchanged)
            row.set_unchanged(observer.unchanged(min_age_s=0.5))
            age_s = row.unchanged["i"].age_s if row.unchanged else 0.0
            assert age_s <= second


def test_a_pause_of_the_observer_is_not_handed_on() -> None:
    """Guards against healthy instances that a paused entry fences when it resumes."""
    observer = LeaseObserver(expiry_s=2.0, max_gap_s=1.0)
    row = ZoneRow({"i": ("a", 3)})
    for at in (0.0, 0.25, 0.5, 0.75):
        assert observer.observe(at, row.instances, row.unchanged) == []
    row.set_unchanged(observer.unchanged(min_age_s=0.5))
    assert row.unchanged["i"].age_s == 0.75
    assert observer.observe(4.0, row.instances, row.unchanged) == []
    assert observer.observe(5.0, row.instances, row.unchanged) == []
    assert observer.observe(5.3, row.instances, row.unchanged) == [("i", "a")]


def test_stored_observations_are_bounded_and_follow_the_counters() -> None:
    """Guards against a row that keeps observations of instances that have gone on."""
    observer = LeaseObserver(expiry_s=1000.0, max_gap_s=5.0)
    counters = {f"i{number}": ("a", 1) for number in range(MAX_UNCHANGED + 20)}
    for second in range(4):
        observer.observe(float(second), counters)
    row = ZoneRow(dict(counters))
    row.set_unchanged(observer.unchanged(min_age_s=2.0))
    assert len(row.unchanged) == MAX_UNCHANGED
    row.instances = dict.fromkeys(counters, ("a", 2))
    row.set_unchanged({})
    assert row.unchanged == {}


@pytest.mark.parametrize("value", [{"i": ["a", 1]}, {"i": ["a", "x", 1]}, 7, ["i"]])
def test_damaged_observations_are_ignored(value: object) -> None:
    """Guards against a row of another writer that stops all lease rounds."""
    row = Row("leases/z", 1, {"instances": {"i": ["a", 1]}, "unchanged": value})
    assert ZoneRow.decode(row) == ZoneRow({"i": ("a", 1)})
