"""Runs that crawl or stand still: found by their progress, moved or doubled.

The pattern that this answers: a worker turns several times slower, or what it runs stands still,
while it answers every call well.  One such run keeps its whole job waiting, and a job that is late
by three times its objective earns nothing.  A run is judged by the progress that its worker reports
against its estimate; it is moved only where starting over elsewhere ends clearly sooner.  Where the
runs of its step are no faster at other sound workers, the estimate is wrong and no worker is slow.
"""

from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance, Phase, Run
from sapphirelead.sched_place import Need, can_take_work, has_room
from sapphirelead.sched_plan_turn import Budget
from sapphirelead.sched_room import Kind
from sapphirelead.sched_usual_speed import usual_speeds

SLOW_SPEED: Final = 0.4
"""Share of the expected speed under which a run is slow."""
LOOK_AFTER_S: Final = 0.9
"""A younger run is not judged: two reports after the first."""
LOOK_SHARE: Final = 0.25
"""Share of the estimate for which a run is watched before it is judged."""
GAIN: Final = 1.4
"""Moving must end sooner by this factor: the estimate of either side is off by as much."""
MOVES: Final = 3
"""Moves of one task; a task that crawls everywhere is not cured by a further one."""
STOP_S: Final = 0.5
"""Usual time from the decision to the start elsewhere: stop, report, claim, start."""
HELD_BELOW: Final = 70
"""Pace in percent under which a filling run is moved to a worker that gives it more.

A run that is held back beside serving tasks whose load rises stays so for longer than most such
tasks take."""
HELD_STILL: Final = 25
"""Pace in percent under which one that saves no progress is moved if it has been slow so far."""
HELD_MOVES: Final = 6
"""Moves of one task that is held back; each costs it about half a second."""
CRAWL: Final = 0.03
"""Least speed assumed, so that times stay finite."""


def speed_of(run: Run, restore_s: float) -> float | None:
    """Return the run's speed against its estimate; ``None`` while too little has been seen."""
    estimate_s = run.step.estimate_ms / 1000
    watched_s = run.watch.watched_s
    if run.phase is not Phase.RUNNING or estimate_s <= 0 or run.percent < 0:
        return None
    if run.attempt > 1:
        # A run that resumes first spends this time on restoring what was saved.
        watched_s -= restore_s
    if watched_s < max(LOOK_AFTER_S, LOOK_SHARE * estimate_s):
        return None
    return run.watch.gained / 100 * estimate_s / watched_s


def ends_sooner_elsewhere(run: Run, speed: float, restore_s: float, usual: float = 1.0) -> bool:
    """Return whether the run would end clearly sooner on a sound worker.

    :param usual: speed of its step's runs at such workers.
    """
    estimate_s = run.step.estimate_ms / 1000
    left = (100 - run.percent) / 100
    here_s = left * estimate_s / max(speed, CRAWL)
    work_s = estimate_s / max(usual, CRAWL)
    elsewhere_s = STOP_S + (left * work_s + restore_s if run.step.saves else work_s)
    return here_s > GAIN * elsewhere_s


def review(sched: Scheduler, at: float, budget: Budget | None = None) -> None:
    """Move or double the runs that crawl or stand still.

    :param budget: limits the time; what it leaves out is judged first in the next call.
    """
    suspects: list[tuple[Run, float]] = []
    for run in sched.fleet.runs.values():
        if run.stop_wanted or run.step.lasting or run.step.gang:
            continue
        listed_at = sched.fleet.instance(run.agent).listed_at
        if listed_at <= run.reviewed_at:
            # Nothing new is known of it.
            continue
        speed = _slow_speed(run, listed_at, sched.bounds.restore_s)
        if speed is not None:
            suspects.append((run, speed))
        else:
            run.reviewed_at = listed_at
    slow = _worth_moving(sched, suspects, at)
    if slow:
        sched.no_room.begin(sched.fleet.live(), at)
    slow.sort(key=lambda item: item[0].reviewed_at)
    for number, (run, speed) in enumerate(slow):
        if number and budget is not None and budget.spent:
            return
        run.reviewed_at = sched.fleet.instance(run.agent).listed_at
        _act(sched, run, speed, at)


def _worth_moving(
    sched: Scheduler, suspects: list[tuple[Run, float]], at: float
) -> list[tuple[Run, float]]:
    """Return those that are slow beside their step's other runs and would end sooner elsewhere."""
    if not suspects:
        return []
    usual = usual_speeds(sched, [run for run, _ in suspects], at)
    slow = []
    for run, speed in suspects:
        beside = 1.0 if _held_back(run) else usual[run]
        is_slow = _held_back(run) or speed < SLOW_SPEED * beside
        if is_slow and ends_sooner_elsewhere(run, speed, sched.bounds.restore_s, beside):
            slow.append((run, speed))
        else:
            run.reviewed_at = sched.fleet.instance(run.agent).listed_at
    return slow


def _slow_speed(run: Run, listed_at: float, restore_s: float) -> float | None:
    """Return the speed of a run that is slow now; ``None`` for others."""
    if _held_back(run):
        return run.paced / 100 if listed_at - run.running_at >= LOOK_AFTER_S else None
    stalled = run.watch.stalled
    if run.step.fills and run.paced < 0 and not stalled:
        # Its agent has been restarted, or has got no answer: it may hold the run back.
        return None
    if run.step.fills and HELD_STILL < run.paced < 100:
        # Its pace comes back as the tails beside it allow.
        return None
    speed = speed_of(run, restore_s)
    if speed is not None and stalled:
        speed = min(speed, CRAWL)
    return speed if speed is not None and speed < SLOW_SPEED else None


def _held_back(run: Run) -> bool:
    """Whether its agent holds the run back, by the newest report.

    One that saves no progress is judged by its speed so far instead: moved, it would start anew.
    """
    running = run.phase is Phase.RUNNING and run.percent >= 0
    movable = run.step.fills and run.step.saves
    return movable and running and 0 <= run.paced < HELD_BELOW


def _act(sched: Scheduler, run: Run, speed: float, at: float) -> None:
    instance = sched.fleet.instance(run.agent)
    if not run.slow_noted and _worker_is_to_blame(run, instance):
        run.slow_noted = True
        instance.track.record_slow(at, speed)
    job = sched.jobs.get(run.ref.job_id)
    task = job.task(run.ref) if job is not None else None
    if (
        job is None
        or task is None
        or task.done
        or sched.moves.get(run.ref, 0) >= (HELD_MOVES if _held_back(run) else MOVES)
    ):
        return
    place = _elsewhere(sched, run, at)
    if place is None:
        return
    sched.avoid[run.ref] = sched.avoid.get(run.ref, frozenset()) | {run.agent}
    if run.step.copies:
        if len(task.claims) > 1:
            return
        sched.moves[run.ref] = sched.moves.get(run.ref, 0) + 1
        sched.claim(job, run.ref, place, at)
        what = "copied"
    else:
        sched.moves[run.ref] = sched.moves.get(run.ref, 0) + 1
        sched.stop(run, "slow")
        what = "stopped"
    log_event(
        "INFO",
        "run_slow",
        task=run.ref.text(),
        attempt=run.attempt,
        agent=run.agent,
        speed=speed,
        percent=run.percent,
        paced=run.paced,
        action=what,
        to=place.agent,
    )


def _worker_is_to_blame(run: Run, instance: Instance) -> bool:
    """A filling run is slow also where it is paced, or where others leave little."""
    if not run.step.fills:
        return True
    return run.paced >= 100 and instance.spare_cpu >= 0


def _elsewhere(sched: Scheduler, run: Run, at: float) -> Instance | None:
    """Return another worker that would take the task now."""
    job = sched.jobs.get(run.ref.job_id)
    if job is None:
        return None
    policy = sched.policy_of(job)
    tickets = None
    if policy.advice is not None:
        tickets = sched.advice.valid(run.ref[:3], at)
    kind = Kind.of(run.step, policy.service)
    places = sched.no_room.places(kind, run.step) if tickets is None else sched.fleet.live()
    need = Need(run.step, policy.service, tickets, press=sched.press)
    avoid = sched.avoid.get(run.ref, frozenset())
    best: Instance | None = None
    any_room = False
    for instance in places:
        if not can_take_work(instance, need, at) or not has_room(instance, need, run.ref):
            continue
        any_room = True
        if instance.agent == run.agent or instance.agent in avoid:
            continue
        if best is None or instance.spare_cpu > best.spare_cpu:
            best = instance
    if tickets is None and not any_room:
        sched.no_room.note(kind, run.step)
    return best
