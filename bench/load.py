"""Open-loop load of service requests and streams of jobs, with their results.

Latency is measured from the scheduled send time of a request, which avoids coordinated omission.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from time import monotonic
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from bench.deployment import SERVICE, Deployment

SERVICE_TIME_SIGMA: Final = 0.35
MAX_LATENCY_US: Final = 60_000_000


@dataclass(slots=True)
class LoadResult:
    """Outcomes and latencies of a load.

    :ivar done: latencies of successful requests, in microseconds.
    :ivar refused: time until the response of requests that were not run, in microseconds.
    :ivar by_second: numbers of successful and of all requests due in each second.
    """

    seconds: float = 0.0
    outcomes: Counter[str] = field(default_factory=Counter)
    done: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    refused: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    by_second: dict[int, list[int]] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Number of requests."""
        return sum(self.outcomes.values())

    @property
    def goodput(self) -> float:
        """Successful requests per second."""
        return self.outcomes["done"] / self.seconds if self.seconds else 0.0

    def percentile(self, share: float) -> float:
        """Return a latency percentile of the successful requests, in milliseconds."""
        return float(self.done.get_value_at_percentile(share)) / 1000

    def failed_after(self, second: int) -> float:
        """Return the share of requests from ``second`` on that did not succeed."""
        late = [pair for at, pair in self.by_second.items() if at >= second]
        requested = sum(pair[1] for pair in late)
        return 1 - sum(pair[0] for pair in late) / requested if requested else 0.0


async def serve(
    deployment: Deployment,
    rate: float,
    seconds: float,
    mean_ms: float,
    deadline_ms: int,
    seed: int,
    warm_s: float = 0.0,
) -> LoadResult:
    """Send service requests with Poisson arrivals, round-robin over the entries.

    :param rate: mean requests per second.
    :param mean_ms: mean service time.
    :param warm_s: initial period whose requests are not counted.
    """
    rng = random.Random(seed)
    result = LoadResult()
    start = monotonic()
    urls = itertools.cycle(deployment.urls)
    pending: set[asyncio.Task[None]] = set()
    due = start
    while due < start + seconds:
        await asyncio.sleep(max(0.0, due - monotonic()))
        delay_ms = mean_ms * rng.lognormvariate(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
        )
        counted = due - start >= warm_s
        call = _serve_one(
            deployment, next(urls), delay_ms, deadline_ms, due, start, result, counted
        )
        task = asyncio.create_task(call)
        pending.add(task)
        task.add_done_callback(pending.discard)
        due += rng.expovariate(rate)
    result.seconds = seconds - warm_s
    if pending:
        await asyncio.wait(pending, timeout=10)
    return result


async def _serve_one(
    deployment: Deployment,
    url: str,
    delay_ms: float,
    deadline_ms: int,
    due: float,
    start: float,
    result: LoadResult,
    counted: bool,
) -> None:
    headers = {
        "X-Standin-Delay-Ms": f"{delay_ms:.2f}",
        "X-Request-Deadline-Ms": str(deadline_ms),
    }
    outcome = "unknown"
    try:
        path = f"{url}/v1/services/{SERVICE}"
        async with deployment.http.post(path, data=b"{}", headers=headers) as resp:
            await resp.read()
            outcome = resp.headers.get("X-Request-Outcome", "unknown")
            if outcome == "done" and resp.status >= 500:
                outcome = "failed"
    except (OSError, TimeoutError):
        outcome = "broken"
    if not counted:
        return
    took_us = max(1, int((monotonic() - due) * 1e6))
    result.outcomes[outcome] += 1
    pair = result.by_second.setdefault(int(due - start), [0, 0])
    pair[0] += outcome == "done"
    pair[1] += 1
    if outcome == "done":
        result.done.record_value(took_us)
    elif outcome == "not_run":
        result.refused.record_value(took_us)


@dataclass(slots=True)
class JobStream:
    """Submits jobs at a fixed rate, in alternating phases of two classes.

    :ivar rate: jobs per second.
    :ivar phase_s: duration of a phase; the first is of ``classes[0]``.
    """

    deployment: Deployment
    rate: float
    phase_s: float
    classes: tuple[str, str]
    inputs: tuple[dict[str, Any], dict[str, Any]]
    cpu_millicores: int
    keys: list[str] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Submit until ``seconds`` have passed."""
        start = monotonic()
        while (at := monotonic() - start) < seconds:
            phase = int(at / self.phase_s) % 2
            key = f"job-{len(self.keys)}"
            self.keys.append(key)
            await submit(
                self.deployment, key, self.classes[phase], self.inputs[phase], self.cpu_millicores
            )
            await asyncio.sleep(1 / self.rate)

    async def done(self) -> int:
        """Return the number of jobs that have ended as done."""
        return int(await self.deployment.metric("jobs_ended_total", 'state="done"'))


async def submit(
    deployment: Deployment,
    key: str,
    job_class: str,
    work: dict[str, Any],
    cpu_millicores: int,
    **more: Any,
) -> tuple[int, Any]:
    """Submit an idempotent job."""
    spec = {
        "key": key,
        "kind": "batch",
        "job_class": job_class,
        "team": "t",
        "resources": {"cpu_millicores": cpu_millicores, "memory_mb": 100, "accelerators": 0},
        "input": work,
        "idempotent": True,
        **more,
    }
    return await deployment.call("POST", f"{deployment.urls[0]}/v1/jobs", spec)
