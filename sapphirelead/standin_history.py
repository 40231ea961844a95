"""Event log of the stand-ins, as JSON lines.

Each line holds ``event``, ``source`` (the stand-in's name) and ``clock`` (loop time in seconds).
On Linux all processes of a machine share the loop's clock, so a checker can merge the histories of
several stand-ins.  Each line is flushed as it is recorded, so a killed process loses none.
"""

from pathlib import Path
from typing import IO, Any

import msgspec

from sapphirelead.clock import now


class History:
    """Append-only event log, kept in a file if one is given and in memory otherwise."""

    source: str
    events: list[dict[str, Any]]
    _file: IO[bytes] | None

    def __init__(self, source: str, file: IO[bytes] | None) -> None:
        self.source = source
        self.events = []
        self._file = file

    @classmethod
    def open(cls, source: str, path: str = "") -> "History":
        """Open a history that appends to ``path``; an empty path keeps it in memory."""
        return cls(source, Path(path).open("ab") if path else None)

    def record(self, event: str, /, clock: float | None = None, **fields: Any) -> None:
        """Append one event.

        :param clock: loop time of the event in seconds; now by default.
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
        """Close the file, if any."""
        if self._file is not None:
            self._file.close()
