"""Decodes the operators' configuration and watches it for changes."""

import asyncio
from collections.abc import Callable
from typing import Annotated, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.platform.decoding import Count, Name, decode
from sapphirelead.platform.store import FeedGapError, PlatformTable
from sapphirelead.sched_config import QueueConfig, Route
from sapphirelead.sched_spec import AdvicePolicy, QueuePolicy

CONFIG_TABLE: Final = "op"
CONFIG_KEY: Final = "config"

MIN_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 0.4


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


_DECODER: Final = msgspec.json.Decoder(_Config)
_ROUTE_DECODER: Final = msgspec.json.Decoder(_Route)


def decode_config(data: bytes) -> Result[QueueConfig, Failure]:
    """Decode the configuration row into a :class:`QueueConfig`."""
    decoded = decode(_DECODER, data)
    if isinstance(decoded, Err):
        text = f"invalid configuration: {decoded.err_value}"
        return Err(Failure(Code.CONFIG_INVALID, text))
    wire = decoded.ok_value
    readable = _readable_routes(wire)
    routes = [Route(route.host, route.prefix, route.name) for route in readable]
    queues = {route.name: _policy(route) for route in readable}
    return Ok(QueueConfig.from_routes(wire.version, routes, queues, wire.limits.max_body_bytes))


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


class ConfigWatcher:
    """Watches the configuration row.

    The whole row is read at the start, after a gap in the change feed, and when another process
    has a newer version.
    """

    _table: PlatformTable
    _apply: Callable[[QueueConfig], None]
    _report_store: Callable[[bool], None]
    _read_requested: asyncio.Event

    def __init__(
        self,
        table: PlatformTable,
        apply: Callable[[QueueConfig], None],
        report_store: Callable[[bool], None],
    ) -> None:
        self._table = table
        self._apply = apply
        self._report_store = report_store
        self._read_requested = asyncio.Event()

    def request_read(self) -> None:
        """Request an immediate read, because a newer version exists."""
        self._read_requested.set()

    async def run(self) -> None:
        """Watch the row until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._watch())
            group.create_task(self._read_on_demand())

    async def _watch(self) -> None:
        after = -1
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                after = await (self._read() if after < 0 else self._wait_for_change(after))
                delay_s = MIN_RETRY_DELAY_S
            except FeedGapError:
                log_event("INFO", "config_history_gone", after=after)
                after = -1
                continue
            except _StoreUnreachableError:
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _read(self) -> int:
        found = await self._table.raw_row(CONFIG_TABLE, CONFIG_KEY)
        if isinstance(found, Err):
            self._raise_unreachable(found.err_value)
        assert isinstance(found, Ok)
        self._report_store(True)
        data, version = found.ok_value
        self._decode(data)
        return version

    async def _wait_for_change(self, after: int) -> int:
        found = await self._table.changes(CONFIG_TABLE, after)
        if isinstance(found, Err):
            self._raise_unreachable(found.err_value)
        assert isinstance(found, Ok)
        self._report_store(True)
        changed, version = found.ok_value
        self._decode(changed.get(CONFIG_KEY))
        return version

    def _raise_unreachable(self, failure: Failure) -> None:
        self._report_store(False)
        log_event("INFO", "config_not_read", reason=str(failure))
        raise _StoreUnreachableError

    def _decode(self, data: bytes | None) -> None:
        if data is None:
            return
        decoded = decode_config(data)
        if isinstance(decoded, Err):
            log_event("ERROR", "config_refused", reason=str(decoded.err_value))
            return
        self._apply(decoded.ok_value)

    async def _read_on_demand(self) -> None:
        while True:
            await self._read_requested.wait()
            try:
                await self._read()
            except _StoreUnreachableError:
                await asyncio.sleep(MIN_RETRY_DELAY_S)
                continue
            self._read_requested.clear()
            await asyncio.sleep(MIN_RETRY_DELAY_S)


class _StoreUnreachableError(Exception):
    """The store did not answer a read."""
