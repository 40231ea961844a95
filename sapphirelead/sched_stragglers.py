"""Detects stragglers, runs that are slow or stalled, and moves or duplicates them.

Handles workers that become slow while they still answer calls, by comparing the reported progress
of each run with its expected run time.  A run is moved only if starting over on another worker
would end clearly sooner.  If other runs of its step are as slow on sound workers, the expectation
is considered wrong instead.
"""

from typing import Final

from sapphirelead.logs import log_event
from sapphirelead.sched_baseline_speed import baseline_speeds
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_eligibility import PlacementRequest, has_room, is_eligible
from sapphirelead.sched_feasibility import Kind
from sapphirelead.sched_fleet import Instance, Phase, Run
from sapphirelead.sched_scan_order import Budget

SLOW_SPEED_SHARE: Final = 0.4
"""A run is slow below this share of its expected speed."""
MIN_OBSERVATION_S: Final = 0.9
"""Minimum time for which a run is observed before its speed is judged."""
MIN_OBSERVATION_SHARE: Final = 0.25
"""Minimum share of its estimate for which a run is observed."""
MIN_MOVE_GAIN: Final = 1.4
"""Factor by which a move must shorten the remaining time; the estimate of either side is off by as
much."""
MAX_MOVES: Final = 3
"""Maximum number of moves of one slow task; one that is slow everywhere gains by no other."""
RESTART_DELAY_S: Final = 0.5
"""Typical time from the decision to the start on another worker: stop, report, claim, start."""
LOW_PACE_PERCENT: Final = 70
"""A best-effort run that saves progress counts as throttled below this pace.

Beside latency-critical tasks whose load rises it stays so for longer than most such tasks take."""
MAX_JUDGED_PACE_PERCENT: Final = 25
"""A throttled best-effort run above this pace is not judged by its speed."""
MAX_THROTTLED_MOVES: Final = 6
"""Maximum number of moves of one throttled task; each costs it about half a second."""
MIN_SPEED: Final = 0.03
"""Lower bound of the speed in divisions."""


def speed_of(run: Run, restore_s: float, expected_ms: int) -> float | None:
    """Return the run's speed relative to what is expected, ``None`` if observed too briefly.

    :param expected_ms: its expected run time; 0 if unknown.
    """
    estimate_s = expected_ms / 1000
    watched_s = run.watch.watched_s
    if run.phase is not Phase.RUNNING or estimate_s <= 0 or run.percent < 0:
        return None
    if run.attempt > 1:
        # A resumed run restores its saved progress first.
        watched_s -= restore_s
    if watched_s < max(MIN_OBSERVATION_S, MIN_OBSERVATION_SHARE * estimate_s):
        return None
    return run.watch.gained / 100 * estimate_s / watched_s


def ends_sooner_elsewhere(
    run: Run, speed: float, restore_s: float, expected_ms: int, baseline: float = 1.0
) -> bool:
    """Return whether the run would end clearly sooner on a sound worker.

    :param expected_ms: its expected run time.
    :param baseline: speed of the step's runs on sound workers.
    """
    estimate_s = expected_ms / 1000
    remaining_share = (100 - run.percent) / 100
    here_s = remaining_share * estimate_s / max(speed, MIN_SPEED)
    work_s = estimate_s / max(baseline, MIN_SPEED)
    elsewhere_s = RESTART_DELAY_S + (
        remaining_share * work_s + restore_s if run.step.saves else work_s
    )
    return here_s > MIN_MOVE_GAIN * elsewhere_s


def review(sched: Scheduler, at: float, budget: Budget | None = None) -> None:
    """Move or duplicate slow and stalled runs.

    :param budget: time budget; runs that are left out go first in the next call.
    """
    suspects: list[tuple[Run, float]] = []
    for run in sched.fleet.runs.values():
        if run.stop_wanted or run.step.lasting or run.step.gang:
            continue
        instance = sched.fleet.instance(run.agent)
        listed_at = instance.listed_at
        if listed_at <= run.reviewed_at:
            # No new report since its last review.
            continue
        if instance.cold and not run.watch.stalled:
            run.reviewed_at = listed_at
            continue
        speed = _slow_speed(run, listed_at, sched.bounds.restore_s, sched.expected_ms(run))
        if speed is not None:
            suspects.append((run, speed))
        else:
            run.reviewed_at = listed_at
    slow = _worth_moving(sched, suspects, at)
    if slow:
        sched.infeasible_cache.begin(sched.fleet.live(), at)
    slow.sort(key=lambda item: item[0].reviewed_at)
    for number, (run, speed) in enumerate(slow):
        if number and budget is not None and budget.spent:
            return
        run.reviewed_at = sched.fleet.instance(run.agent).listed_at
        _mitigate(sched, run, speed, at)


def _worth_moving(
    sched: Scheduler, suspects: list[tuple[Run, float]], at: float
) -> list[tuple[Run, float]]:
    """Return the runs below their step's baseline that would end sooner on another worker."""
    if not suspects:
        return []
    baseline = baseline_speeds(sched, [run for run, _ in suspects], at)
    slow = []
    for run, speed in suspects:
        expected = 1.0 if _throttled(run) else baseline[run]
        is_slow = _throttled(run) or speed < SLOW_SPEED_SHARE * expected
        expected_ms = sched.expected_ms(run)
        restore_s = sched.bounds.restore_s
        if is_slow and ends_sooner_elsewhere(run, speed, restore_s, expected_ms, expected):
            slow.append((run, speed))
        else:
            run.reviewed_at = sched.fleet.instance(run.agent).listed_at
    return slow


def _slow_speed(run: Run, listed_at: float, restore_s: float, expected_ms: int) -> float | None:
    """Return the speed of a run if it is slow, else ``None``."""
    if _throttled(run):
        return run.pace_percent / 100 if listed_at - run.running_at >= MIN_OBSERVATION_S else None
    stalled = run.watch.stalled
    if run.step.fills and run.pace_percent < 0 and not stalled:
        # The pace is unknown after an agent's restart or a missing answer: it may be throttled.
        return None
    if run.step.fills and MAX_JUDGED_PACE_PERCENT < run.pace_percent < 100:
        # Mildly throttled: the agent restores the pace when tail latencies allow it.
        return None
    speed = speed_of(run, restore_s, expected_ms)
    if speed is not None and stalled:
        speed = min(speed, MIN_SPEED)
    return speed if speed is not None and speed < SLOW_SPEED_SHARE else None


def _throttled(run: Run) -> bool:
    """Return whether the agent throttles the run, by the newest report.

    Always ``False`` for runs that save no progress: they would start anew if moved, and are judged
    by their speed instead.
    """
    running = run.phase is Phase.RUNNING and run.percent >= 0
    movable = run.step.fills and run.step.saves
    return movable and running and 0 <= run.pace_percent < LOW_PACE_PERCENT


def _mitigate(sched: Scheduler, run: Run, speed: float, at: float) -> None:
    instance = sched.fleet.instance(run.agent)
    if not run.slow_noted and _worker_at_fault(run, instance):
        run.slow_noted = True
        with sched.noticing_cooldown(instance):
            instance.track.record_slow(at, speed)
    job = sched.jobs.get(run.ref.job_id)
    task = job.task(run.ref) if job is not None else None
    if (
        job is None
        or task is None
        or task.done
        # Copies would crash several workers at once.
        or (task.crashes and run.step.copies)
        or sched.quarantine.is_suspect(run.ref)
        or task.moves >= (MAX_THROTTLED_MOVES if _throttled(run) else MAX_MOVES)
    ):
        return
    place = _find_other_worker(sched, run, at)
    if place is None:
        return
    sched.avoid(run)
    if run.step.copies:
        if len(task.claims) > 1:
            return
        sched.record_slow_move(job, run.ref)
        sched.claim(job, run.ref, place, at)
        action = "copied"
    else:
        sched.record_slow_move(job, run.ref)
        sched.stop(run, "slow")
        action = "stopped"
    log_event(
        "INFO",
        "run_slow",
        task=run.ref.text(),
        attempt=run.attempt,
        agent=run.agent,
        speed=speed,
        percent=run.percent,
        paced=run.pace_percent,
        action=action,
        to=place.agent,
    )


def _worker_at_fault(run: Run, instance: Instance) -> bool:
    """Return whether the worker is at fault, not its capacity, throttling or contention."""
    if instance.over_capacity or instance.cold:
        return False
    if not run.step.fills:
        return True
    return run.pace_percent >= 100 and instance.spare_cpu >= 0


def _find_other_worker(sched: Scheduler, run: Run, at: float) -> Instance | None:
    """Return the best other worker with room for the task."""
    job = sched.jobs.get(run.ref.job_id)
    if job is None:
        return None
    policy = sched.policy_of(job)
    tickets = None
    if policy.advice is not None:
        tickets = sched.advice.valid(run.ref[:3], at)
    kind = Kind.of(run.step, policy.service)
    places = (
        sched.infeasible_cache.places(kind, run.step) if tickets is None else sched.fleet.live()
    )
    request = PlacementRequest(run.step, policy.service, tickets, interference=sched.interference)
    avoid = sched.avoided(run.ref)
    best: Instance | None = None
    any_room = False
    for instance in places:
        if not is_eligible(instance, request, at) or not has_room(instance, request, run.ref):
            continue
        any_room = True
        if instance.agent == run.agent or instance.agent in avoid:
            continue
        if best is None or instance.spare_cpu > best.spare_cpu:
            best = instance
    if tickets is None and not any_room:
        sched.infeasible_cache.record_infeasible(kind, run.step)
    return best
