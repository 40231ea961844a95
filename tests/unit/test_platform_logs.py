"""The checks of the soak on logs of entries."""

from pathlib import Path

import pytest

from bench.platform_logs import runs_listed_by_next_lives

LINE = (
    "at=2026-01-01T00:00:00 level=warning event={event} task=aa.0.0.0 attempt=1 phase={phase} "
    "agent=a1 worker={worker} epoch=1 ended={ended} reason=worker_gone ended_on={ended_on}"
)


@pytest.mark.parametrize(
    ("changes", "count"),
    [
        ({}, 1),
        ({"ended": "not_started"}, 1),
        ({"ended": "done"}, 0),
        ({"ended": "unknown", "ended_on": "-"}, 0),
        ({"worker": "i-1/1"}, 0),
        ({"worker": "i-2/2"}, 0),
        ({"worker": "-"}, 0),
        ({"event": "end_unclaimed"}, 0),
        ({"phase": "stopping"}, 0),
    ],
)
def test_runs_that_a_next_life_lists_are_found(
    changes: dict[str, str], count: int, tmp_path: Path
) -> None:
    fields = {"event": "run_unclaimed", "phase": "running", "worker": "i-1/2", "ended": "lost"}
    fields["ended_on"] = "i-1/1"
    log = tmp_path / "e1.log"
    log.write_text(f"Traceback (most recent call last):\n{LINE.format(**fields | changes)}\n")
    found = list(runs_listed_by_next_lives([log]))
    assert [violation.rule for violation in found] == ["listed_by_next_life"] * count
