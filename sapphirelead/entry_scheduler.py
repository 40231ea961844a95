"""Schedules the durable jobs of the shards that one entry owns.

Each tick the queued jobs are put in order (:mod:`sapphirelead.policy_order`), each is given an
instance (:mod:`sapphirelead.policy_placement`) and offered to its agent.  An accepted offer is
followed by the claim, committed under the conditions that the job's row is as it was read and that
the agent's run is registered and not fenced; only then is the agent told to start.

What can go wrong in between is left to :class:`~sapphirelead.entry_reconcile.Reconciler`: a claim
whose start was lost, a holder that is gone, a restarted agent.
"""

import asyncio
import secrets
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Final, TypedDict

from result import Err, Ok

from sapphirelead.clock import now
from sapphirelead.entry_job_board import JobBoard
from sapphirelead.entry_job_rows import JobRows, StoredJob, shard_of
from sapphirelead.entry_lease import LeaseKeeper
from sapphirelead.entry_moves import JobMoves, log_move
from sapphirelead.entry_ports import ConfigService, InstanceView, Lane, Links, Members, Stamp
from sapphirelead.entry_shards import ShardView, owner_of
from sapphirelead.entry_table import EntryTable
from sapphirelead.errors import Code
from sapphirelead.logs import log_event
from sapphirelead.model_config import Config, Then
from sapphirelead.model_job import Holder, Job, JobState
from sapphirelead.model_resources import NOTHING, Resources
from sapphirelead.policy_order import QueuedJob, TeamShare, order
from sapphirelead.policy_placement import (
    InstanceRecord,
    Wanted,
    could_ever_run,
    place,
    place_by_eviction,
    total_capacity,
)
from sapphirelead.policy_rules import RuleSet, Situation
from sapphirelead.wire_messages import (
    Accepted,
    Amount,
    Completed,
    Nudge,
    Offer,
    Refused,
    Start,
    Started,
)

ADOPTION: Final = "adoption"
TICK_S: Final = 0.25
SCAN_S: Final = 5.0
OFFER_TIMEOUT_S: Final = 1.0
URGENT_TIMEOUT_S: Final = 2.5
OFFERS_PER_TICK: Final = 200
OFFERS_OPEN: Final = 400
IMPOSSIBLE_AFTER_S: Final = 30.0
ROW_CHECK_S: Final = 2.0
RUN_TIME_WEIGHT: Final = 0.2


class Head(TypedDict):
    """Fields that every message carries."""

    sender: str
    incarnation: str
    config_version: int


@dataclass(slots=True)
class _Confirmed:
    """A run of an agent said that it runs the claim, since ``started``."""

    epoch: int
    incarnation: str
    started: float
    at: float


class Scheduler:
    """Offers, claims and starts the jobs of this entry's shards."""

    shards: ShardView
    confirmed: dict[str, _Confirmed]
    slowdowns: dict[tuple[str, str], float]
    _stamp: Stamp
    _table: EntryTable
    _rows: JobRows
    _board: JobBoard
    _moves: JobMoves
    _leases: LeaseKeeper
    _members: Members
    _links: Links
    _config: ConfigService
    _rules: RuleSet
    _records: dict[str, InstanceRecord]
    _offers: dict[str, "asyncio.Future[bool]"]
    _placing: dict[str, "asyncio.Task[None]"]
    _run_times: dict[str, float]
    _wake: asyncio.Event
    _tasks: "list[asyncio.Task[None]]"
    _side: "set[asyncio.Task[None]]"

    def __init__(
        self,
        stamp: Stamp,
        table: EntryTable,
        rows: JobRows,
        board: JobBoard,
        moves: JobMoves,
        leases: LeaseKeeper,
        members: Members,
        links: Links,
        config: ConfigService,
    ) -> None:
        self.shards = ShardView(rows.shards)
        self.confirmed = {}
        self.slowdowns = {}
        self._stamp = stamp
        self._table = table
        self._rows = rows
        self._board = board
        self._moves = moves
        self._leases = leases
        self._members = members
        self._links = links
        self._config = config
        self._rules = RuleSet.from_config(config.current.document)
        self._records = {}
        self._offers = {}
        self._placing = {}
        self._run_times = {}
        self._wake = asyncio.Event()
        self._tasks = []
        self._side = set()
        config.on_change(self._on_config)
        board.listen(self._on_move)
        links.on(Accepted, self._on_accepted)
        links.on(Refused, self._on_refused)
        links.on(Started, self._on_started)
        links.on(Completed, self._on_completed)
        links.on(Nudge, self._on_nudge)

    def start(self) -> None:
        """Start scheduling."""
        self._tasks = [
            asyncio.create_task(self._dispatch_loop(), name="dispatch"),
            asyncio.create_task(self._scan_loop(), name="scan"),
        ]

    async def stop(self) -> None:
        """Offer nothing more; let claims in progress reach their start."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        placing = list(self._placing.values())
        if placing:
            _, late = await asyncio.wait(placing, timeout=2 * OFFER_TIMEOUT_S)
            for task in late:
                task.cancel()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a short piece of work beside the loops."""
        task = asyncio.create_task(work)
        self._side.add(task)
        task.add_done_callback(self._side.discard)

    async def _dispatch_loop(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self._wake.wait(), TICK_S)
                # Jobs of one burst are ordered against each other rather than by arrival.
                await asyncio.sleep(0.005)
            except TimeoutError:
                pass
            self._wake.clear()
            self._dispatch()

    async def _scan_loop(self) -> None:
        scanned: dict[int, float] = {}
        while True:
            gained = self.shards.set_live(self._stamp.sender, self._leases.live_entries)
            for shard in gained:
                scanned.pop(shard, None)
            for shard in sorted(self.shards.owned):
                if now() - scanned.get(shard, -SCAN_S) >= SCAN_S and await self._scan(shard):
                    scanned[shard] = now()
            await asyncio.sleep(TICK_S)

    async def _scan(self, shard: int) -> bool:
        started = now()
        found = await self._rows.scan_open(shard)
        if isinstance(found, Err):
            return False
        self.shards.replace_shard(shard, found.ok_value, started)
        self._wake.set()
        return True

    def _dispatch(self) -> None:
        """Offer what can be offered now."""
        views = self._members.live()
        self._leases.usage = _encode_usage(self._own_usage())
        if not views or not self._table.up:
            return
        self._forget_offers(views)
        at = now()
        queued = [
            QueuedJob(stored.job, self.shards.since.get(key, at), self._expected_s(stored.job))
            for key, stored in self.shards.jobs.items()
            if stored.job.state is JobState.QUEUED and key not in self._placing
        ]
        if not queued:
            return
        room = min(OFFERS_PER_TICK, OFFERS_OPEN - len(self._placing))
        total = total_capacity(views)
        for item in order(queued, self._used(), self._team_shares(), total, at, room):
            self._offer(item, views, at)

    def _offer(self, item: QueuedJob, views: list[InstanceView], at: float) -> None:
        job = item.job
        decision = self._rules.decide(_situation(job, views, self._table.up))
        if decision.then.action == "refuse":
            return
        wanted = _wanted(job, decision.then)
        weights = self._config.current.document.weights
        view = place(wanted, views, self._records, self._slowdown, weights, at)
        if view is None and job.spec.urgent:
            view = place_by_eviction(wanted, views, self._records, at)
        if view is None:
            self._set_aside_if_impossible(item, at)
            return
        stored = self.shards.jobs[job.spec.key]
        task = asyncio.create_task(
            self._place(stored, view, decision.rule), name=f"place:{job.spec.key}"
        )
        self._placing[job.spec.key] = task
        task.add_done_callback(lambda _: self._placing.pop(job.spec.key, None))

    async def _place(self, stored: StoredJob, view: InstanceView, rule: str) -> None:
        """Offer, claim and start one job on one instance."""
        spec = stored.job.spec
        offer_id = secrets.token_hex(6)
        record = self._records.setdefault(view.id, InstanceRecord())
        record.offered[offer_id] = spec.resources
        if not await self._offered(offer_id, stored.job, view):
            record.offered.pop(offer_id, None)
            return
        claimed = await self._claim(stored, view, rule)
        if claimed is None:
            record.offered.pop(offer_id, None)
            return
        if not await self._links.send(
            view.id, Lane.CONTROL, self.start_message(offer_id, claimed.job)
        ):
            # The start was never handed to a connection, so the task cannot have been started.
            epoch = claimed.job.epoch
            await self._moves.apply(
                spec.key, epoch, lambda job: job.release_unstarted(epoch, "start not sent")
            )

    async def _offered(self, offer_id: str, job: Job, view: InstanceView) -> bool:
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._offers[offer_id] = fut
        spec = job.spec
        message = Offer(
            **self.head(),
            offer_id=offer_id,
            key=spec.key,
            kind=spec.kind,
            job_class=spec.job_class,
            team=spec.team,
            resources=_amount(spec.resources),
            urgent=spec.urgent,
        )
        try:
            if not await self._links.send(view.id, Lane.CONTROL, message):
                return False
            timeout = URGENT_TIMEOUT_S if spec.urgent else OFFER_TIMEOUT_S
            return await asyncio.wait_for(fut, timeout)
        except TimeoutError:
            return False
        finally:
            del self._offers[offer_id]

    async def _claim(self, stored: StoredJob, view: InstanceView, rule: str) -> StoredJob | None:
        """Commit the claim; ``None`` where someone else moved the job or fenced the instance."""
        guard = self._leases.guard(view.id, view.incarnation)
        if guard is None:
            await self._leases.refresh(view.id)
            guard = self._leases.guard(view.id, view.incarnation)
        if guard is None:
            return None
        stepped = stored.job.claim(Holder(view.id, view.incarnation))
        if isinstance(stepped, Err):
            return None
        moved = await self._rows.move(stored, stepped.ok_value, (guard,))
        if isinstance(moved, Ok):
            self._board.publish(moved.ok_value)
            log_move(moved.ok_value.job)
            return moved.ok_value
        if moved.err_value.code is Code.STORE_CONFLICT:
            await self._leases.refresh(view.id)
            await self._reread(stored.job.spec.key)
        log_event("INFO", "claim_failed", job=stored.job.spec.key, reason=str(moved.err_value))
        return None

    async def _reread(self, key: str) -> None:
        found = await self._rows.read(key)
        if isinstance(found, Ok) and found.ok_value is not None:
            self.shards.put(found.ok_value, now())
            self._wake.set()

    def _set_aside_if_impossible(self, item: QueuedJob, at: float) -> None:
        """Give up on a job that no known instance, even empty, would hold for some time."""
        key = item.job.spec.key
        known = self._members.all()
        if at - item.since < IMPOSSIBLE_AFTER_S or could_ever_run(item.job.spec.resources, known):
            return
        stored = self.shards.jobs[key]
        self._moves.once("aside", key, item.job.epoch, self._set_aside(stored))

    async def _set_aside(self, stored: StoredJob) -> None:
        stepped = stored.job.set_aside("no instance is large enough")
        if isinstance(stepped, Err):
            return
        moved = await self._rows.move(stored, stepped.ok_value)
        if isinstance(moved, Ok):
            self._board.publish(moved.ok_value)
            log_move(moved.ok_value.job)

    def _on_config(self, config: Config) -> None:
        self._rules = RuleSet.from_config(config.document)
        self._wake.set()

    def _on_move(self, stored: StoredJob) -> None:
        """Take a move committed by this entry, or tell the entry that schedules the shard."""
        key = stored.job.spec.key
        if self.shards.owns(key):
            self.shards.put(stored, now())
            self._note_end(stored.job)
            if stored.job.state is JobState.QUEUED:
                self._wake.set()
            return
        live = [self._stamp.sender, *self._leases.live_entries]
        shard = shard_of(key, self._rows.shards)
        nudge = Nudge(**self.head(), shard=shard, key=key)
        self.spawn(self._send_nudge(owner_of(shard, live), nudge))

    async def _send_nudge(self, owner: str, nudge: Nudge) -> None:
        await self._links.send_peer(owner, nudge)

    def _on_nudge(self, nudge: Nudge) -> None:
        if self.shards.owns(nudge.key):
            self.spawn(self._reread(nudge.key))

    def _on_accepted(self, message: Accepted) -> None:
        self._answer_offer(message.offer_id, True)

    def _on_refused(self, message: Refused) -> None:
        self._answer_offer(message.offer_id, False)
        if message.epoch == 0 or message.offer_id == ADOPTION:
            # A refused confirmation of an adopted task says nothing of whether it ever ran.
            return
        said_by = Holder(message.sender, message.incarnation)
        work = self._moves.release_unstarted(message.key, message.epoch, said_by, message.reason)
        self._moves.once("release", message.key, message.epoch, work)

    def _answer_offer(self, offer_id: str, accepted: bool) -> None:
        fut = self._offers.get(offer_id)
        if fut is not None and not fut.done():
            fut.set_result(accepted)

    def _on_started(self, message: Started) -> None:
        self.confirm(message.key, message.epoch, message.incarnation)

    def confirm(self, key: str, epoch: int, incarnation: str) -> None:
        """Note that a run of an agent says it runs the claim."""
        held = self.confirmed.get(key)
        same = held is not None and held.epoch == epoch
        started = held.started if held is not None and same else now()
        self.confirmed[key] = _Confirmed(epoch, incarnation, started, now())

    def _on_completed(self, message: Completed) -> None:
        """Remember which instances fail what they start."""
        record = self._records.setdefault(message.sender, InstanceRecord())
        if message.ok:
            record.failures = 0
            return
        record.failures += 1
        record.failed_at = now()

    def _note_end(self, job: Job) -> None:
        if job.state is JobState.CLAIMED:
            return
        confirmed = self.confirmed.pop(job.spec.key, None)
        if job.state is not JobState.DONE or confirmed is None:
            return
        took = now() - confirmed.started
        before = self._run_times.get(job.spec.job_class, took)
        self._run_times[job.spec.job_class] = before + RUN_TIME_WEIGHT * (took - before)

    def _expected_s(self, job: Job) -> float:
        """Return the learnt run time of the class, or the declared one before any was learnt."""
        return self._run_times.get(job.spec.job_class, job.spec.expected_ms / 1000.0)

    def _slowdown(self, service: str, job_class: str) -> float:
        return self.slowdowns.get((service, job_class), 1.0)

    def _own_usage(self) -> dict[str, Resources]:
        used: dict[str, Resources] = {}
        for stored in self.shards.jobs.values():
            if stored.job.state is JobState.CLAIMED or stored.job.spec.key in self._placing:
                spec = stored.job.spec
                used[spec.team] = used.get(spec.team, NOTHING) + spec.resources
        return used

    def _used(self) -> dict[str, Resources]:
        """Return what each team holds everywhere: own shards now, others as last published."""
        used = self._own_usage()
        for name, record in self._leases.live_entries.items():
            if name == self._stamp.sender:
                continue
            for team, amounts in record.usage.items():
                used[team] = used.get(team, NOTHING) + Resources(*amounts)
        return used

    def _team_shares(self) -> dict[str, TeamShare]:
        teams = self._config.current.document.teams
        return {
            name: TeamShare(
                team.weight, Resources(team.cpu_millicores, team.memory_mb, team.accelerators)
            )
            for name, team in teams.items()
        }

    def _forget_offers(self, views: list[InstanceView]) -> None:
        """Drop offers that the instance's newest report already counts."""
        for view in views:
            record = self._records.setdefault(view.id, InstanceRecord())
            if view.counter == record.beat:
                continue
            record.beat = view.counter
            open_offers = self._offers.keys()
            record.offered = {k: v for k, v in record.offered.items() if k in open_offers}

    def head(self) -> Head:
        """Return the head of a message from this entry."""
        return {
            "sender": self._stamp.sender,
            "incarnation": self._stamp.incarnation,
            "config_version": self._config.current.version,
        }

    def start_message(self, offer_id: str, job: Job) -> Start:
        """Return the message that starts, or confirms, the task of a committed claim."""
        spec = job.spec
        return Start(
            **self.head(),
            offer_id=offer_id,
            key=spec.key,
            epoch=job.epoch,
            kind=spec.kind,
            job_class=spec.job_class,
            team=spec.team,
            resources=_amount(spec.resources),
            idempotent=spec.idempotent,
            input=spec.input,
            checkpoint=job.checkpoint,
            rule=job.rule,
            claimed_by=job.holder.incarnation if job.holder else "",
        )


def _amount(resources: Resources) -> Amount:
    return Amount(resources.cpu_millicores, resources.memory_mb, resources.accelerators)


def _encode_usage(used: dict[str, Resources]) -> dict[str, list[int]]:
    return {
        team: [held.cpu_millicores, held.memory_mb, held.accelerators]
        for team, held in used.items()
    }


def _wanted(job: Job, then: Then) -> Wanted:
    return Wanted(job, tuple(then.zones), then.spill, frozenset(then.avoid_services))


def _situation(job: Job, views: list[InstanceView], store_up: bool) -> Situation:
    total = total_capacity(views)
    free = sum(view.free.cpu_millicores for view in views)
    load = 1.0 - free / total.cpu_millicores if total.cpu_millicores else 0.0
    return Situation(
        kind=job.spec.kind,
        job_class=job.spec.job_class,
        team=job.spec.team,
        urgent=job.spec.urgent,
        idempotent=job.spec.idempotent,
        load=load,
        deadline_ms=job.spec.deadline_ms,
        store_up=store_up,
    )
