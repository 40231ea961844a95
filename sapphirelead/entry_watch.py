"""Events of running watches, on their way from agents to callers.

Events are numbered within an epoch.  An entry keeps a bounded tail for each watch; a reader that
comes late gets the tail, a reader that is slow misses the oldest, and neither holds the watch up.
An event that arrives twice (an agent resends after a reconnect) is handed on once.
"""

import asyncio
from collections import OrderedDict, deque
from typing import Final

from sapphirelead.wire_messages import WatchEvent

MAX_TAIL_EVENTS: Final = 256
MAX_TAILS: Final = 4096


class WatchTail:
    """The last events of one watch."""

    events: deque[WatchEvent]
    changed: asyncio.Event

    def __init__(self) -> None:
        self.events = deque(maxlen=MAX_TAIL_EVENTS)
        self.changed = asyncio.Event()

    def add(self, event: WatchEvent) -> None:
        """Keep ``event`` if it is newer than all before it."""
        if self.events and event_position(event) <= event_position(self.events[-1]):
            return
        self.events.append(event)
        self.changed.set()

    def after(self, mark: tuple[int, int]) -> list[WatchEvent]:
        """Return the events newer than ``mark``."""
        return [event for event in self.events if event_position(event) > mark]


class WatchTails:
    """Tails of the watches whose events reach this entry, the longest unused dropped first."""

    _tails: "OrderedDict[str, WatchTail]"

    def __init__(self) -> None:
        self._tails = OrderedDict()

    def add(self, event: WatchEvent) -> None:
        """Keep an event."""
        self.tail(event.key).add(event)

    def tail(self, key: str) -> WatchTail:
        """Return the tail of a watch, empty if nothing has arrived yet."""
        tail = self._tails.setdefault(key, WatchTail())
        self._tails.move_to_end(key)
        if len(self._tails) > MAX_TAILS:
            self._tails.popitem(last=False)
        return tail


def event_position(event: WatchEvent) -> tuple[int, int]:
    """Return the position of an event, which grows over a watch's whole life."""
    return (event.epoch, event.number)
