"""``sapphirelead dev``: a whole deployment on loopback in one process.

Runs the platform's stand-in (table and objects), two entries, three instances, each with its
agent, a stand-in worker and a stand-in target, and two runners, each with a stand-in worker.  All
communicate over sockets as in a real deployment.  The table is in memory and is lost at exit.

Runs the worked example (:mod:`sapphirelead.dev_example`), whose result is the exit code.  Without
``--once`` the deployment stays up afterwards until SIGINT or SIGTERM.
"""

import asyncio
import os
import signal
import socket
from collections.abc import Awaitable, Callable
from typing import Final

from sapphirelead.agent_main import Agent
from sapphirelead.clock import now
from sapphirelead.dev_example import run_example
from sapphirelead.entry_main import Entry
from sapphirelead.entry_ports import Channel
from sapphirelead.keys import read_keys
from sapphirelead.logs import setup_logs
from sapphirelead.options import Exit, Options
from sapphirelead.platform.local_table import HttpTable
from sapphirelead.platform.local_target import HttpTarget
from sapphirelead.platform.local_worker import HttpWorker
from sapphirelead.runner_main import RunnerProcess
from sapphirelead.settings import (
    AgentSettings,
    CapacitySettings,
    EntryAddress,
    EntrySettings,
    FleetSettings,
    LeaseSettings,
    LogSettings,
    PlatformSettings,
    RunnerSettings,
    SecuritySettings,
)
from sapphirelead.standin_history import History
from sapphirelead.standin_server import StandIn
from sapphirelead.standin_table import StandInTable, TableSettings
from sapphirelead.standin_target import StandInTarget, TargetSettings
from sapphirelead.standin_worker import StandInWorker, WorkerSettings

HOST: Final = "127.0.0.1"
ZONE: Final = "dev-1"
ENTRY_COUNT: Final = 2
INSTANCE_COUNT: Final = 3
RUNNER_COUNT: Final = 2
SERVICE: Final = "maturity-check"
CPU_MILLICORES: Final = 8_000
MEMORY_MB: Final = 16_000
READY_TIMEOUT_S: Final = 15.0
READY_POLL_INTERVAL_S: Final = 0.05
LEASE: Final = LeaseSettings(
    lease_seconds=6.0,
    margin_seconds=2.0,
    renew_interval_seconds=0.5,
    beat_interval_seconds=0.25,
    silence_seconds=1.5,
)

Closer = Callable[[], Awaitable[None]]


class DevStack:
    """All processes of the deployment, run in the current event loop.

    :param keys: directory written by ``sapphirelead keys new``; empty disables encryption.
    :ivar urls: base URL of each entry's HTTP API.
    """

    urls: list[str]
    _entries: list[Entry]
    _agents: list[Agent]
    _runners: list[RunnerProcess]
    _closers: list[Closer]
    _table_url: str
    _keys: str

    def __init__(self, keys: str = "") -> None:
        self.urls = []
        self._entries = []
        self._agents = []
        self._runners = []
        self._closers = []
        self._table_url = ""
        self._keys = keys

    async def start(self, first_port: int) -> None:
        """Start all processes and wait until they are ready.

        :param first_port: HTTP port of the first entry, the next entries taking the ports after
            it; 0 lets the system choose.
        """
        table = StandInTable(_history("table"), TableSettings())
        self._table_url = await self._start_standin(table)
        for number in range(ENTRY_COUNT):
            port = first_port + number if first_port else 0
            await self._start_entry(f"entry-{number + 1}", port)
        for number in range(INSTANCE_COUNT):
            await self._start_instance(f"instance-{number + 1}", number + 1)
        for number in range(RUNNER_COUNT):
            await self._start_runner(f"runner-{number + 1}", number + 1)
        await self._wait_ready()

    async def stop(self) -> None:
        """Drain agents and entries, then stop everything."""
        for agent in self._agents:
            agent.drain()
        for agent in self._agents:
            await agent.stopped.wait()
            await agent.stop()
        # Drain concurrently: each entry waits for its callers to move to another one.
        await asyncio.gather(*(entry.drain() for entry in self._entries))
        for entry in self._entries:
            await entry.stop()
        for runner in self._runners:
            await runner.stop()
        for close in reversed(self._closers):
            await close()

    async def _start_standin(self, standin: StandIn) -> str:
        port = await standin.start(HOST, 0)
        self._closers.append(standin.stop)
        return f"http://{HOST}:{port}"

    async def _start_entry(self, name: str, port: int) -> None:
        platform = PlatformSettings(table_url=self._table_url, objects_url=self._table_url)
        settings = EntrySettings(
            id=name,
            zone=ZONE,
            zones=[ZONE],
            http_port=port,
            control_port=0,
            data_port=0,
            bulk_port=0,
            platform=platform,
            fleet=FleetSettings(link_port=_free_port()),
            lease=LEASE,
            security=self._security("entry"),
            drain_seconds=5.0,
        )
        table = HttpTable.from_settings(platform)
        self._closers.append(table.close)
        entry = Entry.from_settings(settings, table).unwrap()
        # Registered before start(), which may fail on a used port: stop() must close the sockets
        # that the entry has already opened, or the process cannot exit.
        self._entries.append(entry)
        await entry.start()
        self.urls.append(f"http://{HOST}:{entry.api.port}")

    async def _start_instance(self, name: str, rack: int) -> None:
        worker = StandInWorker(
            _history(name),
            WorkerSettings(
                cpu_millicores=CPU_MILLICORES,
                memory_mb=MEMORY_MB,
                objects_url=self._table_url,
                usage_lag_s=1.0,
            ),
        )
        worker_url = await self._start_standin(worker)
        target = StandInTarget(_history(name), TargetSettings(worker_url=worker_url))
        target_url = await self._start_standin(target)
        settings = AgentSettings(
            id=name,
            zone=ZONE,
            rack=f"rack-{rack}",
            entries=[_address(entry) for entry in self._entries],
            worker_url=worker_url,
            target_url=target_url,
            services=[SERVICE],
            capacity=CapacitySettings(cpu_millicores=CPU_MILLICORES, memory_mb=MEMORY_MB),
            lease=LEASE,
            security=self._security("agent"),
            drain_seconds=5.0,
        )
        keys = read_keys(settings.security.keys_file).unwrap()
        worker_client = HttpWorker.from_settings(settings)
        target_client = HttpTarget.from_settings(settings)
        self._closers += [worker_client.close, target_client.close]
        agent = Agent.from_settings(settings, worker_client, target_client, keys)
        await agent.start()
        self._agents.append(agent)

    async def _start_runner(self, name: str, rack: int) -> None:
        worker = StandInWorker(
            _history(name), WorkerSettings(cpu_millicores=CPU_MILLICORES, memory_mb=MEMORY_MB)
        )
        settings = RunnerSettings(
            id=name,
            zone=ZONE,
            service=SERVICE,
            rack=f"rack-{rack}",
            worker_url=await self._start_standin(worker),
            table_url=self._table_url,
            capacity=CapacitySettings(cpu_millicores=CPU_MILLICORES, memory_mb=MEMORY_MB),
            security=self._security("agent"),
        )
        runner = RunnerProcess.from_settings(settings).unwrap()
        self._runners.append(runner)
        await runner.start()

    def _security(self, role: str) -> SecuritySettings:
        return SecuritySettings(keys_file=f"{self._keys}/{role}.keys" if self._keys else "")

    async def _wait_ready(self) -> None:
        deadline = now() + READY_TIMEOUT_S
        while not all(self._is_ready(entry) for entry in self._entries):
            if now() > deadline:
                raise TimeoutError(f"not ready after {READY_TIMEOUT_S:g} s")
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def _is_ready(self, entry: Entry) -> bool:
        has_leader = entry.fleet is not None and entry.fleet.entry.leader_known
        return (
            has_leader
            and entry.core.config.ready.is_set()
            and len(entry.members.live()) == INSTANCE_COUNT
        )


async def run_dev(options: Options) -> int:
    """Run the deployment and the worked example; return the exit code."""
    setup_logs(LogSettings(level="WARNING"))
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    stack = DevStack()
    started_at = now()
    try:
        await stack.start(options.port)
        print(
            f"{ENTRY_COUNT} entries and {INSTANCE_COUNT} instances up in {now() - started_at:.1f} s"
        )
        passed = await run_example(stack.urls)
        if not options.once:
            _print_urls(stack.urls)
            await stop_requested.wait()
    except (OSError, TimeoutError) as exc:
        print(f"the deployment did not come up: {exc}; give another --port, or 0")
        passed = False
    finally:
        await stack.stop()
    return Exit.OK if passed else Exit.REFUSED


def _print_urls(urls: list[str]) -> None:
    print()
    for url in urls:
        print(f"callers and operators: {url}")
    print(f'try: curl -sX POST {urls[0]}/v1/services/{SERVICE} -d \'{{"marker":"me"}}\'')
    print(f"try: sapphirelead instances list --url={urls[0]}")
    print("Ctrl-C stops everything")


def _address(entry: Entry) -> EntryAddress:
    ports = entry.links.ports
    return EntryAddress(
        host=HOST,
        control_port=ports[Channel.CONTROL],
        data_port=ports[Channel.DATA],
        bulk_port=ports[Channel.BULK],
    )


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def _history(name: str) -> History:
    # Discards the history: in memory it would grow without bound.
    return History.open(name, os.devnull)
