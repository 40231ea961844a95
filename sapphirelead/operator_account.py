"""The command ``sapphirelead account``, which reports critical paths from log files."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Final

from sapphirelead.account import CriticalPath, Spent, account, total
from sapphirelead.operator_print import print_json, print_rows
from sapphirelead.options import Exit, Options

INCOMPLETE: Final = "the logs do not hold every start and end of their last task"
MAX_BAR_CHARS: Final = 40
PLOT_PERIOD_S: Final = 5.0
"""Time covered by one row of the plot."""


def show_account(options: Options) -> int:
    """Print the critical paths of the best-effort steps in log files."""
    missing = [name for name in options.logs if name != "-" and not Path(name).is_file()]
    if missing:
        print(f"no such file: {', '.join(missing)}", file=sys.stderr)
        return Exit.REFUSED
    found = account(_lines(options.logs))
    steps = found.steps
    if found.left_out:
        # Not on the standard output, which holds a list with --json.
        print(f"{found.left_out} steps left out: {INCOMPLETE}", file=sys.stderr)
    if options.json:
        print_json([_as_json(step) for step in steps])
        return Exit.OK
    if not steps:
        print("no filling step ended with a complete path in these logs")
        return Exit.OK
    spent = total(steps)
    whole = max(sum(spent.values()), 1e-9)
    print_rows(
        [
            {"spent": what, "seconds": round(seconds, 1), "share": f"{seconds / whole:.0%}"}
            for what, seconds in sorted(spent.items(), key=lambda item: -item[1])
        ]
    )
    late = sum(1 for step in steps if step.slack_s < 0)
    print(f"{len(steps)} steps ended; {late} of them were late already when they were ready")
    print_rows(_plot(steps))
    return Exit.OK


def _lines(names: tuple[str, ...]) -> Iterator[str]:
    for name in names:
        if name == "-":
            yield from sys.stdin
            continue
        with Path(name).open(errors="replace") as file:
            yield from file


def _as_json(step: CriticalPath) -> dict[str, object]:
    return {
        "step": step.name,
        "ready_at": step.ready_at,
        "ended_at": step.ended_at,
        "slack_s": step.slack_s,
        "spent_s": {what.name.lower(): round(step.spent[what], 3) for what in Spent},
    }


def _plot(steps: list[CriticalPath]) -> list[dict[str, object]]:
    """Return a row for each period: its steps, their mean and largest category, and a bar."""
    begin = steps[0].ended_at
    periods: dict[int, list[CriticalPath]] = {}
    for step in steps:
        periods.setdefault(int((step.ended_at - begin) // PLOT_PERIOD_S), []).append(step)
    means = {period: sum(total(ended).values()) / len(ended) for period, ended in periods.items()}
    longest = max(max(means.values()), 1e-9)
    rows: list[dict[str, object]] = []
    for period, ended in sorted(periods.items()):
        spent = total(ended)
        rows.append(
            {
                "from_s": round(period * PLOT_PERIOD_S),
                "steps": len(ended),
                "mean_s": round(means[period], 1),
                "most": max(spent, key=lambda what: spent[what]),
                "plot": "#" * round(means[period] / longest * MAX_BAR_CHARS),
            }
        )
    return rows
