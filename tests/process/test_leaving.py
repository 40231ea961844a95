"""Planned stops interrupt no work, and a draining instance gets no new work."""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from bench.harness import Cluster, Entry, Response
from bench.procs import wait_until

Stop = Callable[[Cluster], Coroutine[Any, Any, int]]


async def stop_agent(cluster: Cluster) -> int:
    holder = await cluster.holder_of("k")
    cluster.leaving(holder)
    return await holder.agent.stop()


async def drain_by_operator(cluster: Cluster) -> int:
    """Drain the instance through the admin API, without a signal to its process."""
    holder = await cluster.holder_of("k")
    cluster.leaving(holder)
    answer = await cluster.request("POST", f"/v1/admin/instances/{holder.name}/drain")
    return 0 if answer.status == 202 else 1


async def stop_entry(cluster: Cluster) -> int:
    return await cluster.entries[0].proc.stop()


STOPS: dict[str, Stop] = {
    "agent stopped": stop_agent,
    "instance drained by an operator": drain_by_operator,
    "entry stopped": stop_entry,
}


@pytest.mark.parametrize("name", STOPS)
async def test_planned_stop_cuts_nothing(tmp_path: Path, name: str) -> None:
    """Guards against a planned stop that fails open requests or loses or repeats a running job.

    The job ends in its run or resumes from an exact checkpoint, and other requests are served
    throughout.
    """
    async with Cluster.running(tmp_path, entries=2, instances=2) as cluster:
        await cluster.submit("k", input={"work_ms": 1500})
        await cluster.holder_of("k")
        calls = [asyncio.create_task(cluster.serve(f"m{n}", 600)) for n in range(8)]
        await cluster.wait_seen("request_start", "m7")
        stopping = asyncio.create_task(STOPS[name](cluster))
        served = 0
        while not stopping.done() or served < 5:
            answer = await cluster.serve(f"n{served}", entry=cluster.entries[1])
            assert answer.outcome == "done"
            served += 1
        assert {answer.outcome for answer in await asyncio.gather(*calls)} == {"done"}
        assert await stopping == 0
        assert (await cluster.wait_job("k", entry=cluster.entries[1]))["state"] == "done"
        assert len(cluster.seen("effect", "k")) == 1


async def test_rolling_restart_cuts_nothing(tmp_path: Path) -> None:
    """Guards against failed requests or repeated jobs when every process is replaced under load.

    Requests are sent only to entries that are not stopping.
    """
    async with Cluster.running(tmp_path, entries=2, instances=2) as cluster:
        for n in range(4):
            await cluster.submit(f"k{n}", input={"work_ms": 5000})
        await cluster.wait_seen("task_start", "", 4)
        open_entries = list(cluster.entries)
        answers: list[Response] = []
        load = [asyncio.create_task(_load(cluster, open_entries, n, answers)) for n in range(4)]
        for instance in cluster.instances:
            assert await instance.agent.stop() == 0
            instance.agent = await cluster.spawn_agent(instance.name)
            await cluster.wait_live(2)
        for entry in cluster.entries:
            open_entries.remove(entry)
            assert await entry.proc.stop() == 0
            entry.proc = await cluster.spawn_entry(entry.name)
            await cluster.wait_ready(entry)
            await cluster.wait_live(2, entry)
            open_entries.append(entry)
        open_entries.clear()
        await asyncio.gather(*load)
        assert len(answers) > 100
        assert {answer.outcome for answer in answers} == {"done"}
        for n in range(4):
            assert (await cluster.wait_job(f"k{n}"))["state"] == "done"
        assert len(cluster.seen("effect")) == 4


async def _load(
    cluster: Cluster, entries: list[Entry], worker: int, answers: list[Response]
) -> None:
    while entries:
        number = len(answers)
        entry = entries[number % len(entries)]
        size = 100_000 if number % 10 == 0 else 10
        answers.append(await cluster.serve(f"w{worker}.{number}", 30, size, entry))


async def test_leaving_target_gets_no_new_work(tmp_path: Path) -> None:
    """Guards against requests and tasks that are routed to a draining instance."""
    async with Cluster.running(tmp_path, instances=2) as cluster:
        leaving, staying = cluster.instances
        cluster.leaving(leaving)
        await cluster.request("POST", f"/v1/admin/instances/{leaving.name}/drain")
        await cluster.wait_live(1)
        answers = await asyncio.gather(*(cluster.serve(f"m{n}") for n in range(20)))
        jobs = [await cluster.submit(f"k{n}", cpu=100) for n in range(6)]
        assert {a.outcome for a in answers} == {"done"} and all(job.ok for job in jobs)
        for n in range(6):
            assert (await cluster.wait_job(f"k{n}"))["state"] == "done"
        assert {e["source"] for e in cluster.seen("task_start")} == {staying.worker.name}
        assert {e["source"] for e in cluster.seen("request_start")} == {staying.target.name}


async def test_watch_is_handed_over_by_a_planned_stop(tmp_path: Path) -> None:
    async with Cluster.running(tmp_path, instances=2) as cluster:
        await cluster.submit("k", kind="watch", idempotent=True, input={"event_every_ms": 50})
        holder = await cluster.holder_of("k")
        assert await holder.agent.stop() == 0

        async def moved() -> bool:
            return len(cluster.seen("task_start", "k")) == 2

        await wait_until("the watch starts elsewhere", moved)
        resumed = cluster.seen("task_start", "k")[1]
        assert resumed["done_ms"] == cluster.seen("checkpoint", "k")[0]["done_ms"]
        assert len(await cluster.events("k", 3)) == 3
