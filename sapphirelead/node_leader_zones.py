"""What a leader knows of the evacuated zones, and whether that suffices to start anything."""

import math

from sapphirelead.clock import awake_now
from sapphirelead.logs import log_event
from sapphirelead.node_messages import ZoneNotice
from sapphirelead.sched_fleet import Fleet, Instance


class ZoneKnowledge:
    """The leader's read of the evacuated zones, which ages until the next one."""

    _fleet: Fleet
    _bound_s: float
    _was_current: bool

    def __init__(self, fleet: Fleet, bound_s: float) -> None:
        """Create the knowledge of a leader.

        :param bound_s: see :attr:`~sapphirelead.sched_timing.Bounds.evacuate_s`.
        """
        self._fleet = fleet
        self._bound_s = bound_s
        self._was_current = True

    def is_current(self) -> bool:
        """Return whether the read is recent enough to start anything; logs each change."""
        at = awake_now()
        current = self._fleet.zones.is_current(self._bound_s, at)
        if current is not self._was_current:
            self._was_current = current
            event = "zones_current" if current else "zones_unknown"
            log_event("INFO", event, read_age_s=self._fleet.zones.age_s(at))
        return current

    def notice(self, instance: Instance) -> ZoneNotice | None:
        """Return what to tell an agent of its zone, ``None`` if nothing is known."""
        zones = self._fleet.zones
        if instance.worker is None or zones.read_at == -math.inf:
            return None
        return ZoneNotice(instance.zone_evacuated, max(0.0, zones.age_s(awake_now())))
