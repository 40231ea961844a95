"""Agents whose leases a leader does not renew; see :mod:`sapphirelead.sched_renewals`.

Lists the agents that do not report.  If most of them fall silent at once, the leader itself has
probably been cut off or has stalled: they are not listed, so that they keep their leases if the
store becomes unavailable just then.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_renewals import RenewalList, UnmetAge, UnmetRenewal, age_ms

SILENCE_THRESHOLD_S: Final = 1.2
"""Time without a report after which an agent's lease is no longer renewed until it reports and the
row is rewritten."""

MAX_LISTED_AGENTS: Final = 500
MAX_LIST_BYTES: Final = 30_000
"""Limits for the list, which is part of every transaction; the store accepts rows of 64 KB, and
encoding adds a third."""

ENTRY_BYTES: Final = 16
"""Upper bound for an entry's size without the names in it."""


@dataclass(slots=True)
class _ListSpace:
    """What is left of the limits for a list."""

    _entries: int = MAX_LISTED_AGENTS
    _bytes: int = MAX_LIST_BYTES

    def take(self, *names: str) -> bool:
        """Take the space of an entry with these names; return whether there was enough."""
        self._bytes -= sum(len(name.encode()) for name in names) + ENTRY_BYTES
        if self.is_full:
            return False
        self._entries -= 1
        return True

    @property
    def is_full(self) -> bool:
        """Whether no further entry fits."""
        return self._bytes < 0 or self._entries == 0


class RenewalHolds:
    """The agents whose leases this leader does not renew.

    :ivar stored: the list in the row that was last stored.
    """

    stored: RenewalList
    _held: set[str]
    _declined: set[str]
    _is_full: bool

    def __init__(self, stored: RenewalList) -> None:
        """Begin with the list in the row by which the leader took over."""
        self.stored = stored
        self._held = set(stored.ages_ms)
        self._declined = set()
        self._is_full = False

    def allows_renewal(self, agent: str) -> bool:
        """Return whether the agent's lease may be renewed and starts may be sent to it."""
        return self.stored.others_ms is None and agent not in self._held

    def record_declined(self, agent: str) -> None:
        """Record that a report of the agent was answered without a renewal or without starts."""
        self._declined.add(agent)

    def next_list(self, instances: Collection[Instance], at: float) -> RenewalList:
        """Return the list for the next row, and hold the agents on it from now on.

        If there are too many, those silent for the longest time are listed first.
        """
        space = _ListSpace()
        listed: dict[str, int] = {}
        for instance in sorted(
            self._silent(instances, at), key=lambda item: (item.lease_since, item.agent)
        ):
            if not space.take(instance.agent):
                break
            listed[instance.agent] = age_ms(instance.lease_since, at)
        unmet: dict[str, UnmetAge] = {}
        for agent, renewal in sorted(
            _unmet_renewals(instances).items(), key=lambda item: (item[1].renewed_at, item[0])
        ):
            if not space.take(agent, renewal.boot):
                break
            unmet[agent] = renewal.to_age(at)
        self._is_full = space.is_full
        self._held |= set(listed)
        return RenewalList(listed, unmet=unmet)

    def record_stored(self, renewals: RenewalList) -> set[str]:
        """Record a stored list; return the declined agents whose leases may be renewed now."""
        self.stored = renewals
        self._held = set(renewals.ages_ms)
        released = {agent for agent in self._declined if self.allows_renewal(agent)}
        self._declined -= released
        return released

    def outdated(self, instances: Collection[Instance], at: float) -> bool:
        """Return whether the stored list differs from the agents that belong on it now."""
        if self.stored.others_ms is not None:
            return True
        silent = {instance.agent for instance in self._silent(instances, at)}
        listed = set(self.stored.ages_ms)
        if listed - silent:
            return True
        return not self._is_full and (silent != listed or self._misses_unmet(instances))

    def _misses_unmet(self, instances: Iterable[Instance]) -> bool:
        """Return whether a process that has not met a claimed worker is not listed."""
        listed = {agent: item.boot for agent, item in self.stored.unmet.items()}
        return any(
            listed.get(agent) != renewal.boot
            for agent, renewal in _unmet_renewals(instances).items()
        )

    def _silent(self, instances: Iterable[Instance], at: float) -> list[Instance]:
        """Return the agents with runs that do not report, or announced that they will not."""
        known = [instance for instance in instances if instance.runs]
        quiet = [
            instance
            for instance in known
            if instance.boot
            and not instance.leaving
            and at - instance.last_report_at >= SILENCE_THRESHOLD_S
        ]
        reporting = sum(1 for instance in known if instance.boot and not instance.leaving)
        if reporting > 1 and 2 * len(quiet) > reporting:
            quiet = [instance for instance in quiet if instance.agent in self.stored.ages_ms]
        return [item for item in known if item.leaving or not item.boot] + quiet


def _unmet_renewals(instances: Iterable[Instance]) -> dict[str, UnmetRenewal]:
    return {
        instance.agent: renewal
        for instance in instances
        if instance.runs and (renewal := instance.unmet_renewal) is not None
    }
