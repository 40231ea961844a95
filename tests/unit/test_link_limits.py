"""Limits of the links between processes that no message of a fleet meets."""

from sapphirelead.node_links import MAX_MESSAGE_BYTES
from sapphirelead.node_messages import AgentReport, Call, CallKind, RunEnded, RunPhase, RunStatus
from sapphirelead.sched_spec import MAX_SPEC_BYTES, MAX_TASKS
from tests.crowd.link_peers import encode
from tests.sched.fakes import worker_info

JOB = "5c0e7a21d94b36f8"
SAVED = "00000bb87a21d94b"


def test_a_report_of_all_tasks_of_the_widest_job_is_accepted() -> None:
    """Guards against a limit that disconnects the agent of a full worker."""
    tasks = [f"{JOB}.0.{number}.{number}" for number in range(MAX_TASKS)]
    runs = [RunStatus(task, 3, RunPhase.RUNNING, 50, 900, 40, SAVED, False) for task in tasks]
    ends = [RunEnded(10**6, task, 3, "failed", SAVED, "x" * 40) for task in tasks]
    report = AgentReport("a" * 40, "b" * 16, 10**6, 9, 9, worker_info("i-1"), True, runs, ends)
    assert len(encode(report)) < MAX_MESSAGE_BYTES


def test_a_submission_of_the_largest_job_is_accepted() -> None:
    """Guards against a limit that disconnects an entry that forwards a job."""
    call = Call(1 << 62, CallKind.SUBMIT, "q", JOB, 9, bytes(MAX_SPEC_BYTES), 9, "t" * 1_000)
    assert 8 * len(encode(call)) < MAX_MESSAGE_BYTES
