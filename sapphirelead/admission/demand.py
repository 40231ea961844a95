"""Running and waiting work of one service, in sums that an event changes in a few places.  No I/O.

Answers a load of a thousand submissions and claims in a second, for which counting all work for
each estimate would take the leader's whole time.
"""

from copy import copy
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.admission.loads import (
    COMPONENTS,
    NOTHING,
    Amount,
    Supply,
    Work,
    covers,
    larger,
    scaled,
    total,
)

BUCKET_S: Final = 0.25
"""Resolution of expected ends and latest starts; small against the shortest objectives (1 s)."""

VIEW_S: Final = 0.05
"""How long an estimate of the supply is used; what is accepted meanwhile is added."""

MIN_ENDS: Final = 30
"""Ends from which actual run times count, as many as for learned run times."""

KEPT_PER_END: Final = 0.997
"""Weight of earlier ends, which halves in 230 ends: about as many as a wide step has."""

FACTOR_RANGE: Final = (0.5, 4.0)
"""A larger error is one of single tasks, such as stragglers, and says nothing about the others."""


@dataclass(frozen=True, slots=True)
class WaitingPlace:
    """Where the tasks of a step are counted while they wait.

    :ivar ready: whether the steps that it depends on are done.
    """

    ready: bool
    service: str
    queue: str
    priority: int
    bucket: int
    load: Amount
    length_s: float


@dataclass(slots=True)
class MeanLength:
    """Actual over expected time from claims to ends, whose mean estimates of medians miss.

    >>> mean = MeanLength()
    >>> for _ in range(MIN_ENDS):
    ...     mean.record(3.0, 2.0)
    >>> round(mean.factor, 6)
    1.5
    """

    _actual_s: float = 0.0
    _expected_s: float = 0.0
    _ends: int = 0

    def record(self, actual_s: float, expected_s: float) -> None:
        """Record the end of a run that has succeeded."""
        self._actual_s = self._actual_s * KEPT_PER_END + actual_s
        self._expected_s = self._expected_s * KEPT_PER_END + expected_s
        self._ends += 1

    @property
    def factor(self) -> float:
        """Factor on expected times; 1 before :data:`MIN_ENDS`."""
        if self._ends < MIN_ENDS or self._expected_s <= 0:
            return 1.0
        low, high = FACTOR_RANGE
        return min(max(self._actual_s / self._expected_s, low), high)


@dataclass(slots=True)
class _View:
    """Running and waiting work of one moment.

    :ivar ahead: work ahead of a new job, by its priority and latest start.
    :ivar fresh: work accepted since: priority, latest start and work.
    """

    at: float
    supply: Supply
    ahead: dict[tuple[int, int], Work] = field(default_factory=dict)
    fresh: list[tuple[int, int, Work]] = field(default_factory=list)


@dataclass(slots=True)
class ServiceDemand:
    """Work of one service.

    :ivar waiting: by priority and latest start, which is the last moment to be in time.
    :ivar priorities: waiting work by priority.
    :ivar queues: waiting work by queue.
    :ivar sizes: number of ready tasks by priority and size.
    :ivar running: what becomes free, by expected end.
    :ivar occupied: by all runs.
    :ivar standing: occupied by long-running tasks.
    :ivar lengths: how much longer runs take than expected.
    :ivar capacity: of the workers that accept work.
    :ivar inherited: capacity that the predecessor knew, until this leader knows its own.
    :ivar cold: the part of it that is on workers that are still slow.
    :ivar excluded: those of ``running`` on workers that accept no work, by expected end.
    :ivar excluded_standing: those of ``standing`` there.
    :ivar excluded_occupied: those of ``occupied`` there.
    """

    waiting: dict[int, dict[int, Work]] = field(default_factory=dict)
    priorities: dict[int, Work] = field(default_factory=dict)
    queues: dict[str, Work] = field(default_factory=dict)
    sizes: dict[tuple[int, Amount], int] = field(default_factory=dict)
    running: dict[int, Amount] = field(default_factory=dict)
    occupied: Amount = NOTHING
    standing: Amount = NOTHING
    capacity: Amount = NOTHING
    inherited: Amount = NOTHING
    cold: Amount = NOTHING
    excluded: dict[int, Amount] = field(default_factory=dict)
    excluded_standing: Amount = NOTHING
    excluded_occupied: Amount = NOTHING
    lengths: MeanLength = field(default_factory=MeanLength)
    _view: _View | None = None

    def ahead(self, priority: int, at: float, latest_start: float) -> Work:
        """Return the waiting work that is served before a new job.

        That is all of higher priorities, and what can be in time and must start before it.
        """
        view = self._current_view(at)
        last = int(latest_start // BUCKET_S)
        found = view.ahead.get((priority, last))
        if found is None:
            found = view.ahead[priority, last] = self._count_ahead(priority, at, last)
        elif view.fresh:
            found = copy(found)
            for other, bucket, work in view.fresh:
                if other < priority or (other == priority and bucket <= last):
                    found.merge(work)
        return found

    def _count_ahead(self, priority: int, at: float, last: int) -> Work:
        first = int(at // BUCKET_S)
        found = Work()
        for other, work in self.priorities.items():
            if other < priority:
                found.merge(work)
        for bucket, work in self.waiting.get(priority, {}).items():
            if first <= bucket <= last:
                found.merge(work)
        return found

    def all_ahead(self, priority: int) -> Work:
        """Return all waiting work of the same and higher priorities."""
        found = Work()
        for other, work in self.priorities.items():
            if other <= priority:
                found.merge(work)
        return found

    def supply(self, at: float) -> Supply:
        """Return the capacity, and when more of it becomes free; overdue runs end at once."""
        return self._current_view(at).supply

    def _current_view(self, at: float) -> _View:
        view = self._view
        if view is None or at - view.at >= VIEW_S:
            view = self._view = _View(at, self._make_supply(at))
        return view

    def _make_supply(self, at: float) -> Supply:
        ends: dict[float, Amount] = {}
        for buckets, sign in ((self.running, 1), (self.excluded, -1)):
            for bucket, freed in buckets.items():
                end_s = max(0.0, (bucket + 0.5) * BUCKET_S - at)
                ends[end_s] = total(ends.get(end_s, NOTHING), scaled(freed, sign))
        standing = total(self.standing, scaled(self.excluded_standing, -1))
        return Supply.from_runs(self.offered, self.cold, standing, ends)

    @property
    def offered(self) -> Amount:
        """Capacity of the workers that accept work, as far as it is known."""
        return larger(self.capacity, self.inherited)

    def has_room(self, priority: int, first: Work) -> bool:
        """Whether there is room for the first tasks of a job beside those that wait already."""
        occupied = total(self.occupied, scaled(self.excluded_occupied, -1))
        occupied = total(occupied, self.all_ahead(priority).rooms)
        wanted = total(occupied, first.rooms)
        return all(
            first.rooms[part] <= 0 or self.offered[part] >= wanted[part] for part in COMPONENTS
        )

    def has_smaller_waiting(self, priority: int, need: Amount) -> bool:
        """Whether a ready task of this or a higher priority would fit wherever ``need`` does."""
        return any(
            tasks > 0 and other <= priority and covers(need, load)
            for (other, load), tasks in self.sizes.items()
        )

    def count_accepted(self, place: WaitingPlace, tasks: int) -> None:
        """Add tasks of a job that has just been accepted."""
        self.count_waiting(place, tasks)
        if self._view is not None:
            work = Work()
            work.add(place.load, place.length_s, tasks)
            self._view.fresh.append((place.priority, place.bucket, work))

    def count_waiting(self, place: WaitingPlace, tasks: int) -> None:
        """Add waiting tasks; a negative number removes them."""
        by_time = self.waiting.setdefault(place.priority, {})
        for work in (
            by_time.setdefault(place.bucket, Work()),
            self.queues.setdefault(place.queue, Work()),
            self.priorities.setdefault(place.priority, Work()),
        ):
            work.add(place.load, place.length_s, tasks)
        if by_time[place.bucket].tasks <= 0:
            del by_time[place.bucket]
        if self.queues[place.queue].tasks <= 0:
            del self.queues[place.queue]
        if self.priorities[place.priority].tasks <= 0:
            # Without tasks what is left are rounding errors.
            del self.priorities[place.priority]
            del self.waiting[place.priority]
        if place.ready:
            size = (place.priority, place.load)
            self.sizes[size] = self.sizes.get(size, 0) + tasks
            if self.sizes[size] <= 0:
                del self.sizes[size]

    def count_run(self, bucket: int | None, load: Amount, sign: int) -> None:
        """Add a run, or remove it; without a bucket if it is long-running."""
        change = scaled(load, sign)
        self.occupied = total(self.occupied, change)
        if bucket is None:
            self.standing = total(self.standing, change)
            return
        left = total(self.running.get(bucket, NOTHING), change)
        if max(left) > 0:
            self.running[bucket] = left
        else:
            self.running.pop(bucket, None)
