"""Configuration: concurrent operators, new processes, and versions that never decrease."""

import asyncio
from pathlib import Path
from typing import Any

from bench.harness import Cluster
from bench.procs import wait_until


def document(author: int) -> Any:
    return {"services": {"checks": {"deadline_ms": 1000 + author}}}


async def wait_all_on_version(cluster: Cluster, version: int, processes: int) -> None:
    """Wait until ``processes`` live processes apply ``version`` or a later one."""

    async def confirmed() -> bool:
        versions = await cluster.versions()
        return sum(applied >= version for applied in versions.values()) >= processes

    await wait_until(f"{processes} processes are on version {version}", confirmed, 8)


async def test_racing_operators_never_overwrite_each_other(tmp_path: Path) -> None:
    """Guards against lost updates when operators apply changes based on the same version.

    One change of each round is accepted; the others get the accepted version in a conflict.  The
    audit trail has every accepted change once.
    """
    async with Cluster.running(tmp_path, entries=2, instances=2) as cluster:
        base = 0
        for _ in range(4):
            attempts = [cluster.apply(document(n), base, cluster.entries[n % 2]) for n in range(6)]
            answers = await asyncio.gather(*attempts)
            accepted = [answer for answer in answers if answer.ok]
            assert len(accepted) == 1
            assert {answer.status for answer in answers} == {200, 409}
            assert accepted[0].body["version"] > base
            stale = await cluster.apply(document(9), base)
            assert (stale.status, stale.body["version"]) == (409, accepted[0].body["version"])
            base = accepted[0].body["version"]
        await wait_all_on_version(cluster, base, 4)
        audit = await cluster.request("GET", "/v1/admin/audit")
        assert len({record["version"] for record in audit.body["records"]}) == 4


async def test_change_whose_answer_is_lost_is_applied_once(tmp_path: Path) -> None:
    async with Cluster.running(tmp_path) as cluster:
        await cluster.fault(match="config/current", lose_answers=1)
        assert (await cluster.apply(document(1), 0)).ok
        audit = await cluster.request("GET", "/v1/admin/audit")
        assert len(audit.body["records"]) == 1


async def test_new_entry_adopts_the_highest_version_during_a_table_outage(tmp_path: Path) -> None:
    """Guards against an entry that starts during an outage with an old or empty configuration.

    It gets the version from its peers or from the agents that connect to it.
    """
    async with Cluster.running(tmp_path, entries=2, instances=2) as cluster:
        version = (await cluster.apply(document(7), 0)).body["version"]
        await wait_all_on_version(cluster, version, 4)
        await cluster.fault(down=True)
        entry = cluster.entries[0]
        await entry.proc.kill()
        entry.proc = await cluster.spawn_entry(entry.name)
        await cluster.wait_ready(entry)
        shown = await cluster.request("GET", "/v1/admin/config", entry)
        assert shown.body["version"] == version


async def test_change_reaches_a_paused_process_and_a_replaced_one(tmp_path: Path) -> None:
    """A change is accepted while one agent is paused and another is being replaced."""
    async with Cluster.running(tmp_path, entries=2, instances=2) as cluster:
        frozen, replaced = cluster.instances
        frozen.agent.pause()
        await replaced.agent.kill()
        version = (await cluster.apply(document(3), 0)).body["version"]
        replaced.agent = await cluster.spawn_agent(replaced.name)
        frozen.agent.resume()
        await wait_all_on_version(cluster, version, 4)
