"""Simulated task runs of the platform's stand-in worker, without I/O.

Progress, run ends and lease expiry are computed from the clock, so that a worker process that was
suspended afterwards processes the events that came due meanwhile in order and at their due times.
"""

from dataclasses import dataclass, field
from typing import Final

import msgspec

STOP_DURATION_SHARE: Final = 0.5
"""Share of the kill grace period that a stop takes."""


class Script(msgspec.Struct):
    """What a task does, read from its ``spec``.

    :ivar work_ms: run time; 0 for a long-running task.
    :ivar fail_runs: number of first attempts that fail.
    :ivar saves: whether it saves a checkpoint for every ``save_every_ms`` of work.
    :ivar crash_after_ms: time from its start after which it crashes the worker; 0 for never.
    """

    work_ms: int = 0
    fail_runs: int = 0
    saves: bool = False
    crash_after_ms: int = 0


def decode_script(spec: str) -> Script:
    """Decode a script; an invalid spec stands for a long-running task."""
    try:
        return msgspec.json.decode(spec, type=Script)
    except msgspec.DecodeError:
        return Script()


@dataclass
class Run:
    """A run of a task.

    :ivar at: loop time up to which its progress is computed.
    :ivar saved: checkpoint as ``milliseconds:task``.
    :ivar percent: pace, as a share of full speed.
    :ivar stops_at: loop time at which it ends by a stop.
    :ivar crashes_at: loop time at which it crashes the worker.
    """

    task: str
    attempt: int
    script: Script
    at: float
    done_ms: float = 0.0
    saved: str = ""
    percent: int = 100
    stops_at: float = float("inf")
    crashes_at: float = field(init=False)

    def __post_init__(self) -> None:
        after_ms = self.script.crash_after_ms
        self.crashes_at = self.at + after_ms / 1000 if after_ms else float("inf")

    @property
    def progress(self) -> int:
        """Progress in percent; 100 for a long-running task."""
        if not self.script.work_ms:
            return 100
        return min(100, int(100 * self.done_ms / self.script.work_ms))


@dataclass(frozen=True)
class EndedRun:
    """A run that ended at loop time ``at`` with outcome ``how``."""

    number: int
    at: float
    task: str
    attempt: int
    how: str
    saved: str


@dataclass
class WorkerState:
    """Runs and lease of one worker process.

    :ivar stop_s: kill grace period.
    :ivar lease_until: loop time at which the lease expires and all runs end.
    :ivar frozen: whether tasks make no progress.
    :ivar failing: whether every run fails immediately.
    :ivar ended: ended runs that are not yet acknowledged.
    :ivar closed_attempts: highest ended or stopped attempt of each task, which may not start again.
    """

    stop_s: float
    save_every_ms: float = 1_000
    token: int = 0
    lease_until: float = 0.0
    frozen: bool = False
    failing: bool = False
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    closed_attempts: dict[str, int] = field(default_factory=dict)
    last_number: int = 0

    def start(self, run: Run) -> None:
        """Start a run, from its checkpoint if that is of the same task."""
        done, _, task = run.saved.partition(":")
        if task == run.task and done.isdigit():
            run.done_ms = float(done)
        self.runs[run.task, run.attempt] = run

    def stop(self, task: str, attempt: int, at: float) -> None:
        """Stop a run if it is running, and prevent later starts of this attempt."""
        self.closed_attempts[task] = max(self.closed_attempts.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run is not None:
            run.stops_at = min(run.stops_at, at + self.stop_s * STOP_DURATION_SHARE)

    def next_crash(self) -> Run | None:
        """Return the run that crashes the worker next, if any does."""
        runs = [run for run in self.runs.values() if run.crashes_at < self._due_at(run)]
        return min(runs, key=lambda run: run.crashes_at, default=None)

    def advance(self, at: float) -> list[EndedRun]:
        """Advance all runs to a loop time and return the runs that ended, in order of time."""
        due = sorted((self._due_at(run), key) for key, run in self.runs.items())
        ends = [self._end(self.runs[key], when) for when, key in due if when <= at]
        for run in self.runs.values():
            self._accrue_progress(run, at)
        return ends

    def _due_at(self, run: Run) -> float:
        if self.failing:
            return run.at
        finished = float("inf")
        if run.script.work_ms and not self.frozen and run.percent:
            left_ms = max(0.0, run.script.work_ms - run.done_ms)
            finished = run.at + left_ms / 10 / run.percent
        return min(finished, run.stops_at, self.lease_until)

    def _end(self, run: Run, at: float) -> EndedRun:
        self._accrue_progress(run, at)
        how = self._outcome(run, at)
        del self.runs[run.task, run.attempt]
        self.closed_attempts[run.task] = max(self.closed_attempts.get(run.task, 0), run.attempt)
        self.last_number += 1
        if how == "stopped" and run.script.saves:
            run.saved = f"{int(run.done_ms)}:{run.task}"
        end = EndedRun(self.last_number, at, run.task, run.attempt, how, run.saved)
        self.ended.append(end)
        return end

    def _outcome(self, run: Run, at: float) -> str:
        if at >= self.lease_until:
            return "lapsed"
        if at >= run.stops_at:
            return "stopped"
        if self.failing or run.attempt <= run.script.fail_runs:
            return "failed"
        return "done"

    def _accrue_progress(self, run: Run, at: float) -> None:
        accrued_ms = 0.0 if self.frozen else max(0.0, at - run.at) * 10 * run.percent
        run.at = max(run.at, at)
        run.done_ms += accrued_ms
        saved_ms = run.done_ms // self.save_every_ms * self.save_every_ms
        if run.script.saves and saved_ms:
            run.saved = f"{int(saved_ms)}:{run.task}"
