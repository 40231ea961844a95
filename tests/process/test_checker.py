"""The history checker reports each violation, and nothing for a valid history."""

from typing import Any

import pytest

from bench.checker import check

ONE = {"cpu_millicores": 1000, "memory_mb": 10, "accelerators": 0}


def start(clock: float, worker: str = "w1", task: str = "a", epoch: int = 1, **more: Any) -> Any:
    event = {"event": "task_start", "source": worker, "clock": clock, "task": task, "epoch": epoch}
    return event | {"checkpoint": "", "done_ms": 0.0, "resources": ONE} | more


def end(clock: float, worker: str = "w1", done_ms: float = 50.0, epoch: int = 1) -> Any:
    event = {"event": "task_end", "source": worker, "clock": clock, "task": "a", "epoch": epoch}
    return event | {"done_ms": done_ms}


def event(name: str, clock: float = 0.0, source: str = "test", **fields: Any) -> Any:
    return {"event": name, "source": source, "clock": clock, **fields}


def up(worker: str) -> Any:
    return event("worker_up", source=worker, size=ONE | {"cpu_millicores": 1500, "memory_mb": 99})


NON_IDEMPOTENT = event("submitted", key="a", idempotent=False)
BASE_EVENTS = [
    up("w1"),
    up("w2"),
    NON_IDEMPOTENT,
    event("answer", key="a", outcome="done", whole=True),
]
EXACT: Any = {"checkpoint": "c/a/1", "done_ms": 50.0}

CASES: dict[str, tuple[str, list[Any]]] = {
    "resumed from a checkpoint of all progress": (
        "",
        [start(1), end(2), start(3, "w2", epoch=2, **EXACT), end(4, "w2", 90, 2)],
    ),
    "a killed worker ends its tasks": ("", [start(1), event("worker_killed", 2, "w1")]),
    "two workers at once": ("two_owners", [start(1), start(2, "w2", epoch=2, **EXACT), end(3)]),
    "two epochs on one worker": (
        "two_owners",
        [start(1, resources=ONE | {"cpu_millicores": 1}), start(2, epoch=2, **EXACT), end(3)],
    ),
    "restarted without a checkpoint": ("rerun", [start(1), end(2), start(3, "w2", epoch=2)]),
    "restarted from an older checkpoint": (
        "rerun",
        [start(1), end(2), start(3, "w2", epoch=2, checkpoint="c", done_ms=40.0)],
    ),
    "restarted after its worker died": (
        "rerun",
        [start(1), event("worker_killed", 2, "w1"), start(3, "w2", epoch=2)],
    ),
    "effect twice": (
        "repeated_effect",
        [start(1), end(2), event("effect", 2, task="a"), event("effect", 3, task="a")],
    ),
    "more than the worker's capacity": ("over_size", [start(1), start(2, task="b")]),
    "more connections than the target has": ("over_connections", [event("over_connections")]),
    "not run, but a task started": (
        "false_not_run",
        [start(1, task="b"), event("answer", 2, key="b", outcome="not_run")],
    ),
    "not run, but the target saw it": (
        "false_not_run",
        [event("request_start", marker="m"), event("answer", 2, key="m", outcome="not_run")],
    ),
    "cancelled as not run, but started": (
        "false_not_run",
        [start(1), event("cancelled_unrun", 2, key="a")],
    ),
    "not run at first, accepted later": (
        "",
        [
            event("answer", 1, key="b", outcome="not_run"),
            start(2, task="b"),
            event("answer", 3, key="b", outcome="accepted"),
        ],
    ),
    "work on a leaving worker": ("work_on_leaving", [event("leaving", 1, "w1"), start(5)]),
    "work on a leaving target": (
        "work_on_leaving",
        [event("leaving", 1, "t1"), event("request_start", 5, "t1", marker="m")],
    ),
    "response of another request": (
        "foreign_answer",
        [event("answer", key="m", outcome="done", whole=False)],
    ),
    "table reverted": (
        "config_reverted",
        [event("txn", n, writes=[{"key": "config/current", "version": 3 - n}]) for n in (1, 2)],
    ),
    "process reverted": (
        "config_reverted",
        [event("config_seen", n, process="agent a1", version=3 - n) for n in (1, 2)],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_violation_is_flagged(name: str) -> None:
    wanted, history = CASES[name]
    found = {violation.rule for violation in check([*BASE_EVENTS, *history])}
    assert found == ({wanted} if wanted else set())
