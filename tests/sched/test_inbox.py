"""Tests of the order, merging and bounds of messages in an entry's inbox."""

import pytest

from sapphirelead import node_call_queue
from sapphirelead.node_call_queue import MAX_QUEUED_CALL_BYTES, MAX_QUEUED_CALLS
from sapphirelead.node_cancels import PENDING_CANCEL_TIMEOUT_S
from sapphirelead.node_dropped import MAX_DROPPED_JOBS, DroppedSubmits
from sapphirelead.node_inbox import CLASS_WEIGHTS, MAX_REPORTS_PER_AGENT, Inbox, Urgency
from sapphirelead.node_messages import (
    AgentReport,
    AnyNodeMessage,
    Call,
    CallKind,
    EntryAddress,
    FollowerHeartbeat,
    Handover,
    LeaderAnnouncement,
    LeaderQuery,
)
from tests.sched.fakes import worker_info

QUERY_TIMEOUT_S = 0.9
ADDRESS = EntryAddress("e1", "h", 1)


def call(number: int, kind: CallKind = CallKind.STATE, job: str = "", body: bytes = b"") -> Call:
    return Call(number, kind, "q", job or f"j{number}", 1, body)


def report(agent: str, report_number: int, worker: str = "w") -> AgentReport:
    return AgentReport(agent, "b", report_number, 1, 1, worker_info(worker), False, [], [])


def drained(inbox: Inbox, at: float = 0.0) -> list[AnyNodeMessage]:
    """Take all queued messages."""
    found = []
    while (item := inbox.take(at)) is not None:
        found.append(item.message)
    return found


def numbers(inbox: Inbox, at: float = 0.0) -> list[int]:
    """Take all queued messages and return the numbers of the calls."""
    return [message.number for message in drained(inbox, at) if isinstance(message, Call)]


def test_messages_are_taken_by_priority() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    cancel, submit, agent_report = (
        call(2, CallKind.CANCEL),
        call(3, CallKind.SUBMIT),
        report("g1", 1),
    )
    for message in (call(1), submit, agent_report, cancel):
        inbox.put(b"e1", message, 0.0)
    others: list[AnyNodeMessage] = [
        FollowerHeartbeat(ADDRESS, 1, True, 1),
        LeaderQuery("g1"),
        LeaderAnnouncement(1, "e2"),
        Handover(1, "e2"),
    ]
    for other in others:
        inbox.put(b"e1", other, 0.0)
    assert drained(inbox) == [*others, cancel, agent_report, submit, call(1)]


def test_newest_heartbeat_of_a_sender_replaces_older_ones() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    for epoch in range(1, 50):
        for sender in (b"e1", b"e2"):
            inbox.put(sender, FollowerHeartbeat(ADDRESS, epoch, True, 1), float(epoch))
    assert len(inbox) == 2
    assert inbox.merged == {"EntryBeat": 96}
    item = inbox.take(50.0)
    assert item is not None and item.arrived_at == 1.0
    assert item.message == FollowerHeartbeat(ADDRESS, 49, True, 1)


def test_reports_of_an_agent_are_merged_and_agents_taken_by_age() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    for report_number in range(1, 20):
        for agent in ("g2", "g1"):
            inbox.put(agent.encode(), report(agent, report_number), float(report_number))
    assert drained(inbox) == [report("g2", 19), report("g1", 19)]


def test_reports_that_cannot_be_merged_are_bounded_and_in_order() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    for report_number in range(1, MAX_REPORTS_PER_AGENT + 3):
        inbox.put(b"g1", report("g1", report_number, f"w{report_number}"), 0.0)
    inbox.put(b"g2", report("g2", 1), 0.0)
    found = drained(inbox)
    own = [
        message.report_number
        for message in found
        if isinstance(message, AgentReport) and message.agent == "g1"
    ]
    assert own == list(range(3, MAX_REPORTS_PER_AGENT + 3))
    assert inbox.dropped == {"AgentReport": 2}
    assert found[1] == report("g2", 1)


@pytest.mark.parametrize("flooded", list(Urgency))
def test_flood_of_one_class_does_not_starve_the_others(flooded: Urgency) -> None:
    """Guards against starvation when messages of one class arrive faster than they are taken."""
    inbox = Inbox(QUERY_TIMEOUT_S)
    messages: dict[Urgency, AnyNodeMessage] = {
        Urgency.LEAD: LeaderQuery("g"),
        Urgency.CANCEL: call(1, CallKind.CANCEL),
        Urgency.REPORT: report("g", 1),
        Urgency.CALL: call(2),
    }
    others = {urgency: message for urgency, message in messages.items() if urgency is not flooded}
    for number in range(100):
        inbox.put(f"{number}".encode(), messages[flooded], 0.0)
    for message in others.values():
        inbox.put(b"other", message, 0.0)
    first = [item.message for _ in range(sum(CLASS_WEIGHTS.values())) if (item := inbox.take(0.0))]
    assert all(message in first for message in others.values())


def test_senders_are_served_round_robin() -> None:
    """Guards against one entry's many calls delaying those of the others."""
    inbox = Inbox(QUERY_TIMEOUT_S)
    for number in range(50):
        inbox.put(b"e1", call(number, CallKind.SUBMIT), 0.0)
    for number in (100, 101):
        inbox.put(b"e2", call(number, CallKind.SUBMIT), 0.0)
    assert numbers(inbox)[:5] == [0, 100, 1, 101, 2]


def test_submissions_and_queries_of_a_sender_alternate_newest_query_first() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    for number in (1, 2):
        inbox.put(b"e1", call(number, CallKind.SUBMIT), 0.0)
        inbox.put(b"e1", call(10 + number), 0.0)
        inbox.put(b"e1", call(20 + number, CallKind.WAITING), 0.0)
    assert numbers(inbox) == [1, 22, 2, 12, 21, 11]


@pytest.mark.parametrize("kind", list(CallKind))
def test_retries_of_a_call_are_merged(kind: CallKind) -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    again = Call(7, kind, "q", "j7", 2, b"body", epoch=3)
    inbox.put(b"e1", call(7, kind), 0.0)
    inbox.put(b"e1", call(8, kind), 0.1)
    inbox.put(b"e1", again, 0.4)
    inbox.put(b"e2", call(7, kind), 0.4)
    assert len(inbox) == 3 and inbox.merged == {kind.value: 1}
    assert again in drained(inbox, 0.4)


def test_timed_out_query_is_dropped() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    inbox.put(b"e1", call(1), 0.0)
    inbox.put(b"e1", call(2, CallKind.WAITING), 0.5)
    inbox.put(b"e1", call(1), 0.4)
    inbox.put(b"e1", call(3, CallKind.SUBMIT), 0.0)
    inbox.put(b"e1", call(4, CallKind.CANCEL), 0.0)
    assert sorted(numbers(inbox, QUERY_TIMEOUT_S + 0.01)) == [2, 3, 4]
    assert inbox.dropped == {"state": 1}


@pytest.mark.parametrize("canceller", [b"e1", b"e2"])
def test_a_cancel_does_not_overtake_the_submission_of_its_job(canceller: bytes) -> None:
    """Guards against reporting a cancelled job as absent and then running it."""
    inbox = Inbox(QUERY_TIMEOUT_S)
    for number in range(10):
        inbox.put(b"e1", call(number, CallKind.SUBMIT), 0.0)
    inbox.put(canceller, call(20, CallKind.CANCEL, "j9"), 0.1)
    assert numbers(inbox)[:3] == [9, 20, 0]


def test_retried_cancel_does_not_overtake_a_submission_in_between() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    inbox.put(b"e1", call(20, CallKind.CANCEL, "j9"), 0.0)
    inbox.put(b"e2", call(9, CallKind.SUBMIT), 0.1)
    inbox.put(b"e1", call(20, CallKind.CANCEL, "j9"), 0.2)
    assert numbers(inbox) == [9, 20]
    assert len(inbox) == 0


def test_retried_submission_stays_before_its_cancel() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    inbox.put(b"e1", call(9, CallKind.SUBMIT), 0.0)
    inbox.put(b"e1", call(20, CallKind.CANCEL, "j9"), 0.1)
    inbox.put(b"e1", call(9, CallKind.SUBMIT), 0.2)
    assert numbers(inbox) == [9, 20]


def test_query_does_not_overtake_the_submission_of_its_job() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    for number in (1, 2, 3):
        inbox.put(b"e1", call(number, CallKind.SUBMIT), 0.0)
    inbox.put(b"e2", call(9, CallKind.STATE, "j3"), 0.1)
    found = numbers(inbox)
    assert found.index(3) < found.index(9)


def test_overflow_drops_calls_of_the_sender_with_the_most() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    inbox.put(b"e2", call(1, CallKind.SUBMIT), 0.0)
    inbox.put(b"e2", call(2, CallKind.CANCEL), 0.0)
    for number in range(MAX_QUEUED_CALLS + 50):
        inbox.put(b"e1", call(number, CallKind.SUBMIT), 0.0)
    assert len(inbox) == MAX_QUEUED_CALLS
    found = numbers(inbox)
    assert found[0] == 2 and 1 in found[1:4]
    assert max(found) == MAX_QUEUED_CALLS - 3
    assert inbox.dropped == {"submit": 52}


def test_queries_are_dropped_before_submissions() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    for number in range(MAX_QUEUED_CALLS):
        inbox.put(b"e1", call(number), 0.0)
    inbox.put(b"e1", call(MAX_QUEUED_CALLS, CallKind.SUBMIT), 0.0)
    assert inbox.dropped == {"state": 1}
    assert set(numbers(inbox)) == set(range(1, MAX_QUEUED_CALLS + 1))


def test_timed_out_queries_do_not_displace_other_calls() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    for number in range(MAX_QUEUED_CALLS):
        inbox.put(b"e1", call(number), 0.0)
    inbox.put(b"e2", call(1), QUERY_TIMEOUT_S + 0.1)
    assert len(inbox) == 1


def test_queued_cancels_are_bounded() -> None:
    inbox = Inbox(QUERY_TIMEOUT_S)
    for number in range(MAX_QUEUED_CALLS + 3):
        inbox.put(b"e1", call(number, CallKind.CANCEL), 0.0)
    assert len(inbox) == MAX_QUEUED_CALLS and inbox.dropped == {"cancel": 3}


def test_queued_jobs_are_bounded_in_size(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_call_queue, "MAX_QUEUED_CALL_BYTES", 1_000)
    assert MAX_QUEUED_CALL_BYTES > 1_000
    inbox = Inbox(QUERY_TIMEOUT_S)
    for _ in range(3):
        for number in range(20):
            inbox.put(b"e1", call(number, CallKind.SUBMIT, body=b"x" * 100), 0.0)
        assert len(inbox) == 10
    assert numbers(inbox) == list(range(10))
    inbox.put(b"e1", call(1, CallKind.SUBMIT, body=b"x" * 900), 0.0)
    assert numbers(inbox) == [1]


def test_queued_or_dropped_submission_may_arrive() -> None:
    """Guards against reporting a job as absent whose dropped submission is retried."""
    inbox = Inbox(QUERY_TIMEOUT_S)
    for number in range(MAX_QUEUED_CALLS + 1):
        inbox.put(b"e1", call(number, CallKind.SUBMIT), 0.0)
    dropped = f"j{MAX_QUEUED_CALLS}"
    assert inbox.may_arrive("j0", 0.0) and inbox.may_arrive(dropped, 0.0)
    assert not inbox.may_arrive("other", 0.0)
    drained(inbox)
    assert not inbox.may_arrive("j0", 0.0)
    assert inbox.may_arrive(dropped, PENDING_CANCEL_TIMEOUT_S - 0.1)
    assert not inbox.may_arrive(dropped, PENDING_CANCEL_TIMEOUT_S + 0.1)


def test_beyond_the_bound_no_unknown_job_is_reported_absent() -> None:
    dropped = DroppedSubmits()
    for number in range(MAX_DROPPED_JOBS):
        dropped.record(f"j{number}", float(number) / MAX_DROPPED_JOBS)
    assert not dropped.may_arrive("other", 1.0)
    dropped.record("one more", 2.0)
    assert len(dropped) == MAX_DROPPED_JOBS
    assert dropped.may_arrive("j0", PENDING_CANCEL_TIMEOUT_S - 0.1) and dropped.may_arrive(
        "other", PENDING_CANCEL_TIMEOUT_S - 0.1
    )
    assert not dropped.may_arrive("other", PENDING_CANCEL_TIMEOUT_S + 0.1)
    assert dropped.may_arrive("one more", PENDING_CANCEL_TIMEOUT_S + 1.9)
