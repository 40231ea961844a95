"""Planning and reviews under a time budget: order of scans, and starvation of low ranks."""

from dataclasses import dataclass
from itertools import pairwise

import pytest

from sapphirelead.sched_consolidate import Consolidation
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_planner import plan
from sapphirelead.sched_scan_order import RESCAN_INTERVAL_S, Budget, ScanOrder
from sapphirelead.sched_spec import QueuePolicy, StepSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_task import StepKey
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.serving import report, serving_fleet

SCAN_S = 0.02
BUDGET_S = 0.1
CALL_S = 0.2
"""Time between two calls of the planner."""


@dataclass(frozen=True)
class Waiting:
    """A ready step."""

    number: int

    @property
    def key(self) -> StepKey:
        """Identity of the step."""
        return "j", 0, self.number


class PlannerCalls:
    """Calls of a planner that never finds room; each scan of a step takes :data:`SCAN_S`."""

    def __init__(self) -> None:
        self.at = 0.0
        self.scan_order = ScanOrder()
        self.since: dict[StepKey, float] = {}
        self.scanned: dict[int, list[float]] = {}
        self.new_room = False

    def call(self, numbers: range) -> list[int]:
        """Plan steps whose numbers are their ranks; return the scanned ones."""
        began = self.at
        steps = [Waiting(number) for number in numbers]
        for step in steps:
            self.since.setdefault(step.key, began)
        self.scan_order.budget = Budget(lambda: self.at, began + BUDGET_S)
        found = []
        for step in self.scan_order.order(steps, self.since, began, lambda _: self.new_room):
            self.scan_order.mark_scanned(step.key, began)
            self.scanned.setdefault(step.number, []).append(began)
            found.append(step.number)
            self.at += SCAN_S
        assert self.at - began <= BUDGET_S + SCAN_S
        self.at = max(self.at, began + CALL_S)
        return found


def test_steps_within_the_budget_are_scanned_by_rank_in_each_call() -> None:
    planner = PlannerCalls()
    for _ in range(3):
        assert planner.call(range(5)) == [0, 1, 2, 3, 4]
        assert not planner.scan_order.truncated
        assert planner.scan_order.waited_s == 0


def test_longest_wait_for_a_scan_is_reported() -> None:
    planner = PlannerCalls()
    for _ in range(4):
        planner.call(range(500))
    assert planner.scan_order.waited_s == pytest.approx(3 * CALL_S)
    planner.call(range(4))
    assert planner.scan_order.waited_s == 0


def test_new_high_rank_step_does_not_wait_for_the_end_of_a_pass() -> None:
    """Guards against an urgent step that waits for the end of a long pass."""
    planner = PlannerCalls()
    planner.call(range(1, 500))
    assert planner.scan_order.truncated
    assert planner.call(range(500))[0] == 0


def test_urgent_steps_are_rescanned_during_a_long_pass() -> None:
    """Guards against an urgent step that is not retried while many others wait."""
    planner = PlannerCalls()
    for _ in range(100):
        planner.call(range(500))
    times = planner.scanned[0]
    assert max(b - a for a, b in pairwise(times)) <= RESCAN_INTERVAL_S + CALL_S


def test_every_step_is_scanned_regardless_of_rank() -> None:
    """Guards against starvation of steps with a low rank."""
    planner = PlannerCalls()
    for _ in range(300):
        planner.call(range(500))
    assert len(planner.scanned) == 500
    # Also while steps of a higher rank keep arriving.
    late = PlannerCalls()
    for number in range(300):
        late.call(range(200 - number, 400) if number < 200 else range(400))
    assert set(range(200, 400)) <= late.scanned.keys()


def test_every_step_is_scanned_while_earlier_ranks_have_new_room() -> None:
    """Guards against starvation by high-ranked steps that are retried on each changed worker."""
    planner = PlannerCalls()
    planner.new_room = True
    for _ in range(300):
        assert planner.call(range(500))[0] == 0
    assert len(planner.scanned) == 500


def test_call_with_spent_budget_scans_the_first_and_the_oldest_step() -> None:
    planner = PlannerCalls()
    planner.scan_order.budget = Budget(lambda: 1.0, 0.0)
    steps = [Waiting(number) for number in range(5)]
    since = {step.key: float(-step.number) for step in steps}
    found = []
    for step in planner.scan_order.order(steps, since, 1.0):
        planner.scan_order.mark_scanned(step.key, 1.0)
        found.append(step.number)
    assert found == [0, 4]


def test_removed_steps_are_forgotten_while_passes_are_truncated() -> None:
    planner = PlannerCalls()
    planner.call(range(100))
    planner.since.clear()
    planner.call(range(200, 300))
    assert all(number >= 200 for _, _, number in planner.scan_order._scanned_at)


def test_step_waiting_for_a_retry_does_not_count_as_never_scanned() -> None:
    """Guards against steps without room that take the scan time of all others."""
    planner = PlannerCalls()
    first = planner.call(range(100))
    planner.call(range(len(first), 100))
    planner.at = 0.9 * RESCAN_INTERVAL_S
    assert not set(planner.call(range(100))) & set(first)


def test_freed_room_goes_to_high_priorities_while_passes_are_truncated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against low-priority steps that get freed room before high-priority ones."""
    sched = scheduler()
    agents = Agents(sched)
    step = StepSpec(cpu_millicores=8000)
    for number in range(30):
        agents.report(f"g{number}", worker=worker_info(f"w{number}"), at=0.0)
        sched.submit(job(f"full{number}", step), lambda *_: None)
    plan(sched, 0.0, 0)
    store(sched)
    full = list(sched.fleet.runs.values())
    assert len(full) == 30
    for number in range(200):
        priority = 0 if number % 40 == 0 else 1
        policy = QueuePolicy("svc", priority=priority)
        sched.submit(job(f"{priority}.{number}", step, policy=policy), lambda *_: None)
    at = 0.0
    mark_scanned = ScanOrder.mark_scanned

    def slow_scan(scan_order: ScanOrder, key: StepKey, began: float) -> None:
        nonlocal at
        at += SCAN_S
        mark_scanned(scan_order, key, began)

    def clock() -> float:
        return at

    monkeypatch.setattr(ScanOrder, "mark_scanned", slow_scan)
    scan_order = ScanOrder()
    started: list[str] = []
    for run in full:
        began = at
        scan_order.budget = Budget(clock, began + BUDGET_S)
        plan(sched, began, 0, scan_order)
        started += [key[0].job_id for key in sched.fleet.runs if key[0].job_id[0] in "01"]
        at = began + CALL_S
        store(sched)
        sched.fleet.drop(run)
        for instance in sched.fleet.live():
            instance.last_report_at = at
    assert scan_order.truncated
    order = list(dict.fromkeys(started))
    assert [name[0] for name in order[:5]] == ["0"] * 5
    assert len(order) > 5, "the others get what is left"


def test_wide_step_is_placed_over_several_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one job with many tasks that exceeds the time budget."""
    sched = scheduler()
    agents = Agents(sched)
    for number in range(4):
        agents.report(f"g{number}", worker=worker_info(f"w{number}", cpu=64_000), at=0.0)
    sched.submit(job("wide", StepSpec(tasks=200, cpu_millicores=1000)), lambda *_: None)
    at = 0.0
    claim = type(sched).claim

    def slow_claim(*args: object) -> object:
        nonlocal at
        at += SCAN_S
        return claim(*args)  # type: ignore[arg-type]

    monkeypatch.setattr(type(sched), "claim", slow_claim)
    scan_order = ScanOrder()
    calls = 0
    while len(sched.fleet.runs) < 200:
        began = at
        scan_order.budget = Budget(lambda: at, began + BUDGET_S)
        plan(sched, 0.0, 0, scan_order)
        assert began < at <= began + BUDGET_S + SCAN_S
        calls += 1
    assert calls >= 200 * SCAN_S / (BUDGET_S + SCAN_S)


def test_truncated_review_continues_with_the_remaining_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a review of many slow runs that exceeds the time budget."""
    sched = scheduler()
    agents = Agents(sched)
    names = [f"g{number}" for number in range(20)]
    for name in names:
        agents.report(name, at=0.0)
    for name in names:
        step = StepSpec(cpu_millicores=8000, estimate_ms=4000, image=name)
        sched.submit(job(name, step), lambda *_: None)
    plan(sched, 0.0, 0)
    store(sched)
    runs = list(sched.fleet.runs.values())
    assert len(runs) == 20
    at = 0.0
    scanned: list[Run] = []

    def slow(_: object, run: Run, *others: object) -> None:
        nonlocal at
        at += SCAN_S
        scanned.append(run)

    monkeypatch.setattr("sapphirelead.sched_stragglers._find_other_worker", slow)
    for number in range(4):
        for before in range(5 if number else 0, -1, -1):
            reported_at = 0.5 + 3 * number - 0.5 * before
            for run in runs:
                agents.report(run.agent, runs=[(run.ref.text(), 1)], at=reported_at)
        began = at
        review(sched, 0.6 + 3 * number, Budget(lambda: at, began + BUDGET_S))
        assert at <= began + BUDGET_S + SCAN_S
    assert len({run.key for run in scanned}) == len(scanned) > 10


def test_truncated_consolidation_continues_with_the_remaining_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a consolidation review that exceeds the time budget."""
    sched, agents = serving_fleet(12)
    for number in range(12):
        report(agents, sched, f"g{number}", 80, 0.8)
    at = 0.0
    tried: list[str] = []

    def slow(_: object, instance: Instance, *others: object) -> bool:
        nonlocal at
        at += SCAN_S
        tried.append(instance.agent)
        return False

    monkeypatch.setattr("sapphirelead.sched_consolidate._fits_elsewhere", slow)
    consolidation = Consolidation()
    for _ in range(3):
        began = at
        consolidation.review(sched, 10**9, 0.9, Budget(lambda: at, began + BUDGET_S))
        assert at <= began + BUDGET_S + SCAN_S
    assert len(set(tried)) == len(tried) == 12
    consolidation.review(sched, 10**9, 0.9)
    assert len(tried) == 24, "a new search asks all of them again"
