"""Tests of a new leader's decisions before it has received full reports."""

from sapphirelead.node_messages import AgentReport, RunPhase, RunStatus
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import Job
from sapphirelead.sched_memory import MIN_INTERVAL_S, LeaderMemory
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.serving import fill, report, serving_fleet

WORKERS = 3


def load_successor(predecessor: Scheduler) -> tuple[Scheduler, Agents]:
    """Return a new leader that has loaded only what its predecessor has stored.

    The head row is as of its last report, the row of what it has learnt an interval older.
    """
    sched = scheduler()
    for known in predecessor.jobs.values():
        sched.load(Job.decode(known.spec, known.encode()))
    instances = predecessor.fleet.instances.values()
    at = max((instance.last_report_at for instance in instances), default=0.0)
    noted_at = max(0.0, at - MIN_INTERVAL_S)
    stored = LeaderMemory.decode(predecessor.memory(noted_at, noted_at).to_write().value)
    sched.inherit(stored, at, at)
    return sched, Agents(sched)


def short_report(agents: Agents, agent: str, at: float) -> None:
    """Report a worker without its runs, as an agent does between two full reports."""
    agents.seqs[agent] = agents.seqs.get(agent, 0) + 1
    info = worker_info(f"w-{agent}", cpu=32_000)
    short = AgentReport(agent, "b", agents.seqs[agent], 1, 1, info, False, [], [])
    apply_report(agents.sched, short, 1, at)


def filling_runs(sched: Scheduler) -> int:
    """Count the filling runs."""
    return sum(run.step.fills for run in sched.fleet.runs.values())


def test_filling_work_waits_for_reported_tail_latencies() -> None:
    """Guards against a new leader that starts filling work before tail latencies are reported.

    All workers serve near their targets, which would be exceeded.
    """
    predecessor, _ = serving_fleet(WORKERS)
    predecessor.submit(job("fill", fill("f", tasks=6)), lambda *_: None)
    store(predecessor)
    sched, agents = load_successor(predecessor)
    for number in range(WORKERS):
        short_report(agents, f"g{number}", 0.1)
    plan(sched, 0.1, 0)
    assert filling_runs(sched) == 0
    for number in range(WORKERS):
        report(agents, sched, f"g{number}", 70, 0.2)
    plan(sched, 0.3, 0)
    assert filling_runs(sched) == 0
    for number in range(WORKERS):
        report(agents, sched, f"g{number}", 10, 0.4)
    plan(sched, 0.5, 0)
    assert filling_runs(sched) > 0


def test_other_work_starts_after_the_first_report() -> None:
    predecessor, _ = serving_fleet(WORKERS)
    predecessor.submit(job("check", StepSpec(cpu_millicores=1000)), lambda *_: None)
    store(predecessor)
    sched, agents = load_successor(predecessor)
    short_report(agents, "g0", 0.1)
    plan(sched, 0.1, 0)
    assert len([run for run in sched.fleet.runs.values() if not run.step.lasting]) == 1


def test_listed_run_has_tail_latency() -> None:
    predecessor, _ = serving_fleet(1)
    sched, agents = load_successor(predecessor)
    run = next(iter(sched.fleet.runs.values()))
    status = RunStatus(run.ref.text(), run.attempt, RunPhase.RUNNING, 100, 25)
    info = worker_info("w-g0", cpu=32_000)
    assert not sched.fleet.instance("g0").listed_at
    apply_report(sched, AgentReport("g0", "b", 1, 1, 1, info, True, [status], []), 1, 0.5)
    assert sched.fleet.instance("g0").listed_at
    assert run.has_tail_latency
    assert agents.sched is sched
