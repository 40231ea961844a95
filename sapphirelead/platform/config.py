"""Decodes the operators' configuration and watches the table of their rows for changes."""

import asyncio
import math
from collections.abc import Callable
from typing import Annotated, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from sapphirelead.clock import awake_now
from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.platform.decoding import Count, Name, decode
from sapphirelead.platform.store import (
    FEED_WAIT_S,
    FeedGapError,
    ForeignRow,
    PlatformTable,
)
from sapphirelead.platform.zones import EVACUATION_END, ZoneRows
from sapphirelead.sched_config import QueueConfig, Route
from sapphirelead.sched_parts import ALL_OFF, PartsConfig
from sapphirelead.sched_spec import AdvicePolicy, QueuePolicy
from sapphirelead.sched_timing import CLOCK_DRIFT_SHARE
from sapphirelead.sched_zones import FEED_WAIT_SHARE, EvacuatedZones

OPERATOR_TABLE: Final = "op"
CONFIG_KEY: Final = "config"

MIN_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 0.4

COPY_WAIT_S: Final = 0.5
"""Time for a copy of a newer configuration to arrive from another entry before the store is asked
for it; both would share the link."""


class _Advice(msgspec.Struct):
    """Latency of the advice service and lifetime of its tickets.

    :ivar decide_ms: base latency of a call.
    :ivar each_ms: additional latency per worker.
    :ivar valid_ms: validity period of a ticket.
    """

    decide_ms: Count = 0
    each_ms: Count = 0
    valid_ms: Count = 0


class _Route(msgspec.Struct):
    """A route and the policy of its queue.

    :ivar slo_ms: slack added to a job's objective, not an objective by itself.
    :ivar max_attempts: limit on failed runs, not on all runs.
    """

    name: Name
    host: Name
    prefix: Name
    service: str
    priority: Count = 0
    max_attempts: Count = 3
    stretch: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 2.0
    slo_ms: Count = 1_000
    advice: _Advice | None = None


class _Limits(msgspec.Struct):
    max_body_bytes: Count = 0


class _Config(msgspec.Struct):
    version: Count
    routes: list[msgspec.Raw] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


T = TypeVar("T")

_DECODER: Final = msgspec.json.Decoder(_Config)
_ROUTE_DECODER: Final = msgspec.json.Decoder(_Route)


def decode_config(data: bytes, parts: PartsConfig = ALL_OFF) -> Result[QueueConfig, Failure]:
    """Decode the configuration row into a :class:`QueueConfig`.

    :param parts: options of the scheduler's optional parts, which the row does not have.
    """
    decoded = decode(_DECODER, data)
    if isinstance(decoded, Err):
        text = f"invalid configuration: {decoded.err_value}"
        return Err(Failure(Code.CONFIG_INVALID, text))
    wire = decoded.ok_value
    readable = _readable_routes(wire)
    routes = [Route(route.host, route.prefix, route.name) for route in readable]
    queues = {route.name: _policy(route) for route in readable}
    limit = wire.limits.max_body_bytes
    return Ok(QueueConfig.from_routes(wire.version, routes, queues, limit, parts))


def _readable_routes(wire: _Config) -> list[_Route]:
    """Return the routes that can be decoded; the others are logged and skipped."""
    routes = []
    for raw in wire.routes:
        route = decode(_ROUTE_DECODER, bytes(raw))
        if isinstance(route, Ok):
            routes.append(route.ok_value)
        else:
            log_event("ERROR", "route_unreadable", version=wire.version, reason=route.err_value)
    return routes


def _policy(route: _Route) -> QueuePolicy:
    advice = route.advice
    return QueuePolicy(
        service=route.service,
        priority=route.priority,
        max_failures=max(1, route.max_attempts),
        stretch=route.stretch,
        slack_ms=route.slo_ms,
        advice=AdvicePolicy(advice.decide_ms, advice.each_ms, advice.valid_ms) if advice else None,
    )


class OperatorWatcher:
    """Watches the operators' rows: the configuration, and the evacuated zones.

    All rows are read at the start and after a gap in the change feed, and also if another process
    has a newer configuration and neither the feed nor a copy brings it.

    :ivar held: returns the version in force, which may have come from another process.
    """

    held: Callable[[], int]

    _table: PlatformTable
    _apply: Callable[[QueueConfig, bytes], None]
    _version: int
    _wanted: int
    _zones: ZoneRows
    _max_wait_s: float
    _wait_s: float
    _report_store: Callable[[bool], None]
    _read_requested: asyncio.Event
    _parts: PartsConfig

    def __init__(
        self,
        table: PlatformTable,
        apply: Callable[[QueueConfig, bytes], None],
        apply_zones: Callable[[EvacuatedZones], None],
        report_store: Callable[[bool], None],
        evacuate_s: float = math.inf,
        parts: PartsConfig = ALL_OFF,
    ) -> None:
        """Create a watcher that has read nothing yet.

        :param apply: called with each configuration and the row that it was decoded from.
        :param report_store: called with whether the store has answered a read.
        :param evacuate_s: see :class:`~sapphirelead.sched_timing.Bounds`.
        :param parts: see :func:`decode_config`.
        """
        self._parts = parts
        self._version = 0
        self._wanted = 0
        self.held = lambda: self._version
        self._table = table
        self._apply = apply
        self._zones = ZoneRows(apply_zones)
        self._max_wait_s = min(FEED_WAIT_S, FEED_WAIT_SHARE * evacuate_s)
        self._wait_s = self._max_wait_s
        self._report_store = report_store
        self._read_requested = asyncio.Event()

    def request_read(self, version: int) -> None:
        """Request a read without waiting for changes, because ``version`` exists."""
        self._wanted = max(self._wanted, version)
        self._read_requested.set()

    async def run(self) -> None:
        """Watch the rows until cancelled; one read at a time, so that none slows another down."""
        after = -1
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                after = await (self._read_all() if after < 0 else self._follow(after))
                delay_s = MIN_RETRY_DELAY_S
            except FeedGapError:
                log_event("INFO", "config_history_gone", after=after)
                after = -1
            except _StoreUnreachableError:
                self._wait_s = 0.0
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _follow(self, after: int) -> int:
        """Read the changes; return -1 if all rows are to be read instead.

        A read that waits for changes may be on an unresponsive connection.  It is given up if a
        version is missing and nothing of it arrives, but not while it does.
        """
        read = asyncio.create_task(self._read_changes(after))
        try:
            while not read.done():
                requested = asyncio.create_task(self._read_requested.wait())
                try:
                    await asyncio.wait({read, requested}, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    requested.cancel()
                if read.done():
                    break
                self._read_requested.clear()
                await asyncio.wait({read}, timeout=COPY_WAIT_S)
                if not read.done() and self.held() < self._wanted and not self._table.receiving:
                    return -1
            return await read
        finally:
            read.cancel()
            await asyncio.gather(read, return_exceptions=True)

    async def _read_all(self) -> int:
        sent_at = awake_now()
        rows, version = self._answered(
            await self._table.foreign_rows(OPERATOR_TABLE, CONFIG_KEY, EVACUATION_END)
        )
        self._zones.replaced(rows, sent_at)
        self._decode_row(rows)
        return version

    async def _read_changes(self, after: int) -> int:
        """Read the changes since the previous read, and wait for one if that was recent."""
        sent_at, wait_s = awake_now(), self._wait_s
        rows, version = self._answered(await self._table.changes(OPERATOR_TABLE, after, wait_s))
        # The store answers before the end of the wait only if there is a change.
        held_s = wait_s * (1 - CLOCK_DRIFT_SHARE)
        held = not rows and awake_now() - sent_at >= held_s
        self._wait_s = self._max_wait_s if held else 0.0
        self._zones.changed(rows, sent_at + held_s if held else sent_at)
        self._decode_row(rows)
        return version

    def _answered(self, found: Result[T, Failure]) -> T:
        """Return what the store has answered.

        :raises _StoreUnreachableError: if it has not.
        """
        self._report_store(isinstance(found, Ok))
        if isinstance(found, Err):
            log_event("INFO", "config_not_read", reason=str(found.err_value))
            raise _StoreUnreachableError
        return found.ok_value

    def _decode_row(self, rows: dict[str, ForeignRow]) -> None:
        row = rows.get(CONFIG_KEY)
        self._decode(row.value if row is not None else None)

    def _decode(self, data: bytes | None) -> None:
        if data is None:
            return
        decoded = decode_config(data, self._parts)
        if isinstance(decoded, Err):
            log_event("ERROR", "config_refused", reason=str(decoded.err_value))
            return
        self._version = max(self._version, decoded.ok_value.version)
        self._apply(decoded.ok_value, data)


class _StoreUnreachableError(Exception):
    """The store did not answer a read."""
