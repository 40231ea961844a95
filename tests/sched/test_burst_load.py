"""Burst of large jobs on a full fleet: cost of planning, and which steps it skips."""

from typing import Any

import pytest

from sapphirelead.model_resources import Resources
from sapphirelead.node_messages import AgentReport, RunPhase, RunStatus
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import has_room
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_interference import InterferenceModel
from sapphirelead.sched_planner import RETRY_DELAY_S, plan
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_stragglers import review
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.serving import serving_fleet

FULL_MB = 1000


def fleet(workers: int) -> Scheduler:
    """Return a fleet of workers with memory for one task each."""
    sched = scheduler()
    agents = Agents(sched)
    for number in range(workers):
        agents.report(
            f"g{number}",
            worker=worker_info(f"w{number}", capacity=Resources(8000, FULL_MB, 0)),
            at=0.0,
        )
    return sched


def fill(image: str, memory_mb: int, tasks: int = 8, per_worker: int = 0) -> StepSpec:
    """Return a best-effort step."""
    return StepSpec(
        tasks=tasks,
        cpu_millicores=1000,
        memory_mb=memory_mb,
        estimate_ms=5000,
        image=image,
        fills=True,
        per_worker=per_worker,
    )


def claimed(sched: Scheduler, job_id: str) -> int:
    """Count the claims of a job."""
    return sum(1 for run in sched.fleet.runs.values() if run.ref.job_id == job_id)


def test_burst_without_room_is_not_retried_on_every_worker(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against passes that try each waiting job on each worker and delay the leader."""
    sched = fleet(4)
    sched.submit(job("first", fill("a", FULL_MB, tasks=4)), lambda *_: None)
    plan(sched, 0.1, 0)
    assert claimed(sched, "first") == 4
    tried = 0
    fits = Instance.fits

    def counting(self: Instance, step: StepSpec) -> bool:
        nonlocal tried
        tried += 1
        return fits(self, step)

    monkeypatch.setattr(Instance, "fits", counting)
    for number in range(60):
        sched.submit(job(f"later{number}", fill("a", FULL_MB)), lambda *_: None)
    plan(sched, 0.2, 0)
    assert tried == 4
    plan(sched, 0.2 + 1.1 * RETRY_DELAY_S, 0)
    assert tried == 4
    # Only changed workers are tried again.
    sched.fleet.instance("g0").changes += 1
    plan(sched, 0.2 + 2.2 * RETRY_DELAY_S, 0)
    assert tried == 5


def test_smaller_tasks_and_other_images_use_remaining_room() -> None:
    sched = fleet(1)
    sched.submit(job("large", fill("a", FULL_MB + 1, tasks=1)), lambda *_: None)
    sched.submit(job("small", fill("a", FULL_MB // 2, tasks=1)), lambda *_: None)
    sched.submit(job("other", fill("b", FULL_MB // 2, tasks=1)), lambda *_: None)
    plan(sched, 0.1, 0)
    assert [claimed(sched, name) for name in ("large", "small", "other")] == [0, 1, 1]


def test_per_worker_limit_of_a_step_does_not_block_others() -> None:
    sched = fleet(1)
    sched.submit(job("a", fill("a", 100, tasks=2, per_worker=1)), lambda *_: None)
    sched.submit(job("b", fill("a", 100, tasks=2)), lambda *_: None)
    plan(sched, 0.1, 0)
    assert (claimed(sched, "a"), claimed(sched, "b")) == (1, 2)


def test_paces_of_a_worker_are_computed_once_per_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against recomputing the paces of an unchanged worker for each waiting step."""
    workers = 6
    sched, _ = serving_fleet(workers)
    computed = 0
    compute_paces = InterferenceModel._compute_paces

    def counting(*args: Any) -> Any:
        nonlocal computed
        computed += 1
        return compute_paces(*args)

    monkeypatch.setattr(InterferenceModel, "_compute_paces", counting)
    for number in range(40):
        large = StepSpec(cpu_millicores=31_000, estimate_ms=5000, image=f"i{number}", fills=True)
        sched.submit(job(f"j{number}", large), lambda *_: None)
    plan(sched, 0.3, 0)
    plan(sched, 0.3 + 1.1 * RETRY_DELAY_S, 0)
    assert computed <= workers


def test_throttled_runs_are_not_retried_on_every_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reviews that retry unchanged runs on each worker and delay the leader."""
    sched = fleet(4)
    sched.submit(job("held", fill("a", FULL_MB, tasks=4)), lambda *_: None)
    plan(sched, 0.0, 0)
    store(sched)
    runs = list(sched.fleet.runs.values())

    def report(at: float) -> None:
        for run in runs:
            status = RunStatus(run.ref.text(), 1, RunPhase.RUNNING, 1, 10, 0)
            instance = sched.fleet.instance(run.agent)
            agent_report = AgentReport(
                run.agent,
                "b",
                instance.report_number + 1,
                1,
                1,
                instance.worker,
                True,
                [status],
                [],
            )
            assert apply_report(sched, agent_report, 1, at)

    for number in range(1, 9):
        report(0.5 * number)
    tried = 0

    def counting(*args: object) -> bool:
        nonlocal tried
        tried += 1
        return has_room(*args)  # type: ignore[arg-type]

    monkeypatch.setattr("sapphirelead.sched_stragglers.has_room", counting)
    review(sched, 4.1)
    assert tried == 4
    review(sched, 4.35)
    assert tried == 4
