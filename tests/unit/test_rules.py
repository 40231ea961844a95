"""Evaluation, validation and explanation of rules."""

import time
import timeit
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphirelead.model_config import ConfigDocument
from sapphirelead.policy_rules import RuleSet, Situation
from sapphirelead.policy_rules_check import check_document
from sapphirelead.policy_rules_explain import explain, parse_situation

BASE: dict[str, Any] = {
    "services": {"checks": {}, "uploads": {}},
    "job_classes": {"rollover": {}},
    "teams": {"kochi": {}},
}
RULES: list[dict[str, Any]] = [
    {
        "name": "shed",
        "when": {"load": {"at_least": 0.9}, "urgent": {"eq": False}},
        "then": {"action": "refuse", "retry_after_ms": 2_000},
    },
    {"name": "checks", "when": {"service": {"in": ["checks"]}}, "then": {"priority": 9}},
]


def compiled(rules: list[dict[str, Any]]) -> RuleSet:
    return RuleSet.from_config(ConfigDocument.model_validate({"rules": rules}))


@pytest.mark.parametrize(
    ("situation", "rule"),
    [
        (Situation("service", service="checks", load=0.95), "shed"),
        (Situation("service", service="checks", load=0.9), "shed"),
        (Situation("service", service="checks", load=0.89), "checks"),
        (Situation("service", service="checks", load=0.95, urgent=True), "checks"),
        (Situation("batch", job_class="rollover"), "(default)"),
    ],
)
def test_first_matching_rule_decides(situation: Situation, rule: str) -> None:
    rules = compiled(RULES)
    explained = explain(rules, situation)
    assert rules.decide(situation).rule == rule
    assert [step.rule for step in explained.steps if step.matched] == [rule]


def test_explanation_names_each_condition_that_failed() -> None:
    steps = explain(compiled(RULES), Situation("service", service="checks", load=0.5)).steps
    assert steps[0].because == "not load at_least 0.9 (is 0.5)"
    assert steps[1].because == "every condition holds"


def with_rules(*rules: dict[str, Any]) -> dict[str, Any]:
    return {**BASE, "rules": list(rules)}


def rule(when: dict[str, Any], then: dict[str, Any] | None = None, name: str = "r") -> Any:
    return {"name": name, "when": when, "then": then or {}}


LOW = rule({"load": {"below": 0.5}}, name="low")
HIGH = rule({"load": {"at_least": 0.5}}, name="high")


@pytest.mark.parametrize(
    ("document", "path", "part"),
    [
        ({"rulez": []}, ("rulez",), "not permitted"),
        (with_rules(rule({"lod": {"eq": 1}})), ("rules", 0, "when", "lod"), "not permitted"),
        (with_rules(rule({"load": {}})), ("rules", 0, "when", "load"), "restricts nothing"),
        (with_rules(rule({"load": {"in": ["x"]}})), ("rules", 0, "when", "load"), "is a number"),
        (with_rules(rule({"urgent": {"below": 1}})), ("rules", 0, "when", "urgent"), "no order"),
        (with_rules(rule({"urgent": {"eq": "yes"}})), ("rules", 0, "when", "urgent"), "is a flag"),
        (
            with_rules(rule({"load": {"at_least": 0.8, "below": 0.8}})),
            ("rules", 0, "when", "load"),
            "can never match",
        ),
        (
            with_rules(rule({"healthy_share": {"at_least": 1.5}})),
            ("rules", 0, "when", "healthy_share"),
            "can never match",
        ),
        (with_rules(rule({"kind": {"eq": "cron"}})), ("rules", 0, "when", "kind"), "never match"),
        (with_rules(rule({"service": {"in": []}})), ("rules", 0, "when", "service"), "never match"),
        (
            with_rules(rule({"service": {"eq": "chekcs"}})),
            ("rules", 0, "when", "service"),
            "unknown service 'chekcs'",
        ),
        (with_rules(rule({"team": {"eq": "x"}})), ("rules", 0, "when", "team"), "unknown team"),
        (
            with_rules(rule({}, name="all"), rule({"urgent": {"eq": True}})),
            ("rules", 1),
            "rule 'all' before it",
        ),
        (with_rules(LOW, HIGH, rule({})), ("rules", 2), "rules before it together"),
        (with_rules(LOW, LOW), ("rules", 1, "name"), "another rule has this name"),
        (
            with_rules(rule({}, {"action": "refuse", "priority": 1})),
            ("rules", 0, "then", "priority"),
            "the rule refuses",
        ),
        (
            with_rules(rule({"kind": {"eq": "batch"}}, {"hedge": True})),
            ("rules", 0, "then", "hedge"),
            "only requests to services",
        ),
        (
            with_rules(rule({"idempotent": {"eq": False}}, {"hedge": True})),
            ("rules", 0, "then", "hedge"),
            "only idempotent",
        ),
        (
            with_rules(rule({"kind": {"eq": "service"}}, {"throttle_share": 0.5})),
            ("rules", 0, "then", "throttle_share"),
            "batch jobs and watches only",
        ),
        (
            with_rules(rule({}, {"avoid_services": ["x"]})),
            ("rules", 0, "then", "avoid_services"),
            "unknown service 'x'",
        ),
        (with_rules(rule({}, {"zones": ["z9"]})), ("rules", 0, "then", "zones"), "zone 'z9'"),
    ],
)
def test_problem_names_the_key(document: Any, path: tuple[Any, ...], part: str) -> None:
    problems = check_document(document, zones=["z1"]).unwrap_err()
    found = [problem for problem in problems if problem.path == path]
    assert found and part in found[0].message, problems


def test_valid_rules_are_accepted() -> None:
    partly_covered = rule({"load": {"at_least": 0.4}, "team": {"eq": "kochi"}}, name="partly")
    document = with_rules(LOW, partly_covered, *RULES)
    assert check_document(document).is_ok()


CONDITIONS = st.fixed_dictionaries(
    {},
    optional={
        "kind": st.sampled_from([{"eq": "batch"}, {"in": ["batch", "watch"]}, {"eq": "service"}]),
        "urgent": st.sampled_from([{"eq": True}, {"eq": False}]),
        "load": st.sampled_from([{"below": 0.5}, {"at_least": 0.5}, {"at_least": 0.2}]),
    },
)
GRID = [
    Situation(kind, urgent=urgent, load=load)
    for kind in ("service", "batch", "watch")
    for urgent in (True, False)
    for load in (0.0, 0.2, 0.4, 0.5, 1.0)
]


@given(st.lists(CONDITIONS, max_size=6))
def test_rule_is_rejected_exactly_if_unreachable(whens: list[dict[str, Any]]) -> None:
    rules = [rule(when, name=str(number)) for number, when in enumerate(whens)]
    checked = check_document({"rules": rules})
    refused = {problem.rule for problem in checked.err() or ()}
    decide = compiled(rules).decide
    reached = {decide(situation).rule for situation in GRID} - {"(default)"}
    assert refused == {r["name"] for r in rules} - reached


@pytest.mark.parametrize(
    ("raw", "part"),
    [
        ({"kind": "x"}, "kind"),
        ({"kind": "batch", "x": "1"}, "'x'"),
        ({"kind": "batch", "load": "?"}, "load"),
    ],
)
def test_invalid_situation_is_rejected(raw: dict[str, str], part: str) -> None:
    assert part in parse_situation(raw).unwrap_err().message


def test_decision_over_100_rules_stays_under_50_microseconds() -> None:
    rules = [
        rule({"service": {"eq": f"s{n}"}, "load": {"at_least": 0.5}}, name=str(n))
        for n in range(100)
    ]
    decide = compiled(rules).decide
    situation = Situation("service", service="none", load=0.9)
    # Processor time: wall time would include other processes.
    timings = timeit.repeat(
        lambda: decide(situation), timer=time.process_time, number=200, repeat=5
    )
    assert min(timings) / 200 < 50e-6
