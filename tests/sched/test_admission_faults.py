"""Admission control when leaders, rows, the store, tickets or the configuration fail or change."""

import asyncio
import random
from collections import defaultdict
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from itertools import count

import msgspec
import pytest
from loguru import logger

import sapphirelead.node_leader as node_leader
import sapphirelead.sched_head as sched_head
from sapphirelead.admission.leader import ROW_KEY, LeaderAdmission
from sapphirelead.clock import now
from sapphirelead.errors import Code
from sapphirelead.metrics import Metrics
from sapphirelead.node_leader import Leader
from sapphirelead.node_leader_calls import MayArrive
from sapphirelead.node_leader_parts import LeaderParts
from sapphirelead.node_leader_rows import MAX_BYTES, LeaderRows
from sapphirelead.node_messages import AgentReport, Call, CallKind, Reply, ReplyKind
from sapphirelead.ports import Row
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_job import JobState, encode_spec
from sapphirelead.sched_journal import SPEC_PREFIX
from sapphirelead.sched_parts import ALL_OFF, AdmissionConfig, PartsConfig
from tests.sched.admission_world import STEP, World
from tests.sched.fakes import job, scheduler, worker_info
from tests.sched.test_leader import SlowTable, leading

ON = QueueConfig(1, parts=PartsConfig(admission=AdmissionConfig()))


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # No suspension is simulated, so the clock that includes suspensions equals the loop's clock.
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)


@pytest.fixture(autouse=True)
def _without_log() -> Iterator[None]:
    logger.disable("sapphirelead")
    yield
    logger.enable("sapphirelead")


def fill(world: World) -> int:
    """Submit jobs until one is refused; return the number of accepted ones."""
    accepted = 0
    while world.submit(world.job(f"fill{len(world.sched.jobs)}")) is None:
        accepted += 1
    return accepted


def successor(world: World, led_s: float = 3.0) -> World:
    """Return the world under a new leader that has heard of no worker, and its predecessor's row.

    :param led_s: time led since the row was written.
    """
    row = world.admission.encode(world.at)
    new = World(workers=0, at=world.at + led_s, callers=world.callers)
    new.sched = scheduler()
    new.sched.began_at = new.at
    new.sched.policies = world.sched.policies
    new.admission = new.new_admission()
    new.runs, new.agents.sched = world.runs, new.sched
    for known in world.sched.jobs.values():
        new.sched.load(known)
    if row is not None:
        new.admission.restore(row, led_s)
    return new


def test_a_new_leader_without_a_row_refuses_nothing_until_the_agents_have_reported() -> None:
    """Guards against refusals by a leader that takes unknown workers for absent ones."""
    world = World(workers=0)
    world.sched.began_at = world.at
    world.admission = world.new_admission()
    world.report("g0")
    assert all(world.submit(world.job(f"a{number}")) is None for number in range(200))
    world.at += 1.0
    world.report("g0")
    assert world.submit(world.job("b")) is None
    world.at += 1.0
    world.report("g0")
    assert world.submit(world.job("c")) is not None


def test_a_burst_of_returns_at_a_change_of_leaders_does_not_collapse() -> None:
    """Guards against a new leader that accepts 2,000 jobs before it has heard of its workers."""
    world = World()
    world.advance(5.0, per_s=10.0)
    new = successor(world)
    for number in range(2_000):
        new.arrive(new.job(f"burst{number}"))
    new._call()
    burst = [caller for name, caller in new.callers.items() if name.startswith("burst")]
    accepted = [caller for caller in burst if not caller.refusals]
    assert len(accepted) <= 50
    for agent in new.runs:
        new.report(agent)
    new.advance(30.0)
    served = [caller for caller in burst if caller.ended_at < new.at]
    assert len(served) >= 0.9 * 10 * 25
    assert sum(caller.in_time for caller in served) >= 0.95 * len(served)


def test_a_ticket_holds_its_place_under_the_next_leader() -> None:
    """Guards against callers that lose their turn because the leader has changed."""
    world = World()
    fill(world)
    refusal = world.submit(world.job("mine"))
    assert refusal is not None
    new = successor(world, led_s=refusal.retry_after_s)
    for agent in new.runs:
        new.report(agent)
    while new.submit(new.job(f"other{len(new.sched.jobs)}")) is None:
        pass
    place = new.admission._place(new.job("mine"), new.sched.policies["q"], refusal.ticket, new.at)
    assert place is not None and place.on_time(new.at)


def test_a_forged_ticket_is_none() -> None:
    """Guards against callers that take a place that nobody has given to them."""
    world = World()
    fill(world)
    refusal = world.submit(world.job("mine"))
    assert refusal is not None
    policy = world.sched.policies["q"]
    version, due, cost, signature = refusal.ticket.split(".")
    forged = [
        "",
        "x",
        "....",
        "1.2.3.é",
        f"{version}.{int(due) - 5_000}.{cost}.{signature}",
        refusal.ticket * 20,
    ]
    other = world.job("other")
    for ticket in (*forged, refusal.ticket):
        assert world.admission._place(other, policy, ticket, world.at) is None
    assert world.submit(other, refusal.ticket) is not None


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode([2, b"k", 0, {}]),
        msgspec.msgpack.encode([1, "k", 0, {}]),
        msgspec.msgpack.encode([1, b"k", 0, {"svc": [1.0]}]),
    ],
)
def test_an_unreadable_row_counts_as_none(data: bytes) -> None:
    """Guards against a leader that cannot serve because of a damaged row."""
    world = World()
    key = world.admission._ticket_key
    world.admission.restore(data, 1.0)
    assert world.admission._ticket_key == key
    assert not world.admission._inherited


def test_a_ticket_of_a_lost_key_makes_a_newcomer() -> None:
    """Guards against trusting tickets after the row with their key is gone."""
    world = World()
    fill(world)
    refusal = world.submit(world.job("mine"))
    assert refusal is not None
    world.admission = world.new_admission()
    assert (
        world.admission._place(
            world.job("mine"), world.sched.policies["q"], refusal.ticket, world.at
        )
        is None
    )


def test_the_row_is_small_and_written_only_when_it_changes() -> None:
    """Guards against a row that grows with the load, or is written with each transaction."""
    world = World()
    world.advance(10.0, per_s=30.0)
    first = world.admission.encode(world.at)
    world.advance(10.0, per_s=30.0)
    assert first is not None and len(first) < 1_000
    assert world.admission.encode(world.at) == first
    for number in range(1_000):
        world.admission.ledger.demand(f"s{number}" * 10).capacity = (1.0, 1.0, 1.0, 1.0)
    large = world.admission.encode(world.at)
    assert large is not None and len(large) <= MAX_BYTES


def test_a_successor_reads_what_the_leader_has_written() -> None:
    """Guards against a row that the next leader cannot use."""
    world, other = World(), World()
    world.advance(1.0, per_s=5.0)
    (write,) = LeaderRows([world.admission]).writes(world.at, 20.0)
    LeaderRows([other.admission]).restore([Row(ROW_KEY, 1, write.value)], 21.0)
    assert other.admission._ticket_key == world.admission._ticket_key


def test_switched_off_it_leaves_no_trace() -> None:
    """Guards against effects of a part that is not configured."""
    sched = scheduler()
    parts = LeaderParts(sched, Metrics(lambda: 0.0))
    parts.set_config(ALL_OFF)
    assert parts.admission is None and not sched.observers and not parts.keys
    assert not parts.writes(1.0, 1.0, last=True)


@pytest.mark.looptime
async def test_switching_it_on_and_off_under_load_leaves_no_observer() -> None:
    """Guards against observers that add up while the configuration changes."""
    sched = scheduler()
    parts = LeaderParts(sched, Metrics(lambda: 0.0))
    for wait_s in (10.0, 20.0, 30.0):
        parts.set_config(PartsConfig(admission=AdmissionConfig(wait_s)))
        assert len(sched.observers) == 1 and list(parts.keys) == [ROW_KEY]
        assert parts.admission is not None and parts.admission.config.max_wait_s == wait_s
    parts.set_config(ALL_OFF)
    assert not sched.observers and not parts.keys


# At a leader with a store


@asynccontextmanager
async def full_leader(
    table: SlowTable, may_arrive: MayArrive = lambda _: False
) -> AsyncIterator[Leader]:
    """Run a leader with one worker and a queue that refuses further jobs."""
    async with leading(table, may_arrive) as leader:
        leader.set_config(ON)
        reports = asyncio.create_task(keep_reporting(leader))
        await asyncio.sleep(2.0)
        number = 0
        while (await submit(leader, number)).kind is ReplyKind.OK:
            number += 1
        try:
            yield leader
        finally:
            reports.cancel()


async def keep_reporting(leader: Leader) -> None:
    number = 0
    while True:
        number += 1
        info = worker_info("w1")
        leader.on_report(AgentReport("g1", "b", number, leader.head.epoch, 1, info, True, [], []))
        await asyncio.sleep(0.4)


async def submit(leader: Leader, number: int, job_id: str = "", ticket: str = "") -> Reply:
    """Submit a job in call ``number``, by default one of its own."""
    spec = job(job_id or f"a{number}", STEP)
    call = Call(number, CallKind.SUBMIT, "q", spec.job_id, 1, encode_spec(spec), ticket=ticket)
    return await leader.call(call, now() + 3.0)


@pytest.mark.looptime
async def test_a_refused_job_is_not_stored_and_never_runs() -> None:
    """Guards against running a job whose caller was told that it does not."""
    table = SlowTable()
    async with full_leader(table) as leader:
        reply = await submit(leader, 900, "refused")
        assert (reply.kind, reply.code) == (ReplyKind.NOT_RUN, Code.TOO_LATE)
        assert reply.retry_after_s > 0 and reply.ticket and reply.detail
        again = await submit(leader, 900, "refused")
        assert again.kind is ReplyKind.NOT_RUN
        leader.set_config(QueueConfig(2))
        late = await submit(leader, 900, "refused")
        assert late.kind is ReplyKind.NOT_RUN, "a late copy of the same call, with room for the job"
        await asyncio.sleep(1.0)
        assert leader.sched.state("refused") is None
        assert not any("refused" in key for key in table.data)


@pytest.mark.looptime
async def test_a_repeated_submission_of_an_accepted_job_is_accepted() -> None:
    """Guards against telling the caller of an accepted job that it was refused."""
    async with full_leader(SlowTable()) as leader:
        reply = await submit(leader, 901, "a0")
        assert (reply.kind, reply.conflicting) == (ReplyKind.OK, False)


@pytest.mark.looptime
async def test_a_job_that_is_being_stored_is_not_refused() -> None:
    """Guards against refusing a repeat while the first submission is being written."""
    table = SlowTable()
    async with leading(table) as leader:
        leader.set_config(ON)
        reports = asyncio.create_task(keep_reporting(leader))
        await asyncio.sleep(2.0)
        table.takes_s = 0.3
        calls = [asyncio.create_task(submit(leader, number)) for number in range(40)]
        await asyncio.sleep(0.05)
        repeats = [asyncio.create_task(submit(leader, 50 + n, f"a{n}")) for n in range(40)]
        first, second = await asyncio.gather(*calls), await asyncio.gather(*repeats)
        reports.cancel()
        assert {reply.kind for reply in first} == {ReplyKind.OK, ReplyKind.NOT_RUN}
        for one, other in zip(first, second, strict=True):
            assert one.kind is not ReplyKind.OK or other.kind is ReplyKind.OK


@pytest.mark.looptime
async def test_a_job_that_an_earlier_call_may_still_bring_is_not_refused() -> None:
    """Guards against a refusal after which an earlier copy of the submission is accepted."""
    async with full_leader(SlowTable(), lambda job_id: job_id == "queued") as leader:
        assert (await submit(leader, 902, "other")).kind is ReplyKind.NOT_RUN
        assert (await submit(leader, 903, "queued")).kind is ReplyKind.OK


@pytest.mark.looptime
async def test_jobs_are_refused_while_the_store_is_slow() -> None:
    """Guards against refusals that wait for the store."""
    table = SlowTable()
    async with full_leader(table) as leader:
        table.takes_s = 0.39
        await asyncio.sleep(1.0)
        began = now()
        assert (await submit(leader, 904, "refused")).kind is ReplyKind.NOT_RUN
        assert now() - began < 0.02


@pytest.mark.looptime
async def test_accepted_jobs_survive_a_leader_that_is_killed_while_it_refuses() -> None:
    """Guards against losing accepted jobs, or finding refused ones, after a change of leaders."""
    table = SlowTable()
    async with full_leader(table) as leader:
        await submit(leader, 905, "refused")
        accepted = set(leader.sched.jobs)
        await asyncio.sleep(1.5)
    async with leading(table) as after:
        assert set(after.sched.jobs) == accepted
        assert all(after.sched.state(name) is not JobState.FAILED for name in accepted)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(20))
async def test_random_faults_lose_no_accepted_job_and_store_no_refused_one(seed: int) -> None:
    """Guards against answers that a lost commit, a repeat or the next leader makes untrue."""
    rng = random.Random(seed)
    table, told, numbers = SlowTable(), defaultdict[str, list[ReplyKind]](list), count()

    async def call(leader: Leader, job_id: str) -> None:
        told[job_id].append((await submit(leader, next(numbers), job_id)).kind)

    for _ in range(3):
        async with leading(table) as leader:
            leader.set_config(ON)
            reports = asyncio.create_task(keep_reporting(leader))
            calls = []
            for _ in range(60):
                await asyncio.sleep(rng.uniform(0.0, 0.1))
                if rng.random() < 0.1:
                    table.faults.append(rng.choice(["lost_after", "lost_before", "rejected"]))
                job_id = f"{rng.randrange(60):x}"
                calls.append(asyncio.create_task(call(leader, job_id)))
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            leader.resign()
            await asyncio.gather(*calls)
            reports.cancel()
        table.faults.clear()
    kept = {key.removeprefix(SPEC_PREFIX) for key in table.data if key.startswith(SPEC_PREFIX)}
    accepted = {job_id for job_id, kinds in told.items() if ReplyKind.OK in kinds}
    refused = {job_id for job_id, kinds in told.items() if set(kinds) == {ReplyKind.NOT_RUN}}
    assert accepted and refused
    assert accepted <= kept
    assert not refused & kept


def test_a_switched_on_part_counts_what_runs_already() -> None:
    """Guards against a part that takes occupied workers for free ones."""
    world = World(on=False)
    world.advance(2.0, per_s=30.0)
    late = LeaderAdmission(
        world.sched,
        Metrics(lambda: world.at),
        AdmissionConfig(),
        clock=lambda: world.at,
        wall=lambda: int(world.at * 1000),
    )
    assert late.decide(world.job("x"), "", world.at) is not None
