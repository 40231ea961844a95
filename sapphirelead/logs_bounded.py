"""A non-blocking, rate-limited sink for log lines.

A token bucket limits the rate.  Lines beyond it, and lines that cannot be written without blocking,
are dropped and counted; the counts for each event are logged with the next line that is written.
Part of the bucket is reserved for events other than the frequent ones of single tasks.
"""

import os
import re
from collections import Counter
from collections.abc import Callable
from typing import Final

from sapphirelead.clock import awake_now

LINES_PER_S: Final = 600.0
"""Sustained rate."""

BURST_LINES: Final = 6_000.0
"""Capacity of the token bucket."""

RESERVED_LINES: Final = 2_000.0
"""Part of the burst that is reserved for events other than :data:`FREQUENT_EVENTS`."""

FREQUENT_EVENTS: Final = frozenset(
    {"start_sent", "start_sent_again", "start_called", "run_ended", "pace"}
)
"""Events of single tasks, which are dropped first."""

EVENT: Final = re.compile(r" event=([a-z_]+)")


class BoundedSink:
    """Writes lines to a file descriptor, which it makes non-blocking.

    :ivar dropped: lines dropped since the start.
    """

    dropped: int
    _fd: int
    _clock: Callable[[], float]
    _tokens: float
    _refilled_at: float
    _unreported: Counter[str]
    _partial_line: bytes

    def __init__(self, fd: int, clock: Callable[[], float] = awake_now) -> None:
        self.dropped = 0
        self._fd = fd
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._unreported = Counter()
        self._partial_line = b""
        os.set_blocking(fd, False)

    def write(self, text: str) -> None:
        """Write a line, or drop and count it if it exceeds the rate or would block."""
        found = EVENT.search(text)
        event = found[1] if found else "unknown"
        if not self._take_token(RESERVED_LINES if event in FREQUENT_EVENTS else 0.0):
            self._drop(event)
            return
        if self._unreported:
            text += self._drop_report()
        data = self._partial_line + text.encode()
        try:
            written = os.write(self._fd, data)
        except OSError:
            # The pipe is full or its reader is gone: drop the line rather than block or fail.
            self._drop(event)
            return
        self._unreported.clear()
        # A partial write is completed before the next line.
        self._partial_line = data[written:]

    def _drop_report(self) -> str:
        events = ",".join(f"{event}:{lines}" for event, lines in sorted(self._unreported.items()))
        return f"event=log_lines_dropped lines={self._unreported.total()} of={events}\n"

    def _take_token(self, reserved: float) -> bool:
        """Take a token; return ``False`` if fewer than ``reserved`` would remain."""
        at = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (at - self._refilled_at) * LINES_PER_S)
        self._refilled_at = at
        if self._tokens < reserved + 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _drop(self, event: str) -> None:
        self.dropped += 1
        self._unreported[event] += 1

    def flush(self) -> None:
        """Do nothing: only the remainder of a partially written line is buffered."""
