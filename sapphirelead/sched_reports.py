"""Applies agent reports to the scheduler: worker changes, run progress, ends and lost orders.

A report is applied as a whole or ignored.  Reports of a previous agent process and reports older
than the last one are ignored.  An end takes effect at once, but is acknowledged to the agent only
by an effect of the batch that stores it.
"""

from typing import Final

from sapphirelead.blame.evidence import crash_evidence
from sapphirelead.blame.verdicts import UNSUCCESSFUL, count_recent_ends, end_lost_runs
from sapphirelead.logs import log_event
from sapphirelead.node_messages import (
    ENDED_ON_NEXT_LIFE,
    AgentReport,
    RunEnded,
    RunPhase,
    RunStatus,
    WorkerInfo,
    reported_life,
)
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Arrival, Instance, Phase, ReturningBoot, Run
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_lost_workers import log_lost_workers
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_trial import is_sound_trial
from sapphirelead.sched_unclaimed_runs import log_unclaimed_end, log_unclaimed_run

RESEND_TIMEOUT_S: Final = 0.6
"""Time without confirmation by a report after which an order is sent again."""

ARRIVAL_WINDOW_S: Final = 1.0
"""Time after a worker's first report after which the work placed on it is logged."""

BOOT_TIMEOUT_S: Final = 1.1
"""Time without a report of the current agent process before a previous one can become current
again.  The processes use separate connections, so their reports can arrive out of order."""

MIN_BOOT_RETURN_S: Final = 0.5
"""Minimum time between two reports that show that a previous agent process is still alive; queued
reports of a process that has ended arrive closer together."""


def apply_report(sched: Scheduler, report: AgentReport, epoch: int, at: float) -> bool:
    """Apply an agent's report; return ``False`` if it is outdated."""
    instance = sched.fleet.instance(report.agent)
    if _is_of_earlier_process(instance, report) and not _has_outlived_successor(
        instance, report, at
    ):
        return False
    if report.worker is None:
        instance.record_unmet(report.boot)
    if report.boot != instance.boot:
        _replace_boot(instance, report.boot)
    if report.report_number <= instance.report_number:
        return False
    instance.report_number = report.report_number
    instance.last_report_at = at
    instance.returning_boot = None
    instance.changes += 1
    instance.entries_version = report.entries_version
    instance.leaving = report.leaving
    instance.epoch = report.epoch
    instance.ended_workers = frozenset(report.ended_workers)
    _update_worker(sched, instance, report, at)
    if report.worker is not None:
        instance.named_at = at
    if report.epoch == epoch and report.worker is not None:
        # A report to an earlier leader may be older than the crash.
        sched.disprove_crash(report.worker.worker)
    for end in report.ends:
        _apply_end(sched, instance, end, at)
    for status in report.runs:
        _apply_status(sched, instance, status, report.worker_answers, at)
    _end_trial(instance)
    if report.full:
        instance.listed_at = at
        sched.interference.learn(instance, at)
    if report.full and report.epoch == epoch:
        _resend_missing_orders(sched, instance, report, at)
    return True


def _is_of_earlier_process(instance: Instance, report: AgentReport) -> bool:
    """Return whether a report comes from a process that the agent's current one has replaced.

    A new leader does not remember earlier processes.  It knows them by a worker that the current
    one has seen end, by their announced end, or because they follow an earlier leader.
    """
    if not instance.boot or report.boot == instance.boot:
        return False
    return (
        report.boot in instance.old_boots
        or report.leaving
        or report.epoch < instance.epoch
        or reported_life(report.worker) in instance.ended_workers
    )


def _has_outlived_successor(instance: Instance, report: AgentReport, at: float) -> bool:
    """Return whether an agent process taken for a previous one has outlived the current one.

    Requires two reports: after a stall, the leader may read the last report of an ended process
    before those of its successor, and must not count the successor's runs as lost.
    """
    if at - instance.last_report_at < BOOT_TIMEOUT_S:
        return False
    first = instance.returning_boot
    if first is None or first.boot != report.boot:
        instance.returning_boot = ReturningBoot(report.boot, report.report_number, at)
        return False
    return report.report_number > first.report_number and at - first.at >= MIN_BOOT_RETURN_S


def _replace_boot(instance: Instance, boot: str) -> None:
    instance.old_boots.discard(boot)
    if instance.boot:
        instance.old_boots.add(instance.boot)
        log_event("INFO", "agent_restarted", agent=instance.agent, boot=boot)
    else:
        log_event("INFO", "agent_joined", agent=instance.agent, boot=boot)
    instance.boot = boot
    instance.report_number = 0
    instance.answered_report_number = 0
    for run in instance.runs.values():
        run.watch.interrupt()


def _update_worker(sched: Scheduler, instance: Instance, report: AgentReport, at: float) -> None:
    before = instance.worker
    instance.worker = report.worker
    if before is None or report.worker is None or before.capacity != report.worker.capacity:
        instance.no_room_until = 0.0
    now_life = reported_life(report.worker)
    if reported_life(before) != now_life:
        instance.no_room_until = 0.0
        instance.leaves_at = 0.0
        instance.track = sched.inherited.take_track(now_life)
        instance.arrival = Arrival(at) if now_life else None
        # Its room may end a wait; a leader that leads briefly has no time for another try.
        sched.retry_at.clear()
        log_event("INFO", "worker_changed", agent=instance.agent, worker=now_life)
    sched.fleet.update_zone(instance)
    _update_leaves_at(instance, at)
    _update_cold(instance, before, at)
    _move_listed_claims(sched, instance, report)
    _log_arrival(instance, at)
    _end_runs_of_gone_workers(sched, instance, report, before, at)
    _update_refusing(instance, report, at)


def _move_listed_claims(sched: Scheduler, instance: Instance, report: AgentReport) -> None:
    """Move claims on other lives to the reported one, if that lists their runs.

    The claim may have been stored by a version that knew workers by id, or the last life's start
    may have been executed by this one.  Ending the run would start its task a second time.
    """
    if report.worker is None:
        return
    life = report.worker.worker
    others = [run for run in instance.runs.values() if run.worker != life]
    if not others:
        return
    listed = {
        (status.task, status.attempt)
        for status in report.runs
        if status.phase is not RunPhase.STARTING
    }
    for run in others:
        if (run.ref.text(), run.attempt) in listed:
            log_event(
                "WARNING",
                "claim_moved",
                task=run.ref.text(),
                attempt=run.attempt,
                agent=run.agent,
                before=run.worker,
                worker=life,
            )
            sched.move_claim(run, life)


def _log_arrival(instance: Instance, at: float) -> None:
    """Log the work that a new worker was given within :data:`ARRIVAL_WINDOW_S`."""
    arrival = instance.arrival
    if arrival is None or instance.worker is None or at - arrival.at < ARRIVAL_WINDOW_S:
        return
    instance.arrival = None
    log_event(
        "INFO",
        "worker_filled",
        agent=instance.agent,
        worker=instance.worker.worker,
        latency_critical=arrival.latency_critical,
        best_effort=arrival.best_effort,
        others=arrival.others,
        after_s=at - arrival.at,
    )


def _end_runs_of_gone_workers(
    sched: Scheduler, instance: Instance, report: AgentReport, before: WorkerInfo | None, at: float
) -> None:
    """End the runs of workers that are gone.

    :param before: the worker of the previous report.
    """
    now_life = reported_life(report.worker)
    _apply_ends_of_gone_workers(sched, instance, report, at)
    gone = _runs_of_gone_workers(instance, report)
    left = set(report.left_workers)
    if before is not None and before.draining:
        left.add(before.worker)
    log_lost_workers(sched, instance, report, gone, left, at)
    found = crash_evidence(gone, left, report.ended_lives)
    end_lost_runs(sched, found, at)
    workers = {run.worker for run in gone}
    if before is not None and before.worker != now_life:
        # It counts as gone only once its successor is known, or its agent says so.
        workers |= {before.worker} if now_life or before.worker in report.ended_workers else set()
    # A worker that has crashed refuses connections from then on.
    count_recent_ends(sched, instance, workers - left, instance.refusing_since or at)
    for worker in sorted(workers - left):
        ended = [item for item in found if item[0].worker == worker]
        sched.quarantine.worker_crashed(instance.agent, worker, ended)


def _runs_of_gone_workers(instance: Instance, report: AgentReport) -> list[Run]:
    """Return the runs that have ended with another life.

    A report that lists only changes does not say what the present life runs; the full one that
    named it first may have been lost.
    """
    now_life = reported_life(report.worker)
    if now_life and not report.full:
        return []
    return [
        run
        for run in instance.runs.values()
        if run.worker in report.ended_workers or (now_life and run.worker != now_life)
    ]


def _apply_ends_of_gone_workers(
    sched: Scheduler, instance: Instance, report: AgentReport, at: float
) -> None:
    """Apply the outcomes of runs before these would count as lost with their worker."""
    names = {(run.ref.text(), run.attempt) for run in _runs_of_gone_workers(instance, report)}
    for end in report.ends if names else []:
        if (end.task, end.attempt) in names:
            _apply_end(sched, instance, end, at)


def _update_refusing(instance: Instance, report: AgentReport, at: float) -> None:
    if not report.worker_refuses:
        instance.refusing_since = 0.0
    elif not instance.refusing_since:
        instance.refusing_since = at


def _update_leaves_at(instance: Instance, at: float) -> None:
    worker = instance.worker
    if worker is None or not worker.draining:
        instance.leaves_at = 0.0
    elif not instance.leaves_at:
        instance.leaves_at = at + worker.remaining_ms / 1000


def _update_cold(instance: Instance, before: WorkerInfo | None, at: float) -> None:
    """Record whether a worker is cold; its runs are observed anew once it is not."""
    worker = instance.worker
    if worker is None or reported_life(before) != worker.worker:
        instance.cold, instance.cold_until = False, 0.0
    if worker is not None and worker.cold_ms:
        # The agent repeats a heartbeat until the next one.
        if before is None or (before.worker, before.cold_ms) != (worker.worker, worker.cold_ms):
            instance.cold_until = at + worker.cold_ms / 1000
    else:
        instance.cold_until = min(instance.cold_until, at)
    cold = at < instance.cold_until
    if instance.cold and not cold:
        for run in instance.runs.values():
            run.watch.restart()
    instance.cold = cold


def _apply_end(sched: Scheduler, instance: Instance, end: RunEnded, at: float) -> None:
    ref = TaskRef.parse(end.task)
    key = (ref, end.attempt) if ref is not None else None
    if key in sched.unstored_ends:
        return
    run = sched.fleet.runs.get(key) if key is not None else None
    if run is None or run.agent != instance.agent:
        if ref is not None:
            log_unclaimed_end(sched, instance, ref, end, at)
        _apply_unclaimed_end(sched, instance, ref, end)
        return
    sched.unstored_ends.add(run.key)
    kind = _end_kind(end.kind)
    sched.end(run, kind, end.saved, end.reason, at)
    if kind in UNSUCCESSFUL and end.reason != ENDED_ON_NEXT_LIFE:
        instance.record_unsuccessful_end(run, at)
    sched.pending.effects.append(lambda: _end_stored(sched, run))


def _apply_unclaimed_end(
    sched: Scheduler, instance: Instance, ref: TaskRef | None, end: RunEnded
) -> None:
    """Apply an end that is stored already, or whose run counted as lost.

    A run that ended well completes its task also then.  It is acknowledged only once no other run
    of the task can begin, because its worker forgets it afterwards; the agent repeats it.
    """
    if ref is not None and end.kind == EndKind.DONE:
        key = (ref, end.attempt)
        if sched.end_late(ref, end.attempt, instance.agent):
            sched.unstored_ends.add(key)
            sched.pending.effects.append(lambda: sched.unstored_ends.discard(key))
            return
        if sched.has_superseded_runs(ref):
            return
    sched.outgoing.queue(instance.agent).stored.append((end.task, end.attempt))


def _end_kind(text: str) -> EndKind:
    """Return the kind of end that ``text`` names.

    Maps unknown kinds to ``BROKEN``, so that the task is run again without counting a failure.  An
    exception here would crash every leader, since the agent repeats the end until it is stored.
    """
    try:
        return EndKind(text)
    except ValueError:
        log_event("ERROR", "end_kind_unknown", kind=text)
        return EndKind.BROKEN


def _end_stored(sched: Scheduler, run: Run) -> None:
    sched.unstored_ends.discard(run.key)
    sched.outgoing.queue(run.agent).stored.append((run.ref.text(), run.attempt))


def _apply_status(
    sched: Scheduler, instance: Instance, status: RunStatus, answered: bool, at: float
) -> None:
    ref = TaskRef.parse(status.task)
    run = sched.fleet.runs.get((ref, status.attempt)) if ref is not None else None
    if run is None or run.agent != instance.agent:
        if ref is not None and (ref, status.attempt) in sched.unstored_ends:
            return
        # The run has no claim: its job has ended, or its agent was considered lost.
        log_unclaimed_run(sched, instance, ref, status, at)
        sched.outgoing.queue(instance.agent).stops.append((status.task, status.attempt))
        return
    if status.phase is RunPhase.STARTING:
        return
    if run.phase is Phase.SENT:
        run.phase = Phase.RUNNING
        run.running_at = at
        run.seen_percent = status.percent
        if run.step.lasting:
            sched.restart_latency.running(run.ref, run.attempt)
    run.reported_stopping = status.phase is RunPhase.STOPPING
    run.percent = max(run.percent, status.percent)
    run.watch.observe(status.percent, at, answered)
    run.measurement = status.measurement
    run.pace_percent = status.pace_percent
    run.full_pace = run.full_pace and status.pace_percent >= 100
    if status.saved:
        _set_saved(sched, run, status.saved)


def _end_trial(instance: Instance) -> None:
    """End the trial of a worker by a run that shows by now that it is sound."""
    track = instance.track
    if track.on_trial and any(
        run.claimed_at > track.last_fault_at and is_sound_trial(run)
        for run in instance.runs.values()
    ):
        log_event("INFO", "trial_passed", agent=instance.agent, cooldown_s=track.cooldown_s)
        track.record_sound_run()


def _set_saved(sched: Scheduler, run: Run, saved: str) -> None:
    # Stored with the next change of the job; losing a checkpoint only costs repeated work.
    task = sched.task(run.ref)
    if task is not None and run.step.saves and not task.done:
        task.saved = saved


def _resend_missing_orders(
    sched: Scheduler, instance: Instance, report: AgentReport, at: float
) -> None:
    """Resend orders that the agent has not received.

    Includes orders of active runs that a restarted agent does not know, which it needs for pacing
    and monitoring; such an order does not start the run again.  An agent ignores orders for a
    worker that it has not met.
    """
    named = reported_life(report.worker)
    listed = {(status.task, status.attempt) for status in report.runs if status.order_known}
    ended = {(end.task, end.attempt) for end in report.ends}
    for run in instance.runs.values():
        name = (run.ref.text(), run.attempt)
        if run.phase is Phase.CLAIMED or name in ended or run.worker != named:
            continue
        if at - run.sent_at < RESEND_TIMEOUT_S:
            continue
        if run.stop_wanted:
            run.sent_at = at
            sched.outgoing.queue(instance.agent).stops.append(name)
        elif name not in listed and _shows_missing_order(report, run):
            log_event("INFO", "start_sent_again", task=name[0], attempt=name[1])
            run.sent_at = at
            sched.outgoing.queue(instance.agent).starts.append(run)


def _shows_missing_order(report: AgentReport, run: Run) -> bool:
    """Return whether a report that does not list ``run`` shows that its start order was lost.

    Orders arrive in sequence, so the report must have been made after these or later orders.  A
    report of an agent that has received no orders counts too; the caller checks the timeout.
    """
    return not report.orders or report.orders >= run.sent_in
