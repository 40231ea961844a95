"""The agent's side: runs, ends, leases and lost calls, against a fake worker on a paused clock."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

import sapphirelead.runner_life as runner_life
from sapphirelead.clock import now
from sapphirelead.model_resources import Resources
from sapphirelead.node_messages import StartOrder, StopOrder
from sapphirelead.runner_lease import RunnerLease
from sapphirelead.runner_life import FencingToken, RunnerLife
from sapphirelead.sched_timing import MAX_ORDER_AGE_S
from tests.sched.fakes import FakeRun, FakeWorker, worker_info

pytestmark = pytest.mark.looptime

LEASE_S = 9.5
KILL_GRACE_S = 0.9


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # Nothing is suspended here, so the clock that counts suspensions is the loop's.
    monkeypatch.setattr(runner_life, "awake_now", now)


def order(task: str = "a.0.0.0", attempt: int = 1, **changes: object) -> StartOrder:
    """Return a start order."""
    fields: dict[str, object] = {
        "task": task,
        "attempt": attempt,
        "payload": "p",
        "saved": "",
        "ticket": "",
        "room": Resources(1000, 100),
        "image": "",
        "target_ms": 0,
        "fills": False,
        **changes,
    }
    return StartOrder(**fields)  # type: ignore[arg-type]


@asynccontextmanager
async def life_of(worker: FakeWorker) -> AsyncIterator[tuple[RunnerLife, RunnerLease]]:
    """Run a life of ``worker`` whose agent holds a lease."""
    lease = RunnerLease(LEASE_S, now())
    lease.sent(1, now())
    lease.acknowledged(1)
    life = RunnerLife(worker_info(), worker, lease, FencingToken(100), lambda: None, KILL_GRACE_S)
    assert await life.adopt() is None
    task = asyncio.create_task(life.watch())
    try:
        yield life, lease
    finally:
        task.cancel()
        await life.close()


def silent(life: RunnerLife) -> bool:
    """Return whether ``life`` counts as silent now."""
    return life.silent


def kinds(life: RunnerLife) -> dict[str, str]:
    """Return how each ended run ended."""
    return {end.task: end.kind for end in life.book.ends.values()}


async def test_an_adopted_run_gets_its_pace_once_its_order_is_known() -> None:
    """An earlier process of the agent had paced a filling run, and the pressure is gone.

    The worker keeps the pace that it was told last, which the new process does not know.
    """
    worker = FakeWorker(work_s=30)
    worker.runs[("a.0.0.0", 1)] = FakeRun("a.0.0.0", 1, now() + 30)
    async with life_of(worker) as (life, _):
        assert [status.order_known for status in life.book.statuses(True)] == [False]
        life.start(order(image="f", fills=True))
        await asyncio.sleep(1)
        assert [status.order_known for status in life.book.statuses(True)] == [True]
        assert worker.paces == [("a.0.0.0", 100)]
        assert worker.starts == 0


async def test_an_end_is_kept_until_it_is_stored() -> None:
    worker = FakeWorker(work_s=0.3)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(2)
        assert kinds(life) == {"a.0.0.0": "done"}
        assert len(worker.ended) == 1
        life.book.stored(("a.0.0.0", 1))
        await asyncio.sleep(1)
        assert worker.ended == []
        assert kinds(life) == {}


@pytest.mark.parametrize("fault", ["lost", "unanswered", "late"])
async def test_a_start_without_an_answer_runs_once(fault: str) -> None:
    worker = FakeWorker(work_s=1.5)
    worker.faults = [fault]
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(8)
        assert kinds(life) == {"a.0.0.0": "done"}
        assert len(worker.ended) == 1


async def test_a_start_given_up_on_never_runs_later() -> None:
    """The worker leaves orders unanswered and carries them out seconds later.

    The agent gives a start up and says that it never ran; the task starts elsewhere.  If the
    worker then carried the order out, the task would run in two places.
    """
    worker = FakeWorker()
    worker.faults = ["late"] * 3
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(10)
        assert kinds(life) == {"a.0.0.0": "not_started"}
        assert worker.runs == {}
        assert worker.ended == []


async def test_a_stop_of_an_unknown_run_seals_it() -> None:
    worker = FakeWorker()
    async with life_of(worker) as (life, _):
        life.stop(StopOrder("a.0.0.0", 3))
        await asyncio.sleep(2)
        assert kinds(life) == {"a.0.0.0": "not_started"}
        life.book.stored(("a.0.0.0", 3))
        life.start(order(attempt=3))
        await asyncio.sleep(2)
        assert worker.runs == {}


async def test_a_run_lapses_when_the_leader_no_longer_acknowledges() -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, lease):
        life.start(order())
        await asyncio.sleep(LEASE_S - 0.5)
        assert len(worker.runs) == 1
        await asyncio.sleep(1.0)
        worker.advance()
        assert worker.runs == {}
        assert now() >= lease.until


async def test_the_lease_is_never_longer_than_the_leader_thinks() -> None:
    worker = FakeWorker()
    async with life_of(worker) as (_, lease):
        await asyncio.sleep(3)
        assert worker.lease_ms - worker.clock_ms <= (lease.until - now()) * 1000


async def test_a_worker_that_refuses_connections_is_gone() -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(1)
        worker.refuses = True
        await asyncio.sleep(1.5)
        assert life.over


async def test_a_silent_worker_is_gone_only_after_its_lease() -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, lease):
        life.start(order())
        await asyncio.sleep(1)
        worker.silent = True
        await asyncio.sleep(lease.bound - now() - 0.5)
        assert not silent(life)
        await asyncio.sleep(3)
        assert silent(life)
        worker.silent = False
        await asyncio.sleep(2)
        assert not silent(life)
        assert kinds(life) == {"a.0.0.0": "lapsed"}


async def test_a_worker_that_has_seen_a_higher_token_is_taken_over() -> None:
    """The machine's clock was set back between two processes of the agent.

    Tokens are times of day, so the newer process has the lower one and the worker does nothing for
    it: no lease is renewed and all that runs lapses.
    """
    worker = FakeWorker()
    worker.token = 5_000
    lease = RunnerLease(LEASE_S, now())
    life = RunnerLife(worker_info(), worker, lease, FencingToken(100), lambda: None, KILL_GRACE_S)
    assert await life.adopt() is not None
    assert await life.adopt() is None


async def test_more_than_the_capacity_is_never_started() -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        for number in range(12):
            life.start(order(f"a.0.0.{number}"))
        await asyncio.sleep(1)
        assert len(worker.runs) == 8
        assert list(kinds(life).values()) == ["not_started"] * 4


async def test_filling_work_slows_down_beside_a_serving_task_that_is_late() -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order("s.0.0.0", target_ms=100))
        life.start(order("f.0.0.0", fills=True))
        await asyncio.sleep(1)
        worker.figures["s.0.0.0"] = 300
        await asyncio.sleep(2.5)
        slowed = [percent for task, percent in worker.paces if task == "f.0.0.0"]
        assert slowed[-1] <= 10
        worker.figures["s.0.0.0"] = 30
        await asyncio.sleep(5)
        assert worker.paces[-1] == ("f.0.0.0", 100)


def test_orders_that_were_held_up_are_not_carried_out() -> None:
    """A job is cancelled, and its task starts seconds later.

    The order to start was on its way when the agent's link stood still; the cancellation was
    acknowledged meanwhile.  The order arrives with the next packet that gets through.
    """
    lease = RunnerLease(LEASE_S, 0.0)
    lease.sent(7, 10.0)
    assert lease.bears_starts(7, 10.0 + MAX_ORDER_AGE_S)
    assert not lease.bears_starts(7, 10.1 + MAX_ORDER_AGE_S)
    assert not lease.bears_starts(8, 10.0)


async def test_a_leaving_worker_is_given_nothing_that_was_ordered_before() -> None:
    """A task starts on a worker that has said that it leaves, and is lost with it.

    The leader gave the order before it knew; the agent, to which the worker says so first, does.
    """
    worker = FakeWorker()
    async with life_of(worker) as (life, _):
        life.book.info = worker_info(draining=True)
        life.start(order())
        await asyncio.sleep(0.1)
        assert worker.starts == 0
        assert kinds(life) == {"a.0.0.0": "not_started"}


async def test_ends_that_the_leader_is_behind_with_do_not_bring_more_and_more_reports() -> None:
    """A burst makes the leader slow; within seconds it stores nothing any more, for half a minute.

    While an end waits for being stored, the worker answers each list call at once, and each list
    brought a report with all such ends.  The slower the leader, the more reports it got.
    """
    worker = FakeWorker(work_s=0.3)
    reports = 0
    ends = 0

    def report() -> None:
        nonlocal reports, ends
        reports += 1
        ends += len(life.book.report_ends(full=False))

    async with life_of(worker) as (life, _):
        life.on_change = report
        for number in range(3):
            life.start(order(f"a.0.0.{number}"))
        await asyncio.sleep(10)
        assert reports <= 10 / runner_life.NEWS_S + 6
        assert ends == 3
        assert len(life.book.report_ends(full=True)) == 3
        life.start(order("a.0.0.0"))
        assert ends == 4, "an order for a run that has ended is answered with its end"
        assert worker.holds <= 10 / runner_life.UNNOTED_MOST_S + 12


async def test_a_new_end_is_seen_soon_after_the_ones_before_it_are_stored() -> None:
    """A leader was behind for a while; the steps that wait for the next end start late.

    The agent asks its worker less often while ends wait for being stored.  As soon as one is, it
    has to ask on, since the worker tells of the next end only in a list.
    """
    worker = FakeWorker(work_s=0.3)
    async with life_of(worker) as (life, _):
        life.start(order("a.0.0.0"))
        await asyncio.sleep(5)
        life.start(order("a.0.0.1"))
        await asyncio.sleep(0.31)
        holds = worker.holds
        assert kinds(life) == {"a.0.0.0": "done"}, "the pause goes on"
        life.stored(("a.0.0.0", 1))
        await asyncio.sleep(0.06)
        assert worker.holds > holds
        assert kinds(life) == {"a.0.0.1": "done"}
