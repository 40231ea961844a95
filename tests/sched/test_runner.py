"""Runs, outcomes, leases and lost calls of an agent, with a fake worker on a simulated clock."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

import sapphirelead.runner_life as runner_life
from sapphirelead.clock import now
from sapphirelead.model_resources import Resources
from sapphirelead.node_messages import StartOrder, StopOrder
from sapphirelead.runner_lease import RunnerLease
from sapphirelead.runner_life import (
    LIST_WAIT_MS,
    MAX_REFUSED_CONNECTIONS,
    RETRY_DELAY_S,
    FencingToken,
    RunnerLife,
)
from sapphirelead.runner_registry import RunRegistry
from sapphirelead.sched_timing import (
    CLOCK_DRIFT_SHARE,
    LEASE_MARGIN_S,
    LOSS_MARGIN_S,
    MAX_ORDER_AGE_S,
    MAX_WORKER_LEASE_S,
)
from tests.sched.fakes import FakeRun, FakeWorker, worker_info

pytestmark = pytest.mark.looptime

LEASE_S = 9.5
KILL_GRACE_S = 0.9
LOST_AFTER_S = (LEASE_S + LEASE_MARGIN_S) * (1 + 2 * CLOCK_DRIFT_SHARE) + LOSS_MARGIN_S + 0.5
"""Time after which the runs of a worker that was met by a new agent process have ended."""


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # Replaces the clock that includes suspensions, because only the loop's clock is simulated.
    monkeypatch.setattr(runner_life, "awake_now", now)


def order(task: str = "a.0.0.0", attempt: int = 1, **changes: object) -> StartOrder:
    """Return a start order."""
    fields: dict[str, object] = {
        "task": task,
        "attempt": attempt,
        "payload": "p",
        "saved": "",
        "ticket": "",
        "resources": Resources(1000, 100),
        "image": "",
        "target_ms": 0,
        "best_effort": False,
        **changes,
    }
    return StartOrder(**fields)  # type: ignore[arg-type]


@asynccontextmanager
async def life_of(worker: FakeWorker) -> AsyncIterator[tuple[RunnerLife, RunnerLease]]:
    """Run a worker life whose agent holds a lease."""
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


async def renew(lease: RunnerLease, for_s: float) -> None:
    """Renew the agent's lease twice a second."""
    until, number = now() + for_s, 1
    while now() < until:
        number += 1
        lease.sent(number, now())
        lease.acknowledged(number)
        await asyncio.sleep(0.5)


def not_responding(life: RunnerLife) -> bool:
    """Return the current value of ``life.not_responding``, which mypy does not narrow in a call."""
    return life.not_responding


def kinds(life: RunnerLife) -> dict[str, str]:
    """Return the outcome of each ended run by task."""
    return {end.task: end.kind for end in life.registry.ends.values()}


async def test_an_adopted_run_gets_its_pace_once_its_order_is_known() -> None:
    """Guards against a filling run that keeps a slow pace set by an earlier agent process."""
    worker = FakeWorker(work_s=30)
    worker.runs[("a.0.0.0", 1)] = FakeRun("a.0.0.0", 1, now() + 30)
    async with life_of(worker) as (life, _):
        assert [status.order_known for status in life.registry.statuses(True)] == [False]
        life.start(order(image="f", best_effort=True))
        await asyncio.sleep(1)
        assert [status.order_known for status in life.registry.statuses(True)] == [True]
        assert worker.paces == [("a.0.0.0", 100)]
        assert worker.starts == 0


async def test_an_outcome_is_kept_until_it_is_stored() -> None:
    worker = FakeWorker(work_s=0.3)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(2)
        assert kinds(life) == {"a.0.0.0": "done"}
        assert len(worker.ended) == 1
        life.registry.stored(("a.0.0.0", 1))
        await asyncio.sleep(1)
        assert worker.ended == []
        assert kinds(life) == {}


async def test_a_late_order_of_a_refused_start_is_not_carried_out() -> None:
    """Guards against a task that runs twice because a refused attempt is forgotten once stored."""
    worker = FakeWorker(work_s=30)
    async with life_of(worker) as (life, _):
        life.start(order("b.0.0.0", resources=Resources(8000, 100)))
        life.start(order())
        assert kinds(life) == {"a.0.0.0": "not_started"}
        life.stored(("a.0.0.0", 1))
        life.stop(StopOrder("b.0.0.0", 1))
        await asyncio.sleep(MAX_ORDER_AGE_S - 0.1)
        assert life.registry.used == Resources(0, 0)
        life.start(order())
        life.start(order(attempt=2))
        await asyncio.sleep(0.2)
        assert list(worker.runs) == [("a.0.0.0", 2)]


def test_stored_outcomes_are_forgotten_once_their_orders_are_too_old() -> None:
    """Guards against an agent whose memory grows with each run."""
    registry = RunRegistry(worker_info())
    for number in range(10_000):
        registry.refuse((f"a.0.0.{number}", 1), "no_room")
        registry.stored((f"a.0.0.{number}", 1), at=number * 0.01)
    remembered = [n for n in range(10_000) if registry.is_settled((f"a.0.0.{n}", 1), 0.0)]
    assert len(remembered) <= MAX_ORDER_AGE_S / 0.01 + 2
    assert 9_999 in remembered


@pytest.mark.parametrize("fault", ["lost", "unanswered", "late"])
async def test_a_start_without_an_answer_runs_once(fault: str) -> None:
    worker = FakeWorker(work_s=1.5)
    worker.faults = [fault]
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(8)
        assert kinds(life) == {"a.0.0.0": "done"}
        assert len(worker.ended) == 1


async def test_an_abandoned_start_never_runs_later() -> None:
    """Guards against a task that runs twice because the worker carries out a start late."""
    worker = FakeWorker()
    worker.faults = ["late"] * 3
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(10)
        assert kinds(life) == {"a.0.0.0": "not_started"}
        assert worker.runs == {}
        assert worker.ended == []


async def test_a_stop_of_an_unknown_run_prevents_its_start() -> None:
    worker = FakeWorker()
    async with life_of(worker) as (life, _):
        life.stop(StopOrder("a.0.0.0", 3))
        await asyncio.sleep(2)
        assert kinds(life) == {"a.0.0.0": "not_started"}
        life.registry.stored(("a.0.0.0", 3))
        life.start(order(attempt=3))
        await asyncio.sleep(2)
        assert worker.runs == {}


async def test_runs_end_when_the_leader_no_longer_acknowledges() -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, lease):
        life.start(order())
        await asyncio.sleep(LEASE_S - 0.5)
        assert len(worker.runs) == 1
        await asyncio.sleep(1.0)
        worker.advance()
        assert worker.runs == {}
        assert now() >= lease.until


async def test_the_worker_lease_never_exceeds_the_agent_lease() -> None:
    worker = FakeWorker()
    async with life_of(worker) as (_, lease):
        await asyncio.sleep(3)
        assert worker.lease_ms - worker.clock_ms <= (lease.until - now()) * 1000


async def test_a_worker_that_refuses_connections_is_lost_only_with_its_lease() -> None:
    """Guards against a second run of a task whose worker runs on while it refuses connections."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, lease):
        life.start(order())
        await renew(lease, 12.0)
        worker.refuses = True
        refused_at = now()
        while not not_responding(life):
            assert not life.has_ended
            await asyncio.sleep(0.01)
        assert worker.clock_ms > worker.lease_ms
        # The list call that was under way is still answered.
        found_s = LIST_WAIT_MS / 1000 + 2 * RETRY_DELAY_S
        assert now() - refused_at <= MAX_WORKER_LEASE_S + LOSS_MARGIN_S + found_s


async def test_a_worker_that_refuses_connections_gets_no_starts() -> None:
    """Guards against tasks that wait for a crashed worker while others have room."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        worker.refuses = True
        await asyncio.sleep((MAX_REFUSED_CONNECTIONS + 1) * RETRY_DELAY_S)
        assert life.refuses
        life.start(order())
        await asyncio.sleep(0.1)
        assert kinds(life) == {"a.0.0.0": "not_started"}
        assert worker.starts == 0


async def test_a_worker_that_accepts_connections_again_is_used_again() -> None:
    """Guards against capacity that is lost because a worker once refused connections."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(1)
        worker.refuses = True
        await asyncio.sleep(5)
        worker.refuses = False
        await asyncio.sleep(1)
        assert not life.refuses
        assert list(life.registry.runs) == [("a.0.0.0", 1)]
        life.start(order("b.0.0.0"))
        await asyncio.sleep(0.1)
        assert len(worker.runs) == 2


async def test_a_start_for_a_worker_that_is_reported_gone_is_never_executed() -> None:
    """Guards against a task that runs here after its leader has started it elsewhere."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, lease):
        await asyncio.sleep(lease.expiry_bound + LOSS_MARGIN_S + 1 - now())
        worker.not_responding = True
        while not not_responding(life):
            await asyncio.sleep(0.01)
        life.start(order())
        await asyncio.sleep(0.1)
        worker.not_responding = False
        await asyncio.sleep(2)
        assert worker.starts == 0
        assert kinds(life) == {"a.0.0.0": "not_started"}


async def test_an_unresponsive_worker_counts_as_lost_only_after_its_lease() -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, lease):
        life.start(order())
        await asyncio.sleep(1)
        worker.not_responding = True
        await asyncio.sleep(lease.expiry_bound - now() - 0.5)
        assert not not_responding(life)
        await asyncio.sleep(3)
        assert not_responding(life)
        worker.not_responding = False
        await asyncio.sleep(2)
        assert not not_responding(life)
        assert kinds(life) == {"a.0.0.0": "lapsed"}


async def test_the_token_is_raised_after_a_worker_refuses_it() -> None:
    """Guards against a worker that refuses an agent restarted after its clock was set back."""
    worker = FakeWorker()
    worker.token = 5_000
    lease = RunnerLease(LEASE_S, now())
    life = RunnerLife(worker_info(), worker, lease, FencingToken(100), lambda: None, KILL_GRACE_S)
    assert await life.adopt() is not None
    assert await life.adopt() is None


async def test_starts_beyond_the_capacity_are_refused() -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        for number in range(12):
            life.start(order(f"a.0.0.{number}"))
        await asyncio.sleep(1)
        assert len(worker.runs) == 8
        assert list(kinds(life).values()) == ["not_started"] * 4


async def test_filling_work_slows_down_beside_a_serving_task_over_its_target() -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order("s.0.0.0", target_ms=100))
        life.start(order("f.0.0.0", best_effort=True))
        await asyncio.sleep(1)
        worker.figures["s.0.0.0"] = 300
        await asyncio.sleep(2.5)
        slowed = [percent for task, percent in worker.paces if task == "f.0.0.0"]
        assert slowed[-1] <= 10
        worker.figures["s.0.0.0"] = 30
        await asyncio.sleep(5)
        assert worker.paces[-1] == ("f.0.0.0", 100)


def test_stale_start_orders_are_refused() -> None:
    """Guards against a delayed start order that starts a task cancelled in the meantime."""
    lease = RunnerLease(LEASE_S, 0.0)
    lease.sent(7, 10.0)
    assert lease.allows_starts(7, 10.0 + MAX_ORDER_AGE_S)
    assert not lease.allows_starts(7, 10.1 + MAX_ORDER_AGE_S)
    assert not lease.allows_starts(8, 10.0)


async def test_a_draining_worker_gets_no_starts() -> None:
    """Guards against a task that starts on a draining worker and is lost with it."""
    worker = FakeWorker()
    async with life_of(worker) as (life, _):
        life.registry.info = worker_info(draining=True)
        life.start(order())
        await asyncio.sleep(0.1)
        assert worker.starts == 0
        assert kinds(life) == {"a.0.0.0": "not_started"}


async def test_unstored_outcomes_do_not_multiply_reports() -> None:
    """Guards against more reports and list calls the longer the leader takes to store outcomes."""
    worker = FakeWorker(work_s=0.3)
    reports = 0
    ends = 0

    def report() -> None:
        nonlocal reports, ends
        reports += 1
        ends += len(life.registry.report_ends(full=False))

    async with life_of(worker) as (life, _):
        life.on_change = report
        for number in range(3):
            life.start(order(f"a.0.0.{number}"))
        await asyncio.sleep(10)
        assert reports <= 10 / runner_life.PROGRESS_REPORT_INTERVAL_S + 6
        assert ends == 3
        assert len(life.registry.report_ends(full=True)) == 3
        life.start(order("a.0.0.0"))
        assert ends == 4, "an order for an ended run is answered with its outcome"
        assert worker.holds <= 10 / runner_life.MAX_LIST_DELAY_S + 12


async def test_polling_resumes_once_an_outcome_is_stored() -> None:
    """Guards against an outcome that is seen late because the pause after a list goes on."""
    worker = FakeWorker(work_s=0.3)
    async with life_of(worker) as (life, _):
        life.start(order("a.0.0.0"))
        await asyncio.sleep(5)
        life.start(order("a.0.0.1"))
        await asyncio.sleep(0.31)
        holds = worker.holds
        assert kinds(life) == {"a.0.0.0": "done"}, "the pause has not ended yet"
        life.stored(("a.0.0.0", 1))
        await asyncio.sleep(0.06)
        assert worker.holds > holds
        assert kinds(life) == {"a.0.0.1": "done"}
