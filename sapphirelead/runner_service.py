"""The agent of a fleet: the only caller of the worker beside it.

It reports to the leader, carries out the leader's orders, and keeps what runs alive for as long as
its lease from the leader lasts.  Wherever it stands, the worker tells it of itself; the entries it
finds in the store, and after that from the leader.
"""

import asyncio
import secrets
from collections.abc import Callable
from typing import Final

import zmq.asyncio
from result import Err

from sapphirelead.background import spawn
from sapphirelead.clock import awake_now, now, wall_ms
from sapphirelead.keys import Keys
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_directory import read_entries
from sapphirelead.node_links import Links
from sapphirelead.node_messages import (
    AgentReport,
    AnyNodeMessage,
    Leads,
    Orders,
    RunPhase,
    WhoLeads,
    WorkerInfo,
)
from sapphirelead.node_ports import CallFailure, RunWorker
from sapphirelead.ports import Table
from sapphirelead.runner_lease import RunnerLease
from sapphirelead.runner_life import FencingToken, RunnerLife
from sapphirelead.sched_timing import Bounds

MIN_REPORT_INTERVAL_S: Final = 0.015
"""Least time between two reports; changes within it go together.  It doubles with each report that
the leader has not taken yet, so that no agent's reports queue up there."""

MAX_INTERVAL_DOUBLINGS: Final = 6
"""Past this number the spacing is at its most, :data:`MAX_REPORT_INTERVAL_S`."""

MAX_REPORT_INTERVAL_S: Final = 0.55
"""Longest time between two reports.  Each list of the worker brings one, so this is just above the
time between two lists: a report without news just before each of them would tell nothing."""

LEADER_TIMEOUT_S: Final = 1.1
"""Silence of the leader after which the agent asks all entries who leads: two reports."""

FULL_REPORT_INTERVAL_S: Final = 0.8
"""Time between two reports that list every run.  Each end of a run brings a report as well, and
small entries have narrow links."""

LEADER_QUERY_INTERVAL_S: Final = 0.3
DIRECTORY_READ_INTERVAL_S: Final = 1.5
"""Time between two readings of the entries' rows while no entry answers."""

MAX_GONE_WORKERS: Final = 16

STALE_LOG_INTERVAL_S: Final = 1.0
"""Least time between two log lines on refused starts."""

MakeWorker = Callable[[str, str], RunWorker]
"""Makes the client of a life of the worker from its id and address."""


class Runner:
    """The agent's process."""

    name: str
    metrics: Metrics
    _bounds: Bounds
    _table: Table
    _make_worker: MakeWorker
    _links: Links
    _boot: str
    _report_seq: int
    _epoch: int
    _leader: str
    _last_orders_at: float
    _last_query_at: float
    _last_directory_read_at: float
    _entries_version: int
    _orders: int
    _life: RunnerLife | None
    _life_task: "asyncio.Task[None] | None"
    _gone_workers: list[str]
    _lease: RunnerLease
    _token: FencingToken
    _wake: asyncio.Event
    _tasks: list["asyncio.Task[None]"]
    _heartbeat_seqs: dict[str, int]
    _last_full_report_at: float
    _acknowledged_seq: int
    _report_acknowledged: asyncio.Event
    _directory_read: "asyncio.Task[None] | None"
    _stale_starts: int
    _stale_logged_at: float
    _stopping: bool

    def __init__(
        self,
        name: str,
        bounds: Bounds,
        table: Table,
        make_worker: MakeWorker,
        ctx: zmq.asyncio.Context,
        keys: Keys | None = None,
    ) -> None:
        self.name = name
        self.metrics = Metrics()
        self._bounds = bounds
        self._table = table
        self._make_worker = make_worker
        self._boot = secrets.token_hex(4)
        self._links = Links(ctx, name, f"{name}/{self._boot}", self._on_message, keys)
        self._report_seq = 0
        self._epoch = 0
        self._leader = ""
        self._last_orders_at = -1e9
        self._last_query_at = -1e9
        self._last_directory_read_at = -1e9
        self._entries_version = 0
        self._orders = 0
        self._life = None
        self._life_task = None
        self._gone_workers = []
        self._lease = RunnerLease(bounds.lease_s, awake_now())
        self._token = FencingToken(wall_ms())
        self._wake = asyncio.Event()
        self._tasks = []
        self._heartbeat_seqs = {}
        self._last_full_report_at = -1e9
        self._directory_read = None
        self._acknowledged_seq = 0
        self._report_acknowledged = asyncio.Event()
        self._stale_starts = 0
        self._stale_logged_at = -1e9
        self._stopping = False

    def start(self) -> None:
        """Look for the entries and begin to report."""
        self._tasks = [spawn(self._report_loop(), "reports")]

    async def stop(self) -> None:
        """Stop; what the worker runs goes on under its lease."""
        self._stopping = True
        tasks = (
            self._tasks if self._directory_read is None else [*self._tasks, self._directory_read]
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._leader:
            # What the worker was told to be heard goes out now: the next process learns of it only
            # when the worker says it again, and tasks would start meanwhile on one that leaves.
            # The loop may have been looking for a leader with news in hand, so it goes in any case.
            self._report()
        if self._life is not None:
            await self._life.finish_stops()
            self._log_remaining_runs(self._life)
            await self._end_life(self._life, "")
        await self._links.stop()

    def _log_remaining_runs(self, life: RunnerLife) -> None:
        """Log what the worker runs on without an agent."""
        runs = life.registry.runs.values()
        log_event(
            "INFO",
            "runs_left",
            worker=life.registry.info.worker,
            runs=len(runs),
            stopping=sum(1 for run in runs if run.phase is RunPhase.STOPPING),
            lease_left_s=self._lease.remaining_s(awake_now()),
        )

    @property
    def connected(self) -> bool:
        """Whether the leader has been heard of lately."""
        return now() - self._last_orders_at < LEADER_TIMEOUT_S

    # The worker

    async def worker_heartbeat(self, info: WorkerInfo, address: str, seq: int) -> None:
        """Take the worker's word about itself.

        :param seq: grows with each beat of one life, so that a late one can be told.
        """
        if info.worker in self._gone_workers or seq <= self._heartbeat_seqs.get(info.worker, -1):
            return
        self._heartbeat_seqs[info.worker] = seq
        life = self._life
        if life is not None and life.registry.info.worker == info.worker:
            if life.registry.info != info:
                if info.draining and not life.registry.info.draining:
                    log_event(
                        "INFO",
                        "worker_draining",
                        worker=info.worker,
                        remaining_ms=info.remaining_ms,
                    )
                life.registry.info = info
                self._wake.set()
            return
        await self._adopt_life(info, address)

    async def worker_left(self, worker: str) -> None:
        """Take the worker's word that it ends now."""
        life = self._life
        if life is not None and life.registry.info.worker == worker:
            life.end("left")

    async def _adopt_life(self, info: WorkerInfo, address: str) -> None:
        """Take up a life that is not known yet, once the worker itself confirms it.

        A beat that was held up can arrive after its sender has crashed and another life has begun
        at the same address; only a call that names the life tells which one is there.
        """
        lease = self._lease.for_next_life(awake_now())
        client = self._make_worker(info.worker, address)
        grace_s = self._bounds.kill_grace_s
        life = RunnerLife(info, client, lease, self._token, self._wake.set, grace_s)
        failure = await life.adopt()
        if failure is CallFailure.FENCED:
            failure = await life.adopt()
        if failure is not None:
            log_event("INFO", "worker_not_met", worker=info.worker, reason=failure)
            await life.close()
            self._heartbeat_seqs.pop(info.worker, None)
            return
        before = self._life
        if before is not None:
            if before.registry.info.worker == info.worker:
                await life.close()
                return
            before.end("other_life")
            await self._end_life(before, before.registry.info.worker)
        self._life = life
        self._last_full_report_at = -1e9
        lease.until = self._lease.until
        self._lease = lease
        self._life_task = spawn(self._watch(life), "life")
        log_event(
            "INFO",
            "worker_met",
            worker=info.worker,
            service=info.service,
            runs=len(life.registry.runs),
            token=self._token.value,
        )
        self._wake.set()

    async def _watch(self, life: RunnerLife) -> None:
        await life.watch()
        if self._life is life:
            self._life = None
            self._record_gone(life.registry.info.worker)
        await life.close()
        self._wake.set()

    async def _end_life(self, life: RunnerLife, gone: str) -> None:
        if self._life_task is not None:
            self._life_task.cancel()
            await asyncio.gather(self._life_task, return_exceptions=True)
        await life.close()
        if gone:
            self._record_gone(gone)

    def _record_gone(self, worker: str) -> None:
        if worker not in self._gone_workers:
            self._gone_workers = [*self._gone_workers, worker][-MAX_GONE_WORKERS:]

    # The leader

    async def _report_loop(self) -> None:
        reported_at = -1e9
        while True:
            try:
                async with asyncio.timeout(max(0.01, reported_at + MAX_REPORT_INTERVAL_S - now())):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            at = now()
            if at - self._last_orders_at > LEADER_TIMEOUT_S:
                self._find_leader(at)
            if self._leader:
                self._report()
            reported_at = now()
            await self._pause(reported_at)

    async def _pause(self, reported_at: float) -> None:
        """Wait until the next report may go out."""
        while True:
            unacknowledged = max(0, self._report_seq - self._acknowledged_seq - 1)
            interval_s = min(
                MAX_REPORT_INTERVAL_S,
                MIN_REPORT_INTERVAL_S * 2 ** min(unacknowledged, MAX_INTERVAL_DOUBLINGS),
            )
            remaining_s = reported_at + interval_s - now()
            if remaining_s <= 0:
                return
            self._report_acknowledged.clear()
            try:
                async with asyncio.timeout(remaining_s):
                    await self._report_acknowledged.wait()
            except TimeoutError:
                return

    def _record_acknowledged(self, beat: int) -> None:
        """Note the newest report that the leader has taken."""
        if beat > self._acknowledged_seq:
            self._acknowledged_seq = beat
            self._report_acknowledged.set()

    def _find_leader(self, at: float) -> None:
        if at - self._last_query_at < LEADER_QUERY_INTERVAL_S:
            return
        self._last_query_at = at
        self._links.send_all(WhoLeads(self.name))
        reading = self._directory_read is not None and not self._directory_read.done()
        if at - self._last_directory_read_at >= DIRECTORY_READ_INTERVAL_S and not reading:
            self._last_directory_read_at = at
            # Reports go on meanwhile: the leader may be back before the store answers.
            self._directory_read = spawn(self._read_entries(), "entries")

    async def _read_entries(self) -> None:
        found = await read_entries(self._table)
        if isinstance(found, Err):
            return
        self._links.set_entries(found.ok_value)
        self._links.send_all(WhoLeads(self.name))

    def _report(self) -> None:
        life = self._life
        self._report_seq += 1
        gone = list(self._gone_workers)
        full = now() - self._last_full_report_at >= FULL_REPORT_INTERVAL_S
        if full:
            self._last_full_report_at = now()
        worker = life.registry.info if life is not None else None
        if life is not None and (life.over or life.silent):
            gone.append(life.registry.info.worker)
            worker = None
        report = AgentReport(
            self.name,
            self._boot,
            self._report_seq,
            self._epoch,
            self._entries_version,
            worker,
            full,
            life.registry.statuses(full) if life is not None and worker is not None else [],
            life.registry.report_ends(full) if life is not None else [],
            tuple(gone),
            self._orders,
        )
        self._lease.sent(self._report_seq, awake_now())
        if not self._links.send(self._leader, report):
            # What it told is told again.
            self._last_full_report_at = -1e9

    def _on_message(self, name: str, message: AnyNodeMessage) -> None:
        match message:
            case Orders():
                self._on_orders(message)
            case Leads():
                self._on_leads(message)
            case _:
                log_event("WARNING", "message_unexpected", kind=type(message).__name__, peer=name)

    def _on_leads(self, message: Leads) -> None:
        if not message.leader or message.epoch < self._epoch:
            return
        if (message.epoch, message.leader) != (self._epoch, self._leader):
            log_event("INFO", "following", leader=message.leader, epoch=message.epoch)
            self._follow(message.epoch, message.leader)
        self._wake.set()

    def _follow(self, epoch: int, leader: str) -> None:
        if (epoch, leader) != (self._epoch, self._leader):
            # The next leader knows only what is stored, and places filling work only where it has
            # seen every run's figure: it needs everything.
            self._last_full_report_at = -1e9
            # Each leader numbers its own orders.
            self._orders = 0
            self._record_acknowledged(self._report_seq)
        self._epoch = epoch
        self._leader = leader

    def _on_orders(self, orders: Orders) -> None:
        if orders.epoch < self._epoch or orders.boot != self._boot:
            return
        self._follow(orders.epoch, orders.leader)
        self._last_orders_at = now()
        self._orders = orders.number
        self._record_acknowledged(orders.after_beat)
        if orders.beat:
            self._lease.acknowledged(orders.beat)
        if orders.entries is not None:
            self._links.set_entries(orders.entries)
            self._entries_version = orders.entries_version
        life = self._life
        if life is None or life.registry.info.worker != orders.worker:
            return
        life.learn_interference(orders.press)
        for task, attempt in orders.stored:
            life.stored((task, attempt))
        # A stop holds at any age: it is final for its attempt, and a task's next run is another.
        for stop in orders.stops:
            life.stop(stop)
        if not orders.starts:
            return
        if self._stopping:
            # Cut off a moment later, their outcome would not be known; the next process gets them.
            log_event("INFO", "starts_left", starts=len(orders.starts))
            return
        if not self._lease.allows_starts(orders.after_beat, awake_now()):
            self._record_stale_starts(orders)
            return
        for start in orders.starts:
            life.start(start)

    def _record_stale_starts(self, orders: Orders) -> None:
        """Count refused starts; a leader that is behind sends many, so one line sums them up."""
        at = now()
        self._stale_starts += len(orders.starts)
        if at - self._stale_logged_at < STALE_LOG_INTERVAL_S:
            return
        self._stale_logged_at = at
        log_event(
            "WARNING",
            "orders_stale",
            starts=self._stale_starts,
            after_beat=orders.after_beat,
            age_s=self._lease.report_age(orders.after_beat, awake_now()),
            lease_left_s=self._lease.remaining_s(awake_now()),
        )
        self._stale_starts = 0
