"""A worker that runs on while the connections of its agent are refused."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from bench.procs import free_port
from bench.proxy import Proxy
from tests.process.returning import HOST, AgentHarness, agent_with_worker

TASK = "a1.0.0.0"
REFUSED_S = 5.0


@asynccontextmanager
async def agent_with_proxied_worker() -> AsyncIterator[tuple[AgentHarness, Proxy]]:
    """Run an agent that reaches its worker through a proxy."""
    port = free_port()
    proxy = await Proxy.start(port, HOST)
    try:
        async with agent_with_worker(port=port, told=f"{HOST}:{proxy.port}") as harness:
            yield harness, proxy
    finally:
        await proxy.stop()


@pytest.mark.parametrize("refused_s", [0.6, REFUSED_S])
async def test_a_run_whose_worker_refuses_connections_counts_as_running(refused_s: float) -> None:
    """Guards against a second run of a task whose worker runs on while it refuses connections."""
    async with agent_with_proxied_worker() as (harness, proxy):
        await harness.start_run(TASK)
        await harness.wait(lambda: harness.reported_running() == [(TASK, 1)])
        life = harness.reported_worker()
        proxy.close_port()
        await asyncio.sleep(refused_s)
        assert (TASK, 1) in harness.worker.state.runs
        await proxy.open_port()
        await harness.wait(lambda: harness.reported_worker() == life)
        await harness.wait(lambda: harness.reported_running() == [(TASK, 1)])
        assert (TASK, 1) in harness.worker.state.runs
        assert not any(life in report.ended_workers for report in harness.leader.reports)
        assert harness.reported_ends() == {}
