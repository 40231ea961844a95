"""Ways in which a task might start a second time while its first run goes on."""

import asyncio

import pytest
from result import Err, Ok, Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.model_resources import Resources
from sapphirelead.node_messages import RunPhase, StopOrder
from sapphirelead.node_ports import CallFailure, StartCall, WorkerEnd, WorkerView
from sapphirelead.runner_lease import RunnerLease
from sapphirelead.runner_life import TOKEN_STEP, FencingToken, RunnerLife
from sapphirelead.runner_registry import MAX_LISTED_ENDS
from sapphirelead.runner_start_trace import OrderBasis
from tests.sched.agent_leader import TASK
from tests.sched.fakes import FakeWorker, worker_info
from tests.sched.test_next_lives import FIRST_LIFE_AGE_S, Client, running_site
from tests.sched.test_runner import KILL_GRACE_S, LEASE_S, kinds, life_of, order, renew

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class LosingClient(Client):
    """A client whose first list call after one answered by another life is lost."""

    lost = False

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        if self.lost:
            self.lost = False
            await asyncio.sleep(0.5)
            return Err(CallFailure.NO_ANSWER)
        found = await super().hold(fencing_token, stored_through, lease_ms, wait_ms)
        self.lost = found == Err(CallFailure.OTHER_LIFE)
        return found


async def test_a_late_start_is_refused_by_the_next_life_although_a_call_was_lost() -> None:
    """Guards against a start of an ended life that its successor carries out."""
    async with running_site() as site:
        site.runner._make_worker = lambda life, _: LosingClient(site.worker, life)
        site.worker.begin_life(5, age_s=FIRST_LIFE_AGE_S)
        await site.send_heartbeat(5)
        await asyncio.sleep(0.5)
        await site.return_with_late_start(1.8, 0.0)
        while "w1/5" not in site.leader.reports[-1].ended_workers:
            await asyncio.sleep(0.05)
            assert now() < 60
        for _ in range(60):
            assert site.worker.runs == {}
            await asyncio.sleep(0.05)


async def test_a_start_of_an_earlier_process_is_not_repeated_with_a_higher_token() -> None:
    """Guards against a process that goes on beside its successor, which has refused the start."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (earlier, _):
        worker.faults = ["unanswered"]
        earlier.start(order())
        await asyncio.sleep(0.1)
        lease = RunnerLease(LEASE_S, now())
        token = FencingToken(200)
        later = RunnerLife(worker_info(), worker, lease, token, lambda: None, KILL_GRACE_S)
        assert await later.adopt() is None
        later.start(order(resources=Resources(9000, 100)))
        assert kinds(later) == {TASK: "not_started"}
        await asyncio.sleep(3)
        assert worker.runs == {}
        await later.close()


async def test_only_starts_ordered_after_a_refused_token_are_carried_out() -> None:
    """Guards against an order that reaches an earlier process after its successor refused it."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, lease):
        before = OrderBasis(1, now())
        worker.token += TOKEN_STEP
        await renew(lease, 2.0)
        life.start(order(), basis=before)
        life.start(order("b.0.0.0", resources=Resources(9000, 100)), basis=before)
        life.start(order("c.0.0.0"), basis=OrderBasis(1, now()))
        await asyncio.sleep(0.5)
        assert list(worker.runs) == [("c.0.0.0", 1)]
        assert kinds(life) == {}


async def test_a_stop_is_carried_out_after_a_refused_token() -> None:
    """Guards against a run that goes on because its agent's stop was refused."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(0.5)
        worker.token += TOKEN_STEP
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(1.5)
        assert worker.runs == {}


async def test_a_process_that_no_leader_renews_leaves_the_worker_to_its_successor() -> None:
    """Guards against two processes that raise their tokens against each other without end."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker):
        lease, token = RunnerLease(LEASE_S, now()), FencingToken(200)
        later = RunnerLife(worker_info(), worker, lease, token, lambda: None, KILL_GRACE_S)
        assert await later.adopt() is None
        watching = asyncio.create_task(later.watch())
        await renew(lease, LEASE_S + 1)
        before = worker.token
        await renew(lease, 5.0)
        assert worker.token == before == token.value
        assert not later.in_doubt
        watching.cancel()
        await later.close()


async def starts_after_set_back(set_back_ms: int) -> int:
    """Return the runs by a late start of a process whose successor's token is lower by so much."""
    first = 1_000_000
    worker = FakeWorker(work_s=60)
    worker.token = first
    worker.faults = ["late"]
    worker.late_s = 2.0
    call = StartCall(TASK, 1, "p", "", "", worker.clock_ms + 9_000, first)
    assert await worker.start(call) == Err(CallFailure.NO_ANSWER)
    lease = RunnerLease(LEASE_S, now())
    token = FencingToken(first - set_back_ms)
    life = RunnerLife(worker_info(), worker, lease, token, lambda: None, KILL_GRACE_S)
    for _ in range(20):
        if await life.adopt() is None:
            break
    await asyncio.sleep(3)
    runs = len(worker.runs)
    await life.close()
    await worker.close()
    return runs


@pytest.mark.parametrize("set_back_ms", [50, TOKEN_STEP - 1, TOKEN_STEP + 50, 5 * TOKEN_STEP - 1])
async def test_a_late_start_is_refused_after_the_clock_was_set_back(set_back_ms: int) -> None:
    """Guards against an earlier process whose token is higher than its successor's."""
    assert await starts_after_set_back(set_back_ms) == 0


@pytest.mark.parametrize("set_back_ms", [TOKEN_STEP, 5 * TOKEN_STEP])
async def test_a_late_start_is_refused_if_the_token_is_raised_to_its_own(set_back_ms: int) -> None:
    """Guards against the same, where raising the token in steps makes the two equal."""
    assert await starts_after_set_back(set_back_ms) == 0


async def test_a_token_that_is_raised_later_exceeds_the_one_that_the_worker_has_seen() -> None:
    """Guards against two processes with one token, whose calls a worker cannot tell apart."""
    worker = FakeWorker()
    async with life_of(worker) as (_, lease):
        worker.token += TOKEN_STEP
        seen = worker.token
        await renew(lease, 2.0)
        assert worker.token > seen


async def test_an_end_below_the_acknowledged_numbers_leaves_its_run() -> None:
    """Guards against an outcome that is dropped together with a run that goes on."""
    worker = FakeWorker(work_s=60)
    worker._last_number = 7
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(0.6)
        life.registry.stored_through, life.registry._numbering_known = 7, True
        worker.ended.append(WorkerEnd(5, TASK, 1, "done", ""))
        await asyncio.sleep(0.6)
        assert kinds(life) == {}
        assert life.registry.runs[TASK, 1].phase is RunPhase.RUNNING


class FullWorker(FakeWorker):
    """A worker whose lists hold no run and as many ends as a list can."""

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        await asyncio.sleep(0.01)
        ends = [WorkerEnd(n, f"z.0.0.{n}", 1, "done", "") for n in range(1, MAX_LISTED_ENDS + 1)]
        return Ok(WorkerView(self.clock_ms, [], ends))


async def test_a_stopped_run_beyond_a_full_list_of_ends_is_not_taken_for_unstarted() -> None:
    """Guards against a run whose end is left out of a list that is full."""
    async with life_of(FullWorker()) as (life, _):
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(3)
        assert TASK not in kinds(life)
