"""Crowds of clients that send several requests of many fields at once."""

from pathlib import Path

import pytest

from bench.harness import SERVICE, Cluster
from tests.crowd.attacks import Attack, Endpoint, Pieces
from tests.crowd.checks import AMPLE_FDS, answered, withstands
from tests.crowd.site import HEARTBEAT, JOB, SmallSite, callers, control

CLIENTS = 250
REQUESTS = 20
FIELDS = 120


def requests_of_many_fields(endpoint: Endpoint) -> Pieces:
    """Send requests within the limits at once; their parsed fields take many times the bytes."""
    heads = []
    for number in range(REQUESTS):
        fields = b"".join(b"%x-%x:%x\r\n" % (number, field, field) for field in range(FIELDS))
        heads.append(endpoint.query_head()[:-2] + fields + b"\r\n")
    yield b"".join(heads)


def request_of_many_fields(endpoint: Endpoint) -> Pieces:
    """Send a head of many fields, and a body that stops short of its end."""
    fields = [f"X-{field}: {field}" for field in range(FIELDS)]
    yield endpoint.head("Content-Length: 10", *fields) + b"x"


ATTACK = Attack(requests_of_many_fields, CLIENTS)


@pytest.mark.parametrize("role", ["entry", "agent"])
async def test_requests_of_many_fields_sent_at_once(tmp_path: Path, role: str) -> None:
    """Guards against parsed requests that wait in the library and are charged too little."""
    async with SmallSite.serving(tmp_path) as site:
        node = site.entries[0] if role == "entry" else site.agents[0]
        endpoint = callers(node) if role == "entry" else control(node)

        async def served() -> bool:
            return await answered(endpoint, JOB if role == "entry" else HEARTBEAT, 200)

        await withstands(node.proc, ATTACK, endpoint, served, site.max_fds)


async def test_requests_of_many_fields_at_the_own_api(tmp_path: Path) -> None:
    """Guards against the same parsed requests at the product's own API."""
    async with Cluster.running(tmp_path) as cluster:
        entry = cluster.entries[0]
        path = f"/v1/services/{SERVICE}"
        endpoint = Endpoint("127.0.0.1", entry.ports["http_port"], "POST", path, "/readyz")

        async def served() -> bool:
            return (await cluster.serve("ordinary")).outcome == "done"

        await withstands(entry.proc, ATTACK, endpoint, served, AMPLE_FDS)


async def test_single_requests_of_many_fields_whose_body_stops_short(tmp_path: Path) -> None:
    """Guards against fields of one request that cost more than their bytes."""
    async with SmallSite.serving(tmp_path) as site:
        entry = site.entries[0]
        endpoint = callers(entry)

        async def served() -> bool:
            return await answered(endpoint, JOB, 200)

        await withstands(
            entry.proc, Attack(request_of_many_fields, 1_200), endpoint, served, site.max_fds
        )
