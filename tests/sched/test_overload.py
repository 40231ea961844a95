"""What a leader must do in time although more work waits than it can plan.

The load that this stands for: five hundred filling steps of different images wait, and looking for
their places takes an entry with a third of a core longer than any of its callers waits.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Final

import pytest

import sapphirelead.node_leader as node_leader
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now
from sapphirelead.node_leader import Leader
from sapphirelead.node_leader_load import HELD_S
from sapphirelead.node_messages import Call, CallKind, ReplyKind
from sapphirelead.sched_fleet import Instance, Phase
from sapphirelead.sched_head import Head, read_head
from sapphirelead.sched_job import JobState
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_timing import LEADER_TIMEOUT_S, Bounds
from tests.sched.fakes import NoAdvice, job
from tests.sched.loaded import LoadedLeader, simulated_work
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime

WORKERS: Final = 53
WAITING: Final = 500
LOOK_S: Final = 0.0004
"""Processor time of one look at one worker for one step."""

READ_S: Final = 0.0015
"""Processor time of reading a report."""

BOUNDS: Final = Bounds(lease_max_s=6.0, kill_grace_s=0.2)
CANCEL_S: Final = 4.0
"""A cancelled job's tasks are gone so long after the acknowledgement, plus the time of a stop."""
UNACKED_S: Final = 6.0
"""A cancel that is not acknowledged counts from so long after it was sent."""


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # Nothing is suspended here, so the clock that counts suspensions is the loop's.
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


@dataclass(frozen=True, slots=True)
class Cancelled:
    """How a cancel went; seconds of the loop's clock."""

    sent_at: float
    acked_at: float

    @property
    def gone_by(self) -> float:
        """When the job's tasks must be gone."""
        return min(self.acked_at, self.sent_at + UNACKED_S) + CANCEL_S + BOUNDS.kill_grace_s


@asynccontextmanager
async def loaded(
    monkeypatch: pytest.MonkeyPatch, look_s: float = LOOK_S, read_s: float = READ_S
) -> AsyncIterator[LoadedLeader]:
    """Lead a fleet on which a lasting job runs.

    :param look_s: processor time of one look at one worker for one step.
    :param read_s: processor time of reading a report.
    """
    work = simulated_work(monkeypatch)
    fits = Instance.fits

    def slow_fits(instance: Instance, step: StepSpec) -> bool:
        work(look_s)
        world.looked_s += look_s
        return fits(instance, step)

    monkeypatch.setattr(Instance, "fits", slow_fits)
    table = MemoryTable()
    head = await Head.take(table, (await read_head(table)).unwrap(), "e1")
    assert head is not None
    leader = Leader(BOUNDS, head, table, NoAdvice(), lambda *_: False)
    world = LoadedLeader(leader, WORKERS, work, read_s)
    leader._send = world.send
    await leader.load()
    tasks = [asyncio.create_task(leader.run()), asyncio.create_task(world.arrive())]
    try:
        lasting = StepSpec(tasks=WORKERS, cpu_millicores=8000, lasting=True, per_worker=1)
        leader.sched.submit(job("lasts", lasting), lambda *_: None)
        await asyncio.sleep(2.0)
        assert len(running(leader, "lasts")) == WORKERS
        yield world
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def running(leader: Leader, job_id: str) -> list[tuple[str, int]]:
    """Return the runs of a job that an agent has listed."""
    runs = leader.sched.fleet.runs.values()
    return [
        (run.ref.text(), run.attempt)
        for run in runs
        if run.ref.job_id == job_id and run.phase is Phase.RUNNING
    ]


def submit_fills(leader: Leader, estimate_ms: int = 60_000) -> None:
    """Submit more filling work than there is room for, of images that are all looked at.

    :param estimate_ms: no task ends within the test, so that those with a short one crawl.
    """
    assert (WAITING - 4 * WORKERS) * WORKERS * LOOK_S > LEADER_TIMEOUT_S
    for number in range(WAITING):
        step = StepSpec(
            cpu_millicores=4000,
            memory_mb=16_000,
            estimate_ms=estimate_ms,
            image=f"i{number}",
            fills=True,
        )
        leader.sched.submit(job(f"f{number}", step), lambda *_: None)


async def cancel(leader: Leader, job_id: str, sent_at: float) -> Cancelled:
    """Cancel a job by a call that was sent at ``sent_at`` and lay unread until now."""
    call = Call(1, CallKind.CANCEL, "q", job_id, 1)
    reply = await leader.call(call, now() + 60.0)
    assert reply.kind is ReplyKind.OK
    return Cancelled(sent_at, now())


async def test_a_cancelled_job_is_gone_in_time_while_more_waits_than_can_be_planned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Work runs on for seconds after its job was cancelled, and its caller gets no answer."""
    async with loaded(monkeypatch) as world:
        runs = running(world.leader, "lasts")
        submit_fills(world.leader)
        # The caller's clock goes on while the leader's loop is held.
        sent_at = now() + 0.1
        await asyncio.sleep(0.1)
        cancelled = await cancel(world.leader, "lasts", sent_at)
        assert cancelled.acked_at <= sent_at + UNACKED_S
        await asyncio.sleep(UNACKED_S + CANCEL_S)
        assert world.leader.sched.state("lasts") is JobState.CANCELLED
        ended_at = {}
        stored_at = {}
        for agent in world.agents.values():
            ended_at.update(agent.ended_at)
            stored_at.update(agent.stored_at)
        assert ended_at.keys() >= set(runs)
        assert max(ended_at[run] for run in runs) <= cancelled.gone_by
        assert stored_at.keys() >= set(runs), "the workers can forget the runs"


@pytest.mark.parametrize("estimate_ms", [60_000, 4_000])
async def test_leases_and_followers_are_served_while_more_waits_than_can_be_planned(
    monkeypatch: pytest.MonkeyPatch, estimate_ms: int
) -> None:
    """Work is lost because its agent's lease ran out, and followers refuse their callers.

    With the short estimate all that runs crawls, and each review looks for other places.
    """
    async with loaded(monkeypatch) as world:
        submit_fills(world.leader, estimate_ms)
        began, looked_s = now(), world.looked_s
        await asyncio.sleep(20.0)
        assert world.looked_s - looked_s <= (now() - began) / 2 + HELD_S
        assert not world.silences
        assert not [at for agent in world.agents.values() for at in agent.lapses]
        held_ms = world.leader.metrics.percentiles_ms
        assert held_ms("loop_held_ms", part="plan")[99.9] <= HELD_S * 1000
        assert held_ms("loop_held_ms", part="review")[99.9] <= HELD_S * 1000


async def test_an_agent_is_not_sent_its_starts_again_because_its_leader_is_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader that is behind with its reports takes each start that they lack for lost.

    The reports were made before the starts were sent.  In an overload it sent a good part of its
    starts twice, which took the time to read the reports.
    """
    async with loaded(monkeypatch, look_s=0.0, read_s=0.006) as world:
        world.work(2.0)
        submit_fills(world.leader)
        await asyncio.sleep(6.0)
        starts = [count for agent in world.agents.values() for count in agent.starts.values()]
        assert len(starts) >= 5 * WORKERS
        assert set(starts) == {1}
