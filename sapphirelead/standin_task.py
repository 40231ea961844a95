"""A task of the stand-in worker, without I/O.

Progress is computed from the clock: while its speed (throttle, contention) is constant, a task
gains ``elapsed * speed``.  Work after ``lease_until`` never counts: when a task is advanced past
its lease, it stops at the lease's end, also if the worker process itself was paused.
"""

import asyncio
from typing import Any, Final

import msgspec

from sapphirelead.model_resources import Resources
from sapphirelead.ports import TaskInfo, TaskSpec, TaskState

MAX_BUFFERED_EVENTS: Final = 256
LEASE_EXPIRED_REASON: Final = "lease lapsed"


class Script(msgspec.Struct):
    """Behaviour of a task, read from its ``input``; unknown fields are ignored.

    :ivar work_ms: run time at full speed, in milliseconds; a watch without it runs until stopped.
    :ivar lasts: run until stopped, if ``work_ms`` is absent.
    :ivar fail: fail at the end of the run time.
    :ivar events: maximum number of events to emit; 0 for no limit.
    :ivar event_every_ms: run time between events, in milliseconds; 0 for no events.
    :ivar usage: actual resource usage, if it differs from the declared one.
    :ivar noise: interference load on the colocated target; defaults to the share of the worker's
        processors in use.
    :ivar result: result of the task; defaults to its id and progress.
    """

    work_ms: float | None = None
    lasts: bool = False
    fail: bool = False
    events: int = 0
    event_every_ms: float = 0.0
    usage: Resources | None = None
    noise: float | None = None
    result: Any = None


class Progress(msgspec.Struct):
    """Progress of a task, the content of a checkpoint."""

    done_ms: float = 0.0
    emitted: int = 0


class StandInTask:
    """A task under a lease, with its progress.

    :ivar at: loop time up to which the progress has been computed, in seconds.
    :ivar speed: progress per elapsed time, from throttle and contention.
    """

    spec: TaskSpec
    script: Script
    progress: Progress
    state: TaskState
    lease_until: float
    throttle: float
    speed: float
    paused: bool
    checkpoint_lock: asyncio.Lock
    started_at: float
    at: float
    checkpoint: str
    reason: str
    events: list[Any]
    first_event: int

    def __init__(self, spec: TaskSpec, script: Script, progress: Progress, at: float) -> None:
        self.spec = spec
        self.script = script
        self.progress = progress
        self.state = TaskState.RUNNING
        self.lease_until = spec.lease_until
        self.throttle = 1.0
        self.speed = 1.0
        self.paused = False
        self.checkpoint_lock = asyncio.Lock()
        self.started_at = at
        self.at = at
        self.checkpoint = ""
        self.reason = ""
        self.events = []
        self.first_event = 1

    @classmethod
    def from_spec(cls, spec: TaskSpec, progress: Progress, at: float) -> "StandInTask":
        """Build a task that starts at ``at`` (loop time) from the progress of a checkpoint."""
        raw = spec.input if isinstance(spec.input, dict) else {}
        return cls(spec, msgspec.convert(raw, Script), progress, at)

    @property
    def running(self) -> bool:
        """Return whether the task is running."""
        return self.state is TaskState.RUNNING

    @property
    def total_ms(self) -> float:
        """Return the run time at full speed, in milliseconds."""
        if self.script.work_ms is not None:
            return self.script.work_ms
        return float("inf") if self.script.lasts or self.spec.kind == "watch" else 0.0

    @property
    def usage(self) -> Resources:
        """Return the actual resource usage at the current throttle."""
        full = self.script.usage or self.spec.resources
        return Resources(
            int(full.cpu_millicores * self.throttle), full.memory_mb, full.accelerators
        )

    def advance(self, at: float) -> None:
        """Compute the progress up to ``at`` (loop time) and end the task if it is due."""
        if not self.running:
            return
        if at >= self.lease_until:
            self._add_progress(self.lease_until)
            self.end(TaskState.STOPPED, LEASE_EXPIRED_REASON)
            return
        self._add_progress(at)
        if self.progress.done_ms < self.total_ms - 1e-6:
            return
        if self.script.fail:
            self.end(TaskState.FAILED, "the task failed")
        else:
            self.end(TaskState.SUCCEEDED, "")

    def end(self, state: TaskState, reason: str) -> None:
        """Set the final state and reason of the task."""
        self.state = state
        self.reason = reason

    def next_change(self) -> float:
        """Return the loop time of the next event or end at the current speed."""
        due_ms = self.total_ms - self.progress.done_ms
        if self._has_next_event():
            due_ms = min(due_ms, self._next_event_ms() - self.progress.done_ms)
        if self.speed <= 0:
            return self.lease_until
        return min(self.lease_until, self.at + max(0.0, due_ms) / 1000 / self.speed)

    def info(self, usage_lag_s: float, at: float) -> TaskInfo:
        """Return the task as the worker reports it, with usage delayed by ``usage_lag_s``."""
        usage_known = at - self.started_at >= usage_lag_s
        return TaskInfo(
            self.spec.task_id,
            self.spec.epoch,
            self.state,
            self.spec.kind,
            self.spec.job_class,
            self.spec.resources,
            usage=self.usage if usage_known else Resources(),
            usage_age_s=usage_lag_s,
            throttle=self.throttle,
            checkpoint=self.checkpoint,
            result=self._result(),
            reason=self.reason,
            first_event=self.first_event,
            events=tuple(self.events),
        )

    def _result(self) -> Any:
        if self.state is not TaskState.SUCCEEDED:
            return None
        if self.script.result is not None:
            return self.script.result
        return {"task": self.spec.task_id, "work_ms": self.progress.done_ms}

    def _add_progress(self, at: float) -> None:
        gained_ms = max(0.0, at - self.at) * 1000 * self.speed
        self.at = max(self.at, at)
        self.progress.done_ms = min(self.total_ms, self.progress.done_ms + gained_ms)
        while self._has_next_event() and self.progress.done_ms >= self._next_event_ms() - 1e-6:
            self._emit()

    def _has_next_event(self) -> bool:
        max_events = self.script.events
        return self.script.event_every_ms > 0 and (
            max_events == 0 or self.progress.emitted < max_events
        )

    def _next_event_ms(self) -> float:
        return (self.progress.emitted + 1) * self.script.event_every_ms

    def _emit(self) -> None:
        self.progress.emitted += 1
        self.events.append({"n": self.progress.emitted, "task": self.spec.task_id})
        if len(self.events) > MAX_BUFFERED_EVENTS:
            self.events.pop(0)
            self.first_event += 1
