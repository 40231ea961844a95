"""Guaranteed shares that come back by stops, with fair sharing and preemption both on."""

import math
from collections import Counter

import pytest
from msgspec import structs

from sapphirelead.fairness.right import ShareRight
from sapphirelead.preemption.rights import PriorityRight
from sapphirelead.sched_parts import PreemptionConfig, ShareSpec, SharingConfig
from sapphirelead.sched_run_ends import PREEMPTED
from sapphirelead.sched_spec import StepSpec
from tests.sched.shares import Fleet, Load, guaranteed

URGENT_START_S = 1.0
"""Stated target: kill grace period of 0.9 s and one report."""

CORES = 64
LONG = StepSpec(tasks=CORES, cpu_millicores=1000, estimate_ms=60_000, saves=True)


class Stops:
    """Counts stops by queue, and checks the shares of both sides in each tick."""

    def __init__(self, kept: dict[str, float]) -> None:
        """Begin to count.

        :param kept: share below which stops leave no queue.
        """
        self.kept = kept
        self.seen: set[tuple[object, int]] = set()
        self.by_queue = Counter[str]()

    def __call__(self, fleet: Fleet) -> None:
        left = Counter[str]()
        fresh = set()
        for run in fleet.sched.fleet.runs.values():
            queue = fleet.sched.jobs[run.ref.job_id].spec.queue
            if not run.stop_wanted:
                left[queue] += run.step.cpu_millicores
            elif run.stop_reason == PREEMPTED and run.key not in self.seen:
                self.seen.add(run.key)
                fresh.add(queue)
                self.by_queue[queue] += 1
        for queue in fresh:
            assert left[queue] >= self.kept.get(queue, 0.0) * CORES * 1000 - 1


def flood(queue: str = "flood") -> Load:
    """Return a queue that fills the fleet at once with long tasks."""
    return Load(queue, LONG, 10.0, 0.5)


def demand(tasks: int, queue: str = "quiet") -> Load:
    """Return one job of long tasks after the flood has filled the fleet."""
    return Load(queue, structs.replace(LONG, tasks=tasks), 1.0, 3.0, from_s=2.0)


def both_on(config: SharingConfig | None, loads: list[Load], stops: Stops) -> Fleet:
    """Return two workers whose stops take all of the kill grace period."""
    return Fleet(2, config, loads, each_tick=stops, preemption=PreemptionConfig(), stop_s=0.9)


def starts(fleet: Fleet, queue: str) -> list[float]:
    """Return when the tasks of a queue first started."""
    return [at for task, at in fleet.started_at.items() if task.startswith(f"{queue}-")]


def test_a_guaranteed_share_comes_back_within_a_second() -> None:
    """Guards against a guaranteed share that returns only as long tasks end."""
    stops = Stops({})
    fleet = both_on(guaranteed("quiet"), [flood(), demand(10)], stops).run(4.5)
    found = starts(fleet, "quiet")
    assert len(found) == 10
    print(f"latest start after {max(found) - 3.0:.2f} s, stops {stops.by_queue}")
    assert max(found) - 3.0 <= URGENT_START_S


def test_no_more_is_stopped_than_the_guaranteed_share() -> None:
    """Guards against stops for tasks beyond the share, and for more than is borrowed."""
    stops = Stops({"flood": 0.35})
    fleet = both_on(guaranteed("quiet"), [flood(), demand(60)], stops).run(10.0)
    allowed = int(0.3 * CORES)
    assert stops.by_queue == {"flood": allowed}
    assert len(starts(fleet, "quiet")) == allowed


def test_an_organisation_keeps_what_it_is_entitled_to() -> None:
    """Guards against stops that take a share which is guaranteed to another."""
    config = guaranteed("quiet", "flood", share=0.5)
    stops = Stops({"flood": 0.5})
    both_on(config, [flood(), demand(60)], stops).run(10.0)
    assert stops.by_queue == {"flood": CORES // 2}


def test_two_organisations_do_not_stop_each_other_in_turn() -> None:
    """Guards against a cycle of stops between organisations that both want everything."""
    config = guaranteed("flood", "other", share=0.4)
    stops = Stops({"flood": 0.4, "other": 0.4})
    loads = [flood(), Load("other", LONG, 10.0, 2.5, from_s=2.0)]
    both_on(config, loads, stops).run(20.0)
    assert stops.by_queue == {"flood": int(0.4 * CORES)}


@pytest.mark.parametrize("sharing", [True, False])
def test_nothing_is_stopped_within_a_priority_with_one_part_off(sharing: bool) -> None:
    """Guards against stops by shares on a deployment that has enabled one part only."""
    stops = Stops({})
    fleet = both_on(guaranteed("quiet") if sharing else None, [flood(), demand(10)], stops)
    if sharing:
        fleet.preemption = None
        fleet.configure(fleet.config)
    fleet.run(5.0)
    assert not stops.by_queue and not starts(fleet, "quiet")


def test_the_right_follows_the_parts_that_are_switched_on_later() -> None:
    """Guards against a right that outlasts sharing, or begins only with a new leader."""
    stops = Stops({})
    fleet = both_on(None, [flood(), demand(10)], stops).run(4.5)
    assert not stops.by_queue
    fleet.configure(guaranteed("quiet"))
    fleet.run(1.5)
    assert stops.by_queue["flood"] == 10
    fleet.configure(None)
    assert fleet.parts.preemption is not None
    assert isinstance(fleet.parts.preemption._right, PriorityRight)


def test_an_organisation_near_its_share_is_not_stopped_below_it() -> None:
    """Guards against stops that all hit the cheapest runs, whoever else has borrowed more."""
    shares = {"quiet": ShareSpec(guaranteed=0.3), "near": ShareSpec(guaranteed=0.3)}
    entitled = 0.3 + 0.4 / 3
    stops = Stops({"near": entitled})
    far = Load("far", structs.replace(LONG, tasks=34, saves=False), 1.0, 1.0)
    near = Load("near", structs.replace(LONG, tasks=30), 1.0, 2.0, from_s=1.0)
    loads = [far, near, demand(19)]
    both_on(SharingConfig(organisations=shares), loads, stops).run(6.0)
    assert stops.by_queue["near"] == 30 - math.ceil(entitled * CORES)


def test_the_relation_is_a_strict_order() -> None:
    """Guards against limits below guaranteed shares that put a queue on both sides."""
    names = ["one", "two"]
    loads = [Load(name, structs.replace(LONG, tasks=20), 1.0, 1.0) for name in names]
    fleet = both_on(None, loads, Stops({})).run(2.0)
    limited = ShareSpec(guaranteed=0.5, limit=0.1)
    fleet.configure(SharingConfig(organisations=dict.fromkeys(names, limited)))
    fleet.run(0.1)
    assert fleet.parts.preemption is not None
    right = fleet.parts.preemption._right
    assert isinstance(right, ShareRight)
    assert not any(right.may_preempt(one, other) for one in names for other in names)


def test_priority_is_not_bound_by_shares() -> None:
    """Guards against shares that keep an urgent queue from stopping runs of a lower priority."""
    stops = Stops({})
    low, urgent = flood(), demand(40)
    low.priority = 1
    fleet = both_on(guaranteed("quiet"), [low, urgent], stops).run(8.0)
    assert stops.by_queue == {"flood": 40}
    assert len(starts(fleet, "quiet")) == 40
