"""The documentation pages and the examples match the code."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from sapphirelead.errors import Code
from sapphirelead.model_config import ConfigDocument
from sapphirelead.operator_reference import reference_text
from sapphirelead.policy_rules import RuleSet
from sapphirelead.policy_rules_check import check_document
from sapphirelead.policy_rules_explain import parse_situation
from sapphirelead.settings import AgentSettings, EntrySettings, RunnerSettings
from sapphirelead.settings_load import load_settings
from sapphirelead.settings_toml import read_toml

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
EXAMPLES = ROOT / "examples"
MARKER = "<!-- reference: `sapphirelead config reference` prints what follows -->\n\n"


def page(name: str) -> str:
    return (DOCS / name).read_text()


def calls(names: set[str], position: int) -> Iterator[str]:
    """Yield the string at an argument position of each call of the functions with these names."""
    for path in (ROOT / "sapphirelead").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or len(node.args) <= position:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            argument = node.args[position]
            value = getattr(argument, "value", None)
            if name in names and isinstance(value, str):
                yield value


def test_reference_matches_command_output() -> None:
    assert page("CONFIGURATION.md").partition(MARKER)[2].strip() == reference_text()


def test_every_log_event_is_documented() -> None:
    rows = [line.split("|")[1] for line in page("OPERATIONS.md").splitlines() if line[:3] == "| `"]
    missing = {e for e in calls({"log_event"}, 1) if not any(f"`{e}`" in row for row in rows)}
    assert not missing


def test_every_metric_is_documented() -> None:
    text = page("OPERATIONS.md")
    names = {n for n in calls({"count", "gauge", "latency"}, 0) if "_" in n or n in ("hedges",)}
    assert "service_requests_total" in names
    assert not {n for n in names if f"`{n}`" not in text and f"`{n}{{" not in text}


@pytest.mark.parametrize("code", list(Code))
def test_every_code_is_documented(code: Code) -> None:
    assert f"| {code.value} | {code.name.lower()} |" in page("OPERATIONS.md")


@pytest.mark.parametrize("user", ["association", "varshapath"])
def test_examples_are_valid(user: str) -> None:
    document = check_document(read_toml(str(EXAMPLES / f"{user}.toml")).unwrap().data).unwrap()
    assert isinstance(document, ConfigDocument)
    entry = load_settings(str(EXAMPLES / f"{user}-entry.toml"), EntrySettings).unwrap()
    agent = load_settings(str(EXAMPLES / f"{user}-agent.toml"), AgentSettings).unwrap()
    assert agent.zone in entry.zones
    assert set(agent.services) == set(document.services)


def test_example_runner_serves_queues_of_example() -> None:
    runner = load_settings(str(EXAMPLES / "association-runner.toml"), RunnerSettings).unwrap()
    entry = load_settings(str(EXAMPLES / "association-entry.toml"), EntrySettings).unwrap()
    file = read_toml(str(EXAMPLES / "association.toml")).unwrap()
    queues = check_document(file.data).unwrap().queues
    assert {queue.service for queue in queues.values()} == {runner.service}
    assert entry.fleet is not None and entry.fleet.times == runner.times
    assert runner.zone in entry.zones


@pytest.mark.parametrize(
    ("user", "situation", "rule"),
    [
        ("association", "kind=batch store_up=false urgent=true", "hold new batch while the table"),
        ("association", "kind=batch urgent=true slowdown=2", "urgent rollovers first"),
        ("association", "kind=batch slowdown=1.5", "slow batch that disturbs"),
        ("association", "kind=batch slowdown=1.4", "(default)"),
        (
            "association",
            "service=maturity-check load=0.97 queue_length=200",
            "keep maturity checks",
        ),
        ("association", "service=maturity-check load=0.97", "maturity checks"),
        (
            "varshapath",
            "kind=batch job_class=repair-estimate slowdown=1.3 urgent=true",
            "estimates yi",
        ),
        (
            "varshapath",
            "kind=batch job_class=repair-estimate urgent=true",
            "estimates that an insurer",
        ),
        (
            "varshapath",
            "kind=watch job_class=claim-watch store_up=false",
            "hold new batch while the",
        ),
        ("varshapath", "service=photo-check load=0.98 queue_length=64", "tell surveyors early"),
        ("varshapath", "service=photo-check load=0.5 store_up=false", "photo checks"),
    ],
)
def test_example_rules_decide_as_intended(user: str, situation: str, rule: str) -> None:
    document = check_document(read_toml(str(EXAMPLES / f"{user}.toml")).unwrap().data).unwrap()
    raw = {"kind": "service", **dict(pair.split("=") for pair in situation.split())}
    decided = RuleSet.from_config(document).decide(parse_situation(raw).unwrap()).rule
    assert decided.startswith(rule)


def test_every_route_is_in_openapi_page() -> None:
    text = page("openapi.yaml")
    for path in calls({"post", "get", "delete"}, 0):
        if path.startswith(
            ("/v1/services", "/v1/jobs", "/v1/queues", "/healthz", "/readyz", "/metrics")
        ):
            assert f"\n  {path}:\n" in text, path
