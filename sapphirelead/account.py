"""Breaks down the critical paths of best-effort (fill) jobs from log lines.  No I/O.

The critical path of a step runs from the moment the step is ready to the end of its last task.
Its time is split into the categories of :class:`Spent`.  Lines of several processes may be mixed,
in any order; text before ``at=``, such as a log collector's prefix, is ignored.

A critical path is left out if the log does not hold all of it: the start or the end of one of the
runs of the task that ended last is missing, because a process was killed or a log was rotated.
"""

import itertools
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum
from typing import Final

LOG_FIELD: Final = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
FULL_PACE_PERCENT: Final = 100
NOT_STARTED: Final = "not_started"


class Spent(StrEnum):
    """Categories of time on a critical path."""

    FIRST_PLACE = "waiting for a first place"
    AGAIN = "waiting again after a run"
    MOVED = "in runs that were moved"
    LOST = "in runs that failed or were lost"
    HELD = "held back by pace in the run that ended well"
    WORKED = "at work in the run that ended well"


@dataclass(slots=True)
class _Attempt:
    """One run of a task.

    :ivar started_at: when its start was sent; ``None`` if the log does not say.
    :ivar ended_at: when its end was reported; ``None`` if the log does not say.
    """

    started_at: float | None = None
    ended_at: float | None = None
    how: str = ""
    paces: list[tuple[float, int]] = field(default_factory=list)

    @property
    def never_began(self) -> bool:
        """Whether it was claimed only, so that it took no time."""
        return self.started_at is None and self.how == NOT_STARTED


@dataclass(frozen=True, slots=True)
class _Run:
    """An attempt of which the log holds both ends."""

    started_at: float
    ended_at: float
    how: str
    paces: list[tuple[float, int]]

    def throttled_s(self) -> float:
        """Return the seconds lost to throttling, from the pace changes of this run."""
        points = [
            (self.started_at, FULL_PACE_PERCENT),
            *sorted(self.paces),
            (self.ended_at, FULL_PACE_PERCENT),
        ]
        lost = 0.0
        for (begin, percent), (end, _) in itertools.pairwise(points):
            begin, end = max(begin, self.started_at), min(end, self.ended_at)
            lost += max(0.0, end - begin) * (FULL_PACE_PERCENT - percent) / FULL_PACE_PERCENT
        return lost


@dataclass(slots=True)
class CriticalPath:
    """The critical path of one step.

    :ivar slack_s: seconds by which the step could be delayed, at the time it became ready.
    :ivar spent: seconds of the critical path by category.
    """

    name: str
    ready_at: float
    tasks: int
    slack_s: float
    ended_at: float = 0.0
    spent: dict[Spent, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Account:
    """Critical paths of the best-effort steps that ended.

    :ivar steps: the paths that the log holds completely, ordered by end time.
    :ivar left_out: number of the others.
    """

    steps: list[CriticalPath]
    left_out: int


@dataclass(slots=True)
class _ParsedEvents:
    """Steps, attempts and pace changes parsed from log lines."""

    steps: dict[str, CriticalPath] = field(default_factory=dict)
    attempts: dict[str, dict[int, _Attempt]] = field(default_factory=dict)
    paces: dict[tuple[str, int], list[tuple[float, int]]] = field(default_factory=dict)

    def add(self, fields: dict[str, str], at: float) -> None:
        """Add one event, logged at ``at`` seconds since 1970."""
        match fields.get("event"):
            case "step_ready" if fields.get("fills") == "true":
                slack_s, tasks = float(fields["slack_s"]), int(fields["tasks"])
                self.steps.setdefault(
                    fields["step"], CriticalPath(fields["step"], at, tasks, slack_s)
                )
            case "start_sent":
                run = self._attempt(fields)
                if run.started_at is None:
                    run.started_at = at
            case "run_ended":
                run = self._attempt(fields)
                run.ended_at, run.how = at, fields["how"]
            case "pace":
                key = fields["task"], int(fields["attempt"])
                self.paces.setdefault(key, []).append((at, int(fields["percent"])))

    def _attempt(self, fields: dict[str, str]) -> _Attempt:
        runs = self.attempts.setdefault(fields["task"], {})
        return runs.setdefault(int(fields["attempt"]), _Attempt())


def account(lines: Iterable[str]) -> Account:
    """Return the critical path of each best-effort step that ended."""
    seen = _ParsedEvents()
    for at, fields in sorted(_parse(lines), key=lambda item: item[0]):
        seen.add(fields, at)
    for (task, attempt), paces in seen.paces.items():
        run = seen.attempts.get(task, {}).get(attempt)
        if run is not None:
            run.paces = paces
    by_step: dict[str, list[dict[int, _Attempt]]] = {}
    for task, runs in seen.attempts.items():
        if runs[max(runs)].how == "done":
            by_step.setdefault(task.rsplit(".", 1)[0], []).append(runs)
    found = []
    left_out = 0
    for name, step in seen.steps.items():
        ended = by_step.get(name, [])
        if len(ended) != step.tasks:
            continue
        path = _complete(max(ended, key=lambda runs: runs[max(runs)].ended_at or 0.0))
        if path is None:
            left_out += 1
            continue
        step.ended_at = path[-1].ended_at
        step.spent = _spent(step.ready_at, path)
        found.append(step)
    return Account(sorted(found, key=lambda step: step.ended_at), left_out)


def _complete(attempts: dict[int, _Attempt]) -> list[_Run] | None:
    """Return the runs of a task in order; ``None`` if the log does not hold all of them."""
    runs = []
    for number in range(1, max(attempts) + 1):
        attempt = attempts.get(number)
        if attempt is not None and attempt.never_began:
            continue
        if attempt is None or attempt.started_at is None or attempt.ended_at is None:
            return None
        runs.append(_Run(attempt.started_at, attempt.ended_at, attempt.how, attempt.paces))
    return runs


def _spent(ready_at: float, runs: list[_Run]) -> dict[Spent, float]:
    spent = dict.fromkeys(Spent, 0.0)
    free_at, waiting = ready_at, Spent.FIRST_PLACE
    for run in runs:
        spent[waiting] += max(0.0, run.started_at - free_at)
        took_s = max(0.0, run.ended_at - run.started_at)
        if run.how == "done":
            throttled_s = run.throttled_s()
            spent[Spent.HELD] += throttled_s
            spent[Spent.WORKED] += took_s - throttled_s
        elif run.how == "stopped":
            spent[Spent.MOVED] += took_s
        else:
            spent[Spent.LOST] += took_s
        free_at, waiting = run.ended_at, Spent.AGAIN
    return spent


def total(steps: Iterable[CriticalPath]) -> dict[Spent, float]:
    """Return the seconds of all critical paths by category."""
    found = dict.fromkeys(Spent, 0.0)
    for step in steps:
        for what, seconds in step.spent.items():
            found[what] += seconds
    return found


def _parse(lines: Iterable[str]) -> Iterable[tuple[float, dict[str, str]]]:
    for line in lines:
        begin = line.find("at=")
        if begin < 0:
            continue
        fields = {key: value.strip('"') for key, value in LOG_FIELD.findall(line[begin:])}
        if "event" not in fields:
            continue
        try:
            yield datetime.fromisoformat(fields["at"]).timestamp(), fields
        except (KeyError, ValueError):
            # Log rotation may truncate a line, which then has no valid timestamp.
            continue
