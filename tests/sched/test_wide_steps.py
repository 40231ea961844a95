"""Wide steps on a large fleet: cost of placement and equality with a full scan; no network."""

import random

import pytest

from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_choice import PlacementHeap
from sapphirelead.sched_eligibility import PlacementRequest
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_place import choose
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, job, scheduler, worker_info

STEPS = [
    StepSpec(tasks=12, cpu_millicores=3000, memory_mb=2000),
    StepSpec(tasks=12, cpu_millicores=3000, per_worker=2),
    StepSpec(tasks=12, cpu_millicores=3000, near_rack="r2"),
    StepSpec(tasks=12, cpu_millicores=7000, fills=True, image="f"),
    StepSpec(tasks=12, cpu_millicores=6000, lasting=True, target_ms=100, image="s"),
]


def random_places(rng: random.Random) -> list[Instance]:
    """Return workers, some of which run tasks."""
    places = []
    for number in range(30):
        capacity = Resources(rng.choice((16_000, 32_000)), 16_000, 0)
        info = worker_info(f"w{number}", capacity=capacity, labels=("a", f"r{number % 4}"))
        place = Instance(f"g{number}", worker=info, listed_at=1.0)
        for other in range(rng.randrange(4)):
            step = rng.choice(STEPS)
            place.add(
                Run(TaskRef(f"j{other}", 0, 0, number), 1, place.agent, WorkerLife("w"), step)
            )
        places.append(place)
    return places


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("seed", range(20))
def test_heap_returns_the_same_workers_as_a_full_scan(step: StepSpec, seed: int) -> None:
    rng = random.Random(seed)
    places = random_places(rng)
    request = PlacementRequest(step, "svc", tasks=step.tasks)
    heap = PlacementHeap(places, request, TaskRef("a1", 0, 0, 0))
    for number in range(60):
        ref = TaskRef("a1", 0, 0, number)
        avoid = frozenset(rng.sample([place.agent for place in places], rng.choice((0, 0, 3, 30))))
        expected = choose(places, request, ref, avoid)
        taken = heap.take(avoid)
        assert taken is expected
        if taken is None:
            break
        taken.add(Run(ref, 1, taken.agent, WorkerLife("w"), step))
        heap.put_back(taken)


def test_wide_step_checks_each_worker_about_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against testing every task of a step on every worker."""
    sched = scheduler()
    agents = Agents(sched)
    for number in range(200):
        agents.report(f"g{number}")
    fits = Instance.fits
    checks = 0

    def counting(self: Instance, step: StepSpec) -> bool:
        nonlocal checks
        checks += 1
        return fits(self, step)

    monkeypatch.setattr(Instance, "fits", counting)
    sched.submit(job("a1", StepSpec(tasks=40, cpu_millicores=1000)), lambda *_: None)
    plan(sched, 1.0, 0)
    assert len(sched.fleet.runs) == 40
    assert checks <= 200 + 40
