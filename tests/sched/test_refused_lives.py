"""Ends of worker lives that refuse connections, answer only part of the calls, or leave."""

import asyncio

import pytest
from result import Err, Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import StopOrder
from sapphirelead.node_ports import CallFailure, WorkerView
from sapphirelead.runner_life import LIST_WAIT_MS, MAX_REFUSED_CONNECTIONS, RETRY_DELAY_S
from tests.sched.agent_leader import TASK, FakeLeader, run_agent
from tests.sched.fakes import FakeRun, FakeWorker, worker_info
from tests.sched.test_runner import order

pytestmark = pytest.mark.looptime

LASTING_RESTART_S = 9.0
"""Time after the loss of its worker within which a long-running task must run again."""

RESTART_S = 0.3
"""Allowance for the leader and the start at another worker."""


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class PartlyDeafWorker(FakeWorker):
    """A worker that every second list call does not reach, once ``loses_calls`` is set."""

    loses_calls = False
    _lost_last = False

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        self._lost_last = self.loses_calls and not self._lost_last
        if self._lost_last:
            await asyncio.sleep(0.6)
            return Err(CallFailure.NO_ANSWER)
        return await super().hold(fencing_token, stored_through, lease_ms, wait_ms)


class OnceRefusingWorker(FakeWorker):
    """A worker that refuses the next list call if ``refuses_next`` is set."""

    refuses_next = False

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        if self.refuses_next:
            self.refuses_next = False
            return Err(CallFailure.REFUSED)
        return await super().hold(fencing_token, stored_through, lease_ms, wait_ms)


class CountingWorker(FakeWorker):
    """A worker that counts stop calls, refused ones too."""

    stop_calls = 0

    async def stop(self, task: str, attempt: int, fencing_token: int) -> Result[int, CallFailure]:
        self.stop_calls += 1
        return await super().stop(task, attempt, fencing_token)


async def start_run(leader: FakeLeader, task: str = TASK) -> None:
    """Let the agent start a run, and give it time."""
    leader.order(leader.reports[-1].report_number, starts=[order(task)])
    await asyncio.sleep(0.5)


async def test_a_life_that_is_lost_soon_after_its_birth_ends_in_time() -> None:
    """Guards against a long-running task that waits longer if its worker crashes as a new one."""
    worker = FakeWorker(work_s=600)
    async with run_agent(worker) as leader:
        await asyncio.sleep(30)
        await leader.runner.worker_heartbeat(worker_info("w2"), "x", 1)
        await asyncio.sleep(0.5)
        await start_run(leader)
        assert (TASK, 1) in worker.runs
        worker.refuses = True
        lost_at = now()
        while "w2" not in leader.reports[-1].ended_workers:
            await asyncio.sleep(0.05)
        assert now() - lost_at <= LASTING_RESTART_S - RESTART_S


async def test_a_life_at_another_address_does_not_end_one_that_lost_a_call() -> None:
    """Guards against a second run of a task whose worker left one list call unanswered."""
    workers = {"x": FakeWorker(work_s=600), "y": FakeWorker(work_s=600)}
    async with run_agent(workers["x"]) as leader:
        leader.runner._make_worker = lambda _, address: workers[address]
        await start_run(leader)
        workers["x"].not_responding = True
        await asyncio.sleep(1.2)
        await leader.runner.worker_heartbeat(worker_info("w2"), "y", 1)
        workers["x"].not_responding = False
        for _ in range(40):
            await asyncio.sleep(0.05)
            workers["x"].advance()
            if (TASK, 1) in workers["x"].runs:
                assert "w1" not in leader.reports[-1].ended_workers


async def test_runs_keep_their_lease_while_every_second_list_call_is_lost() -> None:
    """Guards against runs that lapse beside a worker that answers half of the calls."""
    worker = PartlyDeafWorker(work_s=600)
    async with run_agent(worker) as leader:
        await start_run(leader)
        worker.loses_calls = True
        await asyncio.sleep(30)
        worker.advance()
        assert (TASK, 1) in worker.runs


async def test_stops_are_not_called_for_ever_on_a_life_that_counts_as_ended() -> None:
    """Guards against calls without end to a worker that is gone for good."""
    worker = CountingWorker(work_s=600)
    async with run_agent(worker) as leader:
        names = [f"a.0.0.{index}" for index in range(6)]
        for name in names:
            await start_run(leader, name)
        worker.refuses = True
        await asyncio.sleep(1)
        stops = [StopOrder(name, 1) for name in names]
        leader.order(leader.reports[-1].report_number, stops=stops)
        while "w1" not in leader.reports[-1].ended_workers:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        before = worker.stop_calls
        await asyncio.sleep(60)
        assert worker.stop_calls == before


async def test_one_refused_connection_after_an_announced_exit_ends_no_listed_run() -> None:
    """Guards against a second run of a task whose worker closes its port before its runs end."""
    worker = OnceRefusingWorker(work_s=600)
    async with run_agent(worker) as leader:
        await start_run(leader)
        await leader.runner.worker_left(WorkerLife("w1"))
        worker.refuses_next = True
        await asyncio.sleep(1)
        worker.advance()
        assert not worker.refuses_next
        assert (TASK, 1) in worker.runs
        assert not any(report.ended_workers for report in leader.reports)


async def test_a_worker_that_leaves_while_it_is_being_met_keeps_the_runs_that_it_lists() -> None:
    """Guards against a second run beside one that a new agent process has just listed."""
    worker = FakeWorker(work_s=600)
    worker.runs[TASK, 1] = FakeRun(TASK, 1, 600.0)
    async with run_agent(worker, met=False) as leader:
        meeting = asyncio.create_task(leader.runner.worker_heartbeat(worker_info("w1"), "x", 1))
        await asyncio.sleep(0)
        await leader.runner.worker_left(WorkerLife("w1"))
        await meeting
        await asyncio.sleep(0.1)
        worker.advance()
        assert (TASK, 1) in worker.runs
        assert "w1" not in leader.reports[-1].ended_workers


@pytest.mark.parametrize("meets", [True, False])
async def test_a_worker_that_left_while_it_was_being_met_ends_once_it_is_gone(meets: bool) -> None:
    """Guards against runs that are held for a lease although their worker has left."""
    worker = FakeWorker(work_s=600)
    worker.runs[TASK, 1] = FakeRun(TASK, 1, 600.0)
    worker.refuses = not meets
    async with run_agent(worker, met=False) as leader:
        meeting = asyncio.create_task(leader.runner.worker_heartbeat(worker_info("w1"), "x", 1))
        await asyncio.sleep(0)
        await leader.runner.worker_left(WorkerLife("w1"))
        await meeting
        worker.refuses = True
        await asyncio.sleep(LIST_WAIT_MS / 1000 + MAX_REFUSED_CONNECTIONS * RETRY_DELAY_S + 0.1)
        assert leader.reports[-1].ended_workers == ("w1",)
        assert leader.reports[-1].left_workers == ("w1",)
