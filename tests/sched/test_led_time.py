"""The time led by all leaders, as rows state it."""

from typing import Any

import msgspec
import pytest

from sapphirelead.model_worker_life import make_life
from sapphirelead.ports import Row
from sapphirelead.sched_head import HEAD_KEY, HeadRow
from sapphirelead.sched_memory import MAX_MS, LeaderMemory, RunNote, TrackNote

HEAD: dict[str, Any] = {"epoch": 3, "leader": "e1", "txn": "t"}
LIFE = make_life("w1", 1)
MEMORY = LeaderMemory(
    {LIFE: TrackNote(1, 4000, 1500, True, 90, 500)},
    {"a.0.0": 1000},
    {"a.0.0.1/1": RunNote(2000, 1500, 0, 3, 40)},
    {"b.0.0.0": 700},
    {"c.0.0.0": 900},
    led_ms=10_000,
)


@pytest.mark.parametrize(
    ("fields", "led_s"),
    [({"led_ms": 1500}, 1.5), ({}, 0.0), ({"led_ms": "x"}, 0.0), ({"led_ms": -7}, 0.0)],
    ids=["stated", "version_before", "damaged", "negative"],
)
def test_a_head_row_is_read_with_or_without_the_time_led(
    fields: dict[str, Any], led_s: float
) -> None:
    """Guards against a row of another version or writer that no leader survives."""
    found = HeadRow.from_row(Row(HEAD_KEY, 5, {**HEAD, **fields}))
    assert (found.led_s, found.epoch) == (led_s, 3)


def test_what_is_stored_once_is_counted_on() -> None:
    """Guards against waits, cooldowns and moves of which a successor loses the time since."""
    later = MEMORY.advanced_to(11.0)
    assert later.tracks[LIFE] == TrackNote(1, 4000, 500, True, 90, 1500)
    assert (later.waits_ms["a.0.0"], later.task_waits_ms["c.0.0.0"]) == (2000, 1900)
    assert later.moved_ms["b.0.0.0"] == 1700
    assert later.runs == MEMORY.runs
    assert later.has_same_entries(MEMORY.advanced_to(11.0))


@pytest.mark.parametrize("led_s", [0.0, 9.0, 10.0])
def test_a_row_is_not_made_younger(led_s: float) -> None:
    """Guards against a head row without the time led, or of a version that has counted anew."""
    assert MEMORY.advanced_to(led_s) == MEMORY


def test_a_row_of_the_version_before_has_no_age() -> None:
    """Guards against ages that are counted from the beginning of all time."""
    assert msgspec.structs.replace(MEMORY, led_ms=0).advanced_to(1e6).waits_ms == MEMORY.waits_ms


def test_advanced_times_stay_readable() -> None:
    """Guards against a row that no successor can decode."""
    later = MEMORY.advanced_to(MAX_MS)
    assert LeaderMemory.decode(later.to_write().value) == later
