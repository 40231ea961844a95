"""Membership table of one entry: the known instances and their liveness.

Instances are added by their first announcement.  Each run of an instance's agent is an incarnation;
the last one announced is current, unless it was fenced or replaced before.

Invariants:

- Messages of replaced or fenced incarnations do not change the table.
- The heartbeat counter of an incarnation never decreases, so a delayed heartbeat does not make an
  instance live again.
- After a pause of this process, detected by a gap between ticks, every instance gets a fresh
  timeout, so that the pause does not make all instances appear unresponsive at once.
"""

from dataclasses import dataclass, field, replace
from typing import Final

from sapphirelead.entry_ports import InstanceView
from sapphirelead.model_resources import Resources
from sapphirelead.settings import LeaseSettings
from sapphirelead.wire_messages import Announce, Heartbeat

MAX_PAST_INCARNATIONS: Final = 8
REMOVE_AFTER_TIMEOUTS: Final = 20.0
MAX_TICK_GAP_SHARE: Final = 0.34


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """How to reply to a heartbeat.

    :ivar known: ``False`` if no acknowledgement is due, because the incarnation is not the current
        one of a known instance.
    :ivar committed: last committed counter of the incarnation.
    :ivar fenced: whether the incarnation is fenced.
    """

    known: bool
    committed: int = 0
    fenced: bool = False


UNKNOWN_SENDER: Final = HeartbeatReply(known=False)


@dataclass(slots=True)
class _Member:
    view: InstanceView
    committed: int = 0
    replaced: list[str] = field(default_factory=list)
    fenced: list[str] = field(default_factory=list)


class MembershipTable:
    """The instances that have announced themselves.

    :ivar timeout_s: seconds without a message after which an instance is unresponsive.
    """

    timeout_s: float
    _members: dict[str, _Member]
    _last_tick_at: float
    _grace_start: float

    def __init__(self, timeout_s: float, at: float) -> None:
        self.timeout_s = timeout_s
        self._members = {}
        self._last_tick_at = at
        self._grace_start = at

    @classmethod
    def from_settings(cls, lease: LeaseSettings, at: float) -> "MembershipTable":
        """Return an empty table."""
        return cls(lease.silence_seconds, at)

    def tick(self, at: float) -> bool:
        """Record that the process runs at ``at``; return whether it was paused until then.

        Call several times per timeout, and before each liveness check.
        """
        paused = at - self._last_tick_at > self.timeout_s * MAX_TICK_GAP_SHARE
        self._last_tick_at = at
        if paused:
            self._grace_start = at
        return paused

    def announce(self, message: Announce, at: float) -> bool:
        """Process an announcement; return whether its incarnation is now current."""
        member = self._members.get(message.sender)
        if member is None:
            self._members[message.sender] = _Member(_view_of(message, at))
            return True
        if message.incarnation in member.replaced or message.incarnation in member.fenced:
            return False
        if message.incarnation != member.view.incarnation:
            member.replaced = [*member.replaced, member.view.incarnation][-MAX_PAST_INCARNATIONS:]
            member.committed = 0
            member.view = _view_of(message, at)
            return True
        member.view = _after_reannouncement(member.view, message, at)
        return True

    def heartbeat(self, message: Heartbeat, at: float) -> HeartbeatReply:
        """Process a heartbeat and return how to reply to it."""
        member = self._members.get(message.sender)
        if member is None or message.incarnation in member.replaced:
            return UNKNOWN_SENDER
        if message.incarnation in member.fenced:
            return HeartbeatReply(known=True, fenced=True)
        if message.incarnation != member.view.incarnation:
            return UNKNOWN_SENDER
        if message.counter > member.view.counter:
            member.view = _after_heartbeat(member.view, message, at)
        return HeartbeatReply(known=True, committed=member.committed)

    def set_committed(self, instance: str, incarnation: str, counter: int) -> bool:
        """Record the committed counter; return whether it grew and the instance is not fenced."""
        member = self._members.get(instance)
        if member is None or member.view.incarnation != incarnation:
            return False
        grew = counter > member.committed
        member.committed = max(member.committed, counter)
        return grew and not member.view.fenced

    def mark_fenced(self, instance: str, incarnation: str) -> None:
        """Record that an incarnation is fenced."""
        member = self._members.get(instance)
        if member is None or incarnation in member.fenced:
            return
        member.fenced = [*member.fenced, incarnation][-MAX_PAST_INCARNATIONS:]
        if member.view.incarnation == incarnation:
            member.view = replace(member.view, fenced=True)

    def remove_unresponsive(self, at: float) -> list[str]:
        """Remove and return instances unresponsive for over ``REMOVE_AFTER_TIMEOUTS`` timeouts."""
        limit = self.timeout_s * REMOVE_AFTER_TIMEOUTS
        removed = [
            key for key, m in self._members.items() if self._unresponsive_s(m.view, at) > limit
        ]
        for key in removed:
            del self._members[key]
        return removed

    def get(self, instance: str) -> InstanceView | None:
        """Return an instance, live or not, or ``None`` if it is unknown."""
        member = self._members.get(instance)
        return member.view if member else None

    def all(self) -> list[InstanceView]:
        """Return all known instances, live or not."""
        return [member.view for member in self._members.values()]

    def is_live(self, view: InstanceView, at: float) -> bool:
        """Return whether an instance is responsive and neither fenced nor draining."""
        if view.fenced or view.draining:
            return False
        return self._unresponsive_s(view, at) <= self.timeout_s

    def live(self, at: float) -> list[InstanceView]:
        """Record a tick and return the live instances."""
        self.tick(at)
        return [view for view in self.all() if self.is_live(view, at)]

    def _unresponsive_s(self, view: InstanceView, at: float) -> float:
        return at - max(view.heard_at, self._grace_start)


def _view_of(message: Announce, at: float) -> InstanceView:
    return InstanceView(
        id=message.sender,
        incarnation=message.incarnation,
        zone=message.zone,
        rack=message.rack,
        capacity=message.capacity.to_resources(),
        free=Resources(),
        slots=message.slots,
        slots_used=0,
        connections=message.connections,
        connections_used=0,
        tasks=0,
        services=frozenset(message.services),
        draining=message.draining,
        fenced=False,
        counter=0,
        heard_at=at,
        config_version=message.config_version,
    )


def _after_reannouncement(view: InstanceView, message: Announce, at: float) -> InstanceView:
    return replace(
        view,
        zone=message.zone,
        rack=message.rack,
        capacity=message.capacity.to_resources(),
        slots=message.slots,
        connections=message.connections,
        services=frozenset(message.services),
        draining=message.draining,
        heard_at=at,
        config_version=message.config_version,
    )


def _after_heartbeat(view: InstanceView, message: Heartbeat, at: float) -> InstanceView:
    return replace(
        view,
        free=message.free.to_resources(),
        slots=message.slots,
        slots_used=message.slots_used,
        connections=message.connections,
        connections_used=message.connections_used,
        tasks=message.tasks,
        draining=message.draining,
        counter=message.counter,
        heard_at=at,
        config_version=message.config_version,
        latency=tuple(message.services),
        classes=tuple(message.classes),
    )
