"""End-to-end path through real processes: requests, jobs, watches and rule changes."""

import asyncio
from pathlib import Path

from bench.harness import SERVICE, Cluster
from bench.procs import wait_until

REFUSE_ALL = {
    "rules": [
        {
            "name": "closed",
            "when": {"service": {"eq": SERVICE}},
            "then": {"action": "refuse", "retry_after_ms": 3000},
        }
    ]
}


async def test_each_kind_of_work_ends_as_promised(tmp_path: Path) -> None:
    async with Cluster.running(tmp_path, instances=2) as cluster:
        answers = await asyncio.gather(*(cluster.serve(f"m{n}", size=n * 5_000) for n in range(40)))
        assert {answer.outcome for answer in answers} == {"done"}

        assert (await cluster.submit("estimate:1", input={"work_ms": 300, "result": 42})).ok
        job = await cluster.wait_job("estimate:1")
        assert (job["state"], job["result"]) == ("done", 42)

        watch = {"event_every_ms": 50, "work_ms": 400}
        assert (await cluster.submit("watch", kind="watch", idempotent=True, input=watch)).ok
        events = await cluster.events("watch", 5)
        assert [event["n"] for event in events] == [1, 2, 3, 4, 5]
        assert (await cluster.wait_job("watch"))["state"] == "done"


async def test_repeated_key_joins_its_job_through_any_entry(tmp_path: Path) -> None:
    async with Cluster.running(tmp_path, entries=2, instances=2) as cluster:
        both = [cluster.submit("k", entry) for entry in cluster.entries * 4]
        assert all(answer.ok for answer in await asyncio.gather(*both))
        assert (await cluster.wait_job("k"))["state"] == "done"
        assert len(cluster.seen("task_start", "k")) == 1
        other = await cluster.submit("k", input={"work_ms": 1})
        assert other.status in (409, 422)


async def test_rule_change_alters_decisions_without_a_restart(tmp_path: Path) -> None:
    async with Cluster.running(tmp_path, entries=2) as cluster:
        assert (await cluster.serve("before")).outcome == "done"
        assert (await cluster.apply(REFUSE_ALL, 0)).ok

        async def refused_everywhere() -> bool:
            answers = [await cluster.serve("probe", entry=entry) for entry in cluster.entries]
            return {answer.outcome for answer in answers} == {"not_run"}

        await wait_until("both entries refuse", refused_everywhere, 5)
        answer = await cluster.serve("after")
        assert answer.status in (429, 503)
        assert int(answer.headers["Retry-After"]) >= 1
