"""Tests of the scheduler's state machine: claims, ends, cancellations and lost agents."""

from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport, ReplyKind, RunEnded, RunPhase, RunStatus
from sapphirelead.ports import Row
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run, RunKey
from sapphirelead.sched_job import EndKind, Job, JobState
from sapphirelead.sched_journal import JOURNAL_PREFIX, SNAPSHOT_PREFIX, SPEC_PREFIX, Journal
from sapphirelead.sched_planner import plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import AdvicePolicy, JobSpec, QueuePolicy, StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import HEAD_LEASE_S, Bounds
from tests.sched.fakes import POLICY, Agents, job, scheduler, store, worker_info
from tests.unit.fakes import MemoryTable


class Answers:
    """Collects the replies to callers."""

    def __init__(self) -> None:
        self.received: list[tuple[ReplyKind, str]] = []

    def __call__(self, kind: ReplyKind, text: str) -> None:
        self.received.append((kind, text))


def submit(sched: Scheduler, spec: JobSpec) -> Answers:
    """Submit a job; return the replies to its caller."""
    answers = Answers()
    sched.submit(spec, answers)
    return answers


def scheduler_with_claim() -> tuple[Scheduler, Agents]:
    """Return a scheduler with an unstored claim of the only task of a job."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    submit(sched, job())
    plan(sched, 1.0, 0)
    return sched, agents


def store_and_reload(sched: Scheduler, table: MemoryTable) -> dict[str, Job]:
    """Store pending changes, and load all jobs as a successor does."""
    for write in Journal().writes(sched.take_batch(0), sched.jobs):
        table.data[write.key] = Row(write.key, 1, write.value)
    return load_jobs(table)[1]


def load_jobs(table: MemoryTable) -> tuple[Journal, dict[str, Job]]:
    """Load all jobs from the store."""
    found = [
        [table.data[key] for key in sorted(table.data) if key.startswith(prefix)]
        for prefix in (SPEC_PREFIX, SNAPSHOT_PREFIX, JOURNAL_PREFIX)
    ]
    return Journal.load(*found)


def runs(sched: Scheduler) -> list[tuple[str, int]]:
    """Return the names of all runs."""
    return sorted((run.ref.text(), run.attempt) for run in sched.fleet.runs.values())


def only_run(sched: Scheduler) -> Run:
    """Return the only run."""
    (run,) = sched.fleet.runs.values()
    return run


def ended(run: Run, kind: str, number: int = 1, saved: str = "") -> RunEnded:
    """Return a report that ``run`` has ended."""
    return RunEnded(number, run.ref.text(), run.attempt, kind, saved)


def end_all_runs(sched: Scheduler, agents: Agents, at: float) -> None:
    """Report every run as done."""
    by_agent: dict[str, list[Run]] = {}
    for run in sched.fleet.runs.values():
        by_agent.setdefault(run.agent, []).append(run)
    for agent, found in by_agent.items():
        ends = [ended(run, "done", number) for number, run in enumerate(found, 1)]
        agents.report(agent, ends=ends, at=at)


def test_start_is_sent_only_after_its_claim_is_stored() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    answers = submit(sched, job())
    plan(sched, 1.0, 0)
    assert runs(sched) == [("a1.0.0.0", 1)]
    assert sched.orders_for("g1", 1.0)[0] == []
    assert answers.received == []
    store(sched)
    assert [order.task for order in sched.orders_for("g1", 1.0)[0]] == ["a1.0.0.0"]
    assert answers.received == [(ReplyKind.OK, "queued")]


def test_step_waits_for_all_tasks_it_depends_on() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    step = StepSpec(tasks=2, cpu_millicores=500, estimate_ms=1000)
    submit(sched, job("a1", step, StepSpec(after=(0,), cpu_millicores=500)))
    plan(sched, 1.0, 0)
    store(sched)
    assert runs(sched) == [("a1.0.0.0", 1), ("a1.0.0.1", 1)]
    first = sched.fleet.runs[(TaskRef("a1", 0, 0, 0), 1)]
    agents.report(ends=[ended(first, "done")], runs=[("a1.0.0.1", 1)], at=2.0)
    plan(sched, 2.0, 0)
    assert runs(sched) == [("a1.0.0.1", 1)]
    end_all_runs(sched, agents, 3.0)
    plan(sched, 3.0, 0)
    assert runs(sched) == [("a1.0.1.0", 1)]


def test_job_is_completed_only_once_its_last_end_is_stored() -> None:
    sched, agents = scheduler_with_claim()
    store(sched)
    assert sched.state("a1") is JobState.RUNNING
    end_all_runs(sched, agents, 2.0)
    assert sched.state("a1") is JobState.RUNNING
    assert sched.orders_for("g1", 2.0)[2] == []
    store(sched)
    assert sched.state("a1") is JobState.COMPLETED
    assert sched.orders_for("g1", 2.0)[2] == [("a1.0.0.0", 1)]


def test_resources_are_freed_only_once_the_end_is_known() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    submit(sched, job("a1", StepSpec(tasks=9, cpu_millicores=1000)))
    plan(sched, 1.0, 0)
    store(sched)
    assert len(runs(sched)) == 8
    run = next(iter(sched.fleet.runs.values()))
    sched.stop(run, "test")
    plan(sched, 1.1, 0)
    assert len(runs(sched)) == 8
    agents.report(ends=[ended(run, "stopped")], at=1.2)
    plan(sched, 1.2, 0)
    assert len(runs(sched)) == 8
    assert run.key not in sched.fleet.runs


def test_job_fails_after_max_failures_of_a_task() -> None:
    sched = scheduler()
    agents = Agents(sched)
    policy = QueuePolicy("svc", max_failures=2)
    for agent in ("g1", "g2"):
        agents.report(agent, at=1.0)
    submit(sched, job("a1", StepSpec(cpu_millicores=100), policy=policy))
    for attempt in (1, 2):
        plan(sched, 1.0, 0)
        store(sched)
        run = only_run(sched)
        assert run.attempt == attempt
        agents.report(run.agent, ends=[ended(run, "failed", attempt)], at=1.0 + attempt / 10)
    store(sched)
    assert sched.state("a1") is JobState.FAILED
    plan(sched, 2.0, 0)
    assert runs(sched) == []


def test_runs_with_expired_leases_do_not_count_as_failures() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    submit(sched, job("a1", policy=QueuePolicy("svc", max_failures=1)))
    for attempt in range(1, 6):
        plan(sched, float(attempt), 0)
        store(sched)
        agents.report(ends=[ended(only_run(sched), "lapsed", attempt)], at=float(attempt))
    assert sched.jobs["a1"].open


def test_cancelled_job_stops_its_runs_and_starts_no_others() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    submit(sched, job("a1", StepSpec(tasks=3, cpu_millicores=1000)))
    plan(sched, 1.0, 0)
    store(sched)
    sched.orders_for("g1", 1.0)
    received = Answers()
    sched.cancel("a1", received)
    assert received.received == []
    store(sched)
    assert received.received == [(ReplyKind.OK, "cancelled")]
    assert len(sched.orders_for("g1", 1.0)[1]) == 3
    end_all_runs(sched, agents, 2.0)
    plan(sched, 2.0, 0)
    assert runs(sched) == []


def test_claim_stored_with_its_cancellation_is_never_sent() -> None:
    """Guards against a start that is sent after the cancellation was acknowledged."""
    sched = scheduler()
    Agents(sched).report(at=1.0)
    submit(sched, job())
    plan(sched, 1.0, 0)
    sched.cancel("a1", Answers())
    store(sched)
    assert sched.orders_for("g1", 1.0)[0] == []
    assert runs(sched) == []


def test_withdrawn_submission_never_runs() -> None:
    """Guards against runs of a job whose caller was told that it was not run."""
    sched = scheduler()
    Agents(sched).report(at=1.0)
    answers = submit(sched, job())
    plan(sched, 1.0, 0)
    assert sched.withdraw("a1")
    assert answers.received[0][0] is ReplyKind.NOT_RUN
    assert store(sched) == []
    assert runs(sched) == []
    assert sched.state("a1") is None


class CountingObserver:
    """Counts the runs that it has been told of and whose end it has not."""

    def __init__(self) -> None:
        self.open: set[RunKey] = set()

    def claimed(self, run: Run, queue: str, at: float) -> None:
        self.open.add(run.key)

    def ended(self, run: Run, queue: str, kind: EndKind, at: float) -> None:
        self.open.remove(run.key)


def test_observers_learn_of_the_end_of_withdrawn_runs() -> None:
    """Guards against usage that counts the runs of a withdrawn submission for ever."""
    sched = scheduler()
    observer = CountingObserver()
    sched.observers.append(observer)
    Agents(sched).report(at=1.0)
    submit(sched, job())
    plan(sched, 1.0, 0)
    assert observer.open
    assert sched.withdraw("a1")
    assert not observer.open


def test_repeat_of_withdrawn_submission_is_accepted_only_once_stored() -> None:
    """Guards against accepting a repeat by the effect of the withdrawn submission.

    The job would be lost if the leader changed before the repeat was stored.
    """
    sched = scheduler()
    submit(sched, job())
    assert sched.withdraw("a1")
    batch = sched.take_batch(0)
    repeat = submit(sched, job())
    for effect in batch.effects:
        effect()
    assert (repeat.received, sched.state("a1")) == ([], None)
    assert store(sched) == ["a1"]
    assert repeat.received == [(ReplyKind.OK, JobState.QUEUED)]


def test_submission_cannot_be_withdrawn_after_its_write_is_sent() -> None:
    sched = scheduler()
    submit(sched, job())
    batch = sched.take_batch(0)
    assert not sched.withdraw("a1")
    for effect in batch.effects:
        effect()
    assert sched.state("a1") is JobState.QUEUED


def test_repeated_submission_is_deduplicated() -> None:
    sched = scheduler()
    first = submit(sched, job())
    second = submit(sched, job())
    store(sched)
    third = submit(sched, job())
    assert [len(answers.received) for answers in (first, second, third)] == [1, 1, 1]
    assert len(sched.jobs) == 1


def test_successor_resends_start_of_stored_claim() -> None:
    """The leader ends after it has stored a claim, and it is unknown whether the start arrived.

    Guards against a successor that starts the task on another worker or never.
    """
    sched, _ = scheduler_with_claim()
    loaded = store_and_reload(sched, MemoryTable())

    after = Scheduler(Bounds(), 5.0)
    after.load(loaded["a1"])
    agents = Agents(after, epoch=2)
    agents.report("g2", at=5.1)
    plan(after, 5.1, 0)
    assert runs(after) == [("a1.0.0.0", 1)]
    agents.report("g1", at=5.2)
    starts, _, _ = after.orders_for("g1", 5.2)
    assert [(order.task, order.attempt) for order in starts] == [("a1.0.0.0", 1)]


def test_successor_waits_for_leases_of_unreported_agents() -> None:
    sched, _ = scheduler_with_claim()
    loaded = store_and_reload(sched, MemoryTable())

    after = Scheduler(Bounds(), 5.0)
    after.load(loaded["a1"])
    agents = Agents(after, epoch=2)
    over_at = 5.0 + HEAD_LEASE_S + Bounds().loss_s
    agents.report("g2", at=over_at - 0.1)
    after.end_runs_of_lost_agents(over_at - 0.1)
    plan(after, over_at - 0.1, 0)
    assert runs(after) == [("a1.0.0.0", 1)]
    after.end_runs_of_lost_agents(over_at + 0.1)
    plan(after, over_at + 0.1, 0)
    assert runs(after) == [("a1.0.0.0", 2)]
    assert only_run(after).agent == "g2"


def test_worker_restart_ends_its_claims() -> None:
    sched, agents = scheduler_with_claim()
    store(sched)
    agents.report(worker=worker_info("w-new"), at=1.5)
    plan(sched, 1.5, 0)
    assert runs(sched) == [("a1.0.0.0", 2)]
    assert only_run(sched).worker == "w-new"


def test_repeated_end_is_acknowledged_only_once_stored() -> None:
    """Guards against acknowledging an end before it is stored, so that the worker discards it."""
    sched, agents = scheduler_with_claim()
    store(sched)
    end = ended(only_run(sched), "done")
    agents.report(ends=[end], at=2.0)
    agents.report(ends=[end], at=2.1)

    assert sched.orders_for("g1", 2.1)[2] == []
    store(sched)
    assert sched.orders_for("g1", 2.2)[2] == [("a1.0.0.0", 1)]


def test_reports_of_previous_agent_process_are_ignored() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(boot="old", at=1.0)
    agents.report(boot="new", at=2.0)
    before = sched.fleet.instance("g1").report_number
    agents.report(boot="old", at=3.0)
    assert sched.fleet.instance("g1").report_number == before


def test_run_without_claim_is_stopped() -> None:
    sched = scheduler()
    Agents(sched).report(runs=[("zz.0.0.0", 4)], at=1.0)
    assert [stop.task for stop in sched.orders_for("g1", 1.0)[1]] == ["zz.0.0.0"]


def test_order_unknown_to_restarted_agent_is_resent() -> None:
    """Guards against a restarted agent that does not know the properties of a running task."""
    sched, _ = scheduler_with_claim()
    store(sched)
    sched.orders_for("g1", 1.1)
    run = only_run(sched)
    status = RunStatus(run.ref.text(), run.attempt, RunPhase.RUNNING, 10, order_known=False)
    info = worker_info("w-g1")
    for report_number, at in ((1, 5.0), (2, 5.1)):
        apply_report(
            sched, AgentReport("g1", "b2", report_number, 1, 1, info, True, [status], []), 1, at
        )
    starts, stops, _ = sched.orders_for("g1", 5.2)
    assert [(order.task, order.attempt) for order in starts] == [(run.ref.text(), run.attempt)]
    assert not stops


def test_worker_that_refuses_every_start_is_paused() -> None:
    """Guards against claiming a task for an unhealthy worker again in every planning pass."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    submit(sched, job())
    claims = 0
    for step in range(100):
        at = 1.0 + step * 0.05
        plan(sched, at, 0)
        store(sched)
        for run in list(sched.fleet.runs.values()):
            claims += 1
            end = RunEnded(0, run.ref.text(), run.attempt, "not_started", "", "unhealthy")
            agents.report(ends=[end], at=at)
        agents.report(at=at)
    assert claims <= 6


def test_lasting_tasks_are_restarted_after_any_end() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    submit(sched, job("a1", StepSpec(lasting=True, cpu_millicores=100)))
    plan(sched, 1.0, 0)
    for attempt, kind in enumerate(("done", "failed", "failed", "failed", "failed", "lapsed"), 1):
        at = attempt * 20.0
        agents.report(at=at)
        plan(sched, at, 0)
        store(sched)
        run = only_run(sched)
        assert run.attempt == attempt
        agents.report(ends=[ended(run, kind, attempt)], at=at + 1)
    assert sched.state("a1") is JobState.RUNNING


def test_gang_starts_and_restarts_as_a_unit() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    submit(sched, job("a1", StepSpec(tasks=4, gang=True, cpu_millicores=3000)))
    plan(sched, 1.0, 0)
    assert runs(sched) == []
    agents.report("g2", at=1.1)
    plan(sched, 1.1, 0)
    store(sched)
    found = list(sched.fleet.runs.values())
    assert {run.attempt for run in found} == {1}
    assert len(found) == 4
    for number, run in enumerate(found[:3], 1):
        agents.report(run.agent, ends=[ended(run, "broken", number)], at=2.0)
        plan(sched, 2.0, 0)
        assert len(sched.fleet.runs) == 4 - number
    agents.report(found[3].agent, ends=[ended(found[3], "lapsed", 9)], at=2.1)
    plan(sched, 2.1, 0)
    assert {run.attempt for run in sched.fleet.runs.values()} == {2}


def test_gang_is_done_once_one_member_is_done() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    submit(sched, job("a1", StepSpec(tasks=2, gang=True, cpu_millicores=1000)))
    plan(sched, 1.0, 0)
    store(sched)
    first, second = sched.fleet.runs.values()
    agents.report(ends=[ended(first, "done"), ended(second, "done", 2)], at=2.0)
    store(sched)
    assert sched.state("a1") is JobState.COMPLETED
    assert sched.jobs["a1"].occurrences == {}


def test_occurrences_start_when_due_and_never_before() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    step = StepSpec(cpu_millicores=100)
    spec = JobSpec("a1", "q", "", (step,), POLICY, 0, 10_000, 1_000, 3)
    submit(sched, spec)
    plan(sched, 1.0, 9_999)
    assert runs(sched) == []
    plan(sched, 1.0, 11_000)
    store(sched)
    assert runs(sched) == [("a1.0.0.0", 1), ("a1.1.0.0", 1)]
    end_all_runs(sched, agents, 1.1)
    store(sched)
    assert sched.state("a1") is JobState.RUNNING
    plan(sched, 1.2, 12_000)
    store(sched)
    end_all_runs(sched, agents, 1.3)
    store(sched)
    assert sched.state("a1") is JobState.COMPLETED
    assert sched.waiting("q") == 0


def test_start_that_needs_a_ticket_waits_for_advice() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report("g1", at=1.0)
    agents.report("g2", at=1.0)
    policy = QueuePolicy("svc", advice=AdvicePolicy(20, 1, 3000))
    submit(sched, job("a1", StepSpec(cpu_millicores=100), policy=policy))
    (ask,) = plan(sched, 1.0, 0)
    assert sorted(ask.workers) == ["w-g1", "w-g2"]
    assert plan(sched, 1.1, 0) == []
    assert runs(sched) == []
    sched.advice.add_tickets(ask.key, {WorkerLife("w-g2"): "t2"}, 4.0)
    plan(sched, 1.2, 0)
    store(sched)
    (start,) = sched.orders_for("g2", 1.2)[0]
    assert start.ticket == "t2"


def test_progress_survives_serialization() -> None:
    sched = scheduler()
    agents = Agents(sched)
    agents.report(at=1.0)
    step = StepSpec(tasks=3, cpu_millicores=1000, saves=True)
    spec = job("a1", step, StepSpec(after=(0,)))
    submit(sched, spec)
    plan(sched, 1.0, 0)
    store(sched)
    first, second, _ = sched.fleet.runs.values()
    ends = [ended(first, "done"), ended(second, "stopped", 2, saved="half")]
    agents.report(ends=ends, runs=[("a1.0.0.2", 1)], at=2.0)
    before = sched.jobs["a1"]
    after = Job.decode(spec, before.encode())
    assert after == before
    assert after.task(second.ref) == before.task(second.ref)
