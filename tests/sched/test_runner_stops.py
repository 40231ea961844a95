"""Stops by an agent: they are not delayed by other calls, and slow stops are logged."""

import asyncio
from typing import Any, cast

import pytest
from result import Err

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.model_resources import Resources
from sapphirelead.node_messages import (
    RunPhase,
    StopOrder,
)
from sapphirelead.node_ports import CallFailure, StartCall
from sapphirelead.platform.worker import MAX_CONNECTIONS
from sapphirelead.runner_life import RunnerLife
from sapphirelead.runner_slots import Slots
from sapphirelead.sched_timing import MAX_ORDER_AGE_S, Bounds
from tests.sched.agent_leader import TASK, FakeLeader, run_agent
from tests.sched.fakes import FakeRun, FakeWorker
from tests.sched.test_runner import kinds, life_of, order

pytestmark = pytest.mark.looptime

ACKNOWLEDGEMENT_DELAY_S = MAX_ORDER_AGE_S + 0.5


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the list to which log events are recorded."""
    found: list[dict[str, Any]] = []

    def record(level: str, event: str, /, **fields: object) -> None:
        found.append({"event": event, **fields})

    monkeypatch.setattr(runner_life, "log_event", record)
    monkeypatch.setattr(runner_service, "log_event", record)
    return found


def events_named(events: list[dict[str, Any]], event: str) -> list[dict[str, Any]]:
    """Return the events with the given name."""
    return [fields for fields in events if fields["event"] == event]


async def test_a_slow_stop_is_logged_once(
    events: list[dict[str, Any]],
) -> None:
    """Guards against a slow stop that leaves no log line with its durations."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(1)
        worker.not_responding = True
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(4)
        slow = events_named(events, "stop_slow")
        assert [line["confirmed_s"] for line in slow] == [-1.0]
        assert slow[0]["stop_s"] > runner_life.SLOW_STOP_S
        worker.not_responding = False
        await asyncio.sleep(2)
        (end,) = events_named(events, "run_end_seen")
        assert end["stop_s"] >= end["confirmed_s"] > 3.9


async def test_stale_orders_are_logged_with_their_age_once_a_second(
    events: list[dict[str, Any]],
) -> None:
    """Guards against stale orders from a slow leader that are refused without a log line."""
    async with run_agent(FakeWorker(work_s=60)) as leader:
        await asyncio.sleep(4)
        for _ in range(30):
            leader.order(1, starts=[order()])
            await asyncio.sleep(0.1)
        lines = events_named(events, "orders_stale")
        assert len(lines) <= 1 + 3 / runner_service.STALE_LOG_INTERVAL_S
        assert lines[0]["age_s"] > 3.5
        assert lines[0]["lease_left_s"] > 8
        assert sum(line["starts"] for line in lines) > 15


async def test_an_agent_that_shuts_down_logs_remaining_runs(events: list[dict[str, Any]]) -> None:
    """Guards against runs that continue without an agent and without a log line."""
    async with run_agent(FakeWorker(work_s=60)) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(1)
    (line,) = events_named(events, "runs_left")
    assert (line["runs"], line["stopping"]) == (1, 0)
    assert line["lease_left_s"] > 8


async def test_a_stop_based_on_an_old_report_is_carried_out() -> None:
    """Guards against a run that a slow leader keeps alive but cannot stop."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order(), order("a.0.0.1")])
        await asyncio.sleep(MAX_ORDER_AGE_S + 1)
        leader.order(1, starts=[order("a.0.0.2")], stops=[StopOrder(TASK, 1)])
        await asyncio.sleep(0.5)
        assert list(worker.runs) == [("a.0.0.1", 1)], "only the start is refused"


async def test_a_late_stop_does_not_affect_the_next_attempt() -> None:
    """Guards against a delayed stop order that ends a later attempt."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order(attempt=2)])
        await asyncio.sleep(MAX_ORDER_AGE_S + 1)
        leader.order(1, stops=[StopOrder(TASK, 1)])
        await asyncio.sleep(2)
        assert list(worker.runs) == [(TASK, 2)]


async def test_a_stop_does_not_wait_for_unanswered_starts() -> None:
    """Guards against a cancelled task that keeps running while other starts are retried."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(0.5)
        worker.faults = ["unanswered"] * 100
        for number in range(1, 3 * runner_life.MAX_CONCURRENT_CALLS):
            life.start(order(f"b.0.0.{number}", resources=Resources(10, 10)))
        await asyncio.sleep(0.1)
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(0.1)
        assert worker.runs == {}


async def test_a_stop_does_not_wait_for_unanswered_stops() -> None:
    """Guards against a cancelled task that keeps running while other stops are retried."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(0.5)
        unanswered = [f"b.0.0.{number}" for number in range(runner_life.MAX_CONCURRENT_STOPS)]
        worker.stops_unanswered.update(unanswered)
        for task in unanswered:
            life.stop(StopOrder(task, 1))
        await asyncio.sleep(0.1)
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(1)
        assert worker.runs == {}


async def measure_stop_s(life: RunnerLife, worker: FakeWorker, task: str = TASK) -> float:
    """Request a stop; return the seconds until it was carried out."""
    at = now()
    life.stop(StopOrder(task, 1))
    while task not in worker.sealed and now() - at < 20:
        await asyncio.sleep(0.02)
    return now() - at


@pytest.mark.parametrize("count", [8, 40, 80])
async def test_a_stop_is_in_time_behind_many_unanswered_stops(count: int) -> None:
    """Guards against a cancelled task that runs for more than 4 s behind many other stops."""
    worker = FakeWorker(work_s=60)
    names = [f"b.0.0.{number}" for number in range(count)]
    worker.stops_unanswered.update(names)
    async with life_of(worker) as (life, _):
        for task in names:
            life.stop(StopOrder(task, 1))
        await asyncio.sleep(0.05)
        assert await measure_stop_s(life, worker) < 4 - Bounds().kill_grace_s


@pytest.mark.parametrize("tries", [1, 2])
async def test_a_stop_does_not_wait_for_retries_of_other_stops(tries: int) -> None:
    """Guards against a cancelled task that keeps running behind retries of unanswered stops."""
    worker = FakeWorker(work_s=60)
    names = [f"b.0.0.{number}" for number in range(160)]
    worker.stops_unanswered.update(names)
    async with life_of(worker) as (life, _):
        for task in names:
            life.stop(StopOrder(task, 1))
        await asyncio.sleep(12)
        if tries == 2:
            worker.stops_unanswered.add(TASK)
            asyncio.get_running_loop().call_later(0.6, worker.stops_unanswered.discard, TASK)
        assert await measure_stop_s(life, worker) < tries * 0.6 + 0.6


async def test_a_cancelled_call_releases_its_slot() -> None:
    """Guards against slots that leak when calls are cancelled."""
    slots = Slots(1)

    async def call(tries: int) -> None:
        async with slots.slot(tries):
            await asyncio.sleep(1)

    first, second, third = (asyncio.create_task(call(tries)) for tries in range(3))
    await asyncio.sleep(0.5)
    second.cancel()
    await first
    third.cancel()
    await asyncio.gather(second, third, return_exceptions=True)
    async with asyncio.timeout(0.1), slots.slot(0):
        pass


async def test_calls_in_flight_are_limited() -> None:
    """Guards against more concurrent calls to a worker than its client has connections."""
    worker = FakeWorker(work_s=60)
    most = 1 + runner_life.MAX_CONCURRENT_CALLS + runner_life.MAX_CONCURRENT_STOPS
    assert most <= MAX_CONNECTIONS
    async with life_of(worker) as (life, _):
        worker.not_responding = True
        for number in range(40):
            life.start(order(f"b.0.0.{number}", resources=Resources(10, 10)))
            life.stop(StopOrder(f"c.0.0.{number}", 1))
        await asyncio.sleep(5)
        assert worker.max_unanswered_calls <= most


async def test_a_run_that_is_listed_after_its_confirmed_stop_is_stopped_again() -> None:
    """Guards against a run that never ends because its first stop had no effect."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(0.5)
        worker.stops_without_effect = 1
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(0.8)
        assert list(worker.runs) == [(TASK, 1)]
        await asyncio.sleep(1.5)
        assert worker.runs == {}


async def test_a_stop_that_takes_its_whole_grace_period_is_not_repeated() -> None:
    """Guards against a second stop of a run that is saving its progress."""
    worker = FakeWorker(work_s=60)
    worker.grace_s = Bounds().kill_grace_s
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(0.5)
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(3)
        assert kinds(life) == {TASK: "stopped"}
        assert worker.stops == 1


async def test_a_listed_run_recorded_as_not_started_is_stopped() -> None:
    """Guards against a run that continues under the lease although recorded as not started."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order(resources=Resources(9000, 100)))
        assert kinds(life) == {TASK: "not_started"}
        worker.runs[(TASK, 1)] = FakeRun(TASK, 1, now() + 60)
        await asyncio.sleep(0.5)
        assert [status.phase for status in life.registry.statuses(True)] == [RunPhase.STOPPING]
        await asyncio.sleep(0.5)
        assert worker.runs == {}
        (end,) = life.registry.report_ends(full=False)
        assert (end.kind, end.number) == ("stopped", 1), "the outcome comes from the worker"


async def test_a_listed_outcome_is_kept_although_the_run_is_listed_too() -> None:
    """Guards against an outcome that is withdrawn and reported twice."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        run = FakeRun(TASK, 1, now() + 60)
        worker.runs[(TASK, 1)] = run
        await asyncio.sleep(0.5)
        worker.end(run, "done")
        worker.runs[(TASK, 1)] = run
        await asyncio.sleep(2)
        assert kinds(life) == {TASK: "done"}
        assert worker.stops == 0


async def test_a_start_of_an_earlier_process_is_fenced_off() -> None:
    """Guards against a run that starts after the next agent process has refused it."""
    worker = FakeWorker(work_s=60)
    worker.faults = ["late"]
    call = StartCall(TASK, 1, "p", "", "", worker.clock_ms + 9_000, fencing_token=99)
    assert await worker.start(call) == Err(CallFailure.NO_ANSWER)
    async with life_of(worker) as (life, _):
        life.start(order(resources=Resources(9000, 100)))
        assert kinds(life) == {TASK: "not_started"}
        await asyncio.sleep(worker.late_s + 1)
        assert worker.runs == {}


async def test_an_agent_sends_pending_stops_before_shutdown() -> None:
    """Guards against a cancelled task that keeps running because its agent shut down first."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(1)
        leader.order(leader.reports[-1].report_number, stops=[StopOrder(TASK, 1)])
    assert worker.runs == {}


async def test_unconfirmed_stops_do_not_block_shutdown() -> None:
    """Guards against an agent that exceeds its time to shut down."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker) as leader:
        worker.stops_unanswered.add(TASK)
        leader.order(leader.reports[-1].report_number, stops=[StopOrder(TASK, 1)])
        ends_at = now()
    assert now() - ends_at <= runner_life.FINAL_STOPS_TIMEOUT_S + 0.1


async def test_an_agent_accepts_stops_but_no_starts_during_shutdown(
    events: list[dict[str, Any]],
) -> None:
    """Guards against a start call interrupted by shutdown, whose result is unknown."""
    worker = FakeWorker(work_s=60)
    async with run_agent(worker) as leader:
        leader.order(leader.reports[-1].report_number, starts=[order("a.0.0.1")])
        await asyncio.sleep(1)
        worker.stops_unanswered.add(TASK)
        report_number = leader.reports[-1].report_number
        leader.order(report_number, stops=[StopOrder(TASK, 1)])
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, lambda: leader.order(report_number, starts=[order("a.0.0.2")]))
        loop.call_later(0.3, lambda: leader.order(report_number, stops=[StopOrder("a.0.0.1", 1)]))
    assert worker.starts == 1
    assert worker.runs == {}
    assert [line["starts"] for line in events_named(events, "starts_left")] == [1]


class LateLeader(FakeLeader):
    """A leader that processes each report late and orders a stop each time."""

    async def take_late(self) -> None:
        """Acknowledge reports late, each with an order for the stop."""
        taken = 0
        while True:
            await asyncio.sleep(0.1)
            while (
                taken < len(self.reports)
                and now() - self.reported_at[taken] >= ACKNOWLEDGEMENT_DELAY_S
            ):
                report_number = self.reports[taken].report_number
                taken += 1
                self.order(report_number, report_number=report_number, stops=[StopOrder(TASK, 1)])


async def test_a_slow_leader_can_stop_a_cancelled_run() -> None:
    """Guards against a cancelled task whose lease is renewed while its stops are refused."""
    bounds = Bounds()
    worker = FakeWorker(work_s=600)
    async with run_agent(worker) as leader:
        runner = leader.runner
        leader.order(leader.reports[-1].report_number, starts=[order()])
        await asyncio.sleep(1)
        late = LateLeader(runner)
        late.acknowledges = False
        runner._links = cast(Any, late)
        task = asyncio.create_task(late.take_late())
        await asyncio.sleep(ACKNOWLEDGEMENT_DELAY_S + bounds.kill_grace_s + 1)
        task.cancel()
        assert worker.runs == {}
