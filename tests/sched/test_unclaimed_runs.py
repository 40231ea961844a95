"""Log lines and metric of runs that are listed without a claim, and the history of ends."""

from typing import Any

import pytest

import sapphirelead.sched_unclaimed_runs as sched_unclaimed_runs
from sapphirelead.metrics import Metrics
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import RunEnded
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_end_history import MAX_END_AGE_S, MAX_ENDS, EndHistory
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import Agents, job, store, worker_info

TASK = "a1.0.0.0"
REF = TaskRef("a1", 0, 0, 0)


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the list to which the lines of unclaimed runs are recorded."""
    found: list[dict[str, Any]] = []

    def record(level: str, event: str, /, **fields: object) -> None:
        found.append({"level": level, "event": event, **fields})

    monkeypatch.setattr(sched_unclaimed_runs, "log_event", record)
    return found


def running_task(metrics: Metrics, worker: str = "w-g1") -> tuple[Scheduler, Agents]:
    """Return a scheduler with one task that runs on g1, beside a free worker of g2.

    :param worker: life of the worker of g1.
    """
    info = worker_info(worker)
    sched = Scheduler(Bounds(), 0.0, end_history=EndHistory(metrics))
    agents = Agents(sched)
    agents.report("g1", info, at=1.0)
    agents.report("g2", at=1.0)
    sched.submit(job("a1"), lambda *_: None)
    store(sched)
    sched.claim(sched.jobs["a1"], REF, sched.fleet.instance("g1"), 1.0)
    store(sched)
    agents.report("g1", info, runs=[(TASK, 1)], at=2.0)
    return sched, agents


def lose_worker(agents: Agents) -> None:
    """Let g1 report that its worker has ended and been replaced."""
    agents.report("g1", worker_info("w-g1-next"), at=3.0, gone=(WorkerLife("w-g1"),))
    store(agents.sched)


def lose_agent(agents: Agents) -> None:
    """Let the lease of g1 expire."""
    agents.sched.end_runs_of_lost_agents(2.5 + Bounds().loss_s)
    store(agents.sched)


def refuse_start(agents: Agents) -> None:
    """Let g1 report that the run was never started."""
    end = RunEnded(0, TASK, 1, EndKind.NOT_STARTED, "", "no_answer")
    agents.report("g1", ends=[end], at=3.0)
    store(agents.sched)


@pytest.mark.parametrize(
    ("end", "kind", "reason"),
    [
        (lose_worker, "lost", "worker_gone"),
        (lose_agent, "lost", "agent_silent"),
        (refuse_start, "not_started", "no_answer"),
    ],
)
def test_a_run_listed_after_its_supposed_end_is_counted_once_and_explained(
    events: list[dict[str, Any]], end: Any, kind: str, reason: str
) -> None:
    """Guards against a second run whose log does not say why the first counted as ended."""
    metrics = Metrics(lambda: 0.0)
    sched, agents = running_task(metrics)
    end(agents)
    assert metrics.value("disproved_ends_total", reason=reason) == 0
    sched.claim(sched.jobs["a1"], REF, sched.fleet.instance("g2"), 14.0)
    for at in (14.0, 15.0):
        agents.report("g1", runs=[(TASK, 1)], at=at)
    assert metrics.value("disproved_ends_total", reason=reason) == 1
    first, second = events
    assert first["level"] == "WARNING"
    assert (first["ended"], first["reason"], first["ended_on"]) == (kind, reason, "w-g1")
    assert (first["agent"], first["boot"], first["worker"]) == ("g1", "b", "w-g1")
    assert first["epoch"] == 1 and first["phase"] == "running"
    assert first["claimed"] == "g2:2"
    assert second["ended_s"] == first["ended_s"] + 1.0 > 0


@pytest.mark.parametrize(
    ("ended_on", "listed_by", "listed"),
    [("w-g1/1", "w-g1/2", 1), ("w-g1/1", "w-g1/1", 0), ("w-g1/1", "w-g2/2", 0)],
)
def test_a_run_listed_by_the_next_life_of_its_worker_is_counted(
    events: list[dict[str, Any]], ended_on: str, listed_by: str, listed: int
) -> None:
    """Guards against second runs on a worker's next life that look like any other lost run."""
    metrics = Metrics(lambda: 0.0)
    sched, agents = running_task(metrics, ended_on)
    agents.report("g1", worker_info("w-g3"), at=3.0, gone=(WorkerLife(ended_on),))
    store(sched)
    for at in (4.0, 5.0):
        agents.report("g1", worker_info(listed_by), runs=[(TASK, 1)], at=at)
    assert metrics.value("disproved_ends_total", reason="worker_gone") == 1
    assert metrics.value("runs_listed_by_next_life_total") == listed
    assert {(line["worker"], line["ended_on"]) for line in events} == {(listed_by, ended_on)}


def test_a_run_listed_after_its_reported_end_disproves_nothing(
    events: list[dict[str, Any]],
) -> None:
    metrics = Metrics(lambda: 0.0)
    _, agents = running_task(metrics)
    agents.report("g1", ends=[RunEnded(1, TASK, 1, EndKind.DONE, "")], at=3.0)
    store(agents.sched)
    agents.report("g1", runs=[(TASK, 1)], at=4.0)
    (line,) = events
    assert (line["level"], line["ended"], line["claimed"]) == ("INFO", "done", "-")
    assert b"disproved_ends" not in metrics.render()


@pytest.mark.parametrize(
    ("end", "kind", "disproved"), [(lose_worker, "lost", 0), (refuse_start, "not_started", 1)]
)
def test_an_outcome_after_a_supposed_end_is_logged_once(
    events: list[dict[str, Any]], end: Any, kind: str, disproved: int
) -> None:
    """Guards against a second run whose predecessor is stopped without a line."""
    metrics = Metrics(lambda: 0.0)
    sched, agents = running_task(metrics)
    end(agents)
    sched.claim(sched.jobs["a1"], REF, sched.fleet.instance("g2"), 4.0)
    outcome = RunEnded(1, TASK, 1, EndKind.STOPPED, "")
    for at in (5.0, 6.0):
        agents.report("g1", ends=[outcome], at=at)
    (line,) = events
    assert (line["event"], line["how"], line["ended"]) == ("end_unclaimed", "stopped", kind)
    assert (line["ended_s"], line["claimed"]) == (2.0, "g2:2")
    assert line["level"] == ("WARNING" if disproved else "INFO")
    assert metrics.value("disproved_ends_total", reason="no_answer") == disproved


def test_a_repeated_report_of_a_refused_start_disproves_nothing(
    events: list[dict[str, Any]],
) -> None:
    metrics = Metrics(lambda: 0.0)
    _, agents = running_task(metrics)
    refuse_start(agents)
    refuse_start(agents)
    assert not events
    assert b"disproved_ends" not in metrics.render()


@pytest.mark.parametrize("name", ["b2.0.0.0", "unreadable"])
def test_a_run_whose_end_was_not_recorded_is_logged_as_such(
    events: list[dict[str, Any]], name: str
) -> None:
    """Guards against a run of an earlier leader that looks like one that this leader has ended."""
    _, agents = running_task(Metrics(lambda: 0.0))
    agents.report("g2", runs=[(name, 3)], at=7.0)
    (line,) = events
    assert (line["ended"], line["reason"], line["ended_s"]) == ("unknown", "-", -1)
    assert (line["claimed"], line["led_s"]) == ("-", 7.0)


def ended(history: EndHistory, attempt: int, at: float) -> Run:
    """Record the loss of an attempt."""
    run = Run(REF, attempt, "g1", WorkerLife("w-g1"), StepSpec())
    history.record(run, EndKind.LOST, "worker_gone", at)
    return run


def test_the_history_is_bounded_by_count() -> None:
    history = EndHistory(Metrics(lambda: 0.0))
    for attempt in range(MAX_ENDS + 5):
        ended(history, attempt, 1.0)
    assert history.size == MAX_ENDS
    assert history.find((REF, 4), 1.0) is None
    assert history.find((REF, 5), 1.0) is not None


def test_the_history_is_bounded_by_age() -> None:
    history = EndHistory(Metrics(lambda: 0.0))
    first = ended(history, 1, 1.0)
    assert history.find(first.key, 1.0 + MAX_END_AGE_S) is not None
    assert history.find(first.key, 1.1 + MAX_END_AGE_S) is None
    ended(history, 2, 1.0 + MAX_END_AGE_S)
    assert history.size == 2
    ended(history, 3, 1.1 + MAX_END_AGE_S)
    assert history.size == 2


def test_an_end_before_its_start_was_sent_counts_from_its_claim() -> None:
    """Guards against an end without a time that is dropped at once, as if it were long ago."""
    history = EndHistory(Metrics(lambda: 0.0))
    run = Run(REF, 1, "g1", WorkerLife("w-g1"), StepSpec(), claimed_at=100.0)
    history.record(run, EndKind.NOT_STARTED, "no_longer_wanted", 0.0)
    found = history.find(run.key, 101.0)
    assert found is not None and found.at == 100.0
