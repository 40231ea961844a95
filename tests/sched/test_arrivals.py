"""Log of the work that a new worker is given at once."""

from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import Agents, job, scheduler, store


def test_the_first_work_of_a_new_worker_is_counted_by_kind() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report()
    steps = (
        StepSpec(tasks=2, cpu_millicores=100, image="s", target_ms=100, lasting=True),
        StepSpec(tasks=3, cpu_millicores=100),
    )
    sched.submit(job("a1", *steps), lambda *_: None)
    store(sched)
    plan(sched, 0.1, 0)
    plan(sched, 0.6, 0)
    arrival = sched.fleet.instance("g1").arrival
    assert arrival is not None
    assert (arrival.latency_critical, arrival.best_effort, arrival.others) == (2, 0, 3)
    agents.report(at=2.0)
    assert sched.fleet.instance("g1").arrival is None
