"""Agents whose leases a leader does not renew; see :mod:`sapphirelead.sched_renewals`."""

from collections.abc import Iterable
from typing import Final

from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_renewals import RenewalList, age_ms

SILENCE_THRESHOLD_S: Final = 1.2
"""Time without a report after which an agent's lease is no longer renewed until it reports and the
row is rewritten."""

MAX_LISTED_AGENTS: Final = 500
"""Limit for the list, which is part of every transaction; the store accepts rows of 64 KB."""


class RenewalHolds:
    """The agents whose leases this leader does not renew.

    :ivar stored: the list in the row that was last stored.
    """

    stored: RenewalList
    _held: set[str]
    _declined: set[str]

    def __init__(self, stored: RenewalList) -> None:
        """Begin with the list in the row by which the leader took over."""
        self.stored = stored
        self._held = set(stored.ages_ms)
        self._declined = set()

    def allows_renewal(self, agent: str) -> bool:
        """Return whether the agent's lease may be renewed and starts may be sent to it."""
        return self.stored.others_ms is None and agent not in self._held

    def record_declined(self, agent: str) -> None:
        """Record that a report of the agent was answered without a renewal or without starts."""
        self._declined.add(agent)

    def next_list(self, instances: Iterable[Instance], at: float) -> RenewalList:
        """Return the list for the next row, and hold the agents on it from now on.

        If there are too many, those silent for the longest time are listed.
        """
        silent = sorted(
            (instance.lease_since, instance.agent)
            for instance in instances
            if _is_silent(instance, at)
        )
        listed = {agent: age_ms(since, at) for since, agent in silent[:MAX_LISTED_AGENTS]}
        self._held |= set(listed)
        return RenewalList(listed)

    def record_stored(self, renewals: RenewalList) -> set[str]:
        """Record a stored list; return the declined agents whose leases may be renewed now."""
        self.stored = renewals
        self._held = set(renewals.ages_ms)
        released = {agent for agent in self._declined if self.allows_renewal(agent)}
        self._declined -= released
        return released

    def outdated(self, instances: Iterable[Instance], at: float) -> bool:
        """Return whether the stored list differs from the agents that are silent now."""
        if self.stored.others_ms is not None:
            return True
        silent = {instance.agent for instance in instances if _is_silent(instance, at)}
        listed = set(self.stored.ages_ms)
        return bool(listed - silent) or (silent != listed and len(listed) < MAX_LISTED_AGENTS)


def _is_silent(instance: Instance, at: float) -> bool:
    """Return whether an agent with runs does not report, or announced that it will not."""
    if not instance.runs:
        return False
    return (
        not instance.boot or instance.leaving or at - instance.last_report_at >= SILENCE_THRESHOLD_S
    )
