"""Periodic summary of the fleet."""

from sapphirelead.sched_planner import plan
from sapphirelead.sched_survey import survey
from tests.sched.fakes import Agents, job, scheduler, store
from tests.sched.serving import fill, report, serving_fleet


def test_summary_separates_throttled_work_from_work_without_room() -> None:
    """Guards against late jobs whose cause, throttling or lack of room, the log does not show."""
    sched, agents = serving_fleet(2)
    sched.submit(job("f1", fill("light", tasks=30)), lambda *_: None)
    plan(sched, 0.3, 0)
    store(sched)
    for agent in ("g0", "g1"):
        report(agents, sched, agent, 120, 0.7)
    plan(sched, 0.8, 0)
    filling = [run for run in sched.fleet.runs.values() if run.step.fills]
    for run in filling:
        run.pace_percent = 10
    seen = survey(sched, 0.8)
    assert (seen.workers, seen.serving, seen.unsound) == (2, 2, 0)
    assert seen.fills_running == len(filling) > 0
    assert seen.fills_waiting == 30 - len(filling)
    assert seen.others_waiting == 0
    assert seen.paced == 10
    assert seen.over_target == 2
    assert seen.tails == 120
    assert (seen.suspects, seen.isolated) == (0, 0)


def test_summary_of_an_idle_fleet() -> None:
    sched = scheduler()
    Agents(sched)
    seen = survey(sched, 0.0)
    assert (seen.workers, seen.fills_running, seen.paced, seen.tails) == (0, 0, 100, 0)
