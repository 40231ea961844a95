"""Stops on the agent's side: none waits for long, and whatever runs on is visible in the log."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from itertools import pairwise
from typing import Any, cast

import pytest
from result import Err, Result

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.model_resources import Resources
from sapphirelead.node_leader import ANSWER_S
from sapphirelead.node_messages import (
    AgentReport,
    AnyNodeMessage,
    Leads,
    Orders,
    RunPhase,
    StartOrder,
    StopOrder,
)
from sapphirelead.node_ports import CallFailure, StartCall
from sapphirelead.platform.worker import CONNECTIONS
from sapphirelead.ports import Row
from sapphirelead.runner_lease import MUTE_S, RunnerLease
from sapphirelead.runner_life import RunnerLife
from sapphirelead.runner_service import Runner
from sapphirelead.runner_slots import Slots
from sapphirelead.sched_timing import STALE_ORDER_S, Bounds
from tests.sched.fakes import FakeRun, FakeWorker, worker_info
from tests.sched.test_runner import kinds, life_of, order
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime

TASK = "a.0.0.0"
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


class FakeLeader:
    """The leader of one agent, in place of its links; acknowledges reports while told to."""

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.reports: list[AgentReport] = []
        self.reported_at: list[float] = []
        self.acknowledges = True
        self.epoch = 1
        self.ordered = 0

    def send(self, name: str, message: AnyNodeMessage) -> bool:
        if isinstance(message, AgentReport):
            self.reports.append(message)
            self.reported_at.append(now())
            if self.acknowledges:
                self.order(message.beat, beat=message.beat)
        return True

    def send_all(self, message: AnyNodeMessage) -> None:
        return None

    def set_entries(self, entries: list[Any]) -> None:
        return None

    async def stop(self) -> None:
        return None

    def order(
        self,
        after_beat: int,
        beat: int = 0,
        starts: Iterable[StartOrder] = (),
        stops: Iterable[StopOrder] = (),
    ) -> None:
        """Send orders that are based on the report ``after_beat``."""
        boot = self.runner._boot
        self.ordered += 1
        given = Orders(
            self.epoch,
            "e",
            boot,
            beat,
            after_beat,
            "w1",
            list(starts),
            list(stops),
            [],
            number=self.ordered,
        )
        self.runner._on_message("e", given)


def reported_worker(leader: FakeLeader) -> str:
    """Return the worker that the agent says lives beside it."""
    worker = leader.reports[-1].worker
    return worker.worker if worker is not None else ""


class SlowTable(MemoryTable):
    """A store that answers no scan for a second."""

    async def scan(self, prefix: str, after: str, limit: int) -> Result[list[Row], Failure]:
        await asyncio.sleep(1.0)
        return Err(Failure(Code.STORE_UNAVAILABLE, "no answer"))


@asynccontextmanager
async def agent_of(
    worker: FakeWorker, table: MemoryTable | None = None
) -> AsyncIterator[FakeLeader]:
    """Run an agent beside ``worker`` that follows a leader."""
    runner = Runner("g1", Bounds(), table or MemoryTable(), lambda *_: worker, cast(Any, None))
    leader = FakeLeader(runner)
    runner._links = cast(Any, leader)
    runner.start()
    await runner.worker_beat(worker_info(), "x", 1)
    leader.order(0)
    await asyncio.sleep(0.1)
    try:
        yield leader
    finally:
        await runner.stop()
        await worker.close()


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


def test_an_acknowledgement_extends_the_lease_however_many_reports_went_out_since() -> None:
    """Guards against runs that lapse, and starts that are refused, once reports follow quickly."""
    lease = RunnerLease(9.5, 0.0)
    count = int(STALE_ORDER_S / runner_service.SPACING_S)
    for beat in range(1, count + 1):
        lease.sent(beat, beat * runner_service.SPACING_S)
    at = count * runner_service.SPACING_S
    assert lease.bears_starts(1, at)
    lease.acknowledged(1)
    assert lease.until == pytest.approx(runner_service.SPACING_S + 9.5)


def test_reports_are_remembered_for_the_length_of_a_lease_at_most() -> None:
    """Guards against a memory of reports that grows for as long as the process lives."""
    lease = RunnerLease(9.5, 0.0)
    for beat in range(1, 10_000):
        lease.sent(beat, beat * runner_service.SPACING_S)
    assert lease.remembered <= 9.5 / runner_service.SPACING_S + 2
    lease.acknowledged(1)
    assert lease.until == 0.0


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
    assert most <= CONNECTIONS
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


async def test_reports_go_on_while_the_store_does_not_answer() -> None:
    """Guards against runs that lapse because a slow leader and a slow store meet."""
    async with agent_of(FakeWorker(work_s=60), SlowTable()) as leader:
        leader.acknowledges = False
        await asyncio.sleep(2 * runner_service.SILENCE_S)
        await asyncio.sleep(10)
        gaps = [after - before for before, after in pairwise(leader.reported_at)]
        assert max(gaps) <= runner_service.REPORT_S + 2 * runner_service.SPACING_S


async def test_a_worker_that_stays_silent_is_given_up_while_the_leader_is_well() -> None:
    """Guards against runs of a worker that hangs being claimed, and not started anew, for good."""
    worker = FakeWorker(work_s=600)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order()])
        await asyncio.sleep(5)
        worker.silent = True
        await asyncio.sleep(MUTE_S + Bounds().loss_s - 1)
        assert reported_worker(leader) == "w1"
        await asyncio.sleep(3)
        assert reported_worker(leader) == ""
        assert leader.reports[-1].gone == ("w1",)


async def test_a_silent_worker_is_given_up_although_starts_are_ordered() -> None:
    """Guards against runs of a worker that hangs being claimed for good while it is ordered on."""
    worker = FakeWorker(work_s=600)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order()])
        await asyncio.sleep(5)
        worker.silent = True
        silent_at = now()
        number = 0
        while reported_worker(leader) and now() - silent_at < 60:
            number += 1
            small = order(f"b{number}.0.0.0", room=Resources(1, 1))
            leader.order(leader.reports[-1].beat, starts=[small])
            await asyncio.sleep(1)
        assert now() - silent_at < MUTE_S + Bounds().loss_s + 3


async def test_a_start_for_a_mute_worker_is_refused_unsent() -> None:
    """Guards against a run that may begin on a worker whose runs are about to count as over."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        await asyncio.sleep(1)
        worker.silent = True
        await asyncio.sleep(MUTE_S + 1.5)
        life.start(order())
        await asyncio.sleep(0.1)
        assert worker.starts == 0
        assert kinds(life) == {TASK: "not_started"}
        worker.silent = False
        await asyncio.sleep(1.5)
        life.start(order(attempt=2))
        await asyncio.sleep(0.1)
        assert list(worker.runs) == [(TASK, 2)]


async def test_a_worker_that_is_silent_for_seconds_keeps_its_runs() -> None:
    """Guards against work that lapses because its worker left a few calls unanswered."""
    worker = FakeWorker(work_s=600)
    async with agent_of(worker) as leader:
        leader.order(leader.reports[-1].beat, starts=[order()])
        await asyncio.sleep(5)
        worker.silent = True
        await asyncio.sleep(7)
        worker.silent = False
        await asyncio.sleep(10)
        assert list(worker.runs) == [(TASK, 1)]


async def test_a_report_names_the_newest_orders_of_the_leader_it_goes_to() -> None:
    """Guards against starts taken for lost by a leader that reads an older report late."""
    async with agent_of(FakeWorker(work_s=60)) as leader:
        leader.acknowledges = False
        leader.order(leader.reports[-1].beat)
        await asyncio.sleep(2 * runner_service.REPORT_S)
        assert leader.reports[-1].orders == leader.ordered
        leader.epoch = 2
        leader.runner._on_message("e", Leads(2, "e"))
        await asyncio.sleep(2 * runner_service.SPACING_S)
        assert leader.reports[-1].orders == 0


class BusyLeader(FakeLeader):
    """A leader that takes so many reports a second, each in its turn, and answers as leaders do."""

    def __init__(self, runner: Runner, reports_per_s: float) -> None:
        super().__init__(runner)
        self.acknowledges = False
        self.spacing_s = 1 / reports_per_s
        self.taken_at: list[float] = []
        self.task = asyncio.create_task(self.take())

    async def take(self) -> None:
        """Take reports in their order and acknowledge some of them."""
        answered_at = -1.0
        while True:
            await asyncio.sleep(self.spacing_s)
            if len(self.taken_at) == len(self.reports):
                continue
            beat = self.reports[len(self.taken_at)].beat
            self.taken_at.append(now())
            if now() - answered_at >= ANSWER_S:
                answered_at = now()
                self.order(beat, beat=beat)


@pytest.mark.parametrize("reports_per_s", [2.5, 5, 20])
async def test_an_agent_with_much_news_does_not_outrun_a_busy_leader(reports_per_s: float) -> None:
    """Guards against one busy agent whose reports lie unread until its orders are stale."""
    async with agent_of(FakeWorker(work_s=600)) as patient:
        runner = patient.runner
        leader = BusyLeader(runner, reports_per_s)
        leader.reports.append(patient.reports[-1])
        leader.reported_at.append(now())
        runner._links = cast(Any, leader)
        for _ in range(2000):
            runner._wake.set()
            await asyncio.sleep(0.01)
        waited = [
            taken - sent for sent, taken in zip(leader.reported_at, leader.taken_at, strict=False)
        ]
        leader.task.cancel()
        assert max(waited) <= STALE_ORDER_S
        assert len(leader.taken_at) >= 20 * min(reports_per_s, 1 / runner_service.REPORT_S) - 2


async def test_news_goes_out_at_once_while_the_leader_keeps_up() -> None:
    """Guards against ends and starts that are reported late for fear of a leader that is well."""
    async with agent_of(FakeWorker(work_s=600)) as leader:
        for _ in range(500):
            leader.runner._wake.set()
            await asyncio.sleep(0.01)
        gaps = [after - before for before, after in pairwise(leader.reported_at[5:])]
        assert max(gaps) <= 2 * runner_service.SPACING_S


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
