"""Process crashes and pauses while a job runs on one of two instances.

The checker verifies that a job never has two owners and that a non-idempotent job never starts
again without an exact checkpoint.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import pytest

from bench.harness import Cluster, Instance
from bench.procs import wait_until

FaultInjection = Callable[[Cluster, Instance], Awaitable[None]]


async def kill_agent(cluster: Cluster, holder: Instance) -> None:
    """Kill the agent; its worker stops the task when the lease expires."""
    await holder.agent.kill()


async def kill_instance(cluster: Cluster, holder: Instance) -> None:
    """Kill the whole instance and its task."""
    await cluster.kill_instance(holder)


async def replace_worker(cluster: Cluster, holder: Instance) -> None:
    """Restart the worker beside a running agent; its tasks are lost."""
    await cluster.replace_worker(holder)


async def kill_instance_and_entry(cluster: Cluster, holder: Instance) -> None:
    """Kill an instance and the only entry at once, and restart the entry."""
    await asyncio.gather(cluster.kill_instance(holder), kill_entry(cluster, holder))


async def pause_everything(cluster: Cluster, holder: Instance) -> None:
    """Pause the entry and all agents past the lease, and resume them together."""
    paused = [cluster.entries[0].proc, *(instance.agent for instance in cluster.instances)]
    for proc in paused:
        proc.pause()
    await asyncio.sleep(cluster.lease["lease_seconds"] + 1.5)
    for proc in paused:
        proc.resume()


async def replace_agent(cluster: Cluster, holder: Instance) -> None:
    """Replace the agent; the new one adopts the worker and its running task."""
    await holder.agent.kill()
    holder.agent = await cluster.spawn_agent(holder.name)


async def replace_agent_beside_lost_worker(cluster: Cluster, holder: Instance) -> None:
    """Replace the agent; its worker is lost for good before the new one has met it."""
    await holder.agent.kill()
    await cluster.kill_worker(holder)
    holder.agent = await cluster.spawn_agent(holder.name)


async def replace_agent_twice(cluster: Cluster, holder: Instance) -> None:
    """Replace the agent, and replace the new one once it has adopted the worker."""
    await replace_agent(cluster, holder)
    sessions = len(cluster.seen("session"))

    async def took_over() -> bool:
        return len(cluster.seen("session")) > sessions

    await wait_until("the new agent adopts the worker", took_over)
    await replace_agent(cluster, holder)


async def pause_agent_briefly(cluster: Cluster, holder: Instance) -> None:
    """Pause the agent for less than its lease."""
    holder.agent.pause()
    await asyncio.sleep(cluster.lease["lease_seconds"] * 0.4)
    holder.agent.resume()


async def pause_agent_past_lease(cluster: Cluster, holder: Instance) -> None:
    """Pause the agent past its lease until the job has been reassigned or has ended."""
    holder.agent.pause()

    async def moved_on() -> bool:
        job = await cluster.job("k")
        return job is not None and (job["epoch"] > 1 or job["state"] != "claimed")

    await wait_until("the entry abandons the holder", moved_on)
    holder.agent.resume()
    await cluster.wait_live(2)


async def kill_entry(cluster: Cluster, holder: Instance) -> None:
    """Replace the entry that scheduled the job."""
    await cluster.entries[0].proc.kill()
    cluster.entries[0].proc = await cluster.spawn_entry("e1")


async def pause_entry(cluster: Cluster, holder: Instance) -> None:
    """Pause the only entry past the lease; it must not take the instances for failed."""
    cluster.entries[0].proc.pause()
    await asyncio.sleep(cluster.lease["lease_seconds"] + 1.5)
    cluster.entries[0].proc.resume()


async def cut_connections(cluster: Cluster, holder: Instance) -> None:
    """Reset every proxied connection."""
    for proxy in cluster.proxies:
        proxy.cut()


SHORT: Final = {"lease_seconds": 1.5, "margin_seconds": 0.5}
LONG: Final = {"lease_seconds": 6.0, "margin_seconds": 1.0}
CASES: dict[str, tuple[FaultInjection, dict[str, float], int, str, str]] = {
    # Fault, lease, run time in ms, end state of an idempotent job, end state of a non-idempotent
    # one.  Where the agent is lost, the task outlasts its lease: one that ended earlier would take
    # effect without a report.
    "agent killed": (kill_agent, SHORT, 2500, "done", "unknown"),
    "instance killed": (kill_instance, SHORT, 1000, "done", "unknown"),
    "worker replaced": (replace_worker, SHORT, 1000, "done", "unknown"),
    "instance and entry killed": (kill_instance_and_entry, SHORT, 1000, "done", "unknown"),
    "everything paused": (pause_everything, SHORT, 2500, "done", "done or unknown"),
    "agent replaced": (replace_agent, LONG, 1000, "done", "done"),
    "agent replaced, worker lost": (
        replace_agent_beside_lost_worker,
        SHORT,
        1000,
        "done",
        "unknown",
    ),
    "agent replaced twice": (replace_agent_twice, LONG, 1000, "done", "done"),
    "agent paused briefly": (pause_agent_briefly, SHORT, 1000, "done", "done"),
    "agent paused past its lease": (pause_agent_past_lease, SHORT, 2500, "done", "unknown"),
    "entry replaced": (kill_entry, LONG, 1000, "done", "done"),
    "entry paused past the lease": (pause_entry, SHORT, 1000, "done", "done or unknown"),
    "all connections cut": (cut_connections, SHORT, 1000, "done", "done"),
}


@pytest.mark.parametrize("idempotent", [True, False], ids=["idempotent", "once"])
@pytest.mark.parametrize("name", CASES)
async def test_running_job_ends_correctly(tmp_path: Path, name: str, idempotent: bool) -> None:
    inject_fault, lease, work_ms, if_idempotent, if_not = CASES[name]
    async with Cluster.running(tmp_path, instances=2, lease=lease) as cluster:
        work = {"work_ms": work_ms}
        await cluster.submit("k", idempotent=idempotent, input=work)
        holder = await cluster.holder_of("k")
        await inject_fault(cluster, holder)
        job = await cluster.wait_job("k")
        assert job["state"] in (if_idempotent if idempotent else if_not)
        assert len(cluster.seen("effect", "k")) == (job["state"] == "done")


@pytest.mark.parametrize(
    "name", ["agent killed", "instance killed", "agent replaced", "entry replaced"]
)
async def test_watch_survives_a_process_loss(tmp_path: Path, name: str) -> None:
    """Guards against a watch that ends, or restarts more than once, after a process loss."""
    async with Cluster.running(tmp_path, instances=2) as cluster:
        await cluster.submit("k", kind="watch", idempotent=True, input={"event_every_ms": 50})
        holder = await cluster.holder_of("k")
        await CASES[name][0](cluster, holder)
        await cluster.wait_ready(cluster.entries[0])
        before = len(cluster.seen("task_start", "k"))
        assert len(await cluster.events("k", 10)) >= 10
        assert len(cluster.seen("task_start", "k")) <= before + 1


async def test_watcher_resumes_its_event_stream_through_another_entry(tmp_path: Path) -> None:
    """Guards against lost or repeated events when a client resumes through another entry."""
    async with Cluster.running(tmp_path, entries=2, instances=2) as cluster:
        await cluster.submit("k", kind="watch", idempotent=True, input={"event_every_ms": 50})
        first = await cluster.events("k", 5)
        await cluster.entries[0].proc.kill()
        later = await cluster.events("k", 10, cluster.entries[1], after=first[-1]["id"])
        assert [event["n"] for event in first + later] == list(range(1, 16))


async def test_zone_lost(tmp_path: Path) -> None:
    """All processes of one of two zones die; the entry of the other zone takes over its work."""
    async with Cluster.running(tmp_path, entries=2, instances=2, zones=2) as cluster:
        for n in range(4):
            await cluster.submit(f"k{n}", idempotent=True, input={"work_ms": 1000})
        lost = cluster.instances[0]
        await cluster.wait_seen("task_start", "", 4)
        await asyncio.gather(cluster.entries[0].proc.kill(), cluster.kill_instance(lost))
        for n in range(4):
            assert (await cluster.wait_job(f"k{n}"))["state"] == "done"
        answers = [await cluster.serve(f"m{n}", entry=cluster.entries[1]) for n in range(10)]
        assert {answer.outcome for answer in answers} == {"done"}
