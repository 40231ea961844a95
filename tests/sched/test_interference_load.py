"""Best-effort work beside latency-critical tasks, with interference that differs by pair of images.

Uses a model of tail latencies, without network.
"""

import pytest

from sapphirelead.node_messages import InterferenceEstimate
from sapphirelead.policy_pressure import CPU_USED_SHARE
from sapphirelead.runner_pace import PaceControl, TailLatency
from sapphirelead.sched_consolidate import Consolidation
from sapphirelead.sched_eligibility import MIN_PACE, PlacementRequest
from sapphirelead.sched_fleet import Phase
from sapphirelead.sched_place import choose
from sapphirelead.sched_planner import GROUPING_DELAY_S, plan, wanted_cpu
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, job, scheduler, store
from tests.sched.pressure import simulate_drift
from tests.sched.serving import TARGET_MS, fill, report, serving_fleet

BASE_MS = 25.0
TAIL_GROWTH = {"heavy": 20.0, "light": 0.2}
"""Growth of the tail latency if the image uses the whole worker."""


class TailModel:
    """Tail latency of a task beside best-effort images; it lags behind by about one report."""

    def __init__(self) -> None:
        self.tail = BASE_MS

    def step(self, using: dict[str, float], load: float = 1.0) -> int:
        """Return the tail latency half a second later, at these CPU shares by image."""
        settled = (
            BASE_MS * load * (1 + sum(TAIL_GROWTH[image] * share for image, share in using.items()))
        )
        self.tail += 0.7 * (settled - self.tail)
        return round(self.tail)


def play(demand: dict[str, float], reports: int = 60, swing: float = 0.0) -> tuple[int, float]:
    """Simulate pacing of ``demand``; return the reports over target and the mean use."""
    control, model = PaceControl(), TailModel()
    using = dict.fromkeys(demand, 0.0)
    over, used = 0, 0.0
    for number in range(reports):
        load = 1.0 + swing * (1 if number // 10 % 2 else -1)
        tail = model.step(using, load)
        over += tail > TARGET_MS
        control.update([TailLatency("s.0.0.0", "serve", tail, TARGET_MS)], using, number * 0.45)
        using = {image: share * control.percent(image) / 100 for image, share in demand.items()}
        used += sum(using.values())
    return over, used / reports


def test_light_work_keeps_its_speed_beside_a_heavy_image() -> None:
    over, used = play({"heavy": 0.2, "light": 0.4})
    assert over <= 2
    assert used >= 0.35


def test_heavy_work_alone_is_throttled_but_progresses() -> None:
    over, used = play({"heavy": 0.4}, swing=0.3)
    assert over <= 4
    assert used >= 0.05


def test_nothing_is_throttled_without_latency_critical_tasks() -> None:
    control = PaceControl()
    control.update([], {"heavy": 0.5}, 0.0)
    assert control.percent("heavy") == 100


def test_pace_is_cut_at_once_when_a_tail_is_far_over_its_target() -> None:
    control = PaceControl()
    control.update([TailLatency("s.0.0.0", "serve", 30, TARGET_MS)], {"heavy": 0.3}, 0.0)
    before = control.percent("heavy")
    control.update([TailLatency("s.0.0.0", "serve", 250, TARGET_MS)], {"heavy": 0.3}, 0.5)
    assert control.percent("heavy") <= before * 0.2


def test_throttled_work_recovers_within_seconds() -> None:
    control = PaceControl()
    control.update([TailLatency("s.0.0.0", "serve", 300, TARGET_MS)], {"light": 0.3}, 0.0)
    steps = 0
    while control.percent("light") < 90:
        steps += 1
        control.update(
            [TailLatency("s.0.0.0", "serve", 25, TARGET_MS)], {"light": 0.3}, steps * 0.45
        )
    assert steps * 0.45 <= 4


def test_image_with_high_interference_is_placed_elsewhere() -> None:
    """Guards against placing an image again beside one that it is known to interfere with."""
    sched, agents = serving_fleet(2)
    for image, tail in (("heavy", 200), ("light", 26)):
        sched.submit(job(f"job-{image}", fill(image)), lambda *_: None)
        plan(sched, 0.3, 0)
        store(sched)
        (run,) = [run for run in sched.fleet.runs.values() if run.step.image == image]
        for number in range(1, 6):
            report(agents, sched, run.agent, tail, 0.3 + number * 0.45)
        sched.end(run, "stopped", "", "", 3.0)  # type: ignore[arg-type]
        for number in range(1, 4):
            for agent in ("g0", "g1"):
                report(agents, sched, agent, 26, 3.0 + number * 0.1)
    places = list(sched.fleet.live())
    for image, allowed in (("heavy", False), ("light", True)):
        request = PlacementRequest(fill(image), "svc", interference=sched.interference)
        assert (choose(places, request, TaskRef("x", 0, 0, 0)) is not None) is allowed
    assert sched.interference.pace_beside(places[0], "heavy", 4000) < MIN_PACE
    # The agent throttles it as well, given the same weights.
    control = PaceControl()
    weight, idle_ms = (
        sched.interference.model.weight("serve", "heavy"),
        sched.interference.model.idle_ms["serve"],
    )
    control.learn([InterferenceEstimate("serve", idle_ms, {"heavy": weight})])
    wanted = {"heavy": CPU_USED_SHARE * 4000 / 32_000}
    control.update([TailLatency("s.0.0.0", "serve", 26, TARGET_MS)], {"heavy": 0.0}, 0.0, wanted)
    assert control.percent("heavy") < 100 * MIN_PACE


def test_best_effort_work_prefers_workers_without_latency_critical_tasks() -> None:
    sched, agents = serving_fleet(2)
    report(agents, sched, "free", 25, 0.25)
    sched.submit(job("f1", fill("light", tasks=6)), lambda *_: None)
    plan(sched, 0.3, 0)
    filling = [run.agent for run in sched.fleet.runs.values() if run.step.fills]
    assert filling == ["free"] * 6


def test_long_running_tasks_submitted_together_are_packed() -> None:
    sched = scheduler()
    agents = Agents(sched)
    for number in range(4):
        report(agents, sched, f"g{number}", 25, 0.0)
    for number, cpu in enumerate((7000, 16_000, 9000, 16_000, 8000, 8000)):
        step = StepSpec(cpu_millicores=cpu, lasting=True, image="s", target_ms=100)
        sched.submit(job(f"s{number}", step), lambda *_: None)
        plan(sched, number * 0.01, 0)
    plan(sched, 0.06 + GROUPING_DELAY_S, 0)
    used = {run.agent for run in sched.fleet.runs.values()}
    assert len(sched.fleet.runs) == 6
    assert len(used) == 2


@pytest.mark.parametrize("wants_room", [True, False])
def test_worker_is_emptied_only_if_best_effort_work_waits(wants_room: bool) -> None:
    sched, agents = serving_fleet(3)
    for agent in ("g0", "g1", "g2"):
        report(agents, sched, agent, 80, 0.4)
    if wants_room:
        sched.submit(job("f1", fill("heavy", tasks=8)), lambda *_: None)
    plan(sched, 0.5, 0)
    free = StepSpec(cpu_millicores=8000, lasting=True, image="serve", target_ms=TARGET_MS)
    sched.submit(job("alone", free), lambda *_: None)
    plan(sched, 0.5, 0)
    plan(sched, 0.5 + 1.1 * GROUPING_DELAY_S, 0)
    store(sched)
    for agent in ("g0", "g1", "g2"):
        report(agents, sched, agent, 80, 0.8)
    Consolidation().review(sched, wanted_cpu(sched), 0.9)
    stopped = [run for run in sched.fleet.runs.values() if run.stop_wanted]
    # The step "serve" allows one task per worker, so its tasks have to stay.
    assert all(run.ref.job_id == "alone" for run in stopped)
    if not wants_room:
        assert stopped == []


def test_consolidation_never_moves_two_tasks_of_a_step_at_once() -> None:
    sched = scheduler()
    agents = Agents(sched)
    for agent in ("g0", "g1"):
        report(agents, sched, agent, 25, 0.0)
    pair = StepSpec(tasks=2, cpu_millicores=4000, lasting=True, image="serve", target_ms=TARGET_MS)
    sched.submit(job("pair", pair), lambda *_: None)
    other = StepSpec(cpu_millicores=30_000, lasting=True, image="serve", target_ms=TARGET_MS)
    sched.submit(job("other", other), lambda *_: None)
    plan(sched, 0.0, 0)
    plan(sched, 1.1 * GROUPING_DELAY_S, 0)
    store(sched)
    for agent in ("g0", "g1"):
        report(agents, sched, agent, 25, 0.4)
    assert {run.phase for run in sched.fleet.runs.values()} == {Phase.RUNNING}
    Consolidation().review(sched, 1_000_000, 1.0)
    assert not any(run.stop_wanted for run in sched.fleet.runs.values())


def test_pace_falls_before_a_rising_tail_exceeds_its_target() -> None:
    """Guards against a control that ignores the trend of the tail latency."""
    control = PaceControl()
    for number in range(6):
        control.update(
            [TailLatency("s.0.0.0", "serve", 34, TARGET_MS)], {"heavy": 0.1}, number * 0.5
        )
    before = control.percent("heavy")
    control.update([TailLatency("s.0.0.0", "serve", 60, TARGET_MS)], {"heavy": 0.1}, 3.0)
    assert control.percent("heavy") < before


def test_pace_is_not_cut_again_for_a_falling_tail() -> None:
    """Guards against a second cut for a tail that is over its target but falling."""
    control = PaceControl()
    control.update([TailLatency("s.0.0.0", "serve", 30, TARGET_MS)], {"heavy": 0.3}, 0.0)
    control.update([TailLatency("s.0.0.0", "serve", 160, TARGET_MS)], {"heavy": 0.3}, 0.5)
    cut = control.percent("heavy")
    control.update([TailLatency("s.0.0.0", "serve", 115, TARGET_MS)], {"heavy": 0.02}, 1.0)
    assert control.percent("heavy") >= cut > 0


def test_new_image_does_not_shield_the_interfering_one() -> None:
    """Guards against throttling only a newly started image while another one interferes."""
    control = PaceControl()
    for number, tail in enumerate((25, 40, 55, 65)):
        level = 0.05 * (number + 1)
        control.update(
            [TailLatency("s.0.0.0", "serve", tail, TARGET_MS)], {"heavy": level}, number * 0.5
        )
    before = control.percent("heavy")
    using = {"heavy": 0.2, "new": 0.01}
    control.update([TailLatency("s.0.0.0", "serve", 130, TARGET_MS)], using, 2.0)
    assert control.percent("heavy") < before * 0.6


def test_drifting_interference_is_controlled_while_work_progresses() -> None:
    played = [simulate_drift(seed) for seed in range(6)]
    over = sum(item.over_target for item in played) / len(played)
    used = sum(item.used_cores for item in played) / len(played)
    assert over < 0.06
    assert used > 8.0
