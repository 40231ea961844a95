"""What the end of a run says about its worker, and its line in the log."""

from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.node_ports import StartAnswer
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_job import EndEffect, EndKind
from sapphirelead.sched_zones import ZONE_REFUSALS, ZONE_UNKNOWN

PREEMPTED: Final = "preempted"
"""Reason of a stop that makes room for another task."""


def counted_kind(run: Run, kind: EndKind) -> EndKind:
    """Return as which kind of end one counts.

    A process that ends with an error because it was preempted has not failed by itself.
    """
    if run.stop_reason == PREEMPTED and kind is EndKind.FAILED:
        return EndKind.STOPPED
    return kind


def update_track_record(
    instance: Instance, run: Run, kind: EndKind, reason: str, at: float
) -> None:
    """Record in its worker's track record how a run has ended.

    :param at: when it ended; 0 if that says nothing about the worker.
    """
    if instance.worker is None or instance.worker.worker != run.worker or not at:
        return
    if reason in ZONE_REFUSALS:
        if reason == ZONE_UNKNOWN:
            instance.pause_work(at)
        return
    judged = run.step.estimate_ms and run.running_at and not instance.began_cold(run)
    if kind is EndKind.DONE and judged:
        took_s = max(at - run.running_at, 0.05)
        share = (100 - run.seen_percent) / 100
        speed = share * run.step.estimate_ms / 1000 / took_s
        instance.track.record_success(1.0 if run.step.fills and speed < 1.0 else speed)
    elif kind is EndKind.DONE and run.claimed_at > instance.track.last_fault_at:
        # Its speed is unknown.
        instance.track.record_sound_run()
    elif kind is EndKind.NOT_STARTED and reason == StartAnswer.NO_ROOM:
        instance.record_no_room(run.step, at)
    elif kind is EndKind.FAILED or (kind is EndKind.NOT_STARTED and not run.stop_wanted):
        # A refused start counts as a failure too; otherwise the task would be claimed for the
        # same worker in every planning pass.
        instance.track.record_failure(at)


def log_end(run: Run, kind: EndKind, reason: str, effect: EndEffect, at: float) -> None:
    """Log the end of a run."""
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
