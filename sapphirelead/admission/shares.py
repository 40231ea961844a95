"""What admission control needs to know of the sharing of capacity between queues."""

from typing import Protocol


class QueueShares(Protocol):
    """Shares of queues in the capacity of their service."""

    def guaranteed(self, queue: str) -> float:
        """Return the share that a queue gets whatever the others ask for, 0 to 1; 0 for none."""

    def organisation_of(self, queue: str) -> str:
        """Return the organisation that a queue belongs to."""


class PriorityOnly:
    """No shares: a queue waits for all work of its own and higher priorities."""

    def guaranteed(self, queue: str) -> float:
        """Return 0: no share is guaranteed."""
        return 0.0

    def organisation_of(self, queue: str) -> str:
        """Return the queue itself."""
        return queue
