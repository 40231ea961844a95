"""The leader's shell: feeds the scheduler, stores its batches, sends its orders.

One loop plans, stores and carries out effects, in this order, so that nothing is sent or answered
before it is stored.  While the store is away the loop waits for it; reports still come in and what
needs no store (stops, the agents' leases for a while) goes on.
"""

import asyncio
from collections.abc import Callable
from dataclasses import asdict
from typing import Any, Final

import msgspec
from result import Err

from sapphirelead.background import spawn
from sapphirelead.clock import awake_now, now, wall_ms
from sapphirelead.errors import Failure
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_election import WATCH_S
from sapphirelead.node_messages import (
    AgentReport,
    Call,
    CallKind,
    Orders,
    Reply,
    ReplyKind,
)
from sapphirelead.node_patience import LEAST_S, StorePatience
from sapphirelead.node_ports import AdviceService
from sapphirelead.ports import Row, Table
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_consolidate import Consolidation
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_evacuation import evacuate
from sapphirelead.sched_head import Head, HeadEnd
from sapphirelead.sched_job import decode_spec
from sapphirelead.sched_journal import JOURNAL_PREFIX, SNAPSHOT_PREFIX, SPEC_PREFIX, Journal
from sapphirelead.sched_planner import AdviceAsk, plan, wanted_cpu
from sapphirelead.sched_reports import take_report
from sapphirelead.sched_spec import same_content
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

STORE_PATIENCE_S: Final = LEAST_S
"""How long a leaving leader waits for its last transaction."""

HANDOVER_AFTER_S: Final = 1.0
"""How long the leader tries to reach the store before it looks for an entry that can."""

AWAY_RETRY_S: Final = 2.0
"""When a refused caller may come back while the store is away; outages last for seconds."""

CONFIRM_MARGIN_S: Final = 0.1
"""Kept from the watch of the others, for the way of the confirmation."""

ALONE_S: Final = 1.5
"""A leader that has heard nobody for so long, three reports, gives the lead up."""

LATELY_S: Final = 15.0
"""Agents heard of within this time count as known."""

ANSWER_S: Final = 0.3
"""A report that comes sooner after the agent's newest acknowledgement is not answered unless orders
wait: it tells of starts or ends, and the word that they are stored follows.  The regular reports,
0.45 s apart, renew the lease."""

ADVICE_AT_ONCE: Final = 2
"""Open questions to the advice service, which answers one after the other."""

REFUSED_KEPT: Final = 4_000
"""Submissions remembered as refused: an entry tries one again for 3 s, and a fleet of 8 entries was
asked for 20 a second."""

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
    _advice: AdviceService
    _send: SendOrders
    _wake: asyncio.Event
    _resigned: bool
    _finishing: bool
    _config: QueueConfig
    _asks: "asyncio.PriorityQueue[tuple[float, int, AdviceAsk]]"
    _ask_number: int
    _helpers: list["asyncio.Task[None]"]
    _over: asyncio.Event
    _idle: asyncio.Event
    _reviewed_at: float
    _surveyed_at: float
    _consolidation: Consolidation
    _journal: Journal
    _refused: dict[int, None]
    _patience: StorePatience

    def __init__(
        self, bounds: Bounds, head: Head, table: Table, advice: AdviceService, send: SendOrders
    ) -> None:
        self.head = head
        self.serving = False
        self.metrics = Metrics()
        self.sched = Scheduler(bounds, now())
        self._table = table
        self._advice = advice
        self._send = send
        self._wake = asyncio.Event()
        self._resigned = False
        self._finishing = False
        self._config = QueueConfig()
        self._asks = asyncio.PriorityQueue()
        self._ask_number = 0
        self._helpers = []
        self._over = asyncio.Event()
        self._idle = asyncio.Event()
        self._reviewed_at = 0.0
        self._surveyed_at = 0.0
        self._consolidation = Consolidation()
        self._journal = Journal()
        self._refused = {}
        self._patience = StorePatience()

    def set_config(self, config: QueueConfig) -> None:
        """Decide by ``config`` from now on."""
        self._config = config
        self.sched.policies = config.queues
        self._wake.set()

    def store_away(self, at: float) -> bool:
        """Whether the store has been silent long enough to look for another leader."""
        waiting = self.head.waiting_since
        return waiting > 0 and at - waiting > HANDOVER_AFTER_S

    def _unconfirmed_s(self) -> float:
        """Return how long ago the store last confirmed this leader."""
        return awake_now() - self.head.stored_at

    def _store_stuck(self, at: float) -> bool:
        waiting = self.head.waiting_since
        return waiting > 0 and at - waiting > self._patience.limit_s

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
        self._helpers = [
            spawn(self._ask_advice(), f"advice-{number}") for number in range(ADVICE_AT_ONCE)
        ]
        try:
            while not self._resigned:
                await self._wait_for_work()
                if not await self._round():
                    return
                await asyncio.sleep(ROUND_S)
        finally:
            self.resign()
            for task in self._helpers:
                task.cancel()
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
        self.sched.lose_silent(at)
        self.sched.forget_ended(wall_ms())
        if at - self._reviewed_at >= TICK_S:
            self._reviewed_at = at
            review(self.sched, at)
            evacuate(self.sched, at)
            self._consolidation.review(self.sched, wanted_cpu(self.sched), at)
        self._log_survey(at)
        if not self._finishing:
            for ask in plan(self.sched, at, wall_ms()):
                self._ask_number += 1
                self._asks.put_nowait((float(ask.policy.priority), self._ask_number, ask))
        if self.sched.unsaved or self._unconfirmed_s() >= RENEW_S:
            batch = self.sched.take_batch(wall_ms())
            end = await self.head.commit(self._journal.writes(batch, self.sched.jobs))
            self._patience.note(now() - at)
            self.metrics.latency("commit_ms", (now() - at) * 1000)
            if end is HeadEnd.DEPOSED:
                return False
            for effect in batch.effects:
                effect()
        self._flush()
        if not self.sched.unsaved:
            self._idle.set()
        return True

    def _log_survey(self, at: float) -> None:
        if at - self._surveyed_at >= PERIOD_S:
            self._surveyed_at = at
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
        at = now()
        if not take_report(self.sched, report, self.head.epoch, at):
            return
        if self.sched.unsaved:
            self._wake.set()
        instance = self.sched.fleet.instance(report.agent)
        if at - instance.answered_at >= ANSWER_S or report.agent in self.sched.outgoing:
            self._answer(report.agent, at, report.beat)

    def _answer(self, agent: str, at: float, beat: int) -> None:
        """Send what waits for ``agent``.

        :param beat: report to acknowledge, which renews the agent's lease; 0 for none.
        """
        instance = self.sched.fleet.instance(agent)
        # A leader that the store has not confirmed for so long may have been replaced; its
        # successor counts on no lease being renewed from then on.
        renews = self._unconfirmed_s() < HEAD_LEASE_S and not self._resigned
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
        )
        if renews and beat:
            instance.renewed_at = at
        if not self._send(agent, orders):
            log_event("INFO", "orders_not_sent", agent=agent, starts=len(starts), stops=len(stops))
            return
        if orders.beat:
            instance.answered_at = at
        for start in starts:
            log_event("INFO", "start_sent", task=start.task, attempt=start.attempt, agent=agent)

    def _flush(self) -> None:
        at = now()
        for agent in list(self.sched.outgoing):
            self._answer(agent, at, 0)

    # Callers

    async def call(self, call: Call, until: float) -> Reply:
        """Carry out a call."""
        if not self.serving:
            return Reply(call.number, ReplyKind.NOT_LEADER)
        match call.kind:
            case CallKind.SUBMIT:
                return await self._submit(call, until)
            case CallKind.CANCEL:
                return await self._cancel(call, until)
            case CallKind.STATE:
                return await self._state(call, until)
            case CallKind.WAITING:
                return Reply(
                    call.number,
                    ReplyKind.OK,
                    waiting=self.sched.waiting(call.queue),
                    config_version=self._config.version,
                )

    def _reply(
        self, call: Call, kind: ReplyKind, state: str = "", detail: str = "", retry_s: float = 0.0
    ) -> Reply:
        return Reply(
            call.number,
            kind,
            state,
            retry_after_s=retry_s,
            detail=detail,
            config_version=self._config.version,
        )

    async def _state(self, call: Call, until: float) -> Reply:
        state = self.sched.state(call.job_id)
        if state is not None:
            return self._reply(call, ReplyKind.OK, state)
        # Another entry may lead by now and have accepted the job.  Nobody takes the lead from a
        # leader that the store has confirmed within the watch, so a fresh confirmation is waited
        # for before a job is called absent.
        while self._unconfirmed_s() >= WATCH_S - CONFIRM_MARGIN_S and now() < until:
            if self._resigned:
                return self._reply(call, ReplyKind.NOT_LEADER)
            await asyncio.sleep(ROUND_S)
        if self._unconfirmed_s() >= WATCH_S - CONFIRM_MARGIN_S:
            return self._reply(
                call, ReplyKind.NOT_RUN, detail="the store is away", retry_s=AWAY_RETRY_S
            )
        if self.sched.state(call.job_id) is None:
            return self._reply(call, ReplyKind.ABSENT)
        return self._reply(call, ReplyKind.OK, self.sched.state(call.job_id) or "")

    async def _submit(self, call: Call, until: float) -> Reply:
        if call.number in self._refused or (
            not self.sched.knows(call.job_id) and self._store_stuck(now())
        ):
            self._note_refused(call)
            return self._reply(
                call, ReplyKind.NOT_RUN, detail="the store is away", retry_s=AWAY_RETRY_S
            )
        spec = decode_spec(call.job)
        known = self.sched.jobs.get(spec.job_id)
        other = known is not None and not same_content(known.spec, spec)
        ended: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()

        def answer(kind: ReplyKind, text: str) -> None:
            if not ended.done():
                ok = kind is ReplyKind.OK
                if not ok:
                    self._note_refused(call)
                ended.set_result(
                    self._reply(
                        call,
                        kind,
                        text if ok else "",
                        "" if ok else text,
                        0 if ok else AWAY_RETRY_S,
                    )
                )

        self.sched.submit(spec, answer)
        self._wake.set()
        await asyncio.wait({ended}, timeout=self._patience.limit_s)
        if not ended.done() and self.sched.withdraw(call.job_id):
            log_event("INFO", "submission_withdrawn", job=call.job_id, reason="store_away")
        reply = await self._outcome(call, ended, until)
        return msgspec.structs.replace(reply, other=True) if other else reply

    def _note_refused(self, call: Call) -> None:
        """Remember that a submission has been refused, for tries of it that are still on their way.

        An entry that gets no answer within 0.4 s asks again.  Where a leader answered the first try
        late with "not run" and took a later one, a job ran whose caller had been refused.
        """
        self._refused[call.number] = None
        if len(self._refused) > REFUSED_KEPT:
            del self._refused[next(iter(self._refused))]

    async def _cancel(self, call: Call, until: float) -> Reply:
        if self.sched.state(call.job_id) is None:
            return self._reply(call, ReplyKind.ABSENT)
        ended: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()

        def answer(kind: ReplyKind, state: str) -> None:
            if not ended.done():
                ended.set_result(self._reply(call, kind, state))

        self.sched.cancel(call.job_id, answer)
        self._wake.set()
        return await self._outcome(call, ended, until)

    async def _outcome(self, call: Call, ended: "asyncio.Future[Reply]", until: float) -> Reply:
        """Wait for the end of a call, the end of this leadership or the caller's deadline."""
        over = asyncio.create_task(self._over.wait())
        timeout = max(until - now(), 0.0)
        either: set[asyncio.Future[Any]] = {ended, over}
        await asyncio.wait(either, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
        over.cancel()
        if ended.done():
            return ended.result()
        if self._resigned:
            # The next leader knows what was stored; the call goes to it again.
            return self._reply(call, ReplyKind.LEAD_LOST)
        return self._reply(
            call, ReplyKind.UNKNOWN, detail="the store has not answered yet", retry_s=AWAY_RETRY_S
        )

    # Advice

    async def _ask_advice(self) -> None:
        while True:
            _, _, ask = await self._asks.get()
            job = self.sched.jobs.get(ask.key[0])
            policy = ask.policy.advice
            if job is None or not job.open or policy is None:
                continue
            name = f"{ask.key[0]}.{ask.key[1]}.{ask.key[2]}"
            began = now()
            found = await self._advice.ask(name, ask.workers, policy)
            self.metrics.latency("advice_ms", (now() - began) * 1000)
            if isinstance(found, Err):
                await self._advice_failed(ask, found.err_value)
                continue
            tickets = found.ok_value.tickets
            log_event("INFO", "advice", step=name, asked=len(ask.workers), good=len(tickets))
            self.sched.advice.answered(ask.key, tickets, began + policy.valid_ms / 1000)
            self._wake.set()

    async def _advice_failed(self, ask: AdviceAsk, failure: Failure) -> None:
        log_event("WARNING", "advice_failed", step=ask.key, reason=str(failure))
        await asyncio.sleep(LOAD_PAUSE_S)
        self.sched.advice.unanswered(ask.key, ask.workers)
        self._wake.set()
