"""A queue that submits ten times what the fleet can process, beside queues that submit little.

The bounds are those of the promise: as if the quiet queue were alone plus 10%, mean and maximum.
"""

from collections.abc import Callable
from statistics import mean

import pytest
from msgspec.structs import replace

from sapphirelead.sched_parts import ShareSpec, SharingConfig
from sapphirelead.sched_spec import StepSpec
from tests.sched.shares import Fleet, Load, guaranteed, quiet

WORKERS = 11
FLOOD_S = 7.0
WHOLE_S = 12.0
TOLERANCE = 1.1
CORES = WORKERS * 32


def flood(
    cpu: int = 1000,
    tasks: int = 100,
    estimate_ms: int = 1280,
    spread: float = 0.4,
    fills: bool = False,
) -> Load:
    """Return a queue that submits ten times the capacity of the fleet."""
    step = StepSpec(
        tasks=tasks,
        cpu_millicores=cpu,
        estimate_ms=estimate_ms,
        fills=fills,
        image="f1" if fills else "",
    )
    core_s = tasks * cpu / 1000 * estimate_ms / 1000
    return Load("flood", step, 10 * CORES / core_s, FLOOD_S, spread)


def filling(load: Load) -> Load:
    """Return the same load as best-effort tasks."""
    load.step = replace(load.step, fills=True, image="f0")
    return load


def is_as_if_alone(
    loads: list[Load], flooding: Load, config: SharingConfig, checks_per_pass: int = 0
) -> None:
    """Assert the promise for each of ``loads``, and that nothing stays idle."""
    alone = Fleet(WORKERS, None, loads).run(WHOLE_S)
    beside = Fleet(WORKERS, config, [*loads, flooding], checks_per_pass=checks_per_pass)
    beside.run(WHOLE_S)
    for load in loads:
        reference = list(alone.completions[load.queue].values())
        found = list(beside.completions.get(load.queue, {}).values())
        assert len(found) == len(reference)
        assert mean(found) <= TOLERANCE * mean(reference)
        assert max(found) <= TOLERANCE * max(reference)
    assert sum(beside.core_s.values()) >= 0.95 * CORES * (WHOLE_S - 1)


CASES: dict[str, tuple[Callable[[], Load], Callable[[], Load]]] = {
    "plain": (lambda: quiet(), lambda: flood()),
    "filling": (lambda: filling(quiet()), lambda: flood(fills=True)),
    "many_filling_jobs": (lambda: filling(quiet()), lambda: flood(fills=True, tasks=10)),
    "smaller_tasks": (lambda: quiet(20, cpu=500), lambda: flood(4000, 25)),
    "larger_tasks": (lambda: quiet(8, cpu=4000), lambda: flood(500, 200)),
    "flood_of_equal_lengths": (lambda: quiet(), lambda: flood(spread=0.0)),
    "flood_of_long_tasks": (lambda: quiet(), lambda: flood(estimate_ms=12_000)),
}


@pytest.mark.parametrize("name", CASES)
def test_a_quiet_queue_is_served_as_if_alone(name: str) -> None:
    """Guards against a burst of one queue that delays another within its guaranteed share."""
    calm, flooding = CASES[name]
    is_as_if_alone([calm()], flooding(), guaranteed("quiet"))


@pytest.mark.parametrize(("queues", "share"), [(2, 0.3), (40, 0.02)])
def test_several_quiet_queues_are_served_as_if_alone(queues: int, share: float) -> None:
    """Guards against an order that protects only the queue that is furthest below its share."""
    tasks = 10 if queues == 2 else 3
    loads = [
        quiet(tasks, queue=f"quiet{number}", from_s=number / queues) for number in range(queues)
    ]
    is_as_if_alone(loads, flood(), guaranteed(*(load.queue for load in loads), share=share))


def test_a_queue_is_served_beside_a_flood_of_its_own_organisation() -> None:
    """Guards against shares that are kept between organisations only."""
    members = {"quiet": "all", "flood": "all"}
    config = SharingConfig(queues={"quiet": ShareSpec(guaranteed=0.3)}, members=members)
    is_as_if_alone([filling(quiet())], flood(fills=True, tasks=10), config)


def test_a_quiet_queue_is_served_in_passes_that_exceed_their_budget() -> None:
    """Guards against shares that hold only while the leader can scan every step in each pass."""
    is_as_if_alone([quiet()], flood(tasks=10), guaranteed("quiet"), checks_per_pass=200)


def test_bursts_of_forty_queues_at_once_are_served_as_if_alone() -> None:
    """Guards against queues that wait for each other although each is within its share."""
    loads = [quiet(3, queue=f"quiet{number}") for number in range(40)]
    is_as_if_alone(loads, flood(), guaranteed(*(load.queue for load in loads), share=0.02))


def test_two_floods_share_by_weight() -> None:
    """Guards against weights that do not matter once both queues have more work than fits."""
    config = SharingConfig(organisations={"heavy": ShareSpec(3.0), "light": ShareSpec(1.0)})
    loads = [flood(), flood()]
    loads[0].queue, loads[1].queue = "heavy", "light"
    fleet = Fleet(WORKERS, config, loads).run(8.0)
    used = fleet.core_s["heavy"] / sum(fleet.core_s.values())
    assert used == pytest.approx(0.75, abs=0.05)


def test_queues_share_what_their_organisation_gets() -> None:
    """Guards against an organisation that gets more for having more queues."""
    members = {f"q{number}": "large" for number in range(4)}
    names = [*members, "single"]
    loads = [flood() for _ in names]
    for load, name in zip(loads, names, strict=True):
        load.queue = name
    fleet = Fleet(WORKERS, SharingConfig(members=members), loads).run(5.0)
    used = {name: fleet.core_s[name] / sum(fleet.core_s.values()) for name in names}
    assert used["single"] == pytest.approx(0.5, abs=0.05)
    for name in members:
        assert used[name] == pytest.approx(0.125, abs=0.03)


def test_no_queue_waits_without_bound_for_one_with_a_larger_guarantee() -> None:
    """Guards against guarantees that starve a queue without one."""
    loads = [flood(), flood()]
    loads[0].queue, loads[1].queue = "guaranteed", "other"
    config = guaranteed("guaranteed", share=0.7)
    fleet = Fleet(WORKERS, config, loads).run(8.0)
    used = fleet.core_s["other"] / sum(fleet.core_s.values())
    assert used >= 0.1


def test_a_queue_at_its_limit_leaves_the_rest_idle() -> None:
    """Guards against a limit that is exceeded by a wide step or by many steps at once."""
    config = SharingConfig(organisations={"flood": ShareSpec(limit=0.25)})

    def check(fleet: Fleet) -> None:
        held = sum(run.step.cpu_millicores for run in fleet.sched.fleet.runs.values())
        assert held <= 0.25 * CORES * 1000

    fleet = Fleet(WORKERS, config, [flood()], each_tick=check).run(4.0)
    assert fleet.core_s["flood"] >= 0.9 * 0.25 * CORES * 4.0


def test_room_is_not_kept_on_a_worker_that_drains() -> None:
    """Guards against a large task that waits for a worker which takes no more work."""
    config = guaranteed("quiet")
    fleet = Fleet(3, config, [quiet(1, cpu=8000), flood(500, 60)]).run(2.0)
    drained: list[str] = []

    def drain(fleet: Fleet) -> None:
        holds = fleet.sched.sharing.holds if fleet.sched.sharing else None
        if holds and holds._owners and not drained:
            drained.extend(holds._owners)
        for agent in drained:
            fleet.sched.fleet.instance(agent).leaving = True

    fleet.each_tick = drain
    fleet.run(8.0)
    assert drained
    assert len(fleet.completions["quiet"]) >= 6
