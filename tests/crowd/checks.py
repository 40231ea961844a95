"""The check that every test of a crowd makes."""

import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

import aiohttp

from bench.procs import Proc, wait_until
from tests.crowd.attacks import Attack, Endpoint, crowd
from tests.crowd.usage import measured

MEMORY_MB: Final = 128
MAX_FDS: Final = 400
AMPLE_FDS: Final = 4_100
FILES: Final = 200
"""Descriptors that the machine keeps for files."""

Ordinary = Callable[[], Awaitable[bool]]


async def withstands(
    proc: Proc, attack: Attack, endpoint: Endpoint, ordinary: Ordinary, max_fds: int
) -> None:
    """Check that a process stays within its limits and answers an ordinary request.

    :param ordinary: makes an ordinary request; whether it was answered.
    """
    await wait_until("an ordinary request is answered before", ordinary)
    async with measured(proc, endpoint.host, endpoint.port) as usage, crowd(attack, endpoint):
        await wait_until("an ordinary request is answered beside the crowd", ordinary)
    print(f"memory {usage.memory_mb:.0f} MB, {usage.sockets} sockets and pipes")
    assert proc.running, proc.tail()
    assert usage.memory_mb <= MEMORY_MB
    assert usage.sockets <= max_fds - FILES


async def answered(endpoint: Endpoint, body: bytes | None, *statuses: int) -> bool:
    """Make a request on a connection of its own; whether its status is one of ``statuses``."""
    method, path = ("GET", endpoint.query) if body is None else (endpoint.method, endpoint.path)
    url = f"http://{endpoint.host}:{endpoint.port}{path}"
    headers = {"Host": endpoint.host_name, "Content-Type": "application/json"}
    timeout = aiohttp.ClientTimeout(total=5)
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, data=body, headers=headers) as response,
        ):
            await response.read()
            return response.status in statuses
    return False
