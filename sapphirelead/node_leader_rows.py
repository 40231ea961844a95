"""Rows in which a leader stores what optional parts have learnt, for its successor.

A row is written with a transaction that is sent anyway, at most once in :data:`MIN_INTERVAL_S`, and
with the last one of a leader that resigns in order.  What a row holds only improves decisions: one
that is missing, damaged, too large or of an unknown form counts as empty, and never keeps an entry
from leading.  Times are not compared between clocks: a row holds the time led by all leaders, and
its age is the time led since (:mod:`sapphirelead.sched_led_time`).
"""

from collections.abc import Sequence
from typing import Any, Final, Protocol

from sapphirelead.logs import log_event
from sapphirelead.ports import Row, Write

MIN_INTERVAL_S: Final = 1.0
"""Minimum time between two writes of a row."""

MAX_BYTES: Final = 40_000
"""Maximum size of a row's data, below the store's limit of 64 KB after its encoding."""

DATA_FIELD: Final = "data"
LED_FIELD: Final = "led_ms"


class StateRow(Protocol):
    """State of a part that a successor starts from."""

    @property
    def key(self) -> str:
        """Key of the row, ``fleet/`` and the part's name."""

    def encode(self, at: float) -> bytes | None:
        """Return the state to store, or ``None`` if there is none."""

    def restore(self, data: bytes, age_s: float) -> None:
        """Take over a predecessor's state; an unreadable one is logged and ignored.

        :param age_s: time led by all leaders since it was stored.
        """


class LeaderRows:
    """The rows of the parts that are switched on."""

    _parts: Sequence[StateRow]
    _stored: dict[str, bytes]
    _written_at: dict[str, float]

    def __init__(self, parts: Sequence[StateRow]) -> None:
        self._parts = parts
        self._stored = {}
        self._written_at = {}

    def with_parts(self, parts: Sequence[StateRow]) -> "LeaderRows":
        """Return the rows of other parts, with what is known of those that stay."""
        changed = LeaderRows(parts)
        changed._stored = dict(self._stored)
        changed._written_at = dict(self._written_at)
        return changed

    @property
    def keys(self) -> list[str]:
        """Keys of the rows to read when a term begins."""
        return [part.key for part in self._parts]

    def restore(self, rows: Sequence[Row], led_s: float) -> None:
        """Hand the rows that were read to their parts.

        :param led_s: time led by all leaders.
        """
        values = {row.key: row.value for row in rows if row.value is not None}
        for part in self._parts:
            value = values.get(part.key)
            if value is None:
                continue
            data, led_ms = value.get(DATA_FIELD), value.get(LED_FIELD)
            if not isinstance(data, bytes) or not isinstance(led_ms, int):
                log_event("ERROR", "part_row_unreadable", row=part.key, reason="fields missing")
                continue
            part.restore(data, max(0.0, led_s - led_ms / 1000))

    def writes(self, at: float, led_s: float, last: bool = False) -> list[Write]:
        """Return the writes of the rows that are due and have changed.

        :param led_s: time led by all leaders.
        :param last: whether this is the last transaction of a leader that resigns.
        """
        found = []
        for part in self._parts:
            if not last and at - self._written_at.get(part.key, -MIN_INTERVAL_S) < MIN_INTERVAL_S:
                continue
            data = part.encode(at)
            if data is None or data == self._stored.get(part.key):
                continue
            self._written_at[part.key] = at
            if len(data) > MAX_BYTES:
                log_event("ERROR", "part_row_too_large", row=part.key, bytes=len(data))
                continue
            self._stored[part.key] = data
            found.append(Write(part.key, _value(data, led_s)))
        return found


def _value(data: bytes, led_s: float) -> dict[str, Any]:
    return {DATA_FIELD: data, LED_FIELD: round(led_s * 1000)}
