"""The leader's shell: feeds the scheduler, stores its batches, sends its orders.

One loop plans, stores and carries out effects, in this order, so that nothing is sent or answered
before it is stored.  The time for which a round may plan is limited; while that is not enough, what
waits to be stored and sent goes first in each round.  While the store is away the loop waits for
it; reports still come in and what needs no store (stops, the agents' leases for a while) goes on.
"""

import asyncio
from collections.abc import Callable
from dataclasses import asdict
from typing import Final

from result import Err

from sapphirelead.clock import awake_now, now, wall_ms
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_advice import AdviceDesk
from sapphirelead.node_leader_calls import LeaderCalls, MayCome
from sapphirelead.node_leader_load import HELD_S, LoopLoad, Part
from sapphirelead.node_messages import (
    AgentReport,
    Call,
    Orders,
    Reply,
)
from sapphirelead.node_patience import LEAST_S, StorePatience
from sapphirelead.node_ports import AdviceService
from sapphirelead.ports import Row, Table
from sapphirelead.sched_cancels import CancelLatency
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_consolidate import Consolidation
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_evacuation import evacuate
from sapphirelead.sched_head import Head, HeadEnd
from sapphirelead.sched_journal import JOURNAL_PREFIX, SNAPSHOT_PREFIX, SPEC_PREFIX, Journal
from sapphirelead.sched_plan_turn import Budget, PlanTurn
from sapphirelead.sched_planner import plan, wanted_cpu
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_survey import PERIOD_S, survey
from sapphirelead.sched_timing import HEAD_LEASE_S, Bounds

RENEW_S: Final = 0.5
"""Time between two renewals of the head row while there is nothing else to store."""

ROUND_S: Final = 0.012
"""Least time between two rounds of the loop; what arrives meanwhile is stored together.  About the
time of one transaction."""

TICK_S: Final = 0.25
"""Longest time between two rounds: ends of pauses, due occurrences and lost agents are noticed."""

PLAN_S: Final = HELD_S / 2
"""Longest time for which a round looks for places and reviews runs; the other half of what a round
may hold the loop is for storing and sending."""

STORE_PATIENCE_S: Final = LEAST_S
"""How long a leaving leader waits for its last transaction."""

HANDOVER_AFTER_S: Final = 1.0
"""How long the leader tries to reach the store before it looks for an entry that can."""

ALONE_S: Final = 1.5
"""A leader that has heard nobody for so long, three reports, gives the lead up."""

LATELY_S: Final = 15.0
"""Agents heard of within this time count as known."""

ANSWER_S: Final = 0.3
"""A report that comes sooner after the agent's newest acknowledgement renews nothing, and is not
answered unless orders wait or others lie unanswered: it tells of starts or ends, and the word that
they are stored follows."""

UNANSWERED_MOST: Final = 1
"""Reports of an agent left without an answer.  The agent takes an unanswered report for unread and
reports less often."""

LOAD_PAUSE_S: Final = 0.1

SendOrders = Callable[[str, Orders], bool]


class Leader:
    """One leadership, from the taking of the head row to its loss.

    :ivar serving: the stored state has been read and calls are taken.
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
    _advice: AdviceDesk
    _over: asyncio.Event
    _idle: asyncio.Event
    _reviewed_at: float
    _surveyed_at: float
    _consolidation: Consolidation
    _journal: Journal
    _patience: StorePatience
    _load: LoopLoad
    _turn: PlanTurn
    _decide_due: float

    def __init__(
        self,
        bounds: Bounds,
        head: Head,
        table: Table,
        advice: AdviceService,
        send: SendOrders,
        metrics: Metrics | None = None,
        may_come: MayCome = lambda _: False,
    ) -> None:
        """Begin a leadership.

        :param may_come: whether a submission of a job may still arrive that came before other
            calls for it.
        """
        self.head = head
        self.serving = False
        self.metrics = metrics if metrics is not None else Metrics()
        self.sched = Scheduler(bounds, now(), CancelLatency(self.metrics, now))
        self._table = table
        self._send = send
        self._wake = asyncio.Event()
        self._resigned = False
        self._finishing = False
        self._config = QueueConfig()
        self._calls = LeaderCalls(self, may_come)
        self._advice = AdviceDesk(self.sched, advice, self.metrics, self._wake.set)
        self._over = asyncio.Event()
        self._idle = asyncio.Event()
        self._reviewed_at = 0.0
        self._surveyed_at = 0.0
        self._consolidation = Consolidation()
        self._journal = Journal()
        self._patience = StorePatience()
        self._load = LoopLoad(self.metrics, now())
        self._turn = PlanTurn()
        self._decide_due = 0.0

    def set_config(self, config: QueueConfig) -> None:
        """Decide by ``config`` from now on."""
        self._config = config
        self.sched.policies = config.queues
        self._wake.set()

    def store_away(self, at: float) -> bool:
        """Whether the store has been silent long enough to look for another leader."""
        waiting = self.head.waiting_since
        return waiting > 0 and at - waiting > HANDOVER_AFTER_S

    def unconfirmed_s(self) -> float:
        """Return how long ago the store last confirmed this leader."""
        return awake_now() - self.head.stored_at

    def store_stuck(self, at: float) -> bool:
        """Whether the transaction in flight has waited longer than a caller should."""
        waiting = self.head.waiting_since
        return waiting > 0 and at - waiting > self._patience.limit_s

    @property
    def store_patience_s(self) -> float:
        """How long a submission waits for the store."""
        return self._patience.limit_s

    @property
    def config_version(self) -> int:
        """Version of the configuration in force."""
        return self._config.version

    @property
    def resigned(self) -> bool:
        """Whether the lead has been given up or lost."""
        return self._resigned

    def wake(self) -> None:
        """Let the next round begin: there is something to store."""
        self._wake.set()

    # Start and end of a leadership

    async def load(self) -> None:
        """Read every stored job; waits for the store."""
        began = now()
        specs = await self._scan(SPEC_PREFIX)
        snapshots = await self._scan(SNAPSHOT_PREFIX)
        rows = await self._scan(JOURNAL_PREFIX)
        self._journal, jobs = Journal.load(specs, snapshots, rows)
        for job in jobs.values():
            self.sched.load(job)
        self.serving = not self._resigned
        log_event(
            "INFO",
            "state_loaded",
            epoch=self.head.epoch,
            jobs=len(self.sched.jobs),
            journal=self._journal.length,
            runs=len(self.sched.fleet.runs),
            took_s=now() - began,
        )

    async def _scan(self, prefix: str) -> list[Row]:
        found: list[Row] = []
        after = ""
        while not self._resigned:
            page = await self._table.scan(prefix, after, 500)
            if isinstance(page, Err):
                await asyncio.sleep(LOAD_PAUSE_S)
                continue
            if not page.ok_value:
                break
            found.extend(page.ok_value)
            after = page.ok_value[-1].key
        return found

    async def run(self) -> None:
        """Plan, store and send until the lead is lost."""
        self._advice.start()
        try:
            while not self._resigned:
                await self._wait_for_work()
                if not await self._round():
                    return
                await asyncio.sleep(ROUND_S)
        finally:
            self.resign()
            self._advice.stop()
            log_event("INFO", "lead_ended", epoch=self.head.epoch, resigned=self._resigned)

    async def _wait_for_work(self) -> None:
        if not self._wake.is_set():
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
        self._wake.clear()

    async def _round(self) -> bool:
        """Do one round; ``False`` where the lead is lost."""
        at = now()
        with self._load.held(Part.UPKEEP):
            self.sched.end_runs_of_lost_agents(at)
            self.sched.evict_ended(wall_ms())
        if self._turn.behind:
            if not await self._save():
                return False
            # Answers go out before planning holds the loop again.
            await asyncio.sleep(ROUND_S)
        self._decide(now())
        if not await self._save():
            return False
        if not self.sched.has_pending_writes:
            self._idle.set()
        self._load.round_ended(self.sched, self._turn.waited_s)
        return True

    def _decide(self, at: float) -> None:
        """Review what runs and plan what waits, for a limited time."""
        if at < self._decide_due:
            self._wake.set()
            return
        budget = Budget(now, at + PLAN_S)
        self._review(at, budget)
        self._log_survey(at)
        if not self._finishing:
            with self._load.held(Part.PLAN):
                self._turn.budget = budget
                self._advice.put(plan(self.sched, at, wall_ms(), self._turn))
        # Others get the loop for as long as it was held.
        self._decide_due = 2 * now() - at
        if self._turn.behind:
            self._wake.set()

    def _review(self, at: float, budget: Budget) -> None:
        if at - self._reviewed_at < TICK_S:
            return
        self._reviewed_at = at
        with self._load.held(Part.REVIEW):
            review(self.sched, at, budget)
            evacuate(self.sched, at)
            self._consolidation.review(self.sched, wanted_cpu(self.sched), at, budget)

    async def _save(self) -> bool:
        """Store what waits, then answer and send; ``False`` where the lead is lost."""
        due = self.sched.has_pending_writes or self.unconfirmed_s() >= RENEW_S
        if due and not await self._store():
            return False
        self._flush()
        return True

    async def _store(self) -> bool:
        at = now()
        with self._load.held(Part.STORE):
            batch = self.sched.take_batch(wall_ms())
            writes = self._journal.writes(batch, self.sched.jobs)
        end = await self.head.commit(writes)
        self._patience.note(now() - at)
        self.metrics.latency("commit_ms", (now() - at) * 1000)
        if end is HeadEnd.DEPOSED:
            return False
        with self._load.held(Part.EFFECTS):
            for effect in batch.effects:
                effect()
        self._calls.changed()
        return True

    def _log_survey(self, at: float) -> None:
        if at - self._surveyed_at < PERIOD_S:
            return
        self._surveyed_at = at
        with self._load.held(Part.SURVEY):
            log_event("INFO", "fleet_seen", **asdict(survey(self.sched, at)))

    async def finish(self) -> None:
        """Store what has been begun; start nothing more."""
        self._finishing = True
        self._wake.set()
        self._idle.clear()
        try:
            async with asyncio.timeout(STORE_PATIENCE_S):
                await self._idle.wait()
        except TimeoutError:
            log_event("INFO", "leaving_unsaved", in_flight=self.head.waiting_since > 0)

    @property
    def finishing(self) -> bool:
        """Whether new starts are held back."""
        return self._finishing

    def carry_on(self) -> None:
        """Start runs again after :meth:`finish`: the entry that was offered the lead is silent."""
        self._finishing = False
        self._wake.set()

    async def release(self) -> None:
        """Give the lead up without a successor."""
        await self.finish()
        self.resign()
        try:
            async with asyncio.timeout(STORE_PATIENCE_S):
                await self.head.release()
        except TimeoutError:
            log_event("INFO", "lead_not_released", reason="the store has not answered")

    def resign(self) -> None:
        """Give the lead up at once; what is in flight is settled by the next leader's reading."""
        self._resigned = True
        self.serving = False
        self._wake.set()
        self._over.set()
        self._calls.changed()

    def alone(self, at: float) -> bool:
        """Whether most agents that were there are silent, as after a cut of this machine."""
        known = [
            instance
            for instance in self.sched.fleet.instances.values()
            if instance.heard_at and at - instance.heard_at < LATELY_S
        ]
        heard = sum(1 for instance in known if at - instance.heard_at < ALONE_S)
        return len(known) > 1 and heard * 2 < len(known)

    async def over(self) -> None:
        """Wait for the end of this leadership."""
        await self._over.wait()

    # Agents

    def on_report(self, report: AgentReport) -> None:
        """Take an agent's report and answer it."""
        with self._load.held(Part.REPORTS):
            self._take(report)

    def _take(self, report: AgentReport) -> None:
        at = now()
        if not apply_report(self.sched, report, self.head.epoch, at):
            return
        if self.sched.has_pending_writes:
            self._wake.set()
        instance = self.sched.fleet.instance(report.agent)
        if at - instance.answered_at >= ANSWER_S or report.agent in self.sched.outgoing:
            self._answer(report.agent, at, report.beat)
        elif instance.beat - instance.answered_beat > UNANSWERED_MOST:
            self._answer(report.agent, at, 0)

    def _answer(self, agent: str, at: float, beat: int) -> None:
        """Send what waits for ``agent``.

        :param beat: report to acknowledge, which renews the agent's lease; 0 for none.
        """
        instance = self.sched.fleet.instance(agent)
        # A leader that the store has not confirmed for so long may have been replaced; its
        # successor counts on no lease being renewed from then on.
        renews = self.unconfirmed_s() < HEAD_LEASE_S and not self._resigned
        instance.orders_sent += 1
        starts, stops, stored = self.sched.orders_for(agent, at)
        orders = Orders(
            self.head.epoch,
            self.head.leader,
            instance.boot,
            beat if renews else 0,
            instance.beat,
            instance.worker.worker if instance.worker else "",
            starts,
            stops,
            stored,
            instance.entries_version,
            press=self.sched.press.press_on(instance) if beat or starts else [],
            number=instance.orders_sent,
        )
        if renews and beat:
            instance.renewed_at = at
        if not self._send(agent, orders):
            instance.unsent_at = at
            log_event("INFO", "orders_not_sent", agent=agent, starts=len(starts), stops=len(stops))
            return
        instance.answered_beat = orders.after_beat
        if orders.beat:
            instance.answered_at = at
        for start in starts:
            log_event("INFO", "start_sent", task=start.task, attempt=start.attempt, agent=agent)

    def _flush(self) -> None:
        at = now()
        with self._load.held(Part.SEND):
            for agent in list(self.sched.outgoing):
                self._answer(agent, at, 0)

    # Callers

    async def call(self, call: Call, until: float) -> Reply:
        """Carry out a call; see :class:`LeaderCalls`."""
        return await self._calls.call(call, until)
