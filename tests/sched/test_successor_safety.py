"""What a successor counts as ended while its predecessor may still act."""

import asyncio

import pytest

import sapphirelead.node_leader as node_leader
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now
from sapphirelead.node_election import ELECTION_TIMEOUT_S
from sapphirelead.node_leader import Leader
from sapphirelead.node_messages import AgentReport, Orders
from sapphirelead.ports import Txn, Write
from sapphirelead.sched_head import HEAD_KEY, MIN_RETRY_DELAY_S, Head, HeadEnd, read_head
from sapphirelead.sched_renewal_holds import SILENCE_THRESHOLD_S, RenewalHolds
from sapphirelead.sched_renewals import RenewalList
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_timing import HEAD_LEASE_S, Bounds
from tests.sched.fakes import job, worker_info
from tests.sched.test_leader import SlowTable, leading
from tests.sched.test_renewals import instance
from tests.sched.test_stale_leaders import StaleLeaders, running
from tests.unit.fakes import MemoryTable

pytestmark = [pytest.mark.looptime, pytest.mark.timeout(60)]

MAX_WAIT_S = 2 * (HEAD_LEASE_S + Bounds().loss_s)


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # No suspension is simulated, so the clock that includes suspensions equals the loop's clock.
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


async def test_a_leader_without_the_store_does_not_send_a_lost_start_again() -> None:
    """Guards against a second run by a start that a stale leader repeats after its successor acted.

    The successor counts only leases; a start needs none.
    """
    leaders = StaleLeaders(seed=1)
    async with running(leaders):
        stale = leaders.terms[0]
        await asyncio.sleep(1.0)
        for agent in leaders.agents:
            agent.term = None
        spec = job("a1", StepSpec(cpu_millicores=1000))
        stale.leader.sched.submit(spec, lambda *_: None)
        stale.leader.wake()
        await asyncio.sleep(0.1)
        (run,) = stale.leader.sched.fleet.runs.values()
        assert leaders.starts == 0
        stale.table.cut = True
        await leaders.elect()
        cut_off = next(agent for agent in leaders.agents if agent.name == run.agent)
        for agent in leaders.agents:
            if agent is not cut_off:
                agent.term = leaders.terms[-1]
        until = now() + MAX_WAIT_S
        while not leaders.starts and now() < until:
            await asyncio.sleep(0.1)
        assert leaders.starts == 1, "the successor has not started the task elsewhere"
        cut_off.term = stale
        await asyncio.sleep(5.0)
    assert leaders.overlaps == []


async def test_a_predecessor_of_the_previous_version_counts_from_its_last_try() -> None:
    """Guards against too early a bound for a leader that resolved a lost reply by a later try.

    The previous version renews leases until ``HEAD_LEASE_S`` after its last try, which it may make
    until its row is replaced.
    """
    table = MemoryTable()
    value = {"epoch": 4, "leader": "e1", "txn": "t"}
    await table.commit(Txn("t", (), (Write(HEAD_KEY, value),)))
    seen = (await read_head(table)).unwrap()
    seen_at = now()
    await asyncio.sleep(ELECTION_TIMEOUT_S)
    last_try_at = now()
    head = await Head.take(table, seen, "e2", seen_at)
    assert head is not None
    assert head.prior.latest("g1") >= last_try_at + HEAD_LEASE_S


@pytest.mark.parametrize("faults", [["lost_after"], ["lost_before", "rejected"]])
async def test_a_leader_counts_as_confirmed_from_its_first_try(faults: list[str]) -> None:
    """Guards against renewals past the bound that a successor derives from the row's first try."""
    table = MemoryTable()
    head = await Head.take(table, (await read_head(table)).unwrap(), "e1")
    assert head is not None
    table.faults = faults
    began = now()
    assert await head.commit([]) is HeadEnd.STORED
    assert now() - began >= MIN_RETRY_DELAY_S
    assert head.stored_at == began


@pytest.mark.parametrize("releases", [False, True])
async def test_a_row_states_the_renewals_of_all_leaders_before(releases: bool) -> None:
    """Guards against a leader of a short term whose row hides an earlier leader's renewals."""
    table = MemoryTable()
    first = await Head.take(table, (await read_head(table)).unwrap(), "e1")
    assert first is not None
    assert await first.commit([], RenewalList()) is HeadEnd.STORED
    seen = (await read_head(table)).unwrap()
    second = await Head.take(table, seen, "e2", now())
    assert second is not None
    bound = second.prior.latest("g1")
    if releases:
        await second.release()
    third = await Head.take(table, (await read_head(table)).unwrap(), "e3")
    assert third is not None
    assert third.prior.latest("g1") >= bound >= first.stored_at + HEAD_LEASE_S


def test_a_listed_age_counts_from_a_possible_renewal_by_an_earlier_leader() -> None:
    """Guards against an age that starts at a report although a stale leader may renew after it."""
    agent = instance("g1", reported_at=10.0, renewed_at=12.5)
    listed = RenewalHolds(RenewalList()).next_list([agent], 12.0)
    assert listed.ages_ms == {"g1": -500}


async def test_an_own_renewal_leaves_a_later_bound_of_an_earlier_leader() -> None:
    """Guards against forgetting a stale leader's renewals with the first one of its successor."""
    leaders = StaleLeaders(seed=1)
    async with running(leaders):
        await asyncio.sleep(1.0)
        leaders.terms[0].table.cut = True
        await leaders.elect()
        sched = leaders.terms[-1].leader.sched
        bound = leaders.terms[-1].leader.head.prior.latest("g0")
        for agent in leaders.agents:
            agent.term = leaders.terms[-1]
        await asyncio.sleep(1.0)
        assert sched.fleet.instance("g0").answered_at > 0, "no lease has been renewed"
        assert now() < bound
        assert sched.fleet.instance("g0").renewed_at == bound


async def test_starts_for_a_held_agent_wait_and_are_sent_once() -> None:
    """Guards against a start that the stored list excludes, and against repeating it on release."""
    table = SlowTable()
    sent: list[Orders] = []

    def send(_: str, orders: Orders) -> bool:
        sent.append(orders)
        return True

    def report(leader: Leader, number: int) -> None:
        info = worker_info("w1")
        leader.on_report(AgentReport("g1", "b", number, leader.head.epoch, 1, info, True, [], []))

    async with leading(table) as leader:
        leader._send = send
        report(leader, 1)
        leader.sched.submit(job(), lambda *_: None)
        leader.wake()
        await asyncio.sleep(0.1)
        assert sum(len(orders.starts) for orders in sent) == 1
        # The first order is lost, and the agent is silent until the list with it is in flight.
        await asyncio.sleep(SILENCE_THRESHOLD_S - 0.2)
        table.unavailable = True
        await asyncio.sleep(1.0)
        sent.clear()
        for number in range(2, 7):
            report(leader, number)
            await asyncio.sleep(0.7)
        assert [orders.starts for orders in sent if orders.starts] == []
        table.unavailable = False
        await asyncio.sleep(2.0)
        report(leader, 7)
        await asyncio.sleep(1.0)
    assert max(len(orders.starts) for orders in sent) == 1
