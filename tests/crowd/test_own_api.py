"""Crowds of hostile clients at the sockets of the product's own processes."""

import contextlib
import resource
from collections.abc import Iterator
from pathlib import Path

import pytest

from bench.harness import SERVICE, Cluster, Instance
from bench.procs import Proc, free_port, to_toml
from tests.crowd.attacks import ATTACKS, HELD_OPEN, Endpoint
from tests.crowd.checks import AMPLE_FDS, MAX_FDS, answered, withstands

ALL = ATTACKS | HELD_OPEN
PROBED = ["many_large_fields", "line_without_end", "body_short", "small_chunks"]
LIMITS = {"read_timeout_seconds": 60.0}
"""Bodies may arrive slowly, so that the crowd holds them all at one time."""


@contextlib.contextmanager
def _descriptors(name: str) -> Iterator[int]:
    """Limit the descriptors of the processes that are started within the context."""
    max_fds = MAX_FDS if name in HELD_OPEN else AMPLE_FDS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, hard))
    try:
        yield max_fds
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.parametrize("name", ALL)
async def test_entry_withstands_hostile_callers(tmp_path: Path, name: str) -> None:
    """Guards against an entry that exceeds its memory or descriptors because of its callers."""
    async with contextlib.AsyncExitStack() as stack:
        with _descriptors(name) as max_fds:
            cluster = await stack.enter_async_context(Cluster.running(tmp_path, limits=LIMITS))
        entry = cluster.entries[0]
        path = f"/v1/services/{SERVICE}"
        endpoint = Endpoint("127.0.0.1", entry.ports["http_port"], "POST", path, "/readyz")

        async def served() -> bool:
            return (await cluster.serve("ordinary")).outcome == "done"

        await withstands(entry.proc, ALL[name], endpoint, served, max_fds)


async def _restart_with_port(cluster: Cluster, instance: Instance) -> tuple[Proc, int]:
    """Restart an agent with a port for probes and metrics."""
    port = free_port()
    await instance.agent.kill()
    with (cluster.folder / f"{instance.name}.toml").open("a") as file:
        file.write(to_toml({"http_port": port}))
    return await cluster.spawn_agent(instance.name), port


@pytest.mark.parametrize("name", [*PROBED, *HELD_OPEN])
async def test_agent_withstands_hostile_probes(tmp_path: Path, name: str) -> None:
    """Guards against an agent that exceeds its memory or descriptors because of its probes."""
    async with contextlib.AsyncExitStack() as stack:
        with _descriptors(name) as max_fds:
            cluster = await stack.enter_async_context(Cluster.running(tmp_path))
            agent, port = await _restart_with_port(cluster, cluster.instances[0])
        endpoint = Endpoint("127.0.0.1", port, "GET", "/healthz", "/metrics")

        async def probed() -> bool:
            return await answered(endpoint, None, 200)

        await withstands(agent, ALL[name], endpoint, probed, max_fds)
