"""Interference learnt by comparing workers, and placement and pacing by it; no network."""

import pytest

from bench.fleet_simulation import simulate
from sapphirelead.node_messages import InterferenceEstimate
from sapphirelead.policy_pressure_filter import MAX_IMAGES, PressureFilter
from sapphirelead.policy_pressure_pair import HEAVY_PRIOR, Belief, pair_belief
from sapphirelead.runner_pace import PaceControl, TailLatency
from sapphirelead.sched_interference import InterferenceModel
from sapphirelead.sched_planner import GROUPING_DELAY_S, plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_stragglers import review
from tests.sched.fakes import Agents, job, scheduler, store
from tests.sched.serving import TARGET_MS, report, serving_fleet

IDLE_MS = 25.0


def test_best_effort_jobs_end_in_time_beside_swinging_loads() -> None:
    """Guards against a rise of a job's own load that is attributed to best-effort tasks beside it.

    Most jobs must end in time, with fewer than one of 40 latency-critical tasks over its target.
    """
    played = [simulate(seed, seconds=40.0) for seed in range(3)]
    assert sum(item.in_time for item in played) / len(played) > 0.75
    assert all(item.over_target < 1.0 for item in played)


@pytest.mark.parametrize("poison_jobs", [1, 3])
def test_poison_jobs_do_not_stop_the_fleet(poison_jobs: int) -> None:
    """Guards against tasks that go round all workers and take with them what runs there.

    Each may crash three workers and start twice more; no other job may fail.
    """
    played = simulate(0, seconds=40.0, poison_jobs=poison_jobs)
    assert played.crashes <= 5 * poison_jobs
    assert played.failed == 0


def test_effects_of_two_images_on_one_worker_are_separated() -> None:
    """Guards against a light image that stays throttled for the effect of a heavy one.

    The images run together first; then the light image runs alone, which separates their effects.
    """
    found = PressureFilter()
    for _ in range(4):
        found.observe(0.2, {"heavy": 0.1, "light": 0.1}, 0.03, unknown, 0.0)
    for _ in range(4):
        found.observe(0.01, {"light": 0.1}, 0.03, unknown, 0.0)
    assert found.weights["light"] < 0.3
    assert found.weights["heavy"] > 1.5


def test_single_outlier_report_does_not_make_a_light_image_heavy() -> None:
    found = PressureFilter()
    for _ in range(20):
        found.observe(0.02, {"light": 0.2}, 0.03, unknown, 0.0)
    found.observe(0.9, {"light": 0.2}, 0.03, unknown, 0.0)
    assert found.weights["light"] < 0.8


def test_images_no_longer_seen_are_evicted() -> None:
    """Guards against a filter that grows with each new image."""
    found = PressureFilter()
    for number in range(3 * MAX_IMAGES):
        found.observe(0.1, {"stays": 0.1, f"f{number}": 0.1}, 0.03, unknown, 0.0)
    assert len(found.weights) == MAX_IMAGES
    assert {"stays", f"f{3 * MAX_IMAGES - 1}"} <= found.weights.keys()


def test_images_of_the_current_observation_are_not_evicted() -> None:
    """Guards against a crash of the leader when a new image evicts one of the same observation."""
    found = PressureFilter()
    for number in range(MAX_IMAGES):
        found.observe(0.1, {f"f{number}": 0.1}, 0.03, unknown, 0.0)
    found.observe(0.1, {"f0": 0.1, "new": 0.1}, 0.03, unknown, 0.0)
    assert {"f0", "new"} <= found.weights.keys()
    assert len(found.weights) == MAX_IMAGES


def test_observation_of_too_many_images_keeps_the_largest() -> None:
    found = PressureFilter()
    shares = {f"f{number}": 0.001 * (number + 1) for number in range(2 * MAX_IMAGES)}
    found.observe(0.1, shares, 0.03, unknown, 0.0)
    assert found.weights.keys() == {f"f{n}" for n in range(MAX_IMAGES, 2 * MAX_IMAGES)}


def test_estimate_of_an_image_survives_observations_of_others() -> None:
    """Guards against observations that age the estimates of images that are not part of them."""
    found = PressureFilter()
    for _ in range(20):
        found.observe(0.01, {"light": 0.1}, 0.03, unknown, 0.0)
    known = pair_belief(HEAVY_PRIOR, found.evidence("light")).upper_bound
    for number in range(2_000):
        found.observe(0.1, {"other": 0.1}, 0.03, unknown, number / 100)
    assert pair_belief(HEAVY_PRIOR, found.evidence("light")).upper_bound - known < 0.25


def test_model_fault_resets_the_model_and_keeps_the_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exception in the model that ends the leader and its successors."""

    def fails(*_: object) -> None:
        raise KeyError("f0")

    sched, agents = serving_fleet(2)
    learnt = sched.interference.model
    monkeypatch.setattr(InterferenceModel, "learn", fails)
    report(agents, sched, "g0", TARGET_MS // 2, 1.0)
    assert sched.fleet.instance("g0").last_report_at == 1.0
    assert sched.interference.model is not learnt


def unknown(_: str) -> Belief:
    """Return the belief about an image without observations."""
    return pair_belief(HEAVY_PRIOR)


def test_known_light_work_keeps_its_pace_while_the_load_rises() -> None:
    """Guards against throttling of light work when a latency-critical task's own load rises."""
    control = PaceControl()
    control.learn([InterferenceEstimate("serve", IDLE_MS, {"light": 0.05})])
    for number, tail in enumerate((33, 36, 41, 48, 56, 64)):
        control.update(
            [TailLatency("s.0.0.0", "serve", tail, TARGET_MS)],
            {"light": 0.3},
            number * 0.45,
            {"light": 0.3},
        )
        assert control.percent("light") == 100


def test_known_image_starts_at_the_pace_that_tail_latencies_allow() -> None:
    control = PaceControl()
    control.learn([InterferenceEstimate("serve", IDLE_MS, {"light": 0.05, "heavy": 3.0})])
    control.update([TailLatency("s.0.0.0", "serve", 60, TARGET_MS)], {}, 0.0, {})
    control.begin("light", {"light": 0.2})
    control.begin("heavy", {"light": 0.2, "heavy": 0.2})
    assert control.percent("light") == 100
    assert control.percent("heavy") < 25


def test_measurements_override_a_wrong_pair_weight() -> None:
    """Guards against a tail latency that stays over its target because of a wrong weight."""
    control = PaceControl()
    control.learn([InterferenceEstimate("serve", IDLE_MS, {"light": 0.0})])
    for number in range(5):
        control.update(
            [TailLatency("s.0.0.0", "serve", 200, TARGET_MS)],
            {"light": 0.3},
            number * 0.45,
            {"light": 0.3},
        )
    assert control.percent("light") < 10


def test_throttled_run_is_moved_only_if_it_saves_progress() -> None:
    """Guards against a best-effort task that stays throttled while other workers are free.

    A task that saves no progress stays, since it would start anew.
    """
    for saves, moved in ((True, True), (False, False)):
        sched = scheduler()
        agents = Agents(sched)
        for agent in ("g1", "g2"):
            agents.report(agent, at=1.0)
        step = StepSpec(
            cpu_millicores=1000, estimate_ms=4000, saves=saves, fills=True, image="fill"
        )
        sched.submit(job("a1", step), lambda *_: None)
        plan(sched, 1.0, 0)
        store(sched)
        (run,) = sched.fleet.runs.values()
        other = "g2" if run.agent == "g1" else "g1"
        agents.report(run.agent, runs=[(run.ref.text(), 1)], percent=0, at=1.1)
        agents.report(run.agent, runs=[(run.ref.text(), 1)], percent=55, at=3.0)
        agents.report(other, at=3.0)
        run.pace_percent = 0
        review(sched, 3.0)
        assert run.stop_wanted is moved


def test_latency_critical_tasks_of_a_job_are_packed_together() -> None:
    """Guards against mixing jobs on workers, which leaves less room for best-effort tasks."""
    sched = scheduler()
    agents = Agents(sched)
    for agent in ("g0", "g1"):
        report(agents, sched, agent, 25, 0.0)
    for name, cpu in (("one", 7000), ("two", 6000)):
        step = StepSpec(tasks=4, cpu_millicores=cpu, lasting=True, image=name, target_ms=TARGET_MS)
        sched.submit(job(name, step), lambda *_: None)
    plan(sched, 0.0, 0)
    plan(sched, 1.1 * GROUPING_DELAY_S, 0)
    jobs_at: dict[str, set[str]] = {}
    for run in sched.fleet.runs.values():
        jobs_at.setdefault(run.agent, set()).add(run.ref.job_id)
    assert [len(jobs) for jobs in jobs_at.values()] == [1, 1]
