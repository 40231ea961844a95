"""Cache of tasks that fit on no worker until a worker changes; no network."""

import random

import pytest
from msgspec.structs import replace

from sapphirelead.model_resources import Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_eligibility import URGENT_WAIT_S, PlacementRequest, Urgency, is_eligible
from sapphirelead.sched_feasibility import (
    MAX_KINDS,
    MAX_SIZES_PER_KIND,
    FeasibleWorkers,
    InfeasibleCache,
    Kind,
)
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_interference_guard import GuardedInterferenceModel
from sapphirelead.sched_place import choose
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, job, scheduler, store, worker_info

REF = TaskRef("a1", 0, 0, 0)


def random_fleet(rng: random.Random) -> list[Instance]:
    """Return workers of two services and sizes."""
    return [
        Instance(
            f"g{number}",
            worker=worker_info(
                f"w{number}",
                service=rng.choice(("svc", "other")),
                capacity=Resources(rng.choice((8000, 16_000)), rng.choice((4000, 8000)), 1),
                labels=(rng.choice("ab"), "r1"),
            ),
        )
        for number in range(12)
    ]


def random_step(rng: random.Random) -> StepSpec:
    """Return a step of one of a few kinds."""
    return StepSpec(
        cpu_millicores=rng.randrange(500, 9000),
        memory_mb=rng.randrange(100, 5000),
        accelerators=rng.choice((0, 0, 1)),
        label=rng.choice(("", "a")),
        image=rng.choice(("i", "j")),
        fills=rng.random() < 0.5,
        per_worker=rng.choice((0, 0, 0, 1)),
    )


def change(rng: random.Random, places: list[Instance], at: float) -> None:
    """Apply random changes to some of the workers."""
    for place in places:
        place.last_report_at = at if rng.random() < 0.97 else place.last_report_at
        if place.runs and rng.random() < 0.2:
            place.drop(rng.choice(list(place.runs.values())))
        if rng.random() < 0.05:
            place.track.record_failure(at)
        if rng.random() < 0.05:
            place.track.record_success(1.0)


URGENCIES = (*[Urgency.NONE] * 6, Urgency.URGENT, Urgency.OVERDUE)


@pytest.mark.parametrize("seed", range(30))
def test_cache_finds_the_same_worker_as_a_full_scan(seed: int) -> None:
    rng = random.Random(seed)
    fleet = random_fleet(rng)
    infeasible_cache, interference = InfeasibleCache(), GuardedInterferenceModel()
    at, number, missed = 0.0, 0, 0
    for _ in range(60):
        at += rng.choice((0.05, 0.3, 1.0))
        change(rng, fleet, at)
        live = rng.sample(fleet, 12) if rng.random() < 0.1 else fleet
        infeasible_cache.begin(live, at)
        steps = [random_step(rng) for _ in range(6)]
        kinds = [Kind.of(step, "svc", rng.choice(URGENCIES)) for step in steps]
        feasible = FeasibleWorkers(
            infeasible_cache, zip(kinds, steps, strict=True), interference, at
        )
        for kind, step in zip(kinds, steps, strict=True):
            number += 1
            ref = TaskRef(f"j{number}", 0, 0, 0)
            request = PlacementRequest(step, "svc", urgency=kind.urgency, interference=interference)
            expected = choose(
                [item for item in live if is_eligible(item, request, at)], request, ref
            )
            places = feasible.places(kind, step)
            found = choose(
                [item for item in places if is_eligible(item, request, at)], request, ref
            )
            assert found is expected
            if found is None:
                infeasible_cache.record_infeasible(kind, step)
                missed += 1
            else:
                found.add(Run(ref, 1, found.agent, WorkerLife("w"), step, claimed_at=at))
    assert missed > 60


def one_worker() -> list[Instance]:
    """Return a fleet of one worker that accepts work."""
    return [Instance("g1", worker=worker_info())]


def test_oldest_kind_is_evicted_from_a_full_cache() -> None:
    infeasible_cache, fleet = InfeasibleCache(), one_worker()
    infeasible_cache.begin(fleet, 0.0)
    steps = [StepSpec(image=f"i{number}", fills=True) for number in range(MAX_KINDS + 1)]
    for step in steps:
        infeasible_cache.record_infeasible(Kind.of(step, "svc"), step)
    tried = [step for step in steps if infeasible_cache.places(Kind.of(step, "svc"), step)]
    assert tried == steps[:1]


def test_oldest_size_is_evicted_from_a_full_cache() -> None:
    infeasible_cache, fleet = InfeasibleCache(), one_worker()
    infeasible_cache.begin(fleet, 0.0)
    steps = [
        StepSpec(cpu_millicores=100 + number, memory_mb=100 - number)
        for number in range(MAX_SIZES_PER_KIND + 1)
    ]
    for step in steps:
        infeasible_cache.record_infeasible(Kind.of(step, "svc"), step)
    tried = [step for step in steps if infeasible_cache.places(Kind.of(step, "svc"), step)]
    assert tried == steps[:1]


def test_removed_worker_is_not_kept() -> None:
    infeasible_cache, fleet = InfeasibleCache(), one_worker()
    step = StepSpec()
    kind = Kind.of(step, "svc")
    infeasible_cache.begin(fleet, 0.0)
    assert infeasible_cache.places(kind, step) == fleet
    infeasible_cache.record_infeasible(kind, step)
    infeasible_cache.begin([], 0.1)
    infeasible_cache.begin(fleet, 0.2)
    assert infeasible_cache.places(kind, step) == fleet


def test_step_that_stops_starving_in_a_pass_uses_free_workers() -> None:
    """Guards against tasks that wait beside free workers after another step has started."""
    sched = scheduler()
    agents = Agents(sched)
    sizes = (500, 2000, 3000)
    for cpu in sizes:
        agents.report(f"g{cpu}", worker_info(f"w{cpu}", cpu=cpu), at=0.0)
    for cpu in reversed(sizes):
        sched.submit(job(f"full{cpu}", StepSpec(cpu_millicores=cpu, memory_mb=1)), lambda *_: None)
        plan(sched, 0.0, 0)
    store(sched)
    full = list(sched.fleet.runs.values())
    small = StepSpec(cpu_millicores=500, memory_mb=1, estimate_ms=10)
    sched.submit(job("small", small, replace(small, tasks=12)), lambda *_: None)
    plan(sched, 0.0, 0)
    at = 1.1 * URGENT_WAIT_S
    for run in full:
        sched.fleet.drop(run)
    for number in range(2):
        large = StepSpec(cpu_millicores=2500, memory_mb=1, estimate_ms=20_000)
        sched.submit(job(f"large{number}", large), lambda *_: None)
    for cpu in sizes:
        sched.fleet.instance(f"g{cpu}").last_report_at = at
    plan(sched, at, 0)
    plan(sched, at + 0.05, 0)
    assert [instance.free_cpu for instance in sched.fleet.live()] == [0, 0, 0]
