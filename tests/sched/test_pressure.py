"""Pressure learnt by comparing workers, and filling work placed and paced by it; no network.

The load that these tests stand for: every worker serves, the load of each serving job swings by
three times within twenty seconds, and of the filling images some press hard and most hardly.
"""

import pytest

from bench.pressure_world import play
from sapphirelead.node_messages import ServingPress
from sapphirelead.policy_pressure_filter import MOST_IMAGES, PressureFilter
from sapphirelead.policy_pressure_pair import HEAVY_SHARE, Belief, believe
from sapphirelead.runner_pace import PaceControl, TailLatency
from sapphirelead.sched_planner import GATHER_S, plan
from sapphirelead.sched_press import PressModel
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_stragglers import review
from tests.sched.fakes import Agents, job, scheduler, store
from tests.sched.serving import TARGET_MS, report, serving_fleet

IDLE_MS = 25.0


def test_filling_jobs_end_in_time_beside_swinging_loads() -> None:
    """Members' pages are quick, yet nearly every filling job ends late.

    Each rise of a serving job's load was taken for pressure of whatever filled beside it, so light
    work was held back with the heavy.  Most jobs have to end in time, and of the 40 serving tasks
    not one in 40 may be over its target.
    """
    played = [play(seed, seconds=40.0) for seed in range(3)]
    assert sum(item.in_time for item in played) / len(played) > 0.75
    assert all(item.over_target < 1.0 for item in played)


def test_two_images_that_run_together_are_told_apart() -> None:
    """A light image is held back for minutes because a heavy one once ran beside it.

    Both ran on one worker first, which says nothing of either alone; later the light one runs alone
    on another.  That has to clear it, and with it charge the heavy one.
    """
    found = PressureFilter()
    for _ in range(4):
        found.observe(0.2, {"heavy": 0.1, "light": 0.1}, 0.03, unknown, 0.0)
    for _ in range(4):
        found.observe(0.01, {"light": 0.1}, 0.03, unknown, 0.0)
    assert found.weights["light"] < 0.3
    assert found.weights["heavy"] > 1.5


def test_one_report_of_a_slow_worker_does_not_make_a_light_image_heavy() -> None:
    found = PressureFilter()
    for _ in range(20):
        found.observe(0.02, {"light": 0.2}, 0.03, unknown, 0.0)
    found.observe(0.9, {"light": 0.2}, 0.03, unknown, 0.0)
    assert found.weights["light"] < 0.8


def test_images_that_are_no_longer_seen_give_way_to_new_ones() -> None:
    """A leader gets slower from week to week: each release of a program is an image of its own.

    An observation goes through all images that were ever seen beside the serving one.
    """
    found = PressureFilter()
    for number in range(3 * MOST_IMAGES):
        found.observe(0.1, {"stays": 0.1, f"f{number}": 0.1}, 0.03, unknown, 0.0)
    assert len(found.weights) == MOST_IMAGES
    assert {"stays", f"f{3 * MOST_IMAGES - 1}"} <= found.weights.keys()


def test_an_image_of_the_observation_in_hand_does_not_give_way_to_its_neighbour() -> None:
    """A fleet whose jobs bring ever new images loses its leader every few seconds.

    A worker runs an image that no other has shown for long beside one that is new.  The first was
    the one to drop when the second came, and its weight was asked for a line later.
    """
    found = PressureFilter()
    for number in range(MOST_IMAGES):
        found.observe(0.1, {f"f{number}": 0.1}, 0.03, unknown, 0.0)
    found.observe(0.1, {"f0": 0.1, "new": 0.1}, 0.03, unknown, 0.0)
    assert {"f0", "new"} <= found.weights.keys()
    assert len(found.weights) == MOST_IMAGES


def test_an_observation_of_more_images_than_are_kept_counts_the_largest() -> None:
    found = PressureFilter()
    shares = {f"f{number}": 0.001 * (number + 1) for number in range(2 * MOST_IMAGES)}
    found.observe(0.1, shares, 0.03, unknown, 0.0)
    assert found.weights.keys() == {f"f{n}" for n in range(MOST_IMAGES, 2 * MOST_IMAGES)}


def test_what_is_known_of_an_image_outlasts_many_observations_of_others() -> None:
    """On a large fleet light work is held back again each time that it comes.

    Hundreds of workers report each second.  Each report aged what was known of all images, so a
    pair that had been told light was taken for unknown half a minute later.
    """
    found = PressureFilter()
    for _ in range(20):
        found.observe(0.01, {"light": 0.1}, 0.03, unknown, 0.0)
    known = believe(HEAVY_SHARE, found.seen("light")).careful
    for number in range(2_000):
        found.observe(0.1, {"other": 0.1}, 0.03, unknown, number / 100)
    assert believe(HEAVY_SHARE, found.seen("light")).careful - known < 0.25


def test_a_fault_in_what_is_learnt_costs_the_estimates_and_not_the_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A report leads the learning into a fault that nobody thought of.

    It ended the process that leads, and the next leader, which got the same reports, after it.
    The model begins anew instead, and the report itself counts.
    """

    def fails(*_: object) -> None:
        raise KeyError("f0")

    sched, agents = serving_fleet(2)
    learnt = sched.press.model
    monkeypatch.setattr(PressModel, "learn", fails)
    report(agents, sched, "g0", TARGET_MS // 2, 1.0)
    assert sched.fleet.instance("g0").heard_at == 1.0
    assert sched.press.model is not learnt


def unknown(_: str) -> Belief:
    """Expect of every image what is expected of one of which nothing is known."""
    return believe(HEAVY_SHARE)


def test_known_light_work_keeps_its_pace_while_the_load_rises() -> None:
    """A serving task's load goes up by itself; what fills beside it is known to press hardly."""
    control = PaceControl()
    control.learn([ServingPress("serve", IDLE_MS, {"light": 0.05})])
    for number, tail in enumerate((33, 36, 41, 48, 56, 64)):
        control.update(
            [TailLatency("s.0.0.0", "serve", tail, TARGET_MS)],
            {"light": 0.3},
            number * 0.45,
            {"light": 0.3},
        )
        assert control.percent("light") == 100


def test_a_known_image_begins_at_the_pace_that_the_tails_bear() -> None:
    control = PaceControl()
    control.learn([ServingPress("serve", IDLE_MS, {"light": 0.05, "heavy": 3.0})])
    control.update([TailLatency("s.0.0.0", "serve", 60, TARGET_MS)], {}, 0.0, {})
    control.begin("light", {"light": 0.2})
    control.begin("heavy", {"light": 0.2, "heavy": 0.2})
    assert control.percent("light") == 100
    assert control.percent("heavy") < 25


def test_a_pair_that_was_learnt_wrong_gives_way_to_what_is_measured() -> None:
    """A tail stays at twice its target for seconds beside an image that was called light."""
    control = PaceControl()
    control.learn([ServingPress("serve", IDLE_MS, {"light": 0.0})])
    for number in range(5):
        control.update(
            [TailLatency("s.0.0.0", "serve", 200, TARGET_MS)],
            {"light": 0.3},
            number * 0.45,
            {"light": 0.3},
        )
    assert control.percent("light") < 10


def test_a_held_back_run_goes_where_it_gets_its_pace_unless_it_would_start_anew() -> None:
    """A filling job of four seconds ends after fifteen: one of its tasks stood still for ten.

    The load of the serving task beside it rose, its agent held it back, and other workers were
    free.  One that saves its progress has to move; one that saves none has done half and stays.
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
        run.paced = 0
        review(sched, 3.0)
        assert run.stop_wanted is moved


def test_the_serving_tasks_of_a_job_go_together() -> None:
    """Two jobs of four tasks, two workers: mixed, one of them is always near the top of its load.

    What fills beside both jobs has room only while both are low.
    """
    sched = scheduler()
    agents = Agents(sched)
    for agent in ("g0", "g1"):
        report(agents, sched, agent, 25, 0.0)
    for name, cpu in (("one", 7000), ("two", 6000)):
        step = StepSpec(tasks=4, cpu_millicores=cpu, lasting=True, image=name, target_ms=TARGET_MS)
        sched.submit(job(name, step), lambda *_: None)
    plan(sched, 0.0, 0)
    plan(sched, 1.1 * GATHER_S, 0)
    jobs_at: dict[str, set[str]] = {}
    for run in sched.fleet.runs.values():
        jobs_at.setdefault(run.agent, set()).add(run.ref.job_id)
    assert [len(jobs) for jobs in jobs_at.values()] == [1, 1]
