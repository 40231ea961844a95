"""The agent of a worker, and the only caller of that worker's API.

It reports to the leader, carries out the leader's orders, and renews the leases of runs while its
own lease from the leader lasts.  The worker announces itself by heartbeats.  The agent reads the
addresses of the entries from the store at first, and later gets them from the leader.
"""

import asyncio
import math
import secrets
from collections.abc import Callable
from contextlib import nullcontext
from functools import partial
from typing import Final

import zmq.asyncio
from result import Err

from sapphirelead.background import spawn
from sapphirelead.clock import awake_now, now, wall_ms
from sapphirelead.keys import Keys
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.model_worker_life import WorkerLife, worker_id
from sapphirelead.node_directory import read_entries
from sapphirelead.node_links import Links
from sapphirelead.node_messages import (
    AgentReport,
    AnyNodeMessage,
    LeaderAnnouncement,
    LeaderQuery,
    Orders,
    RunPhase,
    WorkerInfo,
)
from sapphirelead.node_ports import CallFailure, ListLife, RunWorker
from sapphirelead.ports import Table
from sapphirelead.runner_ended import EndedLives, describe_life
from sapphirelead.runner_lease import RunnerLease
from sapphirelead.runner_life import FencingToken, RunnerLife
from sapphirelead.runner_registry import RunRegistry
from sapphirelead.runner_start_trace import OrderBasis
from sapphirelead.sched_timing import Bounds
from sapphirelead.sched_zones import ZoneGate

MIN_REPORT_INTERVAL_S: Final = 0.015
"""Interval within which changes are batched into one report.  Doubles with each report that the
leader has not processed, to keep reports from queueing at a slow leader."""

MAX_INTERVAL_DOUBLINGS: Final = 6

MAX_REPORT_INTERVAL_S: Final = 0.55
"""Just above the time of a list call, because each list triggers a report as well: a report just
before it would contain nothing new."""

LEADER_TIMEOUT_S: Final = 1.1
"""Time without orders after which the agent asks all entries for the leader."""

FULL_REPORT_INTERVAL_S: Final = 0.8
"""Interval between reports that list every run; the others list only changes."""

LEADER_QUERY_INTERVAL_S: Final = 0.3
DIRECTORY_READ_INTERVAL_S: Final = 1.5
"""Interval between reads of the entries' addresses from the store while there is no leader."""

STALE_LOG_INTERVAL_S: Final = 1.0
"""Minimum interval between log lines on stale start orders."""

IGNORED_LOG_INTERVAL_S: Final = 1.0
"""Minimum interval between log lines on ignored heartbeats."""

MakeWorker = Callable[[WorkerLife, str], RunWorker]
"""Creates the client of a worker life from its name and address."""


class Runner:
    """The agent of one worker."""

    name: str
    metrics: Metrics
    _bounds: Bounds
    _table: Table
    _make_worker: MakeWorker
    _list_life: ListLife | None
    _links: Links
    _boot: str
    _report_seq: int
    _epoch: int
    _leader: str
    _last_orders_at: float
    _last_query_at: float
    _last_directory_read_at: float
    _entries_version: int
    _last_orders_number: int
    _life: RunnerLife | None
    _address: str
    _life_task: "asyncio.Task[None] | None"
    _adopted: int
    _adoption: asyncio.Lock
    _being_met: list[WorkerLife]
    _ended: EndedLives
    _lease: RunnerLease
    _zone_gate: ZoneGate
    _token: FencingToken
    _wake: asyncio.Event
    _tasks: list["asyncio.Task[None]"]
    _heartbeat_seqs: dict[WorkerLife, int]
    _last_full_report_at: float
    _processed_seq: int
    _report_processed: asyncio.Event
    _directory_read: "asyncio.Task[None] | None"
    _gone_report: int
    _stale_starts: int
    _stale_logged_at: float
    _ignored_logged_at: float
    _stopping: bool

    def __init__(
        self,
        name: str,
        bounds: Bounds,
        table: Table,
        make_worker: MakeWorker,
        ctx: zmq.asyncio.Context,
        keys: Keys | None = None,
        list_life: ListLife | None = None,
    ) -> None:
        """Create an agent that is not started yet.

        :param list_life: for workers that are born again under their id.
        """
        self.name = name
        self.metrics = Metrics()
        self._bounds = bounds
        self._table = table
        self._make_worker = make_worker
        self._list_life = list_life
        self._boot = secrets.token_hex(4)
        self._links = Links(ctx, name, f"{name}/{self._boot}", self._on_message, keys)
        self._report_seq = 0
        self._epoch = 0
        self._leader = ""
        self._last_orders_at = -1e9
        self._last_query_at = -1e9
        self._last_directory_read_at = -1e9
        self._entries_version = 0
        self._last_orders_number = 0
        self._life = None
        self._address = ""
        self._life_task = None
        self._adopted = 0
        self._adoption = asyncio.Lock()
        # Contains a life once for each of its heartbeats that is being handled.
        self._being_met = []
        self._ended = EndedLives()
        self._lease = RunnerLease(bounds.lease_s, awake_now(), bounds.lease_max_s)
        self._zone_gate = ZoneGate(bounds.evacuate_s)
        self._token = FencingToken(wall_ms())
        self._wake = asyncio.Event()
        self._tasks = []
        self._heartbeat_seqs = {}
        self._last_full_report_at = -1e9
        self._directory_read = None
        self._processed_seq = 0
        self._report_processed = asyncio.Event()
        # Number of the latest report by which the present life counts as ended.
        self._gone_report = 0
        self._stale_starts = 0
        self._stale_logged_at = -1e9
        self._ignored_logged_at = -1e9
        self._stopping = False

    def start(self) -> None:
        """Start looking for the leader and reporting to it."""
        self._tasks = [spawn(self._report_loop(), "reports")]

    async def stop(self) -> None:
        """Stop; runs on the worker continue under its lease."""
        self._stopping = True
        tasks = (
            self._tasks if self._directory_read is None else [*self._tasks, self._directory_read]
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._leader:
            # Sends pending changes, such as a worker that is draining: the next process learns of
            # them only with the next heartbeat.  Also announces the end of this process.
            self._report()
        if self._life is not None:
            await self._life.finish_stops()
            self._log_remaining_runs(self._life)
            await self._close_life(self._life, self._life_task)
        await self._links.stop()

    def _log_remaining_runs(self, life: RunnerLife) -> None:
        """Log the runs that continue without an agent."""
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
        """Whether orders have arrived within :data:`LEADER_TIMEOUT_S`."""
        return now() - self._last_orders_at < LEADER_TIMEOUT_S

    # The worker

    async def worker_heartbeat(self, info: WorkerInfo, address: str, seq: int) -> None:
        """Handle a heartbeat of the worker.

        :param seq: increases with each heartbeat of one life; late heartbeats are ignored.
        """
        if info.worker in self._ended:
            self._record_ignored(info.worker, "ended")
            self._record_heard(info.worker)
            return
        if seq <= self._heartbeat_seqs.get(info.worker, -1):
            self._record_ignored(info.worker, "late")
            return
        self._heartbeat_seqs[info.worker] = seq
        life = self._life
        if life is not None and life.registry.info.worker == info.worker:
            if life.registry.info != info:
                _log_changes(life.registry, info)
                life.registry.info = info
                self._wake.set()
            return
        self._being_met.append(info.worker)
        try:
            await self._adopt_life(info, address)
        finally:
            self._being_met.remove(info.worker)
            self._record_exit_of_rejected(info.worker)

    def _record_heard(self, worker: WorkerLife) -> None:
        """Count a heartbeat of a life that counts as ended, and log the first one."""
        self.metrics.count("ended_lives_heard_total", by="heartbeat")
        ended_s = self._ended.first_heard_s(worker)
        if ended_s is not None:
            log_event(
                "WARNING",
                "ended_life_heard",
                worker=worker,
                by="heartbeat",
                ended_s=ended_s,
                announced=self._ended.has_left(worker),
            )

    def _record_ignored(self, worker: WorkerLife, reason: str) -> None:
        """Count an ignored heartbeat and log it, at most once per interval."""
        self.metrics.count("heartbeats_ignored_total", reason=reason)
        at = now()
        if at - self._ignored_logged_at >= IGNORED_LOG_INTERVAL_S:
            self._ignored_logged_at = at
            log_event("INFO", "heartbeat_ignored", worker=worker, reason=reason)

    async def worker_left(self, worker: WorkerLife) -> None:
        """Handle the worker's announcement that it exits.

        :param worker: its life; one without a start stands for the current life of that id if it is
            draining, because a late announcement of an earlier life must not end a later one.
        """
        life = self._life
        info = life.registry.info if life is not None else None
        if info is not None and info.draining and worker == worker_id(info.worker):
            worker = info.worker
        self._ended.add_left(worker)
        if life is not None and life.registry.info.worker == worker:
            life.announce_exit()
        elif worker in self._being_met:
            # Its list decides whether it has ended.
            return
        elif life is None or worker_id(life.registry.info.worker) != worker_id(worker):
            self._record_left_unmet(worker)

    def _record_left_unmet(self, worker: WorkerLife) -> None:
        """Record the exit of a life that this process has not met, or that has ended before."""
        if worker in self._ended:
            return
        self._ended.add_unmet(worker)
        log_event("INFO", "worker_left_unmet", worker=worker)
        self._wake.set()

    def _record_exit_of_rejected(self, worker: WorkerLife) -> None:
        """Record the exit of a life that has announced it while it was met and was not adopted."""
        life = self._life
        is_current = life is not None and life.registry.info.worker == worker
        if self._ended.has_left(worker) and not is_current and worker not in self._being_met:
            self._record_left_unmet(worker)

    async def _adopt_life(self, info: WorkerInfo, address: str) -> None:
        """Adopt a new worker life, once a call to the worker confirms it.

        A delayed heartbeat may come from a life that has since been replaced at the same address.
        """
        if self._may_run_at_other_address(address):
            self._heartbeat_seqs.pop(info.worker, None)
            self._record_ignored(info.worker, "other_address")
            return
        with self._life.starts_paused() if self._life is not None else nullcontext():
            await self._meet_life(info, address)

    async def _meet_life(self, info: WorkerInfo, address: str) -> None:
        self._token.renew()
        lease = self._lease.for_next_life()
        client = self._make_worker(info.worker, address)
        grace_s = self._bounds.kill_grace_s
        life = RunnerLife(
            info,
            client,
            lease,
            self._token,
            self._wake.set,
            grace_s,
            self._zone_gate,
            self.metrics,
            partial(self._list_life, info.worker, address) if self._list_life else None,
        )
        adopted = self._adopted
        failure = await life.adopt()
        if failure is CallFailure.FENCED:
            failure = await life.adopt()
        if failure is not None:
            await self._reject_life(life, failure)
            return
        async with self._adoption:
            if self._adopted != adopted:
                # Another life was adopted meanwhile, so this answer may be of an earlier one.
                await self._reject_life(life, "superseded")
                return
            has_runs = bool(life.registry.runs or life.registry.ends)
            if info.worker in self._ended or (self._ended.has_left(info.worker) and not has_runs):
                await self._reject_life(life, "left")
                return
            await self._replace_life(life, lease, address)
            if self._ended.has_left(info.worker):
                life.announce_exit()

    def _may_run_at_other_address(self, address: str) -> bool:
        """Return whether the current life, or its successor, may run at another address."""
        life = self._life
        if life is None or address == self._address:
            return False
        return life.unsettled or not (life.has_ended or life.refuses or life.not_responding)

    async def _reject_life(self, life: RunnerLife, reason: str) -> None:
        """Drop a life that was not adopted; its next heartbeat leads to another try."""
        worker = life.registry.info.worker
        log_event("INFO", "worker_not_met", worker=worker, reason=reason)
        await life.close()
        self._heartbeat_seqs.pop(worker, None)

    async def _replace_life(self, life: RunnerLife, lease: RunnerLease, address: str) -> None:
        """Make an adopted life the current one.

        Reports name the new life, with its runs, as soon as they name the last one as ended.
        """
        before, before_task, info = self._life, self._life_task, life.registry.info
        if before is not None:
            before.end("other_life")
            self._record_ended(before)
            life.inherit_runs(before.registry)
        self._adopted += 1
        self._life = life
        self._address = address
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
        if before is not None:
            await self._close_life(before, before_task)

    async def _watch(self, life: RunnerLife) -> None:
        await life.watch()
        if self._life is life:
            self._life = None
            self._record_ended(life)
        await life.close()
        self._wake.set()

    async def _close_life(self, life: RunnerLife, task: "asyncio.Task[None] | None") -> None:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await life.close()

    def _record_ended(self, life: RunnerLife) -> None:
        self._ended.add(life.registry)
        # Its late heartbeats are ignored without their numbers.
        self._heartbeat_seqs.pop(life.registry.info.worker, None)
        # Outcomes of ended lives are in full reports only.
        self._last_full_report_at = -1e9

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
            await self._wait_for_next_report(reported_at)

    async def _wait_for_next_report(self, reported_at: float) -> None:
        """Wait until the next report may be sent."""
        while True:
            unprocessed = max(0, self._report_seq - self._processed_seq - 1)
            interval_s = min(
                MAX_REPORT_INTERVAL_S,
                MIN_REPORT_INTERVAL_S * 2 ** min(unprocessed, MAX_INTERVAL_DOUBLINGS),
            )
            remaining_s = reported_at + interval_s - now()
            if remaining_s <= 0:
                return
            self._report_processed.clear()
            try:
                async with asyncio.timeout(remaining_s):
                    await self._report_processed.wait()
            except TimeoutError:
                return

    def _record_processed(self, report_number: int) -> None:
        """Record the newest report that the leader has processed."""
        if report_number > self._processed_seq:
            self._processed_seq = report_number
            self._report_processed.set()

    def _find_leader(self, at: float) -> None:
        if at - self._last_query_at < LEADER_QUERY_INTERVAL_S:
            return
        self._last_query_at = at
        self._links.send_all(LeaderQuery(self.name))
        reading = self._directory_read is not None and not self._directory_read.done()
        if at - self._last_directory_read_at >= DIRECTORY_READ_INTERVAL_S and not reading:
            self._last_directory_read_at = at
            # In the background, because the leader may answer before the store does.
            self._directory_read = spawn(self._read_entries(), "entries")

    async def _read_entries(self) -> None:
        found = await read_entries(self._table)
        if isinstance(found, Err):
            return
        self._links.set_entries(found.ok_value)
        self._links.send_all(LeaderQuery(self.name))

    def _report(self) -> None:
        life = self._life
        self._report_seq += 1
        gone = list(self._ended.lives)
        described = self._ended.descriptions()
        full = now() - self._last_full_report_at >= FULL_REPORT_INTERVAL_S
        if full:
            self._last_full_report_at = now()
        worker = life.registry.info if life is not None else None
        if life is not None and not life.unsettled and (life.has_ended or life.not_responding):
            gone.append(life.registry.info.worker)
            self._gone_report = self._report_seq
            description = describe_life(life.registry)
            described += [description] if description is not None else []
            worker = None
        ends = life.registry.report_ends(full) if life is not None else []
        if full:
            ends += self._ended.outcomes()
        report = AgentReport(
            self.name,
            self._boot,
            self._report_seq,
            self._epoch,
            self._entries_version,
            worker,
            full,
            life.registry.statuses(full) if life is not None and worker is not None else [],
            ends,
            tuple(gone),
            self._last_orders_number,
            leaving=self._stopping,
            left_workers=tuple(item for item in gone if self._ended.has_left(item)),
            worker_answers=life is not None and not life.in_doubt,
            ended_lives=tuple(described),
            worker_refuses=(
                worker is not None and life is not None and (life.refuses or life.unsettled)
            ),
        )
        self._lease.sent(self._report_seq, awake_now())
        if not self._links.send(self._leader, report):
            # The next report is a full one and repeats the content of this one.
            self._last_full_report_at = -1e9

    def _on_message(self, name: str, message: AnyNodeMessage) -> None:
        match message:
            case Orders():
                self._on_orders(message)
            case LeaderAnnouncement():
                self._on_leads(message)
            case _:
                log_event(
                    "WARNING",
                    "message_unexpected",
                    kind=str(message.__struct_config__.tag),
                    peer=name,
                )

    def _on_leads(self, message: LeaderAnnouncement) -> None:
        if not message.leader or message.epoch < self._epoch:
            return
        if (message.epoch, message.leader) != (self._epoch, self._leader):
            log_event("INFO", "following", leader=message.leader, epoch=message.epoch)
            self._follow(message.epoch, message.leader)
        self._wake.set()

    def _follow(self, epoch: int, leader: str) -> None:
        if (epoch, leader) != (self._epoch, self._leader):
            # A new leader needs a full report: it knows only what is stored.
            self._last_full_report_at = -1e9
            # Order numbers are per leader.
            self._last_orders_number = 0
            self._record_processed(self._report_seq)
        self._epoch = epoch
        self._leader = leader

    def _on_orders(self, orders: Orders) -> None:
        if orders.epoch < self._epoch or orders.boot != self._boot:
            return
        self._follow(orders.epoch, orders.leader)
        self._last_orders_at = now()
        self._last_orders_number = orders.number
        self._record_processed(orders.based_on_report)
        life = self._life
        if orders.report_number:
            self._lease.acknowledged(orders.report_number)
            if life is not None:
                life.lease_renewed()
        if orders.entries is not None:
            self._links.set_entries(orders.entries)
            self._entries_version = orders.entries_version
        for task, attempt in orders.stored:
            self._ended.stored((task, attempt))
            if life is not None:
                life.stored((task, attempt))
        if life is None or life.registry.info.worker != orders.worker:
            return
        allowed_until = self._apply_zone_notice(orders)
        life.learn_interference(orders.interference)
        # Stops never become stale: they are final for an attempt, and a rerun is a new attempt.
        for stop in orders.stops:
            life.stop(stop)
        if not orders.starts:
            return
        if self._stopping:
            # Shutdown would interrupt the calls; the leader repeats the orders to the next process.
            log_event("INFO", "starts_left", starts=len(orders.starts))
            return
        # After a report that the life is gone, a leader has ended what it had claimed before.
        outdated = orders.based_on_report < self._gone_report
        if outdated or not self._lease.allows_starts(orders.based_on_report, awake_now()):
            self._record_stale_starts(orders)
            return
        at = awake_now()
        reported_at = at - self._lease.report_age_s(orders.based_on_report, at)
        basis = OrderBasis(orders.epoch, reported_at)
        claimed_until = self._lease.end_after(orders.based_on_report)
        # Orders of runs found on the worker come first, since others need to know their resources.
        for start in sorted(orders.starts, key=life.knows, reverse=True):
            life.start(start, allowed_until, claimed_until, basis)

    def _apply_zone_notice(self, orders: Orders) -> float:
        """Take over what the leader knows of the worker's zone.

        :returns: until when starts by these orders may be sent to the worker.
        """
        notice = orders.zone
        if notice is None:
            # A leader that does not know the zones yet changes nothing about what was known.
            return math.inf if self._bounds.evacuate_s == math.inf else -math.inf
        gate = self._zone_gate
        if notice.evacuated != gate.evacuated:
            gate.evacuated = notice.evacuated
            event = "zone_evacuated" if notice.evacuated else "zone_restored"
            self.metrics.count(f"{event}_total")
            log_event("INFO", event, worker=orders.worker, read_age_s=notice.read_age_s)
        at = awake_now()
        ordered_at = at - self._lease.report_age_s(orders.based_on_report, at)
        return gate.allowed_until(ordered_at, notice.read_age_s)

    def _record_stale_starts(self, orders: Orders) -> None:
        """Count stale start orders and log them in aggregate."""
        at = now()
        self._stale_starts += len(orders.starts)
        if at - self._stale_logged_at < STALE_LOG_INTERVAL_S:
            return
        self._stale_logged_at = at
        log_event(
            "WARNING",
            "orders_stale",
            starts=self._stale_starts,
            after_beat=orders.based_on_report,
            age_s=self._lease.report_age_s(orders.based_on_report, awake_now()),
            lease_left_s=self._lease.remaining_s(awake_now()),
        )
        self._stale_starts = 0


def _log_changes(registry: RunRegistry, info: WorkerInfo) -> None:
    """Log what a heartbeat with ``info`` changes."""
    if info.draining and not registry.info.draining:
        log_event("INFO", "worker_draining", worker=info.worker, remaining_ms=info.remaining_ms)
    capacity = info.capacity
    if capacity != registry.info.capacity:
        log_event(
            "INFO",
            "worker_resized",
            worker=info.worker,
            cpu_millicores=capacity.cpu_millicores,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
            runs=len(registry.runs),
        )
