"""What a new leader decides before it has seen what its agents' workers run."""

from sapphirelead.node_messages import AgentReport, RunPhase, RunStatus
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import Job
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import take_report
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.serving import fill, report, serving_fleet

WORKERS = 3


def successor(before: Scheduler) -> tuple[Scheduler, Agents]:
    """Return a new leader that has read the jobs of the one before, and nothing else."""
    sched = scheduler()
    for known in before.jobs.values():
        sched.load(Job.decode(known.spec, known.encode()))
    return sched, Agents(sched)


def short_report(agents: Agents, agent: str, at: float) -> None:
    """Report a worker, but none of its runs, as an agent does between two full reports."""
    agents.heartbeats[agent] = agents.heartbeats.get(agent, 0) + 1
    info = worker_info(f"w-{agent}", cpu=32_000)
    short = AgentReport(agent, "b", agents.heartbeats[agent], 1, 1, info, False, [], [])
    take_report(agents.sched, short, 1, at)


def fills_running(sched: Scheduler) -> int:
    """Count the filling runs."""
    return sum(run.step.fills for run in sched.fleet.runs.values())


def test_filling_work_waits_until_the_tails_have_been_reported() -> None:
    """All workers serve near their targets, filling work waits, and the lead changes.

    The new leader knew the serving runs from the store but none of their tails.  It took them for
    low, started all that waited at once, and tails stood over their targets for seconds.
    """
    before, _ = serving_fleet(WORKERS)
    before.submit(job("fill", fill("f", tasks=6)), lambda *_: None)
    store(before)
    sched, agents = successor(before)
    for number in range(WORKERS):
        short_report(agents, f"g{number}", 0.1)
    plan(sched, 0.1, 0)
    assert fills_running(sched) == 0
    for number in range(WORKERS):
        report(agents, sched, f"g{number}", 70, 0.2)
    plan(sched, 0.3, 0)
    assert fills_running(sched) == 0
    for number in range(WORKERS):
        report(agents, sched, f"g{number}", 10, 0.4)
    plan(sched, 0.5, 0)
    assert fills_running(sched) > 0


def test_other_work_starts_at_the_first_report() -> None:
    before, _ = serving_fleet(WORKERS)
    before.submit(job("check", StepSpec(cpu_millicores=1000)), lambda *_: None)
    store(before)
    sched, agents = successor(before)
    short_report(agents, "g0", 0.1)
    plan(sched, 0.1, 0)
    assert len([run for run in sched.fleet.runs.values() if not run.step.lasting]) == 1


def test_a_run_of_an_instance_that_has_been_listed_shows_its_tail() -> None:
    before, _ = serving_fleet(1)
    sched, agents = successor(before)
    run = next(iter(sched.fleet.runs.values()))
    status = RunStatus(run.ref.text(), run.attempt, RunPhase.RUNNING, 100, 25)
    info = worker_info("w-g0", cpu=32_000)
    assert not sched.fleet.instance("g0").listed_at
    take_report(sched, AgentReport("g0", "b", 1, 1, 1, info, True, [status], []), 1, 0.5)
    assert sched.fleet.instance("g0").listed_at
    assert run.shows_tail
    assert agents.sched is sched
