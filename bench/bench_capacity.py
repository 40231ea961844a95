"""Slopes of what control costs, measured at several sizes with small stand-ins.

Usage:
  bench_capacity [--json=FILE] [--only=NAME]

Names: agents, starts, open, tasks, entries.  Each measures one role at several sizes, prints the
points and the straight line through them with its largest residual.  Figures are of one machine.
"""

import asyncio
import contextlib
import json
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import linear_regression
from time import monotonic
from typing import Any, Final

import aiohttp
import psutil
from docopt import docopt

from bench.deployment import Shape, deployed
from bench.load import submit
from bench.procs import Proc, free_port, to_toml, wait_until

WARM_UP_S: Final = 4.0
MEASURE_S: Final = 10.0
AGENT_SIZES: Final = (10, 25, 50, 100, 200, 400)
START_RATES: Final = (10, 20, 40, 80)
OPEN_JOBS: Final = (1000, 2000, 4000, 8000)
TASK_COUNTS: Final = (0, 10, 20, 40)
ENTRY_COUNTS: Final = (1, 3, 6, 9)
SPEC: Final = {
    "kind": "batch",
    "job_class": "rollover",
    "team": "t",
    "resources": {"cpu_millicores": 100, "memory_mb": 64, "accelerators": 0},
    "input": {"work_ms": 600_000},
}


@dataclass(frozen=True, slots=True)
class Point:
    """Measurements at one size.

    :ivar cpu: percent of one core.
    :ivar rss_mb: resident memory.
    """

    size: float
    cpu: float
    rss_mb: float
    writes_s: float
    reads_s: float


@dataclass(frozen=True, slots=True)
class Line:
    """A line fitted through points, with its largest residual."""

    slope: float
    intercept: float
    residual: float


def fit(points: list[Point], attribute: str) -> Line:
    """Return the least-squares line of ``attribute`` over size."""
    xs = [point.size for point in points]
    ys = [float(getattr(point, attribute)) for point in points]
    slope, intercept = linear_regression(xs, ys)
    residual = max(abs(y - slope * x - intercept) for x, y in zip(xs, ys, strict=True))
    return Line(slope, intercept, residual)


@dataclass(slots=True)
class EntryTestbed:
    """A table, an entry, and further processes that a measurement starts."""

    folder: Path
    table_url: str
    http_url: str
    control: int
    entry: Proc
    table: Proc
    procs: list[Proc]
    http: aiohttp.ClientSession

    async def spawn(self, name: str, *args: str) -> Proc:
        """Start a process that is killed with the testbed."""
        proc = await Proc.spawn(name, self.folder, *args)
        self.procs.append(proc)
        return proc

    async def measure(self, pid: int, size: float) -> Point:
        """Measure one process, and the load on the table."""
        return await measure(self.http, self.table_url, pid, size)


async def _stats(http: aiohttp.ClientSession, table_url: str) -> tuple[float, float]:
    """Return the total writes and reads of the table."""
    async with http.get(f"{table_url}/stats") as resp:
        body = await resp.json()
    return float(body["writes"]), float(body["reads"])


async def measure(http: aiohttp.ClientSession, table_url: str, pid: int, size: float) -> Point:
    """Measure one process, and the load on the table, after a warm-up."""
    await asyncio.sleep(WARM_UP_S)
    proc = psutil.Process(pid)
    before, stats_before, at = proc.cpu_times(), await _stats(http, table_url), monotonic()
    await asyncio.sleep(MEASURE_S)
    after, stats_after, took = proc.cpu_times(), await _stats(http, table_url), monotonic() - at
    spent = after.user + after.system - before.user - before.system
    return Point(
        size,
        round(100 * spent / took, 2),
        round(proc.memory_info().rss / 2**20, 1),
        round((stats_after[0] - stats_before[0]) / took, 2),
        round((stats_after[1] - stats_before[1]) / took, 2),
    )


@contextlib.asynccontextmanager
async def start_testbed() -> AsyncIterator[EntryTestbed]:
    """Start a table and an entry; kill all processes of the testbed on exit."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        table = await Proc.spawn("table", folder, *_standin("table", "t"))
        table_url = f"http://127.0.0.1:{(await table.wait_for_line('listening')).rsplit('=')[-1]}"
        http_port, control, data, bulk = (free_port() for _ in range(4))
        settings = {
            "id": "e1",
            "zone": "z1",
            "zones": ["z1"],
            "http_port": http_port,
            "control_port": control,
            "data_port": data,
            "bulk_port": bulk,
            "platform": {"table_url": table_url, "objects_url": table_url},
            "log": {"level": "WARNING"},
        }
        path = folder / "entry.toml"
        path.write_text(to_toml(settings))
        entry = await Proc.spawn("entry", folder, "sapphirelead", "entry", "--config", str(path))
        async with aiohttp.ClientSession() as http:
            url = f"http://127.0.0.1:{http_port}"
            testbed = EntryTestbed(folder, table_url, url, control, entry, table, [], http)
            try:
                await wait_until("entry ready", lambda: _ready(testbed))
                yield testbed
            finally:
                for proc in [*testbed.procs, entry, table]:
                    await proc.kill()


def _standin(role: str, ident: str, settings: dict[str, Any] | None = None) -> list[str]:
    args = ["sapphirelead.standin_main", role, "--port", "0", "--id", ident]
    return [*args, "--settings", json.dumps(settings or {})]


async def _ready(testbed: EntryTestbed) -> bool:
    try:
        async with testbed.http.get(f"{testbed.http_url}/readyz") as resp:
            return resp.status == 200
    except aiohttp.ClientError:
        return False


async def _start_fake_agents(testbed: EntryTestbed, count: int, run_ms: int = 0) -> None:
    args = ["--host", "127.0.0.1", "--control", str(testbed.control), "--first", "0"]
    args += ["--count", str(count), "--run-ms", str(run_ms)]
    proc = await testbed.spawn("fakes", "bench.fake_agents", *args)
    await proc.wait_for_line("ready")


async def _submit(testbed: EntryTestbed, key: str) -> None:
    async with testbed.http.post(f"{testbed.http_url}/v1/jobs", json={"key": key, **SPEC}) as resp:
        if resp.status >= 300:
            raise AssertionError(await resp.text())


async def agents() -> list[Point]:
    """Entry, over the number of agents that beat once a second."""
    points = []
    for size in AGENT_SIZES:
        async with start_testbed() as testbed:
            await _start_fake_agents(testbed, size)
            points.append(await testbed.measure(testbed.entry.pid, size))
    return points


async def starts() -> list[Point]:
    """Entry, over jobs submitted, started and completed a second, with 50 agents."""
    points = []
    for rate in START_RATES:
        async with start_testbed() as testbed:
            await _start_fake_agents(testbed, 50)
            load = asyncio.create_task(_load(testbed, rate))
            points.append(await testbed.measure(testbed.entry.pid, rate))
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
    return points


async def _load(testbed: EntryTestbed, rate: int) -> None:
    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(_submit(testbed, f"job-{number}"))
            number += 1
            await asyncio.sleep(1 / rate)


async def open_jobs() -> list[Point]:
    """Entry, over open jobs that wait for an instance."""
    points = []
    for count in OPEN_JOBS:
        async with start_testbed() as testbed:
            for first in range(0, count, 100):
                batch = (_submit(testbed, f"job-{n}") for n in range(first, first + 100))
                await asyncio.gather(*batch)
            points.append(await testbed.measure(testbed.entry.pid, count))
    return points


async def tasks() -> list[Point]:
    """Agent, over running tasks, beside one entry."""
    points = []
    for count in TASK_COUNTS:
        async with deployed(Shape(entries=1, instances=1, lease={})) as deployment:
            for number in range(count):
                work = {"work_ms": 600_000}
                await submit(deployment, f"job-{number}", "rollover", work, 100)
            agent = deployment.instance_procs[0].agent
            points.append(await measure(deployment.http, deployment.table_url, agent.pid, count))
    return points


async def entries() -> list[Point]:
    """Agent, over the number of entries it beats to, without work."""
    points = []
    for count in ENTRY_COUNTS:
        async with deployed(Shape(entries=count, instances=1, lease={})) as deployment:
            agent = deployment.instance_procs[0].agent
            points.append(await measure(deployment.http, deployment.table_url, agent.pid, count))
    return points


MEASUREMENTS: Final[dict[str, Callable[[], Awaitable[list[Point]]]]] = {
    "agents": agents,
    "starts": starts,
    "open": open_jobs,
    "tasks": tasks,
    "entries": entries,
}


async def main(args: dict[str, Any]) -> None:
    """Run the measurements and print the results."""
    only = args["--only"]
    results: dict[str, Any] = {}
    for name, measurement in MEASUREMENTS.items():
        if only and only != name:
            continue
        print(f"\n{name}: {(measurement.__doc__ or '').strip()}")
        points = await measurement()
        for point in points:
            print("  ", point)
        lines = {}
        for attribute in ("cpu", "rss_mb", "writes_s", "reads_s"):
            line = fit(points, attribute)
            lines[attribute] = asdict(line)
            print(
                f"   {attribute} = {line.slope:.5f} * size + {line.intercept:.3f}"
                f"  (largest residual {line.residual:.3f})"
            )
        results[name] = {"points": [asdict(point) for point in points], "lines": lines}
    if args["--json"]:
        Path(args["--json"]).write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    asyncio.run(main(docopt(__doc__)))
