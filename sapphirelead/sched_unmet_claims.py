"""Claims on worker lives that the present process of their agent has not met.

A restarted agent names no worker before the worker's next heartbeat.  If the worker was lost for
good meanwhile, nobody ever reports the end of its runs.  They have ended once the last lease that
an earlier process can have renewed has expired, unless the new process meets the worker before.

Invariants:

- A process that has met a worker names its life in each later report, or reports it as ended.
- Only a report that names a worker renews the agent's lease.  So a process that has met the worker
  renews the leases of its runs only after the leader has heard that.
- The cause of the loss is not known, so it counts neither against the tasks nor against the worker.
"""

from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_core import NEVER_REPORTED, Scheduler
from sapphirelead.sched_fleet import Instance, Phase, Run
from sapphirelead.sched_job import EndKind

LEASE_EXPIRED: Final = "lease_expired"
"""Reason of the end of runs on a life that was not met again before its lease expired."""

MIN_LOGGED_S: Final = 2.0
"""Time without a report that names the worker after which unmet claims are logged."""

MAX_LOGGED_AGENTS: Final = 3
"""Maximum number of agents logged at once, those with the longest time first."""


def end_expired_claims(sched: Scheduler, at: float) -> None:
    """End the unmet runs whose leases have certainly expired."""
    for instance in sched.fleet.instances.values():
        if not instance.runs or at - instance.unmet_renewed_at <= sched.bounds.loss_s:
            continue
        runs = [run for run in instance.unmet_runs if run.phase is not Phase.CLAIMED]
        if not runs:
            continue
        _log_claims("claims_expired", sched, instance, runs, at)
        for run in runs:
            sched.end(run, EndKind.LOST, "", LEASE_EXPIRED, at)


def log_unmet_claims(sched: Scheduler, at: float) -> None:
    """Log the unmet claims of the agents that have named no worker for the longest time."""
    unmet = [(item, runs) for item in sched.fleet.instances.values() if (runs := item.unmet_runs)]
    unmet.sort(key=lambda item: (item[0].named_at, item[0].agent))
    for instance, runs in unmet[:MAX_LOGGED_AGENTS]:
        if at - max(instance.named_at, sched.began_at) < MIN_LOGGED_S:
            return
        _log_claims(
            "claims_unmet",
            sched,
            instance,
            runs,
            at,
        )


def _log_claims(
    event: str, sched: Scheduler, instance: Instance, runs: list[Run], at: float
) -> None:
    log_event(
        "WARNING",
        event,
        agent=instance.agent,
        boot=instance.boot,
        worker=runs[0].worker,
        runs=len(runs),
        unconfirmed=sum(run.phase is not Phase.RUNNING for run in runs),
        unnamed_s=at - instance.named_at if instance.named_at else NEVER_REPORTED,
        silent_s=at - instance.last_report_at,
        since_renewal_s=at - instance.unmet_renewed_at,
        led_s=at - sched.began_at,
    )
