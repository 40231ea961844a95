"""Placement while operators have evacuated availability zones; no network, no clock."""

import math

import pytest

from sapphirelead.node_messages import RunEnded
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import SkipReason
from sapphirelead.sched_fleet import Phase
from sapphirelead.sched_job import EndKind, JobState
from sapphirelead.sched_planner import GROUPING_DELAY_S, plan
from sapphirelead.sched_spec import AdvicePolicy, QueuePolicy, StepSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_wait_log import count_skip_reasons
from sapphirelead.sched_zones import ZONE_EVACUATED, ZONE_UNKNOWN, EvacuatedZones
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_scheduler import submit

ZONES = {"g1": "a", "g2": "b", "g3": "c"}


def fleet(
    sched: Scheduler, at: float = 0.0, agents: Agents | None = None, percent: int = 10
) -> Agents:
    """Report one worker in each zone."""
    agents = agents or Agents(sched)
    for agent, zone in ZONES.items():
        runs = [
            (run.ref.text(), run.attempt)
            for run in sched.fleet.runs.values()
            if run.agent == agent and run.phase is not Phase.CLAIMED
        ]
        info = worker_info(f"w-{agent}", zone=zone)
        agents.report(agent, info, runs, at=at, percent=percent)
    return agents


def evacuate(sched: Scheduler, *zones: str) -> None:
    """Let the scheduler read that exactly these zones are evacuated."""
    sched.set_zones(EvacuatedZones(frozenset(zones), 0.0))


def placed(sched: Scheduler, at: float) -> list[str]:
    """Plan and store; return the zones of the new claims."""
    before = set(sched.fleet.runs)
    plan(sched, at, int(at * 1000))
    found = [ZONES[run.agent] for key, run in sched.fleet.runs.items() if key not in before]
    store(sched)
    return sorted(found)


STEP = StepSpec(tasks=6, cpu_millicores=1000, estimate_ms=1000)
FILL = StepSpec(tasks=6, cpu_millicores=1000, estimate_ms=1000, fills=True, image="f")
LASTING = StepSpec(tasks=6, cpu_millicores=1000, lasting=True, target_ms=100, image="s")
GANG = StepSpec(tasks=6, cpu_millicores=1000, estimate_ms=1000, gang=True)
SPREAD = StepSpec(tasks=6, cpu_millicores=1000, estimate_ms=1000, per_worker=2)


@pytest.mark.parametrize("step", [STEP, FILL, LASTING, GANG])
@pytest.mark.parametrize("evacuated", [("a",), ("a", "b"), ("c", "nowhere")])
def test_nothing_is_placed_in_evacuated_zones(step: StepSpec, evacuated: tuple[str, ...]) -> None:
    """Guards against starts in a zone that operators have evacuated."""
    sched = scheduler()
    fleet(sched)
    evacuate(sched, *evacuated)
    submit(sched, job("a1", step))
    zones = placed(sched, 0.0) + placed(sched, GROUPING_DELAY_S + 0.1)
    assert len(zones) == step.tasks
    assert not set(zones) & set(evacuated)


@pytest.mark.parametrize("step", [STEP, FILL, LASTING, GANG, SPREAD])
def test_tasks_wait_while_all_zones_are_evacuated_and_say_why(step: StepSpec) -> None:
    """Guards against a preference that yields to overdue tasks in place of a constraint."""
    sched = scheduler()
    agents = fleet(sched)
    evacuate(sched, "a", "b", "c")
    submit(sched, job("a1", step))
    for number in range(1, 40):
        fleet(sched, number * 0.25, agents)
        assert placed(sched, number * 0.25) == []
    reasons = count_skip_reasons(sched, TaskRef("a1", 0, 0, 0), 9.75)
    assert reasons == {SkipReason.ZONE_EVACUATED: 3}
    evacuate(sched, "b")
    zones = placed(sched, 9.75) + placed(sched, 9.8)
    assert len(zones) >= 4
    assert set(zones) <= {"a", "c"}


def test_what_runs_in_an_evacuated_zone_goes_on() -> None:
    sched = scheduler()
    agents = fleet(sched)
    submit(sched, job("a1", StepSpec(tasks=9, cpu_millicores=2000, estimate_ms=5000)))
    assert set(placed(sched, 0.1)) == {"a", "b", "c"}
    evacuate(sched, "a")
    for number in range(1, 20):
        at = 0.1 + number * 0.25
        fleet(sched, at, agents, percent=number * 5)
        review(sched, at)
        plan(sched, at, 0)
        store(sched)
    assert not any(run.stop_wanted for run in sched.fleet.runs.values())
    assert {ZONES[run.agent] for run in sched.fleet.runs.values()} == {"a", "b", "c"}


def test_a_slow_task_is_not_moved_into_an_evacuated_zone() -> None:
    """Guards against moves and copies that place work without the planner."""
    sched = scheduler()
    agents = Agents(sched)
    slow = StepSpec(cpu_millicores=6000, estimate_ms=1000, copies=True)
    agents.report("g1", worker_info("w-g1", zone="a"))
    submit(sched, job("a1", slow))
    plan(sched, 0.0, 0)
    store(sched)
    agents.report("g2", worker_info("w-g2", zone="b"))
    evacuate(sched, "b")
    for number in range(1, 30):
        at = number * 0.2
        agents.report("g1", worker_info("w-g1", zone="a"), [("a1.0.0.0", 1)], at=at, percent=1)
        agents.report("g2", worker_info("w-g2", zone="b"), at=at)
        review(sched, at)
        store(sched)
    assert [run.agent for run in sched.fleet.runs.values()] == ["g1"]
    evacuate(sched)
    review(sched, 6.0)
    agents.report("g1", worker_info("w-g1", zone="a"), [("a1.0.0.0", 1)], at=6.1, percent=1)
    review(sched, 6.1)
    assert sorted(run.agent for run in sched.fleet.runs.values()) == ["g1", "g2"]


def test_a_claim_that_is_stored_after_the_evacuation_is_not_sent() -> None:
    """Guards against a start order for a claim that was in flight when the row was read."""
    sched = scheduler()
    fleet(sched)
    submit(sched, job("a1", STEP))
    plan(sched, 0.0, 0)
    batch = sched.take_batch(0)
    evacuate(sched, "a", "b", "c")
    for effect in batch.effects:
        effect()
    assert not any(out.starts for out in sched.outgoing.values())
    assert not sched.fleet.runs
    evacuate(sched)
    assert placed(sched, 0.1) == ["a", "a", "b", "b", "c", "c"]


@pytest.mark.parametrize(("reason", "pause_s"), [(ZONE_EVACUATED, 0.0), (ZONE_UNKNOWN, 1.0)])
def test_a_start_refused_for_its_zone_is_no_fault_of_the_worker(
    reason: str, pause_s: float
) -> None:
    """Guards against workers of a restored zone that stay in a cooldown."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report("g1", worker_info("w-g1", zone="a"))
    submit(sched, job("a1", STEP))
    plan(sched, 0.0, 0)
    store(sched)
    refused = [
        RunEnded(0, run.ref.text(), run.attempt, EndKind.NOT_STARTED, "", reason)
        for run in sched.fleet.runs.values()
    ]
    agents.report("g1", worker_info("w-g1", zone="a"), ends=refused, at=0.1)
    track = sched.fleet.instance("g1").track
    assert not track.has_faults
    assert sched.state("a1") is not JobState.FAILED
    assert not sched.avoided(TaskRef("a1", 0, 0, 0))
    plan(sched, 0.11 + pause_s, 0)
    assert len(sched.fleet.runs) == STEP.tasks


def test_a_worker_that_joins_or_returns_in_an_evacuated_zone_gets_nothing() -> None:
    sched = scheduler()
    evacuate(sched, "a")
    agents = Agents(sched)
    agents.report("g1", worker_info("w-g1", zone="a"))
    submit(sched, job("a1", STEP))
    assert placed(sched, 0.1) == []
    agents.report("g1", worker_info("w-next", zone="a"), at=0.2, gone=("w-g1",))  # type: ignore[arg-type]
    assert placed(sched, 0.3) == []
    agents.report("g1", worker_info("w-moved", zone="b"), at=0.4)
    plan(sched, 0.5, 0)
    assert len(sched.fleet.runs) == STEP.tasks


def test_learnt_faults_of_a_zone_are_kept_over_its_evacuation() -> None:
    sched = scheduler()
    agents = fleet(sched)
    for _ in range(2):
        sched.fleet.instance("g1").track.record_failure(0.0)
    until = sched.fleet.instance("g1").track.cooldown_until
    evacuate(sched, "a")
    fleet(sched, 0.5, agents)
    evacuate(sched)
    assert sched.fleet.instance("g1").track.cooldown_until == until > 0


def test_no_tickets_are_asked_for_workers_in_an_evacuated_zone() -> None:
    """Guards against offers to an evacuated zone by way of the advice service."""
    sched = scheduler()
    fleet(sched)
    evacuate(sched, "b")
    policy = QueuePolicy("svc", advice=AdvicePolicy(1, 1, 1000))
    submit(sched, job("a1", STEP, policy=policy))
    asked = [worker for request in plan(sched, 0.1, 0) for worker in request.workers]
    assert sorted(map(str, asked)) == ["w-g1", "w-g3"]


def test_overdue_tasks_do_not_all_join_the_first_worker_of_a_restored_zone() -> None:
    """Guards against waits that count on while no zone is open."""
    sched = scheduler()
    agents = fleet(sched)
    placed(sched, 0.0)
    evacuate(sched, "a", "b", "c")
    submit(sched, job("a1", LASTING))
    for number in range(40):
        fleet(sched, number * 0.25, agents)
        placed(sched, number * 0.25)
    assert sched.task_waited_s(TaskRef("a1", 0, 0, 0), "svc", 10.0) <= 0.5


@pytest.mark.parametrize(
    ("read_age_s", "bound_s", "current"),
    [
        (0.0, 5.0, True),
        (2.5, 5.0, True),
        (2.6, 5.0, False),
        (math.inf, 5.0, False),
        (math.inf, math.inf, True),
    ],
)
def test_a_read_counts_for_half_of_the_bound(
    read_age_s: float, bound_s: float, current: bool
) -> None:
    """Guards against a leader that starts work by an old read of the zones."""
    assert EvacuatedZones(read_at=100.0 - read_age_s).is_current(bound_s, 100.0) is current
