"""Placement of suspected tasks apart from others."""

from typing import Final

import pytest

import sapphirelead.sched_planner as sched_planner
import sapphirelead.sched_quarantine as sched_quarantine
from sapphirelead.blame.counts import MIN_CRASHES, SUSPECT_CRASHES, SUSPECT_WINDOW_S
from sapphirelead.blame.evidence import PROBATION_S
from sapphirelead.metrics import Metrics
from sapphirelead.sched_consolidate import Consolidation
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_job import EndKind, Job, JobState
from sapphirelead.sched_planner import plan
from sapphirelead.sched_quarantine import PATIENCE_S, Quarantine
from sapphirelead.sched_spec import JobSpec, StepSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, job, scheduler, store
from tests.sched.poison import PoisonFleet

SMALL: Final = StepSpec(cpu_millicores=1000, estimate_ms=60_000)
LONG_RUNNING: Final = StepSpec(cpu_millicores=1000, lasting=True)
GANG: Final = StepSpec(tasks=2, cpu_millicores=1000, estimate_ms=60_000, gang=True)
MAX_RESTART_S: Final = 6.0
MAX_IDLE_S: Final = 3.0


class Fleet:
    """A scheduler with agents that report all of their runs."""

    def __init__(self, agents: int) -> None:
        self.sched = scheduler()
        self.agents = Agents(self.sched)
        self.names = [f"g{number}" for number in range(agents)]
        self.at = 1.0
        self.report()

    def report(self) -> None:
        """Report every run of every agent."""
        for name in self.names:
            runs = [
                (run.ref.text(), run.attempt)
                for run in self.sched.fleet.instance(name).runs.values()
            ]
            self.agents.report(name, runs=runs, at=self.at)

    def place(self, *specs: JobSpec) -> None:
        """Submit jobs, and plan and store."""
        for spec in specs:
            self.sched.submit(spec, lambda *_: None)
        plan(self.sched, self.at, 0)
        store(self.sched)

    def wait(self, duration_s: float) -> None:
        """Report and plan twice a second."""
        until = self.at + duration_s
        while self.at < until:
            self.at += 0.5
            self.report()
            self.place()

    def submit_suspect(self, spec: JobSpec, crashes: int = SUSPECT_CRASHES) -> None:
        """Submit a job under whose first step workers have crashed."""
        self.sched.submit(spec, lambda *_: None)
        found = self.sched.jobs[spec.job_id]
        for number, task in enumerate(found.occurrences[0].tasks[0]):
            task.crashes = crashes
            self.sched.quarantine.update(found, TaskRef(spec.job_id, 0, 0, number))

    def runs_of(self, job_id: str) -> list[Run]:
        """Return the runs of a job."""
        return [run for run in self.sched.fleet.runs.values() if run.ref.job_id == job_id]

    def beside(self, job_id: str) -> list[str]:
        """Return the jobs of the other runs on the workers of a job."""
        agents = {run.agent for run in self.runs_of(job_id)}
        return [
            run.ref.job_id
            for run in self.sched.fleet.runs.values()
            if run.agent in agents and run.ref.job_id != job_id
        ]


@pytest.mark.parametrize("step", [SMALL, LONG_RUNNING, GANG], ids=["small", "lasting", "gang"])
def test_suspect_takes_an_empty_worker(step: StepSpec) -> None:
    """Guards against a suspect placed beside others while a worker is empty."""
    fleet = Fleet(3)
    fleet.place(*(job(f"q{number}", SMALL) for number in range(2)))
    fleet.submit_suspect(job("p", step))
    fleet.wait(PATIENCE_S)
    assert len(fleet.runs_of("p")) == step.tasks
    assert fleet.beside("p") == []


@pytest.mark.parametrize("step", [SMALL, LONG_RUNNING, GANG], ids=["small", "lasting", "gang"])
def test_suspect_does_not_wait_long_for_an_empty_worker(step: StepSpec) -> None:
    """Guards against a job that idles, or a long-running task away, while there is room."""
    fleet = Fleet(2)
    fleet.place(*(job(f"q{number}", SMALL) for number in range(2)))
    fleet.submit_suspect(job("p", step))
    fleet.wait(PATIENCE_S)
    assert fleet.runs_of("p") == []
    fleet.wait(0.5)
    assert len(fleet.runs_of("p")) == step.tasks


def test_suspect_joins_where_the_least_is_at_stake() -> None:
    """Guards against a suspect beside long-running tasks while it could run beside others."""
    fleet = Fleet(2)
    fleet.place(job("lasting", LONG_RUNNING))
    fleet.place(job("q", StepSpec(tasks=9, cpu_millicores=1000, estimate_ms=60_000)))
    fleet.wait(0.5)
    assert {run.agent for run in fleet.runs_of("q")} == {"g0", "g1"}
    fleet.submit_suspect(job("p", SMALL))
    fleet.wait(PATIENCE_S + 0.5)
    assert fleet.runs_of("p") != []
    assert "lasting" not in fleet.beside("p")


def test_nothing_joins_a_suspect_before_the_end_of_its_probation() -> None:
    """Guards against tasks placed on a worker that is about to crash."""
    fleet = Fleet(1)
    fleet.submit_suspect(job("p", SMALL))
    fleet.place()
    fleet.place(job("q", SMALL))
    fleet.wait(PROBATION_S)
    assert fleet.runs_of("q") == []
    fleet.wait(1.0)
    assert fleet.beside("p") == ["q"]


@pytest.mark.parametrize(
    ("step", "max_wait_s"), [(LONG_RUNNING, MAX_RESTART_S - 1), (SMALL, MAX_IDLE_S)]
)
def test_other_tasks_do_not_wait_long_for_suspects(step: StepSpec, max_wait_s: float) -> None:
    """Guards against jobs that idle, or long-running tasks away, while all workers are reserved."""
    fleet = Fleet(1)
    for number in range(4):
        fleet.submit_suspect(job(f"p{number}", LONG_RUNNING))
    fleet.place(job("q", step))
    fleet.wait(max_wait_s)
    assert len(fleet.runs_of("q")) == 1


def test_suspects_never_share_a_worker() -> None:
    """Guards against two poison tasks that shield each other from the proof."""
    fleet = Fleet(2)
    for number in range(3):
        fleet.submit_suspect(job(f"p{number}", SMALL))
    fleet.place()
    agents = [run.agent for run in fleet.sched.fleet.runs.values()]
    assert sorted(agents) == ["g0", "g1"]


@pytest.mark.parametrize("step", [SMALL, LONG_RUNNING, GANG], ids=["small", "lasting", "gang"])
def test_isolation_ends_when_the_task_is_no_longer_suspected(step: StepSpec) -> None:
    """Guards against a run that keeps others off its worker until it ends."""
    fleet = Fleet(1)
    fleet.submit_suspect(job("p", step))
    fleet.place()
    fleet.wait(0.5)
    assert [run.isolated for run in fleet.runs_of("p")] == step.tasks * [True]
    found = fleet.sched.jobs["p"]
    for number, task in enumerate(found.occurrences[0].tasks[0]):
        task.reset_crashes()
        fleet.sched.quarantine.update(found, TaskRef("p", 0, 0, number))
    fleet.place(job("q", SMALL))
    assert len(fleet.beside("p")) == 1
    assert fleet.sched.fleet.instance("g0").isolated == 0


def test_isolation_holds_after_a_leader_change() -> None:
    """Guards against a new leader that places tasks beside a suspect."""
    fleet = Fleet(1)
    fleet.submit_suspect(job("p", SMALL))
    fleet.place()
    stored = fleet.sched.jobs["p"]
    successor = Scheduler(fleet.sched.bounds, fleet.at)
    successor.load(Job.decode(stored.spec, stored.encode()))
    fleet.sched = fleet.agents.sched = successor
    fleet.report()
    fleet.place(job("q", SMALL))
    assert fleet.runs_of("q") == []


@pytest.mark.parametrize("crashes", [1, SUSPECT_CRASHES])
def test_task_gets_no_copies_after_a_crash(crashes: int) -> None:
    """Guards against copies of a poison task that crash several workers at once."""
    fleet = Fleet(3)
    spec = job("p", StepSpec(cpu_millicores=1000, estimate_ms=1000, copies=True))
    fleet.submit_suspect(spec, crashes)
    fleet.place()
    for _ in range(10):
        fleet.wait(0.5)
        review(fleet.sched, fleet.at)
    assert len(fleet.runs_of("p")) == 1


@pytest.mark.parametrize("ran_s", [0.5, PROBATION_S + 1.0])
def test_worker_of_a_suspect_is_not_emptied(ran_s: float) -> None:
    """Guards against moving a suspected long-running task into company, or back where it was."""
    fleet = Fleet(2)
    fleet.submit_suspect(job("p", LONG_RUNNING))
    fleet.place()
    fleet.place(job("t", StepSpec(cpu_millicores=1000, lasting=True, target_ms=100)))
    fleet.wait(ran_s)
    for run in fleet.sched.fleet.runs.values():
        run.percent = 100
    Consolidation().review(fleet.sched, 100_000, fleet.at)
    assert not any(run.stop_wanted for run in fleet.runs_of("p"))


@pytest.mark.parametrize("step", [SMALL, LONG_RUNNING, GANG], ids=["small", "lasting", "gang"])
def test_task_that_runs_for_long_is_cleared(step: StepSpec) -> None:
    """Guards against blame that adds up over crashes that lie far apart."""
    fleet = Fleet(2)
    fleet.submit_suspect(job("p", step))
    fleet.wait(SUSPECT_WINDOW_S + 2.0)
    tasks = fleet.sched.jobs["p"].occurrences[0].tasks[0]
    assert [task.crashes for task in tasks] == [0] * step.tasks
    assert not any(fleet.sched.quarantine.suspects)
    reloaded = fleet.sched.jobs["p"]
    assert list(Job.decode(reloaded.spec, reloaded.encode()).crashed_tasks()) == []


@pytest.mark.parametrize("end", ["cancelled", "done"])
def test_ended_tasks_are_forgotten(end: str) -> None:
    """Guards against a quarantine that grows with each job."""
    fleet = Fleet(1)
    fleet.submit_suspect(job("p", SMALL))
    fleet.place()
    (run,) = fleet.runs_of("p")
    if end == "cancelled":
        fleet.sched.cancel("p", lambda *_: None)
    else:
        fleet.sched.end(run, EndKind.DONE, "", "", fleet.at)
    fleet.place()
    assert run.ref not in fleet.sched.quarantine
    assert not any(fleet.sched.quarantine.suspects)


def test_planning_without_suspects_takes_no_detour(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against costs of the quarantine on ordinary days."""

    def refuse(*_: object) -> None:
        raise AssertionError("called without suspects")

    monkeypatch.setattr(sched_planner, "_place_suspects", refuse)
    monkeypatch.setattr(sched_planner, "choose_apart", refuse)
    fleet = Fleet(3)
    runs_of = fleet.sched.fleet.runs_of
    fleet.place(*(job(f"q{number}", SMALL, GANG) for number in range(9)))
    monkeypatch.setattr(fleet.sched.fleet, "runs_of", refuse)
    fleet.wait(2.0)
    monkeypatch.setattr(fleet.sched.fleet, "runs_of", runs_of)
    assert len(fleet.sched.fleet.runs) == 24


def test_events_lead_from_a_task_to_the_workers_it_took(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a failed job that nobody can explain from the log."""
    events: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        sched_quarantine, "log_event", lambda _, event, **fields: events.append((event, fields))
    )
    metrics = Metrics()
    fleet = PoisonFleet(4, {"p"})
    fleet.sched.quarantine = Quarantine(metrics)
    fleet.submit(job("q", LONG_RUNNING), job("p", LONG_RUNNING))
    fleet.run(50.0)
    took = [fields["worker"] for event, fields in events if event == "worker_crashed"]
    assert len(took) == len(set(took)) == fleet.crashes["p.0.0.0"] == MIN_CRASHES
    assert [fields["suspects"] for event, fields in events if event == "worker_crashed"] == [
        "q.0.0.0,p.0.0.0",
        "q.0.0.0,p.0.0.0",
        "p.0.0.0",
    ]
    assert [(event, fields["task"]) for event, fields in events if event != "worker_crashed"] == [
        ("task_suspected", "q.0.0.0"),
        ("task_suspected", "p.0.0.0"),
        ("task_given_up", "p.0.0.0"),
        ("task_cleared", "q.0.0.0"),
    ]
    assert metrics.value("workers_crashed_total") == MIN_CRASHES
    assert metrics.value("tasks_given_up_total") == 1


@pytest.mark.parametrize("sites", [2, 3, 4, 8])
def test_long_running_task_beside_a_poison_task_runs_again_in_time(sites: int) -> None:
    """Guards against a quarantine that keeps innocent long-running tasks away."""
    fleet = PoisonFleet(sites, {"p"})
    quiet = [job(f"l{number}", LONG_RUNNING) for number in range(6)]
    fleet.submit(*quiet, job("p", LONG_RUNNING))
    fleet.run(40.0)
    assert fleet.state("p") is JobState.FAILED
    if sites > 2:
        # On two workers some suspects have to run beside the culprit to run again in time.
        assert {fleet.state(spec.job_id) for spec in quiet} == {JobState.RUNNING}
    assert max(fleet.absent_s.values(), default=0.0) <= MAX_RESTART_S
