"""A small deployment of real processes with a fault proxy on every connection.

It has one table that is also the object store, entries, and instances of one agent, worker and
target each.  Responses to callers are recorded in addition to the stand-ins' histories; the
checker verifies the merged history when the deployment is closed.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from time import monotonic
from typing import Any, Final
from urllib.parse import quote

import aiohttp

from bench.checker import Event, check, read_histories
from bench.procs import Proc, free_port, to_toml, wait_until
from bench.proxy import Proxy

LEASE: Final = {
    "lease_seconds": 1.5,
    "margin_seconds": 0.5,
    "renew_interval_seconds": 0.25,
    "beat_interval_seconds": 0.2,
    "silence_seconds": 1.0,
}
CAPACITY: Final = {"cpu_millicores": 4000, "memory_mb": 4000, "accelerators": 0}
SERVICE: Final = "checks"
CHANNEL_PORTS: Final = ("control_port", "data_port", "bulk_port")
TERMINAL_STATES: Final = ("done", "failed", "unknown", "cancelled", "set_aside")


@dataclass(frozen=True, slots=True)
class Response:
    """The response to a caller.

    :ivar status: HTTP status, 0 if the connection broke.
    """

    status: int
    body: Any
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def ok(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def outcome(self) -> str:
        """The ``outcome`` of the body, or one derived from the status."""
        if self.status == 0:
            return "unknown"
        reported = self.body.get("outcome") if isinstance(self.body, dict) else None
        return str(reported or ("done" if self.status < 300 else "unknown"))


@dataclass(slots=True)
class Instance:
    """An agent with its worker and target, and the proxies of its connections."""

    name: str
    agent: Proc
    worker: Proc
    target: Proc
    worker_url: str
    target_url: str
    worker_proxy: Proxy
    target_proxy: Proxy
    entry_proxies: list[Proxy]


@dataclass(slots=True)
class Entry:
    """An entry and its ports."""

    name: str
    proc: Proc
    ports: dict[str, int]
    table_proxy: Proxy

    @property
    def url(self) -> str:
        """Base URL of its HTTP API."""
        return f"http://127.0.0.1:{self.ports['http_port']}"


class Cluster:
    """The processes of one test."""

    folder: Path
    zones: list[str]
    entries: list[Entry]
    instances: list[Instance]
    table: Proc
    table_url: str
    caller_events: list[Event]
    lease: dict[str, float]
    limits: dict[str, Any]
    _http: aiohttp.ClientSession
    proxies: list[Proxy]
    _procs: list[Proc]
    _worker_settings: dict[str, Any]

    def __init__(self, folder: Path, zones: int, lease: dict[str, float]) -> None:
        self.folder = folder
        self.zones = [f"z{number + 1}" for number in range(zones)]
        self.lease = lease
        self.limits = {}
        self.entries = []
        self.instances = []
        self.caller_events = []
        self.proxies = []
        self._procs = []

    @classmethod
    @contextlib.asynccontextmanager
    async def running(
        cls,
        folder: Path,
        entries: int = 1,
        instances: int = 1,
        zones: int = 1,
        lease: dict[str, float] | None = None,
        worker: dict[str, Any] | None = None,
        target: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
    ) -> AsyncIterator["Cluster"]:
        """Run a deployment, and check its history when the context exits.

        :param worker: settings of the stand-in workers.
        :param target: settings of the stand-in targets.
        :param limits: settings of the entries' ``limits``.
        """
        cluster = cls(folder, zones, LEASE | (lease or {}))
        cluster.limits = limits or {}
        try:
            async with aiohttp.ClientSession() as cluster._http:
                await cluster._start(entries, instances, worker or {}, target or {})
                yield cluster
                assert not cluster.violations(), cluster.violations()
        except BaseException:
            cluster.print_logs()
            raise
        finally:
            await cluster._stop()

    async def _start(
        self, entries: int, instances: int, worker: dict[str, Any], target: dict[str, Any]
    ) -> None:
        (self.folder / "token").write_text("secret")
        self.table, self.table_url = await self._standin("table", "table", {})
        for number in range(entries):
            self.entries.append(await self._make_entry(f"e{number + 1}"))
        makers = [self._make_instance(f"i{n + 1}", worker, target) for n in range(instances)]
        self.instances = await asyncio.gather(*makers)
        for entry in self.entries:
            await self.wait_ready(entry)
            await self.wait_live(len(self.instances), entry)

    async def _stop(self) -> None:
        alive = [proc for proc in self._procs if proc.running]
        await asyncio.gather(*(proc.kill() for proc in alive))
        await asyncio.gather(*(proxy.stop() for proxy in self.proxies))

    # Processes.

    async def _spawn(self, name: str, *args: str) -> Proc:
        proc = await Proc.spawn(name, self.folder, *args)
        self._procs.append(proc)
        return proc

    async def _proxy(self, port: int) -> Proxy:
        proxy = await Proxy.start(port)
        self.proxies.append(proxy)
        return proxy

    def _zone_of(self, name: str) -> str:
        return self.zones[(int(name[1:]) - 1) % len(self.zones)]

    async def _standin(
        self, role: str, name: str, settings: dict[str, Any], port: int = 0
    ) -> tuple[Proc, str]:
        history = str(self.folder / f"{name}.jsonl")
        args = ["--id", name, "--history", history, "--port", str(port)]
        args += ["--settings", json.dumps(settings)]
        proc = await self._spawn(name, "sapphirelead.standin_main", role, *args)
        line = await proc.wait_for_line("listening ")
        return proc, "http://127.0.0.1:" + line.rpartition("port=")[2]

    async def _make_entry(self, name: str) -> Entry:
        table_proxy = await self._proxy(_port_of(self.table_url))
        ports = {port: free_port() for port in ("http_port", *CHANNEL_PORTS)}
        url = f"http://127.0.0.1:{table_proxy.port}"
        settings = {
            "id": name,
            "zone": self._zone_of(name),
            "zones": self.zones,
            **ports,
            "platform": {"table_url": url, "objects_url": url, "timeout_seconds": 0.5},
            "lease": self.lease,
            "limits": self.limits,
            "security": {"operator_token_file": str(self.folder / "token")},
        }
        (self.folder / f"{name}.toml").write_text(to_toml(settings))
        return Entry(name, await self.spawn_entry(name), ports, table_proxy)

    async def behind_proxy(self, entry: Entry) -> tuple[Proxy, Entry]:
        """Return a fault proxy in front of an entry, and the entry with the proxy's port."""
        proxy = await self._proxy(entry.ports["http_port"])
        return proxy, replace(entry, ports=entry.ports | {"http_port": proxy.port})

    async def spawn_entry(self, name: str) -> Proc:
        """Start or restart the entry of this name with its settings file."""
        return await self._spawn(
            name, "sapphirelead", "entry", "--config", str(self.folder / f"{name}.toml")
        )

    async def spawn_agent(self, name: str) -> Proc:
        """Start or restart the agent of this name with its settings file."""
        return await self._spawn(
            f"agent-{name}", "sapphirelead", "agent", "--config", str(self.folder / f"{name}.toml")
        )

    async def _make_instance(
        self, name: str, worker: dict[str, Any], target: dict[str, Any]
    ) -> Instance:
        worker_settings = {**CAPACITY, "objects_url": self.table_url, "usage_lag_s": 0.3, **worker}
        self._worker_settings = worker_settings
        worker_proc, worker_url = await self._standin("worker", f"worker-{name}", worker_settings)
        target_settings = {"worker_url": worker_url, **target}
        target_proc, target_url = await self._standin("target", f"target-{name}", target_settings)
        worker_proxy = await self._proxy(_port_of(worker_url))
        target_proxy = await self._proxy(_port_of(target_url))
        channel_proxies = [
            [await self._proxy(e.ports[port_name]) for port_name in CHANNEL_PORTS]
            for e in self.entries
        ]
        addresses = [
            {"host": "127.0.0.1"}
            | {port_name: p.port for port_name, p in zip(CHANNEL_PORTS, entry_proxies, strict=True)}
            for entry_proxies in channel_proxies
        ]
        size = {key: worker_settings[key] for key in CAPACITY}
        settings = {
            "id": name,
            "zone": self._zone_of(name),
            "rack": f"rack-{name}",
            "entries": addresses,
            "worker_url": f"http://127.0.0.1:{worker_proxy.port}",
            "target_url": f"http://127.0.0.1:{target_proxy.port}",
            "services": [SERVICE],
            "capacity": size,
            "worker_timeout_seconds": 0.5,
            "lease": self.lease,
        }
        (self.folder / f"{name}.toml").write_text(to_toml(settings))
        agent = await self.spawn_agent(name)
        urls = (worker_url, target_url)
        proxies = [proxy for entry_proxies in channel_proxies for proxy in entry_proxies]
        return Instance(
            name, agent, worker_proc, target_proc, *urls, worker_proxy, target_proxy, proxies
        )

    async def kill_worker(self, instance: Instance) -> None:
        """Kill a worker, which ends its tasks."""
        await instance.worker.kill()
        self._record_event("worker_killed", instance.worker.name)

    async def replace_worker(self, instance: Instance) -> None:
        """Kill a worker and start another in its place."""
        await self.kill_worker(instance)
        instance.worker.log.unlink()
        name, port = instance.worker.name, _port_of(instance.worker_url)
        instance.worker, _ = await self._standin("worker", name, self._worker_settings, port)

    async def kill_instance(self, instance: Instance) -> None:
        """Kill an agent, its worker and its target."""
        killed = (instance.agent.kill(), self.kill_worker(instance), instance.target.kill())
        await asyncio.gather(*killed)

    # Callers and operators.

    async def request(
        self, method: str, path: str, entry: Entry | None = None, **options: Any
    ) -> Response:
        """Make an HTTP request to an entry; status 0 stands for a broken connection."""
        url = (entry or self.entries[0]).url + path
        headers = {"Authorization": "Bearer secret", **options.pop("headers", {})}
        timeout = aiohttp.ClientTimeout(total=30)
        try:
            async with self._http.request(
                method, url, headers=headers, timeout=timeout, **options
            ) as response:
                raw = await response.read()
                return Response(response.status, _decode(raw), dict(response.headers))
        except (aiohttp.ClientError, TimeoutError):
            return Response(0, None)

    async def serve(
        self,
        marker: str,
        delay_ms: float = 5,
        size: int = 0,
        entry: Entry | None = None,
        **headers: str,
    ) -> Response:
        """Make a service request and record whether the response is complete and its own."""
        body = {"marker": marker, "delay_ms": delay_ms, "bytes": size}
        extra = {name.replace("_", "-"): value for name, value in headers.items()}
        path = f"/v1/services/{SERVICE}"
        response = await self.request("POST", path, entry, json=body, headers=extra)
        done = response.outcome == "done"
        whole = not done or (response.body["marker"], len(response.body["fill"])) == (marker, size)
        self._record_event("answer", key=marker, outcome=response.outcome, whole=whole)
        return response

    async def serve_once(self, key: str, entry: Entry | None = None) -> Response:
        """Make a non-idempotent service request with an idempotency key."""
        self._record_event("submitted", key=key, idempotent=False)
        headers = {"X-Request-Idempotent": "false", "Idempotency-Key": key}
        path = f"/v1/services/{SERVICE}"
        response = await self.request("POST", path, entry, data=b"estimate", headers=headers)
        self._record_event("answer", key=key, outcome=response.outcome)
        return response

    async def submit(
        self,
        key: str,
        entry: Entry | None = None,
        kind: str = "batch",
        idempotent: bool = False,
        cpu: int = 1000,
        input: Any = None,
        **more: Any,
    ) -> Response:
        """Submit a job and record the outcome."""
        spec = {
            "key": key,
            "kind": kind,
            "job_class": f"{kind}s",
            "team": "team",
            "resources": {"cpu_millicores": cpu, "memory_mb": 100, "accelerators": 0},
            "input": input or {"work_ms": 100},
            "idempotent": idempotent,
            **more,
        }
        self._record_event("submitted", key=key, idempotent=idempotent)
        response = await self.request("POST", "/v1/jobs", entry, json=spec)
        outcome = "accepted" if response.status == 202 else response.outcome
        self._record_event("answer", key=key, outcome=outcome)
        return response

    async def job(self, key: str, entry: Entry | None = None) -> Any:
        """Return a job, or ``None`` if the response is not 200."""
        response = await self.request("GET", f"/v1/jobs/{quote(key, safe='')}", entry)
        return response.body if response.status == 200 else None

    async def cancel(self, key: str, entry: Entry | None = None) -> Response:
        """Cancel a job and record whether it was reported as not run."""
        response = await self.request("DELETE", f"/v1/jobs/{quote(key, safe='')}", entry)
        if response.ok and response.outcome == "not_run":
            self._record_event("cancelled_unrun", key=key)
        return response

    async def wait_job(
        self, key: str, *states: str, timeout_s: float = 15.0, entry: Entry | None = None
    ) -> Any:
        """Wait until a job is in one of ``states`` (by default a terminal one) and return it."""
        polled = [entry] if entry else self.entries

        async def reached() -> Any:
            for entry in polled:
                job = await self.job(key, entry) if entry.proc.running else None
                if job and job["state"] in (states or TERMINAL_STATES):
                    return job
            return None

        return await wait_until(f"{key} is {states or 'ended'}", reached, timeout_s)

    async def holder_of(self, key: str) -> Instance:
        """Wait until a job's task has started and return the instance of its last start."""
        await self.wait_seen("task_start", key)
        source = self.seen("task_start", key)[-1]["source"]
        return next(i for i in self.instances if i.worker.name == source)

    async def events(
        self, key: str, count: int, entry: Entry | None = None, after: str = ""
    ) -> list[Any]:
        """Return up to ``count`` events of a job's event stream, each with its ``id``.

        :param after: id of the event to resume after.
        """
        found: list[Any] = []
        url = f"{(entry or self.entries[0]).url}/v1/jobs/{quote(key, safe='')}/events"
        headers = {"Last-Event-ID": after} if after else {}
        async with asyncio.timeout(10), self._http.get(url, headers=headers) as response:
            assert response.status == 200, await response.text()
            async for line in response.content:
                message = json.loads(line) if line.strip() else {}
                if message.get("event") == "event":
                    found.append(message["data"] | {"id": message["id"]})
                if len(found) >= count or message.get("event") in ("end", "moved"):
                    break
        return found

    async def wait_served(self) -> None:
        """Wait until a service request succeeds."""

        async def served() -> bool:
            marker = f"served{len(self.caller_events)}"
            return (await self.serve(marker)).outcome == "done"

        await wait_until("a request is served", served)

    async def apply(self, document: Any, base: int, entry: Entry | None = None) -> Response:
        """Apply a configuration."""
        change = {"document": document, "base_version": base, "author": "test", "reason": "test"}
        return await self.request("POST", "/v1/admin/config", entry, json=change)

    async def versions(self) -> dict[str, int]:
        """Return and record the highest configuration version that each process reported."""
        found: dict[str, int] = {}
        for entry in self.entries:
            status = await self.request("GET", "/v1/admin/config/status", entry)
            for member in status.body["processes"] if status.ok else []:
                name, version = member["process"], member["version"]
                found[name] = max(version, found.get(name, 0))
                self._record_event(
                    "config_seen", process=f"{name} at {entry.name}", version=version
                )
        return found

    async def wait_ready(self, entry: Entry) -> None:
        """Wait until an entry is ready."""

        async def ready() -> bool:
            assert entry.proc.running, entry.proc.tail()
            return (await self.request("GET", "/readyz", entry)).status == 200

        await wait_until(f"{entry.name} is ready", ready)

    async def wait_live(self, count: int, entry: Entry | None = None) -> None:
        """Wait until an entry reports ``count`` live instances."""

        async def live() -> bool:
            response = await self.request("GET", "/v1/admin/status", entry)
            return response.status == 200 and response.body["live_instances"] == count

        await wait_until(f"{count} instances are live", live)

    # The platform.

    async def fault(self, url: str = "", /, **faults: Any) -> None:
        """Set the faults of a stand-in, by default the table; no faults restore it."""
        await self._control((url or self.table_url) + "/faults", faults)

    async def table_load(self, seconds: float) -> dict[str, float]:
        """Measure the rate of each kind of table call over ``seconds``, per second."""
        before = await self._stats()
        await asyncio.sleep(seconds)
        after = await self._stats()
        return {name: (after[name] - before[name]) / seconds for name in after}

    async def _stats(self) -> dict[str, int]:
        async with self._http.get(self.table_url + "/stats") as response:
            return dict(await response.json())

    async def control(self, url: str, **wanted: Any) -> None:
        """Set the behaviour of a worker or target."""
        await self._control(url + "/control", wanted)

    async def _control(self, url: str, body: Any) -> None:
        async with self._http.post(url, json=body) as response:
            assert response.status == 200

    # Histories.

    def _record_event(self, event: str, source: str = "test", **fields: Any) -> None:
        self.caller_events.append(
            {"event": event, "source": source, "clock": monotonic(), **fields}
        )

    def leaving(self, instance: Instance) -> None:
        """Record that an instance was told to shut down."""
        for proc in (instance.worker, instance.target):
            self._record_event("leaving", proc.name)

    def history(self) -> list[Event]:
        """Return the events of the stand-ins and the callers so far."""
        return read_histories(sorted(self.folder.glob("*.jsonl"))) + self.caller_events

    def seen(self, event: str, key: str = "") -> list[Event]:
        """Return the events of a kind, optionally of one task or marker only."""
        found = [e for e in self.history() if e["event"] == event]
        return [e for e in found if not key or key in (e.get("task"), e.get("marker"))]

    async def wait_seen(
        self, event: str, key: str, count: int = 1, timeout_s: float = 20.0
    ) -> None:
        """Wait until ``count`` such events are in the history."""

        async def seen() -> bool:
            return len(self.seen(event, key)) >= count

        await wait_until(f"{count} {event} of {key}", seen, timeout_s)

    def violations(self) -> list[str]:
        """Return the violations found by the checker."""
        return [str(found) for found in check(self.history())]

    def print_logs(self) -> None:
        """Print the last lines of each log."""
        for proc in self._procs:
            print(f"--- {proc.name} (exit {proc.code})\n{proc.tail()}")


def _port_of(url: str) -> int:
    return int(url.rpartition(":")[2])


def _decode(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except ValueError:
        return raw
