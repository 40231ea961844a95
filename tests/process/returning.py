"""An agent beside a stand-in worker that may return as another life, within one process."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any, cast

import aiohttp

from bench.platform_standin_worker import StandInWorker, WorkerSettings, run_instance
from bench.procs import free_port
from sapphirelead.http_guard import HttpGuard
from sapphirelead.http_limits import HttpLimits
from sapphirelead.node_messages import AgentReport, RunPhase
from sapphirelead.platform.heartbeats import WorkerRequestHandler
from sapphirelead.platform.http_server import HttpServer
from sapphirelead.platform.node_file import Address
from sapphirelead.platform.worker import PlatformWorker
from sapphirelead.runner_service import Runner
from sapphirelead.sched_timing import Bounds
from sapphirelead.standin_history import History
from tests.sched.agent_leader import FakeLeader, reported_worker
from tests.sched.test_runner import order
from tests.unit.fakes import MemoryTable

HOST = "127.0.0.1"
WORKER_ID = "i-1"
LONG = '{"work_ms": 0}'


class AgentHarness:
    """An agent that follows a fake leader, and the lives of its worker.

    :ivar worker: the current life.
    :ivar lives: history events of all lives.
    """

    leader: FakeLeader
    runner: Runner
    worker: StandInWorker
    lives: History
    settings: WorkerSettings
    _control: HttpServer
    _serving: "asyncio.Task[None] | None"

    def __init__(self, **settings: Any) -> None:
        port = settings.get("port") or free_port()
        self.lives = History.open("w")
        self.settings = WorkerSettings(
            **{
                "host": HOST,
                "port": port,
                "told": f"{HOST}:{port}",
                "agent": f"{HOST}:{free_port()}",
                "worker_id": WORKER_ID,
                **settings,
            }
        )
        self._serving = None

    async def start_agent(self) -> None:
        """Start an agent process that follows a leader."""
        self.runner = Runner("g1", Bounds(), MemoryTable(), PlatformWorker.connect, cast(Any, None))
        self.leader = FakeLeader(self.runner)
        self.runner._links = cast(Any, self.leader)
        handler = WorkerRequestHandler(self.runner, "svc")
        guard = HttpGuard(HttpLimits.from_machine(300, 4_100), self.runner.metrics)
        self._control = HttpServer.for_clients(handler.handle, guard, shutdown_timeout_s=0.1)
        await self._control.start(Address.parse(self.settings.agent))
        self.runner.start()
        self.leader.order(0)

    async def stop_agent(self) -> None:
        """Stop the agent process; the worker's runs continue."""
        await self._control.stop()
        await self.runner.stop()

    async def start_life(self) -> None:
        """Start the next life of the worker and wait until it listens."""
        self.worker = StandInWorker(self.lives, self.settings)
        self._serving = asyncio.create_task(
            run_instance("w1", self.worker, self.settings, asyncio.Event())
        )
        async with aiohttp.ClientSession() as session:
            while True:
                with suppress(aiohttp.ClientError):
                    async with session.post(f"http://{self.settings.told}/behave", json={}):
                        return
                await asyncio.sleep(0.01)

    async def crash(self) -> None:
        """Crash the worker; connections are refused until its next life."""
        self.worker.crash()
        if self._serving is not None:
            await self._serving
            self._serving = None

    async def start_run(self, task: str, spec: str = LONG, attempt: int = 1) -> None:
        """Order a start and wait until the worker runs it."""
        self.order_start(task, spec, attempt)
        await self.wait(lambda: (task, attempt) in self.worker.state.runs)

    def order_start(self, task: str, spec: str = LONG, attempt: int = 1) -> None:
        """Order a start."""
        starts = [order(task, attempt, payload=spec)]
        self.leader.order(self.report.report_number, starts=starts)

    @property
    def report(self) -> AgentReport:
        """The agent's latest report."""
        return self.leader.reports[-1]

    def reported_worker(self) -> str:
        """Return the worker in the latest report; empty if there is none."""
        return reported_worker(self.leader)

    async def wait_for_next_life(self, before: str) -> None:
        """Wait until a report names a worker, and another life than ``before``."""
        await self.wait(lambda: self.reported_worker() not in ("", before))

    def reported_running(self) -> list[tuple[str, int]]:
        """Return the runs that the latest full report lists as running."""
        full = [report for report in self.leader.reports if report.full][-1]
        return [(run.task, run.attempt) for run in full.runs if run.phase is RunPhase.RUNNING]

    def reported_ends(self) -> dict[tuple[str, int], str]:
        """Return the kinds of all ends in all reports."""
        reports = self.leader.reports
        return {(end.task, end.attempt): end.kind for report in reports for end in report.ends}

    async def wait_for_end(self, task: str, attempt: int = 1) -> None:
        """Wait until the end of a run is reported."""
        await self.wait(lambda: (task, attempt) in self.reported_ends())

    async def wait(self, condition: Any, timeout_s: float = 3.0) -> None:
        """Wait until ``condition`` holds."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)


@asynccontextmanager
async def agent_with_worker(**settings: Any) -> AsyncIterator[AgentHarness]:
    """Run an agent that has met the first life of its worker."""
    harness = AgentHarness(**settings)
    await harness.start_agent()
    await harness.start_life()
    await harness.wait(harness.reported_worker)
    try:
        yield harness
    finally:
        await harness.crash()
        await harness.stop_agent()
