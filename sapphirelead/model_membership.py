"""Which instances exist, and which of them are live, as one entry knows it.

An instance exists from its announcement on; nothing lists it beforehand.  Each run of its agent is
an incarnation.  Incarnations carry no order of their own: the one announced last is current, unless
it was fenced or had been replaced by another before.

Invariants:

- A message of an incarnation that was replaced or fenced changes nothing.
- The beat counter of an incarnation never goes back, so a delayed beat does not revive an instance.
- Nobody is called silent for a time in which this process itself did not run.  The failure: an
  entry is stopped for some seconds and wakes up; each instance's last message looks old, and all
  would be dropped at once although each of them kept sending.  A gap between two looks at the clock
  shows it, and everybody is granted a fresh silence period from the moment of waking.
"""

from dataclasses import dataclass, field, replace
from typing import Final

from sapphirelead.entry_ports import InstanceView
from sapphirelead.model_resources import Resources
from sapphirelead.settings import LeaseSettings
from sapphirelead.wire_messages import Announce, Beat

REPLACED_KEPT: Final = 8
FORGET_SILENCES: Final = 20.0
PAUSE_SHARE: Final = 0.34


@dataclass(frozen=True, slots=True)
class BeatVerdict:
    """How a beat is to be answered.

    :ivar known: ``False`` means that no acknowledgement is due: the sender has to announce itself
        again, or was replaced.
    """

    known: bool
    committed: int = 0
    fenced: bool = False


UNKNOWN: Final = BeatVerdict(known=False)


@dataclass(slots=True)
class _Member:
    view: InstanceView
    committed: int = 0
    replaced: list[str] = field(default_factory=list)
    fenced: list[str] = field(default_factory=list)


class MembershipTable:
    """The instances that announced themselves.

    :ivar silence_s: seconds without a message after which an instance is silent.
    """

    silence_s: float
    _members: dict[str, _Member]
    _looked_at: float
    _granted_at: float

    def __init__(self, silence_s: float, at: float) -> None:
        self.silence_s = silence_s
        self._members = {}
        self._looked_at = at
        self._granted_at = at

    @classmethod
    def from_settings(cls, lease: LeaseSettings, at: float) -> "MembershipTable":
        """Return an empty table."""
        return cls(lease.silence_seconds, at)

    def look(self, at: float) -> bool:
        """Note that the process runs at ``at``; return whether it had been paused until then.

        Called several times in each silence period and before every judgement about silence.
        """
        paused = at - self._looked_at > self.silence_s * PAUSE_SHARE
        self._looked_at = at
        if paused:
            self._granted_at = at
        return paused

    def announce(self, message: Announce, at: float) -> bool:
        """Take an announcement; return whether its incarnation is current now."""
        member = self._members.get(message.sender)
        if member is None:
            self._members[message.sender] = _Member(_view_of(message, at))
            return True
        if message.incarnation in member.replaced or message.incarnation in member.fenced:
            return False
        if message.incarnation != member.view.incarnation:
            member.replaced = [*member.replaced, member.view.incarnation][-REPLACED_KEPT:]
            member.committed = 0
            member.view = _view_of(message, at)
            return True
        member.view = _announced_again(member.view, message, at)
        return True

    def beat(self, message: Beat, at: float) -> BeatVerdict:
        """Take a beat and return how to answer it."""
        member = self._members.get(message.sender)
        if member is None or message.incarnation in member.replaced:
            return UNKNOWN
        if message.incarnation in member.fenced:
            return BeatVerdict(known=True, fenced=True)
        if message.incarnation != member.view.incarnation:
            return UNKNOWN
        if message.counter > member.view.counter:
            member.view = _after_beat(member.view, message, at)
        return BeatVerdict(known=True, committed=member.committed)

    def set_committed(self, instance: str, incarnation: str, counter: int) -> bool:
        """Record the counter that the table holds; return whether it grew."""
        member = self._members.get(instance)
        if member is None or member.view.incarnation != incarnation:
            return False
        grew = counter > member.committed
        member.committed = max(member.committed, counter)
        return grew and not member.view.fenced

    def mark_fenced(self, instance: str, incarnation: str) -> None:
        """Record that an incarnation may act no more."""
        member = self._members.get(instance)
        if member is None or incarnation in member.fenced:
            return
        member.fenced = [*member.fenced, incarnation][-REPLACED_KEPT:]
        if member.view.incarnation == incarnation:
            member.view = replace(member.view, fenced=True)

    def forget_silent(self, at: float) -> list[str]:
        """Drop and return instances that have been silent for many silence periods."""
        limit = self.silence_s * FORGET_SILENCES
        gone = [key for key, m in self._members.items() if self._quiet_s(m.view, at) > limit]
        for key in gone:
            del self._members[key]
        return gone

    def get(self, instance: str) -> InstanceView | None:
        """Return one instance, silent or not."""
        member = self._members.get(instance)
        return member.view if member else None

    def all(self) -> list[InstanceView]:
        """Return every instance that is not forgotten."""
        return [member.view for member in self._members.values()]

    def is_live(self, view: InstanceView, at: float) -> bool:
        """Return whether an instance may be given new work."""
        if view.fenced or view.draining:
            return False
        return self._quiet_s(view, at) <= self.silence_s

    def live(self, at: float) -> list[InstanceView]:
        """Return the instances that are neither silent, fenced nor draining."""
        self.look(at)
        return [view for view in self.all() if self.is_live(view, at)]

    def _quiet_s(self, view: InstanceView, at: float) -> float:
        return at - max(view.heard_at, self._granted_at)


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


def _announced_again(view: InstanceView, message: Announce, at: float) -> InstanceView:
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


def _after_beat(view: InstanceView, message: Beat, at: float) -> InstanceView:
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
