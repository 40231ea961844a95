"""Tests that merged reports have the same effect as the reports one after the other."""

import random

import msgspec
import pytest

from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport, RunEnded, RunPhase, RunStatus, WorkerInfo
from sapphirelead.node_ports import WorkerEnd, WorkerRun, WorkerView
from sapphirelead.node_report_merge import MAX_MERGED_ENDS, merge_reports
from sapphirelead.runner_registry import MAX_REPORTED_ENDS, RunnerRun, RunRegistry
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import Agents, job, scheduler, store, worker_info

BIG = worker_info("w-g1", capacity=Resources(64_000, 64_000, 0))
TASKS = 12


def report(
    report_number: int,
    full: bool = False,
    runs: list[RunStatus] | None = None,
    ends: list[RunEnded] | None = None,
    worker: WorkerInfo | None = BIG,
    boot: str = "b",
    epoch: int = 1,
    ended_workers: tuple[WorkerLife, ...] = (),
) -> AgentReport:
    return AgentReport(
        "g1", boot, report_number, epoch, 1, worker, full, runs or [], ends or [], ended_workers
    )


def run(number: int, percent: int = 10, saved: str = "") -> RunStatus:
    return RunStatus(f"a1.0.{number}.1", 1, RunPhase.RUNNING, percent, saved=saved)


def end(number: int, kind: str = "done") -> RunEnded:
    return RunEnded(number, f"a1.0.{number}.1", 1, kind, "")


def merged(older: AgentReport, newer: AgentReport) -> AgentReport:
    found = merge_reports(older, newer)
    assert found is not None
    return found


def test_ends_beyond_those_of_a_full_report_are_kept() -> None:
    """A full report lists a bounded number of ended runs; a merge must not lose others."""
    first = [end(number) for number in range(MAX_REPORTED_ENDS)]
    later = end(MAX_REPORTED_ENDS)
    found = merged(report(1, ends=[later]), report(2, full=True, ends=first))
    assert {ended.number for ended in found.ends} == set(range(MAX_REPORTED_ENDS + 1))


def test_ends_beyond_the_bound_are_not_merged() -> None:
    first = [end(number) for number in range(MAX_MERGED_ENDS)]
    assert merge_reports(report(1, ends=first), report(2, ends=[end(MAX_MERGED_ENDS - 1)]))
    assert merge_reports(report(1, ends=first), report(2, ends=[end(MAX_MERGED_ENDS)])) is None


def test_a_short_report_leaves_a_full_one_full() -> None:
    """Guards against repeated start orders for runs that the agent has reported."""
    found = merged(
        report(1, full=True, runs=[run(1, saved="s"), run(2)]),
        report(2, runs=[run(1, 20), run(3)], ends=[end(2)]),
    )
    assert found.full and found.report_number == 2
    assert found.runs == [run(1, 20, "s"), run(3)]
    assert found.ends == [end(2)]


def test_a_full_report_replaces_the_statuses_of_a_short_one() -> None:
    found = merged(report(1, runs=[run(1), run(2)]), report(2, full=True, runs=[run(2, 30)]))
    assert found.full and found.runs == [run(2, 30)]


def test_progress_saved_before_an_end_is_kept() -> None:
    """Guards against restarting a task from scratch although its progress was reported."""
    lapsed = end(1, "lapsed")
    found = merged(report(1, full=True, runs=[run(1, saved="s")]), report(2, ends=[lapsed]))
    assert found.ends == [msgspec.structs.replace(lapsed, saved="s")]
    assert merged(found, report(3, full=True, ends=[lapsed])).ends == found.ends


def test_ended_workers_are_kept() -> None:
    found = merged(
        report(1, ended_workers=(WorkerLife("w1"),), worker=None),
        report(2, ended_workers=(WorkerLife("w2"),), worker=None),
    )
    assert found.ended_workers == ("w1", "w2")


def test_workers_that_left_are_kept() -> None:
    """Guards against counting a worker that left in good order as crashed."""
    older = msgspec.structs.replace(
        report(1, ended_workers=(WorkerLife("w1"), WorkerLife("w2")), worker=None),
        left_workers=(WorkerLife("w1"),),
    )
    newer = report(2, ended_workers=(WorkerLife("w3"),), worker=None)
    assert merged(older, newer).left_workers == ("w1",)


@pytest.mark.parametrize(
    ("older", "newer"),
    [
        (report(1), report(2, boot="c")),
        (report(2), report(2)),
        (report(1), report(2, worker=worker_info("w2"))),
        (report(1), report(2, worker=None, ended_workers=(WorkerLife("w-g1"),))),
        (report(1), report(2, epoch=2)),
    ],
)
def test_reports_of_two_lifetimes_are_not_merged(older: AgentReport, newer: AgentReport) -> None:
    assert merge_reports(older, newer) is None


def test_a_full_report_for_the_next_leader_replaces_one_for_the_last() -> None:
    assert merged(report(1), report(2, epoch=2, full=True)).epoch == 2


class Fleet:
    """A scheduler with one agent, which runs a job."""

    def __init__(self) -> None:
        self.sched: Scheduler = scheduler()
        Agents(self.sched).report("g1", BIG)
        step = StepSpec(cpu_millicores=1000, tasks=TASKS, saves=True)
        self.sched.submit(job("a1", step), lambda *_: None)
        plan(self.sched, 0.1, 0)
        store(self.sched)
        self.names = [(run.ref.text(), run.attempt) for run in self.sched.fleet.runs.values()]
        assert len(self.names) == TASKS

    def take(self, new: AgentReport) -> None:
        assert apply_report(self.sched, new, 1, 1.0)

    def seen(self) -> object:
        """Return the leader's state that depends on reports."""
        instance = self.sched.fleet.instance("g1")
        runs = {
            (run.ref.text(), run.attempt): (
                run.phase,
                run.percent,
                run.measurement,
                run.pace_percent,
            )
            for run in self.sched.fleet.runs.values()
        }
        tasks = self.sched.jobs["a1"].occurrences[0].tasks[0]
        saved = [(task.done, task.saved) for task in tasks]
        return runs, saved, instance.report_number, instance.worker, self.sched.unstored_ends


def make_report(registry: RunRegistry, report_number: int, full: bool) -> AgentReport:
    return report(
        report_number, full, registry.statuses(full), registry.report_ends(full), registry.info
    )


def advance(registry: RunRegistry, rng: random.Random, numbers: list[int]) -> None:
    """Make random progress: advance and save some runs, and end others."""
    running, ended = [], []
    for name, known in sorted(registry.runs.items()):
        if rng.random() < 0.15:
            numbers[0] += 1
            kind = rng.choice(["done", "failed", "stopped"])
            ended.append(WorkerEnd(numbers[0], *name, kind, rng.choice(["", "z"])))
            continue
        percent = min(99, known.percent + rng.randrange(20))
        saved = f"s{percent}" if percent >= 30 else ""
        running.append(WorkerRun(*name, saved, percent, rng.randrange(900)))
    registry.apply_view(WorkerView(running=running, ended=ended, clock_ms=0), 0.0)


@pytest.mark.parametrize("seed", range(30))
def test_merged_reports_are_equivalent_to_single_reports(seed: int) -> None:
    """Guards against losing the contents of queued reports when they are merged."""
    rng = random.Random(seed)
    one_by_one, at_once = Fleet(), Fleet()
    assert one_by_one.names == at_once.names
    registry = RunRegistry(BIG)
    numbers = [0]
    for task, attempt in one_by_one.names:
        registry.runs[task, attempt] = RunnerRun(task, attempt, RunPhase.STARTING)
    pending: AgentReport | None = None
    for report_number in range(2, 12):
        advance(registry, rng, numbers)
        new = make_report(registry, report_number, rng.random() < 0.3)
        one_by_one.take(new)
        pending = new if pending is None else merged(pending, new)
    assert pending is not None
    at_once.take(pending)
    assert at_once.seen() == one_by_one.seen()


def test_a_merged_report_tells_of_an_unanswered_list_call() -> None:
    """Guards against runs that count as observed while their worker does not answer."""
    silent = msgspec.structs.replace(report(2), worker_answers=False)
    assert not merged(report(1), silent).worker_answers
    assert not merged(silent, report(3)).worker_answers
    assert merged(report(1), report(2)).worker_answers
