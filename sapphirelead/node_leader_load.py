"""Measures how long each part of a leader's round blocks the event loop.

A blocked loop delays calls, heartbeats and acknowledgements although the leader and its store are
healthy.  The maximum per part is exported and logged, so that the cause can be identified.
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

MAX_ROUND_BLOCKING_S: Final = HEARTBEAT_INTERVAL_S / 4
"""Longest time for which a round should block the loop; heartbeats, reports and cancels are delayed
by as much."""

MAX_PLANNING_WAIT_S: Final = 1.0
"""Longest time that a ready step should wait for the planner to consider it."""

LOG_INTERVAL_S: Final = 1.0
"""Minimum time between two log lines of a kind."""


class Part(StrEnum):
    """The parts of a round that block the loop."""

    REPORTS = "reports"
    """Reports processed since the previous round."""
    UPKEEP = "upkeep"
    """Detection of lost agents and removal of expired jobs."""
    REVIEW = "review"
    """Stragglers, leaving workers, and consolidation."""
    SURVEY = "survey"
    PLAN = "plan"
    STORE = "store"
    """Encoding of the batch; waiting for the store does not block the loop."""
    EFFECTS = "effects"
    """Answers and orders that follow from a commit."""
    SEND = "send"


class LoopLoad:
    """Blocking times of the parts of a round.

    Logs the maximum per part since the previous line, once per :data:`LOG_INTERVAL_S`.
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
        self._behind_logged_at = at - LOG_INTERVAL_S
        self._reset()

    def _reset(self) -> None:
        self._longest_s = {}
        self._longest_round_s = 0.0
        self._total_s = 0.0
        self._rounds = 0
        self._reports = 0

    @contextmanager
    def measure(self, part: Part) -> Iterator[None]:
        """Add the duration of the body to ``part``; the body must not await."""
        began = now()
        try:
            yield
        finally:
            self._round_s[part] = self._round_s.get(part, 0.0) + now() - began
            self._reports += part is Part.REPORTS

    def round_ended(self, sched: Scheduler, waited_s: float = 0.0) -> None:
        """Record a finished round, and log a warning if the leader is overloaded.

        :param waited_s: longest time that a ready step has waited for the planner, in seconds.
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
        behind = round_s > MAX_ROUND_BLOCKING_S or waited_s > MAX_PLANNING_WAIT_S
        if behind and at - self._behind_logged_at >= LOG_INTERVAL_S:
            self._behind_logged_at = at
            self._log_behind(sched, round_s, took_s, waited_s)
        if at - self._logged_at >= LOG_INTERVAL_S:
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
            over_s=round(max(0.0, round_s - MAX_ROUND_BLOCKING_S), 3),
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
