"""Callers of a site: they keep connections open and repeat calls under the same id.

A connection is chosen by the balancer, which asks every entry each second whether callers may
connect, and stays with its entry until that closes it.  Each call goes into the history with how it
ended: a status, :data:`CUT` or :data:`NO_ANSWER`.
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

CUT: Final = 0
NO_ANSWER: Final = -1
DEADLINE_S: Final = 3.0
PATIENCE_S: Final = DEADLINE_S + 1.5
HURRY_S: Final = 0.02
"""Patience of a caller that leaves early."""

TRIES: Final = 5
CHECK_INTERVAL_S: Final = 1.0
MISSES: Final = 2
HOST_NAME: Final = "queues.example"


class Balancer:
    """Which entries take new connections: out after two failed looks, in after a good one."""

    def __init__(self, entries: list[Node]) -> None:
        self._entries = entries
        self._misses = {entry.name: 0 for entry in entries}

    async def run(self) -> None:
        """Look at every entry each second, until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CHECK_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                checks = (self._check(session, entry) for entry in self._entries)
                await asyncio.gather(asyncio.sleep(CHECK_INTERVAL_S), *checks)

    async def _check(self, session: aiohttp.ClientSession, entry: Node) -> None:
        good = False
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            url = f"http://{entry.host}:{READY_PORT}/readiness"
            async with session.get(url, headers={"Connection": "close"}) as answer:
                good = answer.status == 200
        self._misses[entry.name] = 0 if good else self._misses[entry.name] + 1

    def choose(self, rng: random.Random) -> Node:
        """Choose an entry for a new connection."""
        usable = [entry for entry in self._entries if self._misses[entry.name] < MISSES]
        return rng.choice(usable if 2 * len(usable) >= len(self._entries) else self._entries)


class Connection:
    """One connection to one entry."""

    def __init__(
        self, entry: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.entry = entry
        self.starts = entry.starts
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, entry: Node) -> "Connection | None":
        """Connect; ``None`` where nobody listens."""
        with contextlib.suppress(OSError, TimeoutError):
            # Not wait_for, which drops a cancellation that comes together with the connection.
            async with asyncio.timeout(DEADLINE_S):
                return cls(entry, *await asyncio.open_connection(entry.host, FRONT_PORT))
        return None

    @property
    def usable(self) -> bool:
        """Whether another call can be made."""
        return not (self._reader.at_eof() or self._writer.is_closing())

    def close(self) -> None:
        """Close it."""
        self._writer.close()

    async def call(
        self, method: str, path: str, body: bytes = b"", patience_s: float = PATIENCE_S
    ) -> tuple[int, bytes]:
        """Make a call and return its status and the answer's body.

        :param patience_s: how long the caller waits for the answer.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nContent-Length: {len(body)}\r\n"
            f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n"
        )
        try:
            self._writer.write(head.encode() + body)
            async with asyncio.timeout(patience_s):
                return await self._answer()
        except TimeoutError:
            self.close()
            return NO_ANSWER, b""
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return CUT, b""

    async def _answer(self) -> tuple[int, bytes]:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in head[1:] if line)
        body = await self._reader.readexactly(int(fields.get("content-length", "0")))
        if fields.get("connection") == "close":
            self.close()
        return int(head[0].split()[1]), body


@dataclass
class Job:
    """A job of ours.

    :ivar accepted: loop time of the answer that accepted it.
    :ivar state: as last shown.
    """

    key: str
    spec: str
    steps: list[dict[str, Any]]
    lasting: bool = False
    accepted: float = 0.0
    state: str = ""
    cancelled: bool = False


def make_job(rng: random.Random) -> Job:
    """Make a job: short or long, with saved progress, with runs that fail, or lasting."""
    key = f"{rng.getrandbits(64):016x}"
    kind = rng.choice(["short", "short", "short", "long", "failing", "lasting"])
    work_ms = {"short": rng.randint(100, 800), "long": rng.randint(2_000, 4_000), "lasting": 0}
    script = {
        "work_ms": work_ms.get(kind, 300),
        "fail_runs": 1 if kind == "failing" else 0,
        "saves": kind == "long",
    }
    step: dict[str, Any] = {"count": rng.randint(1, 4), "mem_mb": 64, "cpu": 600}
    if kind == "lasting":
        step.update(count=2, cpu=200, long_running=True, may_miss=1)
    else:
        step["estimate_ms"] = script["work_ms"]
    if kind == "long":
        step.update(checkpoint=True, cpu=rng.choice([500, 1_500]))
    steps = [step]
    if kind == "short":
        steps += [{**step, "count": rng.randint(1, 3), "after": [0]}] * rng.randint(0, 1)
    return Job(key, msgspec.json.encode(script).decode(), steps, kind == "lasting")


@dataclass
class Callers:
    """Everything that calls a site.

    :ivar version: the configuration in force, or on its way.
    """

    site: Site
    rng: random.Random
    balancer: Balancer
    jobs: dict[str, Job] = field(default_factory=dict)
    version: int = 1
    marker: int = 0

    async def configure(self) -> None:
        """Write a newer configuration, whose marker is a route of its own."""
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
        patience_s: float = PATIENCE_S,
    ) -> tuple[int, bytes]:
        """Make a call and write it down."""
        sent = now()
        status, answer = NO_ANSWER, b""
        try:
            status, answer = await conn.call(method, path, body, patience_s)
        finally:
            # Also where the run ends meanwhile: the entry may yet do what was asked.
            self.site.history.record(
                "call",
                sent,
                until=now(),
                entry=conn.entry.name,
                starts=conn.starts,
                method=method,
                path=path,
                status=status,
                answer=answer.decode(errors="replace")[:200],
            )
        return status, answer

    async def caller(self, seed: int, pause_s: float) -> None:
        """Hand in jobs over a connection that is kept open, until cancelled."""
        rng = random.Random(seed)
        conn: Connection | None = None
        lasting: Job | None = None
        while True:
            conn = await self._connected(conn, rng)
            job = make_job(rng)
            self.jobs[job.key] = job
            self.site.history.record("job", key=job.key, spec=job.spec, steps=job.steps)
            conn = await self._submit(job, conn, rng)
            if rng.random() < 0.1:
                conn = await self._connected(conn, rng)
                await self._cancel(job, conn)
            elif job.lasting:
                # One for each caller, or they fill the workers for good.
                if lasting is not None:
                    conn = await self._connected(conn, rng)
                    await self._cancel(lasting, conn)
                lasting = job
            await asyncio.sleep(rng.expovariate(1 / pause_s))

    async def _connected(self, conn: Connection | None, rng: random.Random) -> Connection:
        while conn is None or not conn.usable:
            conn = await Connection.open(self.balancer.choose(rng))
            if conn is None:
                await asyncio.sleep(0.1)
        return conn

    async def _submit(self, job: Job, conn: Connection, rng: random.Random) -> Connection:
        body = msgspec.json.encode({"spec": job.spec, "steps": job.steps})
        for _ in range(TRIES):
            conn = await self._connected(conn, rng)
            patience_s = HURRY_S if rng.random() < 0.03 else PATIENCE_S
            status, _ = await self.call(conn, "POST", f"/q/{job.key}", body, patience_s)
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
        """Ask for the states of accepted jobs, one after the other, until cancelled."""
        rng = random.Random(seed)
        conn: Connection | None = None
        while True:
            conn = await self._connected(conn, rng)
            asked = self.open_jobs() or list(self.jobs.values())[-1:]
            for job in rng.sample(asked, min(5, len(asked))):
                if conn.usable:
                    await self.ask(job, conn)
            await asyncio.sleep(0.1)

    async def ask(self, job: Job, conn: Connection) -> None:
        """Ask for a job's state."""
        status, answer = await self.call(conn, "GET", f"/q/{job.key}")
        if status == 200:
            job.state = msgspec.json.decode(answer)["state"]

    async def first_job(self, rng: random.Random) -> None:
        """Try once to hand in a job."""
        job = make_job(rng)
        self.jobs[job.key] = job
        self.site.history.record("job", key=job.key, spec=job.spec, steps=job.steps)
        conn = await self._connected(None, rng)
        await self._submit(job, conn, rng)
        conn.close()

    def expected(self) -> list[Job]:
        """Return the accepted jobs that are still to complete."""
        jobs = self.jobs.values()
        return [j for j in jobs if j.accepted and not j.cancelled and j.state != "completed"]

    def open_jobs(self) -> list[Job]:
        """Return the accepted jobs that have not been shown to have ended."""
        ended = ("completed", "failed", "cancelled")
        return [job for job in self.jobs.values() if job.accepted and job.state not in ended]

    async def prober(self, entry: Node) -> None:
        """Ask one entry for the routes of the newest configurations, until cancelled."""
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
