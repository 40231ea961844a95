"""Checks the history of a platform soak run against the scheduler's guarantees.

Input is one list of events from workers, callers and the site, each with ``event``, ``source`` and
``clock``; the scheduler's own logs are not read.  A rule with a time bound applies only if no fault
affected the node concerned within the preceding :data:`SETTLE_S`.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from bench.checker import Event, Violation
from bench.platform_callers import CALL_DEADLINE_S, CONNECTION_CUT, NO_RESPONSE
from bench.platform_site import ALL_NODES, STOP_GRACE_S, agent_of

SETTLE_S: Final = 3.0
CUT_TOLERANCE_S: Final = 0.2
JOB_VISIBLE_TIMEOUT_S: Final = 3.0
CANCEL_TIMEOUT_S: Final = 3.0
KILL_GRACE_S: Final = 0.9
DRAIN_TIMEOUT_S: Final = 2.0
EVACUATE_TIMEOUT_S: Final = 5.0
CONFIG_APPLY_TIMEOUT_S: Final = 2.0
CONFIG_REVERT_SLACK_S: Final = 0.25
DISTURBED_SLACK_FACTOR: Final = 8
STATUS_RETENTION_S: Final = 120.0
MAX_ATTEMPTS: Final = 3
CRASHES_TO_GIVE_UP: Final = 2
"""Crashes of workers under a task from which its job may be shown as failed."""

CRASHES_TO_STOP: Final = 3
MAX_STARTS_AFTER_CRASHES: Final = 2
"""Starts of a task, by agents in touch, after :data:`CRASHES_TO_STOP` crashes that it caused."""

SHRINK_GRACE_S: Final = SETTLE_S + 1.5
"""Time until a smaller capacity counts: the settling time and one heartbeat."""

SIGKILL_EXIT_CODE: Final = -9


@dataclass
class TaskRun:
    """An execution attempt of a task.

    :ivar until: loop time of its end, infinite while it runs.
    :ivar how: outcome of the run, ``gone`` if its worker left first, ``crashed`` if that crashed.
    :ivar worker: name of the worker, which all its incarnations share.
    :ivar acknowledged: whether the scheduler acknowledged its end.
    """

    task: str
    attempt: int
    incarnation: str
    start: Event
    worker: str = ""
    until: float = float("inf")
    how: str = ""
    acknowledged: bool = False

    @property
    def started_at(self) -> float:
        """Loop time of the start."""
        return float(self.start["clock"])

    def __str__(self) -> str:
        times = f"{self.started_at:.3f}..{self.until:.3f}"
        return f"{self.task} run {self.attempt} on {self.incarnation} {times} {self.how or 'open'}"


@dataclass
class RunHistory:
    """The events of a soak run in order of time, with indexes by kind, task and job.

    :ivar submissions: submitting calls of each job key.
    :ivar crashes: loop times at which each task crashed a worker.
    """

    events: list[Event]
    by_kind: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    runs: dict[str, list[TaskRun]] = field(default_factory=lambda: defaultdict(list))
    jobs: dict[str, Event] = field(default_factory=dict)
    submissions: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    crashes: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    @classmethod
    def from_events(cls, events: Iterable[Event]) -> "RunHistory":
        """Sort and index the events."""
        history = cls(sorted(events, key=lambda event: float(event["clock"])))
        for event in history.events:
            history.by_kind[event["event"]].append(event)
        history.jobs = {event["key"]: event for event in history.by_kind["job"]}
        for call in history.by_kind["call"]:
            if call["method"] == "POST":
                history.submissions[_key(call)].append(call)
        for event in history.by_kind["crash"]:
            history.crashes[event["task"]].append(event["clock"])
        history._read_runs()
        return history

    def _read_runs(self) -> None:
        names: dict[str, str] = {}
        opened: dict[tuple[str, str, int], TaskRun] = {}
        numbered: dict[str, list[tuple[int, TaskRun]]] = defaultdict(list)
        for event in self.events:
            incarnation = event["source"]
            match event["event"]:
                case "life":
                    names[incarnation] = event["name"]
                case "run_start":
                    run = TaskRun(
                        event["task"], event["attempt"], incarnation, event, names[incarnation]
                    )
                    opened[incarnation, run.task, run.attempt] = run
                    self.runs[run.task].append(run)
                case "run_end":
                    run = opened.pop((incarnation, event["task"], event["attempt"]))
                    run.until, run.how = event["clock"], event["how"]
                    numbered[incarnation].append((event["number"], run))
                case "lapse":
                    # A task whose end was unacknowledged when the lease expired may run again.
                    numbered[incarnation].clear()
                case "noted":
                    for number, run in numbered[incarnation]:
                        run.acknowledged = run.acknowledged or number <= event["upto"]
                case "life_over" | "worker_gone" | "crash":
                    self._end_incarnations(event, names, opened)

    def _end_incarnations(
        self, event: Event, names: dict[str, str], opened: dict[tuple[str, str, int], TaskRun]
    ) -> None:
        name = event.get("name") or names[event["source"]]
        for place in [place for place in opened if names[place[0]] == name]:
            run = opened.pop(place)
            run.until = event["clock"]
            run.how = "gone" if event["event"] == "life_over" else "crashed"

    def undisturbed(self, begin: float, end: float, who: str = "", planned: bool = False) -> bool:
        """Whether no fault affected a node from :data:`SETTLE_S` before ``begin`` up to ``end``.

        :param who: the node; if empty, faults of all nodes count.
        :param planned: whether planned operations count as faults too.
        """
        return not any(
            (planned or not fault["planned"]) and (not who or fault["who"] in (who, ALL_NODES))
            for fault in self._faults(begin, end)
        )

    def no_unplanned_fault(self, begin: float, end: float, who: str) -> bool:
        """Whether no fault affected ``who`` and no unplanned one any other node up to ``end``.

        CPU starvation of other nodes is ignored.
        """
        unplanned = (fault for fault in self._faults(begin, end) if not fault["planned"])
        return self.undisturbed(begin, end, who) and all(_starved(fault) for fault in unplanned)

    def _faults(self, begin: float, end: float) -> Iterator[Event]:
        for fault in self.by_kind["fault"]:
            if fault["clock"] < end and fault["until"] > begin - SETTLE_S:
                yield fault

    def all_runs(self) -> Iterator[TaskRun]:
        """Yield the runs of all tasks."""
        for runs in self.runs.values():
            yield from runs

    def tasks_of(self, job: Event, step: int) -> list[str]:
        """Return the names of a step's tasks."""
        return [f"{job['key']}.0.{step}.{index}" for index in range(job["steps"][step]["count"])]

    def done_at(self, task: str) -> float:
        """Return when a task first ended as done, or infinity."""
        return min(
            (r.until for r in self.runs.get(task, ()) if r.how == "done"), default=float("inf")
        )

    def accepted_at(self, key: str) -> float:
        """Return when a caller first received a job's acceptance, or infinity."""
        times = (call["until"] for call in self.submissions.get(key, ()) if call["status"] == 200)
        return min(times, default=float("inf"))

    def first_cancels(self) -> dict[str, Event]:
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


def _step_of(history: RunHistory, task: str) -> dict[str, Any]:
    key, _, step, _ = task.split(".")
    found: dict[str, Any] = history.jobs[key]["steps"][int(step)]
    return found


def interrupted_calls(history: RunHistory) -> Iterator[Violation]:
    """A call gets a complete response within its deadline, also from a stopping entry."""
    for call in history.by_kind["call"]:
        took = call["until"] - call["clock"]
        if not history.no_unplanned_fault(call["clock"], call["until"], call["entry"]):
            continue
        what = f"{call['method']} {call['path']} at {call['entry']} {call['clock']:.3f}"
        if call["status"] == CONNECTION_CUT and CUT_TOLERANCE_S < took < CALL_DEADLINE_S:
            yield Violation("call_cut", f"{what}, after {took:.3f} s")
        if call["status"] == NO_RESPONSE and took > CALL_DEADLINE_S:
            yield Violation("no_answer", f"{what}, waited {took:.3f} s")


def lost_jobs(history: RunHistory) -> Iterator[Violation]:
    """An accepted job stays known, and its reported state agrees with its runs."""
    first_cancels = history.first_cancels()
    for call in history.by_kind["call"]:
        key = _key(call)
        if call["method"] != "GET" or key not in history.jobs or key in first_cancels:
            continue
        since = call["clock"] - history.accepted_at(key)
        where = f"{key} at {call['entry']} {call['clock']:.3f}"
        settled = history.undisturbed(call["clock"], call["until"], call["entry"], planned=True)
        if call["status"] == 410 and JOB_VISIBLE_TIMEOUT_S < since < STATUS_RETENTION_S and settled:
            yield Violation("job_lost", f"{where}, {since:.1f} s after its acceptance")
        if call["status"] == 200:
            yield from _false_state(history, key, call, where)


def _false_state(history: RunHistory, key: str, call: Event, where: str) -> Iterator[Violation]:
    state = msgspec.json.decode(call["answer"])["state"]
    job = history.jobs[key]
    tasks = [task for step in range(len(job["steps"])) for task in history.tasks_of(job, step)]
    if state == "completed" and any(history.done_at(task) > call["until"] for task in tasks):
        yield Violation("false_state", f"{where}: completed, but a task has not ended as done")
    if state == "cancelled" or (
        state == "failed" and not any(_may_be_given_up(history.runs.get(t, [])) for t in tasks)
    ):
        yield Violation("false_state", f"{where}: {state} without cause")


def _may_be_given_up(runs: list[TaskRun]) -> bool:
    ends = Counter(run.how for run in runs)
    return ends["failed"] >= MAX_ATTEMPTS or ends["crashed"] >= CRASHES_TO_GIVE_UP


def refused_ran(history: RunHistory) -> Iterator[Violation]:
    """No task starts of a job whose submissions were all refused."""
    started = {_job_of(task) for task, runs in history.runs.items() if runs}
    for key, submissions in history.submissions.items():
        if key in started and all(call["status"] in (429, 503) for call in submissions):
            yield Violation("refused_ran", key)


def duplicate_runs(history: RunHistory) -> Iterator[Violation]:
    """Runs of a task do not overlap, and none starts after an acknowledged end as done."""
    for runs in history.runs.values():
        ordered = sorted(runs, key=lambda run: run.started_at)
        for index, run in enumerate(ordered):
            for later in ordered[index + 1 :]:
                if later.started_at < run.until:
                    yield Violation("two_runs", f"{run}; {later}")
                elif run.how == "done" and run.acknowledged:
                    yield Violation("rerun", f"{run}; {later}")


def wrong_order(history: RunHistory) -> Iterator[Violation]:
    """A step starts only after all tasks of its preceding steps have ended as done."""
    for run in history.all_runs():
        if _job_of(run.task) not in history.jobs:
            continue
        job = history.jobs[_job_of(run.task)]
        for before in _step_of(history, run.task).get("after", ()):
            if any(
                history.done_at(task) > run.started_at for task in history.tasks_of(job, before)
            ):
                yield Violation("wrong_order", str(run))


def foreign_runs(history: RunHistory) -> Iterator[Violation]:
    """A task starts with the submitted spec, and only from its own saved progress."""
    for run in history.all_runs():
        job = history.jobs.get(_job_of(run.task))
        if job is None or job["spec"] != run.start["spec"]:
            yield Violation("foreign_run", str(run))
        saved = run.start["saved"]
        if saved and saved.partition(":")[2] != run.task:
            yield Violation("foreign_run", f"{run} saved={saved}")


def over_capacity(history: RunHistory) -> Iterator[Violation]:
    """No start exceeds a worker's capacity; tasks being stopped count.

    A capacity that has shrunk counts :data:`SHRINK_GRACE_S` later, one that has grown at once.
    """
    sizes = defaultdict(list)
    for event in (*history.by_kind["life"], *history.by_kind["capacity"]):
        sizes[event["source"]].append(event)
    by_incarnation = defaultdict(list)
    for run in history.all_runs():
        if _job_of(run.task) in history.jobs:
            by_incarnation[run.incarnation].append(run)
    for incarnation, runs in by_incarnation.items():
        for run in runs:
            concurrent = [r for r in runs if r.started_at <= run.started_at < r.until]
            for size in ("cpu", "mem_mb"):
                used = sum(_step_of(history, r.task).get(size, 0) for r in concurrent)
                capacity = _capacity_at(run, sizes[incarnation], size)
                if used > capacity:
                    what = f"{incarnation}: {size} {used} of {capacity} with {run}"
                    yield Violation("over_capacity", what)


def _capacity_at(run: TaskRun, sizes: list[Event], size: str) -> int:
    """Return the largest capacity within the grace before a start.

    For a start that was carried out late, the grace has no limit.

    :param sizes: capacities of the run's incarnation in order of time, the first from its birth.
    """
    since = float("-inf") if run.start["late"] else run.started_at - SHRINK_GRACE_S
    before = [event for event in sizes if event["clock"] <= run.started_at]
    current = sum(event["clock"] <= since for event in before)
    return max(int(event[size]) for event in before[max(0, current - 1) :])


def crash_loops(history: RunHistory) -> Iterator[Violation]:
    """A task that has crashed :data:`CRASHES_TO_STOP` workers is hardly started again.

    Counts the starts by agents in touch, not those that a worker carried out late.
    """
    for task, crashes in history.crashes.items():
        if len(crashes) < CRASHES_TO_STOP:
            continue
        third = sorted(crashes)[CRASHES_TO_STOP - 1]
        starts = [run for run in history.runs[task] if run.started_at > third]
        counted = [run for run in starts if not run.start["late"] and _in_touch(history, run)]
        if len(counted) > MAX_STARTS_AFTER_CRASHES:
            what = f"{task}: {len(counted)} starts after its third crash at {third:.3f}"
            yield Violation("crash_loop", f"{what}, the last {counted[-1]}")


def _in_touch(history: RunHistory, run: TaskRun) -> bool:
    at = run.started_at
    return history.undisturbed(at, at, agent_of(run.worker), planned=True)


def runs_of_cancelled_jobs(history: RunHistory) -> Iterator[Violation]:
    """After a cancellation, no task of the job starts and its running tasks are stopped."""
    for key, cancel in history.first_cancels().items():
        bound = cancel["until"] + CANCEL_TIMEOUT_S
        if cancel["status"] != 200:
            continue
        for run in [r for task, runs in history.runs.items() if _job_of(task) == key for r in runs]:
            late = run.start["late"]
            if (
                run.started_at > bound
                and not late
                and history.undisturbed(run.started_at, run.started_at)
            ):
                yield Violation("start_after_cancel", f"{run}, cancelled {cancel['until']:.3f}")
            stop_deadline = max(bound, run.started_at + SETTLE_S) + KILL_GRACE_S
            ran_until = min(run.until, history.events[-1]["clock"])
            if ran_until > stop_deadline and history.undisturbed(
                cancel["clock"], stop_deadline, planned=True
            ):
                yield Violation("runs_on", f"{run}, cancelled {cancel['until']:.3f}")


def starts_on_leaving(history: RunHistory) -> Iterator[Violation]:
    """A worker gets no starts :data:`DRAIN_TIMEOUT_S` after its draining was acknowledged."""
    leaving = {event["source"]: event["clock"] for event in history.by_kind["draining_known"]}
    for run in history.all_runs():
        since = run.started_at - leaving.get(run.incarnation, float("inf"))
        if (
            since > DRAIN_TIMEOUT_S
            and not run.start["late"]
            and history.undisturbed(run.started_at, run.started_at)
        ):
            yield Violation("start_on_leaving", f"{run}, {since:.2f} s after")


def starts_in_evacuated_zones(history: RunHistory) -> Iterator[Violation]:
    """No agent in touch starts a task :data:`EVACUATE_TIMEOUT_S` after its zone's evacuation."""
    zones = {event["source"]: event.get("zone") for event in history.by_kind["life"]}
    for run in history.all_runs():
        if run.start["late"] or not _in_touch(history, run):
            continue
        for evacuation in history.by_kind["evacuation"]:
            since = run.started_at - evacuation["clock"]
            same_zone = evacuation["zone"] == zones.get(run.incarnation)
            if same_zone and since > EVACUATE_TIMEOUT_S and run.started_at < evacuation["until"]:
                yield Violation("start_in_evacuated_zone", f"{run}, {since:.2f} s after")


def stale_config(history: RunHistory) -> Iterator[Violation]:
    """Every entry applies the newest configuration in time and never reverts to an older one.

    Each configuration has a marker route; status 200 shows that it is in force, 404 that it is not.
    """
    configs = history.by_kind["config"]
    seen: dict[tuple[str, int], tuple[int, float]] = {}
    for call in history.by_kind["call"]:
        if not call["path"].startswith("/m") or call["status"] not in (200, 404):
            continue
        marker = int(call["path"].strip("/")[1:])
        accepted = [e for e in configs if e["clock"] + CONFIG_APPLY_TIMEOUT_S < call["clock"]]
        newest = max((e["marker"] for e in accepted), default=0)
        overtaken = any(e["marker"] > marker and e["begin"] < call["until"] for e in configs)
        shown, gone = call["status"] == 200, call["status"] == 404
        old = (gone and marker == newest and not overtaken) or (shown and marker < newest)
        who = call["entry"]
        text = f"{who} {call['path']} {call['status']} at {call['clock']:.3f}, newest {newest}"
        if old and history.undisturbed(call["clock"], call["until"], who, planned=True):
            yield Violation("config_late", text)
        place = who, call["starts"]
        best, since = seen.get(place, (0, 0.0))
        slack = CONFIG_REVERT_SLACK_S
        if not history.undisturbed(call["clock"], call["until"], who, planned=True):
            slack *= DISTURBED_SLACK_FACTOR
        reverted = (shown and marker < best) or (gone and marker == best and not overtaken)
        if reverted and call["clock"] > since + slack:
            yield Violation("config_reverted", f"{text}, had {best}")
        if shown and marker > best:
            seen[place] = marker, call["until"]


def unexpected_exits(history: RunHistory) -> Iterator[Violation]:
    """A node exits only when it is stopped, and within the grace period."""
    for event in history.by_kind["died"]:
        yield Violation("died", f"{event['node']} code {event['code']} at {event['clock']:.3f}")
    for event in history.by_kind["stopped"]:
        at = event["clock"]
        if event["code"] == SIGKILL_EXIT_CODE and history.undisturbed(
            at - STOP_GRACE_S, at, event["node"]
        ):
            yield Violation("stop_overdue", f"{event['node']} at {at:.3f}")


def unfinished(history: RunHistory) -> Iterator[Violation]:
    """Every accepted job ends once all faults are over."""
    for event in history.by_kind["unfinished"]:
        yield Violation("unfinished", f"{event['key']} is {event['state'] or 'unknown'}")


RULES: Final[tuple[Callable[[RunHistory], Iterator[Violation]], ...]] = (
    interrupted_calls,
    lost_jobs,
    refused_ran,
    duplicate_runs,
    wrong_order,
    foreign_runs,
    over_capacity,
    crash_loops,
    runs_of_cancelled_jobs,
    starts_on_leaving,
    starts_in_evacuated_zones,
    stale_config,
    unexpected_exits,
    unfinished,
)


def check(events: Iterable[Event]) -> list[Violation]:
    """Return every violation in ``events``."""
    history = RunHistory.from_events(events)
    return [violation for rule in RULES for violation in rule(history)]
