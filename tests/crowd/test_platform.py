"""Crowds of hostile clients at the sockets of the platform's processes."""

from pathlib import Path

import pytest

from tests.crowd.attacks import ATTACKS, HELD_OPEN
from tests.crowd.checks import answered, withstands
from tests.crowd.site import (
    HEARTBEAT,
    JOB,
    FewDescriptorsSite,
    SmallSite,
    callers,
    control,
    metrics,
    readiness,
)

ALL = ATTACKS | HELD_OPEN
PROBED = ["many_large_fields", "line_without_end", "body_short", "small_chunks", "compressed"]
READ = ["line_without_end", "body_short", "responses_unread"]


def _site(name: str) -> type[SmallSite]:
    return FewDescriptorsSite if name in HELD_OPEN else SmallSite


@pytest.mark.parametrize("name", ALL)
async def test_entry_withstands_hostile_callers(tmp_path: Path, name: str) -> None:
    """Guards against an entry that exceeds its memory or descriptors because of its callers."""
    async with _site(name).serving(tmp_path) as site:
        entry = site.entries[0]
        endpoint = callers(entry)

        async def accepted() -> bool:
            return await answered(endpoint, JOB, 200)

        await withstands(entry.proc, ALL[name], endpoint, accepted, site.max_fds)


@pytest.mark.parametrize("name", [*PROBED, *HELD_OPEN])
async def test_entry_withstands_hostile_probes(tmp_path: Path, name: str) -> None:
    """Guards against an entry that exceeds its memory or descriptors because of its probes."""
    async with _site(name).serving(tmp_path) as site:
        entry = site.entries[0]
        endpoint = readiness(entry)

        async def ready() -> bool:
            return await answered(endpoint, None, 200)

        await withstands(entry.proc, ALL[name], endpoint, ready, site.max_fds)


@pytest.mark.parametrize("name", ALL)
async def test_agent_withstands_hostile_workers(tmp_path: Path, name: str) -> None:
    """Guards against an agent that exceeds its memory or descriptors because of heartbeats."""
    async with _site(name).serving(tmp_path) as site:
        agent = site.agents[0]
        endpoint = control(agent)

        async def acknowledged() -> bool:
            return await answered(endpoint, HEARTBEAT, 200)

        await withstands(agent.proc, ALL[name], endpoint, acknowledged, site.max_fds)


@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("name", [*READ, "idle", "empty_lines", "body_announced"])
async def test_metrics_withstand_hostile_readers(tmp_path: Path, name: str, role: str) -> None:
    """Guards against a process that exceeds its memory or descriptors because of its metrics."""
    async with _site(name).serving(tmp_path) as site:
        node = site.entries[0] if role == "entry" else site.agents[0]
        endpoint = metrics(node)

        async def exported() -> bool:
            return await answered(endpoint, None, 200)

        await withstands(node.proc, ALL[name], endpoint, exported, site.max_fds)
