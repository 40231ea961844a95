"""Reports of an agent, and its handling of a slow or unresponsive leader or worker."""

import asyncio
from itertools import pairwise
from typing import Any, cast

import pytest
from result import Err, Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife, make_life
from sapphirelead.node_leader import MIN_ACK_INTERVAL_S
from sapphirelead.node_messages import (
    LeaderAnnouncement,
)
from sapphirelead.ports import Row
from sapphirelead.runner_lease import UNRESPONSIVE_TIMEOUT_S, RunnerLease
from sapphirelead.runner_life import LIST_WAIT_MS, MAX_REFUSED_CONNECTIONS, RETRY_DELAY_S
from sapphirelead.runner_service import Runner
from sapphirelead.sched_timing import (
    LOSS_MARGIN_S,
    MAX_ORDER_AGE_S,
    MAX_WORKER_LEASE_S,
    Bounds,
)
from tests.sched.agent_leader import TASK, FakeLeader, reported_worker, run_agent
from tests.sched.fakes import FakeWorker, worker_info
from tests.sched.test_runner import LOST_AFTER_S, kinds, life_of, order
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime

LIST_TIMEOUT_S = 0.6
"""Time after which the fake worker's missing answer fails a call, and a pause before the next."""


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class SlowTable(MemoryTable):
    """A store whose scans fail after a second."""

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        await asyncio.sleep(1.0)
        return Err(Failure(Code.STORE_UNAVAILABLE, "no answer"))


def test_a_late_acknowledgement_extends_the_lease() -> None:
    """Guards against lapsed runs and refused starts while reports are frequent."""
    lease = RunnerLease(9.5, 0.0)
    count = int(MAX_ORDER_AGE_S / runner_service.MIN_REPORT_INTERVAL_S)
    for report_number in range(1, count + 1):
        lease.sent(report_number, report_number * runner_service.MIN_REPORT_INTERVAL_S)
    at = count * runner_service.MIN_REPORT_INTERVAL_S
    assert lease.allows_starts(1, at)
    lease.acknowledged(1)
    assert lease.until == pytest.approx(runner_service.MIN_REPORT_INTERVAL_S + 9.5)


def test_send_times_of_reports_are_dropped_after_a_lease() -> None:
    """Guards against unbounded growth of the recorded send times."""
    lease = RunnerLease(9.5, 0.0)
    for report_number in range(1, 10_000):
        lease.sent(report_number, report_number * runner_service.MIN_REPORT_INTERVAL_S)
    assert lease.report_count <= 9.5 / runner_service.MIN_REPORT_INTERVAL_S + 2
    lease.acknowledged(1)
    assert lease.until == 0.0


async def test_reports_go_on_while_the_store_does_not_answer() -> None:
    """Guards against runs that lapse while both the leader and the store are slow."""
    async with run_agent(FakeWorker(work_s=60), SlowTable()) as leader:
        leader.acknowledges = False
        await asyncio.sleep(2 * runner_service.LEADER_TIMEOUT_S)
        await asyncio.sleep(10)
        gaps = [after - before for before, after in pairwise(leader.reported_at)]
        assert (
            max(gaps)
            <= runner_service.MAX_REPORT_INTERVAL_S + 2 * runner_service.MIN_REPORT_INTERVAL_S
        )


@pytest.mark.parametrize("announced", [True, False])
async def test_only_an_announced_exit_is_reported_as_left(announced: bool) -> None:
    """Guards against runs that count as crashed when their worker left in good order."""
    worker = FakeWorker(work_s=600)
    async with run_agent(worker) as leader:
        if announced:
            await leader.runner.worker_left(WorkerLife("w1"))
        worker.refuses = True
        await asyncio.sleep(2 if announced else LOST_AFTER_S)
        assert leader.reports[-1].ended_workers == ("w1",)
        assert leader.reports[-1].left_workers == (("w1",) if announced else ())


async def test_the_exit_of_a_worker_that_was_not_met_is_reported() -> None:
    """Guards against runs that are held for a lease beside an agent that was just restarted."""
    async with run_agent(FakeWorker(work_s=600), met=False) as leader:
        await leader.runner.worker_left(WorkerLife("w1"))
        await asyncio.sleep(0.1)
        assert leader.reports[-1].ended_workers == ("w1",)
        assert leader.reports[-1].left_workers == ("w1",)
        await leader.runner.worker_heartbeat(worker_info("w1"), "x", 9)
        await asyncio.sleep(1.0)
        assert reported_worker(leader) == ""
        await leader.runner.worker_heartbeat(worker_info("w2"), "x", 1)
        await asyncio.sleep(1.0)
        assert reported_worker(leader) == "w2"


async def test_a_worker_that_leaves_while_it_is_being_met_is_not_adopted() -> None:
    """Guards against a life that is reported both as present and as ended."""
    async with run_agent(FakeWorker(work_s=600), met=False) as leader:
        meeting = asyncio.create_task(leader.runner.worker_heartbeat(worker_info("w1"), "x", 1))
        await asyncio.sleep(0)
        await leader.runner.worker_left(WorkerLife("w1"))
        await meeting
        await asyncio.sleep(0.1)
        assert reported_worker(leader) == ""
        assert leader.reports[-1].ended_workers == ("w1",)


@pytest.mark.parametrize("draining", [True, False])
async def test_a_leave_without_a_birth_ends_a_life_only_if_it_drains(draining: bool) -> None:
    """Guards against a late notification of an earlier life that ends the runs of the next one."""
    life = make_life("w1", 5)
    worker = FakeWorker(work_s=600)
    async with run_agent(worker, life=life) as leader:
        info = worker_info(life, draining=draining, remaining_ms=2_000)
        await leader.runner.worker_heartbeat(info, "x", 2)
        await leader.runner.worker_left(WorkerLife("w1"))
        worker.refuses = True
        await asyncio.sleep(LIST_WAIT_MS / 1000 + MAX_REFUSED_CONNECTIONS * RETRY_DELAY_S + 0.1)
        assert leader.reports[-1].ended_workers == ((life,) if draining else ())


async def test_a_life_at_another_address_is_met_once_the_current_one_does_not_answer() -> None:
    """Guards against a worker that is never used because its predecessor had another address."""
    workers = {"x": FakeWorker(work_s=600), "y": FakeWorker(work_s=600)}
    async with run_agent(workers["x"]) as leader:
        leader.runner._make_worker = lambda _, address: workers[address]
        workers["x"].refuses = True
        await asyncio.sleep(1)
        await leader.runner.worker_heartbeat(worker_info("w2"), "y", 1)
        await asyncio.sleep(1)
        assert reported_worker(leader) == "w2"


async def test_a_worker_that_runs_on_after_announcing_its_exit_keeps_its_runs() -> None:
    """Guards against a second run of a task while its worker has yet to end the first."""
    worker = FakeWorker(work_s=600)
    async with run_agent(worker) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(1)
        await leader.runner.worker_left(WorkerLife("w1"))
        await asyncio.sleep(2)
        assert len(worker.runs) == 1
        assert not any(report.ended_workers for report in leader.reports)
        assert reported_worker(leader) == "w1"
        worker.refuses = True
        await asyncio.sleep(LIST_WAIT_MS / 1000 + MAX_REFUSED_CONNECTIONS * RETRY_DELAY_S + 0.1)
        assert leader.reports[-1].ended_workers == ("w1",)
        assert leader.reports[-1].left_workers == ("w1",)


async def test_an_unresponsive_worker_is_reported_gone() -> None:
    """Guards against runs of a hanging worker that stay claimed and are never restarted."""
    worker = FakeWorker(work_s=600)
    async with run_agent(worker) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(12)
        worker.not_responding = True
        silent_since = now()
        while reported_worker(leader) == "w1":
            await asyncio.sleep(0.01)
        assert worker.clock_ms > worker.lease_ms
        # One list call that was under way, and one that shows that the lease has expired.
        silent_s = UNRESPONSIVE_TIMEOUT_S + MAX_WORKER_LEASE_S + LOSS_MARGIN_S
        assert now() - silent_since <= silent_s + 2 * LIST_TIMEOUT_S
        assert leader.reports[-1].ended_workers == ("w1",)


async def test_an_order_from_before_a_worker_was_reported_gone_is_not_executed() -> None:
    """Guards against a task that runs here after its leader has started it elsewhere."""
    worker = FakeWorker(work_s=600)
    async with run_agent(worker) as leader:
        worker.not_responding = True
        while reported_worker(leader):
            before = leader.reports[-1].report_number
            await asyncio.sleep(0.01)
        worker.not_responding = False
        while not reported_worker(leader):
            await asyncio.sleep(0.01)
        leader.order(before, starts=[order()])
        await asyncio.sleep(1)
        assert worker.starts == 0
        leader.order(leader.reports[-1].report_number, starts=[order(attempt=2)])
        await asyncio.sleep(1)
        assert worker.starts == 1


async def test_an_unresponsive_worker_is_reported_gone_despite_start_orders() -> None:
    """Guards against runs of a hanging worker that stay claimed while start orders continue."""
    worker = FakeWorker(work_s=600)
    async with run_agent(worker) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(5)
        worker.not_responding = True
        silent_at = now()
        number = 0
        while reported_worker(leader) and now() - silent_at < 60:
            number += 1
            small = order(f"b{number}.0.0.0", resources=Resources(1, 1))
            leader.order(leader.reports[-1].report_number, starts=[small])
            await asyncio.sleep(1)
        assert now() - silent_at < UNRESPONSIVE_TIMEOUT_S + Bounds().loss_s + 3


async def test_a_start_for_an_unresponsive_worker_is_refused_unsent() -> None:
    """Guards against a run that starts on a worker whose runs are about to count as ended."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        await asyncio.sleep(1)
        worker.not_responding = True
        await asyncio.sleep(UNRESPONSIVE_TIMEOUT_S + 1.5)
        life.start(order())
        await asyncio.sleep(0.1)
        assert worker.starts == 0
        assert kinds(life) == {TASK: "not_started"}
        worker.not_responding = False
        await asyncio.sleep(1.5)
        life.start(order(attempt=2))
        await asyncio.sleep(0.1)
        assert list(worker.runs) == [(TASK, 2)]


async def test_a_briefly_unresponsive_worker_keeps_its_runs() -> None:
    """Guards against runs that lapse because a few calls got no answer."""
    worker = FakeWorker(work_s=600)
    async with run_agent(worker) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(5)
        worker.not_responding = True
        await asyncio.sleep(7)
        worker.not_responding = False
        await asyncio.sleep(10)
        assert list(worker.runs) == [(TASK, 1)]


async def test_runs_outlive_an_agent_that_stops_soon_after_it_has_found_its_leader() -> None:
    """Guards against runs that lapse in a restart because only their starts brought a lease."""
    worker = FakeWorker(work_s=600)
    runner = Runner("g1", Bounds(), MemoryTable(), lambda *_: worker, cast(Any, None))
    leader = FakeLeader(runner)
    leader.acknowledges = False
    runner._links = cast(Any, leader)
    runner.start()
    await runner.worker_heartbeat(worker_info("w1"), "x", 1)
    leader.order(0)
    await asyncio.sleep(0.1)
    number = leader.reports[-1].report_number
    leader.order(number, report_number=number, starts=[order()])
    await asyncio.sleep(0.2)
    await runner.stop()
    await asyncio.sleep(MAX_WORKER_LEASE_S - 1)
    worker.advance()
    assert list(worker.runs) == [(TASK, 1)]


async def test_a_report_carries_the_last_order_number_of_its_leader() -> None:
    """Guards against a leader that treats starts as lost after reading an old report late."""
    async with run_agent(FakeWorker(work_s=60)) as leader:
        leader.acknowledges = False
        leader.order(leader.reports[-1].report_number)
        await asyncio.sleep(2 * runner_service.MAX_REPORT_INTERVAL_S)
        assert leader.reports[-1].orders == leader.order_count
        leader.epoch = 2
        leader.runner._on_message("e", LeaderAnnouncement(2, "e"))
        await asyncio.sleep(2 * runner_service.MIN_REPORT_INTERVAL_S)
        assert leader.reports[-1].orders == 0


class RateLimitedLeader(FakeLeader):
    """A leader that processes reports in order, at a limited rate."""

    def __init__(self, runner: Runner, reports_per_s: float) -> None:
        super().__init__(runner)
        self.acknowledges = False
        self.spacing_s = 1 / reports_per_s
        self.taken_at: list[float] = []
        self.task = asyncio.create_task(self.take())

    async def take(self) -> None:
        """Process reports in order and acknowledge some of them."""
        answered_at = -1.0
        while True:
            await asyncio.sleep(self.spacing_s)
            if len(self.taken_at) == len(self.reports):
                continue
            report_number = self.reports[len(self.taken_at)].report_number
            self.taken_at.append(now())
            if now() - answered_at >= MIN_ACK_INTERVAL_S:
                answered_at = now()
                self.order(report_number, report_number=report_number)


@pytest.mark.parametrize("reports_per_s", [2.5, 5, 20])
async def test_frequent_changes_do_not_overload_a_slow_leader(reports_per_s: float) -> None:
    """Guards against reports that queue at the leader until its orders are stale."""
    async with run_agent(FakeWorker(work_s=600)) as idle_leader:
        runner = idle_leader.runner
        leader = RateLimitedLeader(runner, reports_per_s)
        leader.reports.append(idle_leader.reports[-1])
        leader.reported_at.append(now())
        runner._links = cast(Any, leader)
        for _ in range(2000):
            runner._wake.set()
            await asyncio.sleep(0.01)
        waited = [
            taken - sent for sent, taken in zip(leader.reported_at, leader.taken_at, strict=False)
        ]
        leader.task.cancel()
        assert max(waited) <= MAX_ORDER_AGE_S
        assert (
            len(leader.taken_at)
            >= 20 * min(reports_per_s, 1 / runner_service.MAX_REPORT_INTERVAL_S) - 2
        )


async def test_changes_are_reported_at_once_while_the_leader_keeps_up() -> None:
    """Guards against outcomes and starts that are reported late to a responsive leader."""
    async with run_agent(FakeWorker(work_s=600)) as leader:
        for _ in range(500):
            leader.runner._wake.set()
            await asyncio.sleep(0.01)
        gaps = [after - before for before, after in pairwise(leader.reported_at[5:])]
        assert max(gaps) <= 2 * runner_service.MIN_REPORT_INTERVAL_S


async def test_the_last_report_of_an_agent_announces_its_end() -> None:
    """Guards against a leader that waits for reports of an agent that knows that it ends."""
    async with run_agent(FakeWorker()) as leader:
        await asyncio.sleep(1.0)
        assert not any(report.leaving for report in leader.reports)
    assert leader.reports[-1].leaving
