"""1,000 random small worlds with preemption.

Guards against cycles of stops, tasks that are stopped before they have done the required work,
overcommitted workers, lost room, and jobs that never end.
"""

import random
from collections import defaultdict

import pytest

from sapphirelead.sched_parts import PartsConfig, PreemptionConfig
from sapphirelead.sched_spec import StepSpec
from tests.sched.preempting import PRIORITIES, PreemptingWorld, queued
from tests.sched.waits_world import Site

WORLDS = 1000
GROUPS = 20
ARRIVALS_S = 12
MAX_CALM_S = 120
MIN_RUN_S = 1.0
CONFIG = PartsConfig(preemption=PreemptionConfig(min_run_s=MIN_RUN_S))


def random_step(rng: random.Random) -> StepSpec:
    """Return a step that fits on one worker beside the long-running tasks."""
    if rng.random() < 0.1:
        return StepSpec(rng.randint(1, 3), 2000, estimate_ms=3000, saves=True, gang=True)
    return StepSpec(
        tasks=rng.randint(1, 4),
        cpu_millicores=rng.choice([1000, 2000, 4000, 6000]),
        estimate_ms=rng.choice([300, 1500, 6000]),
        saves=rng.random() < 0.7,
        per_worker=rng.choice([0, 0, 2]),
        label=rng.choice(["", "", "a"]),
    )


def lasting_step(rng: random.Random) -> StepSpec:
    """Return a step of one or two long-running tasks."""
    absent = rng.randint(0, 1)
    return StepSpec(rng.randint(1, 2), 1000, lasting=True, target_ms=150, absent_max=absent)


def play(seed: int, monkeypatch: pytest.MonkeyPatch) -> PreemptingWorld:
    """Play a world with arrivals in random queues and at most one change of leaders."""
    rng = random.Random(seed)
    sites = [
        Site(f"g{number}", 8000, rng.choice([("a", "r1"), ("b", "r1")]))
        for number in range(rng.randint(2, 4))
    ]
    sites[0].labels = ("a", "r1")
    world = PreemptingWorld(sites, CONFIG, seed)
    world.record_stops(monkeypatch)
    world.stop_takes_s = rng.choice([0.1, 0.5, 0.9])
    world.submit(queued("lasting", "p3", lasting_step(rng)))
    killed_at = world.at + rng.uniform(1, 2 * ARRIVALS_S)
    until = world.at + ARRIVALS_S
    while world.at < until:
        name = f"j{len(world.specs)}"
        world.submit(queued(name, rng.choice(list(PRIORITIES)), random_step(rng), world.at))
        world.play(rng.uniform(0.2, 1.6))
        if world.at >= killed_at:
            killed_at = float("inf")
            world.kill_leader(rng.uniform(0.0, 1.0))
    calm_until = world.at + MAX_CALM_S
    while world.at < calm_until and (world.sched is None or not world.all_done()):
        world.play(1.0)
    return world


def priority(world: PreemptingWorld, task: str) -> int:
    """Return the priority of a task."""
    return world.specs[task.partition(".")[0]].policy.priority


def has_cycle(world: PreemptingWorld) -> bool:
    """Return whether a task was stopped, by way of others, for one that it had stopped."""
    stopped_for = defaultdict(set)
    for stop in world.stops:
        stopped_for[stop["task"]].add(stop["for_task"])
    for first in list(stopped_for):
        reached, todo = set[str](), [first]
        while todo:
            for task in stopped_for.get(todo.pop(), ()):
                if task == first:
                    return True
                if task not in reached:
                    reached.add(task)
                    todo.append(task)
    return False


def check_stops(world: PreemptingWorld) -> None:
    """Check each stop against the priorities, and against the work since the one before."""
    for stop in world.stops:
        assert priority(world, stop["task"]) > priority(world, stop["for_task"])
        if stop["stops"] > 1 and stop["ran_s"]:
            assert stop["ran_s"] >= MIN_RUN_S * 2 ** (stop["stops"] - 2) - 1e-6
    assert not has_cycle(world)


@pytest.mark.parametrize("group", range(GROUPS))
def test_no_cycle_of_stops(group: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against tasks that stop each other in turn."""
    stops = 0
    for seed in range(group, WORLDS, GROUPS):
        world = play(seed, monkeypatch)
        check_stops(world)
        assert not world.problems, (seed, world.problems[:3])
        assert world.all_done(), seed
        stops += len(world.stops)
    assert stops
    print(f"{stops} stops in {WORLDS // GROUPS} worlds")
