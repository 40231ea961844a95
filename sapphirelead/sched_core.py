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
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Final

from sapphirelead.blame.corrections import disprove_crash, excuse_others
from sapphirelead.blame.counts import CrashEvidence, evidence_of
from sapphirelead.blame.evidence import may_have_taken_agent
from sapphirelead.fairness.sharing import FairSharing
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
from sapphirelead.sched_batch import Batch, PendingChanges
from sapphirelead.sched_cancels import CancelLatency
from sapphirelead.sched_end_history import EndHistory
from sapphirelead.sched_feasibility import InfeasibleCache
from sapphirelead.sched_fleet import Fleet, Instance, Phase, Run, RunKey
from sapphirelead.sched_inherited import Inherited, log_inherited
from sapphirelead.sched_interference_guard import GuardedInterferenceModel
from sapphirelead.sched_job import EndEffect, EndKind, Job, JobFailure, JobState
from sapphirelead.sched_lengths import DeclaredLengths, LengthEstimator
from sapphirelead.sched_memory import LeaderMemory, to_ms
from sapphirelead.sched_moves import Moves
from sapphirelead.sched_observations import resume_observations, run_notes
from sapphirelead.sched_observers import RunObserver
from sapphirelead.sched_orders import OrderQueues
from sapphirelead.sched_quarantine import Quarantine
from sapphirelead.sched_renewals import PriorRenewals
from sapphirelead.sched_reservations import Reservations
from sapphirelead.sched_restarts import RestartLatency
from sapphirelead.sched_retention import EndedJobs
from sapphirelead.sched_run_ends import (
    PREEMPTED,
    counted_kind,
    log_end,
    update_track_record,
)
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_step_waits import idle_waits, wait_notes
from sapphirelead.sched_submissions import Answer, Submissions
from sapphirelead.sched_task import Claim, Task, TaskRef
from sapphirelead.sched_task_waits import TaskWaits
from sapphirelead.sched_timing import Bounds
from sapphirelead.sched_track import track_notes
from sapphirelead.sched_zones import ZONE_EVACUATED, ZONE_REFUSALS, EvacuatedZones

NEVER_REPORTED: Final = -1
"""Logged as the silence of an agent that has not reported to this leader."""


class Scheduler:
    """Jobs, runs, and the pending writes and orders that follow from them.

    :ivar open_jobs: the jobs whose end is not part of a batch yet.
    :ivar began_at: when this leader took over.
    :ivar visible_states: stored states, as reported to callers.
    :ivar pending: what the next batch will hold.
    :ivar unstored_ends: runs whose end has been reported but not stored.
    :ivar ready_since: when each ready step became ready.
    :ivar waits: long-running tasks that wait for a worker.
    :ivar unserved_at: by service, the latest time at which it had no worker after it had one; may
        be forgotten, waits are bounded without it.
    :ivar retry_at: when a best-effort step that found no room is tried again; may be forgotten, it
        only saves time.
    :ivar inherited: what previous leaders have learnt and this one has not needed yet.
    :ivar moves: when long-running tasks were last moved.
    :ivar memory_version: grows with each cooldown and move, which a successor must learn of soon.
    :ivar quarantine: tasks under which workers have crashed.
    :ivar reservations: workers that are kept for suspected tasks; may be forgotten, a successor
        reserves others.
    :ivar end_history: how recent runs have ended; for logs only.
    :ivar lengths: forecasts of run times.
    :ivar observers: optional parts that are told of claims and ends.
    :ivar sharing: fair sharing between organisations; ``None`` if it is off.
    """

    jobs: dict[str, Job]
    open_jobs: dict[str, Job]
    fleet: Fleet
    advice: TicketTable
    bounds: Bounds
    policies: dict[str, QueuePolicy]
    outgoing: OrderQueues
    began_at: float
    visible_states: dict[str, JobState]
    pending: PendingChanges
    _ended: EndedJobs
    unstored_ends: set[RunKey]
    _submissions: Submissions
    ready_since: dict[tuple[str, int, int], float]
    waits: TaskWaits
    unserved_at: dict[str, float]
    _served: set[str]
    retry_at: dict[tuple[str, int, int], float]
    infeasible_cache: InfeasibleCache
    inherited: Inherited
    moves: Moves
    memory_version: int
    interference: GuardedInterferenceModel
    cancel_latency: CancelLatency
    restart_latency: RestartLatency
    quarantine: Quarantine
    reservations: Reservations
    end_history: EndHistory
    lengths: LengthEstimator
    observers: list[RunObserver]
    sharing: FairSharing | None

    def __init__(
        self,
        bounds: Bounds,
        at: float,
        cancel_latency: CancelLatency | None = None,
        restart_latency: RestartLatency | None = None,
        prior: PriorRenewals | None = None,
        quarantine: Quarantine | None = None,
        end_history: EndHistory | None = None,
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
        self.outgoing = OrderQueues(self.jobs, self.fleet)
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
        self.memory_version = 0
        self.interference = GuardedInterferenceModel()
        self.cancel_latency = cancel_latency or CancelLatency(Metrics(lambda: at), lambda: at)
        self.restart_latency = restart_latency or RestartLatency(Metrics(lambda: at), lambda: at)
        self.quarantine = quarantine or Quarantine(Metrics(lambda: at))
        self.reservations = Reservations()
        self.end_history = end_history or EndHistory(Metrics(lambda: at))
        self.lengths = DeclaredLengths()
        self.observers = []
        self.sharing = None
        self.pending = PendingChanges()
        self._ended = EndedJobs()
        self.unstored_ends = set()
        self._submissions = Submissions(
            self.jobs, self.open_jobs, self.visible_states, self.fleet, self.pending
        )

    # Loading stored jobs

    def load(self, job: Job) -> None:
        """Add a stored job.

        Its claims count as sent until the agents' reports show which starts arrived.
        """
        self.jobs[job.spec.job_id] = job
        if job.ended_ms:
            self._ended.add(job.ended_ms, job.spec.job_id)
        else:
            self.open_jobs[job.spec.job_id] = job
        self.visible_states[job.spec.job_id] = job.state
        if job.open:
            self.quarantine.load(job)
        for ref, claim in job.claims():
            step = job.spec.steps[ref.step]
            run = Run(ref, claim.attempt, claim.agent, claim.worker, step, Phase.SENT)
            self.quarantine.mark(run)
            run.stop_wanted = not job.open or bool(self._task_done(job, ref))
            self.fleet.add(run)
            for observer in self.observers:
                observer.claimed(run, job.spec.queue, self.began_at)

    def inherit(self, memory: LeaderMemory, at: float, led_s: float = 0.0) -> None:
        """Take over what the predecessor has learnt, after its jobs have been loaded.

        :param at: latest time at which the predecessor stored it.
        :param led_s: time led by previous leaders.
        """
        log_inherited(memory, led_s)
        memory = memory.advanced_to(led_s)
        self.inherited.load(memory, at)
        self.moves.load(memory.moved_ms, at)
        self.waits.load(memory.task_waits_ms)
        resume_observations(self.fleet.runs.values(), memory.runs)
        for instance in self.fleet.live():
            if not instance.track.has_faults:
                instance.track = self.inherited.take_track(reported_life(instance.worker))

    def memory(self, at: float, led_s: float = 0.0) -> LeaderMemory:
        """Return what a successor should start from.

        :param led_s: time led by all leaders.
        """
        waits_s = self.inherited.waits_s | idle_waits(self.ready_since, self.jobs, at)
        return LeaderMemory(
            track_notes(self.inherited.tracks | self.fleet.faulty_tracks(), at),
            wait_notes(waits_s),
            run_notes(self.fleet.runs.values(), self.quarantine),
            self.moves.notes(at),
            self.waits.notes(at),
            to_ms(led_s),
        )

    @staticmethod
    def _task_done(job: Job, ref: TaskRef) -> bool:
        task = job.task(ref)
        return task is not None and task.done

    # Callers

    def submit(self, spec: JobSpec, answer: Answer) -> None:
        """Accept a job; a repeated submission is answered together with the first."""
        self._submissions.submit(spec, answer)

    def withdraw(self, job_id: str) -> bool:
        """Drop a submission; return ``False`` if its write has already been sent."""
        job = self.jobs.get(job_id)
        if job is None:
            return False
        found = (self.fleet.runs.get((ref, claim.attempt)) for ref, claim in job.claims())
        runs = [run for run in found if run is not None]
        if not self._submissions.withdraw(job_id):
            return False
        for run in runs:
            for observer in self.observers:
                observer.ended(run, job.spec.queue, EndKind.NOT_STARTED, run.claimed_at)
        return True

    def knows(self, job_id: str) -> bool:
        """Whether a job is stored, or its write has been sent."""
        return job_id in self.jobs and not self.pending.is_new(job_id)

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
            self.pending.effects.append(
                lambda: answer(ReplyKind.OK, self.visible_states.get(job_id, ""))
            )
            return
        job.cancelled = True
        self.cancel_latency.received(job_id)
        self.pending.mark(job_id)
        self.pending.effects.append(lambda: self._cancellation_stored(job_id, answer))

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
                boot=instance.boot or "-",
                worker=reported_life(instance.worker) or "-",
                runs=len(instance.runs),
                silent_s=at - instance.last_report_at if instance.boot else NEVER_REPORTED,
                unnamed_s=at - instance.named_at if instance.named_at else NEVER_REPORTED,
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

    def set_zones(self, zones: EvacuatedZones) -> list[Instance]:
        """Record the evacuated zones; return the instances for which that makes a difference."""
        changed = self.fleet.set_zones(zones)
        if changed:
            self.retry_at.clear()
        return changed

    # Runs

    def claim(self, job: Job, ref: TaskRef, instance: Instance, at: float, attempt: int = 0) -> Run:
        """Claim the next attempt of a task for ``instance``."""
        assert instance.worker is not None
        claim = job.claim(ref, instance.agent, instance.worker.worker, attempt)
        step = job.spec.steps[ref.step]
        run = Run(ref, claim.attempt, instance.agent, claim.worker, step, claimed_at=at)
        run.ticket = self.advice.ticket(ref, claim.worker)
        self.quarantine.mark(run)
        run.waits_since = self._waits_since(ref, step, at)
        self.fleet.add(run)
        for observer in self.observers:
            observer.claimed(run, job.spec.queue, at)
        if instance.arrival is not None:
            instance.arrival.count(step)
        self.pending.mark(job.spec.job_id)
        self.pending.effects.append(lambda: self._claim_stored(run))
        return run

    def move_claim(self, run: Run, life: WorkerLife) -> None:
        """Record that a run is on another life of its worker than claimed."""
        run.worker = life
        job = self.jobs.get(run.ref.job_id)
        if job is not None:
            job.move_claim(run.ref, run.attempt, life)
            self.pending.mark(run.ref.job_id)

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
        if self.fleet.instance(run.agent).zone_evacuated:
            self.end(run, EndKind.NOT_STARTED, "", ZONE_EVACUATED, 0.0)
            return
        if self.visible_states.get(run.ref.job_id) is JobState.QUEUED:
            self.visible_states[run.ref.job_id] = JobState.RUNNING
        self.outgoing.queue(run.agent).starts.append(run)

    def stop(self, run: Run, reason: str) -> None:
        """Request that a run stops."""
        if run.stop_wanted:
            return
        run.stop_wanted = True
        run.stop_reason = reason
        if run.phase is not Phase.CLAIMED:
            self.outgoing.queue(run.agent).stops.append((run.ref.text(), run.attempt))

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
        kind = counted_kind(run, kind)
        self.fleet.drop(run)
        instance = self.fleet.instances.get(run.agent)
        if instance is not None and run.stop_reason != "cancelled":
            with self.noticing_cooldown(instance):
                update_track_record(instance, run, kind, reason, at)
        job = self.jobs.get(run.ref.job_id)
        for observer in self.observers:
            observer.ended(run, job.spec.queue if job is not None else "", kind, at)
        effect = EndEffect.IGNORED
        if job is not None:
            effect = job.end_run(run.ref, run.attempt, kind, saved, evidence)
            if evidence.counts or run.ref in self.quarantine:
                self.quarantine.run_ended(job, run, effect)
            if evidence.counts and effect is EndEffect.JOB_FAILED:
                self._mark_all(excuse_others(self.jobs, self.quarantine, job, run.ref))
            self.pending.mark(run.ref.job_id)
        log_end(run, kind, reason, effect, at)
        self.end_history.record(run, kind, reason or run.stop_reason, at)
        refused = kind is EndKind.NOT_STARTED and run.stop_reason != PREEMPTED
        if (kind is EndKind.FAILED or refused) and reason not in ZONE_REFUSALS:
            self.avoid(run)
        if kind is EndKind.NOT_STARTED:
            self._resume_wait(run)
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

    @contextmanager
    def noticing_cooldown(self, instance: Instance) -> Iterator[None]:
        """Note that a successor must learn of it if a cooldown of ``instance`` begins meanwhile."""
        before = instance.track.cooldown_until
        yield
        if instance.track.cooldown_until != before:
            self.memory_version += 1

    def record_move(self, ref: TaskRef, at: float) -> None:
        """Record that a long-running task is moved."""
        self.moves.record(ref, at)
        self.memory_version += 1

    def record_slow_move(self, job: Job, ref: TaskRef) -> None:
        """Count that a slow task is moved or duplicated; stored before its run has ended."""
        job.record_move(ref)
        self.pending.mark(job.spec.job_id)

    def _restart_wait(self, job: Job, run: Run, at: float) -> None:
        """Let the wait of a task, and that of its job, begin with the end of a run."""
        self.waits.restart(run.ref, at)
        occurrence = job.occurrences.get(run.ref.occurrence)
        if occurrence is not None:
            occurrence.ran_at = at

    def disprove_crash(self, worker: WorkerLife) -> None:
        """Take back the crash of a worker that is alive: it was only out of touch."""
        self._mark_all(disprove_crash(self.jobs, self.quarantine, worker))

    def count_crash_after_end(self, run: Run) -> None:
        """Count the crash of a worker for a run that ended there just before."""
        job = self.jobs.get(run.ref.job_id)
        if job is None:
            return
        if job.task(run.ref) is None or run.worker in job.crashed_workers(run.ref):
            # Its occurrence has ended, or a later attempt was lost with the same worker.
            return
        claim = Claim(run.attempt, run.agent, run.worker)
        effect = job.record_crash_after_end(run.ref, claim)
        if effect is EndEffect.IGNORED:
            return
        self.quarantine.run_ended(job, run, effect)
        if effect is EndEffect.JOB_FAILED:
            self._mark_all(excuse_others(self.jobs, self.quarantine, job, run.ref))
        self.pending.mark(run.ref.job_id)
        self._after_end(job, run.ref, effect)

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
        self.pending.mark(ref.job_id)
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

    def _waits_since(self, ref: TaskRef, step: StepSpec, at: float) -> float:
        if step.lasting:
            return self.waits.since(ref, at)
        return self.ready_since.get(ref[:3], at)

    def _resume_wait(self, run: Run) -> None:
        """Let a task that was claimed but not started wait as if it had not been claimed."""
        if run.waits_since == math.inf:
            return
        if run.step.lasting:
            self.waits.resume(run.ref, run.waits_since)
        else:
            key = run.ref[:3]
            self.ready_since[key] = min(run.waits_since, self.ready_since.get(key, math.inf))

    def _waits_as_suspect(self, ref: TaskRef) -> bool:
        job, task = self.jobs.get(ref.job_id), self.task(ref)
        if job is None or not job.open or task is None or task.done or task.claims:
            return False
        return self.quarantine.is_suspect(ref)

    def review_quarantine(self, at: float) -> None:
        """End the isolation of runs after their probation, and clear tasks that ran for long."""
        self.reservations.review(self._waits_as_suspect, at)
        for ref in self.quarantine.review(self.jobs, self.fleet):
            self.quarantine.clear(self.jobs[ref.job_id], ref)
            self.pending.mark(ref.job_id)

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
            self.pending.effects.append(lambda: self._publish_state(job_id))

    def _publish_state(self, job_id: str) -> None:
        job = self.jobs.get(job_id)
        if job is None:
            return
        self.visible_states[job_id] = job.state
        log_event("INFO", "job_state", job=job_id, state=job.state)

    # Storing and sending

    def _mark_all(self, job_ids: Iterable[str]) -> None:
        for job_id in job_ids:
            self.pending.mark(job_id)

    @property
    def has_pending_writes(self) -> bool:
        """Whether changes or effects are pending."""
        return bool(self.pending)

    def take_batch(self, wall_ms: int) -> Batch:
        """Return all pending changes and effects, and reset them."""
        for job in self.pending.changed(self.jobs):
            if not job.open and not job.ended_ms:
                job.ended_ms = wall_ms
                self.open_jobs.pop(job.spec.job_id, None)
                self._ended.add(wall_ms, job.spec.job_id)
        return self.pending.take(self.jobs)

    def evict_ended(self, wall_ms: int) -> None:
        """Delete jobs without claims that ended more than twice the retention period ago."""
        keep_ms = int(self.bounds.keep_ended_s * 1000) * 2
        for job_id in self._ended.take_expired(self.jobs, wall_ms - keep_ms):
            del self.jobs[job_id]
            self.restart_latency.forget(job_id)
            self.visible_states.pop(job_id, None)
            self.pending.remove(job_id)
            self.interference.forget(job_id)

    def orders_for(
        self, agent: str, at: float, may_start: bool = True
    ) -> tuple[list[StartOrder], list[StopOrder], list[tuple[str, int]]]:
        """Remove and return the orders queued for ``agent``; see :meth:`OrderQueues.take`."""
        return self.outgoing.take(agent, at, may_start)

    def expected_ms(self, run: Run) -> int:
        """Return the run time by which the speed of a run is judged, in milliseconds.

        Not less than declared: a forecast that is too short would stop the runs that correct it.
        """
        job = self.jobs.get(run.ref.job_id)
        queue = job.spec.queue if job is not None else ""
        return max(run.step.estimate_ms, self.lengths.expected_ms(queue, run.step))

    def policy_of(self, job: Job) -> QueuePolicy:
        """Return the queue's current policy, or the one at acceptance if the queue was removed."""
        return self.policies.get(job.spec.queue, job.spec.policy)
