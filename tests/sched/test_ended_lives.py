"""What an agent reports about ended lives of its worker, and what the leader makes of it."""

import asyncio

import msgspec
import pytest

import sapphirelead.runner_ended as runner_ended
import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.blame.counts import CrashEvidence
from sapphirelead.blame.evidence import crash_evidence
from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import EndedLife, RunEnded, RunPhase, RunStatus
from sapphirelead.node_report_merge import merge_reports
from sapphirelead.runner_ended import (
    DESCRIPTION_S,
    MAX_DESCRIBED_RUNS,
    MAX_LIVES,
    MAX_OUTCOMES,
    EndedLives,
    describe_life,
)
from sapphirelead.runner_registry import RunnerRun, RunRegistry
from sapphirelead.sched_job import JobState
from tests.sched.agent_leader import FakeLeader, run_agent
from tests.sched.fakes import FakeWorker, store, worker_info
from tests.sched.test_crash_counts import crashes, started
from tests.sched.test_report_merge import report
from tests.sched.test_runner import LOST_AFTER_S, order

W1 = WorkerLife("w1")
NAME = ("a1.0.0.0", 1)


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


def ends_of(leader: FakeLeader, task: str) -> list[str]:
    """Return how a task ended by the agent's latest full report."""
    full = next(item for item in reversed(leader.reports) if item.full)
    return [end.kind for end in full.ends if end.task == task]


@pytest.mark.looptime
async def test_outcome_of_a_crashed_worker_is_reported_until_it_is_stored() -> None:
    """Guards against finished work that is lost with its worker and done again."""
    worker = FakeWorker(work_s=0.3)
    async with run_agent(worker) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(1.0)
        worker.refuses = True
        await asyncio.sleep(LOST_AFTER_S)
        assert leader.reports[-1].ended_workers == (W1,)
        assert ends_of(leader, "a.0.0.0") == ["done"]
        leader.order(leader.reports[-1].report_number, stored=[("a.0.0.0", 1)])
        await asyncio.sleep(2.0)
        assert ends_of(leader, "a.0.0.0") == []


CALLS = {
    "confirmed": ([], ["a.0.0.0"], []),
    "listed_without_an_answer": (["lost"] * 3, ["a.0.0.0"], []),
    "without_an_answer": (["unanswered"] * 3, [], ["a.0.0.0"]),
}


@pytest.mark.looptime
@pytest.mark.parametrize(("faults", "begun", "doubtful"), CALLS.values(), ids=CALLS)
async def test_an_ended_life_is_described_by_its_start_calls(
    faults: list[str], begun: list[str], doubtful: list[str]
) -> None:
    """Guards against starts that count as carried out although no call reached the worker."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker) as leader:
        worker.faults = faults
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(0.01)
        worker.refuses = True
        leader.order(leader.reports[-1].report_number, starts=[order("b.0.0.0")])
        await asyncio.sleep(LOST_AFTER_S)
        (life,) = leader.reports[-1].ended_lives
        assert [task for task, _ in life.started] == begun
        assert [task for task, _ in life.doubtful] == doubtful


def registry_of(worker: str, runs: int = 0, ends: int = 0) -> RunRegistry:
    """Return the registry of a life with confirmed runs and with outcomes."""
    registry = RunRegistry(worker_info(worker))
    for number in range(runs):
        run = RunnerRun(f"{worker}.0.0.{number}", 1, RunPhase.RUNNING, confirmed=True)
        registry.runs[run.name] = run
    for number in range(ends):
        registry.refuse((f"{worker}.0.1.{number}", 1), "no_room")
    return registry


def test_a_life_with_too_many_runs_is_not_described() -> None:
    """Guards against a partial description, by which the runs left out had never started."""
    described = describe_life(registry_of("w", MAX_DESCRIBED_RUNS))
    assert described is not None
    assert len(described.started) == MAX_DESCRIBED_RUNS
    assert describe_life(registry_of("w", MAX_DESCRIBED_RUNS + 1)) is None


def test_kept_lives_and_outcomes_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an agent whose memory and reports grow with each crash of its worker."""
    monkeypatch.setattr(runner_ended, "now", lambda: 0.0)
    ended = EndedLives()
    for number in range(MAX_LIVES + 4):
        ended.add(registry_of(f"w{number}", runs=1, ends=MAX_OUTCOMES // 8))
    assert ended.lives == [f"w{number}" for number in range(4, MAX_LIVES + 4)]
    assert [item.worker for item in ended.descriptions()] == ended.lives
    assert len(ended._outcomes) == MAX_OUTCOMES
    monkeypatch.setattr(runner_ended, "now", lambda: DESCRIPTION_S + 0.1)
    assert ended.descriptions() == []


def test_merged_reports_keep_the_descriptions_of_both() -> None:
    """Guards against a description that is lost while reports queue at a busy leader."""
    first, second = EndedLife(W1, [NAME], []), EndedLife(WorkerLife("w2"), [], [NAME])
    older = msgspec.structs.replace(report(1, ended_workers=(W1,)), ended_lives=(first,))
    newer = msgspec.structs.replace(report(2), ended_lives=(second,))
    found = merge_reports(older, newer)
    assert found is not None
    assert found.ended_lives == (first, second)


def test_outcome_that_comes_with_the_end_of_its_worker_counts() -> None:
    """Guards against a run that ended well and counts as lost in a crash."""
    sched, agent, run = started()
    agent.run_until(run, 2.0)
    done = RunEnded(1, *NAME, "done", "")
    agent.report(3.0, worker="w2", ended_workers=(W1,), ends=[done])
    store(sched)
    assert sched.state("a1") is JobState.COMPLETED


KNOWLEDGE = {
    "not_described": ((), CrashEvidence.CRASH_ALONE),
    "never_started": ((EndedLife(W1, [], []),), CrashEvidence.NONE),
    "doubtful": ((EndedLife(W1, [], [NAME]),), CrashEvidence.CRASH),
    "confirmed": ((EndedLife(W1, [NAME], []),), CrashEvidence.CRASH_ALONE),
}


@pytest.mark.parametrize(("lives", "evidence"), KNOWLEDGE.values(), ids=KNOWLEDGE)
def test_a_sent_start_counts_by_what_its_agent_knows(
    lives: tuple[EndedLife, ...], evidence: CrashEvidence
) -> None:
    """Guards against blame for a start that nobody carried out, and against uncounted crashes."""
    sched, agent, run = started()
    assert crash_evidence([run], (), lives) == [(run, evidence)]
    agent.report(1.5, worker="w2", ended_lives=lives)
    assert crashes(sched) == evidence.counts


def test_a_listed_run_counts_whatever_its_agent_knows() -> None:
    """Guards against an agent that has been restarted and knows less than the leader."""
    sched, agent, run = started()
    agent.report(1.3, runs=[RunStatus(*NAME, RunPhase.RUNNING, 10)])
    lives = (EndedLife(W1, [], []),)
    assert crash_evidence([run], (), lives) == [(run, CrashEvidence.CRASH_ALONE)]
    assert crashes(sched) == 0


def test_a_start_that_was_never_carried_out_excuses_nobody() -> None:
    """Guards against a poison task that shares the blame with starts that never arrived."""
    sched, agent, run = started()
    other = type(run)(run.ref._replace(number=1), 1, run.agent, run.worker, run.step, run.phase)
    lives = (EndedLife(W1, [NAME], []),)
    found = dict(crash_evidence([run, other], (), lives))
    assert found == {run: CrashEvidence.CRASH_ALONE, other: CrashEvidence.NONE}
    assert agent.sched is sched
