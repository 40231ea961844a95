"""The fleet node of an entry: accepts jobs of steps and acts as leader or follower.

It shares the entry's HTTP port, configuration, metrics and table, and adds one port for links to
runners and other entries.
"""

from typing import Final

import zmq
import zmq.asyncio
from aiohttp import web

from sapphirelead.entry_ports import ConfigService
from sapphirelead.fleet_config import queue_config
from sapphirelead.fleet_http import QueueRoutes
from sapphirelead.fleet_table import PackedTable
from sapphirelead.keys import Keys
from sapphirelead.metrics import Metrics
from sapphirelead.model_config import Config
from sapphirelead.node_entry import EntryNode, FleetEntry
from sapphirelead.node_leaving import leave
from sapphirelead.node_messages import EntryAddress
from sapphirelead.platform.local_advice import HttpAdvice
from sapphirelead.ports import Table
from sapphirelead.sched_timing import Bounds
from sapphirelead.sched_zones import EvacuatedZones
from sapphirelead.settings import EntrySettings, FleetSettings, FleetTimes
from sapphirelead.wire_sockets import make_context

MAX_LEAVING_LEAD_S: Final = 10.0
"""Maximum time that a leaving leader keeps leading while no other entry can take over."""


class EntryFleet:
    """The fleet node that runs in the process of an entry.

    :ivar routes: HTTP handlers of the caller API.
    """

    entry: FleetEntry
    routes: QueueRoutes
    _context: zmq.asyncio.Context
    _advice: HttpAdvice
    _config: ConfigService

    def __init__(
        self,
        settings: EntrySettings,
        fleet: FleetSettings,
        table: Table,
        config: ConfigService,
        metrics: Metrics,
        keys: Keys | None,
    ) -> None:
        address = EntryAddress(settings.id, settings.bind_host, fleet.link_port)
        bounds = timing_bounds(fleet.times, min(settings.drain_seconds, MAX_LEAVING_LEAD_S))
        node = EntryNode(address, settings.zone, bounds, keys)
        self._context = make_context()
        self._advice = HttpAdvice.connect(fleet.advice_url)
        self.entry = FleetEntry(node, PackedTable(table), self._advice, self._context)
        self.entry.metrics = metrics
        self.routes = QueueRoutes(settings.limits, self.entry, config, bool(fleet.advice_url))
        self._config = config
        config.on_change(self._on_config)
        config.on_read(self._on_config_read)
        if config.current.version:
            self._on_config(config.current)

    def _on_config(self, config: Config) -> None:
        self.entry.set_config(queue_config(config))
        self._set_zones(self.entry.zones.read_at)

    def _on_config_read(self, sent_at: float) -> None:
        self._set_zones(max(sent_at, self.entry.zones.read_at))

    def _set_zones(self, read_at: float) -> None:
        names = frozenset(self._config.current.document.evacuated_zones)
        self.entry.set_zones(EvacuatedZones(names, read_at))

    def app_routes(self) -> list[web.AbstractRouteDef]:
        """Return the HTTP routes for jobs of steps."""
        return self.routes.routes()

    async def start(self) -> None:
        """Listen for runners and other entries and start discovering them.

        :raises zmq.ZMQError: if the port is in use.
        """
        try:
            await self.entry.start()
        except zmq.ZMQError:
            # An open socket would block the termination of the context at process exit.
            await self._advice.close()
            self._context.destroy(linger=0)
            raise

    async def leave(self) -> None:
        """Drain callers and hand leadership over to another entry."""
        await leave(self.entry, self.routes)

    async def stop(self) -> None:
        """Stop the node and close its connections."""
        await self.entry.stop()
        await self._advice.close()
        self._context.destroy(linger=0)


def timing_bounds(times: FleetTimes, grace_s: float) -> Bounds:
    """Return the timing bounds for the settings of a process.

    :param grace_s: time that a leaving process has until it must exit, in seconds.
    """
    return Bounds(
        lease_max_s=times.lease_seconds,
        kill_grace_s=times.stop_seconds,
        early_s=times.early_seconds,
        restore_s=times.restore_seconds,
        save_every_s=times.save_interval_seconds,
        remote_factor=times.remote_factor,
        harm_s=times.harm_seconds,
        grace_s=grace_s,
        keep_ended_s=times.keep_ended_seconds,
        evacuate_s=times.evacuate_seconds,
    )
