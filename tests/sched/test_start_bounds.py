"""Starts by an agent that has lost its leader: none outlives the time at which its claim ends."""

import asyncio

import pytest
from result import Err, Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.model_resources import Resources
from sapphirelead.node_ports import CallFailure, WorkerView
from sapphirelead.sched_timing import CLOCK_DRIFT_SHARE, MAX_ORDER_AGE_S, Bounds
from tests.sched.agent_leader import TASK, FakeLeader, reported_worker, run_agent
from tests.sched.fakes import FakeWorker
from tests.sched.test_runner import order

pytestmark = pytest.mark.looptime

BOUNDS = {"short_lease": Bounds(lease_max_s=6.0), "long_lease": Bounds()}
OTHER = "b.0.0.0"


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


def cut_off(leader: FakeLeader) -> tuple[int, float]:
    """Lose all later reports; return the number and the send time of the last one."""
    leader.acknowledges = False
    return leader.reports[-1].report_number, leader.reported_at[-1]


async def runs_after(worker: FakeWorker, claims_end_at: float) -> list[tuple[str, int]]:
    """Return the runs that the worker has at any time after their claims have ended."""
    await asyncio.sleep(claims_end_at - now())
    found: set[tuple[str, int]] = set()
    for _ in range(200):
        worker.advance()
        found |= set(worker.runs)
        await asyncio.sleep(0.05)
    return sorted(found)


@pytest.mark.parametrize("answers_after_s", [4.6, 5.0, 5.2, 5.4])
async def test_a_start_that_waits_for_a_list_ends_with_its_claim(answers_after_s: float) -> None:
    """Guards against a second run beside one that an agent without a leader has started late."""
    bounds = BOUNDS["short_lease"]
    worker = FakeWorker(work_s=60)
    async with run_agent(worker, bounds=bounds) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order(OTHER)])
        await asyncio.sleep(1)
        assert list(worker.runs) == [(OTHER, 1)]
        number, sent_at = cut_off(leader)
        await asyncio.sleep(sent_at + MAX_ORDER_AGE_S - 0.2 - now())
        worker.not_responding = True
        await asyncio.sleep(0.15)
        leader.order(number, starts=[order()])
        await asyncio.sleep(sent_at + answers_after_s - now())
        worker.not_responding = False
        assert await runs_after(worker, sent_at + bounds.loss_s) == []


@pytest.mark.parametrize("bounds", BOUNDS.values(), ids=BOUNDS)
@pytest.mark.parametrize("fault", ["lost", "unanswered"])
async def test_a_start_behind_unanswered_ones_ends_with_its_claim(
    bounds: Bounds, fault: str
) -> None:
    """Guards against a second run beside one whose start waited for other calls of its agent."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker, bounds=bounds) as leader:
        await asyncio.sleep(1)
        worker.faults = [fault] * 1000
        number, sent_at = cut_off(leader)
        starts = [order(f"c.0.0.{item}", resources=Resources(10, 10)) for item in range(80)]
        leader.order(number, starts=[*starts, order()])
        await asyncio.sleep(sent_at + bounds.lease_s - 0.7 - now())
        worker.faults = []
        assert await runs_after(worker, sent_at + bounds.loss_s) == []


async def test_a_start_is_not_refused_while_the_leader_renews_the_lease() -> None:
    """Guards against starts that are given up although their claims go on."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker, bounds=BOUNDS["short_lease"]) as leader:
        worker.faults = ["unanswered"] * 100
        starts = [order(f"c.0.0.{item}", resources=Resources(10, 10)) for item in range(40)]
        leader.order(leader.reports[-1].report_number, starts=[*starts, order()])
        await asyncio.sleep(6.2)
        assert (TASK, 1) in worker.runs


class SlowlyEndingWorker(FakeWorker):
    """A worker that takes a while to end the runs whose lease has expired.

    :ivar lapse_s: how long that takes.
    """

    def __init__(self, lapse_s: float) -> None:
        super().__init__(work_s=60)
        self.lapse_s = lapse_s

    def advance(self) -> None:
        """End the runs that are done, or whose lease expired the time of a lapse ago."""
        lease_ms = self.lease_ms
        if lease_ms:
            self.lease_ms = lease_ms + int(self.lapse_s * 1000)
        super().advance()
        self.lease_ms = lease_ms


@pytest.mark.parametrize("lapse_s", [0.0, 0.4, Bounds().kill_grace_s])
@pytest.mark.parametrize("bounds", BOUNDS.values(), ids=BOUNDS)
async def test_a_run_whose_lease_expires_ends_with_its_claim(
    bounds: Bounds, lapse_s: float
) -> None:
    """Guards against a second run beside one that its worker is still ending."""
    worker = SlowlyEndingWorker(lapse_s)
    async with run_agent(worker, bounds=bounds) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(1)
        _, sent_at = cut_off(leader)
        assert list(worker.runs) == [(TASK, 1)]
        assert await runs_after(worker, sent_at + bounds.loss_s) == []


@pytest.mark.parametrize("kill_grace_s", [0.2, 2.0, 8.0])
async def test_a_run_ends_with_its_claim_whatever_time_stops_take(kill_grace_s: float) -> None:
    """Guards against the same, and against leases of no use, where stops take long."""
    bounds = Bounds(lease_max_s=6.0, kill_grace_s=kill_grace_s)
    assert bounds.lease_s >= bounds.lease_max_s / 2
    worker = SlowlyEndingWorker(kill_grace_s)
    async with run_agent(worker, bounds=bounds) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(1)
        _, sent_at = cut_off(leader)
        assert list(worker.runs) == [(TASK, 1)]
        assert await runs_after(worker, sent_at + bounds.loss_s) == []


class MuteWorker(SlowlyEndingWorker):
    """A worker with a slow clock that carries out list calls unanswered once ``mute`` is set."""

    mute = False

    @property
    def clock_ms(self) -> int:
        """The worker's clock in milliseconds, as slow as clocks may be."""
        return int(now() * (1 - CLOCK_DRIFT_SHARE) * 1000) + 500_000

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        if not self.mute:
            return await super().hold(fencing_token, stored_through, lease_ms, wait_ms)
        self.lease_ms = max(self.lease_ms, lease_ms)
        await asyncio.sleep(0.1)
        return Err(CallFailure.NO_ANSWER)


async def test_a_worker_that_is_reported_gone_has_ended_its_runs() -> None:
    """Guards against the same, where the agent goes on and hears nothing of its worker."""
    bounds = Bounds()
    worker = MuteWorker(bounds.kill_grace_s)
    async with run_agent(worker, bounds=bounds) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(12)
        assert list(worker.runs) == [(TASK, 1)]
        worker.mute = True
        while reported_worker(leader):
            await asyncio.sleep(0.01)
        worker.advance()
        assert worker.runs == {}
