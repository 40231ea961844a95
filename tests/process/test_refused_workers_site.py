"""Platform deployments in which connections to a worker are refused while it runs on."""

import asyncio
import random
from collections import Counter
from pathlib import Path

import pytest

from bench.checker import Event, read_histories
from bench.platform_callers import Balancer, Callers, Job
from bench.platform_checker import check
from bench.platform_site import Node, Site, Worker
from bench.procs import wait_until

TASKS = 6
LEASES_RENEWED_S = 2.0
"""Time from the starts until the worker's lease is as long as it may be."""

REFUSED_S = 2.0
KILLED_AFTER_S = 1.0
"""Time after which the refused runs would have started again elsewhere, before their lease ends."""

ENTRY_DOWNTIME_S = 0.5
AGENT_DOWNTIME_S = 0.3
SETTLE_S = 6.0


def lasting_job() -> Job:
    step = {"count": TASKS, "cpu": 500, "mem_mb": 64, "long_running": True}
    return Job("00000000000000aa", '{"work_ms":0}', [step], long_running=True)


def history(folder: Path) -> list[Event]:
    return read_histories(sorted(folder.glob("*.jsonl")))


def busiest_worker(site: Site) -> Worker:
    """Return the worker on which most tasks have started."""
    starts = {
        worker.name: sum(
            event["event"] == "run_start"
            for event in read_histories([site.folder / f"{worker.name}.jsonl"])
        )
        for worker in site.workers
    }
    return max(site.workers, key=lambda worker: starts[worker.name])


def downtimes(site: Site, killed: str) -> list[tuple[Node, float]]:
    entries = [(entry, ENTRY_DOWNTIME_S) for entry in site.entries]
    agents = [(agent, AGENT_DOWNTIME_S) for agent in site.agents]
    return {"none": [], "entries": entries, "all": [*entries, *agents]}[killed]


@pytest.mark.parametrize("killed", ["none", "entries", "all"])
async def test_tasks_of_a_refused_worker_do_not_run_twice(killed: str, tmp_path: Path) -> None:
    """Guards against second runs of tasks whose worker runs on while it refuses connections.

    New agents meet the worker again and list the first runs, which the new leader then stops.
    """
    async with Site.running(tmp_path, 2, 3) as site:
        callers = Callers(site, random.Random(1), Balancer(site.entries))
        await callers.configure()
        job = lasting_job()

        async def running() -> bool:
            if not job.accepted:
                await callers.submit_job(job, callers.rng)
            return Counter(event["event"] for event in history(tmp_path))["run_start"] >= TASKS

        await wait_until("all tasks run", running, 30.0)
        await asyncio.sleep(LEASES_RENEWED_S)
        worker = busiest_worker(site)
        refusing = asyncio.create_task(site.refuse_worker(worker, REFUSED_S))
        await asyncio.sleep(KILLED_AFTER_S)
        await site.restart_together(downtimes(site, killed))
        await refusing
        await asyncio.sleep(SETTLE_S)
    found = [f"{violation.rule}: {violation.detail}" for violation in check(history(tmp_path))]
    assert found == []
