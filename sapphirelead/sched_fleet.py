"""What the leader knows of the workers: who lives, what each runs, what room is left.

A run occupies its room from the claim until its end is known; what is being stopped still counts.
So the sum of all claims never exceeds a worker's capacity, whatever is late or lost.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.node_messages import WorkerInfo
from sapphirelead.sched_job import TaskRef
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_track import TrackRecord
from sapphirelead.sched_watch import RunWatch

RunKey = tuple[TaskRef, int]

LASTING_USE: Final = 0.6
"""Share of its processors that a lasting task is counted with where filling work looks for room, as
long as no tail of it tells its load.  More asked than is left only slows the filling work."""


LEAST_COUNTED: Final = 70
"""Pace in percent with which a filling task is counted at least: it gets more again when the load
beside it falls."""


class Phase(StrEnum):
    """How far a run has got, as the leader knows it."""

    CLAIMED = "claimed"
    """Claim not stored yet; nothing has been sent."""
    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
    """One attempt of a task on a worker.

    :ivar sent_at: when its newest order went out.
    :ivar sent_in: number of the orders in which it last went out to be started.
    :ivar running_at: when it was first seen to run.
    :ivar seen_percent: progress when it was first seen.
    :ivar percent: newest progress.
    :ivar watch: what its reports have shown of its speed.
    :ivar reviewed_at: time of the report by whose word its speed was last judged.
    :ivar stop_wanted: the stop is to be sent, again where needed.
    :ivar load: of a lasting task the share of its processors that it uses, by its newest tail.
    """

    ref: TaskRef
    attempt: int
    agent: str
    worker: str
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
    figure: int = -1
    paced: int = 100
    stop_wanted: bool = False
    stop_reason: str = ""
    slow_noted: bool = False
    load: float = LASTING_USE

    @property
    def key(self) -> RunKey:
        """Identity of the run."""
        return self.ref, self.attempt

    @property
    def shows_tail(self) -> bool:
        """Whether it serves, and a report has brought its tail as ``figure``."""
        return self.step.target_ms > 0 and self.figure >= 0 and self.phase is Phase.RUNNING


@dataclass(frozen=True, slots=True)
class Returning:
    """First report of a process that counted as an earlier one, while the newer one is silent."""

    boot: str
    beat: int
    at: float


@dataclass(slots=True, eq=False)
class Instance:
    """An agent, the worker beside it, and the runs claimed there.

    :ivar boot: id of the agent's process.
    :ivar worker: ``None`` while no worker is known to live there.
    :ivar heard_at: when its last report arrived.
    :ivar unsent_at: when orders for it last found no connection.
    :ivar renewed_at: when a renewal of its lease was last sent; for runs that were claimed under an
        earlier leader the latest time at which that one can have sent one, which may be to come.
    :ivar answered_at: when this leader last acknowledged a report.
    :ivar answered_beat: newest report that it knows to be read, by an answer or by orders.
    :ivar listed_at: when its last report with all runs arrived.
    :ivar beat: number of its last report.
    :ivar returning: set while a process that counted as an earlier one may turn out to live.
    :ivar orders_sent: number of the newest orders that this leader has sent to it.
    :ivar leaves_at: earliest end of a draining worker; 0 where it is not draining.
    :ivar changes: grows with each report and with each run that is added or dropped, so that what
        was worked out of its runs can be kept until then.
    """

    agent: str
    boot: str = ""
    worker: WorkerInfo | None = None
    heard_at: float = 0.0
    unsent_at: float = -1e9
    renewed_at: float = 0.0
    answered_at: float = -1e9
    answered_beat: int = 0
    listed_at: float = 0.0
    beat: int = 0
    orders_sent: int = 0
    entries_version: int = 0
    leaves_at: float = 0.0
    changes: int = 0
    old_boots: set[str] = field(default_factory=set)
    returning: Returning | None = None
    runs: dict[RunKey, Run] = field(default_factory=dict)
    used: Resources = NO_RESOURCES
    fill_cpu: int = 0
    serving: int = 0
    lasting: int = 0
    lasting_cpu: int = 0
    track: TrackRecord = field(default_factory=TrackRecord)
    _use_at: int = -1
    _unused: int = 0

    @property
    def reachable(self) -> bool:
        """Whether it has been heard since orders for it last found no connection."""
        return self.unsent_at < self.heard_at

    @property
    def rack(self) -> str:
        """The worker's rack: the last of its labels."""
        return self.worker.labels[-1] if self.worker and self.worker.labels else ""

    @property
    def free_cpu(self) -> int:
        """Processors that no counted task has asked for, in thousandths."""
        return self.capacity_cpu - self.used.cpu_millicores

    def fits(self, step: StepSpec) -> bool:
        """Return whether one more task of ``step`` fits; asked for each task and worker."""
        if self.worker is None:
            return False
        capacity, used = self.worker.capacity, self.used
        if step.memory_mb > capacity.memory_mb - used.memory_mb:
            return False
        if step.accelerators > capacity.accelerators - used.accelerators:
            return False
        return step.fills or step.cpu_millicores <= capacity.cpu_millicores - used.cpu_millicores

    @property
    def capacity_cpu(self) -> int:
        """Processors of the worker, in thousandths."""
        return self.worker.capacity.cpu_millicores if self.worker is not None else 0

    @property
    def spare_cpu(self) -> int:
        """Processors that are likely to be left for one more filling task."""
        if self._use_at != self.changes:
            self._use_at = self.changes
            self._unused = self._lasting_unused() - self._filling_use()
        return self.free_cpu + self._unused

    def _lasting_unused(self) -> int:
        """Return the processors that lasting tasks have asked for and do not use."""
        return sum(
            int(run.step.cpu_millicores * (1 - run.load))
            for run in self.runs.values()
            if run.step.lasting
        )

    def _filling_use(self) -> int:
        """Return the processors that filling tasks are likely to use at their present pace."""
        return sum(
            run.step.cpu_millicores * max(run.paced, LEAST_COUNTED) // 100
            for run in self.runs.values()
            if run.step.fills
        )

    @property
    def unseen_fill_cpu(self) -> int:
        """Processors asked for by filling tasks whose effect no report shows yet."""
        return sum(
            run.step.cpu_millicores
            for run in self.runs.values()
            if run.step.fills and run.figure <= 0
        )

    def add(self, run: Run) -> None:
        """Count a run."""
        self.runs[run.key] = run
        self._count(run, 1)

    def drop(self, run: Run) -> None:
        """Stop counting a run that is over."""
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

    @property
    def newest_claim_at(self) -> float:
        """When the newest of its open runs was claimed."""
        return max((run.claimed_at for run in self.runs.values()), default=-1.0)

    def of_step(self, ref: TaskRef) -> int:
        """Count the runs of ``ref``'s step and occurrence here."""
        return sum(1 for run in self.runs.values() if run.ref[:3] == ref[:3])


class Fleet:
    """All instances and all runs."""

    instances: dict[str, Instance]
    runs: dict[RunKey, Run]
    _by_task: dict[TaskRef, list[Run]]

    def __init__(self) -> None:
        self.instances = {}
        self.runs = {}
        self._by_task = {}

    def instance(self, agent: str) -> Instance:
        """Return the instance of ``agent``, new where it was not known."""
        found = self.instances.get(agent)
        if found is None:
            found = self.instances[agent] = Instance(agent)
        return found

    def add(self, run: Run) -> None:
        """Count a run on its instance."""
        self.runs[run.key] = run
        self._by_task.setdefault(run.ref, []).append(run)
        self.instance(run.agent).add(run)

    def drop(self, run: Run) -> None:
        """Forget a run that is over."""
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
        """Yield the instances whose worker lives."""
        return (instance for instance in self.instances.values() if instance.worker is not None)
