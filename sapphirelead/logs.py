"""Structured logs: one line of ``key=value`` pairs for each event.

A line is ``at=<UTC> level=<level> event=<event> key=value ...``.  A value is left unquoted only if
all its characters match ``BARE_VALUE``; any other value is an ASCII JSON string, in which line
ends, quotes and control characters are escaped.

Invariants:

- One event is one line, whatever its values contain.
- Splitting a line at unquoted spaces yields exactly the keys that the caller passed, so input
  cannot inject a field or forge an event.
"""

import json
import math
import re
import sys
from datetime import UTC, datetime
from typing import Final, Protocol

from loguru import logger

BARE_VALUE: Final = re.compile(r"[A-Za-z0-9_.:/@+,\[\]|%-]+")
MAX_VALUE_CHARS: Final = 2_000

_LAZY: Final = logger.opt(lazy=True)


class LogLevel(Protocol):
    """Settings with a minimum log level."""

    @property
    def level(self) -> str:
        """``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``."""


class LogSink(Protocol):
    """Destination of log lines, for example a text file or a rate-limited sink."""

    def write(self, text: str, /) -> object:
        """Write one line, including its line end."""

    def flush(self) -> object:
        """Write out buffered data."""


def log_event(level: str, event: str, /, **fields: object) -> None:
    """Log one event.

    :param level: ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    :param event: stable event name in snake case; docs/OPERATIONS.md lists them.
    :param fields: values of the event; ``None`` is written as ``null``.
    """
    # Passed as an argument because loguru interprets braces and markup in the message itself, and
    # lazily so that an event below the configured level is not formatted.
    _LAZY.log(level, "{}", lambda: format_pairs({"event": event, **fields}))


def setup_logs(settings: LogLevel, sink: LogSink | None = None) -> None:
    """Send log lines of at least the configured level to ``sink``, by default standard output."""
    logger.remove()
    out: LogSink = sys.stdout if sink is None else sink

    def write(message: str) -> None:
        record = message.record  # type: ignore[attr-defined]
        out.write(_line(record["level"].name, record["message"]))
        out.flush()

    logger.add(write, level=settings.level, format="{message}", catch=True)


def format_pairs(fields: dict[str, object]) -> str:
    """Format fields as ``key=value`` pairs.

    >>> format_pairs({"event": "job_done", "key": "a b", "tries": 2})
    'event=job_done key="a b" tries=2'
    >>> format_pairs({"reason": 'x" level=ERROR'})
    'reason="x\\\\" level=ERROR"'
    """
    return " ".join(f"{_key(key)}={quote(value)}" for key, value in fields.items())


def quote(value: object) -> str:
    """Format one value, as a JSON string unless it matches ``BARE_VALUE``.

    >>> quote("a=b"), quote(True), quote(0.123456789), quote("")
    ('"a=b"', 'true', '0.123457', '""')
    """
    text = _text(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    if BARE_VALUE.fullmatch(text):
        return text
    # json.dumps does not escape DEL, a terminal control character.
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
