"""Metrics and log lines of an overloaded hub."""

from collections import Counter
from typing import Any

import pytest

from sapphirelead.metrics import Metrics
from sapphirelead.node_hub_meter import BEHIND_THRESHOLD_S, EXPORT_INTERVAL_S, HubMeter


class Backlog:
    """A backlog controlled by the test."""

    def __init__(self) -> None:
        self.merged: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()

    def counts(self) -> Counter[str]:
        return Counter({"state": 7})


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the fields of the logged lines."""
    found: list[dict[str, Any]] = []
    monkeypatch.setattr(
        "sapphirelead.node_hub_meter.log_event", lambda _level, _event, **kw: found.append(kw)
    )
    return found


def test_a_hub_that_keeps_up_logs_nothing_and_counts(lines: list[dict[str, Any]]) -> None:
    metrics = Metrics(lambda: 0.0)
    meter = HubMeter(metrics, Backlog(), 0.0)
    for _ in range(3):
        meter.count_message("report", BEHIND_THRESHOLD_S)
    meter.record_turn(BEHIND_THRESHOLD_S)
    meter.export_if_due(EXPORT_INTERVAL_S)
    assert not lines
    assert metrics.value("hub_taken_total", kind="report") == 3
    assert b"hub_waiting 7.0" in metrics.render()


def test_a_long_turn_is_logged_once_a_second(lines: list[dict[str, Any]]) -> None:
    meter = HubMeter(Metrics(lambda: 0.0), Backlog(), 0.0)
    meter.count_message("report", 0.0)
    meter.count_message("cancel", 0.0)
    meter.record_turn(1.1 * BEHIND_THRESHOLD_S)
    for at in (
        0.5 * EXPORT_INTERVAL_S,
        EXPORT_INTERVAL_S,
        1.5 * EXPORT_INTERVAL_S,
        2 * EXPORT_INTERVAL_S,
    ):
        meter.export_if_due(at)
    assert [line["taken"] for line in lines] == ["cancel:1,report:1"]


def test_a_long_wait_is_logged_with_what_still_waits(lines: list[dict[str, Any]]) -> None:
    meter = HubMeter(Metrics(lambda: 0.0), Backlog(), 0.0)
    meter.count_message("cancel", 2 * BEHIND_THRESHOLD_S)
    meter.count_message("cancel", 0.0)
    meter.export_if_due(EXPORT_INTERVAL_S)
    (line,) = lines
    assert line["waits_ms"] == f"cancel:{2000 * BEHIND_THRESHOLD_S:g}"
    assert line["waiting"] == "state:7"


def test_dropped_messages_are_logged_and_counted(lines: list[dict[str, Any]]) -> None:
    metrics = Metrics(lambda: 0.0)
    backlog = Backlog()
    meter = HubMeter(metrics, backlog, 0.0)
    for at in (EXPORT_INTERVAL_S, 2 * EXPORT_INTERVAL_S):
        backlog.dropped = backlog.dropped + Counter({"state": 2})
        meter.export_if_due(at)
    assert [line["dropped"] for line in lines] == ["state:2", "state:2"]
    assert metrics.value("hub_dropped_total", kind="state") == 4
