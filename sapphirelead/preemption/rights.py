"""Which queue's waiting tasks may stop which queue's running ones.  No I/O."""

from collections.abc import Callable, Mapping
from typing import Protocol

from sapphirelead.sched_spec import QueuePolicy


class PreemptionRight(Protocol):
    """Decides whose tasks may be stopped for whom.

    The relation must be a strict order at any one time, so that no two queues stop each other's
    tasks in turn.
    """

    def may_preempt(self, queue_of_run: str, queue_of_step: str) -> bool:
        """Return whether a waiting step of one queue may stop a run of another."""


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
