"""What a hub says of itself while it is behind."""

from typing import Any

import pytest

from sapphirelead.metrics import Metrics
from sapphirelead.node_hub_meter import BEHIND_S, TELL_S, HubMeter


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the fields of the lines that are logged."""
    found: list[dict[str, Any]] = []
    monkeypatch.setattr(
        "sapphirelead.node_hub_meter.log_event", lambda _level, _event, **kw: found.append(kw)
    )
    return found


def test_a_hub_that_keeps_up_logs_nothing_and_counts(lines: list[dict[str, Any]]) -> None:
    metrics = Metrics(lambda: 0.0)
    meter = HubMeter(metrics, 0.0)
    for _ in range(3):
        meter.took("report")
    meter.turned(BEHIND_S)
    meter.look(TELL_S)
    assert not lines
    assert metrics.value("hub_taken_total", kind="report") == 3


def test_a_long_turn_is_logged_once_a_second(lines: list[dict[str, Any]]) -> None:
    meter = HubMeter(Metrics(lambda: 0.0), 0.0)
    meter.took("report")
    meter.took("cancel")
    meter.turned(1.1 * BEHIND_S)
    for at in (0.5 * TELL_S, TELL_S, 1.5 * TELL_S, 2 * TELL_S):
        meter.look(at)
    assert [line["taken"] for line in lines] == ["cancel:1,report:1"]
