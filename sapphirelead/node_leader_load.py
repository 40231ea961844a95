"""How long the leader's work holds its event loop, and with what.

The pattern that this answers: calls go unanswered, followers hear the leader late and starts are
sent twice, although the leader lives and its store answers.  What holds the loop delays everything
else in the process; the longest hold of each part tells which part to look at.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import Final

from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S

HELD_S: Final = HEARTBEAT_INTERVAL_S / 4
"""Longest time for which a round should hold the loop; heartbeats, reports and cancels wait for as
long."""

UNPLANNED_S: Final = 1.0
"""Time for which a step may wait for a look; callers are promised that nothing stands still for 3 s
while there is room."""

PERIOD_S: Final = 1.0
"""Time between two lines."""


class Part(StrEnum):
    """What holds the loop."""

    REPORTS = "reports"
    """Reports taken since the round before."""
    UPKEEP = "upkeep"
    """Lost agents and jobs that are no longer kept."""
    REVIEW = "review"
    """Slow runs, leaving workers, workers to empty."""
    SURVEY = "survey"
    PLAN = "plan"
    STORE = "store"
    """Encoding of what is stored; the wait for the store holds nothing."""
    EFFECTS = "effects"
    """Answers and orders that follow from what has been stored."""
    SEND = "send"


class LoopLoad:
    """Times for which the parts of a round hold the loop.

    A line a second gives the longest of each part since the line before.
    """

    _metrics: Metrics
    _round_s: dict[Part, float]
    _longest_s: dict[Part, float]
    _longest_round_s: float
    _total_s: float
    _rounds: int
    _reports: int
    _logged_at: float
    _behind_logged_at: float

    def __init__(self, metrics: Metrics, at: float) -> None:
        self._metrics = metrics
        self._round_s = {}
        self._logged_at = at
        self._behind_logged_at = at - PERIOD_S
        self._reset()

    def _reset(self) -> None:
        self._longest_s = {}
        self._longest_round_s = 0.0
        self._total_s = 0.0
        self._rounds = 0
        self._reports = 0

    @contextmanager
    def held(self, part: Part) -> Iterator[None]:
        """Add the time that the body takes to ``part``; the body must not wait."""
        began = now()
        try:
            yield
        finally:
            self._round_s[part] = self._round_s.get(part, 0.0) + now() - began
            self._reports += part is Part.REPORTS

    def round_ended(self, sched: Scheduler, waited_s: float = 0.0) -> None:
        """Take note of a round, and log it if it shows that the leader is behind.

        :param waited_s: longest time that a step has waited to be looked at by the planner.
        """
        took_s, self._round_s = self._round_s, {}
        for part, part_s in took_s.items():
            self._metrics.latency("loop_held_ms", part_s * 1000, part=part)
            self._longest_s[part] = max(self._longest_s.get(part, 0.0), part_s)
        total_s = sum(took_s.values())
        round_s = total_s - took_s.get(Part.REPORTS, 0.0)
        self._longest_round_s = max(self._longest_round_s, round_s)
        self._total_s += total_s
        self._rounds += 1
        at = now()
        behind = round_s > HELD_S or waited_s > UNPLANNED_S
        if behind and at - self._behind_logged_at >= PERIOD_S:
            self._behind_logged_at = at
            self._log_behind(sched, round_s, took_s, waited_s)
        if at - self._logged_at >= PERIOD_S:
            self._log(at)

    def _log_behind(
        self, sched: Scheduler, round_s: float, took_s: dict[Part, float], waited_s: float
    ) -> None:
        parts = [part for part in took_s if part is not Part.REPORTS]
        longest = max(parts, key=lambda part: took_s[part], default=Part.UPKEEP)
        log_event(
            "WARNING",
            "leader_behind",
            held_s=round(round_s, 3),
            over_s=round(max(0.0, round_s - HELD_S), 3),
            part=longest,
            part_s=round(took_s.get(longest, 0.0), 3),
            unplanned_s=round(waited_s, 3),
            steps_waiting=len(sched.ready_since),
            runs=len(sched.fleet.runs),
            jobs=len(sched.jobs),
        )

    def _log(self, at: float) -> None:
        longest_ms = {
            f"{part}_ms": round(self._longest_s.get(part, 0.0) * 1000, 1) for part in Part
        }
        log_event(
            "INFO",
            "leader_load",
            over_s=round(at - self._logged_at, 3),
            rounds=self._rounds,
            reports=self._reports,
            held_ms=round(self._total_s * 1000, 1),
            round_ms=round(self._longest_round_s * 1000, 1),
            **longest_ms,
        )
        self._logged_at = at
        self._reset()
