"""Encodes and decodes lease and registration rows.

``leases/<zone>`` holds a counter for each live instance and a record of each live entry of the
zone; ``instances/<id>`` holds the incarnation of an agent that may hold claims.
:mod:`sapphirelead.entry_lease` decides when they are written, and under which conditions.

Invariants:

- Merging never lowers a counter and never adds an incarnation that is not registered.
- A registration keeps the latest earlier incarnations, newest first, to recognise replaced ones.
"""

from dataclasses import dataclass, field
from typing import Any, Final

from sapphirelead.entry_ports import InstanceView
from sapphirelead.ports import Row

MAX_PAST_INCARNATIONS: Final = 8


@dataclass(slots=True)
class ZoneRow:
    """The decoded value of a lease row."""

    instances: dict[str, tuple[str, int]] = field(default_factory=dict)
    entries: dict[str, "EntryRecord"] = field(default_factory=dict)

    @classmethod
    def decode(cls, row: Row) -> "ZoneRow":
        """Decode a row of the table."""
        value = row.value or {}
        return cls(
            {name: (pair[0], pair[1]) for name, pair in value.get("instances", {}).items()},
            {name: EntryRecord(*parts) for name, parts in value.get("entries", {}).items()},
        )

    def encode(self) -> dict[str, Any]:
        """Return the value to store in the row."""
        return {
            "instances": {name: list(pair) for name, pair in self.instances.items()},
            "entries": {name: record.encode() for name, record in self.entries.items()},
        }


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
