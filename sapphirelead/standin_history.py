"""What the stand-ins saw, as JSON lines.

Each line holds ``event``, ``source`` (the stand-in's name) and ``clock`` (loop time in seconds).
On Linux the loop's clock is one clock for all processes of a machine, so that a checker can merge
the histories of several stand-ins.  A line is flushed before the event is acted upon further, so
that a killed process leaves everything it did.
"""

from pathlib import Path
from typing import IO, Any

import msgspec

from sapphirelead.clock import now


class History:
    """An append-only list of events, kept in memory and, where a path is given, in a file."""

    source: str
    events: list[dict[str, Any]]
    _file: IO[bytes] | None

    def __init__(self, source: str, file: IO[bytes] | None) -> None:
        self.source = source
        self.events = []
        self._file = file

    @classmethod
    def open(cls, source: str, path: str = "") -> "History":
        """Start a history; ``path`` is appended to, an empty one keeps it in memory only."""
        return cls(source, Path(path).open("ab") if path else None)

    def record(self, event: str, /, clock: float | None = None, **fields: Any) -> None:
        """Append one event.

        :param clock: loop time at which it counts as having happened, now by default.
        """
        line = {
            "event": event,
            "source": self.source,
            "clock": now() if clock is None else clock,
            **fields,
        }
        if self._file is None:
            self.events.append(line)
            return
        self._file.write(msgspec.json.encode(line) + b"\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
