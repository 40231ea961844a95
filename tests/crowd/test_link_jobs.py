"""Jobs of legal size that cost an entry more than their bytes."""

import json
from pathlib import Path
from typing import Any, Final

import aiohttp
import pytest

from bench.platform_site import FRONT_PORT, Node
from tests.crowd.link_peers import HOST, check_unharmed, running_entry

WIDE_JOBS: Final = 150
WIDE_STEP: Final = {"count": 5_000, "requires": "no worker has this label"}
LONG_TEXT: Final = "x" * 200_000
SCHEDULED: Final = {"times": 4_000, "first_ms": 1, "interval_ms": 0}

JOBS: Final[dict[str, dict[str, Any]]] = {
    "occurrences_at_once": {"spec": "", "steps": [{"count": 500}], **SCHEDULED},
    "long_label": {"spec": "", "steps": [{"requires": LONG_TEXT}]},
    "long_image": {"spec": "", "steps": [{"image": LONG_TEXT}]},
    "long_rack": {"spec": "", "steps": [{"affinity": LONG_TEXT}]},
    "long_dependencies": {"spec": "", "steps": [{}, {"after": [0] * 200_000}]},
    "many_steps": {"spec": "", "steps": [{}] * 300_000},
    "huge_numbers": {"spec": "", "steps": [{"cpu": 10**4_000}]},
    "many_tasks": {"spec": "", "steps": [{"count": 10**9}]},
}


async def submit(http: aiohttp.ClientSession, entry: Node, number: int, job: bytes) -> int:
    """Submit a job and return the status."""
    url = f"http://{entry.host}:{FRONT_PORT}/{number:016x}"
    async with http.post(url, data=job) as response:
        return response.status


def encode_job(job: dict[str, Any]) -> bytes:
    """Return the body of a submission without spaces."""
    return json.dumps(job, separators=(",", ":")).encode()


@pytest.mark.parametrize("name", JOBS)
async def test_a_costly_job_leaves_the_entry_at_work(tmp_path: Path, name: str) -> None:
    """Guards against a single job that takes the memory of the leader, or that no row holds."""
    timeout = aiohttp.ClientTimeout(total=10)
    async with (
        running_entry(tmp_path) as entry,
        aiohttp.ClientSession(headers={"Host": HOST}, timeout=timeout) as http,
    ):
        status = await submit(http, entry, 1 << 60, encode_job(JOBS[name]))
        assert status in (200, 400, 413)
        await check_unharmed(entry)


async def test_wide_jobs_are_bounded_together(tmp_path: Path) -> None:
    """Guards against many jobs of few bytes, whose tasks together take the leader's memory."""
    async with (
        running_entry(tmp_path) as entry,
        aiohttp.ClientSession(headers={"Host": HOST}) as http,
    ):
        job = encode_job({"spec": "", "steps": [WIDE_STEP]})
        statuses = {await submit(http, entry, (1 << 60) + n, job) for n in range(WIDE_JOBS)}
        assert statuses <= {200, 429, 503}
        await check_unharmed(entry)
