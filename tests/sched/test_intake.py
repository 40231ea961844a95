"""Tests of message priorities at a leader that receives more messages than it can handle.

The load has many agents, of which one reports more often than the others, and many calls.
"""

import asyncio
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from sapphirelead.clock import now
from sapphirelead.metrics import Metrics
from sapphirelead.node_calls import HOLD_TIMEOUT_S
from sapphirelead.node_intake import MAX_BATCH, MAX_BATCH_S, MAX_READ_BATCH, Intake
from sapphirelead.node_messages import (
    AgentReport,
    AnyNodeMessage,
    Call,
    CallKind,
    EntryAddress,
    FollowerHeartbeat,
    LeaderQuery,
    RunEnded,
)
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S, LEADER_TIMEOUT_S, MAX_ORDER_AGE_S
from tests.sched.busy_loop import Arrival, Transport, run_busy, spend
from tests.sched.fakes import worker_info

DURATION_S = 12.0
WORK_S = 0.0027
READ_S = 0.0001
ROUND_INTERVAL_S = 0.5
CANCEL_DEADLINE_S = 4.0
"""Maximum time for a cancel to take effect."""

BUSIEST = b"busiest/1"
FOLLOWERS = [f"e{number}".encode() for number in range(6)]
AGENTS = [f"g{number}".encode() for number in range(52)]
CALLS_PER_S = 25.0
REPORTS_PER_S = 5.0
BUSY_REPORTS_PER_S = 30.0


def report(agent: bytes, report_number: int, at: float) -> AgentReport:
    """Return a report with one ended run, whose reason carries the time."""
    end = RunEnded(report_number, f"j.0.{report_number}.1", 1, "done", "", f"{at}")
    name = agent.decode()
    return AgentReport(
        name, "b", report_number, 1, 1, worker_info(f"w-{name}"), report_number % 4 == 0, [], [end]
    )


def times(per_s: float, offset: float = 0.0) -> Iterator[tuple[int, float]]:
    """Yield numbers and times of regular events."""
    for number in range(1, int(DURATION_S * per_s)):
        yield number, offset + number / per_s


def call_kind(count: int) -> CallKind:
    """Return the kind of a caller's request: mostly queries, few cancels."""
    if count % 50 == 0:
        return CallKind.CANCEL
    return CallKind.SUBMIT if count % 10 == 0 else CallKind.STATE


def load(share: float = 1.0) -> deque[Arrival]:
    """Return the arriving messages at ``share`` times the base rate; a call's job is its time."""
    found: list[Arrival] = []
    for number, agent in enumerate(AGENTS):
        for report_number, at in times(share * REPORTS_PER_S, number / 1000):
            found.append((at, agent, report(agent, report_number, at)))
    for report_number, at in times(share * BUSY_REPORTS_PER_S):
        found.append((at, BUSIEST, report(BUSIEST, report_number, at)))
    for number, name in enumerate(FOLLOWERS):
        address = EntryAddress(name.decode(), "h", 1)
        for count, at in times(share * CALLS_PER_S, number / 1000):
            found.append((at, name, Call(count, call_kind(count), "q", f"{at}", 1)))
        for count, at in times(1 / HEARTBEAT_INTERVAL_S, number / 1000):
            found.append((at, name, FollowerHeartbeat(address, count, True, 1)))
    return deque(sorted(found, key=lambda arrival: arrival[0]))


@dataclass
class Waits:
    """Longest waiting time and count by kind of message, and the largest queue length."""

    longest: dict[str, float] = field(default_factory=dict)
    worked: dict[str, int] = field(default_factory=dict)
    max_queued: int = 0

    def record(self, kind: str, sent_at: float) -> None:
        self.longest[kind] = max(self.longest.get(kind, 0.0), now() - sent_at)
        self.worked[kind] = self.worked.get(kind, 0) + 1

    def work(self, identity: bytes, message: AnyNodeMessage) -> None:
        """Record how long a message has waited, and spend the time to handle it."""
        match message:
            case AgentReport():
                who = "busiest" if identity == BUSIEST else "agent"
                self.record(f"{who}_renewal", max(float(end.reason) for end in message.ends))
                for end in message.ends:
                    self.record(f"{who}_end", float(end.reason))
            case FollowerHeartbeat():
                offset = FOLLOWERS.index(identity) / 1000
                self.record("beat", offset + message.epoch * HEARTBEAT_INTERVAL_S)
            case Call():
                self.record(message.kind.value, float(message.job_id))
        spend(WORK_S)


async def run_planning_rounds(round_s: float) -> None:
    """Block the event loop for ``round_s`` in each round interval."""
    while round_s:
        spend(round_s)
        await asyncio.sleep(ROUND_INTERVAL_S - round_s)


def simulate(arrivals: deque[Arrival], round_s: float = 0.0) -> Waits:
    """Run an intake on the arriving messages, beside rounds of planning."""
    waits = Waits()

    async def go() -> None:
        transport = Transport(arrivals, READ_S)
        intake = Intake(transport.receive, waits.work, HOLD_TIMEOUT_S, Metrics())
        intake.start()
        planning = asyncio.create_task(run_planning_rounds(round_s))
        while now() < DURATION_S - 1:
            await asyncio.sleep(0.01)
            waits.max_queued = max(waits.max_queued, len(transport) + len(intake.inbox))
        planning.cancel()
        await intake.stop()

    run_busy(go())
    return waits


@pytest.fixture(scope="module")
def waits() -> Waits:
    return simulate(load())


def test_cancel_does_not_wait_behind_queries(waits: Waits) -> None:
    """Guards against cancels delayed by the queries of their entry."""
    assert waits.worked["cancel"] >= 6
    assert waits.longest["cancel"] < CANCEL_DEADLINE_S / 4


def test_heartbeats_of_a_follower_do_not_wait_behind_its_calls(waits: Waits) -> None:
    """Guards against a follower with many calls that times out its leader."""
    assert waits.longest["beat"] < LEADER_TIMEOUT_S - HEARTBEAT_INTERVAL_S


def test_renewals_of_the_busiest_agent_do_not_wait_behind_its_reports(waits: Waits) -> None:
    """Guards against late lease renewals, which make an agent refuse orders as stale."""
    assert waits.longest["busiest_renewal"] < MAX_ORDER_AGE_S / 2
    assert waits.longest["agent_renewal"] < MAX_ORDER_AGE_S / 2


def test_no_end_of_a_run_is_lost_or_late(waits: Waits) -> None:
    """Guards against free capacity that stays unused because ended runs are reported late."""
    assert waits.longest["busiest_end"] < MAX_ORDER_AGE_S / 2
    assert waits.worked["busiest_end"] >= (DURATION_S - 2) * BUSY_REPORTS_PER_S


def test_inbox_size_is_bounded(waits: Waits) -> None:
    """Guards against an inbox that grows under sustained overload."""
    answerable = len(FOLLOWERS) * CALLS_PER_S * HOLD_TIMEOUT_S
    assert waits.max_queued <= len(AGENTS) + 1 + len(FOLLOWERS) * 2 + answerable + MAX_READ_BATCH


def test_queries_are_answered_before_their_callers_time_out(waits: Waits) -> None:
    """Guards against replies to queries after their callers' timeout."""
    assert waits.longest["state"] <= HOLD_TIMEOUT_S + MAX_BATCH_S
    assert waits.worked["state"] >= DURATION_S * len(FOLLOWERS)


def test_submissions_are_handled_within_the_hold_timeout(waits: Waits) -> None:
    """Guards against accepting a job after its caller's request has timed out."""
    assert waits.longest["submit"] < HOLD_TIMEOUT_S


@pytest.mark.parametrize(("share", "round_s"), [(2.0, 0.0), (3.0, 0.0), (1.0, 0.25)])
def test_more_load_and_long_rounds_delay_only_queries(share: float, round_s: float) -> None:
    """Guards against losing followers under higher overload or long planning rounds."""
    waits = simulate(load(share), round_s)
    assert waits.longest["cancel"] < CANCEL_DEADLINE_S / 4
    assert waits.longest["beat"] < LEADER_TIMEOUT_S - HEARTBEAT_INTERVAL_S
    assert waits.longest["busiest_end"] < MAX_ORDER_AGE_S / 2
    assert waits.longest["agent_renewal"] < MAX_ORDER_AGE_S / 2
    assert waits.longest["submit"] < HOLD_TIMEOUT_S
    assert waits.worked["state"] >= DURATION_S


def test_message_backlog_does_not_block_the_event_loop() -> None:
    """Guards against a backlog that delays timers and the store's replies."""
    gaps = []

    async def go() -> None:
        message = LeaderQuery("g")
        arrivals: deque[Arrival] = deque((0.0, f"{n}".encode(), message) for n in range(3_000))
        intake = Intake(
            Transport(arrivals, READ_S).receive, lambda *_: spend(WORK_S), HOLD_TIMEOUT_S, Metrics()
        )
        intake.start()
        while now() < 3_000 * WORK_S:
            before = now()
            await asyncio.sleep(0)
            gaps.append(now() - before)
        await intake.stop()

    run_busy(go())
    assert max(gaps) <= 2 * MAX_BATCH_S + 2 * WORK_S
    assert MAX_READ_BATCH * READ_S <= MAX_BATCH_S and MAX_BATCH * WORK_S > MAX_BATCH_S
