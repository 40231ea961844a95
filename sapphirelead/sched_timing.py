"""Bounds and periods of a fleet, in seconds unless a name says otherwise.

What the site gives stands in :class:`Bounds` and comes with the settings.  What the project chose
stands here as constants, each with its reason.
"""

from dataclasses import dataclass
from typing import Final

CLOCK_DRIFT_SHARE: Final = 0.02
"""Share by which a worker's steady clock may be slow; given by the platform's contract."""

LEASE_MARGIN_S: Final = 0.5
"""Taken off the longest lease a worker grants.  Covers the way of the renewal to the worker (a hold
call waits up to half a second before the next one goes)."""

LOSS_MARGIN_S: Final = 0.5
"""Waited beyond an agent's lease before its runs count as over; covers the late firing of timers
and the time a worker takes to end what lapsed."""

HEAD_LEASE_S: Final = 4.0
"""How long after its last commit a leader still renews agents' leases.  A successor that has not
heard of an agent waits this much longer before it takes the agent's runs for over.  Shorter spoils
work in outages of the store (3 to 9 s are usual), longer delays the restart of what was lost
together with its leader."""

HEARTBEAT_INTERVAL_S: Final = 0.4
"""Time between two heartbeats of a follower: three fit into the silence after which it suspects the
leader."""

LEADER_TIMEOUT_S: Final = 1.2
"""Silence after which a follower suspects the leader: three heartbeats.  A wrong suspicion costs a
read of every job, never a second run, because commits are conditioned on the leader's row."""

START_DEADLINE_S: Final = 1.2
"""A start that reaches the worker later than this is refused by it.  Covers two tries of 0.5 s; a
start that is carried out seconds late then never runs."""

MAX_ORDER_AGE_S: Final = 2.5
"""An agent refuses starts ordered on the ground of a report older than this; they may be overtaken
by a cancellation."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the site gives.

    :ivar lease_max_s: longest lease that a worker grants.
    :ivar kill_grace_s: longest time that a stop takes.
    :ivar early_s: how much before its due time an occurrence may start.
    :ivar restore_s: time to resume from saved progress.
    :ivar save_every_s: a task that saves has new saved progress after so much work.
    :ivar remote_factor: factor on the run time away from the data's rack.
    :ivar drain_s: time from the word that a worker leaves until no more work may start there.
    :ivar harm_s: longest time that a serving task may be over its target because of filling tasks.
    :ivar pace_s: time from a change of pace until it works.
    :ivar grace_s: time a process has to end after SIGTERM.
    :ivar keep_ended_s: how long an ended job can be asked for.
    :ivar config_apply_s: time within which an accepted configuration is in force.
    """

    lease_max_s: float = 10.0
    kill_grace_s: float = 0.9
    early_s: float = 0.25
    restore_s: float = 0.6
    save_every_s: float = 1.0
    remote_factor: float = 1.5
    drain_s: float = 2.0
    harm_s: float = 4.0
    pace_s: float = 0.1
    grace_s: float = 6.0
    keep_ended_s: float = 120.0
    config_apply_s: float = 2.0

    @property
    def lease_s(self) -> float:
        """How far beyond a report an agent's lease reaches."""
        return self.lease_max_s - LEASE_MARGIN_S

    @property
    def loss_s(self) -> float:
        """Time after the last renewal at which an agent's runs are surely over."""
        return self.lease_s + LOSS_MARGIN_S
