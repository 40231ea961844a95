"""Validation of a configuration document before it is accepted.

Runs when operators check or apply a change, but not when a stored version is read, so that a
release with stricter checks can read versions accepted by earlier releases.

In addition to the types, it reports unreachable rules, undeclared names, and actions that can never
be carried out.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Any, Final

from pydantic import ValidationError
from result import Err, Ok, Result

from sapphirelead.model_config import (
    ConfigDocument,
    KeyPath,
    Matcher,
    OrganisationModel,
    QueueModel,
    RuleModel,
)
from sapphirelead.policy_rules import DEFAULT_RULE
from sapphirelead.policy_rules_region import (
    DOMAINS,
    Box,
    Range,
    TextSet,
    box_of,
    covers,
    uncovered,
    values_of,
)

FLAG_FIELDS: Final = frozenset({"urgent", "idempotent", "store_up"})
SHARE_ROUNDING: Final = 1e-9
"""Tolerance of a sum of shares, which are decimal fractions."""

ADMISSION_ONLY_KEYS: Final = (
    "zones",
    "priority",
    "hedge",
    "urgent",
    "max_queue_ms",
    "throttle_share",
)


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem in a document.

    :ivar path: keys and indices of the value concerned.
    :ivar rule: name of the rule concerned, or empty.
    """

    path: KeyPath
    message: str
    rule: str = ""

    def __str__(self) -> str:
        where = f"rule {self.rule!r}: " if self.rule else ""
        return f"{where}{'.'.join(str(part) for part in self.path)}: {self.message}"


def check_document(
    raw: Any, zones: Collection[str] = ()
) -> Result[ConfigDocument, tuple[Problem, ...]]:
    """Check a decoded document.

    :param zones: the deployment's availability zones; zones are not checked if it is empty.
    """
    try:
        document = ConfigDocument.model_validate(raw)
    except ValidationError as exc:
        return Err(tuple(_problem(raw, error["loc"], error["msg"]) for error in exc.errors()))
    found = tuple(_find_problems(document, zones))
    return Err(found) if found else Ok(document)


def _problem(raw: Any, loc: KeyPath, message: str) -> Problem:
    rule = ""
    if len(loc) > 1 and loc[0] == "rules" and isinstance(loc[1], int):
        named = raw["rules"][loc[1]]
        rule = str(named.get("name", "")) if isinstance(named, dict) else ""
    return Problem(loc, message, rule)


def _find_problems(document: ConfigDocument, zones: Collection[str]) -> Iterator[Problem]:
    names = _declared(document, zones)
    for zone in document.evacuated_zones if zones else ():
        if zone not in zones:
            yield Problem(("evacuated_zones", zone), f"unknown availability zone {zone!r}")
    yield from _check_queues(document)
    seen: set[str] = set()
    earlier: list[tuple[str, Box]] = []
    for number, rule in enumerate(document.rules):
        path: KeyPath = ("rules", number)
        own = list(_check_rule(path, rule, document, names, seen))
        yield from own
        seen.add(rule.name)
        if any(found.path[2:3] == ("when",) for found in own):
            continue
        box = box_of(rule.when)
        if not uncovered(box, [other for _, other in earlier]):
            yield Problem(path, _covered_by(box, earlier), rule.name)
        earlier.append((rule.name, box))


def _check_queues(document: ConfigDocument) -> Iterator[Problem]:
    declared = document.services
    for name, queue in document.queues.items():
        if declared and queue.service not in declared:
            known = ", ".join(sorted(declared))
            text = f"unknown service {queue.service!r}; the document declares {known}"
            yield Problem(("queues", name, "service"), text)
        advice = queue.advice
        if not advice.valid_ms and (advice.base_ms or advice.each_ms):
            text = "a ticket that is never valid lets nothing start; set it, or leave advice out"
            yield Problem(("queues", name, "advice", "valid_ms"), text)
        if queue.organisation and queue.organisation not in document.organisations:
            text = f"unknown organisation {queue.organisation!r}; add it under organisations"
            yield Problem(("queues", name, "organisation"), text)
    yield from _check_shares(document)


def _check_shares(document: ConfigDocument) -> Iterator[Problem]:
    siblings: dict[str, float] = {}
    for name, queue in document.queues.items():
        yield from _check_share(("queues", name), queue)
        if queue.organisation:
            guaranteed = siblings.get(queue.organisation, 0.0) + queue.guaranteed_share
            siblings[queue.organisation] = guaranteed
    for name, organisation in document.organisations.items():
        yield from _check_share(("organisations", name), organisation)
    siblings[""] = sum(item.guaranteed_share for item in document.organisations.values()) + sum(
        queue.guaranteed_share for queue in document.queues.values() if not queue.organisation
    )
    for name, guaranteed in siblings.items():
        if guaranteed > 1.0 + SHARE_ROUNDING:
            path = ("organisations", name) if name else ("organisations",)
            yield Problem(path, f"guaranteed shares add up to {guaranteed:g}; lower them to 1")


def _check_share(path: KeyPath, item: OrganisationModel | QueueModel) -> Iterator[Problem]:
    if 0 < item.limit_share < item.guaranteed_share:
        text = "is below guaranteed_share; raise it, or set 0 for no bound"
        yield Problem((*path, "limit_share"), text)


def _covered_by(box: Box, earlier: list[tuple[str, Box]]) -> str:
    alone = next((name for name, other in earlier if covers(other, box)), None)
    by = f"rule {alone!r} before it" if alone else "the rules before it together"
    return f"can never decide: {by} matches every situation that it matches"


def _declared(document: ConfigDocument, zones: Collection[str]) -> dict[str, Collection[str]]:
    # A non-idempotent request to a service becomes a job whose class is the service's name.
    classes = {*document.job_classes, *document.services} if document.job_classes else ()
    return {
        "service": document.services.keys(),
        "job_class": classes,
        "team": document.teams.keys(),
        "zone": zones,
    }


def _check_rule(
    path: KeyPath,
    rule: RuleModel,
    document: ConfigDocument,
    names: dict[str, Collection[str]],
    seen: set[str],
) -> Iterator[Problem]:
    if rule.name in seen or rule.name == DEFAULT_RULE:
        yield Problem((*path, "name"), "another rule has this name", rule.name)
    for field in DOMAINS:
        matcher: Matcher | None = getattr(rule.when, field)
        if matcher is not None:
            for message in _check_matcher(field, matcher, names.get(field, ())):
                yield Problem((*path, "when", field), message, rule.name)
    for key, message in _check_action(rule, document, names):
        yield Problem((*path, "then", key), message, rule.name)


def _check_matcher(field: str, matcher: Matcher, declared: Collection[str]) -> Iterator[str]:
    wrong = _wrong_operator(field, matcher)
    if wrong:
        yield wrong
        return
    if values_of(DOMAINS[field], matcher).empty:
        yield f"can never match: no value of {field} meets it"
        return
    named = [str(matcher.eq)] if matcher.eq is not None else matcher.one_of or []
    for name in named:
        if declared and name and name not in declared:
            yield f"unknown {field} {name!r}; the document declares {', '.join(sorted(declared))}"


def _wrong_operator(field: str, matcher: Matcher) -> str:
    given = matcher.model_fields_set
    if not given:
        return "restricts nothing; leave it out"
    if isinstance(DOMAINS[field], Range):
        is_number = isinstance(matcher.eq, int | float) and not isinstance(matcher.eq, bool)
        if "one_of" in given or (matcher.eq is not None and not is_number):
            return f"{field} is a number: use eq, at_least or below with a number"
        return ""
    if {"at_least", "below"} & given:
        return f"{field} has no order: use eq" + ("" if field in FLAG_FIELDS else " or in")
    if field in FLAG_FIELDS and not isinstance(matcher.eq, bool):
        return f"{field} is a flag: use eq = true or eq = false"
    if field not in FLAG_FIELDS and matcher.eq is not None and not isinstance(matcher.eq, str):
        return f"{field} is a string: write it in quotes"
    return ""


def _check_action(
    rule: RuleModel, document: ConfigDocument, names: dict[str, Collection[str]]
) -> Iterator[tuple[str, str]]:
    then = rule.then
    given = then.model_fields_set
    if then.action == "refuse":
        for key in ADMISSION_ONLY_KEYS:
            if key in given:
                yield key, "can never be carried out: the rule refuses what it matches"
    for name in then.avoid_services:
        if document.services and name not in document.services:
            yield "avoid_services", f"unknown service {name!r}"
    for zone in then.zones:
        if names["zone"] and zone not in names["zone"]:
            yield "zones", f"unknown availability zone {zone!r}"
    if then.hedge:
        if not _may_match(rule, "kind", "service"):
            yield "hedge", "can never be carried out: only requests to services are hedged"
        if not _may_match(rule, "idempotent", "true"):
            yield "hedge", "can never be carried out: only idempotent requests are hedged"
    batch_only = {"throttle_share", "avoid_services"} & given
    may_be_job = _may_match(rule, "kind", "batch") or _may_match(rule, "kind", "watch")
    for key in sorted(batch_only):
        if not may_be_job:
            yield key, "can never be carried out: it concerns batch jobs and watches only"


def _may_match(rule: RuleModel, field: str, value: str) -> bool:
    matcher: Matcher | None = getattr(rule.when, field)
    if matcher is None or _wrong_operator(field, matcher):
        return True
    values = values_of(DOMAINS[field], matcher)
    assert isinstance(values, TextSet)
    return not values.intersection(TextSet(frozenset({value}))).empty
