"""The rows of leases and registrations, as an entry reads and writes them.

``leases/<zone>`` holds a counter for each live instance and what each live entry of the zone
publishes of itself; ``instances/<id>`` holds which run of an agent may hold claims.  Who writes
them, and under which conditions, is decided in :mod:`sapphirelead.entry_lease`.

Invariants:

- Merging never lowers a counter and never enters an incarnation that is not registered.
- A registration keeps the runs before it, newest first, so that a run that was replaced is known
  as ended.
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
        """Read a row as the table gave it."""
        value = row.value or {}
        return cls(
            {name: (pair[0], pair[1]) for name, pair in value.get("instances", {}).items()},
            {name: EntryRecord(*parts) for name, parts in value.get("entries", {}).items()},
        )

    def encode(self) -> dict[str, Any]:
        """Return the row's value."""
        return {
            "instances": {name: list(pair) for name, pair in self.instances.items()},
            "entries": {name: record.encode() for name, record in self.entries.items()},
        }


@dataclass(frozen=True, slots=True)
class EntryRecord:
    """What a live entry publishes of itself.

    :ivar control: ``host:port`` of its control lane.
    :ivar usage: amounts in use by team of the jobs it schedules, for quotas.
    """

    incarnation: str
    counter: int
    control: str
    usage: dict[str, list[int]] = field(default_factory=dict)

    def encode(self) -> list[Any]:
        """Return the record as it stands in the row."""
        return [self.incarnation, self.counter, self.control, self.usage]


@dataclass(frozen=True, slots=True)
class Registration:
    """What ``instances/<id>`` says.

    :ivar incarnation: the run of the agent that may hold claims, or the last one that could.
    :ivar fenced: whether that run may hold none any more.
    :ivar past: earlier runs, newest first.
    """

    row: Row
    incarnation: str
    fenced: bool
    past: tuple[str, ...]

    @classmethod
    def decode(cls, row: Row) -> "Registration":
        """Read a row as the table gave it."""
        value = row.value or {}
        return cls(
            row,
            value.get("incarnation", ""),
            bool(value.get("fenced", False)),
            tuple(value.get("past", [])),
        )

    def ended(self, incarnation: str) -> bool:
        """Whether that run may never hold a claim again."""
        return incarnation in self.past or (self.fenced and incarnation == self.incarnation)


def instance_key(instance: str) -> str:
    """Return the key of an instance's registration row."""
    return f"instances/{instance}"


def lease_key(zone: str) -> str:
    """Return the key of a zone's lease row."""
    return f"leases/{zone}"


def merge_counters(row: ZoneRow, views: list[InstanceView]) -> bool:
    """Take the larger counter of each registered incarnation into ``row``; say if any grew."""
    grew = False
    for view in views:
        held = row.instances.get(view.id)
        if held is not None and held[0] == view.incarnation and view.counter > held[1]:
            row.instances[view.id] = (view.incarnation, view.counter)
            grew = True
    return grew


def new_registration(view: InstanceView, known: Registration) -> dict[str, Any]:
    """Return the value that registers a run of an agent after those ``known``."""
    past = [known.incarnation, *known.past] if known.incarnation else []
    return {
        "incarnation": view.incarnation,
        "fenced": False,
        "past": past[:MAX_PAST_INCARNATIONS],
        "zone": view.zone,
        "rack": view.rack,
    }
