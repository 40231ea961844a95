"""What the path through one entry and one agent costs, beside a direct call of the same target.

Usage:
  bench_path [--seconds=N]

Options:
  --seconds=N  Time of each measurement [default: 4].

All processes are real and on one machine.  Two loads: closed (16 callers, each waits for its
answer, then asks again) for the requests a second that fit through, and open (a fixed rate,
measured from the moment a request was due) for latency.  Direct and through take turns in one run,
so that the ratio does not depend on how busy the machine was.  The caller is a Python process too:
where it is the limit, the direct figure is too low and the ratio too good; its own use is printed.
"""

import asyncio
import contextlib
import itertools
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from statistics import median
from time import monotonic, process_time
from typing import Any, Final

import aiohttp
import psutil
from docopt import docopt
from hdrh.histogram import HdrHistogram

from bench.bench_capacity import EntryTestbed, start_testbed
from bench.procs import Proc, to_toml, wait_until

SERVICE: Final = "maturity-check"
CALLERS: Final = 16
REQUESTS_PER_S: Final = 150
ROUNDS: Final = 3
TARGET_MS: Final = 2.0
WARM_UP_S: Final = 1.5
IDLE_S: Final = 5.0
MB: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Load:
    """Results of one measurement; latencies in milliseconds.

    :ivar caller_cpu: percent of one core used by this process.
    """

    requests: int
    failed: int
    per_second: float
    p50: float
    p99: float
    caller_cpu: float


@dataclass(frozen=True, slots=True)
class PathSetup:
    """A testbed with one instance behind the entry, and how long its parts took to start."""

    testbed: EntryTestbed
    agent: Proc
    direct_url: str
    through_url: str
    entry_start_s: float
    agent_start_s: float


class LoadGenerator:
    """Sends requests to one URL and measures their latency."""

    _session: aiohttp.ClientSession
    _url: str
    _latency: HdrHistogram
    _failed: int
    _numbers: "itertools.count[int]"

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self._latency = HdrHistogram(1, 60_000_000, 3)
        self._failed = 0
        self._numbers = itertools.count()

    async def closed(self, seconds: float) -> Load:
        """Run ``CALLERS`` callers, each of which sends its next request after a response."""
        end = monotonic() + seconds

        async def caller() -> None:
            while monotonic() < end:
                await self._send_request(monotonic())

        return await self._measure(asyncio.gather(*(caller() for _ in range(CALLERS))))

    async def open(self, seconds: float) -> Load:
        """Send requests at a fixed rate, independent of responses."""

        async def send() -> None:
            started_at = monotonic()
            sent = []
            for number in range(int(seconds * REQUESTS_PER_S)):
                due = started_at + number / REQUESTS_PER_S
                await asyncio.sleep(max(0.0, due - monotonic()))
                sent.append(asyncio.create_task(self._send_request(due)))
            await asyncio.gather(*sent)

        return await self._measure(asyncio.ensure_future(send()))

    async def _send_request(self, due: float) -> None:
        marker = f"m{next(self._numbers)}"
        try:
            async with self._session.post(self._url, json={"marker": marker}) as response:
                body = await response.json()
                self._failed += response.status != 200 or body["marker"] != marker
        except (aiohttp.ClientError, ValueError, KeyError):
            self._failed += 1
        self._latency.record_value(int((monotonic() - due) * 1e6))

    async def _measure(self, work: "asyncio.Future[Any]") -> Load:
        started_at, cpu = monotonic(), process_time()
        await work
        took = monotonic() - started_at
        count = self._latency.get_total_count()
        return Load(
            count,
            self._failed,
            count / took,
            self._latency.get_value_at_percentile(50) / 1000,
            self._latency.get_value_at_percentile(99) / 1000,
            100 * (process_time() - cpu) / took,
        )


@contextlib.asynccontextmanager
async def start_path() -> AsyncIterator[PathSetup]:
    """Start a table, an entry, a worker, a target and an agent."""
    started_at = monotonic()
    async with start_testbed() as testbed:
        entry_start_s = monotonic() - started_at
        worker_url = await _standin(testbed, "worker", {})
        target_url = await _standin(testbed, "target", {"base_ms": TARGET_MS, "slots": 64})
        started_at = monotonic()
        agent = await _start_agent(testbed, worker_url, target_url)
        through = f"{testbed.http_url}/v1/services/{SERVICE}"
        await wait_until("a request is answered", lambda: _is_answered(testbed, through))
        agent_start_s = monotonic() - started_at
        direct = f"{target_url}/{SERVICE}"
        yield PathSetup(testbed, agent, direct, through, entry_start_s, agent_start_s)


async def _standin(testbed: EntryTestbed, role: str, settings: dict[str, Any]) -> str:
    args = [role, "--port", "0", "--id", role, "--history", "/dev/null"]
    proc = await testbed.spawn(
        role, "sapphirelead.standin_main", *args, "--settings", json.dumps(settings)
    )
    return "http://127.0.0.1:" + (await proc.wait_for_line("listening")).rsplit("=")[-1]


async def _start_agent(testbed: EntryTestbed, worker_url: str, target_url: str) -> Proc:
    entry = testbed.folder / "entry.toml"
    ports = dict(line.split(" = ") for line in entry.read_text().splitlines() if "_port" in line)
    channels = {
        channel: int(ports[channel]) for channel in ("control_port", "data_port", "bulk_port")
    }
    settings = {
        "id": "i1",
        "zone": "z1",
        "entries": [{"host": "127.0.0.1", **channels}],
        "worker_url": worker_url,
        "target_url": target_url,
        "services": [SERVICE],
        "slots": 64,
        "capacity": {"cpu_millicores": 32_000, "memory_mb": 125_000},
        "log": {"level": "WARNING"},
    }
    file = testbed.folder / "agent.toml"
    file.write_text(to_toml(settings))
    return await testbed.spawn("agent", "sapphirelead", "agent", "--config", str(file))


async def _is_answered(testbed: EntryTestbed, url: str) -> bool:
    async with testbed.http.post(url, json={}) as response:
        return response.status == 200


async def idle(proc: Proc) -> tuple[float, float]:
    """Return the CPU use in percent of a core and the memory in MB of an idle process."""
    watched = psutil.Process(proc.pid)
    before, at = watched.cpu_times(), monotonic()
    await asyncio.sleep(IDLE_S)
    after, took = watched.cpu_times(), monotonic() - at
    spent = after.user + after.system - before.user - before.system
    return 100 * spent / took, watched.memory_info().rss / MB


async def compare(setup: PathSetup, kind: str, seconds: float) -> None:
    """Measure both paths in alternation; print each round and the ratios."""
    rounds: list[tuple[Load, Load]] = []
    for _ in range(ROUNDS):
        pair = [await _load(url, kind, seconds) for url in (setup.direct_url, setup.through_url)]
        rounds.append((pair[0], pair[1]))
    for name, which in (("direct", 0), ("through", 1)):
        for load in (loads[which] for loads in rounds):
            print(
                f"{kind:7} {name:8} {load.per_second:9.0f}/s  p50 {load.p50:7.2f} ms"
                f"  p99 {load.p99:7.2f} ms  failed {load.failed:3d}  caller {load.caller_cpu:4.0f}%"
            )
    for field in ("per_second", "p50", "p99"):
        ratios = [getattr(through, field) / getattr(direct, field) for direct, through in rounds]
        spread = f"{min(ratios):.2f} to {max(ratios):.2f}"
        print(f"{kind:7} through/direct {field:10} median {median(ratios):5.2f}  ({spread})")


async def _load(url: str, kind: str, seconds: float) -> Load:
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=64)) as session:
        await LoadGenerator(session, url).closed(WARM_UP_S)
        generator = LoadGenerator(session, url)
        return await (generator.closed(seconds) if kind == "closed" else generator.open(seconds))


async def run(seconds: float) -> None:
    """Run all measurements and print the results."""
    async with start_path() as setup:
        print(f"start of table and entry until ready        {setup.entry_start_s:6.2f} s")
        print(f"start of agent until a request is answered  {setup.agent_start_s:6.2f} s")
        for name, proc in (("entry", setup.testbed.entry), ("agent", setup.agent)):
            cpu, memory = await idle(proc)
            print(f"idle {name}: {cpu:.2f}% of a core, {memory:.1f} MB")
        for kind in ("closed", "open"):
            await compare(setup, kind, seconds)


if __name__ == "__main__":
    asyncio.run(run(float(docopt(__doc__)["--seconds"])))
