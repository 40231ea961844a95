"""The runner process: the agent beside a worker that runs tasks.

It polls the worker for its life id and adopts each new life.  On SIGTERM it exits without stopping
runs; they continue under the worker's lease until the next runner process adopts them.
"""

import asyncio
import signal
from typing import Final

import zmq.asyncio
from result import Err, Result

from sapphirelead.agent_http import AgentHttp
from sapphirelead.background import spawn
from sapphirelead.errors import Failure
from sapphirelead.fleet_entry import timing_bounds
from sapphirelead.fleet_table import PackedTable
from sapphirelead.http_client import HttpCaller
from sapphirelead.keys import Keys, read_keys
from sapphirelead.logs import log_event
from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import WorkerInfo
from sapphirelead.platform.local_runs import HttpRuns, read_life
from sapphirelead.platform.local_table import HttpTable
from sapphirelead.runner_service import Runner
from sapphirelead.settings import RunnerSettings
from sapphirelead.wire_sockets import make_context

LIFE_POLL_INTERVAL_S: Final = 0.5
"""Interval at which the worker is polled for its life id."""

SHUTDOWN_GRACE_S: Final = 6.0
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1


class RunnerProcess:
    """A runner with its connections."""

    runner: Runner
    _settings: RunnerSettings
    _context: zmq.asyncio.Context
    _table: HttpTable
    _worker: HttpCaller
    _http: AgentHttp
    _poll_task: "asyncio.Task[None] | None"

    def __init__(self, settings: RunnerSettings, keys: Keys | None) -> None:
        self._settings = settings
        self._context = make_context()
        self._table = HttpTable(
            HttpCaller.connect(settings.table_url, settings.table_timeout_seconds)
        )
        self._worker = HttpCaller.connect(settings.worker_url, LIFE_POLL_INTERVAL_S)
        bounds = timing_bounds(settings.times, SHUTDOWN_GRACE_S)
        self.runner = Runner(
            settings.id, bounds, PackedTable(self._table), HttpRuns.connect, self._context, keys
        )
        self._http = AgentHttp(lambda: self.runner.connected, self.runner.metrics)
        self._poll_task = None

    @classmethod
    def from_settings(cls, settings: RunnerSettings) -> "Result[RunnerProcess, Failure]":
        """Return a runner that is not started yet, or the failure to read its keys."""
        return read_keys(settings.security.keys_file).map(lambda keys: cls(settings, keys))

    async def start(self) -> None:
        """Start reporting to the leader, polling the worker, and serving HTTP."""
        self.runner.start()
        self._poll_task = spawn(self._poll_lives(), "lives")
        await self._http.start(self._settings.http_port)
        log_event("INFO", "runner_started", runner=self._settings.id, zone=self._settings.zone)

    async def stop(self) -> None:
        """Stop; runs on the worker continue under its lease."""
        if self._poll_task is not None:
            self._poll_task.cancel()
            await asyncio.gather(self._poll_task, return_exceptions=True)
        await self.runner.stop()
        await self._http.stop()
        await self._worker.close()
        await self._table.close()
        self._context.destroy(linger=0)
        log_event("INFO", "runner_stopped", runner=self._settings.id)

    async def _poll_lives(self) -> None:
        seq = 0
        while True:
            life = await read_life(self._worker)
            if life:
                seq += 1
                await self.runner.worker_heartbeat(self._info(life), self._settings.worker_url, seq)
            await asyncio.sleep(LIFE_POLL_INTERVAL_S)

    def _info(self, life: WorkerLife) -> WorkerInfo:
        cfg = self._settings
        size = cfg.capacity
        capacity = Resources(size.cpu_millicores, size.memory_mb, size.accelerators)
        # The last label is the rack.
        labels = (*cfg.labels, cfg.rack)
        return WorkerInfo(life, cfg.service, cfg.zone, capacity, labels)


async def run_runner(settings: RunnerSettings) -> int:
    """Run a runner until SIGTERM or SIGINT and return the exit code."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    created = RunnerProcess.from_settings(settings)
    if isinstance(created, Err):
        log_event("ERROR", "runner_failed", runner=settings.id, reason=str(created.err_value))
        return EXIT_FAILED
    process = created.ok_value
    await process.start()
    await stop_requested.wait()
    await process.stop()
    return EXIT_OK
