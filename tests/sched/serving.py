"""A fleet whose workers all serve, and filling work beside it."""

from typing import Final

from sapphirelead.node_messages import AgentReport, RunPhase, RunStatus
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_planner import GATHER_S, plan
from sapphirelead.sched_reports import take_report
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import Agents, job, scheduler, store, worker_info

TARGET_MS: Final = 100
"""Target of the serving tasks' tails."""


def report(agents: Agents, sched: Scheduler, agent: str, tail: int, at: float) -> None:
    """Report every run of an agent, serving ones with ``tail``."""
    instance = sched.fleet.instance(agent)
    agents.heartbeats[agent] = agents.heartbeats.get(agent, 0) + 1
    statuses = [
        RunStatus(
            run.ref.text(),
            run.attempt,
            RunPhase.RUNNING,
            100 if run.step.lasting else 10,
            tail if run.step.target_ms else run.step.cpu_millicores,
        )
        for run in instance.runs.values()
    ]
    info = worker_info(f"w-{agent}", cpu=32_000)
    take_report(
        sched,
        AgentReport(agent, "b", agents.heartbeats[agent], 1, 1, info, True, statuses, []),
        1,
        at,
    )
    instance.renewed_at = at


def serving_fleet(workers: int) -> tuple[Scheduler, Agents]:
    """Return a fleet in which one task serves on each of ``workers``."""
    sched = scheduler()
    agents = Agents(sched)
    names = [f"g{number}" for number in range(workers)]
    for name in names:
        report(agents, sched, name, 25, 0.0)
    spread = StepSpec(
        tasks=workers,
        cpu_millicores=8000,
        lasting=True,
        image="serve",
        target_ms=TARGET_MS,
        estimate_ms=400,
        per_worker=1,
    )
    sched.submit(job("serve", spread), lambda *_: None)
    plan(sched, 0.0, 0)
    plan(sched, 1.1 * GATHER_S, 0)
    store(sched)
    for name in names:
        report(agents, sched, name, 25, 0.2)
    return sched, agents


def fill(image: str, tasks: int = 1) -> StepSpec:
    """Return a filling step."""
    return StepSpec(
        tasks=tasks, cpu_millicores=4000, estimate_ms=5000, saves=True, image=image, fills=True
    )
