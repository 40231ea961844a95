"""Observed progress of a run.

Counts only the time between consecutive reports of the same agent process that are at most
``MAX_REPORT_GAP_S`` apart.  Longer gaps, also those due to a slow leader, do not count.
"""

from dataclasses import dataclass
from typing import Final

from sapphirelead.sched_memory import RunNote, to_ms

MAX_REPORT_GAP_S: Final = 2.0
"""Maximum time between two reports of a run that counts as observed."""

STALL_TIMEOUT_S: Final = 1.6
"""Observed time without progress after which a run counts as stalled."""


@dataclass(slots=True)
class RunWatch:
    """Observed time and progress of one run.

    :ivar seen_at: time of the last report of the current agent process; 0 if there is none.
    :ivar percent: latest progress.
    :ivar watched_s: total observed time.
    :ivar alive_s: part of it in which the worker answered, so that the run was not just repeated
        from an older list.
    :ivar answered: whether the worker had answered by the last report.
    :ivar gained: progress in the observed time, in percent.
    :ivar stalled_s: observed time since the last progress.
    """

    seen_at: float = 0.0
    percent: int = 0
    watched_s: float = 0.0
    alive_s: float = 0.0
    answered: bool = False
    gained: int = 0
    stalled_s: float = 0.0

    def observe(self, percent: int, at: float, answered: bool = True) -> None:
        """Record a report of the run's progress.

        :param answered: whether the worker has answered its agent's latest list call.
        """
        if self.seen_at and at - self.seen_at <= MAX_REPORT_GAP_S:
            gained = max(percent - self.percent, 0)
            self.watched_s += at - self.seen_at
            if answered and self.answered:
                self.alive_s += at - self.seen_at
            self.gained += gained
            self.stalled_s = 0.0 if gained else self.stalled_s + at - self.seen_at
        elif percent > self.percent:
            self.stalled_s = 0.0
        self.seen_at = at
        self.answered = answered
        self.percent = max(percent, self.percent)

    def interrupt(self) -> None:
        """Start a new observation after a restart of the agent."""
        self.seen_at = 0.0

    def restart(self) -> None:
        """Judge the speed only by what is observed from now on."""
        self.watched_s = self.stalled_s = 0.0
        self.gained = 0

    @property
    def stalled(self) -> bool:
        """Whether the run makes no progress."""
        return self.stalled_s >= STALL_TIMEOUT_S

    def note(self) -> RunNote:
        """Return what a successor is told."""
        return RunNote(
            to_ms(self.watched_s),
            to_ms(self.alive_s),
            to_ms(self.stalled_s),
            self.gained,
            max(0, self.percent),
        )

    def resume(self, note: RunNote) -> None:
        """Continue what a predecessor has observed."""
        self.watched_s = note.watched_ms / 1000
        self.alive_s = note.alive_ms / 1000
        self.stalled_s = note.stalled_ms / 1000
        self.gained = note.gained
        self.percent = note.percent
