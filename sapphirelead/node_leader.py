"""The leader's main loop: feeds the scheduler, stores its batches and sends its orders.

Each round plans, commits, and then runs the effects of the commit, so nothing is sent or answered
before it is stored.  Planning has a time budget per round; while a backlog remains, each round
commits and sends before it plans.  While the store is unavailable the loop waits for it; reports
are still processed, and what needs no store (stops, lease renewals for a while) continues.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import asdict
from typing import Final

from result import Err, Ok

from sapphirelead.clock import awake_now, now, wall_ms
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_advice import AdviceDispatcher
from sapphirelead.node_leader_calls import LeaderCalls, MayArrive
from sapphirelead.node_leader_load import MAX_ROUND_BLOCKING_S, LoopLoad, Part
from sapphirelead.node_leader_parts import LeaderParts
from sapphirelead.node_leader_zones import ZoneKnowledge
from sapphirelead.node_messages import (
    AgentReport,
    Call,
    Orders,
    Reply,
    reported_life,
)
from sapphirelead.node_ports import AdviceService
from sapphirelead.node_store_timeout import MIN_STORE_TIMEOUT_S, StoreTimeout
from sapphirelead.ports import Row, Table, Write
from sapphirelead.sched_cancels import CancelLatency
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_consolidate import Consolidation
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_end_history import EndHistory
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_head import Head, HeadEnd
from sapphirelead.sched_journal import JOURNAL_PREFIX, SNAPSHOT_PREFIX, SPEC_PREFIX, Journal
from sapphirelead.sched_leaving import empty_leaving_workers
from sapphirelead.sched_led_time import MIN_STORE_INTERVAL_S
from sapphirelead.sched_memory import MEMORY_KEY, MIN_INTERVAL_S, LeaderMemory
from sapphirelead.sched_planner import plan, wanted_cpu
from sapphirelead.sched_quarantine import Quarantine
from sapphirelead.sched_renewal_holds import RenewalHolds
from sapphirelead.sched_renewals import RenewalSource
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_restarts import RestartLatency
from sapphirelead.sched_scan_order import Budget, ScanOrder
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_survey import SURVEY_INTERVAL_S, survey
from sapphirelead.sched_timing import HEAD_LEASE_S, Bounds
from sapphirelead.sched_unmet_claims import end_expired_claims, log_unmet_claims
from sapphirelead.sched_wait_log import log_long_waits, log_waiting_fills
from sapphirelead.sched_zones import EvacuatedZones

HEAD_RENEW_INTERVAL_S: Final = 0.5
"""Interval between renewals of the head row when there is nothing else to store; shorter at the
beginning of a term."""

MIN_ROUND_INTERVAL_S: Final = 0.012
"""Minimum time between two rounds; changes that arrive in between share a transaction."""

MAX_ROUND_INTERVAL_S: Final = 0.25
"""Maximum time between two rounds and minimum time between two reviews; bounds the delay of
timers."""

PLAN_BUDGET_S: Final = MAX_ROUND_BLOCKING_S / 2
"""Budget of a round for placement and reviews; the rest is for storing and sending."""

FINAL_COMMIT_TIMEOUT_S: Final = MIN_STORE_TIMEOUT_S
"""How long a resigning leader waits for its last transaction."""

HANDOVER_DELAY_S: Final = 1.0
"""How long a commit may be pending, or the reads of a load may fail, before the leader offers the
leadership to another entry."""

ISOLATION_TIMEOUT_S: Final = 1.5
"""A leader that has received nothing for this long resigns; spans three report intervals."""

KNOWN_AGENT_WINDOW_S: Final = 15.0
"""Agents that reported within this time are counted when checking for isolation."""

MIN_ACK_INTERVAL_S: Final = 0.3
"""Minimum time between two acknowledgements to an agent.  An earlier report is answered only if
orders are pending or too many reports are unanswered."""

MAX_UNANSWERED_REPORTS: Final = 1
"""Reports of an agent that may go unanswered; the agent slows its reporting when more are."""

LOAD_RETRY_DELAY_S: Final = 0.1

SendOrders = Callable[[str, Orders], bool]


class Leader:
    """One term of leadership, from acquiring the head row to losing it.

    :ivar serving: the stored state has been loaded and calls are accepted.
    :ivar parts: the optional parts of the scheduler.
    """

    head: Head
    serving: bool
    metrics: Metrics
    sched: Scheduler
    _table: Table
    _send: SendOrders
    _wake: asyncio.Event
    _resigned: bool
    _finishing: bool
    _config: QueueConfig
    _calls: LeaderCalls
    _advice: AdviceDispatcher
    _ended: asyncio.Event
    _idle: asyncio.Event
    _reviewed_at: float
    _surveyed_at: float
    _consolidation: Consolidation
    _journal: Journal
    _store_timeout: StoreTimeout
    _load: LoopLoad
    _scan_order: ScanOrder
    _decide_due_at: float
    _renewals: RenewalHolds
    _memory: LeaderMemory
    _memory_at: float
    _memory_version: int
    _memory_is_last: bool
    _read_at: float
    _load_failing: bool
    _zones: ZoneKnowledge
    parts: LeaderParts

    def __init__(
        self,
        bounds: Bounds,
        head: Head,
        table: Table,
        advice: AdviceService,
        send: SendOrders,
        metrics: Metrics | None = None,
        may_arrive: MayArrive = lambda _: False,
    ) -> None:
        """Begin a term of leadership.

        :param may_arrive: whether a submission of a job, sent before other calls for that job, may
            still arrive.
        """
        self.head = head
        self.serving = False
        self.metrics = metrics if metrics is not None else Metrics()
        self.sched = Scheduler(
            bounds,
            now(),
            CancelLatency(self.metrics, now),
            RestartLatency(self.metrics, now),
            head.prior,
            Quarantine(self.metrics),
            EndHistory(self.metrics),
        )
        self._renewals = RenewalHolds(head.renewals)
        self._table = table
        self._send = send
        self._wake = asyncio.Event()
        self._resigned = False
        self._finishing = False
        self._config = QueueConfig()
        self._calls = LeaderCalls(self, may_arrive)
        self._advice = AdviceDispatcher(self.sched, advice, self.metrics, self._wake.set)
        self._ended = asyncio.Event()
        self._idle = asyncio.Event()
        self._reviewed_at = 0.0
        self._surveyed_at = 0.0
        self._consolidation = Consolidation()
        self._journal = Journal()
        self._store_timeout = StoreTimeout()
        self._load = LoopLoad(self.metrics, now())
        self._scan_order = ScanOrder()
        self._decide_due_at = 0.0
        self._memory = LeaderMemory()
        self._memory_at = -math.inf
        self._memory_version = 0
        self._memory_is_last = False
        self._read_at = now()
        self._load_failing = False
        self.parts = LeaderParts(self.sched, self.metrics)
        self._zones = ZoneKnowledge(self.sched.fleet, bounds.evacuate_s)

    def set_config(self, config: QueueConfig) -> None:
        """Apply ``config`` to all further decisions."""
        self._config = config
        self.sched.policies = config.queues
        self.parts.set_config(config.parts)
        self._wake.set()

    def set_zones(self, zones: EvacuatedZones) -> None:
        """Apply a read of the evacuated zones, and tell the agents that it concerns."""
        for instance in self.sched.set_zones(zones):
            if instance.boot:
                self._answer(instance.agent, now(), 0)
        self._wake.set()

    def store_unavailable(self, at: float) -> bool:
        """Whether a commit or the load has waited long enough to hand the leadership over."""
        if self._load_failing:
            return at - self._read_at > HANDOVER_DELAY_S
        waiting = self.head.waiting_since
        return waiting > 0 and at - waiting > HANDOVER_DELAY_S

    def unconfirmed_s(self) -> float:
        """Return the time since the store last confirmed this leader."""
        return awake_now() - self.head.stored_at

    def commit_overdue(self, at: float) -> bool:
        """Whether the commit in flight has exceeded the timeout for submissions."""
        waiting = self.head.waiting_since
        return waiting > 0 and at - waiting > self._store_timeout.timeout_s

    @property
    def store_timeout_s(self) -> float:
        """Timeout of a submission that waits for the store."""
        return self._store_timeout.timeout_s

    @property
    def config_version(self) -> int:
        """Version of the current configuration."""
        return self._config.version

    @property
    def resigned(self) -> bool:
        """Whether the leadership has been resigned or lost."""
        return self._resigned

    def wake(self) -> None:
        """Start the next round without waiting for the interval to end."""
        self._wake.set()

    # Start and end of a term

    async def load(self) -> None:
        """Load all stored jobs; retries until the store answers."""
        began = now()
        specs, self._memory, part_rows = await asyncio.gather(
            self._scan(SPEC_PREFIX), self._read_memory(), self._read_part_rows()
        )
        snapshots = await self._scan(SNAPSHOT_PREFIX)
        rows = await self._scan(JOURNAL_PREFIX)
        self._journal, jobs = Journal.load(specs, snapshots, rows)
        for job in jobs.values():
            self.sched.load(job)
        # The row was stored with the replaced head row or before.
        replaced_at = min(now(), self.head.replaced_sent_by)
        self.sched.inherit(self._memory, replaced_at, self.head.led.before_s)
        self.parts.restore(part_rows, self.head.led.before_s)
        self.serving = not self._resigned
        self.head.led.begin(now())
        self._wake.set()
        log_event(
            "INFO",
            "state_loaded",
            epoch=self.head.epoch,
            jobs=len(self.sched.jobs),
            journal=self._journal.length,
            runs=len(self.sched.fleet.runs),
            took_s=now() - began,
        )

    async def _read_memory(self) -> LeaderMemory:
        while not self._resigned:
            found = await self._table.rows([MEMORY_KEY])
            self._record_read(isinstance(found, Ok))
            if isinstance(found, Ok):
                return LeaderMemory.decode(found.ok_value[0].value if found.ok_value else None)
            await asyncio.sleep(LOAD_RETRY_DELAY_S)
        return LeaderMemory()

    async def _read_part_rows(self) -> list[Row]:
        while self.parts.keys and not self._resigned:
            found = await self._table.rows(list(self.parts.keys))
            self._record_read(isinstance(found, Ok))
            if isinstance(found, Ok):
                return found.ok_value
            await asyncio.sleep(LOAD_RETRY_DELAY_S)
        return []

    async def _scan(self, prefix: str) -> list[Row]:
        found: list[Row] = []
        after = ""
        while not self._resigned:
            page = await self._table.scan(prefix, after, 500)
            self._record_read(isinstance(page, Ok))
            if isinstance(page, Err):
                await asyncio.sleep(LOAD_RETRY_DELAY_S)
                continue
            if not page.ok_value:
                break
            found.extend(page.ok_value)
            after = page.ok_value[-1].key
        return found

    def _record_read(self, answered: bool) -> None:
        """Record whether the store has answered a read of the load."""
        self._load_failing = not answered
        if answered:
            self._read_at = now()

    async def run(self) -> None:
        """Plan, store and send until the leadership is lost."""
        self._advice.start()
        try:
            while not self._resigned:
                await self._wait_for_work()
                if not await self._round():
                    return
                await asyncio.sleep(MIN_ROUND_INTERVAL_S)
        finally:
            self.resign()
            self._advice.stop()
            log_event("INFO", "lead_ended", epoch=self.head.epoch, resigned=self._resigned)

    async def _wait_for_work(self) -> None:
        if not self._wake.is_set():
            try:
                async with asyncio.timeout(min(MAX_ROUND_INTERVAL_S, self._renewal_due_in_s())):
                    await self._wake.wait()
            except TimeoutError:
                pass
        self._wake.clear()

    async def _round(self) -> bool:
        """Run one round; ``False`` if the leadership is lost."""
        at = now()
        with self._load.measure(Part.UPKEEP):
            self.sched.end_runs_of_lost_agents(at)
            end_expired_claims(self.sched, at)
            self.sched.evict_ended(wall_ms())
        if self._scan_order.truncated:
            if not await self._save():
                return False
            # Let answers go out before planning blocks the loop again.
            await asyncio.sleep(MIN_ROUND_INTERVAL_S)
        self._decide(now())
        if not await self._save():
            return False
        if not self.sched.has_pending_writes and not self._memory_is_last:
            self._idle.set()
        self._load.round_ended(self.sched, self._scan_order.waited_s)
        return True

    def _decide(self, at: float) -> None:
        """Review running work and plan pending work, within the time budget."""
        if at < self._decide_due_at:
            self._wake.set()
            return
        budget = Budget(now, at + PLAN_BUDGET_S)
        self._review(at, budget)
        self._log_survey(at)
        if not self._finishing and self._zones.is_current():
            with self._load.measure(Part.PLAN):
                self._scan_order.budget = budget
                self._advice.put(plan(self.sched, at, wall_ms(), self._scan_order))
                self.parts.after_plan(at, wall_ms(), self._scan_order)
        # Planning takes at most half of the loop's time.
        self._decide_due_at = 2 * now() - at
        if self._scan_order.truncated:
            self._wake.set()

    def _review(self, at: float, budget: Budget) -> None:
        if at - self._reviewed_at < MAX_ROUND_INTERVAL_S:
            return
        self._reviewed_at = at
        with self._load.measure(Part.REVIEW):
            review(self.sched, at, budget)
            empty_leaving_workers(self.sched, at)
            self._consolidation.review(self.sched, wanted_cpu(self.sched), at, budget)

    def _renewal_due_in_s(self) -> float:
        """Return the time until the head row is to be written without other changes."""
        sent_at = now() - self.unconfirmed_s()
        interval_s = self.head.led.store_interval_s(sent_at, HEAD_RENEW_INTERVAL_S)
        return max(0.0, interval_s - self.unconfirmed_s())

    async def _save(self) -> bool:
        """Commit pending changes, then answer and send; ``False`` if the leadership is lost."""
        due = self.sched.has_pending_writes or self._renewal_due_in_s() <= 0
        due = due or self._memory_is_last or self._has_urgent_memory(now())
        due = due or self._renewals.outdated(self.sched.fleet.instances.values(), now())
        if due and not await self._store():
            return False
        self._flush()
        return True

    async def _store(self) -> bool:
        at = now()
        with self._load.measure(Part.STORE):
            batch = self.sched.take_batch(wall_ms())
            writes = self._journal.writes(batch, self.sched.jobs)
            last = self._memory_is_last
            writes.extend(self._memory_writes(at))
            writes.extend(self.parts.writes(at, self.head.led.total_s(at), last))
            renewals = self._renewals.next_list(self.sched.fleet.instances.values(), at)
        end = await self.head.commit(writes, renewals)
        self._store_timeout.record_commit(now() - at)
        self.metrics.latency("commit_ms", (now() - at) * 1000)
        if end is HeadEnd.DEPOSED:
            return False
        with self._load.measure(Part.EFFECTS):
            for effect in batch.effects:
                effect()
            for agent in self._renewals.record_stored(renewals):
                self._answer(agent, now(), self.sched.fleet.instance(agent).report_number)
        self._calls.notify_changed()
        return True

    def _memory_writes(self, at: float) -> list[Write]:
        """Return the write of what a successor starts from, if it is due and has changed."""
        if not self._memory_due(at):
            return []
        self._memory_at = at
        self._memory_is_last = False
        self._memory_version = self.sched.memory_version
        memory = self.sched.memory(at, self.head.led.total_s(at))
        if memory.has_same_entries(self._memory):
            return []
        self._memory = memory
        return [memory.to_write()]

    def _memory_due(self, at: float) -> bool:
        interval_s = self.head.led.store_interval_s(self._memory_at, MIN_INTERVAL_S)
        passed = at - self._memory_at >= interval_s
        return passed or self._memory_is_last or self._has_urgent_memory(at)

    def _has_urgent_memory(self, at: float) -> bool:
        """Whether a cooldown or a move is to be stored, also if nothing else is."""
        changed = self.sched.memory_version != self._memory_version
        return changed and at - self._memory_at >= MIN_STORE_INTERVAL_S

    def _log_survey(self, at: float) -> None:
        if at - self._surveyed_at < SURVEY_INTERVAL_S:
            return
        self._surveyed_at = at
        with self._load.measure(Part.SURVEY):
            log_event("INFO", "fleet_seen", **asdict(survey(self.sched, at)))
            log_long_waits(self.sched, at)
            log_unmet_claims(self.sched, at)
            log_waiting_fills(self.sched, at)

    async def finish(self) -> None:
        """Stop starting runs and wait until all that a successor starts from is stored."""
        self._finishing = True
        self._memory_is_last = True
        self._wake.set()
        self._idle.clear()
        try:
            async with asyncio.timeout(FINAL_COMMIT_TIMEOUT_S):
                await self._idle.wait()
        except TimeoutError:
            log_event("INFO", "leaving_unsaved", in_flight=self.head.waiting_since > 0)

    @property
    def finishing(self) -> bool:
        """Whether new starts are suspended."""
        return self._finishing

    def resume_starts(self) -> None:
        """Resume starts after :meth:`finish`, when nobody took the offered leadership."""
        self._finishing = False
        self._memory_is_last = False
        self._wake.set()

    async def release(self) -> None:
        """Resign and release the head row, without a successor."""
        await self.finish()
        self.resign()
        try:
            async with asyncio.timeout(FINAL_COMMIT_TIMEOUT_S):
                await self.head.release()
        except TimeoutError:
            log_event("INFO", "lead_not_released", reason="the store has not answered")

    def resign(self) -> None:
        """Resign at once; the next leader resolves commits in flight by reading the store."""
        self._resigned = True
        self.serving = False
        self._wake.set()
        self._ended.set()
        self._calls.notify_changed()
        self.parts.close()

    def isolated(self, at: float) -> bool:
        """Whether most known agents have stopped reporting, as in a network partition."""
        known = [
            instance
            for instance in self.sched.fleet.instances.values()
            if instance.last_report_at and at - instance.last_report_at < KNOWN_AGENT_WINDOW_S
        ]
        responsive = sum(
            1 for instance in known if at - instance.last_report_at < ISOLATION_TIMEOUT_S
        )
        return len(known) > 1 and responsive * 2 < len(known)

    async def wait_ended(self) -> None:
        """Wait for the end of this term of leadership."""
        await self._ended.wait()

    # Agents

    def on_report(self, report: AgentReport) -> None:
        """Process an agent's report and answer it."""
        with self._load.measure(Part.REPORTS):
            self._handle_report(report)

    def _handle_report(self, report: AgentReport) -> None:
        at = now()
        joined = not self.sched.fleet.instance(report.agent).boot
        if not apply_report(self.sched, report, self.head.epoch, at):
            return
        instance = self.sched.fleet.instance(report.agent)
        held = not self._may_renew(instance)
        if self.sched.has_pending_writes or held or joined:
            self._wake.set()
        if at - instance.answered_at >= MIN_ACK_INTERVAL_S or report.agent in self.sched.outgoing:
            self._answer(report.agent, at, report.report_number)
        elif instance.report_number - instance.answered_report_number > MAX_UNANSWERED_REPORTS:
            self._answer(report.agent, at, 0)

    def _may_renew(self, instance: Instance) -> bool:
        """Return whether an agent's lease may be renewed and starts may be sent to it.

        An unconfirmed leader may have been replaced, and its successor relies on neither being done
        after that.
        """
        if self._resigned or self.unconfirmed_s() >= HEAD_LEASE_S or instance.leaving:
            return False
        return self._renewals.allows_renewal(instance.agent)

    def _answer(self, agent: str, at: float, report_number: int) -> None:
        """Send pending orders to ``agent``; starts stay queued while it may not get any.

        :param report_number: number of the report to acknowledge, which renews the agent's lease; 0
            for none.
        """
        instance = self.sched.fleet.instance(agent)
        renews = self._may_renew(instance)
        if not renews:
            self._renewals.record_declined(agent)
        instance.orders_sent += 1
        may_start = renews and self._zones.is_current()
        # A process that has not met the worker must not be able to renew the lease of its runs.
        renewed_number = report_number if renews and instance.worker is not None else 0
        starts, stops, stored = self.sched.orders_for(agent, at, may_start=may_start)
        orders = Orders(
            self.head.epoch,
            self.head.leader,
            instance.boot,
            renewed_number,
            instance.report_number,
            reported_life(instance.worker),
            starts,
            stops,
            stored,
            instance.entries_version,
            interference=(
                self.sched.interference.pair_weights_on(instance) if report_number or starts else []
            ),
            number=instance.orders_sent,
            zone=self._zones.notice(instance),
        )
        if renewed_number and at >= instance.renewed_at:
            instance.renewed_at = at
            instance.renewal_source = RenewalSource.OWN
        if not self._send(agent, orders):
            instance.unsent_at = at
            log_event("INFO", "orders_not_sent", agent=agent, starts=len(starts), stops=len(stops))
            return
        instance.answered_report_number = orders.based_on_report
        if orders.report_number:
            instance.answered_at = at
        for start in starts:
            log_event("INFO", "start_sent", task=start.task, attempt=start.attempt, agent=agent)

    def _flush(self) -> None:
        at = now()
        with self._load.measure(Part.SEND):
            may_start = self._zones.is_current()
            for agent, queued in list(self.sched.outgoing.items()):
                instance = self.sched.fleet.instance(agent)
                if queued.has_unrestricted_orders or (may_start and self._may_renew(instance)):
                    self._answer(agent, at, 0)

    # Callers

    async def call(self, call: Call, until: float) -> Reply:
        """Execute a call; see :class:`LeaderCalls`."""
        return await self._calls.call(call, until)
