"""Rows of the leader's optional parts."""

from typing import Any

import pytest

from sapphirelead.node_leader_rows import MAX_BYTES, LeaderRows
from sapphirelead.ports import Row


class FakePart:
    """A part whose state is a few bytes."""

    key = "fleet/fake"

    def __init__(self, data: bytes | None = b"a") -> None:
        self.data = data
        self.restored: list[tuple[bytes, float]] = []

    def encode(self, at: float) -> bytes | None:
        return self.data

    def restore(self, data: bytes, age_s: float) -> None:
        self.restored.append((data, age_s))


def test_a_successor_restores_what_was_written() -> None:
    """Guards against state that is lost, or dated wrongly, with a change of leaders."""
    part = FakePart()
    (write,) = LeaderRows([part]).writes(5.0, 20.0)
    LeaderRows([part]).restore([Row(write.key, 1, write.value)], 23.5)
    assert part.restored == [(b"a", 3.5)]


def test_an_unchanged_row_is_not_written_again() -> None:
    """Guards against a write in every transaction."""
    part = FakePart()
    rows = LeaderRows([part])
    assert len(rows.writes(0.0, 0.0)) == 1
    assert not rows.writes(9.0, 9.0)
    part.data = b"b"
    assert len(rows.writes(9.1, 9.1)) == 1


def test_changes_within_a_second_share_a_write_unless_the_leader_resigns() -> None:
    """Guards against a write rate that grows with the rate of changes."""
    part = FakePart()
    rows = LeaderRows([part])
    rows.writes(0.0, 0.0)
    part.data = b"b"
    assert not rows.writes(0.9, 0.9)
    assert len(rows.writes(0.9, 0.9, last=True)) == 1


@pytest.mark.parametrize(
    "value", [None, {}, {"data": b"x"}, {"data": "x", "led_ms": 1}, {"data": b"x", "led_ms": "1"}]
)
def test_a_damaged_row_counts_as_empty(value: dict[str, Any] | None) -> None:
    """Guards against a leader that cannot serve because of another writer's row."""
    part = FakePart()
    LeaderRows([part]).restore([Row(part.key, 3, value)], 1.0)
    assert not part.restored


def test_a_row_that_is_too_large_is_left_out() -> None:
    """Guards against a transaction that the store refuses because of a part's row."""
    assert not LeaderRows([FakePart(b"x" * (MAX_BYTES + 1))]).writes(0.0, 0.0)
