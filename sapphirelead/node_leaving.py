"""How an entry ends on request: callers go elsewhere, the lead goes to another entry."""

import asyncio
from typing import Final, Protocol

from sapphirelead.logs import log_event
from sapphirelead.node_entry import FleetEntry

LEAVE_S: Final = 2.5
"""How long a leaving entry goes on serving: the balancer takes two missed looks, a second apart, to
send new connections elsewhere."""


class CallerSide(Protocol):
    """Where callers reach a leaving entry.

    :ivar in_progress: requests that have been read and not been answered.
    """

    in_progress: int

    def turn_away(self) -> None:
        """Tell the balancer and callers with open connections to go elsewhere."""

    async def close(self) -> None:
        """Take no more connections, answer what has been read, and close."""


async def leave(entry: FleetEntry, callers: CallerSide) -> None:
    """End an entry's service; what remains can be stopped in any order."""
    callers.turn_away()
    await entry.drain()
    await asyncio.sleep(LEAVE_S)
    log_event("INFO", "callers_closing", in_progress=callers.in_progress)
    await callers.close()
