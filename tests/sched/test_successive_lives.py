"""A leader's view of successive lives of one worker."""

from sapphirelead.model_worker_life import WorkerLife, make_life
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import Job
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, job, scheduler, worker_info

REF = TaskRef("a1", 0, 0, 0)
LIFE = make_life("w1", 7)


def successor(claimed: WorkerLife) -> Scheduler:
    """Return the scheduler of a new leader that has loaded a claim on a life."""
    sched = scheduler()
    loaded = Job.accept(job("a1", StepSpec(cpu_millicores=1000, lasting=True)))
    loaded.claim(REF, "g1", claimed)
    sched.load(loaded)
    return sched


def claims(sched: Scheduler) -> list[tuple[int, WorkerLife]]:
    return [(claim.attempt, claim.worker) for _, claim in sched.jobs["a1"].claims()]


def test_a_run_that_a_life_lists_is_not_ended_with_another_life() -> None:
    """Guards against a second run of a task that was claimed by a version without births."""
    for claimed in (WorkerLife("w1"), make_life("w1", 3)):
        sched = successor(claimed)
        agents = Agents(sched)
        agents.report(worker=worker_info(LIFE), runs=[(REF.text(), 1)], at=1.0)
        assert claims(sched) == [(1, LIFE)]
        agents.report(worker=worker_info(LIFE), runs=[(REF.text(), 1)], at=2.0, gone=(claimed,))
        assert claims(sched) == [(1, LIFE)]


def test_a_run_that_the_next_life_does_not_list_has_ended() -> None:
    """Guards against a task that never runs again after its worker has returned."""
    for claimed in (WorkerLife("w1"), make_life("w1", 3)):
        sched = successor(claimed)
        Agents(sched).report(worker=worker_info(LIFE), at=1.0)
        assert claims(sched) == []


def test_an_ended_life_leaves_the_runs_of_its_successor_alone() -> None:
    """Guards against a second run of a task whose worker has returned under its id."""
    sched = successor(LIFE)
    agents = Agents(sched)
    agents.report(
        worker=worker_info(LIFE), runs=[(REF.text(), 1)], at=1.0, gone=(make_life("w1", 3),)
    )
    assert claims(sched) == [(1, LIFE)]


def test_a_moved_claim_is_stored() -> None:
    """Guards against a successor of the leader that ends the run with the earlier life."""
    sched = successor(WorkerLife("w1"))
    Agents(sched).report(worker=worker_info(LIFE), runs=[(REF.text(), 1)], at=1.0)
    (delta,) = sched.take_batch(0).deltas
    reloaded = Job.accept(sched.jobs["a1"].spec)
    reloaded.apply(delta)
    assert [(claim.attempt, claim.worker) for _, claim in reloaded.claims()] == [(1, LIFE)]


def test_the_next_life_inherits_no_limit_of_the_last() -> None:
    """Guards against a worker that gets no work because of refusals of its earlier life."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report(worker=worker_info(make_life("w1", 3), draining=True, remaining_ms=50), at=1.0)
    instance = sched.fleet.instance("g1")
    instance.record_no_room(StepSpec(cpu_millicores=1), 1.0)
    assert (instance.no_room_until > 1.0, instance.leaves_at) == (True, 1.05)
    agents.report(worker=worker_info(LIFE, draining=True, remaining_ms=5_000), at=1.2)
    assert (instance.no_room_until, instance.leaves_at) == (0.0, 6.2)
