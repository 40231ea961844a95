"""Compares goodput, refusals and tail latency under overload with those of a plain queue.

The real dispatcher runs on a simulated clock with fakes: ten instances of eight slots that refuse
when full, lognormal service times, and callers with a 250 ms deadline that retry a refusal after
the given delay.  The baseline has an unbounded queue that drops nothing before its deadline.

Usage: python -m bench.bench_overload
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Final

import looptime

from bench.bench_decision import make_view
from sapphirelead.entry_placing import Placer
from sapphirelead.entry_ports import Channel, InstanceView, Stamp
from sapphirelead.entry_service import ServiceDispatcher
from sapphirelead.entry_service_state import ServiceCall, ServiceState
from sapphirelead.errors import Outcome
from sapphirelead.model_config import Config, ConfigDocument
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_messages import AnyMessage, ServiceAnswer, ServiceRequest

INSTANCES: Final = 10
SLOTS: Final = 8
MEAN_SERVICE_S: Final = 0.04
SIGMA: Final = 0.5
HOP_S: Final = 0.0008
DEADLINE_S: Final = 0.25
SECONDS: Final = 4.0
WARM_UP_S: Final = 1.0
LOADS: Final = (0.8, 1.0, 2.0)
MAX_CALLER_RETRIES: Final = 2
SEEDS: Final = (1, 2)
CAPACITY: Final = INSTANCES * SLOTS / MEAN_SERVICE_S
SETTINGS: Final = EntrySettings.model_validate(
    {"id": "e1", "zone": "z0", "platform": {"table_url": "http://127.0.0.1:1"}}
)


class Instances:
    """Fake links, membership, configuration and instances."""

    def __init__(self, document: dict[str, Any], seed: int) -> None:
        self.current = Config(1, ConfigDocument.model_validate(document))
        self._rng = random.Random(seed)
        self._used = dict.fromkeys((f"i{n}" for n in range(INSTANCES)), 0)
        self._on_answer: Callable[[ServiceAnswer], None]
        self._notify_view: Callable[[InstanceView, bool], None]

    def on(self, kind: type[AnyMessage], handler: Callable[[Any], None]) -> None:
        if kind is ServiceAnswer:
            self._on_answer = handler

    def on_view(self, listener: Callable[[InstanceView, bool], None]) -> None:
        self._notify_view = listener

    def on_change(self, _listener: Callable[[Config], None]) -> None:
        pass

    def get(self, _instance: str) -> InstanceView | None:
        return None

    def send_heartbeats(self) -> None:
        for number in range(INSTANCES):
            view = make_view(number, self._used[f"i{number}"])
            self._notify_view(replace(view, zone="z0"), True)

    def send_now(
        self, instance: str, _channel: Channel, message: AnyMessage, incarnation: str = ""
    ) -> bool:
        if isinstance(message, ServiceRequest):
            asyncio.get_running_loop().call_later(HOP_S, self._take, instance, message)
        return True

    def _take(self, instance: str, req: ServiceRequest) -> None:
        loop = asyncio.get_running_loop()
        if self._used[instance] >= SLOTS:
            loop.call_later(HOP_S, self._reply, instance, req, Outcome.NOT_RUN)
            return
        self._used[instance] += 1
        work_s = self._rng.lognormvariate(0.0, SIGMA) * MEAN_SERVICE_S / 1.1331
        loop.call_later(work_s, self._end, instance, req)

    def _end(self, instance: str, req: ServiceRequest) -> None:
        self._used[instance] -= 1
        asyncio.get_running_loop().call_later(HOP_S, self._reply, instance, req, Outcome.DONE)

    def _reply(self, instance: str, req: ServiceRequest, ran: Outcome) -> None:
        self._on_answer(
            ServiceAnswer(
                sender=instance,
                incarnation="",
                config_version=1,
                request_id=req.request_id,
                attempt=req.attempt,
                ran=ran,
                status=200,
                headers={},
                body=b"",
                body_bytes=0,
                reason="full" if ran is Outcome.NOT_RUN else "",
                slots_used=self._used[instance],
                slots=SLOTS,
            )
        )


class PlainQueue(Placer):
    """The baseline: first come, first served, with no request refused before its deadline."""

    def service_time_s(self, state: ServiceState) -> float:
        return 0.0

    def wait_s(self, state: ServiceState, ahead: int) -> float:
        return 0.0


POLICIES: Final[dict[str, tuple[type[Placer], int]]] = {
    "by deadline": (Placer, 256),
    "plain queue": (PlainQueue, 1_000_000),
}


@dataclass
class Results:
    """Responses that callers got after the warm-up.

    :ivar done_s: latency of each successful response.
    :ivar refused_s: latency of each refusal.
    """

    done_s: list[float] = field(default_factory=list)
    refused_s: list[float] = field(default_factory=list)
    unknown: int = 0
    requests: int = 0
    seconds: float = SECONDS

    @property
    def goodput(self) -> float:
        """Share of the capacity that was spent on successful responses."""
        return len(self.done_s) / (self.seconds - WARM_UP_S) / CAPACITY


def percentile_ms(values: list[float], share: float) -> float:
    """Return a percentile in milliseconds, or 0 if there are no values."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] * 1000 if ordered else 0.0


class Run:
    """One run at one load."""

    def __init__(self, policy: str, load: float, seed: int, seconds: float) -> None:
        self._kind, queue_length = POLICIES[policy]
        self._load = load
        self._rng = random.Random(seed)
        self._instances = Instances(
            {"services": {"checks": {"queue_length": queue_length}}}, seed + 1
        )
        self.results = Results(seconds=seconds)

    async def execute(self) -> Results:
        """Offer the load and return the results."""
        instances: Any = self._instances
        stamp = Stamp("e1", "r")
        self._dispatcher = ServiceDispatcher.from_settings(
            SETTINGS, stamp, instances, instances, instances, self._rng, self._kind
        )
        loop = asyncio.get_running_loop()
        end = loop.time() + self.results.seconds
        callers: set[asyncio.Task[None]] = set()
        heartbeats = asyncio.create_task(self._heartbeat_loop())
        await asyncio.sleep(0)
        while loop.time() < end:
            await asyncio.sleep(self._rng.expovariate(self._load * CAPACITY))
            caller = asyncio.create_task(self._call(end))
            callers.add(caller)
            caller.add_done_callback(callers.discard)
        await asyncio.gather(*callers)
        heartbeats.cancel()
        return self.results

    async def _heartbeat_loop(self) -> None:
        while True:
            self._instances.send_heartbeats()
            await asyncio.sleep(1.0)

    async def _call(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(1 + MAX_CALLER_RETRIES):
            begun = loop.time()
            reply = await self._dispatcher.call(ServiceCall("checks", {}, b"", DEADLINE_S))
            if begun > WARM_UP_S and begun < end:
                self._count(reply.outcome, loop.time() - begun)
            if reply.outcome is not Outcome.NOT_RUN or begun + reply.retry_after_s > end:
                return
            await asyncio.sleep(reply.retry_after_s)

    def _count(self, outcome: Outcome, took_s: float) -> None:
        results = self.results
        results.requests += 1
        if outcome is Outcome.DONE:
            results.done_s.append(took_s)
        elif outcome is Outcome.NOT_RUN:
            results.refused_s.append(took_s)
        else:
            results.unknown += 1


def run(policy: str, load: float, seed: int, seconds: float = SECONDS) -> Results:
    """Run on a simulated clock that advances to the next event."""
    loop = looptime.new_event_loop(start=0)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(Run(policy, load, seed, seconds).execute())


def main() -> None:
    """Run all loads and policies and print the table."""
    print(f"capacity {CAPACITY:.0f}/s, deadline {DEADLINE_S * 1000:.0f} ms, seeds {SEEDS}")
    headers = (
        "goodput",
        "spread",
        "p50 ms",
        "p99 ms",
        "refused %",
        "unknown %",
        "refusal p50/p99 ms",
    )
    print(f"{'load':>5} {'policy':12}" + "".join(f"{head:>11}" for head in headers))
    for load in LOADS:
        for policy in POLICIES:
            print(_row(load, policy, [run(policy, load, seed) for seed in SEEDS]))


def _row(load: float, policy: str, runs: list[Results]) -> str:
    shares = [results.goodput for results in runs]
    done = [value for results in runs for value in results.done_s]
    refused = [value for results in runs for value in results.refused_s]
    requests = sum(results.requests for results in runs)
    unknown = sum(results.unknown for results in runs)
    return (
        f"{load:5.1f} {policy:12}{sum(shares) / len(shares):11.3f}{max(shares) - min(shares):11.3f}"
        f"{percentile_ms(done, 0.5):11.1f}{percentile_ms(done, 0.99):11.1f}"
        f"{100 * len(refused) / requests:11.2f}{100 * unknown / requests:11.2f}"
        f"{percentile_ms(refused, 0.5):11.1f}{percentile_ms(refused, 0.99):8.1f}"
    )


if __name__ == "__main__":
    main()
