"""Output formats of the operators' commands."""

import json
import sys
from datetime import UTC, datetime
from typing import Any, Final

from sapphirelead.errors import Failure
from sapphirelead.policy_rules_check import Problem
from sapphirelead.settings_toml import TomlFile

COLUMN_GAP: Final = "  "
CHANGES_FIELD: Final = "changes"
TIME_FIELDS: Final = {"at_ms": "at", "submitted_ms": "submitted"}


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def print_record(record: dict[str, Any]) -> None:
    """Print a ``name: value`` line for each field."""
    for name, value in _readable(record).items():
        print(f"{name}: {_cell(value)}")


def print_rows(rows: list[dict[str, Any]]) -> None:
    """Print rows, which have the same fields, as aligned columns."""
    for line in table_lines([_readable(row) for row in rows]):
        print(line)


def table_lines(rows: list[dict[str, Any]]) -> list[str]:
    """Return rows as aligned lines below a header.

    >>> table_lines([{"id": "a", "tasks": 10}, {"id": "bcd", "tasks": 2}])
    ['id   tasks', 'a    10', 'bcd  2']
    """
    if not rows:
        return ["(none)"]
    cells = [list(rows[0]), *([_cell(value) for value in row.values()] for row in rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*cells, strict=True)]
    padded = [[cell.ljust(width) for cell, width in zip(row, widths, strict=True)] for row in cells]
    return [COLUMN_GAP.join(row).rstrip() for row in padded]


def print_audit(records: list[dict[str, Any]]) -> None:
    """Print accepted configuration changes, each followed by its list of changes."""
    rows = [{key: record[key] for key in record if key != CHANGES_FIELD} for record in records]
    head, *lines = table_lines([_readable(row) for row in rows])
    print(head)
    for line, record in zip(lines, records, strict=False):
        print(line)
        for change in record.get(CHANGES_FIELD, ()):
            print(f"    {change}")


def print_problems(file: TomlFile, problems: tuple[Problem, ...], as_json: bool) -> None:
    """Print the problems of a file with their lines."""
    if as_json:
        found = [
            {
                "file": file.name,
                "line": file.line_of(problem.path),
                "key": ".".join(str(part) for part in problem.path),
                "rule": problem.rule,
                "message": problem.message,
            }
            for problem in problems
        ]
        print_json({"ok": False, "problems": found})
        return
    for problem in problems:
        print(f"{file.where(problem.path)}: {problem}", file=sys.stderr)


def print_failure(failure: Failure, details: dict[str, Any], as_json: bool) -> None:
    """Print a failure with the problem details of the response, if any."""
    if as_json:
        own = {"code": failure.code, "detail": failure.message, "hint": failure.hint}
        print_json({"ok": False, **own, **details})
        return
    for found in details.get("problems", ()):
        problem = Problem(tuple(found["path"]), found["message"], found["rule"])
        print(problem, file=sys.stderr)
    print(failure, file=sys.stderr)


def print_explanation(explained: dict[str, Any]) -> None:
    """Print each rule that was evaluated with the reason for its result, and the decision."""
    for step in explained["steps"]:
        mark = "=>" if step["matched"] else "  "
        print(f"{mark} {step['rule']}: {step['because']}")
    then = explained["then"]
    print("then: " + ", ".join(f"{name}={_cell(value)}" for name, value in then.items()))


def _readable(record: dict[str, Any]) -> dict[str, Any]:
    """Return a record with its wall-clock times in ISO format.

    >>> _readable({"key": "a", "at_ms": 1_796_239_896_642})
    {'key': 'a', 'at': '2026-12-02T19:31:36+00:00'}
    """
    readable = dict(record)
    for field, name in TIME_FIELDS.items():
        if field in readable:
            at = datetime.fromtimestamp(readable[field] / 1000, UTC)
            readable[field] = at.isoformat(timespec="seconds")
            readable = {name if key == field else key: v for key, v in readable.items()}
    return readable


def _cell(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)
