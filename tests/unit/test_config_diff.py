"""Configuration changes, including rule order, are described for the audit trail."""

from typing import Any

import pytest

from sapphirelead.model_config import ConfigDocument
from sapphirelead.model_config_diff import MAX_LINES, describe_changes

A: dict[str, Any] = {"name": "a", "when": {"load": {"below": 0.5}}}
B: dict[str, Any] = {"name": "b", "then": {"priority": 3}}


@pytest.mark.parametrize(
    ("before", "after", "changes"),
    [
        ({}, {}, ()),
        (
            {"services": {"x": {"deadline_ms": 10}}},
            {"services": {"x": {"deadline_ms": 20}}},
            ("services.x.deadline_ms: 10 -> 20",),
        ),
        (
            {"teams": {"t": {"weight": 2.0}}},
            {},
            ('teams.t: {"weight": 2.0} -> unset',),
        ),
        ({"rules": [A]}, {"rules": [B, A]}, ("rule 'b': added at 1",)),
        ({"rules": [A, B]}, {"rules": [B]}, ("rule 'a': removed",)),
        ({"rules": [A, B]}, {"rules": [B, A]}, ("rules in another order: b, a",)),
        (
            {"rules": [B]},
            {"rules": [{**B, "then": {"priority": 4}}]},
            ("rule 'b': then.priority: 3 -> 4",),
        ),
    ],
)
def test_describe_changes(before: Any, after: Any, changes: tuple[str, ...]) -> None:
    parse = ConfigDocument.model_validate
    assert describe_changes(parse(before), parse(after)) == changes


def test_number_of_lines_is_bounded() -> None:
    rules = [{"name": f"r{n}"} for n in range(MAX_LINES + 7)]
    changes = describe_changes(ConfigDocument(), ConfigDocument.model_validate({"rules": rules}))
    assert len(changes) == MAX_LINES + 1
    assert changes[-1] == "and 7 further changes"
