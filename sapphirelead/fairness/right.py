"""Lets an organisation below its guaranteed share stop runs of one above its entitled share.

Load pattern: a queue has filled all workers with long tasks while others were idle.  What it has
borrowed returns only as its tasks end, so that a queue of the same priority starts late although
its organisation is guaranteed a share.

Invariants:

- Within one priority no organisation is both below and above its shares, so that the relation is
  a strict order: by priority, then by this standing.
- With all held room claimed and all awaited runs ended, the one holds at most its guaranteed share
  and the other at least its entitled one.
"""

from collections.abc import Callable, Collection, Hashable, Mapping, Sequence
from enum import Enum

from sapphirelead.dominant_share import dominant_share
from sapphirelead.fairness.sharing import FairSharing, demand
from sapphirelead.fairness.tree import ROUNDING, Node
from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.preemption.rights import Pending, PriorityRight
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_spec import QueuePolicy, StepSpec


class _Standing(Enum):
    """Standing of an organisation towards its shares."""

    BELOW = "below"
    WITHIN = "within"
    ABOVE = "above"


def _due(node: Node) -> float:
    """Return the share that is restored by stops; a limit may be below the guaranteed share."""
    return min(node.guaranteed, node.entitled)


def _kept(node: Node) -> float:
    """Return the share below which no run is stopped."""
    return max(node.guaranteed, node.entitled)


class ShareRight:
    """A ``PreemptionRight`` by priority and, within one priority, by guaranteed shares."""

    _priority: PriorityRight
    _policies: Callable[[], Mapping[str, QueuePolicy]]
    _sharing: FairSharing
    _counted: Pending | None
    _sums: dict[int, Resources]

    def __init__(
        self,
        priority: PriorityRight,
        policies: Callable[[], Mapping[str, QueuePolicy]],
        sharing: FairSharing,
    ) -> None:
        """Create the order.

        :param policies: returns the policies in force, by queue.
        """
        self._priority = priority
        self._policies = policies
        self._sharing = sharing
        self._counted = None
        self._sums = {}

    def may_preempt(self, queue_of_run: str, queue_of_step: str) -> bool:
        """Return whether priority or the shares let the step's queue stop the run's."""
        if self._priority.may_preempt(queue_of_run, queue_of_step):
            return True
        policies = self._policies()
        running, waiting = policies.get(queue_of_run), policies.get(queue_of_step)
        if running is None or waiting is None:
            return False
        if (running.service, running.priority) != (waiting.service, waiting.priority):
            return False
        return (
            self._standing(waiting.service, queue_of_step) is _Standing.BELOW
            and self._standing(running.service, queue_of_run) is _Standing.ABOVE
        )

    def group_of(self, queue: str) -> Hashable:
        """Return the service, the priority and the standing of a queue's organisation.

        Queues of different organisations with one standing have the same rights, which keeps the
        number of groups small with thousands of organisations.
        """
        policy = self._policies().get(queue)
        if policy is None:
            return None
        return policy.service, policy.priority, self._standing(policy.service, queue)

    def _standing(self, service: str, queue: str) -> _Standing:
        node, _ = self._sharing.organisation(service, queue)
        if node.share + ROUNDING < _due(node):
            return _Standing.BELOW
        return _Standing.ABOVE if node.share > _kept(node) + ROUNDING else _Standing.WITHIN

    def tiers(
        self,
        queues: frozenset[str],
        queue_of_step: str,
        steps: Sequence[StepSpec],
        pending: Callable[[], Pending],
    ) -> Sequence[frozenset[str]]:
        """Return the queues of a lower priority, then all if the guaranteed share allows it."""
        equal = self._equal(queues, queue_of_step)
        if not equal:
            return (queues,)
        lower = queues - equal
        found = [lower] if lower else []
        service = self._policies()[queue_of_step].service
        node, capacity = self._sharing.organisation(service, queue_of_step)
        starting = [*pending().starting, *((queue_of_step, step) for step in steps)]
        coming = node.held + self._of(node, service, starting)
        if dominant_share(coming, capacity) <= _due(node) + ROUNDING:
            found.append(queues)
        return found

    def allows(
        self, queue_of_step: str, runs: Sequence[tuple[str, Run]], pending: Callable[[], Pending]
    ) -> bool:
        """Return whether organisations of the same priority keep their entitled shares."""
        equal = self._equal({queue for queue, _ in runs}, queue_of_step)
        if not equal:
            return True
        service = self._policies()[queue_of_step].service
        chosen = [(queue, run.step) for queue, run in runs]
        return all(self._keeps(service, queue, chosen, pending()) for queue in equal)

    def _equal(self, queues: Collection[str], queue_of_step: str) -> frozenset[str]:
        """Return the queues over which priority gives no right."""
        may = self._priority.may_preempt
        return frozenset(queue for queue in queues if not may(queue, queue_of_step))

    def _keeps(
        self, service: str, queue: str, chosen: Sequence[tuple[str, StepSpec]], pending: Pending
    ) -> bool:
        """Return whether an organisation keeps its entitled share without the chosen runs.

        A chosen run whose own end was awaited counts twice, so that too little is stopped.
        """
        node, capacity = self._sharing.organisation(service, queue)
        rest = node.held - self._leaving(node, service, pending) - self._of(node, service, chosen)
        return dominant_share(rest, capacity) >= _kept(node) - ROUNDING

    def _leaving(self, node: Node, service: str, pending: Pending) -> Resources:
        """Return what an organisation will release, added up once for each decision."""
        if self._counted is not pending:
            self._counted, self._sums = pending, {}
        found = self._sums.get(id(node))
        if found is None:
            steps = [(queue, run.step) for queue, run in pending.leaving]
            found = self._sums[id(node)] = self._of(node, service, steps)
        return found

    def _of(self, node: Node, service: str, steps: Sequence[tuple[str, StepSpec]]) -> Resources:
        """Return what tasks of one organisation count for."""
        policies = self._policies()
        return sum(
            (
                demand(step)
                for queue, step in steps
                if queue in policies
                and policies[queue].service == service
                and self._sharing.organisation(service, queue)[0] is node
            ),
            NO_RESOURCES,
        )
