"""Which of the tasks on a crashed worker is blamed for it."""

import pytest

from sapphirelead.blame.counts import MAX_CRASHES, MIN_CRASHES, SUSPECT_CRASHES, CrashRecord
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport, RunEnded
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import OVERDUE_LASTING_WAIT_S
from sapphirelead.sched_fleet import RECENT_END_S, Run
from sapphirelead.sched_job import EndEffect, Job, JobState, decode_deltas, encode_deltas
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_crash_counts import crash, crashes, started

SMALL = StepSpec(cpu_millicores=1000)
GANG = StepSpec(tasks=2, cpu_millicores=1000, gang=True)
POISON = TaskRef("p", 0, 0, 0)
QUIET = TaskRef("q", 0, 0, 0)


class Site:
    """Workers that crash with the runs of given jobs; each crash is reported at once."""

    def __init__(self, *jobs: str, agents: int = 2) -> None:
        self.sched = scheduler()
        self.agents = Agents(self.sched)
        self.names = [f"g{number}" for number in range(agents)]
        self.lives = dict.fromkeys(self.names, 0)
        self.at = 1.0
        for name in jobs:
            self.sched.submit(job(name, SMALL), lambda *_: None)
        self.report()

    def report(self, *names: str, listed: bool = True) -> None:
        """Report the workers and their runs."""
        for name in names or self.names:
            runs = [
                (run.ref.text(), run.attempt)
                for run in self.sched.fleet.instance(name).runs.values()
            ]
            info = worker_info(f"w-{name}-{self.lives[name]}")
            self.agents.report(name, info, runs if listed else [], at=self.at)

    def run_on(self, agent: str, *refs: TaskRef) -> list[Run]:
        """Claim an agent for tasks, and store the claims."""
        instance = self.sched.fleet.instance(agent)
        found = [self.sched.claim(self.sched.jobs[r.job_id], r, instance, self.at) for r in refs]
        store(self.sched)
        return found

    def crash_under(self, agent: str, *refs: TaskRef) -> None:
        """Start tasks on a worker, and replace it by its next life."""
        self.run_on(agent, *refs)
        self.at += 0.1
        self.report(agent)
        self.lives[agent] += 1
        self.at += 0.1
        self.report(agent, listed=False)
        store(self.sched)

    def crashes(self, ref: TaskRef) -> int:
        """Return the count of a task."""
        task = self.sched.jobs[ref.job_id].task(ref)
        assert task is not None
        return task.crashes

    def state(self, ref: TaskRef) -> JobState:
        """Return the state of a task's job."""
        return self.sched.jobs[ref.job_id].state


def reloaded(sched: Scheduler, job_id: str) -> Job:
    """Return a job as the next leader reads it from its journal."""
    found = sched.jobs[job_id]
    loaded = Job.accept(found.spec)
    (stored,) = decode_deltas(encode_deltas([Job.take_delta(found)]))
    loaded.apply(stored)
    return loaded


def test_crashes_are_taken_back_once_their_cause_is_found() -> None:
    """Guards against a quiet job that is given up by its next crash, long after the culprit."""
    site = Site("p", "q")
    for _ in range(SUSPECT_CRASHES):
        site.crash_under("g0", POISON, QUIET)
    assert site.crashes(QUIET) == SUSPECT_CRASHES
    site.run_on("g1", QUIET)
    site.at += 1.0
    site.report("g1")
    site.at += 1.0
    site.report("g1")
    site.crash_under("g0", POISON)
    assert site.state(POISON) is JobState.FAILED
    assert site.crashes(QUIET) == 0
    assert QUIET not in site.sched.quarantine
    assert reloaded(site.sched, "q").crashed_workers(QUIET) == frozenset()
    site.crash_under("g1")
    assert (site.crashes(QUIET), site.state(QUIET)) == (1, JobState.RUNNING)


def test_a_second_poison_task_gets_no_more_starts_for_an_excused_crash() -> None:
    """Guards against a poison task that gets more starts because another one is found."""
    site = Site("p", "r", "q")
    second = TaskRef("r", 0, 0, 0)
    site.crash_under("g0", POISON, second)
    for _ in range(SUSPECT_CRASHES):
        site.crash_under("g1", second, QUIET)
    for _ in range(MIN_CRASHES - 1):
        site.crash_under("g0", POISON)
    assert site.state(POISON) is JobState.FAILED
    assert site.crashes(second) == SUSPECT_CRASHES
    for _ in range(MAX_CRASHES - SUSPECT_CRASHES - 1):
        assert site.state(second) is JobState.RUNNING
        site.crash_under("g1", second, QUIET)
    assert site.state(second) is JobState.FAILED
    assert site.crashes(QUIET) == 0


def test_excused_crashes_count_towards_the_limit() -> None:
    """Guards against starts without limit of a task whose crashes are excused again and again."""
    found = Job.accept(job("a1", SMALL))
    ref = TaskRef("a1", 0, 0, 0)
    crash(found, 1, alone=False)
    workers = found.crashed_workers(ref)
    assert found.excuse_crashes(ref, workers) == 1
    effects = [crash(found, attempt, alone=False) for attempt in range(2, MAX_CRASHES + 1)]
    assert effects == [EndEffect.AGAIN] * (MAX_CRASHES - 2) + [EndEffect.JOB_FAILED]


def test_one_crash_gives_up_one_task() -> None:
    """Guards against a quiet job given up together with the culprit at the limit of both."""
    site = Site("p", "q")
    for _ in range(MAX_CRASHES):
        site.crash_under("g0", POISON, QUIET)
    states = {site.state(POISON), site.state(QUIET)}
    assert states == {JobState.FAILED, JobState.RUNNING}


@pytest.mark.parametrize("observed", [False, True])
def test_a_crash_alone_decides_only_if_no_other_suspect_is_left(observed: bool) -> None:
    """Guards against blame for a machine that falls under a task beside which others crashed."""
    site = Site("p", "q")
    for _ in range(SUSPECT_CRASHES):
        site.crash_under("g0", POISON, QUIET)
    if observed:
        site.run_on("g1", POISON)
        for _ in range(3):
            site.at += 0.5
            site.report("g1")
    site.crash_under("g0", QUIET)
    assert site.state(QUIET) is (JobState.FAILED if observed else JobState.RUNNING)


@pytest.mark.parametrize("proven", [False, True])
def test_crashes_that_a_proven_suspect_explains_do_not_suffice(proven: bool) -> None:
    """Guards against a quiet job given up for a crash beside a culprit and two of its machines."""
    site = Site("p", "q", "r")
    site.crash_under("g0", POISON, *([] if proven else [TaskRef("r", 0, 0, 0)]))
    site.crash_under("g0", POISON, QUIET)
    for _ in range(MIN_CRASHES - 1):
        assert site.state(QUIET) is JobState.RUNNING
        site.crash_under("g1", QUIET)
    assert site.state(QUIET) is (JobState.RUNNING if proven else JobState.FAILED)
    if proven:
        site.crash_under("g1", QUIET)
    assert site.state(QUIET) is JobState.FAILED
    assert site.state(POISON) is JobState.RUNNING


def test_a_crash_is_no_proof_of_another_task_of_the_step() -> None:
    """Guards against a neighbour in the step that explains crashes as if it had one of its own."""
    site = Site("p")
    site.sched.submit(job("q", StepSpec(tasks=2, cpu_millicores=1000)), lambda *_: None)
    second = QUIET._replace(number=1)
    site.crash_under("g0", QUIET, second)
    quarantine, jobs = site.sched.quarantine, site.sched.jobs
    assert not quarantine.has_crashed_alone(jobs["q"], QUIET)
    site.crash_under("g0", QUIET)
    assert quarantine.has_crashed_alone(jobs["q"], QUIET)
    assert not quarantine.has_crashed_alone(jobs["q"], second)


def test_a_gang_is_excused_by_the_crashes_of_all_its_members() -> None:
    """Guards against a gang that keeps a crash of which one member's worker was excused."""
    found = Job.accept(job("a1", GANG))
    crash(found, 1, False, (0, 1))
    ref = TaskRef("a1", 0, 0, 0)
    tasks = found.occurrences[0].tasks[0]
    assert found.crashed_workers(ref) == {WorkerLife("w0"), WorkerLife("w1")}
    assert found.excuse_crashes(ref, frozenset({WorkerLife("w0")})) == 0
    assert [task.crashes for task in tasks] == [1, 1]
    assert found.excuse_crashes(ref, found.crashed_workers(ref)) == 1
    assert [task.crashes for task in tasks] == [0, 0]
    assert [task.crash_records for task in tasks] == [[], []]


def test_only_the_tasks_blamed_for_a_worker_are_visited() -> None:
    """Guards against reports that each cost a visit of every task under which a worker crashed."""
    site = Site("p", "q")
    site.crash_under("g0", POISON)
    site.crash_under("g1", QUIET)
    quarantine, blamed = site.sched.quarantine, frozenset({WorkerLife("w-g0-0")})
    assert quarantine.crashed_on(blamed) == [POISON]
    assert quarantine.crashed_on(frozenset({WorkerLife("w-g0-1")})) == []
    site.sched.disprove_crash(WorkerLife("w-g0-0"))
    assert (site.crashes(POISON), site.crashes(QUIET)) == (0, 1)
    assert quarantine.crashed_on(blamed) == []


def test_records_are_bounded_by_the_limit() -> None:
    """Guards against rows that grow with each crash."""
    found = Job.accept(job("a1", SMALL))
    for attempt in range(1, MAX_CRASHES + 1):
        crash(found, attempt, alone=False)
    assert found.failed
    assert found.occurrences[0].tasks[0][0].crash_records == [
        CrashRecord(attempt, WorkerLife("w0")) for attempt in range(1, MAX_CRASHES + 1)
    ]


def test_suspects_do_not_share_the_first_worker_that_returns() -> None:
    """Guards against tasks that have waited for any worker and then crash one together."""
    site = Site("p", "q", agents=1)
    for _ in range(SUSPECT_CRASHES):
        site.crash_under("g0", POISON, QUIET)
    site.sched.record_services({"svc"}, site.at)
    site.sched.fleet.instance("g0").worker = None
    while site.at < 2 * OVERDUE_LASTING_WAIT_S:
        plan(site.sched, site.at, 0)
        site.at += 0.1
    site.report("g0", listed=False)
    plan(site.sched, site.at, 0)
    assert len(site.sched.fleet.runs) == 1


AFTER_END = {
    "lapsed": ("lapsed", RECENT_END_S / 2, False, 1),
    "failed": ("failed", RECENT_END_S / 2, False, 1),
    "stopped": ("stopped", RECENT_END_S / 2, False, 0),
    "long_ago": ("lapsed", RECENT_END_S + 0.5, False, 0),
    "left_in_good_order": ("lapsed", RECENT_END_S / 2, True, 0),
}


@pytest.mark.parametrize(("kind", "later_s", "left", "counted"), AFTER_END.values(), ids=AFTER_END)
def test_a_run_that_ended_just_before_the_crash_may_have_caused_it(
    kind: str, later_s: float, left: bool, counted: int
) -> None:
    """Guards against a poison task whose runs end a moment before their workers crash."""
    sched, agent, run = started()
    agent.report(2.0, ends=[RunEnded(1, run.ref.text(), run.attempt, kind, "")])
    store(sched)
    lives = (WorkerLife("w1"),)
    agent.report(2.0 + later_s, worker="", ended_workers=lives, left_workers=lives if left else ())
    assert crashes(sched) == counted
    agent.report(2.1 + later_s, worker="", ended_workers=lives)
    assert crashes(sched) == counted


def test_remembered_ends_are_bounded_in_time() -> None:
    """Guards against a leader whose memory grows with each failed run."""
    sched, _, run = started()
    instance = sched.fleet.instance("g1")
    for number in range(1000):
        instance.record_unsuccessful_end(run, number * 0.1)
    assert len(instance.recent_ends) <= RECENT_END_S / 0.1 + 1


def test_a_task_near_the_limit_joins_no_other_suspect() -> None:
    """Guards against a quiet task that is given up because it had to run beside the culprit."""
    site = Site("p", "q", agents=1)
    for _ in range(MIN_CRASHES):
        site.crash_under("g0", POISON, QUIET)
    while site.at < 2 * OVERDUE_LASTING_WAIT_S:
        plan(site.sched, site.at, 0)
        store(site.sched)
        site.at += 0.1
        site.report("g0", listed=False)
        assert len(site.sched.fleet.runs) <= 1


@pytest.mark.parametrize("names", ["pqr", "prq"])
def test_a_task_near_the_limit_by_excused_crashes_runs_apart(names: str) -> None:
    """Guards against a quiet task given up beside a culprit because of crashes that are excused."""
    site = Site(*names, agents=1)
    second = TaskRef("r", 0, 0, 0)
    for _ in range(SUSPECT_CRASHES):
        site.crash_under("g0", POISON, QUIET)
    for _ in range(MAX_CRASHES - MIN_CRASHES):
        site.crash_under("g0", POISON)
    assert site.state(POISON) is JobState.FAILED
    for _ in range(SUSPECT_CRASHES):
        site.crash_under("g0", second, QUIET)
    task = site.sched.task(QUIET)
    assert task is not None
    assert (task.crashes, task.excused) == (SUSPECT_CRASHES, SUSPECT_CRASHES)
    while site.at < 2 * OVERDUE_LASTING_WAIT_S:
        plan(site.sched, site.at, 0)
        store(site.sched)
        site.at += 0.1
        site.report("g0", listed=False)
        assert len(site.sched.fleet.runs) <= 1


@pytest.mark.parametrize("epoch", [1, 0])
def test_a_worker_that_is_reported_again_has_not_crashed(epoch: int) -> None:
    """Guards against blame for the crash of a worker that was only out of touch.

    A report to an earlier leader may have been sent before the crash.
    """
    sched, agent, run = started()
    sched.end_runs_of_lost_agents(1.0 + 2 * sched.bounds.loss_s)
    assert crashes(sched) == 1
    again = AgentReport(agent.name, "b", 90, epoch, 1, worker_info(run.worker), True, [], [])
    apply_report(sched, again, 1, 30.0)
    assert crashes(sched) == (0 if epoch == 1 else 1)
    task = sched.jobs["a1"].task(run.ref)
    assert task is not None
    assert task.excused == 0
