"""Bounds that have to hold across changes of leader."""

from itertools import pairwise

import msgspec
import pytest

from sapphirelead.entry_lease_rows import ZoneRow
from sapphirelead.model_lease import LeaseObserver
from sapphirelead.ports import Row
from sapphirelead.sched_consolidate import MIN_STAY_S, Consolidation
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import URGENT_WAIT_S
from sapphirelead.sched_job import JobState
from sapphirelead.sched_memory import LeaderMemory
from sapphirelead.sched_planner import GROUPING_DELAY_S, plan
from sapphirelead.sched_spec import QueuePolicy, StepSpec
from sapphirelead.sched_stragglers import MAX_MOVES, MIN_OBSERVATION_SHARE, review
from sapphirelead.sched_track import FAILURE_THRESHOLD, MIN_COOLDOWN_S
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_new_leader import load_successor
from tests.sched.test_scheduler import ended, only_run, submit

TERM_S = 3.0
"""Time for which each leader leads."""

WORKERS = ("g1", "g2", "g3")

WITH_AND_WITHOUT_CHANGES = pytest.mark.parametrize("changes", [False, True])


def next_leader(sched: Scheduler, agents: Agents, changes: bool) -> tuple[Scheduler, Agents]:
    """Return the successor, or the same leader if there are no changes of leader."""
    return load_successor(sched) if changes else (sched, agents)


def report_both(agents: Agents, at: float) -> None:
    """Report two workers; the first has more room, so that it is preferred."""
    agents.report("g1", worker_info("w-g1", cpu=16_000), at=at)
    agents.report("g2", worker_info("w-g2", cpu=8_000), at=at)


@WITH_AND_WITHOUT_CHANGES
def test_a_task_is_not_used_up_by_one_bad_worker(changes: bool) -> None:
    """Guards against leaders that each try a task on the worker where it failed before."""
    policy = QueuePolicy("svc", max_failures=3)
    sched = scheduler()
    agents = Agents(sched)
    report_both(agents, 0.0)
    submit(sched, job("a1", policy=policy))
    used = []
    for attempt in range(1, 4):
        at = attempt * TERM_S
        report_both(agents, at)
        plan(sched, at, 0)
        store(sched)
        run = only_run(sched)
        used.append(run.agent)
        info = worker_info(f"w-{run.agent}", cpu=16_000 if run.agent == "g1" else 8_000)
        agents.report(run.agent, info, ends=[ended(run, "failed", attempt)], at=at + 0.1)
        store(sched)
        if sched.jobs["a1"].state is JobState.FAILED:
            break
        sched, agents = next_leader(sched, agents, changes)
    assert len(set(used)) > 1, f"all attempts were made on {used[0]}"


@WITH_AND_WITHOUT_CHANGES
def test_a_bad_worker_stays_in_its_cooldown(changes: bool) -> None:
    """Guards against leaders that each give work to a worker that fails every run."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=0.0)
    for number in range(20):
        submit(sched, job(f"a{number}"))
    failed = 0
    at = 0.0
    for _ in range(FAILURE_THRESHOLD):
        at += 0.1
        agents.report(at=at)
        plan(sched, at, 0)
        store(sched)
        runs = list(sched.fleet.runs.values())
        failed += len(runs)
        agents.report(ends=[ended(run, "failed", n) for n, run in enumerate(runs, 1)], at=at)
        store(sched)
        if not sched.fleet.instance("g1").track.sound(at):
            break
    assert not sched.fleet.instance("g1").track.sound(at)
    sched, agents = next_leader(sched, agents, changes)
    at += MIN_COOLDOWN_S / 4
    agents.report(at=at)
    plan(sched, at, 0)
    assert not sched.fleet.runs, "the cooldown has not passed"


@WITH_AND_WITHOUT_CHANGES
def test_a_slow_task_is_moved_a_limited_number_of_times(changes: bool) -> None:
    """Guards against leaders that each move a task as often as one leader may."""
    step = StepSpec(cpu_millicores=1000, estimate_ms=4000, saves=True)
    sched = scheduler()
    agents = Agents(sched)
    submit(sched, job("a1", step))
    moves = 0
    at = 1.0
    names = [f"g{number}" for number in range(MAX_MOVES + 4)]
    for number in range(1, MAX_MOVES + 3):
        for name in names:
            agents.report(name, at=at)
        plan(sched, at, 0)
        store(sched)
        run = only_run(sched)
        task = [(run.ref.text(), run.attempt)]
        for _ in range(6):
            at += 0.5
            for name in names:
                agents.report(name, runs=task if name == run.agent else [], percent=0, at=at)
        review(sched, at)
        if not run.stop_wanted:
            break
        moves += 1
        agents.report(run.agent, ends=[ended(run, "stopped", number, saved="x")], at=at)
        store(sched)
        sched, agents = next_leader(sched, agents, changes)
    assert moves <= MAX_MOVES


def consolidating_fleet() -> tuple[Scheduler, Agents]:
    """Return a fleet of three workers, of which one has a small long-running task."""
    sched = scheduler()
    agents = Agents(sched)
    for name in WORKERS:
        agents.report(name, at=0.0)
    submit(sched, job("a1", StepSpec(cpu_millicores=3000, lasting=True)))
    submit(sched, job("b1", StepSpec(cpu_millicores=6000, lasting=True)))
    plan(sched, 0.0, 0)
    plan(sched, 1.1 * GROUPING_DELAY_S, 0)
    store(sched)
    return sched, agents


@WITH_AND_WITHOUT_CHANGES
def test_consolidation_leaves_a_moved_task_where_it_is(
    changes: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against leaders that each move a long-running task that has just been moved."""
    monkeypatch.setattr("sapphirelead.sched_consolidate._fits_elsewhere", lambda *_: True)
    sched, agents = consolidating_fleet()
    consolidation = Consolidation()
    moved_at = []
    at = 1.0
    for number in range(1, 4):
        for name in WORKERS:
            mine = [run for run in sched.fleet.runs.values() if run.agent == name]
            listed = [(run.ref.text(), run.attempt) for run in mine]
            agents.report(name, runs=listed, percent=100, at=at)
        consolidation.review(sched, 10**9, at)
        stopped = [run for run in sched.fleet.runs.values() if run.stop_wanted]
        for run in stopped:
            if run.ref.job_id == "a1":
                moved_at.append(at)
            agents.report(run.agent, ends=[ended(run, "stopped", number)], at=at)
        plan(sched, at, 0)
        store(sched)
        sched, agents = next_leader(sched, agents, changes)
        consolidation = Consolidation() if changes else consolidation
        at += TERM_S
    gaps = [later - earlier for earlier, later in pairwise(moved_at)]
    assert moved_at
    assert all(gap >= MIN_STAY_S for gap in gaps), moved_at


@WITH_AND_WITHOUT_CHANGES
def test_a_starving_job_runs_under_leaders_that_lead_briefly(changes: bool) -> None:
    """Guards against a starvation threshold that each leader counts from its own beginning."""
    sched = scheduler()
    agents = Agents(sched)
    at = 0.0
    agents.report(at=at)
    submit(sched, job("a1", StepSpec(cpu_millicores=20_000, fills=True)))
    started_at = None
    for _ in range(6):
        for _ in range(3):
            agents.report(at=at)
            plan(sched, at, 0)
            store(sched)
            if sched.fleet.runs and started_at is None:
                started_at = at
            at += URGENT_WAIT_S / 3
        sched, agents = next_leader(sched, agents, changes)
    assert started_at is not None
    assert started_at <= 2 * URGENT_WAIT_S


@WITH_AND_WITHOUT_CHANGES
def test_a_long_slow_run_is_noticed(changes: bool) -> None:
    """Guards against leaders that each observe a slow run from their own beginning."""
    estimate_s = 40.0
    sched = scheduler()
    agents = Agents(sched)
    step = StepSpec(cpu_millicores=1000, estimate_ms=int(estimate_s * 1000), saves=True)
    submit(sched, job("a1", step))
    at = 0.0
    for name in WORKERS:
        agents.report(name, at=at)
    plan(sched, at, 0)
    store(sched)
    (task,) = [(run.ref.text(), run.attempt) for run in sched.fleet.runs.values()]
    agent = only_run(sched).agent
    while at < 2 * MIN_OBSERVATION_SHARE * estimate_s and not only_run(sched).stop_wanted:
        for _ in range(int(TERM_S / 0.5)):
            at += 0.5
            for name in WORKERS:
                agents.report(name, runs=[task] if name == agent else [], percent=0, at=at)
            review(sched, at)
        if not only_run(sched).stop_wanted:
            sched, agents = next_leader(sched, agents, changes)
    assert only_run(sched).stop_wanted


@WITH_AND_WITHOUT_CHANGES
def test_an_expired_instance_is_noticed_by_entries_in_a_row(changes: bool) -> None:
    """Guards against entries that each observe an instance's lease from their own beginning."""
    observer = LeaseObserver(expiry_s=12.0, max_gap_s=5.0)
    row = ZoneRow({"i-1": ("inc", 7)})
    expired = []
    for second in range(36):
        if changes and second % 9 == 0:
            observer = LeaseObserver(expiry_s=12.0, max_gap_s=5.0)
        stored = ZoneRow.decode(Row("leases/z", second, row.encode()))
        expired += observer.observe(float(second), stored.instances, stored.unchanged)
        row.set_unchanged(observer.unchanged(min_age_s=2.0))
    assert expired


@WITH_AND_WITHOUT_CHANGES
def test_a_long_running_task_runs_under_leaders_that_lead_briefly(changes: bool) -> None:
    """Guards against the wait of a task beside others of its job that each leader counts anew."""
    step = StepSpec(tasks=2, cpu_millicores=1500, lasting=True)
    sched = scheduler()
    agents = Agents(sched)
    at, tick = 0.0, URGENT_WAIT_S / 5
    infos = {name: worker_info(f"w-{name}", cpu=2000) for name in ("g0", "g1")}
    agents.report("g0", infos["g0"], at=at)
    submit(sched, job("a1", step))
    plan(sched, at, 0)
    at = 2 * GROUPING_DELAY_S
    plan(sched, at, 0)
    store(sched)
    run = only_run(sched)
    agents.report("g1", infos["g1"], at=at)
    for _ in range(5):
        sched.fleet.instance("g1").track.cooldown_until = 0.0
        sched.fleet.instance("g1").track.record_failure(at)
    sched, agents = next_leader(sched, agents, changes)
    began_at = at
    while len(sched.fleet.runs) == 1 and at < began_at + 3 * URGENT_WAIT_S:
        for _ in range(4):
            at += tick
            agents.report("g0", infos["g0"], runs=[(run.ref.text(), 1)], at=at)
            agents.report("g1", infos["g1"], at=at)
            plan(sched, at, 0)
            store(sched)
        sched, agents = next_leader(sched, agents, changes)
    assert len(sched.fleet.runs) == 2
    assert at - began_at <= 2 * URGENT_WAIT_S


def test_waits_of_tasks_are_read_by_a_version_without_them() -> None:
    """Guards against a row that the version before cannot read, or that it wrote."""
    memory = LeaderMemory(waits_ms={"a.0.0": 700}, task_waits_ms={"a.0.0.1": 900})
    value = memory.to_write().value
    assert value is not None
    stored = msgspec.msgpack.decode(value["data"])
    before = msgspec.msgpack.encode(stored[:4])
    assert LeaderMemory.decode({"data": before}).waits_ms == memory.waits_ms
    assert LeaderMemory.decode({"data": before}).task_waits_ms == {}
