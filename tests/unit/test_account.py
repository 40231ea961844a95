"""Critical paths of best-effort jobs, computed from log lines."""

from pathlib import Path

import pytest

from sapphirelead.account import Account, Spent, account, total
from sapphirelead.main import run_with

LINES = """\
 1.0 front-1 at=2026-01-01T00:00:01+00:00 level=info event=step_ready step=a.0.0 tasks=2 unclaimed=2 fills=true estimate_ms=2000 slack_s=3.5
 at=2026-01-01T00:00:02+00:00 level=info event=start_sent task=a.0.0.0 attempt=1 agent=g1
 at=2026-01-01T00:00:02+00:00 level=info event=start_sent task=a.0.0.1 attempt=1 agent=g2
 at=2026-01-01T00:00:04+00:00 level=info event=run_ended task=a.0.0.1 attempt=1 how=done reason=-
 at=2026-01-01T00:00:05+00:00 level=info event=run_ended task=a.0.0.0 attempt=1 how=stopped reason=slow
 at=2026-01-01T00:00:06+00:00 level=info event=start_sent task=a.0.0.0 attempt=2 agent=g2
 at=2026-01-01T00:00:07+00:00 level=info event=pace task=a.0.0.0 attempt=2 before=100 percent=50
 at=2026-01-01T00:00:10+00:00 level=info event=run_ended task=a.0.0.0 attempt=2 how=done reason=-
 at=2026-01-01T00:00:11+00:00 level=info event=step_ready step=b.0.0 tasks=1 unclaimed=1 fills=false estimate_ms=1 slack_s=1
a line that was cut: level=info event=start_sent
"""  # noqa: E501


def test_critical_path_follows_last_task_of_step() -> None:
    (step,) = account(reversed(LINES.splitlines())).steps
    assert step.name == "a.0.0"
    assert step.spent == {
        Spent.FIRST_PLACE: 1.0,
        Spent.AGAIN: 1.0,
        Spent.MOVED: 3.0,
        Spent.LOST: 0.0,
        Spent.HELD: 1.5,
        Spent.WORKED: 2.5,
    }
    assert sum(total([step]).values()) == step.ended_at - step.ready_at


def test_unfinished_step_is_omitted() -> None:
    unfinished = [line for line in LINES.splitlines() if "attempt=2 how=done" not in line]
    assert account(unfinished) == Account([], 0)


def test_command_prints_time_by_category(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "front.log"
    log.write_text(LINES)
    assert run_with(["account", str(log)]) == 0
    printed = capsys.readouterr().out
    assert "in runs that were moved                       3.0" in printed
    assert "1 steps ended; 0 of them were late already" in printed
    assert run_with(["account", str(log), "--json"]) == 0
    assert '"moved": 3.0' in capsys.readouterr().out
    assert run_with(["account", str(tmp_path / "none")]) == 1


@pytest.mark.parametrize(
    "missing",
    ["attempt=1 how=stopped", "task=a.0.0.0 attempt=2 agent", "task=a.0.0.0 attempt=1"],
    ids=["end", "start", "run"],
)
def test_path_that_the_log_does_not_hold_completely_is_left_out(missing: str) -> None:
    """Guards against a run without a known end that counts as one since 1970."""
    held = [line for line in LINES.splitlines() if missing not in line]
    assert account(held) == Account([], 1)


def test_incomplete_run_beside_the_critical_path_does_not_matter() -> None:
    """Guards against leaving out paths of which the log holds everything."""
    held = [line for line in LINES.splitlines() if "task=a.0.0.1 attempt=1 agent" not in line]
    assert [step.name for step in account(held).steps] == ["a.0.0"]


def test_claim_that_was_never_started_takes_no_time() -> None:
    """Guards against leaving out tasks whose claim ended before a start was sent."""
    held = LINES.replace("attempt=2", "attempt=3")
    refused = " at=2026-01-01T00:00:05+00:00 event=run_ended task=a.0.0.0 attempt=2 how=not_started"
    found = account([*held.splitlines(), refused + " reason=no_room"])
    assert [step.spent[Spent.AGAIN] for step in found.steps] == [1.0]


def test_command_prints_how_many_paths_were_left_out(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against sums that miss steps without a word."""
    log = tmp_path / "front.log"
    log.write_text("".join(line for line in LINES.splitlines(True) if "how=stopped" not in line))
    assert run_with(["account", str(log), "--json"]) == 0
    printed = capsys.readouterr()
    assert printed.out.strip() == "[]"
    assert "1 steps left out" in printed.err
