"""Estimates when a job can start, from the work ahead of it and the capacity.  No I/O.

Answers a load in which more work arrives than the workers can do: runs and waiting tasks keep all
capacity, which becomes free as runs end.  Capacity is treated as a fluid: the wait ends when the
capacity that has become free amounts to the work ahead.  The tasks ahead need not have ended by
then, only started, so half of their mean length is subtracted (for workers whose runs end evenly
spread this is exact once the queue is about half as long as the running work).

Labels, tickets and the size of single workers are ignored, which makes the low estimate lower.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from sapphirelead.admission.loads import COMPONENTS, Amount, Supply, Work


@dataclass(frozen=True, slots=True)
class Wait:
    """Estimate of the seconds until a job's tasks have started.

    :ivar low: if the workers that are cold now are at full pace at once, and only work that is
        certainly served first is ahead.
    :ivar high: without the cold workers, behind all work of the same and higher priorities.
    """

    low: float
    high: float


def drain_s(free: float, ends: Sequence[tuple[float, float]], work: float, need: float) -> float:
    """Return when the capacity that has become free amounts to ``work``, and ``need`` is free.

    >>> drain_s(2.0, [], 6.0, 1.0), drain_s(0.0, [(4.0, 2.0)], 6.0, 1.0), drain_s(0.0, [], 0.0, 1.0)
    (3.0, 7.0, inf)
    >>> drain_s(0.0, [(4.0, 2.0), (5.0, 2.0)], 0.0, 3.0), drain_s(3.0, [], 0.0, 3.0)
    (5.0, 0.0)

    :param ends: ends of runs in order, in seconds from now, and what each frees.
    """
    at = 0.0
    for end, freed in ends:
        if work <= 0 and free >= need:
            return at
        span = end - at
        if free > 0 and 0 < work <= free * span:
            at += work / free
            if free >= need:
                return at
            work = 0.0
        work = max(0.0, work - max(0.0, free) * span)
        at = end
        free += freed
    if free < need or (free <= 0 and work > 0):
        return math.inf
    return at + (work / free if work > 0 else 0.0)


def start_s(supply: Supply, ahead: Work, own: Work, need: Amount, with_cold: bool) -> float:
    """Return the seconds until the last of a job's first tasks starts; infinite for never.

    :param own: the job's first tasks.
    :param need: what one of them occupies.
    """
    found = 0.0
    for part in COMPONENTS:
        if need[part] <= 0:
            continue
        offered = supply.parts[part]
        free = offered.free if with_cold else offered.free - offered.cold
        if free >= ahead.rooms[part] + own.rooms[part]:
            continue
        before_last = own.amount[part] * (1 - need[part] / own.rooms[part])
        drained = drain_s(free, offered.ends, ahead.amount[part] + before_last, need[part])
        if ahead.amount[part] > 0 and drained < math.inf:
            drained = max(0.0, drained - ahead.mean_length_s(part) / 2)
        found = max(found, drained)
    return found


def occupied_s(supply: Supply, work: Amount) -> float:
    """Return for how many seconds some work keeps the whole service occupied."""
    return max(
        (
            work[part] / supply.parts[part].total
            for part in COMPONENTS
            if work[part] > 0 and supply.parts[part].total > 0
        ),
        default=0.0,
    )
