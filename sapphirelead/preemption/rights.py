"""Which queue's waiting tasks may stop which queue's running ones.  No I/O."""

from collections.abc import Callable, Hashable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from sapphirelead.sched_fleet import Run
from sapphirelead.sched_spec import QueuePolicy, StepSpec


@dataclass(frozen=True, slots=True)
class Pending:
    """What earlier decisions will change once their stops have ended.

    :ivar starting: steps of the tasks for which room is held, with their queues.
    :ivar leaving: runs that are being stopped or whose end is awaited, with their queues.
    """

    starting: Sequence[tuple[str, StepSpec]]
    leaving: Sequence[tuple[str, Run]]


class PreemptionRight(Protocol):
    """Decides whose tasks may be stopped for whom.

    The relation must be a strict order at any one time, so that no two queues stop each other's
    tasks in turn.
    """

    def may_preempt(self, queue_of_run: str, queue_of_step: str) -> bool:
        """Return whether a waiting step of one queue may stop a run of another."""

    def group_of(self, queue: str) -> Hashable:
        """Return a name of the queues that have the same rights as ``queue``.

        Only one of each group is asked about, since there may be thousands of queues.
        """

    def tiers(
        self,
        queues: frozenset[str],
        queue_of_step: str,
        steps: Sequence[StepSpec],
        pending: Callable[[], Pending],
    ) -> Sequence[frozenset[str]]:
        """Return the sets of queues among which runs to stop are sought, one after another.

        None if no room may be made for the tasks.

        :param queues: all queues whose runs may be stopped for the step.
        :param steps: the step of each task that is decided on at once.
        """

    def allows(
        self, queue_of_step: str, runs: Sequence[tuple[str, Run]], pending: Callable[[], Pending]
    ) -> bool:
        """Return whether these runs may be stopped for a queue, all of them together.

        :param runs: runs to stop, with their queues.
        """


class PriorityRight:
    """Lets a queue stop the tasks of queues with a lower priority, which is a larger number.

    Tasks of a queue that has been removed are neither stopped nor have others stopped for them.
    """

    _policies: Callable[[], Mapping[str, QueuePolicy]]

    def __init__(self, policies: Callable[[], Mapping[str, QueuePolicy]]) -> None:
        """Create the order.

        :param policies: returns the policies in force, by queue.
        """
        self._policies = policies

    def may_preempt(self, queue_of_run: str, queue_of_step: str) -> bool:
        """Return whether the step's queue has the higher priority on the same service."""
        policies = self._policies()
        running, waiting = policies.get(queue_of_run), policies.get(queue_of_step)
        if running is None or waiting is None or running.service != waiting.service:
            return False
        return running.priority > waiting.priority

    def group_of(self, queue: str) -> Hashable:
        """Return the service and the priority of a queue; ``None`` for one that is removed."""
        policy = self._policies().get(queue)
        return None if policy is None else (policy.service, policy.priority)

    def tiers(
        self,
        queues: frozenset[str],
        queue_of_step: str,
        steps: Sequence[StepSpec],
        pending: Callable[[], Pending],
    ) -> Sequence[frozenset[str]]:
        """Return all queues at once."""
        return (queues,)

    def allows(
        self, queue_of_step: str, runs: Sequence[tuple[str, Run]], pending: Callable[[], Pending]
    ) -> bool:
        """Priority has no bound on the number of stops."""
        return True


def queues_below(right: PreemptionRight, running: Iterable[str]) -> Callable[[str], frozenset[str]]:
    """Return a function that names the queues whose runs may be stopped for a queue.

    :param running: queues with runs.
    """
    groups: dict[Hashable, list[str]] = {}
    for queue in running:
        groups.setdefault(right.group_of(queue), []).append(queue)
    known: dict[Hashable, frozenset[str]] = {}

    def below(queue: str) -> frozenset[str]:
        group = right.group_of(queue)
        found = known.get(group)
        if found is None:
            lower = [same for same in groups.values() if right.may_preempt(same[0], queue)]
            found = known[group] = frozenset(other for same in lower for other in same)
        return found

    return below
