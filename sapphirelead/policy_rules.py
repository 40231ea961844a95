"""Ordered when-then rules: the first rule that matches a situation decides.

A situation is a flat record of typed fields, filled in by the entry.  A decision carries the name
of its rule for logs, metrics and ``rules explain``.  Rules are compiled to closures once per
configuration version.
"""

from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from sapphirelead.errors import Code, Failure
from sapphirelead.model_config import ConfigDocument, Matcher, RuleModel, Then

DEFAULT_RULE: Final = "(default)"


@dataclass(frozen=True, slots=True)
class Situation:
    """The fields that rules can match on.

    :ivar load: used share of the reachable slots (service) or capacity (batch), 0 to 1.
    :ivar slowdown: measured service latency relative to that without batch, 1.0 for none.
    :ivar healthy_share: share of known instances that are responsive and neither ejected nor
        draining.
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
    """The action to take, and the rule that decided it."""

    rule: str
    then: Then

    def refusal(self, work: str) -> Failure | None:
        """Return the failure to report if the rule refuses the work, else ``None``.

        :param work: kind of work for the message: ``request`` or ``job``.
        """
        if self.then.action != "refuse":
            return None
        return Failure(Code.REFUSED_BY_RULE, f"rule {self.rule!r} refuses this {work} now")


Predicate = Callable[[Situation], bool]


@dataclass(frozen=True, slots=True)
class CompiledCondition:
    """One compiled field of a rule.

    :ivar text: the condition for display, for instance ``load at_least 0.8``.
    """

    field: str
    text: str
    holds: Predicate


@dataclass(frozen=True, slots=True)
class CompiledRule:
    """A rule with compiled conditions."""

    decision: Decision
    conditions: tuple[CompiledCondition, ...]


class RuleSet:
    """Compiled rules of one configuration version."""

    rules: tuple[CompiledRule, ...]
    _predicates: tuple[tuple[tuple[Predicate, ...], Decision], ...]
    _default: Decision

    def __init__(self, rules: tuple[RuleModel, ...]) -> None:
        self.rules = tuple(_compile(rule) for rule in rules)
        self._predicates = tuple(
            (tuple(condition.holds for condition in rule.conditions), rule.decision)
            for rule in self.rules
        )
        self._default = Decision(DEFAULT_RULE, Then())

    @classmethod
    def from_config(cls, document: ConfigDocument) -> "RuleSet":
        """Compile the rules of ``document``."""
        return cls(tuple(document.rules))

    def decide(self, situation: Situation) -> Decision:
        """Return the decision of the first rule that matches."""
        for predicates, decision in self._predicates:
            # Not all(): a generator is slower.
            for predicate in predicates:
                if not predicate(situation):
                    break
            else:
                return decision
        return self._default


def _compile(rule: RuleModel) -> CompiledRule:
    found: list[CompiledCondition] = []
    for name in type(rule.when).model_fields:
        matcher: Matcher | None = getattr(rule.when, name)
        if matcher is not None:
            found.extend(_conditions(name, matcher))
    return CompiledRule(Decision(rule.name, rule.then), tuple(found))


def _conditions(name: str, matcher: Matcher) -> list[CompiledCondition]:
    found: list[CompiledCondition] = []
    if matcher.eq is not None:
        found.append(
            CompiledCondition(
                name, f"{name} eq {_format_value(matcher.eq)}", _equals(name, matcher.eq)
            )
        )
    if matcher.one_of is not None:
        text = f"{name} in [{', '.join(matcher.one_of)}]"
        found.append(CompiledCondition(name, text, _one_of(name, frozenset(matcher.one_of))))
    if matcher.at_least is not None:
        text = f"{name} at_least {matcher.at_least:g}"
        found.append(CompiledCondition(name, text, _at_least(name, matcher.at_least)))
    if matcher.below is not None:
        text = f"{name} below {matcher.below:g}"
        found.append(CompiledCondition(name, text, _below(name, matcher.below)))
    return found


def _equals(name: str, wanted: str | float | bool) -> Predicate:
    get = attrgetter(name)
    return lambda situation: bool(get(situation) == wanted)


def _one_of(name: str, wanted: frozenset[str]) -> Predicate:
    get = attrgetter(name)
    return lambda situation: get(situation) in wanted


def _at_least(name: str, bound: float) -> Predicate:
    get = attrgetter(name)
    return lambda situation: bool(get(situation) >= bound)


def _below(name: str, bound: float) -> Predicate:
    get = attrgetter(name)
    return lambda situation: bool(get(situation) < bound)


def _format_value(value: str | float | bool) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
