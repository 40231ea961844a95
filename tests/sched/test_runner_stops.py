"""Stops on the agent's side: none waits for long, and whatever runs on is visible in the log."""

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
from sapphirelead.sched_timing import STALE_ORDER_S, Bounds
from tests.sched.agent_leader import TASK, FakeLeader, agent_of
from tests.sched.fakes import FakeRun, FakeWorker
from tests.sched.test_runner import kinds, life_of, order

pytestmark = pytest.mark.looptime

LATE_S = STALE_ORDER_S + 0.5


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the log events that are written from now on."""
    found: list[dict[str, Any]] = []

    def note(level: str, event: str, /, **fields: object) -> None:
        found.append({"event": event, **fields})

    monkeypatch.setattr(runner_life, "log_event", note)
    monkeypatch.setattr(runner_service, "log_event", note)
    return found


def named(events: list[dict[str, Any]], event: str) -> list[dict[str, Any]]:
    """Return the events of one name."""
    return [fields for fields in events if fields["event"] == event]


async def test_a_stop_without_an_end_is_logged_once_with_its_parts(
    events: list[dict[str, Any]],
) -> None:
    """Guards against a run that outlives its stop while no log line says what took so long."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(1)
        worker.silent = True
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(4)
        slow = named(events, "stop_slow")
        assert [line["confirmed_s"] for line in slow] == [-1.0]
        assert slow[0]["stop_s"] > runner_life.STOP_SLOW_S
        worker.silent = False
        await asyncio.sleep(2)
        (end,) = named(events, "run_end_seen")
        assert end["stop_s"] >= end["confirmed_s"] > 3.9


async def test_refused_orders_are_logged_with_their_age_once_a_second(
    events: list[dict[str, Any]],
) -> None:
    """Guards against a leader that renews leases and cannot order, unseen in the agent's log."""
    async with agent_of(FakeWorker(work_s=60)) as leader:
        await asyncio.sleep(4)
        for _ in range(30):
            leader.order(1, starts=[order()])
            await asyncio.sleep(0.1)
        lines = named(events, "orders_stale")
        assert len(lines) <= 1 + 3 / runner_service.STALE_LOG_S
        assert lines[0]["age_s"] > 3.5
        assert lines[0]["lease_left_s"] > 8
        assert sum(line["starts"] for line in lines) > 15


async def test_an_agent_that_ends_logs_what_runs_on(events: list[dict[str, Any]]) -> None:
    """Guards against runs left to the rest of a lease with no line that says so."""
    async with agent_of(FakeWorker(work_s=60)) as leader:
        leader.order(leader.reports[-1].beat, starts=[order()])
        await asyncio.sleep(1)
    (line,) = named(events, "runs_left")
    assert (line["runs"], line["stopping"]) == (1, 0)
    assert line["lease_left_s"] > 8


async def test_a_stop_is_carried_out_however_old_the_report_it_is_based_on() -> None:
    """Guards against a leader that is behind and keeps a run alive that it can no longer stop."""
    worker = FakeWorker(work_s=60)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order(), order("a.0.0.1")])
        await asyncio.sleep(STALE_ORDER_S + 1)
        leader.order(1, starts=[order("a.0.0.2")], stops=[StopOrder(TASK, 1)])
        await asyncio.sleep(0.5)
        assert list(worker.runs) == [("a.0.0.1", 1)], "only the start is refused"


async def test_a_late_stop_of_a_run_leaves_the_next_attempt_alone() -> None:
    """Guards against orders to stop that were held up and end a run that is wanted."""
    worker = FakeWorker(work_s=60)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order(attempt=2)])
        await asyncio.sleep(STALE_ORDER_S + 1)
        leader.order(1, stops=[StopOrder(TASK, 1)])
        await asyncio.sleep(2)
        assert list(worker.runs) == [(TASK, 2)]


async def test_a_stop_does_not_wait_for_starts_that_get_no_answer() -> None:
    """Guards against a cancelled task that runs on while its agent repeats starts of others."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(0.5)
        worker.faults = ["unanswered"] * 100
        for number in range(1, 3 * runner_life.CALLS_AT_ONCE):
            life.start(order(f"b.0.0.{number}", room=Resources(10, 10)))
        await asyncio.sleep(0.1)
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(0.1)
        assert worker.runs == {}


async def test_a_stop_does_not_wait_for_stops_that_get_no_answer() -> None:
    """Guards against a cancelled task that runs on while its agent repeats stops of others."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order())
        await asyncio.sleep(0.5)
        unanswered = [f"b.0.0.{number}" for number in range(runner_life.STOPS_AT_ONCE)]
        worker.stops_unanswered.update(unanswered)
        for task in unanswered:
            life.stop(StopOrder(task, 1))
        await asyncio.sleep(0.1)
        life.stop(StopOrder(TASK, 1))
        await asyncio.sleep(1)
        assert worker.runs == {}


async def stop_took(life: RunnerLife, worker: FakeWorker, task: str = TASK) -> float:
    """Ask for a stop; return how long it took to be carried out."""
    at = now()
    life.stop(StopOrder(task, 1))
    while task not in worker.sealed and now() - at < 20:
        await asyncio.sleep(0.02)
    return now() - at


@pytest.mark.parametrize("count", [8, 40, 80])
async def test_a_stop_comes_in_time_behind_many_that_get_no_answer(count: int) -> None:
    """Guards against a cancelled task that runs on past 4 s while its agent stops many others."""
    worker = FakeWorker(work_s=60)
    names = [f"b.0.0.{number}" for number in range(count)]
    worker.stops_unanswered.update(names)
    async with life_of(worker) as (life, _):
        for task in names:
            life.stop(StopOrder(task, 1))
        await asyncio.sleep(0.05)
        assert await stop_took(life, worker) < 4 - Bounds().kill_grace_s


@pytest.mark.parametrize("tries", [1, 2])
async def test_a_stop_does_not_wait_for_repeats_of_many_others(tries: int) -> None:
    """Guards against a cancelled task that runs on while stops that get no answer are repeated."""
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
        assert await stop_took(life, worker) < tries * 0.6 + 0.6


async def test_a_slot_is_not_lost_with_the_call_that_waits_for_it() -> None:
    """Guards against slots that are used up by calls that were given up on."""
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


async def test_calls_of_one_kind_go_out_in_a_bounded_number() -> None:
    """Guards against more calls to a worker than its client has connections."""
    worker = FakeWorker(work_s=60)
    most = 1 + runner_life.CALLS_AT_ONCE + runner_life.STOPS_AT_ONCE
    assert most <= MAX_CONNECTIONS
    async with life_of(worker) as (life, _):
        worker.silent = True
        for number in range(40):
            life.start(order(f"b.0.0.{number}", room=Resources(10, 10)))
            life.stop(StopOrder(f"c.0.0.{number}", 1))
        await asyncio.sleep(5)
        assert worker.most_at_once <= most


async def test_a_run_that_is_listed_after_its_confirmed_stop_is_stopped_again() -> None:
    """Guards against a run that goes on for good because its first stop had no effect."""
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


async def test_a_stop_that_takes_its_whole_grace_is_not_repeated() -> None:
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


async def test_a_run_that_counted_as_never_started_is_stopped_once_it_is_listed() -> None:
    """Guards against a run that goes on under the lease because its end is believed."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        life.start(order(room=Resources(9000, 100)))
        assert kinds(life) == {TASK: "not_started"}
        worker.runs[(TASK, 1)] = FakeRun(TASK, 1, now() + 60)
        await asyncio.sleep(0.5)
        assert [status.phase for status in life.book.statuses(True)] == [RunPhase.STOPPING]
        await asyncio.sleep(0.5)
        assert worker.runs == {}
        (end,) = life.book.report_ends(full=False)
        assert (end.kind, end.number) == ("stopped", 1), "its end is what the worker says"


async def test_a_listed_end_stands_although_the_run_is_listed_beside_it() -> None:
    """Guards against an end that is taken back and reported twice."""
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
    """Guards against a run that begins after the next process of the agent has refused it."""
    worker = FakeWorker(work_s=60)
    worker.faults = ["late"]
    call = StartCall(TASK, 1, "p", "", "", worker.clock_ms + 9_000, fencing_token=99)
    assert await worker.start(call) == Err(CallFailure.NO_ANSWER)
    async with life_of(worker) as (life, _):
        life.start(order(room=Resources(9000, 100)))
        assert kinds(life) == {TASK: "not_started"}
        await asyncio.sleep(worker.late_s + 1)
        assert worker.runs == {}


async def test_an_agent_that_ends_sends_the_stops_that_it_has_first() -> None:
    """Guards against a cancelled task that runs on because its agent ended with its stop."""
    worker = FakeWorker(work_s=60)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order()])
        await asyncio.sleep(1)
        leader.order(leader.reports[-1].beat, stops=[StopOrder(TASK, 1)])
    assert worker.runs == {}


async def test_an_agent_ends_although_its_worker_confirms_no_stop() -> None:
    """Guards against a process that outlives its time to end."""
    worker = FakeWorker(work_s=60)
    async with agent_of(worker) as leader:
        worker.stops_unanswered.add(TASK)
        leader.order(leader.reports[-1].beat, stops=[StopOrder(TASK, 1)])
        ends_at = now()
    assert now() - ends_at <= runner_life.LAST_STOPS_S + 0.1


async def test_an_agent_that_ends_takes_stops_and_no_starts(events: list[dict[str, Any]]) -> None:
    """Guards against a start that is cut off, so that its outcome is unknown."""
    worker = FakeWorker(work_s=60)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order("a.0.0.1")])
        await asyncio.sleep(1)
        worker.stops_unanswered.add(TASK)
        beat = leader.reports[-1].beat
        leader.order(beat, stops=[StopOrder(TASK, 1)])
        loop = asyncio.get_running_loop()
        loop.call_later(0.3, lambda: leader.order(beat, starts=[order("a.0.0.2")]))
        loop.call_later(0.3, lambda: leader.order(beat, stops=[StopOrder("a.0.0.1", 1)]))
    assert worker.starts == 1
    assert worker.runs == {}
    assert [line["starts"] for line in named(events, "starts_left")] == [1]


class LateLeader(FakeLeader):
    """A leader that takes each report late, and orders a stop until it has an end."""

    async def take_late(self) -> None:
        """Acknowledge reports late; order the stop with each of them."""
        taken = 0
        while True:
            await asyncio.sleep(0.1)
            while taken < len(self.reports) and now() - self.reported_at[taken] >= LATE_S:
                beat = self.reports[taken].beat
                taken += 1
                self.order(beat, beat=beat, stops=[StopOrder(TASK, 1)])


async def test_a_leader_that_is_behind_does_not_keep_a_cancelled_run_alive() -> None:
    """Guards against a cancelled task that runs on: its lease is renewed, its stops are refused."""
    bounds = Bounds()
    worker = FakeWorker(work_s=600)
    async with agent_of(worker) as leader:
        runner = leader.runner
        leader.order(leader.reports[-1].beat, starts=[order()])
        await asyncio.sleep(1)
        late = LateLeader(runner)
        late.acknowledges = False
        runner._links = cast(Any, late)
        task = asyncio.create_task(late.take_late())
        await asyncio.sleep(LATE_S + bounds.kill_grace_s + 1)
        task.cancel()
        assert worker.runs == {}
