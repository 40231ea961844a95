"""Checks the histories of stand-ins and callers against the scheduler's guarantees.

Input is one list of events from all sources, each with ``event``, ``source`` and ``clock``; the
scheduler's own logs are not read.  In addition to the stand-ins' events (see the ``standin_``
modules), the harness records its actions and what callers received:

- ``submitted``: ``key``, ``idempotent``; ``answer``: ``key`` or marker, ``outcome``, ``whole``
- ``cancelled_unrun``: the cancellation of ``key`` returned "not run"
- ``worker_killed``: the worker ``source`` died with all its tasks
- ``leaving``: the instance of worker or target ``source`` was told to shut down
- ``config_seen``: ``process`` reported configuration ``version``
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from typing import Any, Final

import msgspec

Event = dict[str, Any]
LEAVING_GRACE_S: Final = 3.0
RESOURCE_NAMES: Final = ("cpu_millicores", "memory_mb", "accelerators")


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee."""

    rule: str
    detail: str


@dataclass(slots=True)
class Run:
    """A run of a task on a worker.

    :ivar until: clock time of its end, infinite while it runs.
    """

    task: str
    epoch: int
    worker: str
    start: Event
    until: float = float("inf")
    done_ms: float = 0.0


def read_histories(paths: Iterable[Path]) -> list[Event]:
    """Read histories and merge them by clock, ignoring an incomplete last line."""
    events = [
        msgspec.json.decode(line)
        for path in paths
        for line in path.read_bytes().splitlines(keepends=True)
        if line.endswith(b"\n")
    ]
    return sorted(events, key=lambda event: float(event["clock"]))


def check(events: list[Event]) -> list[Violation]:
    """Return every violation in ``events``."""
    ordered = sorted(events, key=lambda event: float(event["clock"]))
    return [violation for rule in RULES for violation in rule(ordered)]


def runs_of(events: list[Event]) -> list[Run]:
    """Return the runs of all tasks, in order of their starts."""
    runs: list[Run] = []
    for event in events:
        if event["event"] == "task_start":
            runs.append(Run(event["task"], event["epoch"], event["source"], event))
        elif event["event"] == "task_end":
            for run in runs:
                if (run.task, run.epoch, run.worker) == _identity(event):
                    run.until, run.done_ms = event["clock"], event["done_ms"]
        elif event["event"] in ("worker_killed", "worker_up"):
            for run in runs:
                if run.worker == event["source"]:
                    run.until = min(run.until, event["clock"])
    return runs


def two_owners(events: list[Event]) -> Iterator[Violation]:
    """Runs of a task do not overlap, on one worker or on several."""
    by_task = defaultdict(list)
    for run in runs_of(events):
        by_task[run.task].append(run)
    for task, runs in by_task.items():
        for one, two in pairwise(sorted(runs, key=lambda run: float(run.start["clock"]))):
            if two.start["clock"] < one.until:
                places = f"{one.worker} epoch {one.epoch}, {two.worker} epoch {two.epoch}"
                yield Violation("two_owners", f"{task}: {places}")


def rerun(events: list[Event]) -> Iterator[Violation]:
    """A non-idempotent job resumes only from a checkpoint of all progress of its last run."""
    last: dict[str, Run] = {}
    non_idempotent = _keys(events, "submitted", lambda event: not event["idempotent"])
    for run in runs_of(events):
        before = last.get(run.task)
        last[run.task] = run
        if before is None or run.task not in non_idempotent:
            continue
        exact = run.start["checkpoint"] and run.start["done_ms"] == before.done_ms
        if not exact:
            yield Violation("rerun", f"{run.task} epoch {run.epoch} after epoch {before.epoch}")


def repeated_effect(events: list[Event]) -> Iterator[Violation]:
    """A non-idempotent job has its effect at most once."""
    non_idempotent = _keys(events, "submitted", lambda event: not event["idempotent"])
    seen: set[str] = set()
    for event in events:
        if event["event"] == "effect" and event["task"] in non_idempotent:
            if event["task"] in seen:
                yield Violation("repeated_effect", event["task"])
            seen.add(event["task"])


def over_size(events: list[Event]) -> Iterator[Violation]:
    """Running tasks never exceed a worker's size."""
    sizes = {e["source"]: e["size"] for e in events if e["event"] == "worker_up"}
    runs = runs_of(events)
    for run in runs:
        at = run.start["clock"]
        concurrent = [
            r for r in runs if r.worker == run.worker and r.start["clock"] <= at < r.until
        ]
        for size in RESOURCE_NAMES:
            used = sum(r.start["resources"][size] for r in concurrent)
            if used > sizes[run.worker][size]:
                yield Violation("over_size", f"{run.worker}: {size} {used} with {run.task}")


def over_connections(events: list[Event]) -> Iterator[Violation]:
    """No target receives more connections than its limit."""
    for event in events:
        if event["event"] == "over_connections":
            yield Violation("over_connections", event["source"])


def false_not_run(events: list[Event]) -> Iterator[Violation]:
    """Work reported as not run, and not accepted later, did not run."""
    ran = _keys(events, "task_start") | _keys(events, "request_start")
    accepted = _keys(events, "answer", lambda event: event["outcome"] != "not_run")
    refused = _keys(events, "answer", lambda event: event["outcome"] == "not_run")
    cancelled = _keys(events, "cancelled_unrun")
    for key in sorted((refused - accepted | cancelled) & ran):
        yield Violation("false_not_run", key)


def work_on_leaving(events: list[Event]) -> Iterator[Violation]:
    """A leaving worker or target gets no new work after :data:`LEAVING_GRACE_S`."""
    left: dict[str, float] = {}
    for event in events:
        if event["event"] == "leaving":
            left.setdefault(event["source"], event["clock"])
        elif event["event"] in ("task_start", "request_start"):
            since = event["clock"] - left.get(event["source"], float("inf"))
            if since > LEAVING_GRACE_S:
                yield Violation("work_on_leaving", f"{event['source']} after {since:.1f} s")


def foreign_answer(events: list[Event]) -> Iterator[Violation]:
    """Every caller gets the complete response to its own request."""
    for event in events:
        if event["event"] == "answer" and not event.get("whole", True):
            yield Violation("foreign_answer", event["key"])


def config_reverted(events: list[Event]) -> Iterator[Violation]:
    """Neither a process nor the table reverts to a lower configuration version."""
    highest: dict[str, int] = {}
    for event in events:
        for process, version in _versions(event):
            if version < highest.get(process, 0):
                text = f"{process} went from {highest[process]} to {version}"
                yield Violation("config_reverted", text)
            highest[process] = max(version, highest.get(process, 0))


def _versions(event: Event) -> Iterator[tuple[str, int]]:
    if event["event"] == "config_seen":
        yield event["process"], event["version"]
    for write in event.get("writes", ()):
        if write["key"] == "config/current" and "version" in write:
            yield "the table", write["version"]


def _identity(event: Event) -> tuple[str, int, str]:
    return event["task"], event["epoch"], event["source"]


def _keys(
    events: list[Event], kind: str, predicate: Callable[[Event], bool] = lambda _: True
) -> set[str]:
    names = ("key", "task", "marker")
    return {
        event[name]
        for event in events
        if event["event"] == kind and predicate(event)
        for name in names
        if name in event
    }


RULES: Final[tuple[Callable[[list[Event]], Iterator[Violation]], ...]] = (
    two_owners,
    rerun,
    repeated_effect,
    over_size,
    over_connections,
    false_not_run,
    work_on_leaving,
    foreign_answer,
    config_reverted,
)
