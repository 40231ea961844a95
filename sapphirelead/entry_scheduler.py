"""Schedules the durable jobs of the shards that one entry owns.

On each tick, and whenever a job is queued, the queued jobs are ordered
(:mod:`sapphirelead.policy_order`), assigned to instances (:mod:`sapphirelead.policy_placement`) and
passed to :class:`~sapphirelead.entry_start.JobStarter`.  Rules are evaluated each time, so
configuration changes also apply to queued jobs.

:class:`~sapphirelead.entry_reconcile.Reconciler` handles failures after a claim: lost starts, lost
holders and restarted agents.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from result import Err, Ok

from sapphirelead.clock import now
from sapphirelead.entry_claim_runs import ClaimRuns
from sapphirelead.entry_job_notifier import JobNotifier
from sapphirelead.entry_job_rows import JobRows, StoredJob, shard_of
from sapphirelead.entry_lease import LeaseManager
from sapphirelead.entry_moves import JobMoves
from sapphirelead.entry_ports import ConfigService, InstanceView, Links, Members, Stamp
from sapphirelead.entry_shards import ShardView, owner_of
from sapphirelead.entry_start import JobStarter
from sapphirelead.entry_table import EntryTable
from sapphirelead.entry_usage import TeamUsage
from sapphirelead.model_config import Config, Then
from sapphirelead.model_job import JobSpec, JobState
from sapphirelead.model_resources import Resources
from sapphirelead.policy_order import QueuedJob, TeamShare, order
from sapphirelead.policy_placement import (
    PlacementRequest,
    fits_any_instance,
    place,
    place_by_eviction,
    total_capacity,
)
from sapphirelead.policy_rules import Decision, RuleSet, Situation
from sapphirelead.wire_messages import Nudge, Started

TICK_INTERVAL_S: Final = 0.25
BATCH_DELAY_S: Final = 0.005
SCAN_INTERVAL_S: Final = 5.0
MAX_OFFERS_PER_TICK: Final = 200
MAX_OPEN_OFFERS: Final = 400
IMPOSSIBLE_AFTER_S: Final = 30.0


class Scheduler:
    """Orders and places the jobs of this entry's shards.

    :ivar shards: open jobs of the shards scheduled here.
    :ivar usage: resources in use and queued jobs by team.
    :ivar runs: claims confirmed as running, and estimated run times.
    :ivar situation: returns the inputs of rules for a job.
    :ivar slowdown: estimated slowdown of a service by a job class on the same instance.
    """

    shards: ShardView
    usage: TeamUsage
    runs: ClaimRuns
    situation: Callable[[JobSpec], Situation]
    slowdown: Callable[[str, str], float]
    _stamp: Stamp
    _table: EntryTable
    _rows: JobRows
    _notifier: JobNotifier
    _moves: JobMoves
    _leases: LeaseManager
    _starter: JobStarter
    _members: Members
    _links: Links
    _config: ConfigService
    _rules: RuleSet
    _wake: asyncio.Event
    _passed_over: set[str]
    _tasks: "list[asyncio.Task[None]]"
    _background_tasks: "set[asyncio.Task[None]]"

    def __init__(
        self,
        stamp: Stamp,
        table: EntryTable,
        rows: JobRows,
        notifier: JobNotifier,
        moves: JobMoves,
        leases: LeaseManager,
        starter: JobStarter,
        members: Members,
        links: Links,
        config: ConfigService,
    ) -> None:
        self.shards = ShardView(rows.shards)
        self.usage = TeamUsage(stamp, self.shards, starter, leases)
        self.runs = ClaimRuns()
        self.situation = _default_situation
        self.slowdown = lambda _service, _job_class: 1.0
        self._stamp = stamp
        self._table = table
        self._rows = rows
        self._notifier = notifier
        self._moves = moves
        self._leases = leases
        self._starter = starter
        self._members = members
        self._links = links
        self._config = config
        self._rules = RuleSet.from_config(config.current.document)
        self._wake = asyncio.Event()
        # Jobs that found no room and are tried again once all others have been.
        self._passed_over = set()
        self._tasks = []
        self._background_tasks = set()
        config.on_change(self._on_config)
        notifier.listen(self._on_move)
        links.on(Started, self._on_started)
        links.on(Nudge, self._on_nudge)

    def start(self) -> None:
        """Start scheduling."""
        self._tasks = [
            asyncio.create_task(self._dispatch_loop(), name="dispatch"),
            asyncio.create_task(self._scan_loop(), name="scan"),
        ]

    async def stop(self) -> None:
        """Stop offering jobs; claims in progress may finish their start."""
        for task in [*self._tasks, *self._background_tasks]:
            task.cancel()
        await asyncio.gather(*self._tasks, *self._background_tasks, return_exceptions=True)
        await self._starter.stop()

    async def _dispatch_loop(self) -> None:
        while True:
            try:
                # Not asyncio.wait_for: in Python 3.11 it can swallow a cancellation that arrives
                # while the event is set, and the process would not stop.
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self._wake.wait()
                # Collect the jobs of a burst so that they are ordered together.
                await asyncio.sleep(BATCH_DELAY_S)
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
                if now() - scanned.get(
                    shard, -SCAN_INTERVAL_S
                ) >= SCAN_INTERVAL_S and await self._scan(shard):
                    scanned[shard] = now()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _scan(self, shard: int) -> bool:
        started = now()
        found = await self._rows.scan_open(shard)
        if isinstance(found, Err):
            return False
        self.shards.replace_shard(shard, found.ok_value, started)
        self._wake.set()
        return True

    def _dispatch(self) -> None:
        """Offer queued jobs that can be placed now."""
        evacuated = self._config.current.document.evacuated_zones
        views = [view for view in self._members.live() if view.zone not in evacuated]
        own = self.usage.own()
        self.usage.publish(own)
        if not views or not self._table.up:
            return
        self._starter.drop_reported_offers(views)
        at = now()
        decide = self._decider()
        queued = [
            self._queued_job(stored, decide(stored.job.spec), at)
            for key, stored in self.shards.jobs.items()
            if stored.job.state is JobState.QUEUED and not self._starter.is_placing(key)
        ]
        admitted = [item for item in queued if decide(item.job.spec).then.action == "admit"]
        if not admitted:
            return
        limit = min(MAX_OFFERS_PER_TICK, MAX_OPEN_OFFERS - self._starter.in_progress)
        total = total_capacity(views)
        used = self.usage.across_entries(own)
        due = [item for item in admitted if item.job.spec.key not in self._passed_over]
        ordered = order(due, used, self._team_shares(), total, at, limit)
        for item in ordered:
            if not self._offer(item, decide(item.job.spec), views, at):
                self._passed_over.add(item.job.spec.key)
        if len(ordered) < limit or len(ordered) == len(due):
            self._passed_over.clear()

    def _decider(self) -> Callable[[JobSpec], Decision]:
        """Return a function that decides by the rules and caches decisions for one tick."""
        cache: dict[tuple[str, str, str, bool, bool, int], Decision] = {}

        def decide(spec: JobSpec) -> Decision:
            cache_key = (
                spec.kind.value,
                spec.job_class,
                spec.team,
                spec.urgent,
                spec.idempotent,
                spec.deadline_ms,
            )
            decision = cache.get(cache_key)
            if decision is None:
                decision = cache[cache_key] = self._rules.decide(self.situation(spec))
            return decision

        return decide

    def _queued_job(self, stored: StoredJob, decision: Decision, at: float) -> QueuedJob:
        spec, then = stored.job.spec, decision.then
        return QueuedJob(
            stored.job,
            self.shards.since.get(spec.key, at),
            self.runs.run_time_s(spec),
            spec.urgent if then.urgent is None else then.urgent,
            then.priority,
        )

    def _offer(
        self, item: QueuedJob, decision: Decision, views: list[InstanceView], at: float
    ) -> bool:
        """Offer a job to an instance that has room for it; return whether there is one."""
        request = _placement_request(item, decision.then, at)
        weights = self._config.current.document.weights
        records = self._starter.records
        view = place(request, views, records, self.slowdown, weights, at)
        if view is None and item.urgent:
            view = place_by_eviction(request, views, records, at)
        stored = self.shards.jobs[item.job.spec.key]
        if view is None:
            self._set_aside_if_impossible(stored, item.since, at)
            return False
        self._starter.begin(stored, view, item.urgent, decision.rule)
        return True

    def _set_aside_if_impossible(self, stored: StoredJob, since: float, at: float) -> None:
        """Set a job aside if it has waited long and no known instance is large enough for it."""
        known = self._members.all()
        spec = stored.job.spec
        if at - since < IMPOSSIBLE_AFTER_S or fits_any_instance(spec.resources, known):
            return
        self._moves.run_once("aside", spec.key, stored.job.epoch, self._set_aside(stored))

    async def _set_aside(self, stored: StoredJob) -> None:
        updated = stored.job.set_aside("no instance is large enough")
        if isinstance(updated, Err):
            return
        moved = await self._rows.move(stored, updated.ok_value)
        if isinstance(moved, Ok):
            self._notifier.publish_committed(moved.ok_value)

    def _on_config(self, config: Config) -> None:
        self._rules = RuleSet.from_config(config.document)
        self._wake.set()

    def _on_move(self, stored: StoredJob) -> None:
        """Apply a committed transition, or notify the entry that schedules the shard."""
        key = stored.job.spec.key
        if self.shards.owns(key):
            self.shards.put(stored, now())
            self.runs.on_transition(stored.job)
            if stored.job.state is JobState.QUEUED:
                self._wake.set()
            return
        live = [self._stamp.sender, *self._leases.live_entries]
        shard = shard_of(key, self._rows.shards)
        nudge = Nudge(**self._starter.head(), shard=shard, key=key)
        self._spawn(self._send_nudge(owner_of(shard, live), nudge))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _send_nudge(self, owner: str, nudge: Nudge) -> None:
        await self._links.send_peer(owner, nudge)

    def _on_nudge(self, nudge: Nudge) -> None:
        if self.shards.owns(nudge.key):
            self._spawn(self._reread(nudge.key))

    async def _reread(self, key: str) -> None:
        found = await self._rows.read(key)
        if isinstance(found, Ok) and found.ok_value is not None:
            self.shards.put(found.ok_value, now())
            self._wake.set()

    def _on_started(self, message: Started) -> None:
        self.runs.confirm(message.key, message.epoch, message.incarnation)

    def _team_shares(self) -> dict[str, TeamShare]:
        teams = self._config.current.document.teams
        return {
            name: TeamShare(
                team.weight, Resources(team.cpu_millicores, team.memory_mb, team.accelerators)
            )
            for name, team in teams.items()
        }


def _placement_request(item: QueuedJob, then: Then, at: float) -> PlacementRequest:
    return PlacementRequest(
        item.job,
        tuple(then.zones),
        then.spill,
        frozenset(then.avoid_services),
        waited_s=at - item.since,
    )


def _default_situation(spec: JobSpec) -> Situation:
    return Situation(
        kind=spec.kind,
        job_class=spec.job_class,
        team=spec.team,
        urgent=spec.urgent,
        idempotent=spec.idempotent,
        deadline_ms=spec.deadline_ms,
    )
