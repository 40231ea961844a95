"""Tasks that may no longer wait where all workers are unsound; no network."""

from sapphirelead.sched_fleet import RunKey
from tests.sched.fakes import job
from tests.sched.test_scheduler import submit
from tests.sched.test_task_waits import LASTING_BOUND_S, START_S, TICK_S, Site, lasting

WORKERS = 3
JOBS = 30


def test_overdue_tasks_do_not_all_join_one_unsound_worker() -> None:
    """Guards against one worker that hangs and gets every task that has waited too long."""
    site = Site(workers=WORKERS)
    site.hanging = {"g0"}
    for number in range(WORKERS):
        site.unsound(f"g{number}", trials=number)
    for number in range(JOBS):
        submit(site.sched, job(f"j{number}", lasting()))
    site.advance(LASTING_BOUND_S - START_S)
    placed = [len(site.runs_on(agent)) for agent in site.infos]
    assert sum(placed) == JOBS
    # The others have shown by then that they are sound.
    assert placed[0] <= JOBS // WORKERS + 1


def test_overdue_tasks_spread_while_no_worker_has_shown_to_be_sound() -> None:
    """Guards against any unsound worker that gets every task that has waited too long."""
    site = Site(workers=WORKERS)
    for number in range(WORKERS):
        site.unsound(f"g{number}", trials=number)
    for number in range(JOBS):
        submit(site.sched, job(f"j{number}", lasting()))
    unsound_starts = dict.fromkeys(site.infos, 0)
    known: set[RunKey] = set()
    for _ in range(int((LASTING_BOUND_S - START_S) / TICK_S)):
        # A tick reports before it plans, so a trial that has passed by then no longer counts.
        site.advance(TICK_S)
        for key, run in site.sched.fleet.runs.items():
            on_trial = site.sched.fleet.instance(run.agent).track.on_trial
            unsound_starts[run.agent] += key not in known and on_trial
        known = set(site.sched.fleet.runs)
    assert len(known) == JOBS
    assert max(unsound_starts.values()) <= JOBS // WORKERS + 1
