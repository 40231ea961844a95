"""Graceful shutdown of an entry: drains callers and hands the leadership over.

Every request that has been read is answered before the process ends.  The sequence fits into the
grace period between the termination signal and the kill:

- immediately, the load balancer and callers with open connections are told to go elsewhere;
- for :data:`DRAIN_S`, calls are still served; longer while this entry leads, because then no other
  entry can serve;
- then no new connections are accepted, and requests in progress are awaited;
- :data:`SHUTDOWN_RESERVE_S` before the kill, remaining requests get their final answer.
"""

import asyncio
from typing import Final, Protocol

from sapphirelead.background import spawn
from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.node_entry import FleetEntry

DRAIN_S: Final = 2.5
"""Minimum time for which a leaving entry keeps serving; the load balancer needs two failed health
checks, one second apart, to redirect new connections."""

SHUTDOWN_RESERVE_S: Final = 1.5
"""Part of the grace period reserved for the final answers and the end of the process."""


FINAL_ANSWERS_S: Final = 0.8
"""Part of the reserve for the final answers; the rest is for the end of the process."""


class CallerServer(Protocol):
    """The server through which callers reach a leaving entry."""

    @property
    def in_progress(self) -> int:
        """Number of requests that have been read but not answered."""

    def redirect_callers(self) -> None:
        """Tell the load balancer and callers with open connections to go elsewhere."""

    async def close(self) -> None:
        """Stop accepting connections, answer the requests that were read, and close."""


async def leave(entry: FleetEntry, callers: CallerServer) -> None:
    """Shut down an entry's service; its remaining parts can be stopped in any order."""
    grace_s = entry.node.bounds.grace_s
    until = now() + max(grace_s - SHUTDOWN_RESERVE_S, grace_s / 2)
    callers.redirect_callers()
    handing_over = spawn(entry.drain(until), "drain")
    await asyncio.gather(asyncio.sleep(min(DRAIN_S, grace_s / 2)), handing_over)
    log_event("INFO", "callers_closing", in_progress=callers.in_progress)
    try:
        async with asyncio.timeout(max(until + FINAL_ANSWERS_S - now(), 0.1)):
            await callers.close()
    except TimeoutError:
        # The remaining requests are incomplete: their callers have stopped sending.
        log_event("INFO", "callers_left", in_progress=callers.in_progress)
