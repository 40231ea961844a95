"""How an entry ends on request: callers go elsewhere, the lead goes to another entry.

Every request that has been read gets its answer before the process ends.  The sequence fits into
the time that the site gives between the signal and the kill:

- at once: the balancer is told, and callers with open connections after each answer;
- for :data:`DRAIN_S`: calls go on being served while the balancer turns elsewhere; for longer by
  an entry that still leads, since then no other entry stays that callers could turn to;
- then no connection is taken any more, and what has been read is waited for;
- :data:`SHUTDOWN_RESERVE_S` before the kill: whatever is still held gets its final answer.
"""

import asyncio
from typing import Final, Protocol

from sapphirelead.background import spawn
from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.node_entry import FleetEntry

DRAIN_S: Final = 2.5
"""How long a leaving entry goes on serving: the balancer takes two missed looks, a second apart, to
send new connections elsewhere."""

SHUTDOWN_RESERVE_S: Final = 1.5
"""Kept between the last answers and the kill.  A call that has been passed on returns up to 0.4 s
after it is given up, a leader stores what it has begun for up to 0.3 s, and the rest is for a
machine that runs several times slower than usual."""


FINAL_ANSWERS_S: Final = 0.8
"""Part of the reserve in which what was still held gets its answer; the rest is for the process's
own end."""


class CallerServer(Protocol):
    """Where callers reach a leaving entry."""

    @property
    def in_progress(self) -> int:
        """Number of requests that have been read and not been answered."""

    def turn_away(self) -> None:
        """Tell the balancer and callers with open connections to go elsewhere."""

    async def close(self) -> None:
        """Take no more connections, answer what has been read, and close."""


async def leave(entry: FleetEntry, callers: CallerServer) -> None:
    """End an entry's service; what remains can be stopped in any order."""
    grace_s = entry.node.bounds.grace_s
    until = now() + max(grace_s - SHUTDOWN_RESERVE_S, grace_s / 2)
    callers.turn_away()
    handing_over = spawn(entry.drain(until), "drain")
    await asyncio.gather(asyncio.sleep(min(DRAIN_S, grace_s / 2)), handing_over)
    log_event("INFO", "callers_closing", in_progress=callers.in_progress)
    try:
        async with asyncio.timeout(max(until + FINAL_ANSWERS_S - now(), 0.1)):
            await callers.close()
    except TimeoutError:
        # Requests that have not been read whole: their callers have stopped sending.
        log_event("INFO", "callers_left", in_progress=callers.in_progress)
