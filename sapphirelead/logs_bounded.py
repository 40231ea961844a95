"""A sink for log lines that neither blocks nor grows without bound.

A reader that stops reading, or a burst of events, must not hold the process up: lines beyond the
rate, and lines that the descriptor does not take at once, are dropped and counted.  The counts of
each event go out with the next line that gets through.

The pattern that this answers: a leader of hundreds of workers starts and ends hundreds of tasks a
second, and a line for each of them uses up the rate.  A part of the rate is kept for all other
events: what became of a caller's request, and what the process believes.
"""

import os
import re
from collections import Counter
from collections.abc import Callable
from typing import Final

from sapphirelead.clock import awake_now

LINES_PER_S: Final = 600.0
"""Lasting rate; bounds what logging costs to about 3% of a core."""

BURST_LINES: Final = 6_000.0
"""Lines that may go at once: ten seconds of the rate, for the events of a fault."""

RESERVED_LINES: Final = 2_000.0
"""Of these, lines that are kept for events that are not frequent."""

FREQUENT_EVENTS: Final = frozenset({"start_sent", "start_sent_again", "run_ended", "pace"})
"""Events of single tasks, dropped first."""

EVENT: Final = re.compile(r" event=([a-z_]+)")


class BoundedSink:
    """Writes lines to a descriptor.

    :ivar dropped: lines dropped since the start.
    """

    dropped: int
    _fd: int
    _clock: Callable[[], float]
    _tokens: float
    _at: float
    _unreported: Counter[str]
    _partial_line: bytes

    def __init__(self, fd: int, clock: Callable[[], float] = awake_now) -> None:
        self.dropped = 0
        self._fd = fd
        self._clock = clock
        self._tokens = BURST_LINES
        self._at = clock()
        self._unreported = Counter()
        self._partial_line = b""
        os.set_blocking(fd, False)

    def write(self, text: str) -> None:
        """Write a line, or drop and count it."""
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
            # The reader is slow, or gone for good; the process goes on without this line.
            self._drop(event)
            return
        self._unreported.clear()
        # A line that went out in part has to be completed before the next one.
        self._partial_line = data[written:]

    def _drop_report(self) -> str:
        events = ",".join(f"{event}:{lines}" for event, lines in sorted(self._unreported.items()))
        return f"event=log_lines_dropped lines={self._unreported.total()} of={events}\n"

    def _take_token(self, reserved: float) -> bool:
        """Count a line; ``False`` where no more than ``reserved`` lines would be left."""
        at = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (at - self._at) * LINES_PER_S)
        self._at = at
        if self._tokens < reserved + 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _drop(self, event: str) -> None:
        self.dropped += 1
        self._unreported[event] += 1

    def flush(self) -> None:
        """Nothing is buffered but the rest of a line."""
