"""Timing constants, and the time limits that a deployment configures in :class:`Bounds`."""

import math
from dataclasses import dataclass
from typing import Final

CLOCK_DRIFT_SHARE: Final = 0.02
"""Maximum share by which the monotonic clock of another machine may run slow."""

LEASE_MARGIN_S: Final = 0.5
"""Subtracted from the maximum lease to cover the delay of a renewal on its way to the worker."""

LOSS_MARGIN_S: Final = 0.5
"""Minimum time after the end of a lease at which its runs count as ended, to cover timer delays."""

KILL_GRACE_MARGIN_S: Final = 0.1
"""Allowance for late timers of the worker, added to the kill grace period."""

HEAD_LEASE_S: Final = 4.0
"""Time after its last commit for which a leader renews agents' leases and sends starts.

A successor allows for as much, except for the agents that the head row lists."""

HEARTBEAT_INTERVAL_S: Final = 0.4
"""Time between two heartbeats of a follower."""

LEADER_TIMEOUT_S: Final = 1.2
"""Time without an answer after which a follower suspects the leader; a false suspicion is safe,
because commits are conditional on the head row."""

MAX_WORKER_LEASE_S: Final = 7.5
"""Maximum lease that an agent requests for its worker at a time.

An agent that runs on knows this long after its last renewal that the runs of a worker which it
cannot reach have ended; long-running tasks must run again within 9 s."""

START_DEADLINE_S: Final = 1.2
"""Time after which a worker refuses a start that reaches it late."""

TAIL_TIMEOUT_S: Final = 4.0
"""Time after its claim or start order from which a latency-critical run without a tail latency
counts as one that measures none."""

MAX_ORDER_AGE_S: Final = 2.5
"""Maximum age of the report on which a start order is based; an agent refuses older orders, which
may precede a cancellation."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of a deployment.

    :ivar lease_max_s: maximum lease that a worker grants.
    :ivar kill_grace_s: maximum duration of a stop.
    :ivar early_s: how long before its due time an occurrence may start.
    :ivar restore_s: time to restore a checkpoint.
    :ivar save_every_s: work between two checkpoints of a task that saves.
    :ivar remote_factor: factor on the run time outside the rack that holds the data.
    :ivar drain_s: time from the notice that a worker leaves until no more work may start there.
    :ivar harm_s: maximum time for which best-effort tasks may keep a latency-critical task over its
        target.
    :ivar pace_s: time until a change of pace takes effect.
    :ivar grace_s: time that a process has to exit after SIGTERM.
    :ivar keep_ended_s: retention period of ended jobs.
    :ivar config_apply_s: time within which an accepted configuration is applied.
    :ivar evacuate_s: time after the acknowledgement of a zone's evacuation from which nothing may
        start there; infinite if the deployment sets none.
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
    evacuate_s: float = math.inf

    @property
    def lapse_s(self) -> float:
        """Time after the end of a lease at which a worker has certainly ended its runs."""
        return max(LOSS_MARGIN_S, self.kill_grace_s + KILL_GRACE_MARGIN_S)

    @property
    def lease_s(self) -> float:
        """Duration of an agent's lease after the report that renews it.

        A longer lapse shortens the lease instead of delaying :attr:`loss_s`, down to half of what
        the worker grants.
        """
        shortened_s = self.lapse_s - LOSS_MARGIN_S
        return max(self.lease_max_s - LEASE_MARGIN_S - shortened_s, self.lease_max_s / 2)

    @property
    def loss_s(self) -> float:
        """Time after the last renewal at which an agent's runs have certainly ended."""
        return self.lease_s + self.lapse_s
