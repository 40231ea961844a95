"""What the log tells of the calls of one start: on which order they are based, and when they left.

All times are from the clock that also counts while the machine is suspended.
"""

import math
from dataclasses import dataclass, field
from typing import Final


@dataclass(frozen=True, slots=True)
class OrderBasis:
    """What a start order is based on.

    :ivar epoch: epoch of the leader that sent it; 0 if unknown.
    :ivar reported_at: when the report was sent on which the leader based it.
    """

    epoch: int
    reported_at: float


UNKNOWN_BASIS: Final = OrderBasis(0, -math.inf)


@dataclass(slots=True)
class StartTrace:
    """The calls of one start.

    :ivar calls: number of calls that have left.
    :ivar called_at: when the first one left.
    :ivar logged: whether the start has its line in the log.
    """

    basis: OrderBasis = field(default=UNKNOWN_BASIS)
    calls: int = 0
    called_at: float = math.inf
    logged: bool = False

    def call_leaves(self, at: float) -> None:
        """Record that a call leaves."""
        self.calls += 1
        self.called_at = min(self.called_at, at)

    def fields(self, at: float) -> dict[str, float]:
        """Return the fields of the start's log line.

        The age of the report is that at the first call; without a call, the present one.
        """
        return {
            "epoch": self.basis.epoch,
            "report_age_s": min(self.called_at, at) - self.basis.reported_at,
            "calls": self.calls,
            "took_s": max(0.0, at - self.called_at),
        }
