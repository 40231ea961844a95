"""Judges the waits of a simulated fleet against the times within which tasks are promised a run."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from sapphirelead.sched_fleet import Instance, Run, RunKey
from sapphirelead.sched_job import Job
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import Occurrence, TaskRef
from tests.sched.waits_world import Site, WaitsWorld

CALM_S: Final = 7.0
"""Time without disturbance before a wait counts."""

LASTING_BOUND_S: Final = 6.0
"""Time from its last run within which a long-running task must run again."""

JOB_BOUND_S: Final = 3.0
"""Time within which something of a job with nothing running must run, and for which there must have
been room for it."""

START_S: Final = 1.0
"""Part of the time of a long-running task that is left for its start."""

MIN_START_INTERVAL_S: Final = 1.0
"""Minimum time between two starts on a worker that fails everything."""

QUICK_FAILURE_S: Final = 0.1
"""Time within which a worker fails that is seen to be unsound before its next start."""


@dataclass(slots=True)
class Wait:
    """A wait that was longer than promised."""

    subject: str
    at: float
    waited_s: float
    trace: str

    def __str__(self) -> str:
        return f"{self.at:.1f} {self.subject} has waited {self.waited_s:.1f} s: {self.trace}"


@dataclass(slots=True)
class Judge:
    """Checks the waits and the claims of a world after each tick.

    :ivar waits: promises about waits that were broken, one for each subject.
    :ivar problems: other promises that were broken.
    :ivar longest_s: longest wait of a long-running task with room, from its last run.
    """

    world: WaitsWorld
    waits: dict[str, Wait] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    longest_s: float = 0.0
    _ready_at: dict[str, float] = field(default_factory=dict)
    _room_since: dict[str, float] = field(default_factory=dict)
    _known: set[RunKey] = field(default_factory=set)
    _urgent_at: dict[str, float] = field(default_factory=dict)

    def check(self) -> None:
        """Check the state after a tick."""
        if self.world.sched is None:
            self._known = set()
            self._room_since = {}
            return
        self._check_claims()
        half_used = self._half_used()
        for job in self.world.leader.open_jobs.values():
            if job.open:
                self._check_job(job, half_used)

    # Waits

    def _check_job(self, job: Job, half_used: bool) -> None:
        world, job_id = self.world, job.spec.job_id
        waiting = []
        for occurrence, number, index in _ready_tasks(job):
            ref = TaskRef(job_id, occurrence.number, number, index)
            self._ready_at.setdefault(ref.text(), world.at)
            if world.running(ref.text()):
                self._room_since.pop(ref.text(), None)
                world.last_ran[job_id] = world.at
            else:
                waiting.append(ref)
        has_room = [ref for ref in waiting if self._has_room(job, ref)]
        for ref in waiting:
            if ref not in has_room:
                self._room_since.pop(ref.text(), None)
            elif job.spec.steps[ref.step].lasting:
                self._check_task(ref)
        self._check_idle_job(job, has_room, half_used)

    def _check_task(self, ref: TaskRef) -> None:
        world, task = self.world, ref.text()
        room_since = self._room_since.setdefault(task, world.at)
        since = max(world.last_ran.get(task, 0.0), self._ready_at[task])
        due_at = max(since + LASTING_BOUND_S, world.disturbed_at + CALM_S, room_since + JOB_BOUND_S)
        if room_since <= since + 1.0 and world.at - world.disturbed_at > CALM_S:
            self.longest_s = max(self.longest_s, world.at - since)
        if world.at > due_at - START_S:
            self._record(task, ref, since)

    def _check_idle_job(self, job: Job, has_room: list[TaskRef], half_used: bool) -> None:
        world, job_id = self.world, job.spec.job_id
        name = f"job {job_id}"
        if world.running(job_id) or not has_room or half_used:
            self._room_since.pop(name, None)
            return
        room_since = self._room_since.setdefault(name, world.at)
        ready_at = min(self._ready_at[ref.text()] for ref in has_room)
        since = max(world.last_ran.get(job_id, 0.0), ready_at)
        due_at = max(since + JOB_BOUND_S, room_since + JOB_BOUND_S, world.disturbed_at + CALM_S)
        if world.at > due_at:
            self._record(name, has_room[0], since)

    def _record(self, subject: str, ref: TaskRef, since: float) -> None:
        if subject not in self.waits:
            trace = f"{self._trace(ref)}; {' | '.join(self.world.events[ref.text()][-8:])}"
            self.waits[subject] = Wait(subject, self.world.at, self.world.at - since, trace)

    def _trace(self, ref: TaskRef) -> str:
        """Return the state of the task and of each worker with room for it."""
        world = self.world
        sched = world.leader
        job = sched.jobs[ref.job_id]
        step = job.spec.steps[ref.step]
        suspect = sched.quarantine.is_suspect(ref)
        found = [
            f"lasting={step.lasting} fills={step.fills} gang={step.gang} suspect={suspect}"
            f" advice={job.spec.policy.advice is not None} per_worker={step.per_worker}"
            f" claims={[(run.agent, run.phase) for run in sched.fleet.runs_of(ref)]}"
            f" disturbed={world.disturbed_at:.1f}"
        ]
        for site in world.sites.values():
            instance = sched.fleet.instance(site.name)
            track = instance.track
            if self._slots(site, ref, step) >= 2:
                found.append(
                    f"{site.name}: sound={track.sound(world.at)} trial={track.on_trial}"
                    f" cooldown={track.cooldown_until - world.at:.1f}"
                    f" fault={world.at - track.last_fault_at:.1f}"
                    f" claim={world.at - instance.newest_claim_at:.1f}"
                    f" isolated={instance.isolated} no_room={instance.no_room_until - world.at:.1f}"
                )
        return "; ".join(found)

    # Room

    def _half_used(self) -> bool:
        sites = [site for site in self.world.sites.values() if not site.down_until]
        used = sum(self.world.instance_cpu(site).cpu_millicores for site in sites)
        return 2 * used >= sum(site.cpu for site in sites)

    def _has_room(self, job: Job, ref: TaskRef) -> bool:
        """Whether a sound worker has room for a task, or for a whole gang, twice over."""
        step = job.spec.steps[ref.step]
        slots = [self._slots(site, ref, step) for site in self.world.sites.values()]
        if step.gang:
            limit = step.per_worker or step.tasks
            members = sum(min(number // 2, limit) for number in slots)
            return members >= step.tasks and not self._gang_runs(ref)
        return max(slots, default=0) >= 2

    def _gang_runs(self, ref: TaskRef) -> bool:
        return any(run.ref[:3] == ref[:3] for run in self.world.leader.fleet.runs.values())

    def _slots(self, site: Site, ref: TaskRef, step: StepSpec) -> int:
        """Return how many tasks of a step a sound worker has room for."""
        if not site.sound or self.world.at < max(site.silent_until, site.refuses_until):
            return 0
        if step.label and step.label not in site.labels:
            return 0
        instance = self.world.leader.fleet.instance(site.name)
        if step.per_worker and instance.count_of_step(ref) >= step.per_worker:
            return 0
        if instance.worker is None:
            return 0
        free = instance.worker.capacity - instance.used
        cpu = free.cpu_millicores // max(1, step.cpu_millicores)
        return min(cpu, free.memory_mb // max(1, step.memory_mb))

    # Claims

    def _check_claims(self) -> None:
        sched, at = self.world.leader, self.world.at
        new = [run for key, run in sched.fleet.runs.items() if key not in self._known]
        for site in self.world.sites.values():
            instance = sched.fleet.instance(site.name)
            if instance.over_capacity:
                self.problems.append(f"{at:.1f} claims exceed the capacity of {site.name}")
            if site.failing is not None and site.failing.share == 1.0:
                claims = [run for run in new if run.agent == site.name and run.claimed_at == at]
                self._check_failing(site, instance, claims)
        self._known = set(sched.fleet.runs)

    def _check_failing(self, site: Site, instance: Instance, claims: list[Run]) -> None:
        """Check the claims on a worker that fails all runs quickly, once that is known."""
        assert site.failing is not None
        track, at = instance.track, self.world.at
        if not claims or site.failing.max_s > QUICK_FAILURE_S or not track.on_trial:
            return
        tried = self._tried_at(instance, at) > track.last_fault_at
        kept = [run for run in claims if not self._is_promised(run)]
        if kept and (tried or not track.sound(at)):
            self.problems.append(f"{at:.1f} {kept[0].ref.text()} joins unsound {site.name}")
        steps = {run.ref[:3] if run.step.gang else run.ref for run in claims}
        since_s = at - self._urgent_at.get(site.name, 0.0)
        if len(steps) > 1 or (tried and since_s < MIN_START_INTERVAL_S - 0.01):
            tasks = [run.ref.text() for run in claims]
            self.problems.append(
                f"{at:.1f} {tasks} start on failing {site.name} {since_s:.1f} s after the last one"
            )
        self._urgent_at[site.name] = at

    @staticmethod
    def _tried_at(instance: Instance, at: float) -> float:
        """Return when the latest run was claimed before this tick."""
        claimed = [run.claimed_at for run in instance.runs.values() if run.claimed_at < at]
        return max(claimed, default=-1.0)

    def _is_promised(self, run: Run) -> bool:
        others = self.world.leader.fleet.runs.values()
        return run.step.lasting or not any(
            other.ref[:2] == run.ref[:2] and other.claimed_at < run.claimed_at for other in others
        )


def _ready_tasks(job: Job) -> Iterator[tuple[Occurrence, int, int]]:
    """Yield the tasks whose turn has come and that are not done, with their steps."""
    for occurrence in job.occurrences.values():
        for number, step in enumerate(job.spec.steps):
            if occurrence.step_ready(step):
                for index, task in enumerate(occurrence.tasks[number]):
                    if not task.done:
                        yield occurrence, number, index
