"""Simulation of leaders, agents and workers with random faults, without a network.

Leaders and agents run the product's code.  Messages, the store and workers are simulated, with
faults from a seeded generator.  Invariants are checked at the workers whenever a run starts.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Final, cast

from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import (
    AgentReport,
    AnyNodeMessage,
    LeaderAnnouncement,
    LeaderQuery,
    Orders,
    ZoneNotice,
    reported_life,
)
from sapphirelead.node_ports import ListLife, RunWorker, StartAnswer, StartCall
from sapphirelead.ports import Row
from sapphirelead.runner_service import Runner
from sapphirelead.sched_consolidate import Consolidation
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import EndKind, JobState
from sapphirelead.sched_journal import JOURNAL_PREFIX, SNAPSHOT_PREFIX, SPEC_PREFIX, Journal
from sapphirelead.sched_leaving import empty_leaving_workers
from sapphirelead.sched_planner import plan, wanted_cpu
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import JobSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import Bounds
from sapphirelead.sched_zones import EvacuatedZones
from tests.sched.fakes import FakeRun, FakeWorker, worker_info
from tests.unit.fakes import MemoryTable

CPU = 8000
LEADER = "e"
CONTACT_S: Final = 3.0
"""Time without a fault after which an agent is in touch again."""

SHRINK_GRACE_S: Final = CONTACT_S + 1.5
EVACUATE_S: Final = 5.0
"""Time after the evacuation of a zone from which agents in touch start nothing there."""

CRASH_DELAY_S: Final = 0.01
CRASHES_TO_GIVE_UP: Final = 2
CRASHES_TO_STOP: Final = 3
MAX_STARTS_AFTER_CRASHES: Final = 2
"""Starts of a task, by agents in touch, after :data:`CRASHES_TO_STOP` crashes that it caused."""


class CheckedWorker(FakeWorker):
    """A worker that checks the invariants of the runs it starts.

    :ivar cpu_changes: loop time and value of each CPU capacity that it has had.
    """

    def __init__(self, simulation: "FaultSimulation") -> None:
        super().__init__(simulation.rng.uniform(0.2, 1.5))
        self.simulation = simulation
        self.dead = False
        self.cpu_changes = [(now(), CPU)]

    def largest_cpu(self, since: float) -> int:
        """Return the largest CPU capacity in force at any time since ``since``."""
        earlier = [cpu for at, cpu in self.cpu_changes if at <= since]
        return max([*earlier[-1:], *(cpu for at, cpu in self.cpu_changes if at > since)])

    def _accept_start(self, call: StartCall, late: bool = False) -> StartAnswer:
        known = (call.task, call.attempt) in self.runs
        answer = super()._accept_start(call, late)
        if answer is StartAnswer.STARTED and not known and not self.dead:
            self.simulation.check_start(self, call.task, late)
            if call.task.partition(".")[0] in self.simulation.poison_jobs:
                # An agent that stops closes this worker's client, which must not prevent the crash.
                self.simulation.background.add(asyncio.create_task(self._crash_by(call.task)))
        return answer

    async def _crash_by(self, task: str) -> None:
        await asyncio.sleep(CRASH_DELAY_S)
        if not self.dead:
            self.simulation.crash_by_task(self, task)

    def end(self, run: FakeRun, kind: str) -> None:
        if kind == EndKind.DONE and (run.task, run.attempt) in self.runs:
            self.simulation.done.add(run.task)
        super().end(run, kind)

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Any:
        for end in self.ended:
            if end.number <= stored_through and end.kind == EndKind.DONE:
                self.simulation.acknowledged_done.add(end.task)
        return await super().hold(fencing_token, stored_through, lease_ms, wait_ms)

    def crash(self) -> None:
        if not self.dead:
            self.simulation.crashes_under.update({run.task for run in self.runs.values()})
        self.dead = True
        self.refuses = True
        self.runs.clear()


@dataclass
class Slot:
    """A worker and its agent.

    :ivar generation: number of restarts of the worker.
    :ivar partitioned: messages between the agent and the leader are lost.
    :ivar disturbed_at: loop time at which the last fault of the agent or of its link was over.
    """

    name: str
    worker: CheckedWorker
    generation: int = 0
    partitioned: bool = False
    runner: Runner | None = None
    disturbed_at: float = float("-inf")

    @property
    def in_touch(self) -> bool:
        """Whether the agent has been without a fault long enough for bounds to hold."""
        return not self.partitioned and now() - self.disturbed_at > CONTACT_S

    @property
    def zone(self) -> str:
        """Availability zone of the worker; each has its own."""
        return f"z-{self.name}"

    @property
    def worker_id(self) -> str:
        return f"w-{self.name}-{self.generation}"


class FaultyLinks:
    """An agent's links, which lose and delay messages."""

    def __init__(self, simulation: "FaultSimulation", slot: Slot) -> None:
        self.simulation = simulation
        self.slot = slot

    def send(self, name: str, message: AnyNodeMessage) -> bool:
        if not self.slot.partitioned:
            self.simulation.deliver_later(
                lambda: self.simulation.deliver_to_leader(self.slot, message)
            )
        return True

    def send_all(self, message: AnyNodeMessage) -> None:
        self.send(LEADER, message)

    def set_entries(self, entries: list[Any]) -> None:
        return None

    async def stop(self) -> None:
        return None


@dataclass
class FaultSimulation:
    """The simulated fleet.

    :ivar acknowledged_done: tasks whose end has been acknowledged to the worker.
    :ivar violations: violated invariants.
    :ivar poison_jobs: ids of the jobs whose tasks crash every worker that starts them.
    :ivar capacities_change: whether the capacity of workers shrinks and grows.
    :ivar zones_change: whether zones are evacuated and restored.
    :ivar evacuated_at: evacuated zones, with the loop time of their evacuation.
    :ivar zones_unreadable_until: leaders read no evacuations before this loop time.
    :ivar crashes: number of crashes that each task has caused.
    :ivar crashes_under: number of workers that have crashed, for any cause, with a run of each
        task.
    :ivar starts_after_crashes: starts of each task, by agents in touch, after the last crash that
        it may cause.
    :ivar faults_stopped: no more faults are injected.
    """

    seed: int
    jobs: list[JobSpec]
    poison_jobs: frozenset[str] = frozenset()
    capacities_change: bool = False
    zones_change: bool = False
    evacuated_at: dict[str, float] = field(default_factory=dict)
    zones_unreadable_until: float = float("-inf")
    rng: random.Random = field(init=False)
    table: MemoryTable = field(default_factory=MemoryTable)
    slots: list[Slot] = field(default_factory=list)
    sched: Scheduler | None = None
    epoch: int = 0
    acknowledged_done: set[str] = field(default_factory=set)
    done: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    background: set["asyncio.Task[None]"] = field(default_factory=set)
    faults_stopped: bool = False
    crashes: Counter[str] = field(default_factory=Counter)
    crashes_under: Counter[str] = field(default_factory=Counter)
    starts_after_crashes: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    # Invariants

    def check_start(self, worker: CheckedWorker, task: str, late: bool) -> None:
        """Check the invariants when a run starts.

        :param late: whether the worker executes the start after its caller's timeout.
        """
        ref = TaskRef.parse(task)
        assert ref is not None
        spec = next(job for job in self.jobs if job.job_id == ref.job_id)
        if task in self.acknowledged_done:
            self.violations.append(f"{now():.2f} {task} begins after its end was noted")
        for slot in self.slots:
            other = slot.worker
            other.advance()
            if other is not worker and any(run.task == task for run in other.runs.values()):
                self.violations.append(f"{now():.2f} {task} runs twice")
        for earlier in spec.steps[ref.step].after:
            for number in range(spec.steps[earlier].tasks):
                name = TaskRef(ref.job_id, ref.occurrence, earlier, number).text()
                if name not in self.done:
                    self.violations.append(f"{now():.2f} {task} begins before {name} is done")
        used = sum(self.cpu(run.task) for run in worker.runs.values())
        cpu = worker.largest_cpu(float("-inf") if late else now() - SHRINK_GRACE_S)
        if used > cpu:
            self.violations.append(f"{now():.2f} {used} of {cpu} in use")
        if not late:
            self._check_crash_loop(worker, task)
            self._check_zone(worker, task)

    def _check_zone(self, worker: CheckedWorker, task: str) -> None:
        slot = next((slot for slot in self.slots if slot.worker is worker), None)
        if slot is None or not slot.in_touch:
            return
        evacuated_s = now() - self.evacuated_at.get(slot.zone, float("inf"))
        if evacuated_s > EVACUATE_S:
            text = f"{now():.2f} {task} begins {evacuated_s:.1f} s after its zone's evacuation"
            self.violations.append(text)

    def _check_crash_loop(self, worker: CheckedWorker, task: str) -> None:
        slot = next((slot for slot in self.slots if slot.worker is worker), None)
        if slot is None or not slot.in_touch or self.crashes[task] < CRASHES_TO_STOP:
            return
        self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
            self.violations.append(f"{now():.2f} {task} begins after {self.crashes[task]} crashes")

    def cpu(self, task: str) -> int:
        ref = TaskRef.parse(task)
        assert ref is not None
        spec = next(job for job in self.jobs if job.job_id == ref.job_id)
        return spec.steps[ref.step].cpu_millicores

    # Messages

    def deliver_later(self, deliver: Any) -> None:
        """Deliver with a random delay, or not at all."""
        if not self.faults_stopped and self.rng.random() < 0.08:
            return
        slow = not self.faults_stopped and self.rng.random() < 0.05
        delay = self.rng.uniform(0.5, 4.0) if slow else 0.002
        asyncio.get_running_loop().call_later(delay, deliver)

    def deliver_to_leader(self, slot: Slot, message: AnyNodeMessage) -> None:
        if self.sched is None or slot.runner is None:
            return
        runner = slot.runner
        if isinstance(message, LeaderQuery):
            leads = LeaderAnnouncement(self.epoch, LEADER)
            self.deliver_later(lambda: runner._on_message(LEADER, leads))
        elif (
            isinstance(message, AgentReport)
            and message.epoch <= self.epoch
            and apply_report(self.sched, message, self.epoch, now())
        ):
            self.answer(slot, message.report_number)

    def answer(self, slot: Slot, report_number: int) -> None:
        sched, runner = self.sched, slot.runner
        if sched is None or runner is None:
            return
        instance = sched.fleet.instance(slot.name)
        zones = sched.fleet.zones
        may_start = zones.is_current(self.bounds.evacuate_s, now())
        starts, stops, stored = sched.orders_for(slot.name, now(), may_start)
        known = zones.read_at > float("-inf")
        worker = reported_life(instance.worker)
        if report_number:
            instance.renewed_at = now()
        orders = Orders(
            self.epoch,
            LEADER,
            instance.boot,
            report_number,
            instance.report_number,
            worker,
            starts,
            stops,
            stored,
            zone=ZoneNotice(instance.zone_evacuated, zones.age_s(now())) if known else None,
        )
        if not slot.partitioned:
            self.deliver_later(lambda: runner._on_message(LEADER, orders))

    # The leader

    async def run_leaders(self) -> None:
        """Run successive leaders."""
        while True:
            self.epoch += 1
            found = [
                [self.table.data[key] for key in sorted(self.table.data) if key.startswith(prefix)]
                for prefix in (SPEC_PREFIX, SNAPSHOT_PREFIX, JOURNAL_PREFIX)
            ]
            journal, jobs = Journal.load(*found)
            sched = Scheduler(self.bounds, now())
            for job in jobs.values():
                sched.load(job)
            self.sched = sched
            ends_at = now() + (1e9 if self.faults_stopped else self.rng.uniform(2, 15))
            await self.run_rounds(sched, journal, ends_at)
            self.sched = None
            await asyncio.sleep(self.rng.uniform(0.5, 3))

    async def run_rounds(self, sched: Scheduler, journal: Journal, ends_at: float) -> None:
        consolidation = Consolidation()
        while now() < ends_at or self.faults_stopped:
            at = now()
            sched.end_runs_of_lost_agents(at)
            review(sched, at)
            empty_leaving_workers(sched, at)
            consolidation.review(sched, wanted_cpu(sched), at)
            self.read_zones(sched)
            if sched.fleet.zones.is_current(self.bounds.evacuate_s, at):
                plan(sched, at, int(at * 1000))
            batch = sched.take_batch(int(at * 1000))
            writes = journal.writes(batch, sched.jobs)
            await self.wait_for_store()
            crashed = now() >= ends_at and not self.faults_stopped
            if not crashed or self.rng.random() < 0.5:
                for write in writes:
                    self.table.data.pop(write.key, None)
                    if write.value is not None:
                        self.table.data[write.key] = Row(write.key, 1, write.value)
            if crashed:
                return
            for effect in batch.effects:
                effect()
            for name in list(sched.outgoing):
                self.answer(next(slot for slot in self.slots if slot.name == name), 0)
            await asyncio.sleep(0.05)

    async def wait_for_store(self) -> None:
        """Wait until the store accepts a transaction."""
        if not self.faults_stopped and self.rng.random() < 0.01:
            await asyncio.sleep(self.rng.uniform(0.5, 5))

    def read_zones(self, sched: Scheduler) -> None:
        """Let a leader read the evacuated zones, unless it cannot reach the store."""
        if self.zones_change and now() >= self.zones_unreadable_until:
            sched.set_zones(EvacuatedZones(frozenset(self.evacuated_at), now()))

    @property
    def bounds(self) -> Bounds:
        """Bounds of the deployment."""
        return Bounds(evacuate_s=EVACUATE_S) if self.zones_change else Bounds()

    # Agents and workers

    def connect(self, slot: Slot, life: WorkerLife) -> RunWorker:
        """Return a client of a life of the worker."""
        return slot.worker

    def list_life(self, slot: Slot) -> ListLife | None:
        """Return how an agent lists whichever life its worker has; ``None`` if it cannot."""
        return None

    async def start_agent(self, slot: Slot) -> None:
        def connect(life: WorkerLife, _: str) -> RunWorker:
            return self.connect(slot, life)

        runner = Runner(
            slot.name,
            self.bounds,
            self.table,
            connect,
            cast(Any, None),
            list_life=self.list_life(slot),
        )
        runner._links = cast(Any, FaultyLinks(self, slot))
        slot.runner = runner
        runner.start()
        await self.send_heartbeat(slot)

    async def send_heartbeat(self, slot: Slot) -> None:
        """Send a heartbeat from a worker to its agent."""
        if slot.runner is not None and not slot.worker.dead:
            seq = int(now() * 100)
            cpu = slot.worker.cpu_changes[-1][1]
            info = worker_info(slot.worker_id, cpu=cpu, zone=slot.zone)
            await slot.runner.worker_heartbeat(info, "x", seq)

    async def send_heartbeats(self) -> None:
        while True:
            for slot in self.slots:
                slot.worker.advance()
                await self.send_heartbeat(slot)
            await asyncio.sleep(0.3)

    async def inject_faults(self) -> None:
        """Inject random faults."""
        while not self.faults_stopped:
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            slot = self.rng.choice(self.slots)
            match self.rng.randrange(6):
                case 0:
                    crashed = slot.worker
                    crashed.crash()
                    await asyncio.sleep(self.rng.uniform(0.1, 2))
                    self.replace_worker(slot, crashed)
                case 1:
                    slot.worker.not_responding = True
                    await asyncio.sleep(self.rng.uniform(0.5, 4))
                    slot.worker.not_responding = False
                case 2 if slot.runner is not None:
                    runner, slot.runner = slot.runner, None
                    await runner.stop()
                    await asyncio.sleep(self.rng.uniform(0.1, 1))
                    await self.start_agent(slot)
                    slot.disturbed_at = now()
                case 3:
                    kind = self.rng.choice(["lost", "late", "unanswered"])
                    slot.worker.faults = [kind] * self.rng.randint(1, 4)
                case 5:
                    slot.partitioned = True
                    await asyncio.sleep(self.rng.uniform(1, 14))
                    slot.partitioned = False
                    slot.disturbed_at = now()
                case 4 if slot.worker.runs:
                    self.rng.choice(list(slot.worker.runs.values())).kind = "failed"

    def replace_worker(self, slot: Slot, crashed: CheckedWorker) -> None:
        """Start a new worker in place of a crashed one, unless that has been replaced already."""
        if slot.worker is crashed:
            slot.generation += 1
            slot.worker = CheckedWorker(self)

    def crash_by_task(self, worker: CheckedWorker, task: str) -> None:
        """Crash a worker because of ``task``; a new one starts after a pause."""
        slot = next((slot for slot in self.slots if slot.worker is worker), None)
        if slot is None:
            return
        self.crashes[task] += 1
        worker.crash()
        restart_s = self.rng.uniform(2.0, 4.0)
        asyncio.get_running_loop().call_later(restart_s, self.replace_worker, slot, worker)

    async def change_capacities(self) -> None:
        """Shrink and grow the capacity of random workers; restore it after the faults."""
        while not self.faults_stopped:
            await asyncio.sleep(self.rng.uniform(0.2, 4))
            cpu = self.rng.choice([0, 1000, 2500, 4000, CPU, 2 * CPU])
            self.rng.choice(self.slots).worker.cpu_changes.append((now(), cpu))
        for slot in self.slots:
            slot.worker.cpu_changes.append((now(), CPU))

    async def change_zones(self) -> None:
        """Evacuate and restore random zones, and keep leaders from reading that; end with none."""
        rng = random.Random(self.seed)
        while not self.faults_stopped:
            await asyncio.sleep(rng.uniform(0.05, 5))
            zone = rng.choice(self.slots).zone
            if self.evacuated_at.pop(zone, None) is None:
                self.evacuated_at[zone] = now()
            if rng.random() < 0.3:
                self.zones_unreadable_until = now() + rng.uniform(0.5, 12)
        self.evacuated_at.clear()

    async def submit_jobs(self) -> None:
        """Submit every job until it is stored."""
        for spec in self.jobs:
            while True:
                if self.sched is not None:
                    self.sched.submit(spec, lambda *_: None)
                await asyncio.sleep(0.4)
                if SPEC_PREFIX + spec.job_id in self.table.data:
                    break

    async def run_simulation(self, faults_s: float, recovery_s: float) -> None:
        """Run with faults, then without them until every job has ended or the time is up."""
        self.slots = [Slot(f"g{number}", CheckedWorker(self)) for number in range(3)]
        for slot in self.slots:
            await self.start_agent(slot)
        tasks = [
            asyncio.create_task(work)
            for work in (
                self.run_leaders(),
                self.send_heartbeats(),
                self.submit_jobs(),
                self.inject_faults(),
            )
        ]
        if self.capacities_change:
            tasks.append(asyncio.create_task(self.change_capacities()))
        if self.zones_change:
            tasks.append(asyncio.create_task(self.change_zones()))
        await asyncio.sleep(faults_s)
        self.faults_stopped = True
        until = now() + recovery_s
        while now() < until and not self.ended():
            await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for slot in self.slots:
            if slot.runner is not None:
                await slot.runner.stop()
            await slot.worker.close()
        errors = [r for r in results if isinstance(r, Exception)]
        if errors:
            raise errors[0]

    def ended(self) -> bool:
        """Whether every job is completed or failed."""
        ended = (JobState.COMPLETED, JobState.FAILED)
        return self.sched is not None and all(state in ended for state in self.states().values())

    def failed_without_cause(self) -> set[str]:
        """Return the jobs that have failed with fewer crashes under each task than allow it."""
        excused = {
            task.partition(".")[0]
            for task, crashes in self.crashes_under.items()
            if crashes >= CRASHES_TO_GIVE_UP
        }
        failed = {job_id for job_id, state in self.states().items() if state is JobState.FAILED}
        return failed - excused

    def states(self) -> dict[str, JobState | None]:
        """Return the state of each job, as known to the current leader."""
        assert self.sched is not None
        return {spec.job_id: self.sched.state(spec.job_id) for spec in self.jobs}
