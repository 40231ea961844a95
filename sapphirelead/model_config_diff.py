"""Describes the difference between two configuration documents for the audit trail.

Tables are compared key by key.  Rules are compared by name.  A change of rule order is reported
separately, because the first matching rule decides.
"""

import json
from collections.abc import Iterator
from typing import Any, Final

from sapphirelead.model_config import ConfigDocument

MAX_LINES: Final = 40
MAX_LINE_CHARS: Final = 200
RULES_KEY: Final = "rules"


def describe_changes(before: ConfigDocument, after: ConfigDocument) -> tuple[str, ...]:
    """Return one line per change, and a summary line for those beyond :data:`MAX_LINES`.

    >>> new = ConfigDocument.model_validate({"retries": {"budget_share": 0.2}})
    >>> describe_changes(ConfigDocument(), new)
    ('retries.budget_share: unset -> 0.2',)
    """
    lines = list(_changes(_dump(before), _dump(after)))
    shown = [
        line if len(line) <= MAX_LINE_CHARS else line[:MAX_LINE_CHARS] + "..." for line in lines
    ]
    if len(shown) > MAX_LINES:
        return (*shown[:MAX_LINES], f"and {len(shown) - MAX_LINES} further changes")
    return tuple(shown)


def _dump(document: ConfigDocument) -> dict[str, Any]:
    return document.model_dump(mode="json", by_alias=True, exclude_defaults=True)


def _changes(before: dict[str, Any], after: dict[str, Any]) -> Iterator[str]:
    old_rules = before.pop(RULES_KEY, [])
    new_rules = after.pop(RULES_KEY, [])
    for section in sorted(before.keys() | after.keys()):
        # Sections with only default values are omitted from the dump.
        yield from _compare(f"{section}.", before.get(section, {}), after.get(section, {}))
    yield from _compare_rules(old_rules, new_rules)


def _compare(prefix: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[str]:
    for key in sorted(before.keys() | after.keys()):
        old, new = before.get(key), after.get(key)
        path = f"{prefix}{key}"
        if old == new:
            continue
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _compare(f"{path}.", old, new)
        else:
            yield f"{path}: {_format_value(old)} -> {_format_value(new)}"


def _compare_rules(before: list[dict[str, Any]], after: list[dict[str, Any]]) -> Iterator[str]:
    old = {rule["name"]: rule for rule in before}
    new = {rule["name"]: rule for rule in after}
    for name in old:
        if name not in new:
            yield f"rule {name!r}: removed"
    for position, (name, rule) in enumerate(new.items(), start=1):
        if name not in old:
            yield f"rule {name!r}: added at {position}"
        else:
            yield from _compare(f"rule {name!r}: ", old[name], rule)
    kept_before = [name for name in old if name in new]
    kept_after = [name for name in new if name in old]
    if kept_before != kept_after:
        yield f"rules in another order: {', '.join(new)}"


def _format_value(value: Any) -> str:
    return "unset" if value is None else json.dumps(value, sort_keys=True)
