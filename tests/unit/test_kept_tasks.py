"""The bound on the tasks of all jobs of a leader."""

import msgspec

from sapphirelead.sched_job import Job
from sapphirelead.sched_kept_tasks import MAX_KEPT_TASKS, REVIEW_INTERVAL_S, KeptTasks
from sapphirelead.sched_spec import MAX_TASKS, JobSpec, QueuePolicy, StepSpec

POLICY = QueuePolicy("s")
ENDLESS = 10**9


def job(number: int, tasks: int, occurrences: int = 0) -> JobSpec:
    """Return a job with one step."""
    steps = (StepSpec(tasks=tasks),)
    return JobSpec(f"{number:x}", "q", "", steps, POLICY, occurrences=occurrences)


def test_wide_jobs_are_refused_before_they_fill_the_memory() -> None:
    """Guards against jobs of a few bytes each, whose tasks take the memory of the leader."""
    kept = KeptTasks({})
    admitted = [kept.admit(job(number, MAX_TASKS), 0.0) for number in range(100)]
    assert MAX_TASKS * sum(admitted) <= MAX_KEPT_TASKS


def test_schedules_count_with_what_may_be_due_at_once() -> None:
    """Guards against schedules of few tasks, all of whose occurrences are due."""
    kept = KeptTasks({})
    admitted = [kept.admit(job(number, 1, ENDLESS), 0.0) for number in range(100)]
    assert MAX_TASKS * sum(admitted) <= MAX_KEPT_TASKS


def test_ordinary_jobs_are_admitted_beside_wide_ones() -> None:
    """Guards against wide jobs that keep all others out."""
    kept = KeptTasks({})
    while kept.admit(job(0, MAX_TASKS), 0.0):
        pass
    assert all(kept.admit(job(number, 30), 0.0) for number in range(1_000))


def test_a_hundred_thousand_tasks_of_ordinary_jobs_are_admitted() -> None:
    """Guards against a bound that a large fleet meets."""
    kept = KeptTasks({})
    assert all(kept.admit(job(number, 50), 0.0) for number in range(2_000))


def test_tasks_of_ended_jobs_are_not_counted_for_ever() -> None:
    """Guards against a leader that refuses jobs after it has served many."""
    jobs: dict[str, Job] = {}
    kept = KeptTasks(jobs)
    while kept.admit(job(0, MAX_TASKS), 0.0):
        pass
    assert kept.admit(job(1, MAX_TASKS), REVIEW_INTERVAL_S)
    for number in range(MAX_KEPT_TASKS // MAX_TASKS):
        jobs[f"{number:x}"] = Job.accept(job(number, MAX_TASKS))
    assert not kept.admit(job(2, 1), 2 * REVIEW_INTERVAL_S)


def test_schedules_that_are_due_far_apart_count_with_few_tasks() -> None:
    """Guards against 503 for schedules of small jobs that are handed in at the same time."""
    kept = KeptTasks({})
    spec = msgspec.structs.replace(job(0, 1, MAX_TASKS), interval_ms=60_000)
    assert all(kept.admit(spec, 0.0) for _ in range(100))


def test_submissions_that_are_repeated_count_once() -> None:
    """Guards against repeated submissions of one job that keep other jobs out."""
    kept = KeptTasks({})
    for _ in range(100):
        kept.admit(job(0, MAX_TASKS), 0.0)
    assert kept.admit(job(1, MAX_TASKS), 0.0)
