"""Buffers events of running watches between agents and callers.

Events are numbered within an epoch.  An entry keeps a bounded tail for each watch: late readers get
the tail, and slow readers miss the oldest events without delaying the watch.  Duplicates, which
agents send after a reconnect, are dropped.
"""

import asyncio
from collections import OrderedDict, deque
from typing import Final

from sapphirelead.wire_messages import WatchEvent

MAX_TAIL_EVENTS: Final = 256
MAX_TAILS: Final = 4096


class WatchTail:
    """The latest events of one watch."""

    events: deque[WatchEvent]
    changed: asyncio.Event

    def __init__(self) -> None:
        self.events = deque(maxlen=MAX_TAIL_EVENTS)
        self.changed = asyncio.Event()

    def add(self, event: WatchEvent) -> None:
        """Append ``event`` if it is newer than the last one."""
        if self.events and event_position(event) <= event_position(self.events[-1]):
            return
        self.events.append(event)
        self.changed.set()

    def after(self, position: tuple[int, int]) -> list[WatchEvent]:
        """Return the events after ``position``."""
        return [event for event in self.events if event_position(event) > position]


class WatchTails:
    """Tails of the watches whose events reach this entry, evicted least recently used first."""

    _tails: "OrderedDict[str, WatchTail]"

    def __init__(self) -> None:
        self._tails = OrderedDict()

    def add(self, event: WatchEvent) -> None:
        """Append an event to the tail of its watch."""
        self.tail(event.key).add(event)

    def tail(self, key: str) -> WatchTail:
        """Return the tail of a watch, which is empty if no event has arrived."""
        tail = self._tails.setdefault(key, WatchTail())
        self._tails.move_to_end(key)
        if len(self._tails) > MAX_TAILS:
            self._tails.popitem(last=False)
        return tail


def event_position(event: WatchEvent) -> tuple[int, int]:
    """Return the position of an event, which increases over the lifetime of its watch."""
    return (event.epoch, event.number)
