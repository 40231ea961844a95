"""The platform checker reports each violation, and nothing for a valid history."""

from typing import Any

import pytest

from bench.platform_checker import check

SPEC = '{"work_ms":100}'
STEPS: list[dict[str, Any]] = [
    {"count": 1, "cpu": 600, "mem_mb": 64},
    {"count": 1, "cpu": 600, "mem_mb": 64, "after": [0]},
]
FIRST, SECOND = "aa.0.0.0", "aa.0.1.0"


def event(kind: str, clock: float, source: str = "site", **fields: Any) -> Any:
    return {"event": kind, "source": source, "clock": clock, **fields}


def call(clock: float, method: str, status: int, took: float = 0.01, **more: Any) -> Any:
    fields = {"path": "/q/aa", "entry": "e1", "starts": 1, "answer": "", **more}
    return event("call", clock, until=clock + took, method=method, status=status, **fields)


def life(name: str = "i1", cpu: int = 1_000, machine: str = "w1") -> Any:
    return event("life", 0.0, name, name=machine, zone="z1", cpu=cpu, mem_mb=1_000)


def start(clock: float, task: str = FIRST, where: str = "i1", attempt: int = 1, **more: Any) -> Any:
    fields = {"spec": SPEC, "saved": "", "late": False, **more}
    return event("run_start", clock, where, task=task, attempt=attempt, **fields)


def end(clock: float, task: str = FIRST, where: str = "i1", number: int = 1, **more: Any) -> Any:
    fields = {"attempt": 1, "how": "done", "saved": "", **more}
    return event("run_end", clock, where, task=task, number=number, **fields)


def noted(clock: float, upto: int = 1) -> Any:
    return event("noted", clock, "i1", upto=upto)


def crash(clock: float, attempt: int, where: str = "i1", task: str = FIRST) -> Any:
    return event("crash", clock, where, task=task, attempt=attempt)


def crash_loop(starts: int, **more: Any) -> list[Any]:
    """``starts`` runs, each of which crashes a worker of its own a second after the last one."""
    events = []
    for n in range(starts):
        where = f"c{n}"
        events += [
            event("life", 11 + n - 0.1, where, name="w1", cpu=1_000, mem_mb=1_000),
            start(11 + n, where=where, attempt=n + 1, **(more if n > 2 else {})),
            crash(11.01 + n, n + 1, where),
        ]
    return events


def evacuated(clock: float, until: float, zone: str = "z1") -> Any:
    return event("evacuation", clock, zone=zone, until=until)


def capacity(clock: float, cpu: int) -> Any:
    return event("capacity", clock, "i1", cpu=cpu, mem_mb=1_000)


def fault(
    begin: float, until: float, who: str = "*", planned: bool = False, what: str = "x"
) -> Any:
    return event("fault", begin, what=what, who=who, planned=planned, until=until)


def config(clock: float, marker: int) -> Any:
    return event("config", clock, marker=marker, version=marker, begin=clock - 0.01)


def probe(clock: float, marker: int, status: int) -> Any:
    return call(clock, "GET", status, path=f"/m{marker}/")


def state(clock: float, shown: str) -> Any:
    return call(clock, "GET", 200, answer=f'{{"state":"{shown}"}}')


JOB = event("job", 1.0, key="aa", spec=SPEC, steps=STEPS)
OTHER_JOB = event("job", 1.0, key="bb", spec=SPEC, steps=STEPS)
ACCEPTED = call(10.0, "POST", 200)
BASE = [life(), life("i2", machine="w2"), JOB, ACCEPTED]
DONE = [start(11), end(12), noted(12.1)]
MUCH_LATER = event("over", 99.0)

CASES: dict[str, tuple[str, list[Any]]] = {
    "a job done in its order": (
        "",
        [*DONE, start(13, SECOND), end(14, SECOND, number=2), state(15, "completed")],
    ),
    "a call cut in the middle": ("call_cut", [call(20, "GET", 0, took=1.0)]),
    "a call cut at once": ("", [call(20, "GET", 0, took=0.1)]),
    "a call cut during a planned stop": (
        "call_cut",
        [fault(19, 22, "e1", planned=True), call(20, "GET", 0, took=1.0)],
    ),
    "a call cut during an unplanned fault": ("", [fault(17.5, 18), call(20, "GET", 0, took=1.0)]),
    "a call cut while its entry was starved of CPU": (
        "",
        [fault(19, 22, "e1", what="starved e1"), call(20, "GET", 0, took=1.0)],
    ),
    "a call cut while another entry was starved of CPU": (
        "call_cut",
        [fault(19, 22, "e2", what="starved e2"), call(20, "GET", 0, took=1.0)],
    ),
    "a call without a response": ("no_answer", [call(20, "GET", -1, took=4.5)]),
    "a caller that disconnects early": ("", [call(20, "GET", -1, took=0.5)]),
    "an accepted job that is unknown": ("job_lost", [call(14, "GET", 410)]),
    "a job that is not visible yet": ("", [call(12, "GET", 410)]),
    "reported as completed too early": ("false_state", [*DONE, state(13, "completed")]),
    "reported as failed after one failure": (
        "false_state",
        [start(11), end(12, how="failed"), state(13, "failed")],
    ),
    "two runs at a time": ("two_runs", [start(11), start(11.5, where="i2", attempt=2), end(12)]),
    "a run after its worker crashed": (
        "",
        [start(11), event("worker_gone", 11.2, name="w1"), start(11.5, where="i2", attempt=2)],
    ),
    "a run after an acknowledged end": ("rerun", [*DONE, start(13, where="i2", attempt=2)]),
    "a run after an unacknowledged end": (
        "",
        [start(11), end(12), start(13, where="i2", attempt=2)],
    ),
    "a run after an end acknowledged after lease expiry": (
        "",
        [start(11), end(12), event("lapse", 22, "i1"), noted(23), start(24, attempt=2)],
    ),
    "a step before its predecessor": ("wrong_order", [start(11, SECOND)]),
    "another spec": ("foreign_run", [start(11, spec="{}")]),
    "another task's checkpoint": ("foreign_run", [start(11, saved=f"10:{SECOND}")]),
    "more than the worker's capacity": (
        "over_capacity",
        [
            OTHER_JOB,
            start(11),
            start(11.1, "bb.0.0.0"),
        ],
    ),
    "a start beside one that is being stopped": (
        "over_capacity",
        [
            OTHER_JOB,
            start(11),
            event("run_stop", 11.1, "i1", task=FIRST, attempt=1),
            start(11.2, "bb.0.0.0"),
            end(11.5, how="stopped"),
        ],
    ),
    "a start within the grace of a shrunk capacity": ("", [capacity(11, 500), start(15.4)]),
    "a start after the grace of a shrunk capacity": (
        "over_capacity",
        [capacity(11, 500), start(15.6)],
    ),
    "a capacity that shrinks again within the grace": (
        "over_capacity",
        [capacity(11, 599), capacity(14, 0), start(16)],
    ),
    "a run that began before the capacity shrank": (
        "",
        [start(11), capacity(12, 500), end(17), noted(17.1)],
    ),
    "a late start on a shrunk capacity": ("", [capacity(11, 500), start(16, late=True)]),
    "a late start over the largest capacity": (
        "over_capacity",
        [OTHER_JOB, capacity(11, 500), start(11.1), start(16, "bb.0.0.0", late=True)],
    ),
    "a start on a capacity that has grown": (
        "",
        [
            OTHER_JOB,
            capacity(11, 1_200),
            start(11.2),
            start(11.3, "bb.0.0.0"),
            end(12),
            end(12, "bb.0.0.0", number=2),
        ],
    ),
    "a start on a capacity that has grown and shrunk": (
        "over_capacity",
        [capacity(2, 1_200), capacity(3, 500), start(11)],
    ),
    "a start in a zone evacuated for longer than the bound": (
        "start_in_evacuated_zone",
        [evacuated(11, 30), start(16.1)],
    ),
    "a start within the bound of an evacuation": ("", [evacuated(11, 30), start(15.9)]),
    "a start in a restored zone": ("", [evacuated(1, 15.9), start(16.1)]),
    "a start beside an evacuated zone": ("", [evacuated(11, 30, "z2"), start(16.1)]),
    "a late start in an evacuated zone": ("", [evacuated(11, 30), start(16.1, late=True)]),
    "a start in an evacuated zone by an agent not in touch": (
        "",
        [evacuated(11, 30), fault(13, 14, "a1"), start(16.1)],
    ),
    "a start in an evacuated zone near another node's fault": (
        "start_in_evacuated_zone",
        [evacuated(11, 30), fault(13, 14, "e1"), start(16.1)],
    ),
    "two starts after three crashes": ("", crash_loop(5)),
    "three starts after three crashes": ("crash_loop", crash_loop(6)),
    "late starts after three crashes": ("", crash_loop(6, late=True)),
    "starts after three crashes by an agent not in touch": (
        "",
        [*crash_loop(6), fault(8, 17, "a1")],
    ),
    "starts after three crashes near another agent's fault": (
        "crash_loop",
        [*crash_loop(6), fault(8, 17, "a2"), fault(8, 17, "e1")],
    ),
    "reported as failed after two crashes": ("", [*crash_loop(2), state(14, "failed")]),
    "reported as failed after one crash": ("false_state", [*crash_loop(1), state(14, "failed")]),
    "reported as failed after two killed workers": (
        "",
        [
            start(11),
            event("worker_gone", 11.5, name="w1"),
            start(12, where="i2", attempt=2),
            event("worker_gone", 12.5, name="w2"),
            state(14, "failed"),
        ],
    ),
    "reported as failed after two drained workers": (
        "false_state",
        [
            start(11),
            event("life_over", 11.5, "i1"),
            start(12, where="i2", attempt=2),
            event("life_over", 12.5, "i2"),
            state(14, "failed"),
        ],
    ),
    "reported as failed after crashes of workers under other tasks": (
        "false_state",
        [start(11), end(11.5, how="stopped"), crash(12, 1), crash(13, 1), state(14, "failed")],
    ),
    "a run elsewhere after a crash by another task": (
        "",
        [start(11), crash(11.2, 1, task="bb.0.0.0"), start(11.5, where="i2", attempt=2)],
    ),
    "a start after a cancel": (
        "start_after_cancel",
        [call(11, "DELETE", 200), start(15), end(15.1, how="stopped")],
    ),
    "a cancelled run continues": (
        "runs_on",
        [start(11), call(11.5, "DELETE", 200), MUCH_LATER],
    ),
    "a cancelled run is stopped": (
        "",
        [start(11), call(11.5, "DELETE", 200), end(12, how="stopped"), MUCH_LATER],
    ),
    "a start on a draining worker": (
        "start_on_leaving",
        [event("draining_known", 11, "i1"), start(14)],
    ),
    "a configuration that is not applied": ("config_late", [config(20, 1), probe(22.5, 1, 404)]),
    "a removed route that is still served": (
        "config_late",
        [config(20, 1), config(21, 2), probe(24, 1, 200)],
    ),
    "a configuration that may still be pending": ("", [config(20, 1), probe(21.5, 1, 404)]),
    "a configuration that reverts": (
        "config_reverted",
        [config(20, 1), probe(20.2, 1, 200), probe(21, 1, 404)],
    ),
    "a node that exits unexpectedly": ("died", [event("died", 20, node="e1", code=1)]),
    "a node that has to be killed": ("stop_overdue", [event("stopped", 20, node="e1", code=-9)]),
    "a job that never ends": ("unfinished", [event("unfinished", 90, key="aa", state="running")]),
}


@pytest.mark.parametrize("name", CASES)
def test_checker_flags(name: str) -> None:
    rule, events = CASES[name]
    assert {found.rule for found in check([*BASE, *events])} == ({rule} if rule else set())


def test_a_refused_job_that_runs_is_flagged() -> None:
    tries = [call(10, "POST", 503), call(11, "POST", 429)]
    assert [found.rule for found in check([life(), JOB, *tries, start(12)])] == ["refused_ran"]
    unanswered = call(11, "POST", -1, took=0.1)
    assert check([life(), JOB, fault(0, 99), tries[0], unanswered, start(12)]) == []
