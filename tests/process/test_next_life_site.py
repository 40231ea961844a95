"""Platform deployments whose workers die in silence and return under their ids within a second."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest

from bench.checker import read_histories
from bench.platform_callers import Balancer, Callers, Job
from bench.platform_checker import check
from bench.platform_logs import runs_listed_by_next_lives
from bench.platform_site import Site
from bench.platform_standin_worker import Crash
from bench.procs import wait_until
from sapphirelead.clock import now

SEED = 1
ENTRIES = 2
AGENTS = 3
SUBMIT_INTERVAL_S = 0.08
WORK_MS = 600
RETURNS = 8
DOWN_S = (0.1, 1.0)
LATE_HEARTBEAT_S = 0.5
RETURN_INTERVAL_S = 1.0
LEADER_DOWNTIME_S = 1.0
NEW_LEADER_S = 2.0
"""Time from the death of a leader by which another one orders starts."""

STORE_SILENT_BEFORE_S = 0.3
"""Time for which the store has been silent when the worker dies.  It returns before the worker
does, so that the starts that have waited for it go out at once."""

COMPLETION_TIMEOUT_S = 30.0


def short_job(rng: random.Random) -> Job:
    step = {"count": 2, "cpu": 200, "mem_mb": 64, "estimate_ms": WORK_MS}
    spec = msgspec.json.encode({"work_ms": WORK_MS}).decode()
    return Job(f"{rng.getrandbits(64):016x}", spec, [step])


@contextlib.asynccontextmanager
async def steady_load(callers: Callers) -> AsyncIterator[None]:
    """Submit short jobs all the time, also while earlier submissions wait."""

    async def submit() -> None:
        async with asyncio.TaskGroup() as submissions:
            while not stopped.is_set():
                job = short_job(callers.rng)
                submissions.create_task(callers.submit_job(job, callers.rng))
                await asyncio.sleep(SUBMIT_INTERVAL_S)

    stopped = asyncio.Event()
    submitting = asyncio.create_task(submit())
    try:
        yield
    finally:
        stopped.set()
        await submitting


async def silence_store(site: Site, seconds: float) -> None:
    with site.fault("store silent"):
        await site.store_fault(down=True, hang=True)
        await asyncio.sleep(seconds)
        await site.store_fault()


async def return_one(
    site: Site, rng: random.Random, late_heartbeat_s: float, silent_store: bool, new_leader: bool
) -> None:
    """Let a random worker die and return, beside the other faults."""
    crash = Crash(rng.uniform(*DOWN_S), rng.uniform(0, late_heartbeat_s))
    async with asyncio.TaskGroup() as faults:
        if new_leader:
            killing = site.restart_together([(site.leader_entry(), LEADER_DOWNTIME_S)])
            faults.create_task(killing)
            await asyncio.sleep(rng.uniform(0, NEW_LEADER_S))
        if silent_store:
            after_s = rng.uniform(0, crash.down_s)
            faults.create_task(silence_store(site, STORE_SILENT_BEFORE_S + after_s))
            await asyncio.sleep(STORE_SILENT_BEFORE_S)
        faults.create_task(site.return_worker(rng.choice(site.workers), crash))


async def wait_for_jobs(callers: Callers) -> None:
    """Wait for the accepted jobs to end and record those that do not.

    The checker judges whether a job may have failed: several crashes may hit the same task.
    """
    watching = asyncio.create_task(callers.watcher(SEED))
    until = now() + COMPLETION_TIMEOUT_S
    while now() < until and callers.open_jobs():
        await asyncio.sleep(0.1)
    watching.cancel()
    for job in callers.open_jobs():
        callers.site.history.record("unfinished", key=job.key, state=job.state)


@pytest.mark.parametrize("new_leader", [False, True], ids=["one_leader", "new_leader"])
@pytest.mark.parametrize("silent_store", [False, True], ids=["store", "silent_store"])
@pytest.mark.parametrize(
    "late_heartbeat_s", [0.0, LATE_HEARTBEAT_S], ids=["heartbeats", "late_heartbeats"]
)
async def test_starts_that_reach_the_next_life_run_once(
    late_heartbeat_s: float, silent_store: bool, new_leader: bool, tmp_path: Path
) -> None:
    """Guards against second runs of tasks that a worker's next life has started for the last."""
    rng = random.Random(SEED)
    async with Site.running(tmp_path, ENTRIES, AGENTS, kept_id_interval=1) as site:
        callers = Callers(site, random.Random(SEED), Balancer(site.entries))
        await callers.configure()

        async def accepted() -> bool:
            await callers.submit_job(short_job(callers.rng), callers.rng)
            return any(job.accepted for job in callers.jobs.values())

        await wait_until("a job is accepted", accepted)
        async with steady_load(callers):
            for _ in range(RETURNS):
                await asyncio.sleep(RETURN_INTERVAL_S)
                await return_one(site, rng, late_heartbeat_s, silent_store, new_leader)
        await wait_for_jobs(callers)
    found = check(read_histories(sorted(tmp_path.glob("*.jsonl"))))
    found += runs_listed_by_next_lives(entry.proc.log for entry in site.entries)
    assert [f"{violation.rule}: {violation.detail}" for violation in found] == []
