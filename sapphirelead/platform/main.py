"""Runs an entry or an agent on the platform.

Usage:
  python3 -m sapphirelead.platform

The settings file determines the role: a process that serves callers is an entry, otherwise it is
an agent beside a worker.
"""

import asyncio
import signal
import sys
from functools import partial
from typing import Final

from result import Err

from sapphirelead.background import spawn
from sapphirelead.http_guard import HttpGuard
from sapphirelead.logs import log_event, setup_logs
from sapphirelead.logs_bounded import BoundedSink
from sapphirelead.node_messages import EntryAddress
from sapphirelead.platform.http_server import METRICS_PORT, HttpServer, metrics_handler
from sapphirelead.platform.node_file import (
    Address,
    NodeSettings,
    read_features,
    read_node_file,
)
from sapphirelead.platform.store import PlatformTable
from sapphirelead.sched_parts import PartsConfig
from sapphirelead.wire_sockets import make_context

EXIT_OK: Final = 0
EXIT_SETTINGS: Final = 1


class _Level:
    """Minimum level of the events that are logged."""

    level = "INFO"


def run() -> int:
    """Run the process and return its exit code."""
    setup_logs(_Level(), BoundedSink(sys.stdout.fileno()))
    found = read_node_file()
    if isinstance(found, Err):
        print(found.err_value, file=sys.stderr)
        return EXIT_SETTINGS
    return asyncio.run(_run(found.ok_value))


async def _run(settings: NodeSettings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _on_reload)
    log_event(
        "INFO",
        "process_started",
        node=settings.name,
        zone=settings.zone,
        role="entry" if settings.is_entry else "agent",
        cores=settings.cores,
    )
    if settings.is_entry:
        await _run_entry(settings, stop)
    else:
        await _run_agent(settings, stop)
    log_event("INFO", "process_stopped", node=settings.name)
    return EXIT_OK


def _on_reload() -> None:
    """Handle SIGHUP: validate the settings file; changes take effect only after a restart."""
    found = read_node_file()
    log_event("INFO", "settings_reread", valid=found.is_ok(), problem=str(found.err() or "-"))


async def _run_entry(settings: NodeSettings, stop: asyncio.Event) -> None:
    from sapphirelead.node_entry import EntryNode, FleetEntry
    from sapphirelead.node_leaving import leave
    from sapphirelead.platform.advice import PlatformAdvice
    from sapphirelead.platform.config import OperatorWatcher, decode_config
    from sapphirelead.platform.ingress import Ingress

    table = PlatformTable.connect(settings.store)
    advice = PlatformAdvice.connect(settings.advice)
    address = EntryAddress(settings.name, settings.host, settings.link_port, settings.cores)
    node = EntryNode(address, settings.zone, settings.bounds)
    context = make_context()
    entry = FleetEntry(node, table, advice, context)
    parts = PartsConfig.from_features(read_features())
    watcher = OperatorWatcher(
        table,
        entry.set_config,
        entry.set_zones,
        entry.record_store_result,
        settings.bounds.evacuate_s,
        parts,
    )
    entry.sync.decode = partial(decode_config, parts=parts)
    entry.sync.on_newer = watcher.request_read
    watcher.held = entry.config_version
    guard = HttpGuard(settings.http_limits, entry.metrics)
    ingress = Ingress(entry, guard)
    metrics = HttpServer.for_probes(metrics_handler(entry.metrics), guard)
    await entry.start()
    watcher_task = spawn(watcher.run(), "config")
    assert settings.caller_address is not None and settings.ready_address is not None
    await ingress.start(settings.caller_address, settings.ready_address)
    await metrics.start(Address(settings.host, METRICS_PORT))
    await stop.wait()
    log_event("INFO", "process_leaving", node=settings.name)
    await leave(entry, ingress)
    watcher_task.cancel()
    await entry.stop()
    await metrics.stop()
    await advice.close()
    await table.close()
    context.destroy(linger=0)


async def _run_agent(settings: NodeSettings, stop: asyncio.Event) -> None:
    from sapphirelead.platform.heartbeats import WorkerRequestHandler
    from sapphirelead.platform.worker import PlatformWorker, list_life
    from sapphirelead.runner_service import Runner

    table = PlatformTable.connect(settings.store)
    context = make_context()
    runner = Runner(
        settings.name,
        settings.bounds,
        table,
        PlatformWorker.connect,
        context,
        list_life=list_life,
    )
    guard = HttpGuard(settings.http_limits, runner.metrics)
    handler = WorkerRequestHandler(runner, settings.service)
    server = HttpServer.for_clients(handler.handle, guard)
    metrics = HttpServer.for_probes(metrics_handler(runner.metrics), guard)
    runner.start()
    assert settings.control_address is not None
    await server.start(settings.control_address)
    await metrics.start(Address(settings.host, METRICS_PORT))
    await stop.wait()
    log_event("INFO", "process_leaving", node=settings.name)
    # Stop accepting heartbeats before the runner sends its last report.
    await server.stop()
    await runner.stop()
    await metrics.stop()
    await table.close()
    context.destroy(linger=0)
