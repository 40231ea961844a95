"""Ordered when-then rules: for any situation, the first rule that matches decides.

A situation is a flat record of typed fields, filled by the entry from what it knows when the
decision is made.  A decision carries the name of the rule that made it into logs, metrics and
``rules explain``.
"""

from dataclasses import dataclass
from typing import Final

from sapphirelead.model_config import ConfigDocument, Matcher, RuleModel, Then

DEFAULT_RULE: Final = "(default)"


@dataclass(frozen=True, slots=True)
class Situation:
    """What a rule may look at.

    :ivar load: used share of the reachable slots (service) or capacity (batch), 0 to 1.
    :ivar slowdown: measured service latency relative to that without batch, 1.0 for none.
    :ivar healthy_share: share of known instances that are neither silent, ejected nor draining.
    """

    kind: str
    service: str = ""
    job_class: str = ""
    team: str = ""
    zone: str = ""
    urgent: bool = False
    idempotent: bool = True
    load: float = 0.0
    queue_length: int = 0
    deadline_ms: int = 0
    store_up: bool = True
    slowdown: float = 1.0
    healthy_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Decision:
    """What was decided, and by which rule."""

    rule: str
    then: Then


class RuleSet:
    """Compiled rules of one configuration version."""

    _rules: tuple[RuleModel, ...]

    def __init__(self, rules: tuple[RuleModel, ...]) -> None:
        self._rules = rules

    @classmethod
    def from_config(cls, document: ConfigDocument) -> "RuleSet":
        """Compile the rules of ``document``."""
        return cls(tuple(document.rules))

    def decide(self, situation: Situation) -> Decision:
        """Return the decision of the first rule that matches."""
        for rule in self._rules:
            if _matches(rule, situation):
                return Decision(rule.name, rule.then)
        return Decision(DEFAULT_RULE, Then())


def _matches(rule: RuleModel, situation: Situation) -> bool:
    for name in rule.when.model_fields_set:
        matcher: Matcher | None = getattr(rule.when, name)
        if matcher is not None and not _holds(matcher, getattr(situation, name)):
            return False
    return True


def _holds(matcher: Matcher, value: str | float | bool) -> bool:
    if matcher.eq is not None and value != matcher.eq:
        return False
    if matcher.one_of is not None and value not in matcher.one_of:
        return False
    if matcher.at_least is not None and not float(value) >= matcher.at_least:
        return False
    return matcher.below is None or float(value) < matcher.below
