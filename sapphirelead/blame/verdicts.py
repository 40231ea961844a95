"""Decides which of the runs on a crashed worker are blamed for the crash.

Answers crashes whose cause is not known when they happen: each run there may have caused it, and so
may the machine.  Every crash is counted for all of them at first.  Once one task is given up, its
crashes are taken back from the others (:meth:`Scheduler.end`).

Invariants:

- For one crash, at most one task is given up: the one that is most suspected.
- A crash under a task that is alone decides only if other suspects cannot explain the crashes
  before it.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import Final

from sapphirelead.blame.counts import MAX_CRASHES, MIN_CRASHES, CrashEvidence
from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import RECENT_END_S, Instance, Run
from sapphirelead.sched_job import EndEffect, EndKind, Job
from sapphirelead.sched_task import TaskRef

UNSUCCESSFUL: Final = (EndKind.FAILED, EndKind.LAPSED, EndKind.BROKEN)
"""Ends that may have been the beginning of a crash."""


def end_lost_runs(sched: Scheduler, found: Sequence[tuple[Run, CrashEvidence]], at: float) -> None:
    """End runs together with their workers, those most likely to have caused the crash first.

    :param found: the runs, with what the crash says about each.
    """
    evidence_by_run = {run.key: evidence for run, evidence in found}
    explained: set[WorkerLife] = set()
    for run in sched.quarantine.blame_order(found):
        evidence = evidence_by_run[run.key]
        if evidence is CrashEvidence.OTHERS_NEWER:
            evidence = _judge_older_run(sched, run)
        if run.worker in explained and evidence.counts:
            evidence = CrashEvidence.EXCUSED
            _log_not_counted(run, "culprit_found")
        elif evidence is CrashEvidence.CRASH_ALONE and not is_decisive(sched, run.ref):
            # The worker may have crashed by itself; the next crash decides.
            evidence = CrashEvidence.CRASH
        effect = sched.end(run, EndKind.LOST, "", "worker_gone", at, evidence)
        if evidence.counts and effect is EndEffect.JOB_FAILED:
            explained.add(run.worker)


def _judge_older_run(sched: Scheduler, run: Run) -> CrashEvidence:
    """Return the evidence of a run that was observed for a while, beside others that had begun."""
    job = sched.jobs.get(run.ref.job_id)
    if job is None or not job.spare(run.ref):
        return CrashEvidence.CRASH
    _log_not_counted(run, "others_newer")
    return CrashEvidence.NONE


def _log_not_counted(run: Run, reason: str) -> None:
    """Log that a crash does not count for one of the runs on the worker."""
    log_event(
        "INFO",
        "crash_not_counted",
        task=run.ref.text(),
        worker=run.worker,
        reason=reason,
        observed_s=run.watch.alive_s,
    )


def is_decisive(sched: Scheduler, ref: TaskRef) -> bool:
    """Return whether a task may be given up for another crash, which it had alone.

    Not if other suspects may have caused all crashes before it, nor if too few are left without
    those that a suspect with a crash of its own may have caused; but always at the limit.
    """
    job = sched.jobs.get(ref.job_id)
    task = job.task(ref) if job is not None else None
    if job is None or task is None or task.crashes + 1 + task.excused >= MAX_CRASHES:
        return True
    suspects = _unobserved_suspects(sched, job.members(ref))
    workers = job.crashed_workers(ref)
    if workers and workers <= _crashed_workers(suspects):
        return False
    alone = [item for item in suspects if sched.quarantine.has_crashed_alone(*item)]
    return job.crashes_without(ref, _crashed_workers(alone)) + 1 >= MIN_CRASHES


def _unobserved_suspects(
    sched: Scheduler, members: Collection[TaskRef]
) -> list[tuple[Job, TaskRef]]:
    """Return the suspects that have not been observed since their last crash.

    :param members: a task or its gang, which are left out.
    """
    found = []
    for ref in sched.quarantine.suspects:
        job = sched.jobs.get(ref.job_id)
        if job is None or not job.open or ref in members:
            continue
        if not any(run.watch.alive_s > 0 for run in sched.fleet.runs_of(ref)):
            found.append((job, ref))
    return found


def _crashed_workers(tasks: Iterable[tuple[Job, TaskRef]]) -> frozenset[WorkerLife]:
    return frozenset(worker for job, ref in tasks for worker in job.crashed_workers(ref))


def count_recent_ends(
    sched: Scheduler, instance: Instance, crashed: Collection[WorkerLife], at: float
) -> None:
    """Count the crash of workers for runs that ended there without success just before."""
    for end in instance.ends_since(at - RECENT_END_S):
        if end.run.worker in crashed:
            sched.count_crash_after_end(end.run)
