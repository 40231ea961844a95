"""An agent with a fake worker, and a fake leader in place of the agent's links."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Any, cast

from sapphirelead.clock import now
from sapphirelead.model_worker_life import NO_LIFE, WorkerLife
from sapphirelead.node_messages import (
    AgentReport,
    AnyNodeMessage,
    Orders,
    StartOrder,
    StopOrder,
    reported_life,
)
from sapphirelead.runner_service import Runner
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import FakeWorker, worker_info
from tests.unit.fakes import MemoryTable

TASK = "a.0.0.0"


class FakeLeader:
    """A leader in place of one agent's links; acknowledges reports if ``acknowledges`` is set."""

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.reports: list[AgentReport] = []
        self.reported_at: list[float] = []
        self.acknowledges = True
        self.epoch = 1
        self.order_count = 0

    def send(self, name: str, message: AnyNodeMessage) -> bool:
        if isinstance(message, AgentReport):
            self.reports.append(message)
            self.reported_at.append(now())
            if self.acknowledges:
                self.order(message.report_number, report_number=message.report_number)
        return True

    def send_all(self, message: AnyNodeMessage) -> None:
        return None

    def set_entries(self, entries: list[Any]) -> None:
        return None

    async def stop(self) -> None:
        return None

    def order(
        self,
        based_on_report: int,
        report_number: int = 0,
        starts: Iterable[StartOrder] = (),
        stops: Iterable[StopOrder] = (),
        stored: Iterable[tuple[str, int]] = (),
    ) -> None:
        """Send orders that are based on the report ``based_on_report``."""
        boot = self.runner._boot
        self.order_count += 1
        orders = Orders(
            self.epoch,
            "e",
            boot,
            report_number,
            based_on_report,
            reported_worker(self),
            list(starts),
            list(stops),
            list(stored),
            number=self.order_count,
        )
        self.runner._on_message("e", orders)


def reported_worker(leader: FakeLeader) -> WorkerLife:
    """Return the worker in the agent's latest report; empty if there is none."""
    return reported_life(leader.reports[-1].worker) if leader.reports else NO_LIFE


@asynccontextmanager
async def run_agent(
    worker: FakeWorker,
    table: MemoryTable | None = None,
    life: str = "w1",
    met: bool = True,
    bounds: Bounds | None = None,
) -> AsyncIterator[FakeLeader]:
    """Run an agent beside ``worker`` that follows a leader.

    :param met: whether the worker has sent a heartbeat to it.
    """
    limits = bounds or Bounds()
    runner = Runner("g1", limits, table or MemoryTable(), lambda *_: worker, cast(Any, None))
    leader = FakeLeader(runner)
    runner._links = cast(Any, leader)
    runner.start()
    if met:
        await runner.worker_heartbeat(worker_info(life), "x", 1)
    leader.order(0)
    await asyncio.sleep(0.1)
    try:
        yield leader
    finally:
        await runner.stop()
        await worker.close()
