"""The order in which queued jobs are offered to instances.

Urgent jobs go first, then those to which a rule gave a higher priority.  Among equals, the team
that uses the smallest part of its fair share goes first; its jobs are ordered by deadline slack,
and waiting makes every job older: after ``AGEING_S`` of waiting a job has overtaken any difference
of share, so that none starves behind a steady stream of its equals.

Shares are dominant shares: the largest part of any one resource that the team holds, divided by the
team's weight.  The order interleaves: each job picked is added to its team's use before the next is
picked, so one pass over a burst of one team does not starve the rest.
"""

import heapq
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from sapphirelead.model_job import Job
from sapphirelead.model_resources import NO_RESOURCES, Resources

AGEING_S: Final = 120.0
DEADLINE_HORIZON_S: Final = 600.0


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """A queued job and when this entry first saw it queued, on its own clock.

    :ivar expected_s: learnt or declared run time; 0 where unknown.
    :ivar urgent: as declared, or as the deciding rule says.
    :ivar priority: given by the deciding rule, 9 first.
    """

    job: Job
    since: float
    expected_s: float = 0.0
    urgent: bool = False
    priority: int = 5


@dataclass(frozen=True, slots=True)
class TeamShare:
    """What orders one team against the others.

    :ivar quota: bound on use; a dimension of 0 sets none.
    """

    weight: float = 1.0
    quota: Resources = NO_RESOURCES


def dominant_share(used: Resources, total: Resources) -> float:
    """Return the largest part of any resource of ``total`` that ``used`` holds.

    >>> dominant_share(Resources(1000, 100), Resources(4000, 1000))
    0.25
    """
    parts = [
        used.cpu_millicores / total.cpu_millicores if total.cpu_millicores else 0.0,
        used.memory_mb / total.memory_mb if total.memory_mb else 0.0,
        used.accelerators / total.accelerators if total.accelerators else 0.0,
    ]
    return max(parts)


def within_quota(used: Resources, want: Resources, quota: Resources) -> bool:
    """Return whether ``want`` on top of ``used`` stays inside ``quota``.

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


def pressure(queued: QueuedJob, at: float) -> float:
    """Return how much waiting and a near deadline press a job forward, 0 for not at all.

    Waiting counts 1 per :data:`AGEING_S`.  A deadline counts from 0 at :data:`DEADLINE_HORIZON_S`
    of slack to 1 at none; a deadline already missed presses no more than one about to be, so that
    hopeless jobs do not hold back those that can still be in time.
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
    """Return up to ``limit`` jobs in the order in which they are to be offered.

    Jobs whose team is at its quota are left out.

    :param used: what each team holds now, everywhere.
    :param total: capacity over which shares are taken.
    """
    lines = _lines(queued, at)
    holding = dict(used)
    heap = [_rank(line[0], holding, shares, total, at) for line in lines.values()]
    heapq.heapify(heap)
    picked: list[QueuedJob] = []
    while heap and len(picked) < limit:
        line = lines[heapq.heappop(heap).line]
        item = line.popleft()
        want = item.job.spec.resources
        team = item.job.spec.team
        held = holding.get(team, NO_RESOURCES)
        if within_quota(held, want, shares.get(team, TeamShare()).quota):
            picked.append(item)
            holding[team] = held + want
        if line:
            heapq.heappush(heap, _rank(line[0], holding, shares, total, at))
    return picked


@dataclass(frozen=True, slots=True, order=True)
class _Line:
    """Jobs that are ordered among themselves by waiting and deadline alone."""

    team: str
    urgent: bool
    priority: int


@dataclass(frozen=True, slots=True, order=True)
class _Rank:
    """Place of a line's first job; lower goes first."""

    not_urgent: bool
    priority: int
    share: float
    line: _Line


def _lines(queued: list[QueuedJob], at: float) -> dict[_Line, deque[QueuedJob]]:
    lines: dict[_Line, list[QueuedJob]] = {}
    for item in queued:
        lines.setdefault(_line_of(item), []).append(item)
    for line in lines.values():
        line.sort(key=lambda item: (-pressure(item, at), item.since, item.job.spec.key))
    return {name: deque(line) for name, line in lines.items()}


def _line_of(item: QueuedJob) -> _Line:
    return _Line(item.job.spec.team, item.urgent, item.priority)


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
    return _Rank(not item.urgent, -item.priority, share - pressure(item, at), _line_of(item))
