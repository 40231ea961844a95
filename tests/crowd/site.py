"""A site whose nodes have the limits of a small machine."""

import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec

from bench.platform_callers import HOST_NAME
from bench.platform_site import CONTROL_PORT, FRONT_PORT, READY_PORT, Node, Site
from bench.procs import to_toml, wait_until
from sapphirelead.platform.http_server import METRICS_PATH, METRICS_PORT
from tests.crowd.attacks import Endpoint
from tests.crowd.checks import AMPLE_FDS, MAX_FDS, MEMORY_MB, answered

JOB = msgspec.json.encode({"spec": "{}", "steps": [{"count": 1, "cpu": 100, "mem_mb": 16}]})
HEARTBEAT = msgspec.json.encode(
    {
        "service": "svc",
        "addr": "127.0.0.1:9",
        "zone": "z1",
        "state": "ready",
        "capacity": {"cpu": 1000, "mem_mb": 1000},
        "labels": [],
        "seq": 1,
    }
)


class SmallSite(Site):
    """A site whose nodes have :data:`MEMORY_MB`.

    :cvar max_fds: descriptors of each node.
    """

    max_fds = AMPLE_FDS

    @classmethod
    @contextlib.asynccontextmanager
    async def serving(cls, folder: Path) -> AsyncIterator["SmallSite"]:
        """Run one entry and one agent that serve a queue."""
        async with cls.running(folder, 1, 1) as site:
            assert isinstance(site, SmallSite)
            route = {"name": "q", "host": HOST_NAME, "prefix": "/q/", "service": "svc"}
            await site.publish({"version": 2, "routes": [route]})

            async def accepted() -> bool:
                return await answered(callers(site.entries[0]), JOB, 200)

            await wait_until("a job is accepted", accepted)
            yield site

    def _write_settings(self, name: str, host: str, store: str) -> None:
        super()._write_settings(name, host, store)
        with (self.folder / f"{name}.toml").open("a") as file:
            file.write(to_toml({"limits": {"memory_mb": MEMORY_MB, "max_fds": self.max_fds}}))


class FewDescriptorsSite(SmallSite):
    """A small site whose nodes also have few descriptors."""

    max_fds = MAX_FDS


def callers(entry: Node) -> Endpoint:
    """Return the endpoint for callers of an entry."""
    return Endpoint(entry.host, FRONT_PORT, "POST", "/q/00000000000000aa", "/q/00000000000000ab")


def readiness(entry: Node) -> Endpoint:
    """Return the endpoint of an entry's readiness probe."""
    return Endpoint(entry.host, READY_PORT, "GET", "/readiness", "/readiness")


def control(agent: Node) -> Endpoint:
    """Return the endpoint for the worker of an agent."""
    path = "/instances/i-other/heartbeat"
    return Endpoint(agent.host, CONTROL_PORT, "POST", path, path)


def metrics(node: Node) -> Endpoint:
    """Return the endpoint of a node's metrics."""
    return Endpoint(node.host, METRICS_PORT, "GET", METRICS_PATH, METRICS_PATH)
