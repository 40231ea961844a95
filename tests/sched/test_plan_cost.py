"""A backlog of filling work on a fleet that serves: what planning costs; no network.

The load that these tests stand for: hundreds of filling tasks of some twenty images and many sizes
wait on dozens of workers, and the leader's entry has a third of a core.
"""

import random
from typing import Any

import pytest
from msgspec.structs import replace

from sapphirelead.policy_pressure import Allotment, Room
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_job import EndKind, Job, JobState, TaskRef
from sapphirelead.sched_planner import LOOK_AGAIN_S, plan
from sapphirelead.sched_press import PressModel
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import Agents, job, scheduler, store
from tests.sched.serving import TARGET_MS, fill, report, serving_fleet

LEAST = 0.8


def beside_filling(images: int) -> Scheduler:
    """Return a fleet of one worker that serves and runs a task of each of ``images``."""
    sched, _ = serving_fleet(1)
    for number in range(images):
        sched.fleet.add(Run(TaskRef(f"f{number}", 0, 0, 0), 1, "g0", "w-g0", fill(f"i{number}")))
    return sched


def test_each_further_size_of_waiting_work_asks_for_all_pairs_of_images_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader spends half of its processor on the weights of pairs that have not changed."""
    sched = beside_filling(6)
    model, instance = sched.press.model, sched.fleet.instance("g0")
    asked = 0
    weight = PressModel.weight

    def counting(*args: Any) -> float:
        nonlocal asked
        asked += 1
        return weight(*args)

    monkeypatch.setattr(PressModel, "weight", counting)
    for number in range(40):
        model.pace_beside(instance, f"i{number % 8}", 1000 + number)
    assert asked <= 8


def test_waiting_work_is_judged_on_workers_that_are_as_they_were_when_it_found_no_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Cancels wait for seconds while hundreds of filling tasks find no room, plan after plan."""
    workers, images, steps = 53, 18, 40
    sched, agents = serving_fleet(workers)
    for number in range(workers):
        report(agents, sched, f"g{number}", TARGET_MS - 5, 0.5)
    judged = 0
    fits = Instance.fits

    def counting(self: Instance, step: StepSpec) -> bool:
        nonlocal judged
        judged += 1
        return fits(self, step)

    monkeypatch.setattr(Instance, "fits", counting)
    for number in range(steps):
        step = replace(fill(f"i{number % images}", tasks=13), cpu_millicores=5000 - 37 * number)
        sched.submit(job(f"j{number}", step), lambda *_: None)
    running = len(sched.fleet.runs)
    at = 0.6
    plan(sched, at, 0)
    assert judged <= workers * images
    judged = 0
    at += 1.1 * LOOK_AGAIN_S
    plan(sched, at, 0)
    assert judged == 0
    at += 1.1 * LOOK_AGAIN_S
    report(agents, sched, "g7", TARGET_MS - 5, at)
    plan(sched, at, 0)
    assert 0 < judged <= images
    assert len(sched.fleet.runs) == running


def random_rooms(rng: random.Random) -> tuple[list[Room], dict[tuple[str, str], float]]:
    """Return serving tasks, and the weights of twelve filling images beside them."""
    rooms = [
        Room(f"s{number}", rng.uniform(0.0, 0.75), rng.uniform(0.7, 0.9))
        for number in range(rng.randint(0, 4))
    ]
    weights = {
        (room.image, f"f{number}"): rng.choice((0.0, 0.1, rng.uniform(0.0, 0.4), rng.uniform(0, 3)))
        for room in rooms
        for number in range(12)
    }
    return rooms, weights


@pytest.mark.parametrize("seed", range(40))
def test_one_more_task_gets_what_it_gets_where_all_is_shared_out_anew(seed: int) -> None:
    rng = random.Random(seed)
    rooms, weights = random_rooms(rng)

    def weight(serving: str, filling: str) -> float:
        return weights[serving, filling]

    wanted = {f"f{number}": rng.uniform(0.01, 0.3) for number in rng.sample(range(12), 6)}
    known = Allotment(rooms, wanted, weight)
    for number in range(12):
        image, share = f"f{number}", rng.uniform(0.001, 0.2)
        anew = Allotment(rooms, {**wanted, image: wanted.get(image, 0.0) + share}, weight)
        assert known.used_with(image, share) == pytest.approx(anew.used, abs=1e-12)


def test_a_larger_task_than_one_that_was_refused_is_not_worked_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sched = beside_filling(6)
    model, instance = sched.press.model, sched.fleet.instance("g0")
    sizes = range(200, 32_000, 200)
    paces = {size: model.pace_beside(instance, "new", size) for size in sizes}
    first = next(size for size in sizes if paces[size] < LEAST)
    assert not model.gives_pace(instance, "new", first, LEAST)
    worked_out = []

    def counting(*args: Any) -> float:
        worked_out.append(args)
        return 0.0

    monkeypatch.setattr(PressModel, "pace_beside", counting)
    larger = [size for size in sizes if size >= first]
    assert not any(model.gives_pace(instance, "new", size, LEAST) for size in larger)
    assert not worked_out


def test_smaller_tasks_and_a_changed_worker_are_worked_out_again() -> None:
    sched = beside_filling(2)
    model, instance = sched.press.model, sched.fleet.instance("g0")
    assert not model.gives_pace(instance, "new", 8000, LEAST)
    assert model.gives_pace(instance, "new", 400, LEAST)
    for run in [run for run in instance.runs.values() if run.step.fills]:
        sched.fleet.drop(run)
    assert model.gives_pace(instance, "new", 8000, LEAST)


def test_each_round_goes_through_all_jobs_that_have_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader gets slower with each job that ends, until callers may no longer ask for them."""
    sched = scheduler(Bounds(keep_ended_s=120.0))
    for number in range(300):
        sched.submit(job(f"j{number}"), lambda *_: None)
    store(sched)
    for number in range(299):
        sched.cancel(f"j{number}", lambda *_: None)
    store(sched)
    looked = 0
    state = vars(Job)["state"]

    def counting(self: Job) -> JobState:
        nonlocal looked
        looked += 1
        found: JobState = state.fget(self)
        return found

    monkeypatch.setattr(Job, "state", property(counting))
    sched.evict_ended(0)
    plan(sched, 0.0, 0)
    assert sched.waiting("q") == 1
    assert looked <= 3


def test_a_job_that_still_runs_is_kept_and_keeps_no_other_job() -> None:
    sched = scheduler(Bounds(keep_ended_s=1.0))
    Agents(sched).report()
    for name in ("runs", "waits"):
        sched.submit(job(name, StepSpec(cpu_millicores=8000)), lambda *_: None)
    plan(sched, 0.0, 0)
    store(sched)
    for name in ("runs", "waits"):
        sched.cancel(name, lambda *_: None)
    sched.take_batch(1000)
    sched.evict_ended(2999)
    assert sched.jobs.keys() == {"runs", "waits"}
    sched.evict_ended(3000)
    assert sched.jobs.keys() == {"runs"}
    run = next(iter(sched.fleet.runs.values()))
    sched.end(run, EndKind.STOPPED, "", "", 3.0)
    sched.evict_ended(3000)
    assert not sched.jobs
