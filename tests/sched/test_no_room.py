"""What has found no room and is not tried again before a worker changes; no network."""

import random

import pytest
from msgspec.structs import replace

from sapphirelead.model_resources import Resources
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_job import TaskRef
from sapphirelead.sched_place import Need, can_take_work, choose
from sapphirelead.sched_planner import STARVING_S, plan
from sapphirelead.sched_press_guard import GuardedPress
from sapphirelead.sched_room import MOST_KINDS, MOST_SIZES, Kind, NoRoom, Openings
from sapphirelead.sched_spec import StepSpec
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
    """Let something happen to some of the workers."""
    for place in places:
        place.heard_at = at if rng.random() < 0.97 else place.heard_at
        if place.runs and rng.random() < 0.2:
            place.drop(rng.choice(list(place.runs.values())))
        if rng.random() < 0.05:
            place.track.record_failure(at)
        if rng.random() < 0.05:
            place.track.record_success(1.0)


@pytest.mark.parametrize("seed", range(30))
def test_the_same_place_is_found_as_by_a_look_at_every_worker(seed: int) -> None:
    rng = random.Random(seed)
    fleet = random_fleet(rng)
    no_room, press = NoRoom(), GuardedPress()
    at, number, missed = 0.0, 0, 0
    for _ in range(60):
        at += rng.choice((0.05, 0.3, 1.0))
        change(rng, fleet, at)
        live = rng.sample(fleet, 12) if rng.random() < 0.1 else fleet
        no_room.begin(live, at)
        steps = [random_step(rng) for _ in range(6)]
        kinds = [Kind.of(step, "svc", rng.random() < 0.2) for step in steps]
        openings = Openings(no_room, zip(kinds, steps, strict=True), press, at)
        for kind, step in zip(kinds, steps, strict=True):
            number += 1
            ref = TaskRef(f"j{number}", 0, 0, 0)
            need = Need(step, "svc", starving=kind.starving, press=press)
            expected = choose([item for item in live if can_take_work(item, need, at)], need, ref)
            places = openings.places(kind, step)
            found = choose([item for item in places if can_take_work(item, need, at)], need, ref)
            assert found is expected
            if found is None:
                no_room.note(kind, step)
                missed += 1
            else:
                found.add(Run(ref, 1, found.agent, "w", step, claimed_at=at))
    assert missed > 60


def one_worker() -> list[Instance]:
    """Return a fleet of one worker that takes work."""
    return [Instance("g1", worker=worker_info())]


def test_the_kind_that_was_noted_longest_ago_is_tried_again_where_there_are_too_many() -> None:
    no_room, fleet = NoRoom(), one_worker()
    no_room.begin(fleet, 0.0)
    steps = [StepSpec(image=f"i{number}", fills=True) for number in range(MOST_KINDS + 1)]
    for step in steps:
        no_room.note(Kind.of(step, "svc"), step)
    tried = [step for step in steps if no_room.places(Kind.of(step, "svc"), step)]
    assert tried == steps[:1]


def test_the_size_that_was_noted_longest_ago_is_tried_again_where_there_are_too_many() -> None:
    no_room, fleet = NoRoom(), one_worker()
    no_room.begin(fleet, 0.0)
    steps = [
        StepSpec(cpu_millicores=100 + number, memory_mb=100 - number)
        for number in range(MOST_SIZES + 1)
    ]
    for step in steps:
        no_room.note(Kind.of(step, "svc"), step)
    tried = [step for step in steps if no_room.places(Kind.of(step, "svc"), step)]
    assert tried == steps[:1]


def test_a_worker_that_is_gone_is_no_longer_kept() -> None:
    no_room, fleet = NoRoom(), one_worker()
    step = StepSpec()
    kind = Kind.of(step, "svc")
    no_room.begin(fleet, 0.0)
    assert no_room.places(kind, step) == fleet
    no_room.note(kind, step)
    no_room.begin([], 0.1)
    no_room.begin(fleet, 0.2)
    assert no_room.places(kind, step) == fleet


def test_a_step_that_stops_starving_in_a_pass_leaves_free_workers_unused() -> None:
    """Tasks of a job wait beside free workers once another step of it has begun."""
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
    at = 1.1 * STARVING_S
    for run in full:
        sched.fleet.drop(run)
    for number in range(2):
        large = StepSpec(cpu_millicores=2500, memory_mb=1, estimate_ms=20_000)
        sched.submit(job(f"large{number}", large), lambda *_: None)
    for cpu in sizes:
        sched.fleet.instance(f"g{cpu}").heard_at = at
    plan(sched, at, 0)
    plan(sched, at + 0.05, 0)
    assert [instance.free_cpu for instance in sched.fleet.live()] == [0, 0, 0]
