"""The stored count of workers that crashed under a task."""

from dataclasses import dataclass
from typing import Any

import msgspec
import pytest

from sapphirelead.blame.counts import MAX_CRASHES, MIN_CRASHES, SUSPECT_WINDOW_S, CrashEvidence
from sapphirelead.blame.evidence import PROBATION_S
from sapphirelead.errors import Code
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport, Reply, ReplyKind, RunEnded, RunPhase, RunStatus
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_job import (
    EndEffect,
    EndKind,
    Job,
    JobDelta,
    JobFailure,
    JobFlags,
    decode_deltas,
    encode_deltas,
)
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import Claim, Task, TaskRef
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import job, scheduler, store, worker_info

REF = TaskRef("a1", 0, 0, 0)
CPU = 1000


@dataclass
class Agent:
    """An agent whose reports are applied at given times."""

    sched: Scheduler
    name: str = "g1"
    number: int = 0

    def report(self, at: float, worker: str = "w1", **changes: Any) -> None:
        """Apply a report; ``worker`` may be empty for none."""
        self.number += 1
        info = worker_info(worker, draining=changes.pop("draining", False)) if worker else None
        report = AgentReport(
            self.name,
            changes.pop("boot", "b"),
            self.number,
            1,
            1,
            info,
            True,
            changes.pop("runs", []),
            changes.pop("ends", []),
            **changes,
        )
        apply_report(self.sched, report, 1, at)
        self.sched.fleet.instance(self.name).renewed_at = at

    def run_until(self, run: Run, until: float, at: float = 1.0) -> float:
        """Report a run twice a second until a time; return the last time."""
        status = RunStatus(run.ref.text(), run.attempt, RunPhase.RUNNING, 10)
        while at < until:
            at += 0.5
            self.report(at, runs=[status])
        return at


def started(step: StepSpec | None = None) -> tuple[Scheduler, Agent, Run]:
    """Return a scheduler with one task whose start has been sent."""
    sched = scheduler()
    agent = Agent(sched)
    agent.report(1.0)
    sched.submit(job("a1", step or StepSpec(cpu_millicores=CPU)), lambda *_: None)
    plan(sched, 1.0, 0)
    plan(sched, 1.2, 0)
    store(sched)
    (run,) = sched.fleet.runs.values()
    return sched, agent, run


def crashes(sched: Scheduler, ref: TaskRef = REF) -> int:
    """Return the stored count of a task."""
    task = sched.jobs["a1"].task(ref)
    assert task is not None
    return task.crashes


GONE = {
    "replaced": ({"worker": "w2"}, 1),
    "ended": ({"worker": "", "ended_workers": ("w1",)}, 1),
    "left": ({"worker": "", "ended_workers": ("w1",), "left_workers": ("w1",)}, 0),
    "replaced_after_agent_restart": ({"worker": "w2", "boot": "c"}, 1),
}


@pytest.mark.parametrize(("changes", "counted"), GONE.values(), ids=GONE)
def test_end_of_a_worker_counts_unless_it_left_in_good_order(
    changes: dict[str, Any], counted: int
) -> None:
    """Guards against uncounted crashes, and against blame for a planned exit."""
    sched, agent, run = started()
    agent.run_until(run, 2.0)
    agent.number = 0 if "boot" in changes else agent.number
    agent.report(3.0, **changes)
    assert sched.fleet.runs == {}
    assert crashes(sched) == counted


def test_end_of_a_draining_worker_does_not_count() -> None:
    """Guards against blame for the exit of a worker whose announcement was lost."""
    sched, agent, run = started()
    agent.run_until(run, 2.0)
    agent.report(2.6, draining=True)
    agent.report(3.0, worker="", ended_workers=("w1",))
    assert sched.fleet.runs == {}
    assert crashes(sched) == 0


def test_start_that_was_never_sent_does_not_count() -> None:
    """Guards against blame for a crash before the start."""
    sched = scheduler()
    agent = Agent(sched)
    agent.report(1.0)
    sched.submit(job(), lambda *_: None)
    plan(sched, 1.0, 0)
    agent.report(1.5, worker="w2")
    assert crashes(sched) == 0


def test_sent_start_that_was_never_reported_counts() -> None:
    """Guards against uncounted crashes within a report interval of the start."""
    sched, agent, _ = started()
    agent.report(1.5, worker="w2")
    assert crashes(sched) == 1


def test_lost_agent_counts() -> None:
    """Guards against a task that takes the agent down with its worker."""
    sched, agent, run = started()
    at = agent.run_until(run, 2.0)
    sched.end_runs_of_lost_agents(at + Bounds().loss_s + 0.1)
    assert crashes(sched) == 1


def test_lost_agent_of_a_run_that_was_observed_does_not_count() -> None:
    """Guards against giving up a task whose agents are lost, though its workers do not crash."""
    sched, agent, run = started()
    at = agent.run_until(run, 1.0 + 2 * PROBATION_S)
    sched.end_runs_of_lost_agents(at + Bounds().loss_s + 0.1)
    assert sched.fleet.runs == {}
    assert crashes(sched) == 0


def test_lost_agent_of_a_loaded_claim_does_not_count() -> None:
    """Guards against giving up a task because leaders change while its agents are lost."""
    before, _, _ = started()
    (known,) = before.jobs.values()
    sched = scheduler()
    sched.load(Job.decode(known.spec, known.encode()))
    sched.end_runs_of_lost_agents(30.0)
    assert sched.fleet.runs == {}
    assert crashes(sched) == 0


@pytest.mark.parametrize(("ran_s", "left"), [(SUSPECT_WINDOW_S - 2, 2), (SUSPECT_WINDOW_S + 2, 0)])
def test_run_that_was_observed_for_long_clears_its_task(ran_s: float, left: int) -> None:
    """Guards against giving up a task for crashes that its starts did not cause."""
    sched, agent, run = started()
    task = sched.jobs["a1"].task(REF)
    assert task is not None
    task.crashes = 1
    agent.report(agent.run_until(run, 1.0 + ran_s) + 0.1, worker="w2")
    assert crashes(sched) == left


def test_silence_does_not_count_as_running() -> None:
    """Guards against uncounted crashes under a run that nobody has observed for long."""
    sched, agent, run = started()
    agent.run_until(run, 2.0)
    agent.report(2.0 + 2 * SUSPECT_WINDOW_S, worker="w2")
    assert crashes(sched) == 1


ENDS = {
    "failed": (EndKind.FAILED, False, 2),
    "stopped": (EndKind.STOPPED, False, 2),
    "lapsed": (EndKind.LAPSED, False, 2),
    "broken": (EndKind.BROKEN, False, 2),
    "done": (EndKind.DONE, False, 0),
    "long_running_failed": (EndKind.FAILED, True, 2),
    "long_running_done": (EndKind.DONE, True, 2),
}


@pytest.mark.parametrize(("kind", "lasting", "left"), ENDS.values(), ids=ENDS)
def test_ends_within_the_window_keep_the_count(kind: EndKind, lasting: bool, left: int) -> None:
    """Guards against a task that crashes workers and fails by turns, without limit."""
    sched, agent, run = started(StepSpec(cpu_millicores=CPU, lasting=lasting))
    task = sched.jobs["a1"].task(REF)
    assert task is not None
    task.crashes = 2
    agent.report(2.0, ends=[RunEnded(1, run.ref.text(), run.attempt, kind, "")])
    assert task.crashes == left


def crash(found: Job, attempt: int, alone: bool, numbers: tuple[int, ...] = (0,)) -> EndEffect:
    """Claim an attempt of the first step and crash the workers of its tasks ``numbers``."""
    tasks = range(found.spec.steps[0].tasks)
    for number in tasks:
        found.claim(REF._replace(number=number), f"g{number}", WorkerLife(f"w{number}"), attempt)
    evidence = CrashEvidence.CRASH_ALONE if alone else CrashEvidence.CRASH
    effects = [
        found.end_run(REF._replace(number=number), attempt, EndKind.LOST, "", evidence)
        for number in numbers
    ]
    for number in set(tasks) - set(numbers):
        found.end_run(REF._replace(number=number), attempt, EndKind.BROKEN, "")
    return effects[0]


@pytest.mark.parametrize(("alone", "limit"), [(True, MIN_CRASHES), (False, MAX_CRASHES)])
@pytest.mark.parametrize("lasting", [False, True])
def test_task_is_given_up_after_few_crashes(alone: bool, limit: int, lasting: bool) -> None:
    """Guards against starts without limit, and against giving up a task beside the culprit."""
    found = Job.accept(job("a1", StepSpec(lasting=lasting)))
    effects = [crash(found, attempt, alone) for attempt in range(1, limit + 1)]
    assert effects == [EndEffect.AGAIN] * (limit - 1) + [EndEffect.JOB_FAILED]
    assert found.failed


@pytest.mark.parametrize("reloaded", [False, True])
def test_failure_names_the_task_and_its_crashes(reloaded: bool) -> None:
    """Guards against a reason that a new leader does not know."""
    found = Job.accept(job("a1", StepSpec(tasks=2)))
    for attempt in range(1, MIN_CRASHES + 1):
        assert found.failure() is None
        crash(found, attempt, True, (1,))
    if reloaded:
        found = Job.decode(found.spec, found.encode())
    failure = found.failure()
    assert failure == JobFailure(Code.WORKERS_CRASHED, REF._replace(number=1), MIN_CRASHES)
    assert failure.detail == "3 workers in a row crashed under task a1.0.0.1"


def test_failure_names_the_task_that_failed_too_often() -> None:
    """Guards against blaming crashes for a job that failed by its own runs."""
    found = Job.accept(job("a1", StepSpec()))
    crash(found, 1, False)
    for attempt in range(2, 5):
        found.claim(REF, "g", WorkerLife("w"), attempt)
        found.end_run(REF, attempt, EndKind.FAILED, "")
    failure = found.failure()
    assert failure == JobFailure(Code.TASK_FAILED, REF, 3)
    assert failure.detail == "task a1.0.0.0 failed 3 times"


def test_crashes_under_one_attempt_of_a_gang_count_once() -> None:
    """Guards against giving a gang up after a single attempt on several workers."""
    found = Job.accept(job("a1", StepSpec(tasks=3, gang=True)))
    crash(found, 1, False, (0, 1, 2))
    crash(found, 2, False, (2,))
    assert [task.crashes for task in found.occurrences[0].tasks[0]] == [2, 2, 2]


def test_crashes_of_copies_count_each() -> None:
    """Guards against uncounted crashes where the later copy crashes first."""
    found = Job.accept(job("a1", StepSpec(copies=True)))
    for attempt in (1, 2):
        found.claim(REF, f"g{attempt}", WorkerLife(f"w{attempt}"))
    for attempt in (2, 1):
        found.end_run(REF, attempt, EndKind.LOST, "", CrashEvidence.CRASH)
    assert found.occurrences[0].tasks[0][0].crashes == 2


def test_count_is_stored_with_the_end() -> None:
    """Guards against a count that the next leader does not know when it starts the task again."""
    sched, agent, _ = started()
    agent.report(1.5, worker="w2")
    (delta,) = sched.take_batch(0).deltas
    (stored,) = delta.tasks
    assert (stored.task.crashes, stored.task.claims) == (1, [])


MESSAGES = {
    "report": (
        AgentReport("g", "b", 1, 1, 1, None, True, [], [], (WorkerLife("w"),), 3),
        {
            "left_workers": (),
            "worker_answers": True,
            "ended_lives": (),
            "worker_refuses": False,
        },
    ),
    "reply": (Reply(1, ReplyKind.OK, "failed", epoch=2), {"code": "", "ticket": ""}),
}


@pytest.mark.parametrize(("message", "added"), MESSAGES.values(), ids=MESSAGES)
def test_messages_of_previous_versions_are_read(
    message: AgentReport | Reply, added: dict[str, object]
) -> None:
    """Guards against a fleet of two versions whose processes cannot read each other."""
    fields = msgspec.to_builtins(message)
    assert type(message).__struct_fields__[-len(added) :] == tuple(added)
    for missing in range(1, len(added) + 1):
        older = msgspec.msgpack.encode(fields[:-missing])
        found = msgspec.msgpack.decode(older, type=type(message))
        assert found == message
        assert {name: getattr(found, name) for name in added} == added


class OlderReply(msgspec.Struct, array_like=True, tag="Reply"):
    """The first fields of a reply, as an older process reads it."""

    number: int
    kind: ReplyKind
    state: str = ""


def test_messages_are_read_by_the_previous_version() -> None:
    """Guards against fields that a process of the version before rejects."""
    raw = msgspec.msgpack.encode(Reply(1, ReplyKind.OK, "failed", code="SL-503"))
    assert msgspec.msgpack.decode(raw, type=OlderReply) == OlderReply(1, ReplyKind.OK, "failed")


class OlderTask(msgspec.Struct, array_like=True, omit_defaults=True):
    """A task as stored by the previous version."""

    done: bool = False
    attempts: int = 0
    failures: int = 0
    saved: str = ""
    claims: list[Claim] = []


class OlderTaskDelta(msgspec.Struct, array_like=True):
    """A change of a task as stored by the previous version."""

    occurrence: int
    step: int
    number: int
    task: OlderTask


class OlderDelta(msgspec.Struct, array_like=True):
    """Changes of a job as stored by the previous version."""

    job_id: str
    flags: JobFlags | None
    tasks: list[OlderTaskDelta]


def test_changes_of_the_previous_version_are_read() -> None:
    """Guards against a leader that cannot read the rows of the version before."""
    claims = [Claim(2, "g", WorkerLife("w"))]
    older = OlderDelta("a1", None, [OlderTaskDelta(0, 0, 0, OlderTask(False, 2, 1, "s", claims))])
    (delta,) = decode_deltas(msgspec.msgpack.encode([older]))
    assert delta.tasks[0].task == Task(False, 2, 1, "s", claims)


def test_changes_are_read_by_the_previous_version() -> None:
    """Guards against rows that the version before cannot read after a rollback."""
    found = Job.accept(job())
    crash(found, 1, True)
    raw: bytes = encode_deltas([found.take_delta()])
    (older,) = msgspec.msgpack.decode(raw, type=list[OlderDelta])
    assert older.tasks[0].task == OlderTask(False, 1)
    assert older.flags == found.flags


def test_snapshot_keeps_the_count() -> None:
    """Guards against a count that the compaction of the journal resets."""
    found = Job.accept(job("a1", StepSpec(tasks=2, gang=True)))
    crash(found, 1, True)
    loaded = Job.decode(found.spec, found.encode())
    tasks = loaded.occurrences[0].tasks[0]
    assert [(task.crashes, task.crashed_attempt) for task in tasks] == [(1, 1)] * 2


def test_delta_keeps_the_count_of_all_members() -> None:
    """Guards against members of a gang whose count is not stored."""
    found = Job.accept(job("a1", StepSpec(tasks=2, gang=True)))
    crash(found, 1, True)
    delta: JobDelta = found.take_delta()
    loaded = Job.accept(found.spec)
    loaded.apply(decode_deltas(encode_deltas([delta]))[0])
    assert [task.crashes for task in loaded.occurrences[0].tasks[0]] == [1, 1]
