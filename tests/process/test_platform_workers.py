"""Platform deployments whose workers crash by a task or change their capacity, on loopback."""

import asyncio
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest

from bench.checker import read_histories
from bench.platform_callers import Balancer, Callers, Job
from bench.platform_checker import check
from bench.platform_site import KEPT_ID_INTERVAL, WORKER_CPU, WORKER_MEM_MB, Site
from bench.platform_standin_worker import Capacity
from bench.procs import wait_until

QUIET_JOBS = 12
SUBMIT_INTERVAL_S = 0.4
COMPLETION_TIMEOUT_S = 18.0
SHRUNK_S = 8.0
SHRUNK_JOBS = 12
RESTART_TIMEOUT_S = 6.0
"""Time after its last run within which a long-running task must run again."""


def make_job(number: int, script: dict[str, Any], **step: Any) -> Job:
    """Return a job of one step."""
    steps = [{"count": 1, "cpu": 600, "mem_mb": 64, **step}]
    spec = msgspec.json.encode(script).decode()
    poison = "crash_after_ms" in script
    long_running = "long_running" in step and not poison
    return Job(f"{number:016x}", spec, steps, long_running, poison)


def quiet_job(number: int) -> Job:
    """Return a job of short tasks, or one of long-running tasks."""
    work_ms = (0, 300, 900, 2_000)[number % 4]
    kind = {"estimate_ms": work_ms} if work_ms else {"long_running": True, "cpu": 200}
    return make_job(number, {"work_ms": work_ms}, count=2, **kind)


@asynccontextmanager
async def deployment(
    folder: Path, agents: int, kept_id_interval: int = KEPT_ID_INTERVAL
) -> AsyncIterator[Callers]:
    """Run a site whose clients can submit jobs."""
    folder.mkdir()
    async with Site.running(
        folder, 2, agents, worker_proxies=False, kept_id_interval=kept_id_interval
    ) as site:
        callers = Callers(site, random.Random(1), Balancer(site.entries))
        await callers.configure()
        first = make_job(0, {"work_ms": 100}, estimate_ms=100)

        async def accepted() -> bool:
            await callers.submit_job(first, callers.rng)
            return first.accepted > 0

        await wait_until("the first job is accepted", accepted, 30.0)
        watching = asyncio.create_task(callers.watcher(1))
        yield callers
        watching.cancel()


async def wait_for_ends(callers: Callers) -> None:
    """Wait until every job has ended or, if long-running, runs."""

    def waiting() -> list[Job]:
        jobs = callers.incomplete_jobs()
        return [job for job in jobs if not (job.long_running and job.state == "running")]

    async def ended() -> bool:
        return not waiting()

    try:
        await wait_until("all jobs end", ended, COMPLETION_TIMEOUT_S)
    except AssertionError as exc:
        states = {job.key: (job.spec, job.state) for job in waiting()}
        raise AssertionError(f"{exc}: {states}") from exc


def violations(folder: Path) -> list[str]:
    events = read_histories(sorted(folder.glob("*.jsonl")))
    return [f"{found.rule}: {found.detail}" for found in check(events)]


@pytest.mark.parametrize(
    ("script", "step"),
    [
        ({"crash_after_ms": 10}, {"estimate_ms": 1_000}),
        ({"crash_after_ms": 10}, {"long_running": True}),
        ({"crash_after_ms": 1_200}, {"estimate_ms": 2_000}),
    ],
    ids=["at-once", "long-running", "after-a-while"],
)
async def test_poison_task_is_given_up_and_quiet_jobs_complete(
    script: dict[str, Any], step: dict[str, Any], tmp_path: Path
) -> None:
    """Guards against a task that goes round all workers and crashes each of them, for ever."""
    folder = tmp_path / "site"
    async with deployment(folder, agents=3) as callers:
        await callers.submit_job(make_job(99, script, **step), callers.rng)
        for number in range(1, QUIET_JOBS + 1):
            await callers.submit_job(quiet_job(number), callers.rng)
            await asyncio.sleep(SUBMIT_INTERVAL_S)
        try:
            await wait_for_ends(callers)
        except AssertionError as exc:
            pytest.fail(f"{exc}\n{violations(folder)}")
    assert violations(folder) == []


async def test_shrinking_workers_are_not_overcommitted(tmp_path: Path) -> None:
    """Guards against starts on a worker whose capacity has shrunk below what runs on it."""
    folder = tmp_path / "site"
    async with deployment(folder, agents=2) as callers:
        site = callers.site
        long = make_job(1, {"work_ms": 3_000}, estimate_ms=3_000, count=4, cpu=1_500)
        await callers.submit_job(long, callers.rng)
        await asyncio.sleep(1.0)
        for worker, cpu in zip(site.workers, (1_000, 0), strict=True):
            await site.set_capacity(worker, Capacity(cpu, WORKER_MEM_MB))
        for number in range(2, 2 + SHRUNK_JOBS):
            job = make_job(number, {"work_ms": 900}, estimate_ms=900, count=2)
            await callers.submit_job(job, callers.rng)
            await asyncio.sleep(SHRUNK_S / SHRUNK_JOBS)
        for worker in site.workers:
            await site.set_capacity(worker, Capacity(WORKER_CPU, WORKER_MEM_MB))
        await wait_for_ends(callers)
    assert violations(folder) == []


@pytest.mark.parametrize(
    "kills", [[(0,), (1,)], [(0, 1, 2), (0, 1, 2)]], ids=["one_by_one", "together"]
)
async def test_long_running_tasks_run_again_after_their_workers_return(
    kills: list[tuple[int, ...]], tmp_path: Path
) -> None:
    """Guards against tasks that never run again because their workers return under their ids.

    No task loses more than two workers, since it may be given up after that.
    """
    folder = tmp_path / "site"
    async with deployment(folder, agents=3, kept_id_interval=1) as callers:
        site = callers.site
        job = make_job(1, {"work_ms": 0}, count=6, cpu=1_000, long_running=True)
        await callers.submit_job(job, callers.rng)
        await wait_until("all tasks run", lambda: running_tasks(folder, job, 6))
        for numbers in kills:
            await asyncio.gather(
                *(site.replace(site.workers[number], signal.SIGKILL) for number in numbers)
            )
            await wait_until(
                "all tasks run again", lambda: running_tasks(folder, job, 6), RESTART_TIMEOUT_S
            )
    assert violations(folder) == []


async def running_tasks(folder: Path, job: Job, count: int) -> bool:
    """Return whether ``count`` tasks of a job run."""
    running: dict[str, str] = {}
    names: dict[str, str] = {}
    for event in read_histories(sorted(folder.glob("*.jsonl"))):
        if event["event"] == "life":
            names[event["source"]] = event["name"]
        elif event["event"] == "run_start" and event["task"].startswith(job.key):
            running[event["task"]] = event["source"]
        elif event["event"] == "run_end":
            running.pop(event["task"], None)
        elif event["event"] == "worker_gone":
            ended = [task for task, source in running.items() if names[source] == event["name"]]
            for task in ended:
                del running[task]
    return len(running) == count
