"""Encodes and decodes lease and registration rows.

``leases/<zone>`` holds a counter for each live instance and a record of each live entry of the
zone; ``instances/<id>`` holds the incarnation of an agent that may hold claims.
:mod:`sapphirelead.entry_lease` decides when they are written, and under which conditions.

Invariants:

- Merging never lowers a counter and never adds an incarnation that is not registered.
- A registration keeps the latest earlier incarnations, newest first, to recognise replaced ones.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from sapphirelead.entry_ports import InstanceView
from sapphirelead.logs import log_event
from sapphirelead.model_lease import UnchangedCounter
from sapphirelead.ports import Row

MAX_PAST_INCARNATIONS: Final = 8


@dataclass(slots=True)
class ZoneRow:
    """The decoded value of a lease row.

    :ivar unchanged: counters that the zone's entries have seen unchanged, by instance; an entry of
        a version without this field drops it.
    """

    instances: dict[str, tuple[str, int]] = field(default_factory=dict)
    entries: dict[str, "EntryRecord"] = field(default_factory=dict)
    unchanged: dict[str, UnchangedCounter] = field(default_factory=dict)

    @classmethod
    def decode(cls, row: Row) -> "ZoneRow":
        """Decode a row of the table."""
        value = row.value or {}
        return cls(
            {name: (pair[0], pair[1]) for name, pair in value.get("instances", {}).items()},
            {name: EntryRecord(*parts) for name, parts in value.get("entries", {}).items()},
            _decode_unchanged(row.key, value.get("unchanged", {})),
        )

    def encode(self) -> dict[str, Any]:
        """Return the value to store in the row."""
        value: dict[str, Any] = {
            "instances": {name: list(pair) for name, pair in self.instances.items()},
            "entries": {name: record.encode() for name, record in self.entries.items()},
        }
        if self.unchanged:
            value["unchanged"] = {
                name: [item.incarnation, item.counter, math.floor(item.age_s * 1000)]
                for name, item in self.unchanged.items()
            }
        return value

    def set_unchanged(self, observed: Mapping[str, UnchangedCounter]) -> None:
        """Keep the longer observations, and only those of the present counters."""
        known = {**self.unchanged}
        for name, item in observed.items():
            stored = known.get(name)
            same = stored is not None and stored.counter == item.counter
            if stored is None or not same or stored.age_s < item.age_s:
                known[name] = item
        self.unchanged = {
            name: item
            for name, item in known.items()
            if self.instances.get(name) == (item.incarnation, item.counter)
        }


def _decode_unchanged(key: str, value: Any) -> dict[str, UnchangedCounter]:
    """Decode the observations in a row; none if another writer has damaged them."""
    try:
        return {
            name: UnchangedCounter(str(incarnation), int(counter), max(0, int(age_ms)) / 1000)
            for name, (incarnation, counter, age_ms) in value.items()
        }
    except (AttributeError, TypeError, ValueError) as exc:
        log_event("ERROR", "lease_observations_unreadable", key=key, reason=str(exc))
        return {}


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """The record of a live entry in its zone's lease row.

    :ivar control: ``host:port`` of its control channel.
    :ivar usage: amounts in use by team of the jobs it schedules, for quotas.
    """

    incarnation: str
    counter: int
    control: str
    usage: dict[str, list[int]] = field(default_factory=dict)

    def encode(self) -> list[Any]:
        """Return the record as stored in the row."""
        return [self.incarnation, self.counter, self.control, self.usage]


@dataclass(frozen=True, slots=True)
class Registration:
    """The decoded value of ``instances/<id>``.

    :ivar incarnation: the agent's incarnation that may hold claims, or the last one that could.
    :ivar fenced: whether that incarnation may no longer hold claims.
    :ivar past: earlier incarnations, newest first.
    """

    row: Row
    incarnation: str
    fenced: bool
    past: tuple[str, ...]

    @classmethod
    def decode(cls, row: Row) -> "Registration":
        """Decode a row of the table."""
        value = row.value or {}
        return cls(
            row,
            value.get("incarnation", ""),
            bool(value.get("fenced", False)),
            tuple(value.get("past", [])),
        )

    def ended(self, incarnation: str) -> bool:
        """Whether ``incarnation`` was replaced or fenced and may never hold a claim again."""
        return incarnation in self.past or (self.fenced and incarnation == self.incarnation)


def instance_key(instance: str) -> str:
    """Return the key of an instance's registration row."""
    return f"instances/{instance}"


def lease_key(zone: str) -> str:
    """Return the key of a zone's lease row."""
    return f"leases/{zone}"


def merge_counters(row: ZoneRow, views: list[InstanceView]) -> bool:
    """Raise counters of registered incarnations in ``row``; return whether any advanced."""
    advanced = False
    for view in views:
        current = row.instances.get(view.id)
        if current is not None and current[0] == view.incarnation and view.counter > current[1]:
            row.instances[view.id] = (view.incarnation, view.counter)
            advanced = True
    return advanced


def new_registration(view: InstanceView, known: Registration) -> dict[str, Any]:
    """Return the value that registers the view's incarnation as successor of ``known``."""
    past = [known.incarnation, *known.past] if known.incarnation else []
    return {
        "incarnation": view.incarnation,
        "fenced": False,
        "past": past[:MAX_PAST_INCARNATIONS],
        "zone": view.zone,
        "rack": view.rack,
    }
