"""Logs: one line of ``key=value`` pairs for each event.

A line is ``at=<UTC> level=<level> event=<event> key=value ...``.  A value is written bare only if
it consists of characters that cannot be confused with the line's own syntax; anything else is
written as a JSON string in ASCII, in which line ends, quotes and control characters are escaped.

Invariants:

- One event is one line, whatever the values are.
- Splitting a line at unquoted blanks gives back exactly the keys that the caller passed, so that no
  input can add a field or forge a second event.
"""

import json
import math
import re
import sys
from datetime import UTC, datetime
from typing import Final, Protocol

from loguru import logger

BARE: Final = re.compile(r"[A-Za-z0-9_.:/@+,\[\]|%-]+")
MAX_VALUE_CHARS: Final = 2_000

_LAZY: Final = logger.opt(lazy=True)


class LogLevel(Protocol):
    """Whatever says from which level events are written."""

    @property
    def level(self) -> str:
        """``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``."""


class LogSink(Protocol):
    """Whatever takes lines: an open text file, or a sink with a bound."""

    def write(self, text: str, /) -> object:
        """Take one line with its line end."""

    def flush(self) -> object:
        """Pass on what is buffered."""


def log_event(level: str, event: str, /, **fields: object) -> None:
    """Write one event.

    :param level: ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    :param event: stable name of the event, in snake case; docs/OPERATIONS.md lists them.
    :param fields: what the reader needs; a field that is ``None`` is written as ``null``.
    """
    # The text goes in as an argument, because loguru treats braces and markup in the message itself
    # as its own syntax; lazily, so that an event below the level set is not formatted.
    _LAZY.log(level, "{}", lambda: format_pairs({"event": event, **fields}))


def setup_logs(settings: LogLevel, sink: LogSink | None = None) -> None:
    """Send every log line to ``sink`` (standard output by default) from the level set."""
    logger.remove()
    out: LogSink = sys.stdout if sink is None else sink

    def write(message: str) -> None:
        record = message.record  # type: ignore[attr-defined]
        out.write(_line(record["level"].name, record["message"]))
        out.flush()

    logger.add(write, level=settings.level, format="{message}", catch=True)


def format_pairs(fields: dict[str, object]) -> str:
    """Write fields as ``key=value`` pairs.

    >>> format_pairs({"event": "job_done", "key": "a b", "tries": 2})
    'event=job_done key="a b" tries=2'
    >>> format_pairs({"reason": 'x" level=ERROR'})
    'reason="x\\\\" level=ERROR"'
    """
    return " ".join(f"{_key(key)}={quote(value)}" for key, value in fields.items())


def quote(value: object) -> str:
    """Write one value so that it ends where it seems to end.

    >>> quote("a=b"), quote(True), quote(0.123456789), quote("")
    ('"a=b"', 'true', '0.123457', '""')
    """
    text = _text(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    if BARE.fullmatch(text):
        return text
    # JSON leaves DEL as it is, and a terminal obeys it.
    return json.dumps(text).replace("\x7f", "\\u007f")


def _key(key: str) -> str:
    return key if key.isascii() and key.isidentifier() else quote(key)


def _text(value: object) -> str:
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float) and math.isfinite(value):
        return f"{value:.6g}"
    return str(value)


def _line(level: str, message: str) -> str:
    at = datetime.now(UTC).isoformat(timespec="milliseconds")
    return f"at={at} level={level.lower()} {message}\n"
