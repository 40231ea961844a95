"""The order in which queued jobs are offered to instances: weighted dominant resource fairness.

Urgent jobs go first, then jobs with a higher priority.  Among equals, the team with the smallest
dominant share (the largest share of any one resource that it holds, divided by its weight) goes
first.  Jobs of a team are ordered by deadline slack and age.  Ageing prevents starvation: after
``AGEING_S`` of waiting a job outranks any difference in share.

Each picked job is added to its team's usage before the next is picked, so that a burst of one team
does not starve the others.
"""

import heapq
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from sapphirelead.dominant_share import dominant_share
from sapphirelead.model_job import Job
from sapphirelead.model_resources import NO_RESOURCES, Resources

AGEING_S: Final = 120.0
DEADLINE_HORIZON_S: Final = 600.0


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """A queued job with what its order depends on.

    :ivar since: when this entry first saw the job queued, on the entry's clock.
    :ivar expected_s: estimated or declared run time in seconds; 0 if unknown.
    :ivar urgent: as declared, unless the matching rule overrides it.
    :ivar priority: set by the matching rule; 9 is the highest.
    """

    job: Job
    since: float
    expected_s: float = 0.0
    urgent: bool = False
    priority: int = 5


@dataclass(frozen=True, slots=True)
class TeamShare:
    """Weight and quota of a team.

    :ivar quota: limit on usage; a dimension of 0 is unlimited.
    """

    weight: float = 1.0
    quota: Resources = NO_RESOURCES


def within_quota(used: Resources, want: Resources, quota: Resources) -> bool:
    """Return whether ``want`` in addition to ``used`` stays within ``quota``.

    >>> within_quota(Resources(1000), Resources(1000), Resources(2000))
    True
    >>> within_quota(Resources(1000), Resources(1001), Resources(2000))
    False
    """
    after = used + want
    return (
        (quota.cpu_millicores == 0 or after.cpu_millicores <= quota.cpu_millicores)
        and (quota.memory_mb == 0 or after.memory_mb <= quota.memory_mb)
        and (quota.accelerators == 0 or after.accelerators <= quota.accelerators)
    )


def urgency(queued: QueuedJob, at: float) -> float:
    """Return the urgency of a job from its age and deadline, 0 or more.

    Age counts 1 per :data:`AGEING_S`.  A deadline counts from 0 at :data:`DEADLINE_HORIZON_S` of
    slack to 1 at no slack; missed deadlines count no more, so that jobs that are already late do
    not delay those that can still finish in time.
    """
    waited = max(0.0, at - queued.since)
    ageing = waited / AGEING_S
    if queued.job.spec.deadline_ms == 0:
        return ageing
    slack = queued.job.spec.deadline_ms / 1000.0 - waited - queued.expected_s
    return ageing + min(1.0, max(0.0, 1.0 - slack / DEADLINE_HORIZON_S))


def order(
    queued: list[QueuedJob],
    used: Mapping[str, Resources],
    shares: Mapping[str, TeamShare],
    total: Resources,
    at: float,
    limit: int,
) -> list[QueuedJob]:
    """Return up to ``limit`` jobs in the order in which to offer them.

    Jobs that would exceed their team's quota are left out.

    :param used: current usage of each team over all instances.
    :param total: capacity that shares are relative to.
    """
    queues = _group_by_key(queued, at)
    allocated = dict(used)
    heap = [_rank(queue[0], allocated, shares, total, at) for queue in queues.values()]
    heapq.heapify(heap)
    picked: list[QueuedJob] = []
    while heap and len(picked) < limit:
        queue = queues[heapq.heappop(heap).queue]
        item = queue.popleft()
        want = item.job.spec.resources
        team = item.job.spec.team
        held = allocated.get(team, NO_RESOURCES)
        if within_quota(held, want, shares.get(team, TeamShare()).quota):
            picked.append(item)
            allocated[team] = held + want
        if queue:
            heapq.heappush(heap, _rank(queue[0], allocated, shares, total, at))
    return picked


@dataclass(frozen=True, slots=True, order=True)
class _QueueKey:
    """Key of a queue whose jobs are ordered by age and deadline alone."""

    team: str
    urgent: bool
    priority: int


@dataclass(frozen=True, slots=True, order=True)
class _Rank:
    """Rank of the first job of a queue; the lowest goes first."""

    not_urgent: bool
    priority: int
    share: float
    queue: _QueueKey


def _group_by_key(queued: list[QueuedJob], at: float) -> dict[_QueueKey, deque[QueuedJob]]:
    queues: dict[_QueueKey, list[QueuedJob]] = {}
    for item in queued:
        queues.setdefault(_queue_key(item), []).append(item)
    for queue in queues.values():
        queue.sort(key=lambda item: (-urgency(item, at), item.since, item.job.spec.key))
    return {name: deque(queue) for name, queue in queues.items()}


def _queue_key(item: QueuedJob) -> _QueueKey:
    return _QueueKey(item.job.spec.team, item.urgent, item.priority)


def _rank(
    item: QueuedJob,
    used: Mapping[str, Resources],
    shares: Mapping[str, TeamShare],
    total: Resources,
    at: float,
) -> _Rank:
    team = item.job.spec.team
    weight = shares.get(team, TeamShare()).weight
    share = dominant_share(used.get(team, NO_RESOURCES), total) / weight
    return _Rank(not item.urgent, -item.priority, share - urgency(item, at), _queue_key(item))
