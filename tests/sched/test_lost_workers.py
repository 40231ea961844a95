"""Log lines of claims that end with the life of their worker or with a lease."""

from typing import Any

import pytest

import sapphirelead.sched_core as sched_core
import sapphirelead.sched_lost_workers as sched_lost_workers
import sapphirelead.sched_unmet_claims as sched_unmet_claims
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport, WorkerInfo
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import Bounds
from sapphirelead.sched_unmet_claims import end_expired_claims
from tests.sched.fakes import Agents, job, scheduler, store, worker_info

LOST = WorkerLife("w-g1")
TASKS = ("a1", "a2", "a3")
LOST_AFTER_S = Bounds().loss_s + 0.5


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the list to which the log events of lost claims are recorded."""
    found: list[dict[str, Any]] = []

    def record(level: str, event: str, /, **fields: object) -> None:
        found.append({"event": event, **fields})

    for module in (sched_core, sched_lost_workers, sched_unmet_claims):
        monkeypatch.setattr(module, "log_event", record)
    return found


def claimed_tasks() -> Agents:
    """Return the agents of a scheduler with three tasks on g1, of which two have begun."""
    agents = Agents(scheduler())
    agents.report("g1", at=1.0)
    for task in TASKS:
        agents.sched.submit(job(task), lambda *_: None)
        store(agents.sched)
        ref = TaskRef(task, 0, 0, 0)
        agents.sched.claim(agents.sched.jobs[task], ref, agents.sched.fleet.instance("g1"), 1.0)
    store(agents.sched)
    agents.report("g1", runs=[("a1.0.0.0", 1), ("a2.0.0.0", 1)], at=2.0)
    return agents


def report(
    agents: Agents,
    worker: WorkerInfo | None,
    at: float,
    boot: str = "b",
    gone: tuple[WorkerLife, ...] = (),
    left: tuple[WorkerLife, ...] = (),
) -> None:
    """Apply a report of g1."""
    message = AgentReport("g1", boot, 9, 1, 1, worker, True, [], [], gone, left_workers=left)
    apply_report(agents.sched, message, 1, at)


@pytest.mark.parametrize(
    ("worker", "gone", "left", "known_by"),
    [
        (worker_info("next"), (), (), "other_life"),
        (worker_info("next"), (LOST,), (), "reported"),
        (None, (LOST,), (), "reported"),
        (None, (LOST,), (LOST,), "announced"),
    ],
)
def test_claims_that_end_with_their_worker_are_logged_in_one_line(
    events: list[dict[str, Any]],
    worker: WorkerInfo | None,
    gone: tuple[WorkerLife, ...],
    left: tuple[WorkerLife, ...],
    known_by: str,
) -> None:
    """Guards against lost runs of which nobody can say by what their end was known."""
    agents = claimed_tasks()
    agents.sched.fleet.instance("g1").renewed_at = 1.5
    report(agents, worker, 5.0, gone=gone, left=left)
    (line,) = (fields for fields in events if fields["event"] == "worker_lost")
    assert (line["agent"], line["boot"], line["worker"]) == ("g1", "b", "w-g1")
    assert (line["runs"], line["unconfirmed"], line["known_by"]) == (3, 1, known_by)
    assert (line["unnamed_s"], line["since_renewal_s"], line["led_s"]) == (3.0, 3.5, 5.0)
    events.clear()
    report(agents, worker, 6.0, gone=gone, left=left)
    assert not events


def test_an_expired_lease_is_logged_with_the_last_report_of_the_worker(
    events: list[dict[str, Any]],
) -> None:
    """Guards against an expired lease that does not say when its worker was last reported."""
    agents = claimed_tasks()
    agents.sched.end_runs_of_lost_agents(2.0 + LOST_AFTER_S)
    (line,) = events
    assert (line["event"], line["boot"], line["worker"]) == ("agent_lost", "b", "w-g1")
    assert line["unnamed_s"] == line["since_renewal_s"] == LOST_AFTER_S


def test_an_expired_claim_is_logged_with_the_last_report_of_the_worker(
    events: list[dict[str, Any]],
) -> None:
    """Guards against an expired claim that does not say when its worker was last reported."""
    agents = claimed_tasks()
    report(agents, None, 3.0, boot="next")
    agents.sched.fleet.instance("g1").last_report_at = 4.0
    end_expired_claims(agents.sched, 2.0 + LOST_AFTER_S)
    (line,) = events
    assert (line["event"], line["boot"], line["worker"]) == ("claims_expired", "next", "w-g1")
    assert (line["unnamed_s"], line["unconfirmed"]) == (LOST_AFTER_S, 1)
    assert line["silent_s"] == LOST_AFTER_S - 2.0
