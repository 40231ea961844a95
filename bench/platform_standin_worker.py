"""Stand-in of a worker on the users' platform.

Usage:
  platform_standin_worker --name NAME --history FILE --settings JSON

Options:
  --name NAME      Name of the machine.
  --history FILE   File to append the history to.
  --settings JSON  Settings of the worker.

The worker reports to its agent and does what it is told; it does not guard its capacity, which can
be changed while it runs.  SIGTERM drains it, SIGKILL is a crash.  A task or a request can also
crash the worker: all runs vanish without a listed end, connections are reset and refused, and after
a pause the process serves a new life without runs.

A life has a new id, or the configured one, which all lives of the worker share.  It reports when it
was born; its heartbeat numbers, numbers of ended runs and clock start anew.
"""

import asyncio
import contextlib
import secrets
import signal
import sys
import time
from typing import Any, Final

import aiohttp
import msgspec
from aiohttp import web
from docopt import docopt

from bench.platform_standin_run import EndedRun, Run, WorkerState, decode_script
from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife, make_life
from sapphirelead.standin_history import History
from sapphirelead.standin_server import StandIn

TICK_INTERVAL_S: Final = 0.02
HEARTBEAT_INTERVAL_S: Final = 0.5
ACK_TIMEOUT_S: Final = 1.0
MAX_ENDED_RUNS: Final = 500
INSTANCE_HEADER: Final = "X-Target-Instance"


class WorkerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses, capacity and timing of the worker.

    :ivar host: address to listen on.
    :ivar told: address announced to the agent, which may be a proxy's.
    :ivar agent: address to which heartbeats are sent.
    :ivar clock_rate: rate of its clock relative to true time.
    :ivar drain_s: how long it continues to serve after announcing that it drains.
    :ivar restart_s: time from a crash by a task until the next instance listens.
    :ivar worker_id: id of all its lives; empty for a new id in each life.
    :ivar reports_birth: whether heartbeats and lists of runs say when the life was born.
    """

    host: str
    port: int
    told: str
    agent: str
    service: str = "svc"
    zone: str = "z1"
    cpu: int = 4_000
    mem_mb: int = 16_000
    labels: tuple[str, ...] = ("a", "r1")
    clock_rate: float = 1.0
    hold_max_ms: int = 10_000
    kill_grace_ms: int = 900
    drain_s: float = 2.5
    restart_s: float = 2.8
    worker_id: str = ""
    reports_birth: bool = True


class Capacity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity that the worker reports."""

    cpu: int
    mem_mb: int


class Crash(msgspec.Struct, forbid_unknown_fields=True):
    """A crash that tests ask for.

    :ivar down_s: time until the next life listens.
    :ivar mute_s: time from then until its first heartbeat.
    """

    down_s: float
    mute_s: float = 0.0


class Behaviour(msgspec.Struct):
    """Faults of the worker, in addition to those of every stand-in.

    :ivar late_orders: number of starts and stops that are executed after ``late_s`` without a
        response.
    """

    frozen: bool = False
    failing: bool = False
    late_orders: int = 0
    late_s: float = 2.0


class Order(msgspec.Struct):
    """A start, stop or pace request; ``spec``, ``saved`` and the deadline are for starts."""

    task: str
    attempt: int
    fence_token: int = 0
    spec: str = ""
    saved: str = ""
    deadline_ms: int = 0
    percent: int = 100


class _Hold(msgspec.Struct):
    fence_token: int = 0
    seen_upto: int = 0
    deadline_ms: int = 0
    wait_ms: int = 0


class StandInWorker(StandIn):
    """HTTP server of one worker instance.

    :ivar born_ms: reported time of its birth, as Unix time in milliseconds.
    :ivar crashed: set once this instance has crashed, which then serves nothing any more.
    :ivar next_life: when its next life listens and first reports, once it has crashed.
    """

    instance_id: str
    born_ms: int
    state: WorkerState
    behaviour: Behaviour
    draining: bool
    capacity: Capacity
    crashed: asyncio.Event
    next_life: Crash
    _cfg: WorkerSettings
    _late_tasks: set["asyncio.Task[None]"]
    _seq: int
    _acknowledged_number: int
    _lease_expired_at: float
    _started_at: float
    _exited: bool

    def __init__(self, history: History, settings: WorkerSettings) -> None:
        super().__init__(history)
        self.instance_id = settings.worker_id or f"i-{secrets.token_hex(4)}"
        self.born_ms = time.time_ns() // 1_000_000
        self._started_at = now()
        history.source = make_life(self.instance_id, self.born_ms)
        self.state = WorkerState(settings.kill_grace_ms / 1000)
        self.behaviour = Behaviour()
        self.draining = False
        self.capacity = Capacity(settings.cpu, settings.mem_mb)
        self.crashed = asyncio.Event()
        self.next_life = Crash(settings.restart_s)
        self._cfg = settings
        self._late_tasks = set()
        self._seq = 0
        self._acknowledged_number = 0
        self._lease_expired_at = 0.0
        self._exited = False

    @property
    def life(self) -> WorkerLife:
        """Name of this life."""
        return make_life(self.instance_id, self.born_ms if self._cfg.reports_birth else None)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the agent and of the behaviour control."""
        return [
            web.post("/run-start", self._order),
            web.post("/run-stop", self._order),
            web.post("/pace", self._order),
            web.post("/hold", self._hold_call),
            web.post("/behave", self._behave),
            web.post("/crash", self._crash_on_request),
            web.post("/capacity", self._change_capacity),
        ]

    def record_start(self, name: str) -> None:
        """Record the start of this instance in the history."""
        size = self.capacity
        zone = self._cfg.zone
        self.history.record("life", name=name, zone=zone, cpu=size.cpu, mem_mb=size.mem_mb)

    @property
    def clock_ms(self) -> int:
        """Time of the worker's clock, in milliseconds since its start."""
        return int((now() - self._started_at) * 1000 * self._cfg.clock_rate)

    async def tick(self) -> None:
        """Advance the runs periodically, until cancelled or a task crashes this instance."""
        while not self.crashed.is_set():
            with contextlib.suppress(ConnectionResetError):
                self._advance(now())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _advance(self, at: float) -> None:
        """Advance the runs to the present time.

        :param at: the reading of the clock by which all that happens now is dated; with a second
            one, a busy machine could date it after a crash that this call has not seen yet.
        :raises ConnectionResetError: if a task has crashed this instance, or it has exited.
        """
        crashing = self.state.next_crash()
        if crashing is not None and crashing.crashes_at <= at:
            self._advance_to(crashing.crashes_at)
            self._crash(crashing)
        if self.crashed.is_set() or self._exited:
            raise ConnectionResetError
        self._advance_to(at)

    def _advance_to(self, at: float) -> None:
        for end in self.state.advance(at):
            self._record_end(end)
        until = self.state.lease_until
        if self._lease_expired_at < until <= at:
            self._lease_expired_at = until
            self.history.record("lapse", until)

    def _crash(self, run: Run) -> None:
        self.history.record("crash", run.crashes_at, task=run.task, attempt=run.attempt)
        self.crash()

    def crash(self) -> None:
        """End this life with all its runs; nothing is served any more."""
        self.crashed.set()
        self._drop_runs()

    def exit(self) -> None:
        """End this life as planned, unless a task crashes it first; nothing is served any more."""
        with contextlib.suppress(ConnectionResetError):
            self._advance(now())
            self.history.record("life_over")
            self._exited = True
            self._drop_runs()

    def _drop_runs(self) -> None:
        self.state.runs.clear()
        for late in self._late_tasks:
            late.cancel()

    def _record_end(self, end: EndedRun) -> None:
        self.history.record(
            "run_end",
            end.at,
            task=end.task,
            attempt=end.attempt,
            how=end.how,
            number=end.number,
            saved=end.saved,
        )

    async def _order(self, request: web.Request) -> web.Response:
        if request.headers.get(INSTANCE_HEADER) != self.instance_id:
            return web.Response(status=421)
        order = msgspec.json.decode(await request.read(), type=Order)
        path = request.path
        if self.behaviour.late_orders and path != "/pace":
            self.behaviour.late_orders -= 1
            late = asyncio.create_task(self._execute_late(path, order))
            self._late_tasks.add(late)
            await late
            raise ConnectionResetError
        return self._execute(path, order)

    async def _execute_late(self, path: str, order: Order) -> None:
        await asyncio.sleep(self.behaviour.late_s)
        self._execute(path, order, late=True)

    def _execute(self, path: str, order: Order, late: bool = False) -> web.Response:
        at = now()
        self._advance(at)
        if order.fence_token < self.state.token:
            return self._response(409, reason="fence")
        self.state.token = order.fence_token
        if path == "/run-start":
            return self._start(order, late, at)
        if path == "/run-stop":
            self.history.record("run_stop", at, task=order.task, attempt=order.attempt)
            self.state.stop(order.task, order.attempt, at)
        elif run := self.state.runs.get((order.task, order.attempt)):
            run.percent = order.percent
        return self._response()

    def _start(self, order: Order, late: bool, at: float) -> web.Response:
        if order.deadline_ms < self.clock_ms:
            return self._response(409, reason="late")
        self._extend(order.deadline_ms)
        if (order.task, order.attempt) in self.state.runs:
            return self._response()
        if order.attempt <= self.state.closed_attempts.get(order.task, 0):
            return self._response(409, reason="old")
        script = decode_script(order.spec)
        self.state.start(Run(order.task, order.attempt, script, at, saved=order.saved))
        self.history.record(
            "run_start",
            at,
            task=order.task,
            attempt=order.attempt,
            spec=order.spec,
            saved=order.saved,
            late=late,
        )
        return self._response()

    def _extend(self, deadline_ms: int) -> None:
        granted_ms = min(deadline_ms, self.clock_ms + self._cfg.hold_max_ms)
        until = self._started_at + granted_ms / 1000 / self._cfg.clock_rate
        self.state.lease_until = max(self.state.lease_until, until)

    async def _hold_call(self, request: web.Request) -> web.Response:
        if request.headers.get(INSTANCE_HEADER) != self.instance_id:
            return web.Response(status=421)
        hold = msgspec.json.decode(await request.read(), type=_Hold)
        self._advance(now())
        if hold.fence_token < self.state.token:
            return self._response(409, reason="fence")
        self.state.token = hold.fence_token
        if hold.deadline_ms:
            self._extend(hold.deadline_ms)
        self._acknowledge(hold.seen_upto)
        until = now() + min(hold.wait_ms, 2_000) / 1000
        while not self.state.ended and now() < until:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._advance(now())
        return self._hold_response()

    def _acknowledge(self, upto: int) -> None:
        if upto > self._acknowledged_number:
            self._acknowledged_number = upto
            self.history.record("noted", upto=upto)
        self.state.ended = [end for end in self.state.ended if end.number > upto]

    def _hold_response(self) -> web.Response:
        running = [
            [run.task, run.attempt, run.saved, run.progress, 100]
            for run in self.state.runs.values()
        ]
        ended = [
            [end.number, end.task, end.attempt, end.how, end.saved]
            for end in self.state.ended[:MAX_ENDED_RUNS]
        ]
        return self._response(running=running, ended=ended, **self._birth())

    def _response(self, status: int = 200, **fields: Any) -> web.Response:
        return web.json_response({"clock_ms": self.clock_ms, **fields}, status=status)

    def _birth(self) -> dict[str, int]:
        return {"born": self.born_ms} if self._cfg.reports_birth else {}

    async def _behave(self, request: web.Request) -> web.Response:
        self._advance(now())
        self.behaviour = msgspec.json.decode(await request.read(), type=Behaviour)
        self.state.frozen, self.state.failing = self.behaviour.frozen, self.behaviour.failing
        return web.Response()

    async def _crash_on_request(self, request: web.Request) -> web.Response:
        next_life = msgspec.json.decode(await request.read(), type=Crash)
        self._advance(now())
        self.next_life = next_life
        self.history.record("worker_gone")
        self.crash()
        return web.Response()

    async def _change_capacity(self, request: web.Request) -> web.Response:
        self.capacity = msgspec.json.decode(await request.read(), type=Capacity)
        self.history.record("capacity", cpu=self.capacity.cpu, mem_mb=self.capacity.mem_mb)
        return web.Response()

    # Calls to the agent.

    async def send_heartbeat(self, session: aiohttp.ClientSession) -> bool:
        """Send a heartbeat and return whether it was acknowledged."""
        self._seq += 1
        cfg = self._cfg
        body = {
            "service": cfg.service,
            "addr": cfg.told,
            "zone": cfg.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.capacity.cpu, "mem_mb": self.capacity.mem_mb, "gpu": 0},
            "labels": cfg.labels,
            "clock_ms": self.clock_ms,
            "seq": self._seq,
            **self._birth(),
        }
        if self.draining:
            body["remaining_ms"] = int(cfg.drain_s * 1000)
        return await self._post_to_agent(session, "heartbeat", body)

    async def leave(self, session: aiohttp.ClientSession) -> None:
        """Notify the agent that this instance ends now."""
        await self._post_to_agent(session, "leave", {})

    async def _post_to_agent(self, session: aiohttp.ClientSession, what: str, body: Any) -> bool:
        url = f"http://{self._cfg.agent}/instances/{self.instance_id}/{what}"
        timeout = aiohttp.ClientTimeout(total=ACK_TIMEOUT_S)
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.post(url, json=body, timeout=timeout) as response:
                return response.status == 200
        return False


async def run_worker(
    name: str, history: History, settings: WorkerSettings, stopping: asyncio.Event
) -> None:
    """Run worker instances, the next one after each crash without a signal, until ``stopping``."""
    mute_s = 0.0
    while not stopping.is_set():
        worker = StandInWorker(history, settings)
        await run_instance(name, worker, settings, stopping, mute_s)
        mute_s = worker.next_life.mute_s
        if worker.crashed.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), worker.next_life.down_s)


async def run_instance(
    name: str,
    worker: StandInWorker,
    settings: WorkerSettings,
    stopping: asyncio.Event,
    mute_s: float = 0.0,
) -> None:
    """Run one instance until it crashes, or until ``stopping``, then drain it.

    :param mute_s: time until its first heartbeat.
    """
    await worker.start(settings.host, settings.port)
    worker.record_start(name)
    ticking = asyncio.create_task(worker.tick())
    announcing = asyncio.create_task(_announce(worker, settings.drain_s, stopping, mute_s))
    crashing = asyncio.create_task(worker.crashed.wait())
    await asyncio.wait((announcing, crashing), return_when=asyncio.FIRST_COMPLETED)
    for task in (ticking, announcing, crashing):
        task.cancel()
    worker.exit()
    if worker.crashed.is_set():
        await worker.abort()
        return
    await worker.stop()


async def _announce(
    worker: StandInWorker, drain_s: float, stopping: asyncio.Event, mute_s: float
) -> None:
    await asyncio.sleep(mute_s)
    async with aiohttp.ClientSession() as session:
        while not stopping.is_set():
            await worker.send_heartbeat(session)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stopping.wait(), HEARTBEAT_INTERVAL_S)
        await _drain(worker, session, drain_s)


async def _drain(worker: StandInWorker, session: aiohttp.ClientSession, drain_s: float) -> None:
    worker.draining = True
    for _ in range(4):
        if await worker.send_heartbeat(session):
            worker.history.record("draining_known")
            break
    until = now() + drain_s
    while now() < until:
        await worker.send_heartbeat(session)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
    await worker.leave(session)


async def _run_until_sigterm(name: str, history: History, settings: WorkerSettings) -> None:
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await run_worker(name, history, settings, stopping)


def main() -> int:
    """Run the worker with the command line's options."""
    args = docopt(__doc__)
    history = History.open(args["--name"], args["--history"])
    settings = msgspec.json.decode(args["--settings"], type=WorkerSettings)
    asyncio.run(_run_until_sigterm(args["--name"], history, settings))
    history.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
