"""The row from which a leader's successor starts."""

import asyncio

import pytest

import sapphirelead.node_leader as node_leader
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife, make_life
from sapphirelead.node_leader import HEAD_RENEW_INTERVAL_S
from sapphirelead.ports import Commit, Txn
from sapphirelead.runner_service import MAX_REPORT_INTERVAL_S
from sapphirelead.sched_head import HEAD_KEY
from sapphirelead.sched_job import Job
from sapphirelead.sched_memory import (
    DATA_FIELD,
    MAX_ENTRIES,
    MEMORY_KEY,
    MIN_INTERVAL_S,
    LeaderMemory,
    RunNote,
    TrackNote,
)
from sapphirelead.sched_moves import MOVE_AGE_S
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import MAX_AVOIDED, TaskRef
from sapphirelead.sched_task_waits import MIN_STORED_WAIT_S
from sapphirelead.sched_track import FAILURE_THRESHOLD, MAX_COOLDOWN_S
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.successions import ReportingAgent, Succession, succession
from tests.sched.test_new_leader import load_successor
from tests.sched.test_scheduler import ended, only_run, submit
from tests.unit.fakes import MemoryTable

LARGE = StepSpec(cpu_millicores=20_000, fills=True)
REF = TaskRef("a1", 0, 0, 0)


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # No suspension is simulated, so the clock that includes suspensions equals the loop's clock.
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


def test_row_is_read_as_written() -> None:
    """Guards against a field that only one side knows."""
    memory = LeaderMemory(
        {make_life("w1", 17): TrackNote(1, 2000, 1500, True, 80, 500)},
        {"a1.0.2": 1500},
        {"a1.0.0.3/2": RunNote(4000, 3500, 1600, 3, 40)},
        {"b1.0.0.0": 700},
    )
    assert LeaderMemory.decode(memory.to_write().value) == memory


DAMAGED = {
    "no_data": {},
    "other_type": {DATA_FIELD: "x"},
    "cut": {DATA_FIELD: b"\x94\x81"},
    "negative_time": {DATA_FIELD: b"\x92\x80\x81\xa1a\xff"},
    "other_writer": {DATA_FIELD: b"\x81\xa1a\x01"},
}


@pytest.mark.parametrize("value", DAMAGED.values(), ids=DAMAGED)
def test_damaged_row_is_ignored_and_logged(
    value: dict[str, object], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a row of another writer that no leader survives."""
    events: list[str] = []
    monkeypatch.setattr(
        "sapphirelead.sched_memory.log_event", lambda _, event, **fields: events.append(event)
    )
    assert LeaderMemory.decode(value) == LeaderMemory()
    assert events == ["memory_unreadable"]


def test_each_part_is_bounded_and_keeps_what_matters_most() -> None:
    """Guards against a row that outgrows the store's limit on a large fleet."""
    sched = scheduler()
    agents = Agents(sched)
    count = MAX_ENTRIES + 20
    for number in range(count):
        agents.report(f"g{number}", at=1.0)
        sched.fleet.instance(f"g{number}").track.record_failure(number / count)
        submit(sched, job(f"a{number:03d}", LARGE))
        sched.ready_since[(f"a{number:03d}", 0, 0)] = number / count
        sched.moves.record(TaskRef(f"m{number}", 0, 0, 0), number / count)
    memory = sched.memory(10.0)
    assert len(memory.tracks) == len(memory.waits_ms) == len(memory.moved_ms) == MAX_ENTRIES
    assert f"w-g{count - 1}" in memory.tracks
    assert "a000.0.0" in memory.waits_ms
    assert f"m{count - 1}.0.0.0" in memory.moved_ms
    assert len(memory.to_write().value[DATA_FIELD]) < 40_000  # type: ignore[index]


def test_slow_runs_are_bounded_and_sound_ones_left_out() -> None:
    """Guards against a row that grows with the number of runs."""
    sched = scheduler()
    agents = Agents(sched)
    step = StepSpec(tasks=MAX_ENTRIES + 20, cpu_millicores=100, estimate_ms=10_000)
    submit(sched, job("a1", step))
    submit(sched, job("b1", StepSpec(cpu_millicores=100, estimate_ms=3_000)))
    for number in range(30):
        agents.report(f"g{number}", at=0.0)
    plan(sched, 0.0, 0)
    store(sched)
    for at in (0.5, 1.0, 1.5, 2.0):
        for name, instance in list(sched.fleet.instances.items()):
            runs = [(run.ref.text(), run.attempt) for run in instance.runs.values()]
            sound = any(task.startswith("b1") for task, _ in runs)
            agents.report(name, runs=runs, percent=int(30 * at) if sound else 0, at=at)
    memory = sched.memory(2.0)
    assert len(memory.runs) == MAX_ENTRIES
    assert not any(name.startswith("b1") for name in memory.runs)


def test_moves_of_long_ago_are_forgotten() -> None:
    """Guards against a leader whose memory grows with each move."""
    sched = scheduler()
    for number in range(1000):
        sched.moves.record(TaskRef(f"a{number}", 0, 0, 0), float(number))
    assert len(sched.moves.moved_at) <= MOVE_AGE_S + 1
    assert sched.memory(1000.0 + MOVE_AGE_S).moved_ms == {}


def failing_worker(life: WorkerLife) -> tuple[Agents, float]:
    """Return a fleet whose only worker is in its cooldown, and the time."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report(worker=worker_info(life), at=0.0)
    for _ in range(FAILURE_THRESHOLD):
        sched.fleet.instance("g1").track.record_failure(0.1)
    return agents, 0.1


@pytest.mark.parametrize("same_life", [True, False])
def test_only_the_same_life_inherits_a_cooldown(same_life: bool) -> None:
    """Guards against a new process of a worker that gets no work for its predecessor's faults."""
    agents, at = failing_worker(make_life("w1", 1))
    sched, agents = load_successor(agents.sched)
    agents.report(worker=worker_info(make_life("w1", 1 if same_life else 2)), at=at)
    assert sched.fleet.instance("g1").track.sound(at) is not same_life


def test_entries_that_a_leader_did_not_need_are_passed_on() -> None:
    """Guards against leaders that are lost before all agents have reported to them."""
    agents, at = failing_worker(make_life("w1", 1))
    submit(agents.sched, job("a1", LARGE))
    agents.sched.ready_since[REF[:3]] = at - 5 * MIN_STORED_WAIT_S
    for _ in range(3):
        sched, agents = load_successor(agents.sched)
    agents.report(worker=worker_info(make_life("w1", 1)), at=at)
    assert not sched.fleet.instance("g1").track.sound(at)
    plan(sched, at, 0)
    assert sched.ready_since[REF[:3]] == pytest.approx(at - 5 * MIN_STORED_WAIT_S, abs=1.1 * at)


def test_a_report_before_the_row_is_loaded_gets_its_record() -> None:
    """Guards against a cooldown that is lost because an agent is faster than the store."""
    before, at = failing_worker(make_life("w1", 1))
    memory = before.sched.memory(at)
    sched = scheduler()
    agents = Agents(sched)
    agents.report(worker=worker_info(make_life("w1", 1)), at=at)
    sched.inherit(memory, at)
    assert not sched.fleet.instance("g1").track.sound(at)


@pytest.mark.parametrize("replaced", [True, False])
def test_a_task_avoids_the_worker_and_not_its_agent(replaced: bool) -> None:
    """Guards against a task that avoids an agent for the faults of an earlier worker."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    submit(sched, job("a1"))
    plan(sched, 1.0, 0)
    store(sched)
    agents.report(ends=[ended(only_run(sched), "failed")], at=1.1)
    sched, agents = load_successor(sched)
    agents.report(worker=worker_info("w2" if replaced else "w-g1"), at=1.2)
    assert sched.avoided(REF) == (frozenset() if replaced else {"g1"})


def test_avoided_workers_are_bounded_and_forgotten_with_the_task() -> None:
    """Guards against rows that grow with each failed attempt."""
    found = Job.accept(job("a1"))
    task = found.occurrences[0].tasks[0][0]
    for number in range(MAX_AVOIDED + 3):
        task.add_avoided(f"g{number}", WorkerLife(f"w{number}"))
    assert [item.agent for item in task.avoid] == [f"g{n}" for n in range(3, MAX_AVOIDED + 3)]
    task.attempts = 1
    found.record_late_done(REF, 1)
    assert (task.avoid, task.moves) == ([], 0)


class RecordingTable(MemoryTable):
    """A table that records the rows of each transaction."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[list[str]] = []

    async def commit(self, txn: Txn) -> Commit:
        self.written.append([write.key for write in txn.writes])
        return await super().commit(txn)


@pytest.mark.looptime
async def test_leaders_hand_the_row_on_without_transactions_of_its_own() -> None:
    """Guards against a row that nobody writes or reads, and against one for each round."""
    table = RecordingTable()
    leaders = Succession(table, [ReportingAgent("g1"), ReportingAgent("g2")])
    reports = asyncio.create_task(leaders.send_reports())
    leader = await leaders.elect()
    await asyncio.sleep(1.0)
    track = leader.sched.fleet.instance("g1").track
    for _ in range(FAILURE_THRESHOLD):
        track.record_failure(now())
    track.cooldown_until = now() + MAX_COOLDOWN_S
    table.written.clear()
    await asyncio.sleep(4 * MIN_INTERVAL_S)
    with_memory = [keys for keys in table.written if MEMORY_KEY in keys]
    assert 1 <= len(with_memory) <= 4
    assert all(HEAD_KEY in keys for keys in with_memory)
    # The head row is renewed as often without it.
    assert len(table.written) <= 4 * MIN_INTERVAL_S / HEAD_RENEW_INTERVAL_S + 1
    successor = await leaders.replace_leader()
    await asyncio.sleep(2 * MAX_REPORT_INTERVAL_S)
    assert not successor.sched.fleet.instance("g1").track.sound(now())
    reports.cancel()
    await asyncio.gather(reports, return_exceptions=True)
    await leaders.kill_leader()


@pytest.mark.looptime
@pytest.mark.parametrize("has_clock", [True, False])
async def test_a_chain_of_leaders_does_not_stretch_a_cooldown(has_clock: bool) -> None:
    """Guards against leaders that each count a cooldown's remaining time from their reading it."""
    changes = 4
    async with succession([ReportingAgent("g1"), ReportingAgent("g2")], has_clock) as leaders:
        await asyncio.sleep(1.0)
        assert leaders.leader is not None
        track = leaders.leader.sched.fleet.instance("g1").track
        for _ in range(FAILURE_THRESHOLD):
            track.record_failure(now())
        track.cooldown_until = ends_at = now() + MAX_COOLDOWN_S
        for _ in range(changes):
            await asyncio.sleep(3 * MIN_INTERVAL_S / 2)
            await leaders.replace_leader()
        await asyncio.sleep(2 * MAX_REPORT_INTERVAL_S)
        inherited = leaders.leader.sched.fleet.instance("g1").track
        assert inherited.cooldown_until > now()
        # The row may be older than the last transaction by the interval between two writes.
        assert inherited.cooldown_until <= ends_at + changes * (MIN_INTERVAL_S + 0.1)
