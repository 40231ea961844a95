"""Leaders of workers whose capacity shrinks and grows; no network, no clock."""

import random

import pytest
from msgspec.structs import replace

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.node_messages import RunEnded
from sapphirelead.sched_consolidate import Consolidation
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import URGENT_WAIT_S, PlacementRequest
from sapphirelead.sched_fleet import Instance, Phase, Run
from sapphirelead.sched_interference import _used_shares
from sapphirelead.sched_place import score
from sapphirelead.sched_planner import plan, wanted_cpu
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_survey import survey
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_scheduler import ended, only_run, runs, submit

FULL = Resources(8000, 8000, 2)
HALF = Resources(4000, 4000, 1)
RUNNING = StepSpec(cpu_millicores=4000, memory_mb=4000, accelerators=1, estimate_ms=60_000)
PLAIN = StepSpec(cpu_millicores=1000, memory_mb=100)
FILL = StepSpec(cpu_millicores=1000, memory_mb=100, image="f", fills=True, estimate_ms=5000)
LASTING = StepSpec(cpu_millicores=1000, memory_mb=100, image="s", lasting=True, target_ms=100)
GANG = StepSpec(tasks=2, cpu_millicores=1000, memory_mb=100, gang=True)
LIMITED = replace(PLAIN, per_worker=1)
STEPS = pytest.mark.parametrize("step", [PLAIN, FILL, LASTING, GANG, LIMITED])


class World:
    """A scheduler and one worker that runs one task of :data:`RUNNING`."""

    def __init__(self) -> None:
        self.sched = scheduler()
        self.agents = Agents(self.sched)
        self.at = 1.0
        self.capacity = FULL
        self.report()
        submit(self.sched, job("run", RUNNING))
        plan(self.sched, self.at, 0)
        store(self.sched)
        self.run = only_run(self.sched)
        self.report()

    @property
    def instance(self) -> Instance:
        """The worker as the leader sees it."""
        return self.sched.fleet.instance("g1")

    def report(self, ends: list[RunEnded] | None = None, percent: int = 10) -> None:
        """Report the worker with its capacity and the runs whose starts were sent."""
        done = {(end.task, end.attempt) for end in ends or []}
        names = [
            (run.ref.text(), run.attempt)
            for run in self.sched.fleet.runs.values()
            if run.agent == "g1" and run.phase is not Phase.CLAIMED
        ]
        info = worker_info("w-g1", capacity=self.capacity)
        live = [name for name in names if name not in done]
        self.agents.report("g1", info, live, ends, self.at, percent=percent)

    def resize(self, capacity: Resources) -> None:
        """Report another capacity, a little later."""
        self.capacity = capacity
        self.at += 0.1
        self.report()

    def submit(self, step: StepSpec) -> None:
        """Submit a job ``new`` of one step."""
        submit(self.sched, job("new", step))

    def plan_for(self, duration_s: float) -> None:
        """Report and plan for a while."""
        for _ in range(round(duration_s / 0.1)):
            self.at += 0.1
            self.report()
            plan(self.sched, self.at, 0)

    def claimed(self) -> list[Run]:
        """Return the runs of the job ``new``."""
        return [run for run in self.sched.fleet.runs.values() if run.ref.job_id == "new"]


# Arithmetic


@pytest.mark.parametrize(
    ("need", "free", "fits"),
    [
        (NO_RESOURCES, NO_RESOURCES, True),
        (NO_RESOURCES, Resources(-1, 0, 0), False),
        (NO_RESOURCES, Resources(0, -1, 0), False),
        (NO_RESOURCES, Resources(0, 0, -1), False),
        (Resources(1, 1, 1), Resources(1, 1, 1), True),
        (Resources(0, 1, 0), Resources(-1, 1, 0), False),
    ],
)
def test_nothing_fits_in_a_negative_amount(need: Resources, free: Resources, fits: bool) -> None:
    assert need.fits_in(free) is fits
    assert need.fits_in(NO_RESOURCES - (NO_RESOURCES - free)) is fits


@pytest.mark.parametrize("seed", range(20))
def test_leader_and_agent_agree_on_what_fits(seed: int) -> None:
    """Guards against starts that the leader orders and the agent refuses, again and again."""
    rng = random.Random(seed)
    for _ in range(50):
        size = Resources(*(rng.randrange(4) for _ in range(3)))
        instance = Instance("g1", worker=worker_info(capacity=size))
        instance.used = Resources(*(rng.randrange(4) for _ in range(3)))
        cpu, memory, accelerators = (rng.randrange(3) for _ in range(3))
        step = StepSpec(
            cpu_millicores=cpu,
            memory_mb=memory,
            accelerators=accelerators,
            fills=rng.random() < 0.5,
        )
        assert instance.fits(step) is step.room.fits_in(size - instance.used)


# The leader


@pytest.mark.parametrize(
    ("capacity", "sent"),
    [
        (Resources(5000, 4100, 1), True),
        (Resources(4999, 4100, 1), False),
        (Resources(5000, 4099, 1), False),
        (Resources(5000, 4100, 0), False),
        (NO_RESOURCES, False),
    ],
)
def test_shrink_between_claim_and_storing(capacity: Resources, sent: bool) -> None:
    """Guards against a start that is sent although the last report leaves no room for it."""
    world = World()
    world.submit(PLAIN)
    plan(world.sched, world.at, 0)
    assert len(world.claimed()) == 1
    world.resize(capacity)
    world.sched.orders_for("g1", world.at)
    store(world.sched)
    orders = world.sched.orders_for("g1", world.at)[0]
    assert [item.task for item in orders] == (["new.0.0.0"] if sent else [])
    assert len(world.claimed()) == sent
    assert not world.run.stop_wanted
    assert world.instance.track.failures == 0


@pytest.mark.parametrize(
    "capacity",
    [
        Resources(3999, 8000, 2),
        Resources(8000, 3999, 2),
        Resources(8000, 8000, 0),
        HALF,
        Resources(1, 1, 0),
        NO_RESOURCES,
    ],
)
@STEPS
def test_nothing_starts_without_room_and_growth_starts_it_at_once(
    step: StepSpec, capacity: Resources
) -> None:
    """Guards against starts over a shrunken capacity, and against tasks that wait beside room."""
    world = World()
    world.resize(capacity)
    world.submit(step)
    world.plan_for(2 * URGENT_WAIT_S)
    assert world.claimed() == []
    assert not world.run.stop_wanted
    world.resize(replace_tasks(FULL, step))
    world.at += 0.01
    plan(world.sched, world.at, 0)
    assert len(world.claimed()) == step.tasks


def replace_tasks(capacity: Resources, step: StepSpec) -> Resources:
    """Return a capacity with room for ``step`` beside the task that runs."""
    return capacity.elementwise_max(Resources(4000 + step.tasks * 2000, 4000 + step.tasks * 200, 1))


def test_best_effort_task_without_reservation_respects_memory() -> None:
    world = World()
    world.resize(Resources(8000, 4099, 2))
    world.submit(replace(FILL, cpu_millicores=0))
    world.plan_for(2 * URGENT_WAIT_S)
    assert world.claimed() == []
    world.resize(Resources(8000, 4100, 2))
    world.plan_for(0.2)
    assert len(world.claimed()) == 1


def test_every_review_bears_workers_without_capacity() -> None:
    """Guards against a division by a capacity of zero, which would end every leader."""
    world = World()
    steps = (LASTING, FILL, replace(PLAIN, copies=True, estimate_ms=1000))
    for number, step in enumerate(steps):
        submit(world.sched, job(f"more{number}", step))
    world.plan_for(0.5)
    store(world.sched)
    assert len(world.sched.fleet.runs) == 4
    for run in world.sched.fleet.runs.values():
        run.measurement = 50
    world.resize(NO_RESOURCES)
    consolidation = Consolidation()
    for number, step in enumerate((PLAIN, FILL, LASTING, GANG)):
        submit(world.sched, job(f"wait{number}", step))
    for _ in range(60):
        world.at += 0.1
        world.report(percent=11)
        plan(world.sched, world.at, 0)
        review(world.sched, world.at)
        consolidation.review(world.sched, wanted_cpu(world.sched), world.at)
        survey(world.sched, world.at)
        for step in (PLAIN, FILL, LASTING):
            request = PlacementRequest(step, "svc", interference=world.sched.interference)
            score(world.instance, request, TaskRef("new", 0, 0, 0))
    assert len(world.sched.fleet.runs) == 4
    assert not any(run.stop_wanted for run in world.sched.fleet.runs.values())


@STEPS
def test_new_leader_counts_stored_claims_against_the_reported_capacity(step: StepSpec) -> None:
    """Guards against a new leader that fills a worker that shrank during the change of leader."""
    world = World()
    successor = scheduler()
    successor.load(world.sched.jobs["run"])
    world.sched, world.agents = successor, Agents(successor)
    world.submit(step)
    world.resize(HALF)
    world.plan_for(2 * URGENT_WAIT_S)
    assert world.claimed() == []
    assert not any(run.stop_wanted for run in successor.fleet.runs.values())


def refuse_all(world: World, reason: str) -> int:
    """Report that every new run did not start; return their number."""
    store(world.sched)
    refused = world.claimed()
    ends = [RunEnded(0, run.ref.text(), run.attempt, "not_started", "", reason) for run in refused]
    world.report(ends=ends)
    return len(refused)


@pytest.mark.parametrize(("reason", "sound"), [("no_room", True), ("unhealthy", False)])
def test_refusal_for_lack_of_room_is_no_fault_of_the_worker(reason: str, sound: bool) -> None:
    """Guards against a sound worker that gets no work after its growth, since it once shrank."""
    world = World()
    world.submit(replace(PLAIN, tasks=4))
    plan(world.sched, world.at, 0)
    world.at += 0.1
    world.capacity = HALF
    assert refuse_all(world, reason) == 4
    assert world.instance.track.sound(world.at) is sound
    world.resize(FULL)
    plan(world.sched, world.at, 0)
    assert len(world.claimed()) == (4 if sound else 0)


@pytest.mark.parametrize("step", [PLAIN, FILL, LASTING, replace(PLAIN, tasks=3)])
def test_worker_that_refuses_for_lack_of_room_is_not_asked_in_a_tight_loop(step: StepSpec) -> None:
    """Guards against refusals in every planning pass while the reports show room."""
    world = World()
    world.submit(step)
    refused = 0
    for _ in range(100):
        world.at += 0.05
        plan(world.sched, world.at, 0)
        refused += refuse_all(world, "no_room")
        world.report()
    assert step.tasks <= refused <= 6 * step.tasks
    world.resize(replace_tasks(Resources(9000, 9000, 3), step))
    world.plan_for(0.2)
    assert len(world.claimed()) == step.tasks


def gang_on_two_workers(capacity: Resources) -> tuple[Scheduler, Agents, list[Run]]:
    """Return a gang of four claimed on two workers, the second of which shrinks then."""
    sched = scheduler()
    agents = Agents(sched)
    for agent in ("g1", "g2"):
        agents.report(agent, at=1.0)
    submit(sched, job("new", StepSpec(tasks=4, gang=True, cpu_millicores=3000)))
    plan(sched, 1.0, 0)
    found = sorted(sched.fleet.runs.values(), key=lambda run: (run.agent, run.ref))
    assert [run.agent for run in found] == ["g1", "g1", "g2", "g2"]
    agents.report("g2", worker_info("w-g2", capacity=capacity), at=1.1)
    return sched, agents, found


def test_gang_without_room_for_a_member_is_not_begun() -> None:
    """Guards against members that wait in vain for one whose worker shrank before its start."""
    sched, _, _ = gang_on_two_workers(Resources(3000, 64_000, 0))
    store(sched)
    store(sched)
    assert all(sched.orders_for(agent, 1.2)[0] == [] for agent in ("g1", "g2"))


def test_gang_with_a_refused_member_is_stopped_and_runs_again() -> None:
    """Guards against members that wait in vain for one whose start was refused."""
    sched, agents, found = gang_on_two_workers(Resources(8000, 64_000, 0))
    store(sched)
    names = [[(run.ref.text(), 1) for run in found if run.agent == agent] for agent in ("g1", "g2")]
    agents.report("g1", runs=names[0], at=1.3)
    refused = RunEnded(0, *names[1][1], "not_started", "", "no_room")
    small = worker_info("w-g2", capacity=Resources(3000, 64_000, 0))
    agents.report("g2", small, names[1][:1], [refused], at=1.3)
    assert all(run.stop_wanted for run in sched.fleet.runs.values())
    rest = [found[0], found[1], found[2]]
    for number, run in enumerate(rest, 1):
        info = small if run.agent == "g2" else None
        agents.report(run.agent, info, ends=[ended(run, "stopped", number)], at=1.4)
    plan(sched, 1.4, 0)
    assert runs(sched) == []
    agents.report("g2", at=1.5)
    agents.report("g1", at=1.5)
    plan(sched, 1.5, 0)
    assert {run.attempt for run in sched.fleet.runs.values()} == {2}
    assert len(sched.fleet.runs) == 4


@pytest.mark.parametrize(("capacity", "moved"), [(8000, True), (500, False), (0, False)])
@pytest.mark.parametrize("copies", [False, True])
def test_slow_run_moves_only_to_a_worker_with_room(
    capacity: int, moved: bool, copies: bool
) -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report("g1", at=1.0)
    step = StepSpec(cpu_millicores=1000, estimate_ms=4000, saves=not copies, copies=copies)
    submit(sched, job("new", step))
    plan(sched, 1.0, 0)
    store(sched)
    run = only_run(sched)
    for number in range(5):
        at = 1.1 + 0.5 * number
        agents.report("g2", worker_info("w-g2", capacity=Resources(capacity, 64_000)), at=at)
        agents.report("g1", runs=[(run.ref.text(), 1)], percent=1, at=at)
    review(sched, 3.1)
    assert (run.stop_wanted or len(sched.fleet.runs) > 1) is moved


@pytest.mark.parametrize(("capacity", "at_fault"), [(8000, True), (500, False), (0, False)])
def test_worker_over_its_capacity_is_not_blamed_for_slow_runs(
    capacity: int, at_fault: bool
) -> None:
    """Guards against a sound worker that is paused because its capacity shrank below its runs."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report("g1", at=1.0)
    submit(sched, job("new", StepSpec(cpu_millicores=1000, estimate_ms=4000, saves=True)))
    plan(sched, 1.0, 0)
    store(sched)
    run = only_run(sched)
    info = worker_info("w-g1", capacity=Resources(capacity, 64_000))
    for number in range(5):
        agents.report("g1", info, [(run.ref.text(), 1)], percent=1, at=1.1 + 0.5 * number)
    review(sched, 3.1)
    assert (sched.fleet.instance("g1").track.last_fault_at > 0) is at_fault


@pytest.mark.parametrize(("capacity", "emptied"), [(8000, True), (1500, False), (0, False)])
def test_consolidation_moves_tasks_only_to_workers_with_room(capacity: int, emptied: bool) -> None:
    sched = scheduler()
    agents = Agents(sched)
    for agent, job_id in (("g1", "a1"), ("g2", "a2")):
        agents.report(agent, at=1.0)
        submit(sched, job(job_id, replace(LASTING, cpu_millicores=1000 if agent == "g1" else 2000)))
        for step in range(3):
            plan(sched, 1.0 + 0.2 * step, 0)
        store(sched)
        sched.fleet.instance(agent).last_report_at = -10.0
    placed = {run.agent: run for run in sched.fleet.runs.values()}
    assert sorted(placed) == ["g1", "g2"]
    for agent, size in (("g1", 8000), ("g2", capacity)):
        run = placed[agent]
        info = worker_info(f"w-{agent}", capacity=Resources(size, 64_000))
        agents.report(agent, info, [(run.ref.text(), 1)], percent=100, at=20.0)
    Consolidation().review(sched, 50_000, 20.0)
    assert placed["g1"].stop_wanted is emptied


@pytest.mark.parametrize("capacity", [FULL, HALF, Resources(1, 1, 0), NO_RESOURCES])
def test_used_shares_never_exceed_the_whole_worker(capacity: Resources) -> None:
    """Guards against interference estimates of almost zero, learned from shares of a tiny size."""
    world = World()
    for name in ("fill1", "fill2"):
        submit(world.sched, job(name, replace(FILL, image=name)))
    world.plan_for(0.3)
    store(world.sched)
    world.resize(capacity)
    for run in world.sched.fleet.runs.values():
        run.measurement = 800 if run.step.fills else -1
    shares = _used_shares(world.instance)
    assert set(shares) == {"fill1", "fill2"}
    assert sum(shares.values()) <= 1.0


@pytest.mark.parametrize("step", [PLAIN, FILL])
def test_slow_worker_scores_lower_also_without_room(step: StepSpec) -> None:
    """Guards against starving tasks that prefer the slower of two overcommitted workers."""
    values = []
    for speed in (0.5, 1.0):
        instance = Instance("g1", worker=worker_info(capacity=NO_RESOURCES))
        instance.used = Resources(4000, 0, 0)
        instance.track.speed = speed
        values.append(score(instance, PlacementRequest(step, "svc"), TaskRef("new", 0, 0, 0)))
    assert values[0] <= values[1]
