"""Which serving tasks share a worker, and what that leaves to filling work; no network, no clock.

The load that these tests stand for: several serving images on every worker, filling images of which
each presses hard on some serving images and hardly on others.
"""

from sapphirelead.node_messages import AgentReport, RunPhase, RunStatus
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_job import EndKind, TaskRef
from sapphirelead.sched_place import Need, choose
from sapphirelead.sched_planner import GATHER_S, plan
from sapphirelead.sched_reports import take_report
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.serving import TARGET_MS, fill

CORES = 32_000
CALM_MS = 25
PRESSED_MS = 200


def report(agents: Agents, agent: str, pressed: str, at: float) -> None:
    """Report every run of an agent; filling work drives the tails of image ``pressed`` up."""
    instance = agents.sched.fleet.instance(agent)
    agents.beats[agent] = agents.beats.get(agent, 0) + 1
    beside = any(run.step.fills for run in instance.runs.values())
    statuses = []
    for run in instance.runs.values():
        figure = run.step.cpu_millicores
        if run.step.target_ms:
            figure = PRESSED_MS if beside and run.step.image == pressed else CALM_MS
        percent = 100 if run.step.lasting else 10
        statuses.append(RunStatus(run.ref.text(), run.attempt, RunPhase.RUNNING, percent, figure))
    info = worker_info(f"w-{agent}", cpu=CORES)
    beat = agents.beats[agent]
    take_report(agents.sched, AgentReport(agent, "b", beat, 1, 1, info, True, statuses, []), 1, at)
    instance.renewed_at = at


def serving(image: str, cores: int) -> StepSpec:
    """Return a step of one serving task."""
    return StepSpec(cpu_millicores=cores * 1000, lasting=True, image=image, target_ms=TARGET_MS)


def images(sched: Scheduler) -> list[set[str]]:
    """Return the serving images on each worker that serves."""
    found = [
        {run.step.image for run in instance.runs.values() if run.step.target_ms}
        for instance in sched.fleet.live()
    ]
    return [item for item in found if item]


def fleet(*tasks: tuple[str, int]) -> tuple[Scheduler, Agents]:
    """Return two workers on which serving tasks of these images and sizes were placed at once."""
    sched = scheduler()
    agents = Agents(sched)
    for agent in ("g0", "g1"):
        report(agents, agent, "", 0.0)
    for number, (image, cores) in enumerate(tasks):
        sched.submit(job(f"s{number}", serving(image, cores)), lambda *_: None)
    plan(sched, 0.0, 0)
    plan(sched, 1.1 * GATHER_S, 0)
    store(sched)
    for agent in ("g0", "g1"):
        report(agents, agent, "", 0.2)
    return sched, agents


def test_filling_work_that_presses_on_one_image_finds_a_worker_without_it() -> None:
    """A filling image drives the tail of one of two serving images to twice its target.

    Both serving images stood on both workers, packed by size alone.  The filling work found no
    room anywhere and its job ended late, although the other serving image hardly feels it.
    """
    sched, agents = fleet(("a", 12), ("b", 11), ("a", 10), ("b", 9))
    places = list(sched.fleet.live())
    sched.submit(job("f", fill("heavy", tasks=2)), lambda *_: None)
    for number, place in enumerate(places):
        sched.claim(sched.jobs["f"], TaskRef("f", 0, 0, number), place, 0.3)
    store(sched)
    for number in range(1, 7):
        for agent in ("g0", "g1"):
            report(agents, agent, "a", 0.3 + number * 0.45)
    for run in [run for run in sched.fleet.runs.values() if run.step.fills]:
        sched.end(run, EndKind.STOPPED, "", "", 3.1)
    for agent in ("g0", "g1"):
        report(agents, agent, "a", 3.2)
    need = Need(fill("heavy"), "svc", press=sched.press)
    found = choose(places, need, TaskRef("x", 0, 0, 0))
    assert found is not None
    assert {run.step.image for run in found.runs.values()} == {"b"}


def test_a_serving_task_that_comes_later_goes_to_its_image() -> None:
    """One more task of an image comes when two workers that serve have room for it.

    It went to the fuller one, beside another image, and from then on filling work had to spare two
    images there.
    """
    sched, _ = fleet(("a", 24), ("b", 16))
    sched.submit(job("later", serving("b", 8)), lambda *_: None)
    plan(sched, 0.3, 0)
    plan(sched, 0.3 + 1.1 * GATHER_S, 0)
    assert sorted(map(sorted, images(sched))) == [["a"], ["b"]]


def test_a_worker_without_serving_tasks_is_not_opened_for_another_image() -> None:
    sched, _ = fleet(("a", 12), ("b", 11))
    assert images(sched) == [{"a", "b"}]
