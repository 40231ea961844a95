"""The log lines of runs and outcomes that a worker lists without a claim."""

from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.node_messages import RunEnded, RunPhase, RunStatus, reported_life
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_end_history import UNSEEN_ENDS, EndRecord
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_task import TaskRef

UNKNOWN: Final = "unknown"
"""Logged as the end of a run whose end this leader has not recorded."""

NOT_RECORDED: Final = -1
"""Logged as the age of such an end."""


def log_unclaimed_run(
    sched: Scheduler, instance: Instance, ref: TaskRef | None, status: RunStatus, at: float
) -> None:
    """Log a listed run without a claim, with what this leader knows of its attempt.

    To be called after the rest of the report has been applied to ``instance``.

    :param ref: its task; ``None`` if the name cannot be read.
    """
    end = sched.end_history.find((ref, status.attempt), at) if ref is not None else None
    if end is not None and status.phase is RunPhase.RUNNING:
        sched.end_history.disprove(end, reported_life(instance.worker))
    log_event(
        "WARNING" if end is not None and end.disproved else "INFO",
        "run_unclaimed",
        task=status.task,
        attempt=status.attempt,
        phase=status.phase.name.lower(),
        **_attempt_fields(sched, instance, ref, end, at),
    )


def log_unclaimed_end(
    sched: Scheduler, instance: Instance, ref: TaskRef, end: RunEnded, at: float
) -> None:
    """Log, once, the listed outcome of a run that counted as lost or as not started.

    A run that counted as not started and has an outcome disproves that end.
    """
    before = sched.end_history.find((ref, end.attempt), at)
    if before is None or before.outcome_seen or before.kind not in UNSEEN_ENDS or not end.number:
        return
    before.outcome_seen = True
    if before.kind is EndKind.NOT_STARTED:
        sched.end_history.disprove(before, reported_life(instance.worker))
    log_event(
        "WARNING" if before.disproved else "INFO",
        "end_unclaimed",
        task=end.task,
        attempt=end.attempt,
        how=end.kind,
        **_attempt_fields(sched, instance, ref, before, at),
    )


def _attempt_fields(
    sched: Scheduler, instance: Instance, ref: TaskRef | None, end: EndRecord | None, at: float
) -> dict[str, object]:
    """Return the fields for who reports an attempt, and what this leader knows of it."""
    claims = sched.fleet.runs_of(ref) if ref is not None else []
    return {
        "agent": instance.agent,
        "boot": instance.boot,
        "worker": reported_life(instance.worker) or "-",
        "epoch": instance.epoch,
        "ended": end.kind if end is not None else UNKNOWN,
        "reason": (end.reason if end is not None else "") or "-",
        "ended_s": at - end.at if end is not None else NOT_RECORDED,
        "ended_on": end.worker if end is not None else "-",
        "claimed": ",".join(f"{run.agent}:{run.attempt}" for run in claims) or "-",
        "led_s": at - sched.began_at,
    }
