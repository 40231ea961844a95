"""Cost of planning a backlog of best-effort tasks beside latency-critical ones; no network."""

import random
from typing import Any

import pytest
from msgspec.structs import replace

from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.policy_pressure import LevelAllocation, LoadBudget
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_interference import InterferenceModel
from sapphirelead.sched_job import EndKind, Job, JobState
from sapphirelead.sched_planner import RETRY_DELAY_S, plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import Agents, job, scheduler, store
from tests.sched.serving import TARGET_MS, fill, report, serving_fleet

MIN_PACE = 0.8


def mixed_fleet(images: int) -> Scheduler:
    """Return one worker with a latency-critical task and a best-effort task per image."""
    sched, _ = serving_fleet(1)
    for number in range(images):
        sched.fleet.add(
            Run(TaskRef(f"f{number}", 0, 0, 0), 1, "g0", WorkerLife("w-g0"), fill(f"i{number}"))
        )
    return sched


def test_pair_weights_are_not_recomputed_for_each_task_size(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against recomputing unchanged pair weights."""
    sched = mixed_fleet(6)
    model, instance = sched.interference.model, sched.fleet.instance("g0")
    asked = 0
    weight = InterferenceModel.weight

    def counting(*args: Any) -> float:
        nonlocal asked
        asked += 1
        return weight(*args)

    monkeypatch.setattr(InterferenceModel, "weight", counting)
    for number in range(40):
        model.pace_beside(instance, f"i{number % 8}", 1000 + number)
    assert asked <= 8


def test_waiting_steps_are_not_retried_on_unchanged_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against slow passes that retry waiting tasks on unchanged workers."""
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
    at += 1.1 * RETRY_DELAY_S
    plan(sched, at, 0)
    assert judged == 0
    at += 1.1 * RETRY_DELAY_S
    report(agents, sched, "g7", TARGET_MS - 5, at)
    plan(sched, at, 0)
    assert 0 < judged <= images
    assert len(sched.fleet.runs) == running


def random_rooms(rng: random.Random) -> tuple[list[LoadBudget], dict[tuple[str, str], float]]:
    """Return latency-critical tasks and the weights of twelve best-effort images."""
    rooms = [
        LoadBudget(f"s{number}", rng.uniform(0.0, 0.75), rng.uniform(0.7, 0.9))
        for number in range(rng.randint(0, 4))
    ]
    weights = {
        (room.image, f"f{number}"): rng.choice((0.0, 0.1, rng.uniform(0.0, 0.4), rng.uniform(0, 3)))
        for room in rooms
        for number in range(12)
    }
    return rooms, weights


@pytest.mark.parametrize("seed", range(40))
def test_incremental_allotment_equals_full_allotment(seed: int) -> None:
    rng = random.Random(seed)
    rooms, weights = random_rooms(rng)

    def weight(serving: str, filling: str) -> float:
        return weights[serving, filling]

    wanted = {f"f{number}": rng.uniform(0.01, 0.3) for number in rng.sample(range(12), 6)}
    known = LevelAllocation(rooms, wanted, weight)
    for number in range(12):
        image, share = f"f{number}", rng.uniform(0.001, 0.2)
        full = LevelAllocation(rooms, {**wanted, image: wanted.get(image, 0.0) + share}, weight)
        assert known.used_with(image, share) == pytest.approx(full.used, abs=1e-12)


def test_pace_of_larger_tasks_than_a_refused_one_is_not_computed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sched = mixed_fleet(6)
    model, instance = sched.interference.model, sched.fleet.instance("g0")
    sizes = range(200, 32_000, 200)
    paces = {size: model.pace_beside(instance, "new", size) for size in sizes}
    first = next(size for size in sizes if paces[size] < MIN_PACE)
    assert not model.gives_pace(instance, "new", first, MIN_PACE)
    computed = []

    def counting(*args: Any) -> float:
        computed.append(args)
        return 0.0

    monkeypatch.setattr(InterferenceModel, "pace_beside", counting)
    larger = [size for size in sizes if size >= first]
    assert not any(model.gives_pace(instance, "new", size, MIN_PACE) for size in larger)
    assert not computed


def test_pace_is_recomputed_for_smaller_tasks_and_changed_workers() -> None:
    sched = mixed_fleet(2)
    model, instance = sched.interference.model, sched.fleet.instance("g0")
    assert not model.gives_pace(instance, "new", 8000, MIN_PACE)
    assert model.gives_pace(instance, "new", 400, MIN_PACE)
    for run in [run for run in instance.runs.values() if run.step.fills]:
        sched.fleet.drop(run)
    assert model.gives_pace(instance, "new", 8000, MIN_PACE)


def test_planning_does_not_scan_ended_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rounds whose cost grows with the number of ended jobs."""
    sched = scheduler(Bounds(keep_ended_s=120.0))
    for number in range(300):
        sched.submit(job(f"j{number}"), lambda *_: None)
    store(sched)
    for number in range(299):
        sched.cancel(f"j{number}", lambda *_: None)
    store(sched)
    visited = 0
    state = vars(Job)["state"]

    def counting(self: Job) -> JobState:
        nonlocal visited
        visited += 1
        found: JobState = state.fget(self)
        return found

    monkeypatch.setattr(Job, "state", property(counting))
    sched.evict_ended(0)
    plan(sched, 0.0, 0)
    assert sched.waiting("q") == 1
    assert visited <= 3


def test_running_job_is_kept_without_delaying_removal_of_others() -> None:
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
