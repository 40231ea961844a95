"""A leader's starts and replies while zones are evacuated, or not known; no network."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest

import sapphirelead.node_leader as node_leader
import sapphirelead.node_leader_zones as node_leader_zones
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now
from sapphirelead.errors import Code
from sapphirelead.node_leader import Leader
from sapphirelead.node_leader_calls import ZONES_RETRY_AFTER_S
from sapphirelead.node_messages import (
    AgentReport,
    Call,
    CallKind,
    Orders,
    Reply,
    ReplyKind,
    ZoneNotice,
)
from sapphirelead.sched_head import Head, read_head
from sapphirelead.sched_job import encode_spec
from sapphirelead.sched_spec import JobSpec, StepSpec
from sapphirelead.sched_timing import Bounds
from sapphirelead.sched_zones import EvacuatedZones
from tests.sched.fakes import NoAdvice, job, worker_info
from tests.sched.test_leader import SlowTable
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime

BOUND_S = 5.0


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # No suspension is simulated, so the clock that includes suspensions equals the loop's clock.
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(node_leader_zones, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


class Fleet:
    """Agents that report to a leader, and the orders they get.

    :ivar zones: zone by agent.
    """

    def __init__(self) -> None:
        self.zones = {"g1": "a", "g2": "b"}
        self.labels = {"g1": ("x", "r1"), "g2": ("y", "r1")}
        self.orders: list[tuple[str, Orders]] = []
        self.number = 0

    def send(self, agent: str, orders: Orders) -> bool:
        self.orders.append((agent, orders))
        return True

    def report(self, leader: Leader) -> None:
        """Let each agent report its worker."""
        self.number += 1
        for agent, zone in self.zones.items():
            info = worker_info(f"w-{agent}", zone=zone, labels=self.labels[agent])
            epoch = leader.head.epoch
            report = AgentReport(agent, "b", self.number, epoch, 1, info, True, [], [])
            leader.on_report(report)

    def started(self) -> set[str]:
        """Return the agents that got a start order."""
        return {agent for agent, orders in self.orders if orders.starts}

    def notice(self, agent: str) -> ZoneNotice | None:
        """Return what the agent was last told of its zone."""
        return [orders.zone for name, orders in self.orders if name == agent][-1]


@asynccontextmanager
async def leading(
    fleet: Fleet, table: MemoryTable | None = None, name: str = "e1"
) -> AsyncIterator[Leader]:
    """Run a leader whose agents have reported."""
    table = table or MemoryTable()
    head = await Head.take(table, (await read_head(table)).unwrap(), name)
    assert head is not None
    leader = Leader(Bounds(evacuate_s=BOUND_S), head, table, NoAdvice(), fleet.send)
    await leader.load()
    rounds = asyncio.create_task(leader.run())
    fleet.report(leader)
    try:
        yield leader
    finally:
        rounds.cancel()
        await asyncio.gather(rounds, return_exceptions=True)


def read(leader: Leader, *zones: str) -> None:
    """Tell the leader of a read of the zones that was just made."""
    leader.set_zones(EvacuatedZones(frozenset(zones), now()))


async def submit(leader: Leader, spec: JobSpec, number: int = 1) -> Reply:
    """Submit a job."""
    call = Call(number, CallKind.SUBMIT, spec.queue, spec.job_id, 0, encode_spec(spec))
    return await leader.call(call, now() + 3)


WIDE = StepSpec(tasks=10, cpu_millicores=1000)


async def test_a_new_leader_starts_nothing_before_it_has_read_the_zones() -> None:
    """Guards against a follower that takes over and does not know of an evacuation."""
    fleet = Fleet()
    async with leading(fleet) as leader:
        assert (await submit(leader, job("j1", WIDE))).kind is ReplyKind.OK
        await asyncio.sleep(1)
        assert fleet.started() == set()
        read(leader, "a")
        await asyncio.sleep(0.3)
        assert fleet.started() == {"g2"}
        notice = fleet.notice("g2")
        assert notice is not None
        assert not notice.evacuated
        assert notice.read_age_s < 0.5


async def test_a_leader_starts_nothing_by_an_old_read_of_the_zones() -> None:
    """Guards against starts by a leader that was frozen or cannot read the rows."""
    fleet = Fleet()
    async with leading(fleet) as leader:
        read(leader)
        await asyncio.sleep(BOUND_S / 2 + 0.1)
        fleet.report(leader)
        assert (await submit(leader, job("j1", WIDE))).kind is ReplyKind.OK
        await asyncio.sleep(0.5)
        assert fleet.started() == set()
        read(leader)
        fleet.report(leader)
        await asyncio.sleep(0.3)
        assert fleet.started() == {"g1", "g2"}


async def test_claims_that_were_stored_wait_with_their_orders_for_a_read() -> None:
    """Guards against start orders that were queued before the read became too old."""
    table, fleet = SlowTable(), Fleet()
    async with leading(fleet, table) as leader:
        read(leader)
        table.takes_s = 0.1
        submitted = asyncio.create_task(submit(leader, job("j1", WIDE)))
        while not leader.sched.fleet.runs:
            await asyncio.sleep(0.01)
        leader.set_zones(EvacuatedZones(frozenset(), now() - BOUND_S))
        assert (await submitted).kind is ReplyKind.OK
        await asyncio.sleep(0.3)
        assert leader.sched.fleet.runs
        assert fleet.started() == set()
        read(leader)
        await asyncio.sleep(0.3)
        assert fleet.started() == {"g1", "g2"}


async def test_agents_of_a_zone_are_told_at_once_that_it_is_evacuated_or_restored() -> None:
    fleet = Fleet()
    async with leading(fleet) as leader:
        read(leader)
        for zones, evacuated in ((("a",), True), ((), False)):
            fleet.orders.clear()
            read(leader, *zones)
            assert [agent for agent, _ in fleet.orders] == ["g1"]
            notice = fleet.notice("g1")
            assert notice is not None
            assert notice.evacuated is evacuated


@pytest.mark.parametrize(
    ("zones", "label", "kind"),
    [
        (("a", "b"), "", ReplyKind.NOT_RUN),
        (("a",), "", ReplyKind.OK),
        (("a",), "x", ReplyKind.NOT_RUN),
        (("a",), "y", ReplyKind.OK),
        (("a", "b"), "unknown", ReplyKind.OK),
        (("nowhere",), "", ReplyKind.OK),
    ],
)
async def test_a_job_that_only_evacuated_zones_could_serve_is_refused_at_once(
    zones: tuple[str, ...], label: str, kind: ReplyKind
) -> None:
    """Guards against callers that wait for work that cannot begin."""
    fleet = Fleet()
    async with leading(fleet) as leader:
        read(leader, *zones)
        began = now()
        reply = await submit(leader, job("j1", StepSpec(label=label)))
        assert reply.kind is kind
        assert now() - began < 0.1
        if kind is ReplyKind.NOT_RUN:
            assert reply.retry_after_s == ZONES_RETRY_AFTER_S
            assert "evacuated" in reply.detail
            assert reply.code == Code.NO_INSTANCE
            read(leader)
            assert (await submit(leader, job("j1"))).kind is ReplyKind.NOT_RUN, "the same call"
            await asyncio.sleep(0.2)
            assert fleet.started() == set()
            assert (await submit(leader, job("j1"), 2)).kind is ReplyKind.OK


async def test_a_repeated_submission_of_an_accepted_job_is_not_refused() -> None:
    """Guards against a refusal that is not true, because the job is stored."""
    fleet = Fleet()
    async with leading(fleet) as leader:
        read(leader)
        assert (await submit(leader, job("j1", WIDE))).kind is ReplyKind.OK
        read(leader, "a", "b")
        assert (await submit(leader, job("j1", WIDE), 2)).kind is ReplyKind.OK


async def test_a_scheduled_job_is_accepted_while_all_zones_are_evacuated() -> None:
    fleet = Fleet()
    async with leading(fleet) as leader:
        read(leader, "a", "b")
        times = {"first_due_ms": 10**13, "interval_ms": 1000, "occurrences": 3}
        scheduled = msgspec.structs.replace(job("j1"), **times)
        assert (await submit(leader, scheduled)).kind is ReplyKind.OK


async def test_a_successor_sends_no_start_in_a_zone_evacuated_at_the_handover() -> None:
    """Guards against claims of the predecessor that the successor sends again."""
    table, fleet = MemoryTable(), Fleet()
    async with leading(fleet, table) as leader:
        read(leader)
        fleet.report(leader)
        assert (await submit(leader, job("j1", WIDE))).kind is ReplyKind.OK
        await asyncio.sleep(0.1)
        assert fleet.started() == {"g1", "g2"}
    fleet.orders.clear()
    async with leading(fleet, table, "e2") as leader:
        read(leader, "a")
        for _ in range(8):
            fleet.report(leader)
            await asyncio.sleep(0.25)
        told = [orders.zone for agent, orders in fleet.orders if agent == "g1" and orders.starts]
        assert all(notice is not None and notice.evacuated for notice in told)
