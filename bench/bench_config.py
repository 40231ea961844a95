"""How soon an accepted change of the configuration is in force everywhere.

Usage:
  bench_config [--changes=N]

Options:
  --changes=N  Changes to apply one after the other [default: 40].

Two entries and three agents over real sockets, in one process (that of ``sapphirelead dev``).
Each change is applied through one entry in turn.  Measured is the time from the acceptance until
the ``config status`` of both entries says that every entry and agent decides by the new version.
Agents say so with their next heartbeat, here every 0.25 s, so that this is an upper bound.
"""

import asyncio
from time import monotonic
from typing import Any, Final

import aiohttp
from docopt import docopt

from sapphirelead.dev import DevStack
from sapphirelead.logs import setup_logs
from sapphirelead.settings import LogSettings

POLL_INTERVAL_S: Final = 0.002
CONFIRM_TIMEOUT_S: Final = 15.0


async def run(changes: int) -> None:
    """Apply the changes and print how long each took to be confirmed."""
    setup_logs(LogSettings(level="ERROR"))
    stack = DevStack()
    confirmed: list[float] = []
    try:
        await stack.start(0)
        async with aiohttp.ClientSession() as session:
            for version in range(1, changes + 1):
                url = stack.urls[version % len(stack.urls)]
                await _apply(session, url, version)
                accepted_at = monotonic()
                await _wait_confirmed(session, stack.urls, version)
                confirmed.append(monotonic() - accepted_at)
    finally:
        await stack.stop()
    ordered = sorted(confirmed)
    median, longest = ordered[len(ordered) // 2], ordered[-1]
    print(
        f"confirmed everywhere: median {median:.3f} s, longest {longest:.3f} s of {changes} changes"
    )


async def _apply(session: aiohttp.ClientSession, url: str, version: int) -> None:
    document = {"services": {"maturity-check": {"deadline_ms": 1000 + version}}}
    body = {"document": document, "base_version": version - 1, "author": "bench"}
    async with session.post(f"{url}/v1/admin/config", json=body) as response:
        if response.status != 200:
            raise SystemExit(f"change {version} was refused: {await response.text()}")


async def _wait_confirmed(session: aiohttp.ClientSession, urls: list[str], version: int) -> None:
    async with asyncio.timeout(CONFIRM_TIMEOUT_S):
        for url in urls:
            while not await _confirms(session, url, version):
                await asyncio.sleep(POLL_INTERVAL_S)


async def _confirms(session: aiohttp.ClientSession, url: str, version: int) -> bool:
    async with session.get(f"{url}/v1/admin/config/status") as response:
        status: Any = await response.json()
    return all(process["version"] >= version for process in status["processes"])


if __name__ == "__main__":
    asyncio.run(run(int(docopt(__doc__)["--changes"])))
