"""Availability zones that operators have evacuated.

While a zone is evacuated nothing is started, offered or moved to its workers; what runs there goes
on.  Workers that leave the fleet are another matter (:mod:`sapphirelead.sched_leaving`).

Operators acknowledge an evacuation in the store, and a start in the zone may be at most
:attr:`~sapphirelead.sched_timing.Bounds.evacuate_s` later.  Two checks keep that bound, whichever
process is late:

- a leader plans only while its read of the zones is at most :data:`MAX_READ_AGE_SHARE` of the bound
  old, so a leader without the store, or one that has just taken over, starts nothing it may not;
- its orders carry the age of that read, and an agent calls the worker only while the read that an
  order is based on is younger than the bound (:class:`ZoneGate`).

A deployment without the bound has no checks by age; evacuations that are known count there as well.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

MAX_READ_AGE_SHARE: Final = 0.5
"""Share of the bound for which a read of the zones counts; the rest is for orders on their way."""

FEED_WAIT_SHARE: Final = 0.3
"""Share of the bound that a read may wait for changes; leaves time to repeat a lost one."""

START_MARGIN_S: Final = 0.5
"""Time before the end of the bound from which an agent calls no worker; covers the call and the
drift of clocks."""

ZONE_EVACUATED: Final = "zone_evacuated"
"""Reason of a start that was refused because the worker's zone is evacuated."""

ZONE_UNKNOWN: Final = "zone_unknown"
"""Reason of a start that was refused because the zone may have been evacuated since its order."""

ZONE_REFUSALS: Final = frozenset({ZONE_EVACUATED, ZONE_UNKNOWN})
"""Reasons that say nothing about the worker or the task."""

MAX_NAME_BYTES: Final = 200


@dataclass(frozen=True, slots=True)
class EvacuatedZones:
    """The evacuated zones, as of one read of the store.

    :ivar names: names of the zones, which need not exist.
    :ivar read_at: a time at which the store held them, on the clock that also counts while the
        machine is suspended; minus infinity before the first read.
    """

    names: frozenset[str] = frozenset()
    read_at: float = -math.inf

    def age_s(self, at: float) -> float:
        """Return the age of the read."""
        return at - self.read_at

    def is_current(self, bound_s: float, at: float) -> bool:
        """Return whether starts may be planned on it.

        >>> zones = EvacuatedZones(read_at=10.0)
        >>> zones.is_current(5.0, 12.5), zones.is_current(5.0, 12.6)
        (True, False)
        """
        return bound_s == math.inf or self.age_s(at) <= MAX_READ_AGE_SHARE * bound_s

    def changed(self, rows: Mapping[str, bool], read_at: float) -> "EvacuatedZones":
        """Return the zones after changes.

        :param rows: whether each changed zone is evacuated.

        >>> zones = EvacuatedZones(frozenset({"a", "b"})).changed({"a": False, "c": True}, 1.0)
        >>> sorted(zones.names)
        ['b', 'c']
        """
        names = set(self.names)
        for zone, evacuated in rows.items():
            if evacuated:
                names.add(zone)
            else:
                names.discard(zone)
        return EvacuatedZones(frozenset(names), read_at)


def is_zone_name(text: str) -> bool:
    """Return whether a text can name a zone.

    >>> is_zone_name("east-1"), is_zone_name(""), is_zone_name("a b"), is_zone_name("a/b")
    (True, False, False, False)
    """
    fits = 0 < len(text.encode("utf-8", "replace")) <= MAX_NAME_BYTES
    return fits and text.isprintable() and not any(char in "/ " for char in text)


def all_evacuated(zones: Iterable[str], evacuated: frozenset[str]) -> bool:
    """Return whether there are zones, and all of them are evacuated.

    >>> all_evacuated(["a", "b"], frozenset({"a", "b"})), all_evacuated([], frozenset({"a"}))
    (True, False)
    """
    found = set(zones)
    return bool(found) and found <= evacuated


class ZoneGate:
    """An agent's check of each start, just before it calls the worker.

    Invariant: a start is let through only if the zone was not evacuated by the newest order, and
    the leader's read behind the start's own order is younger than the bound.

    :ivar evacuated: whether the worker's zone is evacuated, by the newest order.
    """

    evacuated: bool
    _bound_s: float

    def __init__(self, bound_s: float) -> None:
        self.evacuated = False
        self._bound_s = bound_s

    def allowed_until(self, ordered_at: float, read_age_s: float) -> float:
        """Return the time until which a start may be sent to the worker.

        :param ordered_at: a time before the order was made.
        :param read_age_s: age of the leader's read when it made the order.
        """
        return ordered_at - read_age_s + self._bound_s - START_MARGIN_S

    def refusal(self, allowed_until: float, at: float) -> str | None:
        """Return why a start must not be sent, ``None`` if it may."""
        if self.evacuated:
            return ZONE_EVACUATED
        return ZONE_UNKNOWN if at > allowed_until else None
