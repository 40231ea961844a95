"""The log line of claims that end with the life of their worker."""

from collections.abc import Collection, Sequence
from enum import StrEnum

from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport
from sapphirelead.sched_core import NEVER_REPORTED, Scheduler
from sapphirelead.sched_fleet import Instance, Phase, Run


class LossSource(StrEnum):
    """How the leader knows that the life of a worker has ended."""

    ANNOUNCED = "announced"
    """The worker had announced its exit."""
    REPORTED = "reported"
    """Its agent reports the life as ended."""
    OTHER_LIFE = "other_life"
    """Its agent names another life of the worker."""


def log_lost_workers(
    sched: Scheduler,
    instance: Instance,
    report: AgentReport,
    gone: Sequence[Run],
    left: Collection[WorkerLife],
    at: float,
) -> None:
    """Log each ended life that had claims.

    To be called while ``instance.named_at`` is still that of an earlier report.

    :param gone: the runs on these lives.
    :param left: the lives that had announced their exit.
    """
    for worker in sorted({run.worker for run in gone}):
        runs = [run for run in gone if run.worker == worker]
        log_event(
            "WARNING",
            "worker_lost",
            agent=instance.agent,
            boot=instance.boot,
            worker=worker,
            runs=len(runs),
            unconfirmed=sum(run.phase is not Phase.RUNNING for run in runs),
            known_by=_source(worker, report, left),
            unnamed_s=at - instance.named_at if instance.named_at else NEVER_REPORTED,
            since_renewal_s=at - instance.renewed_at,
            renewal=instance.renewal_source,
            led_s=at - sched.began_at,
        )


def _source(worker: WorkerLife, report: AgentReport, left: Collection[WorkerLife]) -> LossSource:
    if worker in left:
        return LossSource.ANNOUNCED
    return LossSource.REPORTED if worker in report.ended_workers else LossSource.OTHER_LIFE
