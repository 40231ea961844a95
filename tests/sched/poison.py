"""A simulated fleet on which some tasks crash every worker that starts them.

Leaders run the product's scheduler, planner and journal on one table; agents and workers are
simulated tick by tick.
"""

import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.blame.counts import SUSPECT_CRASHES
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import (
    AgentReport,
    RunEnded,
    RunPhase,
    RunStatus,
    StartOrder,
    WorkerInfo,
)
from sapphirelead.ports import Row
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run, RunKey
from sapphirelead.sched_job import JobState
from sapphirelead.sched_journal import JOURNAL_PREFIX, SNAPSHOT_PREFIX, SPEC_PREFIX, Journal
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import JobSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import worker_info
from tests.unit.fakes import MemoryTable

TICK_S: Final = 0.1
REPORT_TICKS: Final = 3
RESTART_S: Final = 2.0
"""Time after a crash until the worker is back."""

CRASHES_WITHOUT_LIMIT: Final = 3
MAX_FURTHER_STARTS: Final = 2
"""Starts that a task may get after :data:`CRASHES_WITHOUT_LIMIT` crashes."""


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults other than the crashing tasks; times in seconds.

    :ivar leader_changes: when a new leader takes over, from what is stored.
    :ivar agent_restarts: when every agent's process is replaced.
    :ivar store_away: periods in which the leader can store nothing.
    :ivar lost_starts: share of start orders that are lost and have to be sent again.
    :ivar late_s: delay with which workers carry out starts.
    """

    leader_changes: tuple[float, ...] = ()
    agent_restarts: tuple[float, ...] = ()
    store_away: tuple[tuple[float, float], ...] = ()
    lost_starts: float = 0.0
    late_s: float = 0.0


@dataclass(slots=True)
class Site:
    """An agent and its worker.

    :ivar runs: running tasks with the time of their start.
    :ivar seen: runs that have started in this life of the worker.
    :ivar due: accepted starts that are not carried out yet.
    :ivar draining: the worker has announced that it leaves.
    """

    name: str
    life: int = 0
    boot: int = 0
    number: int = 0
    back_at: float = 0.0
    draining: bool = False
    runs: dict[tuple[str, int], float] = field(default_factory=dict)
    seen: set[tuple[str, int]] = field(default_factory=set)
    due: list[tuple[float, tuple[str, int]]] = field(default_factory=list)
    ended: list[RunEnded] = field(default_factory=list)
    gone: list[WorkerLife] = field(default_factory=list)

    @property
    def worker(self) -> str:
        """Id of the worker's present or last life."""
        return f"w-{self.name}-{self.life}"

    def info(self) -> WorkerInfo:
        """Return what the worker reports about itself."""
        return worker_info(self.worker, draining=self.draining)


class PoisonFleet:
    """The fleet, and what its workers have seen.

    :ivar poison: jobs whose tasks crash their workers.
    :ivar crash_s: time from the start of such a task to the crash.
    :ivar work_s: duration of other tasks, unless long-running.
    :ivar crashes: crashes by the task that caused them.
    :ivar late_starts: starts by task after :data:`CRASHES_WITHOUT_LIMIT` crashes.
    :ivar lost_beside: ends by crashes by other tasks.
    :ivar avoidable: claims that put a task that had crashed two workers beside others although a
        worker without runs was there, or others beside such a task, by the task.
    :ivar absent_s: longest time between two runs of a long-running task.
    """

    def __init__(
        self, sites: int, poison: set[str], faults: Faults | None = None, crash_s: float = 0.3
    ) -> None:
        self.at = 1.0
        self.poison = poison
        self.faults = faults or Faults()
        self.crash_s = crash_s
        self.work_s = 1.0
        self.rng = random.Random(7)
        self.sites = [Site(f"g{number}") for number in range(sites)]
        self.table = MemoryTable()
        self.specs: dict[str, JobSpec] = {}
        self.epoch = 1
        self.journal = Journal()
        self.sched = Scheduler(Bounds(), self.at)
        self.starts: Counter[str] = Counter()
        self.crashes: Counter[str] = Counter()
        self.late_starts: Counter[str] = Counter()
        self.lost_beside: Counter[str] = Counter()
        self.avoidable: Counter[str] = Counter()
        self.absent_s: defaultdict[str, float] = defaultdict(float)
        self._crashes_before: dict[RunKey, int] = {}
        self._last_seen: dict[str, float] = {}
        self._ticks = 0
        self._ends = 0

    def submit(self, *specs: JobSpec) -> None:
        """Hand jobs in."""
        for spec in specs:
            self.specs[spec.job_id] = spec
            self.sched.submit(spec, lambda *_: None)

    def state(self, job_id: str) -> JobState | None:
        """Return a job's state as reported to its caller."""
        return self.sched.state(job_id)

    def run(self, until: float) -> None:
        """Play until a point in time."""
        while self.at < until:
            self._tick()

    def _tick(self) -> None:
        before, self.at = self.at, round(self.at + TICK_S, 3)
        self._ticks += 1
        if any(before < due <= self.at for due in self.faults.leader_changes):
            self.change_leader()
        if any(before < due <= self.at for due in self.faults.agent_restarts):
            for site in self.sites:
                site.boot += 1
                site.number = 0
                site.gone = []
        for site in self.sites:
            self._work(site)
        for offset, site in enumerate(self.sites):
            if (self._ticks + offset) % REPORT_TICKS == 0:
                self._report(site)
        if any(begin <= self.at < end for begin, end in self.faults.store_away):
            return
        review(self.sched, self.at)
        known = set(self.sched.fleet.runs)
        plan(self.sched, self.at, int(self.at * 1000))
        self._check_claims(known)
        self._store()
        self._send()

    def _check_claims(self, known: set[RunKey]) -> None:
        """Record avoidable company of suspected tasks.

        :param known: the runs before the planner was called.
        """
        fleet = self.sched.fleet
        empty = any(not instance.runs for instance in fleet.live())
        for instance in fleet.live():
            suspects = [run for run in instance.runs.values() if self._crashed_two(run)]
            for suspect in suspects:
                others = [run for run in instance.runs.values() if not _one_gang(run, suspect)]
                new = suspect.key not in known
                joined = any(run.key not in known for run in others)
                if joined or (new and others and empty):
                    self.avoidable[suspect.ref.text()] += 1

    def _crashed_two(self, run: Run) -> bool:
        """Whether the task had crashed two workers when the run was claimed."""
        before = self._crashes_before.setdefault(run.key, self.crashes[run.ref.text()])
        return before >= SUSPECT_CRASHES

    # Leaders

    def change_leader(self) -> None:
        """Replace the leader by one that knows only what is stored."""
        found = [
            [self.table.data[key] for key in sorted(self.table.data) if key.startswith(prefix)]
            for prefix in (SPEC_PREFIX, SNAPSHOT_PREFIX, JOURNAL_PREFIX)
        ]
        self.journal, jobs = Journal.load(*found)
        self.sched = Scheduler(Bounds(), self.at)
        self.epoch += 1
        for job in jobs.values():
            self.sched.load(job)
        # Callers repeat what was not acknowledged.
        for spec in self.specs.values():
            if spec.job_id not in jobs:
                self.sched.submit(spec, lambda *_: None)

    def _store(self) -> None:
        batch = self.sched.take_batch(int(self.at * 1000))
        for write in self.journal.writes(batch, self.sched.jobs):
            if write.value is None:
                self.table.data.pop(write.key, None)
            else:
                self.table.data[write.key] = Row(write.key, 1, write.value)
        for effect in batch.effects:
            effect()

    def _send(self) -> None:
        for site in self.sites:
            starts, stops, stored = self.sched.orders_for(site.name, self.at)
            for order in starts:
                if self.rng.random() >= self.faults.lost_starts:
                    self._accept(site, order)
            for stop in stops:
                self._stop(site, (stop.task, stop.attempt))
            site.ended = [end for end in site.ended if (end.task, end.attempt) not in stored]

    # Agents and workers

    def _accept(self, site: Site, order: StartOrder) -> None:
        name = (order.task, order.attempt)
        ref = TaskRef.parse(order.task)
        run = self.sched.fleet.runs.get((ref, order.attempt)) if ref is not None else None
        known = name in site.seen or any(name == other for _, other in site.due)
        if run is None or run.worker != site.worker or site.back_at or known:
            return
        site.due.append((self.at + self.faults.late_s, name))

    def _stop(self, site: Site, name: tuple[str, int]) -> None:
        site.due = [item for item in site.due if item[1] != name]
        site.seen.add(name)
        if not any(name == (end.task, end.attempt) for end in site.ended):
            self._end(site, name, "stopped")

    def _end(self, site: Site, name: tuple[str, int], kind: str) -> None:
        site.runs.pop(name, None)
        self._ends += 1
        site.ended.append(RunEnded(self._ends, *name, kind, ""))

    def _work(self, site: Site) -> None:
        if site.back_at:
            if self.at < site.back_at:
                return
            site.back_at = 0.0
            site.life += 1
        for at, name in list(site.due):
            if at <= self.at:
                site.due.remove((at, name))
                self._start(site, name)
        for name, began_at in list(site.runs.items()):
            if self._is_poison(name[0]):
                if self.at - began_at >= self.crash_s:
                    self.crash(site, name[0])
                    return
            elif self._is_lasting(name[0]):
                self._last_seen[name[0]] = self.at
            elif self.at - began_at >= self.work_s:
                self._end(site, name, "done")

    def _is_poison(self, task: str) -> bool:
        return task.split(".")[0] in self.poison

    def _is_lasting(self, task: str) -> bool:
        ref = TaskRef.parse(task)
        return ref is not None and self.specs[ref.job_id].steps[ref.step].lasting

    def _start(self, site: Site, name: tuple[str, int]) -> None:
        task = name[0]
        site.runs[name] = self.at
        site.seen.add(name)
        self.starts[task] += 1
        self.late_starts[task] += self.crashes[task] >= CRASHES_WITHOUT_LIMIT
        if task in self._last_seen:
            absent_s = self.at - self._last_seen[task]
            self.absent_s[task] = max(self.absent_s[task], absent_s)

    def crash(self, site: Site, cause: str = "") -> None:
        """Crash a worker."""
        if cause:
            others = [task for task, _ in site.runs if task.split(".")[0] not in self.poison]
            self.crashes[cause] += 1
            self.lost_beside.update(others)
        site.gone.append(WorkerLife(site.worker))
        site.runs.clear()
        site.seen.clear()
        site.due.clear()
        site.ended.clear()
        site.back_at = self.at + RESTART_S

    def _report(self, site: Site) -> None:
        site.number += 1
        up = not site.back_at
        report = AgentReport(
            site.name,
            f"b{site.boot}",
            site.number,
            self.epoch,
            1,
            site.info() if up else None,
            True,
            [RunStatus(*name, RunPhase.RUNNING, 10) for name in site.runs],
            list(site.ended),
            tuple(site.gone),
        )
        apply_report(self.sched, report, self.epoch, self.at)
        self.sched.fleet.instance(site.name).renewed_at = self.at


def _one_gang(run: Run, other: Run) -> bool:
    same_step = run.ref[:3] == other.ref[:3]
    return run.ref == other.ref or (run.step.gang and same_step)


def run_of(sched: Scheduler, task: str) -> Run:
    """Return the only run of a task."""
    ref = TaskRef.parse(task)
    assert ref is not None
    (run,) = sched.fleet.runs_of(ref)
    return run
