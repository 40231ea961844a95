"""Detection of unreachable rules by subtracting the sets of situations that rules match.

The situations that a rule matches form a box: the product of one set of values per field; a field
missing from a box has its whole domain.  A rule is unreachable exactly if earlier boxes cover its
own.  Subtracting a box leaves disjoint boxes, at most two per field of the subtracted box.

The number of boxes can grow with each rule.  After ``MAX_SUBTRACTIONS`` a rule counts as reachable,
to bound the time and never to reject a valid configuration.
"""

import math
from dataclasses import dataclass
from typing import Final

from sapphirelead.model_config import Matcher, When

MAX_SUBTRACTIONS: Final = 5_000


@dataclass(frozen=True, slots=True)
class TextSet:
    """A finite set of strings, or the complement of one.

    >>> TextSet(frozenset("ab")).difference(TextSet(frozenset("b")))
    TextSet(values=frozenset({'a'}), inverted=False)
    """

    values: frozenset[str]
    inverted: bool = False

    @property
    def empty(self) -> bool:
        """Whether the set is empty."""
        return not self.inverted and not self.values

    def intersection(self, other: "TextSet") -> "TextSet":
        """Return the intersection."""
        if self.inverted and other.inverted:
            return TextSet(self.values | other.values, True)
        if self.inverted:
            return TextSet(other.values - self.values)
        if other.inverted:
            return TextSet(self.values - other.values)
        return TextSet(self.values & other.values)

    def difference(self, other: "TextSet") -> "TextSet":
        """Return the strings in this set that are not in ``other``."""
        return self.intersection(TextSet(other.values, not other.inverted))

    def pieces(self, other: "TextSet") -> "list[TextSet]":
        """Return :meth:`difference` as a list without empty sets."""
        rest = self.difference(other)
        return [] if rest.empty else [rest]


@dataclass(frozen=True, slots=True)
class Range:
    """A half-open interval of numbers: ``high`` is excluded."""

    low: float
    high: float

    @property
    def empty(self) -> bool:
        """Whether the range is empty."""
        return not self.low < self.high

    def intersection(self, other: "Range") -> "Range":
        """Return the intersection."""
        return Range(max(self.low, other.low), min(self.high, other.high))

    def pieces(self, other: "Range") -> "list[Range]":
        """Return the parts of this range below and above ``other``."""
        below = Range(self.low, min(self.high, other.low))
        above = Range(max(self.low, other.high), self.high)
        return [part for part in (below, above) if not part.empty]


Values = TextSet | Range
Box = dict[str, Values]

ANY_TEXT: Final = TextSet(frozenset(), True)
FLAG: Final = TextSet(frozenset({"true", "false"}))
SHARE: Final = Range(0.0, math.nextafter(1.0, 2.0))
AMOUNT: Final = Range(0.0, math.inf)

DOMAINS: Final[Box] = {
    "kind": TextSet(frozenset({"service", "batch", "watch"})),
    "service": ANY_TEXT,
    "job_class": ANY_TEXT,
    "team": ANY_TEXT,
    "zone": ANY_TEXT,
    "urgent": FLAG,
    "idempotent": FLAG,
    "load": SHARE,
    "queue_length": AMOUNT,
    "deadline_ms": AMOUNT,
    "store_up": FLAG,
    "slowdown": AMOUNT,
    "healthy_share": SHARE,
}


def box_of(when: When) -> Box:
    """Return the situations that ``when`` matches; its matchers must fit their fields' types."""
    box: Box = {}
    for name, domain in DOMAINS.items():
        matcher: Matcher | None = getattr(when, name)
        if matcher is not None:
            box[name] = values_of(domain, matcher)
    return box


def values_of(domain: Values, matcher: Matcher) -> Values:
    """Return the values in ``domain`` that ``matcher`` accepts."""
    if isinstance(domain, TextSet):
        return _texts_of(domain, matcher)
    return _numbers_of(domain, matcher)


def uncovered(box: Box, earlier: list[Box]) -> bool:
    """Return whether some situation of ``box`` is in none of the ``earlier`` boxes."""
    left = [box]
    subtractions = 0
    for other in earlier:
        subtractions += len(left)
        if subtractions > MAX_SUBTRACTIONS:
            return True
        left = [piece for part in left for piece in _subtract(part, other)]
    return bool(left)


def covers(outer: Box, inner: Box) -> bool:
    """Return whether ``outer`` contains ``inner``."""
    return not uncovered(inner, [outer])


def _subtract(box: Box, other: Box) -> list[Box]:
    shared = {
        name: _intersection(box.get(name, DOMAINS[name]), values) for name, values in other.items()
    }
    if any(values.empty for values in shared.values()):
        return [box]
    pieces: list[Box] = []
    rest = box
    for name, values in other.items():
        for part in _pieces(rest.get(name, DOMAINS[name]), values):
            pieces.append({**rest, name: part})
        rest = {**rest, name: shared[name]}
    return pieces


def _intersection(left: Values, right: Values) -> Values:
    if isinstance(left, TextSet) and isinstance(right, TextSet):
        return left.intersection(right)
    assert isinstance(left, Range) and isinstance(right, Range)
    return left.intersection(right)


def _pieces(left: Values, right: Values) -> list[TextSet] | list[Range]:
    if isinstance(left, TextSet) and isinstance(right, TextSet):
        return left.pieces(right)
    assert isinstance(left, Range) and isinstance(right, Range)
    return left.pieces(right)


def _texts_of(domain: TextSet, matcher: Matcher) -> TextSet:
    found = domain
    if matcher.eq is not None:
        text = str(matcher.eq).lower() if isinstance(matcher.eq, bool) else str(matcher.eq)
        found = found.intersection(TextSet(frozenset({text})))
    if matcher.one_of is not None:
        found = found.intersection(TextSet(frozenset(matcher.one_of)))
    return found


def _numbers_of(domain: Range, matcher: Matcher) -> Range:
    found = domain
    if matcher.eq is not None:
        value = float(matcher.eq)
        found = found.intersection(Range(value, math.nextafter(value, math.inf)))
    low = -math.inf if matcher.at_least is None else matcher.at_least
    high = math.inf if matcher.below is None else matcher.below
    return found.intersection(Range(low, high))
