"""Small stand-ins of the users' platform for the scripts of this folder.

The platform's store, the workers and a TCP proxy run inside the script's own process; the project's
programs are started as separate processes with the commands of the deploy file.  All addresses are
loopback addresses, and time is the real clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent

# Bounds of the small deployment vct-roofdesk.
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "hold_max_ms": 10000,
    "kill_grace_ms": 400,
    "gang_wait_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote_factor": 1.5,
    "checkpoint_s": 0.5,
    "restore_ms": 600,
    "pace_ms": 100,
    "harm_ms": 4000,
}
ROW_BYTES = 65536
TX_S = 0.004
HISTORY_S = 20.0
HEARTBEAT_S = 1.5
FRONT, READY, CONTROL, APP, PROXY, LINK, METRICS = 8161, 8167, 8166, 8165, 8180, 7720, 9464
STORE = 8169
SERVICE = "svc"
HOST = "desk.example"
CORES, MEM_MB = 32000, 128000


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return round(time.monotonic() - self.began, 3)

    def __call__(self, event: str, **fields: Any) -> None:
        self._file.write(json.dumps({"t": self.now(), "event": event, **fields}) + "\n")

    def close(self) -> None:
        self._file.close()


async def serve(host: str, port: int, routes: list[web.RouteDef]) -> web.AppRunner:
    app = web.Application(client_max_size=8 << 20)
    app.add_routes(routes)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


class Store:
    """The platform's store: rows in tables, transactions, reads and the feed of changes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.ver = 0
        self.changes: deque[tuple[float, dict[str, Any]]] = deque()
        self.trimmed = 0
        self.refused_rows = 0
        self._lock = asyncio.Lock()

    def routes(self) -> list[web.RouteDef]:
        return [
            web.post("/rows-tx", self._transact),
            web.get("/rows-get", self._get),
            web.get("/rows-feed", self._feed),
        ]

    def write(self, row: dict[str, Any]) -> None:
        """Write a row as the operator does."""
        self.ver += 1
        self._change({**row, "ver": self.ver})

    def _change(self, row: dict[str, Any]) -> None:
        place = _place(row)
        if row.get("tombstone"):
            self.rows.pop(place, None)
        else:
            self.rows[place] = row
        self.changes.append((time.monotonic(), row))

    def _answer(self, rows: list[dict[str, Any]], status: int = 200, more: bool = False) -> Any:
        body = {
            "rows": rows,
            "ver": self.ver,
            "now_ms": int(time.monotonic() * 1000),
            "has_more": more,
        }
        return web.json_response(body, status=status)

    async def _transact(self, request: web.Request) -> web.Response:
        txn = await request.json()
        expected, writes = txn.get("expected_rev", []), txn.get("writes", [])
        remove = txn.get("remove", [])
        if len(expected) + len(writes) + len(remove) > 100:
            return web.Response(status=413)
        if any(row["table"] in ("op", "servers") for row in (*writes, *remove)):
            return web.Response(status=403)
        for row in writes:
            # The page reads "value (base64 of at most row_bytes)": the larger reading is granted.
            size = len(base64.b64decode(row["value"]))
            if size > ROW_BYTES:
                self.refused_rows += 1
                key = f"{row['table']}/{row['key']}"
                self.record("row_refused", row=key, bytes=size, row_bytes=ROW_BYTES)
                return web.Response(status=413)
        async with self._lock:
            await asyncio.sleep(TX_S)
            if any(self._version(row) != row.get("ver", 0) for row in expected):
                found = [self.rows[_place(row)] for row in expected if _place(row) in self.rows]
                return self._answer(found, status=412)
            self.ver += 1
            for row in writes:
                self._change({**_named(row), "value": row["value"], "ver": self.ver})
            for row in remove:
                if _place(row) in self.rows:
                    self._change({**_named(row), "ver": self.ver, "tombstone": True})
        return self._answer([])

    def _version(self, row: dict[str, Any]) -> int:
        return int(self.rows.get(_place(row), {}).get("ver", 0))

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", "500")), 500)
        found = sorted(
            (
                row
                for (table, part, key), row in self.rows.items()
                if table == query["table"]
                and part == query.get("part", "")
                and key >= start
                and (not end or key < end)
            ),
            key=lambda row: row["key"].encode(),
        )
        return self._answer(found[:limit], more=len(found) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        after, table = int(request.query["after"]), request.query["table"]
        until = time.monotonic() + min(int(request.query.get("wait_ms", "0")), 30000) / 1000
        while True:
            while self.changes and self.changes[0][0] < time.monotonic() - HISTORY_S:
                self.trimmed = self.changes.popleft()[1]["ver"]
            if after < self.trimmed:
                return web.Response(status=410)
            found = [r for _, r in self.changes if r["table"] == table and r["ver"] > after]
            if found or time.monotonic() >= until:
                return self._answer(found)
            await asyncio.sleep(0.02)


def _place(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


def _named(row: dict[str, Any]) -> dict[str, Any]:
    return {"table": row["table"], "part": row.get("part", ""), "key": row["key"]}


@dataclass
class Run:
    """A run of a task; times are of the process's steady clock."""

    task: str
    attempt: int
    began: float
    due: float
    work_s: float
    stops_at: float = float("inf")


@dataclass
class Worker:
    """A worker beside an agent; it starts whatever it is told and guards no capacity."""

    name: str
    host: str
    zone: str
    told: str
    record: Record
    id: str = field(default_factory=lambda: f"i-{random.randbytes(5).hex()}")
    token: int = 0
    lease_until: float = 0.0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ended: list[tuple[int, str, int, str]] = field(default_factory=list)
    closed: dict[str, int] = field(default_factory=dict)
    last_number: int = 0
    seq: int = 0
    cut: bool = False
    born: float = field(default_factory=time.monotonic)
    gone: bool = False
    server: web.AppRunner | None = None

    def routes(self) -> list[web.RouteDef]:
        return [
            web.post("/run-start", self._order),
            web.post("/run-stop", self._order),
            web.post("/pace", self._order),
            web.post("/hold", self._hold),
        ]

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self.born) * 1000)

    def advance(self) -> None:
        """End the runs that are due by now."""
        at = time.monotonic()
        for run in list(self.runs.values()):
            if self.lease_until <= at:
                self._end(run, "lapsed")
            elif run.stops_at <= at:
                self._end(run, "stopped")
            elif run.due <= at:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task, run.attempt]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.attempt)
        self.last_number += 1
        self.ended.append((self.last_number, run.task, run.attempt, how))
        self.record("run_end", worker=self.id, task=run.task, attempt=run.attempt, how=how)

    def _reply(self, status: int = 200, **fields: Any) -> web.Response:
        return web.json_response({"clock_ms": self.clock_ms, **fields}, status=status)

    def _extend(self, deadline_ms: int) -> None:
        granted = min(deadline_ms, self.clock_ms + BOUNDS["hold_max_ms"])
        self.lease_until = max(self.lease_until, self.born + granted / 1000)

    def _is_other(self, request: web.Request) -> bool:
        return request.headers.get("X-Target-Instance", self.id) != self.id

    async def _order(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return web.Response(status=421)
        self.advance()
        if body.get("fence_token", 0) < self.token:
            return self._reply(409, reason="fence")
        self.token = body.get("fence_token", 0)
        name = body["task"], body["attempt"]
        if request.path == "/run-stop":
            self.closed[name[0]] = max(self.closed.get(name[0], 0), name[1])
            if name in self.runs:
                stops_at = time.monotonic() + BOUNDS["kill_grace_ms"] / 2000
                self.runs[name].stops_at = min(self.runs[name].stops_at, stops_at)
            self.record("run_stop", worker=self.id, task=name[0], attempt=name[1])
        elif request.path == "/run-start":
            return self._start(body, name)
        return self._reply()

    def _start(self, body: dict[str, Any], name: tuple[str, int]) -> web.Response:
        if body["deadline_ms"] < self.clock_ms:
            return self._reply(409, reason="late")
        self._extend(body["deadline_ms"])
        if name in self.runs:
            return self._reply()
        if name[1] <= self.closed.get(name[0], 0):
            return self._reply(409, reason="old")
        work_s = float(json.loads(body["spec"])["work_s"])
        at = time.monotonic()
        self.runs[name] = Run(*name, at, at + work_s, work_s)
        self.record("run_start", worker=self.id, task=name[0], attempt=name[1])
        return self._reply()

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self._is_other(request):
            return web.Response(status=421)
        self.advance()
        if body.get("fence_token", 0) < self.token:
            return self._reply(409, reason="fence")
        self.token = body.get("fence_token", 0)
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        upto = body.get("seen_upto", 0)
        if self.ended and self.ended[0][0] <= upto:
            self.record("noted", worker=self.id, upto=upto)
        self.ended = [end for end in self.ended if end[0] > upto]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            await asyncio.sleep(0.02)
            self.advance()
        at = time.monotonic()
        running = [
            [run.task, run.attempt, "", min(99, int(100 * (at - run.began) / run.work_s)), 0]
            for run in self.runs.values()
        ]
        ended = [[*end, ""] for end in self.ended[:500]]
        return self._reply(running=running, ended=ended)

    async def crash(self) -> None:
        """End the worker for good: its runs are gone and its port has no listener."""
        self.gone = self.cut = True
        for run in self.runs.values():
            self.record("run_gone", worker=self.id, task=run.task, attempt=run.attempt)
        self.runs.clear()
        self.ended.clear()
        if self.server is not None:
            await self.server.cleanup()

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Send heartbeats to the agent on the same machine."""
        url = f"http://{self.host}:{CONTROL}/instances/{self.id}/heartbeat"
        while True:
            self.seq += 1
            body = {
                "service": SERVICE,
                "addr": self.told,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": CORES, "mem_mb": MEM_MB, "gpu": 0},
                "labels": ["a", f"r{self.zone[-1]}"],
                "clock_ms": self.clock_ms,
                "seq": self.seq,
            }
            if not self.cut:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    timeout = aiohttp.ClientTimeout(total=1)
                    async with session.post(url, json=body, timeout=timeout) as response:
                        await response.read()
            await asyncio.sleep(HEARTBEAT_S)

    async def tick(self) -> None:
        while True:
            self.advance()
            await asyncio.sleep(0.02)


class Proxy:
    """Forwards connections to a port of the same address until it is cut."""

    def __init__(self, host: str, port: int, target: int) -> None:
        self.host, self.port, self.target = host, port, target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._accept, self.host, self.port)

    def cut(self) -> None:
        """Reset the open connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        up_reader, up_writer = await asyncio.open_connection(self.host, self.target)
        both = {writer, up_writer}
        self._writers |= both
        pumps = [
            asyncio.create_task(_pump(reader, up_writer)),
            asyncio.create_task(_pump(up_reader, writer)),
        ]
        self._tasks.update(pumps)
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for end in both:
            end.transport.abort()
        await asyncio.wait(pumps)
        self._tasks.difference_update(pumps)
        self._writers -= both


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()


@dataclass
class Process:
    """One of the project's programs."""

    name: str
    settings: Path
    log: Path
    command: list[str]
    child: Any = None

    async def start(self) -> None:
        variables = {
            name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "LANG")
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["SAPPHIRELEAD_NODE_FILE"] = str(self.settings)
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as out:
            self.child = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=variables, stdout=out, stderr=out
            )

    async def kill(self) -> None:
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGKILL)
            await self.child.wait()


class Site:
    """A small deployment: entries, agents with their workers, and the store."""

    def __init__(self, record: Record, entries: int, workers: int, proxied: bool) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.base = _free_block(entries + workers)
        self.store = Store(record)
        self.entries = [f"{self.base}.{10 + n}" for n in range(entries)]
        self.workers: list[Worker] = []
        self.proxies: dict[str, Proxy] = {}
        self.processes: list[Process] = []
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._count = workers
        self._proxied = proxied
        self.http: aiohttp.ClientSession

    @classmethod
    @contextlib.asynccontextmanager
    async def running(
        cls, record: Record, entries: int, workers: int, proxied: bool = False
    ) -> AsyncIterator["Site"]:
        site = cls(record, entries, workers, proxied)
        try:
            async with aiohttp.ClientSession() as site.http:
                await site._start()
                yield site
        finally:
            for task in site._tasks:
                task.cancel()
            await asyncio.gather(*site._tasks, return_exceptions=True)
            await asyncio.gather(*(process.kill() for process in site.processes))
            for proxy in site.proxies.values():
                proxy.cut()
            for runner in site._runners:
                await runner.cleanup()
            if os.environ.get("KEEP"):
                print(f"kept {site.folder}", file=sys.stderr)
            else:
                shutil.rmtree(site.folder, ignore_errors=True)

    async def _start(self) -> None:
        self._runners.append(await serve(f"{self.base}.9", STORE, self.store.routes()))
        self._publish()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        zones = ["zone-1", "zone-2", "zone-3", "zone-4"]
        for n, host in enumerate(self.entries):
            zone = zones[n % 4]
            listen = {"front": f"{host}:{FRONT}", "ready": f"{host}:{READY}"}
            name, run = f"front-{zone}-{n + 1}", deploy["roles"]["entry"]["run"]
            self._add_process(name, host, zone, ["front"], listen, run)
        for n in range(self._count):
            host, zone = f"{self.base}.{10 + len(self.entries) + n}", zones[n % 4]
            listen, name = {"control": f"{host}:{CONTROL}"}, f"side-{zone}-{n + 1}"
            self._add_process(name, host, zone, ["side"], listen, deploy["roles"]["agent"]["run"])
            told = f"{host}:{PROXY if self._proxied else APP}"
            worker = Worker(name, host, zone, told, self.record)
            worker.server = await serve(host, APP, worker.routes())
            self._runners.append(worker.server)
            if self._proxied:
                self.proxies[worker.id] = Proxy(host, PROXY, APP)
                await self.proxies[worker.id].open()
            self.workers.append(worker)
        await asyncio.gather(*(process.start() for process in self.processes))
        for worker in self.workers:
            self._tasks.append(asyncio.create_task(worker.tick()))
            self._tasks.append(asyncio.create_task(worker.announce(self.http)))
        await self._wait_ready()

    def _publish(self) -> None:
        """Write the operator's configuration."""
        route = {"host": HOST, "service": SERVICE, "max_attempts": 3, "stretch": 2.0}
        routes = [
            {**route, "name": "check", "prefix": "/check/", "priority": 0, "slo_ms": 250},
            {**route, "name": "estimate", "prefix": "/estimate/", "priority": 2, "slo_ms": 1000},
        ]
        limits = {"max_body_bytes": 262144}
        services = [{"name": SERVICE, "enforces_capacity": False, "standby": False}]
        config = {"version": 3, "routes": routes, "services": services, "limits": limits}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        self.store.write({"table": "op", "part": "", "key": "config", "value": value})

    def _add_process(
        self,
        name: str,
        host: str,
        zone: str,
        serves: list[str],
        listen: dict[str, str],
        run: str,
    ) -> None:
        settings = {
            "node_name": name,
            "machine_class": serves[0],
            "serves": serves,
            "ip": host,
            "zone": zone,
            "region": "region-1",
            "port_range": [LINK, LINK + 15],
            "seeds": [],
            "bootstrap": True,
            "discovery": "local",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "orders": "rpc",
            "listen_addrs": listen,
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 300},
            "bounds": BOUNDS,
            "platform": {"addr": f"{self.base}.9:{STORE}", "form": "table"},
        }
        if serves == ["side"]:
            settings["service"] = SERVICE
            settings["app"] = f"{host}:{APP}"
        path = self.folder / f"{name}.toml"
        path.write_text("".join(f"{key} = {_toml(value)}\n" for key, value in settings.items()))
        log = self.folder / f"{name}.log"
        self.processes.append(Process(name, path, log, run.split()))

    async def _wait_ready(self) -> None:
        """Wait until every entry is ready and every worker has been called by its agent."""
        until = time.monotonic() + 30
        while time.monotonic() < until:
            ready = [await self._is_ready(host) for host in self.entries]
            if all(ready) and all(worker.token for worker in self.workers):
                self.record("ready")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the deployment did not get ready")

    async def _is_ready(self, host: str) -> bool:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            timeout = aiohttp.ClientTimeout(total=1)
            async with self.http.get(f"http://{host}:{READY}/readiness", timeout=timeout) as found:
                return found.status == 200
        return False

    # Clients

    async def call(self, method: str, path: str, body: Any = None, entry: int = -1) -> Any:
        """Make one call at an entry; return the status, 0 for no answer, and the body."""
        host = self.entries[entry] if entry >= 0 else random.choice(self.entries)
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        timeout = aiohttp.ClientTimeout(total=3.5)
        status, found = 0, {}
        try:
            async with self.http.request(
                method,
                f"http://{host}:{FRONT}{path}",
                json=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                status, text = response.status, await response.text()
                with contextlib.suppress(ValueError):
                    found = json.loads(text)
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        self.record("call", method=method, path=path, entry=host, status=status, answer=found)
        return status, found

    async def submit(self, queue: str, steps: list[dict[str, Any]], work_s: float) -> str:
        """Hand in a job, with four retries; return its id if it was accepted."""
        job_id = random.randbytes(8).hex()
        body = {"spec": json.dumps({"work_s": work_s}), "steps": steps}
        for _ in range(5):
            status, _ = await self.call("POST", f"/{queue}/{job_id}", body)
            if 200 <= status < 300:
                return job_id
            if status in (400, 404, 413):
                return ""
            await asyncio.sleep(1)
        return ""


def _toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_toml(item)}" for key, item in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml, value)) + "]"
    return json.dumps(value)


def _free_block(count: int) -> str:
    """Return three octets of loopback addresses on which all ports that are used are free."""
    for _ in range(50):
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        hosts = [f"{base}.{n}" for n in range(9, 10 + count)]
        ports = (FRONT, READY, CONTROL, APP, PROXY, LINK, METRICS, STORE)
        if all(_is_free(host, port) for host in hosts for port in ports):
            return base
    raise RuntimeError("no free addresses")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
