"""Preemption in the simulated fleet: urgent starts, lost work, bounds and failures."""

import pytest

from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_parts import LeaderParts
from sapphirelead.preemption.history import StopHistory
from sapphirelead.preemption.review import MAX_DECISIONS, MIN_WORKERS, REVIEW_INTERVAL_S
from sapphirelead.preemption.rights import PriorityRight, queues_below
from sapphirelead.preemption.survey import RoomSurvey
from sapphirelead.preemption.worker_room import WorkerRoom
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_parts import ALL_OFF, PreemptionConfig
from sapphirelead.sched_planner import plan
from sapphirelead.sched_scan_order import ScanOrder
from sapphirelead.sched_spec import QueuePolicy, StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_zones import EvacuatedZones
from tests.sched import waits_world
from tests.sched.fakes import Agents, scheduler, store
from tests.sched.preempting import ON, PRIORITIES, PreemptingWorld, queued
from tests.sched.waits_world import Site

URGENT_START_S = 1.0
"""Stated target: kill grace period of 0.9 s and one report."""

MAX_LOST_SHARE = 0.02
"""Stated target for work that is done in vain."""

IN_TIME_S = 3.1
"""Time within which the quiet queue's jobs are to complete, as in the baseline measurements."""

LONG = StepSpec(tasks=8, cpu_millicores=4000, estimate_ms=12_000, saves=True)
URGENT = StepSpec(cpu_millicores=1000, estimate_ms=1280)


def full_world(workers: int = 2, step: StepSpec = LONG, **options: object) -> PreemptingWorld:
    """Return workers that low-priority tasks have filled for two seconds."""
    sites = [Site(f"g{number}", 16_000, ("a", "r1")) for number in range(workers)]
    world = PreemptingWorld(sites, **options)  # type: ignore[arg-type]
    world.submit(queued("low", "p2", step))
    world.play(2.0)
    return world


@pytest.fixture()
def _fine_ticks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(waits_world, "TICK_S", 0.02)
    monkeypatch.setattr(waits_world, "MAX_START_S", 0.02)


@pytest.mark.usefixtures("_fine_ticks")
@pytest.mark.parametrize(
    "step",
    [
        LONG,
        StepSpec(tasks=8, cpu_millicores=4000, estimate_ms=60_000),
        StepSpec(tasks=32, cpu_millicores=1000, estimate_ms=30_000, saves=True),
        StepSpec(tasks=2, cpu_millicores=16_000, estimate_ms=30_000),
        StepSpec(tasks=2, cpu_millicores=16_000, estimate_ms=30_000, gang=True),
    ],
)
def test_urgent_work_starts_within_a_second(step: StepSpec) -> None:
    """Guards against urgent tasks that wait for the end of long ones of a lower priority."""
    world = full_world(step=step)
    assert world.leader.fleet.runs
    accepted_at = world.at
    world.submit(queued("now", "p0", StepSpec(10, 1000, estimate_ms=1280), world.at))
    world.play(1.5)
    starts = [world.started_at[f"now.0.0.{number}"] - accepted_at for number in range(10)]
    print(f"latest start after {max(starts):.2f} s")
    assert max(starts) <= URGENT_START_S
    assert not world.problems


@pytest.mark.usefixtures("_fine_ticks")
def test_an_urgent_gang_starts_within_a_second() -> None:
    """Guards against room that is made for some members of a gang, or taken one by one."""
    world = full_world()
    accepted_at = world.at
    world.submit(queued("now", "p0", StepSpec(4, 6000, estimate_ms=3000, gang=True), world.at))
    world.play(1.5)
    assert max(world.started_at[f"now.0.0.{n}"] for n in range(4)) - accepted_at <= URGENT_START_S


def test_nothing_is_stopped_while_the_part_is_off() -> None:
    """Guards against preemption on a deployment that has not enabled it."""
    world = full_world(config=ALL_OFF)
    world.submit(queued("now", "p0", URGENT, world.at))
    world.play(5.0)
    assert "now.0.0.0" not in world.started_at
    assert world.row is None and not world.leader.observers


@pytest.mark.parametrize("urgent_cpu", [1000, 4000])
@pytest.mark.parametrize("saves", [True, False])
@pytest.mark.parametrize("length_error", [0.0, 0.2, 0.9])
def test_less_than_two_percent_of_the_work_is_lost(
    urgent_cpu: int, saves: bool, length_error: float
) -> None:
    """Guards against stops that throw away more than they are worth."""
    world = PreemptingWorld([Site(f"g{number}", 32_000, ("a", "r1")) for number in range(11)])
    world.length_error = length_error
    for number in range(35):
        step = StepSpec(10, 4000, estimate_ms=12_000, saves=saves)
        world.submit(queued(f"low{number}", "p2", step))
    world.play(2.0)
    for number in range(40):
        step = StepSpec(10, urgent_cpu, estimate_ms=1280)
        world.submit(queued(f"now{number}", "p0", step, world.at))
        world.play(1.0)
    lost = world.lost_core_s / world.ran_core_s
    print(f"lost {lost:.4f} of {world.ran_core_s:.0f}: {urgent_cpu=} {saves=} {length_error=}")
    assert lost < MAX_LOST_SHARE


@pytest.mark.parametrize("length_error", [0.0, 0.9])
def test_a_quiet_queue_beside_long_low_priority_tasks_is_in_time(length_error: float) -> None:
    """Guards against a quiet queue that waits for long tasks of a lower priority."""
    world = PreemptingWorld([Site(f"g{number}", 32_000, ("a", "r1")) for number in range(11)])
    world.length_error = length_error
    for number in range(80):
        step = StepSpec(10, 4000, estimate_ms=12_000, saves=True)
        world.submit(queued(f"low{number}", "p2", step))
    world.play(2.0)
    accepted_at: dict[str, float] = {}
    took_s: dict[str, float] = {}
    for tick in range(300):
        if tick % 10 == 0:
            name = f"quiet{tick}"
            accepted_at[name] = world.at
            step = StepSpec(10, 1000, estimate_ms=1280)
            world.submit(queued(name, "p0", step, world.at))
        world.play(0.1)
        for name, since in accepted_at.items():
            if not world.leader.jobs[name].open:
                took_s.setdefault(name, world.at - since)
    ended = [name for name, since in accepted_at.items() if world.at - since > IN_TIME_S]
    late = [name for name in ended if took_s.get(name, IN_TIME_S + 1) > IN_TIME_S]
    print(f"{len(late)} of {len(ended)} late, slowest {max(took_s.values()):.2f} s")
    assert not late


def test_only_one_queue_of_each_group_is_asked_about() -> None:
    """Guards against reviews whose time grows with the square of the number of queues."""
    asked = 0

    class CountingRight(PriorityRight):
        def may_preempt(self, queue_of_run: str, queue_of_step: str) -> bool:
            nonlocal asked
            asked += 1
            return super().may_preempt(queue_of_run, queue_of_step)

    policies = {f"q{number}": QueuePolicy("svc", priority=number % 3) for number in range(900)}
    below = queues_below(CountingRight(lambda: policies), policies)
    assert [len(below(queue)) for queue in policies] == [600, 300, 0] * 300
    assert asked <= 9


def test_priorities_that_change_all_the_time_let_every_job_end() -> None:
    """Guards against two queues that stop each other's tasks in turn by changing priorities."""
    world = full_world(1, StepSpec(4, 4000, estimate_ms=5000, saves=True))
    world.submit(queued("other", "p0", StepSpec(4, 4000, estimate_ms=5000, saves=True), world.at))
    for turn in range(60):
        swapped = {"p0": PRIORITIES["p2"], "p2": PRIORITIES["p0"]}
        world.leader.policies = PRIORITIES | (swapped if turn % 2 else {})
        world.play(1.0)
    assert world.all_done()
    assert not world.problems


def test_a_review_of_a_large_fleet_judges_few_workers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against reviews that last as long as a planning pass on thousands of workers."""
    sched = scheduler()
    sched.policies = PRIORITIES
    agents = Agents(sched)
    parts = LeaderParts(sched, Metrics(lambda: 0.0))
    parts.set_config(ON)
    for number in range(300):
        agents.report(f"g{number}", at=1.0)
    step = StepSpec(600, 4000, estimate_ms=12_000, saves=True)
    sched.submit(queued("low", "p2", step), lambda *_: None)
    plan(sched, 1.0, 100_000)
    store(sched)
    judged = 0
    look = RoomSurvey._look

    def counting(self: RoomSurvey, instance: Instance) -> WorkerRoom:
        nonlocal judged
        judged += 1
        return look(self, instance)

    monkeypatch.setattr(RoomSurvey, "_look", counting)
    sched.submit(queued("now", "p0", StepSpec(1000, 1000, estimate_ms=1280)), lambda *_: None)
    for number in range(300):
        sched.fleet.instance(f"g{number}").last_report_at = 1.5
    scan = ScanOrder()
    plan(sched, 1.5, 100_000, scan)
    parts.after_plan(1.5, 100_000, scan)
    assert 0 < judged <= MAX_DECISIONS + MIN_WORKERS


def test_a_task_works_longer_after_each_stop() -> None:
    """Guards against a task that is stopped again and again before it has done any work."""
    stops = StopHistory(PreemptionConfig(min_run_s=2.0))
    world = full_world(1, StepSpec(cpu_millicores=16_000, estimate_ms=60_000, saves=True))
    (run,) = world.leader.fleet.runs.values()
    for expected_s in (2.0, 4.0, 8.0):
        stops.record(run.ref, 0.0)
        assert not stops.may_stop(run, run.running_at + expected_s - 0.1)
        assert stops.may_stop(run, run.running_at + expected_s)


def test_a_stop_is_no_failure_and_no_slow_move() -> None:
    """Guards against jobs that fail, and workers in a cooldown, because they were preempted."""
    world = full_world(1)
    world.submit(queued("now", "p0", URGENT, world.at))
    world.play(0.2)
    (run,) = [run for run in world.leader.fleet.runs.values() if run.stop_wanted]
    site = world.sites["g0"]
    world._end(site, (run.ref.text(), run.attempt), "failed")
    world.play(0.2)
    task = world.leader.task(run.ref)
    assert task is not None
    assert (task.failures, task.moves, task.avoid) == (0, 0, [])
    assert not world.leader.fleet.instance("g0").track.has_faults


def test_work_that_cannot_be_in_time_stops_nothing() -> None:
    """Guards against work thrown away for a job that is late anyway."""
    world = full_world(1)
    world.submit(queued("late", "p0", URGENT, world.at - 30.0))
    world.play(2.0)
    assert not any(run.stop_wanted for run in world.leader.fleet.runs.values())


def test_lost_stop_orders_are_repeated() -> None:
    """Guards against room that stays lost because one stop order was."""
    world = full_world()
    world.lost_stops = 1
    world.submit(queued("now", "p0", URGENT, world.at))
    world.play(3.5)
    assert "now.0.0.0" in world.started_at
    assert not world.problems


def test_another_worker_is_used_if_an_agent_dies_before_the_start() -> None:
    """Guards against an urgent task that waits for the lease of a dead agent to expire."""
    world = full_world()
    world.submit(queued("now", "p0", URGENT, world.at))
    world.play(0.3)
    (agent,) = {run.agent for run in world.leader.fleet.runs.values() if run.stop_wanted}
    world.sites[agent].silent_until = world.at + 30
    world.play(3.0)
    (run,) = world.leader.fleet.runs_of(TaskRef("now", 0, 0, 0))
    assert run.agent != agent
    assert not world.problems


@pytest.mark.parametrize("pause_s", [0.0, 0.4, 0.9, 3.0])
@pytest.mark.parametrize("after_s", [0.1, 0.5, 1.0, 1.1])
def test_a_change_of_leaders_neither_loses_room_nor_gives_it_twice(
    after_s: float, pause_s: float
) -> None:
    """Guards against room that is lost or given twice by a leader that dies during a stop."""
    world = full_world()
    world.submit(queued("now", "p0", StepSpec(4, 4000, estimate_ms=4000), world.at))
    world.play(after_s)
    world.kill_leader(pause_s)
    world.play(pause_s + 4.0)
    assert all(f"now.0.0.{number}" in world.started_at for number in range(4))
    assert not world.problems
    world.play(60.0)
    assert world.all_done()


def test_a_successor_counts_on_the_stops_that_it_finds() -> None:
    """Guards against further runs that each new leader stops for the same task."""
    world = full_world(1)
    world.submit(queued("now", "p0", URGENT, world.at))
    world.play(0.3)
    world.kill_leader(0.0)
    world.play(0.5)
    runs = world.leader.fleet.runs.values()
    assert sum(run.reported_stopping for run in runs) == 1
    assert [run.stop_reason for run in runs if run.stop_wanted] == ["preempted"]
    world.play(0.5)
    assert "now.0.0.0" in world.started_at


def test_a_successor_knows_how_often_a_task_was_stopped() -> None:
    """Guards against a bound on stops that begins anew under each leader."""
    world = full_world(1)
    world.submit(queued("now", "p0", URGENT, world.at))
    world.play(0.5)
    (run,) = [run for run in world.leader.fleet.runs.values() if run.stop_wanted]
    world.kill_leader(0.5)
    world.play(1.0)
    history = world.history()
    assert isinstance(history, StopHistory)
    assert history.stops(run.ref) == 1


@pytest.mark.parametrize("data", [b"", b"x", b"\x92\x02\x80", b"\x92\x01\x81\xa1x\xa1y"])
def test_an_unreadable_row_counts_as_empty(data: bytes) -> None:
    """Guards against a leader that cannot serve because of a row of another form."""
    history = StopHistory(PreemptionConfig())
    history.restore(data, 0.0)
    assert history.encode(0.0) is None


def test_the_row_is_bounded() -> None:
    """Guards against a row that is too large to be stored."""
    history = StopHistory(PreemptionConfig())
    for number in range(12_000):
        history.record(TaskRef(f"job-{number:030}", 0, 0, number), 0.0)
    data = history.encode(0.0)
    assert data is not None and len(data) < 40_000
    successor = StopHistory(PreemptionConfig())
    successor.restore(data, 0.0)
    assert successor.stops(TaskRef(f"job-{11_999:030}", 0, 0, 11_999)) == 1


def test_long_running_tasks_are_stopped_up_to_absent_max() -> None:
    """Guards against more stopped tasks of a long-running step than its callers can do without."""
    step = StepSpec(8, 4000, lasting=True, target_ms=150, absent_max=1)
    world = full_world(step=step)
    world.submit(queued("now", "p0", StepSpec(4, 4000, estimate_ms=30_000), world.at))
    absent = 0
    for _ in range(40):
        world.play(0.1)
        lasting = [run for run in world.leader.fleet.runs.values() if run.step.lasting]
        absent = max(absent, 8 - sum(not run.stop_wanted for run in lasting))
    assert absent == 1


@pytest.mark.parametrize(("tail_ms", "stopped"), [(30, 1), (70, 1), (80, 0), (-1, 0)])
def test_a_latency_critical_task_is_kept_if_the_others_cannot_take_its_callers(
    tail_ms: int, stopped: int
) -> None:
    """Guards against stops that push other tasks of the step beyond their target."""
    step = StepSpec(4, 4000, lasting=True, target_ms=150, absent_max=2)
    world = full_world(1, step)
    for run in world.leader.fleet.runs.values():
        run.measurement, run.load = tail_ms, 0.6
    world.submit(queued("now", "p0", StepSpec(2, 4000, estimate_ms=30_000), world.at))
    scan, at = ScanOrder(), world.at + 2 * REVIEW_INTERVAL_S
    plan(world.leader, at, int(at * 1000), scan)
    world.parts.after_plan(at, int(at * 1000), scan)
    # At a load of 0.6 and a third more, a tail latency doubles; two cannot serve for four.
    assert sum(run.stop_wanted for run in world.leader.fleet.runs.values()) == stopped


def test_switching_the_part_off_gives_its_room_back() -> None:
    """Guards against held room that nobody gives back after a change of the configuration."""
    world = full_world()
    world.submit(queued("now", "p0", URGENT, world.at))
    world.play(0.3)
    world.parts.set_config(ALL_OFF)
    for item in world.leader.fleet.instances.values():
        claimed = sum(run.step.cpu_millicores for run in item.runs.values())
        assert item.used.cpu_millicores == claimed
    world.play(2.0)
    assert "now.0.0.0" in world.started_at


def test_nothing_starts_in_a_zone_that_is_evacuated_during_a_stop() -> None:
    """Guards against a start in a zone that is evacuated while room is made there."""
    world = full_world()
    world.submit(queued("now", "p0", URGENT, world.at))
    world.play(0.3)
    world.leader.set_zones(EvacuatedZones(frozenset({"z"}), world.at))
    world.play(3.0)
    assert "now.0.0.0" not in world.started_at
    world.leader.set_zones(EvacuatedZones(frozenset(), world.at))
    world.play(1.0)
    assert "now.0.0.0" in world.started_at
    assert not world.problems


def test_a_worker_that_returns_under_its_id_gives_the_room_back() -> None:
    """Guards against room that is held on a life of a worker that is gone."""
    world = full_world()
    world.submit(queued("now", "p0", URGENT, world.at))
    world.play(0.3)
    (agent,) = {run.agent for run in world.leader.fleet.runs.values() if run.stop_wanted}
    world.take_down(world.sites[agent], 0.2)
    world.play(3.0)
    assert "now.0.0.0" in world.started_at
    assert not world.problems
