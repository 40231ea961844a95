"""What an entry works on first while more messages arrive than it can work on.

The load that these tests stand for: a leader with a third of a processor, 53 agents of which one
reports six times as often as the others, and six followers with many calls.
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
    EntryBeat,
    RunEnded,
    WhoLeads,
)
from sapphirelead.sched_timing import BEAT_S, LEADER_SILENCE_S, STALE_ORDER_S
from tests.sched.busy_loop import Arrival, Transport, run_busy, spend
from tests.sched.fakes import worker_info

DURATION_S = 12.0
WORK_S = 0.0027
READ_S = 0.0001
ROUND_INTERVAL_S = 0.5
CANCEL_DEADLINE_S = 4.0
"""Time within which a cancel has to take effect."""

BUSIEST = b"busiest/1"
FOLLOWERS = [f"e{number}".encode() for number in range(6)]
AGENTS = [f"g{number}".encode() for number in range(52)]
CALLS_PER_S = 25.0
REPORTS_PER_S = 5.0
BUSY_REPORTS_PER_S = 30.0


def report(agent: bytes, beat: int, at: float) -> AgentReport:
    """Return a report, which carries the end of a run of its own; the time is its reason."""
    end = RunEnded(beat, f"j.0.{beat}.1", 1, "done", "", f"{at}")
    name = agent.decode()
    return AgentReport(name, "b", beat, 1, 1, worker_info(f"w-{name}"), beat % 4 == 0, [], [end])


def times(per_s: float, offset: float = 0.0) -> Iterator[tuple[int, float]]:
    """Yield numbers and times of regular events."""
    for number in range(1, int(DURATION_S * per_s)):
        yield number, offset + number / per_s


def call_kind(count: int) -> CallKind:
    """Return what a follower's caller wants: most ask for a state, few cancel."""
    if count % 50 == 0:
        return CallKind.CANCEL
    return CallKind.SUBMIT if count % 10 == 0 else CallKind.STATE


def load(share: float = 1.0) -> deque[Arrival]:
    """Return what arrives: 455 messages a second, times ``share``, 360 of which can be worked on.

    A call carries its time as its job.
    """
    found: list[Arrival] = []
    for number, agent in enumerate(AGENTS):
        for beat, at in times(share * REPORTS_PER_S, number / 1000):
            found.append((at, agent, report(agent, beat, at)))
    for beat, at in times(share * BUSY_REPORTS_PER_S):
        found.append((at, BUSIEST, report(BUSIEST, beat, at)))
    for number, name in enumerate(FOLLOWERS):
        address = EntryAddress(name.decode(), "h", 1)
        for count, at in times(share * CALLS_PER_S, number / 1000):
            found.append((at, name, Call(count, call_kind(count), "q", f"{at}", 1)))
        for count, at in times(1 / BEAT_S, number / 1000):
            found.append((at, name, EntryBeat(address, count, True, 1)))
    return deque(sorted(found, key=lambda arrival: arrival[0]))


@dataclass
class Waits:
    """The longest time that each kind of message has waited, and what waited at most."""

    longest: dict[str, float] = field(default_factory=dict)
    worked: dict[str, int] = field(default_factory=dict)
    max_queued: int = 0

    def record(self, kind: str, sent_at: float) -> None:
        self.longest[kind] = max(self.longest.get(kind, 0.0), now() - sent_at)
        self.worked[kind] = self.worked.get(kind, 0) + 1

    def work(self, identity: bytes, message: AnyNodeMessage) -> None:
        """Note how long a message has waited, and take the time to work on it."""
        match message:
            case AgentReport():
                who = "busiest" if identity == BUSIEST else "agent"
                self.record(f"{who}_renewal", max(float(end.reason) for end in message.ends))
                for end in message.ends:
                    self.record(f"{who}_end", float(end.reason))
            case EntryBeat():
                offset = FOLLOWERS.index(identity) / 1000
                self.record("beat", offset + message.epoch * BEAT_S)
            case Call():
                self.record(message.kind.value, float(message.job_id))
        spend(WORK_S)


async def run_planning_rounds(round_s: float) -> None:
    """Hold the loop for a round, twice a second."""
    while round_s:
        spend(round_s)
        await asyncio.sleep(ROUND_INTERVAL_S - round_s)


def simulate(arrivals: deque[Arrival], round_s: float = 0.0) -> Waits:
    """Let an intake work on what arrives, beside rounds of planning."""
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
    """A cancel takes effect 11 s after it was asked for, while its entry's questions wait."""
    assert waits.worked["cancel"] >= 6
    assert waits.longest["cancel"] < CANCEL_DEADLINE_S / 4


def test_heartbeats_of_a_follower_do_not_wait_behind_its_calls(waits: Waits) -> None:
    """A follower with many calls holds its leader for silent and refuses its callers."""
    assert waits.longest["beat"] < LEADER_SILENCE_S - BEAT_S


def test_renewals_of_the_busiest_agent_do_not_wait_behind_its_reports(waits: Waits) -> None:
    """The agent with the most to report gets its lease late and refuses all orders as stale."""
    assert waits.longest["busiest_renewal"] < STALE_ORDER_S / 2
    assert waits.longest["agent_renewal"] < STALE_ORDER_S / 2


def test_no_end_of_a_run_is_lost_or_late(waits: Waits) -> None:
    """Room that is free stays empty for seconds, because the leader does not know of an end."""
    assert waits.longest["busiest_end"] < STALE_ORDER_S / 2
    assert waits.worked["busiest_end"] >= (DURATION_S - 2) * BUSY_REPORTS_PER_S


def test_inbox_size_is_bounded(waits: Waits) -> None:
    """What waits grows for as long as more arrives than is worked on."""
    answerable = len(FOLLOWERS) * CALLS_PER_S * HOLD_TIMEOUT_S
    assert waits.max_queued <= len(AGENTS) + 1 + len(FOLLOWERS) * 2 + answerable + MAX_READ_BATCH


def test_queries_are_answered_before_their_callers_time_out(waits: Waits) -> None:
    """Answered oldest first, each question gets its answer after its caller has left."""
    assert waits.longest["state"] <= HOLD_TIMEOUT_S + MAX_BATCH_S
    assert waits.worked["state"] >= DURATION_S * len(FOLLOWERS)


def test_submissions_are_handled_within_the_hold_timeout(waits: Waits) -> None:
    """A caller gets 504 for a job that is accepted seconds later."""
    assert waits.longest["submit"] < HOLD_TIMEOUT_S


@pytest.mark.parametrize(("share", "round_s"), [(2.0, 0.0), (3.0, 0.0), (1.0, 0.25)])
def test_more_load_and_long_rounds_delay_only_queries(share: float, round_s: float) -> None:
    """Twice the load of a leader that is behind already makes it lose its followers."""
    waits = simulate(load(share), round_s)
    assert waits.longest["cancel"] < CANCEL_DEADLINE_S / 4
    assert waits.longest["beat"] < LEADER_SILENCE_S - BEAT_S
    assert waits.longest["busiest_end"] < STALE_ORDER_S / 2
    assert waits.longest["agent_renewal"] < STALE_ORDER_S / 2
    assert waits.longest["submit"] < HOLD_TIMEOUT_S
    assert waits.worked["state"] >= DURATION_S


def test_message_backlog_does_not_block_the_event_loop() -> None:
    """The store's answers and all timers of a leader with a backlog lie for seconds."""
    gaps = []

    async def go() -> None:
        word = WhoLeads("g")
        arrivals: deque[Arrival] = deque((0.0, f"{n}".encode(), word) for n in range(3_000))
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
