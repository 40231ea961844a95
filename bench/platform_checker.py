"""Judges a run on the users' platform by what its workers, its callers and the site saw.

Input is one list of events, each with ``event``, ``source`` and ``clock``; the product's logs are
never read.  A rule with a time bound holds where nothing disturbed the node in question for
:data:`CONTACT_S` before.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from bench.checker import Event, Violation
from bench.platform_callers import CONNECTION_CUT, CALL_DEADLINE_S, NO_RESPONSE
from bench.platform_site import EVERYTHING, GRACE_S

CONTACT_S: Final = 3.0
LOSS_SLACK_S: Final = 0.2
VISIBLE_S: Final = 3.0
CANCEL_S: Final = 3.0
KILL_GRACE_S: Final = 0.9
DRAIN_S: Final = 2.0
APPLY_S: Final = 2.0
REVERT_SLACK_S: Final = 0.25
SLOWED_FACTOR: Final = 8
STATUS_S: Final = 120.0
MAX_ATTEMPTS: Final = 3
KILLED: Final = -9


@dataclass
class TaskRun:
    """A run, from its start to its end; open runs never end."""

    task: str
    attempt: int
    life: str
    start: Event
    until: float = float("inf")
    how: str = ""
    noted: bool = False

    @property
    def began(self) -> float:
        """Loop time of its start."""
        return float(self.start["clock"])

    def __str__(self) -> str:
        times = f"{self.began:.3f}..{self.until:.3f}"
        return f"{self.task} run {self.attempt} on {self.life} {times} {self.how or 'open'}"


@dataclass
class Record:
    """The events of a run, in order, with what follows from several of them."""

    events: list[Event]
    by_kind: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    runs: dict[str, list[TaskRun]] = field(default_factory=lambda: defaultdict(list))
    jobs: dict[str, Event] = field(default_factory=dict)
    tries: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))

    @classmethod
    def from_events(cls, events: Iterable[Event]) -> "Record":
        """Sort and index the events."""
        record = cls(sorted(events, key=lambda event: float(event["clock"])))
        for event in record.events:
            record.by_kind[event["event"]].append(event)
        record.jobs = {event["key"]: event for event in record.by_kind["job"]}
        for call in record.by_kind["call"]:
            if call["method"] == "POST":
                record.tries[_key(call)].append(call)
        record._read_runs()
        return record

    def _read_runs(self) -> None:
        names: dict[str, str] = {}
        opened: dict[tuple[str, str, int], TaskRun] = {}
        numbered: dict[str, list[tuple[int, TaskRun]]] = defaultdict(list)
        for event in self.events:
            life = event["source"]
            match event["event"]:
                case "life":
                    names[life] = event["name"]
                case "run_start":
                    run = TaskRun(event["task"], event["attempt"], life, event)
                    opened[life, run.task, run.attempt] = run
                    self.runs[run.task].append(run)
                case "run_end":
                    run = opened.pop((life, event["task"], event["attempt"]))
                    run.until, run.how = event["clock"], event["how"]
                    numbered[life].append((event["number"], run))
                case "lapse":
                    # A task may run again whose end was not noted before its worker's lease lapsed.
                    numbered[life].clear()
                case "noted":
                    for number, run in numbered[life]:
                        run.noted = run.noted or number <= event["upto"]
                case "life_over" | "worker_gone":
                    self._end_lives(event, names, opened)

    def _end_lives(
        self, event: Event, names: dict[str, str], opened: dict[tuple[str, str, int], TaskRun]
    ) -> None:
        name = event.get("name") or names[event["source"]]
        for place in [place for place in opened if names[place[0]] == name]:
            run = opened.pop(place)
            run.until, run.how = event["clock"], "gone"

    def calm(self, begin: float, end: float, who: str = "", planned: bool = False) -> bool:
        """Whether nothing disturbed a node, or with no name anything, up to ``end``.

        :param planned: planned work counts as a disturbance too.
        """
        return not any(
            (planned or not fault["planned"]) and (not who or fault["who"] in (who, EVERYTHING))
            for fault in self._faults(begin, end)
        )

    def no_accident(self, begin: float, end: float, who: str) -> bool:
        """Whether no accident happened anywhere up to ``end``, and a node was calm.

        Another node that waits for a processor excuses nothing.
        """
        accidents = (fault for fault in self._faults(begin, end) if not fault["planned"])
        return self.calm(begin, end, who) and all(_starved(fault) for fault in accidents)

    def _faults(self, begin: float, end: float) -> Iterator[Event]:
        for fault in self.by_kind["fault"]:
            if fault["clock"] < end and fault["until"] > begin - CONTACT_S:
                yield fault

    def all_runs(self) -> Iterator[TaskRun]:
        """Return every run."""
        for runs in self.runs.values():
            yield from runs

    def tasks_of(self, job: Event, step: int) -> list[str]:
        """Return the names of a step's tasks."""
        return [f"{job['key']}.0.{step}.{index}" for index in range(job["steps"][step]["count"])]

    def done_at(self, task: str) -> float:
        """Return when a task first ended well."""
        return min(
            (r.until for r in self.runs.get(task, ()) if r.how == "done"), default=float("inf")
        )

    def accepted_at(self, key: str) -> float:
        """Return when a job's acceptance was first answered."""
        times = (call["until"] for call in self.tries.get(key, ()) if call["status"] == 200)
        return min(times, default=float("inf"))

    def cancels(self) -> dict[str, Event]:
        """Return the first cancelling call of each job."""
        found: dict[str, Event] = {}
        for call in self.by_kind["call"]:
            if call["method"] == "DELETE":
                found.setdefault(_key(call), call)
        return found


def _starved(fault: Event) -> bool:
    return str(fault["what"]).startswith("starved")


def _key(call: Event) -> str:
    return str(call["path"]).rpartition("/")[2]


def _job_of(task: str) -> str:
    return task.partition(".")[0]


def _step_of(record: Record, task: str) -> dict[str, Any]:
    key, _, step, _ = task.split(".")
    found: dict[str, Any] = record.jobs[key]["steps"][int(step)]
    return found


def cut_calls(record: Record) -> Iterator[Violation]:
    """A call that was read gets a whole answer, within its deadline, also from a leaving entry."""
    for call in record.by_kind["call"]:
        took = call["until"] - call["clock"]
        if not record.no_accident(call["clock"], call["until"], call["entry"]):
            continue
        what = f"{call['method']} {call['path']} at {call['entry']} {call['clock']:.3f}"
        if call["status"] == CONNECTION_CUT and LOSS_SLACK_S < took < CALL_DEADLINE_S:
            yield Violation("call_cut", f"{what}, after {took:.3f} s")
        if call["status"] == NO_RESPONSE and took > CALL_DEADLINE_S:
            yield Violation("no_answer", f"{what}, waited {took:.3f} s")


def lost_jobs(record: Record) -> Iterator[Violation]:
    """An accepted job is known, and shown as failed or cancelled with cause only."""
    cancels = record.cancels()
    for call in record.by_kind["call"]:
        key = _key(call)
        if call["method"] != "GET" or key not in record.jobs or key in cancels:
            continue
        since = call["clock"] - record.accepted_at(key)
        where = f"{key} at {call['entry']} {call['clock']:.3f}"
        in_touch = record.calm(call["clock"], call["until"], call["entry"], planned=True)
        if call["status"] == 410 and VISIBLE_S < since < STATUS_S and in_touch:
            yield Violation("job_lost", f"{where}, {since:.1f} s after its acceptance")
        if call["status"] == 200:
            yield from _false_state(record, key, call, where)


def _false_state(record: Record, key: str, call: Event, where: str) -> Iterator[Violation]:
    state = msgspec.json.decode(call["answer"])["state"]
    job = record.jobs[key]
    tasks = [task for step in range(len(job["steps"])) for task in record.tasks_of(job, step)]
    if state == "completed" and any(record.done_at(task) > call["until"] for task in tasks):
        yield Violation("false_state", f"{where}: completed, and a task has not ended so")
    failures = [sum(run.how == "failed" for run in record.runs.get(task, ())) for task in tasks]
    if state == "cancelled" or (state == "failed" and max(failures) < MAX_ATTEMPTS):
        yield Violation("false_state", f"{where}: {state} without cause")


def refused_ran(record: Record) -> Iterator[Violation]:
    """No task starts of a job whose every submission was refused."""
    started = {_job_of(task) for task, runs in record.runs.items() if runs}
    for key, tries in record.tries.items():
        if key in started and all(call["status"] in (429, 503) for call in tries):
            yield Violation("refused_ran", key)


def run_twice(record: Record) -> Iterator[Violation]:
    """A task runs once at a time, and not again after an end as done that has been noted."""
    for runs in record.runs.values():
        ordered = sorted(runs, key=lambda run: run.began)
        for index, run in enumerate(ordered):
            for later in ordered[index + 1 :]:
                if later.began < run.until:
                    yield Violation("two_runs", f"{run}; {later}")
                elif run.how == "done" and run.noted:
                    yield Violation("rerun", f"{run}; {later}")


def wrong_order(record: Record) -> Iterator[Violation]:
    """A step starts when all tasks of the steps before it have ended as done."""
    for run in record.all_runs():
        if _job_of(run.task) not in record.jobs:
            continue
        job = record.jobs[_job_of(run.task)]
        for before in _step_of(record, run.task).get("after", ()):
            if any(record.done_at(task) > run.began for task in record.tasks_of(job, before)):
                yield Violation("wrong_order", str(run))


def foreign_runs(record: Record) -> Iterator[Violation]:
    """A worker starts what a caller sent, with saved progress of that task only."""
    for run in record.all_runs():
        job = record.jobs.get(_job_of(run.task))
        if job is None or job["spec"] != run.start["spec"]:
            yield Violation("foreign_run", str(run))
        saved = run.start["saved"]
        if saved and saved.partition(":")[2] != run.task:
            yield Violation("foreign_run", f"{run} saved={saved}")


def over_capacity(record: Record) -> Iterator[Violation]:
    """No worker holds more than its capacity at any moment; what is being stopped counts."""
    sizes = {event["source"]: event for event in record.by_kind["life"]}
    by_life = defaultdict(list)
    for run in record.all_runs():
        if _job_of(run.task) in record.jobs:
            by_life[run.life].append(run)
    for life, runs in by_life.items():
        for run in runs:
            beside = [r for r in runs if r.began <= run.began < r.until]
            for size in ("cpu", "mem_mb"):
                used = sum(_step_of(record, r.task).get(size, 0) for r in beside)
                if used > sizes[life][size]:
                    yield Violation("over_capacity", f"{life}: {size} {used} with {run}")


def runs_of_cancelled(record: Record) -> Iterator[Violation]:
    """A cancelled job starts nothing more, and what runs of it is stopped."""
    for key, cancel in record.cancels().items():
        bound = cancel["until"] + CANCEL_S
        if cancel["status"] != 200:
            continue
        for run in [r for task, runs in record.runs.items() if _job_of(task) == key for r in runs]:
            late = run.start["late"]
            if run.began > bound and not late and record.calm(run.began, run.began):
                yield Violation("start_after_cancel", f"{run}, cancelled {cancel['until']:.3f}")
            gone = max(bound, run.began + CONTACT_S) + KILL_GRACE_S
            over = min(run.until, record.events[-1]["clock"])
            if over > gone and record.calm(cancel["clock"], gone, planned=True):
                yield Violation("runs_on", f"{run}, cancelled {cancel['until']:.3f}")


def starts_on_leaving(record: Record) -> Iterator[Violation]:
    """A worker whose leaving has been acknowledged gets no starts after a while."""
    leaving = {event["source"]: event["clock"] for event in record.by_kind["draining_known"]}
    for run in record.all_runs():
        since = run.began - leaving.get(run.life, float("inf"))
        if since > DRAIN_S and not run.start["late"] and record.calm(run.began, run.began):
            yield Violation("start_on_leaving", f"{run}, {since:.2f} s after")


def old_config(record: Record) -> Iterator[Violation]:
    """The newest configuration is in force everywhere in time, and none comes back.

    Each configuration has a route of its own, its marker; a status other than 404 shows the route.
    """
    configs = record.by_kind["config"]
    seen: dict[tuple[str, int], tuple[int, float]] = {}
    for call in record.by_kind["call"]:
        if not call["path"].startswith("/m") or call["status"] not in (200, 404):
            continue
        marker = int(call["path"].strip("/")[1:])
        accepted = [e for e in configs if e["clock"] + APPLY_S < call["clock"]]
        newest = max((e["marker"] for e in accepted), default=0)
        overtaken = any(e["marker"] > marker and e["begin"] < call["until"] for e in configs)
        shown, gone = call["status"] == 200, call["status"] == 404
        old = (gone and marker == newest and not overtaken) or (shown and marker < newest)
        who = call["entry"]
        text = f"{who} {call['path']} {call['status']} at {call['clock']:.3f}, newest {newest}"
        if old and record.calm(call["clock"], call["until"], who, planned=True):
            yield Violation("config_late", text)
        place = who, call["starts"]
        best, since = seen.get(place, (0, 0.0))
        slack = REVERT_SLACK_S
        if not record.calm(call["clock"], call["until"], who, planned=True):
            slack *= SLOWED_FACTOR
        reverted = (shown and marker < best) or (gone and marker == best and not overtaken)
        if reverted and call["clock"] > since + slack:
            yield Violation("config_reverted", f"{text}, had {best}")
        if shown and marker > best:
            seen[place] = marker, call["until"]


def bad_ends(record: Record) -> Iterator[Violation]:
    """A node does not end by itself, and ends in the time that a stop gives it."""
    for event in record.by_kind["died"]:
        yield Violation("died", f"{event['node']} code {event['code']} at {event['clock']:.3f}")
    for event in record.by_kind["stopped"]:
        at = event["clock"]
        if event["code"] == KILLED and record.calm(at - GRACE_S, at, event["node"]):
            yield Violation("stop_overdue", f"{event['node']} at {at:.3f}")


def unfinished(record: Record) -> Iterator[Violation]:
    """Once all is mended, every accepted job ends as it should."""
    for event in record.by_kind["unfinished"]:
        yield Violation("unfinished", f"{event['key']} is {event['state'] or 'unknown'}")


RULES: Final[tuple[Callable[[Record], Iterator[Violation]], ...]] = (
    cut_calls,
    lost_jobs,
    refused_ran,
    run_twice,
    wrong_order,
    foreign_runs,
    over_capacity,
    runs_of_cancelled,
    starts_on_leaving,
    old_config,
    bad_ends,
    unfinished,
)


def check(events: Iterable[Event]) -> list[Violation]:
    """Return every broken promise in ``events``."""
    record = Record.from_events(events)
    return [violation for rule in RULES for violation in rule(record)]
