"""The leader's view of agents and workers, their runs and their free resources.

Invariant: a run, also one that is being stopped, occupies its resources from its claim until its
end is known, so that the claims on a worker never exceed its capacity.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import WorkerInfo
from sapphirelead.sched_renewals import PriorRenewals, RenewalSource, UnmetRenewal
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_track import TrackRecord
from sapphirelead.sched_watch import RunWatch
from sapphirelead.sched_zones import EvacuatedZones

RunKey = tuple[TaskRef, int]

DEFAULT_LASTING_CPU_SHARE: Final = 0.6
"""Assumed CPU utilization of a long-running task until its load is known.  An underestimate only
slows best-effort tasks."""

MIN_COUNTED_PACE_PERCENT: Final = 70
"""Minimum pace assumed for the CPU use of a best-effort task, since its pace can rise again."""


class Phase(StrEnum):
    """Progress of a run, as known to the leader."""

    CLAIMED = "claimed"
    """The claim is not stored yet, and no start has been sent."""
    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


NO_ROOM_RETRY_INTERVAL_S: Final = 1.0
"""Time without new work after a refusal for lack of room that the reports do not show."""


@dataclass(slots=True, eq=False)
class Run:
    """One attempt of a task on a worker.

    :ivar worker: life of the worker.
    :ivar ticket: ticket of the advice service; empty for none.
    :ivar sent_at: when its last order was sent.
    :ivar sent_in: number of the orders message that last contained its start.
    :ivar running_at: when it was first reported to run; 0 before.
    :ivar seen_percent: progress when it was first reported to run.
    :ivar percent: latest progress; -1 before the first report.
    :ivar watch: observed progress.
    :ivar reviewed_at: time of the report by which its speed was last reviewed; may be forgotten.
    :ivar measurement: reported tail latency of a latency-critical task in milliseconds, or CPU use
        of another task in millicores; -1 if unknown.
    :ivar pace_percent: pace in percent; -1 if unknown.
    :ivar full_pace: whether every report to this leader had it at full pace.
    :ivar stop_wanted: a stop has been requested; sent again until the run has ended.
    :ivar load: estimated CPU utilization of a long-running task, from its latest tail latency.
    :ivar isolated: its task is suspected of crashing workers, so nothing may join it; derived from
        the stored crashes.
    :ivar near_limit: the next crash may give its task up, so only such tasks may join it while it
        is isolated; derived from the stored crashes.
    :ivar waits_since: when its task began to wait for this claim, which counts on if the run is
        not started; infinite for a claim of an earlier leader.
    :ivar reported_stopping: its agent is stopping it, maybe for an earlier leader.
    """

    ref: TaskRef
    attempt: int
    agent: str
    worker: WorkerLife
    step: StepSpec
    phase: Phase = Phase.CLAIMED
    ticket: str = ""
    sent_at: float = 0.0
    sent_in: int = 0
    claimed_at: float = 0.0
    running_at: float = 0.0
    seen_percent: int = 0
    percent: int = -1
    watch: RunWatch = field(default_factory=RunWatch)
    reviewed_at: float = 0.0
    measurement: int = -1
    pace_percent: int = 100
    full_pace: bool = True
    stop_wanted: bool = False
    stop_reason: str = ""
    slow_noted: bool = False
    load: float = DEFAULT_LASTING_CPU_SHARE
    isolated: bool = False
    near_limit: bool = False
    waits_since: float = math.inf
    reported_stopping: bool = False

    @property
    def key(self) -> RunKey:
        """Identity of the run."""
        return self.ref, self.attempt

    def unmeasured_s(self, at: float) -> float:
        """Return the seconds since its claim; infinite for a claim of an earlier leader."""
        return at - self.claimed_at if self.claimed_at else math.inf

    @property
    def has_tail_latency(self) -> bool:
        """Whether it is a running latency-critical task whose tail latency has been reported."""
        return self.step.target_ms > 0 and self.measurement >= 0 and self.phase is Phase.RUNNING


@dataclass(frozen=True, slots=True)
class ReturningBoot:
    """Report of a previous agent process, received while the current one is unresponsive."""

    boot: str
    report_number: int
    at: float


@dataclass(slots=True)
class Arrival:
    """Work placed on a worker since it was first reported.

    :ivar at: time of that report.
    """

    at: float
    latency_critical: int = 0
    best_effort: int = 0
    others: int = 0

    def count(self, step: StepSpec) -> None:
        """Count a task of ``step``."""
        if step.target_ms:
            self.latency_critical += 1
        elif step.fills:
            self.best_effort += 1
        else:
            self.others += 1


MIN_OBSERVED_S: Final = 0.5
"""Observed running time of a run before overdue tasks may join it on a worker that is on trial, or
beside an isolated run."""

RECENT_END_S: Final = 2.0
"""Time after the end of a run within which a crash of its worker may be due to it; covers the time
until an agent notices a crash."""


@dataclass(frozen=True, slots=True)
class RecentEnd:
    """The end of a run without success, which may have been the beginning of a crash."""

    run: Run
    at: float


@dataclass(slots=True, eq=False)
class Instance:
    """An agent, its worker, and the runs claimed there.

    :ivar boot: id of the agent process.
    :ivar worker: ``None`` while no worker is known to be alive.
    :ivar refusing_since: when the worker was first reported to refuse connections; 0 if it does
        not.
    :ivar last_report_at: when its last report arrived.
    :ivar named_at: when its last report that named a worker arrived; 0 if there was none.
    :ivar unmet_renewed_at: while it names no worker, the latest time at which the lease of a run
        can have been renewed.
    :ivar inherited_unmet: the same for a process that reported to a previous leader.
    :ivar unsent_at: when sending orders to it last failed for lack of a connection.
    :ivar renewed_at: when its lease was last renewed, or the latest time, which may be in the
        future, at which a previous leader can have renewed it.
    :ivar renewal_source: how ``renewed_at`` is known.
    :ivar answered_at: when this leader last acknowledged a report.
    :ivar answered_report_number: number of the last report covered by orders sent to it.
    :ivar listed_at: when its last full report arrived.
    :ivar report_number: number of its last report.
    :ivar orders_sent: number of the last orders message sent to it.
    :ivar no_room_until: no new work before this time; 0 once the reported capacity has changed.
        May be forgotten: the agent refuses again.
    :ivar leaves_at: earliest time at which a draining worker leaves; 0 if it is not draining.
    :ivar zone_evacuated: whether operators have evacuated the worker's zone.
    :ivar cold: whether the worker is slow because it was started or emptied a short time ago.
    :ivar cold_until: when that ends, or has ended.
    :ivar leaving: whether the agent's process has announced its end.
    :ivar epoch: epoch of the leader that its process followed in its last report.
    :ivar ended_workers: ended lives of its worker, by its last report.
    :ivar changes: version of the runs and the last report, for caching derived values.
    :ivar old_boots: ids of previous agent processes.
    :ivar returning_boot: set while a previous agent process may still be alive.
    :ivar used: resources occupied by its runs, and room held for a task (:meth:`hold`).
    :ivar fill_cpu: CPU requested by best-effort tasks, in millicores.
    :ivar serving: number of runs with a latency target.
    :ivar lasting: number of runs of long-running tasks.
    :ivar lasting_cpu: CPU requested by long-running tasks, in millicores.
    :ivar isolated: number of isolated runs; no other task is placed here while there is one.
    :ivar recent_ends: runs that have ended without success within :data:`RECENT_END_S`.
    :ivar arrival: what the worker was given at first; ``None`` once that has been logged.
    """

    agent: str
    boot: str = ""
    worker: WorkerInfo | None = None
    refusing_since: float = 0.0
    last_report_at: float = 0.0
    named_at: float = 0.0
    unmet_renewed_at: float = 0.0
    inherited_unmet: UnmetRenewal | None = None
    unsent_at: float = -1e9
    renewed_at: float = 0.0
    renewal_source: RenewalSource = RenewalSource.ASSUMED
    answered_at: float = -1e9
    answered_report_number: int = 0
    listed_at: float = 0.0
    report_number: int = 0
    orders_sent: int = 0
    entries_version: int = 0
    no_room_until: float = 0.0
    leaves_at: float = 0.0
    zone_evacuated: bool = False
    cold: bool = False
    cold_until: float = 0.0
    leaving: bool = False
    epoch: int = 0
    ended_workers: frozenset[WorkerLife] = frozenset()
    changes: int = 0
    old_boots: set[str] = field(default_factory=set)
    returning_boot: ReturningBoot | None = None
    runs: dict[RunKey, Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    fill_cpu: int = 0
    serving: int = 0
    lasting: int = 0
    lasting_cpu: int = 0
    isolated: int = 0
    track: TrackRecord = field(default_factory=TrackRecord)
    recent_ends: list[RecentEnd] = field(default_factory=list)
    arrival: Arrival | None = None
    _unused_version: int = -1
    _unused_cpu: int = 0

    @property
    def lease_since(self) -> float:
        """Latest time from which its lease, or a start based on its last report, can count."""
        return max(self.renewed_at, self.last_report_at) if self.boot else self.renewed_at

    def record_unmet(self, boot: str) -> None:
        """Record how late the lease of its runs can have been renewed.

        To be called before a report that names no worker is applied.

        :param boot: id of the process that has made the report.
        """
        if self.boot and self.worker is None:
            # Reports that name no worker have renewed nothing.
            return
        inherited = self.inherited_unmet
        if inherited is not None and not self.boot and inherited.boot == boot:
            self.unmet_renewed_at = inherited.renewed_at
        else:
            self.unmet_renewed_at = self.lease_since

    @property
    def unmet_renewal(self) -> UnmetRenewal | None:
        """What a successor must know if it has claims on a life that its process has not met."""
        if not self.boot:
            return self.inherited_unmet if self.runs else None
        return UnmetRenewal(self.boot, self.unmet_renewed_at) if self.unmet_runs else None

    @property
    def unmet_runs(self) -> list[Run]:
        """Runs on lives that its process neither names nor reports as ended.

        There are none if it names a worker: runs on other lives end with the report.
        """
        if not self.boot or self.worker is not None:
            return []
        return [run for run in self.runs.values() if run.worker not in self.ended_workers]

    @property
    def reachable(self) -> bool:
        """Whether it has reported since sending orders to it last failed."""
        return self.unsent_at < self.last_report_at

    @property
    def rack(self) -> str:
        """The worker's rack, which is the last of its labels."""
        return self.worker.labels[-1] if self.worker and self.worker.labels else ""

    @property
    def free_cpu(self) -> int:
        """CPU not requested by any run, in millicores."""
        return self.capacity_cpu - self.used.cpu_millicores

    def fits(self, step: StepSpec) -> bool:
        """Return whether one more task of ``step`` fits; the agent checks the same.

        Nothing fits while the runs exceed a capacity that has shrunk, even if the step requests
        none of that resource.
        """
        if self.worker is None:
            return False
        capacity, used = self.worker.capacity, self.used
        # Spelled out, because :meth:`Resources.fits_in` would allocate for each worker and step.
        cpu_millicores = 0 if step.fills else step.cpu_millicores
        return (
            cpu_millicores <= capacity.cpu_millicores - used.cpu_millicores
            and step.memory_mb <= capacity.memory_mb - used.memory_mb
            and step.accelerators <= capacity.accelerators - used.accelerators
        )

    @property
    def over_capacity(self) -> bool:
        """Whether its runs occupy more than the worker's capacity, which has shrunk."""
        return self.worker is not None and not self.used.fits_in(self.worker.capacity)

    def record_no_room(self, step: StepSpec, at: float) -> None:
        """Record that a task of ``step`` was refused for lack of room, which is no failure.

        If the task fits by the newest report, that report or the leader's view of the runs is out
        of date, and the next task would be refused as well.
        """
        if self.fits(step):
            self.pause_work(at)

    def began_cold(self, run: Run) -> bool:
        """Whether the speed of a run here says nothing, because it began on a cold worker."""
        return self.cold or run.running_at < self.cold_until

    def pause_work(self, at: float) -> None:
        """Place nothing more until the agent's view and the leader's can have converged."""
        self.no_room_until = at + NO_ROOM_RETRY_INTERVAL_S

    @property
    def capacity_cpu(self) -> int:
        """CPU capacity of the worker, in millicores."""
        return self.worker.capacity.cpu_millicores if self.worker is not None else 0

    @property
    def spare_cpu(self) -> int:
        """Estimated CPU available to another best-effort task, in millicores."""
        if self._unused_version != self.changes:
            self._unused_version = self.changes
            self._unused_cpu = self._unused_lasting_cpu() - self._used_fill_cpu()
        return self.free_cpu + self._unused_cpu

    def _unused_lasting_cpu(self) -> int:
        """Return the CPU that long-running tasks requested but are estimated not to use."""
        return sum(
            int(run.step.cpu_millicores * (1 - run.load))
            for run in self.runs.values()
            if run.step.lasting
        )

    def _used_fill_cpu(self) -> int:
        """Return the estimated CPU use of best-effort tasks at their current pace."""
        return sum(
            run.step.cpu_millicores * max(run.pace_percent, MIN_COUNTED_PACE_PERCENT) // 100
            for run in self.runs.values()
            if run.step.fills
        )

    @property
    def unseen_fill_cpu(self) -> int:
        """CPU requested by best-effort tasks that no report has measured yet, in millicores."""
        return sum(
            run.step.cpu_millicores
            for run in self.runs.values()
            if run.step.fills and run.measurement <= 0
        )

    def record_unsuccessful_end(self, run: Run, at: float) -> None:
        """Remember a run that has failed, or whose lease has expired."""
        self.recent_ends = [*self.ends_since(at - RECENT_END_S), RecentEnd(run, at)]

    def ends_since(self, since: float) -> list[RecentEnd]:
        """Return the remembered ends since a point in time."""
        return [end for end in self.recent_ends if end.at >= since]

    def add(self, run: Run) -> None:
        """Add a run and the resources it occupies."""
        self.runs[run.key] = run
        self._count(run, 1)

    def drop(self, run: Run) -> None:
        """Remove a run and free its resources."""
        if self.runs.pop(run.key, None) is not None:
            self._count(run, -1)

    def _count(self, run: Run, sign: int) -> None:
        step = run.step
        self.changes += 1
        self.used = self.used + step.room if sign > 0 else self.used - step.room
        if step.fills:
            self.fill_cpu += sign * step.cpu_millicores
        if step.lasting:
            self.lasting += sign
            self.lasting_cpu += sign * step.cpu_millicores
        if step.target_ms:
            self.serving += sign
        if run.isolated:
            self.isolated += sign

    def hold(self, room: Resources) -> None:
        """Keep free room for one task; it counts as used until it is released."""
        self.used = self.used + room
        self.changes += 1

    def release(self, room: Resources) -> None:
        """Give back room that was held."""
        self.used = self.used - room
        self.changes += 1

    @property
    def joinable(self) -> bool:
        """Whether a task that must not wait any longer may join the isolated runs here.

        Not before each run has been observed for a moment, so that of several tasks that begin
        together one causes the next crash.
        """
        return all(run.watch.alive_s >= MIN_OBSERVED_S for run in self.runs.values())

    @property
    def reserved_by_run(self) -> bool:
        """Whether only suspects may join, because the next crash may give an isolated run up."""
        return bool(self.isolated) and any(
            run.isolated and run.near_limit for run in self.runs.values()
        )

    def end_isolation(self, run: Run) -> None:
        """Let other tasks join a run."""
        if run.isolated:
            run.isolated = False
            self.isolated -= 1
            self.changes += 1

    @property
    def newest_claim_at(self) -> float:
        """When the latest of its runs was claimed; -1 if there is none."""
        return max((run.claimed_at for run in self.runs.values()), default=-1.0)

    @property
    def runs_since_fault(self) -> int:
        """Number of runs that were claimed since the latest fault of the worker."""
        return sum(run.claimed_at > self.track.last_fault_at for run in self.runs.values())

    @property
    def observed_since_fault(self) -> bool:
        """Whether a run since the latest fault of the worker has been observed for a moment."""
        return any(
            run.claimed_at > self.track.last_fault_at and run.watch.alive_s >= MIN_OBSERVED_S
            for run in self.runs.values()
        )

    def count_of_step(self, ref: TaskRef) -> int:
        """Count the runs of ``ref``'s step and occurrence here."""
        return sum(1 for run in self.runs.values() if run.ref[:3] == ref[:3])


class Fleet:
    """All instances and all runs."""

    instances: dict[str, Instance]
    runs: dict[RunKey, Run]
    zones: EvacuatedZones
    _prior: PriorRenewals
    _by_task: dict[TaskRef, list[Run]]

    def __init__(self, prior: PriorRenewals) -> None:
        """Create an empty fleet.

        :param prior: renewals of leases by previous leaders.
        """
        self.instances = {}
        self.runs = {}
        self.zones = EvacuatedZones()
        self._prior = prior
        self._by_task = {}

    def instance(self, agent: str) -> Instance:
        """Return the instance of ``agent``; creates it if necessary."""
        found = self.instances.get(agent)
        if found is None:
            found = self.instances[agent] = Instance(agent, renewed_at=self._prior.latest(agent))
            found.renewal_source = self._prior.source(agent)
            found.inherited_unmet = self._prior.unmet.get(agent)
        return found

    def set_zones(self, zones: EvacuatedZones) -> list[Instance]:
        """Record the evacuated zones; return the instances for which that makes a difference."""
        self.zones = zones
        changed = []
        for instance in self.live():
            if self.update_zone(instance):
                changed.append(instance)
        return changed

    def update_zone(self, instance: Instance) -> bool:
        """Record whether an instance's zone is evacuated; return whether that has changed."""
        worker = instance.worker
        evacuated = worker is not None and worker.zone in self.zones.names
        changed = evacuated is not instance.zone_evacuated
        instance.zone_evacuated = evacuated
        return changed

    def add(self, run: Run) -> None:
        """Add a run to its instance."""
        self.runs[run.key] = run
        self._by_task.setdefault(run.ref, []).append(run)
        self.instance(run.agent).add(run)

    def drop(self, run: Run) -> None:
        """Remove a run from its instance."""
        if self.runs.pop(run.key, None) is None:
            return
        same = self._by_task[run.ref]
        same.remove(run)
        if not same:
            del self._by_task[run.ref]
        self.instance(run.agent).drop(run)

    def runs_of(self, ref: TaskRef) -> list[Run]:
        """Return the runs of one task."""
        return list(self._by_task.get(ref, ()))

    def live(self) -> Iterator[Instance]:
        """Yield the instances with a live worker."""
        return (instance for instance in self.instances.values() if instance.worker is not None)

    def faulty_tracks(self) -> dict[WorkerLife, TrackRecord]:
        """Return the records of the live workers about which more is known than of a new one."""
        return {
            instance.worker.worker: instance.track
            for instance in self.instances.values()
            if instance.worker is not None and instance.track.has_faults
        }
