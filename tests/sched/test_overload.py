"""Deadlines that a leader must keep while it has more work than it can plan in time."""

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
from sapphirelead.node_leader_load import MAX_ROUND_BLOCKING_S
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
FIT_CHECK_S: Final = 0.0004
"""Processor time of one check whether a step fits on a worker."""

READ_S: Final = 0.0015
"""Processor time of reading a report."""

BOUNDS: Final = Bounds(lease_max_s=6.0, kill_grace_s=0.2)
CANCEL_S: Final = 4.0
"""Time from the acknowledgement of a cancel to the end of the job's tasks, without the stop."""
UNACKED_S: Final = 6.0
"""Time after which a cancel takes effect even if it is not acknowledged."""


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # No suspension is simulated, so the clock that includes suspensions equals the loop's clock.
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The times of a cancel, in seconds of the loop's clock."""

    sent_at: float
    acked_at: float

    @property
    def gone_by(self) -> float:
        """Deadline for the end of the job's tasks."""
        return min(self.acked_at, self.sent_at + UNACKED_S) + CANCEL_S + BOUNDS.kill_grace_s


@asynccontextmanager
async def loaded(
    monkeypatch: pytest.MonkeyPatch, fit_check_s: float = FIT_CHECK_S, read_s: float = READ_S
) -> AsyncIterator[LoadedLeader]:
    """Run a leader whose fleet runs a lasting job.

    :param fit_check_s: processor time of one check whether a step fits on a worker.
    :param read_s: processor time of reading a report.
    """
    work = simulated_work(monkeypatch)
    fits = Instance.fits

    def slow_fits(instance: Instance, step: StepSpec) -> bool:
        work(fit_check_s)
        world.placement_s += fit_check_s
        return fits(instance, step)

    monkeypatch.setattr(Instance, "fits", slow_fits)
    table = MemoryTable()
    head = await Head.take(table, (await read_head(table)).unwrap(), "e1")
    assert head is not None
    leader = Leader(BOUNDS, head, table, NoAdvice(), lambda *_: False)
    world = LoadedLeader(leader, WORKERS, work, read_s)
    leader._send = world.send
    await leader.load()
    tasks = [asyncio.create_task(leader.run()), asyncio.create_task(world.deliver_messages())]
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
    """Return the runs of a job that agents report as running."""
    runs = leader.sched.fleet.runs.values()
    return [
        (run.ref.text(), run.attempt)
        for run in runs
        if run.ref.job_id == job_id and run.phase is Phase.RUNNING
    ]


def submit_fills(leader: Leader, estimate_ms: int = 60_000) -> None:
    """Submit more filling work than fits, with a distinct image per step.

    :param estimate_ms: estimated duration; no task ends within the test, so tasks with a short
        estimate become stragglers.
    """
    assert (WAITING - 4 * WORKERS) * WORKERS * FIT_CHECK_S > LEADER_TIMEOUT_S
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
    """Cancel a job by a call that was sent at ``sent_at`` and is read now."""
    call = Call(1, CallKind.CANCEL, "q", job_id, 1)
    reply = await leader.call(call, now() + 60.0)
    assert reply.kind is ReplyKind.OK
    return Cancelled(sent_at, now())


async def test_a_cancelled_job_ends_in_time_while_planning_is_overloaded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against late stops and late replies to cancels while planning is overloaded."""
    async with loaded(monkeypatch) as world:
        runs = running(world.leader, "lasts")
        submit_fills(world.leader)
        # The caller's clock advances while the leader's loop is blocked.
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
async def test_leases_and_followers_are_served_while_planning_is_overloaded(
    monkeypatch: pytest.MonkeyPatch, estimate_ms: int
) -> None:
    """Guards against expired leases and missed heartbeats while planning is overloaded.

    With the short estimate all runs become stragglers, and each review searches for placements.
    """
    async with loaded(monkeypatch) as world:
        submit_fills(world.leader, estimate_ms)
        began, placement_s = now(), world.placement_s
        await asyncio.sleep(20.0)
        assert world.placement_s - placement_s <= (now() - began) / 2 + MAX_ROUND_BLOCKING_S
        assert not world.leader_losses
        assert not [at for agent in world.agents.values() for at in agent.late_renewals]
        held_ms = world.leader.metrics.percentiles_ms
        assert held_ms("loop_held_ms", part="plan")[99.9] <= MAX_ROUND_BLOCKING_S * 1000
        assert held_ms("loop_held_ms", part="review")[99.9] <= MAX_ROUND_BLOCKING_S * 1000


async def test_an_overloaded_leader_does_not_resend_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against resending starts because of reports that were made before they were sent."""
    async with loaded(monkeypatch, fit_check_s=0.0, read_s=0.006) as world:
        world.work(2.0)
        submit_fills(world.leader)
        await asyncio.sleep(6.0)
        starts = [count for agent in world.agents.values() for count in agent.starts.values()]
        assert len(starts) >= 5 * WORKERS
        assert set(starts) == {1}
