"""An agent's starts while its zone is evacuated, or may be; fake worker, simulated clock."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from sapphirelead.node_messages import Orders, StartOrder, ZoneNotice
from sapphirelead.runner_service import Runner
from sapphirelead.sched_timing import START_DEADLINE_S, Bounds
from sapphirelead.sched_zones import START_MARGIN_S, ZONE_EVACUATED, ZONE_UNKNOWN
from tests.sched.agent_leader import FakeLeader, reported_worker
from tests.sched.fakes import FakeWorker, worker_info
from tests.sched.test_runner import order
from tests.unit.fakes import MemoryTable

pytestmark = pytest.mark.looptime

BOUND_S = 5.0
OPEN = ZoneNotice(False, 0.0)
EVACUATED = ZoneNotice(True, 0.0)


@pytest.fixture(autouse=True)
def _one_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    # No suspension is simulated, so the clock that includes suspensions equals the loop's clock.
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


class ZoneLeader(FakeLeader):
    """A leader that tells its agent about the zone."""

    def tell(
        self, zone: ZoneNotice | None, starts: tuple[StartOrder, ...] = (), based_on: int = 0
    ) -> None:
        """Send orders with a zone notice, based on the latest report or an earlier one."""
        self.order_count += 1
        orders = Orders(
            self.epoch,
            "e",
            self.runner._boot,
            0,
            based_on or self.reports[-1].report_number,
            reported_worker(self),
            list(starts),
            [],
            [],
            number=self.order_count,
            zone=zone,
        )
        self.runner._on_message("e", orders)

    @property
    def refusals(self) -> dict[str, str]:
        """Reasons why starts did not happen, by task."""
        life = self.runner._life
        assert life is not None
        return {end.task: end.reason for end in life.registry.ends.values() if not end.number}


@asynccontextmanager
async def run_agent(worker: FakeWorker, bound_s: float = BOUND_S) -> AsyncIterator[ZoneLeader]:
    """Run an agent beside ``worker`` that follows a leader."""
    bounds = Bounds(evacuate_s=bound_s)
    runner = Runner("g1", bounds, MemoryTable(), lambda *_: worker, cast(Any, None))
    leader = ZoneLeader(runner)
    runner._links = cast(Any, leader)
    runner.start()
    await runner.worker_heartbeat(worker_info("w1"), "x", 1)
    leader.order(0)
    await asyncio.sleep(0.1)
    try:
        yield leader
    finally:
        await runner.stop()


async def test_an_agent_starts_nothing_in_an_evacuated_zone_until_it_is_restored() -> None:
    worker = FakeWorker(work_s=30)
    async with run_agent(worker) as leader:
        leader.tell(OPEN, (order("a.0.0.0"),))
        await asyncio.sleep(0.1)
        leader.tell(EVACUATED, (order("a.0.0.1"),))
        await asyncio.sleep(0.1)
        assert leader.refusals == {"a.0.0.1": ZONE_EVACUATED}
        assert [run.task for run in worker.runs.values()] == ["a.0.0.0"]
        leader.tell(OPEN, (order("a.0.0.2"),))
        await asyncio.sleep(0.1)
        assert worker.starts == 2


async def test_a_run_goes_on_and_its_repeated_order_is_no_second_start() -> None:
    """Guards against a repeated order that is refused although its run is there."""
    worker = FakeWorker(work_s=30)
    async with run_agent(worker) as leader:
        leader.tell(OPEN, (order(),))
        await asyncio.sleep(0.1)
        leader.tell(EVACUATED, (order(),))
        await asyncio.sleep(0.5)
        assert leader.refusals == {}
        assert (worker.starts, len(worker.runs)) == (1, 1)


async def test_a_start_that_waits_for_a_call_is_refused_once_the_zone_is_evacuated() -> None:
    """Guards against orders of before the evacuation that are carried out after it."""
    worker = FakeWorker(work_s=30)
    async with run_agent(worker) as leader:
        life = leader.runner._life
        assert life is not None
        life.in_doubt = True
        leader.tell(OPEN, (order(),))
        leader.tell(EVACUATED)
        life.in_doubt = False
        await asyncio.sleep(0.3)
        assert leader.refusals == {"a.0.0.0": ZONE_EVACUATED}
        assert worker.starts == 0


@pytest.mark.parametrize("fault", ["unanswered", "lost", "late"])
async def test_a_start_without_an_answer_is_settled_before_it_counts_as_refused(
    fault: str,
) -> None:
    """Guards against a start that is both carried out and told to be refused."""
    worker = FakeWorker(work_s=30)
    async with run_agent(worker) as leader:
        worker.faults = [fault]
        leader.tell(OPEN, (order(),))
        await asyncio.sleep(0.01)
        leader.tell(EVACUATED)
        life = leader.runner._life
        assert life is not None
        while not life.registry.ends:
            assert not leader.refusals
            await asyncio.sleep(0.02)
        assert not worker.runs
        await asyncio.sleep(worker.late_s + START_DEADLINE_S)
        assert not worker.runs
        assert leader.refusals == ({} if fault == "lost" else {"a.0.0.0": ZONE_EVACUATED})


@pytest.mark.parametrize(
    ("notice", "reason"),
    [
        (None, ZONE_UNKNOWN),
        (ZoneNotice(False, BOUND_S - START_MARGIN_S + 0.1), ZONE_UNKNOWN),
        (ZoneNotice(False, BOUND_S / 2), None),
    ],
)
async def test_a_start_by_an_old_read_of_the_zones_is_refused(
    notice: ZoneNotice | None, reason: str | None
) -> None:
    """Guards against an agent that relies on a leader without the store."""
    worker = FakeWorker(work_s=30)
    async with run_agent(worker) as leader:
        leader.tell(notice, (order(),))
        await asyncio.sleep(0.2)
        assert leader.refusals == ({"a.0.0.0": reason} if reason else {})
        assert worker.starts == (0 if reason else 1)


async def test_a_start_is_not_called_later_than_the_bound_after_the_read() -> None:
    """Guards against an order that waits at the agent for longer than the bound."""
    worker = FakeWorker(work_s=30)
    worker.faults = ["unanswered"]
    async with run_agent(worker) as leader:
        leader.tell(ZoneNotice(False, BOUND_S - 2 * START_MARGIN_S), (order(),))
        await asyncio.sleep(2.0)
        assert worker.starts == 1
        assert leader.refusals == {"a.0.0.0": ZONE_UNKNOWN}


async def test_without_a_bound_old_reads_count_and_evacuations_too() -> None:
    worker = FakeWorker(work_s=30)
    async with run_agent(worker, float("inf")) as leader:
        leader.tell(None, (order("a.0.0.0"),))
        leader.tell(ZoneNotice(False, 60.0), (order("a.0.0.1"),))
        await asyncio.sleep(0.2)
        leader.tell(EVACUATED, (order("a.0.0.2"),))
        await asyncio.sleep(0.2)
        assert (worker.starts, leader.refusals) == (2, {"a.0.0.2": ZONE_EVACUATED})


async def test_a_leader_that_does_not_know_the_zones_does_not_restore_one() -> None:
    """Guards against a new leader that opens a zone before it has read the rows."""
    worker = FakeWorker(work_s=30)
    async with run_agent(worker) as leader:
        leader.tell(EVACUATED)
        leader.epoch = 2
        leader.tell(None, (order(),))
        await asyncio.sleep(0.2)
        assert leader.refusals == {"a.0.0.0": ZONE_EVACUATED}
        leader.epoch = 1
        leader.tell(OPEN, (order("a.0.0.1"),))
        await asyncio.sleep(0.2)
        assert worker.starts == 0
