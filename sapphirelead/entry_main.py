"""The entry process: accepts requests of callers and schedules durable jobs.

Start: bind the sockets for agents, start the durable part (table, leases, configuration, jobs),
then serve callers.  The entry reports ready once it knows a configuration and a live instance.

Shutdown (SIGTERM): report not ready, refuse new work as not run, finish requests and claims in
progress, then close the sockets.  Event streams and waits end early; their callers continue at
another entry.
"""

import asyncio
import contextlib
import signal
import uuid
from dataclasses import asdict
from typing import Any, Final

import zmq
from result import Err, Ok, Result

from sapphirelead.clock import now
from sapphirelead.entry_admin import AdminPorts, admin_app_routes
from sapphirelead.entry_core import EntryCore
from sapphirelead.entry_http import CallerApi, CallerPorts
from sapphirelead.entry_interference import RegionInterference
from sapphirelead.entry_links import EntryLinks
from sapphirelead.entry_members import EntryMembers
from sapphirelead.entry_ports import Channel, Stamp
from sapphirelead.entry_service import ServiceDispatcher
from sapphirelead.entry_situation import EntrySituation
from sapphirelead.errors import Failure
from sapphirelead.fleet_entry import EntryFleet
from sapphirelead.fleet_http import PREFIX as QUEUES
from sapphirelead.keys import Keys, read_keys
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.platform.local_table import HttpTable
from sapphirelead.ports import Table
from sapphirelead.settings import EntrySettings
from sapphirelead.settings_load import read_token

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
FLUSH_DELAY_S: Final = 0.05


class Entry:
    """One entry process.

    :ivar links: sockets; their ports are known once started.
    :ivar api: HTTP server; its port is known once started.
    """

    links: EntryLinks
    members: EntryMembers
    core: EntryCore
    dispatcher: ServiceDispatcher
    api: CallerApi
    fleet: EntryFleet | None
    metrics: Metrics
    stamp: Stamp
    _settings: EntrySettings
    _table: Table
    _token: str
    _keys: Keys | None
    _connected: bool
    _started_at: float

    def __init__(
        self,
        settings: EntrySettings,
        table: Table,
        links: EntryLinks,
        stamp: Stamp,
        token: str,
        keys: Keys | None,
    ) -> None:
        self.links = links
        self.fleet = None
        self.metrics = Metrics()
        self.stamp = stamp
        self._settings = settings
        self._table = table
        self._token = token
        self._keys = keys
        self._connected = False
        self.members = EntryMembers.from_settings(settings, links, stamp)

    @classmethod
    def from_settings(cls, settings: EntrySettings, table: Table) -> "Result[Entry, Failure]":
        """Return an entry to be started, or the failure to read its keys or token."""
        keys = read_keys(settings.security.keys_file)
        if isinstance(keys, Err):
            return keys
        token = read_token(settings.security.operator_token_file)
        if isinstance(token, Err):
            return token
        stamp = Stamp(settings.id, uuid.uuid4().hex[:12])
        links = EntryLinks.from_settings(settings, stamp, keys.ok_value)
        return Ok(cls(settings, table, links, stamp, token.ok_value, keys.ok_value))

    async def start(self) -> None:
        """Bind the sockets, start all components and serve callers."""
        self._started_at = now()
        await self.links.start()
        control = f"{self._settings.bind_host}:{self.links.ports[Channel.CONTROL]}"
        self.core = EntryCore.from_settings(
            self._settings,
            self.stamp,
            control,
            self._table,
            self.members,
            self.links,
            self.metrics,
        )
        self._connect_parts()
        self._connected = True
        await self.members.start()
        self.core.start()
        await self._start_fleet()
        fleet_routes = self.fleet.app_routes() if self.fleet else []
        await self.api.start([*admin_app_routes(self._admin_ports()), *fleet_routes], (QUEUES,))
        log_event(
            "INFO",
            "entry_started",
            entry=self.stamp.sender,
            incarnation=self.stamp.incarnation,
            http_port=self.api.port,
            control_port=self.links.ports[Channel.CONTROL],
        )

    async def _start_fleet(self) -> None:
        if self._settings.fleet is None:
            return
        fleet = EntryFleet(
            self._settings,
            self._settings.fleet,
            self._table,
            self.core.config,
            self.metrics,
            self._keys,
        )
        await fleet.start()
        self.fleet = fleet

    async def drain(self) -> None:
        """Refuse new work and finish requests in progress within ``drain_seconds``."""
        drains = [self._drain()]
        if self.fleet is not None:
            drains.append(self.fleet.leave())
        await asyncio.gather(*drains)

    async def _drain(self) -> None:
        limit_s = self._settings.drain_seconds
        log_event("INFO", "entry_draining", open_requests=self.dispatcher.open_requests)
        try:
            async with asyncio.timeout(limit_s):
                await self.api.drain(limit_s)
                await self.dispatcher.drain()
        except TimeoutError:
            log_event("ERROR", "drain_cut_short", open_requests=self.dispatcher.open_requests)

    async def stop(self) -> None:
        """Stop the components in reverse order."""
        if self._connected:
            await self.api.stop()
            if self.fleet is not None:
                await self.fleet.stop()
            await self.core.stop()
            await self.members.stop()
        # Closing a socket drops unsent messages: allow the last responses and acknowledgements to
        # be sent.
        await asyncio.sleep(FLUSH_DELAY_S)
        await self.links.stop()
        log_event("INFO", "entry_stopped", entry=self.stamp.sender)

    def _connect_parts(self) -> None:
        config = self.core.config
        self.links.use_config_version(lambda: config.current.version)
        self.members.use_config_version(lambda: config.current.version)
        self.dispatcher = ServiceDispatcher.from_settings(
            self._settings, self.stamp, self.links, self.members, config
        )
        situation = EntrySituation(
            self._settings.zone,
            self.members,
            lambda: self.core.table.up,
            lambda: len(self.core.scheduler.shards.jobs),
        )
        self.core.scheduler.situation = situation.of_job
        self.core.scheduler.slowdown = RegionInterference.from_members(
            self.members, lambda: config.current.document.interference.report_lag_seconds
        ).slowdown
        self.dispatcher.store_up = lambda: self.core.table.up
        self.dispatcher.slowdown = situation.slowdown.of
        self.links.on_channel_change(self.dispatcher.attempts.on_channel_change)
        ports = CallerPorts(
            self.dispatcher,
            self.core.jobs,
            config,
            self.metrics,
            self._ready,
            situation.of_job,
        )
        self.api = CallerApi.from_settings(self._settings, ports)
        self._register_gauges()

    def _ready(self) -> bool:
        """Whether the load balancer may send requests here.

        Requests to a new entry would wait until agents have connected, while other entries could
        serve them.  If none connects within ``silence_seconds``, the entry reports ready anyway.
        """
        warmed_up = now() - self._started_at > self._settings.lease.silence_seconds
        return self.core.config.ready.is_set() and (warmed_up or bool(self.members.live()))

    def _admin_ports(self) -> AdminPorts:
        return AdminPorts(
            stamp=self.stamp,
            zone=self._settings.zone,
            token=self._token,
            jobs=self.core.jobs,
            config=self.core.config,
            members=self.members,
            links=self.links,
            metrics=self.metrics,
            details=self._details,
        )

    def _details(self) -> dict[str, Any]:
        counters = asdict(self.dispatcher.counters)
        return {
            "open_requests": self.dispatcher.open_requests,
            "ejected": self.dispatcher.router.ejected(),
            "store_up": self.core.table.up,
            "service": counters,
        }

    def _register_gauges(self) -> None:
        gauge = self.metrics.gauge
        service = self.dispatcher.counters
        link = self.links.counters
        gauge("open_requests", lambda: float(self.dispatcher.open_requests))
        gauge("ejected_instances", lambda: float(len(self.dispatcher.router.ejected())))
        gauge("live_instances", lambda: float(len(self.members.live())))
        gauge("store_up", lambda: float(self.core.table.up))
        gauge("config_version", lambda: float(self.core.config.current.version))
        gauge("retries", lambda: float(service.retries))
        gauge("hedges", lambda: float(service.hedges))
        gauge("late_answers", lambda: float(service.late))
        gauge("short_answers", lambda: float(service.short))
        gauge("attempts_unsent", lambda: float(service.unsent))
        gauge("fates_asked", lambda: float(service.fates_asked))
        gauge("control_bytes_received", lambda: float(link.control_bytes_received))
        gauge("control_bytes_sent", lambda: float(link.control_bytes_sent))
        gauge("wire_bytes_received", lambda: float(link.bytes_received))
        gauge("wire_bytes_sent", lambda: float(link.bytes_sent))
        gauge("frames_undecodable", lambda: float(link.undecodable))


async def run_entry(settings: EntrySettings) -> int:
    """Run an entry until SIGTERM or SIGINT and return the exit code."""
    table = HttpTable.from_settings(settings.platform)
    created = Entry.from_settings(settings, table)
    if isinstance(created, Err):
        log_event("ERROR", "entry_refused", reason=str(created.err_value))
        await table.close()
        return EXIT_FAILED
    entry = created.ok_value
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    try:
        await entry.start()
    except (OSError, zmq.ZMQError) as exc:
        # For example, a port is in use. Stop what was started: the ZeroMQ context waits at exit
        # for open sockets, and the process would hang.
        log_event("ERROR", "entry_not_started", reason=str(exc))
        await entry.stop()
        await table.close()
        return EXIT_FAILED
    await stop_requested.wait()
    with contextlib.suppress(asyncio.CancelledError):
        await entry.drain()
    await entry.stop()
    await table.close()
    return EXIT_OK
