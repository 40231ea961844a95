"""Log lines and metrics by which an agent shows what it knows of the ends and starts of runs."""

import asyncio
from typing import Any

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import StopOrder
from sapphirelead.runner_ended import MAX_LIVES, EndedLives
from sapphirelead.runner_start_trace import OrderBasis
from tests.sched.agent_leader import TASK, run_agent
from tests.sched.fakes import FakeRun, FakeWorker, worker_info
from tests.sched.test_runner import LEASE_S, life_of, order

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the list to which log events are recorded."""
    found: list[dict[str, Any]] = []

    def record(level: str, event: str, /, **fields: object) -> None:
        found.append({"level": level, "event": event, **fields})

    monkeypatch.setattr(runner_life, "log_event", record)
    monkeypatch.setattr(runner_service, "log_event", record)
    return found


def named(events: list[dict[str, Any]], event: str) -> list[dict[str, Any]]:
    """Return the events with the given name."""
    return [fields for fields in events if fields["event"] == event]


async def test_the_end_of_a_life_is_logged_with_what_is_left_of_its_lease(
    events: list[dict[str, Any]],
) -> None:
    """Guards against a life that ends early, with runs that go on under a lease nobody can see."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, lease):
        life.start(order())
        await asyncio.sleep(1)
        worker.not_responding = True
        await asyncio.sleep(2)
        life.end("left")
        (line,) = named(events, "worker_ended")
        assert (line["reason"], line["runs"]) == ("left", 1)
        assert line["lease_left_s"] == pytest.approx(lease.expiry_bound - now())
        # The worker still answers the call in flight.
        wait_s = runner_life.LIST_WAIT_MS / 1000
        assert line["last_answer_s"] == pytest.approx(2.0, abs=wait_s)


async def test_the_end_of_a_life_is_logged_with_the_starts_that_no_list_has_shown(
    events: list[dict[str, Any]],
) -> None:
    """Guards against an end of which nobody can say whether the next life may run anything."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order("a1.0.0.0"))
        await asyncio.sleep(1)
        life.start(order("b1.0.0.0"))
        await asyncio.sleep(0.01)
        life.end("other_life")
        (line,) = named(events, "worker_ended")
        assert (line["runs"], line["unlisted"]) == (2, 1)


async def test_a_life_that_ends_after_its_lease_has_none_left(
    events: list[dict[str, Any]],
) -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        worker.not_responding = True
        await asyncio.sleep(2 * LEASE_S)
        life.end("other_life")
        (line,) = named(events, "worker_ended")
        assert line["lease_left_s"] == 0


async def test_heartbeats_of_an_ended_life_are_counted_and_logged_once(
    events: list[dict[str, Any]],
) -> None:
    """Guards against a worker that runs on unseen after its agent has reported its end."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker) as leader:
        runner = leader.runner
        await runner.worker_left(WorkerLife("w1"))
        worker.refuses = True
        await asyncio.sleep(1)
        events.clear()
        for seq in (2, 3):
            await asyncio.sleep(2)
            await runner.worker_heartbeat(worker_info("w1"), "x", seq)
        (line,) = named(events, "ended_life_heard")
        assert (line["worker"], line["by"], line["announced"]) == ("w1", "heartbeat", True)
        refused_s = runner_life.MAX_REFUSED_CONNECTIONS * runner_life.RETRY_DELAY_S
        ended_within_s = runner_life.LIST_WAIT_MS / 1000 + refused_s
        assert 3.0 - ended_within_s <= line["ended_s"] <= 3.0
        assert runner.metrics.value("ended_lives_heard_total", by="heartbeat") == 2


async def test_a_list_of_an_ended_life_is_counted_and_logged(
    events: list[dict[str, Any]],
) -> None:
    """Guards against a worker that answers after its end, which then nobody can see."""
    async with run_agent(FakeWorker(work_s=60)) as leader:
        runner = leader.runner
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(1)
        assert runner._life is not None
        runner._life.end("other_life")
        await asyncio.sleep(1)
        (line,) = named(events, "ended_life_heard")
        assert (line["worker"], line["by"], line["runs"]) == ("w1", "list", 1)
        assert 0 <= line["ended_s"] <= runner_life.LIST_WAIT_MS / 1000
        assert runner.metrics.value("ended_lives_heard_total", by="list") == 1


async def test_a_listed_run_that_never_started_is_counted(events: list[dict[str, Any]]) -> None:
    """Guards against a refused start that was carried out and shows in no metric."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker) as leader:
        too_large = order(resources=Resources(9000, 100))
        leader.order(leader.reports[-1].report_number, starts=[too_large])
        await asyncio.sleep(0.5)
        worker.runs[(TASK, 1)] = FakeRun(TASK, 1, now() + 60)
        await asyncio.sleep(2)
        assert [line["task"] for line in named(events, "end_disproved")] == [TASK]
        assert leader.runner.metrics.value("ended_runs_listed_total") == 1


async def test_ended_lives_that_may_still_be_heard_of_are_bounded() -> None:
    ended = EndedLives()
    for number in range(MAX_LIVES + 1):
        ended.add_unmet(WorkerLife(f"w{number}"))
    await asyncio.sleep(1)
    assert ended.first_heard_s(WorkerLife("w0")) is None
    assert ended.first_heard_s(WorkerLife("w1")) == 1
    assert ended.first_heard_s(WorkerLife("w1")) is None


async def test_a_start_is_logged_with_the_order_it_is_based_on(
    events: list[dict[str, Any]],
) -> None:
    """Guards against a second run of which nobody can say which leader's order started it."""
    async with run_agent(FakeWorker(work_s=60)) as leader:
        based_on = leader.reports[-1].report_number
        reported_at = leader.reported_at[-1]
        await asyncio.sleep(1)
        called_at = now()
        for _ in range(2):
            leader.order(based_on, starts=[order()])
            await asyncio.sleep(0.5)
        (line,) = named(events, "start_called")
        assert (line["task"], line["attempt"], line["answer"]) == (TASK, 1, "started")
        assert (line["epoch"], line["calls"]) == (leader.runner._epoch, 1)
        assert line["report_age_s"] == pytest.approx(called_at - reported_at, abs=0.01)
        assert line["lease_left_s"] > 0


@pytest.mark.parametrize("fault", ["lost", "unanswered"])
async def test_a_repeated_start_call_is_logged_once(
    events: list[dict[str, Any]], fault: str
) -> None:
    worker = FakeWorker(work_s=60)
    worker.faults = [fault]
    async with life_of(worker) as (life, _):
        life.start(order(), basis=OrderBasis(3, now() - 1.0))
        await asyncio.sleep(6)
        (line,) = named(events, "start_called")
        assert (line["epoch"], line["report_age_s"]) == (3, pytest.approx(1.0))
        assert line["took_s"] > 0
        assert not named(events, "start_given_up")


async def test_a_start_that_is_given_up_has_one_line(events: list[dict[str, Any]]) -> None:
    worker = FakeWorker(work_s=60)
    worker.faults = ["unanswered"] * runner_life.MAX_START_TRIES
    async with life_of(worker) as (life, _):
        life.start(order(), basis=OrderBasis(3, now() - 1.0))
        await asyncio.sleep(10)
        (line,) = named(events, "start_given_up")
        assert (line["epoch"], line["calls"]) == (3, runner_life.MAX_START_TRIES)
        assert not named(events, "start_called")


async def test_a_start_call_that_is_cut_short_is_logged(events: list[dict[str, Any]]) -> None:
    """Guards against a call that is carried out although its agent never says that it left."""
    worker = FakeWorker(work_s=60)
    worker.faults = ["late"]
    async with life_of(worker) as (life, _):
        life.start(order(), basis=OrderBasis(3, now()))
        await asyncio.sleep(0.1)
    (line,) = named(events, "start_called")
    assert (line["answer"], line["epoch"], line["calls"]) == ("cancelled", 3, 1)
    await life.close()
    assert len(named(events, "start_called")) == 1


async def test_a_start_that_is_never_called_has_no_line(events: list[dict[str, Any]]) -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(1)
        assert worker.starts == 0
        assert not named(events, "start_called")
