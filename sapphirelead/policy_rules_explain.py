"""Explains which rule decides a situation, for ``rules explain``."""

from dataclasses import asdict, dataclass, fields
from typing import Any, Final

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.model_job import Kind
from sapphirelead.policy_rules import DEFAULT_RULE, CompiledRule, Decision, RuleSet, Situation

FIELDS: Final = tuple(field.name for field in fields(Situation))
KINDS: Final = tuple(kind.value for kind in Kind)
_SITUATION: Final = TypeAdapter(Situation)


@dataclass(frozen=True, slots=True)
class Step:
    """Result of one rule.

    :ivar because: the conditions that failed, or ``every condition holds``.
    """

    rule: str
    matched: bool
    because: str


@dataclass(frozen=True, slots=True)
class Explanation:
    """The decision, and the steps up to the deciding rule."""

    situation: Situation
    steps: tuple[Step, ...]
    decision: Decision

    def as_dict(self) -> dict[str, Any]:
        """Return the explanation as JSON-serialisable values."""
        return {
            "situation": asdict(self.situation),
            "steps": [asdict(step) for step in self.steps],
            "rule": self.decision.rule,
            "then": self.decision.then.model_dump(mode="json"),
        }


def explain(rules: RuleSet, situation: Situation) -> Explanation:
    """Evaluate the rules for a situation and explain the decision."""
    decision = rules.decide(situation)
    steps: list[Step] = []
    for rule in rules.rules:
        step = _step(rule, situation)
        steps.append(step)
        if step.matched:
            break
    if decision.rule == DEFAULT_RULE:
        steps.append(Step(DEFAULT_RULE, True, "no rule matches"))
    return Explanation(situation, tuple(steps), decision)


def parse_situation(raw: dict[str, Any]) -> Result[Situation, Failure]:
    """Validate a situation given by an operator; numbers and flags may be strings.

    >>> parse_situation({"kind": "service", "load": "0.5"}).unwrap().load
    0.5
    """
    unknown = sorted(set(raw) - set(FIELDS))
    if unknown:
        hint = f"a situation has the fields {', '.join(FIELDS)}"
        return Err(Failure(Code.BAD_REQUEST, f"unknown field {unknown[0]!r}", hint))
    if raw.get("kind") not in KINDS:
        return Err(Failure(Code.BAD_REQUEST, f"kind: must be one of {', '.join(KINDS)}"))
    try:
        return Ok(_SITUATION.validate_python(raw))
    except ValidationError as exc:
        first = exc.errors()[0]
        return Err(Failure(Code.BAD_REQUEST, f"{first['loc'][0]}: {first['msg']}"))


def _step(rule: CompiledRule, situation: Situation) -> Step:
    failed = [
        f"not {condition.text} (is {getattr(situation, condition.field)})"
        for condition in rule.conditions
        if not condition.holds(situation)
    ]
    because = "; ".join(failed) or "every condition holds"
    return Step(rule.decision.rule, not failed, because)
