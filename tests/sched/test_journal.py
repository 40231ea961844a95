"""Tests of the journal: changes, snapshots, compaction and loading by a successor."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphirelead.ports import Row
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_journal import COMPACTION_THRESHOLD_ROWS, Journal
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import Agents, job, scheduler, worker_info
from tests.sched.test_scheduler import ended, load_jobs
from tests.unit.fakes import MemoryTable


def store_batch(table: MemoryTable, sched: Scheduler, journal: Journal) -> None:
    """Store a batch and run its effects."""
    batch = sched.take_batch(0)
    for write in journal.writes(batch, sched.jobs):
        table.data.pop(write.key, None)
        if write.value is not None:
            table.data[write.key] = Row(write.key, 1, write.value)
    for effect in batch.effects:
        effect()


def run_random_jobs(seed: int, rounds: int) -> None:
    """Submit, run, end and cancel random jobs; a successor must load the same jobs."""
    rng = random.Random(seed)
    sched, table, journal = scheduler(), MemoryTable(), Journal()
    agents = Agents(sched)
    steps = (
        StepSpec(tasks=3, cpu_millicores=1000, saves=True, copies=True),
        StepSpec(tasks=2, cpu_millicores=1000, after=(0,)),
        StepSpec(tasks=2, cpu_millicores=500, gang=True),
    )
    for number in range(rounds):
        at = number * 0.1
        agents.report("g1", worker_info("w1", cpu=16_000), at=at)
        if rng.random() < 0.3:
            sched.submit(job(f"j{number}", *steps), lambda *_: None)
        plan(sched, at, 0)
        store_batch(table, sched, journal)
        for run in list(sched.fleet.runs.values()):
            if rng.random() < 0.3:
                kind = rng.choice(["done", "done", "failed", "stopped", "lapsed"])
                agents.report(
                    "g1", worker_info("w1", cpu=16_000), ends=[ended(run, kind, saved="s")], at=at
                )
        if rng.random() < 0.1 and sched.jobs:
            sched.cancel(rng.choice(list(sched.jobs)), lambda *_: None)
        store_batch(table, sched, journal)
        if number % 7 == 0:
            _, jobs = load_jobs(table)
            assert jobs == sched.jobs


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 2**32))
def test_successor_loads_the_same_jobs(seed: int) -> None:
    run_random_jobs(seed, 40)


def test_compaction_preserves_all_changes() -> None:
    run_random_jobs(1, COMPACTION_THRESHOLD_ROWS)


def test_compaction_bounds_the_journal_length() -> None:
    sched, table, journal = scheduler(), MemoryTable(), Journal()
    agents = Agents(sched)
    agents.report(at=0.0)
    for number in range(6):
        sched.submit(job(f"j{number}", StepSpec(cpu_millicores=100, lasting=True)), lambda *_: None)
    plan(sched, 0.0, 0)
    for number in range(3 * COMPACTION_THRESHOLD_ROWS):
        at = 1.0 + number * 0.01
        plan(sched, at, 0)
        store_batch(table, sched, journal)
        run = next(iter(sched.fleet.runs.values()))
        agents.report(ends=[ended(run, "done", number)], at=at)
    assert journal.length <= COMPACTION_THRESHOLD_ROWS + 20
    assert sum(key.startswith("log/") for key in table.data) == journal.length
    store_batch(table, sched, journal)
    assert load_jobs(table)[1] == sched.jobs
