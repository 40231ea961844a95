"""Admission control under load: who is refused, when refused callers return, what they find."""

import math
import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Final

import pytest
from loguru import logger

from sapphirelead.admission.decisions import Assessment
from sapphirelead.admission.gates import Gates
from sapphirelead.admission.places import MAX_PLACES, MAX_RETRY_S, Places
from sapphirelead.admission.shares import PriorityOnly
from sapphirelead.admission.waits import Wait
from sapphirelead.sched_lengths import DeclaredLengths
from sapphirelead.sched_parts import AdmissionConfig
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_zones import EvacuatedZones
from tests.sched.admission_world import START_S, STEP, TASK_S, Caller, World


@pytest.fixture(autouse=True)
def _without_log() -> Iterator[None]:
    logger.disable("sapphirelead")
    yield
    logger.enable("sapphirelead")


OVERLOAD_S: Final = 20.0
CAPACITY_PER_S: Final = 10.0
"""Jobs that the workers can do in a second."""


def overloaded(per_s: float, on: bool = True, drain_s: float = 60.0) -> tuple[World, float]:
    """Return a world after an overload; also the jobs in time for each second of it."""
    world = World(on=on)
    world.advance(OVERLOAD_S, per_s=per_s)
    callers = world.callers.values()
    goodput = sum(caller.in_time and caller.ended_at <= world.at for caller in callers)
    world.advance(drain_s)
    return world, goodput / OVERLOAD_S


def in_time_share(callers: list[Caller]) -> float:
    """Return the share of the served callers that were served in time."""
    served = [caller for caller in callers if caller.ended_at < math.inf]
    return sum(caller.in_time for caller in served) / len(served)


def test_goodput_holds_at_three_times_the_capacity() -> None:
    """Guards against a collapse in which every job is accepted and most are late."""
    _, peak = overloaded(CAPACITY_PER_S)
    world, goodput = overloaded(3 * CAPACITY_PER_S)
    assert goodput >= 0.95 * peak
    assert in_time_share(list(world.callers.values())) >= 0.95


def test_a_refused_caller_returns_about_once() -> None:
    """Guards against callers that return at the wrong time, and again and again."""
    world, _ = overloaded(3 * CAPACITY_PER_S)
    refusals = [caller.refusals for caller in world.callers.values() if caller.refusals]
    assert len(refusals) > 100
    assert sum(refusals) / len(refusals) <= 1.3
    assert all(caller.ended_at < math.inf for caller in world.callers.values())


def test_returns_are_spread_over_the_time_in_which_capacity_becomes_free() -> None:
    """Guards against callers that all return at the same moment."""
    world = World()
    refused = []
    for number in range(300):
        refusal = world.submit(world.job(f"a{number}"))
        if refusal is not None:
            refused.append(refusal.retry_after_s)
    assert len(refused) > 200
    assert refused == sorted(refused), "the order of the refusals"
    for second in range(1, 20):
        returns = sum(second <= retry_s < second + 1 for retry_s in refused)
        assert returns <= CAPACITY_PER_S + 1


def test_a_returning_caller_is_not_put_behind_newcomers() -> None:
    """Guards against callers that lose their turn by doing what they were told."""
    world = World()
    world.advance(10.0, per_s=3 * CAPACITY_PER_S)
    callers = sorted(world.callers.values(), key=lambda caller: caller.began_at)
    early = [caller for caller in callers if caller.refusals][:30]
    world.advance(20.0, per_s=3 * CAPACITY_PER_S)
    latest = max(caller.accepted_at for caller in early)
    overtook = [
        caller
        for caller in world.callers.values()
        if caller.began_at > early[-1].began_at + 1.0 and caller.accepted_at < latest - 1.0
    ]
    assert latest < math.inf
    assert not overtook


def test_accepted_work_is_never_refused_without_overload() -> None:
    """Guards against refusals at a load that the workers can do."""
    world, _ = overloaded(0.95 * CAPACITY_PER_S, drain_s=10.0)
    assert not any(caller.refusals for caller in world.callers.values())


@pytest.mark.parametrize("seed", range(20))
def test_no_job_is_refused_while_there_is_room_for_it(seed: int) -> None:
    """Guards against refusals beside room that the waiting tasks are too large for."""
    rng = random.Random(seed)
    world = World(workers=3)
    refused = 0
    for number in range(150):
        world.advance(0.1)
        tasks, cpu = rng.choice([(1, 500), (4, 2_000), (10, 6_000), (2, 20_000)])
        step = StepSpec(tasks=tasks, cpu_millicores=cpu, estimate_ms=rng.randint(200, 8_000))
        spec = world.job(f"a{number}", step=step)
        free = [instance.free_cpu // cpu for instance in world.sched.fleet.instances.values()]
        if world.submit(spec) is not None:
            refused += 1
            assert sum(free) < tasks, "there is room for all tasks"
    assert refused


def test_a_job_that_only_harms_itself_is_not_refused() -> None:
    """Guards against refusing a late job although nobody else waits for the capacity."""
    world = World()
    long = StepSpec(tasks=128, cpu_millicores=1_000, estimate_ms=30_000)
    assert world.submit(world.job("a", step=long)) is None
    world.advance(1.0)
    assert world.submit(world.job("b")) is None, "late, but alone"
    assert world.submit(world.job("c")) is not None, "b waits for the same capacity"


def test_higher_priorities_are_accepted_while_lower_ones_are_refused() -> None:
    """Guards against urgent work that is refused because of work that it goes before."""
    world = World()
    world.sched.policies["low"] = QueuePolicy("svc", priority=2)
    accepted = 0
    while world.submit(world.job(f"low{accepted}", "low")) is None:
        accepted += 1
    assert world.submit(world.job("urgent")) is None


class HalfOfOther:
    """Guarantees half of the capacity to one queue."""

    def guaranteed(self, queue: str) -> float:
        return 0.5 if queue == "other" else 0.0

    def organisation_of(self, queue: str) -> str:
        return queue


def test_a_queue_within_its_guaranteed_share_is_accepted_beside_a_flood() -> None:
    """Guards against members whose jobs are refused because of another member's."""
    for shares, refused in ((PriorityOnly(), True), (HalfOfOther(), False)):
        world = World()
        world.admission = world.new_admission(shares)
        for number in range(100):
            world.submit(world.job(f"a{number}"))
        assert (world.submit(world.job("b", "other")) is not None) is refused


def test_an_organisation_has_no_longer_queue_than_configured() -> None:
    """Guards against a backlog without bound of jobs with a distant objective."""
    world = World(config=AdmissionConfig(max_wait_s=5.0))
    patient = StepSpec(tasks=10, cpu_millicores=1_000, estimate_ms=60_000)
    accepted = 0
    while world.submit(world.job(f"a{accepted}", step=patient)) is None:
        accepted += 1
    running, per_job_s = 12, 10 * 60 / 128
    assert (accepted - running - 1) * per_job_s <= 5.0 + per_job_s
    other = world.job("other", "other", StepSpec(cpu_millicores=1_000, estimate_ms=90_000))
    assert world.submit(other) is None, "the queue of another organisation is empty"


def test_a_load_that_hovers_at_the_bound_does_not_alternate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing and opening a queue with each job."""
    events: list[str] = []
    monkeypatch.setattr(
        "sapphirelead.admission.leader.log_event", lambda _, name, **__: events.append(name)
    )
    world = World()
    world.advance(2.0, per_s=3 * CAPACITY_PER_S)
    world.advance(20.0, per_s=1.05 * CAPACITY_PER_S)
    assert events.count("admission_closed") <= 4
    assert events.count("admission_opened") <= events.count("admission_closed")


def test_a_closed_queue_opens_below_the_bound_only() -> None:
    """Guards against a decision that changes with each job that ends."""
    gates = Gates(AdmissionConfig(max_wait_s=30.0, exit_share=0.8))
    near = Assessment(Wait(1.8, 2.0), 1.8, 1.0, bound_s=2.0, cost_s=0.1, alone=False)
    below = replace(near, expected_s=1.5)
    assert gates.accepts("q", near, returning=False)
    gates.close(World().job("a"), replace(near, expected_s=2.1))
    assert not gates.accepts("q", near, returning=False)
    assert gates.accepts("q", below, returning=False)
    assert gates.accepts("q", near, returning=True), "its turn has come"
    assert gates.accepts("other", near, returning=False)


def test_a_queue_opens_after_the_overload() -> None:
    """Guards against refusals that go on although there is capacity again."""
    world, _ = overloaded(3 * CAPACITY_PER_S)
    assert world.submit(world.job("next")) is None
    assert world.admission.notice(world.at + 1.0, 3) is None


def test_evacuated_and_draining_workers_count_as_no_capacity() -> None:
    """Guards against accepting work for workers that take none, in the middle of an operation."""
    whole, half = World(), World()
    half.sched.set_zones(EvacuatedZones(frozenset({"z"}), half.at))
    for number in range(2):
        agent = half.sched.fleet.instance(f"g{number}")
        agent.zone_evacuated = False
    counts = []
    for world in (whole, half):
        world.at += 0.5
        accepted = 0
        while world.submit(world.job(f"a{accepted}")) is None:
            accepted += 1
        counts.append(accepted)
    assert counts[1] == pytest.approx(counts[0] / 2, abs=2)


def test_capacity_that_becomes_free_is_not_occupied_work() -> None:
    """Guards against an estimate that takes half-empty workers for occupied ones."""
    world = World()
    long = StepSpec(tasks=60, cpu_millicores=1_000, estimate_ms=60_000)
    assert world.submit(world.job("long", step=long)) is None
    world.advance(0.5)
    assert world.submit(world.job("a")) is None
    assert world.submit(world.job("b")) is None


class LearntLengths:
    """Knows that tasks take longer than their callers say."""

    def expected_ms(self, queue: str, step: StepSpec, quantile: float = 0.5) -> int:
        return int(1.4 * step.estimate_ms)


def test_learnt_run_times_count_instead_of_the_declared_ones() -> None:
    """Guards against believing callers' estimates that are known to be too short."""
    accepted = []
    for lengths in (DeclaredLengths(), LearntLengths()):
        fresh = World()
        fresh.sched.lengths = lengths
        while fresh.submit(fresh.job(f"a{len(fresh.sched.jobs)}")) is None:
            pass
        accepted.append(len(fresh.sched.jobs))
    assert accepted[1] < 0.7 * accepted[0], "both the work ahead and its own are longer"
    world = World(length_s=lambda spec: 1.4 * TASK_S)
    world.sched.lengths = LearntLengths()
    world.advance(OVERLOAD_S, per_s=3 * CAPACITY_PER_S)
    world.advance(60.0)
    callers = [caller for caller in world.callers.values() if caller.began_at > START_S + 5.0]
    assert in_time_share(callers) >= 0.95


def test_places_are_bounded() -> None:
    """Guards against memory that grows with the number of refused callers."""
    places = Places()
    told = [places.assign(f"a{n}", ("svc", 0), "q", 0.0, 1.0, 0.001) for n in range(2 * MAX_PLACES)]
    assert len(places) == MAX_PLACES
    assert len({round(retry_s, 6) for retry_s, _ in told}) == 2 * MAX_PLACES, "all are spread"
    places.expire(MAX_RETRY_S + 10.0)
    assert len(places) == 0
    assert places.promised_s("svc", 0) == 0.0


def test_a_configuration_that_changes_under_load_counts_at_once() -> None:
    """Guards against bounds that stay in force after they have been changed."""
    world = World()
    world.advance(5.0, per_s=3 * CAPACITY_PER_S)
    patient = StepSpec(tasks=10, cpu_millicores=1_000, estimate_ms=60_000)
    world.admission.config = AdmissionConfig(max_wait_s=0.1)
    assert world.submit(world.job("a", step=patient)) is not None
    world.admission.config = AdmissionConfig(max_wait_s=1_000.0)
    assert world.submit(world.job("b", step=patient)) is None


@pytest.mark.parametrize("jump_s", [-3_600, 3_600])
def test_a_jump_of_the_wall_clock_refuses_no_more(jump_s: int) -> None:
    """Guards against refusals because accepted jobs seem to be due now or long ago."""
    world = World()
    world.advance(3.0, per_s=0.9 * CAPACITY_PER_S)
    world.admission._wall_ms = lambda: int((world.at + jump_s) * 1000)
    world.advance(10.0, per_s=0.9 * CAPACITY_PER_S)
    assert not any(caller.refusals for caller in world.callers.values())


def test_cancelled_jobs_no_longer_count() -> None:
    """Guards against refusing jobs because of work that nobody wants any more."""
    world = World()
    number = 0
    while world.submit(world.job(f"a{number}")) is None:
        number += 1
    world.store()
    plan(world.sched, world.at, int(world.at * 1000))
    for job_id in list(world.sched.jobs):
        world.sched.cancel(job_id, lambda *_: None)
    world.advance(2.0)
    assert world.submit(world.job("b")) is None


def test_scheduled_and_long_running_jobs_are_not_refused() -> None:
    """Guards against refusing work whose wait at submission says nothing."""
    world = World()
    number = 0
    while world.submit(world.job(f"a{number}")) is None:
        number += 1
    scheduled = JobSpec(
        "s", "q", "", (STEP,), world.job("x").policy, first_due_ms=10**12, occurrences=1
    )
    assert world.submit(scheduled) is None
    assert world.submit(world.job("l", step=StepSpec(cpu_millicores=1_000, lasting=True))) is None
