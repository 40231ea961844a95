"""Order in which planning passes scan ready steps under a time budget.

Handles more ready steps than the leader can scan between two heartbeats.  Half of each call's
budget goes to steps in rank order that may have new room or were not scanned within
:data:`RESCAN_INTERVAL_S`.  The other half goes to the steps that have waited longest for a scan, so
that every step is eventually scanned.
"""

import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Final, Protocol, TypeVar

from sapphirelead.sched_task import StepKey
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S

RESCAN_INTERVAL_S: Final = HEARTBEAT_INTERVAL_S
"""Minimum time between two scans of a step in rank order while passes are truncated."""


class Ranked(Protocol):
    """A ready step, ordered by rank."""

    @property
    def key(self) -> StepKey:
        """Identity of the step."""


R = TypeVar("R", bound=Ranked)


class Budget:
    """A time budget: a deadline on a clock.

    :ivar until: time at which the budget is spent, on that clock.
    """

    until: float
    _clock: Callable[[], float]

    def __init__(self, clock: Callable[[], float], until: float) -> None:
        self.until = until
        self._clock = clock

    @classmethod
    def unlimited(cls) -> "Budget":
        """Return a budget that is never spent."""
        return cls(lambda: 0.0, math.inf)

    @property
    def spent(self) -> bool:
        """Whether the deadline has passed."""
        return self._clock() >= self.until

    def half(self) -> "Budget":
        """Return a budget of half the remaining time."""
        at = self._clock()
        return Budget(self._clock, at + max(0.0, self.until - at) / 2)

    def ended_by(self, ended: Callable[[], bool]) -> "Budget":
        """Return a budget that is also spent once ``ended`` returns ``True``."""
        return _EndedBudget(self._clock, self.until, ended)


class _EndedBudget(Budget):
    """A time budget that a condition ends early."""

    _ended: Callable[[], bool]

    def __init__(self, clock: Callable[[], float], until: float, ended: Callable[[], bool]) -> None:
        super().__init__(clock, until)
        self._ended = ended

    @property
    def spent(self) -> bool:
        """Whether the deadline has passed or the condition holds."""
        return super().spent or self._ended()


class ScanOrder:
    """Scan order of ready steps over several calls of the planner.

    :ivar budget: budget of the current call.
    :ivar waited_s: longest time that a step had waited for a scan when the last call was truncated,
        in seconds; 0 if it was not truncated.
    """

    budget: Budget
    waited_s: float
    _scanned_at: dict[StepKey, float]
    _scanned: set[StepKey]

    def __init__(self) -> None:
        self.budget = Budget.unlimited()
        self.waited_s = 0.0
        self._scanned_at = {}
        self._scanned = set()

    @property
    def truncated(self) -> bool:
        """Whether the last call was truncated before it had scanned every step."""
        return bool(self._scanned_at)

    def was_scanned(self, key: StepKey) -> bool:
        """Whether the last call has scanned a step."""
        return key in self._scanned

    def order(
        self,
        steps: Sequence[R],
        since: Mapping[StepKey, float],
        at: float,
        has_new_room: Callable[[R], bool] = lambda _: False,
        ranked: Iterable[R] | None = None,
    ) -> Iterator[R]:
        """Yield the steps to scan until the budget is spent.

        Yields at least one step of each half of the budget, if there is one.

        :param steps: steps in rank order.
        :param since: time at which each ready step became ready, also those not in ``steps``.
        :param has_new_room: whether a step may fit on a worker that it has not been tried on.
        :param ranked: the same steps in an order that changes during the pass; may repeat a step.
        """
        self._scanned = set()
        rank_budget = self.budget.half()
        for step in steps if ranked is None else ranked:
            if self._scanned and rank_budget.spent:
                break
            scanned_at = self._scanned_at.get(step.key, -math.inf)
            again = ranked is not None and step.key in self._scanned
            if again or at - scanned_at >= RESCAN_INTERVAL_S or has_new_room(step):
                yield step
        by_rank = len(self._scanned)
        rest = [step for step in steps if step.key not in self._scanned]
        rest.sort(key=lambda step: (self._waits_since(step, since), step.key in self._scanned_at))
        for step in rest:
            if len(self._scanned) > by_rank and self.budget.spent:
                self.waited_s = at - self._waits_since(step, since)
                self._forget_removed(since)
                return
            yield step
        self.waited_s = 0.0
        self._scanned_at = {}

    def _waits_since(self, step: Ranked, since: Mapping[StepKey, float]) -> float:
        return self._scanned_at.get(step.key, since[step.key])

    def _forget_removed(self, since: Mapping[StepKey, float]) -> None:
        for key in [key for key in self._scanned_at if key not in since]:
            del self._scanned_at[key]

    def mark_scanned(self, key: StepKey, at: float) -> None:
        """Record that a step has been scanned; the caller skips this for steps it passes over."""
        self._scanned.add(key)
        self._scanned_at[key] = at
