"""Decodes the operators' rows that evacuate availability zones, and follows them.

A row with a key ``evacuate/ZONE`` evacuates the zone for as long as the row exists, whatever its
value.  A row whose zone is no valid name is logged and ignored.
"""

from collections.abc import Callable, Mapping
from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.platform.store import ForeignRow
from sapphirelead.sched_zones import EvacuatedZones, is_zone_name

EVACUATION_PREFIX: Final = "evacuate/"

EVACUATION_END: Final = "evacuate0"
"""First key after all keys with the prefix."""


def evacuation_changes(rows: Mapping[str, ForeignRow]) -> dict[str, bool]:
    """Return the zones that rows are about, with whether each is evacuated.

    >>> rows = {"evacuate/a": ForeignRow(b"{}", True), "evacuate/b": ForeignRow(None, False)}
    >>> evacuation_changes(rows | {"config": ForeignRow(b"", True)})
    {'a': True, 'b': False}
    """
    changes = {}
    for key, row in rows.items():
        if not key.startswith(EVACUATION_PREFIX):
            continue
        zone = key.removeprefix(EVACUATION_PREFIX)
        if is_zone_name(zone):
            changes[zone] = row.exists
        elif row.exists:
            log_event("ERROR", "evacuation_unreadable", row=key[:200], reason="no zone name")
    return changes


class ZoneRows:
    """The evacuated zones by the rows read so far."""

    _zones: EvacuatedZones
    _apply: Callable[[EvacuatedZones], None]

    def __init__(self, apply: Callable[[EvacuatedZones], None]) -> None:
        """Create a reader that has read nothing yet.

        :param apply: called with the zones after each read.
        """
        self._zones = EvacuatedZones()
        self._apply = apply

    def replaced(self, rows: Mapping[str, ForeignRow], read_at: float) -> None:
        """Record a read of all rows.

        :param read_at: a time at which the store held them; see :class:`EvacuatedZones`.
        """
        self._zones = EvacuatedZones().changed(evacuation_changes(rows), read_at)
        self._apply(self._zones)

    def changed(self, rows: Mapping[str, ForeignRow], read_at: float) -> None:
        """Record a read of the changes since the previous read."""
        self._zones = self._zones.changed(evacuation_changes(rows), read_at)
        self._apply(self._zones)
