"""How long a run has been watched, and what it did meanwhile.

Only time between two reports of one process of its agent counts, and only where the second came in
time: nothing is known of the time in which nobody reported.  A leader that takes its reports late
sees such gaps as well.
"""

from dataclasses import dataclass
from typing import Final

MAX_REPORT_GAP_S: Final = 2.0
"""Longest time between two reports that list a run for which it counts as watched: two periods of
full reports and the delay of their delivery."""

STALL_TIMEOUT_S: Final = 1.6
"""Watched time without progress after which a run stands still: two reports, since one alone may
come just before the next percent."""


@dataclass(slots=True)
class RunWatch:
    """What the reports of one run have shown.

    :ivar seen_at: when the newest report brought it; 0 where none of this agent's process has.
    :ivar percent: progress by that report.
    :ivar watched_s: time for which it has been watched.
    :ivar gained: progress in that time, in percent.
    :ivar stalled_s: watched time since it was last seen to progress.
    """

    seen_at: float = 0.0
    percent: int = 0
    watched_s: float = 0.0
    gained: int = 0
    stalled_s: float = 0.0

    def observe(self, percent: int, at: float) -> None:
        """Take a report that brings the run at ``percent``."""
        if self.seen_at and at - self.seen_at <= MAX_REPORT_GAP_S:
            gained = max(percent - self.percent, 0)
            self.watched_s += at - self.seen_at
            self.gained += gained
            self.stalled_s = 0.0 if gained else self.stalled_s + at - self.seen_at
        elif percent > self.percent:
            self.stalled_s = 0.0
        self.seen_at = at
        self.percent = max(percent, self.percent)

    def interrupt(self) -> None:
        """Take note that another process of the agent reports from now on."""
        self.seen_at = 0.0

    @property
    def stalled(self) -> bool:
        """Whether the run stands still."""
        return self.stalled_s >= STALL_TIMEOUT_S
