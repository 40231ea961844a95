"""Choice of victims on one worker: enough room, nothing stopped in vain, least loss."""

import itertools
import random

import pytest

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.preemption.protection import remaining_s
from sapphirelead.preemption.victims import (
    Victim,
    choose_victims,
    run_loss_core_s,
    total_room,
)
from sapphirelead.preemption.worker_room import WorkerRoom
from sapphirelead.sched_fleet import Phase, Run
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef


def run_of(step: StepSpec, running_at: float = 1.0) -> Run:
    """Return a running task."""
    run = Run(TaskRef("a", 0, 0, 0), 1, "g", WorkerLife("w"), step, Phase.RUNNING)
    run.running_at = running_at
    return run


def victim(cpu: int, memory: int, loss: float) -> Victim:
    """Return a victim of one run."""
    return Victim((run_of(StepSpec()),), "low", Resources(cpu, memory), loss)


def best_loss(need: Resources, victims: list[Victim]) -> float | None:
    """Return the least possible loss, by trying every set."""
    sets = itertools.chain.from_iterable(
        itertools.combinations(victims, size) for size in range(len(victims) + 1)
    )
    losses = (
        sum(item.loss_core_s for item in chosen)
        for chosen in sets
        if need.fits_in(total_room(chosen))
    )
    return min(losses, default=None)


@pytest.mark.parametrize("seed", range(200))
def test_victims_make_enough_room_and_none_is_stopped_in_vain(seed: int) -> None:
    """Guards against stops that do not suffice, or of which one is not needed."""
    rng = random.Random(seed)
    victims = [
        victim(rng.randrange(500, 8000, 500), rng.randrange(0, 4000, 500), rng.uniform(0, 40))
        for _ in range(rng.randint(1, 7))
    ]
    need = Resources(rng.randrange(0, 12_000, 500), rng.randrange(0, 6000, 500))
    least = best_loss(need, victims)
    choice = choose_victims(need, victims) if need != NO_RESOURCES else None
    if choice is None:
        assert least is None or need == NO_RESOURCES
        return
    assert least is not None and need.fits_in(total_room(choice.victims))
    for item in choice.victims:
        rest = [other for other in choice.victims if other is not item]
        assert not need.fits_in(total_room(rest))
    assert choice.loss_core_s >= least - 1e-9


def test_the_cheapest_run_is_stopped() -> None:
    """Guards against hours of work thrown away beside a run that has just begun."""
    old, young = victim(4000, 0, 4 * 3600.0), victim(4000, 0, 4.0)
    choice = choose_victims(Resources(1000), [old, young])
    assert choice is not None and choice.victims == (young,)


def test_one_small_loss_is_preferred_to_many() -> None:
    """Guards against many cheap stops that cost more together than one."""
    many = [victim(1000, 0, 2.0) for _ in range(8)]
    choice = choose_victims(Resources(8000), [*many, victim(8000, 0, 5.0)])
    assert choice is not None and len(choice.victims) == 1


def test_room_that_is_coming_free_is_not_made_twice() -> None:
    """Guards against a stop for each of two tasks that fit into the room of one run."""
    room = WorkerRoom(NO_RESOURCES, NO_RESOURCES, [victim(4000, 0, 1.0), victim(4000, 0, 1.0)])
    first = room.choose(Resources(2000), {"low"})
    assert first is not None
    room.take(Resources(2000), first)
    second = room.choose(Resources(2000), {"low"})
    assert second is not None and not second.victims


def test_runs_of_other_queues_are_spared() -> None:
    """Guards against stops of work with the same or a higher right."""
    room = WorkerRoom(NO_RESOURCES, NO_RESOURCES, [victim(4000, 0, 1.0)])
    assert room.choose(Resources(1000), {"other"}) is None


def test_a_run_without_checkpoints_loses_all_its_work() -> None:
    """Guards against long runs that are taken for cheap ones."""
    for saves, expected in ((True, 2 * 1.6), (False, 2 * 100.0)):
        run = run_of(StepSpec(cpu_millicores=2000, saves=saves))
        assert run_loss_core_s(run, 0.0, 1.0, 0.6, 101.0) == pytest.approx(expected)


def test_a_run_beyond_its_estimate_does_not_count_as_about_to_end() -> None:
    """Guards against an urgent task that waits for a run whose progress has stopped at 99%."""
    run = run_of(StepSpec(estimate_ms=10_000))
    run.percent = 99
    assert remaining_s(run, 10.0, 11.0) < 0.2
    assert remaining_s(run, 10.0, 22.0) == float("inf")
