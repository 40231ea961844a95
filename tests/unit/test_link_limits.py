"""Limits of the links between processes that no message of a fleet meets."""

from sapphirelead.node_codec import decode_node
from sapphirelead.node_links import MAX_MESSAGE_BYTES
from sapphirelead.node_messages import (
    AgentReport,
    Call,
    CallKind,
    EntryAddress,
    FollowerHeartbeat,
    LeaderQuery,
    RunEnded,
    RunPhase,
    RunStatus,
)
from sapphirelead.sched_spec import MAX_SPEC_BYTES, MAX_TASKS
from tests.crowd.link_peers import encode
from tests.sched.fakes import worker_info

MAX_IDENTITY_BYTES = 255
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


def test_names_as_long_as_an_identity_are_accepted() -> None:
    """Guards against a limit that an agent or entry of a long name meets."""
    name = "n" * MAX_IDENTITY_BYTES
    query, beat = LeaderQuery(name), FollowerHeartbeat(EntryAddress(name, name, 1), 1, True, 1)
    report = AgentReport(name, name, 1, 1, 1, None, True, [], [])
    for message in (query, beat, report):
        assert decode_node(encode(message), "a1") == message


def test_longer_names_are_refused() -> None:
    """Guards against names of any length, which a hub remembers."""
    name = "n" * (MAX_IDENTITY_BYTES + 1)
    report = AgentReport(name, "", 1, 1, 1, None, True, [], [])
    beat = FollowerHeartbeat(EntryAddress("e1", name, 1), 1, True, 1)
    for message in (LeaderQuery(name), report, beat):
        assert decode_node(encode(message), "a1") is None
