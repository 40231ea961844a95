"""State machine of the leader: turns calls, agent reports and time into changes and orders.

Performs no I/O.  The caller stores the batch that :meth:`Scheduler.take_batch` returns, and then
runs the batch's effects.

Invariants:

- A start is sent only after its claim is stored.  Ends are acknowledged to agents, and acceptances,
  cancellations and final states to callers, only after they are stored.
- A run keeps its claim and its resources until its end is known: the worker reports it, the worker
  process is known to have ended, or the agent's lease has expired.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import (
    ReplyKind,
    StartOrder,
    StopOrder,
    reported_life,
)
from sapphirelead.node_ports import StartAnswer
from sapphirelead.sched_advice import TicketTable
from sapphirelead.sched_cancels import CancelLatency
from sapphirelead.sched_crashes import CrashEvidence, evidence_of
from sapphirelead.sched_feasibility import InfeasibleCache
from sapphirelead.sched_fleet import Fleet, Instance, Phase, Run, RunKey
from sapphirelead.sched_inherited import Inherited
from sapphirelead.sched_interference_guard import GuardedInterferenceModel
from sapphirelead.sched_job import EndEffect, EndKind, Job, JobDelta, JobFailure, JobState
from sapphirelead.sched_memory import LeaderMemory
from sapphirelead.sched_moves import Moves
from sapphirelead.sched_observations import resume_observations, run_notes
from sapphirelead.sched_quarantine import Quarantine, may_have_taken_agent
from sapphirelead.sched_renewals import PriorRenewals
from sapphirelead.sched_restarts import RestartLatency
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_step_waits import idle_waits, wait_notes
from sapphirelead.sched_task import Claim, Task, TaskRef
from sapphirelead.sched_timing import Bounds
from sapphirelead.sched_track import track_notes
from sapphirelead.sched_waits import TaskWaits

NEVER_REPORTED: Final = -1
"""Logged as the silence of an agent that has not reported to this leader."""

Answer = Callable[[ReplyKind, str], None]
"""Replies to a call, with the job's state or a reason."""


@dataclass(slots=True)
class Batch:
    """Changes to store, and the effects to run once they are stored.

    :ivar specs: new jobs.
    :ivar removed: ids of jobs to delete.
    """

    specs: list[JobSpec]
    deltas: list[JobDelta]
    removed: list[str]
    effects: list[Callable[[], None]]


@dataclass(slots=True)
class Outgoing:
    """Orders queued for one agent.

    :ivar stored: ends to acknowledge, by task and attempt.
    """

    starts: list[Run] = field(default_factory=list)
    stops: list[tuple[str, int]] = field(default_factory=list)
    stored: list[tuple[str, int]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.starts or self.has_unrestricted_orders)

    @property
    def has_unrestricted_orders(self) -> bool:
        """Whether there are orders that may always be sent."""
        return bool(self.stops or self.stored)


class Scheduler:
    """Jobs, runs, and the pending writes and orders that follow from them.

    :ivar open_jobs: the jobs whose end is not part of a batch yet.
    :ivar began_at: when this leader took over.
    :ivar visible_states: stored states, as reported to callers.
    :ivar effects: callbacks to run once the next batch is stored.
    :ivar unstored_ends: runs whose end has been reported but not stored.
    :ivar ready_since: when each ready step became ready.
    :ivar waits: long-running tasks that wait for a worker.
    :ivar unserved_at: by service, the latest time at which it had no worker after it had one; may
        be forgotten, waits are bounded without it.
    :ivar retry_at: when a best-effort step that found no room is tried again; may be forgotten, it
        only saves time.
    :ivar inherited: what previous leaders have learnt and this one has not needed yet.
    :ivar moves: when long-running tasks were last moved.
    :ivar quarantine: tasks under which workers have crashed.
    """

    jobs: dict[str, Job]
    open_jobs: dict[str, Job]
    fleet: Fleet
    advice: TicketTable
    bounds: Bounds
    policies: dict[str, QueuePolicy]
    outgoing: dict[str, Outgoing]
    began_at: float
    visible_states: dict[str, JobState]
    _dirty: dict[str, None]
    _unstored: set[str]
    _removed: set[str]
    _ended: list[tuple[int, str]]
    effects: list[Callable[[], None]]
    unstored_ends: set[RunKey]
    _answers: dict[str, list[Answer]]
    ready_since: dict[tuple[str, int, int], float]
    waits: TaskWaits
    unserved_at: dict[str, float]
    _served: set[str]
    retry_at: dict[tuple[str, int, int], float]
    infeasible_cache: InfeasibleCache
    inherited: Inherited
    moves: Moves
    interference: GuardedInterferenceModel
    cancel_latency: CancelLatency
    restart_latency: RestartLatency
    quarantine: Quarantine

    def __init__(
        self,
        bounds: Bounds,
        at: float,
        cancel_latency: CancelLatency | None = None,
        restart_latency: RestartLatency | None = None,
        prior: PriorRenewals | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        """Create a scheduler without jobs.

        :param prior: renewals of leases by previous leaders; by default unknown.
        """
        self.jobs = {}
        self.open_jobs = {}
        self.fleet = Fleet(prior or PriorRenewals.unknown(at))
        self.advice = TicketTable()
        self.bounds = bounds
        self.policies = {}
        self.outgoing = {}
        self.began_at = at
        self.visible_states = {}
        self.ready_since = {}
        self.waits = TaskWaits()
        self.unserved_at = {}
        self._served = set()
        self.retry_at = {}
        self.infeasible_cache = InfeasibleCache()
        self.inherited = Inherited()
        self.moves = Moves()
        self.interference = GuardedInterferenceModel()
        self.cancel_latency = cancel_latency or CancelLatency(Metrics(lambda: at), lambda: at)
        self.restart_latency = restart_latency or RestartLatency(Metrics(lambda: at), lambda: at)
        self.quarantine = quarantine or Quarantine(Metrics(lambda: at))
        self._dirty = {}
        self._unstored = set()
        self._removed = set()
        self._ended = []
        self.effects = []
        self.unstored_ends = set()
        self._answers = {}

    # Loading stored jobs

    def load(self, job: Job) -> None:
        """Add a stored job.

        Its claims count as sent until the agents' reports show which starts arrived.
        """
        self.jobs[job.spec.job_id] = job
        if job.ended_ms:
            heappush(self._ended, (job.ended_ms, job.spec.job_id))
        else:
            self.open_jobs[job.spec.job_id] = job
        self.visible_states[job.spec.job_id] = job.state
        if job.open:
            self.quarantine.load(job)
        for ref, claim in job.claims():
            step = job.spec.steps[ref.step]
            run = Run(ref, claim.attempt, claim.agent, claim.worker, step, Phase.SENT)
            run.isolated = self.quarantine.is_suspect(ref)
            run.stop_wanted = not job.open or bool(self._task_done(job, ref))
            self.fleet.add(run)

    def inherit(self, memory: LeaderMemory, at: float) -> None:
        """Take over what the predecessor has learnt, after its jobs have been loaded.

        :param at: latest time at which the predecessor stored it.
        """
        self.inherited.load(memory, at)
        self.moves.load(memory.moved_ms, at)
        self.waits.load(memory.task_waits_ms)
        resume_observations(self.fleet.runs.values(), memory.runs)
        for instance in self.fleet.live():
            if not instance.track.has_faults:
                instance.track = self.inherited.take_track(reported_life(instance.worker))

    def memory(self, at: float) -> LeaderMemory:
        """Return what a successor should start from."""
        waits_s = self.inherited.waits_s | idle_waits(self.ready_since, self.jobs, at)
        return LeaderMemory(
            track_notes(self.inherited.tracks | self.fleet.faulty_tracks(), at),
            wait_notes(waits_s),
            run_notes(self.fleet.runs.values(), self.quarantine),
            self.moves.notes(at),
            self.waits.notes(at),
        )

    @staticmethod
    def _task_done(job: Job, ref: TaskRef) -> bool:
        task = job.task(ref)
        return task is not None and task.done

    # Callers

    def submit(self, spec: JobSpec, answer: Answer) -> None:
        """Accept a job; a repeated submission is answered together with the first."""
        known = self.jobs.get(spec.job_id)
        if known is None:
            job = self.jobs[spec.job_id] = self.open_jobs[spec.job_id] = Job.accept(spec)
            self._unstored.add(spec.job_id)
            self._answers[spec.job_id] = [answer]
            self._mark_dirty(spec.job_id)
            self.effects.append(lambda: self._acceptance_stored(job))
            return
        if spec.job_id in self._answers:
            self._answers[spec.job_id].append(answer)
            return
        answer(ReplyKind.OK, self.visible_states[spec.job_id])

    def _acceptance_stored(self, job: Job) -> None:
        """Answer the callers of a job that has been stored.

        Ignores the effect of a submission that was withdrawn: a repeat under the same id is not
        stored yet, so acknowledging it could lose the job when the leader changes.
        """
        spec = job.spec
        if self.jobs.get(spec.job_id) is not job:
            return
        self.visible_states[spec.job_id] = JobState.QUEUED
        for answer in self._answers.pop(spec.job_id, []):
            answer(ReplyKind.OK, JobState.QUEUED)
        log_event("INFO", "job_accepted", job=spec.job_id, queue=spec.queue, steps=len(spec.steps))

    def withdraw(self, job_id: str) -> bool:
        """Drop a submission; return ``False`` if its write has already been sent."""
        if job_id not in self._unstored:
            return False
        self._unstored.discard(job_id)
        job = self.jobs.pop(job_id)
        self.open_jobs.pop(job_id, None)
        for ref, claim in job.claims():
            run = self.fleet.runs.get((ref, claim.attempt))
            if run is not None:
                self.fleet.drop(run)
        self._dirty.pop(job_id, None)
        self.visible_states.pop(job_id, None)
        for answer in self._answers.pop(job_id, []):
            answer(ReplyKind.NOT_RUN, "the store does not answer")
        return True

    def knows(self, job_id: str) -> bool:
        """Whether a job is stored, or its write has been sent."""
        return job_id in self.jobs and job_id not in self._unstored

    def state(self, job_id: str) -> JobState | None:
        """Return the stored state of a job, or ``None`` if there is no such job."""
        return self.visible_states.get(job_id)

    def failure(self, job_id: str) -> JobFailure | None:
        """Return why a job failed; ``None`` if it is not stored as failed."""
        if self.visible_states.get(job_id) is not JobState.FAILED:
            return None
        return self.jobs[job_id].failure()

    def waiting(self, queue: str) -> int:
        """Count the queue's accepted jobs that have not started."""
        jobs = self.open_jobs.values()
        return sum(1 for job in jobs if job.spec.queue == queue and job.waiting)

    def cancel(self, job_id: str, answer: Answer) -> None:
        """Cancel a job; has no effect on a job that has ended."""
        job = self.jobs.get(job_id)
        if job is None:
            answer(ReplyKind.ABSENT, "")
            return
        if not job.open:
            self.effects.append(lambda: answer(ReplyKind.OK, self.visible_states.get(job_id, "")))
            return
        job.cancelled = True
        self.cancel_latency.received(job_id)
        self._mark_dirty(job_id)
        self.effects.append(lambda: self._cancellation_stored(job_id, answer))

    def _cancellation_stored(self, job_id: str, answer: Answer) -> None:
        self._publish_state(job_id)
        answer(ReplyKind.OK, JobState.CANCELLED)
        runs = [run.key for run in self.fleet.runs.values() if run.ref.job_id == job_id]
        self.cancel_latency.stored(job_id, runs)
        self._stop_all(job_id, "cancelled")

    # Agents

    def end_runs_of_lost_agents(self, at: float) -> None:
        """End the runs of agents whose lease has certainly expired."""
        for instance in list(self.fleet.instances.values()):
            if not instance.runs or at - instance.lease_since <= self.bounds.loss_s:
                continue
            log_event(
                "WARNING",
                "agent_lost",
                agent=instance.agent,
                runs=len(instance.runs),
                silent_s=at - instance.last_report_at if instance.boot else NEVER_REPORTED,
                since_renewal_s=at - instance.renewed_at,
                renewal=instance.renewal_source,
                led_s=at - self.began_at,
            )
            draining = instance.worker is not None and instance.worker.draining
            instance.worker = None
            for run in list(instance.runs.values()):
                if run.phase is not Phase.CLAIMED:
                    crashed = not draining and may_have_taken_agent(run)
                    evidence = evidence_of(run.watch.alive_s, crashed)
                    self.end(run, EndKind.LOST, "", "agent_silent", at, evidence)

    # Runs

    def claim(self, job: Job, ref: TaskRef, instance: Instance, at: float, attempt: int = 0) -> Run:
        """Claim the next attempt of a task for ``instance``."""
        assert instance.worker is not None
        claim = job.claim(ref, instance.agent, instance.worker.worker, attempt)
        step = job.spec.steps[ref.step]
        run = Run(ref, claim.attempt, instance.agent, claim.worker, step, claimed_at=at)
        run.ticket = self.advice.ticket(ref, claim.worker)
        run.isolated = self.quarantine.is_suspect(ref)
        self.fleet.add(run)
        if instance.arrival is not None:
            instance.arrival.count(step)
        self._mark_dirty(job.spec.job_id)
        self.effects.append(lambda: self._claim_stored(run))
        return run

    def move_claim(self, run: Run, life: WorkerLife) -> None:
        """Record that a run is on another life of its worker than claimed."""
        run.worker = life
        job = self.jobs.get(run.ref.job_id)
        if job is not None:
            job.move_claim(run.ref, run.attempt, life)
            self._mark_dirty(run.ref.job_id)

    def add_tentative_run(self, job: Job, ref: TaskRef, instance: Instance, attempt: int) -> Run:
        """Reserve resources for a run without a claim, to test whether several tasks fit together.

        The caller must drop the run afterwards.
        """
        run = Run(
            ref, attempt, instance.agent, reported_life(instance.worker), job.spec.steps[ref.step]
        )
        self.fleet.add(run)
        return run

    def _claim_stored(self, run: Run) -> None:
        if self.fleet.runs.get(run.key) is not run:
            return
        job = self.jobs.get(run.ref.job_id)
        run.phase = Phase.SENT
        if job is None or not job.open or run.stop_wanted or self._task_done(job, run.ref):
            # No start has been sent for this claim.
            self.end(run, EndKind.NOT_STARTED, "", "no_longer_wanted", 0.0)
            return
        if self.fleet.instance(run.agent).over_capacity:
            self.end(run, EndKind.NOT_STARTED, "", StartAnswer.NO_ROOM, 0.0)
            return
        if self.visible_states.get(run.ref.job_id) is JobState.QUEUED:
            self.visible_states[run.ref.job_id] = JobState.RUNNING
        self.outgoing_for(run.agent).starts.append(run)

    def stop(self, run: Run, reason: str) -> None:
        """Request that a run stops."""
        if run.stop_wanted:
            return
        run.stop_wanted = True
        run.stop_reason = reason
        if run.phase is not Phase.CLAIMED:
            self.outgoing_for(run.agent).stops.append((run.ref.text(), run.attempt))

    def _stop_all(self, job_id: str, reason: str) -> None:
        for run in list(self.fleet.runs.values()):
            if run.ref.job_id == job_id:
                self.stop(run, reason)

    def end(
        self,
        run: Run,
        kind: EndKind,
        saved: str,
        reason: str,
        at: float,
        evidence: CrashEvidence | None = None,
    ) -> EndEffect:
        """Record the end of a run; return its effect on the job.

        :param evidence: what the end says about the task's part in a crash of its worker; by
            default there was none.
        """
        if evidence is None:
            evidence = evidence_of(run.watch.alive_s)
        self.fleet.drop(run)
        instance = self.fleet.instances.get(run.agent)
        if instance is not None and run.stop_reason != "cancelled":
            self._update_track_record(instance, run, kind, reason, at)
        job = self.jobs.get(run.ref.job_id)
        effect = EndEffect.IGNORED
        if job is not None:
            effect = job.end_run(run.ref, run.attempt, kind, saved, evidence)
            if evidence.counts or run.ref in self.quarantine:
                self.quarantine.run_ended(job, run, effect)
            if evidence.counts and effect is EndEffect.JOB_FAILED:
                self._excuse_others(job, run.ref)
            self._mark_dirty(run.ref.job_id)
        log_event(
            "INFO",
            "run_ended",
            task=run.ref.text(),
            attempt=run.attempt,
            agent=run.agent,
            worker=run.worker,
            how=kind,
            reason=reason or run.stop_reason or "-",
            percent=run.percent,
            ran_s=at - run.running_at if run.running_at else -1,
            effect=effect,
        )
        if kind in (EndKind.FAILED, EndKind.NOT_STARTED):
            self.avoid(run)
        self.cancel_latency.run_ended(run.ref.job_id, run.key)
        if kind is EndKind.NOT_STARTED and run.step.gang:
            self._stop_gang_of(run)
        if job is not None:
            if kind is not EndKind.NOT_STARTED:
                self._restart_wait(job, run, at)
            if run.step.lasting and job.open:
                self.restart_latency.run_ended(run.ref, run.attempt, reason or run.stop_reason)
            self._after_end(job, run.ref, effect)
        return effect

    def _restart_wait(self, job: Job, run: Run, at: float) -> None:
        """Let the wait of a task, and that of its job, begin with the end of a run."""
        self.waits.restart(run.ref, at)
        occurrence = job.occurrences.get(run.ref.occurrence)
        if occurrence is not None:
            occurrence.ran_at = at

    def is_starting(self, ref: TaskRef) -> bool:
        """Return whether a task has a run that has not been reported to run."""
        return any(run.phase in (Phase.CLAIMED, Phase.SENT) for run in self.fleet.runs_of(ref))

    def disprove_crash(self, worker: WorkerLife) -> None:
        """Take back the crash of a worker that is alive: it was only out of touch."""
        self._take_back_crashes(frozenset({worker}), self.quarantine.disprove)

    def count_crash_after_end(self, run: Run) -> None:
        """Count the crash of a worker for a run that ended there just before."""
        job = self.jobs.get(run.ref.job_id)
        if job is None:
            return
        claim = Claim(run.attempt, run.agent, run.worker)
        effect = job.record_crash_after_end(run.ref, claim)
        if effect is EndEffect.IGNORED:
            return
        self.quarantine.run_ended(job, run, effect)
        if effect is EndEffect.JOB_FAILED:
            self._excuse_others(job, run.ref)
        self._mark_dirty(run.ref.job_id)
        self._after_end(job, run.ref, effect)

    def _excuse_others(self, culprit: Job, ref: TaskRef) -> None:
        """Take back the crashes under a task that is given up from those that ran beside it."""
        self._take_back_crashes(culprit.crashed_workers(ref), self.quarantine.excuse)

    def _take_back_crashes(
        self,
        workers: frozenset[WorkerLife],
        take_back: Callable[[Job, TaskRef, frozenset[WorkerLife]], bool],
    ) -> None:
        """Take back the crashes of ``workers`` from the tasks of open jobs.

        :param take_back: returns whether any of them counted for a task.
        """
        for ref in self.quarantine.crashed_on(workers):
            job = self.jobs.get(ref.job_id)
            if job is not None and job.open and take_back(job, ref, workers):
                self._mark_dirty(ref.job_id)

    def end_late(self, ref: TaskRef, attempt: int, agent: str) -> bool:
        """Record that a run whose claim has ended, because it counted as lost, has ended well.

        :return: whether this completed the task.
        """
        job = self.jobs.get(ref.job_id)
        effect = job.record_late_done(ref, attempt) if job is not None else EndEffect.IGNORED
        if job is None or effect is EndEffect.IGNORED:
            return False
        log_event(
            "INFO", "run_ended_late", task=ref.text(), attempt=attempt, agent=agent, effect=effect
        )
        self.quarantine.update(job, ref)
        self._mark_dirty(ref.job_id)
        for member in job.members(ref):
            self._after_end(job, member, effect)
        return True

    def has_superseded_runs(self, ref: TaskRef) -> bool:
        """Return whether a task that is done has runs that could still begin, and no copies."""
        job = self.jobs.get(ref.job_id)
        task = job.task(ref) if job is not None else None
        if job is None or task is None or not task.done or job.spec.steps[ref.step].copies:
            return False
        return any(self.fleet.runs_of(member) for member in job.members(ref))

    def task(self, ref: TaskRef) -> Task | None:
        """Return a task of a known job, if its occurrence is in progress."""
        job = self.jobs.get(ref.job_id)
        return job.task(ref) if job is not None else None

    def avoid(self, run: Run) -> None:
        """Prefer other workers than that of ``run`` for its task; stored with its end."""
        task = self.task(run.ref)
        if task is not None and not task.done:
            task.add_avoided(run.agent, run.worker)

    def avoided(self, ref: TaskRef) -> frozenset[str]:
        """Return the agents whose present workers a task avoids."""
        task = self.task(ref)
        if task is None or not task.avoid:
            return frozenset()
        return frozenset(
            agent
            for agent, worker in task.avoid
            if reported_life(self.fleet.instance(agent).worker) == worker
        )

    def record_services(self, services: set[str], at: float) -> None:
        """Record which services have workers.

        Tasks that wait while there are none must not all join the first worker that returns.
        """
        for service in self._served - services:
            self.unserved_at[service] = at
        self._served |= services

    def waited_s(self, step: tuple[str, int, int], service: str, at: float) -> float:
        """Return for how long a ready step has waited while its service had workers."""
        return at - max(self.ready_since[step], self.unserved_at.get(service, -math.inf))

    def task_waited_s(self, ref: TaskRef, service: str, at: float) -> float:
        """Return for how long a long-running task has waited while its service had workers."""
        return at - max(self.waits.since(ref, at), self.unserved_at.get(service, -math.inf))

    def review_quarantine(self) -> None:
        """End the isolation of runs after their probation, and clear tasks that ran for long."""
        for ref in self.quarantine.review(self.jobs, self.fleet):
            self.quarantine.clear(self.jobs[ref.job_id], ref)
            self._mark_dirty(ref.job_id)

    def _update_track_record(
        self, instance: Instance, run: Run, kind: EndKind, reason: str, at: float
    ) -> None:
        if instance.worker is None or instance.worker.worker != run.worker or not at:
            return
        if kind is EndKind.DONE and run.step.estimate_ms and run.running_at:
            took_s = max(at - run.running_at, 0.05)
            share = (100 - run.seen_percent) / 100
            speed = share * run.step.estimate_ms / 1000 / took_s
            instance.track.record_success(1.0 if run.step.fills and speed < 1.0 else speed)
        elif kind is EndKind.DONE:
            if run.claimed_at > instance.track.last_fault_at:
                instance.track.record_sound_run()
        elif kind is EndKind.NOT_STARTED and reason == StartAnswer.NO_ROOM:
            instance.record_no_room(run.step, at)
        elif kind is EndKind.FAILED or (kind is EndKind.NOT_STARTED and not run.stop_wanted):
            # A refused start counts as a failure too; otherwise the task would be claimed for the
            # same worker in every planning pass.
            instance.track.record_failure(at)

    def _stop_gang_of(self, run: Run) -> None:
        """Stop the members that would wait in vain for ``run``, which did not start."""
        for other in self.fleet.runs.values():
            if other.ref[:3] == run.ref[:3] and other.attempt == run.attempt:
                self.stop(other, "gang_incomplete")

    def _after_end(self, job: Job, ref: TaskRef, effect: EndEffect) -> None:
        if effect in (EndEffect.TASK_DONE, EndEffect.JOB_COMPLETED):
            for other in self.fleet.runs_of(ref):
                self.stop(other, "copy_won")
        if effect is EndEffect.JOB_FAILED:
            self._stop_all(job.spec.job_id, "job_failed")
        if effect in (EndEffect.JOB_COMPLETED, EndEffect.JOB_FAILED):
            job_id = job.spec.job_id
            self.effects.append(lambda: self._publish_state(job_id))

    def _publish_state(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is None:
            return
        self.visible_states[job_id] = job.state
        log_event("INFO", "job_state", job=job_id, state=job.state)

    # Storing and sending

    def _mark_dirty(self, job_id: str) -> None:
        self._dirty[job_id] = None

    @property
    def has_pending_writes(self) -> bool:
        """Whether changes or effects are pending."""
        return bool(self._dirty or self.effects or self._removed)

    def take_batch(self, wall_ms: int) -> Batch:
        """Return all pending changes and effects, and reset them."""
        batch = Batch([], [], sorted(self._removed), self.effects)
        for job_id in self._dirty:
            job = self.jobs.get(job_id)
            if job is None:
                continue
            if not job.open and not job.ended_ms:
                job.ended_ms = wall_ms
                self.open_jobs.pop(job_id, None)
                heappush(self._ended, (wall_ms, job_id))
            if job_id in self._unstored:
                batch.specs.append(job.spec)
            batch.deltas.append(job.take_delta())
        self._dirty = {}
        self._unstored = set()
        self._removed = set()
        self.effects = []
        return batch

    def evict_ended(self, wall_ms: int) -> None:
        """Delete jobs without claims that ended more than twice the retention period ago."""
        keep_ms = int(self.bounds.keep_ended_s * 1000) * 2
        running = []
        while self._ended and wall_ms - self._ended[0][0] >= keep_ms:
            ended = heappop(self._ended)
            job_id = ended[1]
            if any(True for _ in self.jobs[job_id].claims()):
                running.append(ended)
                continue
            del self.jobs[job_id]
            self.restart_latency.forget(job_id)
            self.visible_states.pop(job_id, None)
            self._dirty.pop(job_id, None)
            self._removed.add(job_id)
            self.interference.forget(job_id)
        for ended in running:
            heappush(self._ended, ended)

    def outgoing_for(self, agent: str) -> Outgoing:
        """Return the queue of orders for ``agent``."""
        found = self.outgoing.get(agent)
        if found is None:
            found = self.outgoing[agent] = Outgoing()
        return found

    def start_order(self, run: Run) -> StartOrder | None:
        """Return the order that starts ``run``, or ``None`` if it is no longer wanted."""
        job = self.jobs.get(run.ref.job_id)
        if job is None or run.stop_wanted or self.fleet.runs.get(run.key) is not run:
            return None
        task = job.task(run.ref)
        if task is None:
            return None
        step: StepSpec = run.step
        return StartOrder(
            run.ref.text(),
            run.attempt,
            job.spec.payload,
            task.saved,
            run.ticket,
            step.room,
            step.image,
            step.target_ms,
            step.fills,
            step.cpu_millicores,
        )

    def orders_for(
        self, agent: str, at: float, may_start: bool = True
    ) -> tuple[list[StartOrder], list[StopOrder], list[tuple[str, int]]]:
        """Remove and return the orders queued for ``agent``.

        :param may_start: whether to include the starts, which stay queued otherwise.
        :return: starts, stops, and the ends to acknowledge.
        """
        out = self.outgoing.pop(agent, None)
        if out is None:
            return [], [], []
        if not may_start and out.starts:
            self.outgoing[agent] = Outgoing(starts=out.starts)
            out.starts = []
        starts = []
        number = self.fleet.instance(agent).orders_sent
        # A start that was held back may have been queued again.
        for run in dict.fromkeys(out.starts):
            order = self.start_order(run)
            if order is not None:
                run.sent_at = at
                run.sent_in = number
                starts.append(order)
        stops = [StopOrder(task, attempt) for task, attempt in dict.fromkeys(out.stops)]
        return starts, stops, out.stored

    def policy_of(self, job: Job) -> QueuePolicy:
        """Return the queue's current policy, or the one at acceptance if the queue was removed."""
        return self.policies.get(job.spec.queue, job.spec.policy)
