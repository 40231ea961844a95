"""A sink for log lines that neither blocks nor grows without bound.

A reader that stops reading, or a burst of events, must not hold the process up: lines beyond the
rate, and lines that the descriptor does not take at once, are dropped and counted.  The count goes
out with the next line that gets through.
"""

import os
from collections.abc import Callable
from typing import Final

from sapphirelead.clock import awake_now

LINES_PER_S: Final = 300.0
"""Lasting rate.  Four entries together wrote about 50 lines a second on calm days; a line of ten
fields took 48 us in a loop, so the bound is 1.5% of a core."""

BURST_LINES: Final = 3_000.0
"""Lines that may go at once: ten seconds of the rate, for the events of a fault."""


class BoundedSink:
    """Writes lines to a descriptor.

    :ivar dropped: lines dropped since the start.
    """

    dropped: int
    _fd: int
    _clock: Callable[[], float]
    _tokens: float
    _at: float
    _unsaid: int
    _rest: bytes

    def __init__(self, fd: int, clock: Callable[[], float] = awake_now) -> None:
        self.dropped = 0
        self._fd = fd
        self._clock = clock
        self._tokens = BURST_LINES
        self._at = clock()
        self._unsaid = 0
        self._rest = b""
        os.set_blocking(fd, False)

    def write(self, text: str) -> None:
        """Write a line, or drop and count it."""
        if not self._take_token():
            self._drop()
            return
        if self._unsaid:
            text += f"event=log_lines_dropped lines={self._unsaid}\n"
        data = self._rest + text.encode()
        try:
            written = os.write(self._fd, data)
        except OSError:
            # The reader is slow, or gone for good; the process goes on without this line.
            self._drop()
            return
        self._unsaid = 0
        # A line that went out in part has to be completed before the next one.
        self._rest = data[written:]

    def _take_token(self) -> bool:
        at = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (at - self._at) * LINES_PER_S)
        self._at = at
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self._unsaid += 1

    def flush(self) -> None:
        """Nothing is buffered but the rest of a line."""
