"""What the leader makes of an agent's report: who lives, what runs, what has ended, what got lost.

A report is taken whole or not at all; reports of an earlier process of the agent, and such that
were overtaken by a newer one, are left.  An end counts at once, but the agent is told that it is
stored only by the effect of the batch that stores it.
"""

from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.node_messages import AgentReport, RunEnded, RunPhase, RunStatus
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance, Phase, ReturningBoot, Run
from sapphirelead.sched_job import EndKind, TaskRef
from sapphirelead.sched_track import TrackRecord

RESEND_TIMEOUT_S: Final = 0.6
"""An order that no report has confirmed for this long is sent again: one report and a margin."""

BOOT_TIMEOUT_S: Final = 1.1
"""Silence of an agent's process, two reports, after which an earlier one may be heard again.  They
use two connections, so the last report of the ended one may arrive after the first of its
successor."""

MIN_BOOT_RETURN_S: Final = 0.5
"""Time between two reports of a process by which it is known to live on: just under the longest
time between two reports of an agent.  What an ended one has sent is read sooner."""


def apply_report(sched: Scheduler, report: AgentReport, epoch: int, at: float) -> bool:
    """Take an agent's report; ``False`` where it is an outdated one."""
    instance = sched.fleet.instance(report.agent)
    if report.boot in instance.old_boots and not _has_outlived_successor(instance, report, at):
        return False
    if report.boot != instance.boot:
        _replace_boot(instance, report.boot)
    if report.beat <= instance.beat:
        return False
    instance.beat = report.beat
    instance.heard_at = at
    instance.returning_boot = None
    instance.changes += 1
    instance.entries_version = report.entries_version
    _update_worker(sched, instance, report, at)
    for end in report.ends:
        _apply_end(sched, instance, end, at)
    for status in report.runs:
        _apply_status(sched, instance, status, at)
    if report.full:
        instance.listed_at = at
        sched.press.learn(instance, at)
    if report.full and report.epoch == epoch:
        _resend_missing_orders(sched, instance, report, at)
    return True


def _has_outlived_successor(instance: Instance, report: AgentReport, at: float) -> bool:
    """Return whether a process that counted as an earlier one has outlived the one heard last.

    A leader that has read nothing for a while may read the last report of the ended process first,
    and take the silence for that of its successor.  So one report is not enough: its worker would
    be believed, and all runs on the successor's worker would count as lost.
    """
    if at - instance.heard_at < BOOT_TIMEOUT_S:
        return False
    first = instance.returning_boot
    if first is None or first.boot != report.boot:
        instance.returning_boot = ReturningBoot(report.boot, report.beat, at)
        return False
    return report.beat > first.beat and at - first.at >= MIN_BOOT_RETURN_S


def _replace_boot(instance: Instance, boot: str) -> None:
    instance.old_boots.discard(boot)
    if instance.boot:
        instance.old_boots.add(instance.boot)
        log_event("INFO", "agent_restarted", agent=instance.agent, boot=boot)
    else:
        log_event("INFO", "agent_joined", agent=instance.agent, boot=boot)
    instance.boot = boot
    instance.beat = 0
    instance.answered_beat = 0
    for run in instance.runs.values():
        run.watch.interrupt()


def _update_worker(sched: Scheduler, instance: Instance, report: AgentReport, at: float) -> None:
    before = instance.worker
    instance.worker = report.worker
    _update_leaves_at(instance, at)
    now_id = report.worker.worker if report.worker else ""
    if (before.worker if before else "") != now_id:
        instance.track = TrackRecord()
        log_event("INFO", "worker_changed", agent=instance.agent, worker=now_id)
    for run in list(instance.runs.values()):
        if run.worker in report.gone or (now_id and run.worker != now_id):
            sched.end(run, EndKind.LOST, "", "worker_gone", at)


def _update_leaves_at(instance: Instance, at: float) -> None:
    worker = instance.worker
    if worker is None or not worker.draining:
        instance.leaves_at = 0.0
    elif not instance.leaves_at:
        instance.leaves_at = at + worker.remaining_ms / 1000


def _apply_end(sched: Scheduler, instance: Instance, end: RunEnded, at: float) -> None:
    ref = TaskRef.parse(end.task)
    key = (ref, end.attempt) if ref is not None else None
    if key in sched.unstored_ends:
        return
    run = sched.fleet.runs.get(key) if key is not None else None
    if run is None or run.agent != instance.agent:
        # Known already, or of a job that is no longer kept: nothing to store.
        sched.outgoing_for(instance.agent).stored.append((end.task, end.attempt))
        return
    sched.unstored_ends.add(run.key)
    sched.end(run, _end_kind(end.kind), end.saved, end.reason, at)
    sched.effects.append(lambda: _end_stored(sched, run))


def _end_kind(text: str) -> EndKind:
    """Return the kind of end that ``text`` names.

    A worker's word that is not known would else end the process of each leader in turn, since the
    agent repeats the end until it is stored.  The run is over in any case; it counts as ended by
    another member's end, which is neither done nor a failure of its own, and the task runs again.
    """
    try:
        return EndKind(text)
    except ValueError:
        log_event("ERROR", "end_kind_unknown", kind=text)
        return EndKind.BROKEN


def _end_stored(sched: Scheduler, run: Run) -> None:
    sched.unstored_ends.discard(run.key)
    sched.outgoing_for(run.agent).stored.append((run.ref.text(), run.attempt))


def _apply_status(sched: Scheduler, instance: Instance, status: RunStatus, at: float) -> None:
    ref = TaskRef.parse(status.task)
    run = sched.fleet.runs.get((ref, status.attempt)) if ref is not None else None
    if run is None or run.agent != instance.agent:
        if ref is not None and (ref, status.attempt) in sched.unstored_ends:
            return
        # A run without a claim: its job has ended meanwhile, or its agent was given up.
        log_event("INFO", "run_unclaimed", task=status.task, attempt=status.attempt)
        sched.outgoing_for(instance.agent).stops.append((status.task, status.attempt))
        return
    if status.phase is RunPhase.STARTING:
        return
    if run.phase is Phase.SENT:
        run.phase = Phase.RUNNING
        run.running_at = at
        run.seen_percent = status.percent
    run.percent = max(run.percent, status.percent)
    run.watch.observe(status.percent, at)
    run.figure = status.figure
    run.paced = status.paced
    if status.saved:
        _set_saved(sched, run, status.saved)


def _set_saved(sched: Scheduler, run: Run, saved: str) -> None:
    # Kept in memory only and stored with the next move of the job: losing it costs work, never
    # correctness.
    job = sched.jobs.get(run.ref.job_id)
    task = job.task(run.ref) if job is not None else None
    if task is not None and run.step.saves and not task.done:
        task.saved = saved


def _resend_missing_orders(sched: Scheduler, instance: Instance, report: AgentReport, at: float) -> None:
    """Send again what the agent has not got.

    A restarted agent lists runs whose orders it does not know.  Without them it can tell neither
    which runs to pace nor whose tails to watch; an order for a run that is there starts nothing.
    """
    listed = {(status.task, status.attempt) for status in report.runs if status.order_known}
    ended = {(end.task, end.attempt) for end in report.ends}
    for run in instance.runs.values():
        name = (run.ref.text(), run.attempt)
        if run.phase is Phase.CLAIMED or name in ended:
            continue
        if at - run.sent_at < RESEND_TIMEOUT_S:
            continue
        if run.stop_wanted:
            run.sent_at = at
            sched.outgoing_for(instance.agent).stops.append(name)
        elif name not in listed and _shows_missing_order(report, run):
            log_event("INFO", "start_sent_again", task=name[0], attempt=name[1])
            run.sent_at = at
            sched.outgoing_for(instance.agent).starts.append(run)


def _shows_missing_order(report: AgentReport, run: Run) -> bool:
    """Return whether a report can tell that the agent has not got the order to start ``run``.

    Orders arrive in their sequence, so one that has got these or later ones has got all it will.
    An older report, which a leader behind with its reports reads after it has sent the order, tells
    nothing; nor does one of an agent that has got none, except by the time that has passed.
    """
    return not report.orders or report.orders >= run.sent_in
