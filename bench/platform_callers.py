"""Clients of a site, which keep connections open and retry a submission under the same job key.

The balancer selects the entry for each new connection from the results of periodic readiness
checks.  A connection stays with its entry until either side closes it.  Each call is recorded in
the history with its HTTP status, :data:`CONNECTION_CUT` or :data:`NO_RESPONSE`.
"""

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from typing import Any, Final

import aiohttp
import msgspec

from bench.platform_site import FRONT_PORT, READY_PORT, Node, Site
from sapphirelead.clock import now

CONNECTION_CUT: Final = 0
NO_RESPONSE: Final = -1
CALL_DEADLINE_S: Final = 3.0
CALL_TIMEOUT_S: Final = CALL_DEADLINE_S + 1.5
SHORT_CALL_TIMEOUT_S: Final = 0.02
"""Timeout of a caller that disconnects early."""

MAX_SUBMIT_ATTEMPTS: Final = 5
HEALTH_CHECK_INTERVAL_S: Final = 1.0
UNHEALTHY_THRESHOLD: Final = 2
HOST_NAME: Final = "queues.example"


class Balancer:
    """Selects entries for new connections by health checks.

    An entry is excluded after :data:`UNHEALTHY_THRESHOLD` failed checks in a row and included again
    after a successful one.  If more than half are excluded, all entries are used.
    """

    def __init__(self, entries: list[Node]) -> None:
        self._entries = entries
        self._failed_checks = {entry.name: 0 for entry in entries}

    async def run(self) -> None:
        """Check every entry each :data:`HEALTH_CHECK_INTERVAL_S`, until cancelled."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_CHECK_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                checks = (self._check_health(session, entry) for entry in self._entries)
                await asyncio.gather(asyncio.sleep(HEALTH_CHECK_INTERVAL_S), *checks)

    async def _check_health(self, session: aiohttp.ClientSession, entry: Node) -> None:
        healthy = False
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            url = f"http://{entry.host}:{READY_PORT}/readiness"
            async with session.get(url, headers={"Connection": "close"}) as response:
                healthy = response.status == 200
        self._failed_checks[entry.name] = 0 if healthy else self._failed_checks[entry.name] + 1

    def choose(self, rng: random.Random) -> Node:
        """Return a random healthy entry for a new connection."""
        usable = [
            entry
            for entry in self._entries
            if self._failed_checks[entry.name] < UNHEALTHY_THRESHOLD
        ]
        return rng.choice(usable if 2 * len(usable) >= len(self._entries) else self._entries)


class Connection:
    """A persistent HTTP connection to an entry."""

    def __init__(
        self, entry: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.entry = entry
        self.starts = entry.starts
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, entry: Node) -> "Connection | None":
        """Connect; return ``None`` if the connection fails."""
        with contextlib.suppress(OSError, TimeoutError):
            # wait_for can lose a cancellation that arrives as the connection completes.
            async with asyncio.timeout(CALL_DEADLINE_S):
                return cls(entry, *await asyncio.open_connection(entry.host, FRONT_PORT))
        return None

    @property
    def usable(self) -> bool:
        """Whether the connection is still open."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def call(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[int, bytes]:
        """Make a call and return its status and the response body.

        :param timeout_s: time to wait for the response before the connection is closed.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nContent-Length: {len(body)}\r\n"
            f"X-Deadline-Ms: {int(CALL_DEADLINE_S * 1000)}\r\n\r\n"
        )
        try:
            self._writer.write(head.encode() + body)
            async with asyncio.timeout(timeout_s):
                return await self._read_response()
        except TimeoutError:
            self.close()
            return NO_RESPONSE, b""
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return CONNECTION_CUT, b""

    async def _read_response(self) -> tuple[int, bytes]:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in head[1:] if line)
        body = await self._reader.readexactly(int(fields.get("content-length", "0")))
        if fields.get("connection") == "close":
            self.close()
        return int(head[0].split()[1]), body


@dataclass
class Job:
    """A job submitted by the callers.

    :ivar long_running: whether it is expected to run until it is cancelled.
    :ivar accepted: loop time of the first accepting response, 0 before.
    :ivar state: last reported state.
    :ivar crashes_workers: whether its tasks crash every worker that starts them.
    """

    key: str
    spec: str
    steps: list[dict[str, Any]]
    long_running: bool = False
    crashes_workers: bool = False
    accepted: float = 0.0
    state: str = ""
    cancelled: bool = False

    @property
    def has_ended_well(self) -> bool:
        """Whether its last reported state is the one in which it has to end."""
        return self.state == ("failed" if self.crashes_workers else "completed")


def make_job(rng: random.Random) -> Job:
    """Make a random job: short, long with checkpoints, failing at first, or long-running."""
    key = f"{rng.getrandbits(64):016x}"
    kind = rng.choice(["short", "short", "short", "long", "failing", "long_running"])
    work_ms = {"short": rng.randint(100, 800), "long": rng.randint(2_000, 4_000), "long_running": 0}
    script = {
        "work_ms": work_ms.get(kind, 300),
        "fail_runs": 1 if kind == "failing" else 0,
        "saves": kind == "long",
    }
    step: dict[str, Any] = {"count": rng.randint(1, 4), "mem_mb": 64, "cpu": 600}
    if kind == "long_running":
        step.update(count=2, cpu=200, long_running=True, may_miss=1)
    else:
        step["estimate_ms"] = script["work_ms"]
    if kind == "long":
        step.update(checkpoint=True, cpu=rng.choice([500, 1_500]))
    steps = [step]
    if kind == "short":
        steps += [{**step, "count": rng.randint(1, 3), "after": [0]}] * rng.randint(0, 1)
    return Job(key, msgspec.json.encode(script).decode(), steps, kind == "long_running")


def make_poison_job(rng: random.Random) -> Job:
    """Make a job of one task that crashes each worker, at once or after a while."""
    script = {"crash_after_ms": rng.choice([10, 10, 1_500])}
    step: dict[str, Any] = {"count": 1, "mem_mb": 64, "cpu": rng.choice([200, 600])}
    step.update({"long_running": True} if rng.random() < 0.3 else {"estimate_ms": 1_000})
    key = f"{rng.getrandbits(64):016x}"
    spec = msgspec.json.encode(script).decode()
    return Job(key, spec, [step], crashes_workers=True)


@dataclass
class Callers:
    """The client load on a site.

    :ivar version: version of the last configuration published or being published.
    :ivar marker: number of that configuration, which names its marker route.
    """

    site: Site
    rng: random.Random
    balancer: Balancer
    jobs: dict[str, Job] = field(default_factory=dict)
    version: int = 1
    marker: int = 0

    async def configure(self) -> None:
        """Publish a newer configuration with a marker route of its own."""
        self.version += self.rng.randint(1, 5)
        self.marker += 1
        names = {"q": "/q/", f"m{self.marker}": f"/m{self.marker}/"}
        routes = [
            {"name": name, "host": HOST_NAME, "prefix": prefix, "service": "svc"}
            for name, prefix in names.items()
        ]
        begin = now()
        await self.site.publish({"version": self.version, "routes": routes})
        self.site.history.record("config", marker=self.marker, version=self.version, begin=begin)

    async def call(
        self,
        conn: Connection,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Make a call and record it in the history."""
        sent = now()
        status, response = NO_RESPONSE, b""
        try:
            status, response = await conn.call(method, path, body, timeout_s)
        finally:
            # Record cancelled calls too: the entry may still execute them.
            self.site.history.record(
                "call",
                sent,
                until=now(),
                entry=conn.entry.name,
                starts=conn.starts,
                method=method,
                path=path,
                status=status,
                answer=response.decode(errors="replace")[:200],
            )
        return status, response

    async def caller(self, seed: int, mean_interval_s: float) -> None:
        """Submit jobs over a persistent connection, until cancelled.

        :param mean_interval_s: mean time between two jobs.
        """
        rng = random.Random(seed)
        conn: Connection | None = None
        long_running: Job | None = None
        while True:
            conn = await self._ensure_connected(conn, rng)
            job = make_job(rng)
            self._register(job)
            conn = await self._submit(job, conn, rng)
            if rng.random() < 0.1:
                conn = await self._ensure_connected(conn, rng)
                await self._cancel(job, conn)
            elif job.long_running:
                # Keep one per caller, or long-running jobs would exhaust the capacity.
                if long_running is not None:
                    conn = await self._ensure_connected(conn, rng)
                    await self._cancel(long_running, conn)
                long_running = job
            await asyncio.sleep(rng.expovariate(1 / mean_interval_s))

    async def _ensure_connected(self, conn: Connection | None, rng: random.Random) -> Connection:
        while conn is None or not conn.usable:
            conn = await Connection.open(self.balancer.choose(rng))
            if conn is None:
                await asyncio.sleep(0.1)
        return conn

    async def _submit(self, job: Job, conn: Connection, rng: random.Random) -> Connection:
        body = msgspec.json.encode({"spec": job.spec, "steps": job.steps})
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            conn = await self._ensure_connected(conn, rng)
            timeout_s = SHORT_CALL_TIMEOUT_S if rng.random() < 0.03 else CALL_TIMEOUT_S
            status, _ = await self.call(conn, "POST", f"/q/{job.key}", body, timeout_s)
            if status == 200:
                job.accepted = job.accepted or now()
                if rng.random() > 0.1:
                    break
                await asyncio.sleep(rng.random() * 2)
            else:
                await asyncio.sleep(0.2)
        return conn

    async def _cancel(self, job: Job, conn: Connection) -> None:
        job.cancelled = True
        await self.call(conn, "DELETE", f"/q/{job.key}")

    async def watcher(self, seed: int) -> None:
        """Poll the states of accepted jobs, until cancelled."""
        rng = random.Random(seed)
        conn: Connection | None = None
        while True:
            conn = await self._ensure_connected(conn, rng)
            polled = self.open_jobs() or list(self.jobs.values())[-1:]
            for job in rng.sample(polled, min(5, len(polled))):
                if conn.usable:
                    await self.poll_state(job, conn)
            await asyncio.sleep(0.1)

    async def poll_state(self, job: Job, conn: Connection) -> None:
        """Request a job's state and store it in the job."""
        status, response = await self.call(conn, "GET", f"/q/{job.key}")
        if status == 200:
            job.state = msgspec.json.decode(response)["state"]

    async def submit_one_job(self, rng: random.Random) -> None:
        """Submit a random job over a new connection."""
        await self.submit_job(make_job(rng), rng)

    async def submit_job(self, job: Job, rng: random.Random) -> None:
        """Submit ``job`` over a new connection."""
        self._register(job)
        conn = await self._ensure_connected(None, rng)
        conn = await self._submit(job, conn, rng)
        conn.close()

    def _register(self, job: Job) -> None:
        self.jobs[job.key] = job
        self.site.history.record("job", key=job.key, spec=job.spec, steps=job.steps)

    def incomplete_jobs(self) -> list[Job]:
        """Return the accepted, uncancelled jobs that have not been reported in their end state.

        That is completed, or failed if the job crashes workers.
        """
        jobs = self.jobs.values()
        return [j for j in jobs if j.accepted and not j.cancelled and not j.has_ended_well]

    def open_jobs(self) -> list[Job]:
        """Return the accepted jobs that have not been reported in a terminal state."""
        ended = ("completed", "failed", "cancelled")
        return [job for job in self.jobs.values() if job.accepted and job.state not in ended]

    async def prober(self, entry: Node) -> None:
        """Request the two newest marker routes from an entry, until cancelled."""
        conn: Connection | None = None
        while True:
            if conn is None or not conn.usable:
                conn = await Connection.open(entry)
            elif self.marker:
                newest = self.marker
                await self.call(conn, "GET", f"/m{newest}/")
                if conn.usable:
                    await self.call(conn, "GET", f"/m{newest - 1}/")
            await asyncio.sleep(0.25)
