"""The operators' configuration: decodes it and follows its changes."""

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.platform.store import FeedGapError, PlatformTable
from sapphirelead.sched_config import QueueConfig, Route
from sapphirelead.sched_spec import AdvicePolicy, QueuePolicy

TABLE: Final = "op"
KEY: Final = "config"

RETRY_FIRST_S: Final = 0.1
RETRY_MOST_S: Final = 0.4


class _Advice(msgspec.Struct):
    """Times of the advice service.

    :ivar decide_ms: time of a call.
    :ivar each_ms: further time for each worker named.
    :ivar valid_ms: how long a ticket holds.
    """

    decide_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0


class _Route(msgspec.Struct):
    """A route is a queue.

    :ivar slo_ms: added to the objective of a job, not an objective by itself.
    :ivar max_attempts: counts failed runs, not all runs.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 3
    stretch: float = 2.0
    slo_ms: int = 1_000
    advice: _Advice | None = None


class _Limits(msgspec.Struct):
    max_body_bytes: int = 0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER: Final = msgspec.json.Decoder(_Config)


def decode_config(data: bytes) -> Result[QueueConfig, Failure]:
    """Translate the row that the operators write."""
    try:
        wire = _DECODER.decode(data)
    except msgspec.DecodeError as exc:
        return Err(Failure(Code.CONFIG_INVALID, f"undecodable configuration: {exc}"))
    routes = [Route(route.host, route.prefix, route.name) for route in wire.routes]
    queues = {route.name: _policy(route) for route in wire.routes}
    return Ok(QueueConfig.from_routes(wire.version, routes, queues, wire.limits.max_body_bytes))


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


class ConfigFollower:
    """Follows the configuration's row.

    The row is read as a whole at the start, after a gap in the history, and when another process
    is known to have a newer version.
    """

    _table: PlatformTable
    _take: Callable[[QueueConfig], None]
    _store_seen: Callable[[bool], None]
    _hurry: asyncio.Event

    def __init__(
        self,
        table: PlatformTable,
        take: Callable[[QueueConfig], None],
        store_seen: Callable[[bool], None],
    ) -> None:
        self._table = table
        self._take = take
        self._store_seen = store_seen
        self._hurry = asyncio.Event()

    def read_now(self) -> None:
        """Read the row at once: a newer version is known to exist."""
        self._hurry.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            group.create_task(self._read_on_demand())

    async def _follow(self) -> None:
        after = -1
        pause = RETRY_FIRST_S
        while True:
            try:
                after = await (self._read() if after < 0 else self._wait(after))
                pause = RETRY_FIRST_S
            except FeedGapError:
                log_event("INFO", "config_history_gone", after=after)
                after = -1
                continue
            except _StoreAwayError:
                await asyncio.sleep(pause)
                pause = min(pause * 2, RETRY_MOST_S)

    async def _read(self) -> int:
        found = await self._table.raw_row(TABLE, KEY)
        if isinstance(found, Err):
            self._away(found.err_value)
        assert isinstance(found, Ok)
        self._store_seen(True)
        data, version = found.ok_value
        self._decode(data)
        return version

    async def _wait(self, after: int) -> int:
        found = await self._table.changes(TABLE, after)
        if isinstance(found, Err):
            self._away(found.err_value)
        assert isinstance(found, Ok)
        self._store_seen(True)
        changed, version = found.ok_value
        self._decode(changed.get(KEY))
        return version

    def _away(self, failure: Failure) -> None:
        self._store_seen(False)
        log_event("INFO", "config_not_read", reason=str(failure))
        raise _StoreAwayError

    def _decode(self, data: bytes | None) -> None:
        if data is None:
            return
        decoded = decode_config(data)
        if isinstance(decoded, Err):
            log_event("ERROR", "config_refused", reason=str(decoded.err_value))
            return
        self._take(decoded.ok_value)

    async def _read_on_demand(self) -> None:
        while True:
            await self._hurry.wait()
            try:
                await self._read()
            except _StoreAwayError:
                await asyncio.sleep(RETRY_FIRST_S)
                continue
            self._hurry.clear()
            await asyncio.sleep(RETRY_FIRST_S)


class _StoreAwayError(Exception):
    """A read got no answer."""
