"""Bounds across leaders that lead briefly: real leaders and elections on one table."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import msgspec
import pytest

import sapphirelead.node_leader as node_leader
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now
from sapphirelead.node_leader import Leader
from sapphirelead.node_messages import AgentReport, RunEnded
from sapphirelead.sched_eligibility import URGENT_WAIT_S
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_stragglers import MIN_OBSERVATION_SHARE
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_track import FAILURE_THRESHOLD, MAX_COOLDOWN_S
from tests.sched.fakes import job
from tests.sched.successions import ReportingAgent, Succession, succession

pytestmark = [pytest.mark.looptime, pytest.mark.timeout(60)]

TERMS_S: Final = (0.3, 0.35, 0.4, 0.45, 0.5, 0.6, 0.7, 0.8, 1.0, 1.3, 1.5, 2.0)
FIRST_TERMS_S: Final = (0.07, 0.21)
"""Lengths of the term in which a job is handed in, so that it falls between two writes of a row."""

MAX_TERMS: Final = 40

LARGE: Final = StepSpec(cpu_millicores=20_000, fills=True)
"""Finds no regular room: its CPU is not spare on any worker."""

REF: Final = TaskRef("a1", 0, 0, 0)

with_all_successions = pytest.mark.parametrize("has_clock", [True, False])
with_and_without_handover = pytest.mark.parametrize("hands_over", [True, False])


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # No suspension is simulated, so the clock that includes suspensions equals the loop's clock.
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


class BriefLeaders:
    """Leaders that each end after a given time.

    :ivar hands_over: whether they end in order or are killed.
    """

    def __init__(self, leaders: Succession, hands_over: bool) -> None:
        self.leaders = leaders
        self.hands_over = hands_over
        self._terms: list[tuple[float, float]] = []

    async def lead(self, term_s: float) -> None:
        """Let the present leader lead for ``term_s`` and replace it."""
        self._terms.append((now(), term_s))
        await asyncio.sleep(term_s)
        if self.hands_over:
            await self.leader.release()
        await self.leaders.kill_leader()
        leader = await self.leaders.elect()
        for agent in filter(lambda agent: agent.connected, self.leaders.agents.values()):
            # Agents report to a leader as soon as it announces itself.
            leader.on_report(agent.report())

    def led_s_at(self, at: float) -> float:
        """Return the time led up to ``at``."""
        return sum(min(term_s, max(0.0, at - began_at)) for began_at, term_s in self._terms)

    def __len__(self) -> int:
        """Return the number of whole terms."""
        return len(self._terms)

    @property
    def leader(self) -> Leader:
        """The present leader."""
        assert self.leaders.leader is not None
        return self.leaders.leader

    def submit(self, spec: JobSpec) -> None:
        """Hand a job in to the present leader."""
        self.leaders.submit(spec)


def put_in_cooldown(leader: Leader, agent: str) -> None:
    """Let the worker of ``agent`` fail until its longest cooldown begins."""
    instance = leader.sched.fleet.instance(agent)
    with leader.sched.noticing_cooldown(instance):
        for _ in range(FAILURE_THRESHOLD):
            instance.track.record_failure(now())
        instance.track.cooldown_until = now() + MAX_COOLDOWN_S
    leader.wake()


@asynccontextmanager
async def brief_leaders(
    agents: list[ReportingAgent], has_clock: bool, hands_over: bool
) -> AsyncIterator[BriefLeaders]:
    """Run a first leader, which has heard all agents."""
    async with succession(agents, has_clock) as leaders:
        await asyncio.sleep(1.0)
        yield BriefLeaders(leaders, hands_over)


@with_all_successions
@with_and_without_handover
@pytest.mark.parametrize("first_term_s", FIRST_TERMS_S)
@pytest.mark.parametrize("term_s", TERMS_S)
async def test_a_starving_job_starts_under_leaders_that_lead_briefly(
    term_s: float, first_term_s: float, hands_over: bool, has_clock: bool
) -> None:
    """Guards against waits of which each change of leader loses a part, or all."""
    agent = ReportingAgent("g1")
    async with brief_leaders([agent], has_clock, hands_over) as terms:
        terms.submit(job("a1", LARGE))
        await terms.lead(first_term_s)
        while not agent.runs and len(terms) < MAX_TERMS:
            await terms.lead(term_s)
        assert agent.runs
        (started_at,) = agent.runs.values()
        assert terms.led_s_at(started_at) <= 2 * URGENT_WAIT_S


@pytest.mark.parametrize("seed", range(30))
async def test_a_starving_job_starts_under_leaders_that_end_at_any_moment(seed: int) -> None:
    """Guards against waits that are lost where a leader ends between two writes."""
    rng = random.Random(seed)
    agent = ReportingAgent("g1")
    async with brief_leaders([agent], rng.random() < 0.5, hands_over=False) as terms:
        terms.submit(job("a1", LARGE))
        while not agent.runs and len(terms) < MAX_TERMS:
            terms.hands_over = rng.random() < 0.5
            await terms.lead(rng.uniform(0.15, 1.0))
        (started_at,) = agent.runs.values()
        assert terms.led_s_at(started_at) <= 2 * URGENT_WAIT_S


@with_and_without_handover
@pytest.mark.parametrize("term_s", TERMS_S)
async def test_a_long_running_task_starts_under_leaders_that_lead_briefly(
    term_s: float, hands_over: bool
) -> None:
    """Guards against the wait of a task beside others of its job that is lost with each leader."""
    runs_it, unsound = ReportingAgent("g1"), ReportingAgent("g2")
    async with brief_leaders([runs_it, unsound], True, hands_over) as terms:
        put_in_cooldown(terms.leader, "g2")
        terms.submit(job("a1", StepSpec(tasks=2, cpu_millicores=5000, lasting=True)))
        while not unsound.runs and len(terms) < MAX_TERMS:
            await terms.lead(term_s)
        (started_at,) = unsound.runs.values()
        assert terms.led_s_at(started_at) <= 2 * URGENT_WAIT_S


@with_and_without_handover
@pytest.mark.parametrize("term_s", [0.3, 0.41, 0.6, 0.77, 1.3])
async def test_a_cooldown_outlives_the_leader_that_began_it(
    term_s: float, hands_over: bool
) -> None:
    """Guards against a worker that gets work because its cooldown began after the last write."""
    agent = ReportingAgent("g1")
    async with brief_leaders([agent, ReportingAgent("g2")], True, hands_over) as terms:
        await asyncio.sleep(term_s - 0.1)
        put_in_cooldown(terms.leader, "g1")
        ends_at = now() + MAX_COOLDOWN_S
        await terms.lead(0.1)
        for _ in range(6):
            track = terms.leader.sched.fleet.instance("g1").track
            assert not track.sound(now())
            assert track.cooldown_until == pytest.approx(ends_at, abs=0.1)
            await terms.lead(term_s)


@with_and_without_handover
@pytest.mark.parametrize("term_s", [0.3, 0.41, 0.6, 0.77, 1.3])
async def test_a_move_outlives_the_leader_that_decided_it(term_s: float, hands_over: bool) -> None:
    """Guards against leaders that each move a long-running task that has just been moved."""
    async with brief_leaders([ReportingAgent("g1")], True, hands_over) as terms:
        await asyncio.sleep(term_s - 0.1)
        terms.leader.sched.record_move(REF, now())
        moved_at = now()
        terms.leader.wake()
        await terms.lead(0.1)
        for _ in range(6):
            assert terms.leader.sched.moves.moved_at[REF] == pytest.approx(moved_at, abs=0.1)
            await terms.lead(term_s)


class StallingAgent(ReportingAgent):
    """An agent whose runs make no progress."""

    def report(self, leaving: bool = False) -> AgentReport:
        report = super().report(leaving)
        stalled = [msgspec.structs.replace(status, percent=0) for status in report.runs]
        return msgspec.structs.replace(report, runs=stalled)


def moves_of(leader: Leader, ref: TaskRef) -> int:
    """Return how often a task has been moved because it was slow."""
    task = leader.sched.task(ref)
    assert task is not None
    return task.moves


SLOW: Final = StepSpec(cpu_millicores=1000, estimate_ms=4000, saves=True)


async def test_a_slow_task_counts_its_move_under_the_next_leader() -> None:
    """Guards against a move that is forgotten if the leader ends before the run has stopped."""
    agents: list[ReportingAgent] = [StallingAgent("g1"), StallingAgent("g2")]
    async with brief_leaders(agents, True, hands_over=False) as terms:
        terms.submit(job("a1", SLOW))
        while not any(run.stop_wanted for run in terms.leader.sched.fleet.runs.values()):
            await asyncio.sleep(0.01)
        await terms.lead(0.05)
        assert moves_of(terms.leader, REF) == 1
        assert terms.leader.sched.fleet.runs


@with_and_without_handover
@pytest.mark.parametrize("term_s", [1.3, 1.5, 2.0, 3.0])
async def test_a_slow_run_is_noticed_by_leaders_that_lead_briefly(
    term_s: float, hands_over: bool
) -> None:
    """Guards against observations of a run of which each change of leader loses a part."""
    estimate_s = 40.0
    step = StepSpec(cpu_millicores=1000, estimate_ms=int(1000 * estimate_s), saves=True)
    agents: list[ReportingAgent] = [StallingAgent("g1"), StallingAgent("g2")]
    async with brief_leaders(agents, True, hands_over) as terms:
        terms.submit(job("a1", step))
        while not moves_of(terms.leader, REF):
            assert terms.led_s_at(now()) <= 2 * MIN_OBSERVATION_SHARE * estimate_s
            await terms.lead(term_s)


class FailingAgent(ReportingAgent):
    """An agent on whose worker every run fails at once."""

    def report(self, leaving: bool = False) -> AgentReport:
        report = super().report(leaving)
        ends = [RunEnded(0, status.task, status.attempt, "failed", "") for status in report.runs]
        return msgspec.structs.replace(report, runs=[], ends=ends)


@with_and_without_handover
@pytest.mark.parametrize("term_s", TERMS_S)
async def test_a_task_is_not_used_up_by_one_bad_worker_under_brief_leaders(
    term_s: float, hands_over: bool
) -> None:
    """Guards against leaders that each try a task on the worker where it failed before."""
    bad, good = FailingAgent("g1"), ReportingAgent("g2")
    policy = QueuePolicy("svc", max_failures=3)
    async with brief_leaders([bad, good], True, hands_over) as terms:
        terms.submit(job("a1", StepSpec(cpu_millicores=1000), policy=policy))
        while not good.runs and len(terms) < MAX_TERMS:
            await terms.lead(term_s)
        assert len(bad.runs) < policy.max_failures
        assert good.runs
