"""Keeps what a leader knows of agents' leases across changes of leader.

A successor must not count an agent's runs as ended before the last lease that any previous leader
can have renewed.  The head row therefore lists the agents whose leases its leader does not renew,
each with the time since the last possible renewal.  Times are stored as ages when the row is sent:
the row is read later, so an age is never too high, and no clocks are compared.

Invariants:

- From sending a row that lists an agent until a later row without it is stored, the leader neither
  renews the agent's lease nor sends it starts.
- A leader renews no lease before it has stored a row with a list of its own.  Until then the row
  states the age of the last possible renewal for all agents that it does not list.
- For an agent that is not listed otherwise, a renewal may be as late as ``HEAD_LEASE_S`` after the
  row was stored.

The row also names each agent whose process has not met a worker with claims, with the time since
the last possible renewal of the lease there.  The leader renews that lease again as soon as the
process reports the worker, so a successor may rely on the time only if it hears the same process
and that does not name the worker; see :mod:`sapphirelead.sched_unmet_claims`.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Any, Final

import msgspec

from sapphirelead.logs import log_event
from sapphirelead.sched_timing import HEAD_LEASE_S

MAX_AGE_MS: Final = 2**40


class RenewalSource(StrEnum):
    """How a leader knows when an agent's lease was last renewed."""

    OWN = "own"
    """It renewed the lease itself."""
    LISTED = "listed"
    """Its predecessor's head row states the age of the renewal."""
    ASSUMED = "assumed"
    """The latest time at which any previous leader can have renewed the lease."""


AgeMs = Annotated[int, msgspec.Meta(ge=-MAX_AGE_MS, le=MAX_AGE_MS)]
"""Time since a renewal in milliseconds; negative if it lies in the future."""


class UnmetAge(msgspec.Struct, array_like=True, frozen=True):
    """What a row states about an agent whose process has not met a claimed worker.

    :ivar boot: id of the process.
    :ivar age_ms: time since the last possible renewal by a process that had met the worker.
    """

    boot: str
    age_ms: AgeMs


class RenewalList(msgspec.Struct, frozen=True):
    """The part of the head row about leases.

    :ivar ages_ms: time since the last possible renewal, by agent.
    :ivar others_ms: the same for all other agents; ``None`` if the leader may renew their leases.
    :ivar unmet: agents with claims on a worker that their process has not met; rows of earlier
        versions have none.
    """

    ages_ms: dict[str, AgeMs] = {}
    others_ms: AgeMs | None = None
    unmet: dict[str, UnmetAge] = {}

    @classmethod
    def from_value(cls, value: Any) -> "RenewalList | None":
        """Decode the field of a row; ``None`` if another writer has damaged it."""
        try:
            return msgspec.convert(value, cls)
        except msgspec.ValidationError as exc:
            log_event("ERROR", "renewals_unreadable", reason=str(exc))
            return None

    def to_value(self) -> dict[str, Any]:
        """Encode the list for a row."""
        value: dict[str, Any] = msgspec.to_builtins(self)
        return value


@dataclass(frozen=True, slots=True)
class UnmetRenewal:
    """Latest renewal of a lease on a worker that the agent's process has not met.

    :ivar boot: id of that process.
    """

    boot: str
    renewed_at: float

    def to_age(self, at: float) -> UnmetAge:
        """Return what a row that is written at ``at`` states."""
        return UnmetAge(self.boot, age_ms(self.renewed_at, at))


@dataclass(frozen=True, slots=True)
class PriorRenewals:
    """Latest times at which previous leaders can have renewed agents' leases.

    :ivar listed: times by agent.
    :ivar others: the time for all other agents.
    :ivar unmet: renewals on workers that an agent's process has not met, by agent.
    """

    listed: Mapping[str, float]
    others: float
    unmet: Mapping[str, UnmetRenewal] = field(default_factory=dict)

    @classmethod
    def unknown(cls, at: float) -> "PriorRenewals":
        """Assume that a previous leader stored its last row at ``at``."""
        return cls({}, at + HEAD_LEASE_S)

    @classmethod
    def from_list(cls, renewals: RenewalList, seen_at: float) -> "PriorRenewals":
        """Derive the times from a row that no leader has changed since ``seen_at``."""
        others = HEAD_LEASE_S if renewals.others_ms is None else -renewals.others_ms / 1000
        listed = {agent: seen_at - age / 1000 for agent, age in renewals.ages_ms.items()}
        unmet = {
            agent: UnmetRenewal(item.boot, seen_at - item.age_ms / 1000)
            for agent, item in renewals.unmet.items()
        }
        return cls(listed, seen_at + others, unmet)

    def to_list(self, at: float) -> RenewalList:
        """Return the list of a leader that has not renewed any lease yet."""
        ages = {agent: age_ms(renewed_at, at) for agent, renewed_at in self.listed.items()}
        unmet = {agent: renewal.to_age(at) for agent, renewal in self.unmet.items()}
        return RenewalList(ages, age_ms(self.others, at), unmet)

    def latest(self, agent: str) -> float:
        """Return the latest time of a renewal for ``agent``."""
        return self.listed.get(agent, self.others)

    def source(self, agent: str) -> RenewalSource:
        """Return how that time is known."""
        return RenewalSource.LISTED if agent in self.listed else RenewalSource.ASSUMED


def age_ms(renewed_at: float, at: float) -> int:
    """Return the age in whole milliseconds, rounded down."""
    return math.floor((at - renewed_at) * 1000)
