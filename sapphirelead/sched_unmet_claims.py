"""Claims on worker lives that the present process of their agent has not met.

A restarted agent names no worker before the worker's next heartbeat.  Until then it neither reports
the runs that an earlier process has started, nor knows whether that life has ended.
"""

from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_core import NEVER_REPORTED, Scheduler
from sapphirelead.sched_fleet import Instance, Phase, Run

MIN_LOGGED_S: Final = 2.0
"""Time without a report that names the worker after which unmet claims are logged."""

MAX_LOGGED_AGENTS: Final = 3
"""Maximum number of agents logged at once, those with the longest time first."""


def unmet_runs(instance: Instance) -> list[Run]:
    """Return the runs on lives that the agent's process neither names nor reports as ended."""
    if not instance.boot:
        return []
    named = instance.named_life
    return [
        run
        for run in instance.runs.values()
        if run.worker != named and run.worker not in instance.ended_workers
    ]


def log_unmet_claims(sched: Scheduler, at: float) -> None:
    """Log the unmet claims of the agents that have named no worker for the longest time."""
    unmet = [(item, runs) for item in sched.fleet.instances.values() if (runs := unmet_runs(item))]
    unmet.sort(key=lambda item: (item[0].named_at, item[0].agent))
    for instance, runs in unmet[:MAX_LOGGED_AGENTS]:
        named_at = max(instance.named_at, sched.began_at)
        if at - named_at < MIN_LOGGED_S:
            return
        log_event(
            "WARNING",
            "claims_unmet",
            agent=instance.agent,
            boot=instance.boot,
            worker=runs[0].worker,
            runs=len(runs),
            unconfirmed=sum(run.phase is not Phase.RUNNING for run in runs),
            unnamed_s=at - instance.named_at if instance.named_at else NEVER_REPORTED,
            silent_s=at - instance.last_report_at,
            led_s=at - sched.began_at,
        )
