"""A site of entries, agents, workers and the store as processes of one machine.

Each node has its own loopback address.  Connections from nodes to the store and from agents to
workers pass through fault proxies, which reset connections to a worker that is down where a direct
one is refused; connections between nodes are direct.  Operations and faults are
recorded in the site's history; a ``fault`` event spans the time in which nodes were affected.
"""

import asyncio
import base64
import contextlib
import os
import signal
from collections import defaultdict
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import aiohttp
import msgspec

from bench.platform_standin_worker import Capacity, Crash, WorkerSettings
from bench.procs import Proc, free_port, to_toml, wait_until
from bench.proxy import Proxy
from sapphirelead.clock import now
from sapphirelead.standin_history import History

ALL_NODES: Final = "*"
FRONT_PORT: Final = 8161
READY_PORT: Final = 8167
CONTROL_PORT: Final = 8166
LINK_PORT: Final = 7720
WORKER_PORT: Final = 8080
STOP_GRACE_S: Final = 6.0
RESTART_DELAY_S: Final = 0.3
RETURN_TIMEOUT_S: Final = 10.0
RETURN_POLL_INTERVAL_S: Final = 0.005
KEPT_ID_INTERVAL: Final = 2
"""Every worker whose number is divisible by this keeps its id in all its lives; 0 for none."""

WORKER_CPU: Final = 4_000
WORKER_MEM_MB: Final = 16_000
SOAK_NAME: Final = "soak"
STORE_NAME: Final = "store"
WATCH_INTERVAL_S: Final = 0.25
STARVATION_THRESHOLD_S: Final = 0.2
"""CPU wait within one watch interval, by the kernel's accounting, from which a process counts as
starved."""

HOLD_MAX_MS: Final = 10_000
BOUNDS: Final = {
    "kill_grace_ms": 900,
    "drain_ms": 2_000,
    "grace_s": int(STOP_GRACE_S),
    "status_s": 120,
    "config_apply_ms": 2_000,
    "evac_ms": 5_000,
}

ZONES: Final = ("z1", "z2")
"""Zones of the workers, by turns."""


@dataclass
class Node:
    """An entry or an agent.

    :ivar signal_lock: held while a fault signals the process, so that faults do not interfere.
    :ivar starts: number of times it was started.
    """

    name: str
    host: str
    entry: bool
    proc: Proc
    store_proxy: Proxy
    signal_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    starts: int = 1


@dataclass
class Worker:
    """The worker of an agent; each start of its process is another life.

    A crash by a task also leads to another life, in the same process.

    :ivar port_lock: held while the port of its proxy is closed.
    """

    name: str
    settings: WorkerSettings
    proc: Proc
    proxy: Proxy
    signal_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    port_lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class Site:
    """The processes of one soak run."""

    folder: Path
    history: History
    entries: list[Node]
    agents: list[Node]
    workers: list[Worker]
    _base: str
    _http: aiohttp.ClientSession
    _procs: list[Proc]
    _proxies: list[Proxy]
    _zone_locks: defaultdict[str, asyncio.Lock]
    _store: Proc
    _store_port: int
    _worker_proxies: bool
    _kept_id_interval: int
    _hold_max_ms: int

    def __init__(
        self,
        folder: Path,
        worker_proxies: bool = True,
        kept_id_interval: int = KEPT_ID_INTERVAL,
        hold_max_ms: int = HOLD_MAX_MS,
    ) -> None:
        self.folder = folder
        self._worker_proxies = worker_proxies
        self._kept_id_interval = kept_id_interval
        self._hold_max_ms = hold_max_ms
        self.history = History.open("site", str(folder / "site.jsonl"))
        self.entries, self.agents, self.workers = [], [], []
        # Derived from the process id, so that sites of concurrent soak processes do not collide.
        self._base = f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}"
        self._procs, self._proxies = [], []
        self._zone_locks = defaultdict(asyncio.Lock)
        self._store_port = free_port()

    @classmethod
    @contextlib.asynccontextmanager
    async def running(
        cls,
        folder: Path,
        entries: int,
        agents: int,
        worker_proxies: bool = True,
        kept_id_interval: int = KEPT_ID_INTERVAL,
        hold_max_ms: int = HOLD_MAX_MS,
    ) -> AsyncIterator["Site"]:
        """Run a site within the context.

        :param worker_proxies: whether agents reach their workers through fault proxies.
        :param kept_id_interval: every worker whose number is divisible by this keeps its id; 0 for
            none.
        :param hold_max_ms: longest lease of a worker.
        """
        site = cls(folder, worker_proxies, kept_id_interval, hold_max_ms)
        try:
            async with aiohttp.ClientSession() as site._http:
                await site._start(entries, agents)
                watching = asyncio.create_task(site._watch())
                yield site
                watching.cancel()
        finally:
            await asyncio.gather(*(proc.kill() for proc in site._procs if proc.running))
            await asyncio.gather(*(proxy.stop() for proxy in site._proxies))
            site.history.close()

    async def _start(self, entries: int, agents: int) -> None:
        hosts = [f"{self._base}.{number + 10}" for number in range(entries + agents)]
        settings = msgspec.json.encode({"hosts": hosts}).decode()
        self._store = await self._spawn(
            STORE_NAME, "platform_standin_store", settings, "--port", str(self._store_port)
        )
        await wait_until("the store listens", self._store_listens)
        await self.publish({"version": 1, "routes": []})
        names = [f"e{n + 1}" for n in range(entries)] + [f"a{n + 1}" for n in range(agents)]
        nodes = [self._make_node(name, host) for name, host in zip(names, hosts, strict=True)]
        for node in await asyncio.gather(*nodes):
            (self.entries if node.entry else self.agents).append(node)
        self.workers = await asyncio.gather(*(self._make_worker(agent) for agent in self.agents))

    async def _store_listens(self) -> bool:
        with contextlib.suppress(aiohttp.ClientError):
            await self._post_store("/refuse", [])
            return True
        return False

    async def _spawn(self, name: str, module: str, settings: str, *args: str) -> Proc:
        history = str(self.folder / f"{name}.jsonl")
        options = ("--history", history, "--settings", settings, *args)
        proc = await Proc.spawn(name, self.folder, f"bench.{module}", *options)
        self._procs.append(proc)
        return proc

    async def _proxy(self, port: int, host: str) -> Proxy:
        proxy = await Proxy.start(port, host)
        self._proxies.append(proxy)
        return proxy

    async def _watch(self) -> None:
        """Record CPU starvation of processes and unexpected exits of nodes."""
        cpu_waits: dict[int, float] = {}
        checked_at = now()
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for who, pid in self._pids():
                before, cpu_waits[pid] = cpu_waits.get(pid, 0.0), _cpu_wait_s(pid)
                if cpu_waits[pid] - before > STARVATION_THRESHOLD_S:
                    shared = who in (SOAK_NAME, STORE_NAME)
                    self._record_fault(f"starved {who}", checked_at, ALL_NODES if shared else who)
            # The event loop was blocked, for example by starting a process.
            if now() - checked_at > WATCH_INTERVAL_S + STARVATION_THRESHOLD_S:
                self._record_fault(f"starved {SOAK_NAME}", checked_at, ALL_NODES)
            for node in (*self.entries, *self.agents):
                if not node.proc.running and not node.signal_lock.locked():
                    self.history.record("died", node=node.name, code=node.proc.code)
            checked_at = now()

    def _pids(self) -> list[tuple[str, int]]:
        others = [(node.name, node.proc.pid) for node in (*self.entries, *self.agents)]
        workers = [(worker.name, worker.proc.pid) for worker in self.workers]
        return [(SOAK_NAME, os.getpid()), (STORE_NAME, self._store.pid), *others, *workers]

    # Nodes.

    async def _make_node(self, name: str, host: str) -> Node:
        proxy = await self._proxy(self._store_port, host)
        entry = name.startswith("e")
        self._write_settings(name, host, f"{host}:{proxy.port}")
        return Node(name, host, entry, await self._spawn_node(name), proxy)

    def _write_settings(self, name: str, host: str, store: str) -> None:
        entry = name.startswith("e")
        listen = {"control": f"{host}:{CONTROL_PORT}"}
        if entry:
            listen = {"front": f"{host}:{FRONT_PORT}", "ready": f"{host}:{READY_PORT}"}
        settings: dict[str, Any] = {
            "node_name": name,
            "ip": host,
            "zone": "z1",
            "port_range": [LINK_PORT, LINK_PORT + 15],
            "serves": ["front"] if entry else ["side"],
            "listen_addrs": listen,
            "platform": {"addr": store},
            "bounds": {**BOUNDS, "hold_max_ms": self._hold_max_ms},
        }
        (self.folder / f"{name}.toml").write_text(to_toml(settings))

    async def _spawn_node(self, name: str) -> Proc:
        variables = {"SAPPHIRELEAD_NODE_FILE": str(self.folder / f"{name}.toml")}
        proc = await Proc.spawn(name, self.folder, "sapphirelead.platform", env=variables)
        self._procs.append(proc)
        return proc

    async def restart(self, node: Node, by: signal.Signals) -> None:
        """Stop a node by SIGTERM (planned) or SIGKILL (unplanned), and start it again."""
        async with node.signal_lock:
            await self._restart(node, by, RESTART_DELAY_S)

    async def restart_together(
        self, downtimes_s: Sequence[tuple[Node, float]], reset: bool = False
    ) -> None:
        """Kill nodes at one moment, and start each again after its downtime.

        :param reset: whether the agents' connections are reset at that moment.
        """
        async with contextlib.AsyncExitStack() as locked:
            # In one order, so that two calls do not wait for each other.
            for node, _ in sorted(downtimes_s, key=lambda item: item[0].name):
                await locked.enter_async_context(node.signal_lock)
            if reset:
                self._reset_connections()
            await asyncio.gather(
                *(self._restart(node, signal.SIGKILL, seconds) for node, seconds in downtimes_s)
            )

    async def _restart(self, node: Node, by: signal.Signals, downtime_s: float) -> None:
        planned = by is signal.SIGTERM
        with self.fault(f"{by.name} {node.name}", node.name, planned):
            if planned:
                code = await node.proc.stop(STOP_GRACE_S)
                self.history.record("stopped", node=node.name, code=code)
            else:
                await node.proc.kill()
            await asyncio.sleep(downtime_s)
            node.proc = await self._spawn_node(node.name)
            node.starts += 1
            await asyncio.sleep(1)

    def leader_entry(self) -> Node:
        """Return the entry that has logged last that it leads; the first one if none has."""
        return max(self.entries, key=lambda entry: entry.proc.last_line(" event=leading "))

    async def pause(self, node: Node | Worker, seconds: float) -> None:
        """Suspend a process for ``seconds``."""
        async with node.signal_lock:
            with self.fault(f"pause {node.name}", node.name):
                node.proc.pause()
                await asyncio.sleep(seconds)
                node.proc.resume()

    async def reload(self, node: Node) -> None:
        """Change a node's settings file and send it SIGHUP.

        Waits until the process handles or ignores SIGHUP, whose default action would terminate a
        starting interpreter.
        """
        async with node.signal_lock:
            while node.proc.running and not _has_disposition(node.proc.pid, signal.SIGHUP):
                await asyncio.sleep(WATCH_INTERVAL_S)
            path = self.folder / f"{node.name}.toml"
            path.write_text(f"# changed at {now()}\n{path.read_text()}")
            with self.fault(f"reload {node.name}", node.name, planned=True):
                node.proc.send(signal.SIGHUP)

    # Workers.

    async def _make_worker(self, agent: Node) -> Worker:
        name = worker_of(agent.name)
        proxy = await self._proxy(WORKER_PORT, agent.host)
        number = int(name[1:])
        settings = WorkerSettings(
            agent.host,
            WORKER_PORT,
            told=f"{agent.host}:{proxy.port if self._worker_proxies else WORKER_PORT}",
            agent=f"{agent.host}:{CONTROL_PORT}",
            cpu=WORKER_CPU,
            mem_mb=WORKER_MEM_MB,
            labels=("a", f"r{number % 2}"),
            zone=ZONES[number % len(ZONES)],
            clock_rate=0.98 + 0.01 * (number % 3),
            hold_max_ms=self._hold_max_ms,
            worker_id=f"i-{name}" if self._keeps_id(number) else "",
        )
        return Worker(name, settings, await self._spawn_worker(name, settings), proxy)

    def _keeps_id(self, number: int) -> bool:
        return self._kept_id_interval > 0 and number % self._kept_id_interval == 0

    async def _spawn_worker(self, name: str, settings: WorkerSettings) -> Proc:
        text = msgspec.json.encode(settings).decode()
        return await self._spawn(name, "platform_standin_worker", text, "--name", name)

    async def replace(self, worker: Worker, by: signal.Signals) -> None:
        """Drain a worker by SIGTERM or kill it by SIGKILL, and start a new one in its place."""
        planned = by is signal.SIGTERM
        async with worker.signal_lock:
            with self.fault(f"{by.name} {worker.name}", worker.name, planned):
                if planned:
                    await worker.proc.stop(20)
                else:
                    await worker.proc.kill()
                self.history.record("worker_gone", name=worker.name)
                await asyncio.sleep(RESTART_DELAY_S)
                worker.proc = await self._spawn_worker(worker.name, worker.settings)

    async def return_worker(self, worker: Worker, crash: Crash) -> None:
        """Crash a worker whose next life has the same id; agents see no reset and no refusal."""
        async with worker.port_lock, worker.signal_lock:
            with self.fault(f"return {worker.name}", worker.name):
                lives = self._count_lives(worker)
                worker.proxy.lose_server()
                try:
                    await self.post_to_worker(worker, "/crash", crash)
                    async with asyncio.timeout(crash.down_s + RETURN_TIMEOUT_S):
                        while self._count_lives(worker) == lives:
                            await asyncio.sleep(RETURN_POLL_INTERVAL_S)
                finally:
                    worker.proxy.regain_server()

    def _count_lives(self, worker: Worker) -> int:
        history = self.folder / f"{worker.name}.jsonl"
        # A process that is still starting has no history.
        text = history.read_bytes() if history.exists() else b""
        return text.count(b'"event":"life",')

    async def refuse_worker(self, worker: Worker, seconds: float) -> None:
        """Reset the connections to a worker, and have new ones refused for a while."""
        async with worker.port_lock:
            with self.fault(f"refuse {worker.name}", worker.name):
                worker.proxy.close_port()
                await asyncio.sleep(seconds)
                await worker.proxy.open_port()

    def _reset_connections(self) -> None:
        """Reset the agents' connections to the store and to their workers."""
        with self.fault("connections reset"):
            for proxy in (*(a.store_proxy for a in self.agents), *(w.proxy for w in self.workers)):
                proxy.cut()

    async def set_capacity(self, worker: Worker, capacity: Capacity) -> None:
        """Change a worker's capacity; its next heartbeat reports it."""
        async with worker.signal_lock:
            await self.post_to_worker(worker, "/capacity", capacity)

    async def post_to_worker(self, worker: Worker, path: str, body: Any) -> None:
        """Post to a worker's fault or behaviour controls; errors are ignored."""
        url = f"http://{worker.settings.host}:{WORKER_PORT}{path}"
        timeout = aiohttp.ClientTimeout(total=2)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._http.post(url, data=msgspec.json.encode(body), timeout=timeout):
                pass

    async def send_heartbeat(self, agent: Node, body: bytes) -> None:
        """Send an agent a heartbeat of an unknown instance."""
        url = f"http://{agent.host}:{CONTROL_PORT}/instances/i-foreign/heartbeat"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._http.post(url, data=body, timeout=aiohttp.ClientTimeout(total=2)):
                pass

    # The store.

    async def _post_store(self, path: str, body: Any) -> None:
        url = f"http://127.0.0.1:{self._store_port}{path}"
        async with self._http.post(url, data=msgspec.json.encode(body)) as response:
            assert response.status == 200, await response.text()

    async def store_fault(self, **faults: Any) -> None:
        """Set the store's faults for requests of nodes; no arguments clear them."""
        await self._post_store("/faults", {"only": "/rows", **faults})

    async def refuse(self, nodes: list[Node], status: int = 503) -> None:
        """Make the store reject requests of exactly these nodes."""
        await self._post_store("/refuse", [{"host": n.host, "status": status} for n in nodes])

    async def forget_history(self) -> None:
        """Make the store drop the changes so far from its change feed."""
        await self._post_store("/forget", {})

    async def write_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row through the store's operator endpoint."""
        row = {"table": table, "key": key, "value": base64.b64encode(value).decode()}
        await self._post_store("/operator", {"writes": [row]})

    async def remove_row(self, table: str, key: str) -> None:
        """Remove a row through the store's operator endpoint."""
        await self._post_store("/operator", {"remove": [{"table": table, "key": key}]})

    async def evacuate(self, zone: str, seconds: float) -> None:
        """Evacuate a zone for a while, as operators do."""
        async with self._zone_locks[zone]:
            await self.write_row("op", f"evacuate/{zone}", b"{}")
            evacuated_at = now()
            await asyncio.sleep(seconds)
            self.history.record("evacuation", evacuated_at, zone=zone, until=now())
            await self.remove_row("op", f"evacuate/{zone}")

    async def publish(self, config: dict[str, Any]) -> None:
        """Publish a configuration."""
        await self.write_row("op", "config", msgspec.json.encode(config))

    @contextlib.contextmanager
    def fault(self, what: str, who: str = ALL_NODES, planned: bool = False) -> Iterator[None]:
        """Record a fault that lasts as long as the context.

        :param who: the affected node or worker, or :data:`ALL_NODES`.
        """
        begin = now()
        try:
            yield
        finally:
            self._record_fault(what, begin, who, planned)

    def _record_fault(self, what: str, begin: float, who: str, planned: bool = False) -> None:
        self.history.record("fault", begin, what=what, who=who, planned=planned, until=now())


def worker_of(agent: str) -> str:
    """Return the name of an agent's worker."""
    return agent.replace("a", "w")


def agent_of(worker: str) -> str:
    """Return the name of a worker's agent."""
    return worker.replace("w", "a")


def _has_disposition(pid: int, signum: signal.Signals) -> bool:
    """Whether a process handles or ignores a signal."""
    with contextlib.suppress(OSError):
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
        masks = [
            int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))
        ]
        return any(mask >> (signum - 1) & 1 for mask in masks)
    return False


def _cpu_wait_s(pid: int) -> float:
    """Return how long a process's main thread has waited on a run queue, in total."""
    with contextlib.suppress(OSError):
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    return 0.0
